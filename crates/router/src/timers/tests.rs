use super::*;

/// Guards against timers that fire although they were moved or cancelled, and against entries that are never
/// removed.
#[test]
fn only_the_latest_deadline_fires_and_no_entry_remains() {
    let mut timers = Timers::default();
    for (id, due) in [(1, 10.2), (2, 5.0), (3, 7.0), (1, 6.0)] {
        timers.set(id, Some(due));
    }
    timers.set(3, None);
    assert_eq!((timers.next_due(), timers.pop_due(4.9)), (Some(5.0), None));
    assert_eq!([timers.pop_due(20.0), timers.pop_due(20.0), timers.pop_due(20.0)], [Some(2), Some(1), None]);
    timers.set(1, Some(8.4));
    assert_eq!((timers.pop_due(8.9), timers.pop_due(9.0)), (None, Some(1)));
    assert!(timers.order.is_empty() && timers.due.is_empty());
}

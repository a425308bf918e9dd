use super::*;

#[test]
fn longest_duration_is_reported_once() {
    let longest = LongestDuration::default();
    [1.5, 20.25, -3.0, 4.0].into_iter().for_each(|ms| longest.record(ms));
    assert_eq!((longest.take_ms(), longest.take_ms()), (20.25, 0.0));
}

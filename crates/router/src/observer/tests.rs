use super::*;

const HOST_KEY_BASE: u32 = 10;
const GROUP: GroupId = GroupId { index: 0, key: 7 };

fn host(index: usize) -> HostId {
    HostId { index, key: HOST_KEY_BASE + index as u32 }
}

#[test]
fn changes_are_reported_once_and_a_lasting_lag_every_second() {
    let mut observer = Observer::new(Some(400.0));
    let mut record = |now, index, role, lag: f64| {
        observer.record_answer(now, host(index), GROUP, Some(role), Some(now - lag))
    };
    let (primary, replica) = (Role::Primary, Role::Replica);
    let host_1_is_primary = Observation::Primary { group: 7, host: 11 };
    assert_eq!(record(0.0, 1, primary, 0.0), Some(host_1_is_primary));
    assert_eq!(record(1.0, 1, primary, 0.0), None);
    let lag = |lag_ms| Some(Observation::ReplicaLag { host: 12, lag_ms });
    assert_eq!(record(2.0, 2, replica, 20.0), None);
    assert_eq!(record(3.0, 2, replica, 300.0), lag(300));
    assert_eq!(record(500.0, 2, replica, 600.0), None);
    assert_eq!(record(1_100.0, 2, replica, 900.0), lag(900));
    assert_eq!(record(1_200.0, 2, replica, 10.0), lag(10));
    // Another host becomes the primary, then the first one again.
    assert_eq!(record(1_300.0, 2, primary, 0.0), Some(Observation::Primary { group: 7, host: 12 }));
    assert_eq!(record(1_400.0, 1, primary, 0.0), Some(host_1_is_primary));
}

#[test]
fn a_primary_that_became_a_replica_or_was_removed_is_reported_when_it_returns() {
    let mut observer = Observer::new(None);
    let record = |observer: &mut Observer, role| {
        observer.record_answer(0.0, host(1), GROUP, Some(role), Some(0.0)).is_some()
    };
    assert!(record(&mut observer, Role::Primary));
    assert!(!record(&mut observer, Role::Replica));
    assert!(record(&mut observer, Role::Primary));
    observer.remove_host(1);
    assert!(record(&mut observer, Role::Primary));
}

#[test]
fn lags_are_not_reported_where_no_op_type_has_a_bound() {
    let mut observer = Observer::new(None);
    assert_eq!(observer.record_answer(0.0, host(2), GROUP, Some(Role::Replica), Some(-900.0)), None);
}

#[test]
fn host_keys_match_the_published_hash() {
    assert_eq!((host_key(""), host_key("a"), host_key("foobar")), (0x811c_9dc5, 0xe40c_292c, 0xbf9c_f968));
}

use super::*;

#[test]
fn only_what_changes_is_told_and_what_stays_behind_once_a_second() {
    let mut observer = Observer::new(Some(400.0));
    let mut saw = |now, host, role, lag: f64| {
        observer.answered(now, (host, 10 + host as u32), (0, 7), Some(role), Some(now - lag))
    };
    let (leads, primary, replica) =
        (Observation::Primary { group: 7, host: 11 }, Role::Primary, Role::Replica);
    assert_eq!((saw(0.0, 1, primary, 0.0), saw(1.0, 1, primary, 0.0)), (Some(leads), None));
    assert_eq!(saw(2.0, 2, replica, 20.0), None);
    assert_eq!(saw(3.0, 2, replica, 300.0), Some(Observation::ReplicaLag { host: 12, ms: 300 }));
    assert_eq!(saw(500.0, 2, replica, 600.0), None);
    assert_eq!(saw(1_100.0, 2, replica, 900.0), Some(Observation::ReplicaLag { host: 12, ms: 900 }));
    assert_eq!(saw(1_200.0, 2, replica, 10.0), Some(Observation::ReplicaLag { host: 12, ms: 10 }));
    // Another leads, and then the first again.
    assert!(saw(1_300.0, 2, primary, 0.0).is_some() && saw(1_400.0, 1, primary, 0.0).is_some());
    assert_eq!(Observer::new(None).answered(0.0, (2, 2), (0, 7), Some(replica), Some(-900.0)), None);
}

#[test]
fn names_have_the_published_hash() {
    assert_eq!((key(""), key("a"), key("foobar")), (0x811c_9dc5, 0xe40c_292c, 0xbf9c_f968));
}

use super::*;

fn limits(op_timeout_s: f64) -> Limits {
    let start = String::from_utf8(MINIMAL_CONFIGURATION.to_vec()).unwrap();
    let class = format!(
        r#""classes":[{{"name":"look","effect":"free","deadline_s":{op_timeout_s},"goal_time_s":1,"value":1}}]"#
    );
    let start = start.replace(r#""classes":[]"#, &class);
    let levels = r#""read_level":["any"],"staleness_bound_s":[0]"#;
    let start = start.replace(r#""read_level":[],"staleness_bound_s":[]"#, levels);
    Limits::new(&magpiewell_terms::startup::parse(start.as_bytes()).unwrap().0)
}

/// The platform sends clients for 0.4 s after a request to stop, and ends the process no sooner than the
/// longest op timeout, of 3 s at most, and 0.7 s later.
#[test]
fn a_stop_keeps_its_order_and_its_time_whatever_the_op_timeouts() {
    // Below a tenth of a second who comes last is refused, which is harmless.
    for op_timeout_s in [0.1, 0.35, 0.7, 3.0, 12.0] {
        let l = limits(op_timeout_s);
        let granted = Duration::from_secs_f64(f64::min(op_timeout_s, 3.0) + 0.7);
        assert!(l.grace > Duration::from_millis(400), "{op_timeout_s}");
        assert!(l.grace + l.last_look <= l.linger, "{op_timeout_s}");
        assert!(l.linger < l.stop && l.stop + l.cut < granted, "{op_timeout_s}");
    }
}

/// Whatever the last call fell into as the list had a change for it: a silence of as long as a call lasts,
/// then another call that is refused, given up or answered as late as it may be.
#[test]
fn a_change_is_known_in_time_whatever_the_calls_before_fell_into() {
    let l = limits(1.0);
    let told = Duration::from_secs(6);
    let watch = Duration::from_millis(l.list_wait_ms) + l.list_slack;
    // Opening a connection is part of a call, and may take as long again where it comes up at the last
    // moment.
    let (dial, answer) = (l.list_slack, l.list_slack);
    assert!(watch + dial + answer <= told, "a silent watch, then a call");
    assert!(watch + l.list_again + dial + answer <= told, "the same, where the call in between is refused");
    assert!(dial + l.list_again + dial + answer <= told, "connections that don't come up");
    // The whole list is asked for without a wait, by a process that knows none.
    let ready = Duration::from_secs(10);
    assert!((l.list_slack + l.list_again) * 5 <= ready, "five calls without an answer");
}

/// All that may be open at once, beside what the router itself takes.
#[test]
fn all_descriptors_together_keep_to_the_grant() {
    for sockets in [64, 100, 128, 512, 544, 672, 1024, 65_536] {
        let start = String::from_utf8(MINIMAL_CONFIGURATION.to_vec()).unwrap();
        let start = start.replace(r#""sockets":256"#, &format!(r#""sockets":{sockets}"#));
        let start = start.replace(r#""memory_mb":32"#, r#""memory_mb":100000"#);
        let l = Limits::new(&magpiewell_terms::startup::parse(start.as_bytes()).unwrap().0);
        let all = l.clients + l.leaving + l.host_connections + OWN_DESCRIPTORS;
        assert!(all <= sockets, "{all} of {sockets}");
    }
}

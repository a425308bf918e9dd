use super::*;

fn limits(op_timeout_s: f64) -> Limits {
    let configuration = String::from_utf8(MINIMAL_CONFIGURATION.to_vec()).unwrap();
    let op_type = format!(
        r#""classes":[{{"name":"look","effect":"free","deadline_s":{op_timeout_s},"goal_time_s":1,"value":1}}]"#
    );
    let configuration = configuration.replace(r#""classes":[]"#, &op_type);
    let levels = r#""read_level":["any"],"staleness_bound_s":[0]"#;
    let configuration = configuration.replace(r#""read_level":[],"staleness_bound_s":[]"#, levels);
    Limits::new(&magpiewell_terms::startup::parse(configuration.as_bytes()).unwrap().0)
}

/// The platform sends clients for 0.4 s after a request to stop, and ends the process no sooner than the
/// longest op timeout, of 3 s at most, and 0.7 s later.
#[test]
fn shutdown_steps_keep_their_order_and_the_granted_time_for_all_op_timeouts() {
    // Below a tenth of a second the client that comes last is refused, which is harmless.
    for op_timeout_s in [0.1, 0.35, 0.7, 3.0, 12.0] {
        let l = limits(op_timeout_s);
        let granted = Duration::from_secs_f64(f64::min(op_timeout_s, 3.0) + 0.7);
        assert!(l.grace > Duration::from_millis(400), "{op_timeout_s}");
        assert!(l.grace + l.last_look <= l.linger, "{op_timeout_s}");
        assert!(l.linger < l.stop && l.stop + l.cut < granted, "{op_timeout_s}");
    }
}

/// Covers what may happen to the request during which the list changes: it gets no response until it times
/// out, and the next one is refused, times out or is answered as late as possible.
#[test]
fn a_list_change_is_known_in_time_whatever_happened_to_the_requests_before() {
    let l = limits(1.0);
    let deadline = Duration::from_secs(6);
    let watch = Duration::from_millis(l.list_wait_ms) + l.list_slack;
    // Connecting is part of a request, and may take its full time again if it succeeds at the last moment.
    let (connect, answer) = (l.list_slack, l.list_slack);
    assert!(watch + connect + answer <= deadline, "a silent watch, then a request");
    assert!(
        watch + l.list_again + connect + answer <= deadline,
        "the same, where the request in between is refused"
    );
    assert!(connect + l.list_again + connect + answer <= deadline, "connections that don't come up");
    // A process that knows no list asks for all of it without a wait.
    let ready = Duration::from_secs(10);
    assert!((l.list_slack + l.list_again) * 5 <= ready, "five requests without an answer");
}

/// Counts all descriptors that may be open at once, with those that the router itself uses.
#[test]
fn all_descriptors_together_stay_within_the_grant() {
    for sockets in [64, 100, 128, 512, 544, 672, 1024, 65_536] {
        let configuration = String::from_utf8(MINIMAL_CONFIGURATION.to_vec()).unwrap();
        let configuration = configuration.replace(r#""sockets":256"#, &format!(r#""sockets":{sockets}"#));
        let configuration = configuration.replace(r#""memory_mb":32"#, r#""memory_mb":100000"#);
        let l = Limits::new(&magpiewell_terms::startup::parse(configuration.as_bytes()).unwrap().0);
        let all = l.clients + l.leaving + l.host_connections + OWN_DESCRIPTORS;
        assert!(all <= sockets, "{all} of {sockets}");
    }
}

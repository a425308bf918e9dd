use super::*;

fn limits(op_timeout_s: f64) -> Limits {
    let start = String::from_utf8(START.to_vec()).unwrap();
    let class = format!(
        r#""classes":[{{"name":"look","effect":"free","deadline_s":{op_timeout_s},"goal_time_s":1,"value":1}}]"#
    );
    let start = start.replace(r#""classes":[]"#, &class);
    let levels = r#""read_level":["any"],"staleness_bound_s":[0]"#;
    let start = start.replace(r#""read_level":[],"staleness_bound_s":[]"#, levels);
    Limits::new(&magpiewell_terms::start::read(start.as_bytes()).unwrap().0)
}

/// The platform sends clients for 0.4 s after a request to stop, and ends the process no sooner than the longest op
/// timeout, of 3 s at most, and 0.7 s later.
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

use super::*;
use crate::tier::script::Script;

const SLACK: Slack = Slack { answer_ms: 50.0, sent_ms: 50.0, grace_ms: 550.0, age_ms: 50.0 };

fn plan() -> Plan {
    let text = "seed = 1\nlasts_ms = 9000\nrouters = 2\nzones = 1\ngroups = 1\nhosts = 3\n[load]\nops = 1\n";
    Plan::new(Script::from_toml(text).unwrap())
}

fn asked(op: u64, at: f64, kind: Kind) -> (f64, Seen) {
    (at, Seen::Asked { op, router: 0, life: 0, kind, group: 0, session: 9, wait: 1_000.0 })
}

fn answered(op: u64, at: f64, how: How) -> (f64, Seen) {
    (at, Seen::Answered { op, how })
}

fn got(op: u64, at: f64, host: u32) -> (f64, Seen) {
    (at, Seen::Got { op, host, router: 0 })
}

fn ran(op: u64, at: f64, host: u32, pos: f64) -> (f64, Seen) {
    (at, Seen::Ran { op, host, pos, again: false })
}

/// Which rules a history breaks, each as often.
fn broken(mut record: Record) -> Vec<u8> {
    record.sort_by(|a, b| a.0.total_cmp(&b.0));
    judge(&plan(), &record, SLACK).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_good_history_breaks_nothing() {
    let write =
        [asked(1, 0.0, Kind::Once), got(1, 1.0, 0), ran(1, 5.0, 0, 5.0), answered(1, 6.0, How::Acked(5.0))];
    let fresh =
        [asked(2, 7.0, Kind::Fresh), got(2, 8.0, 0), ran(2, 9.0, 0, 9.0), answered(2, 9.5, How::Acked(9.0))];
    // A replica may serve it, as it has not seen the session's write but has no need to.
    let any = [
        asked(3, 7.0, Kind::Any),
        got(3, 8.0, 1),
        ran(3, 9.0, 1, -50.0),
        answered(3, 9.5, How::Acked(-50.0)),
    ];
    let turned = [
        asked(4, 7.0, Kind::Once),
        got(4, 8.0, 1),
        (8.1, Seen::Turned { op: 4, host: 1 }),
        answered(4, 9.0, How::Busy),
    ];
    assert!(broken([&write[..], &fresh, &any, &turned].concat()).is_empty());
}

#[test]
fn an_op_without_one_answer_in_time_or_sent_on_after_it_breaks_rule_1() {
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any)]), [1]);
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Lost)]), [1]);
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Wrong)]), [1]);
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Shut)]), [0u8; 0]);
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any), answered(1, 1_051.0, How::Errored)]), [1]);
    let twice = vec![asked(1, 0.0, Kind::Any), answered(1, 5.0, How::Busy), answered(1, 9.0, How::Busy)];
    assert_eq!(broken(twice), [1]);
    let after = vec![asked(1, 0.0, Kind::Any), answered(1, 5.0, How::Busy), got(1, 56.0, 1)];
    assert_eq!(broken(after), [1]);
}

#[test]
fn an_op_sent_on_after_its_client_left_breaks_rule_1() {
    let left = |at| (at, Seen::Left { op: 1 });
    assert!(broken(vec![asked(1, 0.0, Kind::Any), left(5.0)]).is_empty(), "no answer is owed");
    let soon = vec![asked(1, 0.0, Kind::Any), left(5.0), got(1, 5.0 + LEFT_MS, 1)];
    assert!(broken(soon).is_empty());
    let late = 6.0 + LEFT_MS + SLACK.sent_ms;
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Any), left(5.0), got(1, late, 1)]), [1]);
    // An earlier send excuses none.
    let again = vec![asked(1, 0.0, Kind::Any), got(1, 1.0, 0), left(5.0), got(1, late, 1)];
    assert_eq!(broken(again), [1]);
}

#[test]
fn what_the_script_did_to_a_router_excuses_it_for_that_time_only() {
    let killed = (500.0, Seen::Killed { router: 0 });
    assert!(broken(vec![asked(1, 0.0, Kind::Any), killed]).is_empty());
    let back = (600.0, Seen::Started { router: 0, life: 1 });
    assert_eq!(broken(vec![killed, back, asked(1, 700.0, Kind::Any)]), [1]);
}

#[test]
fn two_effects_or_a_false_busy_break_rule_2() {
    let base =
        vec![asked(1, 0.0, Kind::Tokened), got(1, 1.0, 0), got(1, 2.0, 1), answered(1, 9.0, How::Acked(3.0))];
    let twice = [base.clone(), vec![ran(1, 3.0, 0, 3.0), ran(1, 4.0, 1, 4.0)]].concat();
    assert_eq!(broken(twice), [2]);
    let again = (4.0, Seen::Ran { op: 1, host: 1, pos: 3.0, again: true });
    assert!(broken([base, vec![ran(1, 3.0, 0, 3.0), again]].concat()).is_empty());
    assert_eq!(broken(vec![asked(1, 0.0, Kind::Once), got(1, 1.0, 0), answered(1, 9.0, How::Busy)]), [2]);
    // A repeat past the time that drops repeats; harmless where the first was turned away.
    let late = 2.0 + WINDOW_MS + SLACK.sent_ms;
    let turned = |at, host| (at, Seen::Turned { op: 1, host });
    let late = vec![asked(1, 0.0, Kind::Tokened), got(1, 1.0, 0), got(1, late, 1), turned(late, 1)];
    assert_eq!(broken(late.clone()), [1, 2], "and it got no answer");
    assert_eq!(broken([late, vec![turned(1.5, 0)]].concat()), [1]);
    let resent =
        vec![asked(1, 0.0, Kind::Once), got(1, 1.0, 0), got(1, 2.0, 1), answered(1, 9.0, How::Errored)];
    assert_eq!(broken(resent), [2]);
}

#[test]
fn a_send_after_the_grace_breaks_rule_3_and_a_pushed_host_rule_4() {
    let told = |at, ready| (at, Seen::Told { router: 0, host: 2, ready });
    let op =
        |at: f64| vec![asked(1, at, Kind::Any), got(1, at + 1.0, 2), answered(1, at + 2.0, How::Errored)];
    assert!(broken([vec![told(0.0, true), told(10.0, false)], op(500.0)].concat()).is_empty());
    assert_eq!(broken([vec![told(0.0, true), told(10.0, false)], op(600.0)].concat()), [3]);
    // Told anew that it drains: the first time counts; told that it is ready: it may be sent to again.
    assert_eq!(broken([vec![told(10.0, false), told(400.0, false)], op(600.0)].concat()), [3]);
    assert!(broken([vec![told(10.0, false), told(400.0, true)], op(600.0)].concat()).is_empty());
    assert_eq!(broken(vec![(5.0, Seen::Fell { host: 1 })]), [4]);
}

#[test]
fn reads_that_miss_what_they_must_see_break_rule_5() {
    let write = vec![
        asked(1, 0.0, Kind::Once),
        got(1, 1.0, 0),
        ran(1, 5.0, 0, 5.0),
        answered(1, 6.0, How::Acked(5.0)),
    ];
    for kind in [Kind::Fresh, Kind::Session] {
        let read =
            vec![asked(2, 7.0, kind), got(2, 8.0, 1), ran(2, 9.0, 1, 4.0), answered(2, 9.5, How::Acked(4.0))];
        assert_eq!(broken([write.clone(), read].concat()), [5], "{kind:?}");
    }
    let old = BOUND_MS + SLACK.age_ms;
    let bounded = |pos| {
        vec![
            asked(2, 900.0, Kind::Bounded),
            got(2, 901.0, 1),
            ran(2, 902.0, 1, pos),
            answered(2, 903.0, How::Acked(pos)),
        ]
    };
    assert!(broken(bounded(901.0 - old)).is_empty());
    assert_eq!(broken(bounded(900.0 - old)), [5]);
    let stranger = vec![
        asked(2, 7.0, Kind::Any),
        got(2, 8.0, 5),
        ran(2, 9.0, 5, 9.0),
        answered(2, 9.5, How::Acked(9.0)),
    ];
    assert_eq!(broken(stranger), [5]);
}

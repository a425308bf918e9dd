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

/// The rules that a record breaches, one entry for each breach.
fn breached_rules(mut record: Record) -> Vec<u8> {
    record.sort_by(|a, b| a.0.total_cmp(&b.0));
    judge(&plan(), &record, SLACK).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_correct_record_has_no_breach() {
    let write =
        [asked(1, 0.0, Kind::Once), got(1, 1.0, 0), ran(1, 5.0, 0, 5.0), answered(1, 6.0, How::Acked(5.0))];
    let fresh =
        [asked(2, 7.0, Kind::Fresh), got(2, 8.0, 0), ran(2, 9.0, 0, 9.0), answered(2, 9.5, How::Acked(9.0))];
    // A replica that has not seen the session's write may serve a read of any age.
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
    assert!(breached_rules([&write[..], &fresh, &any, &turned].concat()).is_empty());
}

#[test]
fn missing_late_or_repeated_answers_and_sends_after_the_answer_breach_rule_1() {
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any)]), [1]);
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Lost)]), [1]);
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Wrong)]), [1]);
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any), answered(1, 1.0, How::Shut)]), [0u8; 0]);
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any), answered(1, 1_051.0, How::Errored)]), [1]);
    let twice = vec![asked(1, 0.0, Kind::Any), answered(1, 5.0, How::Busy), answered(1, 9.0, How::Busy)];
    assert_eq!(breached_rules(twice), [1]);
    let after = vec![asked(1, 0.0, Kind::Any), answered(1, 5.0, How::Busy), got(1, 56.0, 1)];
    assert_eq!(breached_rules(after), [1]);
}

#[test]
fn a_send_after_the_client_left_breaches_rule_1() {
    let left = |at| (at, Seen::Left { op: 1 });
    assert!(breached_rules(vec![asked(1, 0.0, Kind::Any), left(5.0)]).is_empty(), "no answer is required");
    let soon = vec![asked(1, 0.0, Kind::Any), left(5.0), got(1, 5.0 + LEAVE_DETECTION_MS, 1)];
    assert!(breached_rules(soon).is_empty());
    let late = 6.0 + LEAVE_DETECTION_MS + SLACK.sent_ms;
    assert_eq!(breached_rules(vec![asked(1, 0.0, Kind::Any), left(5.0), got(1, late, 1)]), [1]);
    // A send before the client left does not excuse a later one.
    let again = vec![asked(1, 0.0, Kind::Any), got(1, 1.0, 0), left(5.0), got(1, late, 1)];
    assert_eq!(breached_rules(again), [1]);
}

#[test]
fn a_fault_on_a_router_excuses_it_only_while_it_lasts() {
    let killed = (500.0, Seen::Killed { router: 0 });
    assert!(breached_rules(vec![asked(1, 0.0, Kind::Any), killed]).is_empty());
    let back = (600.0, Seen::Started { router: 0, life: 1 });
    assert_eq!(breached_rules(vec![killed, back, asked(1, 700.0, Kind::Any)]), [1]);
}

#[test]
fn two_effects_or_an_unjustified_busy_reply_breach_rule_2() {
    let base =
        vec![asked(1, 0.0, Kind::Tokened), got(1, 1.0, 0), got(1, 2.0, 1), answered(1, 9.0, How::Acked(3.0))];
    let twice = [base.clone(), vec![ran(1, 3.0, 0, 3.0), ran(1, 4.0, 1, 4.0)]].concat();
    assert_eq!(breached_rules(twice), [2]);
    let again = (4.0, Seen::Ran { op: 1, host: 1, pos: 3.0, again: true });
    assert!(breached_rules([base, vec![ran(1, 3.0, 0, 3.0), again]].concat()).is_empty());
    assert_eq!(
        breached_rules(vec![asked(1, 0.0, Kind::Once), got(1, 1.0, 0), answered(1, 9.0, How::Busy)]),
        [2]
    );
    // A repeat after hosts stopped dropping repeats of the token; no breach of rule 2 if the first send was
    // rejected.
    let late = 2.0 + TOKEN_WINDOW_MS + SLACK.sent_ms;
    let turned = |at, host| (at, Seen::Turned { op: 1, host });
    let late = vec![asked(1, 0.0, Kind::Tokened), got(1, 1.0, 0), got(1, late, 1), turned(late, 1)];
    assert_eq!(breached_rules(late.clone()), [1, 2], "it also got no answer");
    assert_eq!(breached_rules([late, vec![turned(1.5, 0)]].concat()), [1]);
    let resent =
        vec![asked(1, 0.0, Kind::Once), got(1, 1.0, 0), got(1, 2.0, 1), answered(1, 9.0, How::Errored)];
    assert_eq!(breached_rules(resent), [2]);
}

#[test]
fn a_send_after_the_grace_breaches_rule_3_and_an_overloaded_host_rule_4() {
    let reported = |at, ready| (at, Seen::Told { router: 0, host: 2, ready });
    let op =
        |at: f64| vec![asked(1, at, Kind::Any), got(1, at + 1.0, 2), answered(1, at + 2.0, How::Errored)];
    assert!(
        breached_rules([vec![reported(0.0, true), reported(10.0, false)], op(500.0)].concat()).is_empty()
    );
    assert_eq!(breached_rules([vec![reported(0.0, true), reported(10.0, false)], op(600.0)].concat()), [3]);
    // If draining is reported again, the first report counts; if the host is reported as ready, it may get
    // sends again.
    assert_eq!(
        breached_rules([vec![reported(10.0, false), reported(400.0, false)], op(600.0)].concat()),
        [3]
    );
    assert!(
        breached_rules([vec![reported(10.0, false), reported(400.0, true)], op(600.0)].concat()).is_empty()
    );
    assert_eq!(breached_rules(vec![(5.0, Seen::Fell { host: 1 })]), [4]);
}

#[test]
fn stale_reads_and_reads_from_unlisted_hosts_breach_rule_5() {
    let write = vec![
        asked(1, 0.0, Kind::Once),
        got(1, 1.0, 0),
        ran(1, 5.0, 0, 5.0),
        answered(1, 6.0, How::Acked(5.0)),
    ];
    for kind in [Kind::Fresh, Kind::Session] {
        let read =
            vec![asked(2, 7.0, kind), got(2, 8.0, 1), ran(2, 9.0, 1, 4.0), answered(2, 9.5, How::Acked(4.0))];
        assert_eq!(breached_rules([write.clone(), read].concat()), [5], "{kind:?}");
    }
    let old = STALENESS_BOUND_MS + SLACK.age_ms;
    let bounded = |pos| {
        vec![
            asked(2, 900.0, Kind::Bounded),
            got(2, 901.0, 1),
            ran(2, 902.0, 1, pos),
            answered(2, 903.0, How::Acked(pos)),
        ]
    };
    assert!(breached_rules(bounded(901.0 - old)).is_empty());
    assert_eq!(breached_rules(bounded(900.0 - old)), [5]);
    let unlisted = vec![
        asked(2, 7.0, Kind::Any),
        got(2, 8.0, 5),
        ran(2, 9.0, 5, 9.0),
        answered(2, 9.5, How::Acked(9.0)),
    ];
    assert_eq!(breached_rules(unlisted), [5]);
}

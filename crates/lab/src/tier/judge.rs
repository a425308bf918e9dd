//! The judge: checks the five rules against the events that clients, hosts and the other ends of the
//! laboratory recorded. It relies on nothing that routers report. No I/O.
//!
//! 1. An op gets one final answer, of its own and in time; it is not sent to hosts after that or after its
//!    client left.
//! 2. A write takes effect at most once, is not sent again if the repeat could take effect, and is not
//!    busy-replied if it may have run.
//! 3. No op is sent to a host after the drain grace.
//! 4. No cold host is overloaded.
//! 5. No read returns data older than its op type allows, or from a host that was never listed.

use super::plan::Plan;
use super::record::{How, Kind, Record, STALENESS_BOUND_MS, Seen, TOKEN_WINDOW_MS};
use std::collections::{BTreeMap, HashMap};

/// How long an op may still be sent to hosts after its client left: the router has to notice it first.
const LEAVE_DETECTION_MS: f64 = 300.0;

/// Tolerances beyond the times of the rules, as the laboratory and all routers share one machine.
#[derive(Clone, Copy, Debug)]
pub struct Slack {
    /// A final answer may arrive this long after the client timeout.
    pub answer_ms: f64,
    /// A send that a router made before it answered may reach its host this long after the answer.
    pub sent_ms: f64,
    /// A draining or removed host may get sends this long after the list service reported its state to the
    /// router.
    pub grace_ms: f64,
    /// Data may appear older by this much.
    pub age_ms: f64,
}

/// A breach of a rule: which rule, when, and a description.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// Outcomes of the ops of one op type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub asked: usize,
    pub acked: usize,
    pub busy: usize,
    pub errored: usize,
    /// Not answered for a reason outside the router: the script killed or suspended its process or stalled or
    /// reset its client connections, the connection was never established, or the client left.
    pub excused: usize,
}

/// The result of a judgement.
#[derive(Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub counts: BTreeMap<&'static str, Counts>,
}

impl Verdict {
    /// Number of breaches of a rule.
    pub fn breaches_of(&self, rule: u8) -> usize {
        self.breaches.iter().filter(|b| b.rule == rule).count()
    }

    /// Numbers of breaches of the rules 1 to 5.
    pub fn by_rule(&self) -> [usize; 5] {
        [1, 2, 3, 4, 5].map(|rule| self.breaches_of(rule))
    }

    /// The counts of all op types together.
    pub fn total(&self) -> Counts {
        self.counts.values().fold(Counts::default(), |a, b| Counts {
            asked: a.asked + b.asked,
            acked: a.acked + b.acked,
            busy: a.busy + b.busy,
            errored: a.errored + b.errored,
            excused: a.excused + b.excused,
        })
    }
}

/// What was recorded of one op.
struct Op {
    router: u32,
    life: u32,
    kind: Kind,
    group: u32,
    session: u64,
    asked_at: f64,
    wait: f64,
    /// (time, outcome)
    answers: Vec<(f64, How)>,
    /// When its client left without an answer.
    left_at: Option<f64>,
    /// Sends that reached a host: (time, host).
    sends: Vec<(f64, u32)>,
    /// Hosts that rejected it.
    rejected_by: Vec<u32>,
    /// (time, host, log position, whether it was a repeat without effect)
    runs: Vec<(f64, u32, f64, bool)>,
}

/// Checks a record against the rules. It may hold several answers to an op, although a client uses only the
/// first.
pub fn judge(plan: &Plan, record: &Record, slack: Slack) -> Verdict {
    let mut verdict = Verdict::default();
    let mut ops: HashMap<u64, Op> = HashMap::new();
    let mut order = Vec::new();
    // By router and host: when the list service reported the host to the router, and whether as ready.
    let mut reports: HashMap<(u32, u32), Vec<(f64, bool)>> = HashMap::new();
    // By router: when its process did not run, as the script killed or suspended it.
    let mut outages: HashMap<u32, Vec<(f64, f64)>> = HashMap::new();
    // Every send that reached a host: (time, op, host, router).
    let mut all_sends = Vec::new();
    for (at, seen) in record {
        match *seen {
            Seen::Asked { op, router, life, kind, group, session, wait } => {
                let (answers, left_at, sends, rejected_by, runs) = Default::default();
                let asked_at = *at;
                let new = Op {
                    router,
                    life,
                    kind,
                    group,
                    session,
                    asked_at,
                    wait,
                    answers,
                    left_at,
                    sends,
                    rejected_by,
                    runs,
                };
                ops.insert(op, new);
                order.push(op);
            }
            Seen::Answered { op, how } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.answers.push((*at, how));
                }
            }
            Seen::Got { op, host, router } => {
                all_sends.push((*at, op, host, router));
                if let Some(op) = ops.get_mut(&op) {
                    op.sends.push((*at, host));
                }
            }
            Seen::Turned { op, host } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.rejected_by.push(host);
                }
            }
            Seen::Ran { op, host, pos, again } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.runs.push((*at, host, pos, again));
                }
            }
            Seen::Told { router, host, ready } => {
                reports.entry((router, host)).or_default().push((*at, ready))
            }
            Seen::Fell { host } => {
                verdict.breaches.push(Breach {
                    rule: 4,
                    at: *at,
                    what: format!("host {host} was overloaded while cold"),
                });
            }
            // A kill lasts until the next start, a suspension until the process is resumed.
            Seen::Killed { router } | Seen::Stopped { router, on: true } => {
                outages.entry(router).or_default().push((*at, f64::INFINITY));
            }
            Seen::Started { router, .. } | Seen::Stopped { router, on: false } => {
                if let Some(last) = outages.get_mut(&router).and_then(|t| t.last_mut()) {
                    last.1 = last.1.min(*at);
                }
            }
            Seen::Left { op } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.left_at = Some(*at);
                }
            }
            Seen::Peers { .. } => {}
        }
    }
    let was_down = |router: u32, from: f64, until: f64| {
        outages.get(&router).is_some_and(|t| t.iter().any(|(a, b)| *a <= until && from <= *b))
    };
    let mut breach = |rule, at, what: String| verdict.breaches.push(Breach { rule, at, what });
    for id in &order {
        let op = &ops[id];
        let name = format!("op {id:x} ({:?}, router {})", op.kind, op.router);
        let until = op.asked_at + op.wait + slack.answer_ms;
        let counts = verdict.counts.entry(op.kind.name()).or_default();
        counts.asked += 1;
        // Besides outages of the router, faults on the client link excuse a missing or late answer.
        let client_link = plan.client_link(op.router as usize, op.asked_at, until);
        let excused =
            was_down(op.router, op.asked_at - slack.answer_ms, until) || client_link.0 || client_link.1;
        if op.answers.iter().any(|(_, how)| *how == How::Shut) && op.sends.is_empty() {
            counts.excused += 1;
            continue;
        }
        if let Some((at, _)) = op.answers.iter().find(|(_, how)| *how == How::Wrong) {
            breach(1, *at, format!("{name} was served a value of another op or of none"));
        }
        // Once its client left, a send of the op is useless load, and may have an effect.
        if let Some(left_at) = op.left_at {
            let after = op
                .sends
                .iter()
                .filter(|(sent_at, _)| *sent_at > left_at + LEAVE_DETECTION_MS + slack.sent_ms && !excused);
            after.for_each(|(sent_at, host)| {
                let late = sent_at - left_at;
                breach(
                    1,
                    *sent_at,
                    format!("{name} was sent to host {host} {late:.0} ms after its client left"),
                );
            });
        }
        let final_answer = op.answers.iter().find(|(_, how)| !matches!(how, How::Lost | How::Shut));
        match final_answer {
            Some((_, How::Acked(_))) => counts.acked += 1,
            Some((_, How::Busy)) => counts.busy += 1,
            Some((_, How::Errored)) => counts.errored += 1,
            _ if excused || op.left_at.is_some() => counts.excused += 1,
            _ => {}
        }
        // Rule 1: one final answer in time, and nothing sent after it.
        match final_answer {
            None if !excused && op.left_at.is_none() => {
                breach(1, op.asked_at, format!("{name} got no answer"))
            }
            Some((at, _)) if *at > until && !excused => {
                breach(1, *at, format!("{name} got its answer {:.0} ms late", at - until));
            }
            Some((at, _)) => {
                let after = op.sends.iter().filter(|(sent_at, _)| *sent_at > at + slack.sent_ms && !excused);
                after.for_each(|(sent_at, host)| {
                    breach(
                        1,
                        *sent_at,
                        format!("{name} was sent to host {host} {:.0} ms after its answer", sent_at - at),
                    );
                });
            }
            None => {}
        }
        if op.answers.iter().filter(|(_, how)| *how != How::Lost).count() > 1 {
            breach(1, op.asked_at, format!("{name} got {} answers", op.answers.len()));
        }
        // Rule 2: no effect twice, and a busy reply only if the write cannot have run (a retry is harmless).
        if op.kind.is_write() {
            let effects = op.runs.iter().filter(|(.., again)| !again).count();
            if effects > 1 {
                breach(2, op.runs[1].0, format!("{name} took effect {effects} times"));
            }
            let may_have_run = op.sends.len() > op.rejected_by.len();
            if matches!(final_answer, Some((_, How::Busy))) && may_have_run {
                breach(2, op.asked_at, format!("{name} was busy-replied although it may have run"));
            }
            let window_end =
                op.sends.first().map_or(f64::INFINITY, |(at, _)| at + TOKEN_WINDOW_MS + slack.sent_ms);
            let late = op.sends.iter().find(|(at, _)| op.kind == Kind::Tokened && *at > window_end);
            if let Some((at, host)) = late.filter(|_| may_have_run) {
                let past = at - window_end;
                breach(
                    2,
                    *at,
                    format!(
                        "{name} was sent to host {host} {past:.0} ms after hosts stopped dropping its repeats"
                    ),
                );
            }
            let possible_runs = op.sends.len().saturating_sub(op.rejected_by.len());
            if op.kind == Kind::Once && possible_runs > 1 {
                breach(2, op.sends[1].0, format!("{name} was sent {possible_runs} times and may have run"));
            }
        }
    }
    // Rule 3: no send to a host after the drain grace. The last report of the list service counts.
    for (at, op, host, router) in all_sends {
        let Some(reports) = reports.get(&(router, host)) else { continue };
        let last = reports.iter().rev().find(|(when, _)| *when <= at);
        // The first of the latest uninterrupted reports that the host is not ready.
        let since =
            reports.iter().rev().filter(|(when, _)| *when <= at).take_while(|(_, ready)| !ready).last();
        if last.is_some_and(|(_, ready)| !ready)
            && let Some((since, _)) = since
            && at > since + slack.grace_ms
            && !was_down(router, *since, at)
        {
            let late = at - since - slack.grace_ms;
            breach(
                3,
                at,
                format!("op {op:x} went to host {host}, {late:.0} ms after the grace, from router {router}"),
            );
        }
    }
    check_staleness(plan, &ops, &order, slack, &mut breach);
    verdict.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

/// Rule 5: compares the log position that served reads saw with the position that they had to see.
fn check_staleness(
    plan: &Plan,
    ops: &HashMap<u64, Op>,
    order: &[u64],
    slack: Slack,
    breach: &mut impl FnMut(u8, f64, String),
) {
    // Acked writes by group, and by session, router and start count, in order of the ack: (time of the ack,
    // highest commit so far).
    let mut acked: HashMap<u32, Vec<(f64, f64)>> = HashMap::new();
    let mut sessions: HashMap<(u64, u32, u32), Vec<(f64, f64)>> = HashMap::new();
    let mut writes: Vec<(f64, &Op, f64)> = Vec::new();
    for id in order {
        let op = &ops[id];
        let first = op.answers.iter().find(|(_, how)| *how != How::Lost);
        if let Some((at, How::Acked(pos))) = first
            && op.kind.is_write()
        {
            writes.push((*at, op, *pos));
        }
    }
    writes.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, op, commit) in writes {
        for list in [
            acked.entry(op.group).or_default(),
            sessions.entry((op.session, op.router, op.life)).or_default(),
        ] {
            let highest = list.last().map_or(f64::NEG_INFINITY, |(_, commit)| *commit);
            list.push((at, commit.max(highest)));
        }
    }
    let last_commit_before = |list: Option<&Vec<(f64, f64)>>, at: f64| {
        let list = list.map_or(&[][..], |l| &l[..]);
        let n = list.partition_point(|(when, _)| *when < at);
        n.checked_sub(1).map(|n| list[n].1)
    };
    for id in order {
        let op = &ops[id];
        let Some((at, How::Acked(pos))) = op.answers.iter().find(|(_, how)| *how != How::Lost) else {
            continue;
        };
        let required = match op.kind {
            Kind::Fresh => last_commit_before(acked.get(&op.group), op.asked_at),
            Kind::Session => last_commit_before(sessions.get(&(op.session, op.router, op.life)), op.asked_at),
            // The record does not show which send was answered: the last one that reached a host is assumed.
            Kind::Bounded => {
                let last_send_at =
                    op.sends.iter().map(|(sent_at, _)| *sent_at).fold(f64::NEG_INFINITY, f64::max);
                (last_send_at > f64::NEG_INFINITY).then_some(last_send_at - STALENESS_BOUND_MS - slack.age_ms)
            }
            _ => None,
        };
        if let Some(required) = required
            && *pos < required
        {
            let (kind, group) = (op.kind, op.group);
            breach(
                5,
                *at,
                format!("op {id:x} ({kind:?}, group {group}) saw data {:.1} ms too old", required - pos),
            );
        }
    }
    // Data may come from a host that has left the list, but never from one that was not listed.
    for id in order {
        for (at, host, ..) in &ops[id].runs {
            if plan.list_state(*host as usize, *at + slack.grace_ms).is_none() {
                breach(5, *at, format!("op {id:x} ran on host {host}, which was never listed"));
            }
        }
    }
}

#[cfg(test)]
mod tests;

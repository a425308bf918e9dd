//! The outside judge: the five rules, from what clients and hosts recorded. It believes no router. No I/O.

use super::plan::Plan;
use super::record::{BOUND_MS, How, Kind, Record, Seen, WINDOW_MS};
use std::collections::{BTreeMap, HashMap};

/// An op whose client has gone may still be sent on for so long: the news of it has a way to go.
const LEFT_MS: f64 = 300.0;

/// What the machine itself may take beyond the rules' times: the laboratory's ends and all routers share it.
#[derive(Clone, Copy, Debug)]
pub struct Slack {
    /// A final answer may come so long after the client's time.
    pub answer_ms: f64,
    /// What a router sent before it answered may reach its host so long after that.
    pub sent_ms: f64,
    /// A host that drains or is gone may be sent to for so long after the router was told.
    pub grace_ms: f64,
    /// Data may seem older by so much.
    pub age_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// What came of the ops, by op type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub asked: usize,
    pub acked: usize,
    pub busy: usize,
    pub errored: usize,
    /// Not answered, for a reason that is no router's: its process was killed or stopped by the script, or the client's
    /// connection was never opened, or its client went.
    pub excused: usize,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub counts: BTreeMap<&'static str, Counts>,
}

impl Verdict {
    pub fn of(&self, rule: u8) -> usize {
        self.breaches.iter().filter(|b| b.rule == rule).count()
    }

    /// Breaches of the rules 1 to 5.
    pub fn by_rule(&self) -> [usize; 5] {
        [1, 2, 3, 4, 5].map(|rule| self.of(rule))
    }

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

struct Op {
    router: u32,
    life: u32,
    kind: Kind,
    group: u32,
    session: u64,
    asked: f64,
    wait: f64,
    answers: Vec<(f64, How)>,
    /// When its client went without an answer.
    left: Option<f64>,
    got: Vec<(f64, u32)>,
    turned: Vec<u32>,
    ran: Vec<(f64, u32, f64, bool)>,
}

/// A client is told the first answer only; what else came is in the record too.
pub fn judge(plan: &Plan, record: &Record, slack: Slack) -> Verdict {
    let mut verdict = Verdict::default();
    let mut ops: HashMap<u64, Op> = HashMap::new();
    let mut order = Vec::new();
    // When each router was last told that a host is not ready; and when its process was killed or stopped.
    let mut told: HashMap<(u32, u32), Vec<(f64, bool)>> = HashMap::new();
    let mut troubles: HashMap<u32, Vec<(f64, f64)>> = HashMap::new();
    let mut sends = Vec::new();
    for (at, seen) in record {
        match *seen {
            Seen::Asked { op, router, life, kind, group, session, wait } => {
                let (answers, left, got, turned, ran) = Default::default();
                let asked = *at;
                let new =
                    Op { router, life, kind, group, session, asked, wait, answers, left, got, turned, ran };
                ops.insert(op, new);
                order.push(op);
            }
            Seen::Answered { op, how } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.answers.push((*at, how));
                }
            }
            Seen::Got { op, host, router } => {
                sends.push((*at, op, host, router));
                if let Some(op) = ops.get_mut(&op) {
                    op.got.push((*at, host));
                }
            }
            Seen::Turned { op, host } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.turned.push(host);
                }
            }
            Seen::Ran { op, host, pos, again } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.ran.push((*at, host, pos, again));
                }
            }
            Seen::Told { router, host, ready } => told.entry((router, host)).or_default().push((*at, ready)),
            Seen::Fell { host } => {
                verdict.breaches.push(Breach {
                    rule: 4,
                    at: *at,
                    what: format!("host {host} was pushed over"),
                });
            }
            // Killed until started, stopped until continued.
            Seen::Killed { router } | Seen::Stopped { router, on: true } => {
                troubles.entry(router).or_default().push((*at, f64::INFINITY));
            }
            Seen::Started { router, .. } | Seen::Stopped { router, on: false } => {
                if let Some(last) = troubles.get_mut(&router).and_then(|t| t.last_mut()) {
                    last.1 = last.1.min(*at);
                }
            }
            Seen::Left { op } => {
                if let Some(op) = ops.get_mut(&op) {
                    op.left = Some(*at);
                }
            }
            Seen::Peers { .. } => {}
        }
    }
    let troubled = |router: u32, from: f64, until: f64| {
        troubles.get(&router).is_some_and(|t| t.iter().any(|(a, b)| *a <= until && from <= *b))
    };
    let mut breach = |rule, at, what: String| verdict.breaches.push(Breach { rule, at, what });
    for id in &order {
        let op = &ops[id];
        let name = format!("op {id:x} ({:?}, router {})", op.kind, op.router);
        let until = op.asked + op.wait + slack.answer_ms;
        let counts = verdict.counts.entry(op.kind.name()).or_default();
        counts.asked += 1;
        // Nor can a client say when an answer came whose way the script has stalled or reset.
        let way = plan.client_way(op.router as usize, op.asked, until);
        let excused = troubled(op.router, op.asked - slack.answer_ms, until) || way.0 || way.1;
        if op.answers.iter().any(|(_, how)| *how == How::Shut) && op.got.is_empty() {
            counts.excused += 1;
            continue;
        }
        if let Some((at, _)) = op.answers.iter().find(|(_, how)| *how == How::Wrong) {
            breach(1, *at, format!("{name} was served what was not made for it"));
        }
        // Nobody waits for it: what is still sent for it some time later is load for nothing, and may have an effect.
        if let Some(left) = op.left {
            let after = op.got.iter().filter(|(got, _)| *got > left + LEFT_MS + slack.sent_ms && !excused);
            after.for_each(|(got, host)| {
                let late = got - left;
                breach(1, *got, format!("{name} was sent to host {host} {late:.0} ms after its client left"));
            });
        }
        let whole = op.answers.iter().find(|(_, how)| !matches!(how, How::Lost | How::Shut));
        match whole {
            Some((_, How::Acked(_))) => counts.acked += 1,
            Some((_, How::Busy)) => counts.busy += 1,
            Some((_, How::Errored)) => counts.errored += 1,
            _ if excused || op.left.is_some() => counts.excused += 1,
            _ => {}
        }
        // Rule 1: one final answer in time, and nothing sent after it.
        match whole {
            None if !excused && op.left.is_none() => breach(1, op.asked, format!("{name} got no answer")),
            Some((at, _)) if *at > until && !excused => {
                breach(1, *at, format!("{name} got its answer {:.0} ms late", at - until));
            }
            Some((at, _)) => {
                let after = op.got.iter().filter(|(got, _)| *got > at + slack.sent_ms && !excused);
                after.for_each(|(got, host)| {
                    breach(
                        1,
                        *got,
                        format!("{name} was sent to host {host} {:.0} ms after its answer", got - at),
                    );
                });
            }
            None => {}
        }
        if op.answers.iter().filter(|(_, how)| *how != How::Lost).count() > 1 {
            breach(1, op.asked, format!("{name} got {} answers", op.answers.len()));
        }
        // Rule 2: no effect twice, and busy only where trying again is harmless.
        if op.kind.writes() {
            let effects = op.ran.iter().filter(|(.., again)| !again).count();
            if effects > 1 {
                breach(2, op.ran[1].0, format!("{name} took effect {effects} times"));
            }
            let may_have_run = op.got.len() > op.turned.len();
            if matches!(whole, Some((_, How::Busy))) && may_have_run {
                breach(2, op.asked, format!("{name} was busy-replied although it may have run"));
            }
            let window = op.got.first().map_or(f64::INFINITY, |(at, _)| at + WINDOW_MS + slack.sent_ms);
            let late = op.got.iter().find(|(at, _)| op.kind == Kind::Tokened && *at > window);
            if let Some((at, host)) = late.filter(|_| may_have_run) {
                let past = at - window;
                breach(
                    2,
                    *at,
                    format!("{name} was sent to host {host} {past:.0} ms past what drops repeats"),
                );
            }
            let may_run = op.got.len().saturating_sub(op.turned.len());
            if op.kind == Kind::Once && may_run > 1 {
                breach(2, op.got[1].0, format!("{name} was sent {may_run} times and may have run"));
            }
        }
    }
    // Rule 3: nothing new to a host after the grace; what was told last counts.
    for (at, op, host, router) in sends {
        let Some(told) = told.get(&(router, host)) else { continue };
        let last = told.iter().rev().find(|(when, _)| *when <= at);
        // The first of the tellings in a row that it is not ready.
        let since = told.iter().rev().filter(|(when, _)| *when <= at).take_while(|(_, ready)| !ready).last();
        if last.is_some_and(|(_, ready)| !ready)
            && let Some((since, _)) = since
            && at > since + slack.grace_ms
            && !troubled(router, *since, at)
        {
            let late = at - since - slack.grace_ms;
            breach(
                3,
                at,
                format!("op {op:x} went to host {host}, {late:.0} ms after the grace, from router {router}"),
            );
        }
    }
    stale(plan, &ops, &order, slack, &mut breach);
    verdict.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}

/// Rule 5, for reads that were served: what they saw against what they had to see.
fn stale(
    plan: &Plan,
    ops: &HashMap<u64, Op>,
    order: &[u64],
    slack: Slack,
    breach: &mut impl FnMut(u8, f64, String),
) {
    // Acked writes by group, in order of the ack: (when, commit), with the highest commit so far.
    let mut acked: HashMap<u32, Vec<(f64, f64)>> = HashMap::new();
    let mut sessions: HashMap<(u64, u32, u32), Vec<(f64, f64)>> = HashMap::new();
    let mut writes: Vec<(f64, &Op, f64)> = Vec::new();
    for id in order {
        let op = &ops[id];
        let first = op.answers.iter().find(|(_, how)| *how != How::Lost);
        if let Some((at, How::Acked(pos))) = first
            && op.kind.writes()
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
            let before = list.last().map_or(f64::NEG_INFINITY, |(_, commit)| *commit);
            list.push((at, commit.max(before)));
        }
    }
    let before = |list: Option<&Vec<(f64, f64)>>, at: f64| {
        let list = list.map_or(&[][..], |l| &l[..]);
        let n = list.partition_point(|(when, _)| *when < at);
        n.checked_sub(1).map(|n| list[n].1)
    };
    for id in order {
        let op = &ops[id];
        let Some((at, How::Acked(pos))) = op.answers.iter().find(|(_, how)| *how != How::Lost) else {
            continue;
        };
        let need = match op.kind {
            Kind::Fresh => before(acked.get(&op.group), op.asked),
            Kind::Session => before(sessions.get(&(op.session, op.router, op.life)), op.asked),
            // The send that was served is not told apart: the last one that a host got.
            Kind::Bounded => {
                let sent = op.got.iter().map(|(got, _)| *got).fold(f64::NEG_INFINITY, f64::max);
                (sent > f64::NEG_INFINITY).then_some(sent - BOUND_MS - slack.age_ms)
            }
            _ => None,
        };
        if let Some(need) = need
            && *pos < need
        {
            let (kind, group) = (op.kind, op.group);
            breach(
                5,
                *at,
                format!("op {id:x} ({kind:?}, group {group}) saw data {:.1} ms too old", need - pos),
            );
        }
    }
    // A host that is gone says nothing of freshness, but nobody's data may come from one never listed.
    for id in order {
        for (at, host, ..) in &ops[id].ran {
            if plan.listed(*host as usize, *at + slack.grace_ms).is_none() {
                breach(5, *at, format!("op {id:x} ran on host {host}, which was never listed"));
            }
        }
    }
}

#[cfg(test)]
mod tests;

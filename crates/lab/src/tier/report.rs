//! What a play came to, in lines: counts, breaches, and how evenly hosts were used.

use super::plan::{Listed, Plan};
use super::record::{Record, Seen};
use super::runner::RunOutcome;
use std::collections::HashMap;

/// Warm replicas' reads in windows, over what their sizes make their part of their group's.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareStats {
    pub p99: f64,
    pub max: f64,
    pub median: f64,
    pub min: f64,
    /// Parts counted.
    pub count: usize,
}

pub const WINDOW_MS: f64 = 2_000.0;
/// A host that started within this time is not counted as warm.
const WARM_MS: f64 = 10_000.0;
/// Under so many for each replica, the draw of ops alone would be what is measured.
const FEWEST: f64 = 20.0;

/// A group's replicas that are there and warm in all of a window that starts then.
pub fn warm_replicas(plan: &Plan, group: usize, start: f64) -> Vec<usize> {
    warm_in(plan, group, start, start + WINDOW_MS)
}

fn warm_in(plan: &Plan, group: usize, from: f64, until: f64) -> Vec<usize> {
    let s = &plan.script;
    let warm = |h: &usize| {
        let started = plan.changes.iter().filter(|c| c.host == *h).filter_map(|c| c.started).next_back();
        let there = |at| plan.listed(*h, at) == Some(Listed::Ready) && !plan.down(*h, at);
        there(from) && there(until) && started.is_none_or(|at| from - at > WARM_MS)
    };
    let leads = |h: &usize| plan.primary(group, from) == Some(*h) || plan.primary(group, until) == Some(*h);
    let all = (0..s.all_hosts()).filter(|h| s.group_of(*h) == group);
    all.filter(warm).filter(|h| !leads(h)).collect()
}

/// Each counted replica's part in one window.
pub fn replica_shares(plan: &Plan, record: &Record, from: f64, until: f64) -> Vec<(usize, f64)> {
    // The record is in order of time.
    let (a, b) =
        (record.partition_point(|(at, _)| *at < from), record.partition_point(|(at, _)| *at < until));
    let mut sends = HashMap::<usize, f64>::new();
    for (_, seen) in &record[a..b] {
        if let Seen::Got { host, .. } = seen {
            *sends.entry(*host as usize).or_default() += 1.0;
        }
    }
    let (s, mut parts) = (&plan.script, Vec::new());
    for group in 0..s.groups {
        let replicas = warm_in(plan, group, from, until);
        let got = |h: &usize| sends.get(h).copied().unwrap_or(0.0);
        let total: f64 = replicas.iter().map(got).sum();
        let size: f64 = replicas.iter().map(|h| s.size(*h)).sum();
        if replicas.len() > 1 && total >= FEWEST * replicas.len() as f64 {
            parts.extend(replicas.iter().map(|h| (*h, got(h) / (total * s.size(*h) / size))));
        }
    }
    parts
}

/// All windows of so many ms between these times.
pub fn share_stats_with_window(
    plan: &Plan,
    record: &Record,
    from: f64,
    until: f64,
    window: f64,
) -> ShareStats {
    let count = ((until - from) / window) as usize;
    let starts = (0..count).map(|n| from + n as f64 * window);
    let mut parts: Vec<f64> =
        starts.flat_map(|at| replica_shares(plan, record, at, at + window)).map(|(_, part)| part).collect();
    parts.sort_by(f64::total_cmp);
    let at = |part: f64| parts.get(((parts.len() as f64 - 1.0) * part).max(0.0) as usize).copied();
    let some = |part| at(part).unwrap_or(1.0);
    ShareStats { p99: some(0.99), max: some(1.0), median: some(0.5), min: some(0.0), count: parts.len() }
}

pub fn share_stats(plan: &Plan, record: &Record, from: f64, until: f64) -> ShareStats {
    share_stats_with_window(plan, record, from, until, WINDOW_MS)
}

/// Between these times, in ms.
pub fn outcome_share_stats(played: &RunOutcome, from: f64, until: f64) -> ShareStats {
    share_stats(&played.plan, &played.record, from, until)
}

/// Lines for a person; the last one holds the figures.
pub fn summary_lines(played: &RunOutcome) -> Vec<String> {
    let mut lines = Vec::new();
    for (kind, c) in &played.verdict.counts {
        lines.push(format!(
            "{kind:5} asked {:6} acked {:6} busy {:5} errored {:5} excused {:5}",
            c.asked, c.acked, c.busy, c.errored, c.excused
        ));
    }
    for breach in played.verdict.breaches.iter().take(12) {
        lines.push(format!("rule {} at {:.0} ms: {}", breach.rule, breach.at, breach.what));
    }
    lines.extend(played.crashed.iter().cloned());
    let total = played.verdict.total();
    let (mut datagrams, mut bytes) = (0u64, 0u64);
    for (_, seen) in &played.record {
        if let Seen::Peers { datagrams: d, bytes: b, .. } = seen {
            datagrams += u64::from(*d);
            bytes += u64::from(*b);
        }
    }
    let s = &played.plan.script;
    let seconds = played.plan.ends_at() / 1e3;
    let even = outcome_share_stats(played, 0.0, s.lasts_ms);
    lines.push(format!(
        "ops {} acked {:.4} breaches {:?} crashed {} | part p99 {:.2} median {:.2} least {:.2} of {} | of a core a router \
         {:.4} | datagrams a second and router {:.2}, bytes {:.0}",
        total.asked,
        total.acked as f64 / (total.asked - total.excused).max(1) as f64,
        played.verdict.by_rule(),
        played.crashed.len(),
        even.p99,
        even.median,
        even.min,
        even.count,
        played.processor_ms.iter().sum::<f64>() / s.routers as f64 / (seconds * 1e3),
        datagrams as f64 / seconds / s.routers as f64,
        bytes as f64 / seconds / s.routers as f64,
    ));
    lines
}

//! The report of a run: counts, breaches of the rules, and how evenly the hosts were used.

use super::plan::{ListState, Plan};
use super::record::{Record, Seen};
use super::runner::RunOutcome;
use std::collections::HashMap;

/// Distribution of relative shares: the sends that a warm replica got in a window over its fair share of
/// those of its group, which is in proportion to its size. 1 is even.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareStats {
    pub p99: f64,
    pub max: f64,
    pub median: f64,
    pub min: f64,
    /// Number of shares: one for each window and replica.
    pub count: usize,
}

/// Length of a window, unless another is given.
pub const WINDOW_MS: f64 = 2_000.0;
/// A host that started less than this before a window is not counted as warm.
const WARM_MS: f64 = 10_000.0;
/// Lowest number of sends per replica in a window. With fewer, the randomness of ops would dominate the
/// result.
const MIN_SENDS_PER_REPLICA: f64 = 20.0;

/// A group's replicas that are ready and warm at the start and at the end of the window that begins at
/// `start`.
pub fn warm_replicas(plan: &Plan, group: usize, start: f64) -> Vec<usize> {
    warm_replicas_between(plan, group, start, start + WINDOW_MS)
}

fn warm_replicas_between(plan: &Plan, group: usize, from: f64, until: f64) -> Vec<usize> {
    let s = &plan.script;
    let is_warm = |h: &usize| {
        let started = plan.changes.iter().filter(|c| c.host == *h).filter_map(|c| c.started).next_back();
        let is_ready = |at| plan.list_state(*h, at) == Some(ListState::Ready) && !plan.is_down(*h, at);
        is_ready(from) && is_ready(until) && started.is_none_or(|at| from - at > WARM_MS)
    };
    let is_primary =
        |h: &usize| plan.primary(group, from) == Some(*h) || plan.primary(group, until) == Some(*h);
    let all = (0..s.hosts_with_replacements()).filter(|h| s.group_of(*h) == group);
    all.filter(is_warm).filter(|h| !is_primary(h)).collect()
}

/// The relative share of each counted replica in one window, as (host, share).
pub fn replica_shares(plan: &Plan, record: &Record, from: f64, until: f64) -> Vec<(usize, f64)> {
    // The record is ordered by time.
    let (first, last) =
        (record.partition_point(|(at, _)| *at < from), record.partition_point(|(at, _)| *at < until));
    let mut sends = HashMap::<usize, f64>::new();
    for (_, seen) in &record[first..last] {
        if let Seen::Got { host, .. } = seen {
            *sends.entry(*host as usize).or_default() += 1.0;
        }
    }
    let (s, mut shares) = (&plan.script, Vec::new());
    for group in 0..s.groups {
        let replicas = warm_replicas_between(plan, group, from, until);
        let sends_of = |h: &usize| sends.get(h).copied().unwrap_or(0.0);
        let total: f64 = replicas.iter().map(sends_of).sum();
        let size: f64 = replicas.iter().map(|h| s.size(*h)).sum();
        if replicas.len() > 1 && total >= MIN_SENDS_PER_REPLICA * replicas.len() as f64 {
            shares.extend(replicas.iter().map(|h| (*h, sends_of(h) / (total * s.size(*h) / size))));
        }
    }
    shares
}

/// The relative shares in all consecutive windows of `window` ms between these times.
pub fn share_stats_with_window(
    plan: &Plan,
    record: &Record,
    from: f64,
    until: f64,
    window: f64,
) -> ShareStats {
    let count = ((until - from) / window) as usize;
    let starts = (0..count).map(|n| from + n as f64 * window);
    let mut shares: Vec<f64> =
        starts.flat_map(|at| replica_shares(plan, record, at, at + window)).map(|(_, share)| share).collect();
    shares.sort_by(f64::total_cmp);
    let quantile = |q: f64| shares.get(((shares.len() as f64 - 1.0) * q).max(0.0) as usize).copied();
    let quantile_or_even = |q| quantile(q).unwrap_or(1.0);
    ShareStats {
        p99: quantile_or_even(0.99),
        max: quantile_or_even(1.0),
        median: quantile_or_even(0.5),
        min: quantile_or_even(0.0),
        count: shares.len(),
    }
}

/// The relative shares in windows of [`WINDOW_MS`] between these times.
pub fn share_stats(plan: &Plan, record: &Record, from: f64, until: f64) -> ShareStats {
    share_stats_with_window(plan, record, from, until, WINDOW_MS)
}

/// The relative shares in the windows of a run between these times, in ms.
pub fn outcome_share_stats(outcome: &RunOutcome, from: f64, until: f64) -> ShareStats {
    share_stats(&outcome.plan, &outcome.record, from, until)
}

/// A readable report; its last line holds the figures of the run.
pub fn summary_lines(outcome: &RunOutcome) -> Vec<String> {
    let mut lines = Vec::new();
    for (kind, c) in &outcome.verdict.counts {
        lines.push(format!(
            "{kind:5} asked {:6} acked {:6} busy {:5} errored {:5} excused {:5}",
            c.asked, c.acked, c.busy, c.errored, c.excused
        ));
    }
    for breach in outcome.verdict.breaches.iter().take(12) {
        lines.push(format!("rule {} at {:.0} ms: {}", breach.rule, breach.at, breach.what));
    }
    lines.extend(outcome.crashed.iter().cloned());
    let total = outcome.verdict.total();
    let (mut datagrams, mut bytes) = (0u64, 0u64);
    for (_, seen) in &outcome.record {
        if let Seen::Peers { datagrams: d, bytes: b, .. } = seen {
            datagrams += u64::from(*d);
            bytes += u64::from(*b);
        }
    }
    let s = &outcome.plan.script;
    let seconds = outcome.plan.ends_at() / 1e3;
    let stats = outcome_share_stats(outcome, 0.0, s.lasts_ms);
    lines.push(format!(
        "ops {} acked {:.4} breaches {:?} crashed {} | part p99 {:.2} median {:.2} least {:.2} of {} | \
         of a core a router {:.4} | datagrams a second and router {:.2}, bytes {:.0}",
        total.asked,
        total.acked as f64 / (total.asked - total.excused).max(1) as f64,
        outcome.verdict.by_rule(),
        outcome.crashed.len(),
        stats.p99,
        stats.median,
        stats.min,
        stats.count,
        outcome.processor_ms.iter().sum::<f64>() / s.routers as f64 / (seconds * 1e3),
        datagrams as f64 / seconds / s.routers as f64,
        bytes as f64 / seconds / s.routers as f64,
    ));
    lines
}

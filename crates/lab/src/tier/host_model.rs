//! Model of a simulated host: cores, a queue, reduced capacity while it is cold after a start, and a crash
//! when it is overloaded while cold. Events go in, their results come out; no I/O, no clock.

use super::script::{HostFacts, random_unit};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// The result of handing a statement to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The statement runs between these times.
    Accepted { starts_at: f64, ends_at: f64 },
    /// The queue is full.
    QueueFull,
    /// The host got more work than it can do while cold, and crashes now.
    Overloaded,
}

/// The state of a simulated host. Times are in ms since the start of the run.
pub struct HostModel {
    facts: HostFacts,
    rng: ChaCha8Rng,
    /// When each core becomes free.
    core_free_at: Vec<f64>,
    /// When the queued statements start to run.
    queued_starts: VecDeque<f64>,
    /// None if the host started long ago and is warm.
    started_at: Option<f64>,
    /// Arrival time and mean work of the recent statements that arrived while the host was cold.
    cold_work: VecDeque<(f64, f64)>,
    down_until: f64,
    /// Work done so far, in ms of one core.
    pub work_done_ms: f64,
}

impl HostModel {
    pub fn new(facts: &HostFacts, size: f64, started_at: Option<f64>, rng: ChaCha8Rng) -> HostModel {
        let cores = ((facts.cores as f64 * size) as usize).max(1);
        HostModel {
            facts: facts.clone(),
            rng,
            core_free_at: vec![0.0; cores],
            queued_starts: VecDeque::new(),
            started_at,
            cold_work: VecDeque::new(),
            down_until: 0.0,
            work_done_ms: 0.0,
        }
    }

    /// The fraction of its full capacity that the host has; below 1 while it is cold.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let f = &self.facts;
        let age = self.started_at.map_or(f.cold_ms, |at| (now - at).max(0.0));
        (f.cold_from + (1.0 - f.cold_from) * age / f.cold_ms).min(1.0)
    }

    pub fn is_down(&self, now: f64) -> bool {
        now < self.down_until
    }

    /// Takes the host down until `until`; it comes back cold.
    pub fn crash(&mut self, until: f64) {
        self.down_until = until;
        self.started_at = Some(until);
        self.core_free_at.fill(until);
        self.queued_starts.clear();
        self.cold_work.clear();
    }

    /// Accounts for the work of a new connection.
    pub fn connection_opened(&mut self, now: f64) {
        let cost = self.facts.dial_ms;
        self.run(now, cost);
    }

    /// Hands a completely received statement to the host. `work_factor` scales its work.
    pub fn submit(&mut self, now: f64, is_write: bool, work_factor: f64) -> Admission {
        let mean = if is_write { self.facts.write_ms } else { self.facts.read_ms };
        let spread = self.facts.spread;
        let distribution = LogNormal::new(mean.ln() - spread * spread / 2.0, spread);
        let work = distribution.map_or(mean, |d| d.sample(&mut self.rng)) * work_factor;
        while self.queued_starts.front().is_some_and(|at| *at <= now) {
            self.queued_starts.pop_front();
        }
        if self.capacity_fraction(now) < 1.0 {
            self.cold_work.push_back((now, mean));
            while self.cold_work.front().is_some_and(|(at, _)| now - at > self.facts.fall_ms) {
                self.cold_work.pop_front();
            }
            let possible_work =
                self.core_free_at.len() as f64 * self.capacity_fraction(now) * self.facts.fall_ms;
            if self.cold_work.iter().map(|(_, work)| work).sum::<f64>()
                > self.facts.fall_multiple * possible_work
            {
                self.crash(now + self.facts.down_ms);
                return Admission::Overloaded;
            }
        }
        if self.queued_starts.len() >= self.facts.queue {
            return Admission::QueueFull;
        }
        let (starts_at, ends_at) = self.run(now, work);
        if starts_at > now {
            self.queued_starts.push_back(starts_at);
        }
        Admission::Accepted { starts_at, ends_at }
    }

    /// Runs work on the core that is free first, and returns the times at which it starts and ends.
    fn run(&mut self, now: f64, work: f64) -> (f64, f64) {
        let capacity_fraction = self.capacity_fraction(now);
        let free_at = self.core_free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a core");
        let starts_at = free_at.max(now);
        *free_at = starts_at + work / capacity_fraction;
        self.work_done_ms += work;
        (starts_at, *free_at)
    }

    /// A random number in [0, 1) from the generator of this host.
    pub fn random_unit(&mut self) -> f64 {
        random_unit(&mut self.rng)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::rand_core::SeedableRng;

    fn host(started_at: Option<f64>) -> HostModel {
        HostModel::new(&HostFacts::default(), 1.0, started_at, ChaCha8Rng::seed_from_u64(3))
    }

    /// Submits reads at even intervals; returns how many ran, and whether the host was overloaded.
    fn submit_reads(host: &mut HostModel, from: f64, per_second: usize, seconds: usize) -> (usize, bool) {
        let (mut ran, mut overloaded) = (0, false);
        for n in 0..per_second * seconds {
            match host.submit(from + n as f64 * 1000.0 / per_second as f64, false, 1.0) {
                Admission::Accepted { .. } => ran += 1,
                Admission::QueueFull => {}
                Admission::Overloaded => overloaded = true,
            }
        }
        (ran, overloaded)
    }

    #[test]
    fn a_warm_host_is_never_overloaded_and_uses_all_its_cores() {
        let mut warm = host(None);
        let (ran, overloaded) = submit_reads(&mut warm, 0.0, 500, 10);
        // 125 per second at 8 ms each, and what the queue holds.
        assert!(!overloaded && (1_150..1_500).contains(&ran), "{ran}");
    }

    #[test]
    fn a_cold_host_is_overloaded_beyond_its_multiple_and_not_below() {
        // A quarter of 125 per second, times 2.5: 78 at the start, and growing.
        assert!(!submit_reads(&mut host(Some(0.0)), 0.0, 60, 6).1);
        assert!(submit_reads(&mut host(Some(0.0)), 0.0, 140, 3).1);
    }

    #[test]
    fn a_crash_ends_and_leaves_the_host_cold() {
        let mut host = host(None);
        host.crash(500.0);
        assert!(host.is_down(499.0) && !host.is_down(500.0));
        assert!(host.capacity_fraction(500.0) < 0.3 && host.capacity_fraction(20_000.0) == 1.0);
    }
}

//! A stand-in host: cores, a queue, a position in its group's log, cold after a start, falling over when pushed. Events
//! in, what comes of them out; no I/O, no clock.

use super::script::{HostFacts, random_unit};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// What a host does with a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Took {
    /// It begins and ends then.
    Runs { begins: f64, ends: f64 },
    /// Its queue is full, or it drains.
    Full,
    /// It was sent more than it could do while cold, and falls over now.
    Falls,
}

pub struct Machine {
    facts: HostFacts,
    chance: ChaCha8Rng,
    /// When each core is free.
    free: Vec<f64>,
    /// When what is queued begins.
    begins: VecDeque<f64>,
    /// None where it started long ago.
    started: Option<f64>,
    /// Work that came while it is cold, and when.
    came: VecDeque<(f64, f64)>,
    down_until: f64,
    /// Work done so far, in ms of one core.
    pub worked: f64,
}

impl Machine {
    pub fn new(facts: &HostFacts, size: f64, started: Option<f64>, chance: ChaCha8Rng) -> Machine {
        let cores = ((facts.cores as f64 * size) as usize).max(1);
        Machine {
            facts: facts.clone(),
            chance,
            free: vec![0.0; cores],
            begins: VecDeque::new(),
            started,
            came: VecDeque::new(),
            down_until: 0.0,
            worked: 0.0,
        }
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: f64) -> f64 {
        let f = &self.facts;
        let age = self.started.map_or(f.cold_ms, |at| (now - at).max(0.0));
        (f.cold_from + (1.0 - f.cold_from) * age / f.cold_ms).min(1.0)
    }

    pub fn is_down(&self, now: f64) -> bool {
        now < self.down_until
    }

    /// Goes down until then, and comes back cold.
    pub fn crash(&mut self, until: f64) {
        self.down_until = until;
        self.started = Some(until);
        self.free.fill(until);
        self.begins.clear();
        self.came.clear();
    }

    /// Another connection was opened to it.
    pub fn dialled(&mut self, now: f64) {
        let cost = self.facts.dial_ms;
        self.run(now, cost);
    }

    /// A statement's last byte has come.
    pub fn take(&mut self, now: f64, writes: bool, times: f64) -> Took {
        let mean = if writes { self.facts.write_ms } else { self.facts.read_ms };
        let spread = self.facts.spread;
        let drawn = LogNormal::new(mean.ln() - spread * spread / 2.0, spread);
        let work = drawn.map_or(mean, |d| d.sample(&mut self.chance)) * times;
        while self.begins.front().is_some_and(|at| *at <= now) {
            self.begins.pop_front();
        }
        if self.warmth(now) < 1.0 {
            self.came.push_back((now, mean));
            while self.came.front().is_some_and(|(at, _)| now - at > self.facts.fall_ms) {
                self.came.pop_front();
            }
            let able = self.free.len() as f64 * self.warmth(now) * self.facts.fall_ms;
            if self.came.iter().map(|(_, work)| work).sum::<f64>() > self.facts.fall_multiple * able {
                self.crash(now + self.facts.down_ms);
                return Took::Falls;
            }
        }
        if self.begins.len() >= self.facts.queue {
            return Took::Full;
        }
        let (begins, ends) = self.run(now, work);
        if begins > now {
            self.begins.push_back(begins);
        }
        Took::Runs { begins, ends }
    }

    fn run(&mut self, now: f64, work: f64) -> (f64, f64) {
        let warmth = self.warmth(now);
        let free = self.free.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a core");
        let begins = free.max(now);
        *free = begins + work / warmth;
        self.worked += work;
        (begins, *free)
    }

    /// Chance of its own, in [0, 1).
    pub fn random_unit(&mut self) -> f64 {
        random_unit(&mut self.chance)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::rand_core::SeedableRng;

    fn machine(started: Option<f64>) -> Machine {
        Machine::new(&HostFacts::default(), 1.0, started, ChaCha8Rng::seed_from_u64(3))
    }

    /// Reads at even times, a second's count of them: how many ran, and whether it fell.
    fn feed(machine: &mut Machine, from: f64, a_second: usize, seconds: usize) -> (usize, bool) {
        let (mut ran, mut fell) = (0, false);
        for n in 0..a_second * seconds {
            match machine.take(from + n as f64 * 1000.0 / a_second as f64, false, 1.0) {
                Took::Runs { .. } => ran += 1,
                Took::Full => {}
                Took::Falls => fell = true,
            }
        }
        (ran, fell)
    }

    #[test]
    fn a_warm_one_never_falls_and_does_what_its_cores_can() {
        let mut warm = machine(None);
        let (ran, fell) = feed(&mut warm, 0.0, 500, 10);
        // 125 a second at 8 ms each, and what its queue holds.
        assert!(!fell && (1_150..1_500).contains(&ran), "{ran}");
    }

    #[test]
    fn a_cold_one_falls_beyond_its_multiple_and_not_below_it() {
        // A quarter of 125 a second, 2.5 times: 78 at the start, growing.
        assert!(!feed(&mut machine(Some(0.0)), 0.0, 60, 6).1);
        assert!(feed(&mut machine(Some(0.0)), 0.0, 140, 3).1);
    }

    #[test]
    fn a_crash_ends_and_leaves_it_cold() {
        let mut one = machine(None);
        one.crash(500.0);
        assert!(one.is_down(499.0) && !one.is_down(500.0));
        assert!(one.warmth(500.0) < 0.3 && one.warmth(20_000.0) == 1.0);
    }
}

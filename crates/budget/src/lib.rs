//! Admission control by processor time: computes from the processor time that the process is granted and has
//! used how many connections it may accept and which share of ops it may admit. No I/O and no clock: the
//! router's client loop reports the time used on every tick and applies the resulting [`AdmissionLimits`].
//! The decision module receives the share and chooses which ops are refused.
//!
//! The cheapest work to defer is shed first. A connection in the listen backlog costs nothing, so accepting
//! connections is throttled before ops are refused, and recovers after them; clients that retry before their
//! retry-after time are disconnected during overload and then wait in the backlog too. The platform pauses
//! the process when the grant is used up, so measured use can't exceed it: the controller instead aims at a
//! target just below the grant, with small gains so that the limits don't oscillate. Before anything is shed,
//! the loops batch their work, which makes all of it cheaper.

mod allowance;

pub use allowance::Allowance;

/// The load, as a fraction of the grant, at which the limits settle.
const TARGET_LOAD: f64 = 0.93;
/// Per control step and unit of load above the target, the limits shrink by this fraction.
const DECREASE_GAIN: f64 = 0.50;
/// The same for growing below the target: small, as refused clients that were given a retry-after time have
/// yet to return.
const INCREASE_GAIN: f64 = 0.15;
/// Below this load the cause of the overload is taken to be gone, and the limits recover by the second,
/// larger gain as well.
const LOW_LOAD: f64 = 0.75;
const LOW_LOAD_INCREASE_GAIN: f64 = 0.80;
/// The limit on accepting changes by the factor of the limit on ops, raised to this power.
const ACCEPT_EXPONENT: f64 = 3.0;
/// The batch delay is adjusted to keep the load at this value: an op that wakes every thread for itself alone
/// costs four times as much as one handled in a batch.
const BATCHING_TARGET_LOAD: f64 = 0.80;
const MAX_BATCH_DELAY_MS: f64 = 12.0;
const MIN_BATCH_DELAY_MS: f64 = 0.25;
/// Per control step and unit of load off [`BATCHING_TARGET_LOAD`], the batch delay changes by this fraction.
const BATCHING_GAIN: f64 = 1.0;
/// Length of a control step, to which the gains refer.
const CONTROL_STEP_MS: f64 = 50.0;
/// Time constant of the moving average of the load: longer than the platform's pauses of the process, shorter
/// than an overload.
const LOAD_SMOOTHING_MS: f64 = 250.0;
/// Floors of the limits: if nothing were admitted, no client would find out that there is capacity again.
const MIN_ACCEPT_SHARE: f64 = 0.01;
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// The retry-after time given to refused ops grows while refusing takes more than [`MAX_REFUSAL_LOAD`] of the
/// grant, as early retries cost processor time that other clients need.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
const MAX_RETRY_AFTER_MS: f64 = 1_300.0;
const MAX_REFUSAL_LOAD: f64 = 0.04;
/// Factor by which the retry-after time grows or shrinks per control step.
const RETRY_AFTER_GROWTH: f64 = 1.10;

/// Which work is shed at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum SheddingMode {
    /// Nothing is shed.
    #[default]
    Off,
    /// Connections are accepted at a limited rate; others wait in the listen backlog.
    DelayConnections,
    /// Some ops are refused; connections are limited, too.
    RefuseOps,
}

/// What may be admitted until the next update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    pub mode: SheddingMode,
    /// How long a loop sleeps between two turns, so that each handles a larger batch; 0 to 12 ms.
    pub batch_delay_ms: f64,
    /// Connections that may be accepted per second; infinite while nothing is shed.
    pub accepts_per_second: f64,
    /// Share of the ops that may be admitted, from 0.05 to 1.
    pub admitted_share: f64,
    /// Retry-after time of refused ops, in ms, to be spread over 0.5 to 1.5 times this value; 0 while no op
    /// is refused.
    pub retry_after_ms: f64,
}

/// The admission controller of a router.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The grant, in cores.
    cores: f64,
    /// Connections per second that could be accepted if the grant were spent on nothing else.
    max_accepts_per_second: f64,
    /// Refusals per second at which refusing takes [`MAX_REFUSAL_LOAD`] of the grant.
    max_refusals_per_second: f64,
    /// Time, processor time used (both in ms) and ops refused at the last update.
    last_sample: Option<(f64, f64, usize)>,
    /// Processor time used, as a fraction of the grant, averaged.
    load: f64,
    batch_delay_ms: f64,
    /// Fraction of `max_accepts_per_second` that is allowed.
    accept_share: f64,
    admitted_share: f64,
    retry_after_ms: f64,
    mode: SheddingMode,
}

impl Budget {
    /// `cores` is the grant, above 0. `accept_cost_ms` and `refusal_cost_ms` are the processor time, in ms,
    /// that it takes to accept a connection and to refuse an op.
    pub fn new(cores: f64, accept_cost_ms: f64, refusal_cost_ms: f64) -> Budget {
        let max_accepts_per_second = cores * 1000.0 / accept_cost_ms;
        let max_refusals_per_second = MAX_REFUSAL_LOAD * cores * 1000.0 / refusal_cost_ms;
        let retry_after_ms = MIN_RETRY_AFTER_MS;
        let (load, batch_delay_ms, accept_share, admitted_share, mode) =
            (0.0, 0.0, 1.0, 1.0, SheddingMode::Off);
        Budget {
            cores,
            max_accepts_per_second,
            max_refusals_per_second,
            last_sample: None,
            load,
            batch_delay_ms,
            accept_share,
            admitted_share,
            retry_after_ms,
            mode,
        }
    }

    /// Processor time used, as a fraction of the grant, averaged over about 250 ms: 0 to about 1.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Updates the limits. `now` is the time in ms, `used_ms` the processor time that the process has used
    /// since its start; `refused` counts the ops refused since then. Updates may be late, as the platform
    /// pauses the process at its limit; one whose time runs backwards is ignored.
    pub fn update(&mut self, now: f64, used_ms: f64, refused: usize) -> AdmissionLimits {
        let (last_now, last_used_ms, last_refused) = *self.last_sample.get_or_insert((now, used_ms, refused));
        let elapsed_ms = now - last_now;
        if elapsed_ms >= 1.0 {
            self.last_sample = Some((now, used_ms, refused));
            let load = ((used_ms - last_used_ms).max(0.0) / (elapsed_ms * self.cores)).min(2.0);
            let weight = 1.0 - (-elapsed_ms / LOAD_SMOOTHING_MS).exp();
            self.load += weight * (load - self.load);
            // A very late update shows one pause of the process, not many steps of overload.
            let steps = (elapsed_ms / CONTROL_STEP_MS).min(4.0);
            self.step(steps);
            let refusals_per_second = refused.saturating_sub(last_refused) as f64 * 1000.0 / elapsed_ms;
            let refuses_too_often =
                self.admitted_share < 1.0 && refusals_per_second > self.max_refusals_per_second;
            let factor = if refuses_too_often { RETRY_AFTER_GROWTH } else { 1.0 / RETRY_AFTER_GROWTH };
            self.retry_after_ms =
                (self.retry_after_ms * factor.powf(steps)).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        }
        self.admission_limits()
    }

    fn step(&mut self, steps: f64) {
        let batch_delay_ms = self.batch_delay_ms.max(MIN_BATCH_DELAY_MS)
            * (1.0 + BATCHING_GAIN * (self.load - BATCHING_TARGET_LOAD)).powf(steps);
        self.batch_delay_ms =
            if batch_delay_ms <= MIN_BATCH_DELAY_MS { 0.0 } else { batch_delay_ms.min(MAX_BATCH_DELAY_MS) };
        let excess = self.load - TARGET_LOAD;
        if excess > 0.0 && self.batch_delay_ms < MAX_BATCH_DELAY_MS {
            // Batching, which makes the work cheaper, is increased to its limit before anything is shed.
        } else if excess > 0.0 {
            // Accepting is throttled first, as delaying connections costs least; ops are refused only once
            // its limit is at its floor.
            let decrease = 1.0 - DECREASE_GAIN * excess;
            if self.accept_share > MIN_ACCEPT_SHARE {
                self.accept_share =
                    (self.accept_share * decrease.powf(ACCEPT_EXPONENT * steps)).max(MIN_ACCEPT_SHARE);
            } else {
                self.admitted_share = (self.admitted_share * decrease.powf(steps)).max(MIN_ADMITTED_SHARE);
            }
        } else {
            let increase =
                1.0 - INCREASE_GAIN * excess + LOW_LOAD_INCREASE_GAIN * (LOW_LOAD - self.load).max(0.0);
            let admits_all_ops = self.admitted_share >= 1.0;
            self.admitted_share = (self.admitted_share * increase.powf(steps)).min(1.0);
            if admits_all_ops || self.load < LOW_LOAD {
                self.accept_share = (self.accept_share * increase.powf(ACCEPT_EXPONENT * steps)).min(1.0);
            }
        }
        self.mode = match (self.admitted_share < 1.0, self.accept_share < 1.0) {
            (true, _) => SheddingMode::RefuseOps,
            (false, true) => SheddingMode::DelayConnections,
            (false, false) => SheddingMode::Off,
        };
    }

    /// The limits that apply now.
    pub fn admission_limits(&self) -> AdmissionLimits {
        let is_off = self.mode == SheddingMode::Off;
        AdmissionLimits {
            mode: self.mode,
            batch_delay_ms: self.batch_delay_ms,
            accepts_per_second: if is_off {
                f64::INFINITY
            } else {
                (self.accept_share * self.max_accepts_per_second).max(1.0)
            },
            admitted_share: self.admitted_share,
            retry_after_ms: if self.admitted_share < 1.0 { self.retry_after_ms } else { 0.0 },
        }
    }
}

/// A token bucket for accepting connections, refilled at [`AdmissionLimits::accepts_per_second`].
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptLimiter {
    tokens: f64,
    refilled_at: f64,
}

impl AcceptLimiter {
    /// Takes a token; returns whether a connection may be accepted at the time `now`, in ms.
    pub fn take(&mut self, now: f64, accepts_per_second: f64) -> bool {
        if accepts_per_second.is_infinite() {
            (self.tokens, self.refilled_at) = (0.0, now);
            return true;
        }
        // At most a tenth of a second's worth at once: a larger burst would cause the next overload.
        let capacity = (accepts_per_second / 10.0).max(1.0);
        self.tokens =
            (self.tokens + (now - self.refilled_at).max(0.0) * accepts_per_second / 1000.0).min(capacity);
        self.refilled_at = now;
        let may_accept = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may_accept));
        may_accept
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn config() -> Config {
        Config { cases: 256, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
    }

    /// Updates every 50 ms at this load; `clock` is the time and the processor time used, in ms.
    fn run(budget: &mut Budget, clock: &mut (f64, f64), load: f64, count: usize) -> AdmissionLimits {
        for _ in 0..count {
            *clock = (clock.0 + 50.0, clock.1 + 50.0 * budget.cores * load);
            budget.update(clock.0, clock.1, clock.0 as usize);
        }
        budget.admission_limits()
    }

    #[test]
    fn connections_are_throttled_before_ops_are_refused_and_all_recovers_within_a_second() {
        let (mut budget, mut clock) = (Budget::new(0.2, 0.15, 0.05), (0.0, 0.0));
        assert_eq!(run(&mut budget, &mut clock, 0.9, 1000).mode, SheddingMode::Off);
        assert_eq!(run(&mut budget, &mut clock, 0.3, 200).batch_delay_ms, 0.0);
        let batching = run(&mut budget, &mut clock, 1.0, 12);
        assert!(batching.mode == SheddingMode::Off && batching.batch_delay_ms > 0.0, "{batching:?}");
        let first = run(&mut budget, &mut clock, 1.0, 20);
        assert!(
            first.mode == SheddingMode::DelayConnections
                && first.admitted_share == 1.0
                && first.accepts_per_second.is_finite(),
            "{first:?}"
        );
        let worst = run(&mut budget, &mut clock, 1.0, 400);
        assert!(
            worst.mode == SheddingMode::RefuseOps
                && worst.admitted_share > 0.0
                && worst.accepts_per_second >= 1.0,
            "{worst:?}"
        );
        assert!(worst.retry_after_ms == MAX_RETRY_AFTER_MS);
        // At the target load the limits hardly change.
        let at_target = run(&mut budget, &mut clock, TARGET_LOAD, 100);
        assert!(at_target.admitted_share < 1.5 * worst.admitted_share, "{at_target:?}");
        assert_eq!(run(&mut budget, &mut clock, 0.1, 20).mode, SheddingMode::Off);
    }

    proptest! {
        #![proptest_config(config())]

        /// Whatever the clocks return, the limits are within their bounds.
        #[test]
        fn any_clock_values_give_limits_within_bounds(
            updates in prop::collection::vec((-100.0f64..5_000.0, -100.0f64..5_000.0), 1..200)
        ) {
            let (mut budget, mut now, mut used_ms) = (Budget::new(0.2, 0.15, 0.05), 0.0, 0.0);
            for (step, more_used) in updates {
                (now, used_ms) = (now + step, used_ms + more_used);
                let limits = budget.update(now, used_ms, used_ms.abs() as usize);
                prop_assert!(
                    limits.accepts_per_second >= 1.0
                        && (MIN_ADMITTED_SHARE..=1.0).contains(&limits.admitted_share)
                );
                prop_assert!((0.0..=MAX_BATCH_DELAY_MS).contains(&limits.batch_delay_ms));
                prop_assert!((0.0..=MAX_RETRY_AFTER_MS).contains(&limits.retry_after_ms));
                prop_assert_eq!(
                    limits.mode == SheddingMode::Off,
                    limits.admitted_share == 1.0 && limits.accepts_per_second.is_infinite()
                );
            }
        }

        /// Checked against a plain count: never more than the rate and one burst, and never blocked for good.
        #[test]
        fn accepted_connections_keep_to_the_rate(
            steps in prop::collection::vec(0.0f64..400.0, 1..200), rate in 1.0f64..500.0
        ) {
            let (mut limiter, mut now, mut accepted) = (AcceptLimiter::default(), 0.0, 0.0);
            for step in steps {
                now += step;
                let burst = (0..10_000).take_while(|_| limiter.take(now, rate)).count();
                accepted += burst as f64;
                prop_assert!(accepted <= now * rate / 1000.0 + (rate / 10.0).max(1.0) + 1e-6);
            }
            prop_assert!(limiter.take(now + 1_001.0, rate));
        }
    }
}

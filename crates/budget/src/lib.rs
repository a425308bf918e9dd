//! Processor time as a resource, like memory and descriptors: what is granted, what is used, and what may be let
//! in for the rest. No I/O and no clock: the clients' loop tells on every beat what the process has used, and
//! carries out what [`AdmissionLimits`] says. Which
//! op is refused is not settled here: the decision module gets the share.
//!
//! The cheapest work goes first. A connection that waits in the system's queue costs nothing, so opening gives way
//! before ops do and comes back after them; those who ignore the time to come back are shown out while time is
//! short, and then wait in that queue too. Use can't be seen to exceed the grant, as the platform stops the process
//! there, so what is let in follows the distance from a line just below it, gently, so that it does not swing.
//! Before anything is refused the loops gather their work, which makes all of it cheaper.

/// The part of the grant at which what is let in settles. Beside it by so much, what is let in falls and rises by these
/// factors every 50 ms: gently upwards, as those who were told to come back are still on their way, but fast where so
/// much is free that the load has gone.
const AIM: f64 = 0.93;
const FALL: f64 = 0.50;
const RISE: f64 = 0.15;
const GONE: f64 = 0.75;
const RISE_FAST: f64 = 0.80;
/// Opens fall so much faster than the share of ops.
const OPENS_FASTER: f64 = 3.0;
/// The loops gather what has come before they go on, as long as it takes to stay at this part of the grant: an op that
/// wakes every thread for itself costs four times one of many. In ms; how fast it follows.
const GATHER_AIM: f64 = 0.80;
const GATHER_MOST: f64 = 12.0;
const GATHER_LEAST: f64 = 0.25;
const GATHER_FOLLOW: f64 = 1.0;
const STEP_MS: f64 = 50.0;
/// Use is averaged over about this time: stops of the process are shorter, bad stretches longer.
const MEMORY_MS: f64 = 250.0;
/// The least that is let in: without any, nobody would learn that there is room again.
const LEAST_OPENS: f64 = 0.01;
const LEAST_SHARE: f64 = 0.05;
/// The time to come back that is named while time is short: it grows while refusing takes more than this part of the
/// grant, as those who come back too soon cost what others need.
const BACK_LEAST_MS: f64 = 300.0;
const BACK_MOST_MS: f64 = 1_300.0;
const REFUSING: f64 = 0.04;
const BACK_RISE: f64 = 1.10;

/// Which work gives way at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum SheddingMode {
    /// Nothing does.
    #[default]
    Off,
    /// Connections wait to be opened.
    DelayConnections,
    /// Some ops are refused, too.
    RefuseOps,
}

/// What may be let in until the next beat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    pub mode: SheddingMode,
    /// How long a loop sleeps between two turns, so that there is more to do in each; 0 to 12 ms.
    pub batch_delay_ms: f64,
    /// Connections that may be opened, a second; infinite where nothing is short.
    pub accepts_per_second: f64,
    /// Share of the ops that may be taken, from 0.05 to 1.
    pub admitted_share: f64,
    /// A refused op's time to come back, in ms, to be spread from half of it to one and a half; 0 where none need
    /// be named.
    pub retry_after_ms: f64,
}

/// The state machine; one a router.
#[derive(Clone, Debug)]
pub struct Budget {
    /// What is granted, in cores.
    cores: f64,
    /// Opens a second that the grant could carry if it did nothing else.
    opens_most: f64,
    /// Refusals a second that take the part of the grant which they may.
    refusals_most: f64,
    last: Option<(f64, f64, usize)>,
    /// Use as a part of the grant, averaged.
    load: f64,
    gather: f64,
    opens: f64,
    admitted_share: f64,
    back: f64,
    mode: SheddingMode,
}

impl Budget {
    /// `cores` is the grant, above 0; `open_ms` and `refuse_ms` the processor time, in ms, that it takes to open a
    /// connection and to refuse an op.
    pub fn new(cores: f64, open_ms: f64, refuse_ms: f64) -> Budget {
        let opens_most = cores * 1000.0 / open_ms;
        let refusals_most = REFUSING * cores * 1000.0 / refuse_ms;
        let back = BACK_LEAST_MS;
        let (load, gather, opens, admitted_share, mode) = (0.0, 0.0, 1.0, 1.0, SheddingMode::Off);
        Budget {
            cores,
            opens_most,
            refusals_most,
            last: None,
            load,
            gather,
            opens,
            admitted_share,
            back,
            mode,
        }
    }

    /// Use as a part of the grant, averaged over the last moments: 0 to about 1.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// One beat: the time, the processor time that the process has used, both in ms, and how many ops were refused,
    /// all since its start. Beats may come late, as a process is stopped at its limit; one that goes backwards in
    /// time is passed over.
    pub fn update(&mut self, now: f64, used: f64, refused: usize) -> AdmissionLimits {
        let (then, before, told) = *self.last.get_or_insert((now, used, refused));
        let spent = now - then;
        if spent >= 1.0 {
            self.last = Some((now, used, refused));
            let load = ((used - before).max(0.0) / (spent * self.cores)).min(2.0);
            let weight = 1.0 - (-spent / MEMORY_MS).exp();
            self.load += weight * (load - self.load);
            // A beat that comes very late tells of one stop, not of many bad beats.
            let steps = (spent / STEP_MS).min(4.0);
            self.step(steps);
            let rate = refused.saturating_sub(told) as f64 * 1000.0 / spent;
            let often = self.admitted_share < 1.0 && rate > self.refusals_most;
            let factor = if often { BACK_RISE } else { 1.0 / BACK_RISE };
            self.back = (self.back * factor.powf(steps)).clamp(BACK_LEAST_MS, BACK_MOST_MS);
        }
        self.admission_limits()
    }

    fn step(&mut self, steps: f64) {
        let gather =
            self.gather.max(GATHER_LEAST) * (1.0 + GATHER_FOLLOW * (self.load - GATHER_AIM)).powf(steps);
        self.gather = if gather <= GATHER_LEAST { 0.0 } else { gather.min(GATHER_MOST) };
        let over = self.load - AIM;
        if over > 0.0 && self.gather < GATHER_MOST {
            // What makes the work cheaper is tried before any is refused.
        } else if over > 0.0 {
            // What costs least to refuse goes first; ops only once opening has all but ended.
            let fall = 1.0 - FALL * over;
            if self.opens > LEAST_OPENS {
                self.opens = (self.opens * fall.powf(OPENS_FASTER * steps)).max(LEAST_OPENS);
            } else {
                self.admitted_share = (self.admitted_share * fall.powf(steps)).max(LEAST_SHARE);
            }
        } else {
            let rise = 1.0 - RISE * over + RISE_FAST * (GONE - self.load).max(0.0);
            let whole = self.admitted_share >= 1.0;
            self.admitted_share = (self.admitted_share * rise.powf(steps)).min(1.0);
            if whole || self.load < GONE {
                self.opens = (self.opens * rise.powf(OPENS_FASTER * steps)).min(1.0);
            }
        }
        self.mode = match (self.admitted_share < 1.0, self.opens < 1.0) {
            (true, _) => SheddingMode::RefuseOps,
            (false, true) => SheddingMode::DelayConnections,
            (false, false) => SheddingMode::Off,
        };
    }

    /// What may be let in now.
    pub fn admission_limits(&self) -> AdmissionLimits {
        let ample = self.mode == SheddingMode::Off;
        AdmissionLimits {
            mode: self.mode,
            batch_delay_ms: self.gather,
            accepts_per_second: if ample { f64::INFINITY } else { (self.opens * self.opens_most).max(1.0) },
            admitted_share: self.admitted_share,
            retry_after_ms: if self.admitted_share < 1.0 { self.back } else { 0.0 },
        }
    }
}

/// How many connections may be opened now: a bucket that `AdmissionLimits::accepts_per_second` fills.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptLimiter {
    left: f64,
    at: f64,
}

impl AcceptLimiter {
    /// True where one may be opened at this time, in ms; it is then counted.
    pub fn take(&mut self, now: f64, a_second: f64) -> bool {
        if a_second.is_infinite() {
            (self.left, self.at) = (0.0, now);
            return true;
        }
        // At most a tenth of a second's worth at once: a burst would be the next overload.
        let most = (a_second / 10.0).max(1.0);
        self.left = (self.left + (now - self.at).max(0.0) * a_second / 1000.0).min(most);
        self.at = now;
        let may = self.left >= 1.0;
        self.left -= f64::from(u8::from(may));
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn set() -> Config {
        Config { cases: 256, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
    }

    /// Beats of 50 ms at this part of the grant.
    fn beats(budget: &mut Budget, from: &mut (f64, f64), part: f64, count: usize) -> AdmissionLimits {
        for _ in 0..count {
            *from = (from.0 + 50.0, from.1 + 50.0 * budget.cores * part);
            budget.update(from.0, from.1, from.0 as usize);
        }
        budget.admission_limits()
    }

    #[test]
    fn opens_give_way_before_ops_and_all_is_back_a_second_after_the_load_has_gone() {
        let (mut budget, mut at) = (Budget::new(0.2, 0.15, 0.05), (0.0, 0.0));
        assert_eq!(beats(&mut budget, &mut at, 0.9, 1000).mode, SheddingMode::Off);
        assert_eq!(beats(&mut budget, &mut at, 0.3, 200).batch_delay_ms, 0.0);
        let gathers = beats(&mut budget, &mut at, 1.0, 12);
        assert!(gathers.mode == SheddingMode::Off && gathers.batch_delay_ms > 0.0, "{gathers:?}");
        let first = beats(&mut budget, &mut at, 1.0, 20);
        assert!(
            first.mode == SheddingMode::DelayConnections
                && first.admitted_share == 1.0
                && first.accepts_per_second.is_finite(),
            "{first:?}"
        );
        let worst = beats(&mut budget, &mut at, 1.0, 400);
        assert!(
            worst.mode == SheddingMode::RefuseOps
                && worst.admitted_share > 0.0
                && worst.accepts_per_second >= 1.0,
            "{worst:?}"
        );
        assert!(worst.retry_after_ms == BACK_MOST_MS);
        // Just at the line it hardly moves.
        let same = beats(&mut budget, &mut at, AIM, 100);
        assert!(same.admitted_share < 1.5 * worst.admitted_share, "{same:?}");
        assert_eq!(beats(&mut budget, &mut at, 0.1, 20).mode, SheddingMode::Off);
    }

    proptest! {
        #![proptest_config(set())]

        /// Whatever the clocks say, what comes out can be acted on.
        #[test]
        fn any_clocks_give_room_within_its_bounds(
            beats in prop::collection::vec((-100.0f64..5_000.0, -100.0f64..5_000.0), 1..200)
        ) {
            let (mut budget, mut now, mut used) = (Budget::new(0.2, 0.15, 0.05), 0.0, 0.0);
            for (step, more) in beats {
                (now, used) = (now + step, used + more);
                let room = budget.update(now, used, used.abs() as usize);
                prop_assert!(room.accepts_per_second >= 1.0 && (LEAST_SHARE..=1.0).contains(&room.admitted_share));
                prop_assert!((0.0..=GATHER_MOST).contains(&room.batch_delay_ms));
                prop_assert!((0.0..=BACK_MOST_MS).contains(&room.retry_after_ms));
                prop_assert_eq!(room.mode == SheddingMode::Off, room.admitted_share == 1.0 && room.accepts_per_second.is_infinite());
            }
        }

        /// Beside a plain count: never more than the rate and one burst, never held up for ever.
        #[test]
        fn opens_keep_to_their_rate(steps in prop::collection::vec(0.0f64..400.0, 1..200), rate in 1.0f64..500.0) {
            let (mut opens, mut now, mut taken) = (AcceptLimiter::default(), 0.0, 0.0);
            for step in steps {
                now += step;
                let burst = (0..10_000).take_while(|_| opens.take(now, rate)).count();
                taken += burst as f64;
                prop_assert!(taken <= now * rate / 1000.0 + (rate / 10.0).max(1.0) + 1e-6);
            }
            prop_assert!(opens.take(now + 1_001.0, rate));
        }
    }
}

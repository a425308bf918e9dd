//! The proof of scale: each scenario at each size against stated aims, and a control that must miss them.

use crate::scenario::{self, Faults, FigureKind, Outcome, Scenario};
use magpiewell_members::RosterError;
use std::fmt;

/// Seconds after its loss by which a zone must be known to be lost, and a new primary be known.
pub const KNOWN_WITHIN_SECONDS: f64 = 9.0;
/// The share of routers that must know by then.
pub const KNOWN_SHARE: f64 = 0.99;
/// The share of live members that may wrongly not count.
pub const WRONGLY_LOST_SHARE: f64 = 0.001;
/// Bytes a second that a router may send for control, headers of the network included.
pub const BYTES_PER_SECOND: f64 = 2_000.0;

/// Something that is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aim {
    /// A lost zone's members don't count at 99% of the live routers after 9 s.
    LossKnown,
    /// At most one live member in a thousand is wrongly not counted, at any time.
    LiveCounted,
    /// 99% know a new primary after 9 s.
    PrimariesKnown,
    /// A partition into halves is said to be one by all, 9 s after it began.
    CutSaid,
    /// At most 2 KB a second and router.
    BytesBounded,
}

impl Aim {
    /// The measured figure, and whether it meets the aim; none where the outcome doesn't have it.
    fn judge(self, outcome: &Outcome) -> Option<(f64, bool)> {
        let at_limit = |kind| outcome.at(kind, KNOWN_WITHIN_SECONDS);
        match self {
            Aim::LossKnown => at_limit(FigureKind::LostNotCounted).map(|v| (v, v >= KNOWN_SHARE)),
            Aim::PrimariesKnown => at_limit(FigureKind::PrimariesKnown).map(|v| (v, v >= KNOWN_SHARE)),
            Aim::CutSaid => at_limit(FigureKind::SaidCutOff).map(|v| (v, v >= KNOWN_SHARE)),
            Aim::LiveCounted => {
                let highest = outcome.highest(FigureKind::LiveNotCounted);
                Some((highest, highest <= WRONGLY_LOST_SHARE))
            }
            Aim::BytesBounded => {
                let highest = outcome.highest(FigureKind::BytesPerSecond);
                Some((highest, highest <= BYTES_PER_SECOND))
            }
        }
    }
}

/// One scenario at one size, and what is to hold then.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub routers: usize,
    pub scenario: Scenario,
    pub faults: Faults,
    /// The case ends so many seconds after the event.
    pub until_seconds: f64,
    pub aims: &'static [Aim],
}

/// What came of one aim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub aim: Aim,
    pub value: f64,
    pub is_met: bool,
}

/// A case that was played, and its verdicts.
#[derive(Clone, Debug)]
pub struct Played {
    pub case: Case,
    pub zone_evidence: bool,
    pub outcome: Outcome,
    pub verdicts: Vec<Verdict>,
}

impl Played {
    pub fn are_all_met(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.is_met)
    }

    /// Whether this aim was judged and missed.
    pub fn misses(&self, aim: Aim) -> bool {
        self.verdicts.iter().any(|verdict| verdict.aim == aim && !verdict.is_met)
    }
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Case { routers, scenario, faults, .. } = self.case;
        write!(f, "{routers} routers, {scenario:?}, loss {:.0}%", 100.0 * faults.loss)?;
        if faults.wrong_clocks > 0.0 {
            write!(f, ", {:.0}% of the clocks wrong", 100.0 * faults.wrong_clocks)?;
        }
        if !self.zone_evidence {
            write!(f, ", without zone evidence")?;
        }
        for Verdict { aim, value, is_met } in &self.verdicts {
            write!(f, " | {aim:?} {value:.4} {}", if *is_met { "met" } else { "MISSED" })?;
        }
        Ok(())
    }
}

/// Plays a case with the default limits.
pub fn play(case: Case, seed: u64, threads: usize, zone_evidence: bool) -> Result<Played, RosterError> {
    let plan = scenario::plan(case.routers, seed, threads, zone_evidence);
    let outcome = scenario::play(plan, case.scenario, case.faults, case.until_seconds)?;
    let judged = |aim: &Aim| {
        let (value, is_met) = aim.judge(&outcome)?;
        Some(Verdict { aim: *aim, value, is_met })
    };
    let verdicts = case.aims.iter().filter_map(judged).collect();
    Ok(Played { case, zone_evidence, outcome, verdicts })
}

/// The cases of the proof at one size. The largest size plays the loss of a zone alone.
pub fn cases(routers: usize) -> Vec<Case> {
    /// From this size on a case takes minutes.
    const LARGE: usize = 2_000;
    /// The loss itself, without the zone's return.
    const LOSS_SECONDS: f64 = 15.0;
    let whole = f64::INFINITY;
    let is_large = routers >= LARGE;
    let until_seconds = if is_large { LOSS_SECONDS } else { whole };
    let calm = Faults::default();
    let lossy = Faults { loss: 0.3, wrong_clocks: 0.05 };
    let zone_aims = &[Aim::LossKnown, Aim::PrimariesKnown, Aim::LiveCounted, Aim::BytesBounded];
    let lossy_aims = &[Aim::LossKnown, Aim::LiveCounted, Aim::BytesBounded];
    let case =
        |scenario, faults, until_seconds, aims| Case { routers, scenario, faults, until_seconds, aims };
    let mut cases = vec![case(Scenario::ZoneLost, calm, until_seconds, zone_aims as &[Aim])];
    if !is_large {
        cases.push(case(Scenario::ZoneLost, lossy, whole, lossy_aims));
        cases.push(case(Scenario::Parted, calm, whole, &[Aim::CutSaid, Aim::LiveCounted, Aim::BytesBounded]));
        cases.push(case(Scenario::Disturbed, lossy, whole, &[Aim::LiveCounted, Aim::BytesBounded]));
    }
    cases
}

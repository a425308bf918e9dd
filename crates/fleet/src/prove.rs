//! Checks at scale: plays scenarios at several fleet sizes against stated aims, and a control without zone
//! evidence that has to miss one of them.

use crate::scenario::{self, Faults, FigureKind, Outcome, Scenario};
use magpiewell_members::RosterError;
use std::fmt;

/// Deadline after the event for knowing that a zone is lost or cut off, or a group's new primary.
pub const KNOWN_WITHIN_SECONDS: f64 = 9.0;
/// Share of the sampled beliefs that have to be right by then.
pub const MIN_KNOWN_SHARE: f64 = 0.99;
/// Maximum share of beliefs in which a live member is wrongly not counted.
pub const MAX_WRONGLY_LOST_SHARE: f64 = 0.001;
/// Maximum control traffic that a router may send, including network headers.
pub const MAX_BYTES_PER_SECOND: f64 = 2_000.0;

/// A target that a run has to meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aim {
    /// 9 s after a zone's loss, its members are not counted in 99% of the live routers' beliefs.
    LossKnown,
    /// At no time is more than one live member in a thousand wrongly not counted.
    LiveCounted,
    /// 9 s after a group's primary changed, 99% know the new one.
    PrimariesKnown,
    /// 9 s after a partition into halves, 99% of the zones believed silent are reported as cut off, rather
    /// than as lost or cut off.
    CutSaid,
    /// At most 2 KB per second and router.
    BytesBounded,
}

impl Aim {
    /// The measured figure and whether it meets the aim; `None` if the outcome doesn't contain it.
    fn judge(self, outcome: &Outcome) -> Option<(f64, bool)> {
        let at_deadline = |kind| outcome.value_at(kind, KNOWN_WITHIN_SECONDS);
        match self {
            Aim::LossKnown => at_deadline(FigureKind::LostNotCounted).map(|v| (v, v >= MIN_KNOWN_SHARE)),
            Aim::PrimariesKnown => at_deadline(FigureKind::PrimariesKnown).map(|v| (v, v >= MIN_KNOWN_SHARE)),
            Aim::CutSaid => at_deadline(FigureKind::SaidCutOff).map(|v| (v, v >= MIN_KNOWN_SHARE)),
            Aim::LiveCounted => {
                let highest = outcome.max_value(FigureKind::LiveNotCounted);
                Some((highest, highest <= MAX_WRONGLY_LOST_SHARE))
            }
            Aim::BytesBounded => {
                let highest = outcome.max_value(FigureKind::BytesPerSecond);
                Some((highest, highest <= MAX_BYTES_PER_SECOND))
            }
        }
    }
}

/// One scenario at one fleet size, and the aims it has to meet.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub routers: usize,
    pub scenario: Scenario,
    pub faults: Faults,
    /// The run ends this many seconds after the event.
    pub until_seconds: f64,
    pub aims: &'static [Aim],
}

/// The measured figure of an aim, and whether it meets the aim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub aim: Aim,
    pub value: f64,
    pub is_met: bool,
}

/// The outcome and the verdicts of a case.
#[derive(Clone, Debug)]
pub struct CaseResult {
    pub case: Case,
    pub zone_evidence: bool,
    pub outcome: Outcome,
    pub verdicts: Vec<Verdict>,
}

impl CaseResult {
    pub fn has_met_all(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.is_met)
    }

    /// Whether this aim was checked and missed.
    pub fn has_missed(&self, aim: Aim) -> bool {
        self.verdicts.iter().any(|verdict| verdict.aim == aim && !verdict.is_met)
    }
}

impl fmt::Display for CaseResult {
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
pub fn play(case: Case, seed: u64, threads: usize, zone_evidence: bool) -> Result<CaseResult, RosterError> {
    let plan = scenario::plan(case.routers, seed, threads, zone_evidence);
    let outcome = scenario::play(plan, case.scenario, case.faults, case.until_seconds)?;
    let judged = |aim: &Aim| {
        let (value, is_met) = aim.judge(&outcome)?;
        Some(Verdict { aim: *aim, value, is_met })
    };
    let verdicts = case.aims.iter().filter_map(judged).collect();
    Ok(CaseResult { case, zone_evidence, outcome, verdicts })
}

/// The cases to check at one fleet size. Large fleets only play the loss of a zone, as a case takes minutes.
pub fn cases(routers: usize) -> Vec<Case> {
    /// From this size on, a case takes minutes.
    const LARGE_FLEET_ROUTERS: usize = 2_000;
    /// Covers the loss itself, but not the zone's return.
    const LOSS_ONLY_SECONDS: f64 = 15.0;
    let no_limit = f64::INFINITY;
    let is_large = routers >= LARGE_FLEET_ROUTERS;
    let until_seconds = if is_large { LOSS_ONLY_SECONDS } else { no_limit };
    let no_faults = Faults::default();
    let loss_and_wrong_clocks = Faults { loss: 0.3, wrong_clocks: 0.05 };
    let zone_loss_aims = &[Aim::LossKnown, Aim::PrimariesKnown, Aim::LiveCounted, Aim::BytesBounded];
    let aims_with_loss = &[Aim::LossKnown, Aim::LiveCounted, Aim::BytesBounded];
    let case =
        |scenario, faults, until_seconds, aims| Case { routers, scenario, faults, until_seconds, aims };
    let mut cases = vec![case(Scenario::ZoneLost, no_faults, until_seconds, zone_loss_aims as &[Aim])];
    if !is_large {
        cases.push(case(Scenario::ZoneLost, loss_and_wrong_clocks, no_limit, aims_with_loss));
        cases.push(case(
            Scenario::Parted,
            no_faults,
            no_limit,
            &[Aim::CutSaid, Aim::LiveCounted, Aim::BytesBounded],
        ));
        cases.push(case(
            Scenario::Disturbed,
            loss_and_wrong_clocks,
            no_limit,
            &[Aim::LiveCounted, Aim::BytesBounded],
        ));
    }
    cases
}

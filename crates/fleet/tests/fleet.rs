//! Small fleets with fixed seeds meet the aims that `magpiewell-fleet prove` checks at scale, and the control
//! without zone evidence misses them.

use magpiewell_fleet::prove::{self, Aim, Case, CaseResult};
use magpiewell_fleet::scenario::{self, Faults, FigureKind, Scenario};
use magpiewell_members::{MAX_MEMBERS, RosterError};

const ROUTERS: usize = 72;
const ALL: &[Aim] = &[Aim::LossKnown, Aim::PrimariesKnown, Aim::CutSaid, Aim::LiveCounted, Aim::BytesBounded];

fn play(scenario: Scenario, faults: Faults, zone_evidence: bool, seed: u64) -> CaseResult {
    let case = Case { routers: ROUTERS, scenario, faults, until_seconds: f64::INFINITY, aims: ALL };
    prove::play(case, seed, 1, zone_evidence).expect("the roster is small enough")
}

#[test]
fn zone_loss_is_detected_in_time_and_reverted_when_the_zone_returns() {
    for seed in [1, 2] {
        let result = play(Scenario::ZoneLost, Faults::default(), true, seed);
        let is_missed = |aim| result.has_missed(aim);
        assert!(
            !is_missed(Aim::LossKnown) && !is_missed(Aim::PrimariesKnown) && !is_missed(Aim::LiveCounted),
            "{result}"
        );
        assert_eq!(result.outcome.value_at(FigureKind::LiveNotCounted, 60.0), Some(0.0), "{result}");
        assert_eq!(result.outcome.max_value(FigureKind::SaidCutOff), 0.0, "{result}");
    }
}

#[test]
fn without_zone_evidence_zone_loss_is_detected_too_late() {
    let result = play(Scenario::ZoneLost, Faults::default(), false, 1);
    assert!(result.has_missed(Aim::LossKnown), "{result}");
}

#[test]
fn zone_loss_is_detected_in_time_despite_datagram_loss_and_wrong_clocks() {
    let faults = Faults { loss: 0.3, wrong_clocks: 0.1 };
    let result = play(Scenario::ZoneLost, faults, true, 3);
    assert!(!result.has_missed(Aim::LossKnown) && !result.has_missed(Aim::LiveCounted), "{result}");
}

#[test]
fn partition_into_halves_is_reported_and_all_members_stay_counted() {
    let result = play(Scenario::Parted, Faults::default(), true, 4);
    assert!(!result.has_missed(Aim::CutSaid), "{result}");
    assert_eq!(result.outcome.max_value(FigureKind::LiveNotCounted), 0.0, "{result}");
    let control = play(Scenario::Parted, Faults::default(), false, 4);
    assert!(control.has_missed(Aim::LiveCounted), "{control}");
}

#[test]
fn live_routers_stay_counted_despite_pauses_and_datagram_loss() {
    let faults = Faults { loss: 0.3, wrong_clocks: 0.1 };
    let result = play(Scenario::Disturbed, faults, true, 5);
    assert!(!result.has_missed(Aim::LiveCounted), "{result}");
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let run = |threads| {
        let plan = scenario::plan(ROUTERS, 6, threads, true);
        let faults = Faults { loss: 0.1, ..Faults::default() };
        scenario::play(plan, Scenario::ZoneLost, faults, 10.0).expect("the roster is small enough").figures
    };
    assert_eq!(run(1), run(3));
}

#[test]
fn fleet_larger_than_the_maximum_roster_is_an_error() {
    let plan = scenario::plan(MAX_MEMBERS + 1, 1, 1, true);
    let error = scenario::play(plan, Scenario::Quiet, Faults::default(), 0.0).err();
    assert_eq!(error, Some(RosterError::TooLarge { size: MAX_MEMBERS + 1 }));
}

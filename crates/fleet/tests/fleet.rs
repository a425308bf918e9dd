//! Small fleets with fixed seeds: what is promised at scale holds, and the control without evidence of zones misses it.

use magpiewell_fleet::prove::{self, Aim, Case, Played};
use magpiewell_fleet::scenario::{self, Faults, FigureKind, Scenario};
use magpiewell_members::{MAX_MEMBERS, RosterError};

const ROUTERS: usize = 72;
const ALL: &[Aim] = &[Aim::LossKnown, Aim::PrimariesKnown, Aim::CutSaid, Aim::LiveCounted, Aim::BytesBounded];

fn play(scenario: Scenario, faults: Faults, zone_evidence: bool, seed: u64) -> Played {
    let case = Case { routers: ROUTERS, scenario, faults, until_seconds: f64::INFINITY, aims: ALL };
    prove::play(case, seed, 1, zone_evidence).expect("the roster is small enough")
}

#[test]
fn a_lost_zone_is_known_in_time_and_counts_again_when_it_is_back() {
    for seed in [1, 2] {
        let played = play(Scenario::ZoneLost, Faults::default(), true, seed);
        let missed = |aim| played.misses(aim);
        assert!(
            !missed(Aim::LossKnown) && !missed(Aim::PrimariesKnown) && !missed(Aim::LiveCounted),
            "{played}"
        );
        assert_eq!(played.outcome.at(FigureKind::LiveNotCounted, 60.0), Some(0.0), "{played}");
        assert_eq!(played.outcome.highest(FigureKind::SaidCutOff), 0.0, "{played}");
    }
}

#[test]
fn without_evidence_of_zones_the_loss_is_known_too_late() {
    let played = play(Scenario::ZoneLost, Faults::default(), false, 1);
    assert!(played.misses(Aim::LossKnown), "{played}");
}

#[test]
fn a_lost_zone_is_known_in_time_with_three_in_ten_lost_and_wrong_clocks() {
    let faults = Faults { loss: 0.3, wrong_clocks: 0.1 };
    let played = play(Scenario::ZoneLost, faults, true, 3);
    assert!(!played.misses(Aim::LossKnown) && !played.misses(Aim::LiveCounted), "{played}");
}

#[test]
fn a_cut_into_halves_is_said_to_be_one_and_costs_nobody_its_place() {
    let played = play(Scenario::Parted, Faults::default(), true, 4);
    assert!(!played.misses(Aim::CutSaid), "{played}");
    assert_eq!(played.outcome.highest(FigureKind::LiveNotCounted), 0.0, "{played}");
    let control = play(Scenario::Parted, Faults::default(), false, 4);
    assert!(control.misses(Aim::LiveCounted), "{control}");
}

#[test]
fn paused_routers_and_loss_cost_no_live_router_its_place() {
    let faults = Faults { loss: 0.3, wrong_clocks: 0.1 };
    let played = play(Scenario::Disturbed, faults, true, 5);
    assert!(!played.misses(Aim::LiveCounted), "{played}");
}

#[test]
fn a_run_does_not_depend_on_the_number_of_threads() {
    let run = |threads| {
        let plan = scenario::plan(ROUTERS, 6, threads, true);
        let faults = Faults { loss: 0.1, ..Faults::default() };
        scenario::play(plan, Scenario::ZoneLost, faults, 10.0).expect("the roster is small enough").figures
    };
    assert_eq!(run(1), run(3));
}

#[test]
fn a_fleet_larger_than_the_roster_allows_is_an_error() {
    let plan = scenario::plan(MAX_MEMBERS + 1, 1, 1, true);
    let error = scenario::play(plan, Scenario::Quiet, Faults::default(), 0.0).err();
    assert_eq!(error, Some(RosterError::TooLarge { size: MAX_MEMBERS + 1 }));
}

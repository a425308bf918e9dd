//! Hollow routers in four processes beside two real routers: the loss and return of a zone, and a control.
//! The tests wait for events that occur on any machine sooner or later, and don't depend on its speed.

use magpiewell_lab::scale::message::{Event, Phase};
use magpiewell_lab::scale::plan::{Durations, LOST_ZONE, MemberId, Plan, Variant};
use magpiewell_lab::scale::prove::{CLOCK_AHEAD_MS, TEMPLATE, TEMPLATE_WITHOUT_ZONE_EVIDENCE};
use magpiewell_lab::scale::recorder::View;
use magpiewell_lab::scale::runner::{Environment, Runner};
use magpiewell_lab::tier::runner::default_folder;
use std::path::PathBuf;
use std::time::Duration;

/// Longer than any wait takes on a machine that can run the tests at all.
const TIMEOUT: Duration = Duration::from_secs(300);
/// Datagrams that each process must have dropped between zones before the control is evaluated: some dozens
/// per router.
const MIN_DROPPED_DATAGRAMS: u64 = 300;
/// The minimum share of pairs of live routers that the control must mark dead: ten times the limit without
/// the fault.
const MIN_LIVE_MARKED_DEAD: f64 = 0.01;
/// The minimum share of live hollow routers that must learn of a new primary. A fact is transmitted a bounded
/// number of times, partly to lost members, so that about one router in a thousand never receives it.
const MIN_PRIMARY_KNOWN: f64 = 0.9;

fn plan(port: u16) -> Plan {
    Plan {
        variant: Variant::Sound,
        seed: 38,
        hollow: 40,
        real: 2,
        zones: 4,
        processes: 4,
        port,
        template: TEMPLATE.into(),
        durations: Durations::CONTROL,
        clock_ahead_ms: CLOCK_AHEAD_MS,
    }
}

fn environment(name: &str) -> Environment {
    Environment {
        router: PathBuf::from(env!("CARGO_BIN_EXE_magpiewell-staged")),
        lab: PathBuf::from(env!("CARGO_BIN_EXE_magpiewell-lab")),
        folder: default_folder(name),
    }
}

fn all_lost_marked_dead(view: &View) -> bool {
    view.lost_pairs().share() == Some(1.0)
}

fn no_live_marked_dead(view: &View) -> bool {
    view.live_pairs().share() == Some(0.0)
}

/// Whether nearly all live routers know each new primary.
fn nearly_all_know_changes(view: &View) -> bool {
    let live = view.observers().count() as f64;
    let known =
        |change| view.observers().filter(|observer| view.knows_primary(*observer, change)).count() as f64;
    view.primary_changes.iter().all(|change| known(change) >= MIN_PRIMARY_KNOWN * live)
}

fn all_changes_observed(view: &View, plan: &Plan) -> bool {
    view.primary_changes.len() == plan.primary_changes().len()
}

/// Whether all live real routers have last logged this number of counted members.
fn all_real_routers_count(view: &View, plan: &Plan, count: usize) -> bool {
    let mut live = plan.real_members().filter(|member| view.alive[usize::from(*member)]);
    live.all(|member| view.real_counted.get(&member) == Some(&count))
}

#[test]
fn all_routers_mark_a_lost_zone_dead_and_count_it_again_after_its_return() {
    let (plan, environment) = (plan(24_100), environment("scale-zone"));
    let mut runner = Runner::start(&plan, &environment).unwrap();
    let recorder = runner.recorder.clone();
    assert!(
        recorder.wait_until(TIMEOUT, |view| all_real_routers_count(view, &plan, plan.members())),
        "real routers count all members"
    );

    recorder.record(Event::Phase(Phase::ZoneLost));
    runner.kill_zone(LOST_ZONE);
    runner.change_all_primaries().unwrap();
    let known = |view: &View| all_changes_observed(view, &plan) && nearly_all_know_changes(view);
    assert!(recorder.wait_until(TIMEOUT, known), "nearly all routers know the new primaries");
    let only_lost_marked_dead = |view: &View| all_lost_marked_dead(view) && no_live_marked_dead(view);
    assert!(recorder.wait_until(TIMEOUT, only_lost_marked_dead), "only lost members are marked dead");
    let live = plan.all_members().filter(|member| plan.zone(*member) != LOST_ZONE).count();
    assert!(
        recorder.wait_until(TIMEOUT, |view| all_real_routers_count(view, &plan, live)),
        "real routers count the live members"
    );

    runner.restart_zone(LOST_ZONE).unwrap();
    assert!(recorder.wait_until(TIMEOUT, no_live_marked_dead), "all members are counted again");
    let all = plan.members();
    assert!(
        recorder.wait_until(TIMEOUT, |view| all_real_routers_count(view, &plan, all)),
        "real routers count all members again"
    );
    runner.check_running().unwrap();
    drop(runner);
    std::fs::remove_dir_all(&environment.folder).unwrap();
}

/// The control: when no datagram reaches another zone, a new primary stays unknown there, and routers without
/// zone evidence mark live members dead like lost ones.
#[test]
fn control_fails_when_zones_cannot_reach_each_other() {
    let template = TEMPLATE_WITHOUT_ZONE_EVIDENCE.into();
    let plan = Plan { variant: Variant::ZonesMute, template, ..plan(24_200) };
    let environment = environment("scale-control");
    let mut runner = Runner::start(&plan, &environment).unwrap();
    let recorder = runner.recorder.clone();
    runner.change_all_primaries().unwrap();
    let observers: Vec<MemberId> = plan.primary_changes().iter().map(|change| change.observer).collect();
    let datagrams_dropped = |view: &View| {
        all_changes_observed(view, &plan)
            && view.lost_datagrams.iter().all(|lost| *lost > MIN_DROPPED_DATAGRAMS)
    };
    assert!(recorder.wait_until(TIMEOUT, datagrams_dropped), "datagrams are dropped between zones");
    let zones: Vec<usize> = observers.iter().map(|observer| plan.zone(*observer)).collect();
    let known_in_another_zone = |view: &View| {
        let knows_some =
            |o: MemberId| view.primary_changes.iter().any(|change| view.knows_primary(o, change));
        view.observers().filter(|o| !zones.contains(&view.zone(*o))).any(knows_some)
    };
    assert!(
        !recorder.wait_until(Duration::ZERO, known_in_another_zone),
        "no router of another zone knows a new primary"
    );
    let live_marked_dead = |view: &View| view.live_pairs().share() > Some(MIN_LIVE_MARKED_DEAD);
    assert!(recorder.wait_until(TIMEOUT, live_marked_dead), "live members are marked dead");
    drop(runner);
    std::fs::remove_dir_all(&environment.folder).unwrap();
}

#[test]
fn invalid_plans_are_rejected_with_the_reason() {
    let valid = plan(24_300);
    assert_eq!(valid.validate(), Ok(()));
    for (invalid, expected) in [
        (Plan { processes: 6, ..valid.clone() }, "zones"),
        (Plan { hollow: 3, ..valid.clone() }, "too few"),
        (Plan { hollow: 5_000, ..valid.clone() }, "at most"),
        (Plan { real: 400, ..valid.clone() }, "at most"),
    ] {
        let why = invalid.validate().unwrap_err();
        assert!(why.contains(expected), "{why}");
    }
}

#[test]
fn addresses_zones_and_process_members_are_consistent() {
    let plan = Plan { hollow: 600, real: 7, zones: 6, processes: 12, ..plan(24_400) };
    for member in plan.all_members() {
        assert_eq!(plan.member_at(plan.address(member)), Some(member));
    }
    assert_eq!(plan.member_at("127.93.0.0:24400".parse().unwrap()), None);
    assert_eq!(plan.member_at("127.93.0.1:1".parse().unwrap()), None);
    assert_eq!(plan.member_at("127.93.9.9:24400".parse().unwrap()), None);
    let mut members = Vec::new();
    for process in 0..plan.processes {
        let process_members = plan.members_of_process(process);
        assert!(process_members.iter().all(|member| plan.zone(*member) == plan.zone_of_process(process)));
        members.extend(process_members);
    }
    members.sort_unstable();
    assert_eq!(members, (0..600).collect::<Vec<MemberId>>());
    let live = plan.primary_changes().into_iter().all(|change| plan.zone(change.observer) != LOST_ZONE);
    assert!(live && plan.primary_changes() == plan.primary_changes());
}

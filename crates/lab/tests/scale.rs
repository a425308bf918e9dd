//! Hollow routers in four processes beside two real routers, with a zone lost and back, and the control.
//! What is waited for comes on any machine, early or late; nothing here depends on how fast it is.

use magpiewell_lab::scale::message::{Event, Phase};
use magpiewell_lab::scale::plan::{Durations, LOST_ZONE, Member, Plan, Variant};
use magpiewell_lab::scale::prove::{CLOCK_AHEAD_MS, TEMPLATE, TEMPLATE_WITHOUT_ZONES};
use magpiewell_lab::scale::recorder::View;
use magpiewell_lab::scale::runner::{Environment, Play};
use magpiewell_lab::tier::runner::default_folder;
use std::path::PathBuf;
use std::time::Duration;

/// Whatever is waited for takes less on any machine that runs the tests at all.
const BOUND: Duration = Duration::from_secs(300);
/// Datagrams that each process has lost at the cut before the control is looked at: some dozen a router.
const LOST_AT_THE_CUT: u64 = 300;
/// The share of pairs of live routers that the control must have held dead: ten times what a sound tier may.
const HELD_DEAD: f64 = 0.01;
/// The share of live hollow routers that must learn of a new primary. A fact is told on a bounded number of
/// times, some of them to lost members: about one router in a thousand is never told.
const KNOWN: f64 = 0.9;

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

fn all_held_dead(view: &View) -> bool {
    view.lost_pairs().share() == Some(1.0)
}

fn nobody_held_dead(view: &View) -> bool {
    view.live_pairs().share() == Some(0.0)
}

/// Whether each new primary is known to nearly all.
fn changes_known(view: &View) -> bool {
    let live = view.observers().count() as f64;
    let known = |change| view.observers().filter(|observer| view.knows(*observer, change)).count() as f64;
    view.changes.iter().all(|change| known(change) >= KNOWN * live)
}

fn all_changes_seen(view: &View, plan: &Plan) -> bool {
    view.changes.len() == plan.primary_changes().len()
}

/// All live real routers have last said that they count so many.
fn real_count(view: &View, plan: &Plan, count: usize) -> bool {
    let mut live = plan.real_members().filter(|member| view.alive[usize::from(*member)]);
    live.all(|member| view.real_counts.get(&member) == Some(&count))
}

#[test]
fn a_lost_zone_is_held_dead_by_all_and_counted_by_all_when_it_is_back() {
    let (plan, environment) = (plan(24_100), environment("scale-zone"));
    let mut play = Play::start(&plan, &environment).unwrap();
    let recorder = play.recorder.clone();
    assert!(recorder.wait_until(BOUND, |view| real_count(view, &plan, plan.members())), "all are counted");

    recorder.note(Event::Phase(Phase::ZoneLost));
    play.lose_zone(LOST_ZONE);
    play.change_all_primaries().unwrap();
    let known = |view: &View| all_changes_seen(view, &plan) && changes_known(view);
    assert!(recorder.wait_until(BOUND, known), "new primaries are known to nearly all");
    let told_apart = |view: &View| all_held_dead(view) && nobody_held_dead(view);
    assert!(recorder.wait_until(BOUND, told_apart), "the lost are held dead and no others");
    let live = plan.all_members().filter(|member| plan.zone(*member) != LOST_ZONE).count();
    assert!(recorder.wait_until(BOUND, |view| real_count(view, &plan, live)), "real routers count the live");

    play.bring_zone_back(LOST_ZONE).unwrap();
    assert!(recorder.wait_until(BOUND, nobody_held_dead), "all count again");
    let all = plan.members();
    assert!(recorder.wait_until(BOUND, |view| real_count(view, &plan, all)), "real routers count all again");
    play.check_running().unwrap();
    drop(play);
    std::fs::remove_dir_all(&environment.folder).unwrap();
}

/// The control: where no datagram gets to another zone, a new primary stays unknown there, and routers that don't
/// judge zones hold live members dead like lost ones.
#[test]
fn the_control_is_seen_to_fail_where_zones_cannot_reach_each_other() {
    let template = TEMPLATE_WITHOUT_ZONES.into();
    let plan = Plan { variant: Variant::ZonesMute, template, ..plan(24_200) };
    let environment = environment("scale-control");
    let mut play = Play::start(&plan, &environment).unwrap();
    let recorder = play.recorder.clone();
    play.change_all_primaries().unwrap();
    let observers: Vec<Member> = plan.primary_changes().iter().map(|change| change.observer).collect();
    let tried = |view: &View| {
        all_changes_seen(view, &plan) && view.lost_datagrams.iter().all(|lost| *lost > LOST_AT_THE_CUT)
    };
    assert!(recorder.wait_until(BOUND, tried), "datagrams are lost at the cut");
    let zones: Vec<usize> = observers.iter().map(|observer| plan.zone(*observer)).collect();
    let elsewhere = |view: &View| {
        let knows_some = |o: Member| view.changes.iter().any(|change| view.knows(o, change));
        view.observers().filter(|o| !zones.contains(&view.zone(*o))).any(knows_some)
    };
    assert!(!recorder.wait_until(Duration::ZERO, elsewhere), "no other zone knows");
    let live_held_dead = |view: &View| view.live_pairs().share() > Some(HELD_DEAD);
    assert!(recorder.wait_until(BOUND, live_held_dead), "live members are held dead");
    drop(play);
    std::fs::remove_dir_all(&environment.folder).unwrap();
}

#[test]
fn a_plan_that_cannot_be_carried_is_refused_by_name() {
    let sound = plan(24_300);
    assert_eq!(sound.check(), Ok(()));
    for (wrong, named) in [
        (Plan { processes: 6, ..sound.clone() }, "zones"),
        (Plan { hollow: 3, ..sound.clone() }, "too few"),
        (Plan { hollow: 5_000, ..sound.clone() }, "at most"),
        (Plan { real: 400, ..sound.clone() }, "at most"),
    ] {
        let why = wrong.check().unwrap_err();
        assert!(why.contains(named), "{why}");
    }
}

#[test]
fn addresses_zones_and_slices_agree() {
    let plan = Plan { hollow: 600, real: 7, zones: 6, processes: 12, ..plan(24_400) };
    for member in plan.all_members() {
        assert_eq!(plan.member_at(plan.address(member)), Some(member));
    }
    assert_eq!(plan.member_at("127.93.0.0:24400".parse().unwrap()), None);
    assert_eq!(plan.member_at("127.93.0.1:1".parse().unwrap()), None);
    assert_eq!(plan.member_at("127.93.9.9:24400".parse().unwrap()), None);
    let mut members = Vec::new();
    for process in 0..plan.processes {
        let slice = plan.slice(process);
        assert!(slice.iter().all(|member| plan.zone(*member) == plan.zone_of_process(process)));
        members.extend(slice);
    }
    members.sort_unstable();
    assert_eq!(members, (0..600).collect::<Vec<Member>>());
    let live = plan.primary_changes().into_iter().all(|change| plan.zone(change.observer) != LOST_ZONE);
    assert!(live && plan.primary_changes() == plan.primary_changes());
}

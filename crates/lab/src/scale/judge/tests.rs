use super::*;
use crate::scale::message::Totals;
use crate::scale::plan::{Durations, LOST_ZONE, MemberId, Variant};

const LOST_AT: f64 = 1_000.0;
const MEMORY_MB: f64 = 1_000.0;

fn plan() -> Plan {
    Plan {
        variant: Variant::Sound,
        seed: 5,
        hollow: 20,
        real: 0,
        zones: 2,
        processes: 4,
        port: 1,
        template: String::new(),
        durations: Durations::CONTROL,
        clock_ahead_ms: 0.0,
    }
}

/// The zone is lost, all live routers mark it dead `dead_after` ms later, and all but `never_learn` of them
/// learn of one new primary.
fn entries(plan: &Plan, dead_after: f64, never_learn: usize) -> Vec<Entry> {
    let mut entries = vec![
        Entry { at: 0.0, event: Event::Phase(Phase::Settle) },
        Entry { at: LOST_AT, event: Event::Phase(Phase::ZoneLost) },
        Entry { at: LOST_AT, event: Event::ZoneLost { zone: LOST_ZONE } },
        Entry { at: LOST_AT, event: Event::PrimaryChanged { observer: 0, group: 1, host: 7 } },
    ];
    let live: Vec<MemberId> = plan.all_members().filter(|m| plan.zone(*m) != LOST_ZONE).collect();
    for observer in live.iter().skip(never_learn) {
        let event = Event::Primary { observer: *observer, group: 1, host: 7 };
        entries.push(Entry { at: LOST_AT + 400.0, event });
    }
    for observer in &live {
        for member in plan.all_members().filter(|m| plan.zone(*m) == LOST_ZONE) {
            let event = Event::Belief { observer: *observer, member, counts: false };
            entries.push(Entry { at: LOST_AT + dead_after, event });
        }
    }
    entries.push(Entry { at: LOST_AT + 11_000.0, event: Event::Phase(Phase::End) });
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    entries
}

fn value(verdict: &Verdict, measure: Measure) -> Option<f64> {
    verdict.figures.iter().find(|figure| figure.measure == measure).and_then(|figure| figure.value)
}

#[test]
fn loss_and_primary_known_in_time_meet_their_targets() {
    let verdict = judge(&plan(), &entries(&plan(), 8_900.0, 0), MEMORY_MB);
    for measure in [
        Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S },
        Measure::PrimariesKnown { after_s: DETECTION_LIMIT_S },
        Measure::LiveMarkedDead { phase: Phase::ZoneLost },
    ] {
        assert!(!verdict.misses(measure) && value(&verdict, measure).is_some(), "{measure}");
    }
    assert!(!verdict.control_fails());
}

#[test]
fn late_loss_and_primary_unknown_to_one_in_ten_miss_their_targets() {
    let verdict = judge(&plan(), &entries(&plan(), 9_100.0, 1), MEMORY_MB);
    assert_eq!(value(&verdict, Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S }), Some(0.0));
    assert_eq!(value(&verdict, Measure::PrimariesKnown { after_s: DETECTION_LIMIT_S }), Some(0.9));
    assert!(verdict.misses(Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S }));
    assert!(verdict.misses(Measure::PrimariesKnown { after_s: DETECTION_LIMIT_S }));
    assert!(verdict.control_fails());
}

#[test]
fn marking_one_live_member_dead_for_a_second_misses_the_target() {
    let mut entries = entries(&plan(), 5_000.0, 0);
    for (at, counts) in [(LOST_AT + 6_000.0, false), (LOST_AT + 7_000.0, true)] {
        entries.push(Entry { at, event: Event::Belief { observer: 0, member: 2, counts } });
    }
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let verdict = judge(&plan(), &entries, MEMORY_MB);
    // Ten live routers: 90 pairs.
    let live_marked_dead = Measure::LiveMarkedDead { phase: Phase::ZoneLost };
    assert_eq!(value(&verdict, live_marked_dead), Some(1.0 / 90.0));
    assert!(verdict.misses(live_marked_dead));
}

#[test]
fn a_test_that_ends_too_early_misses_its_targets() {
    let mut entries = entries(&plan(), 100.0, 0);
    entries.retain(|entry| entry.at < LOST_AT + 5_000.0);
    let verdict = judge(&plan(), &entries, MEMORY_MB);
    assert!(verdict.misses(Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S }));
    assert!(verdict.misses(Measure::PrimariesKnown { after_s: DETECTION_LIMIT_S }));
}

#[test]
fn bytes_and_processor_time_are_per_second_and_router() {
    let mut entries = entries(&plan(), 5_000.0, 0);
    for (at, bytes, most_bytes) in [(2_000.0, 10_000, 700), (6_000.0, 110_000, 9_000)] {
        let totals = Totals { bytes, most_bytes, ..Totals::default() };
        entries.push(Entry { at, event: Event::Totals { process: 0, totals } });
        let process = ProcessName::Hollow(0);
        let usage = Event::Usage { process, processor_ms: bytes as f64 / 100.0, memory_mb: 600.0 };
        entries.push(Entry { at, event: usage });
    }
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let verdict = judge(&plan(), &entries, MEMORY_MB);
    // Five routers of the process, 4 s: 100,000 bytes and one second of a core.
    let bytes = Measure::HollowBytes { phase: Phase::ZoneLost };
    assert_eq!(value(&verdict, bytes), Some(5_000.0));
    assert!(verdict.misses(bytes));
    assert_eq!(value(&verdict, Measure::MaxBytes { phase: Phase::ZoneLost }), Some(9_000.0));
    let processor = Measure::HollowProcessor { phase: Phase::ZoneLost };
    assert_eq!(value(&verdict, processor), Some(0.05));
    assert!(verdict.misses(processor) && verdict.misses(Measure::MachineMemory));
}

#[test]
fn restarted_processes_are_excluded_from_rates() {
    let readings = |values: &[f64]| -> Vec<Reading> {
        values.iter().enumerate().map(|(at, value)| Reading { at: at as f64 * 1e3, value: *value }).collect()
    };
    assert_eq!(growth_per_second(&readings(&[1.0, 3.0, 5.0])), Some(2.0));
    assert_eq!(growth_per_second(&readings(&[1.0, 0.5, 5.0])), None);
    assert_eq!(growth_per_second(&readings(&[1.0])), None);
}

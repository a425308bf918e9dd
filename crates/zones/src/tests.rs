use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const PROBE_PERIOD_MS: f64 = 1_250.0;
const SECOND_MS: f64 = 1_000.0;

fn limits() -> Limits {
    Limits::for_probe_period(PROBE_PERIOD_MS, 400.0)
}

/// The evidence of a router in zone 0 of six that knows the zones of all 60 members and has just received
/// from all zones.
fn informed_evidence() -> ZoneEvidence {
    let mut evidence = ZoneEvidence::new(Some(0), ZoneMap::new(60, 0), 0.0, limits());
    for member in 0..60u16 {
        evidence.observe_member(0.0, member, Some((member % 6) as u8));
    }
    evidence
}

/// Advances the time in ticks of 100 ms while these members, one per zone, are received from; returns all
/// changes.
fn advance(
    evidence: &mut ZoneEvidence,
    from: f64,
    until: f64,
    received: &[u16],
) -> Vec<(f64, ReachabilityChange)> {
    let mut changes = Vec::new();
    let mut now = from;
    while now < until {
        now += 100.0;
        received.iter().for_each(|zone| evidence.observe_member(now, *zone, Some(*zone as u8)));
        changes.extend(evidence.tick(now).into_iter().map(|change| (now, change)));
    }
    changes
}

#[test]
fn a_silent_zone_is_lost_or_cut_off_after_the_limit_and_reachable_at_its_next_sign_of_life() {
    let mut evidence = informed_evidence();
    let changes = advance(&mut evidence, 0.0, 20.0 * SECOND_MS, &[1, 2, 3, 4]);
    let expected = ReachabilityChange { zone: 5, reachability: Reachability::LostOrCutOff };
    assert_eq!(changes, [(limits().silent_after_ms, expected)]);
    assert!(evidence.is_in_silent_zone(11) && !evidence.is_in_silent_zone(10));
    evidence.observe_member(20_050.0, 11, Some(5));
    let back = ReachabilityChange { zone: 5, reachability: Reachability::Reachable };
    assert_eq!(evidence.tick(20_100.0), [back]);
}

#[test]
fn silent_zones_with_half_of_the_roster_are_cut_off() {
    let mut evidence = informed_evidence();
    let changes = advance(&mut evidence, 0.0, 20.0 * SECOND_MS, &[1, 2]);
    let zones: Vec<usize> = changes.iter().map(|(_, change)| change.zone).collect();
    assert_eq!(zones, [3, 4, 5]);
    assert!(changes.iter().all(|(_, change)| change.reachability == Reachability::CutOff));
}

#[test]
fn lost_or_cut_off_becomes_cut_off_as_more_zones_fall_silent() {
    let mut evidence = informed_evidence();
    advance(&mut evidence, 0.0, 10.0 * SECOND_MS, &[1, 2, 3]);
    assert_eq!(evidence.reachability(5), Reachability::LostOrCutOff);
    advance(&mut evidence, 10.0 * SECOND_MS, 20.0 * SECOND_MS, &[1, 2]);
    assert!((3..6).all(|zone| evidence.reachability(zone) == Reachability::CutOff));
}

#[test]
fn a_router_that_was_paused_considers_no_zone_silent_because_of_the_pause() {
    let mut evidence = informed_evidence();
    advance(&mut evidence, 0.0, SECOND_MS, &[1, 2, 3, 4, 5]);
    let resumed = 60.0 * SECOND_MS;
    assert!(evidence.tick(resumed).is_empty());
    assert!(advance(&mut evidence, resumed, resumed + limits().silent_after_ms - 200.0, &[]).is_empty());
    assert!(
        !advance(&mut evidence, resumed + limits().silent_after_ms - 200.0, resumed + 10.0 * SECOND_MS, &[])
            .is_empty()
    );
    // Signs of life from before the pause are not reported as recent.
    assert_eq!(evidence.ages(resumed)[3], Age::UNKNOWN);
}

#[test]
fn a_zone_without_any_sign_of_life_becomes_silent_after_the_limit_counted_from_the_start() {
    let mut evidence = ZoneEvidence::new(Some(0), ZoneMap::new(60, 0), 0.0, limits());
    evidence.learn_chunk(&MapChunk { first: 0, zones: [1; 24] });
    let changes = advance(&mut evidence, 0.0, 10.0 * SECOND_MS, &[]);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].0, limits().silent_after_ms);
}

#[test]
fn a_routers_own_zone_is_never_silent() {
    let mut evidence = informed_evidence();
    advance(&mut evidence, 0.0, 60.0 * SECOND_MS, &[1, 2, 3, 4, 5]);
    assert_eq!(evidence.reachability(0), Reachability::Reachable);
    assert_eq!(evidence.ages(60.0 * SECOND_MS)[0], Age::from_ms(0.0));
}

#[test]
fn a_stale_zone_is_pinged_directly_at_a_bounded_rate() {
    let mut evidence = informed_evidence();
    let mut pings = Vec::new();
    let mut now = 0.0;
    while now < 20.0 * SECOND_MS {
        now += 100.0;
        (1..5).for_each(|zone| evidence.observe_member(now, zone, Some(zone as u8)));
        evidence.tick(now);
        pings.extend(evidence.direct_ping(now, now as u64).map(|member| (now, member)));
    }
    assert!(pings.iter().all(|(_, member)| member % 6 == 5), "{pings:?}");
    let within =
        |(at, _): &(f64, u16)| (limits().direct_ping_after_ms..limits().silent_after_ms).contains(at);
    assert!(pings.iter().all(within), "{pings:?}");
    // Sixty routers, ten members: each member gets at most eight a second from all of them.
    let seconds = (limits().silent_after_ms - limits().direct_ping_after_ms) / SECOND_MS;
    let max_pings = limits().direct_pings_per_second * 10.0 / 60.0 * seconds + 1.0;
    assert!(!pings.is_empty() && pings.len() as f64 <= max_pings, "{} of {max_pings}", pings.len());
}

#[test]
fn the_zone_map_is_learned_from_others_and_a_members_own_report_wins() {
    let mut known = ZoneMap::new(100, 0);
    (0..100u16).for_each(|member| known.learn_from_member(member, (member % 5) as u8));
    let mut learner = ZoneMap::new(100, 0);
    learner.learn_from_member(7, 4);
    let wanted = learner.next_unknown_batch().unwrap();
    known.chunks(wanted).iter().for_each(|chunk| learner.learn_chunk(chunk));
    assert_eq!(learner.next_unknown_batch(), None);
    assert!((0..100u16).filter(|m| *m != 7).all(|m| learner.zone(m) == Some(usize::from(m % 5))));
    assert_eq!(learner.zone(7), Some(4));
    assert_eq!((learner.size(4), learner.size(2)), (21, 19));
    learner.learn_from_member(7, 2);
    assert_eq!((learner.size(4), learner.size(2)), (20, 20));
    assert!(known.chunks(MapBatch(200)).is_empty());
    // Zones and members that don't exist change nothing.
    learner.learn_from_member(999, 2);
    learner.learn_from_member(8, 200);
    assert_eq!((learner.zone(8), learner.size(2)), (Some(3), 20));
}

proptest! {
    #![proptest_config(Config {
        cases: 256, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..Config::default()
    })]

    /// An age that is relayed is never younger than the sign of life, however long it waits at each hop, with
    /// transit times of up to 50 ms.
    #[test]
    fn a_relayed_age_is_never_too_young(
        hops in prop::collection::vec((0.0f64..3_000.0, 0.0f64..50.0), 1..8)
    ) {
        let (mut at, mut now) = (0.0, 0.0);
        for (wait, transit) in hops {
            now += wait;
            let Some(age) = Age::from_ms(now - at).to_ms() else { return Ok(()) };
            now += transit;
            at = now - age;
            prop_assert!(at <= 1e-6, "sign of life reported at {at}, after it was given at 0");
        }
    }

    /// Neither the order in which ages arrive nor their repetition matters.
    #[test]
    fn ages_merge_in_any_order(
        ages in prop::collection::vec(prop::array::uniform12(any::<u8>()), 1..6), rotation in any::<usize>()
    ) {
        let merged = |order: &[[u8; MAX_ZONES]]| {
            let mut evidence = informed_evidence();
            for ages in order {
                evidence.merge_ages(30_000.0, &ages.map(Age));
            }
            evidence.ages(30_000.0)
        };
        let mut rotated = ages.clone();
        rotated.rotate_left(rotation % ages.len());
        rotated.push(ages[0]);
        prop_assert_eq!(merged(&ages), merged(&rotated));
    }
}

//! The latest sign of life of each zone, and the reachability that follows from its age.

use crate::{Age, Ages, MAX_ZONES, MapBatch, MapChunk, ZoneMap};

/// Time limits and rates of the zone failure detector.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A zone without a sign of life for this long is silent.
    pub silent_after_ms: f64,
    /// Once a zone's latest sign of life is this old, the zone is stale, and its members are also pinged
    /// directly.
    pub direct_ping_after_ms: f64,
    /// The shortest interval between two direct pings that this router sends.
    pub direct_ping_interval_ms: f64,
    /// About how many direct pings a second each member of a stale zone gets from all routers together.
    pub direct_pings_per_second: f64,
    /// While the zones of some members are unknown, a batch of the zone map is requested from another router
    /// at this interval.
    pub map_request_interval_ms: f64,
    /// Time between two ticks beyond which this router's own process is taken to have been paused.
    pub pause_threshold_ms: f64,
}

impl Limits {
    /// Limits derived from how often a router probes another: an update reaches a fleet of thousands in under
    /// six periods.
    pub fn for_probe_period(probe_period_ms: f64, pause_threshold_ms: f64) -> Limits {
        const SILENT_AFTER_PERIODS: f64 = 6.0;
        const DIRECT_PING_AFTER_PERIODS: f64 = 2.0;
        const DIRECT_PINGS_PER_PERIOD: f64 = 3.0;
        const DIRECT_PINGS_PER_SECOND: f64 = 8.0;
        const MAP_REQUESTS_PER_PERIOD: f64 = 5.0;
        Limits {
            silent_after_ms: SILENT_AFTER_PERIODS * probe_period_ms,
            direct_ping_after_ms: DIRECT_PING_AFTER_PERIODS * probe_period_ms,
            direct_ping_interval_ms: probe_period_ms / DIRECT_PINGS_PER_PERIOD,
            direct_pings_per_second: DIRECT_PINGS_PER_SECOND,
            map_request_interval_ms: probe_period_ms / MAP_REQUESTS_PER_PERIOD,
            pause_threshold_ms,
        }
    }
}

/// Whether the routers of a zone as a whole can be reached, as far as this router can judge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    #[default]
    Reachable,
    /// Silent, and together with other silent zones less than half of the roster: its members aren't counted.
    /// This router can't distinguish a lost zone from one that is cut off.
    LostOrCutOff,
    /// Silent, and together with other silent zones half of the roster or more: this router may well be on
    /// the smaller side of a partition. The zone's members stay counted.
    CutOff,
}

/// A change of a zone's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    pub zone: usize,
    pub reachability: Reachability,
}

/// The failure detector of one router for all zones: their latest signs of life and their reachability.
#[derive(Clone, Debug)]
pub struct ZoneEvidence {
    limits: Limits,
    own_zone: Option<usize>,
    map: ZoneMap,
    /// The time of the latest sign of life of each zone.
    last_seen_at: [Option<f64>; MAX_ZONES],
    reachability: [Reachability; MAX_ZONES],
    /// No zone becomes silent before this time: this router has just started, or was paused.
    trusted_from: f64,
    last_tick_at: Option<f64>,
    next_direct_ping_at: f64,
    next_map_request_at: f64,
}

impl ZoneEvidence {
    /// The evidence of a router that starts now. `own_zone` is its zone, ignored if it isn't monitored.
    pub fn new(own_zone: Option<usize>, map: ZoneMap, now: f64, limits: Limits) -> ZoneEvidence {
        ZoneEvidence {
            limits,
            own_zone: own_zone.filter(|zone| *zone < MAX_ZONES),
            map,
            last_seen_at: [None; MAX_ZONES],
            reachability: [Reachability::default(); MAX_ZONES],
            trusted_from: now + limits.silent_after_ms,
            last_tick_at: None,
            next_direct_ping_at: now,
            next_map_request_at: now,
        }
    }

    pub fn map(&self) -> &ZoneMap {
        &self.map
    }

    /// The batch of the zone map to request from another router now, if a request is due.
    pub fn map_request(&mut self, now: f64) -> Option<MapBatch> {
        if now < self.next_map_request_at {
            return None;
        }
        self.next_map_request_at = now + self.limits.map_request_interval_ms;
        self.map.next_unknown_batch()
    }

    /// Fills in the zones of members from another router's map.
    pub fn learn_chunk(&mut self, chunk: &MapChunk) {
        self.map.learn_chunk(chunk);
    }

    pub fn reachability(&self, zone: usize) -> Reachability {
        self.reachability.get(zone).copied().unwrap_or_default()
    }

    /// Whether a member is in a zone that is silent, whatever the reason.
    pub fn is_in_silent_zone(&self, member: u16) -> bool {
        let zone = self.map.zone(member);
        zone.is_some_and(|zone| self.reachability(zone) != Reachability::Reachable)
    }

    /// Whether any zone is silent.
    pub fn is_any_silent(&self) -> bool {
        self.reachability.iter().any(|reachability| *reachability != Reachability::Reachable)
    }

    /// Records a datagram of this member, which states its zone if it has one.
    pub fn observe_member(&mut self, now: f64, member: u16, zone: Option<u8>) {
        if let Some(zone) = zone {
            self.map.learn_from_member(member, zone);
        }
        if let Some(zone) = self.map.zone(member) {
            self.observe_zone(zone, now);
        }
    }

    /// Merges the ages of the latest signs of life that another router reports.
    pub fn merge_ages(&mut self, now: f64, ages: &Ages) {
        for (zone, age) in ages.iter().enumerate() {
            if let Some(ms) = age.to_ms() {
                self.observe_zone(zone, now - ms);
            }
        }
    }

    fn observe_zone(&mut self, zone: usize, at: f64) {
        let current = &mut self.last_seen_at[zone];
        *current = Some(current.map_or(at, |current| current.max(at)));
    }

    /// The ages to report to others; this router's own zone has age zero.
    pub fn ages(&self, now: f64) -> Ages {
        let mut ages = self.last_seen_at.map(|at| at.map_or(Age::UNKNOWN, |at| Age::from_ms(now - at)));
        if let Some(own) = self.own_zone {
            ages[own] = Age::from_ms(0.0);
        }
        ages
    }

    /// Advances the time and returns the changes of reachability; to be called several times a second.
    pub fn tick(&mut self, now: f64) -> Vec<ReachabilityChange> {
        let elapsed_ms = self.last_tick_at.map_or(0.0, |at| now - at);
        self.last_tick_at = Some(now);
        if elapsed_ms > self.limits.pause_threshold_ms || elapsed_ms < 0.0 {
            // Nothing could be received while this router was paused: no zone becomes silent because of that.
            self.trusted_from = now + self.limits.silent_after_ms;
        }
        let silent_reachability = self.silent_reachability(now);
        (0..MAX_ZONES).filter_map(|zone| self.update(zone, now, silent_reachability)).collect()
    }

    /// The reachability of all silent zones, by the share of the roster that is in them.
    fn silent_reachability(&self, now: f64) -> Reachability {
        let silent: usize =
            (0..MAX_ZONES).filter(|zone| self.is_silent(*zone, now)).map(|zone| self.map.size(zone)).sum();
        if 2 * silent < self.map.roster_size() { Reachability::LostOrCutOff } else { Reachability::CutOff }
    }

    fn is_silent(&self, zone: usize, now: f64) -> bool {
        let is_monitored = self.own_zone != Some(zone) && self.map.size(zone) > 0;
        if !is_monitored {
            return false;
        }
        if self.has_recent_sign_of_life(zone, now) {
            return false;
        }
        // A silent zone stays silent until a sign of life arrives, even while no other zone may become
        // silent.
        now >= self.trusted_from || self.reachability[zone] != Reachability::Reachable
    }

    fn has_recent_sign_of_life(&self, zone: usize, now: f64) -> bool {
        self.last_seen_at[zone].is_some_and(|at| now - at < self.limits.silent_after_ms)
    }

    fn update(
        &mut self,
        zone: usize,
        now: f64,
        silent_reachability: Reachability,
    ) -> Option<ReachabilityChange> {
        let reachability =
            if self.is_silent(zone, now) { silent_reachability } else { Reachability::Reachable };
        let current = &mut self.reachability[zone];
        if *current == reachability {
            return None;
        }
        *current = reachability;
        Some(ReachabilityChange { zone, reachability })
    }

    /// Whether the latest sign of life of a member's zone is at least [`Limits::direct_ping_after_ms`] old:
    /// datagrams to it may be lost.
    pub fn is_in_stale_zone(&self, now: f64, member: u16) -> bool {
        let Some(zone) = self.map.zone(member) else { return false };
        let is_old = self.last_seen_at[zone].is_some_and(|at| now - at >= self.limits.direct_ping_after_ms);
        is_old && self.own_zone != Some(zone)
    }

    /// A member to ping now, besides the regular probes, because its zone's latest sign of life is stale.
    /// `random` is a random number that chooses it.
    pub fn direct_ping(&mut self, now: f64, random: u64) -> Option<u16> {
        if now < self.next_direct_ping_at {
            return None;
        }
        let zone = self.most_stale_zone(now)?;
        let members = self.map.size(zone);
        let members_per_router = members as f64 / self.map.roster_size().max(1) as f64;
        let pings_per_second = self.limits.direct_pings_per_second * members_per_router;
        let interval_ms =
            self.limits.direct_ping_interval_ms.max(1_000.0 / pings_per_second.max(f64::MIN_POSITIVE));
        self.next_direct_ping_at = now + interval_ms;
        self.map.members_of(zone).nth((random % members as u64) as usize)
    }

    /// The zone with the oldest latest sign of life among those that are stale and not yet silent.
    fn most_stale_zone(&self, now: f64) -> Option<usize> {
        let age = |zone: usize| self.last_seen_at[zone].map(|at| now - at);
        let is_stale = |zone: &usize| {
            let is_old = age(*zone).is_some_and(|age| age >= self.limits.direct_ping_after_ms);
            is_old
                && self.own_zone != Some(*zone)
                && self.map.size(*zone) > 0
                && self.reachability[*zone] == Reachability::Reachable
        };
        let by_age = |a: &usize, b: &usize| age(*a).unwrap_or(0.0).total_cmp(&age(*b).unwrap_or(0.0));
        (0..MAX_ZONES).filter(is_stale).max_by(by_age)
    }
}

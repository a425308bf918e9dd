//! Signs of life by zone, and what follows from their age.

use crate::{Age, Ages, MAX_ZONES, MapBatch, MapChunk, ZoneMap};

/// Times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A zone without a sign of life for so long is silent.
    pub silence: f64,
    /// A zone whose latest sign of life is older than this is also pinged directly.
    pub direct_after: f64,
    /// One direct ping goes out so often, at the most.
    pub direct_period: f64,
    /// All routers together send each member of such a zone so many direct pings a second, about.
    pub direct_per_member: f64,
    /// As long as the zones of some members aren't known, another router is asked for a part of the map so often.
    pub map_request_period: f64,
    /// A tick that comes later than this shows that this router itself was stopped.
    pub pause_threshold: f64,
}

impl Limits {
    /// Limits that follow from how often a router probes another: news crosses a fleet of thousands in under six
    /// periods.
    pub fn for_probe_period(period: f64, pause_threshold: f64) -> Limits {
        const SILENCE_PERIODS: f64 = 6.0;
        const DIRECT_AFTER_PERIODS: f64 = 2.0;
        const DIRECT_PER_PERIOD: f64 = 3.0;
        const DIRECT_PER_MEMBER: f64 = 8.0;
        const MAP_REQUESTS_PER_PERIOD: f64 = 5.0;
        Limits {
            silence: SILENCE_PERIODS * period,
            direct_after: DIRECT_AFTER_PERIODS * period,
            direct_period: period / DIRECT_PER_PERIOD,
            direct_per_member: DIRECT_PER_MEMBER,
            map_request_period: period / MAP_REQUESTS_PER_PERIOD,
            pause_threshold,
        }
    }
}

/// What is believed of a zone as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    #[default]
    Reachable,
    /// Silent, and together with other silent zones less than half of the roster: its members don't count. Whether it is
    /// lost or cut off can't be told from here.
    LostOrCutOff,
    /// Silent, and together with other silent zones half of the roster or more: this router is as likely on the smaller
    /// side of a partition. The zone's members stay counted.
    CutOff,
}

/// What is believed of a zone has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub zone: usize,
    pub reachability: Reachability,
}

/// One router's evidence for all zones.
#[derive(Clone, Debug)]
pub struct ZoneEvidence {
    limits: Limits,
    own_zone: Option<usize>,
    map: ZoneMap,
    /// When the latest sign of life of each zone was given.
    last_seen_at: [Option<f64>; MAX_ZONES],
    reachability: [Reachability; MAX_ZONES],
    /// No zone is silent before this time: this router has just started, or was stopped.
    trusted_from: f64,
    ticked_at: Option<f64>,
    direct_at: f64,
    map_request_at: f64,
}

impl ZoneEvidence {
    /// The evidence of a router in this zone, if it has one that is watched, which starts now.
    pub fn new(own_zone: Option<usize>, map: ZoneMap, now: f64, limits: Limits) -> ZoneEvidence {
        ZoneEvidence {
            limits,
            own_zone: own_zone.filter(|zone| *zone < MAX_ZONES),
            map,
            last_seen_at: [None; MAX_ZONES],
            reachability: [Reachability::default(); MAX_ZONES],
            trusted_from: now + limits.silence,
            ticked_at: None,
            direct_at: now,
            map_request_at: now,
        }
    }

    pub fn map(&self) -> &ZoneMap {
        &self.map
    }

    /// A part of the map of zones to ask another router for now.
    pub fn map_request(&mut self, now: f64) -> Option<MapBatch> {
        if now < self.map_request_at {
            return None;
        }
        self.map_request_at = now + self.limits.map_request_period;
        self.map.next_unknown_batch()
    }

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

    /// A datagram of this member has come, which says its zone.
    pub fn observe_member(&mut self, now: f64, member: u16, zone: Option<u8>) {
        if let Some(zone) = zone {
            self.map.learn_from_member(member, zone);
        }
        if let Some(zone) = self.map.zone(member) {
            self.observe_zone(zone, now);
        }
    }

    /// Another router tells how old its latest signs of life are.
    pub fn merge_ages(&mut self, now: f64, ages: &Ages) {
        for (zone, age) in ages.iter().enumerate() {
            if let Some(ms) = age.to_ms() {
                self.observe_zone(zone, now - ms);
            }
        }
    }

    fn observe_zone(&mut self, zone: usize, at: f64) {
        let held = &mut self.last_seen_at[zone];
        *held = Some(held.map_or(at, |held| held.max(at)));
    }

    /// The ages to tell others; this router's own zone is alive as it speaks.
    pub fn ages(&self, now: f64) -> Ages {
        let mut ages = self.last_seen_at.map(|at| at.map_or(Age::UNKNOWN, |at| Age::from_ms(now - at)));
        if let Some(own) = self.own_zone {
            ages[own] = Age::from_ms(0.0);
        }
        ages
    }

    /// Time passes; to be called several times a second. Says what has changed.
    pub fn tick(&mut self, now: f64) -> Vec<Change> {
        let since_tick = self.ticked_at.map_or(0.0, |at| now - at);
        self.ticked_at = Some(now);
        if since_tick > self.limits.pause_threshold || since_tick < 0.0 {
            // Nothing was heard while this router was stopped: that is no evidence against others.
            self.trusted_from = now + self.limits.silence;
        }
        let side = self.silent_side(now);
        (0..MAX_ZONES).filter_map(|zone| self.update(zone, now, side)).collect()
    }

    /// What the silent zones are, by the part of the roster that they hold together.
    fn silent_side(&self, now: f64) -> Reachability {
        let silent: usize =
            (0..MAX_ZONES).filter(|zone| self.is_silent(*zone, now)).map(|zone| self.map.size(zone)).sum();
        if 2 * silent < self.map.roster() { Reachability::LostOrCutOff } else { Reachability::CutOff }
    }

    fn is_silent(&self, zone: usize, now: f64) -> bool {
        let is_watched = self.own_zone != Some(zone) && self.map.size(zone) > 0;
        if !is_watched {
            return false;
        }
        if self.is_fresh(zone, now) {
            return false;
        }
        // Once silent a zone stays so until it is heard, also while new evidence isn't trusted.
        now >= self.trusted_from || self.reachability[zone] != Reachability::Reachable
    }

    fn is_fresh(&self, zone: usize, now: f64) -> bool {
        self.last_seen_at[zone].is_some_and(|at| now - at < self.limits.silence)
    }

    fn update(&mut self, zone: usize, now: f64, side: Reachability) -> Option<Change> {
        let reachability = if self.is_silent(zone, now) { side } else { Reachability::Reachable };
        let held = &mut self.reachability[zone];
        if *held == reachability {
            return None;
        }
        *held = reachability;
        Some(Change { zone, reachability })
    }

    /// Whether a member's zone has given no sign of life for a while, or is silent: what is sent there may be lost.
    pub fn is_in_stale_zone(&self, now: f64, member: u16) -> bool {
        let Some(zone) = self.map.zone(member) else { return false };
        let is_old = self.last_seen_at[zone].is_some_and(|at| now - at >= self.limits.direct_after);
        is_old && self.own_zone != Some(zone)
    }

    /// A member that should be pinged now, besides the regular probes, because its zone has given no sign of life for a
    /// while. `draw` is a random number.
    pub fn direct_ping(&mut self, now: f64, draw: u64) -> Option<u16> {
        if now < self.direct_at {
            return None;
        }
        let zone = self.most_doubtful_zone(now)?;
        let members = self.map.size(zone);
        let members_per_router = members as f64 / self.map.roster().max(1) as f64;
        let rate = self.limits.direct_per_member * members_per_router;
        let period = self.limits.direct_period.max(1_000.0 / rate.max(f64::MIN_POSITIVE));
        self.direct_at = now + period;
        self.map.members_of(zone).nth((draw % members as u64) as usize)
    }

    /// The zone with the oldest sign of life among those that are in doubt and not yet silent.
    fn most_doubtful_zone(&self, now: f64) -> Option<usize> {
        let age = |zone: usize| self.last_seen_at[zone].map(|at| now - at);
        let in_doubt = |zone: &usize| {
            let is_old = age(*zone).is_some_and(|age| age >= self.limits.direct_after);
            is_old
                && self.own_zone != Some(*zone)
                && self.map.size(*zone) > 0
                && self.reachability[*zone] == Reachability::Reachable
        };
        let by_age = |a: &usize, b: &usize| age(*a).unwrap_or(0.0).total_cmp(&age(*b).unwrap_or(0.0));
        (0..MAX_ZONES).filter(in_doubt).max_by(by_age)
    }
}

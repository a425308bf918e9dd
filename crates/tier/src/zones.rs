//! Failure detection of whole zones, and its effect on the members in them.

use crate::{Entries, Limits, Output, Tier, ZoneChange};
use magpiewell_members::GroupStatus;
use magpiewell_peers::tier::{Datagram, NO_ZONE};
use magpiewell_zones::Limits as ZoneLimits;
use magpiewell_zones::{MapBatch, MapChunk, Reachability, ReachabilityChange, ZoneEvidence, ZoneMap};

/// A member's request for a batch of the zone map, answered with the next datagram to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkRequest {
    pub member: u16,
    pub batch: MapBatch,
}

/// Creates the zone failure detector; `None` if the limits disable it.
pub(crate) fn evidence(
    limits: &Limits,
    zone: Option<u8>,
    local: u16,
    roster_size: usize,
    now: f64,
) -> Option<ZoneEvidence> {
    let limits = limits.zone_evidence.then(|| {
        ZoneLimits::for_probe_period(limits.members.probe_period_ms, limits.members.pause_threshold_ms)
    })?;
    let mut map = ZoneMap::new(roster_size, usize::from(local));
    if let Some(zone) = zone {
        map.learn_from_member(local, zone);
    }
    Some(ZoneEvidence::new(zone.map(usize::from), map, now, limits))
}

impl Tier {
    /// The believed reachability of a zone. Always reachable if zones are not monitored.
    pub fn reachability(&self, zone: usize) -> Reachability {
        self.evidence.as_ref().map_or(Reachability::Reachable, |evidence| evidence.reachability(zone))
    }

    /// The zones of the members; `None` if zones are not monitored.
    pub fn zone_map(&self) -> Option<&ZoneMap> {
        self.evidence.as_ref().map(|evidence| evidence.map())
    }

    /// Processes the zone data in a member's datagram.
    pub(crate) fn process_zone_data(&mut self, now: f64, datagram: &Datagram) {
        let Some(evidence) = &mut self.evidence else { return };
        let zone = (datagram.zone != NO_ZONE).then_some(datagram.zone);
        evidence.observe_member(now, datagram.sender, zone);
        datagram.zone_chunks.iter().for_each(|chunk| evidence.learn_chunk(chunk));
        if let Some(ages) = &datagram.zone_ages {
            evidence.merge_ages(now, ages);
        }
        let request = |batch| ChunkRequest { member: datagram.sender, batch };
        self.chunk_request = datagram.requested_batch.map(request);
    }

    /// Advances the zone failure detector and applies changes to the members' group statuses.
    pub(crate) fn tick_zones(&mut self, now: f64, output: &mut Output) {
        let Some(evidence) = &mut self.evidence else { return };
        let changes = evidence.tick(now);
        let zone_change = |change: &ReachabilityChange| ZoneChange {
            zone: change.zone,
            reachability: change.reachability,
            members: evidence.map().size(change.zone),
        };
        output.zone_changes.extend(changes.iter().map(zone_change));
        let version = evidence.map().version();
        let has_new_members = evidence.is_any_silent() && version != self.applied_map_version;
        if !changes.is_empty() || has_new_members {
            self.applied_map_version = version;
            self.update_group_statuses();
        }
        self.ping_stale_zone(now, output);
        self.request_map(now, output);
    }

    fn update_group_statuses(&mut self) {
        let Some(evidence) = &self.evidence else { return };
        for member in 0..self.senders.len() as u16 {
            let reachability = evidence.map().zone(member).map(|zone| evidence.reachability(zone));
            let status = match reachability.unwrap_or_default() {
                Reachability::Reachable => GroupStatus::Reachable,
                Reachability::LostOrCutOff => GroupStatus::NotCounted,
                Reachability::CutOff => GroupStatus::Frozen,
            };
            self.members.set_group_status(member, status);
        }
        self.counts_changed = true;
    }

    /// Pings a member of a zone whose latest sign of life is stale, in addition to the regular probes.
    fn ping_stale_zone(&mut self, now: f64, output: &mut Output) {
        let draw = self.members.random_number();
        let Some(evidence) = &mut self.evidence else { return };
        let Some(target) = evidence.direct_ping(now, draw) else { return };
        // Without updates and facts: the zone may be lost, and their transmissions would be wasted.
        let message = self.members.ping();
        self.send_entries(now, target, message, Entries::default(), output);
    }

    /// Requests a batch of the zone map from a random member while the map is incomplete.
    fn request_map(&mut self, now: f64, output: &mut Output) {
        let Some(evidence) = &mut self.evidence else { return };
        let Some(batch) = evidence.map_request(now) else { return };
        let local = self.members.local();
        for to in self.members.random_members(1, [local, local]) {
            let message = self.members.ping();
            let entries = Entries { requested_batch: Some(batch), ..Entries::default() };
            self.send_entries(now, to, message, entries, output);
        }
    }

    /// Takes the pending request of member `to` and returns the requested chunks of the zone map.
    pub(crate) fn take_requested_chunks(&mut self, to: u16) -> Vec<MapChunk> {
        let request = self.chunk_request.take_if(|request| request.member == to);
        let map = self.evidence.as_ref().map(|evidence| evidence.map());
        request.zip(map).map(|(request, map)| map.chunks(request.batch)).unwrap_or_default()
    }
}

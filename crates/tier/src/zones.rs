//! What this router knows of whole zones, and how it bears on the members in them.

use crate::{Entries, Limits, Output, Tier, ZoneChange};
use magpiewell_members::GroupStatus;
use magpiewell_peers::tier::{Datagram, NO_ZONE};
use magpiewell_zones::Limits as ZoneLimits;
use magpiewell_zones::{Change, MapBatch, MapChunk, Reachability, ZoneEvidence, ZoneMap};

/// A part of the zone map that a member has asked for, to go with the next datagram to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WantedChunks {
    pub member: u16,
    pub batch: MapBatch,
}

/// The evidence of a router that judges zones; none where the limits say that it doesn't.
pub(crate) fn evidence(
    limits: &Limits,
    zone: Option<u8>,
    local: u16,
    roster: usize,
    now: f64,
) -> Option<ZoneEvidence> {
    let limits = limits
        .zone_evidence
        .then(|| ZoneLimits::for_probe_period(limits.members.probe_period, limits.members.pause_threshold))?;
    let mut map = ZoneMap::new(roster, usize::from(local));
    if let Some(zone) = zone {
        map.learn_from_member(local, zone);
    }
    Some(ZoneEvidence::new(zone.map(usize::from), map, now, limits))
}

impl Tier {
    /// What is believed of a zone as a whole.
    pub fn reachability(&self, zone: usize) -> Reachability {
        self.evidence.as_ref().map_or(Reachability::Reachable, |evidence| evidence.reachability(zone))
    }

    /// The map of zones, where this router judges them.
    pub fn zone_map(&self) -> Option<&ZoneMap> {
        self.evidence.as_ref().map(|evidence| evidence.map())
    }

    /// Takes in what a member's datagram says of zones.
    pub(crate) fn learn_zones(&mut self, now: f64, datagram: &Datagram) {
        let Some(evidence) = &mut self.evidence else { return };
        let zone = (datagram.zone != NO_ZONE).then_some(datagram.zone);
        evidence.observe_member(now, datagram.sender, zone);
        datagram.zone_chunks.iter().for_each(|chunk| evidence.learn_chunk(chunk));
        if let Some(ages) = &datagram.zone_ages {
            evidence.merge_ages(now, ages);
        }
        let wanted = |batch| WantedChunks { member: datagram.sender, batch };
        self.wanted_chunks = datagram.wanted_batch.map(wanted);
    }

    /// Advances the evidence of zones, and has the members' states follow it.
    pub(crate) fn tick_zones(&mut self, now: f64, output: &mut Output) {
        let Some(evidence) = &mut self.evidence else { return };
        let changes = evidence.tick(now);
        let reported = |change: &Change| ZoneChange {
            zone: change.zone,
            reachability: change.reachability,
            members: evidence.map().size(change.zone),
        };
        output.zone_changes.extend(changes.iter().map(reported));
        let version = evidence.map().version();
        let has_new_members = evidence.is_any_silent() && version != self.applied_map_version;
        if !changes.is_empty() || has_new_members {
            self.applied_map_version = version;
            self.update_group_statuses();
        }
        self.ping_doubtful_zone(now, output);
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

    /// Pings a member of a zone that has not been heard for a while, besides the regular probes.
    fn ping_doubtful_zone(&mut self, now: f64, output: &mut Output) {
        let draw = self.members.random_number();
        let Some(evidence) = &mut self.evidence else { return };
        let Some(target) = evidence.direct_ping(now, draw) else { return };
        // Without updates and facts: nobody may be there to read them.
        let message = self.members.ping();
        self.send_entries(now, target, message, Entries::default(), output);
    }

    /// Asks some member for a part of the map of zones, as long as it isn't known whole.
    fn request_map(&mut self, now: f64, output: &mut Output) {
        let Some(evidence) = &mut self.evidence else { return };
        let Some(batch) = evidence.map_request(now) else { return };
        let local = self.members.local();
        for to in self.members.random_members(1, [local, local]) {
            let message = self.members.ping();
            let entries = Entries { wanted_batch: Some(batch), ..Entries::default() };
            self.send_entries(now, to, message, entries, output);
        }
    }

    /// The parts of the map that this member has asked for, if this datagram is the answer.
    pub(crate) fn take_wanted_chunks(&mut self, to: u16) -> Vec<MapChunk> {
        let wanted = self.wanted_chunks.take_if(|wanted| wanted.member == to);
        let map = self.evidence.as_ref().map(|evidence| evidence.map());
        wanted.zip(map).map(|(wanted, map)| map.chunks(wanted.batch)).unwrap_or_default()
    }
}

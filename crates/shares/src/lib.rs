//! Who of a tier looks after what, without a word between them: each router reckons the same shares from the members it
//! believes in. No I/O, no clock, no threads.
//!
//! Two questions. Which of a group's replicas does a router keep connections to: a table that deals every router of a zone
//! its replicas in turn, so that all are held by as many as their sizes ask for, whatever the routers' numbers are. And
//! which routers probe a host: the few with the highest score for it (rendezvous hashing), so that one that comes or
//! goes moves only what was its own. Where two routers believe in different members each still has its replicas, and a
//! host is probed by the few of each belief: never by none that is there.

use magpiewell_splitmix as splitmix;

/// A member of a tier that counts: its number, and its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    pub no: u16,
    pub zone: usize,
}

/// A replica that may be dealt: its key is the same at every router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    pub key: u32,
    pub zone: usize,
    /// Its capacity against others, above 0.
    pub size: f64,
}

/// The odd multiplier of a score's second number, so that the two can't stand for each other.
const SECOND_MULTIPLIER: u64 = 0xc2b2_ae3d_27d4_eb4f;

/// Spreads two numbers over all bits, the same everywhere and at all times.
fn score(a: u64, b: u64) -> u64 {
    splitmix::finalize(a.wrapping_mul(splitmix::GOLDEN_GAMMA) ^ b.wrapping_mul(SECOND_MULTIPLIER))
}

/// From a score, evenly in (0, 1).
fn part(score: u64) -> f64 {
    ((score >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The routers that look after one thing, say a host's probes: `count` of these, the same for all that believe in the
/// same members. A router's place among them: 0 for the first, none where it is not one of them.
pub fn duty(key: u32, me: u16, members: impl Iterator<Item = u16>, count: usize) -> Option<usize> {
    let mine = score(u64::from(key), u64::from(me));
    let before =
        members.filter(|m| *m != me && (score(u64::from(key), u64::from(*m)), *m) > (mine, me)).count();
    (before < count).then_some(before)
}

/// The parts of a zone's reads that go to each zone, in all 1; empty where the zone is unknown or nobody has room.
///
/// `rooms` is what each zone's replicas can do, `brings` the part of all reads that each zone's routers bring (in all 1),
/// `here` the zone asked for. It keeps its reads as long as that is at most `over` times what its replicas' capacity makes
/// their part; the rest goes to zones that have more than their part, in proportion to what they have to spare.
pub fn parts(rooms: &[f64], brings: &[f64], here: usize, over: f64) -> Vec<f64> {
    let total: f64 = rooms.iter().sum();
    let (Some(room), Some(mine)) = (rooms.get(here), brings.get(here)) else { return Vec::new() };
    if total <= 0.0 {
        return Vec::new();
    }
    let near = if *mine > 0.0 { (room * over / (total * mine)).min(1.0) } else { 1.0 };
    let spare = |zone: usize| match zone == here {
        true => 0.0,
        false => (rooms[zone] - total * brings.get(zone).copied().unwrap_or(0.0)).max(0.0),
    };
    let spares: f64 = (0..rooms.len()).map(spare).sum();
    let far = |zone| if spares > 0.0 { (1.0 - near) * spare(zone) / spares } else { 0.0 };
    // Where no zone has any to spare, what is near takes all.
    let near = if spares > 0.0 { near } else { 1.0 };
    (0..rooms.len()).map(|zone| if zone == here { near } else { far(zone) }).collect()
}

/// Of a group's replicas, those that a router keeps connections to, the first to be used first: by weighted rendezvous,
/// `-ln(u)/w`, least first. A replica's weight is its size's share of its zone's part (see [`parts`]), so that a zone's
/// routers don't crowd what little is near. `count` are chosen, all where there are fewer.
pub fn keeps(
    group: u32,
    me: Router,
    members: &[Router],
    replicas: &[Replica],
    count: usize,
    over: f64,
) -> Vec<usize> {
    let zones = members.iter().map(|m| m.zone).chain([me.zone]).chain(replicas.iter().map(|r| r.zone)).max();
    let mut rooms = vec![0.0; zones.map_or(1, |z| z + 1)];
    replicas.iter().for_each(|r| rooms[r.zone] += r.size.max(0.0));
    let mut brings = vec![0.0; rooms.len()];
    let each = 1.0 / members.len().max(1) as f64;
    members.iter().for_each(|m| brings[m.zone] += each);
    let parts = parts(&rooms, &brings, me.zone, over);
    let weight = |r: &Replica| {
        let part = parts.get(r.zone).copied().unwrap_or(0.0);
        // Nothing is quite out of reach: what is near may all be gone.
        (part * r.size / rooms[r.zone].max(f64::MIN_POSITIVE)).max(1e-6 * r.size)
    };
    let mut order: Vec<(f64, usize)> = replicas
        .iter()
        .enumerate()
        .map(|(i, r)| {
            let lot = part(score(u64::from(r.key) ^ u64::from(group) << 32, u64::from(me.no) + 1));
            (-lot.ln() / weight(r).max(f64::MIN_POSITIVE), i)
        })
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(replicas[a.1].key.cmp(&replicas[b.1].key)));
    order.into_iter().take(count).map(|(_, i)| i).collect()
}

/// A router's part of what all may do together to one thing, say the allowance of a cold host: one over the members that
/// count, and never more than one over the least that any router may believe in. While two believe differently, n and m
/// members of a roster of r, the sum is at most `routers that are there / floor`.
pub fn allowance(counted: usize, floor: usize) -> f64 {
    1.0 / counted.max(floor).max(1) as f64
}

#[cfg(test)]
mod tests;

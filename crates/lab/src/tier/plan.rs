//! The plan of a run, derived from its script: the state of each host in the list, the primary of each group,
//! and the faults of each link, at any time. Times are in ms since the start of the run. No I/O, no clock.

use super::script::{Script, What, Who};

/// The state of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    Ready,
    Draining,
    Gone,
}

/// A change of the host list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    pub at: f64,
    pub host: usize,
    pub state: ListState,
    /// When the host started; none if long ago.
    pub started: Option<f64>,
}

/// Time from the listing of a replacement, which is cold, to the draining of the host that it replaces.
const REPLACEMENT_OVERLAP_MS: f64 = 400.0;
/// Time from the draining of a replaced host to its removal from the list.
const DRAIN_MS: f64 = 1_500.0;
/// Time from the draining or the crash of a primary to the takeover by its successor.
const HANDOVER_MS: f64 = 300.0;

/// The timeline of a run.
pub struct Plan {
    pub script: Script,
    /// Changes of the host list in order of time; the version of the list is the number of changes so far.
    /// Those at 0 are the initial list.
    pub changes: Vec<ListChange>,
    /// Changes of primaries in order of time: (time, group, host).
    primaries: Vec<(f64, usize, usize)>,
    links: Vec<Link>,
    peers: Vec<PeerLink>,
}

/// The effect of a fault on the links between the marked routers and hosts.
struct Link {
    from: f64,
    until: f64,
    routers: Vec<bool>,
    hosts: Vec<bool>,
    effect: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Stall,
    StallReplies,
    Reset,
    Delay(f64),
}

/// The effect of a fault on the links from the marked senders to the marked receivers.
struct PeerLink {
    from: f64,
    until: f64,
    senders: Vec<bool>,
    receivers: Vec<bool>,
    effect: PeerEffect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerEffect {
    Lose(f64),
    Double(f64),
    Delay(f64),
    Stall,
}

/// The state of the link between a router and a host at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Nothing passes in either direction, and neither end notices.
    pub stalled: bool,
    /// Replies of the host are held back.
    pub replies_stalled: bool,
    /// Connections are reset.
    pub reset: bool,
    /// Delay of the replies of the host.
    pub delay_ms: f64,
}

/// The state of the link from one peer to another at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLinkState {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    pub delay_ms: f64,
    /// Until when datagrams are held back.
    pub stalled_until: Option<f64>,
}

/// By number, whether it is among these.
fn membership_mask(numbers: &[usize], count: usize) -> Vec<bool> {
    let mut mask = vec![false; count];
    numbers.iter().for_each(|n| mask[*n] = true);
    mask
}

impl Plan {
    pub fn new(script: Script) -> Plan {
        let s = &script;
        let ready = |host| ListChange { at: 0.0, host, state: ListState::Ready, started: None };
        let mut changes: Vec<ListChange> = (0..s.hosts).map(ready).collect();
        let mut primaries: Vec<(f64, usize, usize)> =
            (0..s.groups).filter_map(|g| s.members(g).first().map(|first| (0.0, g, *first))).collect();
        let (mut links, mut peers) = (Vec::new(), Vec::new());
        for (fault_index, fault) in s.faults.iter().enumerate() {
            let (from, until) = (fault.at_ms, fault.at_ms + fault.for_ms);
            let mut link = |routers: Vec<bool>, hosts: Vec<bool>, effect| {
                links.push(Link { from, until, routers, hosts, effect });
            };
            let routers = |who: &Who| membership_mask(&s.selected_routers(fault_index, who), s.routers);
            let hosts = |who: &Who| membership_mask(&s.selected_hosts(fault_index, who), s.hosts);
            let mut peer = |from_routers: Vec<bool>, to_routers: Vec<bool>, effect| {
                peers.push(PeerLink { from, until, senders: from_routers, receivers: to_routers, effect });
            };
            match &fault.what {
                What::StallHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::Stall),
                What::MuteHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::StallReplies),
                What::ResetHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::Reset),
                What::DelayHosts { routers: r, hosts: h, ms } => {
                    link(routers(r), hosts(h), Effect::Delay(*ms));
                }
                What::CutZone { zone } => {
                    let (zone_routers, zone_hosts) = (routers(&Who::Zone(*zone)), hosts(&Who::Zone(*zone)));
                    let inverted = |mask: &[bool]| mask.iter().map(|m| !m).collect::<Vec<_>>();
                    peer(zone_routers.clone(), inverted(&zone_routers), PeerEffect::Lose(1.0));
                    peer(inverted(&zone_routers), zone_routers.clone(), PeerEffect::Lose(1.0));
                    link(zone_routers.clone(), inverted(&zone_hosts), Effect::Stall);
                    link(inverted(&zone_routers), zone_hosts, Effect::Stall);
                }
                What::LosePeers { from: a, to: b, part } => {
                    peer(routers(a), routers(b), PeerEffect::Lose(*part));
                }
                What::DoublePeers { from: a, to: b, part } => {
                    peer(routers(a), routers(b), PeerEffect::Double(*part));
                }
                What::DelayPeers { from: a, to: b, ms } => {
                    peer(routers(a), routers(b), PeerEffect::Delay(*ms));
                }
                What::StallPeers { from: a, to: b } => peer(routers(a), routers(b), PeerEffect::Stall),
                What::Replace { hosts: who } => {
                    let chosen = s.selected_hosts(fault_index, who);
                    let interval = fault.for_ms / chosen.len().max(1) as f64;
                    for (i, old) in chosen.into_iter().enumerate() {
                        let (at, new) = (from + i as f64 * interval, old + s.hosts);
                        changes.push(ListChange {
                            at,
                            host: new,
                            state: ListState::Ready,
                            started: Some(at),
                        });
                        let drains_at = at + REPLACEMENT_OVERLAP_MS;
                        changes.push(ListChange {
                            at: drains_at,
                            host: old,
                            state: ListState::Draining,
                            started: None,
                        });
                        let gone_at = drains_at + DRAIN_MS;
                        changes.push(ListChange {
                            at: gone_at,
                            host: old,
                            state: ListState::Gone,
                            started: None,
                        });
                        let group = s.group_of(old);
                        let successor = s.members(group).into_iter().find(|m| *m != old).unwrap_or(new);
                        primaries.push((drains_at + HANDOVER_MS, group, successor));
                    }
                }
                What::MovePrimary { group } => {
                    if let Some(successor) = s.members(*group).get(1) {
                        primaries.push((from, *group, *successor));
                    }
                }
                What::Crash { hosts: who } => {
                    for host in s.selected_hosts(fault_index, who) {
                        let started = Some(until);
                        changes.push(ListChange { at: until, host, state: ListState::Ready, started });
                        let group = s.group_of(host);
                        if let Some(successor) = s.members(group).into_iter().find(|m| *m != host) {
                            primaries.push((from + HANDOVER_MS, group, successor));
                        }
                    }
                }
                _ => {}
            }
        }
        changes.sort_by(|a, b| a.at.total_cmp(&b.at));
        primaries.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut plan = Plan { script, changes, primaries: Vec::new(), links, peers };
        plan.primaries = plan.resolve_primaries(primaries);
        plan
    }

    /// Drops the requested changes of primaries that don't apply: the role moves only when the current
    /// primary is no longer available, or by [`What::MovePrimary`]. It goes to an available member.
    fn resolve_primaries(&self, requested: Vec<(f64, usize, usize)>) -> Vec<(f64, usize, usize)> {
        let mut resolved: Vec<(f64, usize, usize)> = Vec::new();
        for (at, group, successor) in requested {
            let current = resolved.iter().rev().find(|(_, g, _)| *g == group).map(|(_, _, host)| *host);
            let is_available =
                |host: usize| self.list_state(host, at) == Some(ListState::Ready) && !self.is_down(host, at);
            let is_leaving = current.is_none_or(|host| !is_available(host));
            let is_moved = self
                .script
                .faults
                .iter()
                .any(|f| f.at_ms == at && matches!(f.what, What::MovePrimary { group: g } if g == group));
            if !is_leaving && !is_moved {
                continue;
            }
            let members = self.script.members(group);
            let all = members.iter().flat_map(|m| [*m, *m + self.script.hosts]);
            let next = Some(successor)
                .filter(|h| is_available(*h))
                .or_else(|| all.into_iter().find(|h| is_available(*h)));
            resolved.push((at, group, next.unwrap_or(successor)));
        }
        resolved
    }

    /// The state of a host in the list; none before it is listed.
    pub fn list_state(&self, host: usize, at: f64) -> Option<ListState> {
        let last = self.changes.iter().rev().find(|c| c.host == host && c.at <= at);
        last.map(|c| c.state)
    }

    /// The primary of a group.
    pub fn primary(&self, group: usize, at: f64) -> Option<usize> {
        let last = self.primaries.iter().rev().find(|(from, g, _)| *g == group && *from <= at);
        last.map(|(_, _, host)| *host)
    }

    /// Whether a host is down by a crash in the script.
    pub fn is_down(&self, host: usize, at: f64) -> bool {
        let base = host % self.script.hosts;
        self.active_faults(at).any(|(fault_index, what)| match what {
            What::Crash { hosts } => {
                host == base && self.script.selected_hosts(fault_index, hosts).contains(&base)
            }
            _ => false,
        })
    }

    /// The factor by which faults slow a host down, and the lag in ms that they add: (slowdown, lag).
    pub fn slowdown_and_lag(&self, host: usize, at: f64) -> (f64, f64) {
        let (mut slowdown, mut lag) = (1.0, 0.0);
        for (fault_index, what) in self.active_faults(at) {
            match what {
                What::Slow { hosts, times: factor }
                    if self.script.selected_hosts(fault_index, hosts).contains(&host) =>
                {
                    slowdown *= factor
                }
                // A log position never goes back: a host that falls behind stays at its position until the
                // lag is reached.
                What::Lag { hosts, ms } if self.script.selected_hosts(fault_index, hosts).contains(&host) => {
                    lag += ms.min(at - self.script.faults[fault_index].at_ms);
                }
                _ => {}
            }
        }
        (slowdown, lag)
    }

    /// Whether a fault makes a host report a current commit clock, however far it is behind.
    pub fn claims_current(&self, host: usize, at: f64) -> bool {
        self.active_faults(at).any(|(fault_index, what)| match what {
            What::Boast { hosts } => self.script.selected_hosts(fault_index, hosts).contains(&host),
            _ => false,
        })
    }

    /// The faults that are active at this time, each with its index in the script.
    pub fn active_faults(&self, at: f64) -> impl Iterator<Item = (usize, &What)> {
        let is_active = move |f: &super::script::Fault| f.at_ms <= at && at < f.at_ms + f.for_ms;
        self.script
            .faults
            .iter()
            .enumerate()
            .filter(move |(_, f)| is_active(f))
            .map(|(fault_index, f)| (fault_index, &f.what))
    }

    /// The state of the link between a router and a host. A replacement has the link of the host that it
    /// replaces.
    pub fn link(&self, router: usize, host: usize, at: f64) -> LinkState {
        let (mut state, base) = (LinkState::default(), host % self.script.hosts);
        for link in self.links.iter().filter(|l| l.from <= at && at < l.until) {
            if link.routers[router] && link.hosts[base] {
                match link.effect {
                    Effect::Stall => state.stalled = true,
                    Effect::StallReplies => state.replies_stalled = true,
                    Effect::Reset => state.reset = true,
                    Effect::Delay(ms) => state.delay_ms += ms,
                }
            }
        }
        state
    }

    /// Whether faults stall the link between a router and its clients, and whether they reset it, at any time
    /// between these: (stalled, reset).
    pub fn client_link(&self, router: usize, from: f64, until: f64) -> (bool, bool) {
        let (mut stalled, mut reset) = (false, false);
        for (fault_index, fault) in self.script.faults.iter().enumerate() {
            if fault.at_ms > until || fault.at_ms + fault.for_ms <= from {
                continue;
            }
            match &fault.what {
                What::StallClients { routers } => {
                    stalled |= self.script.selected_routers(fault_index, routers).contains(&router)
                }
                What::ResetClients { routers } => {
                    reset |= self.script.selected_routers(fault_index, routers).contains(&router)
                }
                _ => {}
            }
        }
        (stalled, reset)
    }

    /// The state of the link from one peer to another.
    pub fn peer_link(&self, from: usize, to: usize, at: f64) -> PeerLinkState {
        let mut state = PeerLinkState::default();
        for link in self.peers.iter().filter(|l| l.from <= at && at < l.until) {
            if link.senders[from] && link.receivers[to] {
                match link.effect {
                    PeerEffect::Lose(part) => state.loss = 1.0 - (1.0 - state.loss) * (1.0 - part),
                    PeerEffect::Double(part) => state.duplication = state.duplication.max(part),
                    PeerEffect::Delay(ms) => state.delay_ms += ms,
                    PeerEffect::Stall => {
                        state.stalled_until = Some(state.stalled_until.unwrap_or(0.0).max(link.until));
                    }
                }
            }
        }
        state
    }

    /// Whether a link fault begins or ends between these times, so that connections have to be processed
    /// again.
    pub fn has_link_change(&self, after: f64, until: f64) -> bool {
        let is_within = |t: f64| after < t && t <= until;
        self.links.iter().any(|l| is_within(l.from) || is_within(l.until))
    }

    /// The end of the run.
    pub fn ends_at(&self) -> f64 {
        self.script.lasts_ms + self.script.tail_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(faults: &str) -> Plan {
        let text = format!(
            "seed = 7\nlasts_ms = 9000\nrouters = 6\nzones = 3\ngroups = 2\nhosts = 6\n\
             [load]\nops = 10\n{faults}"
        );
        Plan::new(Script::from_toml(&text).unwrap())
    }

    #[test]
    fn a_cut_zone_reaches_only_its_own_hosts_until_the_cut_ends() {
        let plan = plan("[[faults]]\nat_ms = 100\nfor_ms = 50\nwhat = { cut_zone = { zone = 1 } }");
        let s = &plan.script;
        for (router, host) in (0..6).flat_map(|r| (0..6).map(move |h| (r, h))) {
            let across = (s.zone_of_router(router) == 1) != (s.zone_of_host(host) == 1);
            assert_eq!(plan.link(router, host, 120.0).stalled, across);
            assert_eq!(plan.link(router, host, 150.0), LinkState::default());
        }
        assert_eq!(plan.peer_link(1, 0, 120.0).loss, 1.0);
        assert_eq!((plan.peer_link(1, 4, 120.0).loss, plan.peer_link(0, 2, 120.0).loss), (0.0, 0.0));
    }

    #[test]
    fn a_replaced_primary_hands_over_to_a_listed_member_and_every_group_always_has_a_primary() {
        let plan = plan("[[faults]]\nat_ms = 1000\nfor_ms = 2000\nwhat = { replace = { hosts = \"all\" } }");
        for at in (0..9_000).step_by(50).map(f64::from) {
            for group in 0..2 {
                let primary = plan.primary(group, at).unwrap();
                let listed = plan.list_state(primary, at);
                assert!(listed.is_some_and(|l| l != ListState::Gone), "{at} {group} {primary} {listed:?}");
                assert_eq!(plan.script.group_of(primary), group);
            }
        }
        assert!((0..6).all(|h| plan.list_state(h, 9_000.0) == Some(ListState::Gone)));
        assert!((6..12).all(|h| plan.list_state(h, 9_000.0) == Some(ListState::Ready)));
    }

    #[test]
    fn a_random_share_is_equal_in_every_process_and_differs_between_faults() {
        let a = plan("");
        let who = Who::Part(0.5);
        assert_eq!(a.script.selected_routers(0, &who), plan("").script.selected_routers(0, &who));
        assert_eq!(a.script.selected_routers(0, &who).len(), 3);
        assert!(
            (1..20).any(|fault_index| a.script.selected_routers(fault_index, &who)
                != a.script.selected_routers(0, &who))
        );
    }

    #[test]
    fn errors_of_invalid_scripts_name_the_key() {
        let valid =
            "seed = 1\nlasts_ms = 9\nrouters = 1\nzones = 1\ngroups = 1\nhosts = 1\n[load]\nops = 1\n";
        assert!(Script::from_toml(valid).is_ok());
        for (from, to, key) in [
            ("routers = 1", "routers = 0", "routers"),
            ("hosts = 1", "host_ = 1", "host_"),
            ("ops = 1", "", "ops"),
        ] {
            assert!(Script::from_toml(&valid.replace(from, to)).unwrap_err().contains(key), "{key}");
        }
    }
}

//! What a script means at each moment: who is listed how, who is primary, and what each link does. No I/O, no clock.

use super::script::{Script, What, Who};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// A change of the list, in the order of its version.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: f64,
    pub host: usize,
    pub listed: Listed,
    /// When the host started; none where long ago.
    pub started: Option<f64>,
}

/// A replaced host is listed, as cold; so long after that the one it replaces drains; and so long after that is gone.
const OVERLAP: f64 = 400.0;
const DRAINS: f64 = 1_500.0;
/// A primary has handed over by then.
const HANDS_OVER: f64 = 300.0;

pub struct Plan {
    pub script: Script,
    /// In order of time; those at 0 are the play's start.
    pub changes: Vec<Change>,
    /// From when on a host is its group's primary.
    leads: Vec<(f64, usize, usize)>,
    links: Vec<Link>,
    peers: Vec<PeerLink>,
}

/// What a fault does on the links between these routers and hosts.
struct Link {
    from: f64,
    until: f64,
    routers: Vec<bool>,
    hosts: Vec<bool>,
    does: Effect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Stall,
    Mute,
    Reset,
    Delay(f64),
}

struct PeerLink {
    from: f64,
    until: f64,
    tells: Vec<bool>,
    hears: Vec<bool>,
    does: PeerEffect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerEffect {
    Lose(f64),
    Double(f64),
    Delay(f64),
    Stall,
}

/// What a link does at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing comes through, without a sign.
    pub stalled: bool,
    /// Nothing comes back.
    pub mute: bool,
    pub reset: bool,
    pub delay: f64,
}

/// What the way from one peer to another does at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerWay {
    pub loses: f64,
    pub doubles: f64,
    pub delay: f64,
    /// Until when what is told waits.
    pub stalled_until: Option<f64>,
}

fn marked(numbers: &[usize], of: usize) -> Vec<bool> {
    let mut marks = vec![false; of];
    numbers.iter().for_each(|n| marks[*n] = true);
    marks
}

impl Plan {
    pub fn new(script: Script) -> Plan {
        let s = &script;
        let ready = |host| Change { at: 0.0, host, listed: Listed::Ready, started: None };
        let mut changes: Vec<Change> = (0..s.hosts).map(ready).collect();
        let mut leads: Vec<(f64, usize, usize)> =
            (0..s.groups).filter_map(|g| s.members(g).first().map(|first| (0.0, g, *first))).collect();
        let (mut links, mut peers) = (Vec::new(), Vec::new());
        for (no, fault) in s.faults.iter().enumerate() {
            let (from, until) = (fault.at_ms, fault.at_ms + fault.for_ms);
            let mut link = |routers: Vec<bool>, hosts: Vec<bool>, does| {
                links.push(Link { from, until, routers, hosts, does });
            };
            let routers = |who: &Who| marked(&s.routers(no, who), s.routers);
            let hosts = |who: &Who| marked(&s.hosts(no, who), s.hosts);
            let mut peer = |from_whom: Vec<bool>, to: Vec<bool>, does| {
                peers.push(PeerLink { from, until, tells: from_whom, hears: to, does });
            };
            match &fault.what {
                What::StallHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::Stall),
                What::MuteHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::Mute),
                What::ResetHosts { routers: r, hosts: h } => link(routers(r), hosts(h), Effect::Reset),
                What::DelayHosts { routers: r, hosts: h, ms } => {
                    link(routers(r), hosts(h), Effect::Delay(*ms));
                }
                What::CutZone { zone } => {
                    let (ours, theirs) = (routers(&Who::Zone(*zone)), hosts(&Who::Zone(*zone)));
                    let not = |marks: &[bool]| marks.iter().map(|m| !m).collect::<Vec<_>>();
                    peer(ours.clone(), not(&ours), PeerEffect::Lose(1.0));
                    peer(not(&ours), ours.clone(), PeerEffect::Lose(1.0));
                    link(ours.clone(), not(&theirs), Effect::Stall);
                    link(not(&ours), theirs, Effect::Stall);
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
                    let chosen = s.hosts(no, who);
                    let each = fault.for_ms / chosen.len().max(1) as f64;
                    for (i, old) in chosen.into_iter().enumerate() {
                        let (at, new) = (from + i as f64 * each, old + s.hosts);
                        changes.push(Change { at, host: new, listed: Listed::Ready, started: Some(at) });
                        let drains = at + OVERLAP;
                        changes.push(Change {
                            at: drains,
                            host: old,
                            listed: Listed::Draining,
                            started: None,
                        });
                        let gone = drains + DRAINS;
                        changes.push(Change { at: gone, host: old, listed: Listed::Gone, started: None });
                        let group = s.group_of(old);
                        let heir = s.members(group).into_iter().find(|m| *m != old).unwrap_or(new);
                        leads.push((drains + HANDS_OVER, group, heir));
                    }
                }
                What::MovePrimary { group } => {
                    if let Some(heir) = s.members(*group).get(1) {
                        leads.push((from, *group, *heir));
                    }
                }
                What::Crash { hosts: who } => {
                    for host in s.hosts(no, who) {
                        let started = Some(until);
                        changes.push(Change { at: until, host, listed: Listed::Ready, started });
                        let group = s.group_of(host);
                        if let Some(heir) = s.members(group).into_iter().find(|m| *m != host) {
                            leads.push((from + HANDS_OVER, group, heir));
                        }
                    }
                }
                _ => {}
            }
        }
        changes.sort_by(|a, b| a.at.total_cmp(&b.at));
        leads.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut plan = Plan { script, changes, leads: Vec::new(), links, peers };
        plan.leads = plan.settle(leads);
        plan
    }

    /// Only the present primary's leaving moves the role; it goes to a member that is there.
    fn settle(&self, wanted: Vec<(f64, usize, usize)>) -> Vec<(f64, usize, usize)> {
        let mut settled: Vec<(f64, usize, usize)> = Vec::new();
        for (at, group, heir) in wanted {
            let now = settled.iter().rev().find(|(_, g, _)| *g == group).map(|(_, _, host)| *host);
            let there = |host: usize| self.listed(host, at) == Some(Listed::Ready) && !self.down(host, at);
            let leaves = now.is_none_or(|host| !there(host));
            let moves = self
                .script
                .faults
                .iter()
                .any(|f| f.at_ms == at && matches!(f.what, What::MovePrimary { group: g } if g == group));
            if !leaves && !moves {
                continue;
            }
            let members = self.script.members(group);
            let all = members.iter().flat_map(|m| [*m, *m + self.script.hosts]);
            let next = Some(heir).filter(|h| there(*h)).or_else(|| all.into_iter().find(|h| there(*h)));
            settled.push((at, group, next.unwrap_or(heir)));
        }
        settled
    }

    /// How a host is listed; none before it ever was.
    pub fn listed(&self, host: usize, at: f64) -> Option<Listed> {
        let last = self.changes.iter().rev().find(|c| c.host == host && c.at <= at);
        last.map(|c| c.listed)
    }

    /// The host that is its group's primary.
    pub fn primary(&self, group: usize, at: f64) -> Option<usize> {
        let last = self.leads.iter().rev().find(|(from, g, _)| *g == group && *from <= at);
        last.map(|(_, _, host)| *host)
    }

    /// Whether a script's fault has a host down.
    pub fn down(&self, host: usize, at: f64) -> bool {
        let base = host % self.script.hosts;
        self.faults(at).any(|(no, what)| match what {
            What::Crash { hosts } => host == base && self.script.hosts(no, hosts).contains(&base),
            _ => false,
        })
    }

    /// How often as slow a host is, and how far behind, by the script's faults.
    pub fn ails(&self, host: usize, at: f64) -> (f64, f64) {
        let (mut times, mut lag) = (1.0, 0.0);
        for (no, what) in self.faults(at) {
            match what {
                What::Slow { hosts, times: t } if self.script.hosts(no, hosts).contains(&host) => times *= t,
                // A position never goes back: one that falls behind stands still until it is that far behind.
                What::Lag { hosts, ms } if self.script.hosts(no, hosts).contains(&host) => {
                    lag += ms.min(at - self.script.faults[no].at_ms);
                }
                _ => {}
            }
        }
        (times, lag)
    }

    /// Whether a host tells that it is not behind, whatever it is.
    pub fn boasts(&self, host: usize, at: f64) -> bool {
        self.faults(at).any(|(no, what)| match what {
            What::Boast { hosts } => self.script.hosts(no, hosts).contains(&host),
            _ => false,
        })
    }

    /// Faults that are on, by their place in the script.
    pub fn faults(&self, at: f64) -> impl Iterator<Item = (usize, &What)> {
        let on = move |f: &super::script::Fault| f.at_ms <= at && at < f.at_ms + f.for_ms;
        self.script.faults.iter().enumerate().filter(move |(_, f)| on(f)).map(|(no, f)| (no, &f.what))
    }

    /// The link between a router and a host; a replacement has that of the host before it.
    pub fn way(&self, router: usize, host: usize, at: f64) -> Way {
        let (mut way, base) = (Way::default(), host % self.script.hosts);
        for link in self.links.iter().filter(|l| l.from <= at && at < l.until) {
            if link.routers[router] && link.hosts[base] {
                match link.does {
                    Effect::Stall => way.stalled = true,
                    Effect::Mute => way.mute = true,
                    Effect::Reset => way.reset = true,
                    Effect::Delay(ms) => way.delay += ms,
                }
            }
        }
        way
    }

    /// Whether the script has the way between a router and its clients stalled, or reset, at some time between these.
    pub fn client_way(&self, router: usize, from: f64, until: f64) -> (bool, bool) {
        let (mut stalled, mut reset) = (false, false);
        for (no, fault) in self.script.faults.iter().enumerate() {
            if fault.at_ms > until || fault.at_ms + fault.for_ms <= from {
                continue;
            }
            match &fault.what {
                What::StallClients { routers } => {
                    stalled |= self.script.routers(no, routers).contains(&router)
                }
                What::ResetClients { routers } => reset |= self.script.routers(no, routers).contains(&router),
                _ => {}
            }
        }
        (stalled, reset)
    }

    pub fn peer_way(&self, from: usize, to: usize, at: f64) -> PeerWay {
        let mut way = PeerWay::default();
        for link in self.peers.iter().filter(|l| l.from <= at && at < l.until) {
            if link.tells[from] && link.hears[to] {
                match link.does {
                    PeerEffect::Lose(part) => way.loses = 1.0 - (1.0 - way.loses) * (1.0 - part),
                    PeerEffect::Double(part) => way.doubles = way.doubles.max(part),
                    PeerEffect::Delay(ms) => way.delay += ms,
                    PeerEffect::Stall => {
                        way.stalled_until = Some(way.stalled_until.unwrap_or(0.0).max(link.until));
                    }
                }
            }
        }
        way
    }

    /// Whether a link fault begins or ends between these times: then what waits is looked at again.
    pub fn turns(&self, after: f64, until: f64) -> bool {
        let in_it = |t: f64| after < t && t <= until;
        self.links.iter().any(|l| in_it(l.from) || in_it(l.until))
    }

    pub fn ends_at(&self) -> f64 {
        self.script.lasts_ms + self.script.tail_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(faults: &str) -> Plan {
        let text = format!(
            "seed = 7\nlasts_ms = 9000\nrouters = 6\nzones = 3\ngroups = 2\nhosts = 6\n[load]\nops = 10\n{faults}"
        );
        Plan::new(Script::from_toml(&text).unwrap())
    }

    #[test]
    fn a_cut_zone_reaches_its_own_hosts_only_and_all_is_well_after_it() {
        let plan = plan("[[faults]]\nat_ms = 100\nfor_ms = 50\nwhat = { cut_zone = { zone = 1 } }");
        let s = &plan.script;
        for (router, host) in (0..6).flat_map(|r| (0..6).map(move |h| (r, h))) {
            let across = (s.zone_of_router(router) == 1) != (s.zone_of_host(host) == 1);
            assert_eq!(plan.way(router, host, 120.0).stalled, across);
            assert_eq!(plan.way(router, host, 150.0), Way::default());
        }
        assert_eq!(plan.peer_way(1, 0, 120.0).loses, 1.0);
        assert_eq!((plan.peer_way(1, 4, 120.0).loses, plan.peer_way(0, 2, 120.0).loses), (0.0, 0.0));
    }

    #[test]
    fn a_replaced_primary_hands_over_to_one_that_is_there_and_every_group_has_one_always() {
        let plan = plan("[[faults]]\nat_ms = 1000\nfor_ms = 2000\nwhat = { replace = { hosts = \"all\" } }");
        for at in (0..9_000).step_by(50).map(f64::from) {
            for group in 0..2 {
                let primary = plan.primary(group, at).unwrap();
                let listed = plan.listed(primary, at);
                assert!(listed.is_some_and(|l| l != Listed::Gone), "{at} {group} {primary} {listed:?}");
                assert_eq!(plan.script.group_of(primary), group);
            }
        }
        assert!((0..6).all(|h| plan.listed(h, 9_000.0) == Some(Listed::Gone)));
        assert!((6..12).all(|h| plan.listed(h, 9_000.0) == Some(Listed::Ready)));
    }

    #[test]
    fn a_share_is_the_same_in_every_process_and_another_fault_draws_another() {
        let a = plan("");
        let who = Who::Part(0.5);
        assert_eq!(a.script.routers(0, &who), plan("").script.routers(0, &who));
        assert_eq!(a.script.routers(0, &who).len(), 3);
        assert!((1..20).any(|no| a.script.routers(no, &who) != a.script.routers(0, &who)));
    }

    #[test]
    fn faulty_scripts_name_what_is_wrong() {
        let whole =
            "seed = 1\nlasts_ms = 9\nrouters = 1\nzones = 1\ngroups = 1\nhosts = 1\n[load]\nops = 1\n";
        assert!(Script::from_toml(whole).is_ok());
        for (from, to, named) in [
            ("routers = 1", "routers = 0", "routers"),
            ("hosts = 1", "host_ = 1", "host_"),
            ("ops = 1", "", "ops"),
        ] {
            assert!(Script::from_toml(&whole.replace(from, to)).unwrap_err().contains(named), "{named}");
        }
    }
}

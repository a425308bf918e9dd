//! What routers of a tier tell one another of groups and hosts: each fact has an origin, an age and an end,
//! and any set of them merges in any order to one value. No I/O, no clock, no threads.
//!
//! A fact is one router's word. It may make others more careful, save them a probe or give them a direction;
//! what it says of positions never makes a read fresh enough, and no op goes again because of it. So the
//! store answers few questions: which host was last seen as a group's primary, how far a replica was at some
//! time, and whether several routers had no answer from a host, or slow ones.

use std::collections::BTreeMap;

/// A host's and a group's name in facts: the same at every router.
pub type HostKey = u32;
pub type GroupKey = u32;

/// What is told. Times are Unix ms on the origin's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// The group's primary showed itself to be this host.
    Leads { group: GroupKey, host: HostKey },
    /// The replica was so many ms behind its log.
    Behind { host: HostKey, ms: u32 },
    /// Nothing came back from the host: a probe unanswered, or sends that others overtook.
    Silent { host: HostKey },
    /// It took so many hundredths of what its ops usually take, over so many reads.
    Slow { host: HostKey, hundredths: u16, reads: u16 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fact {
    pub what: What,
    /// The number of the router whose own eyes saw it.
    pub origin: u16,
    /// When it was so.
    pub at: f64,
}

/// Sizes and times of what is kept; all times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Groups and hosts of which anything is kept; what is oldest goes first.
    pub groups: usize,
    pub hosts: usize,
    /// Origins kept of one host's ailing.
    pub origins: usize,
    /// How long each kind is of use.
    pub leads: f64,
    pub behind: f64,
    pub ails: f64,
    /// A fact dated further ahead than clocks may differ is a lie, or from a clock that is of no use.
    pub ahead: f64,
    /// How often a fact is told on.
    pub tells: u8,
    /// Facts that wait to be told; the oldest go first.
    pub queue: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            groups: 1_024,
            hosts: 4_096,
            origins: 4,
            leads: 60_000.0,
            behind: 3_000.0,
            ails: 4_000.0,
            ahead: 1_500.0,
            tells: 10,
            queue: 256,
        }
    }
}

/// What came of a fact that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It changed what is known, and is told on.
    New,
    /// Known, or older than what is known.
    Old,
    /// Dated in the future, or past its end.
    Odd,
}

/// When something was so and who saw it; later wins, then the higher origin.
type Stamp = (f64, u16);

fn later(a: Stamp, b: Stamp) -> bool {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_gt()
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Host {
    behind: Option<(Stamp, u32)>,
    /// By origin: when, and what it measured.
    silent: BTreeMap<u16, f64>,
    slow: BTreeMap<u16, (f64, u16, u16)>,
}

impl Host {
    fn newest(&self) -> f64 {
        let behind = self.behind.iter().map(|((at, _), _)| *at);
        let all = behind.chain(self.silent.values().copied()).chain(self.slow.values().map(|(at, ..)| *at));
        all.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// All that one router keeps.
#[derive(Clone, Debug)]
pub struct Facts {
    me: u16,
    limits: Limits,
    groups: BTreeMap<GroupKey, (Stamp, HostKey)>,
    hosts: BTreeMap<HostKey, Host>,
    /// What is still to be told, and how often.
    queue: Vec<(Fact, u8)>,
}

/// Puts a value into the few that are kept, newest first; true where it stays and is new.
fn keep<T>(
    all: &mut BTreeMap<u16, T>,
    most: usize,
    origin: u16,
    at: f64,
    value: T,
    when: impl Fn(&T) -> f64,
) -> bool {
    if all.get(&origin).is_some_and(|held| when(held) >= at) {
        return false;
    }
    all.insert(origin, value);
    if all.len() > most {
        let oldest =
            all.iter().map(|(o, v)| (when(v), *o)).min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if let Some((_, oldest)) = oldest {
            all.remove(&oldest);
            return oldest != origin;
        }
    }
    true
}

impl Facts {
    pub fn new(me: u16, limits: Limits) -> Facts {
        Facts { me, limits, groups: BTreeMap::new(), hosts: BTreeMap::new(), queue: Vec::new() }
    }

    fn lasts(&self, what: &What) -> f64 {
        match what {
            What::Leads { .. } => self.limits.leads,
            What::Behind { .. } => self.limits.behind,
            What::Silent { .. } | What::Slow { .. } => self.limits.ails,
        }
    }

    /// Takes in what this router has seen itself. It is told on unless enough others say the same already.
    pub fn saw(&mut self, now: f64, what: What) -> bool {
        let known = match what {
            What::Silent { host } => self.silent(now, host) >= self.limits.origins,
            What::Leads { group, host } => self.groups.get(&group).is_some_and(|(_, h)| *h == host),
            _ => false,
        };
        let fact = Fact { what, origin: self.me, at: now };
        let new = self.merge(fact) && !known;
        if new {
            self.tell(fact);
        }
        new
    }

    /// Takes in what another router tells.
    pub fn heard(&mut self, now: f64, fact: Fact) -> Heard {
        if !fact.at.is_finite() || fact.at > now + self.limits.ahead || now - fact.at > self.lasts(&fact.what)
        {
            return Heard::Odd;
        }
        // What it is told of itself it knows better.
        if fact.origin == self.me || !self.merge(fact) {
            return Heard::Old;
        }
        self.tell(fact);
        Heard::New
    }

    fn merge(&mut self, fact: Fact) -> bool {
        let (stamp, most) = ((fact.at, fact.origin), self.limits.origins);
        let host = match fact.what {
            What::Leads { group, host } => {
                let held = self.groups.get(&group).copied();
                if held.is_some_and(|(held, _)| !later(stamp, held)) {
                    return false;
                }
                self.groups.insert(group, (stamp, host));
                if self.groups.len() > self.limits.groups {
                    let oldest =
                        self.groups.iter().min_by(|a, b| a.1.0.0.total_cmp(&b.1.0.0)).map(|(g, _)| *g);
                    oldest.map(|g| self.groups.remove(&g));
                }
                return true;
            }
            What::Behind { host, .. } | What::Silent { host } | What::Slow { host, .. } => host,
        };
        let held = self.hosts.entry(host).or_default();
        let new = match fact.what {
            What::Behind { ms, .. } => {
                let new = held.behind.is_none_or(|(held, _)| later(stamp, held));
                held.behind = if new { Some((stamp, ms)) } else { held.behind };
                new
            }
            What::Silent { .. } => keep(&mut held.silent, most, fact.origin, fact.at, fact.at, |at| *at),
            What::Slow { hundredths, reads, .. } => {
                let value = (fact.at, hundredths, reads);
                keep(&mut held.slow, most, fact.origin, fact.at, value, |(at, ..)| *at)
            }
            What::Leads { .. } => false,
        };
        if self.hosts.len() > self.limits.hosts {
            let oldest =
                self.hosts.iter().min_by(|a, b| a.1.newest().total_cmp(&b.1.newest())).map(|(h, _)| *h);
            oldest.map(|h| self.hosts.remove(&h));
        }
        new
    }

    fn tell(&mut self, fact: Fact) {
        // Of one thing the newest is enough.
        let same = |a: &Fact| match (a.what, fact.what) {
            (What::Leads { group: a, .. }, What::Leads { group: b, .. }) => a == b,
            (What::Behind { host: a, .. }, What::Behind { host: b, .. }) => a == b,
            (What::Silent { host: h }, What::Silent { host: i }) => h == i && a.origin == fact.origin,
            (What::Slow { host: h, .. }, What::Slow { host: i, .. }) => h == i && a.origin == fact.origin,
            _ => false,
        };
        self.queue.retain(|(held, _)| !same(held));
        self.queue.push((fact, self.limits.tells));
        if self.queue.len() > self.limits.queue {
            self.queue.remove(0);
        }
    }

    /// Something waits to be told for the first time.
    pub fn presses(&self) -> bool {
        self.queue.iter().any(|(_, left)| *left == self.limits.tells)
    }

    /// Facts to go with a datagram, at most so many: what was told least often first. What has ended is not
    /// told.
    pub fn to_tell(&mut self, now: f64, most: usize) -> Vec<Fact> {
        let limits = self.limits;
        let lasts = |what: &What| match what {
            What::Leads { .. } => limits.leads,
            What::Behind { .. } => limits.behind,
            What::Silent { .. } | What::Slow { .. } => limits.ails,
        };
        self.queue.retain(|(fact, left)| *left > 0 && now - fact.at <= lasts(&fact.what));
        self.queue.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let told = self.queue.iter_mut().take(most);
        told.map(|(fact, left)| {
            *left -= 1;
            *fact
        })
        .collect()
    }

    /// The host that was last seen as a group's primary, and when.
    pub fn primary(&self, now: f64, group: GroupKey) -> Option<(HostKey, f64)> {
        let ((at, _), host) = self.groups.get(&group)?;
        (now - at <= self.limits.leads).then_some((*host, *at))
    }

    /// How far a host was behind, and when, as last seen by anybody.
    pub fn behind(&self, now: f64, host: HostKey) -> Option<(f64, f64)> {
        let ((at, _), ms) = self.hosts.get(&host)?.behind?;
        (now - at <= self.limits.behind).then_some((f64::from(ms), at))
    }

    /// Other routers that lately had no answer from a host: at most as many as origins are kept.
    pub fn silent(&self, now: f64, host: HostKey) -> usize {
        let fresh = |(origin, at): (&u16, &f64)| *origin != self.me && now - at <= self.limits.ails;
        self.hosts.get(&host).map_or(0, |h| h.silent.iter().filter(|s| fresh(*s)).count())
    }

    /// Others' reads of a host lately: how many, and their mean against what they usually take; none where
    /// nobody complained.
    pub fn slow(&self, now: f64, host: HostKey) -> Option<(f64, f64)> {
        let held = self.hosts.get(&host)?;
        let fresh = held.slow.iter().filter(|(o, (at, ..))| **o != self.me && now - at <= self.limits.ails);
        let (reads, sum) = fresh.fold((0.0, 0.0), |(reads, sum), (_, (_, hundredths, n))| {
            (reads + f64::from(*n), sum + f64::from(*n) * f64::from(*hundredths) / 100.0)
        });
        (reads > 0.0).then(|| (reads, sum / reads))
    }

    /// Drops what has ended; to be called now and then.
    pub fn tidy(&mut self, now: f64) {
        let limits = self.limits;
        self.groups.retain(|_, ((at, _), _)| now - *at <= limits.leads);
        for host in self.hosts.values_mut() {
            host.behind = host.behind.filter(|((at, _), _)| now - at <= limits.behind);
            host.silent.retain(|_, at| now - *at <= limits.ails);
            host.slow.retain(|_, (at, ..)| now - *at <= limits.ails);
        }
        self.hosts.retain(|_, h| *h != Host::default());
    }

    /// Groups and hosts of which something is kept, and facts that wait to be told.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.groups.len(), self.hosts.len(), self.queue.len())
    }
}

#[cfg(test)]
mod tests;

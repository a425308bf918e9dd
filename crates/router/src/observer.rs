//! What this router itself has seen of groups and hosts that others may want to know: a primary that showed itself, a
//! replica that falls behind or has caught up, contact lost. No I/O and no clock; it measures, and decides nothing.

use magpiewell::Role;
use magpiewell_facts::Observation;

/// A replica that is further behind than this part of the least bound counts as behind.
const PART: f64 = 0.5;
/// While it is, it is told again so often, in ms.
const AGAIN_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    behind: bool,
    told_at: f64,
}

/// Names are the same at every router: the lowest 32 bits of a hash that no library's version changes.
pub fn key(name: &str) -> u32 {
    // FNV-1a, as published.
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

pub struct Observer {
    /// The least bound of any op type's data, in ms; none where there is none.
    bound: Option<f64>,
    /// By the host's small number, and by the group's: who was last seen leading it.
    hosts: Vec<Host>,
    leads: Vec<Option<usize>>,
}

impl Observer {
    pub fn new(bound: Option<f64>) -> Observer {
        Observer { bound, hosts: Vec::new(), leads: Vec::new() }
    }

    /// An answer told a role and a position; the keys are the group's and the host's.
    pub fn answered(
        &mut self,
        now: f64,
        (host, host_key): (usize, u32),
        (group, group_key): (usize, u32),
        role: Option<Role>,
        pos: Option<f64>,
    ) -> Option<Observation> {
        if self.leads.len() <= group {
            self.leads.resize(group + 1, None);
        }
        if self.hosts.len() <= host {
            self.hosts.resize(host + 1, Host::default());
        }
        match role {
            Some(Role::Primary) if self.leads[group] != Some(host) => {
                self.leads[group] = Some(host);
                Some(Observation::Primary { group: group_key, host: host_key })
            }
            Some(Role::Replica) => {
                self.leads[group] = self.leads[group].filter(|led| *led != host);
                let (bound, lag) = (self.bound?, (now - pos?).max(0.0));
                let seen = &mut self.hosts[host];
                let behind = lag > PART * bound;
                let turns = behind != std::mem::replace(&mut seen.behind, behind);
                let again = behind && now - seen.told_at >= AGAIN_MS;
                if !(turns || again) {
                    return None;
                }
                seen.told_at = now;
                Some(Observation::ReplicaLag { host: host_key, ms: lag.min(f64::from(u32::MAX)) as u32 })
            }
            _ => None,
        }
    }

    /// Another host has got this number.
    pub fn forget(&mut self, host: usize) {
        if let Some(seen) = self.hosts.get_mut(host) {
            *seen = Host::default();
        }
        self.leads.iter_mut().for_each(|led| *led = led.filter(|h| *h != host));
    }
}

#[cfg(test)]
mod tests;

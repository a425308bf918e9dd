//! One hollow router: the real membership, fact and datagram code without clients and hosts. The only
//! module of the laboratory's scale tests that knows the names of those crates.

use super::plan::{Member, Plan};
use magpiewell_facts::Observation;
use magpiewell_peers::Key;
use magpiewell_terms::tier::TierOptions;
use magpiewell_tier::{Identity, PeerFact, Sent, Tier};
use std::time::Duration;

/// How often the time passes for a router, in ms: as often as in the real one.
pub const TICK_MS: f64 = 100.0;
/// A tick that comes later than so many ms shows that the router was stopped, as in the real one.
pub const OVERSLEPT_MS: f64 = 4.0 * TICK_MS;

/// A datagram for a member.
pub struct Datagram {
    pub to: Member,
    pub bytes: Vec<u8>,
}

/// A group's primary, as the router was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Primary {
    pub group: u32,
    pub host: u32,
}

/// What came of one call.
#[derive(Default)]
pub struct Output {
    pub datagrams: Vec<Datagram>,
    pub primaries: Vec<Primary>,
}

impl From<magpiewell_tier::Output> for Output {
    fn from(output: magpiewell_tier::Output) -> Output {
        let primary = |event| match event {
            PeerFact::Primary { group, host, .. } => Some(Primary { group, host }),
            _ => None,
        };
        let datagram = |out: magpiewell_tier::Outgoing| Datagram { to: out.to, bytes: out.bytes };
        Output {
            datagrams: output.datagrams.into_iter().map(datagram).collect(),
            primaries: output.events.into_iter().filter_map(primary).collect(),
        }
    }
}

/// Reads the template as a real router does.
pub fn read_template(plan: &Plan) -> Result<TierOptions, String> {
    magpiewell_terms::tier::parse(&plan.template)?
        .ok_or_else(|| "the template says that the tier is off".into())
}

/// Whether the tier takes the plan: its template, and so many members.
pub fn check(plan: &Plan) -> Result<(), String> {
    HollowRouter::new(plan, &read_template(plan)?, 0, 0.0).map(|_| ())
}

pub struct HollowRouter {
    pub member: Member,
    tier: Tier,
    counted: Vec<bool>,
}

impl HollowRouter {
    /// A router that starts at this Unix time in ms. Refused where the tier takes fewer members than the
    /// plan has.
    pub fn new(plan: &Plan, terms: &TierOptions, member: Member, now: f64) -> Result<HollowRouter, String> {
        let members = plan.members();
        let zone = Some(plan.zone(member) as u8);
        let key = terms.key.as_deref().map(Key::new);
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(member)) ^ now as u64;
        let limits = magpiewell_router::tier::limits(terms, Duration::from_secs_f64(TICK_MS / 1e3));
        let identity = Identity { local: member, roster_size: members, zone, started_at: now as u64 };
        let tier = Tier::new(identity, seed, key, limits).map_err(|error| error.to_string())?;
        Ok(HollowRouter { member, tier, counted: vec![true; members] })
    }

    pub fn tick(&mut self, now: f64) -> Output {
        self.tier.tick(now).into()
    }

    pub fn receive(&mut self, now: f64, from: Member, bytes: &[u8]) -> Output {
        self.tier.receive(now, from, bytes).into()
    }

    /// This router itself sees a group's new primary.
    pub fn observe_primary(&mut self, now: f64, primary: Primary) -> Output {
        let Primary { group, host } = primary;
        self.tier.observe(now, Observation::Primary { group, host }).into()
    }

    /// Members that count now and did not, or the other way round, since the last call.
    pub fn changed_members(&mut self) -> Vec<(Member, bool)> {
        let mut changed = Vec::new();
        for (number, held) in self.counted.iter_mut().enumerate() {
            let member = number as Member;
            let counts = self.tier.members().is_counted(member);
            if *held != counts {
                *held = counts;
                changed.push((member, counts));
            }
        }
        changed
    }

    /// Datagrams and bytes sent so far.
    pub fn sent(&self) -> (u64, u64) {
        let Sent { datagrams, bytes } = self.tier.sent();
        (datagrams, bytes)
    }
}

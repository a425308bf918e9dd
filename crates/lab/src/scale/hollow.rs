//! One hollow router: the real membership, fact and datagram code without clients and hosts. This is the only
//! module of the scale tests that uses those crates' types directly.

use super::plan::{MemberId, Plan};
use magpiewell_facts::Observation;
use magpiewell_peers::Key;
use magpiewell_terms::tier::TierOptions;
use magpiewell_tier::{Identity, PeerFact, Sent, Tier};
use std::time::Duration;

/// Interval between ticks of a router: the same as in a real one.
pub const TICK_MS: f64 = 100.0;
/// A router whose tick is later than this assumes that its process was paused, as a real one does.
pub const PAUSE_THRESHOLD_MS: f64 = 4.0 * TICK_MS;

/// An outgoing datagram to a member.
pub struct Datagram {
    pub to: MemberId,
    pub bytes: Vec<u8>,
}

/// A group's primary, received from other members or observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Primary {
    pub group: u32,
    pub host: u32,
}

/// The results of one call: datagrams to send and primaries learned.
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
        let datagram =
            |outgoing: magpiewell_tier::Outgoing| Datagram { to: outgoing.to, bytes: outgoing.bytes };
        Output {
            datagrams: output.datagrams.into_iter().map(datagram).collect(),
            primaries: output.events.into_iter().filter_map(primary).collect(),
        }
    }
}

/// Parses the plan's template as a real router does.
pub fn parse_template(plan: &Plan) -> Result<TierOptions, String> {
    magpiewell_terms::tier::parse(&plan.template)?.ok_or_else(|| "the template turns the tier off".into())
}

/// Checks that the tier accepts the plan's template and number of members.
pub fn validate(plan: &Plan) -> Result<(), String> {
    HollowRouter::new(plan, &parse_template(plan)?, 0, 0.0).map(|_| ())
}

/// A simulated member of the tier, without clients and hosts.
pub struct HollowRouter {
    pub member: MemberId,
    tier: Tier,
    /// By member: whether it was counted when [`HollowRouter::changed_members`] was last called.
    counted: Vec<bool>,
}

impl HollowRouter {
    /// A router that starts at `now`, in Unix ms. Fails if the tier accepts fewer members than the plan has.
    pub fn new(
        plan: &Plan,
        options: &TierOptions,
        member: MemberId,
        now: f64,
    ) -> Result<HollowRouter, String> {
        let members = plan.members();
        let zone = Some(plan.zone(member) as u8);
        let key = options.key.as_deref().map(Key::new);
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(member)) ^ now as u64;
        let limits = magpiewell_router::tier::limits(options, Duration::from_secs_f64(TICK_MS / 1e3));
        let identity = Identity { local: member, roster_size: members, zone, started_at: now as u64 };
        let tier = Tier::new(identity, seed, key, limits).map_err(|error| error.to_string())?;
        Ok(HollowRouter { member, tier, counted: vec![true; members] })
    }

    pub fn tick(&mut self, now: f64) -> Output {
        self.tier.tick(now).into()
    }

    pub fn receive(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Output {
        self.tier.receive(now, from, bytes).into()
    }

    /// Makes this router observe a group's new primary itself.
    pub fn observe_primary(&mut self, now: f64, primary: Primary) -> Output {
        let Primary { group, host } = primary;
        self.tier.observe(now, Observation::Primary { group, host }).into()
    }

    /// Members that have become counted or uncounted since the last call, and whether they are counted now.
    pub fn changed_members(&mut self) -> Vec<(MemberId, bool)> {
        let mut changed = Vec::new();
        for (number, was_counted) in self.counted.iter_mut().enumerate() {
            let member = number as MemberId;
            let is_counted = self.tier.members().is_counted(member);
            if *was_counted != is_counted {
                *was_counted = is_counted;
                changed.push((member, is_counted));
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

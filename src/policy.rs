//! All decisions of magpiewell. The interface (ids, facts, `Outbox`) stands in lib.rs, shapes in state.rs.
//!
//! One `Policy` serves one router. The adapter calls `op_arrived`, `ended`, `told`, `probed`, `listed`, ...
//! with what happened, and `woken` on every beat. An op runs down `CHAIN`; each stage passes it on, keeps it
//! in its group's held ops or ends it. What comes back from a host runs the chain upwards.
//!
//! The design: writes and fresh reads go to the probed, cached primary; other reads rotate over replicas
//! known to be fresh enough; one whose latency average exceeds RHO times the median leaves the rotation.
//!
//! Mechanisms beside it, at most six:
//! 1. scout: while no primary is known, one write a group looks for it and the others are held
//! 2. silence: failed contact sets a host aside before the list does, sends it overtook are lost; ops move on
//! 3. proof: who is ejected gets single reads until it is no outlier any more; a group's median is
//!    held against the fleet's, so that a lifted one shows
//! 4. connections: a probe tells why one failed; kept if slow to open, closed if few are taken, few if dear
//! 5. pace: work in flight on a host, the shares let through to an idle one and to a group's and the shares of
//!    reads that spill onto a primary or leave the router's zone follow what comes back in time; ops are held
//!    briefly, then shed, and so is the part that the router's own processor time can't carry; repeats are
//!    dated by when they come back or by their patience, and not sent past their first try's target
//! 6. cold share: a host that came back gets no more than its least possible capacity allows, of ops whose turn
//!    it is; where the part of one router is under an op, chance lets through what all together may send

use crate::state::{
    self, Again, Asked, Back, Commits, Fixed, Group, Host, Op, OpType, Ops, Out, Random, Rate, Returns, Send,
    Share, Step, Turn, blend, median,
};
use crate::{
    Consistency, Ending, HostEntry, HostState, OpId, OpRequest, OpTypeSpec, Outbox, PeerReport,
    PolicyOptions, Retryability, Role,
};

/// Outlier factor of the design.
const RHO: f64 = 2.0;
/// Weight of one read in a host's latency average, and of a trial read.
const LAT_WEIGHT: f64 = 0.05;
const TRIAL_WEIGHT: f64 = 0.35;
/// Reads before an average counts.
const LAT_READS: u32 = 20;
/// A host is probed at most this often, and only if an op needs what a probe tells.
const PROBE_MS: f64 = 250.0;
/// Hosts that one read asks for their position where none is known to be fresh enough; and, where connections
/// are charged for, replicas of a group that have some before others get any.
const FEW: usize = 2;
/// The usual latency of an op type starts as this part of its target and is learned with this weight.
const USUAL_PART: f64 = 0.2;
const USUAL_WEIGHT: f64 = 0.02;
/// A send later than this multiple of its usual latency counts as lost if others were heard since.
const LATE: f64 = 4.0;
/// Ops in flight that a host starts with, over all routers, and the least that a limit in flight can be.
const LIMIT_START: f64 = 16.0;
const LIMIT_LEAST: f64 = 1.0;
/// Answers past this part of their target, on average, cut a limit; it is measured anew from this strain.
const FAIR_PART: f64 = 0.33;
const RELAXED: f64 = 0.75;
const CUT: f64 = 0.85;
const STRAIN_WEIGHT: f64 = 0.1;
/// Reads stay in their zone until its replicas would do so much of their part of the group's work, and but for the
/// part by which one is strained beyond one less than this; of what comes by, a strained one keeps at least so much.
const NEAR_MORE: f64 = 1.5;
const NEAR_STRAIN: f64 = 2.0;
const NEAR_LEAST: f64 = 0.25;
/// Reads that fall back to a primary may at first, and at most, add this part to the work that must go there.
const SPILL_START: f64 = 0.5;
const SPILL_MOST: f64 = 4.0;
/// More than one replica takes long reads while this part of all lags by less than that part of any bound.
const SPREAD: f64 = 0.5;
const SPREAD_LAG: f64 = 0.3;
/// More replicas take long reads after each late one, fewer after each other: in balance a tenth is late.
const WIDEN: f64 = 1.5;
const NARROW: f64 = 0.95;
/// An answer past this part of its target is late: it cuts what may spill, and the share let through to the
/// host if it is idle; any other raises them, and a second's time the share, which has a least. What a group's
/// replicas let through together is cut more gently, as it is told more often.
const ALONE_LATE: f64 = 0.7;
const SHARE_CUT: f64 = 0.5;
const TOGETHER_CUT: f64 = 0.7;
const SHARE_RISE: f64 = 1.25;
const SHARE_FADE: f64 = 1.1;
const SHARE_LEAST: f64 = 0.1;
/// How long what was seen of a group's work, or of connections, counts; and of what comes here in all.
const MEMORY: f64 = 10_000.0;
const STORM: f64 = 3000.0;
/// Part of the spare time (target less usual latency) for which an op waits for room.
const HOLD_PART: f64 = 0.4;
/// Votes by which the commonest patience must lead to be trusted.
const VOTES: i32 = 8;
/// Patience within this part of the op timeout counts as the same.
const PATIENCE_BAND: f64 = 0.005;
/// Weight from which an op type counts as long.
const LONG: f64 = 2.5;
/// A connection that failed after this long was slow to open; before it, refused.
const DEAR_DIAL: f64 = 50.0;
/// Part of the cold budget that is used, and that chance uses, as more than a host can do is seldom served in
/// time; it decides up to so many ops a window.
const COLD_PART: f64 = 0.9;
const COLD_FAIR: f64 = 0.6;
const THIN: f64 = 4.0;
/// Rates are noted this often, a failed list is asked again after about it, and contact lost for longer means
/// a restart, so that the host comes back cold.
const SECOND: f64 = 1000.0;
/// Probes of a host that is down or far behind move apart up to this.
const PROBE_MOST: f64 = 4000.0;

type Down = fn(&mut Policy, &mut Turn) -> Step;
type Up = fn(&mut Policy, &Back);
const CHAIN: [(Down, Up); 5] = [
    (Policy::worth, Policy::worth_back),
    (Policy::lead, Policy::lead_back),
    (Policy::rotate, Policy::rotate_back),
    (Policy::pace, Policy::pace_back),
    (Policy::guard, Policy::guard_back),
];

#[derive(Default)]
pub struct Policy {
    /// What was derived from the terms at start, and the part of reads that each zone's routers bring.
    fixed: Fixed,
    pub zone_read_shares: Vec<f64>,
    types: Vec<OpType>,
    shares: Vec<Share>,
    hosts: Vec<Host>,
    groups: Vec<Group>,
    /// Replicas of each group that take long reads.
    wide: f64,
    /// Work that reads may add to a primary, as a part of what must go there.
    spill: f64,
    /// Share of ops that the router itself can carry, and the time to come back that others are told.
    carried: (f64, f64),
    ops: Ops,
    commits: Commits,
    returns: Returns,
    chance: Random,
    /// The clock as last told, and until when connections are taken to be slow to open or few.
    now: f64,
    dear_until: f64,
    tight_until: f64,
    refused: Again,
    rates_at: f64,
    /// Work that warm hosts of size 1 do for this router, as replicas and as primaries, and what it is asked.
    warm: [Rate; 2],
    asked: Asked,
    /// What cold hosts are sent, against what they should be able to do, as it fares.
    cold: [f64; 2],
    ask_at: f64,
    /// An answer, a probe or a list has come since averages were last compared.
    stirred: bool,
    list_full: bool,
    list_no: u64,
}

impl Policy {
    pub fn new(terms: PolicyOptions, seed: u64, now: f64, out: &mut dyn Outbox) -> Policy {
        let beat = terms.tick_ms.max(5.0);
        let share = |rate: &f64| Share { per_ms: rate / terms.routers / 1000.0, left: 1.0, at: now };
        let shares = terms.tenant_rates.iter().map(share).collect();
        let typed = |facts: OpTypeSpec| OpType::new(facts.latency_target_ms * USUAL_PART, now, facts);
        let bounded = |t: &&OpTypeSpec| t.consistency == Consistency::Bounded;
        let fixed = Fixed {
            beat,
            margin: 2.0 * beat,
            subset: if terms.connection_price > terms.cross_zone_price { FEW } else { usize::MAX },
            tries: terms.hosts_reject_stale_reads && terms.probe_price > terms.cross_zone_price,
            cold_multiple: terms.overload_multiple * COLD_PART,
            cold_fair: terms.overload_multiple * COLD_FAIR,
            full_per_ms: terms.tenant_rates.iter().sum::<f64>() / terms.routers / 1000.0,
            limit: (LIMIT_START / terms.routers).max(LIMIT_LEAST),
            tightest: terms
                .op_types
                .iter()
                .filter(bounded)
                .map(|t| t.staleness_bound_ms)
                .fold(f64::INFINITY, f64::min),
            ..Fixed::from(&terms)
        };
        let brings = vec![1.0 / fixed.zones.max(1) as f64; fixed.zones.max(1)];
        let (types, chance) = (terms.op_types.into_iter().map(typed).collect(), Random { seed, count: 0 });
        let start = Policy { rates_at: now, ask_at: f64::INFINITY, spill: SPILL_START, ..Policy::default() };
        let start = Policy { carried: (1.0, 0.0), cold: [fixed.cold_fair; 2], wide: 1.0, ..start };
        let mut policy = Policy { fixed, types, shares, chance, zone_read_shares: brings, ..start };
        policy.ask_list(now, out);
        out.wake_after(policy.fixed.beat);
        policy
    }

    /// The share of new ops that the router's own time carries, and in about how many ms the others may come back.
    pub fn set_admission(&mut self, share: f64, come_back: f64) {
        self.carried = (share, come_back);
    }

    fn ask_list(&mut self, now: f64, out: &mut dyn Outbox) {
        if let Some(every) = self.fixed.ask_every {
            out.watch_host_list();
            self.ask_at = now + every * 0.5;
        }
    }

    /// A list begins: whole or changes, as kept or from the service; `listed` calls follow, then `list_end`.
    pub fn list_started(&mut self, whole: bool, kept: bool) {
        self.ask_at = if kept { self.ask_at } else { f64::INFINITY };
        (self.list_full, self.list_no) = (whole, self.list_no + 1);
    }

    pub fn host_listed(&mut self, now: f64, host: usize, entry: HostEntry) {
        let HostEntry { group, state: phase, capacity: size, started_at: started, primary, zone } = entry;
        while self.hosts.len() <= host {
            // By chance, or all routers that start together begin with the same replica and move on together.
            let turn = self.chance.next_f64() / if size > 0.0 { size } else { 1.0 };
            self.hosts.push(Host { turn, ..Host::new(usize::MAX, self.fixed.limit) });
        }
        state::enroll(&mut self.groups, &mut self.hosts[host], host, group);
        let h = &mut self.hosts[host];
        (h.list_no, h.zone) = (self.list_no, zone);
        h.size = if size.is_finite() && size > 0.0 { size } else { h.size };
        h.note_start(started, self.fixed.limit);
        // Where gone alone does not bind, it proves nothing either: contact tells what is up.
        let alive = phase == HostState::Gone && !self.fixed.gone_binds && !h.drained;
        let phase = if alive { HostState::Ready } else { phase };
        h.told_at = if phase == HostState::Ready { f64::INFINITY } else { h.told_at.min(now) };
        h.phase = phase;
        h.drained = phase == HostState::Draining || (h.drained && phase == HostState::Gone);
        h.listed_primary = primary;
        h.excused |= primary && h.replica_at == f64::NEG_INFINITY;
    }

    pub fn list_ended(&mut self, now: f64, out: &mut dyn Outbox) {
        self.stirred = true;
        let missing = |h: &&mut Host| self.list_full && h.list_no != self.list_no;
        for h in self.hosts.iter_mut().filter(missing).filter(|h| self.fixed.gone_binds || h.drained) {
            (h.phase, h.told_at) = (HostState::Gone, h.told_at.min(now));
        }
        // A connection may open only after the grace.
        let leaving = |m: &usize| self.hosts[*m].phase != HostState::Ready && !self.hosts[*m].out.is_empty();
        (0..self.hosts.len()).filter(leaving).for_each(|m| out.cancel_unstarted(m));
        for group in 0..self.groups.len() {
            self.again(now, out, group, false);
        }
    }

    /// True where a host has long been gone and nothing names it: its number may then be given to another.
    pub fn release_host(&mut self, now: f64, host: usize) -> bool {
        let (h, limit) = (&self.hosts[host], self.fixed.limit);
        let over = now - h.told_at > MEMORY && state::is_over(&self.ops, h, host);
        over && state::forget(&mut self.groups, &mut self.hosts, host, limit)
    }

    /// A call failed or the watch broke, which one is not said: ask again soon, not all routers at once.
    pub fn list_failed(&mut self, now: f64) {
        self.ask_at = now + SECOND * (0.5 + self.chance.next_f64());
    }

    /// A host's role and position, from an answer (as of now) or from a report (some time old).
    pub fn host_reported(
        &mut self,
        now: f64,
        host: usize,
        role: Option<Role>,
        pos: Option<f64>,
        answer: bool,
    ) {
        let Some(h) = self.hosts.get_mut(host) else { return };
        let pos = pos.filter(|p| p.is_finite() && *p <= now);
        if let Some(p) = pos.filter(|p| *p >= h.pos) {
            (h.pos, h.pos_at) = (p, now);
        }
        // An answer is of now (its rounded position made quick errors clear the primary). A report is dated
        // by its position: an old one cannot bring back what a write has since found wanting.
        let at = if answer { now } else { pos.unwrap_or(f64::NEG_INFINITY) };
        if role == Some(Role::Primary) && at > h.cleared.max(h.claim) {
            (h.claim, h.excused) = (at, true);
        } else if role == Some(Role::Replica) && (answer || at >= h.claim) {
            h.unclaim(if answer { now } else { h.cleared });
            h.replica_at = now;
            h.excused &= !answer;
        }
    }

    pub fn probe_ended(&mut self, now: f64, out: &mut dyn Outbox, host: usize, ending: Ending, spent: f64) {
        let Some(h) = self.hosts.get_mut(host) else { return };
        (h.probe_out, self.stirred) = (false, true);
        let group = h.group;
        if ending == Ending::Acked {
            // The host is up, so what failed before was its connections.
            match std::mem::take(&mut h.doubt) {
                took if took > DEAR_DIAL => self.dear_until = now + MEMORY,
                // One alone may be a host that broke it; where few are taken the next is not far.
                took if took > 0.0 && self.refused.within(now, SECOND) => self.tight_until = now + MEMORY,
                _ => {}
            }
            if h.down_since < f64::INFINITY {
                self.contact(now, out, host);
            }
        } else if ending == Ending::Reset && !h.reset.within(now, PROBE_MS) {
            // Its connection may have been closed as an op's was; a host that is down refuses the next one.
            self.probe(now, out, host);
        } else if ending.is_contact_failure() && h.heard < now - spent {
            h.doubt = 0.0;
            self.lost_contact(now, out, host, "probe unanswered");
        }
        self.again(now, out, group, false);
    }

    /// What other routers say: a direction, a probe spared, or a reason to look; never that a host is fresh or well.
    pub fn peer_reported(&mut self, now: f64, out: &mut dyn Outbox, host: usize, peer_fact: PeerReport) {
        let (checked, h) = (self.fixed.checked, &mut self.hosts[host]);
        if h.note_peer_fact(now, peer_fact, checked) && h.heard < now - PROBE_MS && self.may_ask(now, host) {
            self.probe(now, out, host);
        }
    }

    fn contact(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        h.heard = now;
        if now - h.down_since > SECOND && h.started < h.down_since {
            h.started = now;
        }
        h.down_since = f64::INFINITY;
        if h.silent {
            h.silent = false;
            out.log(&format!("host {host} answers again"));
        }
    }

    fn lost_contact(&mut self, now: f64, out: &mut dyn Outbox, host: usize, why: &str) {
        let h = &mut self.hosts[host];
        h.down_since = h.down_since.min(now);
        if !std::mem::replace(&mut h.silent, true) {
            out.log(&format!("host {host} set aside: {why}, {} out", h.out.len()));
            out.contact_lost(host);
        }
    }

    pub fn op_arrived(&mut self, now: f64, out: &mut dyn Outbox, op: OpRequest) {
        let OpRequest {
            id,
            op_type: kind,
            group,
            tenant,
            session,
            client_timeout_ms: patience,
            since_write_ms: since_write,
            is_retry: repeat,
            extra_latency_ms: longer,
            op_timeout_ms: op_timeout,
        } = op;
        state::enter(&mut self.groups, group);
        let over_share = self.shares.get_mut(tenant).is_some_and(|s| s.is_over(now));
        let t = &mut self.types[kind];
        let patience = if patience.is_finite() { patience.max(0.0) } else { t.facts.latency_target_ms };
        // First tries have one patience, the commonest; another is what the op timeout leaves of a last try
        // and dates its first: past that one's target it is not worth sending. Where clients mark no repeats,
        // only as many ops are dated as were given up lately: clients that just lost patience are served.
        (t.given_up, t.given_up_at) = (t.given_up * 0.5f64.powf((now - t.given_up_at) / op_timeout), now);
        let same = t.patience.count(patience, PATIENCE_BAND * op_timeout, repeat != Some(true));
        let first = same || repeat == Some(false);
        // Where clients come back to the router that gave them up, when they come tells whose try it is.
        t.seen.add(now, 1.0, STORM);
        let rate = t.seen.value / STORM / self.groups.len() as f64;
        let back = self.returns.came_back(now, (kind, group), repeat, rate, self.fixed.beat);
        let dated = !first && t.patience.votes >= VOTES && (repeat.is_some() || t.given_up >= 1.0);
        if dated && repeat.is_none() {
            t.given_up -= 1.0;
        }
        let undated = if repeat == Some(true) { t.reply_age } else { 0.0 };
        let age = if dated { (op_timeout - patience).max(0.0) } else { undated };
        let age = back.map_or(age, |begun| now - begun);
        let need_pos = match t.facts.consistency {
            Consistency::Fresh => now,
            Consistency::Session => {
                // The commit was rounded up and positions down: one ms more covers both.
                let carried = since_write.filter(|ms| ms.is_finite() && *ms > 0.0).map(|ms| now - ms + 1.0);
                let own = self.commits.last(session);
                if self.fixed.remember { own } else { carried.unwrap_or(f64::NEG_INFINITY) }
            }
            _ => f64::NEG_INFINITY,
        };
        let lot = self.chance.next_f64();
        let slot = self.ops.add(Op {
            id,
            kind,
            group,
            session,
            arrived: now,
            begun: now - age,
            target_at: now + (t.facts.latency_target_ms + longer - age).min(patience),
            give_up: now + patience - self.fixed.margin,
            need_pos,
            value: t.facts.value * if over_share { self.fixed.over_share_value } else { 1.0 },
            over_share,
            lot,
            first: age == 0.0,
            ..Op::default()
        });
        if self.groups[group].held.is_empty() || patience <= self.fixed.margin {
            self.advance(now, out, slot);
        } else {
            // Others wait already: the next answer or beat takes the best of them.
            state::hold(&mut self.ops, &mut self.groups, slot);
        }
    }

    /// The router ends: what is open is answered by then.
    pub fn set_shutdown_deadline(&mut self, by: f64) {
        state::give_up_by(&mut self.ops, by - self.fixed.margin);
    }

    /// The client of these has gone; no answer is owed, and none of them takes the room that another leaves.
    pub fn client_left(&mut self, now: f64, out: &mut dyn Outbox, ids: &[OpId]) {
        let open = |id: &OpId| self.ops.find(*id).filter(|s| !self.ops.get(*s).done);
        let slots: Vec<usize> = ids.iter().filter_map(open).collect();
        let groups: std::collections::BTreeSet<_> = slots.iter().map(|s| self.ops.get(*s).group).collect();
        for slot in slots {
            self.close(slot, out);
            self.returns.gave_up(now, self.ops.get(slot), 0.0);
            self.ops.drop_if_over(slot);
        }
        groups.into_iter().for_each(|group| self.again(now, out, group, false));
    }

    /// A send has ended; `over` says that its op has been answered.
    pub fn send_ended(
        &mut self,
        now: f64,
        out: &mut dyn Outbox,
        id: OpId,
        send: usize,
        ending: Ending,
        over: bool,
    ) {
        (self.now, self.stirred) = (now, true);
        let Some(slot) = self.ops.find(id) else { return };
        let op = self.ops.get_mut(slot);
        let group = op.group;
        let Some(s) = op.sends.get_mut(send).filter(|s| s.ended.is_none()) else { return };
        s.ended = Some(ending);
        let back = Back { now, slot, host: s.host, sent: s.at, ending };
        let heard = self.hosts[back.host].heard;
        if ending.is_from_host() {
            self.contact(now, out, back.host);
        } else if matches!(ending, Ending::Reset | Ending::Unreached) && heard < back.sent {
            // The host may have closed it as idle, or take no more connections, or slowly: a probe tells.
            self.hosts[back.host].doubt = if ending == Ending::Reset { 0.0 } else { now - back.sent };
            self.probe(now, out, back.host);
        }
        for (_, up) in CHAIN.iter().rev() {
            up(self, &back);
        }
        if over && !self.ops.get(slot).done {
            self.close(slot, out);
        }
        // Where hosts take few connections, an idle one keeps other routers out.
        let h = &mut self.hosts[back.host];
        if now < self.tight_until && now >= self.dear_until && h.out.is_empty() && h.open > 0 {
            h.open = 0;
            out.close_idle_connections(back.host);
        }
        let op = self.ops.get(slot);
        if !op.done && op.outstanding() == 0 && !op.held {
            self.advance(now, out, slot);
        }
        self.ops.drop_if_over(slot);
        self.again(now, out, group, false);
    }

    /// Runs the held ops of a group through the chain, the most value per work first. Between beats the first
    /// op of a type that must go on waiting speaks for its type, or a crowd would cost time squared.
    fn again(&mut self, now: f64, out: &mut dyn Outbox, group: usize, all: bool) {
        if group >= self.groups.len() || self.groups[group].held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.groups[group].held);
        let rank = |slot: &usize| {
            let op = self.ops.get(*slot);
            let t = &self.types[op.kind];
            op.value * if now > op.target_at { t.facts.late_value } else { 1.0 } / t.usual
        };
        held.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let mut stuck = vec![false; self.types.len()];
        for slot in held {
            let op = self.ops.get_mut(slot);
            op.held = false;
            let kind = op.kind;
            if stuck[kind] && !all {
                state::hold(&mut self.ops, &mut self.groups, slot);
                continue;
            }
            self.advance(now, out, slot);
            stuck[kind] |= self.groups[group].held.last() == Some(&slot);
        }
    }

    fn advance(&mut self, now: f64, out: &mut dyn Outbox, slot: usize) {
        let mut turn = Turn { now, slot, host: usize::MAX, trial: false, spilt: false, ask: Vec::new() };
        for (down, _) in &CHAIN {
            let step = down(self, &mut turn);
            for host in std::mem::take(&mut turn.ask).into_iter() {
                if self.may_ask(now, host) {
                    self.probe(now, out, host);
                }
            }
            match step {
                Step::Pass => {}
                Step::Keep => return state::hold(&mut self.ops, &mut self.groups, slot),
                // While a send is out, its answer may still come; the beat ends the op in time.
                Step::End if self.ops.get(slot).outstanding() > 0 => {
                    return state::hold(&mut self.ops, &mut self.groups, slot);
                }
                Step::End => return self.finish(now, out, slot),
            }
        }
        let (host, kind) = (turn.host, self.ops.get(slot).kind);
        let begin_by = self.begin_by(self.ops.get(slot), host);
        let (usual, weight) = (self.types[kind].usual, self.weight(kind));
        let op = self.ops.get_mut(slot);
        let dials = self.hosts[host].idle() == 0;
        op.sends.push(Send { host, at: now, ended: None, withdrawn: false, lost: false });
        let send = op.sends.len() - 1;
        let (group, level) = (op.group, self.types[kind].facts.consistency);
        if level == Consistency::Write && self.primary_of(group) != Some(host) {
            self.groups[group].scout = Some(slot);
        } else if matches!(level, Consistency::Write | Consistency::Fresh) {
            self.groups[group].led.add(now, usual, MEMORY);
        }
        let cold = self.warmth(now, host);
        let h = &mut self.hosts[host];
        h.out.push(Out { op: slot, send, sent: now, usual, weight, spilt: turn.spilt, dials });
        h.load += weight;
        // Turns come as often as the host has capacity.
        h.turn += weight / (h.size * cold);
        if cold < 1.0 {
            h.note_work(now, usual, now - self.fixed.cold_window);
        }
        h.trial_at = if turn.trial { now + 2.0 * PROBE_MS } else { h.trial_at };
        out.send(self.ops.get(slot).id, host, begin_by);
    }

    /// The final answer, given as soon as it is known: a busy reply where that is true, else an error.
    fn finish(&mut self, now: f64, out: &mut dyn Outbox, slot: usize) {
        let op = self.ops.get(slot);
        let t = &mut self.types[op.kind];
        if op.first {
            blend(&mut t.reply_age, now - op.arrived, LAT_WEIGHT);
            // Two for each, as time and other routers take some.
            t.given_up += 2.0;
        }
        let lost = self.groups[op.group].lost_since < f64::INFINITY;
        // What is out is called back first: a send whose connection is still opening would leave after the answer.
        self.close(slot, out);
        let op = self.ops.get(slot);
        if self.may_busy_reply(op) {
            let wait = if lost { 2.0 * PROBE_MS } else { self.types[op.kind].usual };
            // Spread, as those who are told the same time come back as one.
            let wait = wait.max(self.carried.1 * (0.5 + op.lot)).min(self.fixed.max_retry);
            out.busy_reply(op.id, wait);
            self.returns.gave_up(now, op, wait);
        } else {
            out.error_reply(op.id);
            self.returns.gave_up(now, op, 0.0);
        }
        self.ops.drop_if_over(slot);
    }

    /// Nothing more is owed for the op; what is still out is called back to spare the hosts.
    fn close(&mut self, slot: usize, out: &mut dyn Outbox) {
        state::close(&mut self.ops, &mut self.groups, slot);
        for send in 0..self.ops.get(slot).sends.len() {
            self.call_back(slot, send, out);
        }
    }

    fn call_back(&mut self, slot: usize, send: usize, out: &mut dyn Outbox) {
        let op = self.ops.get_mut(slot);
        let s = &mut op.sends[send];
        // Withdrawing closes a connection. Where opening one takes long, the next ops would be late for it.
        let keep = self.now < self.dear_until && self.hosts[s.host].answers_open(slot);
        if s.ended.is_none() && !s.withdrawn {
            // What has not left yet is no withdrawal at the host: left alone, it would leave after the final answer.
            s.withdrawn = self.fixed.may_withdraw && !keep;
            out.withdraw(op.id, send, s.withdrawn);
        }
    }

    // ---- the chain, downwards

    /// Ends ops that can no longer earn anything or may not be sent again.
    fn worth(&mut self, turn: &mut Turn) -> Step {
        let op = self.ops.get(turn.slot);
        let t = &self.types[op.kind];
        let over = turn.now >= op.give_up || op.sends.len() >= self.fixed.max_sends;
        let (share, new) = (self.carried.0, op.sends.is_empty());
        let carried = share >= 1.0 || op.lot < share * self.against_mean(op.value, |t| t.facts.value);
        if over || (new && !carried) || turn.now >= self.again_until(op) {
            return Step::End;
        }
        let in_time = turn.now + t.took < op.target_at;
        if !in_time && (t.facts.late_value == 0.0 || turn.now + t.usual > op.give_up) {
            return Step::End;
        }
        if turn.now < op.not_before { Step::Keep } else { Step::Pass }
    }

    /// Writes and fresh reads: the cached primary, or one scout a group while none is known.
    fn lead(&mut self, turn: &mut Turn) -> Step {
        let leads = self.leads(self.ops.get(turn.slot));
        let op = self.ops.get_mut(turn.slot);
        let (level, usual, group) =
            (self.types[op.kind].facts.consistency, self.types[op.kind].usual, op.group);
        if !std::mem::replace(&mut op.counted, true) {
            self.groups[group].asked[leads].add(turn.now, usual, 0.0, MEMORY);
            self.asked.add(turn.now, leads, usual, op.first, (STORM, MEMORY));
        }
        if leads == 0 {
            return Step::Pass;
        }
        let primary = self.primary_of(group);
        if let Some(m) = primary.filter(|m| !self.hosts[*m].silent) {
            turn.host = m;
            return Step::Pass;
        }
        // Whom others have seen lead is asked, or tried, first.
        let (g, hint) = (&self.groups[group], |m: &usize| self.hosts[*m].hinted());
        let (members, new) = (&g.members, turn.now - g.lost_since < SECOND);
        let told = members.iter().copied().filter(|m| new && hint(m) > f64::NEG_INFINITY);
        let told = told.max_by(|a, b| hint(a).total_cmp(&hint(b)));
        turn.ask.extend(members.iter().filter(|m| told.is_none_or(|t| t == **m)));
        // A primary out of contact would swallow what can't be sent again.
        let scouted = self.groups[group].scout.is_some_and(|s| s != turn.slot);
        if primary.is_some() || level == Consistency::Fresh || scouted {
            return Step::Keep;
        }
        // The write rotates over members that have not just said they are replicas.
        let (op, members) = (self.ops.get(turn.slot), &self.groups[group].members);
        let misses = op.sends.len();
        let (first, count) = (self.groups[group].next_member, members.len());
        let first = told.and_then(|t| members.iter().position(|m| *m == t)).unwrap_or(first);
        let next = (0..count).map(|i| (first + i) % count).find(|i| {
            let h = &self.hosts[members[*i]];
            let tried = op.sends.iter().any(|s| s.host == members[*i]);
            h.phase == HostState::Ready && !h.silent && h.replica_at < turn.now - PROBE_MS && !tried
        });
        let Some(i) = next.filter(|_| misses < self.fixed.max_sends.div_ceil(2)) else {
            // Missed everywhere: the next probe, not a further send, finds the primary.
            self.ops.get_mut(turn.slot).not_before = turn.now + PROBE_MS;
            self.groups[group].scout = None;
            return Step::Keep;
        };
        turn.host = members[i];
        self.groups[group].next_member = i + 1;
        Step::Pass
    }

    /// Other reads rotate over the replicas that are fresh enough.
    fn rotate(&mut self, turn: &mut Turn) -> Step {
        if turn.host != usize::MAX {
            return Step::Pass;
        }
        let op = self.ops.get(turn.slot);
        let primary = self.primary_of(op.group);
        let members = &self.groups[op.group].members;
        let free = |m: &usize| {
            let failed = op.sends.iter().any(|s| s.host == *m && s.at > turn.now - 2.0 * PROBE_MS);
            self.hosts[*m].phase == HostState::Ready && !failed
        };
        let need = self.need(op, turn.now);
        let mut others: Vec<usize> =
            members.iter().copied().filter(|m| free(m) && Some(*m) != primary).collect();
        let place = |m: usize| self.hosts[m].turn;
        others.sort_by(|a, b| place(*a).total_cmp(&place(*b)));
        let fits = |m: &usize| self.reckoned(turn.now, *m) >= need;
        let doubtful = |m: &usize| self.hosts[*m].down_since < f64::INFINITY;
        let fresh: Vec<usize> = others.iter().copied().filter(fits).collect();
        // A host ejected proves itself by single reads; one that was behind too, where probes are dear.
        let due = |m: &usize| !fits(m) && !doubtful(m) && self.may_ask(turn.now, *m);
        let due = |m: &usize| self.fixed.tries && due(m) && self.has_room(turn.now, op, *m);
        let trial = fresh.iter().copied().find(|m| self.hosts[*m].untried(turn.now)).map(|m| (m, true));
        let trial = trial.or(others.iter().copied().find(due).map(|m| (m, false)));
        if let Some((m, trial)) = trial.filter(|_| op.sends.is_empty()) {
            (turn.host, turn.trial, self.hosts[m].probe_at) = (m, trial, turn.now);
            return Step::Pass;
        }
        let well: Vec<usize> = fresh.iter().copied().filter(|m| !self.hosts[*m].silent).collect();
        let pool: Vec<usize> = well.iter().copied().filter(|m| !self.hosts[*m].ejected).collect();
        // Reads ask for what only a probe can tell: whether the next in turn has caught up or answers again.
        // Where few are fresh, one that is not due yet must not stand before those that are.
        let thin = 2 * pool.len() <= others.len();
        let unsure = |m: &usize| (!fits(m) || doubtful(m)) && (!thin || self.may_ask(turn.now, *m));
        let asked = if pool.is_empty() && !self.fixed.checked { FEW } else { 1 };
        turn.ask.extend(others.iter().copied().filter(unsure).take(asked));
        // Long reads that any member may answer hold up the log where they run: spread evenly they would
        // leave no replica fresh. The first in a common order take them, by a further digit of the lot, as
        // many as their lateness asks for, or the next that idles; and only the first where few are fresh.
        let room = |m: &&usize| self.has_room(turn.now, op, **m);
        let mut line: Vec<&usize> = pool.iter().filter(|_| self.is_long(op.kind)).collect();
        line.sort_unstable();
        let recent = turn.now - SPREAD_LAG * self.fixed.tightest;
        let keeps_up = line.iter().filter(|m| self.reckoned(turn.now, ***m) >= recent).count() as f64;
        let fed = keeps_up >= SPREAD * line.len() as f64;
        let wide = if fed { self.wide } else { 1.0 };
        let mine = line.get(((op.lot * 16.0).fract() * wide) as usize).filter(|m| room(m));
        let within = || line.iter().take(wide.ceil() as usize).find(|m| room(m));
        let idle = |h: &Host| h.out.is_empty() && self.weight(op.kind) <= h.limit;
        let next = || line.iter().find(|m| fed && idle(&self.hosts[***m]) && room(m));
        if let Some(m) = mine.or_else(within).or_else(next).or(line.first()) {
            turn.host = **m;
            return Step::Pass;
        }
        let few = pool.iter().filter(|m| self.hosts[**m].open > 0).count() < self.fixed.subset;
        let opens = few && turn.now >= self.dear_until;
        let ready = |m: &&usize| room(m) && (opens || self.hosts[**m].idle() > 0);
        // The first in turn of a zone that is drawn, by digits of the lot; a host there less as its answers strain.
        let mut rooms = vec![0.0; self.fixed.zones];
        for m in &pool {
            let room = rooms.get_mut(self.hosts[*m].zone);
            room.into_iter().for_each(|r| *r += self.hosts[*m].size * self.warmth(turn.now, *m));
        }
        let mut digit = (op.lot * 1024.0).fract();
        let parts =
            magpiewell_shares::zone_shares(&rooms, &self.zone_read_shares, self.fixed.zone, NEAR_MORE);
        let zone = parts.iter().position(|part| (digit -= part, digit < 0.0).1);
        let eased = |h: &Host| (op.lot * 64.0).fract() < (NEAR_STRAIN - h.strain).max(NEAR_LEAST);
        let near = |h: &Host| Some(h.zone) == zone && eased(h);
        let near = |m: &&usize| near(&self.hosts[**m]);
        // Where no shares tell what hosts are built for, a cold replica takes only ops whose turn it is: judged by what
        // one router sees of warm ones, all that those refuse would come to it, from all routers.
        let warm = |m: &usize| self.warmth(turn.now, *m) >= 1.0;
        let turns = [pool.first(), pool.iter().find(near)];
        let mixed = self.fixed.full_per_ms <= 0.0 && pool.iter().any(warm);
        let own = |m: &&usize| !mixed || warm(m) || turns.contains(&Some(*m));
        let mut line = pool.iter().filter(own);
        let pick = line.clone().find(|m| near(m) && ready(m)).or(line.clone().find(ready));
        let pick = pick.or(line.find(room)).copied();
        // None is known to qualify: a probe's answer may show one.
        let soon =
            |m: &usize| !self.hosts[*m].silent && (self.hosts[*m].probe_out || self.may_ask(turn.now, *m));
        let unknown = pool.is_empty() && !self.fixed.checked && others.iter().any(soon);
        if unknown && self.may_wait(turn) {
            return Step::Keep;
        }
        // Those that are fresh are full, or none is: the primary if it has room, or an ejected one.
        let usable = primary.filter(|m| pick.is_none() && free(m) && self.has_room(turn.now, op, *m));
        let (first, well) = (pool.first().copied(), well.first().copied());
        if let Some(m) = usable.filter(|_| self.spills(turn)) {
            (turn.host, turn.spilt) = (m, true);
        } else if let Some(m) = pick.or(first) {
            turn.host = m;
            // A host that was out of the rotation joins at its present place instead of catching up: by chance, or
            // all routers would go on with the same one of those.
            let place = self.hosts[m].turn;
            for o in others.into_iter().filter(|o| *o != m) {
                let (h, lot) = (&mut self.hosts[o], self.chance.next_f64());
                h.turn = if h.turn < place { place + lot / h.size } else { h.turn };
            }
        } else {
            turn.host = well.unwrap_or(usize::MAX);
        }
        Step::Pass
    }

    /// Whether a read may go to its primary: all routers together add but a part of what must go there.
    fn spills(&mut self, turn: &Turn) -> bool {
        let op = self.ops.get_mut(turn.slot);
        let g = &mut self.groups[op.group];
        let work = if std::mem::replace(&mut op.spilt, true) { 0.0 } else { self.types[op.kind].usual };
        g.spilt.add(turn.now, work, MEMORY);
        g.led.add(turn.now, 0.0, MEMORY);
        let (lot, spilt, led) = (op.lot, g.spilt.value, g.led.value);
        // One group is led too seldom to judge by it alone.
        let mean = self.groups.iter().map(|g| g.led.value).sum::<f64>() / self.groups.len() as f64;
        lot * spilt < self.spill * led.max(mean)
    }

    /// The position a host is taken to have: its last lag stands where it checks reads, else what it told.
    fn reckoned(&self, now: f64, host: usize) -> f64 {
        let h = &self.hosts[host];
        match self.fixed.checked {
            true if h.pos == f64::NEG_INFINITY => now,
            true => h.pos + (now - h.pos_at),
            false => h.pos,
        }
    }

    /// An op waits for room for a part of its spare time; one over its tenant's share not at all.
    fn may_wait(&self, turn: &Turn) -> bool {
        let op = self.ops.get(turn.slot);
        let t = &self.types[op.kind];
        let spare = (op.target_at - op.arrived - t.usual) * if op.over_share { 0.0 } else { HOLD_PART };
        turn.now - op.arrived <= spare
    }

    /// Keeps ops off a host that has enough in flight; what has waited too long for room is shed.
    fn pace(&mut self, turn: &mut Turn) -> Step {
        let op = self.ops.get(turn.slot);
        match turn.trial || (turn.host != usize::MAX && self.has_room(turn.now, op, turn.host)) {
            true => Step::Pass,
            false if self.may_wait(turn) => Step::Keep,
            false => Step::End,
        }
    }

    /// The rules. Whatever the stages above chose, a send that breaks one waits.
    fn guard(&mut self, turn: &mut Turn) -> Step {
        let op = self.ops.get(turn.slot);
        let cold = self.cold_room(turn.now, op, turn.host);
        if cold && self.allowed(op, turn.host, turn.now) { Step::Pass } else { Step::Keep }
    }

    // ---- the chain, upwards

    fn guard_back(&mut self, back: &Back) {
        let op = self.ops.get(back.slot);
        let write = self.types[op.kind].facts.consistency == Consistency::Write;
        if self.fixed.remember && write && back.ending == Ending::Acked {
            // `told` has just brought the commit as the host's position.
            let (session, commit) = (op.session, self.hosts[back.host].pos.max(back.sent));
            self.commits.add(session, commit + 1.0, back.now - 4.0 * self.fixed.cold_ms);
        }
    }

    fn pace_back(&mut self, back: &Back) {
        let op = self.ops.get(back.slot);
        let t = &self.types[op.kind];
        // Unanswered it would have taken longer still: ops withdrawn at their target made a jam look well.
        let rest = if back.ending.is_from_host() { 0.0 } else { t.usual };
        let spent = back.now - back.sent + rest;
        let cold = self.warmth(back.sent, back.host) < 1.0;
        let (leads, led) = (self.leads(op), usize::from(self.primary_of(op.group) == Some(back.host)));
        let h = &mut self.hosts[back.host];
        let Some((o, load)) = h.take_out(back.slot, back.sent) else { return };
        h.note_connection(back.ending.is_from_host(), o.dials);
        if back.ending.cannot_have_run() && back.ending != Ending::Full {
            return;
        }
        let late = back.ending == Ending::Full || spent > ALONE_LATE * t.facts.latency_target_ms;
        if cold {
            let least = SHARE_LEAST * self.fixed.cold_fair;
            let part = &mut self.cold[leads];
            *part = (*part * if late { SHARE_CUT } else { SHARE_RISE }).clamp(least, self.fixed.cold_fair);
        }
        if o.spilt {
            self.spill =
                (self.spill * if late { SHARE_CUT } else { SHARE_RISE }).clamp(SHARE_LEAST, SPILL_MOST);
        }
        let strain = (spent / (FAIR_PART * t.facts.latency_target_ms)).min(5.0);
        blend(&mut h.strain, strain, STRAIN_WEIGHT);
        if back.ending == Ending::Acked && !cold {
            self.warm[led].add(back.now, t.usual, 0.0, MEMORY);
        }
        // An op alone on its host was crowded by nobody from here, but if it is late indeed, by all routers.
        let alone = load <= o.weight;
        if alone && leads == 0 && !o.spilt {
            let part = &mut self.groups[op.group].share;
            *part = (*part * if late { TOGETHER_CUT } else { SHARE_RISE }).clamp(SHARE_LEAST, 1.0);
        }
        if alone && (late || h.limit < LIMIT_LEAST) {
            let step = if h.limit > LIMIT_LEAST { CUT } else { SHARE_CUT };
            h.limit = (h.limit * if late { step } else { SHARE_RISE }).max(SHARE_LEAST);
            return;
        }
        let crowded = h.strain > 1.0 && strain > 1.0 && !alone;
        if crowded || back.ending == Ending::Full {
            h.limit = (h.limit.min(load) * CUT).max(LIMIT_LEAST);
            // What is measured next belongs to the new limit: without this, one jam cuts it to the least.
            h.strain = RELAXED;
        } else if back.ending == Ending::Acked && load > 0.7 * h.limit {
            h.limit += 2.0 * (1.0 - h.strain).clamp(0.0, 0.5) * o.weight / h.limit;
        }
    }

    /// The latency average, against what op types usually take. Sends that died count if that raises it.
    fn rotate_back(&mut self, back: &Back) {
        let Op { kind, group, .. } = *self.ops.get(back.slot);
        if self.is_long(kind) && !back.ending.cannot_have_run() {
            let in_time = back.now - back.sent <= ALONE_LATE * self.types[kind].facts.latency_target_ms;
            let most = self.groups[group].members.len().max(2) as f64 - 1.0;
            self.wide = (self.wide * if in_time { NARROW } else { WIDEN }).clamp(1.0, most);
        }
        let spent = (back.now - back.sent) / self.types[kind].usual;
        // A host that errs quickly must not look well: an error counts as an outlier's latency.
        let erred = matches!(back.ending, Ending::Errored | Ending::Spoilt);
        let ratio = if erred { spent.max(2.0 * RHO) } else { spent.min(20.0) };
        let h = &mut self.hosts[back.host];
        let died = matches!(back.ending, Ending::TimedOut | Ending::Withdrawn | Ending::Reset);
        if back.ending == Ending::Acked || erred || (died && ratio > h.lat) {
            blend(&mut h.lat, ratio, if h.ejected { TRIAL_WEIGHT } else { LAT_WEIGHT });
            h.lat_n = h.lat_n.saturating_add(1);
        }
    }

    /// A failed or missed write clears the cached primary, unless this very answer vouches for it.
    fn lead_back(&mut self, back: &Back) {
        let op = self.ops.get_mut(back.slot);
        let t = &self.types[op.kind];
        let turned_away = matches!(back.ending, Ending::Full | Ending::Unreached);
        if turned_away && self.hosts[back.host].claim > f64::NEG_INFINITY {
            // Sent again at once, all that a crowded primary turns away would be back in a moment.
            op.not_before = back.now + 0.5 * t.usual * op.sends.len() as f64;
        }
        if t.facts.consistency != Consistency::Write {
            return;
        }
        let scout = &mut self.groups[op.group].scout;
        *scout = scout.filter(|s| *s != back.slot);
        let h = &mut self.hosts[back.host];
        // What did not get to the host, or came back spoilt, says nothing of its role.
        let failed =
            matches!(back.ending, Ending::Missed | Ending::Errored | Ending::TimedOut | Ending::Reset);
        if failed && h.claim <= back.sent {
            h.unclaim(back.now);
        }
    }

    fn worth_back(&mut self, back: &Back) {
        let (kind, well) = (self.ops.get(back.slot).kind, self.hosts[back.host].usable());
        self.types[kind].note_time(back.now - back.sent, back.ending, well, USUAL_WEIGHT, ALONE_LATE);
    }

    fn may_busy_reply(&self, op: &Op) -> bool {
        match self.types[op.kind].facts.retryability {
            Retryability::Retryable | Retryability::Tokened { anywhere: true, .. } => true,
            _ => !op.sends.iter().any(Send::may_have_run),
        }
    }

    /// Until when the op may be sent, by what of it may have run.
    fn again_until(&self, op: &Op) -> f64 {
        match (self.types[op.kind].facts.retryability, op.sends.iter().find(|s| s.may_have_run())) {
            (_, None) | (Retryability::Retryable, _) => f64::INFINITY,
            (Retryability::Tokened { window_ms, .. }, Some(s)) => s.at + window_ms - self.fixed.beat,
            (Retryability::NonRetryable, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// The same, and by how old the host's data may be where it does not look itself.
    fn begin_by(&self, op: &Op, host: usize) -> f64 {
        let (facts, h) = (&self.types[op.kind].facts, &self.hosts[host]);
        self.again_until(op).min(match facts.consistency {
            _ if self.fixed.checked || h.excused => f64::INFINITY,
            Consistency::Bounded => h.pos + facts.staleness_bound_ms,
            _ if h.pos >= op.need_pos => f64::INFINITY,
            _ => f64::NEG_INFINITY,
        })
    }

    /// True where every rule but the cold budget allows the send.
    fn allowed(&self, op: &Op, host: usize, now: f64) -> bool {
        let h = &self.hosts[host];
        !op.done
            && now < op.give_up
            && h.group == op.group
            && op.sends.len() < self.fixed.max_sends
            && op.outstanding() < self.fixed.copies
            && (now - h.told_at < self.fixed.drain_grace - self.fixed.beat || h.told_at == f64::INFINITY)
            && now < self.begin_by(op, host)
    }

    /// The position that the op's data must have.
    fn need(&self, op: &Op, now: f64) -> f64 {
        match self.types[op.kind].facts.consistency {
            Consistency::Bounded => now - self.types[op.kind].facts.staleness_bound_ms,
            _ => op.need_pos,
        }
    }

    /// Cached primary: the member with the latest claim, else the listed one.
    fn primary_of(&self, group: usize) -> Option<usize> {
        let ready = |m: &&usize| self.hosts[**m].phase == HostState::Ready;
        let members = &self.groups[group].members;
        let claim = |m: &&usize| self.hosts[**m].claim;
        let best = members.iter().filter(ready).max_by(|a, b| claim(a).total_cmp(&claim(b)));
        let best = best.filter(|m| claim(m) > f64::NEG_INFINITY);
        best.or(members.iter().filter(ready).find(|m| self.hosts[**m].listed_primary)).copied()
    }

    /// Something of an op type, against the mean over op types.
    fn against_mean(&self, value: f64, of: impl Fn(&OpType) -> f64) -> f64 {
        value * self.types.len() as f64 / self.types.iter().map(of).sum::<f64>()
    }

    /// A read that any member may answer and that takes long.
    fn is_long(&self, kind: usize) -> bool {
        self.types[kind].facts.consistency == Consistency::Any && self.weight(kind) > LONG
    }

    fn replicas(&self, group: usize) -> impl Iterator<Item = usize> {
        let primary = self.primary_of(group);
        let members = self.groups[group].members.iter().copied();
        members.filter(move |m| self.hosts[*m].phase == HostState::Ready && Some(*m) != primary)
    }

    fn weight(&self, kind: usize) -> f64 {
        self.against_mean(self.types[kind].usual, |t| t.usual).clamp(0.5, 3.0)
    }

    /// Room for one more in flight. A limit under one is the share of ops let through to an idle host.
    fn has_room(&self, now: f64, op: &Op, host: usize) -> bool {
        let h = &self.hosts[host];
        let worth = self.against_mean(op.value / self.types[op.kind].usual, |t| t.facts.value / t.usual);
        // A read goes to whichever replica lets it through: what they let through together has a share of its own.
        let together = if self.leads(op) == 1 { 1.0 } else { self.groups[op.group].share };
        let part = h.limit.min(together);
        let alone = h.out.is_empty() && (part >= LIMIT_LEAST || op.lot < part * worth);
        let fits = h.limit > LIMIT_LEAST && h.load + self.weight(op.kind) <= h.limit;
        // Where connections are dear, an op rather waits for an open one than for a new one.
        let open = now >= self.dear_until || h.idle() > 0 || h.out.is_empty();
        !h.silent && open && (alone || fits) && self.cold_room(now, op, host)
    }

    /// Least possible part of its capacity that a host has by now.
    fn warmth(&self, now: f64, host: usize) -> f64 {
        let age = (now - self.hosts[host].started).max(0.0);
        (self.fixed.cold_share + (1.0 - self.fixed.cold_share) * age / self.fixed.cold_ms).min(1.0)
    }

    /// Work a ms that a warm host of its size does for this router, as a replica or as a primary.
    fn warm_rate(&self, host: usize) -> f64 {
        self.hosts[host].size * self.warm[0].per_ms().max(self.warm[1].per_ms())
    }

    /// Cold budget: this router's part is judged by what it sends to warm hosts of like size. Where that is
    /// less than an op, as with hundreds of routers, chance lets through what it is of all that they bring.
    fn cold_room(&self, now: f64, op: &Op, host: usize) -> bool {
        let (warmth, h, usual) = (self.warmth(now, host), &self.hosts[host], self.types[op.kind].usual);
        let recent = h.recent_work(now - self.fixed.cold_window);
        let budget = self.fixed.cold_multiple * warmth * self.warm_rate(host) * self.fixed.cold_window;
        warmth >= 1.0
            || recent + usual <= budget
            || (recent < THIN * usual
                && op.lot * self.crowd(now, op, host) < self.cold[self.leads(op)] * warmth)
    }

    /// 1 for what must go to the primary, 0 for other reads.
    fn leads(&self, op: &Op) -> usize {
        usize::from(matches!(self.types[op.kind].facts.consistency, Consistency::Write | Consistency::Fresh))
    }

    /// What ops like this bring to the host from here, against what a warm one would be asked for here if all
    /// tenants used their shares. One group is asked too seldom to judge by it alone.
    fn crowd(&self, now: f64, op: &Op, host: usize) -> f64 {
        let (group, groups, leads) = (&self.groups[op.group], self.groups.len() as f64, self.leads(op));
        let asked = group.asked[leads].per_ms().max(self.asked.rates[leads].per_ms() / groups);
        let replicas = || self.replicas(op.group);
        let places: f64 = replicas().filter(|m| self.hosts[*m].usable()).map(|m| self.warmth(now, m)).sum();
        let (part, parts) = match leads == 1 {
            true => (1.0, 1.0),
            // A cold primary has no room for reads that are let through by chance.
            false if self.primary_of(op.group) == Some(host) => return f64::INFINITY,
            false => (self.warmth(now, host) / places.max(0.01), replicas().count() as f64),
        };
        let built_for = self.fixed.full_per_ms * self.asked.per_op(leads) / groups / parts;
        let full = if built_for > 0.0 { built_for } else { self.warm_rate(host) };
        if full > 0.0 && asked > 0.0 { asked * part / full } else { part * parts }
    }

    pub fn tick(&mut self, now: f64, out: &mut dyn Outbox) {
        self.now = now;
        out.wake_after(self.fixed.beat);
        if now >= self.ask_at {
            self.ask_list(now, out);
        }
        self.judge(now, out);
        // With hundreds of routers most beats find nothing to do: what has nothing out and nobody waiting is passed.
        for host in 0..self.hosts.len() {
            self.hosts[host].silent &= self.fixed.may_probe || now < self.hosts[host].trial_at;
            if !self.hosts[host].out.is_empty() {
                self.watch(now, out, host);
            }
        }
        for group in 0..self.groups.len() {
            if self.groups[group].held.is_empty() && self.groups[group].lost_since == f64::INFINITY {
                continue;
            }
            let lost = self.primary_of(group).is_none();
            if let Some(line) = self.groups[group].note_lead(now, lost) {
                out.log(&format!("group {group} {line}"));
            }
            self.again(now, out, group, true);
        }
        for slot in 0..self.ops.slots.len() {
            let Some(op) = &self.ops.slots[slot] else { continue };
            // Just before the target: what ends unserved after it costs more.
            let lost = op.sends.last().is_some_and(|s| s.lost && s.ended.is_none());
            let useless = lost || self.types[op.kind].facts.late_value == 0.0;
            let late = now + self.fixed.beat >= op.target_at && useless;
            if !op.done && (late || now >= op.give_up) {
                self.finish(now, out, slot);
            }
        }
    }

    /// Ejects outliers and lets them back; once a second notes what each host gets done.
    fn judge(&mut self, now: f64, out: &mut dyn Outbox) {
        if now - self.rates_at >= SECOND {
            let span = now - std::mem::replace(&mut self.rates_at, now);
            for h in &mut self.hosts {
                // What was seen of an idle host gets old, the more so where few ops go there.
                h.limit *= if h.limit < LIMIT_LEAST { SHARE_FADE } else { 1.0 };
            }
            // The mean of what warm hosts do from here; with under an op for each the median was nothing.
            let warm = |m: &usize| self.hosts[*m].phase == HostState::Ready && self.warmth(now, *m) >= 1.0;
            for m in (0..self.hosts.len()).filter(warm).collect::<Vec<_>>() {
                let led = usize::from(self.primary_of(self.hosts[m].group) == Some(m));
                self.warm[led].add(now, 0.0, self.hosts[m].size * span, MEMORY);
            }
            self.groups.iter_mut().flat_map(|g| &mut g.asked).for_each(|a| a.add(now, 0.0, span, MEMORY));
            self.asked.rates.iter_mut().for_each(|a| a.add(now, 0.0, span, STORM));
        }
        if !std::mem::take(&mut self.stirred) {
            return;
        }
        let counted = |h: &&Host| h.phase == HostState::Ready && h.lat_n >= LAT_READS && !h.silent;
        let fleet = median(self.hosts.iter().filter(counted).map(|h| h.lat).collect()).unwrap_or(1.0);
        for group in 0..self.groups.len() {
            let members = &self.groups[group].members;
            let lats = members.iter().map(|m| &self.hosts[*m]).filter(counted).map(|h| h.lat).collect();
            // Two slow members of three lift their group's median; the fleet's still tells.
            let base = median(lats).unwrap_or(1.0).min(fleet);
            for m in members.clone() {
                let h = &mut self.hosts[m];
                let outlier = h.lat_n >= LAT_READS && h.lat > RHO * base;
                if outlier != h.ejected {
                    (h.ejected, h.trial_at) = (outlier, now + PROBE_MS);
                    let what = if outlier { "ejected" } else { "back in rotation" };
                    out.log(&format!("host {m} {what}: {:.2} against a median of {base:.2}", h.lat));
                }
            }
        }
    }

    /// Marks sends as lost that later ones overtook or whose host is out of contact, and moves their ops on.
    fn watch(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        let slow = h.lat.max(1.0);
        let late = |o: &Out| now - o.sent > LATE * o.usual * slow;
        // Late sends are lost even where the host answers others: they take no room.
        let silent = h.silent;
        let lost = |o: &Out| late(o) && o.sent < h.heard;
        let gone: Vec<Out> = h.out.iter().filter(|o| silent || lost(o)).cloned().collect();
        h.load = h.out.iter().filter(|o| !lost(o)).map(|o| o.weight).sum();
        for o in gone.into_iter().filter(|o| now - o.sent > o.usual) {
            let op = self.ops.get_mut(o.op);
            op.sends[o.send].lost = true;
            // A scout stuck on a host that answers nothing must not keep the others from looking.
            let scout = &mut self.groups[op.group].scout;
            *scout = scout.filter(|s| *s != o.op);
            let op = self.ops.get(o.op);
            let facts = &self.types[op.kind].facts;
            let led = self.primary_of(op.group).is_some_and(|p| !self.hosts[p].silent);
            let movable = !op.done && !op.sends[o.send].withdrawn && now < self.again_until(op);
            let moves = movable && (facts.consistency != Consistency::Write || led);
            if moves
                && self.fixed.copies > 1
                && op.outstanding() == 1
                && facts.retryability == Retryability::Retryable
            {
                self.advance(now, out, o.op);
            } else if moves && self.fixed.copies == 1 {
                self.call_back(o.op, o.send, out);
            }
        }
    }

    fn probe(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        if !self.fixed.may_probe {
            self.lost_contact(now, out, host, "contact failed");
            // No probe will tell when it is back: an op tries it, after a while.
            let h = &mut self.hosts[host];
            h.trial_at = now + (0.5 * (now - h.down_since)).clamp(PROBE_MS, PROBE_MOST);
        } else if !h.probe_out {
            (h.probe_out, h.probe_at) = (true, now);
            out.probe(host);
        }
    }

    /// Ops have hosts probed whose last word or probe is not recent: probes then cost as ops do, not hosts.
    fn may_ask(&self, now: f64, host: usize) -> bool {
        let h = &self.hosts[host];
        // What is known to be far behind, or has long been down, won't be back before long.
        let led = self.groups[h.group].lost_since == f64::INFINITY;
        let away = if h.down_since < f64::INFINITY { now - h.down_since } else { h.pos_at - h.pos };
        let gap = if led { (0.5 * away).clamp(PROBE_MS, PROBE_MOST) } else { PROBE_MS / 2.0 };
        let due = h.probe_at.max(h.pos_at) + gap;
        self.fixed.may_probe && h.phase == HostState::Ready && !h.probe_out && now >= due
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;

//! Shapes the policy keeps and plain mechanics on them; no choices here.

use crate::{Ending, HostState, OpId, OpTypeSpec, PeerReport, PolicyOptions};
use std::collections::{HashMap, VecDeque, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};

/// What the policy derives from a deployment's terms at start; times in ms.
#[derive(Default)]
pub struct Fixed {
    pub zones: usize,
    pub zone: usize,
    pub beat: f64,
    /// Answers are given this long before the client's time is up.
    pub margin: f64,
    pub over_share_value: f64,
    pub max_sends: usize,
    pub copies: usize,
    pub may_withdraw: bool,
    pub may_probe: bool,
    pub max_retry: f64,
    pub drain_grace: f64,
    pub gone_binds: bool,
    pub ask_every: Option<f64>,
    pub cold_share: f64,
    pub cold_ms: f64,
    /// Cold budget: work allowed in a window, as a multiple of present capacity times one ms.
    pub cold_window: f64,
    pub cold_multiple: f64,
    pub cold_fair: f64,
    /// Reads try replicas that were behind, instead of probes.
    pub tries: bool,
    /// Replicas of a group to which connections are kept before others are opened.
    pub subset: usize,
    /// Ops a ms that all tenants may ask of one router within their shares.
    pub full_per_ms: f64,
    /// Ops in flight that a host starts with from here.
    pub limit: f64,
    /// Least bound of any op type's data.
    pub tightest: f64,
    /// Hosts turn away reads for which they are too far behind.
    pub checked: bool,
    pub remember: bool,
}

impl From<&PolicyOptions> for Fixed {
    /// Takes over what needs no choice.
    fn from(terms: &PolicyOptions) -> Fixed {
        Fixed {
            zones: terms.zone_count,
            zone: terms.zone,
            over_share_value: terms.over_share_value,
            max_sends: terms.max_sends,
            copies: if terms.may_hedge { 2 } else { 1 },
            may_withdraw: terms.may_withdraw,
            may_probe: terms.may_probe,
            max_retry: terms.max_retry_after_ms,
            drain_grace: terms.drain_grace_ms,
            gone_binds: terms.gone_is_binding,
            ask_every: terms.list_poll_interval_ms,
            cold_share: terms.cold_capacity_share.clamp(0.01, 1.0),
            cold_ms: terms.warmup_ms.max(1.0),
            cold_window: terms.overload_window_ms,
            checked: terms.hosts_reject_stale_reads,
            remember: terms.track_session_writes,
            ..Fixed::default()
        }
    }
}

/// All that is known of one database host.
#[derive(Clone, Debug)]
pub struct Host {
    pub group: usize,
    pub zone: usize,
    pub phase: HostState,
    /// Number of the last list or change that named it.
    pub list_no: u64,
    /// When this router was told that the host drains or is gone; infinite while it is ready.
    pub told_at: f64,
    /// Was ever seen listed as draining since it last was ready.
    pub drained: bool,
    pub size: f64,
    pub started: f64,
    /// Latest time at which the host is known to have been primary; -inf without a standing claim.
    pub claim: f64,
    /// Claims up to here are void: a write failed or missed since.
    pub cleared: f64,
    pub listed_primary: bool,
    /// Was primary, and no answer has said otherwise: a read there is excused.
    pub excused: bool,
    /// When others last saw it as primary.
    pub hint: f64,
    /// When the host last said that it is a replica.
    pub replica_at: f64,
    pub pos: f64,
    pub pos_at: f64,
    /// Read latency average, as a multiple of what its ops usually take.
    pub lat: f64,
    pub lat_n: u32,
    pub ejected: bool,
    pub trial_at: f64,
    /// Average of latency over latency target.
    pub strain: f64,
    pub limit: f64,
    pub load: f64,
    pub out: Vec<Out>,
    pub heard: f64,
    pub silent: bool,
    pub down_since: f64,
    /// How long the last failed connection took that no probe has explained yet; 0 for none.
    pub doubt: f64,
    /// Connections held open, in use or idle.
    pub open: usize,
    pub turn: f64,
    pub probe_out: bool,
    pub probe_at: f64,
    /// When a probe's connection was last reset.
    pub reset: Again,
    /// Work sent lately, for the cold budget: (when, ms of work).
    pub recent: VecDeque<(f64, f64)>,
}

/// One outstanding send, as its host's record sees it.
#[derive(Clone, Debug)]
pub struct Out {
    pub op: usize,
    pub send: usize,
    pub sent: f64,
    pub usual: f64,
    pub weight: f64,
    /// A read that fell back to the primary.
    pub spilt: bool,
    /// It had to open a connection.
    pub dials: bool,
}

impl Host {
    pub fn new(group: usize, limit: f64) -> Host {
        Host {
            group,
            zone: usize::MAX,
            phase: HostState::Gone,
            list_no: 0,
            told_at: f64::INFINITY,
            drained: false,
            size: 1.0,
            started: f64::NEG_INFINITY,
            claim: f64::NEG_INFINITY,
            cleared: f64::NEG_INFINITY,
            listed_primary: false,
            excused: false,
            hint: f64::NEG_INFINITY,
            replica_at: f64::NEG_INFINITY,
            pos: f64::NEG_INFINITY,
            pos_at: f64::NEG_INFINITY,
            lat: 1.0,
            lat_n: 0,
            ejected: false,
            trial_at: 0.0,
            strain: 0.0,
            limit,
            load: 0.0,
            out: Vec::new(),
            heard: f64::NEG_INFINITY,
            silent: false,
            down_since: f64::INFINITY,
            doubt: 0.0,
            open: 0,
            turn: 0.0,
            probe_out: false,
            probe_at: f64::NEG_INFINITY,
            reset: Again::default(),
            recent: VecDeque::new(),
        }
    }
}

impl Host {
    pub fn note_work(&mut self, now: f64, work: f64, since: f64) {
        self.recent.retain(|(at, _)| *at > since);
        self.recent.push_back((now, work));
    }

    pub fn recent_work(&self, since: f64) -> f64 {
        self.recent.iter().filter(|(at, _)| *at > since).map(|(_, work)| work).sum()
    }

    /// Where it has been started anew: what was believed of the old process is void, but not its position.
    pub fn note_start(&mut self, started: f64, limit: f64) {
        if started.is_finite() && started > self.started + 1.0 {
            self.limit = self.limit.min(limit);
            (self.started, self.silent, self.down_since) = (started, false, f64::INFINITY);
            self.claim = if self.claim < started { f64::NEG_INFINITY } else { self.claim };
        }
    }

    /// Notes what others say; true where it is a reason to look. How far behind it is counts only where hosts check
    /// reads themselves: else it would stand for freshness.
    pub fn note_peer_fact(&mut self, now: f64, peer_fact: PeerReport, checked: bool) -> bool {
        match peer_fact {
            PeerReport::Primary { at } => self.hint = self.hint.max(at.min(now)),
            PeerReport::ReplicaLag { lag_ms: ms, at } if checked && at > self.pos_at && at <= now => {
                (self.pos, self.pos_at) = (self.pos.max(at - ms.max(0.0)), at);
            }
            PeerReport::ReplicaLag { .. } | PeerReport::Unresponsive => {}
        }
        peer_fact == PeerReport::Unresponsive
    }

    /// When others last saw it as primary, where it is there and has not shown since that it is none; else -inf.
    pub fn hinted(&self) -> f64 {
        let there = self.phase == HostState::Ready && !self.silent;
        let stands = there && self.hint > self.replica_at.max(self.cleared);
        if stands { self.hint } else { f64::NEG_INFINITY }
    }

    /// No longer taken for a primary by what was said up to then.
    pub fn unclaim(&mut self, until: f64) {
        (self.claim, self.listed_primary, self.cleared) = (f64::NEG_INFINITY, false, until);
    }

    /// Ejected, in contact, and due to prove itself.
    pub fn untried(&self, now: f64) -> bool {
        self.ejected && !self.silent && self.trial_at <= now
    }

    /// In contact and not ejected.
    pub fn usable(&self) -> bool {
        !self.silent && !self.ejected
    }

    /// Open connections that no send is using.
    pub fn idle(&self) -> usize {
        self.open.saturating_sub(self.out.iter().filter(|o| !o.dials).count())
    }

    /// A host that spoke keeps the connection; one withdrawn or broken on its way closes it.
    pub fn note_connection(&mut self, heard: bool, dialled: bool) {
        match (heard, dialled) {
            (true, true) => self.open += 1,
            (false, false) => self.open = self.open.saturating_sub(1),
            _ => {}
        }
    }

    /// Whether the op is out on a connection that was open before it.
    pub fn answers_open(&self, op: usize) -> bool {
        self.out.iter().any(|o| o.op == op && !o.dials)
    }

    /// Takes back an outstanding send, with the load as it was with it.
    pub fn take_out(&mut self, op: usize, sent: f64) -> Option<(Out, f64)> {
        let i = self.out.iter().position(|o| o.op == op && o.sent == sent)?;
        let (o, load) = (self.out.swap_remove(i), self.load);
        self.load = if self.out.is_empty() { 0.0 } else { (load - o.weight).max(0.0) };
        Some((o, load))
    }
}

/// One send of an op.
#[derive(Clone, Debug)]
pub struct Send {
    pub host: usize,
    pub at: f64,
    pub ended: Option<Ending>,
    pub withdrawn: bool,
    /// No answer is expected any more.
    pub lost: bool,
}

impl Send {
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|e| !e.cannot_have_run())
    }
}

/// One op, from arrival until its last send has ended.
#[derive(Clone, Debug, Default)]
pub struct Op {
    pub id: OpId,
    pub kind: usize,
    pub group: usize,
    pub session: u64,
    pub arrived: f64,
    /// When its first try is taken to have come.
    pub begun: f64,
    pub target_at: f64,
    pub give_up: f64,
    pub need_pos: f64,
    pub value: f64,
    pub over_share: bool,
    /// Taken for a first try.
    pub first: bool,
    /// Random drawn once, by which the op is let through or not where only a share is.
    pub lot: f64,
    /// Counted among the reads that would fall back to the primary.
    pub spilt: bool,
    /// Counted among what its group is asked for.
    pub counted: bool,
    pub sends: Vec<Send>,
    pub done: bool,
    pub held: bool,
    /// Not to be tried again before this time.
    pub not_before: f64,
}

impl Op {
    pub fn outstanding(&self) -> usize {
        self.sends.iter().filter(|s| s.ended.is_none()).count()
    }
}

/// Ops by slot; slots are reused once an op and all its sends are over.
#[derive(Default)]
pub struct Ops {
    pub slots: Vec<Option<Op>>,
    free: Vec<usize>,
    by_id: HashMap<OpId, usize>,
}

impl Ops {
    pub fn add(&mut self, op: Op) -> usize {
        let id = op.id;
        let slot = self.free.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(Some(op));
        } else {
            self.slots[slot] = Some(op);
        }
        self.by_id.insert(id, slot);
        slot
    }

    pub fn find(&self, id: OpId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn get(&self, slot: usize) -> &Op {
        self.slots[slot].as_ref().expect("a live slot")
    }

    pub fn get_mut(&mut self, slot: usize) -> &mut Op {
        self.slots[slot].as_mut().expect("a live slot")
    }

    /// Frees the slot if the op is answered and nothing of it is out.
    pub fn drop_if_over(&mut self, slot: usize) {
        if self.slots[slot].as_ref().is_some_and(|op| op.done && op.outstanding() == 0) {
            let op = self.slots[slot].take().expect("just seen");
            self.by_id.remove(&op.id);
            self.free.push(slot);
        }
    }
}

/// A group of hosts that hold the same data.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub held: Vec<usize>,
    /// The one write that looks for the primary.
    pub scout: Option<usize>,
    /// Since when no primary is known; infinite while one is.
    pub lost_since: f64,
    pub next_member: usize,
    /// Work that went to the primary as it must, and work of reads that found no replica.
    pub led: Faded,
    pub spilt: Faded,
    /// Share of reads let through to idle replicas, as they all fare.
    pub share: f64,
    /// Work that this router is asked for: reads that replicas may take, and what must go to the primary.
    pub asked: [Rate; 2],
}

impl Group {
    /// Notes whether a primary is known; a line where that has changed and ops wait or waited for it.
    pub fn note_lead(&mut self, now: f64, lost: bool) -> Option<String> {
        if lost && !self.held.is_empty() && self.lost_since == f64::INFINITY {
            self.lost_since = now;
            return Some(format!("has no known primary, {} ops held", self.held.len()));
        }
        if lost || self.lost_since == f64::INFINITY {
            return None;
        }
        let gone = now - std::mem::replace(&mut self.lost_since, f64::INFINITY);
        Some(format!("has a primary again after {gone:.0} ms"))
    }
}

/// Work a ms, averaged over some seconds; where no time counts it stays as it is.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    work: Faded,
    span: Faded,
}

impl Rate {
    pub fn add(&mut self, now: f64, work: f64, span: f64, fade: f64) {
        self.work.add(now, work, fade);
        self.span.add(now, span, fade);
    }

    /// 0 while no time has counted.
    pub fn per_ms(&self) -> f64 {
        if self.span.value > 0.0 { self.work.value / self.span.value } else { 0.0 }
    }
}

/// What this router is asked for in all: work for replicas and work for primaries, and that of first tries.
#[derive(Default)]
pub struct Asked {
    pub rates: [Rate; 2],
    firsts: Faded,
    work: [Faded; 2],
}

impl Asked {
    /// Notes an op; the rates fade sooner than the work of first tries.
    pub fn add(&mut self, now: f64, which: usize, work: f64, first: bool, fades: (f64, f64)) {
        self.rates[which].add(now, work, 0.0, fades.0);
        let first = if first { 1.0 } else { 0.0 };
        self.firsts.add(now, first, fades.1);
        self.work[which].add(now, work * first, fades.1);
        self.work[1 - which].add(now, 0.0, fades.1);
    }

    /// Mean work of that kind in a first try of any kind; no number before the first.
    pub fn per_op(&self, which: usize) -> f64 {
        self.work[which].value / self.firsts.value
    }
}

/// A sum whose parts fade with time.
#[derive(Clone, Debug, Default)]
pub struct Faded {
    pub value: f64,
    at: f64,
}

impl Faded {
    pub fn add(&mut self, now: f64, amount: f64, fade: f64) {
        self.value = self.value * ((self.at - now) / fade).exp() + amount;
        self.at = now;
    }
}

/// Groups are made as they are first named.
pub fn enter(groups: &mut Vec<Group>, group: usize) {
    while groups.len() <= group {
        groups.push(Group { lost_since: f64::INFINITY, share: 1.0, ..Group::default() });
    }
}

/// Puts an op among its group's held ones.
pub fn hold(ops: &mut Ops, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    if !std::mem::replace(&mut op.held, true) {
        groups[op.group].held.push(slot);
    }
}

/// Marks an op as answered; its group no longer waits for it.
pub fn close(ops: &mut Ops, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    op.done = true;
    let group = &mut groups[op.group];
    if std::mem::take(&mut op.held) {
        group.held.retain(|s| *s != slot);
    }
    group.scout = group.scout.filter(|s| *s != slot);
}

/// Has every op given up by then at the latest.
pub fn give_up_by(ops: &mut Ops, by: f64) {
    for op in ops.slots.iter_mut().flatten() {
        op.give_up = op.give_up.min(by);
    }
}

/// Enters a host in the group that the list names, out of the one it was in.
pub fn enroll(groups: &mut Vec<Group>, h: &mut Host, host: usize, group: usize) {
    enter(groups, group);
    if h.group != group {
        let old = std::mem::replace(&mut h.group, group);
        move_member(groups, host, old, group);
    }
}

/// Moves a host from one group to another; a group that was never entered holds nobody.
pub fn move_member(groups: &mut [Group], host: usize, from: usize, to: usize) {
    if let Some(group) = groups.get_mut(from) {
        group.members.retain(|m| *m != host);
    }
    if let Some(group) = groups.get_mut(to) {
        group.members.push(host);
    }
}

/// Whether a host is gone and nothing that is out names it.
pub fn is_over(ops: &Ops, h: &Host, host: usize) -> bool {
    let named = |op: &Op| op.sends.iter().any(|s| s.host == host);
    h.phase == HostState::Gone && h.out.is_empty() && !h.probe_out && !ops.slots.iter().flatten().any(named)
}

/// Makes a host's record as new; its group lets it go.
pub fn forget(groups: &mut [Group], hosts: &mut [Host], host: usize, limit: f64) -> bool {
    let old = std::mem::replace(&mut hosts[host], Host::new(usize::MAX, limit));
    move_member(groups, host, old.group, usize::MAX);
    true
}

/// Tells whether something has happened a short time ago already.
#[derive(Clone, Debug, Default)]
pub struct Again(Option<f64>);

impl Again {
    pub fn within(&mut self, now: f64, ms: f64) -> bool {
        self.0.replace(now).is_some_and(|at| now - at < ms)
    }
}

/// Commits of sessions, forgotten by age; what is forgotten leaves a floor that covers it.
#[derive(Default)]
pub struct Commits {
    by_session: HashMap<u64, f64>,
    order: VecDeque<(u64, f64)>,
    floor: Option<f64>,
}

impl Commits {
    pub fn add(&mut self, session: u64, commit: f64, keep_from: f64) {
        let last = self.by_session.entry(session).or_insert(commit);
        *last = last.max(commit);
        self.order.push_back((session, commit));
        while let Some(&(old, at)) = self.order.front().filter(|(_, at)| *at < keep_from) {
            self.order.pop_front();
            self.floor = Some(self.floor.map_or(at, |f| f.max(at)));
            if self.by_session.get(&old).is_some_and(|last| *last <= at) {
                self.by_session.remove(&old);
            }
        }
    }

    pub fn last(&self, session: u64) -> f64 {
        let known = self.by_session.get(&session).copied();
        known.or(self.floor).unwrap_or(f64::NEG_INFINITY)
    }
}

/// Random from the standard hasher over a seed and a counter; in [0, 1).
#[derive(Default)]
pub struct Random {
    pub seed: u64,
    pub count: u64,
}

impl Random {
    pub fn next_f64(&mut self) -> f64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.count).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Moves an average towards a value.
pub fn blend(average: &mut f64, value: f64, weight: f64) {
    *average += (value - *average) * weight;
}

/// The middle value (the lower of two); none of nothing.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// An op that was given up here, and when its client was told to come back; -inf where it was not told.
struct Gone {
    at: f64,
    kind: usize,
    group: usize,
    begun: f64,
    told: f64,
    /// One like it has come since, which told how long its client took if that was it.
    counted: bool,
}

/// Ops given up here lately: by them their repeats are known where clients come back to the router they left.
pub struct Returns {
    gone: VecDeque<Gone>,
    /// How long after they are given up those come back that keep to no time they were told.
    gap: Commonest,
    /// The part of those given up of whose kind and group one came just when they would come back.
    part: f64,
    /// That is more than chance brings: clients come back to the router that gave them up.
    pub own: bool,
}

impl Default for Returns {
    /// One or two that come just in time are enough where chance hardly brings any: some routers see an op a second.
    fn default() -> Returns {
        let (gone, gap) = (VecDeque::new(), Commonest::default());
        Returns { gone, gap, part: Returns::BEYOND_CHANCE, own: false }
    }
}

impl Returns {
    /// Ops are remembered for so many ms, and so many of them at most.
    const KEPT: f64 = 1000.0;
    const MOST: usize = 128;
    /// Votes by which the commonest gap must lead to be trusted.
    const VOTES: i32 = 2;
    const WEIGHT: f64 = 0.1;
    const BEYOND_CHANCE: f64 = 0.3;

    pub fn gave_up(&mut self, now: f64, op: &Op, wait: f64) {
        if self.gone.len() == Self::MOST {
            self.gone.pop_front();
            blend(&mut self.part, 0.0, Self::WEIGHT);
        }
        let told = if wait > 0.0 { now + wait } else { f64::NEG_INFINITY };
        let (at, kind, group, begun) = (now, op.kind, op.group, op.begun);
        self.gone.push_back(Gone { at, kind, group, begun, told, counted: false });
    }

    /// When the first try came of an op that arrives now, where that is known: its client comes back at once, after
    /// the common gap or when it was told to, to within a beat, or says that it does. `rate` is how many of its kind
    /// and group come in a ms.
    pub fn came_back(
        &mut self,
        now: f64,
        (kind, group): (usize, usize),
        says: Option<bool>,
        rate: f64,
        beat: f64,
    ) -> Option<f64> {
        while self.gone.front().is_some_and(|g| now - g.at > Self::KEPT) {
            self.gone.pop_front();
            blend(&mut self.part, 0.0, Self::WEIGHT);
        }
        let gap = if self.gap.votes >= Self::VOTES { self.gap.value } else { 0.0 };
        let due = |g: &Gone| [g.told, g.at, g.at + gap];
        let off =
            |g: &Gone| due(g).map(|d| (now - d - 0.5 * beat).abs()).into_iter().fold(f64::INFINITY, f64::min);
        let like = |g: &Gone| g.kind == kind && g.group == group && says != Some(false);
        let found = (0..self.gone.len()).filter(|i| like(&self.gone[*i]));
        let found = found.min_by(|a, b| off(&self.gone[*a]).total_cmp(&off(&self.gone[*b])))?;
        let just = off(&self.gone[found]) <= beat;
        let (chance, begun) =
            (1.0 - (-rate * 2.0 * beat * due(&self.gone[found]).len() as f64).exp(), self.gone[found].begun);
        if let Some(last) = self.gone.iter_mut().rfind(|g| like(g)).filter(|g| !g.counted) {
            last.counted = true;
            if !just || gap > 0.0 {
                self.gap.count(now - last.at, beat, true);
            }
        }
        if !(just || self.own && says == Some(true)) {
            return None;
        }
        blend(&mut self.part, 1.0, Self::WEIGHT);
        self.own = self.part > chance + Self::BEYOND_CHANCE;
        self.gone.remove(found);
        self.own.then_some(begun)
    }
}

/// What a stage does with an op.
pub enum Step {
    Pass,
    Keep,
    End,
}

/// One op on its way down the chain.
pub struct Turn {
    pub now: f64,
    pub slot: usize,
    pub host: usize,
    pub trial: bool,
    /// A read that falls back to the primary.
    pub spilt: bool,
    /// Hosts that the op would have probed.
    pub ask: Vec<usize>,
}

/// One ended send on its way up the chain.
pub struct Back {
    pub now: f64,
    pub slot: usize,
    pub host: usize,
    pub sent: f64,
    pub ending: Ending,
}

/// An op type with what is learned of it.
pub struct OpType {
    pub facts: OpTypeSpec,
    /// What answers usually take, and what sends do with those that were not waited for to their end.
    pub usual: f64,
    pub took: f64,
    pub patience: Commonest,
    /// How old first tries are when they are given up.
    pub reply_age: f64,
    /// First tries given up lately, halved every op timeout.
    pub given_up: f64,
    pub given_up_at: f64,
    /// Ops that came lately.
    pub seen: Faded,
}

impl OpType {
    pub fn new(usual: f64, now: f64, facts: OpTypeSpec) -> OpType {
        let patience = Commonest::default();
        OpType {
            facts,
            usual,
            took: usual,
            patience,
            reply_age: 0.0,
            given_up: 0.0,
            given_up_at: now,
            seen: Faded::default(),
        }
    }
    /// Notes how long a send was waited for; `well`: its host is in the rotation. Neither average goes past
    /// the part of the target that is late: made longer by a stall, it would stay, as no op would be sent to
    /// learn better.
    pub fn note_time(&mut self, spent: f64, ending: Ending, well: bool, weight: f64, late: f64) {
        let most = late * self.facts.latency_target_ms;
        if ending == Ending::Acked && well {
            let bounded = spent.min(5.0 * self.usual).max(1.0);
            blend(&mut self.usual, bounded, weight);
            self.usual = self.usual.min(most);
        }
        // What was not waited for to its end would have taken longer still: left out, only quick answers
        // would count.
        let rest = if ending == Ending::Acked { 0.0 } else { self.took };
        if matches!(ending, Ending::Acked | Ending::Withdrawn | Ending::TimedOut) {
            blend(&mut self.took, spent + rest, weight);
            self.took = self.took.min(most);
        }
    }
}

/// Ops a tenant may still send within its share.
pub struct Share {
    pub per_ms: f64,
    pub left: f64,
    pub at: f64,
}

impl Share {
    /// Takes one op; true where it goes beyond the share.
    pub fn is_over(&mut self, now: f64) -> bool {
        let most = (self.per_ms * 1000.0).max(1.0);
        self.left = (self.left + (now - self.at) * self.per_ms).min(most);
        self.at = now;
        let over = self.left < 1.0;
        self.left -= if over { 0.0 } else { 1.0 };
        over
    }
}

/// The commonest of many values, by a running majority vote.
#[derive(Default)]
pub struct Commonest {
    pub value: f64,
    pub votes: i32,
}

impl Commonest {
    /// True where the value is the commonest one, within a band; it is counted if it may vote.
    pub fn count(&mut self, value: f64, band: f64, votes: bool) -> bool {
        let same = (value - self.value).abs() < band;
        if votes {
            self.votes += if same { 1 } else { -1 };
        }
        if self.votes < 0 {
            (self.value, self.votes) = (value, 1);
        }
        same
    }
}

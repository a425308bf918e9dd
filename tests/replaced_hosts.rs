//! Some or a hundred routers, each an instance of the module that sees a few ops a second, before hosts of
//! which two thirds are replaced within a second, primaries too. Virtual time; hosts are a queue and a
//! capacity that warms. Checked: what is served afterwards, and that all routers together push no cold host
//! over.

use magpiewell::policy::Policy;
use magpiewell::state::Random;
use magpiewell::{
    Consistency, Ending, HostEntry, HostState, OpId, OpRequest, OpTypeSpec, Outbox, PolicyOptions,
    Retryability, Role,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const HUNDRED: usize = 100;
const GROUPS: usize = 10;
const MEMBERS: usize = 6;
const REPLACED: usize = 4;
/// What a warm host does at once, where nothing else is said, and the mean work of an op in ms.
const CORES: f64 = 2.0;
const WORK: f64 = 70.0;
const TARGET: f64 = 400.0;
const PATIENCE: f64 = 800.0;
const COLD_SHARE: f64 = 0.25;
const COLD_MS: f64 = 12_000.0;
const FALL: f64 = 2.5;
const WINDOW: f64 = 2000.0;
/// New hosts start, old ones drain, the primaries have moved, and the end.
const START: f64 = 8000.0;
const DRAIN: f64 = 8600.0;
const MOVED: f64 = 8900.0;
const END: f64 = 22_000.0;
/// All routers' ops a second and group, as far as the hosts are built for them.
const BUILT: f64 = 75.0;
const READ: usize = 0;
const WRITE: usize = 1;

fn terms(routers: usize, cores: f64) -> PolicyOptions {
    let op_type = |level, repeat| OpTypeSpec {
        consistency: level,
        retryability: repeat,
        staleness_bound_ms: 0.0,
        latency_target_ms: TARGET,
        value: 1.0,
        late_value: 0.0,
    };
    PolicyOptions {
        routers: routers as f64,
        zone_count: 1,
        zone: usize::MAX,
        tick_ms: 10.0,
        op_types: vec![
            op_type(Consistency::Any, Retryability::Retryable),
            op_type(Consistency::Write, Retryability::Retryable),
        ],
        tenant_rates: vec![BUILT * cores / CORES * GROUPS as f64],
        over_share_value: 0.1,
        max_sends: 4,
        may_hedge: false,
        may_withdraw: true,
        may_probe: true,
        probe_price: 0.0,
        connection_price: 0.0,
        cross_zone_price: 0.0,
        max_retry_after_ms: 1000.0,
        drain_grace_ms: 500.0,
        gone_is_binding: true,
        list_poll_interval_ms: None,
        cold_capacity_share: COLD_SHARE,
        warmup_ms: COLD_MS,
        overload_multiple: FALL,
        overload_window_ms: WINDOW,
        hosts_reject_stale_reads: true,
        track_session_writes: false,
    }
}

enum Act {
    Send(OpId, usize),
    Busy(OpId, f64),
    Error(OpId),
    Probe(usize),
}

#[derive(Default)]
struct Acts(Vec<Act>);

impl Outbox for Acts {
    fn send(&mut self, op: OpId, host: usize, _: f64) {
        self.0.push(Act::Send(op, host));
    }
    fn withdraw(&mut self, _: OpId, _: usize, _: bool) {}
    fn busy_reply(&mut self, op: OpId, retry_ms: f64) {
        self.0.push(Act::Busy(op, retry_ms));
    }
    fn error_reply(&mut self, op: OpId) {
        self.0.push(Act::Error(op));
    }
    fn probe(&mut self, host: usize) {
        self.0.push(Act::Probe(host));
    }
    fn close_idle_connections(&mut self, _: usize) {}
    fn watch_host_list(&mut self) {}
    fn wake_after(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

/// What is to happen, beside a beat of all routers.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client's first try, or a repeat: what it asks, since when, and how often it has.
    Ask {
        router: usize,
        kind: usize,
        group: usize,
        since: f64,
        tries: usize,
    },
    Back {
        router: usize,
        op: OpId,
        send: usize,
        host: usize,
        ending: Ending,
    },
    Probed {
        router: usize,
        host: usize,
    },
    /// The list as it stands by now, told to one router.
    Told {
        router: usize,
    },
}

#[derive(Clone, Default)]
struct Host {
    group: usize,
    /// What it does at once when it is warm.
    cores: f64,
    started: Option<f64>,
    free_at: f64,
    /// Work that came, and when.
    taken: Vec<(f64, f64)>,
}

impl Host {
    fn capacity(&self, now: f64) -> f64 {
        let age = self.started.map_or(COLD_MS, |at| now - at);
        self.cores * (COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_MS).min(1.0)
    }
}

struct Op {
    kind: usize,
    group: usize,
    since: f64,
    tries: usize,
    sends: usize,
    answered: bool,
}

struct Day {
    now: f64,
    routers: Vec<Policy>,
    hosts: Vec<Host>,
    events: Vec<Event>,
    order: BinaryHeap<Reverse<(u64, usize)>>,
    ops: HashMap<OpId, Op>,
    next: OpId,
    chance: Random,
    /// By second of the first try: asked, and served in time.
    asked: Vec<f64>,
    served: Vec<f64>,
}

impl Day {
    fn at(&mut self, when: f64, event: Event) {
        self.events.push(event);
        self.order.push(Reverse(((when * 1000.0) as u64, self.events.len() - 1)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.chance.next_f64()).ln()
    }

    fn primary(&self, group: usize) -> usize {
        if self.now < MOVED { group * MEMBERS } else { GROUPS * MEMBERS + group * REPLACED }
    }

    fn role(&self, host: usize) -> Role {
        if self.primary(self.hosts[host].group) == host { Role::Primary } else { Role::Replica }
    }

    /// The first members of each group are replaced, its primary among them.
    fn tell(&mut self, router: usize) {
        let (now, mut acts) = (self.now, Acts::default());
        let policy = &mut self.routers[router];
        policy.list_started(true, now == 0.0);
        for (no, host) in self.hosts.iter().enumerate() {
            let old = host.started.is_none();
            let leaves = old && no % MEMBERS < REPLACED;
            let phase = if leaves && now >= DRAIN { HostState::Draining } else { HostState::Ready };
            if old || now >= START {
                let started = host.started.unwrap_or(f64::NEG_INFINITY);
                let (group, size, primary, zone) = (host.group, 1.0, false, usize::MAX);
                policy.host_listed(
                    now,
                    no,
                    HostEntry { group, state: phase, capacity: size, started_at: started, primary, zone },
                );
            }
        }
        policy.list_ended(now, &mut acts);
        self.carry_out(router, acts);
    }

    fn carry_out(&mut self, router: usize, acts: Acts) {
        for act in acts.0 {
            match act {
                Act::Probe(host) => self.at(self.now + 3.0, Event::Probed { router, host }),
                Act::Send(op, host) => self.send(router, op, host),
                Act::Error(op) => self.ops.get_mut(&op).unwrap().answered = true,
                Act::Busy(op, retry) => {
                    let o = self.ops.get_mut(&op).unwrap();
                    o.answered = true;
                    let Op { kind, group, since, tries, .. } = *o;
                    let when = self.now + retry.max(50.0);
                    if tries < 3 && when < since + PATIENCE {
                        self.at(when, Event::Ask { router, kind, group, since, tries: tries + 1 });
                    }
                }
            }
        }
    }

    fn send(&mut self, router: usize, op: OpId, host: usize) {
        let (now, work) = (self.now, self.exponential(WORK));
        let misses = self.ops[&op].kind == WRITE && self.role(host) == Role::Replica;
        let o = self.ops.get_mut(&op).unwrap();
        let send = o.sends;
        o.sends += 1;
        if misses {
            return self.at(now + 2.0, Event::Back { router, op, send, host, ending: Ending::Missed });
        }
        let h = &mut self.hosts[host];
        h.taken.push((now, work));
        h.free_at = h.free_at.max(now) + work / h.capacity(now);
        let done = h.free_at.max(now + work) + 1.0;
        self.at(done, Event::Back { router, op, send, host, ending: Ending::Acked });
    }

    fn take(&mut self, event: Event) {
        let (now, mut acts) = (self.now, Acts::default());
        let router = match event {
            Event::Ask { router, kind, group, since, tries } => {
                self.next += 1;
                let op = self.next;
                self.ops.insert(op, Op { kind, group, since, tries, sends: 0, answered: false });
                let (patience, repeat) = (since + PATIENCE - now, Some(tries > 0));
                let (tenant, session, since_write, longer, op_timeout) = (0, 0, None, 0.0, PATIENCE);
                let id = op;
                let facts = OpRequest {
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
                };
                self.routers[router].op_arrived(now, &mut acts, facts);
                router
            }
            Event::Back { router, op, send, host, ending } => {
                let role = self.role(host);
                let o = self.ops.get_mut(&op).unwrap();
                let before = o.answered;
                o.answered |= ending == Ending::Acked;
                if !before && ending == Ending::Acked && now - o.since <= TARGET {
                    self.served[(o.since / 1000.0) as usize] += 1.0;
                }
                let over = o.answered;
                let policy = &mut self.routers[router];
                policy.host_reported(now, host, Some(role), Some(now), true);
                policy.send_ended(now, &mut acts, op, send, ending, over);
                router
            }
            Event::Probed { router, host } => {
                let role = self.role(host);
                let policy = &mut self.routers[router];
                policy.host_reported(now, host, Some(role), Some(now), true);
                policy.probe_ended(now, &mut acts, host, Ending::Acked, 3.0);
                router
            }
            Event::Told { router } => return self.tell(router),
        };
        self.carry_out(router, acts);
    }

    /// Plays a day on which a group is asked so many ops a second by all routers together.
    fn play(routers: usize, cores: f64, rate: f64, seed: u64) -> Day {
        let old = (0..GROUPS * MEMBERS).map(|no| Host { group: no / MEMBERS, cores, ..Host::default() });
        let fresh = (0..GROUPS * REPLACED).map(|no| Host {
            group: no / REPLACED,
            cores,
            started: Some(START),
            ..Host::default()
        });
        let seconds = (END / 1000.0) as usize;
        let mut day = Day {
            now: 0.0,
            routers: Vec::new(),
            hosts: old.chain(fresh).collect(),
            events: Vec::new(),
            order: BinaryHeap::new(),
            ops: HashMap::new(),
            next: 0,
            chance: Random { seed, count: 0 },
            asked: vec![0.0; seconds],
            served: vec![0.0; seconds],
        };
        for router in 0..routers {
            let policy =
                Policy::new(terms(routers, cores), seed * 1000 + router as u64, 0.0, &mut Acts::default());
            day.routers.push(policy);
            day.tell(router);
            for change in [START, DRAIN] {
                let late = 300.0 * day.chance.next_f64();
                day.at(change + late, Event::Told { router });
            }
        }
        let mut when = 0.0;
        while when < END - 2.0 * PATIENCE {
            when += day.exponential(1000.0 / (rate * GROUPS as f64));
            let router = (day.chance.next_f64() * routers as f64) as usize;
            let group = (day.chance.next_f64() * GROUPS as f64) as usize;
            let kind = if day.chance.next_f64() < 0.3 { WRITE } else { READ };
            day.asked[(when / 1000.0) as usize] += 1.0;
            day.at(when, Event::Ask { router, kind, group, since: when, tries: 0 });
        }
        let mut beat = 0.0;
        while beat < END {
            beat += 10.0;
            while let Some(Reverse((at, no))) = day.order.pop() {
                if at as f64 / 1000.0 > beat {
                    day.order.push(Reverse((at, no)));
                    break;
                }
                day.now = day.now.max(at as f64 / 1000.0);
                day.take(day.events[no]);
            }
            day.now = beat;
            for router in 0..routers {
                let mut acts = Acts::default();
                day.routers[router].tick(beat, &mut acts);
                day.carry_out(router, acts);
            }
        }
        day
    }

    /// The part that is served in time, of what was first asked in these seconds.
    fn share(&self, from: usize, to: usize) -> f64 {
        self.served[from..to].iter().sum::<f64>() / self.asked[from..to].iter().sum::<f64>()
    }

    /// What the cold host nearest to it took of what makes it fall, in any window.
    fn pressure(&self) -> f64 {
        let mut worst = 0.0f64;
        for host in self.hosts.iter().filter(|h| h.started.is_some()) {
            let mut first = 0;
            let mut work = 0.0;
            for (at, taken) in &host.taken {
                work += taken;
                while host.taken[first].0 <= at - WINDOW {
                    work -= host.taken[first].1;
                    first += 1;
                }
                if host.capacity(*at) < host.cores {
                    worst = worst.max(work / (FALL * WINDOW * host.capacity(*at)));
                }
            }
        }
        worst
    }

    /// The requests that the cold host nearest to it took of those that make it fall, in any window. That is
    /// more than the settings allow it then, in requests of mean work, by what may come by chance: twice
    /// their root and two.
    fn falls(&self) -> f64 {
        let mut worst = 0.0f64;
        for host in self.hosts.iter().filter(|h| h.started.is_some()) {
            for (last, (at, _)) in host.taken.iter().enumerate() {
                let window = host.taken[..=last].iter().rev().take_while(|(then, _)| *then > at - WINDOW);
                let allowed = FALL * WINDOW * host.capacity(*at) / WORK;
                let falls_at = allowed + 2.0 * allowed.sqrt() + 2.0;
                if host.capacity(*at) < host.cores {
                    worst = worst.max(window.count() as f64 / falls_at);
                }
            }
        }
        worst
    }
}

/// Days of join, roll and herd: routers that see less than an op a window and host each had no room for any on a
/// cold one, so that for ten seconds and more most of what came was refused unsent.
#[test]
fn hundreds_of_routers_serve_on_while_hosts_are_replaced_and_push_none_over() {
    let day = Day::play(HUNDRED, CORES, 0.5 * BUILT, 1);
    let (before, after, late) = (day.share(4, 8), day.share(9, 14), day.share(14, 20));
    let pressure = day.pressure();
    let line = format!("before {before:.3}, after {after:.3}, late {late:.3}, {pressure:.2} of a fall");
    println!("{line}");
    assert!(before > 0.95 && after > 0.72 && late > 0.85 && pressure < 0.9, "{line}");
}

/// At twice what hosts are built for, and clients that come again on top: without the cold rule 1.35 of a fall.
#[test]
fn under_more_than_they_are_built_for_cold_hosts_are_not_pushed_over() {
    let day = Day::play(HUNDRED, CORES, 2.0 * BUILT, 3);
    let (after, pressure) = (day.share(9, 14), day.pressure());
    let line = format!("after {after:.3}, {pressure:.2} of a fall");
    println!("{line}");
    assert!(after > 0.1 && pressure < 0.9, "{line}");
}

/// A day of throng: few processes of which each sees enough to fill a small cold host, and what hosts are
/// built for or several times that. Without the cold rule 1.01 to 1.12 of a fall on the last three.
#[test]
fn a_few_dozen_routers_together_push_no_cold_host_over() {
    let days = [
        (20, CORES, 1.0, 1, 0.8),
        (20, 0.5, 3.0, 1, 0.1),
        (30, 0.5, 4.0, 5, 0.05),
        (36, 0.5, 4.0, 6, 0.05),
        (36, 0.25, 3.0, 6, 0.05),
    ];
    for (routers, cores, load, seed, least) in days {
        let day = Day::play(routers, cores, load * BUILT * cores / CORES, seed);
        let (late, falls) = (day.share(14, 20), day.falls());
        let line = format!("{routers} routers, {cores} cores: late {late:.3}, {falls:.2} of a fall");
        println!("{line}");
        assert!(falls < 0.7 && late > least, "{line}");
    }
}

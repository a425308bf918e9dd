//! The thread between this router and its peers: a socket, a timer, and what the decision thread has observed. It
//! decides nothing: `magpiewell_tier` says which datagrams and events come of it.

use crate::event::Event;
use crate::shared::Shared;
use crossbeam_channel::{Receiver, Sender};
use magpiewell_facts::{Observation, Sizes};
use magpiewell_peers::Key;
use magpiewell_terms::startup::StartupOptions;
use magpiewell_terms::tier::TierOptions;
use magpiewell_tier::{Dropped, Identity, Limits, Output, Sent, Tier, ZoneChange};
use magpiewell_zones::Reachability;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SOCKET: Token = Token(0);
const WAKE: Token = Token(1);
/// How often, in a probe period, primaries are asked for while they are changing.
const PULLS_PER_PROBE_PERIOD: f64 = 2.0;
/// How long an ack is waited for: a probe period has so many such times.
const ACK_TIMEOUTS_PER_PROBE_PERIOD: f64 = 5.0;
/// A tick that is late by so many ticks shows that the process was stopped.
const TICKS_OF_A_PAUSE: f64 = 4.0;

/// Passes what the decision thread has observed to the thread between peers.
pub struct ObservationSender {
    to: Sender<Observation>,
    waker: Waker,
}

impl ObservationSender {
    /// Passes an observation on; never waits.
    pub fn send(&self, observation: Observation) {
        // Full: this observation is not passed on; it will be made again.
        if self.to.try_send(observation).is_ok() {
            drop(self.waker.wake());
        }
    }
}

/// The work of the thread between this router and its peers.
pub struct Peers {
    shared: Arc<Shared>,
    events: Sender<Event>,
    socket: UdpSocket,
    poll: Poll,
    observations: Receiver<Observation>,
    tier: Tier,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    dropped: Dropped,
    /// Groups and hosts whose facts were dropped for want of room, as last logged.
    evicted: u64,
    strangers: u64,
}

/// The thread's work, not yet running; none where the platform does not let routers tell one another
/// anything. An error names the address.
pub fn new(
    shared: &Arc<Shared>,
    events: Sender<Event>,
    start: &StartupOptions,
    terms: &TierOptions,
) -> Result<Option<(Peers, ObservationSender)>, String> {
    let Some(roster) = start.roster.clone()? else { return Ok(None) };
    let listen = roster.listen_addr;
    let open = || {
        let poll = Poll::new()?;
        let mut socket = UdpSocket::bind(listen)?;
        poll.registry().register(&mut socket, SOCKET, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        Ok((poll, socket, waker))
    };
    let opened = open().map_err(|e: std::io::Error| format!("cannot hear peers at {listen}: {e}"));
    let (poll, socket, waker) = opened?;
    let (to, observations) = crossbeam_channel::bounded(shared.limits.max_observations);
    let limits = limits(terms, shared.limits.peers_tick);
    let zone = u8::try_from(start.terms.zone).ok();
    let started = shared.clock.now().max(0.0) as u64;
    let key = terms.key.as_deref().map(Key::new);
    let identity = Identity { local: roster.local, roster_size: roster.addrs.len(), zone, started };
    let tier = Tier::new(identity, start.seed, key, limits).map_err(|e| format!("'peers': {e}"))?;
    let numbers = roster.addrs.iter().copied().zip(0..).collect();
    let (shared, peers) = (shared.clone(), roster.addrs);
    let dropped = Dropped::default();
    let peers = Peers {
        shared,
        events,
        socket,
        poll,
        observations,
        tier,
        peers,
        numbers,
        dropped,
        evicted: 0,
        strangers: 0,
    };
    Ok(Some((peers, ObservationSender { to, waker })))
}

/// The limits of a tier whose template says this, and whose time is advanced so often.
pub fn limits(terms: &TierOptions, tick: Duration) -> Limits {
    let mut limits = Limits {
        fanout: terms.fanout,
        urgent_burst: terms.urgent_burst,
        urgent_per_second: terms.urgent_per_second,
        unresponsive_quorum: terms.unresponsive_quorum,
        zone_evidence: terms.zone_evidence,
        pull_facts: terms.pull_facts,
        pull_period: terms.probe_period_ms / PULLS_PER_PROBE_PERIOD,
        ..Limits::default()
    };
    limits.members.probe_period = terms.probe_period_ms;
    limits.members.ack_timeout = terms.probe_period_ms / ACK_TIMEOUTS_PER_PROBE_PERIOD;
    limits.members.pause_threshold = tick.as_secs_f64() * 1_000.0 * TICKS_OF_A_PAUSE;
    limits
}

impl Peers {
    /// Runs until the router is asked to stop: then says that it leaves, and ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(16);
        let mut buf = [0; 2 * magpiewell_peers::MAX_DATAGRAM];
        let (mut tick_at, mut figures_at) = (0.0, self.shared.clock.now() + self.shared.limits.figures_ms);
        loop {
            let wait = self.shared.clock.until(tick_at).min(self.shared.limits.peers_tick);
            match self.poll.poll(&mut events, Some(wait.max(Duration::from_millis(1)))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "peers can't be heard");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            if self.shared.is_stopping() {
                let output = self.tier.leave(self.shared.clock.now());
                self.perform(output);
                let Sent { datagrams, bytes } = self.tier.sent();
                return tracing::info!(datagrams, bytes, "told peers that this router leaves");
            }
            self.receive_datagrams(&mut buf);
            self.take_observations();
            let now = self.shared.clock.now();
            if now >= tick_at {
                tick_at = now + self.shared.limits.peers_tick.as_secs_f64() * 1_000.0;
                let output = self.tier.tick(now);
                self.perform(output);
            }
            if now >= figures_at {
                figures_at = now + self.shared.limits.figures_ms;
                self.figures();
            }
        }
    }

    /// Takes in all datagrams that have arrived.
    fn receive_datagrams(&mut self, buf: &mut [u8]) {
        while let Ok((length, from)) = self.socket.recv_from(buf) {
            let Some(member) = self.numbers.get(&from) else {
                self.strangers += 1;
                continue;
            };
            let output = self.tier.receive(self.shared.clock.now(), *member, &buf[..length]);
            self.perform(output);
        }
    }

    /// Takes in all that the decision thread has observed meanwhile.
    fn take_observations(&mut self) {
        while let Ok(observation) = self.observations.try_recv() {
            let output = self.tier.observe(self.shared.clock.now(), observation);
            self.perform(output);
        }
    }

    /// Sends the datagrams and passes the events to the decision thread.
    fn perform(&mut self, output: Output) {
        for datagram in output.datagrams {
            if let Some(to) = self.peers.get(usize::from(datagram.to)) {
                // Not taken: as lost on the way.
                drop(self.socket.send_to(&datagram.bytes, *to));
            }
        }
        output.zone_changes.iter().for_each(log_zone_change);
        if !output.events.is_empty() {
            drop(self.events.send(Event::PeerFacts(output.events)));
        }
    }

    /// Logs counts, and what was dropped since they were last logged.
    fn figures(&mut self) {
        let (Sent { datagrams, bytes }, dropped) = (self.tier.sent(), self.tier.dropped());
        let counted = self.tier.members().counted_size();
        let Sizes { groups, hosts, queued: waiting, evicted } = self.tier.facts().sizes();
        tracing::info!(counted, datagrams, bytes, groups, hosts, waiting, strangers = self.strangers, "tier");
        if dropped != self.dropped {
            tracing::warn!(?dropped, "peers' datagrams were dropped");
            self.dropped = dropped;
        }
        if evicted != self.evicted {
            tracing::warn!(evicted, groups, hosts, "there are more groups or hosts than facts are kept of");
            self.evicted = evicted;
        }
    }
}

/// Says what is believed of a zone, and that a silent one may be lost or cut off.
fn log_zone_change(change: &ZoneChange) {
    let ZoneChange { zone, reachability, members } = *change;
    match reachability {
        Reachability::Reachable => tracing::info!(zone, members, "zone is heard again"),
        Reachability::LostOrCutOff => {
            tracing::warn!(zone, members, "zone is silent: lost or cut off; its routers don't count");
        }
        Reachability::CutOff => {
            tracing::warn!(
                zone,
                members,
                "zone is silent, with half of the routers or more: a cut; all count on"
            );
        }
    }
}

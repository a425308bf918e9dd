//! The peer thread: exchanges datagrams with the other routers of the tier. Its inputs are a socket, a timer
//! and the observations of the decision thread. The protocol is in `magpiewell_tier`, which decides what to
//! send and which events to report.

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
/// How often per probe period missing primaries are requested while primaries are changing.
const PULLS_PER_PROBE_PERIOD: f64 = 2.0;
/// The timeout of an ack is the probe period divided by this.
const ACK_TIMEOUTS_PER_PROBE_PERIOD: f64 = 5.0;
/// A tick that is late by this many ticks shows that the process was paused.
const PAUSE_THRESHOLD_TICKS: f64 = 4.0;

/// Passes observations of the decision thread to the peer thread.
pub struct ObservationSender {
    sender: Sender<Observation>,
    waker: Waker,
}

impl ObservationSender {
    /// Passes an observation on; never blocks.
    pub fn send(&self, observation: Observation) {
        // If the queue is full the observation is dropped; it will be made again.
        if self.sender.try_send(observation).is_ok() {
            drop(self.waker.wake());
        }
    }
}

/// The peer thread's state.
pub struct PeerLoop {
    shared: Arc<Shared>,
    events: Sender<Event>,
    socket: UdpSocket,
    poll: Poll,
    observations: Receiver<Observation>,
    tier: Tier,
    /// Addresses of the tier's members, by member id.
    member_addrs: Vec<SocketAddr>,
    /// Member ids by address.
    member_ids: HashMap<SocketAddr, u16>,
    /// Datagrams dropped, as last logged.
    dropped: Dropped,
    /// Groups and hosts whose facts were evicted because the store was full, as last logged.
    evicted: u64,
    /// Datagrams from addresses that are no member's.
    unknown_senders: u64,
}

/// The peer loop, not running yet; `None` if routers may not exchange anything. Errors name the address.
pub fn new(
    shared: &Arc<Shared>,
    events: Sender<Event>,
    startup_options: &StartupOptions,
    tier_options: &TierOptions,
) -> Result<Option<(PeerLoop, ObservationSender)>, String> {
    let Some(roster) = startup_options.roster.clone()? else { return Ok(None) };
    let listen_addr = roster.listen_addr;
    let open = || {
        let poll = Poll::new()?;
        let mut socket = UdpSocket::bind(listen_addr)?;
        poll.registry().register(&mut socket, SOCKET, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        Ok((poll, socket, waker))
    };
    let opened = open().map_err(|e: std::io::Error| format!("cannot listen for peers at {listen_addr}: {e}"));
    let (poll, socket, waker) = opened?;
    let (sender, observations) = crossbeam_channel::bounded(shared.limits.max_observations);
    let limits = limits(tier_options, shared.limits.peers_tick);
    let zone = u8::try_from(startup_options.policy_options.zone).ok();
    let started_at = shared.clock.now().max(0.0) as u64;
    let key = tier_options.key.as_deref().map(Key::new);
    let identity = Identity { local: roster.local, roster_size: roster.addrs.len(), zone, started_at };
    let tier = Tier::new(identity, startup_options.seed, key, limits).map_err(|e| format!("'peers': {e}"))?;
    let member_ids = roster.addrs.iter().copied().zip(0..).collect();
    let (shared, member_addrs) = (shared.clone(), roster.addrs);
    let dropped = Dropped::default();
    let peer_loop = PeerLoop {
        shared,
        events,
        socket,
        poll,
        observations,
        tier,
        member_addrs,
        member_ids,
        dropped,
        evicted: 0,
        unknown_senders: 0,
    };
    Ok(Some((peer_loop, ObservationSender { sender, waker })))
}

/// The limits of a tier with these options, whose protocol is ticked at this interval.
pub fn limits(options: &TierOptions, tick: Duration) -> Limits {
    let mut limits = Limits {
        fanout: options.fanout,
        urgent_burst: options.urgent_burst,
        urgent_per_second: options.urgent_per_second,
        unresponsive_quorum: options.unresponsive_quorum,
        zone_evidence: options.zone_evidence,
        pull_facts: options.pull_facts,
        pull_period_ms: options.probe_period_ms / PULLS_PER_PROBE_PERIOD,
        ..Limits::default()
    };
    limits.members.probe_period_ms = options.probe_period_ms;
    limits.members.ack_timeout_ms = options.probe_period_ms / ACK_TIMEOUTS_PER_PROBE_PERIOD;
    limits.members.pause_threshold_ms = tick.as_secs_f64() * 1_000.0 * PAUSE_THRESHOLD_TICKS;
    limits
}

impl PeerLoop {
    /// Runs until the router is asked to stop, then announces its departure to peers and ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(16);
        let mut buf = [0; 2 * magpiewell_peers::MAX_DATAGRAM_BYTES];
        let (mut tick_at, mut figures_at) = (0.0, self.shared.clock.now() + self.shared.limits.figures_ms);
        loop {
            let wait = self.shared.clock.until(tick_at).min(self.shared.limits.peers_tick);
            match self.poll.poll(&mut events, Some(wait.max(Duration::from_millis(1)))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "cannot poll the peer socket");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            if self.shared.is_stopping() {
                let output = self.tier.leave(self.shared.clock.now());
                self.handle_output(output);
                let Sent { datagrams, bytes } = self.tier.sent();
                return tracing::info!(datagrams, bytes, "announced departure to peers");
            }
            self.receive_datagrams(&mut buf);
            self.process_observations();
            let now = self.shared.clock.now();
            if now >= tick_at {
                tick_at = now + self.shared.limits.peers_tick.as_secs_f64() * 1_000.0;
                let output = self.tier.tick(now);
                self.handle_output(output);
            }
            if now >= figures_at {
                figures_at = now + self.shared.limits.figures_ms;
                self.log_figures();
            }
        }
    }

    /// Processes all datagrams that have arrived.
    fn receive_datagrams(&mut self, buf: &mut [u8]) {
        while let Ok((length, from)) = self.socket.recv_from(buf) {
            let Some(member) = self.member_ids.get(&from) else {
                self.unknown_senders += 1;
                continue;
            };
            let output = self.tier.receive(self.shared.clock.now(), *member, &buf[..length]);
            self.handle_output(output);
        }
    }

    /// Processes all queued observations of the decision thread.
    fn process_observations(&mut self) {
        while let Ok(observation) = self.observations.try_recv() {
            let output = self.tier.observe(self.shared.clock.now(), observation);
            self.handle_output(output);
        }
    }

    /// Sends datagrams, logs zone changes, and passes events to the decision thread.
    fn handle_output(&mut self, output: Output) {
        for datagram in output.datagrams {
            if let Some(addr) = self.member_addrs.get(usize::from(datagram.to)) {
                // A failed send counts as a lost datagram, which the protocol tolerates.
                drop(self.socket.send_to(&datagram.bytes, *addr));
            }
        }
        output.zone_changes.iter().for_each(log_zone_change);
        if !output.events.is_empty() {
            drop(self.events.send(Event::PeerFacts(output.events)));
        }
    }

    /// Logs counts, and warns if datagrams were dropped or facts evicted since they were last logged.
    fn log_figures(&mut self) {
        let (Sent { datagrams, bytes }, dropped) = (self.tier.sent(), self.tier.dropped());
        let counted = self.tier.members().counted_size();
        let Sizes { groups, hosts, queued: waiting, evicted } = self.tier.facts().sizes();
        tracing::info!(
            counted,
            datagrams,
            bytes,
            groups,
            hosts,
            waiting,
            strangers = self.unknown_senders,
            "tier"
        );
        if dropped != self.dropped {
            tracing::warn!(?dropped, "dropped datagrams from peers");
            self.dropped = dropped;
        }
        if evicted != self.evicted {
            tracing::warn!(
                evicted,
                groups,
                hosts,
                "evicted facts: more groups or hosts than the fact store holds"
            );
            self.evicted = evicted;
        }
    }
}

/// Logs a zone's new reachability.
fn log_zone_change(change: &ZoneChange) {
    let ZoneChange { zone, reachability, members } = *change;
    match reachability {
        Reachability::Reachable => tracing::info!(zone, members, "zone is reachable again"),
        Reachability::LostOrCutOff => {
            tracing::warn!(
                zone,
                members,
                "zone is unreachable: lost or cut off; its routers are not counted"
            );
        }
        Reachability::CutOff => {
            tracing::warn!(
                zone,
                members,
                "zone is unreachable, with half of the routers or more: partitioned; all stay counted"
            );
        }
    }
}

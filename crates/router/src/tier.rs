//! The thread between this router and its peers: a socket, a beat, and what the decision thread has seen. It
//! decides nothing: `magpiewell_tier` says what goes out and what the decisions are told.

use crate::event::Event;
use crate::shared::Shared;
use crossbeam_channel::{Receiver, Sender};
use magpiewell_facts::{Observation, Sizes};
use magpiewell_peers::Key;
use magpiewell_terms::start::Start;
use magpiewell_terms::tier::TierTerms;
use magpiewell_tier::{Done, Dropped, Limits, Tier};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SOCKET: Token = Token(0);
const WAKE: Token = Token(1);

/// Where the decision thread tells what it has seen.
pub struct Saws {
    to: Sender<Observation>,
    waker: Waker,
}

impl Saws {
    pub fn tell(&self, what: Observation) {
        // Full: what is seen now is not told; it will be seen again.
        if self.to.try_send(what).is_ok() {
            drop(self.waker.wake());
        }
    }
}

pub struct Peers {
    shared: Arc<Shared>,
    events: Sender<Event>,
    socket: UdpSocket,
    poll: Poll,
    saws: Receiver<Observation>,
    tier: Tier,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    dropped: Dropped,
    strangers: u64,
}

/// The thread's work, not yet running; none where the platform does not let routers tell one another
/// anything. An error names the address.
pub fn new(
    shared: &Arc<Shared>,
    events: Sender<Event>,
    start: &Start,
    terms: &TierTerms,
) -> Result<Option<(Peers, Saws)>, String> {
    let Some(roster) = start.roster.clone()? else { return Ok(None) };
    let listen = roster.listen;
    let open = || {
        let poll = Poll::new()?;
        let mut socket = UdpSocket::bind(listen)?;
        poll.registry().register(&mut socket, SOCKET, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        Ok((poll, socket, waker))
    };
    let opened = open().map_err(|e: std::io::Error| format!("cannot hear peers at {listen}: {e}"));
    let (poll, socket, waker) = opened?;
    let (to, saws) = crossbeam_channel::bounded(shared.limits.saws);
    let mut limits = Limits {
        fan: terms.fan,
        burst: terms.burst,
        refill: terms.refill,
        silent: terms.silent,
        ..Limits::default()
    };
    limits.members.probe_period = terms.period_ms;
    limits.members.ack_timeout = terms.period_ms / 5.0;
    limits.members.pause_threshold = shared.limits.peers_beat.as_secs_f64() * 4_000.0;
    let zone = u8::try_from(start.terms.zone).ok();
    let started = shared.clock.now().max(0.0) as u64;
    let key = terms.key.as_deref().map(Key::new);
    let tier = Tier::new((roster.me, roster.peers.len()), zone, started, start.seed, key, limits);
    let numbers = roster.peers.iter().copied().zip(0..).collect();
    let (shared, peers) = (shared.clone(), roster.peers);
    let dropped = Dropped::default();
    let peers = Peers { shared, events, socket, poll, saws, tier, peers, numbers, dropped, strangers: 0 };
    Ok(Some((peers, Saws { to, waker })))
}

impl Peers {
    /// Runs until the router is asked to stop: then says that it leaves, and ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(16);
        let mut buf = [0; 2 * magpiewell_peers::MAX_DATAGRAM];
        let (mut beat_at, mut figures_at) = (0.0, self.shared.clock.now() + self.shared.limits.figures_ms);
        loop {
            let wait = self.shared.clock.until(beat_at).min(self.shared.limits.peers_beat);
            match self.poll.poll(&mut events, Some(wait.max(Duration::from_millis(1)))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "peers can't be heard");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            if self.shared.is_stopping() {
                let done = self.tier.leave(self.shared.clock.now());
                self.carry_out(done);
                let (datagrams, bytes) = self.tier.sent;
                return tracing::info!(datagrams, bytes, "told peers that this router leaves");
            }
            while let Ok((length, from)) = self.socket.recv_from(&mut buf) {
                match self.numbers.get(&from) {
                    Some(no) => {
                        let done = self.tier.heard(self.shared.clock.now(), *no, &buf[..length]);
                        self.carry_out(done);
                    }
                    None => self.strangers += 1,
                }
            }
            while let Ok(what) = self.saws.try_recv() {
                let done = self.tier.saw(self.shared.clock.now(), what);
                self.carry_out(done);
            }
            let now = self.shared.clock.now();
            if now >= beat_at {
                beat_at = now + self.shared.limits.peers_beat.as_secs_f64() * 1_000.0;
                let done = self.tier.beat(now);
                self.carry_out(done);
            }
            if now >= figures_at {
                figures_at = now + self.shared.limits.figures_ms;
                self.figures();
            }
        }
    }

    fn carry_out(&mut self, done: Done) {
        for out in done.out {
            if let Some(to) = self.peers.get(usize::from(out.to)) {
                // Not taken: as lost on the way.
                drop(self.socket.send_to(&out.bytes, *to));
            }
        }
        if !done.peer_facts.is_empty() {
            drop(self.events.send(Event::PeerFacts(done.peer_facts)));
        }
    }

    fn figures(&mut self) {
        let ((datagrams, bytes), d) = (self.tier.sent, self.tier.dropped);
        let counted = self.tier.members().counted().count();
        let Sizes { groups, hosts, queued: waiting } = self.tier.facts().sizes();
        tracing::info!(counted, datagrams, bytes, groups, hosts, waiting, strangers = self.strangers, "tier");
        if d != self.dropped {
            tracing::warn!(dropped = ?d, "peers' datagrams were dropped");
            self.dropped = d;
        }
    }
}

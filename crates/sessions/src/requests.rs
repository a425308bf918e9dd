//! Requests to the other routers of the tier for a session's position: sent once a read has arrived, resolved
//! once all have replied. The decision thread owns them; datagrams are sent and received elsewhere.
//!
//! A reply counts for a read only if it was requested after that read had arrived: a write acknowledged
//! through a peer before then is in the peer's reply, as a router records a commit before it writes the
//! client's answer. So loss, delay, duplication and reordering can cost a reply, never make it wrong.
//!
//! A peer that has not replied to several requests in a row is silent. It may still acknowledge writes of its
//! own clients, so until a message from it arrives, reads are resolved as fresh reads at once instead of
//! waiting for its replies. Times are in ms.

use crate::peer_set::{MAX_PEERS, PeerSet};
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeSet, HashMap};

/// The requests per second divided by those that may be sent in one burst.
const BURSTS_PER_SECOND: f64 = 10.0;

/// Intervals and limits of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A request without a reply is retried after this time.
    pub retry_interval_ms: f64,
    /// How many times a request is sent in total.
    pub max_attempts: u32,
    /// A peer is silent once it has left this many requests in a row unanswered.
    pub max_misses: u32,
    /// Silent peers are pinged at this interval.
    pub ping_interval_ms: f64,
    /// Requests sent to peers per second; beyond it, reads are resolved as fresh reads at once. A tenth of it
    /// may be sent in one burst.
    pub requests_per_second: f64,
    /// Reads that may wait for replies at the same time; further ones are resolved as fresh reads at once.
    pub max_waiting_reads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            retry_interval_ms: 4.0,
            max_attempts: 6,
            max_misses: 3,
            ping_interval_ms: 250.0,
            requests_per_second: 20_000.0,
            max_waiting_reads: 4_096,
        }
    }
}

/// The log position that a host must have reached to answer a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequiredPosition {
    /// At least this one, in Unix ms; minus infinity where the session has written nothing.
    AtLeast(f64),
    /// Not known in time: the host must be as current as for a fresh read.
    Fresh,
}

/// What the owner must do, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a peer; several may travel in one datagram.
    Request { peer: usize, request: u64, session: u64 },
    /// The read may be routed.
    Resolved { read: u64, required: RequiredPosition },
    /// Send a ping to a silent peer.
    Ping { peer: usize },
}

/// A read that waits for replies.
#[derive(Clone, Debug)]
struct WaitingRead {
    read: u64,
    session: u64,
    /// The largest position known so far.
    position: f64,
    /// Peers that have not replied yet.
    unanswered: PeerSet,
    attempts: u32,
    retry_at: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Requests in a row that it left unanswered.
    misses: u32,
    pinged_at: Option<f64>,
}

/// The requests to the other routers of a tier. It has at most 64 peers; a larger tier is refused where it is
/// configured.
#[derive(Clone, Debug)]
pub struct PositionRequests {
    limits: Limits,
    peers: Vec<Peer>,
    /// Waiting reads by the number of their request.
    waiting: HashMap<u64, WaitingRead>,
    /// The whole ms at which retries are due, and the numbers of their requests.
    retries: BTreeSet<(u64, u64)>,
    next_request: u64,
    rate_limiter: TokenBucket,
    pub counts: Counts,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads resolved with a known position.
    pub known: u64,
    /// Reads resolved as fresh reads.
    pub fresh: u64,
    /// Requests sent to peers.
    pub requests: u64,
}

/// A time as a sort key of the retries: whole ms, rounded up.
fn whole_ms(time: f64) -> u64 {
    time.max(0.0).ceil() as u64
}

impl PositionRequests {
    /// The requests of a router with `peers` other routers in its tier. They are numbered from
    /// `first_request`, which differs for each incarnation of the router, so that late replies to an earlier
    /// one match no request of this one.
    pub fn new(peers: usize, limits: Limits, first_request: u64) -> PositionRequests {
        PositionRequests {
            limits,
            peers: vec![Peer::default(); peers.min(MAX_PEERS)],
            waiting: HashMap::new(),
            retries: BTreeSet::new(),
            next_request: first_request,
            rate_limiter: TokenBucket::new(
                limits.requests_per_second,
                limits.requests_per_second / BURSTS_PER_SECOND,
            ),
            counts: Counts::default(),
        }
    }

    /// The number of silent peers.
    pub fn silent_peers(&self) -> usize {
        self.silent_set().len() as usize
    }

    /// The number of reads that wait for replies.
    pub fn waiting_reads(&self) -> usize {
        self.waiting.len()
    }

    /// When [`PositionRequests::tick`] is due next; `None` while no read waits and no peer is silent.
    pub fn next_tick_at(&self, now: f64) -> Option<f64> {
        let retry = self.retries.first().map(|(due, _)| *due as f64);
        let ping = (self.silent_peers() > 0).then_some(now + self.limits.ping_interval_ms);
        match (retry, ping) {
            (Some(retry), Some(ping)) => Some(retry.min(ping)),
            (retry, ping) => retry.or(ping),
        }
    }

    /// A read has arrived; `own_position` is what this router itself knows of its session.
    pub fn read_arrived(
        &mut self,
        now: f64,
        read: u64,
        session: u64,
        own_position: f64,
        actions: &mut Vec<Action>,
    ) {
        if self.peers.is_empty() {
            return self.resolve(read, RequiredPosition::AtLeast(own_position), actions);
        }
        let is_full = self.waiting.len() >= self.limits.max_waiting_reads;
        if self.silent_peers() > 0 || is_full || !self.take_tokens(now, self.peers.len() as u32) {
            return self.resolve(read, RequiredPosition::Fresh, actions);
        }
        let request = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        let unanswered: PeerSet = (0..self.peers.len()).collect();
        let retry_at = now + self.limits.retry_interval_ms;
        self.retries.insert((whole_ms(retry_at), request));
        let waiting =
            WaitingRead { read, session, position: own_position, unanswered, attempts: 1, retry_at };
        self.waiting.insert(request, waiting);
        actions.extend(unanswered.iter().map(|peer| Action::Request { peer, request, session }));
    }

    /// Removes a read whose client has disconnected.
    pub fn cancel(&mut self, read: u64) {
        let found = self.waiting.iter().find(|(_, waiting)| waiting.read == read);
        if let Some(request) = found.map(|(request, _)| *request) {
            self.remove(request);
        }
    }

    /// A peer replied to a request of this incarnation with the position from which on the session sees its
    /// writes. A reply to no outstanding request only shows that the peer is alive, and so does one
    /// with an invalid position.
    pub fn receive_reply(&mut self, peer: usize, request: u64, position: f64, actions: &mut Vec<Action>) {
        self.receive_ack(peer);
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if position.is_nan() || position == f64::INFINITY {
            return;
        }
        if waiting.unanswered.contains(peer) {
            waiting.unanswered.remove(peer);
            waiting.position = waiting.position.max(position);
        }
        if waiting.unanswered.is_empty()
            && let Some(answered) = self.remove(request)
        {
            self.resolve(answered.read, RequiredPosition::AtLeast(answered.position), actions);
        }
    }

    /// A peer has answered a ping, or shown otherwise that it is alive.
    pub fn receive_ack(&mut self, peer: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            *peer = Peer::default();
        }
    }

    /// Retries the requests that are due, gives up those without attempts left, and pings silent peers.
    pub fn tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        while let Some((due, request)) = self.retries.first().copied()
            && due as f64 <= now
        {
            self.retries.pop_first();
            self.retry_or_give_up(now, request, actions);
        }
        self.ping_silent_peers(now, actions);
        self.give_up_on_silent_peers(actions);
    }

    fn retry_or_give_up(&mut self, now: f64, request: u64, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get(&request) else { return };
        let (unanswered, attempts) = (waiting.unanswered, waiting.attempts);
        if attempts >= self.limits.max_attempts || !self.take_tokens(now, unanswered.len()) {
            self.give_up(request, unanswered, actions);
        } else {
            self.retry(now, request, actions);
        }
    }

    /// Resolves the read as a fresh one and counts a miss of each peer that did not reply.
    fn give_up(&mut self, request: u64, unanswered: PeerSet, actions: &mut Vec<Action>) {
        for peer in unanswered.iter() {
            self.peers[peer].misses += 1;
        }
        if let Some(waiting) = self.remove(request) {
            self.resolve(waiting.read, RequiredPosition::Fresh, actions);
        }
    }

    /// Resends the request to the peers that have not replied yet.
    fn retry(&mut self, now: f64, request: u64, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        waiting.attempts += 1;
        waiting.retry_at = now + self.limits.retry_interval_ms;
        self.retries.insert((whole_ms(waiting.retry_at), request));
        let session = waiting.session;
        actions.extend(waiting.unanswered.iter().map(|peer| Action::Request { peer, request, session }));
    }

    fn ping_silent_peers(&mut self, now: f64, actions: &mut Vec<Action>) {
        for peer in self.silent_set().iter() {
            let is_due = |pinged_at| now >= pinged_at + self.limits.ping_interval_ms;
            if self.peers[peer].pinged_at.is_none_or(is_due) {
                self.peers[peer].pinged_at = Some(now);
                actions.push(Action::Ping { peer });
            }
        }
    }

    /// Resolves reads that wait for a silent peer as fresh reads.
    fn give_up_on_silent_peers(&mut self, actions: &mut Vec<Action>) {
        let silent = self.silent_set();
        if silent.is_empty() {
            return;
        }
        let is_stuck = |waiting: &WaitingRead| waiting.unanswered.intersects(silent);
        let stuck = self.waiting.iter().filter(|(_, waiting)| is_stuck(waiting));
        let mut stuck: Vec<u64> = stuck.map(|(request, _)| *request).collect();
        stuck.sort_unstable();
        for request in stuck {
            if let Some(waiting) = self.remove(request) {
                self.resolve(waiting.read, RequiredPosition::Fresh, actions);
            }
        }
    }

    fn silent_set(&self) -> PeerSet {
        (0..self.peers.len()).filter(|peer| self.peers[*peer].misses >= self.limits.max_misses).collect()
    }

    /// Takes the tokens for that many requests and counts them; false where they may not be sent now.
    fn take_tokens(&mut self, now: f64, requests: u32) -> bool {
        let may_send = self.rate_limiter.take(now, requests);
        if may_send {
            self.counts.requests += u64::from(requests);
        }
        may_send
    }

    fn resolve(&mut self, read: u64, required: RequiredPosition, actions: &mut Vec<Action>) {
        match required {
            RequiredPosition::AtLeast(_) => self.counts.known += 1,
            RequiredPosition::Fresh => self.counts.fresh += 1,
        }
        actions.push(Action::Resolved { read, required });
    }

    /// Removes a waiting read and its retry.
    fn remove(&mut self, request: u64) -> Option<WaitingRead> {
        let waiting = self.waiting.remove(&request)?;
        self.retries.remove(&(whole_ms(waiting.retry_at), request));
        Some(waiting)
    }
}

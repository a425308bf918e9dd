//! What other routers of the tier know of a session: asked once a read has arrived, settled once all have answered.
//! The decision thread owns it; datagrams are carried elsewhere.
//!
//! An answer counts for a read only if it was asked for after that read had arrived: a write acked through a peer
//! before then is in the peer's answer, as a router notes a commit before it writes the client's answer. So loss,
//! delay, doubling and reordering can cost an answer, never make it wrong. A peer that has not answered several asks
//! is silent: it may still serve clients that this router can't see, so until it is heard again reads are fresh at
//! once instead of waiting for it.

use std::collections::{BTreeMap, HashMap};

/// How asking goes about it; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// An ask goes again after this time, and at most so many times in all.
    pub again: f64,
    pub tries: u32,
    /// Asks without an answer, in a row, after which a peer counts as silent; it is tried again so often.
    pub misses: u32,
    pub knock: f64,
    /// Questions put to peers a second; beyond it reads are fresh at once. At most a tenth of it at a time.
    pub a_second: f64,
    /// Reads that may wait for answers at once.
    pub most: usize,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { again: 4.0, tries: 6, misses: 3, knock: 250.0, a_second: 20_000.0, most: 4_096 }
    }
}

/// From what position on a host may answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// Known: Unix ms; minus infinity where the session has written nothing.
    At(f64),
    /// Can't be known in time: as recent as a fresh read.
    Fresh,
}

/// What is to be done, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Put the question to a peer; several may travel in one datagram.
    Ask { peer: usize, ask: u64, session: u64 },
    /// The read may be routed.
    Settled { read: u64, need: Need },
    /// Ask a silent peer for a sign of life.
    Knock { peer: usize },
}

#[derive(Clone, Debug)]
struct Open {
    read: u64,
    session: u64,
    need: f64,
    /// Peers that have not answered yet, a bit each.
    missing: u64,
    tries: u32,
    again_at: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    misses: u32,
    knocked_at: Option<f64>,
}

/// At most 64 peers; a larger tier is refused where it is configured.
#[derive(Clone, Debug)]
pub struct Asks {
    pace: Pace,
    peers: Vec<Peer>,
    open: HashMap<u64, Open>,
    /// When asks are due again.
    due: BTreeMap<(u64, u64), ()>,
    next: u64,
    tokens: f64,
    tokens_at: f64,
    pub counts: Counts,
}

/// Since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub known: u64,
    pub fresh: u64,
    pub questions: u64,
}

fn whole(ms: f64) -> u64 {
    ms.max(0.0).ceil() as u64
}

impl Asks {
    /// A tier with so many other routers. `first` begins the numbers of asks: another one in each life, so that late
    /// answers to the last life's asks mean nothing to this one.
    pub fn new(peers: usize, pace: Pace, first: u64) -> Asks {
        Asks {
            pace,
            peers: vec![Peer::default(); peers.min(64)],
            open: HashMap::new(),
            due: BTreeMap::new(),
            next: first,
            tokens: pace.a_second / 10.0,
            tokens_at: 0.0,
            counts: Counts::default(),
        }
    }

    fn is_silent(&self, peer: usize) -> bool {
        self.peers[peer].misses >= self.pace.misses
    }

    /// Peers that count as silent.
    pub fn silent(&self) -> usize {
        (0..self.peers.len()).filter(|peer| self.is_silent(*peer)).count()
    }

    /// Reads that wait for answers.
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    fn settle(&mut self, out: &mut Vec<Action>, read: u64, need: Need) {
        match need {
            Need::At(_) => self.counts.known += 1,
            Need::Fresh => self.counts.fresh += 1,
        }
        out.push(Action::Settled { read, need });
    }

    /// True where so many questions fit into what may be asked now; they are then counted.
    fn may_ask(&mut self, now: f64, questions: u32) -> bool {
        let most = self.pace.a_second / 10.0;
        let more = (now - self.tokens_at).max(0.0) * self.pace.a_second / 1000.0;
        (self.tokens, self.tokens_at) = ((self.tokens + more).min(most), now);
        let may = self.tokens >= f64::from(questions);
        if may {
            self.tokens -= f64::from(questions);
            self.counts.questions += u64::from(questions);
        }
        may
    }

    /// A read has arrived, with what this router knows itself of its session.
    pub fn arrived(&mut self, now: f64, read: u64, session: u64, own: f64, out: &mut Vec<Action>) {
        if self.peers.is_empty() {
            return self.settle(out, read, Need::At(own));
        }
        let count = self.peers.len() as u32;
        let silent = self.silent() > 0;
        if silent || self.open.len() >= self.pace.most || !self.may_ask(now, count) {
            return self.settle(out, read, Need::Fresh);
        }
        let ask = self.next;
        self.next = self.next.wrapping_add(1);
        let missing = u64::MAX >> (64 - count);
        let again_at = now + self.pace.again;
        self.due.insert((whole(again_at), ask), ());
        self.open.insert(ask, Open { read, session, need: own, missing, tries: 1, again_at });
        out.extend((0..self.peers.len()).map(|peer| Action::Ask { peer, ask, session }));
    }

    /// The read is of no more concern: its client has left.
    pub fn left(&mut self, read: u64) {
        let of = self.open.iter().find(|(_, open)| open.read == read).map(|(ask, _)| *ask);
        if let Some(ask) = of {
            self.close(ask);
        }
    }

    fn close(&mut self, ask: u64) -> Option<Open> {
        let open = self.open.remove(&ask)?;
        self.due.remove(&(whole(open.again_at), ask));
        Some(open)
    }

    /// A peer told from what position on the session sees its writes, in answer to an ask of this life. What fits no
    /// open ask is only a sign of life; what is no position costs the answer.
    pub fn told(&mut self, peer: usize, ask: u64, mark: f64, out: &mut Vec<Action>) {
        self.heard(peer);
        let Some(open) = self.open.get_mut(&ask).filter(|_| peer < 64) else { return };
        if mark.is_nan() || mark == f64::INFINITY {
            return;
        }
        if open.missing & (1 << peer) != 0 {
            open.missing &= !(1 << peer);
            open.need = open.need.max(mark);
        }
        if open.missing == 0
            && let Some(open) = self.close(ask)
        {
            self.settle(out, open.read, Need::At(open.need));
        }
    }

    /// A peer gave a sign of life.
    pub fn heard(&mut self, peer: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            *peer = Peer::default();
        }
    }

    /// When `beat` is due next; none while nothing is open and nobody silent.
    pub fn wake_at(&self, now: f64) -> Option<f64> {
        let asks = self.due.first_key_value().map(|((due, _), ())| *due as f64);
        let knock = (self.silent() > 0).then_some(now + self.pace.knock);
        match (asks, knock) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Asks again what is due, gives up what was asked often enough, knocks at silent peers.
    pub fn beat(&mut self, now: f64, out: &mut Vec<Action>) {
        while let Some(((due, ask), ())) = self.due.first_key_value()
            && *due as f64 <= now
        {
            let ask = *ask;
            self.due.pop_first();
            let Some(open) = self.open.get(&ask) else { continue };
            let (missing, session, tries) = (open.missing, open.session, open.tries);
            let spent = tries >= self.pace.tries || !self.may_ask(now, missing.count_ones());
            if spent {
                for peer in (0..self.peers.len()).filter(|peer| missing & (1 << peer) != 0) {
                    self.peers[peer].misses += 1;
                }
                if let Some(open) = self.open.remove(&ask) {
                    self.settle(out, open.read, Need::Fresh);
                }
                continue;
            }
            let again_at = now + self.pace.again;
            self.due.insert((whole(again_at), ask), ());
            if let Some(open) = self.open.get_mut(&ask) {
                (open.tries, open.again_at) = (tries + 1, again_at);
            }
            for peer in (0..self.peers.len()).filter(|peer| missing & (1 << peer) != 0) {
                out.push(Action::Ask { peer, ask, session });
            }
        }
        for peer in 0..self.peers.len() {
            let due = self.peers[peer].knocked_at.is_none_or(|at| now >= at + self.pace.knock);
            if self.is_silent(peer) && due {
                self.peers[peer].knocked_at = Some(now);
                out.push(Action::Knock { peer });
            }
        }
        // What waited for a peer that has just become silent need not go on waiting.
        let silent =
            (0..self.peers.len()).filter(|peer| self.is_silent(*peer)).fold(0u64, |all, p| all | 1 << p);
        if silent != 0 {
            let mut lost: Vec<u64> = self
                .open
                .iter()
                .filter(|(_, open)| open.missing & silent != 0)
                .map(|(ask, _)| *ask)
                .collect();
            lost.sort_unstable();
            for ask in lost {
                if let Some(open) = self.close(ask) {
                    self.settle(out, open.read, Need::Fresh);
                }
            }
        }
    }
}

//! Takes commands in: what one client has written, read as far as it goes without waiting, framed, checked and
//! handed on. The clients' loop (`client_loop.rs`) calls it when there may be something to read or a time is up.

use crate::client::Client;
use crate::event::{Event, Statement};
use crate::op_facts::OpFactsParser;
use crate::shared::{MemoryReservation, Shared};
use crossbeam_channel::Sender;
use magpiewell_pg::{encode, frame};
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Acquire, Relaxed};

/// What becomes of a client after its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It has said all that it has to say for now.
    Wait,
    /// There is more to read; others come first.
    More,
    /// It is of no more concern to the loop.
    Gone,
}

pub struct Reader {
    shared: Arc<Shared>,
    names: Arc<OpFactsParser>,
    events: Sender<Event>,
    pub client: Arc<Client>,
    /// What has been read and not been taken: part of a message, or whole ones that wait for answers before them.
    buf: Vec<u8>,
    /// Room for a long message, while one is half there.
    held: Option<MemoryReservation>,
    opened: bool,
    /// Commands are passed over up to the next Sync.
    skipping: bool,
    /// Too many answers are still to be written: nothing more is taken until some are.
    paused: bool,
    /// What it asked last was no fault; not yet so where it has asked nothing.
    pub asks: bool,
    /// Is on its way out: its place counts as free. What was taken is still answered.
    pub leaving: bool,
    /// It has ended its sending or its connection: whatever it wrote before, it waits for nothing any more.
    pub hung_up: bool,
    /// Nothing more is taken from it.
    over: bool,
    /// Bytes that are still read and dropped once nothing more is sent to it: left unread as the connection closes,
    /// they would take with them what it has not read yet.
    drain: Option<usize>,
    /// Nothing that was sent to it can still be on its way.
    at_rest: bool,
    /// Faulty commands in a row, and ops that came sooner than it was told while processor time was short.
    faults: usize,
    early: usize,
    /// When what is being said must be over: the opening, a command that has begun, or the drain.
    due: Option<f64>,
    /// When it must have taken more of its answers.
    write_due: Option<f64>,
    /// The loop hears when it can take more.
    pub watched: bool,
    /// Stands in line for another turn.
    pub in_line: bool,
}

/// Reading is over.
enum Over {
    /// The client has gone, or can't be served: what it asked is owed to nobody.
    Gone,
    /// It was told why, and what it writes can't be followed any further; what it asked before is still answered.
    Told,
    /// The router ends the connection between two of its commands.
    Asked,
}
use Over::{Asked, Gone, Told};

impl Reader {
    pub fn new(
        shared: &Arc<Shared>,
        names: &Arc<OpFactsParser>,
        events: &Sender<Event>,
        client: Arc<Client>,
    ) -> Reader {
        let due = Some(shared.clock.now() + shared.limits.opening_ms);
        Reader {
            shared: shared.clone(),
            names: names.clone(),
            events: events.clone(),
            client,
            buf: Vec::new(),
            held: None,
            opened: false,
            skipping: false,
            paused: false,
            asks: false,
            leaving: false,
            hung_up: false,
            over: false,
            drain: None,
            at_rest: false,
            faults: 0,
            early: 0,
            due,
            write_due: None,
            watched: false,
            in_line: false,
        }
    }

    /// Some of its answers wait until it takes more.
    pub fn is_slow(&self) -> bool {
        self.write_due.is_some()
    }

    /// When it is to be looked at again at the latest.
    pub fn due(&self) -> Option<f64> {
        match (self.due, self.write_due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// How it stands towards those who need its place.
    pub fn standing(&self, now: f64) -> crate::eviction::Standing {
        let busy = self.client.pending.load(Relaxed) > 0;
        let last = if busy { now as u64 } else { self.client.last_active_at.load(Relaxed) };
        crate::eviction::Standing { asks: self.asks, last }
    }

    /// Reads what has come and takes it, `to_the_end` until there is nothing; `scratch` is overwritten.
    pub fn turn(&mut self, scratch: &mut [u8], to_the_end: bool) -> Turn {
        self.watch_slow(false);
        // Seen before its bytes are read: behind many of them, or while reading is paused, its end would show late.
        if self.hung_up {
            return self.end(Gone);
        }
        if self.over {
            return self.last_turn(scratch);
        }
        for _ in 0..self.shared.limits.reads_a_turn {
            if self.paused {
                let kept = std::mem::take(&mut self.buf);
                let taken = self.take_kept(kept);
                if let Err(over) = taken {
                    return self.end(over);
                }
                if self.paused {
                    return Turn::Wait;
                }
            }
            match (&self.client.stream).read(scratch) {
                Ok(0) => return self.end(Gone),
                Ok(n) => {
                    self.client.last_active_at.store(self.shared.clock.now() as u64, Relaxed);
                    let read = &scratch[..n];
                    let taken = if self.buf.is_empty() {
                        self.take_fresh(read)
                    } else {
                        let mut kept = std::mem::take(&mut self.buf);
                        kept.extend_from_slice(read);
                        self.take_kept(kept)
                    };
                    if let Err(over) = taken {
                        return self.end(over);
                    }
                    // Less than fits is all there was, and spares a call.
                    if n < scratch.len() && !to_the_end && !self.leaving && !self.paused {
                        return Turn::Wait;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // One closed gracefully has had all taken that had arrived.
                    return if self.leaving { self.end(Asked) } else { Turn::Wait };
                }
                Err(_) => return self.end(Gone),
            }
        }
        Turn::More
    }

    /// It can take more of its answers.
    pub fn write_left(&mut self) {
        let moved = self.client.write_remaining();
        self.watch_slow(moved);
    }

    /// A client that takes nothing for too long is cut off.
    fn watch_slow(&mut self, moved: bool) {
        if !self.client.is_slow() {
            self.write_due = None;
        } else if moved || self.write_due.is_none() {
            let given = self.shared.limits.client_write.as_secs_f64() * 1000.0;
            self.write_due = Some(self.shared.clock.now() + given);
        }
    }

    /// One of its times may be up.
    pub fn overdue(&mut self, _: &mut [u8]) -> Turn {
        let now = self.shared.clock.now();
        if self.write_due.is_some_and(|due| due <= now) {
            return self.cut_off();
        }
        if self.due.is_none_or(|due| due > now) {
            return Turn::Wait;
        }
        self.due = None;
        if self.over {
            return self.drained();
        }
        if !self.opened {
            return self.end(Gone);
        }
        let told = self.end_with("08P01", "what was begun here was not ended in time");
        self.end(told.err().unwrap_or(Told))
    }

    /// Asks it to go: what has arrived is still taken and answered.
    pub fn close_gracefully(&mut self, scratch: &mut [u8]) -> Turn {
        self.leaving = true;
        self.turn(scratch, true)
    }

    fn end(&mut self, over: Over) -> Turn {
        (self.over, self.due) = (true, None);
        (self.buf, self.held) = (Vec::new(), None);
        if matches!(over, Gone) {
            return self.cut_off();
        }
        self.leaving = true;
        // Who asked nothing, or nothing for longer than a drain lasts, has nothing of ours on its way: closed at once.
        let heard = self.shared.clock.now() - self.client.last_active_at.load(Relaxed) as f64;
        let asked = self.asks || self.faults > 0;
        let on_its_way = asked && (self.client.pending.load(Acquire) > 0 || heard < self.drain_ms());
        self.at_rest = matches!(over, Asked) && !on_its_way;
        self.client.finish();
        if matches!(over, Told) {
            self.begin_drain();
        }
        self.closing()
    }

    fn drain_ms(&self) -> f64 {
        self.shared.limits.drain.as_secs_f64() * 1000.0
    }

    fn begin_drain(&mut self) {
        self.drain = Some(self.shared.limits.drain_bytes);
        self.due = Some(self.shared.clock.now() + self.drain_ms());
    }

    /// Where a connection stands of which nothing more is taken: its answers are written, then what still comes is
    /// dropped for a while.
    fn closing(&mut self) -> Turn {
        match self.client.is_finished() {
            true if self.at_rest => Turn::Gone,
            true if self.drain.is_none() => {
                self.at_rest = true;
                self.begin_drain();
                Turn::More
            }
            _ => Turn::Wait,
        }
    }

    /// What it asked and was not answered yet is owed to nobody.
    pub fn cut_off(&mut self) -> Turn {
        if self.client.pending.load(Acquire) > 0 {
            drop(self.events.send(Event::ClientDisconnected { client: self.client.id }));
        }
        self.client.abort();
        Turn::Gone
    }

    /// Nothing is taken any more: what still comes is dropped, for as long as it may last. Before the last answer is
    /// written only its end is looked for: what it writes meanwhile it writes again elsewhere.
    fn last_turn(&mut self, scratch: &mut [u8]) -> Turn {
        if self.drain.is_none() {
            return match self.client.stream.peek(&mut scratch[..1]) {
                Ok(0) => self.cut_off(),
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    self.cut_off()
                }
                _ => self.closing(),
            };
        }
        for _ in 0..self.shared.limits.reads_a_turn {
            let Some(left) = self.drain else { break };
            match (&self.client.stream).read(scratch) {
                Ok(n) if n > 0 => self.drain = Some(left.saturating_sub(n)).filter(|left| *left > 0),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Turn::Wait,
                // What it asked before the fault that ended its connection is owed to nobody now.
                _ => return self.cut_off(),
            }
        }
        if self.drain.is_some() { Turn::More } else { self.drained() }
    }

    /// Enough has been dropped.
    fn drained(&mut self) -> Turn {
        (self.drain, self.due, self.at_rest) = (None, None, true);
        self.closing()
    }

    fn take_fresh(&mut self, read: &[u8]) -> Result<(), Over> {
        let at = self.take(read)?;
        self.buf.extend_from_slice(&read[at..]);
        self.keep(at > 0)
    }

    fn take_kept(&mut self, mut kept: Vec<u8>) -> Result<(), Over> {
        let at = self.take(&kept)?;
        if at < kept.len() {
            kept.drain(..at);
            self.buf = kept;
        }
        self.keep(at > 0)
    }

    /// Accounts for what was not taken, and sets the time by which it must be whole.
    fn keep(&mut self, moved: bool) -> Result<(), Over> {
        if self.buf.len() <= self.shared.limits.read_bytes {
            self.held = None;
        } else if self.held.is_none() {
            // Many clients with half a long message each must not fill the memory.
            self.held = Some(self.shared.try_reserve(self.shared.limits.message_bytes).ok_or(Gone)?);
        }
        if self.opened {
            // A command that has begun must end; between commands a client may take its time.
            let begun = !self.buf.is_empty() && !self.paused;
            let since = self.due.filter(|_| !moved);
            let due = || since.unwrap_or_else(|| self.shared.clock.now() + self.shared.limits.command_ms);
            self.due = begun.then(due);
        }
        Ok(())
    }

    /// Takes all whole messages that stand in the buffer, as far as answers may be owed; tells where the rest begins.
    fn take(&mut self, buf: &[u8]) -> Result<usize, Over> {
        let (most, mut at) = (self.shared.limits.message_bytes, 0);
        while !self.opened {
            let (code, body) = match frame::startup(&buf[at..], self.shared.limits.startup_bytes) {
                Ok(Some(read)) => read,
                Ok(None) => return Ok(at),
                Err(_) => {
                    self.end_with("08P01", "this opens no connection")?;
                    return Ok(at);
                }
            };
            at += body.end;
            let mut reply = Vec::new();
            match code {
                frame::SSL_REQUEST | frame::GSSENC_REQUEST => reply.push(b'N'),
                frame::CANCEL_REQUEST => return Err(Gone),
                _ if code >> 16 == 3 => {
                    if code & 0xffff != 0 {
                        encode::negotiate_protocol_version(&mut reply);
                    }
                    encode::startup_reply(&mut reply);
                    self.opened = true;
                }
                _ => {
                    self.end_with("0A000", "only protocol 3 is spoken here")?;
                }
            }
            self.reply(reply)?;
        }
        loop {
            self.paused = self.client.is_full(self.shared.limits.pending);
            if self.paused {
                return Ok(at);
            }
            let (kind, body) = match frame::message(&buf[at..], most) {
                Ok(Some((kind, body))) => (kind, &buf[at + body.start..at + body.end]),
                Ok(None) => return Ok(at),
                Err(length) => {
                    let line = format!("message of {} bytes, 4 to {most} are taken", length.0);
                    self.end_with("08P01", &line)?;
                    return Ok(at);
                }
            };
            at += 5 + body.len();
            match kind {
                b'X' => return Err(Gone),
                b'S' => {
                    self.skipping = false;
                    self.reply(encode::READY_FOR_QUERY.to_vec())?;
                }
                b'd' | b'c' | b'f' | b'H' => {}
                _ if self.skipping => {}
                b'Q' => self.query(body)?,
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    self.skipping = true;
                    let mut reply = Vec::new();
                    encode::error_response(&mut reply, false, "0A000", "only simple queries are taken", "");
                    self.reply(reply)?;
                }
                b'F' => self.wrong("0A000", "only simple queries are taken")?,
                _ => self.end_with("08P01", &format!("unknown message kind {kind}"))?,
            }
        }
    }

    fn query(&mut self, body: &[u8]) -> Result<(), Over> {
        let arrived_at = self.shared.clock.now();
        // Its one zero byte stands at its end: one inside would hide what follows it.
        let Some((text, _)) = frame::c_string(body, 0).filter(|(_, end)| *end == body.len()) else {
            return self.end_with("08P01", "a query with no end, or more behind it");
        };
        let Ok(text) = std::str::from_utf8(text) else {
            return self.wrong("22021", "the statement is not UTF-8");
        };
        if text.trim().is_empty() {
            let mut reply = Vec::new();
            match self.shared.ready.load(Acquire) {
                true => encode::empty_query_response(&mut reply),
                false => {
                    encode::error_response(&mut reply, false, "57P03", "no list of hosts is known yet", "")
                }
            }
            reply.extend_from_slice(&encode::READY_FOR_QUERY);
            return self.reply(reply);
        }
        let facts = match self.names.parse(text) {
            Ok(facts) => facts,
            Err(why) => return self.wrong("42601", &why),
        };
        let Some(held) = self.shared.try_reserve(text.len() + self.shared.limits.read_bytes) else {
            return self.wrong("53300", "too much is held already");
        };
        self.faults = 0;
        self.asks = true;
        let seq = self.enter()?;
        let (is_write, timeout_range) = (facts.writes, facts.client_timeout_range.clone());
        let statement = Statement { text: text.as_bytes().to_vec(), is_write, timeout_range, held };
        let event = Event::OpArrived {
            client: self.client.clone(),
            seq,
            facts: Box::new(facts),
            statement: Arc::new(statement),
            arrived_at,
        };
        self.events.send(event).map_err(|_| Gone)?;
        // Who is told to come back later and never waits costs more than the ops that it is refused. Outside it
        // waits until there is time to let it in.
        let early = arrived_at < self.client.retry_at.load(Relaxed) as f64
            && self.shared.is_cpu_limited.load(Relaxed);
        self.early += usize::from(early);
        // What has arrived behind this is still taken: dropped, it would be an op without an answer.
        self.leaving |= self.early >= self.shared.limits.early;
        Ok(())
    }

    fn enter(&self) -> Result<u64, Over> {
        self.client.begin_command().ok_or(Gone)
    }

    fn reply(&self, bytes: Vec<u8>) -> Result<(), Over> {
        let seq = self.enter()?;
        let held = self.shared.reserve(bytes.len());
        self.client.answer(seq, bytes, held);
        Ok(())
    }

    /// Says what is wrong with a command; the next one is taken as usual, but not for ever.
    fn wrong(&mut self, code: &str, line: &str) -> Result<(), Over> {
        self.faults += 1;
        self.asks = false;
        if self.faults >= self.shared.limits.faults {
            return self.end_with(code, line);
        }
        let mut reply = Vec::new();
        encode::error_response(&mut reply, false, code, line, "");
        reply.extend_from_slice(&encode::READY_FOR_QUERY);
        self.reply(reply)
    }

    /// Says what is wrong where the stream can't be followed any further.
    fn end_with(&mut self, code: &str, line: &str) -> Result<(), Over> {
        let mut reply = Vec::new();
        encode::error_response(&mut reply, true, code, line, "");
        self.reply(reply)?;
        Err(Told)
    }
}

//! Takes clients in: accepts them, reads their commands, hands ops on. One thread a client reads here.

use crate::admit::Names;
use crate::hall::{Client, Hall, Held};
use crate::route::{Event, Statement};
use magpiewell_pg::{frame, say};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Acquire, Relaxed};
use std::time::Duration;

/// Accepts until the router closes, then takes what still waits in the queue.
pub fn accept(hall: &Arc<Hall>, names: &Arc<Names>, listener: TcpListener) {
    let limits = &hall.limits;
    loop {
        let closing = hall.closing.load(Acquire);
        // Some go on connecting whatever happens: the queue is emptied, but not for ever.
        if closing && hall.clock.now() >= hall.accept_until() {
            return;
        }
        // Full: somebody makes room at once, so that accepting keeps pace with those who only take up places.
        // Where all are busy, or too many are still on their way out, those outside wait in the queue.
        let room = hall.staying() < limits.clients || hall.make_room();
        if !room || hall.clients() >= limits.clients + limits.leaving {
            std::thread::sleep(limits.accept_check / 50);
            continue;
        }
        match listener.accept() {
            Ok((stream, _)) => welcome(hall, names, stream),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if closing {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => {
                // Out of descriptors or memory: it costs new connections, never the router.
                tracing::warn!(error = %e, clients = hall.clients(), "cannot accept");
                hall.make_room();
                std::thread::sleep(limits.accept_check);
            }
        }
    }
}

fn welcome(hall: &Arc<Hall>, names: &Arc<Names>, stream: TcpStream) {
    let options = stream.set_nodelay(true);
    if options.and_then(|()| stream.set_write_timeout(Some(hall.limits.client_write))).is_err() {
        return;
    }
    let client = hall.enter(stream);
    let due = Some(hall.clock.now() + hall.limits.opening_ms);
    let reader = Reader { hall: hall.clone(), names: names.clone(), client, faults: 0, due, wait: 0.0 };
    if hall.spawn("take in", move || reader.run()).is_none() {
        tracing::warn!(threads = hall.threads.load(Relaxed), "no thread for a client");
    }
}

struct Reader {
    hall: Arc<Hall>,
    names: Arc<Names>,
    client: Arc<Client>,
    /// Faulty commands in a row.
    faults: usize,
    /// When what is being said must be over: the opening, or a command that has begun.
    due: Option<f64>,
    /// How long a read waits, as last set.
    wait: f64,
}

/// Reading is over.
enum Over {
    /// The client has gone, or can't be served: what it asked is owed to nobody.
    Gone,
    /// It was told why; what it asked before is still answered.
    Told,
}
use Over::{Gone, Told};

impl Reader {
    fn run(mut self) {
        let mut from = Vec::new();
        let mut held = None;
        let mut opened = false;
        let mut skipping = false;
        let over = loop {
            let mut at = 0;
            let taken = self.take(&from, &mut at, &mut opened, &mut skipping);
            from.drain(..at);
            if let Err(over) = taken.and_then(|()| self.read(&mut from, &mut held, opened)) {
                break over;
            }
        };
        match over {
            // One shown out still gets its answers.
            Gone if self.client.leaving.load(Acquire) => self.client.over(),
            Gone => drop(self.hall.events.send(Event::Left { client: self.client.no })),
            Told => self.drain(from),
        }
    }

    /// Reads on for a little and drops it: bytes left unread when a connection closes take the error with them.
    fn drain(self, mut buf: Vec<u8>) {
        let Reader { hall, client, .. } = self;
        client.over();
        client.leave();
        let until = hall.clock.now() + hall.limits.drain.as_secs_f64() * 1000.0;
        let mut left = hall.limits.drain_bytes;
        buf.resize(hall.limits.read_bytes, 0);
        while left > 0 && !hall.clock.until(until).is_zero() {
            drop(client.stream.set_read_timeout(Some(hall.clock.until(until).max(Duration::from_millis(1)))));
            match (&client.stream).read(&mut buf) {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
        drop(client.stream.shutdown(Shutdown::Read));
    }

    fn read(&mut self, into: &mut Vec<u8>, held: &mut Option<Held>, opened: bool) -> Result<(), Over> {
        let (length, chunk) = (into.len(), self.hall.limits.read_bytes);
        if length + chunk <= 2 * chunk {
            *held = None;
            into.shrink_to(2 * chunk);
        } else if held.is_none() {
            // Many clients with half a long message each must not fill the memory.
            *held = Some(self.hall.hold(self.hall.limits.message_bytes).ok_or(Gone)?);
        }
        let idle_ms = self.hall.limits.idle_ms;
        if opened {
            // A command that has begun must end; between commands a client may take its time.
            let now = self.hall.clock.now();
            self.due = (length > 0).then(|| self.due.unwrap_or(now + self.hall.limits.command_ms));
        }
        let mut wait = idle_ms;
        into.resize(length + chunk, 0);
        loop {
            if let Some(due) = self.due {
                wait = due - self.hall.clock.now();
                if wait <= 0.0 && !opened {
                    return Err(Gone);
                }
                if wait <= 0.0 {
                    return self.end_with("08P01", "what was begun here was not ended in time");
                }
            }
            // Mostly as it was, which spares a call.
            if wait != std::mem::replace(&mut self.wait, wait) {
                let wait = Duration::from_secs_f64(wait.max(1.0) / 1000.0);
                self.client.stream.set_read_timeout(Some(wait)).map_err(|_| Gone)?;
            }
            match (&self.client.stream).read(&mut into[length..]) {
                Ok(0) => return Err(Gone),
                Ok(n) => {
                    into.truncate(length + n);
                    self.client.last.store(self.hall.clock.now() as u64, Relaxed);
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    // Who asks once and stays keeps others out, whose own limit counts those connections too.
                    let idle = self.client.idle_ms();
                    if idle >= idle_ms && self.due.is_none() && self.hall.staying() > self.hall.limits.crowd {
                        return Err(Gone);
                    }
                    wait = if idle < idle_ms { idle_ms - idle } else { idle_ms };
                }
                Err(_) => return Err(Gone),
            }
        }
    }

    /// Takes all whole messages that stand in the buffer; `at` moves behind them.
    fn take(&mut self, buf: &[u8], at: &mut usize, opened: &mut bool, skip: &mut bool) -> Result<(), Over> {
        let most = self.hall.limits.message_bytes;
        while !*opened {
            let (code, body) = match frame::startup(&buf[*at..], self.hall.limits.startup_bytes) {
                Ok(Some(read)) => read,
                Ok(None) => return Ok(()),
                Err(_) => return self.end_with("08P01", "this opens no connection"),
            };
            *at += body.end;
            let mut reply = Vec::new();
            match code {
                frame::TLS | frame::GSS => reply.push(b'N'),
                frame::CANCEL => return Err(Gone),
                _ if code >> 16 == 3 => {
                    if code & 0xffff != 0 {
                        say::version(&mut reply);
                    }
                    say::welcome(&mut reply);
                    *opened = true;
                }
                _ => {
                    return self.end_with("0A000", "only protocol 3 is spoken here");
                }
            }
            self.reply(reply)?;
        }
        loop {
            let (kind, body) = match frame::message(&buf[*at..], most) {
                Ok(Some((kind, body))) => (kind, &buf[*at + body.start..*at + body.end]),
                Ok(None) => return Ok(()),
                Err(length) => {
                    let line = format!("message of {} bytes, 4 to {most} are taken", length.0);
                    return self.end_with("08P01", &line);
                }
            };
            *at += 5 + body.len();
            match kind {
                b'X' => return Err(Gone),
                b'S' => {
                    *skip = false;
                    self.reply(say::READY.to_vec())?;
                }
                b'd' | b'c' | b'f' | b'H' => {}
                _ if *skip => {}
                b'Q' => self.query(body)?,
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    *skip = true;
                    let mut reply = Vec::new();
                    say::error(&mut reply, false, "0A000", "only simple queries are taken", "");
                    self.reply(reply)?;
                }
                b'F' => self.wrong("0A000", "only simple queries are taken")?,
                _ => return self.end_with("08P01", &format!("unknown message kind {kind}")),
            }
        }
    }

    fn query(&mut self, body: &[u8]) -> Result<(), Over> {
        let taken = self.hall.clock.now();
        // Its one zero byte stands at its end: one inside would hide what follows it.
        let Some((text, _)) = frame::text(body, 0).filter(|(_, end)| *end == body.len()) else {
            return self.end_with("08P01", "a query with no end, or more behind it");
        };
        let Ok(text) = std::str::from_utf8(text) else {
            return self.wrong("22021", "the statement is not UTF-8");
        };
        if text.trim().is_empty() {
            let mut reply = Vec::new();
            match self.hall.ready.load(Acquire) {
                true => say::empty(&mut reply),
                false => say::error(&mut reply, false, "57P03", "no list of hosts is known yet", ""),
            }
            reply.extend_from_slice(&say::READY);
            return self.reply(reply);
        }
        let facts = match self.names.admit(text) {
            Ok(facts) => facts,
            Err(why) => return self.wrong("42601", &why),
        };
        let Some(held) = self.hall.hold(text.len() + self.hall.limits.read_bytes) else {
            return self.wrong("53300", "too much is held already");
        };
        self.faults = 0;
        self.client.asks.store(true, Relaxed);
        let seq = self.enter()?;
        let (writes, wait_at) = (facts.writes, facts.wait_at.clone());
        let statement = Statement { text: text.as_bytes().to_vec(), writes, wait_at, held };
        let event = Event::Arrived {
            client: self.client.clone(),
            seq,
            facts: Box::new(facts),
            statement: Arc::new(statement),
            taken,
        };
        self.hall.events.send(event).map_err(|_| Gone)
    }

    /// Counts a command; waits where too many answers are still to be written.
    fn enter(&self) -> Result<u64, Over> {
        self.client.enter(self.hall.limits.pending).ok_or(Gone)
    }

    fn reply(&self, bytes: Vec<u8>) -> Result<(), Over> {
        let seq = self.enter()?;
        let held = self.hall.keep(bytes.len());
        self.client.answer(seq, bytes, held);
        Ok(())
    }

    /// Says what is wrong with a command; the next one is taken as usual, but not for ever.
    fn wrong(&mut self, code: &str, line: &str) -> Result<(), Over> {
        self.faults += 1;
        self.client.asks.store(false, Relaxed);
        if self.faults >= self.hall.limits.faults {
            return self.end_with(code, line);
        }
        let mut reply = Vec::new();
        say::error(&mut reply, false, code, line, "");
        reply.extend_from_slice(&say::READY);
        self.reply(reply)
    }

    /// Says what is wrong where the stream can't be followed any further.
    fn end_with(&mut self, code: &str, line: &str) -> Result<(), Over> {
        let mut reply = Vec::new();
        say::error(&mut reply, true, code, line, "");
        self.reply(reply)?;
        Err(Told)
    }
}

//! Sends to hosts: one thread a connection, one job at a time. Dials, writes, reads until the answer is whole.

use crate::answer::{Reading, Result, ended};
use crate::gather;
use crate::hall::Hall;
use crate::probe;
use crate::route::{Event, Statement};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use magpiewell::Ending;
use magpiewell_pg::{frame, say, shape};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub const USER: &str = "svc";
pub const DATABASE: &str = "main";

/// What a connection is to do, and until when on the router's clock.
pub struct Job {
    pub work: Work,
    pub until: f64,
}

pub enum Work {
    Op(Arc<Statement>),
    Probe,
}

/// What the decision thread and a connection's thread both see: how far its job is.
#[derive(Default)]
pub struct Line(Mutex<Stage>);

#[derive(Default)]
enum Stage {
    /// Nothing of the job has been written.
    #[default]
    Waiting,
    Written(Arc<TcpStream>),
    CalledBack,
}

impl Line {
    fn stage(&self) -> MutexGuard<'_, Stage> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn begin(&self) {
        *self.stage() = Stage::Waiting;
    }

    /// Calls the job back. True where it was written: then its thread still tells how it ended, be it by an
    /// answer that came before. Otherwise it never will be, and a dial goes on for the next job.
    pub fn call_back(&self) -> bool {
        let mut stage = self.stage();
        match std::mem::replace(&mut *stage, Stage::CalledBack) {
            Stage::Written(stream) => {
                drop(stream.shutdown(Shutdown::Both));
                true
            }
            Stage::Waiting => false,
            Stage::CalledBack => true,
        }
    }

    fn called_back(&self) -> bool {
        matches!(*self.stage(), Stage::CalledBack)
    }

    /// The last moment to call back without anything written: false where that happened.
    fn writes(&self, stream: &Arc<TcpStream>) -> bool {
        let mut stage = self.stage();
        if matches!(*stage, Stage::CalledBack) {
            return false;
        }
        *stage = Stage::Written(stream.clone());
        true
    }
}

pub struct Connection {
    pub no: u64,
    pub addr: SocketAddr,
    pub line: Arc<Line>,
    pub hall: Arc<Hall>,
    pub jobs: Receiver<Job>,
}

impl Connection {
    pub fn run(self) {
        let mut stream: Option<Arc<TcpStream>> = None;
        let mut buf = Vec::new();
        let mut idle_since = Instant::now();
        loop {
            let job = match self.jobs.recv_timeout(self.hall.limits.idle_check) {
                Ok(job) => job,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    let old = idle_since.elapsed() > self.hall.limits.host_idle;
                    if old || stream.as_deref().is_some_and(is_stale) {
                        return self.closed();
                    }
                    continue;
                }
            };
            // What the host closed meanwhile is noticed before anything is written to it.
            if stream.as_deref().is_some_and(is_stale) {
                return self.closed();
            }
            let fresh = stream.is_none();
            let mut result = match &stream {
                Some(open) => self.carry(open, &job, false, &mut buf),
                None => match self.dial(job.until) {
                    Ok(open) => self.carry(stream.insert(Arc::new(open)), &job, true, &mut buf),
                    Err(ending) => ended(ending),
                },
            };
            if fresh && result.ending == Ending::Withdrawn && !result.open {
                // Dialled for a job that was called back meanwhile: kept for the next one.
                result.open = stream.as_deref().is_some_and(|open| self.open_only(open, &mut buf));
            }
            let open = result.open;
            tracing::debug!(addr = %self.addr, conn = self.no, fresh, ending = ?result.ending, open, "job over");
            drop(self.hall.events.send(Event::Ended { conn: self.no, result: Box::new(result) }));
            if !open {
                return;
            }
            idle_since = Instant::now();
            if buf.capacity() > self.hall.limits.read_bytes * 2 {
                buf = Vec::new();
            }
        }
    }

    /// The connection is of no use any more, and nothing was written of the job it may have been given.
    fn closed(&self) {
        tracing::debug!(addr = %self.addr, conn = self.no, "closed while idle");
        drop(self.hall.events.send(Event::Closed { conn: self.no }));
    }

    fn dial(&self, until: f64) -> std::result::Result<TcpStream, Ending> {
        let (clock, limits) = (&self.hall.clock, &self.hall.limits);
        let wait = clock.until(until.min(clock.now() + limits.dial_ms));
        if wait.is_zero() {
            return Err(Ending::Unsent);
        }
        let stream = TcpStream::connect_timeout(&self.addr, wait).map_err(|e| match e.raw_os_error() {
            // Out of descriptors or ports here: this tells nothing of the host.
            Some(23 | 24 | 99 | 105 | 12) => Ending::Unsent,
            _ => Ending::Unreached,
        })?;
        let wait = Some(Duration::from_secs_f64(limits.dial_ms.max(1.0) / 1000.0));
        stream.set_nodelay(true).map_err(|_| Ending::Unreached)?;
        stream.set_write_timeout(wait).map_err(|_| Ending::Unreached)?;
        Ok(stream)
    }

    /// Writes the job and reads what comes back.
    fn carry(&self, stream: &Arc<TcpStream>, job: &Job, fresh: bool, buf: &mut Vec<u8>) -> Result {
        let clock = &self.hall.clock;
        let mut opening = Vec::new();
        if fresh {
            say::startup(&mut opening, USER, DATABASE);
        }
        if !self.line.writes(stream) {
            return Result { open: !fresh, ..ended(Ending::Withdrawn) };
        }
        let left = clock.until(job.until).max(Duration::from_millis(1));
        let written = match &job.work {
            Work::Op(statement) => {
                let wait = format!("{}", left.as_millis());
                let (text, at) = (&statement.text, &statement.wait_at);
                let length = text.len() - at.len() + wait.len();
                let head = say::query_head(length);
                let (before, behind) = (&text[..at.start], &text[at.end..]);
                gather::write_all(stream, &[&opening, &head, before, wait.as_bytes(), behind, &[0]])
            }
            Work::Probe => {
                let head = say::query_head(probe::ASK.len());
                gather::write_all(stream, &[&opening, &head, probe::ASK, &[0]])
            }
        };
        if written.is_err() {
            // The last byte was not written: the host cannot have begun.
            return ended(Ending::Unreached);
        }
        let (asked, tag) = match &job.work {
            Work::Op(statement) if statement.writes => (false, &b"INSERT 0 1"[..]),
            Work::Op(_) => (false, &b"SELECT 1"[..]),
            Work::Probe => (true, &b"SHOW"[..]),
        };
        let mut reading = Reading::new(fresh, false, tag);
        buf.clear();
        let mut broke = self.read(stream, job.until, buf, &mut reading);
        if broke == Some(Ending::Reset) && self.line.called_back() {
            // This router broke it: taken for the host's doing, each op withdrawn made its host look dead.
            broke = Some(Ending::Withdrawn);
        }
        reading.result(broke, !buf.is_empty(), asked)
    }

    /// Reads until the answer is whole; else how reading ended.
    fn read(
        &self,
        mut stream: &TcpStream,
        until: f64,
        buf: &mut Vec<u8>,
        reading: &mut Reading,
    ) -> Option<Ending> {
        let limits = &self.hall.limits;
        loop {
            loop {
                if reading.done() {
                    return None;
                }
                // A message that can't be one ends the answer at its head: waited for, it would cost the op
                // all of its time.
                let rest = buf.get(5..).unwrap_or_default();
                let sound = frame::length_at(buf, 1).is_none_or(|length| {
                    shape::may_begin(buf[0], length, &rest[..rest.len().min(length.saturating_sub(4))])
                });
                if !sound || buf.first().is_some_and(|kind| !shape::is_kind(*kind)) {
                    reading.spoil();
                    return None;
                }
                match frame::message(buf, limits.message_bytes) {
                    Ok(Some((kind, body))) => {
                        let end = body.end;
                        reading.take(kind, &buf[body], &buf[..end]);
                        buf.drain(..end);
                    }
                    Ok(None) => break,
                    Err(_) => {
                        reading.spoil();
                        return None;
                    }
                }
            }
            let left = self.hall.clock.until(until);
            if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
                return Some(Ending::TimedOut);
            }
            let length = buf.len();
            buf.resize(length + limits.read_bytes, 0);
            let read = stream.read(&mut buf[length..]);
            buf.truncate(length + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Some(Ending::Reset),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Some(Ending::TimedOut);
                }
                Err(_) => return Some(Ending::Reset),
            }
        }
    }

    /// Opens the connection without a job; true where the host admits it.
    fn open_only(&self, stream: &TcpStream, buf: &mut Vec<u8>) -> bool {
        let mut opening = Vec::new();
        say::startup(&mut opening, USER, DATABASE);
        if gather::write_all(stream, &[&opening]).is_err() {
            return false;
        }
        let mut reading = Reading::new(true, true, b"");
        buf.clear();
        let until = self.hall.clock.now() + self.hall.limits.dial_ms;
        self.read(stream, until, buf, &mut reading).is_none() && reading.admitted() && buf.is_empty()
    }
}

/// True where an idle connection has ended, or says what nobody asked for.
fn is_stale(stream: &TcpStream) -> bool {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    let peeked = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags);
    !peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::net::TcpListener;

    #[test]
    fn an_idle_connection_is_stale_once_it_ends_or_speaks() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let pair = || {
            let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            (ours, listener.accept().unwrap().0)
        };
        let (ours, theirs) = pair();
        assert!(!is_stale(&ours));
        drop(theirs);
        while !is_stale(&ours) {}
        let (ours, mut theirs) = pair();
        theirs.write_all(b"Z").unwrap();
        while !is_stale(&ours) {}
    }
}

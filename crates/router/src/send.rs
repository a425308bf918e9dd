//! Sends to hosts: one thread a connection, one job at a time. Dials on demand, reads whole answers.

use crate::gather;
use crate::hall::Hall;
use crate::probe::{self, Told};
use crate::route::{Event, Statement};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use magpiewell::Ending;
use magpiewell_pg::{frame, say};
use std::io::{ErrorKind, Read};
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

/// How a job went.
pub struct Result {
    pub ending: Ending,
    /// A served answer as the host gave it.
    pub answer: Vec<u8>,
    pub told: Told,
    /// The connection can take another job.
    pub open: bool,
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
        stream.set_nodelay(true).map_err(|_| Ending::Unreached)?;
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
        let written = stream.set_write_timeout(Some(left)).and_then(|()| match &job.work {
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
        });
        if written.is_err() {
            // The last byte was not written: the host cannot have begun.
            return ended(Ending::Unreached);
        }
        let asked = matches!(job.work, Work::Probe);
        let mut reading = Reading { opening: fresh, ..Reading::default() };
        buf.clear();
        let mut broke = self.read(stream, job.until, buf, &mut reading);
        if broke == Some(Ending::Reset) && self.line.called_back() {
            // This router broke it: taken for the host's doing, each op withdrawn made its host look dead.
            broke = Some(Ending::Withdrawn);
        }
        reading.result(broke, asked)
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
                match frame::message(buf, limits.message_bytes) {
                    Ok(Some((kind, body))) => {
                        let end = body.end;
                        reading.take(kind, &buf[body], &buf[..end]);
                        buf.drain(..end);
                    }
                    Ok(None) => break,
                    Err(_) => return Some(Ending::Errored),
                }
            }
            if reading.done {
                // An answer that nobody asked for follows: the stream can't be followed any more.
                return (!buf.is_empty()).then_some(Ending::Errored);
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
        let mut reading = Reading { opening: true, only: true, ..Reading::default() };
        buf.clear();
        let until = self.hall.clock.now() + self.hall.limits.dial_ms;
        self.read(stream, until, buf, &mut reading).is_none() && reading.error.is_none()
    }
}

fn ended(ending: Ending) -> Result {
    Result { ending, answer: Vec::new(), told: Told::default(), open: false }
}

/// True where an idle connection has ended, or says what nobody asked for.
fn is_stale(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let quiet = peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    !quiet || stream.set_nonblocking(false).is_err()
}

/// An answer as it is read, message by message.
#[derive(Default)]
struct Reading {
    /// The host has not admitted the connection yet.
    opening: bool,
    /// Nothing is expected after that.
    only: bool,
    answer: Vec<u8>,
    value: Vec<u8>,
    rows: usize,
    described: bool,
    complete: bool,
    odd: bool,
    error: Option<Vec<u8>>,
    told: Told,
    done: bool,
}

impl Reading {
    /// One message: its kind, its body, and all of it.
    fn take(&mut self, kind: u8, body: &[u8], whole: &[u8]) {
        if self.done {
            self.odd = true;
            return;
        }
        match kind {
            b'Z' if self.opening => (self.opening, self.done) = (false, self.only),
            b'Z' => self.done = true,
            b'E' => {
                self.error = Some(frame::error_field(body, b'C').unwrap_or_default().to_vec());
                self.done |= self.opening;
            }
            b'S' if !self.opening => {
                if let Some((name, at)) = frame::text(body, 0)
                    && let Some((value, _)) = frame::text(body, at)
                {
                    self.told.parameter(name, value);
                }
            }
            b'T' if !self.opening && !self.described => {
                self.described = true;
                self.odd |= frame::columns(body) != Some(1);
                self.answer.extend_from_slice(whole);
            }
            b'D' if !self.opening => {
                self.rows += 1;
                self.odd |= !self.described || self.rows > 1 || frame::columns(body) != Some(1);
                self.value = frame::column(body).unwrap_or_default().to_vec();
                self.answer.extend_from_slice(whole);
            }
            b'C' if !self.opening && !self.complete => {
                self.complete = true;
                self.answer.extend_from_slice(whole);
            }
            // Authentication without a password, keys to cancel with, notices, parameters.
            b'R' if self.opening => self.odd |= body != [0; 4],
            b'K' | b'N' | b'S' | b'v' => {}
            _ => self.odd = true,
        }
    }

    /// What it comes to; `broke` says how reading ended where the answer is not whole.
    fn result(self, broke: Option<Ending>, probe: bool) -> Result {
        let refused = self.opening && self.error.is_some();
        let row = self.described && self.rows == 1 && self.complete && self.error.is_none();
        let ending = match (self.error.as_deref(), broke) {
            // Not admitted, most likely for too many connections: nothing of the job was looked at.
            _ if refused => Ending::Unreached,
            (Some(b"53300" | b"57P03"), _) => Ending::Full,
            (Some(b"25006" | b"72000"), _) => Ending::Missed,
            (Some(_), _) => Ending::Errored,
            _ if self.odd => Ending::Errored,
            _ if row => Ending::Acked,
            (None, Some(ending)) => ending,
            (None, None) => Ending::Errored,
        };
        let mut told = self.told;
        if probe && ending == Ending::Acked {
            told.report(std::str::from_utf8(&self.value).unwrap_or(""));
        }
        let open = self.done && broke.is_none() && !self.odd && !refused;
        Result { ending, answer: self.answer, told, open }
    }
}

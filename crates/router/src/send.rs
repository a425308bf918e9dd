//! Sends to hosts: one connection, one job at a time. Dials, writes, reads until the answer is whole, and never
//! waits: the hosts' loop (`host_loop.rs`) calls it when its socket has news or its time is up.

use crate::answer::{Reading, Result, ended};
use crate::event::Statement;
use crate::probe;
use crate::shared::Shared;
use crate::vectored_io;
use magpiewell::Ending;
use magpiewell_pg::{encode, frame, validate};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

pub const USER: &str = "svc";
pub const DATABASE: &str = "main";

/// What a connection is to do, until when on the router's clock, and until when it may begin to be written.
pub struct Job {
    pub work: Work,
    pub until: f64,
    pub begin_by: f64,
}

pub enum Work {
    Op(Arc<Statement>),
    Probe,
}

/// What the decision thread and the hosts' loop both see of a connection: how far its job is.
#[derive(Default)]
pub struct Line(Mutex<Stage>);

#[derive(Default)]
enum Stage {
    /// Nothing of the job has been written.
    #[default]
    Waiting,
    /// Some of it, and all of it.
    Begun(Arc<TcpStream>),
    Written(Arc<TcpStream>),
    CalledBack,
}

/// How much of a job a call back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBack {
    /// Only one of which nothing has been written.
    Waiting,
    /// One that the host has not got whole: it can't have begun.
    Unfinished,
    /// Any.
    All,
}

/// What a call back came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CalledBack {
    /// Nothing of the job was or will be written; a dial goes on for the next job.
    Unwritten,
    /// Its connection is broken off, and the loop still tells how it ended, be it by an answer that came before.
    BrokenOff,
    /// It goes on.
    No,
}

impl Line {
    fn stage(&self) -> MutexGuard<'_, Stage> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn begin(&self) {
        *self.stage() = Stage::Waiting;
    }

    pub fn call_back(&self, which: CallBack) -> CalledBack {
        let mut stage = self.stage();
        let ends = match &*stage {
            Stage::Waiting => true,
            Stage::Begun(_) => which != CallBack::Waiting,
            Stage::Written(_) => which == CallBack::All,
            Stage::CalledBack => return CalledBack::BrokenOff,
        };
        if !ends {
            return CalledBack::No;
        }
        match std::mem::replace(&mut *stage, Stage::CalledBack) {
            Stage::Begun(stream) | Stage::Written(stream) => {
                drop(stream.shutdown(Shutdown::Both));
                CalledBack::BrokenOff
            }
            _ => CalledBack::Unwritten,
        }
    }

    fn called_back(&self) -> bool {
        matches!(*self.stage(), Stage::CalledBack)
    }

    /// Writes what is taken without waiting, and notes how far the job is; none where it has been called back. Under
    /// the lock, or a call back between the note and the write would break off what then counts as the host's doing.
    fn write(&self, stream: &Arc<TcpStream>, parts: &[&[u8]]) -> Option<std::io::Result<usize>> {
        let mut stage = self.stage();
        if matches!(*stage, Stage::CalledBack) {
            return None;
        }
        let written = vectored_io::write_nonblocking(stream, parts);
        let whole = parts.iter().map(|part| part.len()).sum::<usize>();
        let all = written.as_ref().is_ok_and(|n| *n == whole);
        *stage = if all { Stage::Written(stream.clone()) } else { Stage::Begun(stream.clone()) };
        Some(written)
    }
}

/// What came of a step.
pub enum Step {
    /// It goes on when the socket has news.
    Wait,
    /// The job is over; the connection stays where the result says so.
    Over(Box<Result>),
    /// It ended idle: of a job it may have been given meanwhile nothing was written.
    Closed,
}

enum Phase {
    /// The connection is being opened, for a job.
    Dialling(Job),
    /// A job is being written or answered; none where the connection is only opened.
    Carrying(Option<Job>, Reading),
    Idle,
}

pub struct Connection {
    shared: Arc<Shared>,
    line: Arc<Line>,
    pub stream: Arc<TcpStream>,
    phase: Phase,
    /// Nothing has been written on it yet.
    fresh: bool,
    /// What the host has not taken yet of what is written to it.
    out: Vec<u8>,
    buf: Vec<u8>,
    /// Bytes that have come for this job: what never ends would else have the loop to itself, or the op's whole time.
    came: usize,
    /// When this phase ends at the latest.
    due: f64,
}

impl Connection {
    /// Starts to open a connection for a job; how the job ended where that can't be.
    pub fn dial(
        shared: &Arc<Shared>,
        addr: SocketAddr,
        line: Arc<Line>,
        job: Job,
    ) -> std::result::Result<Connection, Ending> {
        let now = shared.clock.now();
        let due = job.until.min(job.begin_by).min(now + shared.limits.dial_ms);
        if due <= now {
            return Err(Ending::Unsent);
        }
        let open = || {
            let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            socket.set_tcp_nodelay(true)?;
            match socket.connect(&addr.into()) {
                Err(e)
                    if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(libc::EINPROGRESS) =>
                {
                    Err(e)
                }
                _ => Ok(TcpStream::from(socket)),
            }
        };
        let stream = Arc::new(open().map_err(|e| unreached(&e))?);
        let (shared, phase) = (shared.clone(), Phase::Dialling(job));
        let (out, buf, came) = Default::default();
        Ok(Connection { shared, line, stream, phase, fresh: true, out, buf, came, due })
    }

    pub fn due(&self) -> f64 {
        self.due
    }

    /// Takes the next job.
    pub fn take(&mut self, job: Job) -> Step {
        // What the host closed meanwhile, or said too much, is noticed before anything is written to it.
        if !matches!(self.phase, Phase::Idle) || is_stale(&self.stream) {
            return Step::Closed;
        }
        self.carry(job)
    }

    /// The socket has news. `writable`: it takes bytes, or could not be opened; `ended`: the host has ended its
    /// sending.
    pub fn news(&mut self, writable: bool, ended: bool, scratch: &mut [u8]) -> Step {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => {
                if is_stale(&self.stream) {
                    return Step::Closed;
                }
                Step::Wait
            }
            Phase::Dialling(job) if !writable => {
                self.phase = Phase::Dialling(job);
                Step::Wait
            }
            Phase::Dialling(job) => match self.stream.take_error() {
                Ok(None) if self.stream.peer_addr().is_err() => {
                    self.phase = Phase::Dialling(job);
                    Step::Wait
                }
                Ok(None) => self.carry(job),
                Ok(Some(e)) | Err(e) => over(crate::answer::ended(unreached(&e))),
            },
            Phase::Carrying(job, reading) => {
                self.phase = Phase::Carrying(job, reading);
                if writable
                    && !self.out.is_empty()
                    && let Some(step) = self.write_on()
                {
                    return step;
                }
                if self.out.is_empty() { self.read(scratch, ended) } else { Step::Wait }
            }
        }
    }

    /// Its time is up.
    pub fn overdue(&mut self) -> Step {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            // Hosts are about to close it.
            Phase::Idle => Step::Closed,
            // It took longer than the op's repeat or the age of the host's data allows: not the host's fault.
            Phase::Dialling(job) if self.shared.clock.now() >= job.begin_by => over(ended(Ending::Unsent)),
            Phase::Dialling(_) => over(ended(Ending::Unreached)),
            Phase::Carrying(Some(_), _) if self.line.called_back() => over(ended(Ending::Withdrawn)),
            // The last byte was not written: the host cannot have begun.
            Phase::Carrying(Some(_), _) if !self.out.is_empty() => over(ended(Ending::Unreached)),
            Phase::Carrying(Some(job), reading) => over(self.result(&job, reading, Some(Ending::TimedOut))),
            Phase::Carrying(None, _) => over(ended(Ending::Withdrawn)),
        }
    }

    /// Writes the job, on a connection that is open.
    fn carry(&mut self, job: Job) -> Step {
        let (now, limits) = (self.shared.clock.now(), &self.shared.limits);
        let fresh = std::mem::replace(&mut self.fresh, false);
        let mut opening = Vec::new();
        if fresh {
            encode::startup_message(&mut opening, USER, DATABASE);
        }
        self.buf.clear();
        self.came = 0;
        if now >= job.begin_by.min(job.until) && !self.line.called_back() {
            let result = Result { open: !fresh, ..ended(Ending::Unsent) };
            return if fresh { over(result) } else { self.rest(result) };
        }
        let left = self.shared.clock.until(job.until).as_millis().max(1);
        let (tag, wait) = match &job.work {
            Work::Op(statement) if statement.is_write => (&b"INSERT 0 1"[..], format!("{left}")),
            Work::Op(_) => (&b"SELECT 1"[..], format!("{left}")),
            Work::Probe => (&b"SHOW"[..], String::new()),
        };
        let (before, behind) = match &job.work {
            Work::Op(s) => (&s.text[..s.timeout_range.start], &s.text[s.timeout_range.end..]),
            Work::Probe => (probe::ASK, &b""[..]),
        };
        let head = encode::query_header(before.len() + wait.len() + behind.len());
        let parts = [&opening, &head[..], before, wait.as_bytes(), behind, &[0]];
        let mut taken = match self.line.write(&self.stream, &parts) {
            Some(Ok(taken)) => taken,
            Some(Err(_)) => return over(ended(Ending::Unreached)),
            None if !fresh => return self.rest(Result { open: true, ..ended(Ending::Withdrawn) }),
            // Dialled for a job that was called back meanwhile: kept for the next one.
            None => {
                self.due = now + limits.dial_ms;
                self.phase = Phase::Carrying(None, Reading::new(true, true, b""));
                return match vectored_io::write_nonblocking(&self.stream, &[&opening]) {
                    Ok(taken) if taken == opening.len() => Step::Wait,
                    _ => over(ended(Ending::Withdrawn)),
                };
            }
        };
        for part in parts {
            self.out.extend_from_slice(&part[taken.min(part.len())..]);
            taken -= taken.min(part.len());
        }
        // A host begins at the last byte: that too must come in time.
        self.due = if self.out.is_empty() { job.until } else { (now + limits.dial_ms).min(job.begin_by) };
        self.phase = Phase::Carrying(Some(job), Reading::new(fresh, false, tag));
        Step::Wait
    }

    /// Writes what the host did not take at once.
    fn write_on(&mut self) -> Option<Step> {
        let taken = match self.line.write(&self.stream, &[&self.out]) {
            Some(Ok(taken)) => taken,
            Some(Err(_)) => return Some(over(ended(Ending::Unreached))),
            None => return Some(over(ended(Ending::Withdrawn))),
        };
        self.out.drain(..taken);
        if let (true, Phase::Carrying(Some(job), _)) = (self.out.is_empty(), &self.phase) {
            self.out = Vec::new();
            self.due = job.until;
        }
        None
    }

    /// Reads what has come, until the answer is whole.
    fn read(&mut self, scratch: &mut [u8], closed: bool) -> Step {
        let Phase::Carrying(job, mut reading) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Step::Wait;
        };
        let broke = loop {
            match (&*self.stream).read(scratch) {
                Ok(0) => break Some(Ending::Reset),
                Ok(n) => {
                    let read = &scratch[..n];
                    self.came += n;
                    if self.buf.is_empty() {
                        let at = feed(read, &mut reading, self.shared.limits.message_bytes);
                        self.buf.extend_from_slice(&read[at..]);
                    } else {
                        self.buf.extend_from_slice(read);
                        let at = feed(&self.buf, &mut reading, self.shared.limits.message_bytes);
                        self.buf.drain(..at);
                    }
                    if !reading.done() && self.came > self.shared.limits.answer_bytes {
                        reading.spoil();
                    }
                    if reading.done() {
                        break None;
                    }
                    if n < scratch.len() && !closed {
                        self.phase = Phase::Carrying(job, reading);
                        return Step::Wait;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.phase = Phase::Carrying(job, reading);
                    return Step::Wait;
                }
                Err(_) => break Some(Ending::Reset),
            }
        };
        let result = match job {
            Some(job) => self.result(&job, reading, broke),
            None => {
                let open = broke.is_none() && reading.admitted() && self.buf.is_empty();
                Result { open, ..ended(Ending::Withdrawn) }
            }
        };
        self.rest(Result { open: result.open && !closed, ..result })
    }

    fn result(&self, job: &Job, reading: Reading, broke: Option<Ending>) -> Result {
        let broke = match broke {
            // This router broke it: taken for the host's doing, each op withdrawn made its host look dead.
            Some(Ending::Reset) if self.line.called_back() => Some(Ending::Withdrawn),
            other => other,
        };
        reading.result(broke, !self.buf.is_empty(), matches!(job.work, Work::Probe))
    }

    /// The job is over, and the connection may wait for the next one.
    fn rest(&mut self, result: Result) -> Step {
        self.phase = Phase::Idle;
        // What is idle keeps no room.
        self.buf = Vec::new();
        self.due = self.shared.clock.now() + self.shared.limits.host_idle.as_secs_f64() * 1000.0;
        over(result)
    }
}

fn over(result: Result) -> Step {
    Step::Over(Box::new(result))
}

fn unreached(e: &std::io::Error) -> Ending {
    match e.raw_os_error() {
        // Out of descriptors, ports or memory here: this tells nothing of the host.
        Some(libc::ENFILE | libc::EMFILE | libc::EADDRNOTAVAIL | libc::ENOBUFS | libc::ENOMEM) => {
            Ending::Unsent
        }
        _ => Ending::Unreached,
    }
}

/// Takes all whole messages up to the answer's end; tells where the rest begins.
fn feed(buf: &[u8], reading: &mut Reading, most: usize) -> usize {
    let mut at = 0;
    while !reading.done() {
        let buf = &buf[at..];
        // A message that can't be one ends the answer at its head: waited for, it would cost the op all of its
        // time.
        let rest = buf.get(5..).unwrap_or_default();
        let sound = frame::length_at(buf, 1).is_none_or(|length| {
            validate::is_valid_prefix(buf[0], length, &rest[..rest.len().min(length.saturating_sub(4))])
        });
        if !sound || buf.first().is_some_and(|kind| !validate::is_known_kind(*kind)) {
            reading.spoil();
            break;
        }
        match frame::message(buf, most) {
            Ok(Some((kind, body))) => {
                at += body.end;
                reading.take(kind, &buf[body.clone()], &buf[..body.end]);
            }
            Ok(None) => break,
            Err(_) => reading.spoil(),
        }
    }
    at
}

/// True where an idle connection has ended, or says what nobody asked for.
fn is_stale(stream: &TcpStream) -> bool {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    let peeked = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags);
    !peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;

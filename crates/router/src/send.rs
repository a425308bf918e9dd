//! Connections to hosts, one job at a time each: connects, writes the job and reads until the answer is
//! complete, without blocking. The host loop (`host_loop.rs`) calls it when the socket is ready or its
//! deadline has passed.

use crate::answer::{AnswerReader, JobResult, without_answer};
use crate::event::Statement;
use crate::job_progress::JobProgress;
use crate::probe;
use crate::shared::Shared;
use crate::vectored_io;
use crate::verification::{Verdict, Verification};
use magpiewell::Ending;
use magpiewell_pg::{encode, frame, validate};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// User and database that the router states in its startup messages to hosts.
pub const USER: &str = "svc";
pub const DATABASE: &str = "main";

/// A job for a connection. `deadline` and `begin_by` are times on the router's clock: it must be finished by
/// `deadline`, and writing it must have begun by `begin_by`.
pub struct Job {
    pub work: Work,
    pub deadline: f64,
    pub begin_by: f64,
}

pub enum Work {
    Op(Arc<Statement>),
    Probe,
}

/// What the host loop does after a step of a connection.
pub enum Step {
    /// Waits until the socket is ready.
    Wait,
    /// Reports the finished job; keeps the connection if the result says that it is reusable.
    Done(Box<JobResult>),
    /// Drops a connection that was closed while idle: nothing was written of a job assigned to it meanwhile.
    Closed,
}

enum Phase {
    /// The connection is being opened, for a job.
    Connecting(Job),
    /// A job is being written or answered. Without a job, only the startup phase is completed.
    Active(Option<Job>, Reading),
    Idle,
}

/// What is being read from a connection.
enum Reading {
    Answer(AnswerReader),
    /// An empty query was asked behind a doubtful answer.
    Verification(Box<Verification>),
}

impl Reading {
    fn reader(&mut self) -> &mut AnswerReader {
        match self {
            Reading::Answer(reader) => reader,
            Reading::Verification(verification) => verification.reader(),
        }
    }
}

pub struct Connection {
    shared: Arc<Shared>,
    progress: Arc<JobProgress>,
    pub stream: Arc<TcpStream>,
    phase: Phase,
    /// Nothing has been written yet, not even the startup message.
    is_new: bool,
    /// Bytes that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// Bytes received that don't make up a whole message yet.
    buf: Vec<u8>,
    /// Bytes received for this job. They are limited, as an endless answer would otherwise occupy the loop or
    /// use up the op's whole time.
    received_bytes: usize,
    /// Hash of the row in the answer before; `None` if that had none.
    latest_row: Option<u64>,
    /// When the answer before was complete, on the router's clock; `None` before the first one.
    idle_since: Option<f64>,
    /// How long the connection had been idle when writing the current job began.
    idle_ms: Option<f64>,
    /// The deadline of the current phase.
    due: f64,
}

impl Connection {
    /// Starts to open a connection for a job. On failure, returns how the job ended.
    pub fn connect(
        shared: &Arc<Shared>,
        addr: SocketAddr,
        progress: Arc<JobProgress>,
        job: Job,
    ) -> std::result::Result<Connection, Ending> {
        let now = shared.clock.now();
        let due = job.deadline.min(job.begin_by).min(now + shared.limits.dial_ms);
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
        let stream = Arc::new(open().map_err(|e| connect_error_ending(&e))?);
        let (shared, phase) = (shared.clone(), Phase::Connecting(job));
        let (unsent, buf, received_bytes, latest_row) = Default::default();
        Ok(Connection {
            shared,
            progress,
            stream,
            phase,
            is_new: true,
            unsent,
            buf,
            received_bytes,
            latest_row,
            idle_since: None,
            idle_ms: None,
            due,
        })
    }

    pub fn due(&self) -> f64 {
        self.due
    }

    /// Starts the next job.
    pub fn start(&mut self, job: Job) -> Step {
        // If the host has closed the connection or sent unexpected bytes meanwhile, nothing may be written to
        // it.
        if !matches!(self.phase, Phase::Idle) || is_stale(&self.stream) {
            return Step::Closed;
        }
        self.write_job(job)
    }

    /// The socket is ready. `writable`: it accepts bytes, or connecting failed; `read_closed`: the host has
    /// closed its side.
    pub fn on_ready(&mut self, writable: bool, read_closed: bool, scratch: &mut [u8]) -> Step {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => {
                if is_stale(&self.stream) {
                    return Step::Closed;
                }
                Step::Wait
            }
            Phase::Connecting(job) if !writable => {
                self.phase = Phase::Connecting(job);
                Step::Wait
            }
            Phase::Connecting(job) => match self.stream.take_error() {
                Ok(None) if self.stream.peer_addr().is_err() => {
                    self.phase = Phase::Connecting(job);
                    Step::Wait
                }
                Ok(None) => self.write_job(job),
                Ok(Some(e)) | Err(e) => done(crate::answer::without_answer(connect_error_ending(&e))),
            },
            Phase::Active(job, reading) => {
                self.phase = Phase::Active(job, reading);
                // The host starts the job at its last byte: what arrives before that is not its answer.
                if !self.unsent.is_empty() && self.idle_since.is_some() && has_received(&self.stream) {
                    return done(without_answer(Ending::Unreached));
                }
                if writable
                    && !self.unsent.is_empty()
                    && let Some(step) = self.write_unsent()
                {
                    return step;
                }
                if self.unsent.is_empty() { self.read(scratch, read_closed) } else { Step::Wait }
            }
        }
    }

    /// The deadline of the current phase has passed.
    pub fn on_timeout(&mut self) -> Step {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            // The host is about to close it.
            Phase::Idle => Step::Closed,
            // Connecting took longer than hosts recognise repeats of the op, or than the host's data may be
            // used for it: not the host's fault.
            Phase::Connecting(job) if self.shared.clock.now() >= job.begin_by => {
                done(without_answer(Ending::Unsent))
            }
            Phase::Connecting(_) => done(without_answer(Ending::Unreached)),
            Phase::Active(Some(_), _) if self.progress.is_cancelled() => {
                done(without_answer(Ending::Withdrawn))
            }
            // The last byte was not written, so the host can't have started the job.
            Phase::Active(Some(_), _) if !self.unsent.is_empty() => done(without_answer(Ending::Unreached)),
            Phase::Active(Some(job), Reading::Answer(reader)) => {
                done(self.result(&job, reader, Some(Ending::TimedOut)))
            }
            Phase::Active(Some(_), Reading::Verification(_)) => done(without_answer(Ending::TimedOut)),
            Phase::Active(None, _) => done(without_answer(Ending::Withdrawn)),
        }
    }

    /// Writes the job on an open connection.
    fn write_job(&mut self, job: Job) -> Step {
        let (now, limits) = (self.shared.clock.now(), &self.shared.limits);
        let is_new = std::mem::replace(&mut self.is_new, false);
        let mut startup = Vec::new();
        if is_new {
            encode::startup_message(&mut startup, USER, DATABASE);
        }
        self.buf.clear();
        self.received_bytes = 0;
        self.idle_ms = self.idle_since.map(|idle_since| now - idle_since);
        if now >= job.begin_by.min(job.deadline) && !self.progress.is_cancelled() {
            let result = JobResult { is_reusable: !is_new, ..without_answer(Ending::Unsent) };
            return if is_new { done(result) } else { self.finish(result) };
        }
        let remaining_ms = self.shared.clock.until(job.deadline).as_millis().max(1);
        let (tag, timeout) = match &job.work {
            Work::Op(statement) if statement.is_write => (&b"INSERT 0 1"[..], format!("{remaining_ms}")),
            Work::Op(_) => (&b"SELECT 1"[..], format!("{remaining_ms}")),
            Work::Probe => (&b"SHOW"[..], String::new()),
        };
        let (before, after) = match &job.work {
            Work::Op(s) => (&s.text[..s.client_timeout_range.start], &s.text[s.client_timeout_range.end..]),
            Work::Probe => (probe::USAGE_QUERY, &b""[..]),
        };
        let header = encode::query_header(before.len() + timeout.len() + after.len());
        let parts = [&startup, &header[..], before, timeout.as_bytes(), after, &[0]];
        let mut written = match self.progress.write(&self.stream, &parts) {
            Some(Ok(written)) => written,
            Some(Err(_)) => return done(without_answer(Ending::Unreached)),
            None if !is_new => {
                return self.finish(JobResult { is_reusable: true, ..without_answer(Ending::Withdrawn) });
            }
            // Opened for a job that was cancelled meanwhile: kept for the next one.
            None => {
                self.due = now + limits.dial_ms;
                self.phase = Phase::Active(None, Reading::Answer(AnswerReader::new(true, true, b"")));
                return match vectored_io::write_nonblocking(&self.stream, &[&startup]) {
                    Ok(written) if written == startup.len() => Step::Wait,
                    _ => done(without_answer(Ending::Withdrawn)),
                };
            }
        };
        for part in parts {
            self.unsent.extend_from_slice(&part[written.min(part.len())..]);
            written -= written.min(part.len());
        }
        // The host starts the job at the last byte, so that byte must be written in time as well.
        self.due =
            if self.unsent.is_empty() { job.deadline } else { (now + limits.dial_ms).min(job.begin_by) };
        self.phase = Phase::Active(Some(job), Reading::Answer(AnswerReader::new(is_new, false, tag)));
        Step::Wait
    }

    /// Writes what the socket did not accept before.
    fn write_unsent(&mut self) -> Option<Step> {
        let written = match self.progress.write(&self.stream, &[&self.unsent]) {
            Some(Ok(written)) => written,
            Some(Err(_)) => return Some(done(without_answer(Ending::Unreached))),
            None => return Some(done(without_answer(Ending::Withdrawn))),
        };
        self.unsent.drain(..written);
        if let (true, Phase::Active(Some(job), _)) = (self.unsent.is_empty(), &self.phase) {
            self.unsent = Vec::new();
            self.due = job.deadline;
        }
        None
    }

    /// Reads what has arrived, until the answer to the job is complete and known to belong to it.
    fn read(&mut self, scratch: &mut [u8], read_closed: bool) -> Step {
        let Phase::Active(job, mut reading) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Step::Wait;
        };
        loop {
            let read_end = match self.read_answer(reading.reader(), scratch, read_closed) {
                Progressed::Waiting => {
                    self.phase = Phase::Active(job, reading);
                    return Step::Wait;
                }
                Progressed::Ended(read_end) => read_end,
            };
            reading = match reading {
                Reading::Answer(reader) if !self.is_doubtful(job.as_ref(), &reader) => {
                    return self.complete(job, reader, read_end, read_closed);
                }
                Reading::Answer(reader) if read_end.is_none() && self.ask_empty_query() => {
                    Reading::Verification(Box::new(Verification::new(reader)))
                }
                Reading::Verification(verification) if read_end.is_none() => match verification.advance() {
                    Verdict::Pending(verification) => Reading::Verification(Box::new(verification)),
                    Verdict::Confirmed { answer, had_copy } => {
                        self.shared.metrics.second_copies.fetch_add(usize::from(had_copy), Relaxed);
                        return self.complete(job, answer, None, read_closed);
                    }
                    Verdict::Failed => return self.fail_verification(),
                },
                _ => return self.fail_verification(),
            }
        }
    }

    /// Reads one answer as far as it has arrived.
    fn read_answer(
        &mut self,
        reader: &mut AnswerReader,
        scratch: &mut [u8],
        read_closed: bool,
    ) -> Progressed {
        let limits = &self.shared.limits;
        let at = read_messages(&self.buf, reader, limits.message_bytes);
        self.buf.drain(..at);
        while !reader.is_done() {
            match (&*self.stream).read(scratch) {
                Ok(0) => return Progressed::Ended(Some(Ending::Reset)),
                Ok(n) => {
                    let read = &scratch[..n];
                    self.received_bytes += n;
                    if self.buf.is_empty() {
                        let at = read_messages(read, reader, limits.message_bytes);
                        self.buf.extend_from_slice(&read[at..]);
                    } else {
                        self.buf.extend_from_slice(read);
                        let at = read_messages(&self.buf, reader, limits.message_bytes);
                        self.buf.drain(..at);
                    }
                    if !reader.is_done() && self.received_bytes > limits.answer_bytes {
                        reader.mark_malformed();
                    }
                    if !reader.is_done() && n < scratch.len() && !read_closed {
                        return Progressed::Waiting;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Progressed::Waiting,
                Err(_) => return Progressed::Ended(Some(Ending::Reset)),
            }
        }
        Progressed::Ended(None)
    }

    /// Whether the answer may be a second copy of the answer before, which was still under way as the job was
    /// written. A probe's report may equal the one before it, and is worth as much.
    fn is_doubtful(&self, job: Option<&Job>, reader: &AnswerReader) -> bool {
        let is_op = job.is_some_and(|job| matches!(job.work, Work::Op(_)));
        let may_have_surplus = self.idle_ms.is_some_and(|idle_ms| idle_ms < self.shared.limits.surplus_ms);
        let row = reader.row_hash();
        is_op && may_have_surplus && row.is_some() && row == self.latest_row
    }

    /// Asks the empty query that settles which answer belongs to the job; false if it can't be written.
    fn ask_empty_query(&self) -> bool {
        self.shared.metrics.doubtful_answers.fetch_add(1, Relaxed);
        let query = [&encode::query_header(0)[..], &[0]].concat();
        let written = self.progress.write(&self.stream, &[&query]);
        written.is_some_and(|written| written.is_ok_and(|n| n == query.len()))
    }

    /// No answer is known to belong to the job, which may have run.
    fn fail_verification(&self) -> Step {
        let is_cancelled = self.progress.is_cancelled();
        done(without_answer(if is_cancelled { Ending::Withdrawn } else { Ending::Spoilt }))
    }

    /// Ends the job with its answer, or with how reading it ended.
    fn complete(
        &mut self,
        job: Option<Job>,
        reader: AnswerReader,
        read_end: Option<Ending>,
        read_closed: bool,
    ) -> Step {
        (self.latest_row, self.idle_since) = (reader.row_hash(), Some(self.shared.clock.now()));
        let result = match job {
            Some(job) => self.result(&job, reader, read_end),
            None => {
                let is_reusable = read_end.is_none() && reader.is_accepted() && self.buf.is_empty();
                JobResult { is_reusable, ..without_answer(Ending::Withdrawn) }
            }
        };
        self.finish(JobResult { is_reusable: result.is_reusable && !read_closed, ..result })
    }

    fn result(&self, job: &Job, reader: AnswerReader, read_end: Option<Ending>) -> JobResult {
        let read_end = match read_end {
            // This router shut the connection down. Counted as the host's doing, each withdrawn op would make
            // its host look dead.
            Some(Ending::Reset) if self.progress.is_cancelled() => Some(Ending::Withdrawn),
            other => other,
        };
        reader.into_result(read_end, !self.buf.is_empty(), matches!(job.work, Work::Probe))
    }

    /// The job is done; the connection is idle until the next one.
    fn finish(&mut self, result: JobResult) -> Step {
        self.phase = Phase::Idle;
        // An idle connection holds no buffer.
        self.buf = Vec::new();
        self.due = self.shared.clock.now() + self.shared.limits.host_idle.as_secs_f64() * 1000.0;
        done(result)
    }
}

/// How far reading an answer has come.
enum Progressed {
    /// More of it has to arrive.
    Waiting,
    /// It is complete or malformed, or reading it ended in this way.
    Ended(Option<Ending>),
}

fn done(result: JobResult) -> Step {
    Step::Done(Box::new(result))
}

fn connect_error_ending(e: &std::io::Error) -> Ending {
    match e.raw_os_error() {
        // The router is out of descriptors, ports or memory, which says nothing about the host.
        Some(libc::ENFILE | libc::EMFILE | libc::EADDRNOTAVAIL | libc::ENOBUFS | libc::ENOMEM) => {
            Ending::Unsent
        }
        _ => Ending::Unreached,
    }
}

/// Reads all whole messages up to the end of the answer; returns the offset of the first unread byte.
fn read_messages(buf: &[u8], reader: &mut AnswerReader, max_message_bytes: usize) -> usize {
    let mut at = 0;
    while !reader.is_done() {
        let buf = &buf[at..];
        // An invalid message is detected by its first bytes: waiting for the rest would cost the op all of
        // its time.
        let rest = buf.get(5..).unwrap_or_default();
        let is_valid = frame::length_at(buf, 1).is_none_or(|length| {
            validate::is_valid_prefix(buf[0], length, &rest[..rest.len().min(length.saturating_sub(4))])
        });
        if !is_valid || buf.first().is_some_and(|kind| !validate::is_known_kind(*kind)) {
            reader.mark_malformed();
            break;
        }
        match frame::message(buf, max_message_bytes) {
            Ok(Some((kind, body))) => {
                at += body.end;
                reader.read_message(kind, &buf[body.clone()], &buf[..body.end]);
            }
            Ok(None) => break,
            Err(_) => reader.mark_malformed(),
        }
    }
    at
}

/// Whether an idle connection has ended or holds unexpected bytes.
fn is_stale(stream: &TcpStream) -> bool {
    !peek(stream).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Whether bytes of the host have arrived that are not read yet.
fn has_received(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|n| n > 0)
}

/// Looks for a byte without reading it or blocking; 0 if the connection has ended.
fn peek(stream: &TcpStream) -> std::io::Result<usize> {
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags)
}

#[cfg(test)]
mod tests;

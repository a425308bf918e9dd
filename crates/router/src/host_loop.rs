//! The host loop: one thread that polls all connections to hosts, opens them, writes jobs to them and reads
//! the answers. It executes the decision thread's commands, reports the results as events, and decides
//! nothing.

use crate::answer::without_answer;
use crate::event::Event;
use crate::job_progress::JobProgress;
use crate::send::{Connection, Job, Step};
use crate::shared::Shared;
use crate::timers::Timers;
use crossbeam_channel::{Receiver, Sender, TryRecvError};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::Arc;

const WAKE: Token = Token(usize::MAX);

/// A command of the decision thread.
pub enum Command {
    /// Opens a connection for a job.
    Open { conn_id: u64, addr: SocketAddr, progress: Arc<JobProgress>, job: Job },
    /// Runs a job on an idle connection. Ignored if the connection has just ended, which the loop has then
    /// reported.
    Run { conn_id: u64, job: Job },
    /// Closes an idle connection.
    Close { conn_id: u64 },
}

/// Sends commands to the host loop. Several commands wake the loop once.
pub struct CommandSender {
    sender: Sender<Command>,
    waker: Waker,
    /// Commands have been sent since the loop was last woken.
    needs_wake: Cell<bool>,
}

impl CommandSender {
    /// Queues a command; the loop executes it once it is woken.
    pub fn send(&self, command: Command) {
        drop(self.sender.send(command));
        self.needs_wake.set(true);
    }

    /// Wakes the loop if commands have been sent since the last wake.
    pub fn wake(&self) {
        if self.needs_wake.take() {
            drop(self.waker.wake());
        }
    }
}

pub struct HostLoop {
    shared: Arc<Shared>,
    events: Sender<Event>,
    poll: Poll,
    commands: Receiver<Command>,
    connections: HashMap<u64, Connection>,
    timers: Timers,
    scratch: Vec<u8>,
}

/// A loop that is not running yet, and the sender of its commands. The loop ends once the sender is dropped.
pub fn new(shared: &Arc<Shared>, events: Sender<Event>) -> std::io::Result<(HostLoop, CommandSender)> {
    let poll = Poll::new()?;
    let waker = Waker::new(poll.registry(), WAKE)?;
    let (sender, commands) = crossbeam_channel::unbounded();
    let scratch = vec![0; shared.limits.read_bytes];
    let (connections, timers) = Default::default();
    let host_loop = HostLoop { shared: shared.clone(), events, poll, commands, connections, timers, scratch };
    Ok((host_loop, CommandSender { sender, waker, needs_wake: Cell::new(false) }))
}

impl HostLoop {
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.events);
        loop {
            self.shared.pause_to_batch();
            let wait = self.timers.next_due().map(|due| self.shared.clock.until(due));
            // The end of the decision thread doesn't wake the loop, so it never sleeps longer than this.
            let wait = wait.unwrap_or(self.shared.limits.idle_check).min(self.shared.limits.idle_check);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "cannot poll host connections");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            for event in events.iter().filter(|event| event.token() != WAKE) {
                let conn_id = event.token().0 as u64;
                let Some(connection) = self.connections.get_mut(&conn_id) else { continue };
                let writable = event.is_writable() || event.is_error();
                let read_closed = event.is_read_closed() || event.is_error();
                let step = connection.on_ready(writable, read_closed, &mut self.scratch);
                self.handle_step(conn_id, step);
            }
            loop {
                match self.commands.try_recv() {
                    Ok(command) => self.execute(command),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            while let Some(conn_id) = self.timers.pop_due(self.shared.clock.now()) {
                if let Some(connection) = self.connections.get_mut(&conn_id) {
                    let step = connection.on_timeout();
                    self.handle_step(conn_id, step);
                }
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Open { conn_id, addr, progress, job } => {
                match Connection::connect(&self.shared, addr, progress, job) {
                    Ok(connection) => {
                        let fd = connection.stream.as_raw_fd();
                        let both = Interest::READABLE | Interest::WRITABLE;
                        let registered =
                            self.poll.registry().register(&mut SourceFd(&fd), Token(conn_id as usize), both);
                        if registered.is_err() {
                            let result = Box::new(without_answer(magpiewell::Ending::Unsent));
                            return drop(self.events.send(Event::JobFinished { conn_id, result }));
                        }
                        self.connections.insert(conn_id, connection);
                        self.handle_step(conn_id, Step::Wait);
                    }
                    Err(ending) => {
                        let result = Box::new(without_answer(ending));
                        drop(self.events.send(Event::JobFinished { conn_id, result }));
                    }
                }
            }
            Command::Run { conn_id, job } => {
                if let Some(connection) = self.connections.get_mut(&conn_id) {
                    let step = connection.start(job);
                    self.handle_step(conn_id, step);
                }
            }
            Command::Close { conn_id } => {
                self.connections.remove(&conn_id);
                self.timers.set(conn_id, None);
            }
        }
    }

    fn handle_step(&mut self, conn_id: u64, step: Step) {
        let keep = match &step {
            Step::Wait => true,
            Step::Done(result) => result.is_reusable,
            Step::Closed => false,
        };
        if keep {
            self.timers.set(conn_id, self.connections.get(&conn_id).map(Connection::due));
        } else {
            tracing::debug!(conn = conn_id, "given up");
            self.connections.remove(&conn_id);
            self.timers.set(conn_id, None);
        }
        match step {
            Step::Wait => {}
            Step::Done(result) => {
                tracing::debug!(
                    conn = conn_id,
                    ending = ?result.ending,
                    open = result.is_reusable,
                    "job finished"
                );
                drop(self.events.send(Event::JobFinished { conn_id, result }));
            }
            Step::Closed => {
                drop(self.events.send(Event::IdleConnectionClosed { conn_id }));
            }
        }
    }
}

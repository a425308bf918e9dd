//! The hosts' loop: one thread watches all connections to hosts, opens them, writes jobs on them and reads what
//! comes back. The decision thread gives it orders; it tells what came of them, and decides nothing.

use crate::answer::ended;
use crate::event::Event;
use crate::send::{Connection, Job, Line, Step};
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

pub enum Command {
    /// Opens a connection for a job.
    Open { no: u64, addr: SocketAddr, line: Arc<Line>, job: Job },
    /// A job for an idle connection. Where that has just ended the loop has told so already.
    Carry { no: u64, job: Job },
    /// Closes an idle connection.
    Close { no: u64 },
}

/// Where the decision thread gives its orders; several at once wake the loop once.
pub struct CommandSender {
    to: Sender<Command>,
    waker: Waker,
    /// Some have been given since the loop was last woken.
    waiting: Cell<bool>,
}

impl CommandSender {
    pub fn give(&self, order: Command) {
        drop(self.to.send(order));
        self.waiting.set(true);
    }

    pub fn wake(&self) {
        if self.waiting.take() {
            drop(self.waker.wake());
        }
    }
}

pub struct Hosts {
    shared: Arc<Shared>,
    events: Sender<Event>,
    poll: Poll,
    orders: Receiver<Command>,
    connections: HashMap<u64, Connection>,
    timers: Timers,
    scratch: Vec<u8>,
}

/// A loop, not yet running, and where it takes its orders. It ends once nobody can give it any.
pub fn new(shared: &Arc<Shared>, events: Sender<Event>) -> std::io::Result<(Hosts, CommandSender)> {
    let poll = Poll::new()?;
    let waker = Waker::new(poll.registry(), WAKE)?;
    let (to, orders) = crossbeam_channel::unbounded();
    let scratch = vec![0; shared.limits.read_bytes];
    let (connections, timers) = Default::default();
    let hosts = Hosts { shared: shared.clone(), events, poll, orders, connections, timers, scratch };
    Ok((hosts, CommandSender { to, waker, waiting: Cell::new(false) }))
}

impl Hosts {
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.events);
        loop {
            self.shared.pause_to_batch();
            let wait = self.timers.next_due().map(|due| self.shared.clock.until(due));
            // The decision thread's end wakes nobody.
            let wait = wait.unwrap_or(self.shared.limits.idle_check).min(self.shared.limits.idle_check);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "hosts can't be watched");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            for event in events.iter().filter(|event| event.token() != WAKE) {
                let no = event.token().0 as u64;
                let Some(connection) = self.connections.get_mut(&no) else { continue };
                let writable = event.is_writable() || event.is_error();
                let ended = event.is_read_closed() || event.is_error();
                let step = connection.news(writable, ended, &mut self.scratch);
                self.after(no, step);
            }
            loop {
                match self.orders.try_recv() {
                    Ok(order) => self.obey(order),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            while let Some(no) = self.timers.pop_due(self.shared.clock.now()) {
                if let Some(connection) = self.connections.get_mut(&no) {
                    let step = connection.overdue();
                    self.after(no, step);
                }
            }
        }
    }

    fn obey(&mut self, order: Command) {
        match order {
            Command::Open { no, addr, line, job } => match Connection::dial(&self.shared, addr, line, job) {
                Ok(connection) => {
                    let fd = connection.stream.as_raw_fd();
                    let both = Interest::READABLE | Interest::WRITABLE;
                    let watched = self.poll.registry().register(&mut SourceFd(&fd), Token(no as usize), both);
                    if watched.is_err() {
                        let result = Box::new(ended(magpiewell::Ending::Unsent));
                        return drop(self.events.send(Event::JobFinished { conn: no, result }));
                    }
                    self.connections.insert(no, connection);
                    self.after(no, Step::Wait);
                }
                Err(ending) => {
                    let result = Box::new(ended(ending));
                    drop(self.events.send(Event::JobFinished { conn: no, result }));
                }
            },
            Command::Carry { no, job } => {
                if let Some(connection) = self.connections.get_mut(&no) {
                    let step = connection.take(job);
                    self.after(no, step);
                }
            }
            Command::Close { no } => {
                self.connections.remove(&no);
                self.timers.set(no, None);
            }
        }
    }

    fn after(&mut self, no: u64, step: Step) {
        let stays = match &step {
            Step::Wait => true,
            Step::Over(result) => result.open,
            Step::Closed => false,
        };
        if stays {
            self.timers.set(no, self.connections.get(&no).map(Connection::due));
        } else {
            tracing::debug!(conn = no, "given up");
            self.connections.remove(&no);
            self.timers.set(no, None);
        }
        match step {
            Step::Wait => {}
            Step::Over(result) => {
                tracing::debug!(conn = no, ending = ?result.ending, open = result.open, "job over");
                drop(self.events.send(Event::JobFinished { conn: no, result }));
            }
            Step::Closed => {
                drop(self.events.send(Event::IdleConnectionClosed { conn: no }));
            }
        }
    }
}

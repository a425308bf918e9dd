//! All sizes, counts and times of the router, filled at start and handed down.

use magpiewell_terms::startup::StartupOptions;
use std::time::Duration;

/// What a silent watch of the list misses counts as told after this time, or two seconds after its wait is
/// over if that is later: the platform's terms, whatever the deployment. By then the silence must have been
/// noticed, a connection opened, and the list answered on it, and one of the three may take twice its time.
const LIST_SILENT_MS: f64 = 6_000.0;
const LIST_SLACK_MS: f64 = 1_000.0;

/// Descriptors that the router takes for itself: 3 standard streams, the listener, both loops with their
/// wakers (4), signals (2), peers, a configuration being read, and two watches of the list of which each has
/// a second one (4).
const OWN_DESCRIPTORS: usize = 16;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Processor time granted, in cores; how often use is looked at, and what opening a connection and
    /// refusing an op take of it, in ms.
    pub cores: f64,
    pub budget_ms: f64,
    pub open_ms: f64,
    pub refuse_ms: f64,
    /// Ops that came sooner than their client was told, while processor time is short, after which it is
    /// closed gracefully.
    pub early: usize,
    /// Longest message taken from anyone: a value of 64 KiB in hexadecimal digits, and its statement.
    pub message_bytes: usize,
    /// Longest answer of a host: the longest message, and as much again for all that stands beside it.
    pub answer_bytes: usize,
    /// Longest startup message.
    pub startup_bytes: usize,
    /// Longest list that is read. Read, looked at and taken apart it costs several times as much.
    pub list_bytes: usize,
    /// What one read takes at most; buffers beyond it count as held.
    pub read_bytes: usize,
    /// Statements, answers and long buffers held at once; beyond it new ops are turned away.
    pub held_bytes: usize,
    /// Of each thread; only what is touched counts as memory.
    pub stack_bytes: usize,
    /// Connections that wait to be accepted.
    pub backlog: i32,
    /// Clients accepted, and reads from one client, before the others have their turn.
    pub accepts_a_turn: usize,
    pub reads_a_turn: usize,
    /// Events that a loop takes in one go.
    pub events: usize,
    pub clients: usize,
    pub host_connections: usize,
    /// Clients closed gracefully that may still be on their way, beside those.
    pub leaving: usize,
    /// Faulty commands in a row after which a client is closed gracefully.
    pub faults: usize,
    /// A client that has not opened its connection, or not ended a command, is closed gracefully after this
    /// time. Both are written at once, whatever the deployment; what may hold them up is a lost packet, sent
    /// again after a second.
    pub opening_ms: f64,
    pub command_ms: f64,
    /// Beyond so many clients, those go that have had no command open for this long. The platform lets who
    /// has no command open be closed after two seconds, and lets its own clients take a third of the
    /// descriptors; a part of that leaves room for those that come at once.
    pub crowd: usize,
    pub idle_ms: f64,
    /// Where others need its room, who asks nothing, or nothing but faults, stays this long at least.
    pub silent_ms: f64,
    /// What is still read from a client that is closed gracefully, so that it takes its last answer in.
    pub drain_bytes: usize,
    pub drain: Duration,
    /// Commands of one client that are taken before their answers are written.
    pub pending: usize,
    /// Longest wait that a client may state.
    pub wait_most_ms: f64,
    /// A client that takes nothing for so long is cut off: longer than a network stalls, and nobody waits on
    /// it.
    pub client_write: Duration,
    /// How often the clients' loop looks whether it is to stop or has room again.
    pub accept_check: Duration,
    /// The decisions' beat is longer by this while no op is open.
    pub idle_beat_ms: f64,
    /// What is left over of an answer shows in this time: a connection that rested is taken before others.
    pub rest_ms: f64,
    /// How often hosts are looked for that are gone for good.
    pub tidy_ms: f64,
    /// An idle host connection is closed after this time, before the host does it, and checked so often.
    pub host_idle: Duration,
    pub idle_check: Duration,
    pub dial_ms: f64,
    pub probe_ms: f64,
    /// A watch of the list waits so long there, and this much longer here before it counts as silent; so long
    /// may opening a connection to it take, too.
    pub list_wait_ms: u64,
    pub list_slack: Duration,
    /// A list that answers at once without news is called again no sooner than so long after the call before.
    /// Well within the 200 ms after which the next call begins a watch anew.
    pub list_pause: Duration,
    /// A failed list is called again so long after the call before at the latest.
    pub list_again: Duration,
    /// After a request to stop: new clients are let in for the grace, as the platform sends them for 0.4 s
    /// more, and a last look taken at those in the queue; those inside are served for longer, and all that is
    /// taken is answered by the last of these times, after which the platform may end the process. The last
    /// two follow from op timeouts.
    pub grace: Duration,
    pub last_look: Duration,
    pub linger: Duration,
    pub stop: Duration,
    /// What is still open so long after that is broken off.
    pub cut: Duration,
    /// How far ahead of the clock a commit may lie, as it is rounded up.
    pub ahead_ms: f64,
    /// How often figures are logged.
    pub figures_ms: f64,
    /// How often the thread between peers advances the time.
    pub peers_tick: Duration,
    /// Observations of the decision thread that may wait for the thread between peers.
    pub max_observations: usize,
}

impl Limits {
    pub fn new(start: &StartupOptions) -> Limits {
        let memory = start.memory_mb * 1024.0 * 1024.0;
        // Spare descriptors: the router's own, and clients just being closed.
        let leaving = start.max_sockets / 16 + 8;
        let sockets = start.max_sockets - leaving - OWN_DESCRIPTORS;
        // A client takes its buffers, seldom all of them; a quarter of the memory is theirs.
        let clients = (sockets * 2 / 3).min((memory / 4.0 / (16.0 * 1024.0)) as usize).max(8);
        // The platform grants the longest wait of an op, of 3 s at most, and 0.7 s more.
        let longest = start.adapter_options.op_timeouts_ms.iter().fold(0.0f64, |a, b| a.max(*b));
        let stop = longest.min(3000.0) / 1000.0 + 0.7 - 0.2;
        Limits {
            cores: start.cores,
            budget_ms: 50.0,
            open_ms: 0.03,
            refuse_ms: 0.015,
            early: 8,
            message_bytes: 192 * 1024,
            answer_bytes: 2 * 192 * 1024,
            startup_bytes: 10_000,
            list_bytes: (memory / 16.0) as usize,
            read_bytes: 8 * 1024,
            held_bytes: (memory / 4.0) as usize,
            stack_bytes: 256 * 1024,
            backlog: 1024,
            accepts_a_turn: 16,
            reads_a_turn: 4,
            events: 128,
            clients,
            host_connections: (sockets - clients).min((memory / 8.0 / (60.0 * 1024.0)) as usize),
            leaving,
            faults: 16,
            opening_ms: 1_200.0,
            command_ms: 1_500.0,
            crowd: start.max_sockets / 8,
            idle_ms: 2_050.0,
            silent_ms: 20.0,
            drain_bytes: 256 * 1024,
            drain: Duration::from_millis(300),
            pending: 32,
            wait_most_ms: 3_600_000.0,
            client_write: Duration::from_secs(5),
            accept_check: Duration::from_millis(50),
            idle_beat_ms: 45.0,
            rest_ms: 3.0,
            tidy_ms: 1_000.0,
            host_idle: Duration::from_secs_f64(start.adapter_options.conn_idle_timeout_ms * 0.75 / 1000.0),
            idle_check: Duration::from_secs(1),
            dial_ms: start.adapter_options.connect_timeout_ms,
            probe_ms: start.adapter_options.connect_timeout_ms,
            list_wait_ms: (LIST_SILENT_MS - 4.0 * LIST_SLACK_MS) as u64,
            list_slack: Duration::from_secs_f64(LIST_SLACK_MS / 1000.0),
            list_pause: Duration::from_millis(100),
            list_again: Duration::from_millis(500),
            grace: Duration::from_millis(480),
            last_look: Duration::from_millis(100),
            linger: Duration::from_secs_f64((stop * 2.0 / 3.0).max(0.58)),
            stop: Duration::from_secs_f64(stop),
            cut: Duration::from_millis(100),
            ahead_ms: 1.5,
            figures_ms: 10_000.0,
            peers_tick: Duration::from_millis(100),
            max_observations: 256,
        }
    }
}

/// The least that a configuration can say, for tests.
#[cfg(test)]
pub const MINIMAL_CONFIGURATION: &[u8] = br#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
    "limits":{"memory_mb":32,"sockets":256},"settings":{"balancers":1,"tick_s":0.005,"discovery":"automatic",
    "classes":[],"extra":{"behind":"refuse","read_level":[],"staleness_bound_s":[]},"limits":{"max_attempts":1},
    "rules":{"drain_grace_s":1,"cold_from":1,"cold_s":1,"fall_multiple":1,"fall_s":1}}}"#;

#[cfg(test)]
mod tests;

//! All sizes, counts and times of the router, set at start from the configuration.

use magpiewell_terms::startup::StartupOptions;
use std::time::Duration;

/// The platform expects a router to know a change of the host list after this time even where its list watch
/// fell silent, or two seconds after the watch's wait if that is later; this holds in every deployment. Until
/// then the router has to notice the silence, connect and get an answer. Each of the three may take
/// `LIST_SLACK_MS`, and one of them twice that.
const LIST_CHANGE_DEADLINE_MS: f64 = 6_000.0;
const LIST_SLACK_MS: f64 = 1_000.0;

/// Descriptors that the router itself uses: 3 standard streams, the listener, both loops with their wakers
/// (4), signals (2), peers, a configuration being read, and two list watches with two descriptors each (4).
const OWN_DESCRIPTORS: usize = 16;

/// The limits, which are logged with their names at startup.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Processor time granted, in cores; the interval at which its use is measured, and the processor time
    /// that opening a connection and refusing an op take, in ms.
    pub cores: f64,
    pub budget_ms: f64,
    pub open_ms: f64,
    pub refuse_ms: f64,
    /// Processor time, in ms, that a client's turn takes beside its commands: to be told of it, to read and to
    /// write.
    pub turn_ms: f64,
    /// Ops sent before the retry time, while processor time is short, after which their client is drained.
    pub early: usize,
    /// Longest message accepted from a client or host: a value of 64 KiB in hexadecimal digits, and its
    /// statement.
    pub message_bytes: usize,
    /// Longest answer of a host: the longest message, and as much again for everything around it.
    pub answer_bytes: usize,
    /// Longest startup message.
    pub startup_bytes: usize,
    /// Longest host list that is read. Reading, checking and parsing it takes several times as much memory.
    pub list_bytes: usize,
    /// Bytes read at once; longer buffers count towards `held_bytes`.
    pub read_bytes: usize,
    /// Total of statements, answers and long buffers in memory; beyond it new ops are rejected.
    pub held_bytes: usize,
    /// Total of long messages of which only a part has arrived. Beyond it those that have waited longest for
    /// their rest are dropped, so that clients that never complete theirs take no memory from others.
    pub partial_bytes: usize,
    /// Stack of each thread; only touched pages count as memory.
    pub stack_bytes: usize,
    /// Length of the accept queue.
    pub backlog: i32,
    /// No connection waits in the accept queue for longer while there are descriptors: well within the time
    /// after which its first op counts as lost.
    pub accept_wait_ms: f64,
    /// After this time in the accept queue connections are closed unread for want of descriptors: half of the
    /// shortest op timeout, as clients wait for a good part of it.
    pub unread_wait_ms: f64,
    /// Clients accepted per iteration of the client loop, and reads from one client per turn.
    pub accepts_a_turn: usize,
    pub reads_a_turn: usize,
    /// Messages of one client that are processed before others have their turn.
    pub messages_a_turn: usize,
    /// Events that a loop handles per iteration.
    pub events: usize,
    /// Client connections, and connections to hosts, that may be open.
    pub clients: usize,
    pub host_connections: usize,
    /// Draining clients that may be open in addition to `clients`.
    pub leaving: usize,
    /// Faulty commands in a row after which a client is closed.
    pub faults: usize,
    /// A client that has not completed its startup, or a command, within this time is closed. Both are
    /// written at once in every deployment; what may delay them is a lost packet, which is sent again after a
    /// second.
    pub opening_ms: f64,
    pub command_ms: f64,
    /// Beyond `crowd` clients, those are drained that have had no command open for `idle_ms`. The platform
    /// allows clients without an open command to be closed after two seconds, and lets its own clients take a
    /// third of the descriptors; the crowd limit is a part of that, which leaves room for clients that
    /// connect all at once.
    pub crowd: usize,
    pub idle_ms: f64,
    /// While others need its place, a client that has sent nothing, or nothing but faults, stays at least
    /// this long.
    pub silent_ms: f64,
    /// How much is still read from a client that is being closed, and for how long, so that it receives its
    /// last answer.
    pub drain_bytes: usize,
    pub drain: Duration,
    /// Commands of one client that are accepted before their answers are written.
    pub pending: usize,
    /// Longest client timeout that a client may state.
    pub wait_most_ms: f64,
    /// A client that reads nothing for this long is disconnected: longer than a network stalls, and nobody
    /// waits for it.
    pub client_write: Duration,
    /// How often the client loop checks whether it has to stop or has room again.
    pub accept_check: Duration,
    /// Added to the interval of the decision thread's ticks while no op is open.
    pub idle_beat_ms: f64,
    /// Most surplus bytes behind an answer arrive within this time: connections that were idle for longer are
    /// used first.
    pub rest_ms: f64,
    /// Surplus bytes are still under way at most when a connection has been idle for less than this.
    pub surplus_ms: f64,
    /// How often hosts that have left for good are removed.
    pub tidy_ms: f64,
    /// An idle host connection is closed after this time, before the host does so; how often that is checked.
    pub host_idle: Duration,
    pub idle_check: Duration,
    /// Time to connect to a host, and time for a probe.
    pub dial_ms: f64,
    pub probe_ms: f64,
    /// How long a list watch waits at the list service, and how much longer the router waits before the watch
    /// counts as silent; connecting to the service may take that much, too.
    pub list_wait_ms: u64,
    pub list_slack: Duration,
    /// How long a list request that does not wait there may take: a slow service is still heard, and after a
    /// request that was lost there is time for another one.
    pub list_answer: Duration,
    /// After a response without a change, the next list request is sent no sooner than this after
    /// the one before. Well within the 200 ms after which the next request starts a new watch.
    pub list_pause: Duration,
    /// A failed list request is repeated no later than this after it began, or at once if it took longer.
    pub list_again: Duration,
    /// After a request to stop: new clients are accepted for `grace`, as the platform sends them for 0.4 s
    /// more, and those in the accept queue for `last_look` after it. Clients are served until `linger`, and
    /// all accepted commands are answered by `stop`, after which the platform may end the process. `linger`
    /// and `stop` follow from the op timeouts.
    pub grace: Duration,
    pub last_look: Duration,
    pub linger: Duration,
    pub stop: Duration,
    /// Clients that are still connected this long after `stop` are disconnected.
    pub cut: Duration,
    /// How far ahead of the clock a commit's time may lie, as it is rounded up to a whole ms.
    pub ahead_ms: f64,
    /// How often totals and current counts are logged.
    pub figures_ms: f64,
    /// Interval of the peer thread's ticks.
    pub peers_tick: Duration,
    /// Observations of the decision thread that may be queued for the peer thread.
    pub max_observations: usize,
}

impl Limits {
    pub fn new(startup_options: &StartupOptions) -> Limits {
        let memory_bytes = startup_options.memory_mb * 1024.0 * 1024.0;
        // Spare descriptors: the router's own, and those of clients that are being closed.
        let leaving = startup_options.max_sockets / 16 + 8;
        let sockets = startup_options.max_sockets - leaving - OWN_DESCRIPTORS;
        // A quarter of the memory is for clients, 16 KiB each: few clients use all of their buffers.
        let clients = (sockets * 2 / 3).min((memory_bytes / 4.0 / (16.0 * 1024.0)) as usize).max(8);
        // The platform grants the longest op timeout, of 3 s at most, and 0.7 s more; 0.2 s of that are kept
        // in reserve.
        let longest_ms = startup_options.adapter_options.op_timeouts_ms.iter().fold(0.0f64, |a, b| a.max(*b));
        let shortest_ms =
            startup_options.adapter_options.op_timeouts_ms.iter().fold(f64::INFINITY, |a, b| a.min(*b));
        let stop = longest_ms.min(3000.0) / 1000.0 + 0.7 - 0.2;
        Limits {
            cores: startup_options.cores,
            budget_ms: 50.0,
            open_ms: 0.03,
            refuse_ms: 0.015,
            turn_ms: 0.01,
            early: 8,
            message_bytes: 192 * 1024,
            answer_bytes: 2 * 192 * 1024,
            startup_bytes: 10_000,
            list_bytes: (memory_bytes / 16.0) as usize,
            read_bytes: 8 * 1024,
            held_bytes: (memory_bytes / 4.0) as usize,
            partial_bytes: (memory_bytes / 8.0) as usize,
            stack_bytes: 256 * 1024,
            backlog: 1024,
            accept_wait_ms: 150.0,
            unread_wait_ms: shortest_ms / 2.0,
            accepts_a_turn: 16,
            reads_a_turn: 4,
            messages_a_turn: 32,
            events: 128,
            clients,
            host_connections: (sockets - clients).min((memory_bytes / 8.0 / (60.0 * 1024.0)) as usize),
            leaving,
            faults: 16,
            opening_ms: 1_200.0,
            command_ms: 1_500.0,
            crowd: startup_options.max_sockets / 8,
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
            surplus_ms: 250.0,
            tidy_ms: 1_000.0,
            host_idle: Duration::from_secs_f64(
                startup_options.adapter_options.conn_idle_timeout_ms * 0.75 / 1000.0,
            ),
            idle_check: Duration::from_secs(1),
            dial_ms: startup_options.adapter_options.connect_timeout_ms,
            probe_ms: startup_options.adapter_options.connect_timeout_ms,
            list_wait_ms: (LIST_CHANGE_DEADLINE_MS - 4.0 * LIST_SLACK_MS) as u64,
            list_slack: Duration::from_secs_f64(LIST_SLACK_MS / 1000.0),
            list_answer: Duration::from_secs_f64((LIST_CHANGE_DEADLINE_MS - 1.5 * LIST_SLACK_MS) / 1000.0),
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

/// The smallest valid configuration, for tests.
#[cfg(test)]
pub const MINIMAL_CONFIGURATION: &[u8] = br#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
    "limits":{"memory_mb":32,"sockets":256},"settings":{"balancers":1,"tick_s":0.005,"discovery":"automatic",
    "classes":[],"extra":{"behind":"refuse","read_level":[],"staleness_bound_s":[]},"limits":{"max_attempts":1},
    "rules":{"drain_grace_s":1,"cold_from":1,"cold_s":1,"fall_multiple":1,"fall_s":1}}}"#;

#[cfg(test)]
mod tests;

//! Repeated looks at one router process: what it uses in each window of time, and how far the windows differ.

use super::databases::{Counted, Databases};
use crate::process::Process;
use std::time::{Duration, Instant};

/// How often and how long is looked.
#[derive(Clone, Copy, Debug)]
pub struct Windows {
    pub count: usize,
    pub seconds: f64,
}

/// A mean, and the least and the most that it is of; all 0 where there is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub least: f64,
    pub most: f64,
}

impl Spread {
    pub fn of(values: &[f64]) -> Spread {
        if values.is_empty() {
            return Spread::default();
        }
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Spread { mean, least, most }
    }

    /// As a cell of a table.
    pub fn cell(&self, digits: usize) -> String {
        let Spread { mean, least, most } = self;
        format!("{mean:.digits$} ({least:.digits$} to {most:.digits$})")
    }
}

/// What was seen in some windows; all but the memory a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Processor time, in percent of a core.
    pub core_percent: Spread,
    pub opened: f64,
    /// Connections that hosts refused.
    pub reset: f64,
    pub probes: f64,
    pub reads: f64,
    pub reads_in_outage: f64,
    pub bytes_to_hosts: f64,
    /// At the end.
    pub connections: u64,
    pub memory_mb: f64,
    pub threads: usize,
}

/// Looks at a router and the hosts before it; sleeps meanwhile.
pub fn look(process: &Process, databases: &Databases, windows: Windows) -> Seen {
    let (first, began) = (databases.counted(), Instant::now());
    let core = core_percent(process, windows);
    let (last, spent) = (databases.counted(), began.elapsed().as_secs_f64());
    let rate = |count: fn(&Counted) -> u64| (count(&last) - count(&first)) as f64 / spent;
    let (threads, memory_mb) = process.thread_count_and_memory_mb();
    Seen {
        core_percent: core,
        opened: rate(|c| c.accepted),
        reset: rate(|c| c.reset),
        probes: rate(|c| c.probes),
        reads: rate(|c| c.reads),
        reads_in_outage: rate(|c| c.reads_in_outage),
        bytes_to_hosts: rate(|c| c.bytes_in),
        connections: last.open,
        memory_mb,
        threads,
    }
}

/// Looks under load as often as nothing reached a host or nobody was served meanwhile.
const LOOKS: usize = 20;

/// The same under load: a look in which nothing reached a host, or after which nobody has been served yet,
/// tells nothing of the load and is taken anew, as a machine may stand still for seconds; the last one counts
/// in any case.
pub fn look_under_load(
    process: &Process,
    databases: &Databases,
    windows: Windows,
    is_served: impl Fn() -> bool,
) -> Seen {
    let mut seen = look(process, databases, windows);
    for _ in 1..LOOKS {
        if seen.reads > 0.0 && is_served() {
            break;
        }
        seen = look(process, databases, windows);
    }
    seen
}

/// A sleep that lasts longer than this beyond its time shows that the machine itself stood still.
const OVERSLEPT: Duration = Duration::from_millis(300);
/// A window is slept through in pieces, so that a stall inside it shows.
const PIECE: Duration = Duration::from_millis(50);

/// Processor time alone, in percent of a core; a stall of the machine is told on standard error.
pub fn core_percent(process: &Process, windows: Windows) -> Spread {
    let window = |_| {
        let (used, began) = (process.processor_time_ms(), Instant::now());
        let stalled = sleep_through(Duration::from_secs_f64(windows.seconds));
        if stalled > Duration::ZERO {
            eprintln!("the machine stood still for {:.1} s: this window tells little", stalled.as_secs_f64());
        }
        (process.processor_time_ms() - used) / began.elapsed().as_secs_f64() / 10.0
    };
    Spread::of(&(0..windows.count).map(window).collect::<Vec<_>>())
}

/// Sleeps so long; tells for how long the machine stood still meanwhile.
fn sleep_through(whole: Duration) -> Duration {
    let (began, mut stalled) = (Instant::now(), Duration::ZERO);
    while began.elapsed() < whole {
        let from = Instant::now();
        std::thread::sleep(PIECE);
        let beyond = from.elapsed().saturating_sub(PIECE);
        if beyond > OVERSLEPT {
            stalled += beyond;
        }
    }
    stalled
}

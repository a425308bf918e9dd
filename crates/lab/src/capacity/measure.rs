//! Samples of one router process: its resource use in each time window, and how far the windows differ.

use super::databases::{CounterValues, Databases};
use crate::process::Process;
use std::time::{Duration, Instant};

/// Number and length of the time windows of a sample.
#[derive(Clone, Copy, Debug)]
pub struct SamplingWindows {
    pub count: usize,
    pub seconds: f64,
}

/// Mean, minimum and maximum of some values; all 0 for no values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    pub mean: f64,
    pub min: f64,
    pub max: f64,
}

impl Summary {
    pub fn of(values: &[f64]) -> Summary {
        if values.is_empty() {
            return Summary::default();
        }
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let min = values.iter().copied().fold(f64::INFINITY, f64::min);
        let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Summary { mean, min, max }
    }

    /// Formats the summary as a table cell: mean (min to max).
    pub fn cell(&self, digits: usize) -> String {
        let Summary { mean, min, max } = self;
        format!("{mean:.digits$} ({min:.digits$} to {max:.digits$})")
    }
}

/// Resource use of a router and traffic at its hosts, over all windows of a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Processor time, in percent of a core, by window.
    pub core_percent: Summary,
    /// Connections that hosts accepted.
    pub opened_per_second: f64,
    /// New connections that hosts reset because of an outage.
    pub reset_per_second: f64,
    pub probes_per_second: f64,
    pub reads_per_second: f64,
    /// Reads answered by hosts whose zone was set to fail.
    pub reads_in_outage_per_second: f64,
    pub bytes_to_hosts_per_second: f64,
    /// Open connections to hosts at the end of the sample.
    pub connections: u64,
    pub memory_mb: f64,
    pub threads: usize,
}

/// Samples a router and its stand-in hosts; blocks for the length of all windows.
pub fn take_sample(process: &Process, databases: &Databases, windows: SamplingWindows) -> Sample {
    let (first, started_at) = (databases.counter_values(), Instant::now());
    let core = core_percent(process, windows);
    let (last, elapsed_s) = (databases.counter_values(), started_at.elapsed().as_secs_f64());
    let rate = |count: fn(&CounterValues) -> u64| (count(&last) - count(&first)) as f64 / elapsed_s;
    let (threads, memory_mb) = process.thread_count_and_memory_mb();
    Sample {
        core_percent: core,
        opened_per_second: rate(|counters| counters.accepted),
        reset_per_second: rate(|counters| counters.reset),
        probes_per_second: rate(|counters| counters.probes),
        reads_per_second: rate(|counters| counters.reads),
        reads_in_outage_per_second: rate(|counters| counters.reads_in_outage),
        bytes_to_hosts_per_second: rate(|counters| counters.bytes_in),
        connections: last.open,
        memory_mb,
        threads,
    }
}

/// Maximum number of samples taken under load until one of them is valid.
const MAX_SAMPLES_UNDER_LOAD: usize = 20;

/// Takes a sample under load. A sample in which no read reached a host, or after which `is_served` is still
/// false, says nothing about the load and is repeated, because the machine may stall for seconds. The last
/// sample counts in any case.
pub fn take_sample_under_load(
    process: &Process,
    databases: &Databases,
    windows: SamplingWindows,
    is_served: impl Fn() -> bool,
) -> Sample {
    let mut sample = take_sample(process, databases, windows);
    for _ in 1..MAX_SAMPLES_UNDER_LOAD {
        if sample.reads_per_second > 0.0 && is_served() {
            break;
        }
        sample = take_sample(process, databases, windows);
    }
    sample
}

/// A sleep that overruns by more than this shows that the whole machine stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// Windows are slept through in steps of this length, so that a stall within a window is detected.
const SLEEP_STEP: Duration = Duration::from_millis(50);

/// Processor time alone, in percent of a core. A stall of the machine is reported on standard error.
pub fn core_percent(process: &Process, windows: SamplingWindows) -> Summary {
    let measure_window = |_| {
        let (used_before_ms, started_at) = (process.processor_time_ms(), Instant::now());
        let stall = sleep_measuring_stalls(Duration::from_secs_f64(windows.seconds));
        if stall > Duration::ZERO {
            eprintln!("the machine stood still for {:.1} s: this window is unreliable", stall.as_secs_f64());
        }
        (process.processor_time_ms() - used_before_ms) / started_at.elapsed().as_secs_f64() / 10.0
    };
    Summary::of(&(0..windows.count).map(measure_window).collect::<Vec<_>>())
}

/// Sleeps for `duration` and returns for how much of it the machine was stalled.
fn sleep_measuring_stalls(duration: Duration) -> Duration {
    let (started_at, mut stall) = (Instant::now(), Duration::ZERO);
    while started_at.elapsed() < duration {
        let step_started_at = Instant::now();
        std::thread::sleep(SLEEP_STEP);
        let overslept = step_started_at.elapsed().saturating_sub(SLEEP_STEP);
        if overslept > STALL_THRESHOLD {
            stall += overslept;
        }
    }
    stall
}

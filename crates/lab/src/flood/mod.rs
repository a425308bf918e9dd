//! Measures what clients that flood a router with commands cost its other clients: a router process that gets
//! twice the processor time that its usual clients need, with and without the flood.

pub mod flooder;
pub mod kind;
pub mod usual;

use crate::host;
use crate::process::{Process, ResourceLimits};
use crate::throttle::{Throttle, ThrottleMode};
use flooder::{FloodShape, Flooders};
use std::path::Path;
use std::time::Duration;
use usual::{OpCounts, UsualClients};

/// Ratio of the processor time that the router gets to what its usual clients need.
const GRANT_RATIO: f64 = 2.0;
/// The least processor time granted, in cores: the throttle can't enforce less.
const MIN_GRANTED_CORES: f64 = 0.02;
const WARM_UP: Duration = Duration::from_millis(1_000);
const CALIBRATION: Duration = Duration::from_millis(3_000);
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 1_024;

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct FloodPlay {
    pub shape: FloodShape,
    /// How long the flood lasts.
    pub duration: Duration,
}

/// What a play showed.
#[derive(Clone, Debug)]
pub struct FloodResult {
    pub granted_cores: f64,
    /// Ops of usual clients that were sent while the flood lasted.
    pub ops: OpCounts,
    /// Commands that flooders have sent.
    pub flood_commands: u64,
    /// Resident memory of the router before the flood, and the most during it, in MB.
    pub memory_mb: (f64, f64),
    /// The router's figures after the flood; `None` for a play that is shorter than their interval.
    pub figures: Option<String>,
}

/// Measures the processor time that usual clients need, then plays the flood on a router that is granted
/// twice as much.
///
/// # Errors
/// If a process can't be started or its processor time can't be read.
pub fn play(router: &Path, play: FloodPlay) -> Result<FloodResult, String> {
    let host = host::start().map_err(|e| e.to_string())?;
    let usual_cores = calibrate(router, host)?;
    let granted_cores = (GRANT_RATIO * usual_cores).max(MIN_GRANTED_CORES);
    let limits = ResourceLimits { cores: granted_cores, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let process = Process::start(router, host, &limits)?;
    let throttle = Throttle::start(process.pid(), ThrottleMode::Cores(granted_cores));
    let usual = UsualClients::start(process.addr);
    std::thread::sleep(WARM_UP);
    let memory_before_mb = process.thread_count_and_memory_mb().1;
    let ops_before = usual.counts();
    let flooders = Flooders::start(process.addr, play.shape);
    let most_memory_mb = most_memory_during(&process, play.duration);
    let flood_commands = flooders.stop();
    let ops = usual.stop().since(ops_before);
    drop(throttle);
    let memory_mb = (memory_before_mb, most_memory_mb);
    let figures = process.log().last_line_with("figures taken=");
    Ok(FloodResult { granted_cores, ops, flood_commands, memory_mb, figures })
}

/// The processor time that usual clients need, in cores.
fn calibrate(router: &Path, host: std::net::SocketAddr) -> Result<f64, String> {
    let limits = ResourceLimits { cores: 1.0, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let process = Process::start(router, host, &limits)?;
    let usual = UsualClients::start(process.addr);
    std::thread::sleep(WARM_UP);
    let used_before_ms = process.processor_time_ms();
    std::thread::sleep(CALIBRATION);
    let used_ms = process.processor_time_ms() - used_before_ms;
    usual.stop();
    let cores = used_ms / (CALIBRATION.as_secs_f64() * 1_000.0);
    if cores > 0.0 { Ok(cores) } else { Err("the router's processor time can't be read".into()) }
}

/// Waits for `duration` and returns the most resident memory seen, in MB.
fn most_memory_during(process: &Process, duration: Duration) -> f64 {
    const SAMPLES: u32 = 50;
    let sample = |_| {
        std::thread::sleep(duration / SAMPLES);
        process.thread_count_and_memory_mb().1
    };
    (0..SAMPLES).map(sample).fold(0.0, f64::max)
}

/// Plays every kind of flood, or only `kind`, and prints a line for each; returns whether no op was lost.
///
/// # Errors
/// As [`play`].
pub fn prove(
    router: &Path,
    kind: Option<kind::FloodKind>,
    flooders: usize,
    reconnect: bool,
    duration: Duration,
) -> Result<bool, String> {
    let kinds = kind.map_or(kind::FloodKind::ALL.to_vec(), |kind| vec![kind]);
    let mut is_kept = true;
    println!(
        "kind | flooders | reconnect | of a core | answered | busy | closed unread | late | lost | slowest ms | flood commands | MB"
    );
    for kind in kinds {
        let shape = FloodShape { kind, flooders, reconnect };
        let result = play(router, FloodPlay { shape, duration })?;
        let ops = result.ops;
        println!(
            "{kind:?} | {flooders} | {reconnect} | {:.3} | {} | {} | {} | {} | {} | {:.0} | {} | {:.1} to {:.1}",
            result.granted_cores,
            ops.answered,
            ops.busy,
            ops.closed,
            ops.late,
            ops.lost,
            ops.slowest_ms,
            result.flood_commands,
            result.memory_mb.0,
            result.memory_mb.1
        );
        result.figures.iter().for_each(|line| println!("  {line}"));
        is_kept &= ops.lost == 0 && ops.answered > 0;
    }
    Ok(is_kept)
}

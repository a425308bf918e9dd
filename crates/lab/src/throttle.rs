//! Limits the processor time of a process by suspending and resuming it (SIGSTOP, SIGCONT), as platforms
//! without privileges do, or suspends it periodically to measure what a suspension costs.

use crate::process::processor_time_ms;
use rustix::process::{Pid, Signal, kill_process};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Throttles a process until this is finished or dropped, and then resumes it.
pub struct Throttle {
    stop_requested: Arc<AtomicBool>,
    thread: Option<JoinHandle<u32>>,
}

/// When a process is suspended.
#[derive(Clone, Copy)]
pub enum ThrottleMode {
    /// Whenever it has used more than this many cores. Unused time is carried over, at most what it gets in
    /// 100 ms.
    Cores(f64),
    /// For half of every 8 ms.
    Periodic,
}

const CHECK_INTERVAL: Duration = Duration::from_millis(4);

impl Throttle {
    pub fn start(pid: u32, mode: ThrottleMode) -> Throttle {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let thread_stop_requested = stop_requested.clone();
        let thread = std::thread::spawn(move || throttle(pid, mode, &thread_stop_requested));
        Throttle { stop_requested, thread: Some(thread) }
    }

    /// Ends the throttling and returns how often the process was suspended.
    pub fn finish(mut self) -> u32 {
        self.stop_requested.store(true, Relaxed);
        self.thread.take().and_then(|thread| thread.join().ok()).unwrap_or(0)
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop_requested.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn throttle(pid: u32, mode: ThrottleMode, stop_requested: &AtomicBool) -> u32 {
    let Some(target) = i32::try_from(pid).ok().and_then(Pid::from_raw) else { return 0 };
    let (mut is_suspended, mut suspensions) = (false, 0);
    let (mut credit_ms, mut measured_at, mut used_before_ms) = (0.0, Instant::now(), processor_time_ms(pid));
    while !stop_requested.load(Relaxed) {
        std::thread::sleep(CHECK_INTERVAL);
        let suspend = match mode {
            ThrottleMode::Periodic => !is_suspended,
            ThrottleMode::Cores(cores) => {
                let used_ms = processor_time_ms(pid);
                let granted_ms = measured_at.elapsed().as_secs_f64() * 1000.0 * cores;
                credit_ms = f64::min(credit_ms + granted_ms - (used_ms - used_before_ms), 100.0 * cores);
                (measured_at, used_before_ms) = (Instant::now(), used_ms);
                credit_ms < 0.0
            }
        };
        if suspend != is_suspended {
            let _ = kill_process(target, if suspend { Signal::STOP } else { Signal::CONT });
            suspensions += u32::from(suspend);
            is_suspended = suspend;
        }
    }
    let _ = kill_process(target, Signal::CONT);
    suspensions
}

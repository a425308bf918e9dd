//! Keeps a process to a part of a core by stopping and continuing it, as platforms without privileges do, or stops
//! it at a steady beat to see what a stop costs.

use crate::process::processor_time_ms;
use rustix::process::{Pid, Signal, kill_process};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub struct Throttle {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<u32>>,
}

#[derive(Clone, Copy)]
pub enum How {
    /// So many cores, with a tenth of a second's worth saved up at most.
    Cores(f64),
    /// Stopped for half of every 8 ms.
    Beat,
}

const LOOK: Duration = Duration::from_millis(4);

impl Throttle {
    pub fn start(pid: u32, how: How) -> Throttle {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let thread = std::thread::spawn(move || keep(pid, how, &ends));
        Throttle { over, thread: Some(thread) }
    }

    /// Ends it; tells how many stops there were.
    pub fn end(mut self) -> u32 {
        self.over.store(true, Relaxed);
        self.thread.take().and_then(|thread| thread.join().ok()).unwrap_or(0)
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn keep(pid: u32, how: How, over: &AtomicBool) -> u32 {
    let Some(of) = i32::try_from(pid).ok().and_then(Pid::from_raw) else { return 0 };
    let (mut stopped, mut stops) = (false, 0);
    let (mut left, mut at, mut before) = (0.0, Instant::now(), processor_time_ms(pid));
    while !over.load(Relaxed) {
        std::thread::sleep(LOOK);
        let stop = match how {
            How::Beat => !stopped,
            How::Cores(cores) => {
                let now = processor_time_ms(pid);
                let granted = at.elapsed().as_secs_f64() * 1000.0 * cores;
                left = f64::min(left + granted - (now - before), 100.0 * cores);
                (at, before) = (Instant::now(), now);
                left < 0.0
            }
        };
        if stop != stopped {
            let _ = kill_process(of, if stop { Signal::STOP } else { Signal::CONT });
            stops += u32::from(stop);
            stopped = stop;
        }
    }
    let _ = kill_process(of, Signal::CONT);
    stops
}

//! How much of a connection's job has been written, which settles whether a cancellation came in time.

use crate::vectored_io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

/// How much of a connection's job has been written. Shared by the decision thread, which cancels jobs, and
/// the host loop, which writes them.
#[derive(Default)]
pub struct JobProgress(Mutex<Progress>);

#[derive(Default)]
enum Progress {
    /// Nothing of the job has been written.
    #[default]
    Unwritten,
    /// Part of the job has been written.
    PartlyWritten(Arc<TcpStream>),
    /// All of the job has been written.
    Written(Arc<TcpStream>),
    Cancelled,
}

/// Which jobs a cancellation applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// Only jobs of which nothing has been written.
    Unwritten,
    /// Jobs that are not fully written: the host can't have started them.
    Incomplete,
    /// All jobs.
    All,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Nothing of the job was or will be written. If its connection is still being opened, that continues,
    /// for the next job.
    NeverWritten,
    /// The connection is shut down. The host loop still reports how the job ended, which may be by an answer
    /// that was received before.
    ShutDown,
    /// The job is out of scope and continues.
    Continues,
}

impl JobProgress {
    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Resets the progress, for a new job.
    pub fn reset(&self) {
        *self.lock() = Progress::Unwritten;
    }

    pub fn cancel(&self, scope: CancelScope) -> CancelOutcome {
        let mut progress = self.lock();
        let is_in_scope = match &*progress {
            Progress::Unwritten => true,
            Progress::PartlyWritten(_) => scope != CancelScope::Unwritten,
            Progress::Written(_) => scope == CancelScope::All,
            Progress::Cancelled => return CancelOutcome::ShutDown,
        };
        if !is_in_scope {
            return CancelOutcome::Continues;
        }
        match std::mem::replace(&mut *progress, Progress::Cancelled) {
            Progress::PartlyWritten(stream) | Progress::Written(stream) => {
                drop(stream.shutdown(Shutdown::Both));
                CancelOutcome::ShutDown
            }
            _ => CancelOutcome::NeverWritten,
        }
    }

    pub fn is_cancelled(&self) -> bool {
        matches!(*self.lock(), Progress::Cancelled)
    }

    /// Writes without blocking and records the progress; `None` if the job has been cancelled. Both happen
    /// under one lock: a cancellation between them would shut the connection down in a way that looks like a
    /// fault of the host.
    pub fn write(&self, stream: &Arc<TcpStream>, parts: &[&[u8]]) -> Option<std::io::Result<usize>> {
        let mut progress = self.lock();
        if matches!(*progress, Progress::Cancelled) {
            return None;
        }
        let written = vectored_io::write_nonblocking(stream, parts);
        let total = parts.iter().map(|part| part.len()).sum::<usize>();
        let is_complete = written.as_ref().is_ok_and(|n| *n == total);
        *progress = if is_complete {
            Progress::Written(stream.clone())
        } else {
            Progress::PartlyWritten(stream.clone())
        };
        Some(written)
    }
}

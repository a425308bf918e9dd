//! Stops the router: serves on for a grace, closes clients between requests, then ends.

use crate::hall::Hall;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::sync::atomic::Ordering::Release;

/// Waits for a request to stop, and goes on serving for the grace.
pub fn wait(hall: &Hall, signals: &mut Signals) {
    let signal = signals.forever().next();
    tracing::info!(signal, clients = hall.clients(), "asked to stop");
    std::thread::sleep(hall.limits.grace);
    hall.closing.store(true, Release);
}

/// Once nobody else is let in: lets those inside go as their answers are written.
pub fn empty(hall: &Arc<Hall>) {
    std::thread::sleep(hall.limits.last_look);
    tracing::info!(clients = hall.clients(), "closing clients between requests");
    while hall.clients() > 0 {
        hall.show_out_all();
        std::thread::sleep(hall.limits.accept_check / 5);
    }
}

pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("cannot listen to signals: {e}"))
}

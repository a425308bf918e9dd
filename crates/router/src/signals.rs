//! What signals ask for: a new configuration, or an end. The router serves on for a grace, closes clients
//! between requests, then ends.

use crate::hall::Hall;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::sync::atomic::Ordering::Release;

pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("cannot listen to signals: {e}"))
}

/// Waits for a request to stop, reloads meanwhile, and goes on taking clients in for the grace.
pub fn wait(hall: &Hall, signals: &mut Signals, reload: impl Fn()) {
    let signal = signals.forever().find(|signal| {
        if *signal == SIGHUP {
            reload();
        }
        *signal != SIGHUP
    });
    hall.stop_from_now();
    tracing::info!(signal, clients = hall.clients(), "asked to stop");
    std::thread::sleep(hall.limits.grace);
    hall.closing.store(true, Release);
}

/// Once nobody else is let in: serves those inside for a while, as other routers may be starting, then lets them
/// go as their answers are written.
pub fn empty(hall: &Arc<Hall>) {
    tracing::info!(clients = hall.clients(), "no more clients are let in");
    std::thread::sleep(hall.clock.until(hall.linger_until()));
    tracing::info!(clients = hall.clients(), "closing clients between requests");
    while hall.clients() > 0 {
        hall.show_out_all();
        std::thread::sleep(hall.limits.accept_check / 5);
    }
}

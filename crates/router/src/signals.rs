//! Signals: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the router.

use crate::shared::Shared;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("cannot listen to signals: {e}"))
}

/// Handles signals until one of them requests a stop, then starts the shutdown. The client loop goes on
/// serving for a while, closes its clients between their requests, and ends.
pub fn wait(shared: &Shared, signals: &mut Signals, reload: impl Fn()) {
    let signal = signals.forever().find(|signal| {
        if *signal == SIGHUP {
            reload();
        }
        *signal != SIGHUP
    });
    tracing::info!(signal, clients = shared.clients(), "asked to stop");
    shared.request_stop();
}

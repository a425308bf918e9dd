//! What signals ask for: a new configuration, or an end.

use crate::shared::Shared;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("cannot listen to signals: {e}"))
}

/// Waits for a request to stop and passes it on; reloads meanwhile. The clients' loop then serves on for a while,
/// shows its clients out between their requests, and ends.
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

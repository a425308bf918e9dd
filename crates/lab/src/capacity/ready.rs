//! When a router says, to a client, that it is ready: it then answers an empty query.

use crate::client::Client;
use crate::process::Process;
use std::time::{Duration, Instant};

/// How often a router is asked.
const GAP: Duration = Duration::from_millis(2);

/// Asks until the router is ready; tells when it was.
pub fn wait(process: &Process, patience: Duration) -> Result<Instant, String> {
    let until = Instant::now() + patience;
    let mut client = Client::open(process.at).map_err(|e| e.to_string())?;
    while Instant::now() < until {
        if client.is_ready().map_err(|e| e.to_string())? {
            return Ok(Instant::now());
        }
        std::thread::sleep(GAP);
    }
    Err("the router did not get ready".into())
}

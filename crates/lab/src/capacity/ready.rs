//! Connects to a router, and waits until it reports ready, which it does by answering an empty query without
//! an error. Attempts are repeated, because the machine may stall for longer than a client's timeout.

use crate::client::Client;
use crate::process::Process;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Connects a client, with retries until `timeout` is over.
pub fn connect(addr: SocketAddr, timeout: Duration) -> Result<Client, String> {
    let deadline = Instant::now() + timeout;
    loop {
        match Client::open(addr) {
            Err(why) if Instant::now() >= deadline => return Err(why.to_string()),
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
            Ok(client) => return Ok(client),
        }
    }
}

/// Waits until the router is ready and returns the time at which it was.
pub fn wait_until_ready(process: &Process, timeout: Duration) -> Result<Instant, String> {
    let deadline = Instant::now() + timeout;
    let mut client = connect(process.addr, timeout)?;
    while Instant::now() < deadline {
        match client.is_ready() {
            Ok(true) => return Ok(Instant::now()),
            Ok(false) => std::thread::sleep(RETRY_INTERVAL),
            Err(_) => client = connect(process.addr, timeout)?,
        }
    }
    Err("the router did not become ready".into())
}

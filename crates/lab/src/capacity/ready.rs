//! When a router lets a client in, and when it says that it is ready: it then answers an empty query. Asked
//! again where the machine stood still for longer than a client waits.

use crate::client::Client;
use crate::process::Process;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often a router is asked.
const GAP: Duration = Duration::from_millis(2);

/// Opens a connection, again where there was no answer in time.
pub fn open(at: SocketAddr, patience: Duration) -> Result<Client, String> {
    let until = Instant::now() + patience;
    loop {
        match Client::open(at) {
            Err(why) if Instant::now() >= until => return Err(why.to_string()),
            Err(_) => std::thread::sleep(GAP),
            Ok(client) => return Ok(client),
        }
    }
}

/// Asks until the router is ready; tells when it was.
pub fn wait(process: &Process, patience: Duration) -> Result<Instant, String> {
    let until = Instant::now() + patience;
    let mut client = open(process.addr, patience)?;
    while Instant::now() < until {
        match client.is_ready() {
            Ok(true) => return Ok(Instant::now()),
            Ok(false) => std::thread::sleep(GAP),
            Err(_) => client = open(process.addr, patience)?,
        }
    }
    Err("the router did not get ready".into())
}

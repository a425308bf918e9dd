//! A short demonstration: a stand-in host, a router process in front of it, and a client that sends reads.

use crate::client::Client;
use crate::host;
use crate::process::{Process, ResourceLimits};
use std::path::Path;
use std::time::Instant;

/// Prints the answers that a client gets; returns false if a read was not acked.
pub fn run(router: &Path) -> Result<bool, String> {
    let host = host::start().map_err(|e| e.to_string())?;
    println!("a stand-in db host listens at {host}");
    let limits = ResourceLimits { cores: 1.0, memory_mb: 192, sockets: 1_024 };
    let process = Process::start(router, host, &limits)?;
    println!("a router listens at {}", process.addr);
    let mut client = Client::open(process.addr).map_err(|e| e.to_string())?;
    let mut served = 0;
    for n in 1..=5 {
        let started_at = Instant::now();
        let answer = client.read(3, 1_000).map_err(|e| e.to_string())?;
        println!("read {n}: {answer:?} after {:.2} ms", started_at.elapsed().as_secs_f64() * 1e3);
        served += usize::from(answer == crate::client::Answer::Acked);
    }
    let unknown = client.read(99, 1_000).map_err(|e| e.to_string())?;
    println!("a read for a group without hosts in the list: {unknown:?}, safe to retry");
    let (threads, memory_mb) = process.thread_count_and_memory_mb();
    println!("{served} of 5 served; the router has {threads} threads and {memory_mb:.1} MB");
    Ok(served == 5)
}

//! What idle client connections cost a router.

use super::databases::Databases;
use super::measure::{self, Spread, Windows};
use super::ready;
use super::setup::{self, AMPLE};
use super::table::Row;
use crate::client::Client;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

/// Hosts in the router's list: one group.
const HOSTS: usize = setup::GROUP_SIZE;

/// How long a client may take to open.
const PATIENCE: Duration = Duration::from_secs(20);

pub struct ClientsRow {
    pub clients: usize,
    pub threads: usize,
    pub memory_mb: f64,
    pub core_percent: Spread,
    /// Clients that the router had closed by the end.
    pub closed: usize,
    /// Processor time of opening one, in ms.
    pub open_ms: f64,
}

impl Row for ClientsRow {
    const COLUMNS: &'static [&'static str] = &[
        "idle clients",
        "threads",
        "memory, MB",
        "of a core, % (least to most)",
        "processor time to open one, ms",
        "closed by the router",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.clients.to_string(),
            self.threads.to_string(),
            format!("{:.1}", self.memory_mb),
            self.core_percent.cell(3),
            format!("{:.4}", self.open_ms),
            self.closed.to_string(),
        ]
    }
}

pub fn measure(router: &Path, clients: usize, windows: Windows) -> Result<ClientsRow, String> {
    let databases = Databases::start()?;
    let known = setup::whole_list(1, HOSTS, databases.port);
    let nowhere = "127.0.0.1:1".parse().map_err(|_| "no address")?;
    let process =
        Process::start_with_configuration(router, &setup::configuration(&AMPLE, nowhere, Some(&known)))?;
    let before = process.processor_time_ms();
    let open = |number| {
        ready::open(process.addr, PATIENCE).map_err(|e| format!("client {number} of {clients}: {e}"))
    };
    let mut kept: Vec<Client> = (0..clients).map(open).collect::<Result<_, _>>()?;
    let open_ms = (process.processor_time_ms() - before) / clients.max(1) as f64;
    std::thread::sleep(Duration::from_millis(200));
    let core_percent = measure::core_percent(&process, windows);
    let (threads, memory_mb) = process.thread_count_and_memory_mb();
    let closed = kept.iter_mut().map(|client| usize::from(client.is_closed())).sum();
    let open_ms = if clients > 0 { open_ms } else { 0.0 };
    Ok(ClientsRow { clients, threads, memory_mb, core_percent, closed, open_ms })
}

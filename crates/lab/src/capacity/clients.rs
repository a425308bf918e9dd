//! Measures the cost of idle client connections to a router.

use super::databases::Databases;
use super::measure::{self, SamplingWindows, Summary};
use super::ready;
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::client::Client;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

/// Number of hosts in the router's list: one group.
const HOST_COUNT: usize = setup::GROUP_SIZE;

/// Time for a client to connect, including retries.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);

/// One row: a number of idle clients and what they cost.
pub struct ClientsRow {
    pub clients: usize,
    pub threads: usize,
    pub memory_mb: f64,
    pub core_percent: Summary,
    /// Clients whose connection the router had closed by the end.
    pub closed: usize,
    /// Processor time to open one client connection.
    pub open_processor_ms: f64,
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
            format!("{:.4}", self.open_processor_ms),
            self.closed.to_string(),
        ]
    }
}

/// Opens `clients` connections and measures the router while they are idle.
pub fn measure(router: &Path, clients: usize, windows: SamplingWindows) -> Result<ClientsRow, String> {
    let databases = Databases::start()?;
    let known_list = setup::full_list(1, HOST_COUNT, databases.port);
    let no_list_service = "127.0.0.1:1".parse().map_err(|_| "invalid address")?;
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&AMPLE_LIMITS, no_list_service, Some(&known_list)),
    )?;
    let used_before_ms = process.processor_time_ms();
    let connect = |number| {
        ready::connect(process.addr, CONNECT_TIMEOUT)
            .map_err(|e| format!("client {number} of {clients}: {e}"))
    };
    let mut open_clients: Vec<Client> = (0..clients).map(connect).collect::<Result<_, _>>()?;
    let open_processor_ms = (process.processor_time_ms() - used_before_ms) / clients.max(1) as f64;
    std::thread::sleep(Duration::from_millis(200));
    let core_percent = measure::core_percent(&process, windows);
    let (threads, memory_mb) = process.thread_count_and_memory_mb();
    let closed = open_clients.iter_mut().map(|client| usize::from(client.is_closed())).sum();
    let open_processor_ms = if clients > 0 { open_processor_ms } else { 0.0 };
    Ok(ClientsRow { clients, threads, memory_mb, core_percent, closed, open_processor_ms })
}

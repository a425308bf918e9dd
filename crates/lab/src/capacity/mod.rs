//! `magpiewell-lab capacity`: measures what one router process costs as a tier grows. Each quantity is
//! measured at several sizes and fitted with a line, which estimates it at other sizes. The tables go to
//! standard output as Markdown; `docs/CAPACITY.md` is made of them.

pub mod clients;
pub mod configuration;
pub mod databases;
pub mod hosts;
pub mod list;
pub mod list_service;
pub mod load;
pub mod measure;
pub mod outage;
pub mod ready;
pub mod restart;
pub mod setup;
pub mod slope;
pub mod statements;
pub mod table;

use databases::Outage;
use hosts::{Case, HostsRow, Phase};
use measure::SamplingWindows;
use setup::{AMPLE_LIMITS, TARGET_CLIENTS_PER_ROUTER, TARGET_HOSTS, TARGET_STATEMENTS_PER_ROUTER};
use std::path::Path;
use std::time::Duration;
use table::{growth, markdown_table};

/// One part of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Database hosts in the list
    Hosts,
    /// The target number of database hosts, with ample and with usual resource limits
    Granted,
    /// Zones whose hosts are lost or silent, and their return
    Outage,
    /// Idle client connections
    Clients,
    /// Statements per second
    Statements,
    /// The host list: first full list, change of one host, watch without changes
    List,
    /// A start with a known list in the configuration
    Restart,
    /// A reload of the configuration file
    Configuration,
}

const ALL_PARTS: [Part; 8] = [
    Part::Hosts,
    Part::Granted,
    Part::Outage,
    Part::Clients,
    Part::Statements,
    Part::List,
    Part::Restart,
    Part::Configuration,
];

const HOST_COUNTS: [usize; 5] = [100, 300, 1_000, 3_000, 7_000];
const READS_PER_SECOND: f64 = 200.0;
const OUTAGE_HOST_COUNTS: [usize; 3] = [1_000, 3_000, 7_000];
/// Enough clients to keep up the rate while a third of all reads wait until their timeout.
const OUTAGE_CLIENTS: usize = 800;
const OUTAGE_WARM_UP: Duration = Duration::from_secs(8);
const CLIENT_COUNTS: [usize; 5] = [0, 1_000, 3_000, 5_200, 10_000];
const STATEMENT_RATES: [f64; 3] = [500.0, 1_000.0, 2_062.0];
const STATEMENT_GROUPS: usize = 4;
const LIST_SIZES: [usize; 4] = [100, 1_000, 3_000, 7_000];
const LIST_CHANGES: usize = 40;
const STARTS_PER_SIZE: usize = 5;
/// The usual resource limits of a router.
const USUAL_MEMORY_MB: usize = 192;
const USUAL_SOCKETS: usize = 4_096;
/// A memory limit so small that a list of `OVERSIZED_LIST_HOSTS` hosts is too long for it.
const SMALL_MEMORY_MB: usize = 32;
const OVERSIZED_LIST_HOSTS: usize = 20_000;

const SCHEDULE: hosts::Schedule = hosts::Schedule {
    // Longer than the 22.5 s after which a router closes idle connections.
    warm_up: Duration::from_secs(26),
    quiet: SamplingWindows { count: 3, seconds: 2.0 },
    reads: SamplingWindows { count: 3, seconds: 4.0 },
};

/// Measures one part, or all of them with `None`, and prints the tables.
pub fn run(router: &Path, part: Option<Part>, seed: u64) -> Result<bool, String> {
    for part in ALL_PARTS.into_iter().filter(|candidate| part.is_none_or(|part| part == *candidate)) {
        match part {
            Part::Hosts => measure_hosts(router, seed),
            Part::Granted => measure_with_limits(router, seed),
            Part::Outage => measure_outages(router, seed),
            Part::Clients => measure_clients(router),
            Part::Statements => measure_statements(router, seed),
            Part::List => measure_lists(router),
            Part::Restart => measure_restarts(router),
            Part::Configuration => measure_configurations(router),
        }?;
    }
    Ok(true)
}

fn measure_hosts(router: &Path, seed: u64) -> Result<(), String> {
    let mut rows = Vec::new();
    for hosts in HOST_COUNTS {
        rows.extend(hosts::measure(
            router,
            Case::with_ample_limits(hosts, READS_PER_SECOND),
            SCHEDULE,
            seed,
        )?);
    }
    println!("## Hosts\n\n{}", markdown_table(&rows));
    for phase in [Phase::Quiet, Phase::Reads, Phase::Rest] {
        let chosen: Vec<&HostsRow> = rows.iter().filter(|row| row.phase == phase).collect();
        let hosts = |row: &&HostsRow| row.case.hosts as f64;
        let name = |what: &str| format!("{what}, {phase:?}");
        println!("{}", growth(&name("memory"), "MB", &chosen, TARGET_HOSTS, hosts, |r| r.sample.memory_mb));
        println!(
            "{}",
            growth(&name("a core"), "%", &chosen, TARGET_HOSTS, hosts, |r| r.sample.core_percent.mean)
        );
        println!(
            "{}",
            growth(&name("connections"), "", &chosen, TARGET_HOSTS, hosts, |r| r.sample.connections as f64)
        );
    }
    Ok(())
}

/// The target number of hosts: at the target's rate with ample resource limits, and at a low and the
/// target's rate with the usual ones.
fn measure_with_limits(router: &Path, seed: u64) -> Result<(), String> {
    let hosts = TARGET_HOSTS as usize;
    let ample = Case::with_ample_limits(hosts, TARGET_STATEMENTS_PER_ROUTER);
    let usual = Case {
        memory_mb: USUAL_MEMORY_MB,
        sockets: USUAL_SOCKETS,
        ..Case::with_ample_limits(hosts, READS_PER_SECOND)
    };
    let mut rows = Vec::new();
    for case in [ample, usual, Case { reads_per_second: TARGET_STATEMENTS_PER_ROUTER, ..usual }] {
        rows.extend(hosts::measure(router, case, SCHEDULE, seed)?);
    }
    println!("## The target's hosts, by rate and grant\n\n{}", markdown_table(&rows));
    Ok(())
}

/// One zone of six is lost; then two zones, a region, are silent.
fn measure_outages(router: &Path, seed: u64) -> Result<(), String> {
    let windows = SamplingWindows { count: 3, seconds: 3.0 };
    let mut rows = Vec::new();
    for (outage, zones) in [(Outage::Lost, 1), (Outage::Silent, 2)] {
        for hosts in OUTAGE_HOST_COUNTS {
            let (reads_per_second, clients) = (TARGET_STATEMENTS_PER_ROUTER, OUTAGE_CLIENTS);
            let case = outage::Case { hosts, reads_per_second, clients, outage, zones };
            rows.extend(outage::measure(router, case, OUTAGE_WARM_UP, windows, seed)?);
        }
    }
    println!("## Zones lost, and back\n\n{}", markdown_table(&rows));
    Ok(())
}

fn measure_clients(router: &Path) -> Result<(), String> {
    let windows = SamplingWindows { count: 3, seconds: 2.0 };
    let measured = CLIENT_COUNTS.into_iter().map(|clients| clients::measure(router, clients, windows));
    let rows: Vec<clients::ClientsRow> = measured.collect::<Result<_, _>>()?;
    println!("## Idle clients\n\n{}", markdown_table(&rows));
    let clients = |row: &clients::ClientsRow| row.clients as f64;
    println!("{}", growth("memory", "MB", &rows, TARGET_CLIENTS_PER_ROUTER, clients, |r| r.memory_mb));
    println!("{}", growth("a core", "%", &rows, TARGET_CLIENTS_PER_ROUTER, clients, |r| r.core_percent.mean));
    Ok(())
}

fn measure_statements(router: &Path, seed: u64) -> Result<(), String> {
    let windows = SamplingWindows { count: 3, seconds: 3.0 };
    let measure = |rate| statements::measure(router, STATEMENT_GROUPS, rate, windows, seed);
    let rows: Vec<statements::StatementsRow> =
        STATEMENT_RATES.into_iter().map(measure).collect::<Result<_, _>>()?;
    println!("## Statements\n\n{}", markdown_table(&rows));
    let rate = |row: &statements::StatementsRow| row.sample.reads_per_second;
    println!(
        "{}",
        growth("a core", "%", &rows, TARGET_STATEMENTS_PER_ROUTER, rate, |r| r.sample.core_percent.mean)
    );
    Ok(())
}

fn measure_lists(router: &Path) -> Result<(), String> {
    let windows = SamplingWindows { count: 3, seconds: 4.0 };
    let measure = |hosts| list::measure(router, hosts, AMPLE_LIMITS.memory_mb, LIST_CHANGES, windows);
    let mut rows: Vec<list::ListRow> = LIST_SIZES.into_iter().map(measure).collect::<Result<_, _>>()?;
    let hosts = |row: &list::ListRow| row.hosts as f64;
    let growth_lines = [
        growth("bytes of a list", "bytes", &rows, TARGET_HOSTS, hosts, |r| r.list_bytes as f64),
        growth("start to ready", "ms", &rows, TARGET_HOSTS, hosts, |r| r.ready_ms),
        growth("processor time until ready", "ms", &rows, TARGET_HOSTS, hosts, |r| r.ready_processor_ms),
        growth("memory", "MB", &rows, TARGET_HOSTS, hosts, |r| r.memory_mb),
        growth("processor time of a change", "ms", &rows, TARGET_HOSTS, hosts, |r| r.change_processor_ms),
        growth("a core, quiet", "%", &rows, TARGET_HOSTS, hosts, |r| r.core_percent.mean),
    ];
    rows.push(list::measure(router, TARGET_HOSTS as usize, USUAL_MEMORY_MB, LIST_CHANGES, windows)?);
    println!("## The list of hosts\n\n{}", markdown_table(&rows));
    growth_lines.iter().for_each(|line| println!("{line}"));
    let rejection_reason = list::rejection_reason(router, OVERSIZED_LIST_HOSTS, SMALL_MEMORY_MB)?;
    println!("a list of {OVERSIZED_LIST_HOSTS} hosts at {SMALL_MEMORY_MB} MB is refused: {rejection_reason}");
    Ok(())
}

fn measure_restarts(router: &Path) -> Result<(), String> {
    let measure = |hosts| restart::measure(router, hosts, STARTS_PER_SIZE);
    let rows: Vec<restart::RestartRow> = LIST_SIZES.into_iter().map(measure).collect::<Result<_, _>>()?;
    println!("## Starts\n\n{}", markdown_table(&rows));
    let hosts = |row: &restart::RestartRow| row.hosts as f64;
    println!("{}", growth("start to ready", "ms", &rows, TARGET_HOSTS, hosts, |r| r.ready_ms.mean));
    println!("{}", growth("processor time", "ms", &rows, TARGET_HOSTS, hosts, |r| r.processor_ms.mean));
    Ok(())
}

fn measure_configurations(router: &Path) -> Result<(), String> {
    // Processor time is reported in steps of 10 ms, so small files are reloaded more often.
    let measure = |hosts: usize| configuration::measure(router, hosts, (100_000 / hosts).clamp(20, 200));
    let rows: Vec<configuration::ConfigurationRow> =
        LIST_SIZES.into_iter().map(measure).collect::<Result<_, _>>()?;
    println!("## The configuration file read anew\n\n{}", markdown_table(&rows));
    let hosts = |row: &configuration::ConfigurationRow| row.hosts as f64;
    println!("{}", growth("write to in force", "ms", &rows, TARGET_HOSTS, hosts, |r| r.in_effect_ms.mean));
    println!("{}", growth("processor time", "ms", &rows, TARGET_HOSTS, hosts, |r| r.processor_ms));
    Ok(())
}

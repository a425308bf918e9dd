//! `magpiewell-lab capacity`: what one router process costs by the sizes that a large tier has, each at
//! several sizes, so that a slope tells what it is at others. Tables on standard output, as Markdown;
//! `docs/CAPACITY.md` is made of them.

pub mod clients;
pub mod configuration;
pub mod databases;
pub mod hosts;
pub mod list;
pub mod list_agent;
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
use measure::Windows;
use setup::{AMPLE, CLIENTS_A_ROUTER, DATABASES, STATEMENTS_A_ROUTER};
use std::path::Path;
use std::time::Duration;
use table::{growth, markdown};

/// One measured thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Database hosts in the list
    Hosts,
    /// The same before a router whose grant binds
    Granted,
    /// Zones of hosts that are lost or silent, and back
    Outage,
    /// Idle client connections
    Clients,
    /// Statements a second
    Statements,
    /// The list of hosts: whole, one change, quiet
    List,
    /// A start with a list known from before
    Restart,
    /// The configuration file read anew
    Configuration,
}

const ALL: [Part; 8] = [
    Part::Hosts,
    Part::Granted,
    Part::Outage,
    Part::Clients,
    Part::Statements,
    Part::List,
    Part::Restart,
    Part::Configuration,
];

const HOSTS: [usize; 5] = [100, 300, 1_000, 3_000, 7_000];
const READS_A_SECOND: f64 = 200.0;
const OUTAGE_HOSTS: [usize; 3] = [1_000, 3_000, 7_000];
/// So many that the rate is kept up while a third of all reads wait their whole time.
const OUTAGE_CLIENTS: usize = 800;
const OUTAGE_WARM_UP: Duration = Duration::from_secs(8);
const CLIENTS: [usize; 5] = [0, 1_000, 3_000, 5_200, 10_000];
const STATEMENTS: [f64; 3] = [500.0, 1_000.0, 2_062.0];
const STATEMENT_GROUPS: usize = 4;
const LISTS: [usize; 4] = [100, 1_000, 3_000, 7_000];
const CHANGES: usize = 40;
const STARTS: usize = 5;
/// A router's usual grant, and one so small that a list of so many hosts is too long for it.
const USUAL_MB: usize = 192;
const USUAL_SOCKETS: usize = 4_096;
const LEAST_MB: usize = 32;
const TOO_MANY: usize = 20_000;

const TIMES: hosts::Times = hosts::Times {
    // Longer than the 22.5 s after which a router closes idle connections.
    warm_up: Duration::from_secs(26),
    quiet: Windows { count: 3, seconds: 2.0 },
    reads: Windows { count: 3, seconds: 4.0 },
};

/// Measures this part, or all of them.
pub fn run(router: &Path, part: Option<Part>, seed: u64) -> Result<bool, String> {
    for part in ALL.into_iter().filter(|one| part.is_none_or(|part| part == *one)) {
        match part {
            Part::Hosts => hosts_part(router, seed),
            Part::Granted => granted_part(router, seed),
            Part::Outage => outage_part(router, seed),
            Part::Clients => clients_part(router),
            Part::Statements => statements_part(router, seed),
            Part::List => list_part(router),
            Part::Restart => restart_part(router),
            Part::Configuration => configuration_part(router),
        }?;
    }
    Ok(true)
}

fn hosts_part(router: &Path, seed: u64) -> Result<(), String> {
    let mut rows = Vec::new();
    for hosts in HOSTS {
        rows.extend(hosts::measure(router, Case::ample(hosts, READS_A_SECOND), TIMES, seed)?);
    }
    println!("## Hosts\n\n{}", markdown(&rows));
    for phase in [Phase::Quiet, Phase::Reads, Phase::Rest] {
        let of: Vec<&HostsRow> = rows.iter().filter(|row| row.phase == phase).collect();
        let hosts = |row: &&HostsRow| row.case.hosts as f64;
        let name = |what: &str| format!("{what}, {phase:?}");
        println!("{}", growth(&name("memory"), "MB", &of, DATABASES, hosts, |r| r.seen.memory_mb));
        println!("{}", growth(&name("a core"), "%", &of, DATABASES, hosts, |r| r.seen.core_percent.mean));
        println!(
            "{}",
            growth(&name("connections"), "", &of, DATABASES, hosts, |r| r.seen.connections as f64)
        );
    }
    Ok(())
}

/// All hosts of the target, at the target's rate, with an ample grant and with a usual one.
fn granted_part(router: &Path, seed: u64) -> Result<(), String> {
    let hosts = DATABASES as usize;
    let ample = Case::ample(hosts, STATEMENTS_A_ROUTER);
    let usual = Case { memory_mb: USUAL_MB, sockets: USUAL_SOCKETS, ..Case::ample(hosts, READS_A_SECOND) };
    let mut rows = Vec::new();
    for case in [ample, usual, Case { reads_a_second: STATEMENTS_A_ROUTER, ..usual }] {
        rows.extend(hosts::measure(router, case, TIMES, seed)?);
    }
    println!("## The target's hosts, by rate and grant\n\n{}", markdown(&rows));
    Ok(())
}

/// One zone of six lost; and two zones, a region, silent.
fn outage_part(router: &Path, seed: u64) -> Result<(), String> {
    let windows = Windows { count: 3, seconds: 3.0 };
    let mut rows = Vec::new();
    for (outage, zones) in [(Outage::Lost, 1), (Outage::Silent, 2)] {
        for hosts in OUTAGE_HOSTS {
            let (reads_a_second, clients) = (STATEMENTS_A_ROUTER, OUTAGE_CLIENTS);
            let case = outage::Case { hosts, reads_a_second, clients, outage, zones };
            rows.extend(outage::measure(router, case, OUTAGE_WARM_UP, windows, seed)?);
        }
    }
    println!("## Zones lost, and back\n\n{}", markdown(&rows));
    Ok(())
}

fn clients_part(router: &Path) -> Result<(), String> {
    let windows = Windows { count: 3, seconds: 2.0 };
    let measured = CLIENTS.into_iter().map(|clients| clients::measure(router, clients, windows));
    let rows: Vec<clients::ClientsRow> = measured.collect::<Result<_, _>>()?;
    println!("## Idle clients\n\n{}", markdown(&rows));
    let clients = |row: &clients::ClientsRow| row.clients as f64;
    println!("{}", growth("memory", "MB", &rows, CLIENTS_A_ROUTER, clients, |r| r.memory_mb));
    println!("{}", growth("a core", "%", &rows, CLIENTS_A_ROUTER, clients, |r| r.core_percent.mean));
    Ok(())
}

fn statements_part(router: &Path, seed: u64) -> Result<(), String> {
    let windows = Windows { count: 3, seconds: 3.0 };
    let one = |rate| statements::measure(router, STATEMENT_GROUPS, rate, windows, seed);
    let rows: Vec<statements::StatementsRow> = STATEMENTS.into_iter().map(one).collect::<Result<_, _>>()?;
    println!("## Statements\n\n{}", markdown(&rows));
    let rate = |row: &statements::StatementsRow| row.seen.reads;
    println!("{}", growth("a core", "%", &rows, STATEMENTS_A_ROUTER, rate, |r| r.seen.core_percent.mean));
    Ok(())
}

fn list_part(router: &Path) -> Result<(), String> {
    let windows = Windows { count: 3, seconds: 4.0 };
    let one = |hosts| list::measure(router, hosts, AMPLE.memory_mb, CHANGES, windows);
    let mut rows: Vec<list::ListRow> = LISTS.into_iter().map(one).collect::<Result<_, _>>()?;
    let hosts = |row: &list::ListRow| row.hosts as f64;
    let growths = [
        growth("bytes of a list", "bytes", &rows, DATABASES, hosts, |r| r.list_bytes as f64),
        growth("start to ready", "ms", &rows, DATABASES, hosts, |r| r.ready_ms),
        growth("processor time until ready", "ms", &rows, DATABASES, hosts, |r| r.ready_used_ms),
        growth("memory", "MB", &rows, DATABASES, hosts, |r| r.memory_mb),
        growth("processor time of a change", "ms", &rows, DATABASES, hosts, |r| r.change_used_ms),
        growth("a core, quiet", "%", &rows, DATABASES, hosts, |r| r.core_percent.mean),
    ];
    rows.push(list::measure(router, DATABASES as usize, USUAL_MB, CHANGES, windows)?);
    println!("## The list of hosts\n\n{}", markdown(&rows));
    growths.iter().for_each(|line| println!("{line}"));
    let refusal = list::refusal(router, TOO_MANY, LEAST_MB)?;
    println!("a list of {TOO_MANY} hosts at {LEAST_MB} MB is refused: {refusal}");
    Ok(())
}

fn restart_part(router: &Path) -> Result<(), String> {
    let one = |hosts| restart::measure(router, hosts, STARTS);
    let rows: Vec<restart::RestartRow> = LISTS.into_iter().map(one).collect::<Result<_, _>>()?;
    println!("## Starts\n\n{}", markdown(&rows));
    let hosts = |row: &restart::RestartRow| row.hosts as f64;
    println!("{}", growth("start to ready", "ms", &rows, DATABASES, hosts, |r| r.ready_ms.mean));
    println!("{}", growth("processor time", "ms", &rows, DATABASES, hosts, |r| r.used_ms.mean));
    Ok(())
}

fn configuration_part(router: &Path) -> Result<(), String> {
    // Processor time is told in steps of 10 ms: small files are read more often.
    let one = |hosts: usize| configuration::measure(router, hosts, (100_000 / hosts).clamp(20, 200));
    let rows: Vec<configuration::ConfigurationRow> = LISTS.into_iter().map(one).collect::<Result<_, _>>()?;
    println!("## The configuration file read anew\n\n{}", markdown(&rows));
    let hosts = |row: &configuration::ConfigurationRow| row.hosts as f64;
    println!("{}", growth("write to in force", "ms", &rows, DATABASES, hosts, |r| r.in_force_ms.mean));
    println!("{}", growth("processor time", "ms", &rows, DATABASES, hosts, |r| r.used_ms));
    Ok(())
}

//! `magpiewell-lab`: the command line of the laboratory, which measures router processes on loopback, between
//! stand-ins. Load and duration are bounded.

use clap::{Parser, Subcommand};
use magpiewell_lab::scale::{self, prove};
use magpiewell_lab::tier::{net::Epoch, report, runner, script::Script};
use magpiewell_lab::{capacity, demo, flood, limit, spread};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "magpiewell-lab",
    about = "Measures router processes on loopback, between stand-ins for clients, hosts and the list"
)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Starts a router with a stand-in host, sends it a few reads and prints the answers
    Demo {
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
    },
    /// Measures the cost of connections and ops, throttled and not, and the throughput beyond the processor
    /// limit
    Limit {
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
        /// Seed of the clients' random pauses
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Largest number of idle clients to measure
        #[arg(long, default_value_t = 10_000)]
        idle: usize,
        /// Configures the router with more processor time than it gets: the control, which must fail
        #[arg(long)]
        untold: bool,
        /// Runs only the measurement of overload
        #[arg(long)]
        overload: bool,
        /// Runs only the measurements of cost
        #[arg(long)]
        costs: bool,
    },
    /// Measures what clients that flood a router with commands cost its other clients; exits non-zero if an op
    /// of theirs was lost
    Flood {
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
        /// Kind of command to send; default: each in turn
        #[arg(long)]
        kind: Option<flood::kind::FloodKind>,
        /// Number of flooding clients
        #[arg(long, default_value_t = 6)]
        flooders: usize,
        /// Sends each batch of commands on a new connection
        #[arg(long)]
        reconnect: bool,
        /// How long each flood lasts
        #[arg(long, default_value_t = 6)]
        seconds: u64,
    },
    /// Runs a script: many router processes, hosts, a list, clients, and faults between them; exits non-zero
    /// if a rule was broken or a router crashed
    Tier {
        /// The script, in TOML
        #[arg(long)]
        script: PathBuf,
        /// Seed to use instead of the script's
        #[arg(long)]
        seed: Option<u64>,
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-staged")]
        router: PathBuf,
        /// Folder for configurations, logs and records; without it a temporary folder, which is removed
        /// afterwards
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Proves that load is spread evenly although each router sees only a part: hundreds of routers, faults,
    /// a control
    Spread {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of routers instead of the script's, with load and host speed in proportion; not a proof
        #[arg(long)]
        routers: Option<usize>,
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-staged")]
        router: PathBuf,
        /// File to write the HTML report to
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Proves scale in real time: hollow routers (gossip only) beside real router processes, faults, and
    /// controls
    Scale {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of hollow routers
        #[arg(long, default_value_t = prove::DEFAULT_HOLLOW_ROUTERS)]
        routers: usize,
        /// Number of real routers
        #[arg(long, default_value_t = prove::DEFAULT_REAL_ROUTERS)]
        real: usize,
        /// Number of processes that run the hollow routers; a multiple of six
        #[arg(long, default_value_t = prove::DEFAULT_PROCESSES)]
        processes: usize,
        /// UDP port of all routers
        #[arg(long, default_value_t = prove::DEFAULT_PORT)]
        port: u16,
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
        /// File to write the HTML report to
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Runs one process of hollow routers; started by `scale`
    #[command(hide = true)]
    Hollow {
        #[arg(long)]
        plan: PathBuf,
        #[arg(long)]
        process: usize,
        #[arg(long)]
        mono: f64,
        #[arg(long)]
        unix: f64,
    },
    /// Measures the cost of one router at the sizes of a large tier: tables and slopes (docs/CAPACITY.md)
    Capacity {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Part to measure; default: all
        #[arg(long)]
        part: Option<capacity::Part>,
        /// Path of the router binary
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
    },
    /// Runs one process of a script's hosts; started by `tier`
    #[command(hide = true)]
    Hosts {
        #[arg(long)]
        script: PathBuf,
        #[arg(long)]
        part: usize,
        #[arg(long)]
        mono: f64,
        #[arg(long)]
        unix: f64,
        #[arg(long)]
        record: PathBuf,
    },
}

fn spread(seed: u64, routers: Option<usize>, router: PathBuf, html: Option<PathBuf>) -> Result<bool, String> {
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = runner::default_folder("spread");
    let environment = runner::Environment { router, lab, folder: folder.clone() };
    let result = spread::prove(&environment, seed, routers, html.as_deref());
    drop(std::fs::remove_dir_all(&folder));
    result
}

fn scale(request: &prove::Request, router: PathBuf, html: Option<&Path>) -> Result<bool, String> {
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = runner::default_folder("scale");
    let environment = scale::runner::Environment { router, lab, folder: folder.clone() };
    let result = prove::prove(request, &environment, html);
    drop(std::fs::remove_dir_all(&folder));
    result
}

fn tier(script: &Path, seed: Option<u64>, router: PathBuf, folder: Option<PathBuf>) -> Result<bool, String> {
    let text = std::fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    let mut script = Script::from_toml(&text)?;
    script.seed = seed.unwrap_or(script.seed);
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let keeps_folder = folder.is_some();
    let folder = folder.unwrap_or_else(|| runner::default_folder("play"));
    let outcome = runner::run(script, &runner::Environment { router, lab, folder: folder.clone() });
    if !keeps_folder {
        drop(std::fs::remove_dir_all(&folder));
    }
    let outcome = outcome?;
    report::summary_lines(&outcome).iter().for_each(|line| println!("{line}"));
    Ok(outcome.verdict.breaches.is_empty() && outcome.crashed.is_empty())
}

fn main() -> ExitCode {
    let result = match Command::parse().what {
        What::Demo { router } => demo::run(&router),
        What::Limit { router, seed, idle, untold, overload, costs } => {
            limit::prove(&router, seed, idle, untold, overload, costs)
        }
        What::Flood { router, kind, flooders, reconnect, seconds } => {
            flood::prove(&router, kind, flooders, reconnect, std::time::Duration::from_secs(seconds))
        }
        What::Tier { script, seed, router, folder } => tier(&script, seed, router, folder),
        What::Spread { seed, routers, router, html } => spread(seed, routers, router, html),
        What::Scale { seed, routers, real, processes, port, router, html } => {
            let request = prove::Request { seed, hollow: routers, real, processes, port };
            scale(&request, router, html.as_deref())
        }
        What::Hollow { plan, process, mono, unix } => {
            scale::hollow_process::run(&plan, process, Epoch { monotonic_ms: mono, unix_ms: unix })
                .map(|()| true)
        }
        What::Capacity { seed, part, router } => capacity::run(&router, part, seed),
        What::Hosts { script, part, mono, unix, record } => {
            runner::run_hosts(&script, part, Epoch { monotonic_ms: mono, unix_ms: unix }, &record)
                .map(|()| true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("magpiewell-lab: {why}");
            ExitCode::from(2)
        }
    }
}

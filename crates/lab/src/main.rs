//! `magpiewell-lab`: measures a router process on loopback, between stand-ins. Bounded in load and time.

use clap::{Parser, Subcommand};
use magpiewell_lab::scale::{self, prove};
use magpiewell_lab::tier::{net::Epoch, report, runner, script::Script};
use magpiewell_lab::{capacity, demo, limit, spread};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-lab", about = "Measures a router process on loopback, between stand-ins")]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// A router, a host and a client for a moment
    Demo {
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
    },
    /// What connections and ops cost, throttled and not, and what is served beyond the limit
    Limit {
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
        /// Seed of the arrivals
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The largest number of idle clients
        #[arg(long, default_value_t = 10_000)]
        idle: usize,
        /// Does not tell the router its grant: the control, which must fail
        #[arg(long)]
        untold: bool,
        /// Only the part that loads the router beyond its limit
        #[arg(long)]
        overload: bool,
        /// Only the part that measures costs
        #[arg(long)]
        costs: bool,
    },
    /// Plays a script: many router processes, hosts, a list, clients, and faults between them; ends non-zero where a
    /// rule was broken
    Tier {
        /// The script, TOML
        #[arg(long)]
        script: PathBuf,
        /// Instead of the script's own
        #[arg(long)]
        seed: Option<u64>,
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-staged")]
        router: PathBuf,
        /// Where configurations, logs and records go; kept where it is named
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Proves that load is spread evenly although each router sees little: hundreds of routers, faults, a control
    Spread {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Fewer routers, with hosts as much slower: a look, no proof
        #[arg(long)]
        routers: Option<usize>,
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-staged")]
        router: PathBuf,
        /// Where the report goes
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Scale in real time: hollow routers beside real router processes, a zone lost, and a control
    Scale {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Hollow routers
        #[arg(long, default_value_t = prove::DEFAULT_HOLLOW_ROUTERS)]
        routers: usize,
        /// Real routers
        #[arg(long, default_value_t = prove::DEFAULT_REAL_ROUTERS)]
        real: usize,
        /// Processes of the hollow ones, a multiple of six
        #[arg(long, default_value_t = prove::DEFAULT_PROCESSES)]
        processes: usize,
        /// Port of all routers
        #[arg(long, default_value_t = prove::DEFAULT_PORT)]
        port: u16,
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
        /// Where the report goes
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// The process of one slice of hollow routers; started by `scale`
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
    /// What one router costs by the sizes that a large tier has: tables and slopes (docs/CAPACITY.md)
    Capacity {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only this part
        #[arg(long)]
        part: Option<capacity::Part>,
        /// The router's program
        #[arg(long, default_value = "target/release/magpiewell-router")]
        router: PathBuf,
    },
    /// The process of one part of a play's hosts; started by `tier`
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
    let stage = runner::Environment { router, lab, folder: folder.clone() };
    let proved = spread::prove(&stage, seed, routers, html.as_deref());
    drop(std::fs::remove_dir_all(&folder));
    proved
}

fn scale(request: &prove::Request, router: PathBuf, html: Option<&Path>) -> Result<bool, String> {
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = runner::default_folder("scale");
    let environment = scale::runner::Environment { router, lab, folder: folder.clone() };
    let proved = prove::prove(request, &environment, html);
    drop(std::fs::remove_dir_all(&folder));
    proved
}

fn tier(script: &Path, seed: Option<u64>, router: PathBuf, folder: Option<PathBuf>) -> Result<bool, String> {
    let text = std::fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    let mut script = Script::from_toml(&text)?;
    script.seed = seed.unwrap_or(script.seed);
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let kept = folder.is_some();
    let folder = folder.unwrap_or_else(|| runner::default_folder("play"));
    let played = runner::run(script, &runner::Environment { router, lab, folder: folder.clone() });
    if !kept {
        drop(std::fs::remove_dir_all(&folder));
    }
    let played = played?;
    report::summary_lines(&played).iter().for_each(|line| println!("{line}"));
    Ok(played.verdict.breaches.is_empty() && played.crashed.is_empty())
}

fn main() -> ExitCode {
    let done = match Command::parse().what {
        What::Demo { router } => demo::run(&router),
        What::Limit { router, seed, idle, untold, overload, costs } => {
            limit::prove(&router, seed, idle, untold, overload, costs)
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
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("magpiewell-lab: {why}");
            ExitCode::from(2)
        }
    }
}

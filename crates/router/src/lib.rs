//! The router as a process on sockets: clients and hosts use PostgreSQL's protocol, the list service HTTP.
//! The program, tests and tools start one with [`run`].

mod answer;
mod client;
mod client_loop;
mod client_reader;
mod clock;
mod deferral;
mod departed_writes;
mod event;
mod eviction;
mod host_loop;
mod job_progress;
mod limits;
mod list;
mod list_versions;
mod metrics;
mod observer;
mod op_facts;
mod pool;
mod probe;
mod route;
mod send;
mod shared;
mod signals;
pub mod tier;
mod timers;
mod vectored_io;
mod verification;

use crossbeam_channel::{bounded, unbounded};
use magpiewell_terms::startup::{self, StartupOptions};
use magpiewell_terms::tier::TierOptions;
use serde_json::Value;
pub use shared::LabOverrides;
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering::{AcqRel, Acquire, Release},
};

/// The command line's options.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Options {
    /// Settings template for the exchange of observations between routers; without it they exchange none
    #[arg(long, value_name = "FILE")]
    pub tier: Option<std::path::PathBuf>,
}

/// Reads and checks the settings of the tier; `None` if no file is given, or if it switches the tier off.
fn read_tier(options: &Options) -> Result<Option<TierOptions>, String> {
    let Some(path) = &options.tier else { return Ok(None) };
    let with_path = |why: String| format!("{}: {}", path.display(), why.replace("settings key", "key"));
    let text = std::fs::read_to_string(path).map_err(|e| with_path(e.to_string()))?;
    magpiewell_terms::tier::parse(&text).map_err(with_path)
}

fn listen(addr: SocketAddr, limits: &limits::Limits) -> Result<TcpListener, String> {
    let open = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        // Lets a restarted router use its old address at once.
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(limits.backlog)?;
        socket.set_nonblocking(true)?;
        // Accepted sockets inherit the option.
        socket.set_tcp_nodelay(true)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(|e: std::io::Error| format!("cannot listen on {addr}: {e}"))
}

fn log_level() -> Result<tracing::Level, String> {
    match std::env::var(startup::LOG_LEVEL_VARIABLE) {
        Ok(level) => level
            .parse()
            .map_err(|_| format!("{} names no log level: '{level}'", startup::LOG_LEVEL_VARIABLE)),
        Err(_) => Ok(tracing::Level::INFO),
    }
}

/// Reads the configuration file and checks all of it; returns the options parsed from it, and the file as
/// JSON.
fn read_configuration() -> Result<(StartupOptions, Value), String> {
    let path = std::env::var(startup::CONFIG_FILE_VARIABLE)
        .map_err(|_| format!("{} is not set", startup::CONFIG_FILE_VARIABLE))?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let (startup_options, configuration) = startup::parse(&text).map_err(|e| format!("{path}: {e}"))?;
    if let Some(known) = &startup_options.last_known_list {
        list::parse_entries(known, &[], |_, _, _, _| ()).map_err(|e| format!("key 'known': {e}"))?;
    }
    Ok((startup_options, configuration))
}

/// Applies a new configuration as a whole or not at all: a faulty file changes nothing.
fn reload(watcher: &Arc<list::ListWatcher>, current: &Value) {
    match read_configuration() {
        Err(why) => tracing::warn!(%why, "configuration refused, the old one stays"),
        Ok((startup_options, new)) => {
            let restart_keys = startup::keys_requiring_restart(current, &new);
            tracing::info!(
                list = %startup_options.list_addr,
                restart = ?restart_keys,
                "configuration read anew"
            );
            if !watcher.follow(startup_options.list_addr, None) {
                tracing::warn!("cannot start a thread for the list: the old address stays");
            }
        }
    }
}

/// Reloads of the configuration, one at a time, on a thread of their own: a file whose reading never ends
/// must not delay a request to stop.
struct Reloads {
    watcher: Arc<list::ListWatcher>,
    configuration: Value,
    /// Requested reloads that no completed one covers yet; 0 while no thread is running.
    pending: AtomicUsize,
}

impl Reloads {
    fn request(self: &Arc<Reloads>, shared: &Arc<shared::Shared>) {
        if self.pending.fetch_add(1, AcqRel) > 0 {
            return;
        }
        let reloads = self.clone();
        let spawned = shared.spawn("reload", move || {
            loop {
                let requested = reloads.pending.load(Acquire);
                reload(&reloads.watcher, &reloads.configuration);
                // The file may have changed during this reload if others were requested meanwhile: one more
                // covers them all.
                if reloads.pending.fetch_sub(requested, AcqRel) == requested {
                    return;
                }
            }
        });
        if spawned.is_none() {
            self.pending.store(0, Release);
            tracing::warn!("cannot start a thread to reload the configuration: the old one stays");
        }
    }
}

/// Runs a router with the configuration that the environment names, until a signal stops it and all accepted
/// commands are answered. An error is one line that names the key, the file or the address at fault.
pub fn run(options: Options) -> Result<(), String> {
    run_with_overrides(options, LabOverrides::default())
}

/// Like [`run`], with the overrides of the laboratory.
pub fn run_with_overrides(options: Options, overrides: LabOverrides) -> Result<(), String> {
    // Installed before anything slow: a signal without a handler would end the router.
    let mut signals = signals::catch()?;
    let level = log_level()?;
    let (startup_options, configuration) = read_configuration()?;
    let tier_options = read_tier(&options)?;
    tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
    // By default a panic ends only its own thread, and the router would keep running without working.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(101);
    }));
    let limits = limits::Limits::new(&startup_options);
    let listener = listen(startup_options.listen_addr, &limits)?;
    let listen_addr = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = startup_options.name, listen = %listen_addr, ?limits, "started");

    let (events, events_receiver) = unbounded();
    let (updates, updates_receiver) = unbounded();
    let (list_retries, list_retries_receiver) = bounded(1);
    let (wakeups, wakeups_receiver) = unbounded();
    let poll = mio::Poll::new().map_err(|e| format!("cannot poll client connections: {e}"))?;
    let waker = mio::Waker::new(poll.registry(), client_loop::WAKE).map_err(|e| e.to_string())?;
    let clock = clock::Clock::start(overrides.clock_off_ms);
    let shared = shared::Shared::new(limits, overrides, clock, wakeups, waker);
    let (host_loop, commands) =
        host_loop::new(&shared, events.clone()).map_err(|e| format!("cannot poll host connections: {e}"))?;
    let peer_loop = match &tier_options {
        Some(options) => tier::new(&shared, events.clone(), &startup_options, options)?,
        None => None,
    };
    if tier_options.is_some() && peer_loop.is_none() {
        tracing::warn!(
            "the tier is off: routers exchange nothing without peers, peer_listen and limits.may_tell"
        );
    }
    let (peer_loop, observations) = peer_loop.unzip();
    let parser =
        Arc::new(op_facts::OpFactsParser::new(&startup_options.adapter_options, shared.limits.wait_most_ms));
    let mut router = route::Router::new(
        shared.clone(),
        startup_options.policy_options,
        &startup_options.adapter_options,
        startup_options.seed,
        list_retries,
        commands,
        observations,
    );
    if let Some(known) = &startup_options.last_known_list {
        router.apply_host_list(known, true);
        tracing::info!("ready with the list as last known");
    }
    let watcher = list::ListWatcher::new(shared.clone(), events.clone(), updates, list_retries_receiver);
    let client_loop = client_loop::ClientLoop::new(
        shared.clone(),
        parser,
        events.clone(),
        poll,
        listener,
        wakeups_receiver,
    )
    .map_err(|e| e.to_string())?;
    let no_thread = "cannot start a thread";
    let decision_thread =
        shared.spawn("route", move || router.run(&events_receiver, &updates_receiver)).ok_or(no_thread)?;
    shared.spawn("hosts", move || host_loop.run()).ok_or(no_thread)?;
    if let Some(peer_loop) = peer_loop {
        shared.spawn("peers", move || peer_loop.run()).ok_or(no_thread)?;
    }
    let client_thread = shared.spawn("clients", move || client_loop.run()).ok_or(no_thread)?;
    if !watcher.follow(startup_options.list_addr, startup_options.last_known_list.as_ref()) {
        return Err(no_thread.into());
    }
    let reloads = Arc::new(Reloads { watcher, configuration, pending: AtomicUsize::new(0) });
    signals::wait(&shared, &mut signals, || reloads.request(&shared));
    let drained = client_thread.join();
    drop(events.send(event::Event::Stop));
    drained.and(decision_thread.join()).map_err(|_| "a thread panicked".to_string())
}

#[cfg(test)]
mod tests;

//! magpiewell as a router on sockets: clients and hosts speak PostgreSQL's protocol, the list HTTP. The
//! program, tests and tools start one with [`run`].

mod answer;
mod client;
mod client_loop;
mod client_reader;
mod clock;
mod event;
mod eviction;
mod host_loop;
mod limits;
mod list;
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

/// What the command line says.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Options {
    /// A template of settings by which routers tell one another what they see; without it they tell nothing
    #[arg(long, value_name = "FILE")]
    pub tier: Option<std::path::PathBuf>,
}

/// The settings of the tier, checked; none where there are none, or they say that it is off.
fn read_tier(options: &Options) -> Result<Option<TierOptions>, String> {
    let Some(path) = &options.tier else { return Ok(None) };
    let named = |why: String| format!("{}: {}", path.display(), why.replace("settings key", "key"));
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    magpiewell_terms::tier::parse(&text).map_err(named)
}

fn listen(at: SocketAddr, limits: &limits::Limits) -> Result<TcpListener, String> {
    let open = || {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        // Started again under its old address at once.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(limits.backlog)?;
        socket.set_nonblocking(true)?;
        // Those accepted inherit it.
        socket.set_tcp_nodelay(true)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(|e: std::io::Error| format!("cannot listen at {at}: {e}"))
}

fn log_level() -> Result<tracing::Level, String> {
    match std::env::var(startup::LOG_LEVEL_VARIABLE) {
        Ok(level) => level.parse().map_err(|_| format!("{} says '{level}'", startup::LOG_LEVEL_VARIABLE)),
        Err(_) => Ok(tracing::Level::INFO),
    }
}

/// Reads the file and checks all of it: what it says, and what it says as JSON.
fn read_start() -> Result<(StartupOptions, Value), String> {
    let path = std::env::var(startup::CONFIG_FILE_VARIABLE)
        .map_err(|_| format!("{} is not set", startup::CONFIG_FILE_VARIABLE))?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let (start, whole) = startup::parse(&text).map_err(|e| format!("{path}: {e}"))?;
    if let Some(known) = &start.last_known_list {
        list::parse_entries(known, &[], |_, _, _, _| ()).map_err(|e| format!("key 'known': {e}"))?;
    }
    Ok((start, whole))
}

/// Takes a new configuration, all or nothing: a faulty file leaves everything as it was.
fn reload(watcher: &Arc<list::ListWatcher>, now: &Value) {
    match read_start() {
        Err(why) => tracing::warn!(%why, "configuration refused, the old one stays"),
        Ok((start, new)) => {
            let restart = startup::keys_requiring_restart(now, &new);
            tracing::info!(list = %start.list_addr, ?restart, "configuration read anew");
            if !watcher.follow(start.list_addr, None) {
                tracing::warn!("no thread for the list: the old address stays");
            }
        }
    }
}

/// Reloads, one at a time, on a thread that is there for them alone: a file that can't be read to its end
/// must not keep a request to stop waiting.
struct Reloads {
    watcher: Arc<list::ListWatcher>,
    whole: Value,
    /// How often one has been asked for since the last that was known to be over.
    asked: AtomicUsize,
}

impl Reloads {
    fn ask(self: &Arc<Reloads>, shared: &Arc<shared::Shared>) {
        if self.asked.fetch_add(1, AcqRel) > 0 {
            return;
        }
        let reloads = self.clone();
        let spawned = shared.spawn("reload", move || {
            loop {
                let asked = reloads.asked.load(Acquire);
                reload(&reloads.watcher, &reloads.whole);
                // The file may have changed under one that was asked for meanwhile: read again, once for all.
                if reloads.asked.fetch_sub(asked, AcqRel) == asked {
                    return;
                }
            }
        });
        if spawned.is_none() {
            self.asked.store(0, Release);
            tracing::warn!("no thread for a new configuration: the old one stays");
        }
    }
}

/// Runs a router with the configuration that the environment names, until a signal asks it to stop and all
/// that was taken is answered. An error is one line that names the key, the file or the address at fault.
pub fn run(options: Options) -> Result<(), String> {
    run_with_overrides(options, LabOverrides::default())
}

/// The same with what the laboratory adds.
pub fn run_with_overrides(options: Options, overrides: LabOverrides) -> Result<(), String> {
    // Caught before anything slow: a signal that nobody catches ends the router.
    let mut signals = signals::catch()?;
    let level = log_level()?;
    let (start, whole) = read_start()?;
    let tier = read_tier(&options)?;
    tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
    // A thread that panics would leave a router that only seems to run.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(101);
    }));
    let limits = limits::Limits::new(&start);
    let listener = listen(start.listen_addr, &limits)?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = start.name, %listen, ?limits, "started");

    let (events, taken) = unbounded();
    let (news, told) = unbounded();
    let (ask_list, asked) = bounded(1);
    let (wakeups, wakeup) = unbounded();
    let poll = mio::Poll::new().map_err(|e| format!("cannot watch clients: {e}"))?;
    let wake = mio::Waker::new(poll.registry(), client_loop::WAKE).map_err(|e| e.to_string())?;
    let clock = clock::Clock::start(overrides.clock_off_ms);
    let shared = shared::Shared::new(limits, overrides, clock, wakeups, wake);
    let (hosts, orders) =
        host_loop::new(&shared, events.clone()).map_err(|e| format!("cannot watch hosts: {e}"))?;
    let peers = match &tier {
        Some(terms) => tier::new(&shared, events.clone(), &start, terms)?,
        None => None,
    };
    if tier.is_some() && peers.is_none() {
        tracing::warn!(
            "routers may not tell one another anything here: peers, peer_listen or limits.may_tell"
        );
    }
    let (peers, observations) = peers.unzip();
    let names = Arc::new(op_facts::OpFactsParser::new(&start.adapter_options, shared.limits.wait_most_ms));
    let mut router = route::Router::new(
        shared.clone(),
        start.terms,
        &start.adapter_options,
        start.seed,
        ask_list,
        orders,
        observations,
    );
    if let Some(known) = &start.last_known_list {
        router.apply_host_list(known, true);
        tracing::info!("ready with the list as last known");
    }
    let watcher = list::ListWatcher::new(shared.clone(), events.clone(), news, asked);
    let client_loop =
        client_loop::ClientLoop::new(shared.clone(), names, events.clone(), poll, listener, wakeup)
            .map_err(|e| e.to_string())?;
    let none = "no thread to start with";
    let decide = shared.spawn("route", move || router.run(&taken, &told)).ok_or(none)?;
    shared.spawn("hosts", move || hosts.run()).ok_or(none)?;
    if let Some(peers) = peers {
        shared.spawn("peers", move || peers.run()).ok_or(none)?;
    }
    let clients = shared.spawn("clients", move || client_loop.run()).ok_or(none)?;
    if !watcher.follow(start.list_addr, start.last_known_list.as_ref()) {
        return Err(none.into());
    }
    let reloads = Arc::new(Reloads { watcher, whole, asked: AtomicUsize::new(0) });
    signals::wait(&shared, &mut signals, || reloads.ask(&shared));
    let emptied = clients.join();
    drop(events.send(event::Event::Stop));
    emptied.and(decide.join()).map_err(|_| "a thread panicked".to_string())
}

#[cfg(test)]
mod tests;

//! Reads the file that starts a router, and the environment's few variables.

use crate::settings::{self, AdapterOptions};
use crate::{at, may, need};
use magpiewell::PolicyOptions;
use serde_json::Value;
use std::net::SocketAddr;

/// Names the file with all the rest.
pub const CONFIG_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// How much is logged: error, warn, info, debug or trace.
pub const LOG_LEVEL_VARIABLE: &str = "MAGPIEWELL_LOG";

/// What a router is told at its start.
pub struct StartupOptions {
    pub name: String,
    pub listen_addr: SocketAddr,
    pub list_addr: SocketAddr,
    pub seed: u64,
    /// Processor time, in cores.
    pub cores: f64,
    pub memory_mb: f64,
    pub max_sockets: usize,
    /// The list of hosts as last held, in the list's own form; may be old or missing.
    pub last_known_list: Option<Value>,
    /// What it needs to hear its peers; a fault in it matters to those alone who would.
    pub roster: Result<Option<Roster>, String>,
    pub terms: PolicyOptions,
    pub adapter_options: AdapterOptions,
}

/// The most routers of a tier: what the tier's membership is made for.
const MAX_PEERS: usize = magpiewell_members::MAX_MEMBERS;

/// The routers of a tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// This one's number among them.
    pub local: u16,
    /// Where it hears them, and where each of them is reached, its own place included.
    pub listen_addr: SocketAddr,
    pub addrs: Vec<SocketAddr>,
}

/// None where the settings don't let routers tell one another anything.
fn roster(root: &Value) -> Result<Option<Roster>, String> {
    let none = Vec::new();
    let texts = may(root, "peers", Value::as_array, &none)?;
    let may_tell = may(root, "settings.limits.may_tell", Value::as_bool, false)?;
    if texts.is_empty() || !may_tell || at(root, "peer_listen").is_none() {
        return Ok(None);
    }
    let wrong = || "settings key 'peers' has something that is no address with a port".to_string();
    let reached = |text: &Value| text.as_str().and_then(|t| t.parse().ok()).ok_or_else(wrong);
    let addrs: Vec<SocketAddr> = texts.iter().map(reached).collect::<Result<_, _>>()?;
    if addrs.len() > MAX_PEERS {
        return Err(format!("settings key 'peers' names {} routers, at most {MAX_PEERS}", addrs.len()));
    }
    let me = need(root, "settings.me", Value::as_u64)?;
    let listen = address(root, "peer_listen")?;
    match u16::try_from(me).ok().filter(|me| usize::from(*me) < addrs.len()) {
        Some(local) => Ok(Some(Roster { local, listen_addr: listen, addrs })),
        None => Err(format!("settings key 'settings.me' is out of range: {me}, of {} peers", addrs.len())),
    }
}

fn address(root: &Value, path: &str) -> Result<SocketAddr, String> {
    let text = need(root, path, Value::as_str)?;
    text.parse().map_err(|_| format!("settings key '{path}' is no address with a port: '{text}'"))
}

/// Reads the text of the file: what it says, and the whole of it to compare a later one with.
pub fn parse(text: &[u8]) -> Result<(StartupOptions, Value), String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let start = read_keys(&root);
    let start = start.map_err(|e| e.replace("settings lack", "lacks").replace("settings key", "key"))?;
    Ok((start, root))
}

/// Keys that differ and that only a restart takes over. Only `discovery` is taken from a file read anew; `known`
/// and `seed` are a start's own.
pub fn keys_requiring_restart<'a>(now: &'a Value, new: &'a Value) -> Vec<&'a str> {
    let keys = |of: &'a Value| of.as_object().into_iter().flatten().map(|(key, _)| key.as_str());
    let mut all: Vec<&str> = keys(now).chain(keys(new)).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|key| !["discovery", "known", "seed"].contains(key) && now.get(key) != new.get(key));
    all
}

fn read_keys(root: &Value) -> Result<StartupOptions, String> {
    let listen_addr = address(root, "listen")?;
    let list_addr = address(root, "discovery")?;
    let seed = need(root, "seed", Value::as_str)?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| format!("settings key 'seed' is no hexadecimal number: '{seed}'"))?;
    let cores = may(root, "limits.cores", Value::as_f64, 1.0)?;
    let memory_mb = need(root, "limits.memory_mb", Value::as_f64)?;
    let max_sockets = need(root, "limits.sockets", Value::as_u64)? as usize;
    // More than any machine has; beyond it sums of sizes would overflow.
    let ranges = [
        ("cores", cores, 0.01, 1e6),
        ("memory_mb", memory_mb, 32.0, 1e9),
        ("sockets", max_sockets as f64, 64.0, 1e9),
    ];
    for (key, value, least, most) in ranges {
        if !(least..=most).contains(&value) {
            return Err(format!("settings key 'limits.{key}' is out of range: {value}, {least} to {most}"));
        }
    }
    let last_known_list = at(root, "known").cloned();
    let roster = roster(root).map_err(|e| e.replace("settings lack", "lacks").replace("settings key", "key"));
    let inner = need(root, "settings", Some)?;
    let (terms, adapter_options) = settings::parse_value(inner)
        .map_err(|e| e.replace("settings lack '", "lacks 'settings.").replace("key '", "key 'settings."))?;
    Ok(StartupOptions {
        name: may(root, "name", Value::as_str, "router")?.to_string(),
        listen_addr,
        list_addr,
        seed,
        cores,
        memory_mb,
        max_sockets,
        last_known_list,
        roster,
        terms,
        adapter_options,
    })
}

#[cfg(test)]
mod tests;

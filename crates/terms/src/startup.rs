//! Reads a router's configuration file, and names the environment variables that a router uses.

use crate::settings::{self, AdapterOptions};
use crate::{lookup, optional, required};
use magpiewell::PolicyOptions;
use serde_json::Value;
use std::net::SocketAddr;

/// Environment variable with the path of the configuration file.
pub const CONFIG_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable with the log level: error, warn, info, debug or trace.
pub const LOG_LEVEL_VARIABLE: &str = "MAGPIEWELL_LOG";

/// Everything that a router's configuration file states.
pub struct StartupOptions {
    pub name: String,
    /// Address that clients connect to.
    pub listen_addr: SocketAddr,
    /// Address of the host list service.
    pub list_addr: SocketAddr,
    pub seed: u64,
    /// Processor time that the router may use, in cores.
    pub cores: f64,
    pub memory_mb: f64,
    /// Sockets that the router may have open.
    pub max_sockets: usize,
    /// The last known host list, in the list service's format; may be stale or absent.
    pub last_known_list: Option<Value>,
    /// The routers of the tier. An error matters only to a router that exchanges datagrams with its peers.
    pub roster: Result<Option<Roster>, String>,
    pub policy_options: PolicyOptions,
    pub adapter_options: AdapterOptions,
}

/// Limit of the tier's membership protocol.
const MAX_PEERS: usize = magpiewell_members::MAX_MEMBERS;

/// The routers of a tier and their addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// This router's number: its index in `addrs`.
    pub local: u16,
    /// Address that this router receives its peers' datagrams on.
    pub listen_addr: SocketAddr,
    /// Addresses that the routers are reached at, this one's included.
    pub addrs: Vec<SocketAddr>,
}

/// Reads the roster; `None` unless the settings allow routers to exchange datagrams and state how.
fn roster(root: &Value) -> Result<Option<Roster>, String> {
    let empty = Vec::new();
    let peers = optional(root, "peers", Value::as_array, &empty)?;
    let may_tell = optional(root, "settings.limits.may_tell", Value::as_bool, false)?;
    if peers.is_empty() || !may_tell || lookup(root, "peer_listen").is_none() {
        return Ok(None);
    }
    let invalid = || "settings key 'peers' has an entry that is not an address with a port".to_string();
    let parse_addr = |peer: &Value| peer.as_str().and_then(|text| text.parse().ok()).ok_or_else(invalid);
    let addrs: Vec<SocketAddr> = peers.iter().map(parse_addr).collect::<Result<_, _>>()?;
    if addrs.len() > MAX_PEERS {
        return Err(format!("settings key 'peers' names {} routers, at most {MAX_PEERS}", addrs.len()));
    }
    let me = required(root, "settings.me", Value::as_u64)?;
    let listen_addr = address(root, "peer_listen")?;
    match u16::try_from(me).ok().filter(|me| usize::from(*me) < addrs.len()) {
        Some(local) => Ok(Some(Roster { local, listen_addr, addrs })),
        None => Err(format!("settings key 'settings.me' is out of range: {me}, of {} peers", addrs.len())),
    }
}

fn address(root: &Value, path: &str) -> Result<SocketAddr, String> {
    let text = required(root, path, Value::as_str)?;
    text.parse().map_err(|_| format!("settings key '{path}' is not an address with a port: '{text}'"))
}

/// Parses a configuration file. Also returns its whole content, which [`keys_requiring_restart`] compares
/// with that of a later version.
pub fn parse(text: &[u8]) -> Result<(StartupOptions, Value), String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let options = parse_value(&root);
    let options = options.map_err(|e| e.replace("settings lack", "lacks").replace("settings key", "key"))?;
    Ok((options, root))
}

/// Top-level keys whose values differ and take effect only after a restart. Of a reloaded file only
/// `discovery` is applied; `known` and `seed` only matter at startup.
pub fn keys_requiring_restart<'a>(current: &'a Value, new: &'a Value) -> Vec<&'a str> {
    let keys = |root: &'a Value| root.as_object().into_iter().flatten().map(|(key, _)| key.as_str());
    let mut changed: Vec<&str> = keys(current).chain(keys(new)).collect();
    changed.sort_unstable();
    changed.dedup();
    changed.retain(|key| !["discovery", "known", "seed"].contains(key) && current.get(key) != new.get(key));
    changed
}

fn parse_value(root: &Value) -> Result<StartupOptions, String> {
    let listen_addr = address(root, "listen")?;
    let list_addr = address(root, "discovery")?;
    let seed = required(root, "seed", Value::as_str)?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| format!("settings key 'seed' is not a hexadecimal number: '{seed}'"))?;
    let cores = optional(root, "limits.cores", Value::as_f64, 1.0)?;
    let memory_mb = required(root, "limits.memory_mb", Value::as_f64)?;
    let max_sockets = required(root, "limits.sockets", Value::as_u64)? as usize;
    // The upper bounds exceed any machine; greater values would overflow sums of sizes.
    let ranges = [
        ("cores", cores, 0.01, 1e6),
        ("memory_mb", memory_mb, 32.0, 1e9),
        ("sockets", max_sockets as f64, 64.0, 1e9),
    ];
    for (key, value, min, max) in ranges {
        if !(min..=max).contains(&value) {
            return Err(format!("settings key 'limits.{key}' is out of range: {value}, {min} to {max}"));
        }
    }
    let last_known_list = lookup(root, "known").cloned();
    let roster = roster(root).map_err(|e| e.replace("settings lack", "lacks").replace("settings key", "key"));
    let settings = required(root, "settings", Some)?;
    let (policy_options, adapter_options) = settings::parse_value(settings)
        .map_err(|e| e.replace("settings lack '", "lacks 'settings.").replace("key '", "key 'settings."))?;
    Ok(StartupOptions {
        name: optional(root, "name", Value::as_str, "router")?.to_string(),
        listen_addr,
        list_addr,
        seed,
        cores,
        memory_mb,
        max_sockets,
        last_known_list,
        roster,
        policy_options,
        adapter_options,
    })
}

#[cfg(test)]
mod tests;

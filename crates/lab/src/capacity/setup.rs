//! The configuration of the router under measurement, and the host list in the list service's format.

use crate::process::ResourceLimits;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Hosts per group; the first is the primary.
pub const GROUP_SIZE: usize = 5;
/// Number of zones. Hosts are spread over them so that a group has at most one host in each.
pub const ZONES: usize = 6;
/// Sizes of the target tier that measurements are extrapolated to.
pub const TARGET_ROUTERS: f64 = 4_800.0;
pub const TARGET_HOSTS: f64 = 7_000.0;
pub const TARGET_CLIENTS_PER_ROUTER: f64 = 5_200.0;
pub const TARGET_STATEMENTS_PER_ROUTER: f64 = 2_062.0;

/// The address of a host: an IP address of its own, and the port that all hosts share.
pub fn host_address(host: usize, port: u16) -> SocketAddrV4 {
    let [_, high, middle, low] = ((host + 1) as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 80 + high, middle, low), port)
}

/// The host with this address; `None` for addresses below the range of the hosts.
pub fn host_of(address: Ipv4Addr) -> Option<usize> {
    let [_, high, middle, low] = address.octets();
    let number = u32::from_be_bytes([0, high.checked_sub(80)?, middle, low]) as usize;
    number.checked_sub(1)
}

pub fn group_of(host: usize) -> usize {
    host / GROUP_SIZE
}

pub fn zone_of(host: usize) -> usize {
    host % ZONES
}

pub fn is_primary(host: usize) -> bool {
    host.is_multiple_of(GROUP_SIZE)
}

/// The number of groups that `hosts` hosts form, at least 1.
pub fn group_count(hosts: usize) -> usize {
    hosts.div_ceil(GROUP_SIZE).max(1)
}

/// Appends the list entry of one host.
fn write_host(text: &mut String, host: usize, port: u16, weight: f64) {
    let _ = write!(
        text,
        "{{\"id\":\"h-{host}\",\"addr\":\"{}\",\"zone\":\"z{}\",\"kind\":\"m\",\"cell\":{},\
         \"state\":\"Ready\",\"weight\":{weight:.2},\"started_ms\":0}}",
        host_address(host, port),
        zone_of(host),
        group_of(host),
    );
}

/// A list response with these hosts, all of the same weight.
fn list_response(
    version: u64,
    full: bool,
    hosts: impl Iterator<Item = usize>,
    port: u16,
    weight: f64,
) -> String {
    let mut text = format!("{{\"version\":{version},\"full\":{full},\"servers\":[");
    for (index, host) in hosts.enumerate() {
        if index > 0 {
            text.push(',');
        }
        write_host(&mut text, host, port, weight);
    }
    text.push_str("]}");
    text
}

/// The response with all hosts.
pub fn full_list(version: u64, hosts: usize, port: u16) -> String {
    list_response(version, true, 0..hosts, port, 1.0)
}

/// The response when nothing has changed since `version`.
pub fn unchanged_list(version: u64) -> String {
    list_response(version, false, std::iter::empty(), 0, 1.0)
}

/// The response when one host has changed since the previous version. Its weight is 1.0 or 1.1,
/// alternating with the version.
pub fn single_host_change(version: u64, host: usize, port: u16) -> String {
    list_response(version, false, std::iter::once(host), port, 1.0 + (version % 2) as f64 / 10.0)
}

/// A router's configuration with two op types: `look` reads at any staleness, `near` at a bounded one.
pub fn configuration(limits: &ResourceLimits, list_address: SocketAddr, known_list: Option<&str>) -> String {
    let ResourceLimits { cores, memory_mb, sockets } = limits;
    let known_field = known_list.map(|list| format!("\"known\":{list},")).unwrap_or_default();
    format!(
        r#"{{"name":"lab","listen":"127.0.0.1:0","discovery":"{list_address}","seed":"1",
        "limits":{{"cores":{cores},"memory_mb":{memory_mb},"sockets":{sockets}}},{known_field}
        "settings":{{"balancers":4800,"tick_s":0.005,"discovery":"automatic",
        "classes":[{{"name":"look","effect":"free","deadline_s":1,"goal_time_s":0.5,"value":1}},
        {{"name":"near","effect":"free","deadline_s":1,"goal_time_s":0.5,"value":1}}],
        "extra":{{"behind":"refuse","read_level":["any","bounded"],"staleness_bound_s":[0,2]}},
        "tenants":[{{"name":"acme","quota_rps":19800000}}],
        "limits":{{"max_attempts":2,"may_cancel":true,"probes":true,"retry_after":true,
        "max_retry_after_s":2}},
        "rules":{{"cold_from":0.2,"cold_s":10,"drain_grace_s":0.5,"fall_multiple":2.5,"fall_s":2}}}}}}"#
    )
}

/// Resource limits so high that none takes effect: measurements show the cost of the program, not its limits.
pub const AMPLE_LIMITS: ResourceLimits = ResourceLimits { cores: 8.0, memory_mb: 8_192, sockets: 200_000 };

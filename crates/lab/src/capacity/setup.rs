//! What a router under measurement is configured with, and the list of hosts in its own form.

use crate::process::ResourceLimits;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Hosts of a group; its first is the primary.
pub const GROUP_SIZE: usize = 5;
/// Zones that the hosts are spread over, so that a group has at most one in each.
pub const ZONES: usize = 6;
/// The target that the figures are for.
pub const ROUTERS: f64 = 4_800.0;
pub const DATABASES: f64 = 7_000.0;
pub const CLIENTS_A_ROUTER: f64 = 5_200.0;
pub const STATEMENTS_A_ROUTER: f64 = 2_062.0;

/// The address of a host: one of its own for each, all at one port.
pub fn host_address(host: usize, port: u16) -> SocketAddrV4 {
    let [_, high, middle, low] = ((host + 1) as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 80 + high, middle, low), port)
}

/// The host that an address is of.
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

/// How many groups so many hosts are in.
pub fn groups(hosts: usize) -> usize {
    hosts.div_ceil(GROUP_SIZE).max(1)
}

/// One host as the list names it, with a weight that a change may raise.
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

/// A page of the list.
fn page(version: u64, full: bool, hosts: impl Iterator<Item = usize>, port: u16, weight: f64) -> String {
    let mut text = format!("{{\"version\":{version},\"full\":{full},\"servers\":[");
    for (place, host) in hosts.enumerate() {
        if place > 0 {
            text.push(',');
        }
        write_host(&mut text, host, port, weight);
    }
    text.push_str("]}");
    text
}

/// The whole list.
pub fn whole_list(version: u64, hosts: usize, port: u16) -> String {
    page(version, true, 0..hosts, port, 1.0)
}

/// Nothing has changed.
pub fn no_change(version: u64) -> String {
    page(version, false, std::iter::empty(), 0, 1.0)
}

/// What has changed since the version before: one host.
pub fn one_change(version: u64, host: usize, port: u16) -> String {
    page(version, false, std::iter::once(host), port, 1.0 + (version % 2) as f64 / 10.0)
}

/// A router's configuration: any reads, and reads with a bound on how old their data may be.
pub fn configuration(grant: &ResourceLimits, list_at: SocketAddr, known: Option<&str>) -> String {
    let ResourceLimits { cores, memory_mb, sockets } = grant;
    let known = known.map(|list| format!("\"known\":{list},")).unwrap_or_default();
    format!(
        r#"{{"name":"lab","listen":"127.0.0.1:0","discovery":"{list_at}","seed":"1",
        "limits":{{"cores":{cores},"memory_mb":{memory_mb},"sockets":{sockets}}},{known}
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

/// A grant that binds nowhere: what is measured is the program, not its limits.
pub const AMPLE: ResourceLimits = ResourceLimits { cores: 8.0, memory_mb: 8_192, sockets: 200_000 };

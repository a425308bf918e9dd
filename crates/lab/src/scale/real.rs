//! A real router process beside the hollow ones: its configuration, and the figures it logs.

use super::message::Event;
use super::plan::{MemberId, Plan};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;

/// Resources granted to each real router, which has no clients.
const CORES: f64 = 1.0;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 256;
/// Interval at which a real router logs its figures.
pub const FIGURES_INTERVAL_MS: f64 = 10_000.0;
/// The address of the host list service: nothing listens there, so the router keeps the empty list of its
/// configuration.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// A real router's configuration, as the platform would generate it.
fn configuration(plan: &Plan, member: MemberId) -> String {
    let mut listen = plan.address(member);
    // Clients use TCP and peers UDP, so that both can have the same port.
    listen.set_port(plan.port);
    let zones: Vec<String> = (0..plan.zones).map(|zone| format!("z{zone}")).collect();
    let peers: Vec<String> = plan.all_members().map(|peer| plan.address(peer).to_string()).collect();
    serde_json::json!({
        "name": format!("r{member}"),
        "listen": listen.to_string(),
        "discovery": UNUSED_ADDRESS,
        "seed": format!("{:x}", plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(member))),
        "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"version": 1, "full": true, "servers": []},
        "peer_listen": plan.address(member).to_string(),
        "peers": peers,
        "settings": {
            "balancers": plan.members(), "me": member, "tick_s": 0.005, "discovery": "automatic",
            "areas": zones, "az": plan.zone(member),
            "classes": [{"name": "look", "effect": "free", "deadline_s": 1, "goal_time_s": 0.5, "value": 1}],
            "extra": {"behind": "refuse", "read_level": ["any"], "staleness_bound_s": [0]},
            "tenants": [{"name": "acme", "quota_rps": 1_000}],
            "limits": {"max_attempts": 2, "may_cancel": true, "retry_after": true, "max_retry_after_s": 2,
                "may_tell": true},
            "rules": {"cold_from": 0.2, "cold_s": 10, "drain_grace_s": 0.5, "fall_multiple": 2.5, "fall_s": 2}
        }
    })
    .to_string()
}

/// Starts a real router; `on_event` is called with the figures from its log until it exits.
pub fn start(
    program: &Path,
    folder: &Path,
    plan: &Plan,
    member: MemberId,
    on_event: impl Fn(Event) + Send + 'static,
) -> Result<(Child, JoinHandle<()>), String> {
    let file = folder.join(format!("router-{member}.json"));
    std::fs::write(&file, configuration(plan, member)).map_err(|e| format!("{}: {e}", file.display()))?;
    let log = folder.join(format!("router-{member}.log"));
    let mut log = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
    let mut command = Command::new(program);
    command.arg("--tier").arg(folder.join(super::runner::TEMPLATE_FILE)).env("BALANCER_CONFIG", &file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
    let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
    let reader = std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            drop(writeln!(log, "{line}"));
            if let Some(event) = parse_figures(member, &line) {
                on_event(event);
            }
        }
    });
    Ok((child, reader))
}

/// Parses a log line with the tier's figures; none if it is another line.
pub fn parse_figures(member: MemberId, line: &str) -> Option<Event> {
    let value = |key: &str| -> Option<u64> {
        line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
    };
    Some(Event::RealFigures {
        member,
        counted: value("counted")? as usize,
        bytes: value("bytes")?,
        groups: value("groups")? as usize,
    })
}

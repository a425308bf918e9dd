//! A real router process beside the hollow ones: its configuration, and what its log says from outside.

use super::message::Event;
use super::plan::{Member, Plan};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;

/// What each real router is granted; it has no clients.
const CORES: f64 = 1.0;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 256;
/// A real router logs its figures so often.
pub const LINES_EVERY_MS: f64 = 10_000.0;
/// Its list of hosts is at an address where nobody answers; it is ready with the empty list that it is given.
const NOBODY: &str = "127.0.0.1:1";

/// A real router's configuration, as the platform would write it.
fn configuration(plan: &Plan, member: Member) -> String {
    let mut listen = plan.address(member);
    // Clients come by TCP, peers by UDP: the same port serves both.
    listen.set_port(plan.port);
    let zones: Vec<String> = (0..plan.zones).map(|zone| format!("z{zone}")).collect();
    let peers: Vec<String> = plan.all_members().map(|peer| plan.address(peer).to_string()).collect();
    serde_json::json!({
        "name": format!("r{member}"),
        "listen": listen.to_string(),
        "discovery": NOBODY,
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

/// Starts a real router; `seen` is given what its log says until it ends.
pub fn start(
    program: &Path,
    folder: &Path,
    plan: &Plan,
    member: Member,
    seen: impl Fn(Event) + Send + 'static,
) -> Result<(Child, JoinHandle<()>), String> {
    let file = folder.join(format!("router-{member}.json"));
    std::fs::write(&file, configuration(plan, member)).map_err(|e| format!("{}: {e}", file.display()))?;
    let log = folder.join(format!("router-{member}.log"));
    let mut log = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
    let mut command = Command::new(program);
    command.arg("--tier").arg(folder.join(super::runner::TEMPLATE)).env("BALANCER_CONFIG", &file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
    let lines = BufReader::new(child.stderr.take().expect("was asked for")).lines();
    let reader = std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            drop(writeln!(log, "{line}"));
            if let Some(event) = figures(member, &line) {
                seen(event);
            }
        }
    });
    Ok((child, reader))
}

/// What a line of figures of the tier says; none where it is another line.
pub fn figures(member: Member, line: &str) -> Option<Event> {
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

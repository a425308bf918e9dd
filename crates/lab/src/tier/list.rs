//! The list of hosts as each router is told it: HTTP watches that wait for news. One thread serves all routers; each
//! calls an address of its own, so that the list can be silent to some.

use super::net::{self, BufferedStream, Epoch};
use super::plan::{Change, Listed, Plan};
use super::record::{Record, Seen};
use super::script::{What, ends};
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(5);

struct Watch {
    wire: BufferedStream,
    router: usize,
    /// What is waited for, as the version that the router has, and until when.
    waits: Option<(usize, f64)>,
}

/// The whole list, or what has changed since a version, as a page.
pub fn page(
    plan: &Plan,
    router: usize,
    after: Option<usize>,
    now: f64,
    epoch: &Epoch,
) -> (String, Vec<Change>) {
    let known = plan.changes.partition_point(|c| c.at <= now);
    let full = after.is_none();
    let from = after.unwrap_or(0).min(known);
    // Of several changes of a host only the last one counts.
    let mut last: Vec<Change> = Vec::new();
    for change in &plan.changes[from..known] {
        last.retain(|c| c.host != change.host);
        last.push(*change);
    }
    last.retain(|c| !full || c.listed != Listed::Gone);
    let mut text = format!("{{\"version\":{known},\"full\":{full},\"servers\":[");
    for (no, change) in last.iter().enumerate() {
        let (host, s) = (change.host, &plan.script);
        let state = match change.listed {
            Listed::Ready => "Ready",
            Listed::Draining => "Terminating",
            Listed::Gone => "Gone",
        };
        let started = change.started.map_or(0.0, |at| epoch.unix_ms + at);
        let _ = write!(
            text,
            "{}{{\"id\":\"h-{host}\",\"addr\":\"{}\",\"zone\":\"z{}\",\"kind\":\"m\",\"cell\":{},\"state\":\"{state}\",\
             \"weight\":{:.1},\"started_ms\":{started:.0}}}",
            if no == 0 { "" } else { "," },
            s.host_at(router, host),
            s.zone_of_host(host),
            s.group_of(host),
            s.size(host),
        );
    }
    text.push_str("]}");
    (text, last)
}

fn number(path: &str, key: &str) -> Option<f64> {
    let (_, behind) = path.split_once(&format!("{key}="))?;
    behind.split(['&', ' ']).next()?.parse().ok()
}

/// Serves until the play is over.
pub fn run(plan: &Plan, epoch: Epoch) -> Result<Record, String> {
    let mut poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = net::listen(plan.script.list_at(0).port())?;
    poll.registry().register(&mut listener, Token(0), Interest::READABLE).map_err(|e| e.to_string())?;
    let (mut events, mut watches) = (Events::with_capacity(1_024), HashMap::<usize, Watch>::new());
    let (mut record, mut next) = (Record::new(), 1);
    loop {
        match poll.poll(&mut events, Some(BEAT)) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
            _ => {}
        }
        let now = epoch.now();
        if now >= plan.ends_at() {
            return Ok(record);
        }
        while let Ok((stream, _)) = listener.accept() {
            let mut wire = BufferedStream::new(stream);
            let Some((router, _)) = wire.local_addr().map(|at| ends(at.ip())) else { continue };
            if router < plan.script.routers && wire.register(poll.registry(), Token(next)).is_ok() {
                watches.insert(next, Watch { wire, router, waits: None });
                next += 1;
            }
        }
        let silent: Vec<bool> = silent(plan, now);
        for event in &events {
            if let Some(watch) = watches.get_mut(&event.token().0) {
                watch.wire.read();
                watch.wire.write();
            }
        }
        watches.retain(|_, watch| {
            if silent[watch.router] {
                return !watch.wire.closed;
            }
            if watch.waits.is_none()
                && let Some(end) = watch.wire.received.windows(4).position(|w| w == b"\r\n\r\n")
            {
                let head: Vec<u8> = watch.wire.received.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head);
                let path = head.split("\r\n").next().unwrap_or("");
                let after = number(path, "after").map(|v| v.max(0.0) as usize);
                let wait = number(path, "wait_ms").unwrap_or(0.0).clamp(0.0, 60_000.0);
                watch.waits = Some((after.unwrap_or(usize::MAX), now + wait));
            }
            if let Some((after, until)) = watch.waits {
                let after = Some(after).filter(|v| *v != usize::MAX);
                let news = plan.changes.partition_point(|c| c.at <= now) > after.unwrap_or(0);
                if after.is_none() || news || now >= until {
                    let (body, told) = page(plan, watch.router, after, now, &epoch);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    watch.wire.outgoing.extend(head.into_bytes());
                    watch.wire.outgoing.extend(body.into_bytes());
                    watch.wire.write();
                    watch.waits = None;
                    let router = watch.router as u32;
                    record.extend(told.iter().map(|c| {
                        let ready = c.listed == Listed::Ready;
                        (now, Seen::Told { router, host: c.host as u32, ready })
                    }));
                }
            }
            !watch.wire.closed
        });
    }
}

fn silent(plan: &Plan, now: f64) -> Vec<bool> {
    let mut silent = vec![false; plan.script.routers];
    for (no, what) in plan.faults(now) {
        if let What::SilenceList { routers } = what {
            plan.script.routers(no, routers).into_iter().for_each(|r| silent[r] = true);
        }
    }
    silent
}

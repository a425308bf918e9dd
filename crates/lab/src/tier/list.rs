//! The host list service: HTTP list watches that wait for changes. One thread serves all routers; each router
//! connects to an address of its own, so that a fault can silence the service for some of them.

use super::net::{self, BufferedStream, Epoch};
use super::plan::{ListChange, ListState, Plan};
use super::record::{Record, Seen};
use super::script::{What, decode_pair};
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A connection of a router to the list service.
struct Watch {
    stream: BufferedStream,
    router: usize,
    /// The pending request: the list version that the router has (`usize::MAX`: none), and when the wait
    /// times out.
    pending: Option<(usize, f64)>,
}

/// The list response for a router, and the changes in it: the whole list, or the changes since the version
/// `after`.
pub fn list_response(
    plan: &Plan,
    router: usize,
    after: Option<usize>,
    now: f64,
    epoch: &Epoch,
) -> (String, Vec<ListChange>) {
    let version = plan.changes.partition_point(|c| c.at <= now);
    let full = after.is_none();
    let from = after.unwrap_or(0).min(version);
    // Of several changes of a host, the response holds only the last.
    let mut last: Vec<ListChange> = Vec::new();
    for change in &plan.changes[from..version] {
        last.retain(|c| c.host != change.host);
        last.push(*change);
    }
    last.retain(|c| !full || c.state != ListState::Gone);
    let mut text = format!("{{\"version\":{version},\"full\":{full},\"servers\":[");
    for (index, change) in last.iter().enumerate() {
        let (host, s) = (change.host, &plan.script);
        let state = match change.state {
            ListState::Ready => "Ready",
            ListState::Draining => "Terminating",
            ListState::Gone => "Gone",
        };
        let started = change.started.map_or(0.0, |at| epoch.unix_ms + at);
        let _ = write!(
            text,
            "{}{{\"id\":\"h-{host}\",\"addr\":\"{}\",\"zone\":\"z{}\",\"kind\":\"m\",\"cell\":{},\
             \"state\":\"{state}\",\
             \"weight\":{:.1},\"started_ms\":{started:.0}}}",
            if index == 0 { "" } else { "," },
            s.host_addr(router, host),
            s.zone_of_host(host),
            s.group_of(host),
            s.size(host),
        );
    }
    text.push_str("]}");
    (text, last)
}

/// The value of a numeric query parameter.
fn query_number(path: &str, key: &str) -> Option<f64> {
    let (_, rest) = path.split_once(&format!("{key}="))?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// Serves all routers until the run ends; returns the recorded events.
pub fn run(plan: &Plan, epoch: Epoch) -> Result<Record, String> {
    let mut poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = net::listen(plan.script.list_addr(0).port())?;
    poll.registry().register(&mut listener, Token(0), Interest::READABLE).map_err(|e| e.to_string())?;
    let (mut events, mut watches) = (Events::with_capacity(1_024), HashMap::<usize, Watch>::new());
    let (mut record, mut next) = (Record::new(), 1);
    loop {
        match poll.poll(&mut events, Some(POLL_INTERVAL)) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
            _ => {}
        }
        let now = epoch.now();
        if now >= plan.ends_at() {
            return Ok(record);
        }
        while let Ok((accepted, _)) = listener.accept() {
            let mut stream = BufferedStream::new(accepted);
            let Some((router, _)) = stream.local_addr().map(|addr| decode_pair(addr.ip())) else { continue };
            if router < plan.script.routers && stream.register(poll.registry(), Token(next)).is_ok() {
                watches.insert(next, Watch { stream, router, pending: None });
                next += 1;
            }
        }
        let silenced: Vec<bool> = silenced(plan, now);
        for event in &events {
            if let Some(watch) = watches.get_mut(&event.token().0) {
                watch.stream.read();
                watch.stream.write();
            }
        }
        watches.retain(|_, watch| {
            if silenced[watch.router] {
                return !watch.stream.closed;
            }
            if watch.pending.is_none()
                && let Some(end) = watch.stream.received.windows(4).position(|w| w == b"\r\n\r\n")
            {
                let head: Vec<u8> = watch.stream.received.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head);
                let path = head.split("\r\n").next().unwrap_or("");
                let after = query_number(path, "after").map(|v| v.max(0.0) as usize);
                let wait = query_number(path, "wait_ms").unwrap_or(0.0).clamp(0.0, 60_000.0);
                watch.pending = Some((after.unwrap_or(usize::MAX), now + wait));
            }
            if let Some((after, until)) = watch.pending {
                let after = Some(after).filter(|v| *v != usize::MAX);
                let has_changes = plan.changes.partition_point(|c| c.at <= now) > after.unwrap_or(0);
                if after.is_none() || has_changes || now >= until {
                    let (body, sent) = list_response(plan, watch.router, after, now, &epoch);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    watch.stream.outgoing.extend(head.into_bytes());
                    watch.stream.outgoing.extend(body.into_bytes());
                    watch.stream.write();
                    watch.pending = None;
                    let router = watch.router as u32;
                    record.extend(sent.iter().map(|c| {
                        let ready = c.state == ListState::Ready;
                        (now, Seen::Told { router, host: c.host as u32, ready })
                    }));
                }
            }
            !watch.stream.closed
        });
    }
}

/// By router: whether a fault silences the service for it.
fn silenced(plan: &Plan, now: f64) -> Vec<bool> {
    let mut silenced = vec![false; plan.script.routers];
    for (fault_index, what) in plan.active_faults(now) {
        if let What::SilenceList { routers } = what {
            plan.script.selected_routers(fault_index, routers).into_iter().for_each(|r| silenced[r] = true);
        }
    }
    silenced
}

//! Watches the host list: a thread sends one request after another to the list service, each of which waits
//! there for a change. A new address gets a new thread.

use crate::event::Event;
use crate::limits::Limits;
use crate::shared::Shared;
use crossbeam_channel::{Receiver, Sender};
use magpiewell::{HostEntry, HostState};
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The outcome of a list request: the response, or `None` if the request failed.
pub type ListUpdate = Option<Value>;

/// Parses a list response and calls `visit` for each host with its id, its address, the key of its group and
/// the rest of its entry, in which the index of the group is left at 0. Zones are numbered by their position
/// in `zone_names`; an unknown zone gets the number `usize::MAX`.
pub fn parse_entries(
    response: &Value,
    zone_names: &[String],
    mut visit: impl FnMut(&str, SocketAddr, u64, HostEntry),
) -> Result<(), String> {
    let hosts = response.get("servers").and_then(Value::as_array).ok_or("host list lacks 'servers'")?;
    for host in hosts {
        let key = |key: &str| host.get(key).ok_or(format!("host list entry lacks '{key}'"));
        let invalid = |key: &str| format!("host list entry has an invalid '{key}'");
        let id = key("id")?.as_str().ok_or_else(|| invalid("id"))?;
        let addr = key("addr")?.as_str().and_then(|a| a.parse().ok()).ok_or_else(|| invalid("addr"))?;
        let group_key = host.get("cell").map_or(Some(0), Value::as_u64).ok_or_else(|| invalid("cell"))?;
        let state = match key("state")?.as_str() {
            Some("Ready") => HostState::Ready,
            Some("Terminating") => HostState::Draining,
            Some("Gone") => HostState::Gone,
            _ => return Err(invalid("state")),
        };
        let capacity = host.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
        let started = host.get("started_ms").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let primary =
            host.get("access").is_some_and(|v| v.as_str() == Some("writer") || v.as_f64() == Some(1.0));
        let started_at = started.unwrap_or(f64::NEG_INFINITY);
        let zone = host.get("zone").and_then(Value::as_str);
        let zone = zone.and_then(|name| zone_names.iter().position(|z| z == name)).unwrap_or(usize::MAX);
        visit(id, addr, group_key, HostEntry { group: 0, state, capacity, started_at, primary, zone });
    }
    Ok(())
}

/// Whether the response holds the whole list rather than the entries that changed.
pub fn is_complete(response: &Value) -> bool {
    response.get("full").and_then(Value::as_bool).unwrap_or(false)
}

/// The version that the response states.
pub fn version(response: &Value) -> Option<u64> {
    response.get("version").and_then(Value::as_u64)
}

/// Watches the list at its present address. When a reloaded configuration names another address, the watch
/// there starts at once and all further responses from the old address are dropped, so that a late one never
/// overtakes a newer one.
pub struct ListWatcher {
    shared: Arc<Shared>,
    events: Sender<Event>,
    updates: Sender<ListUpdate>,
    /// Receives a message when the policy wants a failed request to be retried at once.
    retries: Receiver<()>,
    current: Mutex<CurrentWatch>,
}

/// The watch at the present address.
#[derive(Default)]
struct CurrentWatch {
    /// Number of the watch; responses of earlier ones are dropped.
    generation: u64,
    addr: Option<SocketAddr>,
    /// The connection on which it waits for a response.
    stream: Option<TcpStream>,
}

/// How long one request waits at the list service, and how long it may take in all.
#[derive(Clone, Copy, Debug)]
struct RequestTiming {
    wait: Duration,
    timeout: Duration,
}

impl RequestTiming {
    /// A request is answered at once where no list is known: that tells how long the service takes to answer,
    /// and a watch then gets that much longer.
    fn new(limits: &Limits, is_immediate: bool, answer_delay: Duration) -> RequestTiming {
        if is_immediate {
            return RequestTiming { wait: Duration::ZERO, timeout: limits.list_answer };
        }
        let wait = Duration::from_millis(limits.list_wait_ms);
        RequestTiming { wait, timeout: wait + limits.list_slack + answer_delay }
    }
}

impl ListWatcher {
    pub fn new(
        shared: Arc<Shared>,
        events: Sender<Event>,
        updates: Sender<ListUpdate>,
        retries: Receiver<()>,
    ) -> Arc<ListWatcher> {
        Arc::new(ListWatcher { shared, events, updates, retries, current: Mutex::default() })
    }

    fn current(&self) -> MutexGuard<'_, CurrentWatch> {
        self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Watches this address from now on, and no other; false if no thread can be started, in which case the
    /// old address stays.
    pub fn follow(self: &Arc<ListWatcher>, addr: SocketAddr, known_list: Option<&Value>) -> bool {
        let mut current = self.current();
        if current.addr == Some(addr) {
            return true;
        }
        let (watcher, known_version, generation) =
            (self.clone(), known_list.and_then(version), current.generation + 1);
        // The thread waits for this lock, and then finds that its generation is the current one.
        if self.shared.spawn("list", move || watcher.watch(generation, addr, known_version)).is_none() {
            return false;
        }
        if let Some(old) = current.stream.take() {
            drop(old.shutdown(Shutdown::Both));
        }
        (current.generation, current.addr) = (generation, Some(addr));
        true
    }

    /// Passes an update to the decision thread; false if the list is now watched at another address.
    fn publish(&self, generation: u64, update: ListUpdate) -> bool {
        let current = self.current();
        if current.generation != generation {
            return false;
        }
        drop(self.updates.send(update));
        drop(self.events.send(Event::ListUpdated));
        true
    }

    /// Records the connection on which a watch is about to wait; false if the list is now watched at another
    /// address.
    fn set_connection(&self, generation: u64, stream: &TcpStream) -> bool {
        let mut current = self.current();
        // A watch of the former address must not release the connection of the current one.
        let is_current = current.generation == generation;
        if is_current {
            current.stream = stream.try_clone().ok();
        }
        is_current
    }

    fn watch(&self, generation: u64, addr: SocketAddr, mut known_version: Option<u64>) {
        let limits = &self.shared.limits;
        let mut connection = None;
        let mut is_failing = false;
        let mut answer_delay = Duration::ZERO;
        loop {
            let started_at = Instant::now();
            let timing = RequestTiming::new(limits, known_version.is_none(), answer_delay);
            match self.request(generation, addr, known_version, timing, &mut connection) {
                Ok(response) => {
                    // A change may be told before the wait is over, and then tells nothing of the delay.
                    answer_delay = started_at.elapsed().checked_sub(timing.wait).unwrap_or(answer_delay);
                    if std::mem::take(&mut is_failing) {
                        tracing::info!(version = version(&response), "list answers again");
                    }
                    let new_version = version(&response).or(known_version);
                    if new_version <= known_version {
                        // A service that responds at once without a change must not use up a whole core.
                        std::thread::sleep(limits.list_pause.saturating_sub(started_at.elapsed()));
                    }
                    if new_version < known_version {
                        // A late response, or a service that has restarted: the whole list is requested,
                        // which is valid whatever its version.
                        tracing::warn!(
                            version = new_version,
                            have = known_version,
                            "list response is older than the known list"
                        );
                        known_version = None;
                        continue;
                    }
                    known_version = new_version;
                    if !self.publish(generation, Some(response)) {
                        return;
                    }
                }
                Err(why) => {
                    connection = None;
                    // The service may have become slow. A change is told at once, so that the next watch hears
                    // of it in time.
                    if why == SILENT {
                        answer_delay = (answer_delay + limits.list_slack).min(limits.list_answer);
                    }
                    if !self.publish(generation, None) {
                        return;
                    }
                    if !std::mem::replace(&mut is_failing, true) {
                        tracing::warn!(%why, at = %addr, "list failed");
                    }
                    while self.retries.try_recv().is_ok() {}
                    // A request that has timed out is repeated at once.
                    let _ = self.retries.recv_timeout(limits.list_again.saturating_sub(started_at.elapsed()));
                }
            }
        }
    }

    /// Sends one request, on the connection of the last one if that is still open.
    fn request(
        &self,
        generation: u64,
        addr: SocketAddr,
        known_version: Option<u64>,
        timing: RequestTiming,
        connection: &mut Option<TcpStream>,
    ) -> Result<Value, String> {
        let limits = &self.shared.limits;
        let path = match known_version {
            Some(version) => {
                format!("/discovery/hosts?after={version}&wait_ms={}", timing.wait.as_millis())
            }
            None => "/discovery/hosts".to_string(),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nAccept: application/json\r\n\r\n");
        let deadline = Instant::now() + timing.timeout;
        let reused = connection.take();
        let mut is_reused = reused.is_some();
        let mut stream = match reused {
            Some(stream) => stream,
            None => connect(&self.shared, addr)?,
        };
        loop {
            if !self.set_connection(generation, &stream) {
                return Err("superseded by another address".into());
            }
            let written = stream.write_all(request.as_bytes()).map_err(|e| e.to_string());
            match written
                .and_then(|()| read_response(&mut stream, deadline, limits.list_bytes, limits.read_bytes))
            {
                Ok((response, keep_alive)) => {
                    let response: Value = serde_json::from_slice(&response)
                        .map_err(|e| format!("response is not JSON: {e}"))?;
                    parse_entries(&response, &[], |_, _, _, _| ())?;
                    *connection = keep_alive.then_some(stream);
                    return Ok(response);
                }
                // The connection of the last request may have been closed meanwhile.
                Err(why) if std::mem::take(&mut is_reused) && why == ENDED_EARLY => {
                    stream = connect(&self.shared, addr)?
                }
                Err(why) => return Err(why),
            }
        }
    }
}

/// Failure of a request whose connection ended before any response arrived.
const ENDED_EARLY: &str = "connection ended before a response";

fn connect(shared: &Shared, addr: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect_timeout(&addr, shared.limits.list_slack).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.set_write_timeout(Some(shared.limits.list_slack)).map_err(|e| e.to_string())?;
    Ok(stream)
}

/// Reads one response; returns its body, and whether the connection can be used again.
fn read_response(
    from: &mut TcpStream,
    deadline: Instant,
    max_bytes: usize,
    chunk_bytes: usize,
) -> Result<(Vec<u8>, bool), String> {
    let mut buf = Vec::new();
    loop {
        let ended = match read_chunk(from, deadline, &mut buf, chunk_bytes) {
            Ok(ended) => ended,
            Err(why) if buf.is_empty() && why != SILENT => return Err(ENDED_EARLY.into()),
            Err(why) => return Err(why),
        };
        if let Some(whole) = parse_response(&buf, ended)? {
            return Ok(whole);
        }
        if ended {
            return Err(if buf.is_empty() {
                ENDED_EARLY.into()
            } else {
                "response ended before it was complete".into()
            });
        }
        if buf.len() > max_bytes {
            return Err(format!("host list response is longer than {max_bytes} bytes"));
        }
    }
}

/// Failure of a request that gets no complete response by its deadline.
const SILENT: &str = "silent";

/// Reads once, until the deadline at the latest, and appends to `buf`; returns whether the connection has
/// ended.
fn read_chunk(
    from: &mut TcpStream,
    deadline: Instant,
    buf: &mut Vec<u8>,
    chunk_bytes: usize,
) -> Result<bool, String> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(SILENT.into());
    }
    from.set_read_timeout(Some(remaining)).map_err(|e| e.to_string())?;
    let length = buf.len();
    buf.resize(length + chunk_bytes, 0);
    let read = from.read(&mut buf[length..]);
    buf.truncate(length + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(n) => Ok(n == 0),
        Err(e) if e.kind() == ErrorKind::Interrupted => Ok(false),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Err(SILENT.into()),
        Err(e) => Err(e.to_string()),
    }
}

/// Parses the response in the buffer: its body, and whether the connection stays open. `None` if it is not
/// complete yet.
pub fn parse_response(buf: &[u8], ended: bool) -> Result<Option<(Vec<u8>, bool)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(buf).map_err(|e| format!("response is not HTTP: {e}"))?;
    let httparse::Status::Complete(start) = parsed else { return Ok(None) };
    if head.code != Some(200) {
        return Err(format!("HTTP status {}", head.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let keep_alive = header("connection").as_deref() != Some("close") && head.version == Some(1) && !ended;
    let body = &buf[start..];
    if header("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked")) {
        return Ok(decode_chunked(body)?.map(|whole| (whole, keep_alive)));
    }
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().map_err(|_| "invalid content-length")?;
        return Ok(body.get(..length).map(|whole| (whole.to_vec(), keep_alive)));
    }
    // Neither: the body lasts until the connection ends.
    Ok(ended.then(|| (body.to_vec(), false)))
}

fn decode_chunked(mut body: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut whole = Vec::new();
    loop {
        let size = httparse::parse_chunk_size(body).map_err(|_| "invalid chunk size")?;
        let httparse::Status::Complete((start, size)) = size else { return Ok(None) };
        let Some(end) = usize::try_from(size).ok().and_then(|size| start.checked_add(size)) else {
            return Err("invalid chunk size".into());
        };
        let Some(rest) = body.get(end..).filter(|rest| rest.len() >= 2) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(whole));
        }
        whole.extend_from_slice(&body[start..end]);
        body = &rest[2..];
    }
}

#[cfg(test)]
mod tests;

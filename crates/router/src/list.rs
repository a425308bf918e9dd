//! Watches the list of hosts: one thread an address, one call after another, renewed at once.

use crate::event::Event;
use crate::shared::Shared;
use crossbeam_channel::{Receiver, Sender};
use magpiewell::{HostEntry, HostState};
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// What the list brings: a page, or that a call failed.
pub type ListUpdate = Option<Value>;

/// Reads a page; each host goes straight into the call: id, address, the group's name, and what else is said
/// of it (its group's number is left at 0). Zones go by their place among these names.
pub fn parse_entries(
    page: &Value,
    zones: &[String],
    mut take: impl FnMut(&str, SocketAddr, u64, HostEntry),
) -> Result<(), String> {
    let hosts = page.get("servers").and_then(Value::as_array).ok_or("the list lacks 'servers'")?;
    for host in hosts {
        let key = |key: &str| host.get(key).ok_or(format!("a host of the list lacks '{key}'"));
        let wrong = |key: &str| format!("a host of the list has an odd '{key}'");
        let id = key("id")?.as_str().ok_or_else(|| wrong("id"))?;
        let addr = key("addr")?.as_str().and_then(|a| a.parse().ok()).ok_or_else(|| wrong("addr"))?;
        let group = host.get("cell").map_or(Some(0), Value::as_u64).ok_or_else(|| wrong("cell"))?;
        let phase = match key("state")?.as_str() {
            Some("Ready") => HostState::Ready,
            Some("Terminating") => HostState::Draining,
            Some("Gone") => HostState::Gone,
            _ => return Err(wrong("state")),
        };
        let size = host.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
        let started = host.get("started_ms").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let primary =
            host.get("access").is_some_and(|v| v.as_str() == Some("writer") || v.as_f64() == Some(1.0));
        let started = started.unwrap_or(f64::NEG_INFINITY);
        let zone = host.get("zone").and_then(Value::as_str);
        let zone = zone.and_then(|name| zones.iter().position(|z| z == name)).unwrap_or(usize::MAX);
        take(
            id,
            addr,
            group,
            HostEntry { group: 0, state: phase, capacity: size, started_at: started, primary, zone },
        );
    }
    Ok(())
}

pub fn is_complete(page: &Value) -> bool {
    page.get("full").and_then(Value::as_bool).unwrap_or(false)
}

fn version(page: &Value) -> Option<u64> {
    page.get("version").and_then(Value::as_u64)
}

/// Where the list is called now. A configuration read anew names another address: the watch there starts at
/// once, and what the old one still brings is dropped, so that late news never overtakes the new.
pub struct Watches {
    shared: Arc<Shared>,
    events: Sender<Event>,
    news: Sender<ListUpdate>,
    /// Taken where the module wants a call before its time has come.
    again: Receiver<()>,
    present: Mutex<Present>,
}

#[derive(Default)]
struct Present {
    turn: u64,
    at: Option<SocketAddr>,
    /// The connection that the present watch waits on.
    stream: Option<TcpStream>,
}

impl Watches {
    pub fn new(
        shared: Arc<Shared>,
        events: Sender<Event>,
        news: Sender<ListUpdate>,
        again: Receiver<()>,
    ) -> Arc<Watches> {
        Arc::new(Watches { shared, events, news, again, present: Mutex::default() })
    }

    fn present(&self) -> MutexGuard<'_, Present> {
        self.present.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Watches this address from now on, and no other; false where there is no thread to be had, and the old
    /// address stays.
    pub fn follow(self: &Arc<Watches>, at: SocketAddr, known: Option<&Value>) -> bool {
        let mut present = self.present();
        if present.at == Some(at) {
            return true;
        }
        let (watches, have, turn) = (self.clone(), known.and_then(version), present.turn + 1);
        // It finds its turn come once this lock is let go.
        if self.shared.spawn("list", move || watches.watch(turn, at, have)).is_none() {
            return false;
        }
        if let Some(old) = present.stream.take() {
            drop(old.shutdown(Shutdown::Both));
        }
        (present.turn, present.at) = (turn, Some(at));
        true
    }

    /// Hands news on; false where another address has taken over.
    fn tell(&self, turn: u64, page: ListUpdate) -> bool {
        let present = self.present();
        if present.turn != turn {
            return false;
        }
        drop(self.news.send(page));
        drop(self.events.send(Event::ListResponse));
        true
    }

    /// Notes what a watch is about to wait on; false where another address has taken over.
    fn waits_on(&self, turn: u64, stream: &TcpStream) -> bool {
        let mut present = self.present();
        // A watch of the address before must not let go of the present one's connection.
        let is_present = present.turn == turn;
        if is_present {
            present.stream = stream.try_clone().ok();
        }
        is_present
    }

    fn watch(&self, turn: u64, at: SocketAddr, mut have: Option<u64>) {
        let limits = &self.shared.limits;
        let mut line = None;
        let mut failing = false;
        loop {
            let called = Instant::now();
            match self.call(turn, at, have, &mut line) {
                Ok(page) => {
                    if std::mem::take(&mut failing) {
                        tracing::info!(version = version(&page), "list answers again");
                    }
                    let new = version(&page).or(have);
                    if new <= have {
                        // A list that answers at once without news must not take all of the core.
                        std::thread::sleep(limits.list_pause.saturating_sub(called.elapsed()));
                    }
                    if new < have {
                        // Late, or of a service that has begun anew: the whole list tells, whatever its
                        // version.
                        tracing::warn!(version = new, have, "a page is older than the list");
                        have = None;
                        continue;
                    }
                    have = new;
                    if !self.tell(turn, Some(page)) {
                        return;
                    }
                }
                Err(why) => {
                    line = None;
                    if !self.tell(turn, None) {
                        return;
                    }
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(%why, %at, "list failed");
                    }
                    while self.again.try_recv().is_ok() {}
                    // What failed by falling silent has waited already.
                    let _ = self.again.recv_timeout(limits.list_again.saturating_sub(called.elapsed()));
                }
            }
        }
    }

    /// One call, on the connection of the last one where that is still open.
    fn call(
        &self,
        turn: u64,
        at: SocketAddr,
        have: Option<u64>,
        line: &mut Option<TcpStream>,
    ) -> Result<Value, String> {
        let limits = &self.shared.limits;
        let path = match have {
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={}", limits.list_wait_ms),
            None => "/discovery/hosts".to_string(),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nAccept: application/json\r\n\r\n");
        let waits = std::time::Duration::from_millis(if have.is_some() { limits.list_wait_ms } else { 0 });
        let until = Instant::now() + waits + limits.list_slack;
        let kept = line.take();
        let mut first = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => dial(&self.shared, at)?,
        };
        loop {
            if !self.waits_on(turn, &stream) {
                return Err("another address has taken over".into());
            }
            let written = stream.write_all(request.as_bytes()).map_err(|e| e.to_string());
            match written.and_then(|()| read(&mut stream, until, limits.list_bytes, limits.read_bytes)) {
                Ok((page, keep)) => {
                    let page: Value = serde_json::from_slice(&page).map_err(|e| format!("no JSON: {e}"))?;
                    parse_entries(&page, &[], |_, _, _, _| ())?;
                    *line = keep.then_some(stream);
                    return Ok(page);
                }
                // A connection kept from the last call may have been closed meanwhile.
                Err(why) if std::mem::take(&mut first) && why == ENDED => stream = dial(&self.shared, at)?,
                Err(why) => return Err(why),
            }
        }
    }
}

const ENDED: &str = "the connection ended before an answer";

fn dial(shared: &Shared, at: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect_timeout(&at, shared.limits.list_slack).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.set_write_timeout(Some(shared.limits.list_slack)).map_err(|e| e.to_string())?;
    Ok(stream)
}

/// One answer: its body, and whether the connection may be used again.
fn read(from: &mut TcpStream, until: Instant, most: usize, chunk: usize) -> Result<(Vec<u8>, bool), String> {
    let mut buf = Vec::new();
    loop {
        let ended = match fill(from, until, &mut buf, chunk) {
            Ok(ended) => ended,
            Err(why) if buf.is_empty() && why != SILENT => return Err(ENDED.into()),
            Err(why) => return Err(why),
        };
        if let Some(whole) = answer(&buf, ended)? {
            return Ok(whole);
        }
        if ended {
            return Err(if buf.is_empty() { ENDED.into() } else { "the answer is cut short".into() });
        }
        if buf.len() > most {
            return Err(format!("the answer is longer than {most} bytes"));
        }
    }
}

const SILENT: &str = "silent";

fn fill(from: &mut TcpStream, until: Instant, buf: &mut Vec<u8>, chunk: usize) -> Result<bool, String> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(SILENT.into());
    }
    from.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
    let length = buf.len();
    buf.resize(length + chunk, 0);
    let read = from.read(&mut buf[length..]);
    buf.truncate(length + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(n) => Ok(n == 0),
        Err(e) if e.kind() == ErrorKind::Interrupted => Ok(false),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Err(SILENT.into()),
        Err(e) => Err(e.to_string()),
    }
}

/// The answer in the buffer: body, and whether the connection stays open. None where bytes are missing.
pub fn answer(buf: &[u8], ended: bool) -> Result<Option<(Vec<u8>, bool)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(buf).map_err(|e| format!("no HTTP: {e}"))?;
    let httparse::Status::Complete(start) = parsed else { return Ok(None) };
    if head.code != Some(200) {
        return Err(format!("status {}", head.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let keep = header("connection").as_deref() != Some("close") && head.version == Some(1) && !ended;
    let body = &buf[start..];
    if header("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked")) {
        return Ok(chunks(body)?.map(|whole| (whole, keep)));
    }
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().map_err(|_| "an odd content-length")?;
        return Ok(body.get(..length).map(|whole| (whole.to_vec(), keep)));
    }
    // Neither: the body goes on until the connection ends.
    Ok(ended.then(|| (body.to_vec(), false)))
}

fn chunks(mut body: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut whole = Vec::new();
    loop {
        let size = httparse::parse_chunk_size(body).map_err(|_| "an odd chunk size")?;
        let httparse::Status::Complete((start, size)) = size else { return Ok(None) };
        let Some(end) = usize::try_from(size).ok().and_then(|size| start.checked_add(size)) else {
            return Err("an odd chunk size".into());
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

//! Stand-in list service: answers a router's HTTP list watches, holding each until the list changes or its
//! wait is over. One thread per connection; requests and bytes are counted.

use super::setup;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Requests longer than this end the connection.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Longest wait that a request may ask for.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Requests and bytes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub requests: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    hosts: usize,
    /// The host that the latest version changed.
    changed_host: usize,
    traffic: Traffic,
    /// The version that the latest watch request named as known, and when the request arrived.
    acknowledged: Option<(u64, Instant)>,
}

struct Shared {
    state: Mutex<State>,
    state_changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running list service; it serves until the lab's process ends.
pub struct ListService {
    shared: Arc<Shared>,
    host_port: u16,
    pub address: SocketAddr,
}

impl ListService {
    /// Starts serving a list of `hosts` hosts, all at `host_port`.
    pub fn start(hosts: usize, host_port: u16) -> Result<ListService, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let state = State { version: 1, hosts, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), state_changed: Condvar::new() });
        let listener_shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = listener_shared.clone();
                std::thread::spawn(move || drop(serve(stream, &shared, host_port)));
            }
        });
        Ok(ListService { shared, host_port, address })
    }

    pub fn traffic(&self) -> Traffic {
        self.shared.state().traffic
    }

    /// Size of the current full list, in bytes.
    pub fn list_bytes(&self) -> usize {
        let state = self.shared.state();
        setup::full_list(state.version, state.hosts, self.host_port).len()
    }

    /// Changes one host and returns the new version.
    pub fn change_host(&self, host: usize) -> u64 {
        let mut state = self.shared.state();
        state.version += 1;
        state.changed_host = host;
        self.shared.state_changed.notify_all();
        state.version
    }

    /// Waits until a watch request names this version or a later one as known; returns when it arrived.
    pub fn wait_until_acknowledged(&self, version: u64, timeout: Duration) -> Option<Instant> {
        let deadline = Instant::now() + timeout;
        let mut state = self.shared.state();
        loop {
            if let Some((_, at)) = state.acknowledged.filter(|(acknowledged, _)| *acknowledged >= version) {
                return Some(at);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            state = match self.shared.state_changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

/// A list watch request: the version that the caller knows, and how long it wants to wait for a later one.
struct WatchRequest {
    after: Option<u64>,
    wait: Duration,
}

impl WatchRequest {
    fn parse(head: &str) -> WatchRequest {
        let value = |key: &str| {
            let (_, rest) = head.split_once(&format!("{key}="))?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(value("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        WatchRequest { after: value("after"), wait }
    }
}

fn serve(mut stream: TcpStream, shared: &Shared, host_port: u16) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut received, mut buffer) = (Vec::new(), [0; 1_024]);
    loop {
        let Some(head_end) = received.windows(4).position(|window| window == b"\r\n\r\n") else {
            let length = stream.read(&mut buffer)?;
            if length == 0 || received.len() > MAX_REQUEST_BYTES {
                return Ok(());
            }
            received.extend_from_slice(&buffer[..length]);
            continue;
        };
        let head: Vec<u8> = received.drain(..head_end + 4).collect();
        let request = WatchRequest::parse(&String::from_utf8_lossy(&head));
        let body = answer(shared, &request, host_port, head.len());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        shared.state().traffic.bytes_out += (head.len() + body.len()) as u64;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
}

/// Waits for a change for as long as the request asks, and returns the list response.
fn answer(shared: &Shared, request: &WatchRequest, host_port: u16, request_bytes: usize) -> String {
    let deadline = Instant::now() + request.wait;
    let mut state = shared.state();
    state.traffic.requests += 1;
    state.traffic.bytes_in += request_bytes as u64;
    if let Some(after) = request.after {
        state.acknowledged = Some((after, Instant::now()));
        shared.state_changed.notify_all();
    }
    while request.after == Some(state.version) && Instant::now() < deadline {
        let remaining = deadline.saturating_duration_since(Instant::now());
        state = match shared.state_changed.wait_timeout(state, remaining) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
    match request.after {
        Some(after) if after == state.version => setup::unchanged_list(state.version),
        Some(after) if after + 1 == state.version => {
            setup::single_host_change(state.version, state.changed_host, host_port)
        }
        _ => setup::full_list(state.version, state.hosts, host_port),
    }
}

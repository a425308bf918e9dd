//! The list of hosts as a router is told it: HTTP watches that wait for news, one thread a connection, each
//! call counted.

use super::setup;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest request that is read.
const REQUEST_BYTES: usize = 8 * 1024;
/// Longest wait that a call may ask for.
const WAIT_MOST: Duration = Duration::from_secs(60);

/// What has been served since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    hosts: usize,
    /// The host that the latest version changed.
    changed: usize,
    served: Served,
    /// The newest version that a call said its caller has, and when that was.
    taken: Option<(u64, Instant)>,
}

struct Shared {
    state: Mutex<State>,
    news: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

pub struct ListAgent {
    shared: Arc<Shared>,
    port_of_hosts: u16,
    pub at: SocketAddr,
}

impl ListAgent {
    /// Serves a list of so many hosts, all at this port, until the process ends.
    pub fn start(hosts: usize, port_of_hosts: u16) -> Result<ListAgent, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let state = State { version: 1, hosts, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), news: Condvar::new() });
        let serves = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = serves.clone();
                std::thread::spawn(move || drop(serve(stream, &shared, port_of_hosts)));
            }
        });
        Ok(ListAgent { shared, port_of_hosts, at })
    }

    pub fn served(&self) -> Served {
        self.shared.state().served
    }

    /// The whole list in bytes, as it is now.
    pub fn list_bytes(&self) -> usize {
        let state = self.shared.state();
        setup::whole_list(state.version, state.hosts, self.port_of_hosts).len()
    }

    /// Changes one host; gives the new version.
    pub fn change(&self, host: usize) -> u64 {
        let mut state = self.shared.state();
        state.version += 1;
        state.changed = host;
        self.shared.news.notify_all();
        state.version
    }

    /// Waits until a caller has shown that it has this version; tells when.
    pub fn taken(&self, version: u64, patience: Duration) -> Option<Instant> {
        let until = Instant::now() + patience;
        let mut state = self.shared.state();
        loop {
            if let Some((_, at)) = state.taken.filter(|(taken, _)| *taken >= version) {
                return Some(at);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            state = match self.shared.news.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(broken) => broken.into_inner().0,
            };
        }
    }
}

/// A call: the version that its caller has, and how long it wants to wait.
struct Call {
    after: Option<u64>,
    wait: Duration,
}

impl Call {
    fn read(head: &str) -> Call {
        let value = |key: &str| {
            let (_, behind) = head.split_once(&format!("{key}="))?;
            behind.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(value("wait_ms").unwrap_or(0)).min(WAIT_MOST);
        Call { after: value("after"), wait }
    }
}

fn serve(mut stream: TcpStream, shared: &Shared, port: u16) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut came, mut chunk) = (Vec::new(), [0; 1_024]);
    loop {
        let Some(end) = came.windows(4).position(|w| w == b"\r\n\r\n") else {
            let length = stream.read(&mut chunk)?;
            if length == 0 || came.len() > REQUEST_BYTES {
                return Ok(());
            }
            came.extend_from_slice(&chunk[..length]);
            continue;
        };
        let head: Vec<u8> = came.drain(..end + 4).collect();
        let call = Call::read(&String::from_utf8_lossy(&head));
        let body = answer(shared, &call, port, head.len());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        shared.state().served.bytes_out += (head.len() + body.len()) as u64;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
}

/// Waits for news as long as the call says, and gives the page.
fn answer(shared: &Shared, call: &Call, port: u16, request_bytes: usize) -> String {
    let until = Instant::now() + call.wait;
    let mut state = shared.state();
    state.served.calls += 1;
    state.served.bytes_in += request_bytes as u64;
    if let Some(after) = call.after {
        state.taken = Some((after, Instant::now()));
        shared.news.notify_all();
    }
    while call.after == Some(state.version) && Instant::now() < until {
        let left = until.saturating_duration_since(Instant::now());
        state = match shared.news.wait_timeout(state, left) {
            Ok((state, _)) => state,
            Err(broken) => broken.into_inner().0,
        };
    }
    match call.after {
        Some(after) if after == state.version => setup::no_change(state.version),
        Some(after) if after + 1 == state.version => setup::one_change(state.version, state.changed, port),
        _ => setup::whole_list(state.version, state.hosts, port),
    }
}

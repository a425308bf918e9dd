//! Stand-ins shared by the cases of the second review: a database host, discovery, a client, and the router
//! process that is started by the deploy file's command. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn ms(n: f64) -> Duration {
    Duration::from_secs_f64(n.max(0.0) / 1000.0)
}

/// Sleeps until `at`, the last part by spinning, so that a link of a fraction of a millisecond is kept.
pub fn sleep_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if left > Duration::from_micros(300) {
            thread::sleep(left - Duration::from_micros(200));
        } else {
            std::hint::spin_loop();
        }
    }
}

/// A small pseudo-random generator (xorshift), the same on every machine.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// In [0, 1).
    pub fn f64(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.f64()
    }
}

/// What was sent, answered and run, in the order in which it was seen; written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    pub fn add(&self, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.now(), line.into()));
    }

    /// Writes the record, with the verdict on top, into the folder named by the first argument.
    pub fn write(&self, verdict: &str) {
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
        let mut text = format!("{verdict}\n\ntimes in ms since the start\n\n");
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{at:10.2}  {line}");
        }
        if let Err(e) = fs::write(folder.join("record.txt"), text) {
            eprintln!("cannot write record.txt: {e}");
        }
        print!("{verdict}");
    }
}

// Messages.

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn row(value: &str, tag: &str) -> Vec<u8> {
    let description = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
    let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    [message(b'T', &description), message(b'D', &data), message(b'C', format!("{tag}\0").as_bytes())].concat()
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

pub fn startup_reply() -> Vec<u8> {
    [message(b'R', &[0; 4]), parameter("server_version", "16.0"), message(b'K', &[0; 8]), ready()].concat()
}

/// The statement's text between the first pair of quotes.
pub fn quoted(text: &str, nth: usize) -> &str {
    text.split('\'').nth(2 * nth + 1).unwrap_or("")
}

/// A value from the statement's comment.
pub fn fact<'a>(text: &'a str, name: &str) -> &'a str {
    let comment = text.rsplit("/*").next().unwrap_or("").trim_end_matches(';').trim_end_matches("*/");
    comment.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name).map_or("", |(_, v)| v.trim())
}

/// Reads whole messages from a stream.
pub struct Reader {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buf: Vec::new() }
    }

    fn more(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 16384];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.buf.extend_from_slice(&chunk[..n]);
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn startup(&mut self) -> std::io::Result<()> {
        loop {
            if self.buf.len() >= 4 {
                let length = u32::from_be_bytes(self.buf[..4].try_into().unwrap()) as usize;
                if self.buf.len() >= length {
                    self.buf.drain(..length);
                    return Ok(());
                }
            }
            self.more()?;
        }
    }

    pub fn message(&mut self) -> std::io::Result<(u8, Vec<u8>)> {
        loop {
            if self.buf.len() >= 5 {
                let length = u32::from_be_bytes(self.buf[1..5].try_into().unwrap()) as usize;
                if self.buf.len() > length {
                    let kind = self.buf[0];
                    let body = self.buf[5..1 + length].to_vec();
                    self.buf.drain(..1 + length);
                    return Ok((kind, body));
                }
            }
            self.more()?;
        }
    }
}

// A database host.

/// What a host does with one query: called on the connection's own thread, with the stream to answer on.
pub type Handler = dyn Fn(&mut TcpStream, u64, &str) -> std::io::Result<()> + Send + Sync;

pub struct Host {
    pub id: String,
    pub addr: SocketAddr,
}

/// Starts a host. Empty queries are answered at once and in order, as by a sound server; all others go to the
/// handler together with the number of their connection.
pub fn start_host(id: &str, handler: Arc<Handler>) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    let next = AtomicU64::new(0);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, number) = (handler.clone(), next.fetch_add(1, SeqCst));
            thread::spawn(move || {
                let Ok(mut to) = stream.try_clone() else { return };
                let mut from = Reader::new(stream);
                if from.startup().is_err() || to.write_all(&startup_reply()).is_err() {
                    return;
                }
                while let Ok((kind, body)) = from.message() {
                    if kind == b'X' {
                        return;
                    }
                    let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
                    let done = if text.trim().is_empty() {
                        to.write_all(&[message(b'I', b""), ready()].concat())
                    } else {
                        handler(&mut to, number, &text)
                    };
                    if done.is_err() {
                        let _ = to.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    Host { id: id.to_string(), addr }
}

// Discovery.

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn new(host: &Host, zone: &str, cell: u64) -> Entry {
        Entry { id: host.id.clone(), addr: host.addr, zone: zone.into(), cell, state: "Ready", started_ms: 0 }
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std-3","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.addr, self.zone, self.cell, self.state, self.started_ms
        )
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

struct ListState {
    version: u64,
    entries: Vec<Entry>,
    /// The version at which each entry last changed.
    changed_at: HashMap<String, u64>,
}

/// Discovery: one list that may be served at several addresses.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    record: Record,
}

/// How one address of discovery answers.
#[derive(Clone, Default)]
pub struct Door {
    /// Each answer is written this long after it is known.
    pub delay_ms: Arc<AtomicU64>,
    /// Takes no new connection and closes the open ones.
    pub is_closed: Arc<AtomicBool>,
    /// When each answer was written in full: (time, version, whether it was the whole list).
    pub written: Arc<Mutex<Vec<(Instant, u64, bool)>>>,
}

impl Discovery {
    pub fn new(record: &Record, version: u64, entries: Vec<Entry>) -> Discovery {
        let changed_at = entries.iter().map(|e| (e.id.clone(), version)).collect();
        let state = ListState { version, entries, changed_at };
        Discovery { state: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() }
    }

    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.version, true, &state.entries)
    }

    /// Sets a host's state; returns the new version.
    pub fn set(&self, id: &str, new_state: &'static str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        if let Some(entry) = state.entries.iter_mut().find(|e| e.id == id) {
            entry.state = new_state;
        }
        state.changed_at.insert(id.to_string(), version);
        self.record.add(format!("list: version {version}: {id} is {new_state}"));
        self.state.1.notify_all();
        version
    }

    /// Adds a host.
    pub fn add(&self, entry: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.record.add(format!("list: version {version}: {} is new and {}", entry.id, entry.state));
        state.changed_at.insert(entry.id.clone(), version);
        state.entries.push(entry);
        self.state.1.notify_all();
    }

    /// Serves the list at an address of its own.
    pub fn serve(&self, name: &str, door: Door) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let (this, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if door.is_closed.load(SeqCst) {
                    return;
                }
                let (this, door, name) = (this.clone(), door.clone(), name.clone());
                thread::spawn(move || drop(this.serve_connection(stream, &door, &name)));
            }
        });
        addr
    }

    fn serve_connection(&self, mut stream: TcpStream, door: &Door, name: &str) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut chunk = [0; 4096];
                match stream.read(&mut chunk)? {
                    0 => return Ok(()),
                    n => buf.extend_from_slice(&chunk[..n]),
                }
            };
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end);
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let query = |key: &str| -> Option<u64> {
                path.split(['?', '&']).filter_map(|p| p.split_once('=')).find(|(n, _)| *n == key)?.1.parse().ok()
            };
            self.record.add(format!("list {name}: asked for {path}"));
            let (after, wait) = (query("after"), query("wait_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(wait);
            let (body, version) = {
                let mut state = self.state.0.lock().unwrap();
                while after.is_some_and(|after| state.version <= after) && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(50));
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                    if door.is_closed.load(SeqCst) {
                        return Ok(());
                    }
                }
                let changed: Vec<Entry> = match after {
                    // Gone stands only among changes.
                    None => state.entries.iter().filter(|e| e.state != "Gone").cloned().collect(),
                    Some(after) => {
                        state.entries.iter().filter(|e| state.changed_at[&e.id] > after).cloned().collect()
                    }
                };
                (list_json(state.version, after.is_none(), &changed), state.version)
            };
            thread::sleep(Duration::from_millis(door.delay_ms.load(SeqCst)));
            if door.is_closed.load(SeqCst) {
                return Ok(());
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let written = stream.write_all(answer.as_bytes());
            self.record.add(format!(
                "list {name}: answered version {version}{}",
                if written.is_err() { ", but the router had closed the connection" } else { "" }
            ));
            written?;
            door.written.lock().unwrap().push((Instant::now(), version, after.is_none()));
        }
    }
}

// A client.

pub struct Client {
    reader: Reader,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value that the router passed on.
    Served(String),
    /// 53300 or 57P03: trying again is harmless.
    Refused(String),
    /// Any other error, with its code.
    Failed(String),
    /// The connection ended, or nothing came within the time that the test waits.
    None(String),
}

impl Client {
    pub fn open(addr: SocketAddr) -> std::io::Result<Client> {
        Client::open_within(addr, Duration::from_secs(10))
    }

    pub fn open_within(addr: SocketAddr, wait: Duration) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&addr, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(&startup_message())?;
        let mut reader = Reader::new(stream);
        while reader.message()?.0 != b'Z' {}
        Ok(Client { reader })
    }

    /// Writes the startup message without waiting for the answer to it.
    pub fn begin(mut stream: TcpStream) -> std::io::Result<Client> {
        stream.write_all(&startup_message())?;
        Ok(Client { reader: Reader::new(stream) })
    }

    /// The answer to one command, behind the answer to the startup message if that has not been read.
    pub fn receive_after_startup(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        match self.receive(wait) {
            Answer::Served(value) if value.is_empty() => {
                self.receive(until.saturating_duration_since(Instant::now()))
            }
            answer => answer,
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.reader.stream
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.reader.stream.write_all(&message(b'Q', &[text.as_bytes(), &[0]].concat()))
    }

    /// The answer to one command.
    pub fn receive(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.reader.stream.set_read_timeout(Some(left));
            match self.reader.message() {
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::Served(String::new())),
                Ok((b'D', body)) => {
                    answer = Some(Answer::Served(String::from_utf8_lossy(&body[6..]).into_owned()));
                }
                Ok((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field = |letter: char| {
                        text.split('\0').find(|f| f.starts_with(letter)).map_or("", |f| &f[1..]).to_string()
                    };
                    let code = field('C');
                    let is_refusal = ["53300", "57P03"].contains(&code.as_str());
                    let says = format!("{code} {}", field('M'));
                    answer = Some(if is_refusal { Answer::Refused(says) } else { Answer::Failed(says) });
                }
                Ok(_) => {}
                Err(e) => return answer.unwrap_or(Answer::None(e.kind().to_string())),
            }
        }
    }

    pub fn ask(&mut self, text: &str, wait: Duration) -> Answer {
        match self.send(text) {
            Ok(()) => self.receive(wait),
            Err(e) => Answer::None(e.kind().to_string()),
        }
    }
}

pub fn startup_message() -> Vec<u8> {
    let body = [&196608u32.to_be_bytes()[..], b"user\0svc\0database\0main\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

pub fn read_statement(key: &str, facts: &str) -> String {
    format!("SELECT v FROM records WHERE k = '{key}' /* {facts} */")
}

pub fn write_statement(key: &str, value: &str, facts: &str) -> String {
    format!("INSERT INTO records (k, v) VALUES ('{key}', '{value}') RETURNING v /* {facts} */")
}

// The router.

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn sched_getaffinity(pid: i32, bytes: usize, set: *mut u8) -> i32;
    fn sched_setaffinity(pid: i32, bytes: usize, set: *const u8) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn signal(pid: i32, signal: i32) {
    unsafe { kill(pid, signal) };
}

/// The router process, in a process group of its own; all of that group ends when this is dropped.
pub struct Router {
    child: Child,
    pub addr: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
}

/// The repository's root: two folders above the case's.
pub fn root() -> PathBuf {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    folder.join("../..").canonicalize().expect("the repository")
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let path = root().join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).ok_or("no run in the deploy file")?;
    Ok(line.split('"').next().unwrap_or("").to_string())
}

pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Router {
    /// Starts a router. `config` gets the address at which it is to listen: a free one, chosen anew if another
    /// program takes it first.
    pub fn start(config: impl Fn(SocketAddr) -> String) -> Result<Router, String> {
        for _ in 0..5 {
            let mut router = Router::start_once(&config)?;
            let until = Instant::now() + Duration::from_secs(20);
            while Instant::now() < until && router.has_ended().is_none() && !router.log().contains(" started ") {
                thread::sleep(Duration::from_millis(5));
            }
            if router.has_ended().is_none() {
                return Ok(router);
            }
            if !router.log().contains("Address already in use") {
                return Err(format!("the router ended: {}", router.log_end()));
            }
        }
        Err("no free address".into())
    }

    /// The same with a router that runs on one processor, as on the platform.
    pub fn start_on_one_processor(config: impl Fn(SocketAddr) -> String) -> Result<Router, String> {
        let mut allowed = [0u8; 128];
        unsafe { sched_getaffinity(0, allowed.len(), allowed.as_mut_ptr()) };
        let mut one = [0u8; 128];
        if let Some(at) = allowed.iter().rposition(|byte| *byte != 0) {
            one[at] = 1 << (7 - allowed[at].leading_zeros());
            unsafe { sched_setaffinity(0, one.len(), one.as_ptr()) };
        }
        let router = Router::start(config);
        unsafe { sched_setaffinity(0, allowed.len(), allowed.as_ptr()) };
        router
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    fn start_once(config: &impl Fn(SocketAddr) -> String) -> Result<Router, String> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let (addr, number) = (free_addr(), NEXT.fetch_add(1, SeqCst));
        let unique = format!("magpiewell-review-{}-{}-{number}", std::process::id(), unix_ms() as u64);
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let config_path = folder.join("config.json");
        fs::write(&config_path, config(addr)).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).current_dir(root()).env("BALANCER_CONFIG", &config_path);
        command.env("TMPDIR", &folder).process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // Should the case itself be killed, the router ends, too (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                let set = prctl(1, SIGKILL as u64, 0u64, 0u64, 0u64);
                if set == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
            })
        };
        let child = command.spawn().map_err(|e| e.to_string())?;
        STARTED.lock().unwrap().push(child.id() as i32);
        Ok(Router { child, addr, folder, config: config_path })
    }

    /// Waits until an empty query is answered, as the front does.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the router ended with {status}: {}", self.log_end()));
            }
            if let Ok(mut client) = Client::open_within(self.addr, Duration::from_secs(2)) {
                if client.ask("", Duration::from_secs(2)) == Answer::Served(String::new()) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("the router was not ready within 30 s: {}", self.log_end()))
    }

    pub fn write_config(&self, text: &str) {
        let new = self.folder.join("config.new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &self.config)).expect("the configuration file");
    }

    pub fn signal(&self, signal: i32) {
        // The shell replaces itself by the router (`exec`), so this is the router's own id.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    fn log_end(&self) -> String {
        let log = self.log();
        log.lines().rev().take(3).collect::<Vec<_>>().join(" | ")
    }

    /// Copies the router's log into the record.
    pub fn record_log(&self, record: &Record) {
        for line in self.log().lines() {
            record.add(format!("router's log: {line}"));
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let group = self.child.id() as i32;
        STARTED.lock().unwrap().retain(|g| *g != group);
        unsafe { kill(-group, SIGKILL) };
        drop(self.child.wait());
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// The process groups that were started and not yet ended.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the case if it takes too long: it could not run.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        eprintln!("the case took longer than {seconds} s");
        for group in STARTED.lock().unwrap().iter() {
            unsafe { kill(-group, SIGKILL) };
        }
        std::process::exit(COULD_NOT_RUN);
    });
}

//! Stand-ins for database hosts, the list of hosts and clients, and the start of a router as a process of
//! its own. Only the standard library; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption is on: `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A small pseudo-random generator (xorshift); the seed is fixed, so that runs differ in timing only.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn chance(&mut self, part: f64) -> bool {
        (self.next() % 1_000_000) as f64 / 1e6 < part
    }
}

/// What was sent, answered and run, a line each, with ms since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }
    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }
}

/// One case: the repository's root, the case's folder, a temporary folder and the record.
pub struct Case {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub record: Arc<Record>,
}

impl Case {
    pub fn open() -> Case {
        let mut args = std::env::args().skip(1);
        let root = PathBuf::from(args.next().expect("the repository's root"));
        let dir = PathBuf::from(args.next().expect("the case's folder"));
        let tmp = PathBuf::from(args.next().expect("a temporary folder"));
        let file = File::create(dir.join("record.txt")).expect("record.txt");
        let record = Arc::new(Record { file: Mutex::new(file), start: Instant::now() });
        record.line(&format!("trouble={}", has_trouble()));
        Case { root, tmp, record }
    }
}

/// The case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    kill_routers();
    std::process::exit(2)
}

static ROUTERS: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn kill_routers() {
    for child in ROUTERS.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the routers and reports the verdict: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, broken: usize, what: &str) -> ! {
    let verdict = if broken > 0 { "BROKEN" } else { "held" };
    record.line(&format!("verdict: {verdict}: {what}"));
    println!("{verdict}: {what}");
    kill_routers();
    std::process::exit(i32::from(broken > 0))
}

/// Ends the case with 2 if it runs for longer than it may.
pub fn watchdog(limit: Duration) {
    spawn(move || {
        sleep(limit);
        cannot_run("it took too long");
    });
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Starts a router with the deploy file's `run`, as the platform does: `/bin/sh -c` from the root. Returns
/// its process id.
pub fn start_router(case: &Case, name: &str, config: &str) -> u32 {
    let deploy = std::fs::read_to_string(case.root.join("deploy/balancer.toml"))
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.unwrap_or_else(|| cannot_run("the deploy file has no run")).trim().trim_matches('"');
    let path = case.tmp.join(format!("{name}.json"));
    std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let log = File::create(case.tmp.join(format!("{name}.log"))).unwrap();
    let child = Command::new("/bin/sh")
        .args(["-c", run])
        .current_dir(&case.root)
        .env("BALANCER_CONFIG", &path)
        .env("BALANCER_NAME", name)
        .env("TMPDIR", &case.tmp)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| cannot_run(&format!("{run}: {e}")));
    let pid = child.id();
    // For run.sh, which ends the router if the case itself is ended from outside.
    let _ = std::fs::write(case.tmp.join(format!("{name}.pid")), pid.to_string());
    ROUTERS.lock().unwrap().push(child);
    pid
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// Whether every router still runs.
pub fn routers_run() -> bool {
    ROUTERS.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
}

// Messages.

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn startup_message() -> Vec<u8> {
    let body = [&196608u32.to_be_bytes()[..], b"user\0svc\0database\0main\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub const READY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let description = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
    let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', &description), message(b'D', &data), message(b'C', format!("{tag}\0").as_bytes())].concat()
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Reads messages from a socket.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buf: Vec::new() }
    }
    fn fill(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => Ok(self.buf.extend_from_slice(&chunk[..n])),
        }
    }
    fn take(&mut self, n: usize) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        Ok(self.buf.drain(..n).collect())
    }
    /// The startup message (of a client of a host).
    pub fn startup(&mut self) -> std::io::Result<()> {
        let n = u32::from_be_bytes(self.take(4)?.try_into().unwrap()) as usize;
        self.take(n.saturating_sub(4)).map(drop)
    }
    pub fn message(&mut self) -> std::io::Result<(u8, Vec<u8>)> {
        let head = self.take(5)?;
        let n = u32::from_be_bytes(head[1..5].try_into().unwrap()) as usize;
        if !(4..1 << 20).contains(&n) {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok((head[0], self.take(n - 4)?))
    }
    /// Whether nothing of a further request has arrived.
    pub fn nothing_waits(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        self.buf.is_empty() && peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// A fact in a statement's comment.
pub fn fact<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').filter_map(|part| part.trim().split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
}

/// Length to which values are filled up, in bytes.
pub static VALUE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The value that a host makes for a request: it holds the request's id.
pub fn value_for(id: &str) -> String {
    let value = format!("value-for-{id}");
    let fill = VALUE_BYTES.load(SeqCst).saturating_sub(value.len());
    value + &"x".repeat(fill)
}

// Database hosts.

pub struct Host {
    pub name: &'static str,
    pub addr: SocketAddr,
    pub is_primary: AtomicBool,
    /// Work of a request.
    pub work: Duration,
    /// Part of the answers that bring a second copy, and how long after the answer it is written at most.
    pub copy_part: f64,
    pub copy_within: Duration,
    pub copies: AtomicU64,
    pub runs: Mutex<HashMap<String, usize>>,
    record: Arc<Record>,
}

pub fn start_host(
    case: &Case,
    name: &'static str,
    is_primary: bool,
    work: Duration,
    copy: (f64, Duration),
) -> Arc<Host> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = Arc::new(Host {
        name,
        addr: listener.local_addr().unwrap(),
        is_primary: AtomicBool::new(is_primary),
        work,
        copy_part: copy.0,
        copy_within: copy.1,
        copies: AtomicU64::new(0),
        runs: Mutex::default(),
        record: case.record.clone(),
    });
    let shared = host.clone();
    spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let host = shared.clone();
            spawn(move || drop(host.serve(stream, n as u64)));
        }
    });
    host
}

impl Host {
    fn report(&self) -> String {
        let is_primary = self.is_primary.load(SeqCst);
        let position = unix_ms() - if is_primary { 0 } else { 10 };
        format!("x0={:.3},x1={}", position as f64 / 1000.0, u8::from(is_primary))
    }

    /// The parameters that precede ReadyForQuery.
    fn told(&self, commit: Option<u64>) -> Vec<u8> {
        let role = if self.is_primary.load(SeqCst) { "writer" } else { "reader" };
        let mut told = [status("server_role", role), status("usage", &self.report())].concat();
        if let Some(commit) = commit {
            told.extend(status("commit_clock", &commit.to_string()));
        }
        [told, READY.to_vec()].concat()
    }

    fn serve(&self, stream: TcpStream, n: u64) -> std::io::Result<()> {
        let mut reader = Reader::new(stream);
        let seed = self.name.bytes().fold(n + 1, |seed, b| seed.wrapping_mul(0x9e3779b97f4a7c15) ^ u64::from(b));
        let mut random = Random(seed | 1);
        reader.startup()?;
        let hello = [message(b'R', &[0; 4]), status("server_version", "16.0"), message(b'K', &[0; 8])];
        reader.stream.write_all(&[hello.concat(), READY.to_vec()].concat())?;
        loop {
            let (kind, body) = reader.message()?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if text == "SHOW usage" {
                let answer = [row(self.report().as_bytes(), "SHOW"), self.told(None)].concat();
                reader.stream.write_all(&answer)?;
                continue;
            }
            let id = fact(&text, "id").unwrap_or("?").to_string();
            let is_write = text.starts_with("INSERT");
            if is_write && !self.is_primary.load(SeqCst) {
                let answer = [error("25006", "not the primary"), self.told(None)].concat();
                reader.stream.write_all(&answer)?;
                continue;
            }
            sleep(self.work);
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            self.record.line(&format!("run id={id} host={}", self.name));
            let tag = if is_write { "INSERT 0 1" } else { "SELECT 1" };
            let commit = is_write.then(|| unix_ms() + 1);
            let answer = [row(value_for(&id).as_bytes(), tag), self.told(commit)].concat();
            reader.stream.write_all(&answer)?;
            if random.chance(self.copy_part) {
                sleep(self.copy_within.mul_f64((random.next() % 1000) as f64 / 1000.0));
                if reader.nothing_waits() {
                    self.copies.fetch_add(1, SeqCst);
                    self.record.line(&format!("second copy id={id} host={}", self.name));
                    reader.stream.write_all(&answer)?;
                }
            }
        }
    }
}

/// A network path that takes `delay` each way: bytes arrive in order, unchanged, and that much later.
pub fn start_path(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            carry(near.try_clone().unwrap(), far.try_clone().unwrap(), delay);
            carry(far, near, delay);
        }
    });
    addr
}


fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut chunk = [0; 16384];
        loop {
            let n = from.read(&mut chunk).unwrap_or(0);
            if sender.send((Instant::now() + delay, chunk[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    spawn(move || {
        for (due, bytes) in receiver {
            sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

// The list of hosts.

pub struct List {
    pub addr: SocketAddr,
    state: Mutex<(u64, Vec<(String, u64)>)>,
    changed: Condvar,
}

pub fn entry(id: &str, addr: SocketAddr, zone: &str, cell: u64, state: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"std-3\",\"cell\":{cell},\
         \"state\":\"{state}\",\"weight\":1.0,\"started_ms\":0}}"
    )
}

/// Serves the list: the whole of it, and watches.
pub fn start_list(entries: Vec<String>) -> Arc<List> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entries = entries.into_iter().map(|e| (e, 41)).collect();
    let list = Arc::new(List {
        addr: listener.local_addr().unwrap(),
        state: Mutex::new((41, entries)),
        changed: Condvar::new(),
    });
    let shared = list.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = shared.clone();
            spawn(move || drop(list.serve(stream)));
        }
    });
    list
}

impl List {
    /// Replaces the entry of a host.
    pub fn change(&self, at: usize, entry: String) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        state.1[at] = (entry, state.0);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        loop {
            while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
                let mut chunk = [0; 4096];
                match stream.read(&mut chunk)? {
                    0 => return Ok(()),
                    n => buf.extend_from_slice(&chunk[..n]),
                }
            }
            let head = String::from_utf8_lossy(&std::mem::take(&mut buf)).into_owned();
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let number = |name: &str| -> Option<u64> {
                path.split(['?', '&']).find_map(|p| p.strip_prefix(name)).and_then(|v| v.parse().ok())
            };
            let after = number("after=");
            let until = Instant::now() + ms(number("wait_ms=").unwrap_or(0).min(60_000));
            let mut state = self.state.lock().unwrap();
            while after.is_some_and(|after| state.0 <= after) && Instant::now() < until {
                state = self.changed.wait_timeout(state, until.saturating_duration_since(Instant::now())).unwrap().0;
            }
            let body = self::body(&state, after);
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes())?;
        }
    }
}

fn body(state: &(u64, Vec<(String, u64)>), after: Option<u64>) -> String {
    let newer = state.1.iter().filter(|(_, v)| after.is_none_or(|after| *v > after));
    let entries: Vec<&str> = newer.map(|(e, _)| e.as_str()).collect();
    format!("{{\"version\":{},\"full\":{},\"servers\":[{}]}}", state.0, after.is_none(), entries.join(","))
}

// Clients.

#[derive(Debug, PartialEq, Clone)]
pub enum Answer {
    Row(String),
    Error(String),
}

pub struct Client {
    pub reader: Reader,
}

impl Client {
    pub fn open(addr: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, ms(2000))?;
        stream.set_read_timeout(Some(ms(5000)))?;
        let mut client = Client { reader: Reader::new(stream) };
        client.reader.stream.write_all(&startup_message())?;
        client.answer()?;
        Ok(client)
    }
    /// Reads one answer up to ReadyForQuery; a whole answer followed by the end of the connection counts.
    pub fn answer(&mut self) -> std::io::Result<Option<Answer>> {
        let mut answer = None;
        let mut is_complete = false;
        loop {
            let (kind, body) = match self.reader.message() {
                Ok(read) => read,
                Err(_) if is_complete => return Ok(answer),
                Err(e) => return Err(e),
            };
            match kind {
                b'D' => answer = Some(Answer::Row(String::from_utf8_lossy(&body[6..]).into_owned())),
                b'C' => is_complete = true,
                b'E' => {
                    let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                    let code = code.map_or(String::new(), |f| String::from_utf8_lossy(&f[1..]).into_owned());
                    (answer, is_complete) = (Some(Answer::Error(code)), true);
                }
                b'I' => is_complete = true,
                b'Z' => return Ok(answer),
                _ => {}
            }
        }
    }
    pub fn ask(&mut self, text: &str) -> std::io::Result<Option<Answer>> {
        self.reader.stream.write_all(&query(text))?;
        self.answer()
    }
}

/// Waits until the router answers an empty query with EmptyQueryResponse.
pub fn await_ready(addr: SocketAddr) {
    for _ in 0..100 {
        if Client::open(addr).and_then(|mut c| c.ask("")).is_ok_and(|a| a.is_none()) {
            return;
        }
        sleep(ms(100));
    }
    cannot_run("the router was not ready within 10 s");
}

pub fn read_text(id: &str, class: &str, d: u64, cell: u64) -> String {
    format!("SELECT v FROM records WHERE k = 'key-{id}' /* id={id},c={class},t=acme,d={d},cluster={cell} */")
}

pub fn write_text(id: &str, class: &str, d: u64, cell: u64, value: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('key-{id}', '{value}') RETURNING v \
         /* id={id},c={class},t=acme,d={d},k=t{id},cluster={cell} */"
    )
}

/// A router's configuration: the settings of a small deployment with three hosts.
pub struct Config<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub entries: &'a [String],
    /// Effect of the op type `record-write`.
    pub write_effect: &'a str,
    /// What hosts do with reads for which they lag too far.
    pub behind: &'a str,
}

impl Config<'_> {
    pub fn text(&self) -> String {
        let Config { listen, discovery, memory_mb, sockets, entries, write_effect, behind } = self;
        let known = format!("{{\"version\":41,\"full\":true,\"servers\":[{}]}}", entries.join(","));
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"areas":["sandy-bay","cambridge","glenorchy"],"az":0,"balancers":1,"me":0,"tick_s":0.005,
"charges":{{"cross_zone":0.04,"probe":0.0083,"late_fail":0.031,"waste":0.03,"handshake":0.0}},
"classes":[
{{"name":"status-read","effect":"free","group":"all","deadline_s":1.2,"goal_time_s":0.3,"late_worth":0.0,"value":2.0,"window_s":5.0}},
{{"name":"fresh-read","effect":"free","group":"all","deadline_s":0.8,"goal_time_s":0.2,"late_worth":0.2,"value":1.0,"window_s":5.0}},
{{"name":"report","effect":"free","group":"all","deadline_s":8.0,"goal_time_s":4.0,"late_worth":0.2,"value":4.0,"window_s":5.0}},
{{"name":"record-write","effect":"{write_effect}","group":"cell","deadline_s":2.0,"goal_time_s":0.6,"late_worth":0.3,"value":6.0,"window_s":1.2}}],
"clients":{{"marks_retry":true}},"discovery":"automatic",
"extra":{{"behind":"{behind}","catch_up_wait_s":0.0,"commit_waits":true,"origin_time_s":0.0,"read_level":["bounded","fresh","any","write"],
"report_x0":"position in seconds after zero","report_x1":"1 from a primary","shows_role":"off",
"staleness_bound_s":[1.5,0.0,0.0,0.0],"tells_position":false,"write_marks":"remembered"}},
"limits":{{"conn_idle_s":30.0,"dial_timeout_s":0.25,"max_attempts":8,"max_open":20000,"max_retry_after_s":2.0,"may_cancel":true,
"may_tell":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1}},
"over_share_worth":0.1,"report":{{"fields":["x0","x1"],"via":"inline"}},
"rules":{{"answer_slack_s":0.02,"ask_every_s":10.0,"cold_from":0.22,"cold_s":16.0,"drain_grace_s":0.5,"fall_multiple":2.5,"fall_s":2.0}},
"tenants":[{{"name":"acme","quota_rps":300.0,"share":1.0}}]}}}}"#
        )
    }
}

//! Some clients stop in the middle of a request and stay. Does every request of the usual clients still get
//! a whole answer?

#[path = "../standin/common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Clients that stop in the middle of a request, and how much of it they send.
const STOPPERS: usize = 50;
const STOPPED_BYTES: usize = 20_000;
/// The value that they and the usual clients write: at most 64 KiB are allowed.
const STOPPER_VALUE: usize = 60 * 1024;
const VALUE: usize = 24 * 1024;
const WRITERS: usize = 4;
const LENGTH: Duration = Duration::from_secs(15);

fn hex_value(bytes: usize) -> String {
    format!("\\x{}", "9f".repeat(bytes))
}

/// Asks once. `Err` if the connection ended without a whole answer; the flag says whether the request's last
/// byte was written before that.
fn ask(client: &mut Client, text: &str) -> Result<Option<Answer>, (bool, std::io::Error)> {
    client.reader.stream.write_all(&query(text)).map_err(|e| (false, e))?;
    client.answer().map_err(|e| (true, e))
}

/// Opens a connection, sends a part of a request and stays until it gets an error or a close; then again.
fn stop_in_the_middle(listen: SocketAddr, n: usize, is_over: &AtomicBool, turns: &AtomicUsize) {
    let text = write_text(&format!("bad{n}"), "record-write", 2000, 1, &hex_value(STOPPER_VALUE));
    let part = &query(&text)[..STOPPED_BYTES];
    while !is_over.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        let _ = stream.set_read_timeout(Some(ms(3000)));
        let sent = stream.write_all(&startup_message()).and_then(|()| stream.write_all(part));
        let mut chunk = [0; 4096];
        while sent.is_ok() && stream.read(&mut chunk).is_ok_and(|n| n > 0) {}
        turns.fetch_add(1, SeqCst);
        sleep(ms(100));
    }
}

fn main() {
    let case = Case::open();
    watchdog(Duration::from_secs(100));
    let names = [("h1", "sandy-bay", true), ("h2", "cambridge", false), ("h3", "glenorchy", false)];
    let hosts: Vec<_> =
        names.iter().map(|(name, _, primary)| start_host(&case, name, *primary, ms(20), (0.0, ms(0)))).collect();
    let entries: Vec<String> =
        names.iter().zip(&hosts).map(|((name, zone, _), h)| entry(name, h.addr, zone, 1, "Ready")).collect();
    let list = start_list(entries.clone());
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let config = Config {
        listen,
        discovery: list.addr,
        memory_mb: 32,
        sockets: 256,
        entries: &entries,
        write_effect: "guarded",
        behind: "refuse",
    };
    start_router(&case, "n1", &config.text());
    await_ready(listen);
    let is_over = Arc::new(AtomicBool::new(false));
    let turns = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + LENGTH;
    let (asked, closed, lost) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let answered = Arc::<AtomicUsize>::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|n| {
            let record = case.record.clone();
            let (asked, closed, lost, answered) = (asked.clone(), closed.clone(), lost.clone(), answered.clone());
            spawn(move || {
                let Ok(mut client) = Client::open(listen) else { return };
                for i in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    let id = format!("{:08x}{i:08x}", n + 1);
                    let read = read_text(&format!("r{id}"), "status-read", 1200, 1);
                    // Keeps the connection in use: what follows is not its first request.
                    if client.ask(&read).is_err() {
                        record.line(&format!("no answer id=r{id}"));
                    }
                    let text = write_text(&id, "record-write", 2000, 1, &hex_value(VALUE));
                    asked.fetch_add(1, SeqCst);
                    record.line(&format!("sent id={id} bytes={}", text.len()));
                    let why = match ask(&mut client, &text) {
                        Ok(answer) => {
                            answered.fetch_add(1, SeqCst);
                            record.line(&format!("answered id={id} {answer:?}"));
                            sleep(ms(150));
                            continue;
                        }
                        Err(why) => why,
                    };
                    closed.fetch_add(1, SeqCst);
                    record.line(&format!("closed without an answer id={id} written={} {}", why.0, why.1));
                    // Once more on a new connection, as clients do.
                    let Ok(again) = Client::open(listen) else { return };
                    client = again;
                    match ask(&mut client, &text) {
                        Ok(answer) => record.line(&format!("answered id={id} {answer:?} at the second connection")),
                        Err((is_written, why)) => {
                            lost.fetch_add(usize::from(is_written), SeqCst);
                            record.line(&format!("LOST id={id} written={is_written} {why}"));
                            let Ok(again) = Client::open(listen) else { return };
                            client = again;
                        }
                    }
                    sleep(ms(150));
                }
            })
        })
        .collect();
    sleep(ms(3000));
    let mut stoppers = Vec::new();
    if has_trouble() {
        case.record.line(&format!("{STOPPERS} clients stop in the middle of a request"));
        for n in 0..STOPPERS {
            let (is_over, turns) = (is_over.clone(), turns.clone());
            stoppers.push(spawn(move || stop_in_the_middle(listen, n, &is_over, &turns)));
        }
    }
    writers.into_iter().for_each(|c| drop(c.join()));
    is_over.store(true, SeqCst);
    stoppers.into_iter().for_each(|c| drop(c.join()));
    if !routers_run() {
        cannot_run("the router has ended");
    }
    let [asked, closed, lost] = [asked, closed, lost].map(|c| c.load(SeqCst));
    if asked < 100 || answered.load(SeqCst) == 0 {
        cannot_run("too few requests");
    }
    let what = format!(
        "{lost} of {asked} writes got no answer on two connections ({closed} were closed unanswered once, {} turns of bad clients)",
        turns.load(SeqCst)
    );
    finish(&case.record, lost, &what);
}

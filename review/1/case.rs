//! Some answers of hosts bring a second copy just after them. Does every client get the value that a host
//! made for its own request?

#[path = "../standin/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// One way between two buildings, and between a client and the router.
const WAY: Duration = Duration::from_micros(1000);
const CLIENT_WAY: Duration = Duration::from_micros(500);
/// Part of the answers that bring a second copy, and how long after the answer it is written at
/// most.
const COPY_PART: f64 = 0.02;
const COPY_WITHIN: Duration = Duration::from_micros(2000);
/// Clients that write, and clients that read; each asks again once it is answered.
const WRITERS: usize = 4;
const READERS: usize = 4;
const LENGTH: Duration = Duration::from_secs(20);

fn main() {
    let case = Case::open();
    watchdog(Duration::from_secs(100));
    let copy = (if has_trouble() { COPY_PART } else { 0.0 }, COPY_WITHIN);
    let names = [("h1", "sandy-bay", true), ("h2", "cambridge", false), ("h3", "glenorchy", false)];
    let hosts: Vec<_> =
        names.iter().map(|(name, _, primary)| start_host(&case, name, *primary, ms(20), copy)).collect();
    let entries: Vec<String> = names
        .iter()
        .zip(&hosts)
        .map(|((name, zone, _), host)| entry(name, start_path(host.addr, WAY), zone, 1, "Ready"))
        .collect();
    let list = start_list(entries.clone());
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let config = Config {
        listen,
        discovery: list.addr,
        memory_mb: 64,
        sockets: 256,
        entries: &entries,
        write_effect: "guarded",
        behind: "refuse",
    };
    start_router(&case, "n1", &config.text());
    await_ready(listen);
    let front = start_path(listen, CLIENT_WAY);
    let (asked, foreign) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..WRITERS + READERS)
        .map(|n| {
            let (record, asked, foreign) = (case.record.clone(), asked.clone(), foreign.clone());
            spawn(move || {
                let Ok(mut client) = Client::open(front) else { return };
                for i in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    let id = format!("{:08x}{i:08x}", n + 1);
                    record.line(&format!("sent id={id}"));
                    asked.fetch_add(1, SeqCst);
                    let text = match n < WRITERS {
                        true => write_text(&id, "record-write", 2000, 1, "\\x9f03"),
                        false => read_text(&id, "status-read", 1200, 1),
                    };
                    match client.ask(&text) {
                        Ok(Some(Answer::Row(value))) if value != value_for(&id) => {
                            foreign.fetch_add(1, SeqCst);
                            record.line(&format!("answered id={id} FOREIGN {value}"));
                        }
                        Ok(answer) => record.line(&format!("answered id={id} {answer:?}")),
                        Err(e) => {
                            record.line(&format!("no answer id={id} {e}"));
                            match Client::open(front) {
                                Ok(again) => client = again,
                                Err(_) => return,
                            }
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    if !routers_run() {
        cannot_run("the router has ended");
    }
    let copies: u64 = hosts.iter().map(|h| h.copies.load(SeqCst)).sum();
    let (asked, foreign) = (asked.load(SeqCst), foreign.load(SeqCst));
    if asked < 500 {
        cannot_run("too few requests");
    }
    let what = format!("{foreign} of {asked} requests served with the value of another ({copies} second copies)");
    finish(&case.record, foreign, &what);
}

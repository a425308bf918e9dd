//! Clients send many commands at once. Does every request get a whole answer?

#[path = "../standin/common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Connections of the clients: under a third of the descriptors, 85 of 256.
const CLIENTS: usize = 80;
/// Commands that a client sends at once; without the disruption one at a time.
const COMMANDS: usize = 100;
/// Bursts, and the rest after each: 8,000 requests in about 9.5 s, some 840 a second in the mean.
const BURSTS: usize = 3;
const REST: Duration = Duration::from_secs(8);

fn texts(client: usize, burst: usize, commands: std::ops::Range<usize>) -> Vec<u8> {
    let text = |n| read_text(&format!("{client:06x}{burst:02x}{n:08x}"), "status-read", 1200, 1);
    commands.flat_map(|n| query(&text(n))).collect()
}

/// Sends these commands at once and reads the answers, until the connection ends. Returns how many have got a
/// whole answer, or `None` if not all of them could be written.
fn send_at_once(client: &mut Client, all: &[u8], count: usize, last: &mut Option<Answer>) -> Option<usize> {
    client.reader.stream.write_all(all).ok()?;
    let mut answered = 0;
    while answered < count {
        match client.answer() {
            Ok(answer) => *last = answer,
            Err(_) => break,
        }
        answered += 1;
    }
    Some(answered)
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
    let at_once = if has_trouble() { COMMANDS } else { 1 };
    let (asked, closed, lost) =
        (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = case.record.clone();
            let (asked, closed, lost) = (asked.clone(), closed.clone(), lost.clone());
            spawn(move || {
                for burst in 0..BURSTS {
                    // A new connection: one that rested may have been closed for that.
                    let Ok(mut client) = Client::open(listen) else { return };
                    sleep(ms(100));
                    for first in (0..COMMANDS).step_by(at_once) {
                        asked.fetch_add(at_once, SeqCst);
                        record.line(&format!("sent client={n} burst={burst} commands={first}..{}", first + at_once));
                        let mut last = None;
                        let all = texts(n, burst, first..first + at_once);
                        let Some(answered) = send_at_once(&mut client, &all, at_once, &mut last) else {
                            record.line(&format!("could not write client={n} burst={burst}"));
                            let Ok(again) = Client::open(listen) else { return };
                            client = again;
                            continue;
                        };
                        record.line(&format!(
                            "answered client={n} burst={burst} {answered} of {at_once}, the last {last:?}"
                        ));
                        let left = at_once - answered;
                        if left == 0 {
                            continue;
                        }
                        closed.fetch_add(left, SeqCst);
                        // Once more on a new connection, as clients do.
                        let Ok(again) = Client::open(listen) else { return };
                        client = again;
                        let all = texts(n, burst, first + answered..first + at_once);
                        let Some(answered) = send_at_once(&mut client, &all, left, &mut last) else { continue };
                        record.line(&format!("once more client={n} burst={burst} {answered} of {left}, the last {last:?}"));
                        if answered < left {
                            lost.fetch_add(left - answered, SeqCst);
                            record.line(&format!("LOST client={n} burst={burst} {}", left - answered));
                            let Ok(again) = Client::open(listen) else { return };
                            client = again;
                        }
                    }
                    sleep(REST);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    if !routers_run() {
        cannot_run("the router has ended");
    }
    let [asked, closed, lost] = [asked, closed, lost].map(|c| c.load(SeqCst));
    if asked < CLIENTS * COMMANDS {
        cannot_run("too few requests");
    }
    let what = format!(
        "{lost} of {asked} requests got no answer on two connections ({closed} were closed unanswered once)"
    );
    finish(&case.record, lost, &what);
}

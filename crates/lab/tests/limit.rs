//! The laboratory's build of the router at its limit of processor time, by work that takes a stated time.

#[path = "../../router/tests/stand_in/mod.rs"]
#[allow(dead_code, reason = "shared with the router's own tests")]
mod stand_in;

use magpiewell_pg::encode;
use stand_in::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

/// Ops that ask again at once whatever they are told, connections that say nothing, and nonsense, until told to
/// stop; each counts what it was told.
fn flood(
    addr: SocketAddr,
    stop: &Arc<AtomicBool>,
    shown_out: &Arc<AtomicUsize>,
) -> Vec<std::thread::JoinHandle<()>> {
    let each = |no: usize| {
        let (stop, shown_out) = (stop.clone(), shown_out.clone());
        std::thread::spawn(move || {
            while !stop.load(Relaxed) {
                let Ok(stream) = TcpStream::connect(addr) else { continue };
                match no % 4 {
                    0 => drop(stream),
                    1 => {
                        let mut client = Client(MessageReader::new(stream));
                        let _ = std::io::Write::write_all(&mut client.0.stream, &[0, 0, 0, 9, 7, 7, 7, 7, 0]);
                        client.read_answer();
                    }
                    _ => {
                        let mut opening = Vec::new();
                        encode::startup_message(&mut opening, "svc", "main");
                        let mut client = Client(MessageReader::new(stream));
                        client.0.stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                        let mut next = opening;
                        let mut asked = 0;
                        // Shown out, or still in the queue: the next connection.
                        while !stop.load(Relaxed)
                            && std::io::Write::write_all(&mut client.0.stream, &next).is_ok()
                            && let Some(answer) = client.read_answer()
                        {
                            let fits = matches!(answer.code.as_deref(), None | Some("53300"));
                            assert!(fits, "{answer:?}");
                            next = query(&statement("look", "k", "15000", ""));
                            asked += 1;
                        }
                        let goes_on = !stop.load(Relaxed);
                        shown_out.fetch_add(usize::from(asked > 1 && goes_on), Relaxed);
                    }
                }
            }
        })
    };
    (0..12).map(each).collect()
}

/// At the limit of its processor time the router once stayed there when the flood had gone. The load was what the
/// machine made of it: a fast build had time to spare and the test failed.
#[test]
fn at_its_limit_it_refuses_what_is_cheapest_reloads_stops_and_comes_back() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    // A grant of 50 ms a second and sends that take 5 ms each: the flood goes beyond it on any machine, as its clients
    // ask again at once, and an idle router does not.
    let limits = r#"{"cores":0.05,"memory_mb":32,"sockets":256}"#;
    let set = config("127.0.0.1:1".parse().unwrap(), &known, limits, &settings(15.0));
    let mut router = spawn_router_with_options(&set, &["--send-work-ms", "5"]);
    let (stop, shown_out) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = flood(router.addr, &stop, &shown_out);
    wait_for(&router.log, "opens wait");
    wait_for(&router.log, "ops are refused");
    router.signal("-HUP");
    wait_for(&router.log, "configuration read anew");
    // Those who never wait as they are told are let go between their ops.
    let until = std::time::Instant::now() + TIMEOUT;
    while shown_out.load(Relaxed) == 0 {
        assert!(std::time::Instant::now() < until, "nobody was shown out");
        std::thread::yield_now();
    }
    stop.store(true, Relaxed);
    wait_for(&router.log, "processor time suffices again");
    for client in clients {
        client.join().unwrap();
    }
    let look = statement("look", "k", "15000", "");
    assert_eq!(Client::open(router.addr).request(&look).value.as_deref(), Some("v"));
    stop.store(false, Relaxed);
    let clients = flood(router.addr, &stop, &shown_out);
    wait_for(&router.log, "ops are refused");
    router.signal("-TERM");
    let line = wait_for(&router.log, "stopped");
    stop.store(true, Relaxed);
    assert!(router.child.wait().unwrap().success());
    for gone in [" open=0 ", " clients=0 "] {
        assert!(line.contains(gone), "{line}");
    }
    drop(clients);
}

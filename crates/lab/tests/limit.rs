//! The laboratory's build of the router at its limit of processor time. Each send takes a given processor
//! time, so that the load does not depend on the speed of the machine.

#[path = "../../router/tests/stand_in/mod.rs"]
#[allow(dead_code, reason = "shared with the router's own tests")]
mod stand_in;

use magpiewell_pg::encode;
use stand_in::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

/// Starts clients that run until `stop` is set: half of them send op after op without waiting for the
/// retry-after time, the others connect and close, or send an invalid startup message. `drained` counts
/// clients that the router disconnected between two ops.
fn flood(
    addr: SocketAddr,
    stop: &Arc<AtomicBool>,
    drained: &Arc<AtomicUsize>,
) -> Vec<std::thread::JoinHandle<()>> {
    let spawn_client = |number: usize| {
        let (stop, drained) = (stop.clone(), drained.clone());
        std::thread::spawn(move || {
            while !stop.load(Relaxed) {
                let Ok(stream) = TcpStream::connect(addr) else { continue };
                match number % 4 {
                    0 => drop(stream),
                    1 => {
                        let mut client = Client(MessageReader::new(stream));
                        let _ = std::io::Write::write_all(&mut client.0.stream, &[0, 0, 0, 9, 7, 7, 7, 7, 0]);
                        client.read_answer();
                    }
                    _ => {
                        let mut startup = Vec::new();
                        encode::startup_message(&mut startup, "svc", "main");
                        let mut client = Client(MessageReader::new(stream));
                        client.0.stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                        let mut next = startup;
                        let mut answered = 0;
                        // Ends when the router closes the connection, or has not accepted it within the read
                        // timeout; then the next connection is made.
                        while !stop.load(Relaxed)
                            && std::io::Write::write_all(&mut client.0.stream, &next).is_ok()
                            && let Some(answer) = client.read_answer()
                        {
                            let is_expected = matches!(answer.code.as_deref(), None | Some("53300"));
                            assert!(is_expected, "{answer:?}");
                            next = query(&statement("look", "k", "15000", ""));
                            answered += 1;
                        }
                        let is_running = !stop.load(Relaxed);
                        drained.fetch_add(usize::from(answered > 1 && is_running), Relaxed);
                    }
                }
            }
        })
    };
    (0..12).map(spawn_client).collect()
}

/// The router once remained at its limit of processor time after the overload had ended. With sends that take
/// only their own time this test depended on the machine: a fast build never reached the limit, and the test
/// failed.
#[test]
fn overloaded_router_sheds_load_reloads_recovers_and_stops() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    // With a limit of 50 ms per second and sends that take 5 ms each, the flood exceeds the limit on any
    // machine, as its clients retry at once, while an idle router stays below it.
    let limits = r#"{"cores":0.05,"memory_mb":32,"sockets":256}"#;
    let configuration = config("127.0.0.1:1".parse().unwrap(), &known, limits, &settings(15.0));
    let mut router = spawn_router_with_options(&configuration, &["--send-work-ms", "5"]);
    let (stop, drained) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = flood(router.addr, &stop, &drained);
    wait_for(&router.log, "opens wait");
    wait_for(&router.log, "ops are refused");
    router.signal("-HUP");
    wait_for(&router.log, "configuration read anew");
    // Clients that ignore the retry-after time are disconnected between their ops.
    let deadline = std::time::Instant::now() + TIMEOUT;
    while drained.load(Relaxed) == 0 {
        assert!(std::time::Instant::now() < deadline, "no client was disconnected");
        std::thread::yield_now();
    }
    stop.store(true, Relaxed);
    wait_for(&router.log, "processor time suffices again");
    for client in clients {
        client.join().unwrap();
    }
    let read = statement("look", "k", "15000", "");
    assert_eq!(Client::open(router.addr).request(&read).value.as_deref(), Some("v"));
    stop.store(false, Relaxed);
    let clients = flood(router.addr, &stop, &drained);
    wait_for(&router.log, "ops are refused");
    router.signal("-TERM");
    let line = wait_for(&router.log, "stopped");
    stop.store(true, Relaxed);
    assert!(router.child.wait().unwrap().success());
    for field in [" open=0 ", " clients=0 "] {
        assert!(line.contains(field), "{line}");
    }
    drop(clients);
}

//! Rare interleavings on real sockets, each forced by holding and releasing one side: a connection to a host
//! that opens late, while its client disconnects, its host starts to drain or the router shuts down.

use crate::stand_in::*;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A host whose accept queue is full, as on an overloaded machine: connections to it open only once there is
/// room.
pub struct SaturatedHost {
    listener: TcpListener,
    pub addr: SocketAddr,
    queued: Vec<TcpStream>,
}

pub fn saturated_host() -> SaturatedHost {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    // Connects until an attempt times out, as only that shows that the queue is full: on a busy machine an
    // established connection enters the queue with some delay.
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
    SaturatedHost { listener, addr, queued: std::iter::from_fn(connect).collect() }
}

impl SaturatedHost {
    /// Makes room in the queue and hands over the listener.
    pub fn into_listener(self) -> TcpListener {
        drop(self.queued);
        self.listener
    }

    /// Lets connections open and serves them. Returns the bytes that arrived with the startup message of
    /// each: a router that has a query to send writes both at once.
    fn accept_connections(self) -> Receiver<String> {
        let (sender, first_bytes) = channel();
        thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                let mut from = MessageReader::new(stream);
                if from.read_startup().is_none() {
                    continue;
                }
                drop(sender.send(from.unparsed().to_string()));
                thread::spawn(move || answer_queries(from));
            }
        });
        first_bytes
    }
}

fn answer_queries(mut from: MessageReader) {
    use std::io::Write;
    let mut to = from.stream.try_clone().unwrap();
    let mut reply = Vec::new();
    magpiewell_pg::encode::startup_reply(&mut reply);
    drop(to.write_all(&reply));
    while let Some((b'Q', body)) = from.next_message() {
        let response = if body == [0] { empty_query_response() } else { read_response("late", "reader") };
        drop(to.write_all(&response));
    }
}

fn settings_with_long_connect_timeout() -> String {
    settings(15.0).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":25")
}

/// Settings under which nothing times out during a test.
fn settings_without_timeouts() -> String {
    let settings = settings(3000.0).replace("\"deadline_s\":20", "\"deadline_s\":3000");
    settings.replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":3000")
}

/// A probe that timed out while its connection was being opened once counted as never sent, and so gave no
/// evidence against its host.
#[test]
fn host_that_accepts_no_connection_is_set_aside() {
    let host = saturated_host();
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    let settings = settings(5.0).replace("\"probes\":false", "\"probes\":true");
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("look", "k", "20000", "")));
    wait_for(&router.log, "set aside: probe unanswered");
}

/// Whether the router has routed the op that a client has just written: its id is then refused for a second
/// op.
fn is_routed(router: &Router, statement: &str) -> bool {
    Client::open(router.addr).request(statement).code.as_deref() == Some("55006")
}

/// Seen on a deployment whose sends can't be withdrawn: an op that still waited for its connection was sent
/// after its final answer, or after its client had disconnected.
#[test]
fn unsent_op_is_not_sent_after_its_client_disconnects() {
    for may_cancel in ["true", "false"] {
        let host = saturated_host();
        let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
        let settings = settings_with_long_connect_timeout()
            .replace("\"may_cancel\":true", &format!("\"may_cancel\":{may_cancel}"));
        let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
        let mut leaving = Client::open(router.addr);
        let op = statement("look", "gone", "20000", "");
        leaving.write(&query(&op));
        assert!(is_routed(&router, &op));
        drop(leaving);
        // Routed after the router has noticed the disconnect; no list contains this op's group.
        let mut staying = Client::open(router.addr);
        let unknown = statement("look", "k", "20000", "").replace("cluster=3", "cluster=9");
        assert_eq!(staying.request(&unknown).code.as_deref(), Some("53300"));
        let first_bytes = host.accept_connections();
        let answer = staying.request(&statement("look", "stays", "20000", ""));
        assert_eq!(answer.value.as_deref(), Some("late"));
        let both = [first_bytes.recv_timeout(TIMEOUT).unwrap(), first_bytes.recv_timeout(TIMEOUT).unwrap()];
        assert!(both.iter().all(|text| !text.contains("'gone'")), "{both:?}");
    }
}

/// A connection may open within its own timeout, but after the drain grace of a host that began to drain
/// meanwhile.
#[test]
fn unsent_op_moves_to_another_host_when_its_host_drains() {
    let (draining, other) =
        (saturated_host(), spawn_host(|_, _| Action::Respond(read_response("other", "reader"))));
    let list = spawn_list();
    let router = spawn_router(&config(list.addr, "null", LIMITS, &settings_with_long_connect_timeout()));
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", draining.addr, "Ready")])));
    let mut client = Client::open(router.addr);
    while !client.request("").empty {}
    let op = statement("look", "waits", "20000", "");
    client.write(&query(&op));
    assert!(is_routed(&router, &op));
    let changes = [host_entry("s-1", draining.addr, "Terminating"), host_entry("s-2", other.addr, "Ready")];
    list.respond(http_ok(&list_response(2, false, &changes)));
    assert_eq!(client.read_answer().unwrap().value.as_deref(), Some("other"));
    // The connection opens all the same, and nothing is sent on it.
    assert_eq!(draining.accept_connections().recv_timeout(TIMEOUT).unwrap(), "");
}

/// If only an answer ended an op, a retry would be sent after its client has disconnected: sends that can't
/// be withdrawn end after the disconnect, with a busy reply, an error or a reset, and each of these calls for
/// a retry.
#[test]
fn failed_send_is_not_retried_after_its_client_disconnects() {
    type Ending = (&'static str, fn() -> Action);
    let endings: [Ending; 3] = [
        ("Full", || Action::Respond(error_response("53300"))),
        ("Errored", || Action::Respond(error_response("XX000"))),
        ("Reset", || Action::RespondAndClose(Vec::new())),
    ];
    for (ending, act) in endings {
        let (release_sender, release) = channel::<()>();
        // The host that gets the first query delays its answer, and a retry would go to the other one.
        let first = Arc::new(Mutex::new(Some(release)));
        let spawn_delaying_host = || {
            let first = first.clone();
            spawn_host(move |_, _| {
                let hold = first.lock().unwrap().take();
                let Some(hold) = hold else { return Action::Respond(read_response("v", "reader")) };
                let _ = hold.recv();
                act()
            })
        };
        let hosts = [spawn_delaying_host(), spawn_delaying_host()];
        let known = list_response(
            1,
            true,
            &hosts.each_ref().map(|h| host_entry(&format!("s-{}", h.addr), h.addr, "Ready")),
        );
        let settings = settings_without_timeouts().replace("\"may_cancel\":true", "\"may_cancel\":false");
        let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
        let mut leaving = Client::open(router.addr);
        let op = statement("look", "gone", "3000000", "");
        leaving.write(&query(&op));
        while first.lock().unwrap().is_some() {
            thread::yield_now();
        }
        drop(leaving);
        wait_until_op_id_is_free(&router, &op, ending);
        release_sender.send(()).unwrap();
        wait_for(&router.log, &format!("ending={ending}"));
        // Routed after the end of that send: by now a retry would have been sent.
        let mut staying = Client::open(router.addr);
        for _ in 0..2 {
            let answer = staying.request(&statement("look", "stays", "3000000", ""));
            assert_eq!(answer.value.as_deref(), Some("v"), "{ending}");
        }
        let sent = hosts.iter().flat_map(|h| h.queries.try_iter()).filter(|text| text.contains("'gone'"));
        assert_eq!(sent.count(), 1, "{ending}");
    }
}

/// Waits until the router has noticed that a client has disconnected: the id of its op is then free.
fn wait_until_op_id_is_free(router: &Router, op: &str, case: &str) {
    let (mut client, deadline) = (Client::open(router.addr), Instant::now() + TIMEOUT);
    while client.request(&op.replace("cluster=3", "cluster=9")).code.as_deref() == Some("55006") {
        assert!(Instant::now() < deadline, "{case}: the op of the disconnected client is still outstanding");
    }
}

/// Starts a router whose list names only this host, and in which nothing times out during a test.
fn spawn_router_without_timeouts(host: SocketAddr) -> Router {
    let known = list_response(1, true, &[host_entry("s-1", host, "Ready")]);
    spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings_without_timeouts()))
}

/// After a protocol error, or while too many of a client's answers were pending, its disconnect was once
/// noticed only after its ops had been answered.
#[test]
fn client_disconnect_is_detected_in_any_connection_state() {
    let look = || statement("look", "gone", "3000000", "");
    let first = look();
    let with_error = [query(&first), vec![b'?', 0, 0, 0, 4]].concat();
    let too_many = (0..40).fold(query(&first), |all, _| [all, query(&look())].concat());
    // The second case has more ops than one client may have outstanding.
    for (case, bytes) in [("after an error", with_error), ("while reading from it is paused", too_many)] {
        let host = saturated_host();
        let router = spawn_router_without_timeouts(host.addr);
        let mut leaving = Client::open(router.addr);
        leaving.write(&bytes);
        assert!(is_routed(&router, &first), "{case}");
        drop(leaving);
        wait_until_op_id_is_free(&router, &first, case);
    }
}

/// The id of a write was once free as soon as its client had gone, and a write that came again under it ran
/// twice.
#[test]
fn write_that_comes_again_after_its_client_has_gone_does_not_run_twice() {
    let host = spawn_host(|_, _| Action::Ignore);
    let router = spawn_router_without_timeouts(host.addr);
    for op_type in ["post", "mark"] {
        let (write, look) =
            (statement(op_type, "gone", "3000000", ""), statement("look", "gone", "3000000", ""));
        let mut leaving = Client::open(router.addr);
        leaving.write(&[query(&write), query(&look)].concat());
        (0..2).for_each(|_| drop(host.queries.recv_timeout(TIMEOUT).unwrap()));
        drop(leaving);
        wait_until_op_id_is_free(&router, &look, op_type);
        let answer = Client::open(router.addr).request(&write);
        assert_eq!(answer.code.as_deref(), Some("55006"), "{op_type}");
        assert!(host.queries.try_recv().is_err(), "{op_type}");
    }
}

#[test]
fn client_disconnect_is_detected_during_shutdown() {
    let host = saturated_host();
    let mut router = spawn_router_without_timeouts(host.addr);
    let mut leaving = Client::open(router.addr);
    let op = statement("look", "gone", "3000000", "");
    leaving.write(&query(&op));
    assert!(is_routed(&router, &op));
    router.signal("-TERM");
    wait_for(&router.log, "closing clients");
    drop(leaving);
    let line = wait_for(&router.log, "stopped");
    assert!(format!(" {line} ").contains(" left=1 "), "{line}");
    assert!(router.child.wait().unwrap().success());
}

/// An op whose client timeout lies beyond the router's exit once got no answer; its connection was just
/// closed.
#[test]
fn outstanding_op_is_answered_at_shutdown() {
    let host = spawn_host(|_, _| Action::Ignore);
    let mut router = spawn_router_without_timeouts(host.addr);
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("post", "k", "3000000", "")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    router.signal("-TERM");
    assert_eq!(client.read_answer().unwrap().code.as_deref(), Some("58000"));
    assert_eq!((client.read_answer(), client.0.end_reason.as_str()), (None, "closed"));
    assert!(router.child.wait().unwrap().success());
}

/// Closing a socket with unread bytes resets the connection, and an answer in flight is lost with it.
#[test]
fn request_written_during_close_is_dropped_without_losing_an_answer() {
    let (release_sender, release) = channel::<()>();
    let release = std::sync::Mutex::new(release);
    let host = spawn_host(move |_, _| {
        let _ = release.lock().unwrap().recv();
        Action::Respond(read_response("v", "reader"))
    });
    let router = spawn_router_without_timeouts(host.addr);
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("look", "first", "3000000", "")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    router.signal("-TERM");
    wait_for(&router.log, "closing clients");
    // After the router's last read: one whole request and part of another.
    let second = query(&statement("look", "second", "3000000", ""));
    client.write(&[&second[..], &second[..40]].concat());
    release_sender.send(()).unwrap();
    assert_eq!(client.read_answer().unwrap().value.as_deref(), Some("v"));
    assert_eq!((client.read_answer(), client.0.end_reason.as_str()), (None, "closed"));
    wait_for(&router.log, "stopped");
    // A reset that follows the end of the stream shows only as the socket's error.
    assert!(client.0.stream.take_error().unwrap().is_none());
    assert!(host.queries.try_recv().is_err(), "a request after the last read is not forwarded");
}

/// Clients that write without end, and a configuration file whose read never finishes, each once kept a
/// router from exiting.
#[test]
fn endless_writers_and_blocked_reloads_do_not_delay_shutdown() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let mut router = spawn_router_without_timeouts(host.addr);
    // Several, as a single one that falls behind for a moment is closed in time.
    for _ in 0..4 {
        let mut endless = Client::open(router.addr);
        thread::spawn(move || {
            let ignored = [b'd', 0, 0, 0, 4].repeat(10_000);
            while std::io::Write::write_all(&mut endless.0.stream, &ignored).is_ok() {}
        });
    }
    std::fs::remove_file(&router.config_path).unwrap();
    let fifo = std::process::Command::new("mkfifo").arg(&router.config_path).status().unwrap();
    assert!(fifo.success());
    // The reloads after the first have no effect, nor has the second request to stop.
    ["-HUP", "-HUP", "-TERM", "-TERM", "-HUP"].iter().for_each(|signal| router.signal(signal));
    wait_for(&router.log, "stopped");
    assert!(router.child.wait().unwrap().success());
}

/// A host that writes without end, faster than the router reads, once occupied the event loop of all hosts;
/// one that writes slowly kept its op outstanding.
#[test]
fn endless_host_response_is_cut_off_by_its_length() {
    let (sender, bytes_written) = channel();
    let notices = message(b'N', b"SNOTICE\0C00000\0Mon and on\0\0").repeat(1_000);
    let endless = raw_host(move |mut to| {
        use std::io::Write;
        let mut sent = 0usize;
        while to.write_all(&notices).is_ok() {
            sent += notices.len();
        }
        let _ = sender.send(sent);
    });
    let router = spawn_router_without_timeouts(endless);
    let mut client = Client::open(router.addr);
    let answer = client.request(&statement("post", "k", "3000000", ""));
    assert_eq!(answer.code.as_deref(), Some("58000"));
    bytes_written.recv_timeout(TIMEOUT).unwrap();
}

/// A host that completes the startup of each connection and hands it to `act` at the first query.
fn raw_host(act: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, act) = (listener.local_addr().unwrap(), std::sync::Arc::new(act));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let act = act.clone();
            thread::spawn(move || {
                use std::io::Write;
                let mut from = MessageReader::new(stream);
                if from.read_startup().is_none() {
                    return;
                }
                let mut reply = Vec::new();
                magpiewell_pg::encode::startup_reply(&mut reply);
                from.stream.write_all(&reply).unwrap();
                if from.next_message().is_some() {
                    act(from.stream);
                }
            });
        }
    });
    addr
}

//! Rare moments on real sockets, each forced by who holds and who releases: a connection to a host that opens late, a
//! client that leaves just then, a host told to drain just then.

use crate::stand_in::*;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A host whose connections don't open until it is let: its queue is full, as a machine's that is overwhelmed.
pub struct Late {
    listener: TcpListener,
    pub addr: SocketAddr,
    fill: Vec<TcpStream>,
}

pub fn late() -> Late {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    // Seen to be full: on a busy machine one that has connected stands in the queue only somewhat later.
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
    Late { listener, addr, fill: std::iter::from_fn(connect).collect() }
}

impl Late {
    /// Makes room in the queue, for whoever takes it over.
    pub fn into_listener(self) -> TcpListener {
        drop(self.fill);
        self.listener
    }

    /// Lets connections open, and admits each; tells what came right behind its opening, which a router that has
    /// something to ask writes in one go, and then serves it.
    fn open(self) -> Receiver<String> {
        let (tell, came) = channel();
        thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                let mut from = MessageReader::new(stream);
                if from.read_startup().is_none() {
                    continue;
                }
                drop(tell.send(from.unparsed().to_string()));
                thread::spawn(move || answer_on(from));
            }
        });
        came
    }
}

fn answer_on(mut from: MessageReader) {
    use std::io::Write;
    let mut to = from.stream.try_clone().unwrap();
    let mut admits = Vec::new();
    magpiewell_pg::encode::startup_reply(&mut admits);
    drop(to.write_all(&admits));
    while let Some((b'Q', _)) = from.next_message() {
        drop(to.write_all(&read_response("late", "reader")));
    }
}

fn slow_to_open() -> String {
    settings(15.0).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":25")
}

/// Nothing ends by itself while a test waits.
fn patient() -> String {
    let settings = settings(3000.0).replace("\"deadline_s\":20", "\"deadline_s\":3000");
    settings.replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":3000")
}

/// A probe that ran out of time while its connection was being opened once counted as never sent, and told nothing.
#[test]
fn a_host_whose_connections_never_come_up_is_set_aside() {
    let host = late();
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    let settings = settings(5.0).replace("\"probes\":false", "\"probes\":true");
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("look", "k", "20000", "")));
    wait_for(&router.log, "set aside: probe unanswered");
}

/// The op that a client has just written has been routed by now: its id is known.
fn is_routed(router: &Router, statement: &str) -> bool {
    Client::open(router.addr).request(statement).code.as_deref() == Some("55006")
}

/// Seen on a deployment whose sends can't be withdrawn: what had not left yet left after the final answer, and a
/// client's after it had gone.
#[test]
fn what_has_not_left_when_its_client_leaves_never_does() {
    for may_cancel in ["true", "false"] {
        let host = late();
        let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
        let settings = slow_to_open().replace("\"may_cancel\":true", &format!("\"may_cancel\":{may_cancel}"));
        let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
        let mut leaves = Client::open(router.addr);
        let op = statement("look", "gone", "20000", "");
        leaves.write(&query(&op));
        assert!(is_routed(&router, &op));
        drop(leaves);
        // Routed behind the news that the client has left, of a group that nobody has named.
        let mut stays = Client::open(router.addr);
        let unknown = statement("look", "k", "20000", "").replace("cluster=3", "cluster=9");
        assert_eq!(stays.request(&unknown).code.as_deref(), Some("53300"));
        let came = host.open();
        let answer = stays.request(&statement("look", "stays", "20000", ""));
        assert_eq!(answer.value.as_deref(), Some("late"));
        let both = [came.recv_timeout(TIMEOUT).unwrap(), came.recv_timeout(TIMEOUT).unwrap()];
        assert!(both.iter().all(|text| !text.contains("'gone'")), "{both:?}");
    }
}

/// A connection that opens within its own time may do so past the grace of a host that drains meanwhile.
#[test]
fn what_has_not_left_when_its_host_drains_goes_to_another() {
    let (drains, other) = (late(), spawn_host(|_, _| Action::Respond(read_response("other", "reader"))));
    let list = spawn_list();
    let router = spawn_router(&config(list.addr, "null", LIMITS, &slow_to_open()));
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", drains.addr, "Ready")])));
    let mut client = Client::open(router.addr);
    while !client.request("").empty {}
    let op = statement("look", "waits", "20000", "");
    client.write(&query(&op));
    assert!(is_routed(&router, &op));
    let news = [host_entry("s-1", drains.addr, "Terminating"), host_entry("s-2", other.addr, "Ready")];
    list.respond(http_ok(&list_response(2, false, &news)));
    assert_eq!(client.read_answer().unwrap().value.as_deref(), Some("other"));
    // The connection opens all the same, and nothing is asked on it.
    assert_eq!(drains.open().recv_timeout(TIMEOUT).unwrap(), "");
}

/// A further attempt begins after its client has gone where only answering ends an op. Sends that can't be
/// withdrawn come back after that, as turned away, as an error or broken, and each of these is a reason to
/// ask again.
#[test]
fn what_fails_after_its_client_left_is_not_tried_again() {
    type End = (&'static str, fn() -> Action);
    let ends: [End; 3] = [
        ("Full", || Action::Respond(error_response("53300"))),
        ("Errored", || Action::Respond(error_response("XX000"))),
        ("Reset", || Action::RespondAndClose(Vec::new())),
    ];
    for (ending, act) in ends {
        let (tell, release) = channel::<()>();
        // Whichever host is asked first holds what it is asked, and the other would be the next to try.
        let first = Arc::new(Mutex::new(Some(release)));
        let either = || {
            let first = first.clone();
            spawn_host(move |_, _| {
                let held = first.lock().unwrap().take();
                let Some(held) = held else { return Action::Respond(read_response("v", "reader")) };
                let _ = held.recv();
                act()
            })
        };
        let hosts = [either(), either()];
        let known = list_response(
            1,
            true,
            &hosts.each_ref().map(|h| host_entry(&format!("s-{}", h.addr), h.addr, "Ready")),
        );
        let settings = patient().replace("\"may_cancel\":true", "\"may_cancel\":false");
        let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
        let mut leaves = Client::open(router.addr);
        let op = statement("look", "gone", "3000000", "");
        leaves.write(&query(&op));
        while first.lock().unwrap().is_some() {
            thread::yield_now();
        }
        drop(leaves);
        is_free(&router, &op, ending);
        tell.send(()).unwrap();
        wait_for(&router.log, &format!("ending={ending}"));
        // Taken behind that: by now a further attempt would have begun.
        let mut stays = Client::open(router.addr);
        for _ in 0..2 {
            let answer = stays.request(&statement("look", "stays", "3000000", ""));
            assert_eq!(answer.value.as_deref(), Some("v"), "{ending}");
        }
        let asked = hosts.iter().flat_map(|h| h.queries.try_iter()).filter(|text| text.contains("'gone'"));
        assert_eq!(asked.count(), 1, "{ending}");
    }
}

/// Waits until the router knows that a client has left: the id of its op is free.
fn is_free(router: &Router, op: &str, what: &str) {
    let (mut asks, until) = (Client::open(router.addr), Instant::now() + TIMEOUT);
    while asks.request(&op.replace("cluster=3", "cluster=9")).code.as_deref() == Some("55006") {
        assert!(Instant::now() < until, "{what}: its op is still open");
    }
}

fn before(host: SocketAddr) -> Router {
    let known = list_response(1, true, &[host_entry("s-1", host, "Ready")]);
    spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &patient()))
}

/// Whose end once showed only after its ops had been answered: after an error, and while too many of its answers waited.
#[test]
fn a_client_that_leaves_is_noticed_whatever_state_it_is_in() {
    let look = || statement("look", "gone", "3000000", "");
    let first = look();
    let fatal = [query(&first), vec![b'?', 0, 0, 0, 4]].concat();
    let many = (0..40).fold(query(&first), |all, _| [all, query(&look())].concat());
    // More than one client may have open at once.
    for (what, bytes) in [("after an error", fatal), ("while it is not read", many)] {
        let host = late();
        let router = before(host.addr);
        let mut leaves = Client::open(router.addr);
        leaves.write(&bytes);
        assert!(is_routed(&router, &first), "{what}");
        drop(leaves);
        is_free(&router, &first, what);
    }
}

#[test]
fn a_client_that_leaves_during_a_stop_is_noticed() {
    let host = late();
    let mut router = before(host.addr);
    let mut leaves = Client::open(router.addr);
    let op = statement("look", "gone", "3000000", "");
    leaves.write(&query(&op));
    assert!(is_routed(&router, &op));
    router.signal("-TERM");
    wait_for(&router.log, "closing clients");
    drop(leaves);
    let line = wait_for(&router.log, "stopped");
    assert!(format!(" {line} ").contains(" left=1 "), "{line}");
    assert!(router.child.wait().unwrap().success());
}

/// Of an op that its client would wait for longer than the router lives nothing was heard but the end.
#[test]
fn what_is_open_as_the_router_ends_is_answered() {
    let host = spawn_host(|_, _| Action::Ignore);
    let mut router = before(host.addr);
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("post", "k", "3000000", "")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    router.signal("-TERM");
    assert_eq!(client.read_answer().unwrap().code.as_deref(), Some("58000"));
    assert_eq!((client.read_answer(), client.0.end_reason.as_str()), (None, "closed"));
    assert!(router.child.wait().unwrap().success());
}

/// A close over bytes that nobody has read resets the connection, and an answer on its way goes with it.
#[test]
fn what_is_written_as_the_router_closes_is_dropped_and_takes_no_answer_with_it() {
    let (tell, release) = channel::<()>();
    let release = std::sync::Mutex::new(release);
    let host = spawn_host(move |_, _| {
        let _ = release.lock().unwrap().recv();
        Action::Respond(read_response("v", "reader"))
    });
    let router = before(host.addr);
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("look", "first", "3000000", "")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    router.signal("-TERM");
    wait_for(&router.log, "closing clients");
    // The router has read for the last time: a whole request, and half a one.
    let second = query(&statement("look", "second", "3000000", ""));
    client.write(&[&second[..], &second[..40]].concat());
    tell.send(()).unwrap();
    assert_eq!(client.read_answer().unwrap().value.as_deref(), Some("v"));
    assert_eq!((client.read_answer(), client.0.end_reason.as_str()), (None, "closed"));
    wait_for(&router.log, "stopped");
    // Reset behind the end of sending: seen only so.
    assert!(client.0.stream.take_error().unwrap().is_none());
    assert!(host.queries.try_recv().is_err(), "nothing read after the end is sent on");
}

/// Each once kept a router from ending: who writes without end, and a configuration that can't be read to its end.
#[test]
fn nobody_delays_the_end() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let mut router = before(host.addr);
    // Several, as one that falls behind for a moment is closed in time.
    for _ in 0..4 {
        let mut endless = Client::open(router.addr);
        thread::spawn(move || {
            let passed = [b'd', 0, 0, 0, 4].repeat(10_000);
            while std::io::Write::write_all(&mut endless.0.stream, &passed).is_ok() {}
        });
    }
    std::fs::remove_file(&router.config_path).unwrap();
    let fifo = std::process::Command::new("mkfifo").arg(&router.config_path).status().unwrap();
    assert!(fifo.success());
    // Those behind the first come to nothing, the second request to stop changes nothing.
    ["-HUP", "-HUP", "-TERM", "-TERM", "-HUP"].iter().for_each(|signal| router.signal(signal));
    wait_for(&router.log, "stopped");
    assert!(router.child.wait().unwrap().success());
}

/// A host that writes faster than it is read once had the loop of all hosts to itself; one that writes slowly, its op.
#[test]
fn an_answer_that_never_ends_is_cut_off_by_its_length_and_delays_no_other_host() {
    let (tell, wrote) = channel();
    let notices = message(b'N', b"SNOTICE\0C00000\0Mon and on\0\0").repeat(1_000);
    let endless = raw_host(move |mut to| {
        use std::io::Write;
        let mut sent = 0usize;
        while to.write_all(&notices).is_ok() {
            sent += notices.len();
        }
        let _ = tell.send(sent);
    });
    let router = before(endless);
    let mut client = Client::open(router.addr);
    let answer = client.request(&statement("post", "k", "3000000", ""));
    assert_eq!(answer.code.as_deref(), Some("58000"));
    wrote.recv_timeout(TIMEOUT).unwrap();
}

/// A host that admits each connection, and from the first query on does as told.
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
                let mut admits = Vec::new();
                magpiewell_pg::encode::startup_reply(&mut admits);
                from.stream.write_all(&admits).unwrap();
                if from.next_message().is_some() {
                    act(from.stream);
                }
            });
        }
    });
    addr
}

//! What the router does in daily use, and with what is wrong.

use crate::stand_in::*;
use magpiewell_pg::encode;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

fn alone(host: SocketAddr, settings: &str) -> Router {
    let known = list_response(1, true, &[host_entry("s-1", host, "Ready")]);
    // Nobody listens for the list there: the known one is all there is.
    spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, settings))
}

fn code(answer: &Answer) -> &str {
    answer.code.as_deref().unwrap_or("none")
}

#[test]
fn an_op_passes_through_unchanged_but_for_its_wait() {
    let host = spawn_host(|_, _| Action::Respond(read_response("\\x9f03", "reader")));
    let mut router = alone(host.addr, &settings(5.0));
    // The first query right behind the startup message; marks inside the key are no marks.
    let first = statement("look", "a''/*c=post*/;--", "15000", "");
    let mut client = Client::connect(router.addr, &query(&first));
    assert_eq!(client.read_answer(), Some(Answer::default()));
    let value = Some("\\x9f03".to_string());
    assert_eq!(client.read_answer().unwrap().value, value);
    let sent = host.queries.recv_timeout(TIMEOUT).unwrap();
    let wait = sent.split(",d=").nth(1).unwrap().split(',').next().unwrap();
    assert!(wait.parse::<u64>().unwrap() <= 15_000, "{sent}");
    assert_eq!(sent.replace(&format!(",d={wait},"), ",d=15000,"), first);
    // Several commands at once are answered in order, whatever they are.
    let mut several = query(&statement("look", "l", "15000", ""));
    several.extend(query(""));
    several.extend(query("SELECT 1"));
    several.extend(query(&statement("look", "k", "15000", "")));
    client.write(&several);
    assert_eq!(client.read_answer().unwrap().value, value);
    assert!(client.read_answer().unwrap().empty);
    assert_eq!(code(&client.read_answer().unwrap()), "42601");
    assert_eq!(client.read_answer().unwrap().value, value);
    // Byte by byte.
    for byte in query(&statement("look", "k", "15000", "")) {
        client.write(&[byte]);
    }
    assert_eq!(client.read_answer().unwrap().value, value);
    // Two of the four were out at the same time.
    assert!(*host.accepted.lock().unwrap() <= 2, "a kept connection is used again");
    assert!(router.stop().success());
}

#[test]
fn handshakes_that_are_not_spoken_here() {
    let host = spawn_host(|_, _| Action::Ignore);
    let router = alone(host.addr, &settings(1.0));
    for request in [80877103u32, 80877104] {
        let mut client = Client(MessageReader::new(TcpStream::connect(router.addr).unwrap()));
        client.write(&[8u32.to_be_bytes(), request.to_be_bytes()].concat());
        let mut no = [0];
        std::io::Read::read_exact(&mut client.0.stream, &mut no).unwrap();
        assert_eq!(&no, b"N");
        let mut opening = Vec::new();
        encode::startup_message(&mut opening, "svc", "main");
        client.write(&opening);
        assert_eq!(client.read_answer(), Some(Answer::default()));
    }
    let mut client = Client(MessageReader::new(TcpStream::connect(router.addr).unwrap()));
    client.write(&[&16u32.to_be_bytes()[..], &80877102u32.to_be_bytes(), &[0; 8]].concat());
    assert!(client.read_answer().is_none(), "a request to cancel is closed");
}

/// Each row of the protocol's table: what a host does with an op that must never run twice shows whether it
/// counts as never run (a busy reply is then harmless) or not (an error, which promises nothing).
#[test]
fn endings_of_sends() {
    type Row = (&'static str, fn() -> Action, &'static str);
    let rows: [Row; 13] = [
        ("served", || Action::Respond(write_response("v")), "none"),
        ("served, then closed", || Action::RespondAndClose(row_with_tag("v", "INSERT 0 1")), "none"),
        ("no primary", || Action::Respond(error_response("25006")), "53300"),
        ("turned away", || Action::Respond(error_response("53300")), "53300"),
        ("turned away, then closed", || Action::RespondAndClose(error_response("53300")), "53300"),
        ("an error", || Action::Respond(error_response("XX000")), "58000"),
        ("an unknown error", || Action::Respond(error_response("08P01")), "58000"),
        ("closed after the last byte", || Action::RespondAndClose(Vec::new()), "58000"),
        ("closed inside the answer", || Action::RespondAndClose(row("v")[..20].to_vec()), "58000"),
        ("nothing", || Action::Ignore, "58000"),
        (
            "a second row",
            || Action::Respond([row_with_tag("v", "INSERT 0 1"), write_response("w")].concat()),
            "58000",
        ),
        ("no row", || Action::Respond(encode::READY_FOR_QUERY.to_vec()), "58000"),
        ("no protocol", || Action::Respond(vec![b'D', 0, 0, 0, 1, 7]), "58000"),
    ];
    for (what, act, expected) in rows {
        let host = spawn_host(move |_, _| act());
        let router = alone(host.addr, &settings(0.4));
        let answer = Client::open(router.addr).request(&statement("post", "k", "600", ""));
        assert_eq!(code(&answer), expected, "{what}");
        assert_eq!(answer.value.is_some(), expected == "none", "{what}");
    }
    // No connection, one that never comes up, and one that the host does not admit.
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let answer = Client::open(alone(free, &settings(0.4)).addr).request(&statement("post", "k", "600", ""));
    assert_eq!(code(&answer), "53300", "refused connection");
    let full = TcpListener::bind("127.0.0.1:0").unwrap();
    let router = alone(full.local_addr().unwrap(), &settings(0.4));
    std::thread::spawn(move || {
        for stream in full.incoming().map_while(Result::ok) {
            let mut to = MessageReader::new(stream);
            to.read_startup();
            drop(std::io::Write::write_all(&mut to.stream, &error_response("53300")));
        }
    });
    let answer = Client::open(router.addr).request(&statement("post", "k", "600", ""));
    assert_eq!(code(&answer), "53300", "not admitted");
}

/// Each once was relayed, waited for until the op's time was up, or told the policy what it said. Found at once,
/// there is time to ask again; the role that came with it would send reads nowhere else.
#[test]
fn a_spoilt_answer_is_a_failed_attempt_that_may_have_run() {
    let d = |length: u32, value: u32| {
        [b"D", &length.to_be_bytes()[..], &[0, 1], &value.to_be_bytes(), b"\\x9f03"].concat()
    };
    let fits = d(16, 6);
    let spoilt = [
        ("noise", b"0\x82\x0c\xc8\xa9\x81\x84\xcf\r\n\r\n".to_vec()),
        ("an unknown kind", b"q".to_vec()),
        ("a value that takes up more than its row", d(16, 7)),
        ("a value that takes up less than its row", d(16, 3)),
        ("a value of no length", d(16, u32::MAX - 1)),
        ("a value of 3 GB", d(3 << 30, (3 << 30) - 10)),
        ("a row without room for its value", d(9, 6)),
        ("a negative length", d(u32::MAX - 15, 6)),
        ("another count of columns", replace_first(fits.clone(), &[0, 1], &[0, 2])),
        (
            "a description that does not fit",
            replace_first(read_response("\\x9f03", "writer"), &[0x1a], &[0x1b]),
        ),
        (
            "another command's completion",
            replace_first(read_response("\\x9f03", "writer"), b"SELECT 1", b"SELECT 9"),
        ),
        (
            "no readiness",
            replace_first(read_response("\\x9f03", "writer"), &[0, 0, 0, 5, b'I'], &[0, 0, 0, 6, b'I']),
        ),
        ("an error without a code", message(b'E', b"SERROR\0Mx\0\0")),
        ("a row before its description", fits.clone()),
    ];
    for (what, bytes) in spoilt {
        let whole = read_response("\\x9f03", "writer");
        let inside = if bytes[0] == b'D' && what != "a row before its description" {
            replace_first(whole.clone(), &fits, &bytes)
        } else {
            bytes
        };
        let host = spawn_host(move |nth, text| match nth {
            0 => Action::Respond(inside.clone()),
            _ if text.starts_with("INSERT") => Action::Respond(write_response("x")),
            _ => Action::Respond(read_response("x", "reader")),
        });
        let router = alone(host.addr, &settings(15.0));
        let mut client = Client::open(router.addr);
        // A read is asked again, on another connection.
        let answer = client.request(&statement("look", "k", "20000", ""));
        assert_eq!(answer.value.as_deref(), Some("x"), "{what}: {answer:?}");
        assert_eq!(*host.accepted.lock().unwrap(), 2, "{what}");
        wait_for(&router.log, "ending=Spoilt");
    }
    // What must never run twice ends as an error at once, though its time is far from up.
    let host = spawn_host(|_, _| Action::Respond(b"noise that nobody can read".to_vec()));
    let answer =
        Client::open(alone(host.addr, &settings(15.0)).addr).request(&statement("post", "k", "20000", ""));
    assert_eq!(code(&answer), "58000");
}

/// A second copy once turned a good answer into an error. What comes late is found before the next use.
#[test]
fn a_good_answer_with_more_behind_it_is_served() {
    let more = [read_response("w", "reader"), b"noise\r\n\r\n".to_vec(), parameter_status("usage", "")];
    for extra in more {
        let said = [parameter_status("server_role", "%%%"), read_response("v", "reader"), extra].concat();
        let host = spawn_host(move |_, _| Action::Respond(said.clone()));
        let router = alone(host.addr, &settings(15.0));
        let mut client = Client::open(router.addr);
        for _ in 0..3 {
            let answer = client.request(&statement("look", "k", "20000", ""));
            assert_eq!(answer.value.as_deref(), Some("v"));
        }
        assert_eq!(*host.accepted.lock().unwrap(), 3, "no connection is used again");
    }
}

#[test]
fn a_connection_that_its_host_closed_is_given_up_while_idle() {
    let host = spawn_host(|_, _| Action::RespondAndClose(write_response("v")));
    let router = alone(host.addr, &settings(5.0));
    let mut client = Client::open(router.addr);
    for _ in 0..2 {
        // Must never run twice: written to a closed connection it would end as an error.
        let answer = client.request(&statement("post", "k", "15000", ""));
        assert_eq!(answer.value.as_deref(), Some("v"), "{answer:?}");
        wait_for(&router.log, "given up");
    }
}

/// A withdrawn send once counted as the host's reset and set the host aside.
#[test]
fn a_client_that_leaves_takes_its_send_back_and_nothing_else() {
    let host =
        spawn_host(
            |nth, _| if nth == 0 { Action::Ignore } else { Action::Respond(read_response("v", "reader")) },
        );
    let mut router = alone(host.addr, &settings(5.0));
    let mut client = Client::open(router.addr);
    client.write(&query(&statement("look", "k", "15000", "")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    client.0.stream.shutdown(Shutdown::Both).unwrap();
    let answer = Client::open(router.addr).request(&statement("look", "k", "15000", ""));
    assert_eq!(answer.value.as_deref(), Some("v"));
    assert!(router.stop().success());
    assert!(router.log.iter().all(|line| !line.contains("set aside")));
}

#[test]
fn bad_input_gets_a_defined_answer_and_no_send() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let router = alone(host.addr, &settings(5.0));
    let mut client = Client::open(router.addr);
    let good = statement("look", "k", "15000", "");
    let wrong = [
        "SELECT 1".to_string(),
        good.replace("c=look", "c=nope"),
        good.replace("t=acme", "t=nobody"),
        good.replace("t=acme,", ""),
        good.replace("d=15000,", ""),
        good.replace("15000", "-1"),
        good.replace("15000", "NaN"),
        good.replace("15000", "1e300"),
        good.replace("cluster=3", "cluster=x"),
        format!("{good}; DROP TABLE records"),
        good.replace("'k'", "'k"),
        good.replace("*/", ""),
        good.replace("id=", "ID="),
        good.replace("id=", "id=,x="),
        good.replace("d=15000", "d=15000,d=15000"),
        good.replace("d=15000", "d="),
        good.replace("d=15000", "d=+5"),
        good.replace("d=15000", "d=1e3"),
        good.replace("d=15000", "d=99999999999999999999999"),
        good.replace("c=look", "c=post"),
        statement("post", "k", "15000", "").replace("c=post", "c=look"),
        statement("mark", "k", "15000", ",k="),
    ];
    // Some at a time: one who goes on with nothing but faults is shown out.
    for some in wrong.chunks(8) {
        for text in some {
            assert_eq!(code(&client.request(text)), "42601", "{text}");
        }
        assert_eq!(client.request(&statement("look", "k", "15000", "")).value.as_deref(), Some("v"));
        host.queries.try_recv().unwrap();
    }
    let mut stubborn = Client::open(router.addr);
    stubborn.write(&query("frob").repeat(60));
    let answers = std::iter::from_fn(|| stubborn.read_answer()).inspect(|a| assert_eq!(code(a), "42601"));
    assert!((2..60).contains(&answers.count()));
    // A group that no list has named: nothing was sent, so trying again is harmless.
    assert_eq!(code(&client.request(&good.replace("cluster=3", "cluster=9"))), "53300");
    client.write(&[&encode::query_header(2)[..], &[0xc3, 0x28, 0]].concat());
    assert_eq!(code(&client.read_answer().unwrap()), "22021");
    // Extended messages: an error, and nothing more until the next sync.
    client.write(&[b'P', 0, 0, 0, 4, b'B', 0, 0, 0, 4, b'S', 0, 0, 0, 4]);
    assert_eq!(code(&client.read_answer().unwrap()), "0A000");
    assert!(host.queries.try_recv().is_err(), "nothing was sent");
    assert_eq!(client.request(&good).value.as_deref(), Some("v"));
    let hidden = b"Q\0\0\0\x0bfrob\0XX";
    for fatal in
        [&[b'Q', 0, 0, 0, 1][..], &[b'Q', 0x7f, 0, 0, 0], &[b'?', 0, 0, 0, 4], b"Q\0\0\0\x05x", hidden]
    {
        let mut client = Client::open(router.addr);
        client.write(fatal);
        assert_eq!(code(&client.read_answer().unwrap()), "08P01", "{fatal:?}");
        assert!(client.read_answer().is_none());
    }
    for fatal in [&[0, 0, 0, 7, 0, 3, 0, 0][..], &[0x7f, 0, 0, 0, 0, 3, 0, 0], &[0, 0, 0, 8, 0, 2, 0, 0]] {
        let mut client = Client(MessageReader::new(TcpStream::connect(router.addr).unwrap()));
        client.write(fatal);
        assert!(["08P01", "0A000"].contains(&code(&client.read_answer().unwrap())), "{fatal:?}");
        assert!(client.read_answer().is_none());
    }
}

/// Such clients once stayed for good, and took the places of those who ask.
#[test]
fn who_says_nothing_or_half_is_shown_out() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    let limits = r#"{"cores":1.0,"memory_mb":32,"sockets":64}"#;
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, limits, &settings(15.0)));
    let silent = || Client(MessageReader::new(TcpStream::connect(router.addr).unwrap()));
    let mut quiet: Vec<Client> = (0..300).map(|_| silent()).collect();
    // Far more than there is room for, and yet the next one is served.
    let look = statement("look", "k", "15000", "");
    assert_eq!(Client::open(router.addr).request(&look).value.as_deref(), Some("v"));
    assert!(quiet.iter_mut().all(|client| client.read_answer().is_none()));
    let mut half = Client::open(router.addr);
    half.write(&query(&look)[..40]);
    // What was asked before is answered before it is told why it goes.
    let mut behind = Client::open(router.addr);
    behind.write(&[&query(&look)[..], &query(&look)[..40]].concat());
    assert_eq!(behind.read_answer().unwrap().value.as_deref(), Some("v"));
    for mut client in [half, behind] {
        assert_eq!(code(&client.read_answer().unwrap()), "08P01");
        assert!(client.read_answer().is_none());
    }
    // A message too long to be taken is refused on its head, and its writer still reads why.
    let mut endless = Client::open(router.addr);
    endless.write(&[&encode::query_header(60 << 20)[..], &[b'x'; 100_000]].concat());
    assert_eq!(code(&endless.read_answer().unwrap()), "08P01");
}

/// Clients that asked once and stayed once held all connections that clients may have.
#[test]
fn in_a_crowd_who_asked_and_stays_is_shown_out() {
    let host =
        spawn_host(
            |nth, _| if nth == 0 { Action::Ignore } else { Action::Respond(read_response("v", "reader")) },
        );
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    let limits = r#"{"cores":1.0,"memory_mb":32,"sockets":64}"#;
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, limits, &settings(9.0)));
    let look = |wait| statement("look", "k", wait, "");
    // One whose op is open for longer stays.
    let mut busy = Client::open(router.addr);
    busy.write(&query(&look("4000")));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    let mut idle: Vec<Client> = (0..9).map(|_| Client::open(router.addr)).collect();
    for client in &mut idle {
        assert_eq!(client.request(&look("15000")).value.as_deref(), Some("v"));
    }
    assert!(busy.read_answer().is_some());
    // By now the first two or so have been idle for long enough.
    let mut shown_out = 0;
    for client in &idle {
        client.0.stream.set_nonblocking(true).unwrap();
        shown_out += usize::from(client.0.stream.peek(&mut [0]).is_ok_and(|n| n == 0));
        client.0.stream.set_nonblocking(false).unwrap();
    }
    assert!(shown_out > 0);
    assert_eq!(Client::open(router.addr).request(&look("15000")).value.as_deref(), Some("v"));
}

#[test]
fn the_id_of_an_open_op_is_refused_and_the_op_untouched() {
    let (tell, release) = std::sync::mpsc::channel::<()>();
    let release = std::sync::Mutex::new(release);
    let host = spawn_host(move |_, _| {
        let _ = release.lock().unwrap().recv();
        Action::Respond(read_response("v", "reader"))
    });
    let router = alone(host.addr, &settings(15.0));
    let look = statement("look", "k", "15000", "");
    let (mut first, mut other) = (Client::open(router.addr), Client::open(router.addr));
    first.write(&query(&look));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(code(&other.request(&look)), "55006");
    tell.send(()).unwrap();
    assert_eq!(first.read_answer().unwrap().value.as_deref(), Some("v"));
    assert!(host.queries.try_recv().is_err());
    // Once it is answered the id is free.
    tell.send(()).unwrap();
    assert_eq!(other.request(&look).value.as_deref(), Some("v"));
}

#[test]
fn news_of_the_list_and_its_failures() {
    let (old, new) = (
        spawn_host(|_, _| Action::Respond(read_response("old", "reader"))),
        spawn_host(|_, _| Action::Respond(read_response("new", "reader"))),
    );
    let list = spawn_list();
    let router = spawn_router(&config(list.addr, "null", LIMITS, &settings(5.0)));
    assert!(list.requests.recv_timeout(TIMEOUT).unwrap().starts_with("GET /discovery/hosts HTTP"));
    let mut client = Client::open(router.addr);
    assert_eq!(code(&client.request("")), "57P03", "not ready without a list");
    let whole = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
    list.respond(http_ok(&whole));
    let watch = list.requests.recv_timeout(TIMEOUT).unwrap();
    assert!(watch.starts_with("GET /discovery/hosts?after=41&wait_ms="), "{watch}");
    let good = statement("look", "k", "15000", "");
    while !client.request("").empty {}
    assert_eq!(client.request(&good).value.as_deref(), Some("old"));
    // Calls that fail: each is asked again, and what was known stays.
    let odd = host_entry("s-1", old.addr, "Ready").replace("127.0.0.1:", "nowhere:");
    let failures = [
        http_ok("{"),
        http_ok(&list_response(42, true, &[odd])),
        http_ok("{\"version\":42}"),
        b"HTTP/1.1 500 No\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        b"nothing of the kind\r\n\r\n".to_vec(),
    ];
    for failure in failures {
        let text = String::from_utf8_lossy(&failure).into_owned();
        list.respond(failure);
        assert_eq!(list.requests.recv_timeout(TIMEOUT).unwrap(), watch, "{text}");
    }
    assert_eq!(client.request(&good).value.as_deref(), Some("old"));
    // The same host at another address, told in chunks; the next call follows at once.
    let moved = list_response(43, false, &[host_entry("s-1", new.addr, "Ready")]);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunked = format!("{head}{:x}\r\n{moved}\r\n0\r\n\r\n", moved.len());
    list.respond(chunked.into_bytes());
    assert!(list.requests.recv_timeout(TIMEOUT).unwrap().contains("after=43"));
    while client.request(&good).value.as_deref() != Some("new") {}
    // Without a length the answer ends with its connection.
    let back = list_response(44, false, &[host_entry("s-1", old.addr, "Ready")]);
    list.respond(format!("HTTP/1.1 200 OK\r\n\r\n{back}").into_bytes());
    assert!(list.requests.recv_timeout(TIMEOUT).unwrap().contains("after=44"));
    while client.request(&good).value.as_deref() != Some("old") {}
}

/// SIGHUP once ended the router. The watch at the old address is still out when the new one is called.
#[test]
fn a_new_configuration_is_taken_whole_or_not_at_all() {
    let (old, new) = (
        spawn_host(|_, _| Action::Respond(read_response("old", "reader"))),
        spawn_host(|_, _| Action::Respond(read_response("new", "reader"))),
    );
    let (first, second) = (spawn_list(), spawn_list());
    let good = |at| config(at, "null", LIMITS, &settings(5.0));
    let mut router = spawn_router(&good(first.addr));
    first.respond(http_ok(&list_response(41, true, &[host_entry("s-1", old.addr, "Ready")])));
    while !first.requests.recv_timeout(TIMEOUT).unwrap().contains("after=41") {}
    let mut client = Client::open(router.addr);
    let look = statement("look", "k", "15000", "");
    while client.request(&look).value.as_deref() != Some("old") {}
    // Faulty files name their key and change nothing.
    let faulty = good(second.addr);
    for (from, to, named) in [("tick_s", "tock_s", "settings.tick_s"), ("{", "", "JSON")] {
        std::fs::write(&router.config_path, faulty.replacen(from, to, 1)).unwrap();
        router.signal("-HUP");
        assert!(wait_for(&router.log, "the old one stays").contains(named));
    }
    assert!(second.requests.try_recv().is_err());
    std::fs::write(&router.config_path, good(second.addr).replace("\"memory_mb\":192", "\"memory_mb\":64"))
        .unwrap();
    router.signal("-HUP");
    assert!(wait_for(&router.log, "read anew").contains("restart=[\"limits\"]"));
    // The whole list is asked for, though that of the old address was newer; its late news is dropped.
    assert!(second.requests.recv_timeout(TIMEOUT).unwrap().starts_with("GET /discovery/hosts HTTP"));
    second.respond(http_ok(&list_response(7, true, &[host_entry("s-1", new.addr, "Ready")])));
    assert!(second.requests.recv_timeout(TIMEOUT).unwrap().contains("after=7"));
    first.respond(http_ok(&list_response(42, true, &[host_entry("s-1", old.addr, "Ready")])));
    while client.request(&look).value.as_deref() != Some("new") {}
    // Told again, and told to stop at once.
    router.signal("-HUP");
    assert_eq!(client.request(&look).value.as_deref(), Some("new"));
    assert!(first.requests.try_recv().is_err(), "the old address is not called again");
    router.signal("-HUP");
    assert!(router.stop().success());
}

#[test]
fn a_request_to_stop_loses_nothing() {
    let (tell, release) = std::sync::mpsc::channel::<()>();
    let release = std::sync::Mutex::new(release);
    let host = spawn_host(move |nth, _| {
        if nth == 0 {
            let _ = release.lock().unwrap().recv();
        }
        Action::Respond(if nth == 0 { write_response("v") } else { read_response("v", "reader") })
    });
    let mut router = alone(host.addr, &settings(15.0));
    let (mut idle, mut busy) = (Client::open(router.addr), Client::open(router.addr));
    let slow = statement("post", "k", "20000", "");
    busy.write(&query(&slow));
    host.queries.recv_timeout(TIMEOUT).unwrap();
    router.signal("-TERM");
    wait_for(&router.log, "asked to stop");
    // Served and accepted as before for a while.
    let look = statement("look", "k", "15000", "");
    assert_eq!(idle.request(&look).value.as_deref(), Some("v"));
    assert_eq!(Client::open(router.addr).request(&look).value.as_deref(), Some("v"));
    // Those inside are served for longer, but nothing is taken that could not be answered before the end.
    wait_for(&router.log, "no more clients are let in");
    assert_eq!(idle.request(&look).value.as_deref(), Some("v"));
    let sent = host.queries.iter().nth(2).unwrap();
    let wait: f64 = sent.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!(wait < 3500.0, "{sent}");
    assert!(idle.read_answer().is_none(), "closed between requests");
    wait_for(&router.log, "closing clients");
    tell.send(()).unwrap();
    assert_eq!(busy.read_answer().unwrap().value.as_deref(), Some("v"));
    assert!(busy.read_answer().is_none());
    assert!(router.child.wait().unwrap().success());
}

/// Ops given up on a beat, not on an event of their own, once stayed for ever: a router never ended.
#[test]
fn what_is_answered_leaves_nothing_behind() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut router = alone(free, &settings(0.1));
    for kind in ["look", "post", "mark"] {
        let answer = Client::open(router.addr).request(&statement(kind, "k", "200", ""));
        assert_eq!(code(&answer), "53300");
    }
    router.signal("-TERM");
    let line = wait_for(&router.log, "stopped");
    for gone in [" open=0 ", " clients=0 ", " held=0 "] {
        assert!(format!("{line} ").replace(" stopped", "").contains(gone), "{line}");
    }
    assert!(router.child.wait().unwrap().success());
}

#[test]
fn too_many_clients_cost_the_idlest() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let known = list_response(1, true, &[host_entry("s-1", host.addr, "Ready")]);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":64}"#;
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, limits, &settings(15.0)));
    let look = statement("look", "k", "15000", "");
    // Far more than it can hold, each used once and kept.
    let mut kept = Vec::new();
    for _ in 0..100 {
        let mut client = Client::open(router.addr);
        assert_eq!(client.request(&look).value.as_deref(), Some("v"));
        kept.push(client);
    }
    let mut first = kept.swap_remove(0);
    assert!(first.read_answer().is_none(), "the idlest was closed");
}

#[test]
fn a_client_that_does_not_read_delays_nobody() {
    let long = "x".repeat(60_000);
    let host = spawn_host(move |_, _| Action::Respond(read_response(&long, "reader")));
    let router = alone(host.addr, &settings(15.0));
    let look = statement("look", "k", "15000", "");
    let mut deaf = Client::open(router.addr);
    deaf.0.stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
    let many = query(&look).repeat(64);
    for _ in 0..4 {
        // Cut short where the router takes no more of it.
        drop(std::io::Write::write(&mut deaf.0.stream, &many));
    }
    // Its own ops may crowd the host at first; once it is stuck, others are served as if it were not there.
    let mut served = 0;
    while served < 20 {
        let length = Client::open(router.addr).request(&look).value.map(|v| v.len());
        served = if length == Some(60_000) { served + 1 } else { 0 };
    }
}

/// What a client does not take at once is written behind, in order and to the last byte.
#[test]
fn a_client_that_reads_late_gets_every_answer_whole() {
    let host = spawn_host(|_, text| {
        let key = text.split('\'').nth(1).unwrap();
        Action::Respond(read_response(&format!("{key}:{}", "x".repeat(60_000)), "reader"))
    });
    let router = alone(host.addr, &settings(15.0));
    let mut client = Client::open(router.addr);
    let many: Vec<u8> =
        (0..60).flat_map(|n| query(&statement("look", &format!("{n}"), "15000", ""))).collect();
    client.write(&many);
    // As many as one client may have open have been asked before it reads.
    (0..20).for_each(|_| drop(host.queries.recv_timeout(TIMEOUT).unwrap()));
    let mut served = 0;
    for n in 0..60 {
        let answer = client.read_answer().unwrap();
        // The rest was turned away, as there were so many.
        served += usize::from(answer.value.is_some());
        let whole = answer.value.map(|v| v.starts_with(&format!("{n}:")) && v.len() > 60_000);
        assert!(whole.unwrap_or(answer.code.as_deref() == Some("53300")), "{n}");
    }
    assert!(served >= 20, "{served}");
}

#[test]
fn faulty_configuration_ends_in_one_line_that_names_it() {
    let known = list_response(1, true, &[]);
    let list = "127.0.0.1:1".parse().unwrap();
    let good = config(list, &known, LIMITS, &settings(1.0));
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = held.local_addr().unwrap();
    let cases = [
        (good.replace("\"listen\"", "\"listen_\""), "listen"),
        (good.replace("127.0.0.1:0", "nowhere"), "listen"),
        (good.replace("\"sockets\":1024", "\"sockets\":3"), "limits.sockets"),
        (good.replace("\"memory_mb\":192", "\"memory_mb\":\"much\""), "limits.memory_mb"),
        (good.replace("8c1f30d27a5be964", "seed"), "seed"),
        (good.replace("\"tick_s\":0.005", "\"tick_s\":-1"), "settings.tick_s"),
        (good.replace("\"max_attempts\":4,", ""), "settings.limits.max_attempts"),
        (good.replace("\"conn_idle_s\":30", "\"conn_idle_s\":-1"), "settings.limits.conn_idle_s"),
        (
            good.replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":1e308"),
            "settings.limits.dial_timeout_s",
        ),
        (good.replace("\"sockets\":1024", "\"sockets\":18446744073709551615"), "limits.sockets"),
        (good.replace("\"effect\":\"free\"", "\"effect\":\"odd\""), "effect"),
        (good.replace("\"servers\"", "\"hosts\""), "known"),
        (good.replace("127.0.0.1:0", &taken.to_string()), &taken.to_string()),
        ("{".to_string(), "JSON"),
    ];
    for (text, named) in cases {
        let (mut child, until) = (spawn_program(&text, &[]).0, Instant::now() + TIMEOUT);
        while child.try_wait().unwrap().is_none() {
            if Instant::now() > until {
                drop(child.kill());
                panic!("{named}: it has started all the same");
            }
            std::thread::yield_now();
        }
        let out = child.wait_with_output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        let last = said.lines().last().unwrap();
        assert!(!out.status.success() && last.contains(named), "{named}: {said}");
        assert!(!said.contains("panicked"), "{said}");
    }
    drop(held);
    let unset = std::process::Command::new(env!("CARGO_BIN_EXE_magpiewell-router"))
        .env_remove("BALANCER_CONFIG")
        .stderr(Stdio::piped())
        .output()
        .unwrap();
    assert!(!unset.status.success() && String::from_utf8(unset.stderr).unwrap().contains("BALANCER_CONFIG"));
}

/// Whatever clients write, the router lives and serves others.
#[test]
fn any_bytes_from_clients() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let router = alone(host.addr, &settings(15.0));
    let look = statement("look", "k", "15000", "");
    let config =
        Config { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() };
    let kinds = prop::sample::select(b"QPBDESXdcfFH?Q".to_vec());
    let part = (kinds, prop::collection::vec(any::<u8>(), 0..40), 0..6u32);
    let strategy = prop::collection::vec(part, 0..6);
    proptest!(config, |(parts in strategy)| {
        let mut bytes = Vec::new();
        for (kind, body, off) in &parts {
            bytes.push(*kind);
            bytes.extend_from_slice(&(body.len() as u32 + 3 + (off % 3)).to_be_bytes());
            bytes.extend_from_slice(body);
        }
        let mut odd = Client::connect(router.addr, &bytes);
        drop(odd.0.stream.shutdown(Shutdown::Write));
        while odd.0.next_message().is_some() {}
        let answer = Client::open(router.addr).request(&look);
        prop_assert_eq!(answer.value.as_deref(), Some("v"));
    });
}

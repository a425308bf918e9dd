//! The list watch when the list service falls silent, its responses are truncated or reset, or its version
//! goes back: changes are not missed for longer than the platform allows for a silent watch, and no
//! incomplete response is applied.

use crate::races::saturated_host;
use crate::stand_in::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Changes that a silent watch misses count as delivered this long after it fell silent, or this long after
/// the end of its wait if that is later.
const COUNTED_DELIVERED_MS: u64 = 6_000;
const COUNTED_DELIVERED_AFTER_WAIT_MS: u64 = 2_000;

fn spawn_old_and_new_host() -> (Host, Host) {
    (
        spawn_host(|_, _| Action::Respond(read_response("old", "reader"))),
        spawn_host(|_, _| Action::Respond(read_response("new", "reader"))),
    )
}

/// Starts a router that has received version 41 of the list, with this one host, and watches for changes.
fn spawn_watching_router(list: &List, host: SocketAddr) -> Router {
    let router = spawn_router(&config(list.addr, "null", LIMITS, &settings(5.0)));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"));
    list.respond(http_ok(&list_response(41, true, &[host_entry("s-1", host, "Ready")])));
    assert!(list.next_request().contains("?after=41&"));
    router
}

fn request_value(client: &mut Client) -> Option<String> {
    client.request(&statement("look", "k", "15000", "")).value
}

/// A list change that moves the host to this address.
fn moved_host(version: u64, host: SocketAddr) -> String {
    list_response(version, false, &[host_entry("s-1", host, "Ready")])
}

#[test]
fn silent_watch_is_reopened_before_missed_changes_count_as_delivered() {
    let (old, new) = spawn_old_and_new_host();
    let list = spawn_list();
    let router = spawn_router(&config(list.addr, "null", LIMITS, &settings(5.0)));
    list.next_request();
    list.respond(http_ok(&list_response(
        41,
        true,
        &[host_entry("s-1", old.addr, "Ready"), host_entry("s-2", new.addr, "Ready")],
    )));
    let watch = list.next_request();
    let wait: u64 = watch.split("wait_ms=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
    // Otherwise the time after the end of the wait would be the later one, and apply.
    assert!(wait + COUNTED_DELIVERED_AFTER_WAIT_MS < COUNTED_DELIVERED_MS, "{watch}");
    list.replies.send(Reply::Stall(Vec::new())).unwrap();
    assert_eq!(list.next_request(), watch, "on another connection");
    list.respond(http_ok(&list_response(42, false, &[host_entry("s-1", old.addr, "Terminating")])));
    assert!(list.next_request().contains("?after=42&"));
    let mut client = Client::open(router.addr);
    while request_value(&mut client).as_deref() != Some("new") {}
    assert!((0..20).all(|_| request_value(&mut client).as_deref() == Some("new")));
}

#[test]
fn router_with_a_known_list_is_ready_while_the_list_service_is_silent() {
    let (old, new) = spawn_old_and_new_host();
    let list = spawn_list();
    list.replies.send(Reply::Stall(Vec::new())).unwrap();
    let known = list_response(40, true, &[host_entry("s-1", old.addr, "Ready")]);
    let router = spawn_router(&config(list.addr, &known, LIMITS, &settings(5.0)));
    assert!(list.next_request().contains("?after=40&"));
    // A client that may connect before the router is ready, with its first query sent right after the startup
    // message.
    let look = statement("look", "k", "15000", "");
    let mut first = Client::connect(router.addr, &query(&look));
    assert_eq!(first.read_answer(), Some(Answer::default()));
    assert_eq!(first.read_answer().unwrap().value.as_deref(), Some("old"));
    assert!(first.request("").empty);
    assert!(list.next_request().contains("?after=40&"), "a silent request is repeated");
    list.respond(http_ok(&moved_host(41, new.addr)));
    while request_value(&mut first).as_deref() != Some("new") {}
}

/// Bytes that keep arriving keep a request from counting as silent, though it may never bring a change.
#[test]
fn trickling_list_response_is_abandoned_and_requested_again() {
    let (old, new) = spawn_old_and_new_host();
    let change = moved_host(42, new.addr);
    let padded = format!("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{change}");
    for known in [true, false] {
        let list = spawn_list();
        let full = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
        let known = if known { full.as_str() } else { "null" };
        let router = spawn_router(&config(list.addr, known, LIMITS, &settings(5.0)));
        let first = list.next_request();
        list.replies.send(Reply::Trickle(padded.clone().into_bytes())).unwrap();
        assert_eq!(list.next_request(), first, "on another connection");
        let changed = full.replace("\"version\":41", "\"version\":42");
        let changed = changed.replace(&old.addr.to_string(), &new.addr.to_string());
        list.respond(http_ok(&changed));
        // If the machine stalled meanwhile, the request is repeated as before.
        while !list.next_request().contains("?after=42&") {
            list.respond(http_ok(&changed));
        }
        let mut client = Client::open(router.addr);
        while !client.request("").empty {}
        while request_value(&mut client).as_deref() != Some("new") {}
    }
}

/// A connection that never opens must not block a request for as long as the system keeps trying.
#[test]
fn list_connection_is_retried_until_it_opens() {
    let (old, new) = spawn_old_and_new_host();
    let saturated = saturated_host();
    let known = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
    let router = spawn_router(&config(saturated.addr, &known, LIMITS, &settings(5.0)));
    wait_for(&router.log, "list failed");
    let mut client = Client::open(router.addr);
    assert_eq!(request_value(&mut client).as_deref(), Some("old"));
    let list = spawn_list_on(saturated.into_listener());
    assert!(list.next_request().contains("?after=41&"));
    list.respond(http_ok(&moved_host(42, new.addr)));
    while request_value(&mut client).as_deref() != Some("new") {}
}

/// A reset does not end a response, whatever was received before it; nor does the end of the connection
/// inside a response.
#[test]
fn truncated_list_response_is_ignored_and_requested_again() {
    let (old, new) = spawn_old_and_new_host();
    let list = spawn_list();
    let router = spawn_watching_router(&list, old.addr);
    let change = moved_host(42, new.addr);
    let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{change}");
    let truncated = &without_length[..without_length.len() - 1];
    let short_body = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change}", change.len() + 1);
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{change}", change.len());
    for reply in [
        Reply::Reset(without_length.clone().into_bytes()),
        Reply::Reset(short_body.clone().into_bytes()),
        Reply::Reset(chunked.clone().into_bytes()),
        Reply::Reset(Vec::new()),
        Reply::Respond(truncated.as_bytes().to_vec()),
        Reply::Respond(chunked.into_bytes()),
        Reply::Stall(without_length.clone().into_bytes()),
        Reply::Stall(short_body.into_bytes()),
    ] {
        list.replies.send(reply).unwrap();
        assert!(list.next_request().contains("?after=41&"), "the truncated response was applied");
    }
    let mut client = Client::open(router.addr);
    assert_eq!(request_value(&mut client).as_deref(), Some("old"));
    // With an orderly close after the last byte, the same response is complete.
    list.respond(without_length.into_bytes());
    assert!(list.next_request().contains("?after=42&"));
    while request_value(&mut client).as_deref() != Some("new") {}
}

/// Applied, a late response would bring back hosts that drain; ignored for good, a service that has restarted
/// with lower versions would never be followed again.
#[test]
fn older_list_version_is_ignored_and_the_full_list_is_requested() {
    let (old, new) = spawn_old_and_new_host();
    let list = spawn_list();
    let router = spawn_watching_router(&list, old.addr);
    list.respond(http_ok(&moved_host(42, new.addr)));
    assert!(list.next_request().contains("?after=42&"));
    let mut client = Client::open(router.addr);
    while request_value(&mut client).as_deref() != Some("new") {}
    list.respond(http_ok(&list_response(41, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"), "the full list");
    assert_eq!(request_value(&mut client).as_deref(), Some("new"));
    // The same version with other white space changes nothing.
    let same_version = list_response(42, true, &[host_entry("s-1", new.addr, "Ready")]).replace(',', ",\n  ");
    list.respond(http_ok(&same_version));
    assert!(list.next_request().contains("?after=42&"));
    list.respond(http_ok(&same_version));
    assert!(list.next_request().contains("?after=42&"));
    // After a restart of the service, a full list is applied whatever its version.
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"));
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().contains("?after=1&"));
    while request_value(&mut client).as_deref() != Some("old") {}
}

/// Whether the watch at the old address waits for a response or, after a failure, for its next request.
#[test]
fn new_list_address_is_requested_at_once_whatever_the_old_watch_waits_for() {
    let (old, new) = spawn_old_and_new_host();
    for silent in [true, false] {
        let (first, second) = (spawn_list(), spawn_list());
        let router = spawn_watching_router(&first, old.addr);
        let reply = if silent { Reply::Stall(Vec::new()) } else { Reply::Reset(Vec::new()) };
        first.replies.send(reply).unwrap();
        std::fs::write(&router.config_path, config(second.addr, "null", LIMITS, &settings(5.0))).unwrap();
        router.signal("-HUP");
        assert!(second.next_request().starts_with("GET /discovery/hosts HTTP"));
        second.respond(http_ok(&list_response(7, true, &[host_entry("s-1", new.addr, "Ready")])));
        assert!(second.next_request().contains("?after=7&"));
        // A response from the old address no longer has any effect.
        first.respond(http_ok(&moved_host(42, old.addr)));
        let mut client = Client::open(router.addr);
        while request_value(&mut client).as_deref() != Some("new") {}
        assert!((0..20).all(|_| request_value(&mut client).as_deref() == Some("new")));
    }
}

/// Without a known version each request once had a second, for ever, and a service that took longer was never
/// heard.
#[test]
fn list_service_that_takes_over_a_second_to_answer_is_heard() {
    let (old, new) = spawn_old_and_new_host();
    let (first, slow) = (spawn_list(), spawn_list());
    let router = spawn_watching_router(&first, old.addr);
    std::fs::write(&router.config_path, config(slow.addr, "null", LIMITS, &settings(5.0))).unwrap();
    router.signal("-HUP");
    assert!(slow.next_request().starts_with("GET /discovery/hosts HTTP"));
    // No other request comes meanwhile, and a watch after it waits as much longer for its answer.
    assert!(slow.requests.recv_timeout(Duration::from_millis(1_800)).is_err());
    slow.respond(http_ok(&list_response(42, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(slow.next_request().contains("?after=42&"));
    assert!(slow.requests.recv_timeout(Duration::from_millis(3_500)).is_err());
    slow.respond(http_ok(&moved_host(43, new.addr)));
    assert!(slow.next_request().contains("?after=43&"));
    let mut client = Client::open(router.addr);
    while request_value(&mut client).as_deref() != Some("new") {}
}

/// The limit on connections follows from the granted memory; a list that exceeds it is logged, not truncated
/// silently.
#[test]
fn list_with_more_hosts_than_connections_is_logged() {
    const HOSTS: usize = 80;
    let limits = LIMITS.replace("\"memory_mb\":192", "\"memory_mb\":32");
    let addr = |n: usize| SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
    let entries: Vec<String> = (0..HOSTS).map(|n| host_entry(&format!("s-{n}"), addr(n), "Ready")).collect();
    let known = list_response(41, true, &entries);
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, &limits, &settings(5.0)));
    let line = wait_for(&router.log, "more hosts than connections may be open");
    assert!(line.contains("hosts=80") && line.contains("connections=68"), "{line}");
}

/// An endless list response once took half of a small router's memory, and as much again to parse it.
#[test]
fn endless_list_response_uses_bounded_memory() {
    let (old, _) = spawn_old_and_new_host();
    let list = spawn_list();
    let limits = LIMITS.replace("\"memory_mb\":192", "\"memory_mb\":32");
    let known = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
    let router = spawn_router(&config(list.addr, &known, &limits, &settings(5.0)));
    let chunk = format!("10000\r\n{}\r\n", " ".repeat(0x10000));
    let endless =
        [String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), chunk.repeat(1_000)].concat();
    for _ in 0..3 {
        assert!(list.next_request().contains("?after=41&"));
        list.replies.send(Reply::Respond(endless.clone().into_bytes())).unwrap();
    }
    assert!(wait_for(&router.log, "list failed").contains("longer than"));
    assert!(list.next_request().contains("?after=41&"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap();
    let peak = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    let peak: usize = peak.split_whitespace().nth(1).unwrap().parse().unwrap();
    assert!(peak < 16 * 1024, "{peak} KiB of 32 MiB");
    assert_eq!(request_value(&mut Client::open(router.addr)).as_deref(), Some("old"));
}

/// The first reload blocks on reading a file without end; the second, requested meanwhile, is done once the
/// first is over.
#[test]
fn reload_requested_while_another_hangs_is_not_lost() {
    let (old, _) = spawn_old_and_new_host();
    let (first, second) = (spawn_list(), spawn_list());
    let router = spawn_watching_router(&first, old.addr);
    let fifo_link = router.config_path.with_extension("aside");
    std::fs::remove_file(&router.config_path).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&router.config_path).status().unwrap().success());
    std::fs::hard_link(&router.config_path, &fifo_link).unwrap();
    router.signal("-HUP");
    // Opening the fifo blocks until the router reads it.
    let mut writer = std::fs::OpenOptions::new().write(true).open(&fifo_link).unwrap();
    let new_path = router.config_path.with_extension("new");
    std::fs::write(&new_path, config(second.addr, "null", LIMITS, &settings(5.0))).unwrap();
    std::fs::rename(&new_path, &router.config_path).unwrap();
    router.signal("-HUP");
    std::io::Write::write_all(&mut writer, b"{").unwrap();
    drop(writer);
    wait_for(&router.log, "the old one stays");
    assert!(second.next_request().starts_with("GET /discovery/hosts HTTP"));
    std::fs::remove_file(fifo_link).unwrap();
}

//! The watch of the list when it falls silent, is cut or reset, or goes back: what the list has told since is
//! not missed for longer than the platform's clock for silence allows, and nothing that is not whole is taken
//! for news.

use crate::races::saturated_host;
use crate::stand_in::*;
use std::net::SocketAddr;

/// What a silent watch misses counts as told so long after it fell silent, or so long after its wait if that
/// is later.
const TOLD_MS: u64 = 6_000;
const TOLD_BEHIND_WAIT_MS: u64 = 2_000;

fn pair() -> (Host, Host) {
    (
        spawn_host(|_, _| Action::Respond(read_response("old", "reader"))),
        spawn_host(|_, _| Action::Respond(read_response("new", "reader"))),
    )
}

fn begin(list: &List, host: SocketAddr) -> Router {
    let router = spawn_router(&config(list.addr, "null", LIMITS, &settings(5.0)));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"));
    list.respond(http_ok(&list_response(41, true, &[host_entry("s-1", host, "Ready")])));
    assert!(list.next_request().contains("?after=41&"));
    router
}

fn ask(client: &mut Client) -> Option<String> {
    client.request(&statement("look", "k", "15000", "")).value
}

fn moved(version: u64, host: SocketAddr) -> String {
    list_response(version, false, &[host_entry("s-1", host, "Ready")])
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
    let (old, new) = pair();
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
    // Else it is the later of the two clocks that binds.
    assert!(wait + TOLD_BEHIND_WAIT_MS < TOLD_MS, "{watch}");
    list.replies.send(Reply::Stall(Vec::new())).unwrap();
    assert_eq!(list.next_request(), watch, "on another connection");
    list.respond(http_ok(&list_response(42, false, &[host_entry("s-1", old.addr, "Terminating")])));
    assert!(list.next_request().contains("?after=42&"));
    let mut client = Client::open(router.addr);
    while ask(&mut client).as_deref() != Some("new") {}
    assert!((0..20).all(|_| ask(&mut client).as_deref() == Some("new")));
}

#[test]
fn a_router_that_knows_a_list_is_ready_while_the_list_is_silent_and_learns_at_its_return() {
    let (old, new) = pair();
    let list = spawn_list();
    list.replies.send(Reply::Stall(Vec::new())).unwrap();
    let known = list_response(40, true, &[host_entry("s-1", old.addr, "Ready")]);
    let router = spawn_router(&config(list.addr, &known, LIMITS, &settings(5.0)));
    assert!(list.next_request().contains("?after=40&"));
    // Those that came before it was ready, and one with its first query in its opening bytes.
    let look = statement("look", "k", "15000", "");
    let mut first = Client::connect(router.addr, &query(&look));
    assert_eq!(first.read_answer(), Some(Answer::default()));
    assert_eq!(first.read_answer().unwrap().value.as_deref(), Some("old"));
    assert!(first.request("").empty);
    assert!(list.next_request().contains("?after=40&"), "silent, so called anew");
    list.respond(http_ok(&moved(41, new.addr)));
    while ask(&mut first).as_deref() != Some("new") {}
}

/// Bytes that go on coming keep a call from falling silent, and it may bring no news all the same.
#[test]
fn an_answer_that_trickles_is_given_up_and_the_list_called_anew() {
    let (old, new) = pair();
    let whole = moved(42, new.addr);
    let padded = format!("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{whole}");
    for known in [true, false] {
        let list = spawn_list();
        let page = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
        let known = if known { page.as_str() } else { "null" };
        let router = spawn_router(&config(list.addr, known, LIMITS, &settings(5.0)));
        let first = list.next_request();
        list.replies.send(Reply::Trickle(padded.clone().into_bytes())).unwrap();
        assert_eq!(list.next_request(), first, "on another connection");
        let news = page.replace("\"version\":41", "\"version\":42");
        let news = news.replace(&old.addr.to_string(), &new.addr.to_string());
        list.respond(http_ok(&news));
        // Called anew as before where the machine stood still meanwhile.
        while !list.next_request().contains("?after=42&") {
            list.respond(http_ok(&news));
        }
        let mut client = Client::open(router.addr);
        while !client.request("").empty {}
        while ask(&mut client).as_deref() != Some("new") {}
    }
}

/// A connection that never comes up must not hold a call for as long as the system goes on trying.
#[test]
fn a_list_that_takes_no_connection_is_called_until_it_does() {
    let (old, new) = pair();
    let queue = saturated_host();
    let known = list_response(41, true, &[host_entry("s-1", old.addr, "Ready")]);
    let router = spawn_router(&config(queue.addr, &known, LIMITS, &settings(5.0)));
    wait_for(&router.log, "list failed");
    let mut client = Client::open(router.addr);
    assert_eq!(ask(&mut client).as_deref(), Some("old"));
    let list = spawn_list_on(queue.into_listener());
    assert!(list.next_request().contains("?after=41&"));
    list.respond(http_ok(&moved(42, new.addr)));
    while ask(&mut client).as_deref() != Some("new") {}
}

/// A reset is no end, whatever came before it; nor is a connection's end inside an answer.
#[test]
fn an_answer_that_is_cut_is_no_news_and_is_asked_for_again() {
    let (old, new) = pair();
    let list = spawn_list();
    let router = begin(&list, old.addr);
    let whole = moved(42, new.addr);
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n{whole}");
    let cut = &endless[..endless.len() - 1];
    let long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len() + 1);
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{whole}", whole.len());
    for reply in [
        Reply::Reset(endless.clone().into_bytes()),
        Reply::Reset(long.clone().into_bytes()),
        Reply::Reset(chunked.clone().into_bytes()),
        Reply::Reset(Vec::new()),
        Reply::Respond(cut.as_bytes().to_vec()),
        Reply::Respond(chunked.into_bytes()),
        Reply::Stall(endless.clone().into_bytes()),
        Reply::Stall(long.into_bytes()),
    ] {
        list.replies.send(reply).unwrap();
        assert!(list.next_request().contains("?after=41&"), "taken for news");
    }
    let mut client = Client::open(router.addr);
    assert_eq!(ask(&mut client).as_deref(), Some("old"));
    // Closed in order behind all of it, it is whole.
    list.respond(endless.into_bytes());
    assert!(list.next_request().contains("?after=42&"));
    while ask(&mut client).as_deref() != Some("new") {}
}

/// A late page would bring hosts back that drain; a service that has begun anew would never be heard again.
#[test]
fn a_page_that_is_older_than_the_list_is_no_news_and_the_whole_list_is_asked_for() {
    let (old, new) = pair();
    let list = spawn_list();
    let router = begin(&list, old.addr);
    list.respond(http_ok(&moved(42, new.addr)));
    assert!(list.next_request().contains("?after=42&"));
    let mut client = Client::open(router.addr);
    while ask(&mut client).as_deref() != Some("new") {}
    list.respond(http_ok(&list_response(41, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"), "the whole list");
    assert_eq!(ask(&mut client).as_deref(), Some("new"));
    // The same version again, indented, changes nothing.
    let again = list_response(42, true, &[host_entry("s-1", new.addr, "Ready")]).replace(',', ",\n  ");
    list.respond(http_ok(&again));
    assert!(list.next_request().contains("?after=42&"));
    list.respond(http_ok(&again));
    assert!(list.next_request().contains("?after=42&"));
    // Begun anew: told whole it is taken, whatever its version.
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().starts_with("GET /discovery/hosts HTTP"));
    list.respond(http_ok(&list_response(1, true, &[host_entry("s-1", old.addr, "Ready")])));
    assert!(list.next_request().contains("?after=1&"));
    while ask(&mut client).as_deref() != Some("old") {}
}

/// Whatever the watch at the old address waits for: an answer, or its next call after a failure.
#[test]
fn a_new_address_is_called_at_once_whatever_the_old_watch_is_in() {
    let (old, new) = pair();
    for silent in [true, false] {
        let (first, second) = (spawn_list(), spawn_list());
        let router = begin(&first, old.addr);
        let reply = if silent { Reply::Stall(Vec::new()) } else { Reply::Reset(Vec::new()) };
        first.replies.send(reply).unwrap();
        std::fs::write(&router.config_path, config(second.addr, "null", LIMITS, &settings(5.0))).unwrap();
        router.signal("-HUP");
        assert!(second.next_request().starts_with("GET /discovery/hosts HTTP"));
        second.respond(http_ok(&list_response(7, true, &[host_entry("s-1", new.addr, "Ready")])));
        assert!(second.next_request().contains("?after=7&"));
        // A page that the old address still has can't come any more.
        first.respond(http_ok(&moved(42, old.addr)));
        let mut client = Client::open(router.addr);
        while ask(&mut client).as_deref() != Some("new") {}
        assert!((0..20).all(|_| ask(&mut client).as_deref() == Some("new")));
    }
}

/// The bound on connections follows from the memory granted; a list that is larger is named, not cut short
/// without a word.
#[test]
fn more_hosts_than_connections_are_named() {
    const HOSTS: usize = 80;
    let limits = LIMITS.replace("\"memory_mb\":192", "\"memory_mb\":32");
    let addr = |n: usize| SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
    let entries: Vec<String> = (0..HOSTS).map(|n| host_entry(&format!("s-{n}"), addr(n), "Ready")).collect();
    let known = list_response(41, true, &entries);
    let router = spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, &limits, &settings(5.0)));
    let line = wait_for(&router.log, "more hosts than connections may be open");
    assert!(line.contains("hosts=80") && line.contains("connections=68"), "{line}");
}

/// A list that never ends once took half of a small router's memory, and as much again to look at it.
#[test]
fn a_list_without_end_costs_a_bounded_part_of_the_memory() {
    let (old, _) = pair();
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
    assert_eq!(ask(&mut Client::open(router.addr)).as_deref(), Some("old"));
}

/// The first reads a file that does not end; what is asked for meanwhile is read once that is over.
#[test]
fn a_reload_that_is_asked_for_while_another_hangs_is_not_lost() {
    let (old, _) = pair();
    let (first, second) = (spawn_list(), spawn_list());
    let router = begin(&first, old.addr);
    let aside = router.config_path.with_extension("aside");
    std::fs::remove_file(&router.config_path).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&router.config_path).status().unwrap().success());
    std::fs::hard_link(&router.config_path, &aside).unwrap();
    router.signal("-HUP");
    // Opens once the router reads it.
    let mut hangs = std::fs::OpenOptions::new().write(true).open(&aside).unwrap();
    let new = router.config_path.with_extension("new");
    std::fs::write(&new, config(second.addr, "null", LIMITS, &settings(5.0))).unwrap();
    std::fs::rename(&new, &router.config_path).unwrap();
    router.signal("-HUP");
    std::io::Write::write_all(&mut hangs, b"{").unwrap();
    drop(hangs);
    wait_for(&router.log, "the old one stays");
    assert!(second.next_request().starts_with("GET /discovery/hosts HTTP"));
    std::fs::remove_file(aside).unwrap();
}

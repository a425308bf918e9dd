//! While the list service is unreachable: clients that use up the descriptors, and routers that are
//! restarted.

use crate::stand_in::*;
use std::net::SocketAddr;
use std::thread;

/// The descriptor limit of the router's process: the least that a configuration may grant.
const DESCRIPTORS: usize = 64;
/// Clients that connect at once: more than there are places for.
const CROWD: usize = 200;
/// Ops that their host leaves unanswered: they occupy most of the connections to hosts.
const UNANSWERED_OPS: usize = 8;
/// List requests that fail meanwhile.
const FAILED_REQUESTS: usize = 4;
const PROCESSES: usize = 10;
/// Requests for the full list that fit into the time within which a process has to be ready: see the tests of
/// `limits`.
const REQUESTS_UNTIL_READY: usize = 5;

/// Settings under which no op times out during a test.
fn settings_without_timeouts() -> String {
    settings(3000.0).replace("\"deadline_s\":20", "\"deadline_s\":3000")
}

fn look_statement(key: &str) -> String {
    statement("look", key, "3000000", "")
}

/// Connects, sends a query at once and does not wait for the answer.
fn idle_client(addr: SocketAddr) -> Client {
    Client::connect(addr, &query(&look_statement("idle")))
}

/// Each list request needs a descriptor. Clients, hosts and connections being closed could once take more
/// than were granted in total.
#[test]
fn clients_that_exhaust_descriptors_do_not_block_list_requests() {
    let spawn_answering_host =
        |value: &'static str| spawn_host(move |_, _| Action::Respond(read_response(value, "reader")));
    let (old, new, silent_host, list) = (
        spawn_answering_host("old"),
        spawn_answering_host("new"),
        spawn_host(|_, _| Action::Ignore),
        spawn_list(),
    );
    let limits = format!(r#"{{"cores":1.0,"memory_mb":192,"sockets":{DESCRIPTORS}}}"#);
    let other_group = host_entry("s-2", silent_host.addr, "Ready").replace("\"cell\":3", "\"cell\":9");
    let known = list_response(41, true, &[host_entry("s-1", old.addr, "Ready"), other_group]);
    let router = spawn_router_with_descriptor_limit(
        DESCRIPTORS,
        &config(list.addr, &known, &limits, &settings_without_timeouts()),
    );
    let mut busy = Client::open(router.addr);
    (0..UNANSWERED_OPS)
        .for_each(|_| busy.write(&query(&look_statement("held").replace("cluster=3", "cluster=9"))));
    silent_host.queries.recv_timeout(TIMEOUT).unwrap();
    let _crowd: Vec<Client> = (0..CROWD).map(|_| idle_client(router.addr)).collect();
    for _ in 0..FAILED_REQUESTS {
        assert!(list.next_request().contains("?after=41&"));
        list.replies.send(Reply::Reset(Vec::new())).unwrap();
    }
    assert!(list.next_request().contains("?after=41&"));
    list.respond(http_ok(&list_response(42, false, &[host_entry("s-1", new.addr, "Ready")])));
    assert!(list.next_request().contains("?after=42&"));
    // Queued clients are accepted as others are disconnected.
    new.queries.recv_timeout(TIMEOUT).unwrap();
    let exhausted: Vec<String> = router.log.try_iter().filter(|line| line.contains("os error 24")).collect();
    assert!(exhausted.is_empty(), "{exhausted:?}");
}

/// How the list service reacts to the first request of a restarted process; `None` if it responds properly.
fn first_reply(index: usize, body: &str) -> Option<Reply> {
    let full = http_ok(body);
    match index % 5 {
        0 => Some(Reply::Stall(Vec::new())),
        1 => Some(Reply::Reset(Vec::new())),
        2 => Some(Reply::Respond(b"HTTP/1.1 503 Not now\r\n\r\n".to_vec())),
        3 => Some(Reply::Stall(full[..full.len() - 1].to_vec())),
        _ => None,
    }
}

/// Each process is killed with a client connected and restarted at its own address. One that knows a list is
/// ready although the list service does not answer; one that knows none is ready once a request has returned
/// the list, however the first request ended.
#[test]
fn killed_routers_are_ready_after_restart_within_a_few_list_requests() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let full_list = list_response(41, true, &[host_entry("s-1", host.addr, "Ready")]);
    let spawn_router_at = |listen: &str, list: &List, known: &str| {
        spawn_router(&config(list.addr, known, LIMITS, &settings(5.0)).replace("127.0.0.1:0", listen))
    };
    let mut running: Vec<(Router, Client)> = Vec::new();
    for _ in 0..PROCESSES {
        let list = spawn_list();
        let router = spawn_router_at("127.0.0.1:0", &list, &full_list);
        let mut client = Client::open(router.addr);
        assert_eq!(client.request(&statement("look", "k", "15000", "")).value.as_deref(), Some("v"));
        running.push((router, client));
    }
    running.iter_mut().for_each(|(router, _)| router.child.kill().unwrap());
    let restarts: Vec<_> = running.into_iter().enumerate().collect();
    thread::scope(|scope| {
        for (index, (mut old, mut client)) in restarts {
            let (spawn_router_at, full_list) = (&spawn_router_at, &full_list);
            scope.spawn(move || {
                old.child.wait().unwrap();
                assert!(client.read_answer().is_none());
                let list = spawn_list();
                let has_known_list = index < PROCESSES / 2;
                let known = if has_known_list { full_list.as_str() } else { "null" };
                let new = spawn_router_at(&old.addr.to_string(), &list, known);
                if !has_known_list {
                    let answers = (0..REQUESTS_UNTIL_READY).map(|_| Reply::Respond(http_ok(full_list)));
                    let mut replies = first_reply(index, full_list).into_iter().chain(answers);
                    // A machine that stalls for a second makes a request fail too; then the next one is
                    // answered.
                    while !list.next_request().contains("?after=41&") {
                        list.replies
                            .send(replies.next().expect("more requests than fit into the time"))
                            .unwrap();
                    }
                }
                let mut client = Client::open(new.addr);
                while !client.request("").empty {}
                assert_eq!(client.request(&statement("look", "k", "15000", "")).value.as_deref(), Some("v"));
            });
        }
    });
}

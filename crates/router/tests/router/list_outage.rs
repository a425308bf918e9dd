//! While the list is out of reach: clients that fill the descriptors meanwhile, and processes that are
//! started anew.

use crate::stand_in::*;
use std::net::SocketAddr;
use std::thread;

/// Descriptors that the system lets the router have: the least that a configuration may grant.
const DESCRIPTORS: usize = 64;
/// Clients that come at once: more than there is room for. Ops that their host holds: most of the connections
/// to hosts.
const CROWD: usize = 200;
const HELD_OPS: usize = 8;
/// Calls of the list that fail meanwhile.
const FAILED_CALLS: usize = 4;
const PROCESSES: usize = 10;
/// Calls of the whole list that fit into the time that a process has to be ready: see the test of the limits.
const CALLS_TO_BE_READY: usize = 5;

/// Nothing ends by itself while a test waits.
fn patient() -> String {
    settings(3000.0).replace("\"deadline_s\":20", "\"deadline_s\":3000")
}

fn look(key: &str) -> String {
    statement("look", key, "3000000", "")
}

/// Connects and asks at once, and waits for nothing.
fn idle_client(addr: SocketAddr) -> Client {
    Client::connect(addr, &query(&look("idle")))
}

/// Each call of the list needs a descriptor. Clients, hosts and who is just being closed once could take more
/// than were granted between them.
#[test]
fn clients_that_fill_the_descriptors_keep_no_news_of_the_list_out() {
    let answers =
        |value: &'static str| spawn_host(move |_, _| Action::Respond(read_response(value, "reader")));
    let (old, new, holds, list) =
        (answers("old"), answers("new"), spawn_host(|_, _| Action::Ignore), spawn_list());
    let limits = format!(r#"{{"cores":1.0,"memory_mb":192,"sockets":{DESCRIPTORS}}}"#);
    let other_group = host_entry("s-2", holds.addr, "Ready").replace("\"cell\":3", "\"cell\":9");
    let known = list_response(41, true, &[host_entry("s-1", old.addr, "Ready"), other_group]);
    let router =
        spawn_router_with_descriptor_limit(DESCRIPTORS, &config(list.addr, &known, &limits, &patient()));
    let mut busy = Client::open(router.addr);
    (0..HELD_OPS).for_each(|_| busy.write(&query(&look("held").replace("cluster=3", "cluster=9"))));
    holds.queries.recv_timeout(TIMEOUT).unwrap();
    let _crowd: Vec<Client> = (0..CROWD).map(|_| idle_client(router.addr)).collect();
    for _ in 0..FAILED_CALLS {
        assert!(list.next_request().contains("?after=41&"));
        list.replies.send(Reply::Reset(Vec::new())).unwrap();
    }
    assert!(list.next_request().contains("?after=41&"));
    list.respond(http_ok(&list_response(42, false, &[host_entry("s-1", new.addr, "Ready")])));
    assert!(list.next_request().contains("?after=42&"));
    // Those who wait outside are let in as others are shown out.
    new.queries.recv_timeout(TIMEOUT).unwrap();
    let lacks: Vec<String> = router.log.try_iter().filter(|line| line.contains("os error 24")).collect();
    assert!(lacks.is_empty(), "{lacks:?}");
}

/// How the list takes the first call of a process that has started anew; none: as it should.
fn first_reply(which: usize, whole: &str) -> Option<Reply> {
    let cut = http_ok(whole);
    match which % 5 {
        0 => Some(Reply::Stall(Vec::new())),
        1 => Some(Reply::Reset(Vec::new())),
        2 => Some(Reply::Respond(b"HTTP/1.1 503 Not now\r\n\r\n".to_vec())),
        3 => Some(Reply::Stall(cut[..cut.len() - 1].to_vec())),
        _ => None,
    }
}

/// Killed with clients connected, each comes back under its own address. Who knows a list is ready though the
/// list says nothing; who knows none, once a call has brought it, whatever the first came to.
#[test]
fn processes_that_are_killed_and_started_anew_are_ready_within_a_few_calls_of_their_list() {
    let host = spawn_host(|_, _| Action::Respond(read_response("v", "reader")));
    let whole = list_response(41, true, &[host_entry("s-1", host.addr, "Ready")]);
    let start = |listen: &str, list: &List, known: &str| {
        spawn_router(&config(list.addr, known, LIMITS, &settings(5.0)).replace("127.0.0.1:0", listen))
    };
    let mut before: Vec<(Router, Client)> = Vec::new();
    for _ in 0..PROCESSES {
        let list = spawn_list();
        let router = start("127.0.0.1:0", &list, &whole);
        let mut client = Client::open(router.addr);
        assert_eq!(client.request(&statement("look", "k", "15000", "")).value.as_deref(), Some("v"));
        before.push((router, client));
    }
    before.iter_mut().for_each(|(router, _)| router.child.kill().unwrap());
    let restarts: Vec<_> = before.into_iter().enumerate().collect();
    thread::scope(|scope| {
        for (which, (mut old, mut client)) in restarts {
            let (start, whole) = (&start, &whole);
            scope.spawn(move || {
                old.child.wait().unwrap();
                assert!(client.read_answer().is_none());
                let list = spawn_list();
                let knows = which < PROCESSES / 2;
                let known = if knows { whole.as_str() } else { "null" };
                let new = start(&old.addr.to_string(), &list, known);
                if !knows {
                    let answers = (0..CALLS_TO_BE_READY).map(|_| Reply::Respond(http_ok(whole)));
                    let mut replies = first_reply(which, whole).into_iter().chain(answers);
                    // A machine that stands still for a second spoils a call too: then the next one is
                    // answered.
                    while !list.next_request().contains("?after=41&") {
                        list.replies
                            .send(replies.next().expect("no more calls than there is time for"))
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

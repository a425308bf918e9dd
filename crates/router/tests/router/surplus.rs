//! Hosts that send more than belongs to an answer while further requests follow on the connection at once.

use crate::stand_in::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// How long the host works on a request: many times longer than it takes to carry a message.
const WORK: Duration = Duration::from_millis(500);

fn error_code(answer: &Answer) -> &str {
    answer.code.as_deref().unwrap_or("none")
}

/// The answer that belongs to this statement: its value is the statement's key.
fn answer_to(text: &str) -> Vec<u8> {
    let key = text.split('\'').nth(1).unwrap();
    if text.starts_with("INSERT") { write_response(key) } else { read_response(key, "writer") }
}

/// Starts a host that sends `surplus(answer)` behind each answer, at a moment at which the next request is
/// already on its way: it reaches the router just after that has written the request.
fn spawn_surplus_host(surplus: fn(&[u8]) -> Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve_with_surplus(MessageReader::new(stream), surplus));
        }
    });
    addr
}

fn serve_with_surplus(mut from: MessageReader, surplus: fn(&[u8]) -> Vec<u8>) {
    if from.read_startup().is_none() {
        return;
    }
    let mut to_send = Vec::new();
    magpiewell_pg::encode::startup_reply(&mut to_send);
    let mut to = from.stream.try_clone().unwrap();
    while to.write_all(&to_send).is_ok() {
        let Some((b'Q', body)) = from.next_message() else { return };
        let text = String::from_utf8(body[..body.len() - 1].to_vec()).unwrap();
        thread::sleep(WORK);
        let answer = answer_to(&text);
        to.write_all(&answer).unwrap();
        // Delivered as the next request is on its way.
        let mut next = [0];
        if from.stream.peek(&mut next).is_err() {
            return;
        }
        to_send = surplus(&answer);
    }
}

fn spawn_router_with_surplus(surplus: fn(&[u8]) -> Vec<u8>) -> Router {
    let known = list_response(1, true, &[host_entry("s-1", spawn_surplus_host(surplus), "Ready")]);
    spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings(2.0)))
}

/// A second copy that was still under way as the next request was written was once taken for its answer, and
/// each answer after it for the one to the request behind.
#[test]
fn client_is_never_served_surplus_of_an_earlier_answer() {
    type Kind = (&'static str, fn(&[u8]) -> Vec<u8>);
    let kinds: [Kind; 4] = [
        ("a second copy", |answer| answer.to_vec()),
        ("a part of the answer", |answer| answer[..answer.len() / 2].to_vec()),
        ("the end of the answer", |answer| answer[answer.len() / 2..].to_vec()),
        ("noise", |_| b"0\x82\x0c\xc8\xa9\x81\x84\xcf\r\n\r\n".to_vec()),
    ];
    let cases = kinds.map(|(kind, surplus)| {
        thread::spawn(move || {
            let router = spawn_router_with_surplus(surplus);
            let mut client = Client::open(router.addr);
            let first = client.request(&statement("look", "first", "4000", ""));
            assert_eq!(first.value.as_deref(), Some("first"), "nothing came before it");
            for (op_type, key) in [("look", "a"), ("look", "b"), ("mark", "c"), ("post", "d"), ("look", "e")]
            {
                let answer = client.request(&statement(op_type, key, "4000", ""));
                // Where the surplus could not be told in time, the op may have run, and ends as if its host
                // had failed.
                let is_refused = answer.value.is_none() && ["53300", "58000"].contains(&error_code(&answer));
                assert!(answer.value.as_deref() == Some(key) || is_refused, "{kind}: {key}: {answer:?}");
            }
        })
    });
    cases.into_iter().for_each(|case| case.join().unwrap());
}

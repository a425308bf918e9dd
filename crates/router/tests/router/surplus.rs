//! Hosts that send more than belongs to an answer while further requests follow on the connection at once.

use crate::stand_in::*;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// How long the host works on a request: many times longer than it takes to carry a message.
const WORK: Duration = Duration::from_millis(500);

/// The answer that belongs to this statement: its value is the statement's key.
fn answer_to(text: &str) -> Vec<u8> {
    let key = text.split('\'').nth(1).unwrap();
    if text.starts_with("INSERT") { write_response(key) } else { read_response(key, "reader") }
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
        if text.is_empty() {
            to_send = empty_query_response();
            continue;
        }
        thread::sleep(WORK);
        let answer = answer_to(&text);
        to.write_all(&answer).unwrap();
        to_send = Vec::new();
        // Nothing is sent behind an answer while something else waits on the connection. Else it is delivered
        // as the next request is on its way.
        if has_nothing_waiting(&mut from) && from.stream.peek(&mut [0]).is_ok_and(|n| n > 0) {
            to_send = surplus(&answer);
        }
    }
}

fn has_nothing_waiting(from: &mut MessageReader) -> bool {
    from.stream.set_nonblocking(true).unwrap();
    let peeked = from.stream.peek(&mut [0]);
    from.stream.set_nonblocking(false).unwrap();
    from.unparsed().is_empty() && peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

fn spawn_router_with_surplus(surplus: fn(&[u8]) -> Vec<u8>) -> Router {
    let known = list_response(1, true, &[host_entry("s-1", spawn_surplus_host(surplus), "Ready")]);
    spawn_router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings(15.0)))
}

/// Sends requests with these op types and keys one after another on one connection, and returns the answers.
fn answers_behind(surplus: fn(&[u8]) -> Vec<u8>, requests: &[(&str, &str)]) -> Vec<Answer> {
    let router = spawn_router_with_surplus(surplus);
    let mut client = Client::open(router.addr);
    let answer = |(op_type, key): &(&str, &str)| client.request(&statement(op_type, key, "15000", ""));
    requests.iter().map(answer).collect()
}

/// A second copy that was still under way as the next request was written was once taken for its answer, and
/// each answer after it for the one to the request behind.
#[test]
fn request_is_served_its_own_answer_behind_a_second_copy_of_the_one_before() {
    let cases = ["look", "mark", "post"].map(|op_type| {
        thread::spawn(move || {
            let requests = ["a", "b", "c"].map(|key| (op_type, key));
            let answers = answers_behind(<[u8]>::to_vec, &requests);
            let values: Vec<_> = answers.iter().map(|answer| answer.value.as_deref()).collect();
            assert_eq!(values, [Some("a"), Some("b"), Some("c")], "{op_type}: {answers:?}");
        })
    });
    cases.into_iter().for_each(|case| case.join().unwrap());
}

/// What is no whole answer spoils the one behind it: the op may have run, and ends as if its host had failed.
#[test]
fn client_is_never_served_a_part_of_an_earlier_answer() {
    type Kind = (&'static str, fn(&[u8]) -> Vec<u8>);
    let kinds: [Kind; 4] = [
        ("the beginning of the answer", |answer| answer[..answer.len() / 2].to_vec()),
        ("the end of the answer", |answer| answer[answer.len() / 2..].to_vec()),
        ("all but the readiness", |answer| answer[..answer.len() - 6].to_vec()),
        ("noise", |_| b"0\x82\x0c\xc8\xa9\x81\x84\xcf\r\n\r\n".to_vec()),
    ];
    let requests = [("look", "a"), ("look", "b"), ("mark", "c"), ("post", "d"), ("look", "e")];
    let cases = kinds.map(|(kind, surplus)| {
        thread::spawn(move || {
            for (answer, (_, key)) in answers_behind(surplus, &requests).iter().zip(requests) {
                let has_failed =
                    answer.value.is_none() && ["53300", "58000"].contains(&answer.code.as_deref().unwrap());
                assert!(answer.value.as_deref() == Some(key) || has_failed, "{kind}: {key}: {answer:?}");
            }
        })
    });
    cases.into_iter().for_each(|case| case.join().unwrap());
}

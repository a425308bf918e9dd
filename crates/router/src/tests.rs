use super::*;
use std::net::TcpStream;

/// Small answers that the system holds back go with a connection that closes.
#[test]
fn whoever_is_let_in_gets_answers_without_delay() {
    let limits = limits::Limits::new(&startup::parse(limits::MINIMAL_CONFIGURATION).unwrap().0);
    let listener = listen("127.0.0.1:0".parse().unwrap(), &limits).unwrap();
    let _ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = std::iter::repeat_with(|| listener.accept()).find_map(Result::ok).unwrap().0;
    assert!(accepted.nodelay().unwrap());
}

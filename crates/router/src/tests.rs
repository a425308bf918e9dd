use super::*;
use std::net::TcpStream;

/// Without TCP_NODELAY a small answer may wait in the kernel and be lost when the connection is closed.
#[test]
fn accepted_connections_send_without_delay() {
    let limits = limits::Limits::new(&startup::parse(limits::MINIMAL_CONFIGURATION).unwrap().0);
    let listener = listen("127.0.0.1:0".parse().unwrap(), &limits).unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = std::iter::repeat_with(|| listener.accept()).find_map(Result::ok).unwrap().0;
    assert!(accepted.nodelay().unwrap());
}

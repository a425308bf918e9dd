use super::*;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn an_idle_connection_is_stale_once_it_ends_or_speaks() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pair = || {
        let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (ours, listener.accept().unwrap().0)
    };
    let (ours, theirs) = pair();
    assert!(!is_stale(&ours));
    drop(theirs);
    while !is_stale(&ours) {}
    let (ours, mut theirs) = pair();
    theirs.write_all(b"Z").unwrap();
    while !is_stale(&ours) {}
}

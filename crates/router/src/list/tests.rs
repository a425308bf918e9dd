use super::*;

/// A response cut at any byte is rejected, however its length is given; a whole one is accepted, indented or
/// not.
#[test]
fn a_response_cut_at_any_byte_is_rejected() {
    let compact =
        r#"{"version":42,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"Ready"}]}"#;
    let indented = compact.replace(',', ",\r\n  ").replace('{', "{\n");
    let response = |bytes: &[u8], ended: bool| {
        let (body, _) = parse_response(bytes, ended).ok()??;
        let response: Value = serde_json::from_slice(&body).ok()?;
        parse_entries(&response, &[], |_, _, _, _| ()).is_ok().then_some(response)
    };
    for body in [compact, &indented] {
        let ok = "HTTP/1.1 200 OK\r\n";
        let (head, tail) = body.split_at(30);
        for (bytes, ends_with_connection) in [
            (format!("{ok}Content-Length: {}\r\n\r\n{body}", body.len()), false),
            (format!("{ok}\r\n{body}"), true),
            (
                format!(
                    "{ok}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{head}\r\n{:x}\r\n{tail}\r\n0\r\n\r\n",
                    head.len(),
                    tail.len()
                ),
                false,
            ),
        ] {
            for cut in 0..bytes.len() {
                for ended in [false, true] {
                    assert_eq!(response(&bytes.as_bytes()[..cut], ended), None, "{} of {bytes:?}", cut);
                }
            }
            assert_eq!(
                response(bytes.as_bytes(), ends_with_connection).and_then(|response| version(&response)),
                Some(42)
            );
            assert_eq!(response(bytes.as_bytes(), false).is_some(), !ends_with_connection);
        }
    }
}

/// The watch of the old address once ended although the new one could not start, and no watch was left.
#[test]
fn without_a_thread_for_a_new_address_the_old_one_stays() {
    let (events, updates) = (crossbeam_channel::unbounded().0, crossbeam_channel::unbounded().0);
    // A stack as large as the address space of a process, so that no thread can be started.
    let shared = crate::shared::test_shared_with(|limits| limits.stack_bytes = 1 << 47);
    let watcher = ListWatcher::new(shared, events, updates, crossbeam_channel::bounded(1).1);
    let (old, new) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
    *watcher.current() = CurrentWatch { generation: 7, addr: Some(old), stream: None };
    assert!(!watcher.follow(new, None));
    assert_eq!(watcher.current().addr, Some(old));
    assert!(watcher.publish(7, None), "its updates are still accepted");
}

#[test]
fn a_watch_of_the_former_address_does_not_release_the_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (events, updates) = (crossbeam_channel::unbounded().0, crossbeam_channel::unbounded().0);
    let watcher =
        ListWatcher::new(crate::shared::test_shared(), events, updates, crossbeam_channel::bounded(1).1);
    let (old, new) = (TcpStream::connect(addr).unwrap(), TcpStream::connect(addr).unwrap());
    *watcher.current() = CurrentWatch { generation: 2, addr: Some(addr), stream: None };
    assert!(watcher.set_connection(2, &new));
    assert!(!watcher.set_connection(1, &old));
    let connection = watcher.current().stream.as_ref().and_then(|stream| stream.local_addr().ok());
    assert_eq!(connection, new.local_addr().ok());
}

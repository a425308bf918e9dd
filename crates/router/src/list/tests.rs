use super::*;

/// Cut at any byte, whichever way its length is told, an answer is no page; whole it is, indented or not.
#[test]
fn an_answer_cut_at_any_byte_is_no_page() {
    let compact =
        r#"{"version":42,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"Ready"}]}"#;
    let indented = compact.replace(',', ",\r\n  ").replace('{', "{\n");
    let page = |bytes: &[u8], ended: bool| {
        let (body, _) = answer(bytes, ended).ok()??;
        let page: Value = serde_json::from_slice(&body).ok()?;
        parse_entries(&page, &[], |_, _, _, _| ()).is_ok().then_some(page)
    };
    for body in [compact, &indented] {
        let ok = "HTTP/1.1 200 OK\r\n";
        let (head, tail) = body.split_at(30);
        for (bytes, by_end) in [
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
                    assert_eq!(page(&bytes.as_bytes()[..cut], ended), None, "{} of {bytes:?}", cut);
                }
            }
            assert_eq!(page(bytes.as_bytes(), by_end).and_then(|page| version(&page)), Some(42));
            assert_eq!(page(bytes.as_bytes(), false).is_some(), !by_end);
        }
    }
}

/// The old address's watch once ended all the same, and there was none.
#[test]
fn without_a_thread_for_a_new_address_the_old_one_stays() {
    let (events, news) = (crossbeam_channel::unbounded().0, crossbeam_channel::unbounded().0);
    // More than a process has room for.
    let shared = crate::shared::test_shared_with(|limits| limits.stack_bytes = 1 << 47);
    let watches = Watches::new(shared, events, news, crossbeam_channel::bounded(1).1);
    let (old, new) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
    *watches.present() = Present { turn: 7, at: Some(old), stream: None };
    assert!(!watches.follow(new, None));
    assert_eq!(watches.present().at, Some(old));
    assert!(watches.tell(7, None), "its news is still taken");
}

#[test]
fn a_watch_of_the_address_before_lets_go_of_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (events, news) = (crossbeam_channel::unbounded().0, crossbeam_channel::unbounded().0);
    let watches = Watches::new(crate::shared::test_shared(), events, news, crossbeam_channel::bounded(1).1);
    let (old, new) = (TcpStream::connect(at).unwrap(), TcpStream::connect(at).unwrap());
    *watches.present() = Present { turn: 2, at: Some(at), stream: None };
    assert!(watches.waits_on(2, &new));
    assert!(!watches.waits_on(1, &old));
    let kept = watches.present().stream.as_ref().and_then(|stream| stream.local_addr().ok());
    assert_eq!(kept, new.local_addr().ok());
}

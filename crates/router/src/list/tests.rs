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
        entries(&page, &[], |_, _, _, _| ()).is_ok().then_some(page)
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

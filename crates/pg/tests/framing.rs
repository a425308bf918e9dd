//! Framing and heads on any bytes: nothing panics, and how the bytes are split changes nothing.

use magpiewell_pg::{encode, frame, statement, validate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

/// Reads as a connection does: `first` bytes arrive, then the rest.
fn read(bytes: &[u8], first: usize) -> (Vec<(u8, Vec<u8>)>, bool) {
    let (mut buf, mut found) = (bytes[..first].to_vec(), Vec::new());
    for rest in [&bytes[first..], &[]] {
        loop {
            match frame::message(&buf, 64) {
                Ok(Some((kind, body))) => {
                    found.push((kind, buf[body.clone()].to_vec()));
                    buf.drain(..body.end);
                }
                Ok(None) => break,
                Err(_) => return (found, false),
            }
        }
        buf.extend_from_slice(rest);
    }
    (found, true)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_split_reads_the_same(
        messages in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..80)), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        for (kind, body) in &messages {
            bytes.push(*kind);
            bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
            bytes.extend_from_slice(body);
        }
        bytes.extend_from_slice(&tail);
        let whole = read(&bytes, bytes.len());
        prop_assert_eq!(&read(&bytes, cut.index(bytes.len() + 1)), &whole);
        let fitting = messages.iter().take_while(|(_, body)| body.len() <= 60);
        prop_assert!(whole.0.iter().zip(fitting).all(|(read, written)| read == written));
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..60), at in 0..70usize) {
        let _ = frame::message(&bytes, 40);
        let _ = frame::startup(&bytes, 40);
        let _ = frame::c_string(&bytes, at);
        let _ = frame::error_field(&bytes, b'C');
        let _ = frame::column_count(&bytes);
        let _ = frame::first_column(&bytes);
    }

    /// Noise is never taken for a message of a host once its head is there, but for those few heads that fit.
    #[test]
    fn any_message_of_a_host_is_judged_without_a_panic(
        kind in any::<u8>(), length in 0..40usize, body in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        if validate::is_valid_prefix(kind, length, &body) {
            prop_assert!(validate::is_known_kind(kind) && length >= 5);
        }
        let _ = (validate::parameter_status(&body), validate::sqlstate(&body));
    }

    /// However little of it is there, a good message may begin so; one whose lengths do not fit may not.
    #[test]
    fn rows_fit_or_are_refused(value in prop::collection::vec(any::<u8>(), 0..40), off in -9i64..10, cut in 0..60usize) {
        let length = value.len() + 10;
        let stated = (value.len() as i64 + off) as u32;
        let body = [&[0, 1][..], &stated.to_be_bytes(), &value].concat();
        let may = validate::is_valid_prefix(b'D', length, &body[..cut.min(body.len())]);
        let null = stated == u32::MAX && value.is_empty();
        prop_assert_eq!(may, off == 0 || null || cut.min(body.len()) < 6);
    }

    #[test]
    fn any_statement_is_read_without_a_panic(text in "(SELECT v FROM |INSERT )?[a-z'\"/*;=,\\- \n\u{e9}]{0,40}") {
        if let Ok(found) = statement::parse(&text) {
            prop_assert!(text.get(found.key).is_some());
        }
        for (name, at) in statement::attributes(&text, 0..text.len()) {
            prop_assert!(!name.contains(',') && !text[at].contains(','));
        }
    }

    #[test]
    fn keys_and_facts_are_found_whatever_the_key_holds(
        key in "[a-z/*;\\-'=,\"\u{e9}]{0,20}",
        wait in 0..100_000u32,
        spaces in " {0,2}",
        writes in any::<bool>(),
    ) {
        let quoted = key.replace('\'', "''");
        let (before, behind) = if writes {
            ("insert into r(k,v)VALUES(", ", 'x''y') returning v")
        } else {
            ("SELECT v FROM r WHERE k =", "")
        };
        let text = format!("{before}{spaces}'{quoted}'{behind}{spaces}/* id=1,d={spaces}{wait},c=x */{spaces};");
        let found = statement::parse(&text).unwrap();
        prop_assert_eq!(&text[found.key], quoted);
        prop_assert_eq!(found.writes, writes);
        let facts: Vec<_> = statement::attributes(&text, found.comment).collect();
        prop_assert_eq!(facts[1].0, "d");
        prop_assert_eq!(&text[facts[1].1.clone()], wait.to_string());
        prop_assert_eq!(facts.len(), 3);
    }

    #[test]
    fn what_is_said_is_framed(line in "[a-z\0]{0,20}", detail in "[0-9]{0,5}", fatal in any::<bool>()) {
        let mut said = Vec::new();
        encode::startup_reply(&mut said);
        encode::negotiate_protocol_version(&mut said);
        encode::empty_query_response(&mut said);
        encode::error_response(&mut said, fatal, "53300", &line, &detail);
        said.extend_from_slice(&encode::READY_FOR_QUERY);
        let (messages, fine) = read(&said, 0);
        prop_assert!(fine);
        let error = &messages[messages.len() - 2];
        prop_assert_eq!(frame::error_field(&error.1, b'C'), Some(&b"53300"[..]));
        prop_assert_eq!(frame::error_field(&error.1, b'D').is_some(), !detail.is_empty());
        prop_assert_eq!(messages.last(), Some(&(b'Z', vec![b'I'])));
        let mut opening = Vec::new();
        encode::startup_message(&mut opening, "svc", "main");
        prop_assert_eq!(frame::startup(&opening, 100), Ok(Some((3 << 16, 8..opening.len()))));
    }
}

#[test]
fn what_is_no_read_or_write_of_one_record_is_refused() {
    let good = "SELECT v FROM records WHERE k = 'a' /* id=1 */";
    assert!(statement::parse(good).is_ok());
    let none =
        ["", "frob", "SELECT 1", "DROP TABLE records", "SELECT v FROM records WHERE k = 'a", "SELECT /* a"];
    let changed = [
        ("'a'", "'a' OR k = 'b'"),
        ("'a'", "\"a\""),
        ("'a' /*", "'a' /* id=2 */ /*"),
        ("SELECT", "/* id=2 */ SELECT"),
        ("*/", "*/; SELECT 2"),
        ("*/", "*/ --"),
        ("*/", ""),
        (" /* id=1 */", ""),
        ("SELECT v", "SELECT v, w"),
        ("SELECT", "SELEKT"),
        ("records", "r\u{e9}cords"),
    ];
    let changed = changed.iter().map(|(from, to)| good.replacen(from, to, 1));
    for text in none.map(str::to_string).into_iter().chain(changed) {
        assert!(statement::parse(&text).is_err(), "{text}");
    }
}

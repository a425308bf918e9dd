//! Property tests of framing, statement parsing and host message validation: arbitrary bytes never panic, and
//! the result does not depend on how the bytes are split into reads.

use magpiewell_pg::{encode, frame, statement, validate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

/// Reads messages as a connection does: the first `split` bytes arrive, then the rest. False if a length is
/// invalid.
fn read_messages(bytes: &[u8], split: usize) -> (Vec<(u8, Vec<u8>)>, bool) {
    let (mut buf, mut messages) = (bytes[..split].to_vec(), Vec::new());
    for rest in [&bytes[split..], &[]] {
        loop {
            match frame::message(&buf, 64) {
                Ok(Some((kind, body))) => {
                    messages.push((kind, buf[body.clone()].to_vec()));
                    buf.drain(..body.end);
                }
                Ok(None) => break,
                Err(_) => return (messages, false),
            }
        }
        buf.extend_from_slice(rest);
    }
    (messages, true)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn messages_do_not_depend_on_how_bytes_are_split(
        messages in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..80)), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..8),
        split in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        for (kind, body) in &messages {
            bytes.push(*kind);
            bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
            bytes.extend_from_slice(body);
        }
        bytes.extend_from_slice(&tail);
        let whole = read_messages(&bytes, bytes.len());
        prop_assert_eq!(&read_messages(&bytes, split.index(bytes.len() + 1)), &whole);
        let fitting = messages.iter().take_while(|(_, body)| body.len() <= 60);
        prop_assert!(whole.0.iter().zip(fitting).all(|(read, written)| read == written));
    }

    #[test]
    fn any_bytes_are_framed_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..60), offset in 0..70usize,
    ) {
        let _ = frame::message(&bytes, 40);
        let _ = frame::startup(&bytes, 40);
        let _ = frame::c_string(&bytes, offset);
        let _ = frame::error_field(&bytes, b'C');
        let _ = frame::column_count(&bytes);
        let _ = frame::first_column(&bytes);
    }

    /// Random bytes pass as the beginning of a host's message only if their kind and length are valid.
    #[test]
    fn any_host_message_is_validated_without_a_panic(
        kind in any::<u8>(), length in 0..40usize, body in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        if validate::is_valid_prefix(kind, length, &body) {
            prop_assert!(validate::is_known_kind(kind) && length >= 5);
        }
        let _ = (validate::parameter_status(&body), validate::sqlstate(&body));
    }

    /// Any prefix of a valid row is accepted; a row whose column length does not match its own is rejected as
    /// soon as the column length has arrived.
    #[test]
    fn rows_with_inconsistent_lengths_are_rejected(
        value in prop::collection::vec(any::<u8>(), 0..40), error in -9i64..10, received in 0..60usize,
    ) {
        let length = value.len() + 10;
        let stated = (value.len() as i64 + error) as u32;
        let body = [&[0, 1][..], &stated.to_be_bytes(), &value].concat();
        let is_valid = validate::is_valid_prefix(b'D', length, &body[..received.min(body.len())]);
        let is_null = stated == u32::MAX && value.is_empty();
        prop_assert_eq!(is_valid, error == 0 || is_null || received.min(body.len()) < 6);
    }

    #[test]
    fn any_statement_is_parsed_without_a_panic(
        text in "(SELECT v FROM |INSERT )?[a-z'\"/*;=,\\- \n\u{e9}]{0,40}",
    ) {
        if let Ok(statement) = statement::parse(&text) {
            prop_assert!(text.get(statement.key).is_some());
        }
        for (name, value) in statement::attributes(&text, 0..text.len()) {
            prop_assert!(!name.contains(',') && !text[value].contains(','));
        }
    }

    #[test]
    fn key_and_attributes_are_found_whatever_the_key_contains(
        key in "[a-z/*;\\-'=,\"\u{e9}]{0,20}",
        left_ms in 0..100_000u32,
        spaces in " {0,2}",
        is_write in any::<bool>(),
    ) {
        let quoted = key.replace('\'', "''");
        let (before, tail) = if is_write {
            ("insert into r(k,v)VALUES(", ", 'x''y') returning v")
        } else {
            ("SELECT v FROM r WHERE k =", "")
        };
        let text =
            format!("{before}{spaces}'{quoted}'{tail}{spaces}/* id=1,d={spaces}{left_ms},c=x */{spaces};");
        let statement = statement::parse(&text).unwrap();
        prop_assert_eq!(&text[statement.key], quoted);
        prop_assert_eq!(statement.is_write, is_write);
        let attributes: Vec<_> = statement::attributes(&text, statement.comment).collect();
        prop_assert_eq!(attributes[1].0, "d");
        prop_assert_eq!(&text[attributes[1].1.clone()], left_ms.to_string());
        prop_assert_eq!(attributes.len(), 3);
    }

    #[test]
    fn encoded_messages_are_framed(text in "[a-z\0]{0,20}", detail in "[0-9]{0,5}", fatal in any::<bool>()) {
        let mut encoded = Vec::new();
        encode::startup_reply(&mut encoded);
        encode::negotiate_protocol_version(&mut encoded);
        encode::empty_query_response(&mut encoded);
        encode::error_response(&mut encoded, fatal, "53300", &text, &detail);
        encoded.extend_from_slice(&encode::READY_FOR_QUERY);
        let (messages, is_valid) = read_messages(&encoded, 0);
        prop_assert!(is_valid);
        let error = &messages[messages.len() - 2];
        prop_assert_eq!(frame::error_field(&error.1, b'C'), Some(&b"53300"[..]));
        prop_assert_eq!(frame::error_field(&error.1, b'D').is_some(), !detail.is_empty());
        prop_assert_eq!(messages.last(), Some(&(b'Z', vec![b'I'])));
        let mut startup = Vec::new();
        encode::startup_message(&mut startup, "svc", "main");
        prop_assert_eq!(frame::startup(&startup, 100), Ok(Some((3 << 16, 8..startup.len()))));
    }
}

#[test]
fn statements_other_than_single_record_reads_and_writes_are_rejected() {
    let valid = "SELECT v FROM records WHERE k = 'a' /* id=1 */";
    assert!(statement::parse(valid).is_ok());
    let invalid =
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
    let changed = changed.iter().map(|(from, to)| valid.replacen(from, to, 1));
    for text in invalid.map(str::to_string).into_iter().chain(changed) {
        assert!(statement::parse(&text).is_err(), "{text}");
    }
}

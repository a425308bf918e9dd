//! Encoding and decoding of session datagrams: round trips, and truncated, modified and arbitrary input.

use super::*;
use crate::MAX_DATAGRAM_BYTES;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() }
}

fn request() -> impl Strategy<Value = PositionRequest> {
    (any::<u64>(), any::<u64>())
        .prop_map(|(request_id, session_id)| PositionRequest { request_id, session_id })
}

fn reply() -> impl Strategy<Value = PositionReply> {
    (any::<u64>(), -1e15f64..1e15).prop_map(|(request_id, position)| PositionReply { request_id, position })
}

fn message() -> impl Strategy<Value = SessionMessage> {
    prop_oneof![
        (any::<u64>(), prop::collection::vec(request(), 0..=MAX_ENTRIES))
            .prop_map(|(incarnation, requests)| SessionMessage::Requests { incarnation, requests }),
        (any::<u64>(), prop::collection::vec(reply(), 0..=MAX_ENTRIES))
            .prop_map(|(incarnation, replies)| SessionMessage::Replies { incarnation, replies }),
        any::<u64>().prop_map(|incarnation| SessionMessage::Ping { incarnation }),
        any::<u64>().prop_map(|incarnation| SessionMessage::Ack { incarnation }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_reverses_encoding(message in message(), keyed in any::<bool>()) {
        let key = Some(Key::new(b"secret")).filter(|_| keyed);
        let mut bytes = Vec::new();
        encode(&message, key.as_ref(), &mut bytes);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes, key.as_ref()), Ok(message));
    }

    /// With a key set, a datagram is rejected if it is truncated, extended, has any single bit flipped, or
    /// was made with another key.
    #[test]
    fn modified_datagrams_are_rejected(
        message in message(), at in any::<usize>(), bit in 0u8..8
    ) {
        let key = Key::new(b"secret");
        let mut bytes = Vec::new();
        encode(&message, Some(&key), &mut bytes);
        prop_assert!(decode(&bytes, Some(&Key::new(b"another"))).is_err());
        prop_assert!(decode(&bytes[..at % bytes.len()], Some(&key)).is_err());
        let (at, mut extended) = (at % bytes.len(), bytes.clone());
        extended.push(0);
        prop_assert!(decode(&extended, Some(&key)).is_err());
        bytes[at] ^= 1 << bit;
        prop_assert!(decode(&bytes, Some(&key)).is_err());
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail_cleanly(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes, None);
        let mut with_magic = vec![frame::MAGIC[0], frame::MAGIC[1]];
        with_magic.extend_from_slice(&bytes);
        if let Ok(message) = decode(&with_magic, None) {
            let mut reencoded = Vec::new();
            encode(&message, None, &mut reencoded);
            prop_assert_eq!(reencoded, with_magic);
        }
    }
}

//! Session datagrams, whole, cut short, changed on the way, and made up.

use super::*;
use crate::MAX_DATAGRAM_BYTES;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn set() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() }
}

fn request() -> impl Strategy<Value = PositionRequest> {
    (any::<u64>(), any::<u64>()).prop_map(|(request, session)| PositionRequest { request, session })
}

fn reply() -> impl Strategy<Value = PositionReply> {
    (any::<u64>(), -1e15f64..1e15).prop_map(|(request, position)| PositionReply { request, position })
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
    #![proptest_config(set())]

    #[test]
    fn what_is_encoded_is_decoded(message in message(), keyed in any::<bool>()) {
        let key = Some(Key::new(b"secret")).filter(|_| keyed);
        let mut bytes = Vec::new();
        encode(&message, key.as_ref(), &mut bytes);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes, key.as_ref()), Ok(message));
    }

    /// Cut short, lengthened, or with any one bit turned: dropped where a key is set.
    #[test]
    fn what_was_changed_on_the_way_is_dropped(
        message in message(), at in any::<usize>(), bit in 0u8..8
    ) {
        let key = Key::new(b"secret");
        let mut bytes = Vec::new();
        encode(&message, Some(&key), &mut bytes);
        prop_assert!(decode(&bytes, Some(&Key::new(b"another"))).is_err());
        prop_assert!(decode(&bytes[..at % bytes.len()], Some(&key)).is_err());
        let (at, mut longer) = (at % bytes.len(), bytes.clone());
        longer.push(0);
        prop_assert!(decode(&longer, Some(&key)).is_err());
        bytes[at] ^= 1 << bit;
        prop_assert!(decode(&bytes, Some(&key)).is_err());
    }

    #[test]
    fn any_bytes_are_a_message_or_a_defined_fault(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes, None);
        let mut marked = vec![frame::MARK[0], frame::MARK[1]];
        marked.extend_from_slice(&bytes);
        if let Ok(message) = decode(&marked, None) {
            let mut again = Vec::new();
            encode(&message, None, &mut again);
            prop_assert_eq!(again, marked);
        }
    }
}

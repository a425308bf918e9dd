//! Encoding and decoding of tier datagrams: round trips, and oversized, modified and arbitrary input.

use super::*;
use crate::MAX_DATAGRAM_BYTES;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The receiver's time, in Unix ms.
const NOW: f64 = 1_796_000_000_000.0;

fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Config::default() }
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    (0u64..1 << 48, any::<u32>())
        .prop_map(|(started_at, refutations)| Incarnation { started_at, refutations })
}

fn update() -> impl Strategy<Value = Update> {
    let state = prop::sample::select(vec![State::Alive, State::Suspect, State::Dead, State::Left]);
    (any::<u16>(), incarnation(), state).prop_map(|(member, incarnation, state)| Update {
        member,
        incarnation,
        state,
    })
}

fn fact() -> impl Strategy<Value = Fact> {
    let observation = prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(group, host)| Observation::Primary { group, host }),
        (any::<u32>(), any::<u32>()).prop_map(|(host, lag_ms)| Observation::ReplicaLag { host, lag_ms }),
        any::<u32>().prop_map(|host| Observation::Unresponsive { host }),
        (any::<u32>(), any::<u16>(), any::<u16>())
            .prop_map(|(host, latency_percent, reads)| Observation::Slow { host, latency_percent, reads }),
    ];
    (observation, any::<u16>(), -1_000_000i64..1_000_000).prop_map(|(observation, origin, offset)| Fact {
        observation,
        origin,
        observed_at: NOW + offset as f64,
    })
}

fn zones() -> impl Strategy<Value = (Option<Ages>, Vec<MapChunk>, Option<MapBatch>)> {
    let ages = prop::option::of(prop::array::uniform12(any::<u8>()).prop_map(|ages| ages.map(Age)));
    let chunk =
        (any::<u16>(), prop::array::uniform24(0u8..16)).prop_map(|(first, zones)| MapChunk { first, zones });
    let requested = prop::option::of((0u8..255).prop_map(MapBatch));
    (ages, prop::collection::vec(chunk, 0..4), requested)
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let message = prop_oneof![
        any::<u32>().prop_map(|number| Message::Ping { number }),
        any::<u32>().prop_map(|number| Message::Ack { number }),
        (any::<u32>(), any::<u16>()).prop_map(|(number, target)| Message::PingRequest { number, target }),
        Just(Message::Gossip),
    ];
    let digest = prop::option::of((any::<u8>(), any::<u64>()).prop_map(|(salt, seed)| {
        let mut digest = Digest::empty(salt);
        (0u64..).zip(&mut digest.bits).for_each(|(n, byte)| *byte = (seed.rotate_left(n as u32) >> 3) as u8);
        digest
    }));
    let entries = (prop::collection::vec(update(), 0..4), prop::collection::vec(fact(), 0..3), digest);
    (any::<u16>(), any::<u8>(), incarnation(), message, entries, zones()).prop_map(
        |(
            sender,
            zone,
            incarnation,
            message,
            (updates, facts, digest),
            (zone_ages, zone_chunks, requested_batch),
        )| {
            Datagram {
                sender,
                zone,
                incarnation,
                message,
                updates,
                facts,
                zone_ages,
                zone_chunks,
                requested_batch,
                digest,
            }
        },
    )
}

/// A digest is rejected if one of its parts is missing or out of order.
#[test]
fn digest_with_missing_or_misnumbered_parts_is_rejected() {
    let datagram = Datagram {
        sender: 1,
        zone: 0,
        incarnation: Incarnation::default(),
        message: Message::Gossip,
        updates: Vec::new(),
        facts: Vec::new(),
        zone_ages: None,
        zone_chunks: Vec::new(),
        requested_batch: None,
        digest: Some(Digest::empty(9)),
    };
    let mut bytes = Vec::new();
    encode(&datagram, None, &mut bytes);
    assert_eq!(decode(&bytes, None, NOW), Ok(datagram));
    let mut swapped = bytes.clone();
    swapped[HEADER_LENGTH + DIGEST_PART] = 1;
    assert_eq!(decode(&swapped, None, NOW), Err(DecodeError::Kind));
    bytes.truncate(bytes.len() - ENTRY_LENGTH);
    bytes[frame::COUNT] -= 1;
    assert_eq!(decode(&bytes, None, NOW), Err(DecodeError::Length));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_reverses_encoding(datagram in datagram(), keyed in any::<bool>()) {
        let key = Some(Key::new(b"secret")).filter(|_| keyed);
        let mut bytes = Vec::new();
        encode(&datagram, key.as_ref(), &mut bytes);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&bytes, key.as_ref(), NOW + 1_234.5), Ok(datagram));
    }

    /// However many entries there are, the datagram stays within its maximum length: updates beyond the room
    /// left by the ages and the digest are omitted, and with them all facts and chunks of the zone map.
    #[test]
    fn entries_beyond_the_limit_are_omitted(
        datagram in datagram(), many_updates in prop::collection::vec(update(), 14..40)
    ) {
        let mut bytes = Vec::new();
        let full = Datagram { updates: many_updates, ..datagram };
        encode(&full, Some(&Key::new(b"k")), &mut bytes);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let decoded = decode(&bytes, Some(&Key::new(b"k")), NOW).unwrap();
        prop_assert_eq!(decoded.zone_ages, full.zone_ages);
        let digest_entries = full.digest.map_or(0, |_| DIGEST_ENTRIES);
        let room = MAX_ENTRIES - usize::from(full.zone_ages.is_some()) - digest_entries;
        prop_assert_eq!(&decoded.updates[..], &full.updates[..room]);
        prop_assert!(decoded.facts.is_empty() && decoded.zone_chunks.is_empty());
    }

    #[test]
    fn modified_datagrams_are_rejected(
        datagram in datagram(), at in any::<usize>(), bit in 0u8..8
    ) {
        let key = Key::new(b"secret");
        let mut bytes = Vec::new();
        encode(&datagram, Some(&key), &mut bytes);
        prop_assert!(decode(&bytes[..at % bytes.len()], Some(&key), NOW).is_err());
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(decode(&bytes, Some(&key), NOW).is_err());
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail_cleanly(
        bytes in prop::collection::vec(any::<u8>(), 0..300), kind in 14u8..22, count in 0u8..20
    ) {
        let _ = decode(&bytes, None, NOW);
        let mut with_magic = vec![frame::MAGIC[0], frame::MAGIC[1], kind, count];
        with_magic.extend_from_slice(&bytes);
        let _ = decode(&with_magic, None, NOW);
        with_magic.resize(HEADER_LENGTH + ENTRY_LENGTH * usize::from(count), 0);
        if let Ok(datagram) = decode(&with_magic, None, NOW) {
            let digest_entries = datagram.digest.map_or(0, |_| DIGEST_ENTRIES);
            let zone_entries = datagram.zone_chunks.len() + usize::from(datagram.zone_ages.is_some());
            let entries = datagram.updates.len() + datagram.facts.len() + zone_entries + digest_entries;
            prop_assert_eq!(entries, usize::from(count));
        }
    }
}

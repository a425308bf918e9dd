//! What routers of a tier tell one another of themselves and of hosts, in one datagram: a message, and as
//! many pieces of news and facts as fit. Bytes in and out, no I/O.
//!
//! Mark, version and kind as all datagrams here, a count, then the sender (its number, zone, start and how
//! often it has contradicted), the message's numbers, and entries of 15 bytes. Times of facts are told by
//! their lowest 32 bits of whole ms and are read as the nearest to the reader's clock. Where a key is set, 16
//! bytes of a keyed hash follow.

use crate::{Bad, Key, MAC, MARK, MOST};
use magpiewell_facts::{Fact, What};
use magpiewell_members::{Incarnation, Message, State, Update};

const HEAD: usize = 24;
const ENTRY: usize = 15;
/// Entries that fit, with room for the hash.
pub const ENTRIES: usize = (MOST - HEAD - MAC) / ENTRY;
/// What a sender says of its zone where it knows none.
pub const NO_ZONE: u8 = u8::MAX;

#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub from: u16,
    pub zone: u8,
    pub life: Incarnation,
    pub message: Message,
    pub news: Vec<Update>,
    pub facts: Vec<Fact>,
}

const MEMBER: u8 = 0;
const LEADS: u8 = 1;
const BEHIND: u8 = 2;
const SILENT: u8 = 3;
const SLOW: u8 = 4;

fn six(value: u64) -> [u8; 6] {
    let [_, _, rest @ ..] = value.to_be_bytes();
    rest
}

/// Writes a datagram. Entries that don't fit are left out, facts first.
pub fn write(datagram: &Datagram, key: Option<&Key>, to: &mut Vec<u8>) {
    to.clear();
    let (kind, number, target) = match datagram.message {
        Message::Ping { number } => (16, number, 0),
        Message::Ack { number } => (17, number, 0),
        Message::PingRequest { number, target } => (18, number, target),
        Message::Gossip => (19, 0, 0),
    };
    to.extend_from_slice(&MARK);
    to.extend_from_slice(&[kind, 0]);
    to.extend_from_slice(&datagram.from.to_be_bytes());
    to.extend_from_slice(&six(datagram.life.started));
    to.extend_from_slice(&datagram.life.refutations.to_be_bytes());
    to.extend_from_slice(&number.to_be_bytes());
    to.extend_from_slice(&target.to_be_bytes());
    to.extend_from_slice(&[datagram.zone, 0]);
    let mut count = 0;
    for news in datagram.news.iter().take(ENTRIES) {
        let state = match news.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Dead => 2,
            State::Left => 3,
        };
        to.push(MEMBER);
        to.extend_from_slice(&news.member.to_be_bytes());
        to.extend_from_slice(&six(news.incarnation.started));
        to.extend_from_slice(&news.incarnation.refutations.to_be_bytes());
        to.extend_from_slice(&[state, 0]);
        count += 1;
    }
    for fact in datagram.facts.iter().take(ENTRIES - count as usize) {
        let (tag, about, value) = match fact.what {
            What::Leads { group, host } => (LEADS, group, host),
            What::Behind { host, ms } => (BEHIND, host, ms),
            What::Silent { host } => (SILENT, host, 0),
            What::Slow { host, hundredths, reads } => {
                (SLOW, host, u32::from(hundredths) << 16 | u32::from(reads))
            }
        };
        to.push(tag);
        to.extend_from_slice(&fact.origin.to_be_bytes());
        to.extend_from_slice(&about.to_be_bytes());
        to.extend_from_slice(&value.to_be_bytes());
        to.extend_from_slice(&(fact.at.max(0.0) as u64 as u32).to_be_bytes());
        count += 1;
    }
    to[3] = count;
    if let Some(key) = key {
        let hash = key.hash(to);
        to.extend_from_slice(&hash);
    }
}

fn read_number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |all, byte| all << 8 | u64::from(*byte))
}

/// The time nearest to now with these lowest 32 bits of whole ms.
fn nearest(now: f64, low: u32) -> f64 {
    let base = now.clamp(0.0, 1e15) as u64;
    let off = low.wrapping_sub(base as u32) as i32;
    base as f64 + f64::from(off)
}

/// Reads a datagram at this time, in Unix ms.
pub fn read(bytes: &[u8], key: Option<&Key>, now: f64) -> Result<Datagram, Bad> {
    let body = crate::body(bytes, key, HEAD)?;
    let (head, entries) = body.split_at(HEAD);
    if entries.len() != ENTRY * usize::from(head[3]) {
        return Err(Bad::Length);
    }
    let (number, target) = (read_number(&head[16..20]) as u32, read_number(&head[20..22]) as u16);
    let message = match head[2] {
        16 => Message::Ping { number },
        17 => Message::Ack { number },
        18 => Message::PingRequest { number, target },
        19 => Message::Gossip,
        _ => return Err(Bad::Kind),
    };
    let life = |bytes: &[u8]| Incarnation {
        started: read_number(&bytes[..6]),
        refutations: read_number(&bytes[6..10]) as u32,
    };
    let (mut news, mut facts) = (Vec::new(), Vec::new());
    for entry in entries.chunks_exact(ENTRY) {
        let who = read_number(&entry[1..3]) as u16;
        if entry[0] == MEMBER {
            let state = match entry[13] {
                0 => State::Alive,
                1 => State::Suspect,
                2 => State::Dead,
                3 => State::Left,
                _ => return Err(Bad::Kind),
            };
            news.push(Update { member: who, incarnation: life(&entry[3..13]), state });
            continue;
        }
        let (about, value) = (read_number(&entry[3..7]) as u32, read_number(&entry[7..11]) as u32);
        let what = match entry[0] {
            LEADS => What::Leads { group: about, host: value },
            BEHIND => What::Behind { host: about, ms: value },
            SILENT => What::Silent { host: about },
            SLOW => What::Slow { host: about, hundredths: (value >> 16) as u16, reads: value as u16 },
            _ => return Err(Bad::Kind),
        };
        facts.push(Fact { what, origin: who, at: nearest(now, read_number(&entry[11..15]) as u32) });
    }
    Ok(Datagram {
        from: read_number(&head[4..6]) as u16,
        zone: head[22],
        life: life(&head[6..16]),
        message,
        news,
        facts,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    const NOW: f64 = 1_796_000_000_000.0;

    fn set() -> Config {
        Config { cases: 512, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Config::default() }
    }

    fn life() -> impl Strategy<Value = Incarnation> {
        (0u64..1 << 48, any::<u32>()).prop_map(|(started, count)| Incarnation { started, refutations: count })
    }

    fn news() -> impl Strategy<Value = Update> {
        let state = prop::sample::select(vec![State::Alive, State::Suspect, State::Dead, State::Left]);
        (any::<u16>(), life(), state).prop_map(|(member, incarnation, state)| Update {
            member,
            incarnation,
            state,
        })
    }

    fn fact() -> impl Strategy<Value = Fact> {
        let what = prop_oneof![
            (any::<u32>(), any::<u32>()).prop_map(|(group, host)| What::Leads { group, host }),
            (any::<u32>(), any::<u32>()).prop_map(|(host, ms)| What::Behind { host, ms }),
            any::<u32>().prop_map(|host| What::Silent { host }),
            (any::<u32>(), any::<u16>(), any::<u16>()).prop_map(|(host, hundredths, reads)| What::Slow {
                host,
                hundredths,
                reads
            }),
        ];
        (what, any::<u16>(), -1_000_000i64..1_000_000).prop_map(|(what, origin, off)| Fact {
            what,
            origin,
            at: NOW + off as f64,
        })
    }

    fn datagram() -> impl Strategy<Value = Datagram> {
        let message = prop_oneof![
            any::<u32>().prop_map(|number| Message::Ping { number }),
            any::<u32>().prop_map(|number| Message::Ack { number }),
            (any::<u32>(), any::<u16>()).prop_map(|(number, target)| Message::PingRequest { number, target }),
            Just(Message::Gossip),
        ];
        let entries = (prop::collection::vec(news(), 0..7), prop::collection::vec(fact(), 0..8));
        (any::<u16>(), any::<u8>(), life(), message, entries).prop_map(
            |(from, zone, life, message, (news, facts))| Datagram { from, zone, life, message, news, facts },
        )
    }

    proptest! {
        #![proptest_config(set())]

        #[test]
        fn what_is_written_is_read(datagram in datagram(), keyed in any::<bool>()) {
            let key = Some(Key::new(b"secret")).filter(|_| keyed);
            let mut bytes = Vec::new();
            write(&datagram, key.as_ref(), &mut bytes);
            prop_assert!(bytes.len() <= MOST);
            prop_assert_eq!(read(&bytes, key.as_ref(), NOW + 1_234.5), Ok(datagram));
        }

        /// However much there is to say, it fits; what comes first is told.
        #[test]
        fn what_does_not_fit_is_left_out(datagram in datagram(), more in prop::collection::vec(news(), 14..40)) {
            let mut bytes = Vec::new();
            let full = Datagram { news: more, ..datagram };
            write(&full, Some(&Key::new(b"k")), &mut bytes);
            prop_assert!(bytes.len() <= MOST);
            let back = read(&bytes, Some(&Key::new(b"k")), NOW).unwrap();
            prop_assert_eq!(&back.news[..], &full.news[..ENTRIES]);
            prop_assert!(back.facts.is_empty());
        }

        #[test]
        fn what_was_changed_on_the_way_is_dropped(datagram in datagram(), at in any::<usize>(), bit in 0u8..8) {
            let key = Key::new(b"secret");
            let mut bytes = Vec::new();
            write(&datagram, Some(&key), &mut bytes);
            prop_assert!(read(&bytes[..at % bytes.len()], Some(&key), NOW).is_err());
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            prop_assert!(read(&bytes, Some(&key), NOW).is_err());
        }

        #[test]
        fn any_bytes_are_a_datagram_or_a_defined_fault(
            bytes in prop::collection::vec(any::<u8>(), 0..300), kind in 14u8..22, count in 0u8..20
        ) {
            let _ = read(&bytes, None, NOW);
            let mut marked = vec![MARK[0], MARK[1], kind, count];
            marked.extend_from_slice(&bytes);
            let _ = read(&marked, None, NOW);
            marked.resize(HEAD + ENTRY * usize::from(count), 0);
            if let Ok(datagram) = read(&marked, None, NOW) {
                prop_assert!(datagram.news.len() + datagram.facts.len() == usize::from(count));
            }
        }
    }
}

//! What routers of a tier tell one another, in datagrams of at most 256 bytes. No I/O: bytes in, letters out.
//!
//! A datagram: two bytes of mark and version, a kind, a count, the eight bytes of a life (the asker's, so
//! that an answer to another life of the same router means nothing to this one), the entries, and where a key
//! is set 16 bytes of a keyed hash (BLAKE3) over all before them. Numbers are big-endian. Whoever can't be
//! read, or lacks the key, is dropped and counted; it costs nobody else.
//!
//! An old datagram sent again changes nothing: questions change nothing, and an answer counts for one open
//! ask of one life only.

pub mod tier;

/// The longest datagram.
pub const MOST: usize = 256;
const MARK: [u8; 2] = [0x4d, 1];
const HEAD: usize = 12;
const MAC: usize = 16;
/// Entries that fit into one datagram, with room for the hash.
pub const ENTRIES: usize = (MOST - HEAD - MAC) / 16;

/// One datagram's contents.
#[derive(Clone, Debug, PartialEq)]
pub enum Letter {
    /// From what positions on do these sessions see their writes? Ask and session each.
    Ask { life: u64, asks: Vec<(u64, u64)> },
    /// Ask and position each; `life` is the asker's.
    Told { life: u64, marks: Vec<(u64, f64)> },
    /// Are you there?
    Knock { life: u64 },
    /// Yes; `life` is the one that asked.
    Alive { life: u64 },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Too short, too long, or its count does not fit its length.
    Length,
    /// Another protocol, or another version of this one.
    Mark,
    Kind,
    /// The hash does not fit: another key, or changed on the way.
    Key,
}

/// The key that a tier shares.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// From whatever the operator set, at any length.
    pub fn new(secret: &[u8]) -> Key {
        Key(blake3::derive_key("magpiewell peers 1", secret))
    }

    fn hash(&self, bytes: &[u8]) -> [u8; MAC] {
        let whole = blake3::keyed_hash(&self.0, bytes);
        let mut hash = [0; MAC];
        hash.copy_from_slice(&whole.as_bytes()[..MAC]);
        hash
    }
}

/// Writes a datagram. Entries beyond [`ENTRIES`] are left out: whoever has more writes more datagrams.
pub fn write(letter: &Letter, key: Option<&Key>, to: &mut Vec<u8>) {
    to.clear();
    let (kind, life) = match letter {
        Letter::Ask { life, .. } => (1, life),
        Letter::Told { life, .. } => (2, life),
        Letter::Knock { life } => (3, life),
        Letter::Alive { life } => (4, life),
    };
    to.extend_from_slice(&MARK);
    to.extend_from_slice(&[kind, 0]);
    to.extend_from_slice(&life.to_be_bytes());
    let mut entry = |first: u64, second: u64| {
        to.extend_from_slice(&first.to_be_bytes());
        to.extend_from_slice(&second.to_be_bytes());
    };
    let count = match letter {
        Letter::Ask { asks, .. } => {
            asks.iter().take(ENTRIES).for_each(|(ask, session)| entry(*ask, *session));
            asks.len().min(ENTRIES)
        }
        Letter::Told { marks, .. } => {
            marks.iter().take(ENTRIES).for_each(|(ask, mark)| entry(*ask, mark.to_bits()));
            marks.len().min(ENTRIES)
        }
        _ => 0,
    };
    to[3] = count as u8;
    if let Some(key) = key {
        let hash = key.hash(to);
        to.extend_from_slice(&hash);
    }
}

fn number(bytes: &[u8], at: usize) -> Option<u64> {
    bytes.get(at..at + 8).and_then(|eight| eight.try_into().ok()).map(u64::from_be_bytes)
}

/// What stands before the hash, at least so long, if mark and hash fit.
fn body<'a>(bytes: &'a [u8], key: Option<&Key>, least: usize) -> Result<&'a [u8], Bad> {
    let end = bytes.len().checked_sub(if key.is_some() { MAC } else { 0 }).ok_or(Bad::Length)?;
    let (body, hash) = bytes.split_at(end);
    if body.len() < least || bytes.len() > MOST {
        return Err(Bad::Length);
    }
    if body[..2] != MARK {
        return Err(Bad::Mark);
    }
    if let Some(key) = key {
        // Compared in full whatever differs, so that its time tells nothing.
        let differs = key.hash(body).iter().zip(hash).fold(0, |all, (a, b)| all | (a ^ b));
        if differs != 0 {
            return Err(Bad::Key);
        }
    }
    Ok(body)
}

/// Reads a datagram.
pub fn read(bytes: &[u8], key: Option<&Key>) -> Result<Letter, Bad> {
    let body = body(bytes, key, HEAD)?;
    if body.len() != HEAD + 16 * usize::from(body[3]) {
        return Err(Bad::Length);
    }
    let life = number(body, 4).ok_or(Bad::Length)?;
    let entries = body[HEAD..].chunks_exact(16).filter_map(|e| Some((number(e, 0)?, number(e, 8)?)));
    match body[2] {
        1 => Ok(Letter::Ask { life, asks: entries.collect() }),
        2 => {
            Ok(Letter::Told { life, marks: entries.map(|(ask, bits)| (ask, f64::from_bits(bits))).collect() })
        }
        3 if body[3] == 0 => Ok(Letter::Knock { life }),
        4 if body[3] == 0 => Ok(Letter::Alive { life }),
        3 | 4 => Err(Bad::Length),
        _ => Err(Bad::Kind),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn set() -> Config {
        Config { cases: 512, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() }
    }

    fn letter() -> impl Strategy<Value = Letter> {
        let pairs = || prop::collection::vec((any::<u64>(), any::<u64>()), 0..=ENTRIES);
        prop_oneof![
            (any::<u64>(), pairs()).prop_map(|(life, asks)| Letter::Ask { life, asks }),
            (any::<u64>(), prop::collection::vec((any::<u64>(), -1e15f64..1e15), 0..=ENTRIES))
                .prop_map(|(life, marks)| Letter::Told { life, marks }),
            any::<u64>().prop_map(|life| Letter::Knock { life }),
            any::<u64>().prop_map(|life| Letter::Alive { life }),
        ]
    }

    proptest! {
        #![proptest_config(set())]

        #[test]
        fn what_is_written_is_read(letter in letter(), keyed in any::<bool>()) {
            let key = Some(Key::new(b"secret")).filter(|_| keyed);
            let mut bytes = Vec::new();
            write(&letter, key.as_ref(), &mut bytes);
            prop_assert!(bytes.len() <= MOST);
            prop_assert_eq!(read(&bytes, key.as_ref()), Ok(letter));
        }

        /// Cut short, lengthened, or with any one bit turned: dropped where a key is set.
        #[test]
        fn what_was_changed_on_the_way_is_dropped(letter in letter(), at in any::<usize>(), bit in 0u8..8) {
            let key = Key::new(b"secret");
            let mut bytes = Vec::new();
            write(&letter, Some(&key), &mut bytes);
            prop_assert!(read(&bytes, Some(&Key::new(b"another"))).is_err());
            prop_assert!(read(&bytes[..at % bytes.len()], Some(&key)).is_err());
            let (at, mut longer) = (at % bytes.len(), bytes.clone());
            longer.push(0);
            prop_assert!(read(&longer, Some(&key)).is_err());
            bytes[at] ^= 1 << bit;
            prop_assert!(read(&bytes, Some(&key)).is_err());
        }

        #[test]
        fn any_bytes_are_a_letter_or_a_defined_fault(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = read(&bytes, None);
            let mut marked = vec![MARK[0], MARK[1]];
            marked.extend_from_slice(&bytes);
            if let Ok(letter) = read(&marked, None) {
                let mut again = Vec::new();
                write(&letter, None, &mut again);
                prop_assert_eq!(again, marked);
            }
        }
    }
}

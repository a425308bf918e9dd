//! The datagrams of at most 256 bytes that routers of a tier send one another. No I/O: bytes in, messages
//! out.
//!
//! Each datagram begins with a mark, a version, a kind and a number of entries; where a key is set, 16 bytes
//! of a keyed hash (BLAKE3) over everything before them follow at the end. Numbers are big-endian. A datagram
//! that can't be decoded, or was made without the key, is dropped and counted by the receiver; this costs no
//! other sender anything.

mod frame;
mod key;
pub mod session;
pub mod tier;

pub use frame::{DecodeError, MAX_DATAGRAM_BYTES};
pub use key::Key;

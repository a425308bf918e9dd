//! Encoding and decoding of the datagrams, of at most 256 bytes, that the routers of a tier exchange. No I/O:
//! bytes in, messages out.
//!
//! Each datagram starts with a magic byte, a version, a kind and an entry count. If a key is set, it ends
//! with 16 bytes of a keyed hash (BLAKE3) over everything before them. Numbers are big-endian. The receiver
//! drops and counts datagrams that can't be decoded or were made without the key; other senders are not
//! affected.

mod frame;
mod key;
pub mod session;
pub mod tier;

pub use frame::{DecodeError, MAX_DATAGRAM_BYTES};
pub use key::Key;

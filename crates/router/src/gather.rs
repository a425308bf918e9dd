//! Gathered writes.

use std::io::{Error, ErrorKind, IoSlice, Result, Write};
use std::net::TcpStream;

/// Writes all parts in order; an error says that the last byte was not written.
pub fn write_all(mut to: &TcpStream, parts: &[&[u8]]) -> Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut rest = &mut slices[..];
    IoSlice::advance_slices(&mut rest, 0);
    while !rest.is_empty() {
        match to.write_vectored(rest) {
            Ok(0) => return Err(Error::from(ErrorKind::WriteZero)),
            Ok(n) => IoSlice::advance_slices(&mut rest, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

//! Gathered writes.

use socket2::SockRef;
use std::io::{ErrorKind, IoSlice, Result};
use std::net::TcpStream;

/// Writes what is taken without waiting; tells how many bytes that was.
pub fn write_nonblocking(to: &TcpStream, parts: &[&[u8]]) -> Result<usize> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut rest = &mut slices[..];
    let mut written = 0;
    while !rest.is_empty() {
        match SockRef::from(to).send_vectored_with_flags(rest, libc::MSG_DONTWAIT) {
            Ok(n) => {
                written += n;
                IoSlice::advance_slices(&mut rest, n);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(written)
}

//! Non-blocking vectored writes.

use socket2::SockRef;
use std::io::{ErrorKind, IoSlice, Result};
use std::net::TcpStream;

/// Writes as much as the socket accepts without blocking; returns the number of bytes written.
pub fn write_nonblocking(stream: &TcpStream, parts: &[&[u8]]) -> Result<usize> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut remaining = &mut slices[..];
    let mut written = 0;
    while !remaining.is_empty() {
        match SockRef::from(stream).send_vectored_with_flags(remaining, libc::MSG_DONTWAIT) {
            Ok(n) => {
                written += n;
                IoSlice::advance_slices(&mut remaining, n);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(written)
}

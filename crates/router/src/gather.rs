//! Gathered writes.

use socket2::SockRef;
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

/// Writes what is taken without waiting; tells how many bytes that was.
pub fn write_now(to: &TcpStream, parts: &[&[u8]]) -> Result<usize> {
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

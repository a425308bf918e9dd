//! A stand-in db host on loopback: admits everybody and answers each statement at once, reads as a replica.

use magpiewell_pg::{encode, frame};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A row with this value, and what stands beside it.
fn served(value: &[u8], tag: &str, role: &str) -> Vec<u8> {
    let described = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
    let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
    let role = message(b'S', format!("server_role\0{role}\0").as_bytes());
    let parts =
        [message(b'T', &described), message(b'D', &data), message(b'C', format!("{tag}\0").as_bytes())];
    [parts.concat(), role, encode::READY_FOR_QUERY.to_vec()].concat()
}

/// Listens on a free port until the process ends.
pub fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = move || drop(serve(stream));
            drop(std::thread::Builder::new().stack_size(128 * 1024).spawn(serve));
        }
    });
    Ok(at)
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut buf, mut chunk, mut opened) = (Vec::new(), [0; 4096], false);
    let (read, write) = (served(b"\\x9f", "SELECT 1", "reader"), served(b"\\x9f", "INSERT 0 1", "writer"));
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        buf.extend_from_slice(&chunk[..n]);
        let bad = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        if !opened {
            let Some((_, body)) = frame::startup(&buf, 10_000).map_err(bad)? else { continue };
            buf.drain(..body.end);
            let mut admits = Vec::new();
            encode::startup_reply(&mut admits);
            stream.write_all(&admits)?;
            opened = true;
        }
        while let Some((_, body)) = frame::message(&buf, 1 << 20).map_err(bad)? {
            let writes = buf[body.clone()].starts_with(b"INSERT");
            buf.drain(..body.end);
            stream.write_all(if writes { &write } else { &read })?;
        }
    }
}

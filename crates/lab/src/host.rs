//! A stand-in database host on loopback: it accepts every client and answers each statement at once, reads in
//! the role of a replica, writes in that of a primary.

use magpiewell_pg::{encode, frame};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A whole response: one row with this value, the command tag, and the role that the host reports.
fn response(value: &[u8], tag: &str, role: &str) -> Vec<u8> {
    let row_description = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
    let data_row = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
    let role_status = message(b'S', format!("server_role\0{role}\0").as_bytes());
    let parts = [
        message(b'T', &row_description),
        message(b'D', &data_row),
        message(b'C', format!("{tag}\0").as_bytes()),
    ];
    [parts.concat(), role_status, encode::READY_FOR_QUERY.to_vec()].concat()
}

/// Starts a host on a free port and returns its address; it runs until the process ends.
pub fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = move || drop(serve(stream));
            drop(std::thread::Builder::new().stack_size(128 * 1024).spawn(serve));
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut buf, mut chunk, mut is_started) = (Vec::new(), [0; 4096], false);
    // Two values in turn, as a router verifies rows that repeat.
    let responses = [b"\\x9f", b"\\x03"]
        .map(|value| (response(value, "SELECT 1", "reader"), response(value, "INSERT 0 1", "writer")));
    let mut queries = 0;
    let mut empty_query_response = Vec::new();
    encode::empty_query_response(&mut empty_query_response);
    empty_query_response.extend_from_slice(&encode::READY_FOR_QUERY);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        buf.extend_from_slice(&chunk[..n]);
        let invalid_data = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        if !is_started {
            let Some((_, body)) = frame::startup(&buf, 10_000).map_err(invalid_data)? else { continue };
            buf.drain(..body.end);
            let mut reply = Vec::new();
            encode::startup_reply(&mut reply);
            stream.write_all(&reply)?;
            is_started = true;
        }
        while let Some((_, body)) = frame::message(&buf, 1 << 20).map_err(invalid_data)? {
            let text = &buf[body.clone()];
            let (read_response, write_response) = &responses[queries % responses.len()];
            queries += 1;
            let response = match text {
                [0] => &empty_query_response,
                _ if text.starts_with(b"INSERT") => write_response,
                _ => read_response,
            };
            stream.write_all(response)?;
            buf.drain(..body.end);
        }
    }
}

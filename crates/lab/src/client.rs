//! A plain client of the router: opens a connection, asks, reads the answer.

use magpiewell_pg::{encode, frame};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

pub struct Client {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// How an op ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Acked,
    /// Turned away, to come back in so many ms, 0 where no time is named.
    Busy(f64),
    Errored,
}

impl Client {
    /// Connects; nothing is said yet.
    pub fn connect(at: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        Ok(Client { stream, buf: Vec::new() })
    }

    /// Connects and opens.
    pub fn open(at: SocketAddr) -> Result<Client> {
        let mut client = Client::connect(at)?;
        let mut opening = Vec::new();
        encode::startup_message(&mut opening, "svc", "main");
        client.stream.write_all(&opening)?;
        client.read_answer()?;
        Ok(client)
    }

    /// Whether the router has closed it; to be asked between requests.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let open = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !open
    }

    /// Whether the router says that it knows a list of hosts: it answers an empty query without an error.
    pub fn is_ready(&mut self) -> Result<bool> {
        self.stream.write_all(&[&encode::query_header(0)[..], &[0]].concat())?;
        Ok(self.read_answer()? == Answer::Acked)
    }

    pub fn read_answer(&mut self) -> Result<Answer> {
        let mut answer = Answer::Acked;
        let mut chunk = [0; 2048];
        loop {
            let bad = |_| Error::from(ErrorKind::InvalidData);
            while let Some((kind, body)) = frame::message(&self.buf, 1 << 20).map_err(bad)? {
                let whole = body.end;
                if kind == b'E' {
                    let body = &self.buf[body];
                    let text = |letter| frame::error_field(body, letter).map(String::from_utf8_lossy);
                    let wait = text(b'D').and_then(|detail| detail.parse().ok()).unwrap_or(0.0);
                    let busy = text(b'C').is_some_and(|code| code == "53300");
                    answer = if busy { Answer::Busy(wait) } else { Answer::Errored };
                }
                self.buf.drain(..whole);
                if kind == b'Z' {
                    return Ok(answer);
                }
            }
            match self.stream.read(&mut chunk)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => self.buf.extend_from_slice(&chunk[..n]),
            }
        }
    }

    /// A read that may wait so many ms; `group` is the one the lab's hosts are in, unless another is wanted.
    pub fn read(&mut self, group: u64, wait: u64) -> Result<Answer> {
        self.read_with_op_type("look", group, wait)
    }

    /// The same as an op of another type.
    pub fn read_with_op_type(&mut self, op_type: &str, group: u64, wait: u64) -> Result<Answer> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = NEXT.fetch_add(1, Relaxed);
        let facts = format!("id={id:016x},c={op_type},t=acme,d={wait},cluster={group}");
        let text = format!("SELECT v FROM records WHERE k = 'k{id}' /* {facts} */");
        let head = encode::query_header(text.len());
        self.stream.write_all(&[&head[..], text.as_bytes(), &[0]].concat())?;
        self.read_answer()
    }
}

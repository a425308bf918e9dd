//! A blocking client of the router: opens a connection, sends reads and reads the answers.

use magpiewell_pg::{encode, frame};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// A connection to a router.
pub struct Client {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// How an op ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Acked,
    /// Refused as busy, with the retry-after time in ms; 0 if the answer has none.
    Busy(f64),
    Errored,
}

impl Client {
    /// Connects without sending a startup message.
    pub fn connect(addr: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        Ok(Client { stream, buf: Vec::new() })
    }

    /// Connects, and completes the startup.
    pub fn open(addr: SocketAddr) -> Result<Client> {
        let mut client = Client::connect(addr)?;
        client.stream.write_all(&startup_message())?;
        client.read_answer()?;
        Ok(client)
    }

    /// Whether the router has closed the connection. To be called between requests: unread bytes count as
    /// closed, too.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peek_result = self.stream.peek(&mut byte);
        let is_open = matches!(&peek_result, Err(e) if e.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !is_open
    }

    /// Whether the router knows a host list: only then does it answer an empty query without an error.
    pub fn is_ready(&mut self) -> Result<bool> {
        self.stream.write_all(&[&encode::query_header(0)[..], &[0]].concat())?;
        Ok(self.read_answer()? == Answer::Acked)
    }

    /// Reads up to the next `ReadyForQuery` and returns how the op ended.
    pub fn read_answer(&mut self) -> Result<Answer> {
        let mut answer = Answer::Acked;
        let mut chunk = [0; 2048];
        loop {
            let invalid_data = |_| Error::from(ErrorKind::InvalidData);
            while let Some((kind, body)) = frame::message(&self.buf, 1 << 20).map_err(invalid_data)? {
                let message_end = body.end;
                if kind == b'E' {
                    let body = &self.buf[body];
                    let field = |code| frame::error_field(body, code).map(String::from_utf8_lossy);
                    let retry_after_ms = field(b'D').and_then(|detail| detail.parse().ok()).unwrap_or(0.0);
                    let is_busy = field(b'C').is_some_and(|code| code == "53300");
                    answer = if is_busy { Answer::Busy(retry_after_ms) } else { Answer::Errored };
                }
                self.buf.drain(..message_end);
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

    /// Sends a read of type `look` for this group, with a client timeout in ms, and returns how it ended.
    pub fn read(&mut self, group: u64, client_timeout_ms: u64) -> Result<Answer> {
        self.read_with_op_type("look", group, client_timeout_ms)
    }

    /// Like [`Client::read`], for an op of this type.
    pub fn read_with_op_type(&mut self, op_type: &str, group: u64, client_timeout_ms: u64) -> Result<Answer> {
        self.send_read_after(&[], op_type, group, client_timeout_ms)?;
        self.read_answer()
    }

    /// Sends a read behind `bytes`, without waiting for its answer.
    pub fn send_read_after(
        &mut self,
        bytes: &[u8],
        op_type: &str,
        group: u64,
        client_timeout_ms: u64,
    ) -> Result<()> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let id = NEXT_ID.fetch_add(1, Relaxed);
        let facts = format!("id={id:016x},c={op_type},t=acme,d={client_timeout_ms},cluster={group}");
        let statement = format!("SELECT v FROM records WHERE k = 'k{id}' /* {facts} */");
        let header = encode::query_header(statement.len());
        self.stream.write_all(&[bytes, &header[..], statement.as_bytes(), &[0]].concat())
    }
}

/// The startup message of a client.
pub fn startup_message() -> Vec<u8> {
    let mut startup = Vec::new();
    encode::startup_message(&mut startup, "svc", "main");
    startup
}

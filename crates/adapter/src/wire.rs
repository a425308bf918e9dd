//! Frames, fields and codes of the simulator's wire.

use std::io::Write;

pub const EVENT: usize = 56;
pub const ACTION: usize = 32;
pub const ENTRY: usize = 29;

pub mod event {
    pub const SUBMIT: u8 = 16;
    pub const HEADERS: u8 = 17;
    pub const SPAWN: u8 = 18;
    pub const ATTEMPT_END: u8 = 19;
    pub const ELAPSED: u8 = 20;
    pub const DESTROY: u8 = 21;
    pub const ANNOUNCE: u8 = 22;
    pub const STATUS_BACK: u8 = 23;
    pub const INVENTORY: u8 = 24;
    pub const WHISPER: u8 = 25;
    pub const ABANDONED: u8 = 26;
    pub const FIRST: u8 = SUBMIT;
    pub const LAST: u8 = ABANDONED;
}

pub mod action {
    pub const ROUTE: u8 = 16;
    pub const DECLINE: u8 = 17;
    pub const REPORT_FAILURE: u8 = 18;
    pub const WITHDRAW: u8 = 19;
    pub const WAKE_AT: u8 = 20;
    pub const TOUCH: u8 = 21;
    pub const SHUT_IDLE: u8 = 22;
    pub const RECORD: u8 = 24;
    pub const DIE: u8 = 25;
    pub const KEEP_INFORMED: u8 = 26;
}

fn bytes<const N: usize>(from: &[u8], at: usize) -> [u8; N] {
    from[at..at + N].try_into().expect("N bytes")
}

pub fn u16_at(from: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes(from, at))
}

pub fn u32_at(from: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes(from, at))
}

pub fn u64_at(from: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes(from, at))
}

pub fn f32_at(from: &[u8], at: usize) -> f32 {
    f32::from_le_bytes(bytes(from, at))
}

pub fn f64_at(from: &[u8], at: usize) -> f64 {
    f64::from_le_bytes(bytes(from, at))
}

/// A host's address and port, as they stand on the wire.
pub fn host_at(from: &[u8], at: usize) -> [u8; 6] {
    bytes(from, at)
}

/// One batch.
pub struct Frame {
    pub clock: f64,
    count: usize,
    body: Vec<u8>,
}

impl Frame {
    pub fn new(header: &[u8; 16], body: Vec<u8>) -> Result<Frame, String> {
        let count = u32_at(header, 4) as usize;
        if count.checked_mul(EVENT).is_none_or(|size| size > body.len()) {
            return Err(format!("{count} records do not fit into {} bytes", body.len()));
        }
        Ok(Frame { clock: f64_at(header, 8), count, body })
    }

    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        self.body[..self.count * EVENT].chunks_exact(EVENT)
    }

    pub fn tail(&self) -> &[u8] {
        &self.body[self.count * EVENT..]
    }
}

/// The part of a frame behind its records.
pub struct Tail<'a>(pub &'a [u8]);

impl<'a> Tail<'a> {
    /// What the field at `at` refers to: its offset, and how many things of `size` bytes.
    pub fn part(&self, record: &[u8], at: usize, size: usize) -> Result<&'a [u8], String> {
        let (start, count) = (u32_at(record, at) as usize, u32_at(record, at + 4) as usize);
        let end = count.checked_mul(size).and_then(|length| start.checked_add(length));
        match end {
            Some(end) if end <= self.0.len() => Ok(&self.0[start..end]),
            _ => Err(format!("tail reference {start}+{count}x{size} lies beyond {} bytes", self.0.len())),
        }
    }
}

/// One reply, built record by record.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
    }

    /// Adds a record: its code, the instance, then the fields in order.
    pub fn add(&mut self, code: u8, router: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&router.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= start + ACTION);
        self.records.resize(start + ACTION, 0);
    }

    fn add_text(&mut self, code: u8, router: u32, text: &str) {
        let start = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(text.as_bytes());
        self.add(code, router, &[&start, &(text.len() as u32).to_le_bytes()]);
    }

    pub fn log(&mut self, router: u32, text: &str) {
        self.add_text(action::RECORD, router, text);
    }

    pub fn die(&mut self, router: u32, text: &str) {
        self.add_text(action::DIE, router, text);
    }

    pub fn write(&self, to: &mut impl Write) -> std::io::Result<()> {
        to.write_all(&((self.records.len() + self.tail.len()) as u32).to_le_bytes())?;
        to.write_all(&((self.records.len() / ACTION) as u32).to_le_bytes())?;
        to.write_all(&self.records)?;
        to.write_all(&self.tail)
    }
}

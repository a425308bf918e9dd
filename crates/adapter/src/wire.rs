//! Frames, fields and codes of the simulator's wire format. Numbers are little-endian.

use std::io::Write;

/// Size of an event record.
pub const EVENT_BYTES: usize = 56;
/// Size of an action record.
pub const ACTION_BYTES: usize = 32;
/// Size of an entry of a host list.
pub const ENTRY_BYTES: usize = 29;

/// Codes of the events that the simulator sends.
pub mod event {
    /// A client has sent an op.
    pub const SUBMIT: u8 = 16;
    /// The start of a streamed answer; ignored.
    pub const HEADERS: u8 = 17;
    /// Starts a router instance with the given settings.
    pub const SPAWN: u8 = 18;
    /// A send has ended.
    pub const ATTEMPT_END: u8 = 19;
    /// The time requested by [`action::WAKE_AT`](super::action::WAKE_AT) has come.
    pub const ELAPSED: u8 = 20;
    /// Removes a router instance.
    pub const DESTROY: u8 = 21;
    /// Gives a router instance a list response, by the number of a stored list.
    pub const ANNOUNCE: u8 = 22;
    /// A probe has ended.
    pub const STATUS_BACK: u8 = 23;
    /// Stores a host list under a number.
    pub const INVENTORY: u8 = 24;
    /// A message from another router; ignored.
    pub const WHISPER: u8 = 25;
    /// The client of an op no longer waits for it.
    pub const ABANDONED: u8 = 26;
    pub const FIRST: u8 = SUBMIT;
    pub const LAST: u8 = ABANDONED;
}

/// Codes of the actions that the adapter replies with.
pub mod action {
    /// Sends an op to a host.
    pub const ROUTE: u8 = 16;
    /// Gives an op a busy reply.
    pub const DECLINE: u8 = 17;
    /// Gives an op an error reply.
    pub const REPORT_FAILURE: u8 = 18;
    /// Withdraws a send.
    pub const WITHDRAW: u8 = 19;
    /// Requests an [`event::ELAPSED`](super::event::ELAPSED) after a delay.
    pub const WAKE_AT: u8 = 20;
    /// Probes a host.
    pub const TOUCH: u8 = 21;
    /// Closes the idle connections to a host.
    pub const SHUT_IDLE: u8 = 22;
    /// Writes a log line.
    pub const RECORD: u8 = 24;
    /// Reports that the router instance has failed.
    pub const DIE: u8 = 25;
    /// Requests the host list and a watch for changes.
    pub const KEEP_INFORMED: u8 = 26;
}

fn bytes_at<const N: usize>(from: &[u8], offset: usize) -> [u8; N] {
    from[offset..offset + N].try_into().expect("N bytes")
}

pub fn u16_at(from: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(bytes_at(from, offset))
}

pub fn u32_at(from: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes_at(from, offset))
}

pub fn u64_at(from: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes_at(from, offset))
}

pub fn f32_at(from: &[u8], offset: usize) -> f32 {
    f32::from_le_bytes(bytes_at(from, offset))
}

pub fn f64_at(from: &[u8], offset: usize) -> f64 {
    f64::from_le_bytes(bytes_at(from, offset))
}

/// A host's address and port, in their encoded form.
pub fn host_at(from: &[u8], offset: usize) -> [u8; 6] {
    bytes_at(from, offset)
}

/// A batch of event records, followed by a tail that the records refer to.
pub struct Frame {
    /// Time on the simulator's clock.
    pub clock_s: f64,
    count: usize,
    body: Vec<u8>,
}

impl Frame {
    pub fn new(header: &[u8; 16], body: Vec<u8>) -> Result<Frame, String> {
        let count = u32_at(header, 4) as usize;
        if count.checked_mul(EVENT_BYTES).is_none_or(|size| size > body.len()) {
            return Err(format!("{count} records do not fit into {} bytes", body.len()));
        }
        Ok(Frame { clock_s: f64_at(header, 8), count, body })
    }

    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        self.body[..self.count * EVENT_BYTES].chunks_exact(EVENT_BYTES)
    }

    pub fn tail(&self) -> &[u8] {
        &self.body[self.count * EVENT_BYTES..]
    }
}

/// The part of a frame after its records.
pub struct Tail<'a>(pub &'a [u8]);

impl<'a> Tail<'a> {
    /// The part of the tail that a record's field refers to. The field, at `offset`, holds the start of the
    /// part and a count of items of `item_size` bytes.
    pub fn part(&self, record: &[u8], offset: usize, item_size: usize) -> Result<&'a [u8], String> {
        let (start, count) = (u32_at(record, offset) as usize, u32_at(record, offset + 4) as usize);
        let end = count.checked_mul(item_size).and_then(|length| start.checked_add(length));
        match end {
            Some(end) if end <= self.0.len() => Ok(&self.0[start..end]),
            _ => {
                Err(format!("tail reference {start}+{count}x{item_size} lies beyond {} bytes", self.0.len()))
            }
        }
    }
}

/// The reply to one frame: action records and the texts that they refer to.
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

    /// Appends a record: its code, the number of the router instance, then the fields in order, padded with
    /// zeros.
    pub fn push(&mut self, code: u8, router: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&router.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= start + ACTION_BYTES);
        self.records.resize(start + ACTION_BYTES, 0);
    }

    fn push_text(&mut self, code: u8, router: u32, text: &str) {
        let start = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(text.as_bytes());
        self.push(code, router, &[&start, &(text.len() as u32).to_le_bytes()]);
    }

    /// Records a log line of the instance.
    pub fn log(&mut self, router: u32, text: &str) {
        self.push_text(action::RECORD, router, text);
    }

    /// Reports that the instance has failed, and why.
    pub fn fail(&mut self, router: u32, reason: &str) {
        self.push_text(action::DIE, router, reason);
    }

    /// Writes the length of records and tail, the number of records, the records and the tail.
    pub fn write_to(&self, output: &mut impl Write) -> std::io::Result<()> {
        output.write_all(&((self.records.len() + self.tail.len()) as u32).to_le_bytes())?;
        output.write_all(&((self.records.len() / ACTION_BYTES) as u32).to_le_bytes())?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)
    }
}

//! Connects magpiewell's decision core to the simulator: reads frames of events from standard input and
//! writes one reply of actions per frame to standard output.

mod instance;
mod wire;

use instance::Instance;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::process::ExitCode;
use wire::{Frame, Reply, Tail, event};

/// Longest accepted frame body; a greater length is taken for corruption.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Number of host lists that one process holds.
const HOST_LISTS: usize = 16;

struct Adapter {
    /// Router instances by the number that the simulator gives them.
    instances: HashMap<u32, Instance>,
    /// The numbered host lists, shared by all instances, as encoded entries.
    host_lists: Vec<Vec<u8>>,
}

impl Adapter {
    fn handle_frame(&mut self, frame: &Frame, reply: &mut Reply) -> Result<(), String> {
        let now_ms = frame.clock_s * 1000.0;
        for (index, record) in frame.records().enumerate() {
            let tail = Tail(frame.tail());
            self.handle_event(now_ms, record, &tail, reply).map_err(|e| format!("record {index}: {e}"))?;
        }
        Ok(())
    }

    /// Handles one event. Returns an error if the input is malformed. An instance that fails is removed, and
    /// its failure is put into the reply.
    fn handle_event(
        &mut self,
        now_ms: f64,
        record: &[u8],
        tail: &Tail,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let code = record[0];
        match code {
            event::INVENTORY => {
                let number = wire::u16_at(record, 1) as usize;
                let list =
                    self.host_lists.get_mut(number).ok_or(format!("list number {number} is out of range"))?;
                *list = tail.part(record, 3, wire::ENTRY_BYTES)?.to_vec();
                return Ok(());
            }
            event::SPAWN => {
                let router = wire::u32_at(record, 1);
                let settings = tail.part(record, 13, 1)?;
                self.instances.remove(&router);
                match Instance::start(now_ms, router, wire::u64_at(record, 5), settings, reply) {
                    Ok(instance) => drop(self.instances.insert(router, instance)),
                    Err(reason) => reply.fail(router, &reason),
                }
                return Ok(());
            }
            event::DESTROY => {
                self.instances.remove(&wire::u32_at(record, 1));
                return Ok(());
            }
            event::FIRST..=event::LAST => {}
            _ => return Err(format!("unknown event code {code}")),
        }
        let empty: &[u8] = &[];
        let (host_list, peer_message) = match code {
            // Kind 3 reports that the list call failed; it names no list.
            event::ANNOUNCE if record[5] != 3 => {
                let number = wire::u16_at(record, 14) as usize;
                let list =
                    self.host_lists.get(number).ok_or(format!("list number {number} is out of range"))?;
                (list.as_slice(), empty)
            }
            event::WHISPER => (empty, tail.part(record, 9, 1)?),
            _ => (empty, empty),
        };
        let router = wire::u32_at(record, 1);
        let Some(instance) = self.instances.get_mut(&router) else {
            return Ok(());
        };
        if let Err(reason) = instance.handle_event(now_ms, record, host_list, peer_message, reply) {
            reply.fail(router, &reason);
            self.instances.remove(&router);
        }
        Ok(())
    }
}

/// Fills the buffer. False if the input ends before the first byte; an end after it is an error.
fn read_full(input: &mut impl Read, buffer: &mut [u8], what: &str) -> Result<bool, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                return Err(format!("input ends inside {what}: {filled} of {} bytes", buffer.len()));
            }
            Ok(n) => filled += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read {what}: {e}")),
        }
    }
    Ok(true)
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut adapter = Adapter { instances: HashMap::new(), host_lists: vec![Vec::new(); HOST_LISTS] };
    let mut reply = Reply::default();
    for number in 0.. {
        let mut header = [0; 16];
        let in_frame = |e: String| format!("frame {number}: {e}");
        if !read_full(&mut input, &mut header, "a header").map_err(in_frame)? {
            return Ok(());
        }
        let length = wire::u32_at(&header, 0) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(in_frame(format!("length {length} exceeds the limit of {MAX_FRAME_BYTES} bytes")));
        }
        let mut body = vec![0; length];
        if length > 0 && !read_full(&mut input, &mut body, "a frame").map_err(in_frame)? {
            return Err(in_frame(format!("input ends inside a frame: 0 of {length} bytes")));
        }
        let frame = Frame::new(&header, body).map_err(in_frame)?;
        reply.clear();
        adapter.handle_frame(&frame, &mut reply).map_err(in_frame)?;
        reply.write_to(&mut output).and_then(|()| output.flush()).map_err(|e| in_frame(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("magpiewell-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

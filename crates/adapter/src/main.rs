//! Puts magpiewell's decisions on the simulator's wire: batches on standard input, replies on standard output.

mod instance;
mod wire;

use instance::Instance;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::process::ExitCode;
use wire::{Frame, Reply, Tail, event};

/// Longest frame body taken at face value; a longer one is a damaged length.
const FRAME_MOST: usize = 1 << 30;
const PAGES: usize = 16;

struct Adapter {
    instances: HashMap<u32, Instance>,
    /// The numbered lists of the process, as raw entries.
    pages: Vec<Vec<u8>>,
}

impl Adapter {
    fn answer(&mut self, frame: &Frame, reply: &mut Reply) -> Result<(), String> {
        let now = frame.clock * 1000.0;
        for (index, record) in frame.records().enumerate() {
            let tail = Tail(frame.tail());
            self.take(now, record, &tail, reply).map_err(|e| format!("record {index}: {e}"))?;
        }
        Ok(())
    }

    fn take(&mut self, now: f64, record: &[u8], tail: &Tail, reply: &mut Reply) -> Result<(), String> {
        let code = record[0];
        match code {
            event::INVENTORY => {
                let page = wire::u16_at(record, 1) as usize;
                let slot = self.pages.get_mut(page).ok_or(format!("list number {page} is out of range"))?;
                *slot = tail.part(record, 3, wire::ENTRY)?.to_vec();
                return Ok(());
            }
            event::SPAWN => {
                let router = wire::u32_at(record, 1);
                let text = tail.part(record, 13, 1)?;
                self.instances.remove(&router);
                match Instance::start(now, router, wire::u64_at(record, 5), text, reply) {
                    Ok(instance) => drop(self.instances.insert(router, instance)),
                    Err(why) => reply.die(router, &why),
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
        let (page, words) = match code {
            event::ANNOUNCE if record[5] != 3 => {
                let page = wire::u16_at(record, 14) as usize;
                let page = self.pages.get(page).ok_or(format!("list number {page} is out of range"))?;
                (page.as_slice(), empty)
            }
            event::WHISPER => (empty, tail.part(record, 9, 1)?),
            _ => (empty, empty),
        };
        let router = wire::u32_at(record, 1);
        let Some(instance) = self.instances.get_mut(&router) else {
            return Ok(());
        };
        if let Err(why) = instance.take(now, record, page, words, reply) {
            reply.die(router, &why);
            self.instances.remove(&router);
        }
        Ok(())
    }
}

/// Fills the buffer; false at a clean end of input before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8], what: &str) -> Result<bool, String> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => {
                return Err(format!("input ends inside {what}: {have} of {} bytes", buffer.len()));
            }
            Ok(n) => have += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read {what}: {e}")),
        }
    }
    Ok(true)
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut adapter = Adapter { instances: HashMap::new(), pages: vec![Vec::new(); PAGES] };
    let mut reply = Reply::default();
    for number in 0.. {
        let mut header = [0; 16];
        let at = |e: String| format!("frame {number}: {e}");
        if !fill(&mut input, &mut header, "a header").map_err(at)? {
            return Ok(());
        }
        let length = wire::u32_at(&header, 0) as usize;
        if length > FRAME_MOST {
            return Err(at(format!("length {length} is beyond reason")));
        }
        let mut body = vec![0; length];
        if length > 0 && !fill(&mut input, &mut body, "a frame").map_err(at)? {
            return Err(at(format!("input ends inside a frame: 0 of {length} bytes")));
        }
        let frame = Frame::new(&header, body).map_err(at)?;
        reply.clear();
        adapter.answer(&frame, &mut reply).map_err(at)?;
        reply.write(&mut output).and_then(|()| output.flush()).map_err(|e| at(e.to_string()))?;
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

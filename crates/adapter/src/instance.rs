//! One instance of the module behind the wire: fields in, calls on its policy, actions out.

use crate::wire::{self, Reply, action, event};
use magpiewell::policy::Policy;
use magpiewell::{Ending, HostEntry, HostState, OpId, OpRequest, Outbox, Role};
use magpiewell_terms::settings::{self, AdapterOptions};
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Answers carry this for a primary and for a replica.
const PRIMARY: u32 = 1;
const REPLICA: u32 = 2;

/// Hosts of this instance: their small index by address, and back.
#[derive(Default)]
struct Door {
    index: HashMap<[u8; 6], usize>,
    address: Vec<[u8; 6]>,
}

impl Door {
    fn enter(&mut self, address: [u8; 6]) -> usize {
        *self.index.entry(address).or_insert_with(|| {
            self.address.push(address);
            self.address.len() - 1
        })
    }
}

struct Actions<'a> {
    router: u32,
    door: &'a Door,
    reply: &'a mut Reply,
}

impl Outbox for Actions<'_> {
    /// Here a send leaves at once.
    fn send(&mut self, op: OpId, host: usize, _begin_by: f64) {
        self.reply.push(action::ROUTE, self.router, &[&op.to_le_bytes(), &self.door.address[host]]);
    }

    fn withdraw(&mut self, op: OpId, send: usize, cut: bool) {
        if !cut {
            return;
        }
        self.reply.push(action::WITHDRAW, self.router, &[&op.to_le_bytes(), &[send as u8]]);
    }

    fn busy_reply(&mut self, op: OpId, retry_ms: f64) {
        let retry = (retry_ms / 1000.0).to_le_bytes();
        self.reply.push(action::DECLINE, self.router, &[&op.to_le_bytes(), &retry]);
    }

    fn error_reply(&mut self, op: OpId) {
        self.reply.push(action::REPORT_FAILURE, self.router, &[&op.to_le_bytes()]);
    }

    fn probe(&mut self, host: usize) {
        self.reply.push(action::TOUCH, self.router, &[&self.door.address[host]]);
    }

    fn close_idle_connections(&mut self, host: usize) {
        self.reply.push(action::SHUT_IDLE, self.router, &[&self.door.address[host]]);
    }

    fn watch_host_list(&mut self) {
        self.reply.push(action::KEEP_INFORMED, self.router, &[&[1]]);
    }

    fn wake_after(&mut self, in_ms: f64) {
        let delay = (in_ms / 1000.0).to_le_bytes();
        self.reply.push(action::WAKE_AT, self.router, &[&delay, &[0; 8]]);
    }

    fn log(&mut self, line: &str) {
        self.reply.log(self.router, line);
    }
}

fn ending(code: u16) -> Ending {
    match code {
        0 => Ending::Acked,
        2 => Ending::Full,
        3 => Ending::TimedOut,
        4 => Ending::Unreached,
        5 => Ending::Reset,
        6 => Ending::Withdrawn,
        7 => Ending::Unsent,
        8 => Ending::Missed,
        _ => Ending::Errored,
    }
}

pub struct Instance {
    router: u32,
    fields: AdapterOptions,
    door: Door,
    policy: Policy,
}

impl Instance {
    pub fn start(
        now: f64,
        router: u32,
        seed: u64,
        text: &[u8],
        reply: &mut Reply,
    ) -> Result<Instance, String> {
        let (terms, fields) = settings::parse(text)?;
        let door = Door::default();
        let policy = Policy::new(terms, seed, now, &mut Actions { router, door: &door, reply });
        Ok(Instance { router, fields, door, policy })
    }

    /// Takes one event; a panic of the module becomes this instance's failure alone.
    pub fn handle_event(
        &mut self,
        now: f64,
        record: &[u8],
        page: &[u8],
        words: &[u8],
        reply: &mut Reply,
    ) -> Result<(), String> {
        catch_unwind(AssertUnwindSafe(|| self.decode(now, record, page, words, reply))).map_err(|cause| {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text = text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("no message");
            format!("the module panicked: {text}")
        })
    }

    fn decode(&mut self, now: f64, record: &[u8], page: &[u8], _words: &[u8], reply: &mut Reply) {
        match record[0] {
            event::ANNOUNCE => self.list(now, record[5], page, reply),
            event::SUBMIT => self.arrived(now, record, reply),
            event::ATTEMPT_END => {
                let host = self.door.index.get(&wire::host_at(record, 29)).copied();
                if let Some(host) = host {
                    self.note(now, host, wire::u32_at(record, 25));
                    self.report(now, host, &record[35..52]);
                }
                let (op, send) = (wire::u64_at(record, 5), record[15] as usize);
                let (how, over) = (ending(wire::u16_at(record, 13)), record[24] != 0);
                let out = &mut Actions { router: self.router, door: &self.door, reply };
                self.policy.send_ended(now, out, op, send, how, over);
            }
            event::STATUS_BACK => {
                let Some(host) = self.door.index.get(&wire::host_at(record, 5)).copied() else {
                    return;
                };
                self.report(now, host, &record[21..38]);
                let (how, spent) = (ending(wire::u16_at(record, 11)), wire::f64_at(record, 13) * 1000.0);
                let out = &mut Actions { router: self.router, door: &self.door, reply };
                self.policy.probe_ended(now, out, host, how, spent);
            }
            event::ABANDONED => {
                let out = &mut Actions { router: self.router, door: &self.door, reply };
                self.policy.client_left(now, out, &[wire::u64_at(record, 5)]);
            }
            event::ELAPSED => {
                self.policy.tick(now, &mut Actions { router: self.router, door: &self.door, reply });
            }
            // Nothing is streamed at the sites of this kind, and the module hears no peers.
            event::HEADERS | event::WHISPER => {}
            _ => {}
        }
    }

    fn list(&mut self, now: f64, how: u8, page: &[u8], reply: &mut Reply) {
        if how == 3 {
            return self.policy.list_failed(now);
        }
        self.policy.list_started(how != 0, how == 2);
        for entry in page.chunks_exact(wire::ENTRY_BYTES) {
            let host = self.door.enter(wire::host_at(entry, 0));
            let phase = match entry[16] {
                0 => HostState::Ready,
                1 => HostState::Draining,
                _ => HostState::Gone,
            };
            let started = wire::f64_at(entry, 21) * 1000.0;
            let started = if started > 0.0 { started } else { f64::NEG_INFINITY };
            let (group, size) = (wire::u16_at(entry, 10) as usize, wire::f32_at(entry, 17) as f64);
            let primary = wire::f32_at(entry, 12) == 1.0;
            let zone = wire::u16_at(entry, 6) as usize;
            self.policy.host_listed(
                now,
                host,
                HostEntry { group, state: phase, capacity: size, started_at: started, primary, zone },
            );
        }
        self.policy.list_ended(now, &mut Actions { router: self.router, door: &self.door, reply });
    }

    fn arrived(&mut self, now: f64, record: &[u8], reply: &mut Reply) {
        let (op, kind) = (wire::u64_at(record, 5), wire::u16_at(record, 13) as usize);
        let out = &mut Actions { router: self.router, door: &self.door, reply };
        let Some(&timeout) = self.fields.op_timeouts_ms.get(kind) else {
            return out.error_reply(op);
        };
        let attrs = record[51];
        let work = if attrs & 1 != 0 { wire::f64_at(record, 35) * 1000.0 } else { 0.0 };
        let since = self.fields.clients_report_writes.then(|| wire::f32_at(record, 47) as f64);
        let group = wire::f32_at(record, 43).clamp(0.0, u16::MAX as f32) as usize;
        let longer = if work > 0.0 { self.fields.target_growth[kind] * work } else { 0.0 };
        let facts = OpRequest {
            id: op,
            op_type: kind,
            group,
            tenant: wire::u32_at(record, 15) as usize,
            session: wire::u64_at(record, 19),
            client_timeout_ms: wire::f64_at(record, 27) * 1000.0,
            since_write_ms: since,
            is_retry: self.fields.clients_mark_retries.then_some(attrs & 2 != 0),
            extra_latency_ms: longer,
            op_timeout_ms: timeout,
        };
        self.policy.op_arrived(now, out, facts);
    }

    /// An answer's note: 4 x position in ms + role.
    fn note(&mut self, now: f64, host: usize, stamp: u32) {
        let role = match stamp % 4 {
            PRIMARY => Some(Role::Primary),
            REPLICA => Some(Role::Replica),
            _ => None,
        };
        let pos = (stamp / 4 > 0).then_some(self.fields.position_origin_ms + (stamp / 4) as f64);
        if role.is_some() || pos.is_some() {
            self.policy.host_reported(now, host, role, pos, true);
        }
    }

    /// A report: how many values, then the values.
    fn report(&mut self, now: f64, host: usize, field: &[u8]) {
        let value = |place: Option<usize>| {
            place.filter(|p| *p < (field[0] as usize).min(4)).map(|p| wire::f32_at(field, 1 + 4 * p))
        };
        // The next lower value is surely no later than what the host meant.
        let pos = value(self.fields.report_position_index)
            .map(|x| self.fields.position_origin_ms + x.next_down() as f64 * 1000.0);
        let role = value(self.fields.report_role_index);
        let role = role.map(|x| if x >= 0.5 { Role::Primary } else { Role::Replica });
        if role.is_some() || pos.is_some() {
            self.policy.host_reported(now, host, role, pos, false);
        }
    }
}

//! One router instance of the simulation: decodes events into calls of its policy, and encodes the policy's
//! actions.

use crate::wire::{self, Reply, action, event};
use magpiewell::policy::Policy;
use magpiewell::{Ending, HostEntry, HostState, OpId, OpRequest, Outbox, Role};
use magpiewell_terms::settings::{self, AdapterOptions};
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Role codes in the stamp of an answer.
const PRIMARY_CODE: u32 = 1;
const REPLICA_CODE: u32 = 2;

/// Maps the hosts' encoded addresses to the indices that the policy knows them by, and back.
#[derive(Default)]
struct HostTable {
    indices: HashMap<[u8; 6], usize>,
    addresses: Vec<[u8; 6]>,
}

impl HostTable {
    /// The host's index; a new host gets the next one.
    fn get_or_insert(&mut self, address: [u8; 6]) -> usize {
        *self.indices.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }
}

/// Appends the policy's actions to the reply.
struct ReplyOutbox<'a> {
    router: u32,
    hosts: &'a HostTable,
    reply: &'a mut Reply,
}

impl Outbox for ReplyOutbox<'_> {
    /// The simulator writes a send at once, so `begin_by` has no effect.
    fn send(&mut self, op: OpId, host: usize, _begin_by: f64) {
        self.reply.push(action::ROUTE, self.router, &[&op.to_le_bytes(), &self.hosts.addresses[host]]);
    }

    fn withdraw(&mut self, op: OpId, send: usize, abort: bool) {
        // The send is completely written already; without `abort` it continues.
        if !abort {
            return;
        }
        self.reply.push(action::WITHDRAW, self.router, &[&op.to_le_bytes(), &[send as u8]]);
    }

    fn busy_reply(&mut self, op: OpId, retry_after_ms: f64) {
        let retry_after_s = (retry_after_ms / 1000.0).to_le_bytes();
        self.reply.push(action::DECLINE, self.router, &[&op.to_le_bytes(), &retry_after_s]);
    }

    fn error_reply(&mut self, op: OpId) {
        self.reply.push(action::REPORT_FAILURE, self.router, &[&op.to_le_bytes()]);
    }

    fn probe(&mut self, host: usize) {
        self.reply.push(action::TOUCH, self.router, &[&self.hosts.addresses[host]]);
    }

    fn close_idle_connections(&mut self, host: usize) {
        self.reply.push(action::SHUT_IDLE, self.router, &[&self.hosts.addresses[host]]);
    }

    fn watch_host_list(&mut self) {
        self.reply.push(action::KEEP_INFORMED, self.router, &[&[1]]);
    }

    fn wake_after(&mut self, delay_ms: f64) {
        let delay_s = (delay_ms / 1000.0).to_le_bytes();
        self.reply.push(action::WAKE_AT, self.router, &[&delay_s, &[0; 8]]);
    }

    fn log(&mut self, line: &str) {
        self.reply.log(self.router, line);
    }
}

/// Maps the simulator's code for the end of a send or a probe.
fn ending_from_code(code: u16) -> Ending {
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

/// A router instance: its policy, the hosts it knows, and how events are translated for it.
pub struct Instance {
    router: u32,
    options: AdapterOptions,
    hosts: HostTable,
    policy: Policy,
}

impl Instance {
    /// Starts an instance with these settings, given as JSON.
    pub fn start(
        now_ms: f64,
        router: u32,
        seed: u64,
        settings: &[u8],
        reply: &mut Reply,
    ) -> Result<Instance, String> {
        let (policy_options, options) = settings::parse(settings)?;
        let hosts = HostTable::default();
        let policy =
            Policy::new(policy_options, seed, now_ms, &mut ReplyOutbox { router, hosts: &hosts, reply });
        Ok(Instance { router, options, hosts, policy })
    }

    /// Handles one event. A panic in the decision core is returned as an error, so that it ends this instance
    /// only.
    pub fn handle_event(
        &mut self,
        now_ms: f64,
        record: &[u8],
        host_list: &[u8],
        peer_message: &[u8],
        reply: &mut Reply,
    ) -> Result<(), String> {
        catch_unwind(AssertUnwindSafe(|| self.dispatch(now_ms, record, host_list, peer_message, reply)))
            .map_err(|cause| {
                let text = cause.downcast_ref::<String>().map(String::as_str);
                let text = text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("no message");
                format!("the module panicked: {text}")
            })
    }

    fn dispatch(
        &mut self,
        now_ms: f64,
        record: &[u8],
        host_list: &[u8],
        _peer_message: &[u8],
        reply: &mut Reply,
    ) {
        match record[0] {
            event::ANNOUNCE => self.handle_list(now_ms, record[5], host_list, reply),
            event::SUBMIT => self.handle_submit(now_ms, record, reply),
            event::ATTEMPT_END => {
                let host = self.hosts.indices.get(&wire::host_at(record, 29)).copied();
                if let Some(host) = host {
                    self.observe_stamp(now_ms, host, wire::u32_at(record, 25));
                    self.observe_report(now_ms, host, &record[35..52]);
                }
                let (op, send) = (wire::u64_at(record, 5), record[15] as usize);
                let (ending, is_answered) = (ending_from_code(wire::u16_at(record, 13)), record[24] != 0);
                let out = &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply };
                self.policy.send_ended(now_ms, out, op, send, ending, is_answered);
            }
            event::STATUS_BACK => {
                let Some(host) = self.hosts.indices.get(&wire::host_at(record, 5)).copied() else {
                    return;
                };
                self.observe_report(now_ms, host, &record[21..38]);
                let (ending, duration_ms) =
                    (ending_from_code(wire::u16_at(record, 11)), wire::f64_at(record, 13) * 1000.0);
                let out = &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply };
                self.policy.probe_ended(now_ms, out, host, ending, duration_ms);
            }
            event::ABANDONED => {
                let out = &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply };
                self.policy.client_left(now_ms, out, &[wire::u64_at(record, 5)]);
            }
            event::ELAPSED => {
                self.policy.tick(now_ms, &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply });
            }
            // Answers are not streamed in this kind of deployment, and messages from peers are ignored.
            event::HEADERS | event::WHISPER => {}
            _ => {}
        }
    }

    /// Applies a host list. `kind`: 0 changes, 1 the whole list, 2 the whole list as last known, 3 the list
    /// call failed.
    fn handle_list(&mut self, now_ms: f64, kind: u8, host_list: &[u8], reply: &mut Reply) {
        if kind == 3 {
            return self.policy.list_failed(now_ms);
        }
        self.policy.list_started(kind != 0, kind == 2);
        for entry in host_list.chunks_exact(wire::ENTRY_BYTES) {
            let host = self.hosts.get_or_insert(wire::host_at(entry, 0));
            let state = match entry[16] {
                0 => HostState::Ready,
                1 => HostState::Draining,
                _ => HostState::Gone,
            };
            let started_at = wire::f64_at(entry, 21) * 1000.0;
            let started_at = if started_at > 0.0 { started_at } else { f64::NEG_INFINITY };
            let (group, capacity) = (wire::u16_at(entry, 10) as usize, wire::f32_at(entry, 17) as f64);
            let primary = wire::f32_at(entry, 12) == 1.0;
            let zone = wire::u16_at(entry, 6) as usize;
            self.policy.host_listed(
                now_ms,
                host,
                HostEntry { group, state, capacity, started_at, primary, zone },
            );
        }
        self.policy.list_ended(now_ms, &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply });
    }

    fn handle_submit(&mut self, now_ms: f64, record: &[u8], reply: &mut Reply) {
        let (id, op_type) = (wire::u64_at(record, 5), wire::u16_at(record, 13) as usize);
        let out = &mut ReplyOutbox { router: self.router, hosts: &self.hosts, reply };
        let Some(&op_timeout_ms) = self.options.op_timeouts_ms.get(op_type) else {
            return out.error_reply(id);
        };
        // Bit 0: the op states its own work. Bit 1: it is a retry.
        let flags = record[51];
        let work_ms = if flags & 1 != 0 { wire::f64_at(record, 35) * 1000.0 } else { 0.0 };
        let since_write_ms = self.options.clients_report_writes.then(|| wire::f32_at(record, 47) as f64);
        let group = wire::f32_at(record, 43).clamp(0.0, u16::MAX as f32) as usize;
        let extra_latency_ms =
            if work_ms > 0.0 { self.options.target_growth[op_type] * work_ms } else { 0.0 };
        let request = OpRequest {
            id,
            op_type,
            group,
            tenant: wire::u32_at(record, 15) as usize,
            session: wire::u64_at(record, 19),
            client_timeout_ms: wire::f64_at(record, 27) * 1000.0,
            since_write_ms,
            is_retry: self.options.clients_mark_retries.then_some(flags & 2 != 0),
            extra_latency_ms,
            op_timeout_ms,
        };
        self.policy.op_arrived(now_ms, out, request);
    }

    /// Applies the stamp of an answer: four times the log position in ms, plus the role code. Position 0
    /// means none.
    fn observe_stamp(&mut self, now_ms: f64, host: usize, stamp: u32) {
        let role = match stamp % 4 {
            PRIMARY_CODE => Some(Role::Primary),
            REPLICA_CODE => Some(Role::Replica),
            _ => None,
        };
        let position = (stamp / 4 > 0).then_some(self.options.position_origin_ms + (stamp / 4) as f64);
        if role.is_some() || position.is_some() {
            self.policy.host_reported(now_ms, host, role, position, true);
        }
    }

    /// Applies a host's report: the number of values, at most 4, then the values.
    fn observe_report(&mut self, now_ms: f64, host: usize, report: &[u8]) {
        let value = |index: Option<usize>| {
            index.filter(|i| *i < (report[0] as usize).min(4)).map(|i| wire::f32_at(report, 1 + 4 * i))
        };
        // Rounding to f32 may have raised the position; the next lower value is never too high.
        let position = value(self.options.report_position_index)
            .map(|seconds| self.options.position_origin_ms + seconds.next_down() as f64 * 1000.0);
        let role = value(self.options.report_role_index);
        let role = role.map(|code| if code >= 0.5 { Role::Primary } else { Role::Replica });
        if role.is_some() || position.is_some() {
            self.policy.host_reported(now_ms, host, role, position, false);
        }
    }
}

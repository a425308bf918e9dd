//! Runs the adapter as a process: frames on standard input, replies on standard output. Codes and offsets are
//! written as numbers; `src/wire.rs` and `src/instance.rs` name them.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "tick_s": 0.005, "discovery": "automatic", "unheard_of": [1],
 "classes": [{"deadline_s": 1, "goal_time_s": 0.3, "effect": "free", "value": 1},
             {"deadline_s": 2, "goal_time_s": 0.5, "effect": "single_shot", "value": 2}],
 "limits": {"max_attempts": 4, "probes": true}, "report": {"fields": ["x0", "x1"], "via": "inline"},
 "rules": {"cold_from": 0.2, "cold_s": 10, "drain_grace_s": 1, "fall_multiple": 2, "fall_s": 1},
 "extra": {"read_level": ["any", "write"], "staleness_bound_s": [0, 0], "behind": "off",
           "origin_time_s": 10}}"#;

#[derive(Default)]
struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Batch {
    /// Appends an event record: its code, and its fields as (offset, bytes) pairs.
    fn event(mut self, code: u8, fields: &[(usize, &[u8])]) -> Batch {
        let mut record = [0; 56];
        record[0] = code;
        for (offset, bytes) in fields {
            record[*offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
        self
    }

    /// Appends an event whose field at `offset` refers to `tail`, which holds `count` items.
    fn event_with_tail(
        mut self,
        code: u8,
        fields: &[(usize, &[u8])],
        offset: usize,
        tail: &[u8],
        count: u32,
    ) -> Batch {
        let start = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(tail);
        let mut fields = fields.to_vec();
        let count = count.to_le_bytes();
        fields.extend_from_slice(&[(offset, &start), (offset + 4, &count)]);
        self.event(code, &fields)
    }

    /// Starts router 3.
    fn spawn(self, settings: &str) -> Batch {
        let length = settings.len() as u32;
        self.event_with_tail(18, &[(1, &[3, 0, 0, 0]), (5, &[9])], 13, settings.as_bytes(), length)
    }

    /// Stores list number 2 with these hosts, of which host 1 is a primary, and announces it to router 3.
    fn list(self, hosts: &[u8]) -> Batch {
        let mut entries = Vec::new();
        for host in hosts {
            let mut entry = [0; 29];
            entry[0] = *host;
            entry[12..16].copy_from_slice(&f32::from(u8::from(*host == 1)).to_le_bytes());
            entry[17..21].copy_from_slice(&1f32.to_le_bytes());
            entries.extend_from_slice(&entry);
        }
        let stored = self.event_with_tail(24, &[(1, &[2, 0])], 3, &entries, hosts.len() as u32);
        stored.event(22, &[(1, &[3, 0, 0, 0]), (5, &[2]), (14, &[2, 0])])
    }

    fn submit(self, op: u8, op_type: u8) -> Batch {
        let timeout_s = 1f64.to_le_bytes();
        self.event(16, &[(1, &[3, 0, 0, 0]), (5, &[op]), (13, &[op_type]), (27, &timeout_s)])
    }

    fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::new();
        frame.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&100f64.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_magpiewell-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut pipe = child.stdin.take().expect("a pipe");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || drop(pipe.write_all(&input)));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer ends");
    output
}

/// Splits standard output into replies, each as its records and tail.
fn replies(output: &Output) -> Vec<(Vec<Vec<u8>>, Vec<u8>)> {
    let mut rest = output.stdout.as_slice();
    let mut all = Vec::new();
    while !rest.is_empty() {
        let number = |at: usize| u32::from_le_bytes(rest[at..at + 4].try_into().expect("4 bytes")) as usize;
        let (length, count) = (number(0), number(4));
        let body = &rest[8..8 + length];
        let records = body[..count * 32].chunks(32).map(<[u8]>::to_vec).collect();
        all.push((records, body[count * 32..].to_vec()));
        rest = &rest[8 + length..];
    }
    all
}

fn with_code(records: &[Vec<u8>], code: u8) -> Vec<&Vec<u8>> {
    records.iter().filter(|r| r[0] == code).collect()
}

/// Checks that the adapter fails with one line on standard error that contains `expected`, and that standard
/// output holds whole replies only.
fn assert_fails_with(input: &[u8], expected: &str) {
    let output = run(input);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "should fail: {text}");
    assert!(text.lines().count() == 1 && text.contains(expected), "{text:?} lacks {expected:?}");
    replies(&output);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_exits_cleanly() {
    let output = run(&[Batch::default().frame(), Batch::default().frame()].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 16]);
    assert!(run(&[]).status.success());
}

#[test]
fn ops_are_sent_to_listed_hosts_and_a_failed_write_is_not_sent_again() {
    let first = Batch::default().spawn(SETTINGS).list(&[1, 2]).submit(7, 0).submit(8, 1);
    let end = Batch::default().event(19, &[(1, &[3, 0, 0, 0]), (5, &[8]), (13, &[1]), (29, &[1])]);
    let output = run(&[first.frame(), end.frame()].concat());
    let replies = replies(&output);
    let sent: Vec<_> = with_code(&replies[0].0, 16).iter().map(|r| (r[5], r[13])).collect();
    assert_eq!(sent, [(7, 2), (8, 1)]);
    // The write may have run: it gets an error reply and is not sent again.
    assert_eq!(with_code(&replies[1].0, 16).len(), 0);
    assert_eq!(with_code(&replies[1].0, 18).len(), 1);
}

#[test]
fn a_reused_list_number_refers_to_the_latest_list_at_that_time() {
    let batch = Batch::default().spawn(SETTINGS).list(&[1, 2]).list(&[1, 9]).submit(7, 0);
    let replies = replies(&run(&batch.frame()));
    assert_eq!(with_code(&replies[0].0, 16)[0][13], 9);
}

#[test]
fn a_destroyed_instance_can_be_started_again_in_the_same_batch() {
    let destroy = |batch: Batch| batch.event(21, &[(1, &[3, 0, 0, 0])]);
    let first = Batch::default().spawn(SETTINGS).list(&[1, 2]).submit(7, 0);
    let second = destroy(Batch::default()).spawn(SETTINGS).list(&[1, 2]).submit(9, 0);
    // The old instance's attempt end and timer reach the new one, which ignores them.
    let late =
        Batch::default().event(19, &[(1, &[3, 0, 0, 0]), (5, &[7]), (29, &[2])]).event(20, &[(1, &[3])]);
    let output = run(&[first.frame(), second.frame(), late.frame()].concat());
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(with_code(&replies[1].0, 16)[0][5], 9);
    assert_eq!(with_code(&replies[2].0, 25).len(), 0);
}

#[test]
fn invalid_settings_fail_one_instance_and_name_the_key() {
    for (from, to, key) in [
        ("\"cold_s\": 10,", "", "rules.cold_s"),
        ("\"max_attempts\": 4", "\"max_attempts\": \"four\"", "limits.max_attempts"),
        ("\"goal_time_s\": 0.3,", "", "goal_time_s"),
        ("\"behind\": \"off\",", "", "extra.behind"),
        ("\"balancers\"", "balancers", "JSON"),
    ] {
        let output = run(&Batch::default().spawn(&SETTINGS.replace(from, to)).submit(7, 0).frame());
        let replies = replies(&output);
        assert_eq!(with_code(&replies[0].0, 25).len(), 1, "{key}");
        assert!(String::from_utf8_lossy(&replies[0].1).contains(key), "{key}");
        assert!(output.status.success());
    }
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let valid = Batch::default().spawn(SETTINGS).list(&[1, 2]).frame();
    assert_fails_with(&valid[..9], "input ends inside a header");
    assert_fails_with(&valid[..40], "input ends inside a frame");
    assert_fails_with(&valid[..16], "input ends inside a frame");
    let mut count = valid.clone();
    count[4] = 200;
    assert_fails_with(&count, "200 records do not fit");
    let mut long = valid.clone();
    long[3] = 0xff;
    assert_fails_with(&long, "exceeds the limit of 1073741824 bytes");
    assert_fails_with(&Batch::default().event(99, &[]).frame(), "unknown event code 99");
    assert_fails_with(&Batch::default().event(18, &[(13, &[5]), (17, &[1])]).frame(), "tail reference");
    assert_fails_with(&Batch::default().event(24, &[(3, &[0; 4]), (7, &[255; 4])]).frame(), "tail reference");
    assert_fails_with(&Batch::default().event(24, &[(1, &[16])]).frame(), "list number 16");
}

#[test]
fn a_batch_of_several_megabytes_is_answered() {
    let mut batch = Batch::default().spawn(SETTINGS).list(&[1, 2]);
    for op in 0..40_000u32 {
        let timeout_s = 1f64.to_le_bytes();
        batch = batch.event(16, &[(1, &[3, 0, 0, 0]), (5, &op.to_le_bytes()), (27, &timeout_s)]);
    }
    let output = run(&batch.frame());
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies.len(), 1);
    assert!(!with_code(&replies[0].0, 16).is_empty() && with_code(&replies[0].0, 25).is_empty());
}

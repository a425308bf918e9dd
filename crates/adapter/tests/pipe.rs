//! The adapter as a process: frames in, replies out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "tick_s": 0.005, "discovery": "automatic", "unheard_of": [1],
 "classes": [{"deadline_s": 1, "goal_time_s": 0.3, "effect": "free", "value": 1},
             {"deadline_s": 2, "goal_time_s": 0.5, "effect": "single_shot", "value": 2}],
 "limits": {"max_attempts": 4, "probes": true}, "report": {"fields": ["x0", "x1"], "via": "inline"},
 "rules": {"cold_from": 0.2, "cold_s": 10, "drain_grace_s": 1, "fall_multiple": 2, "fall_s": 1},
 "extra": {"read_level": ["any", "write"], "staleness_bound_s": [0, 0], "behind": "off", "origin_time_s": 10}}"#;

#[derive(Default)]
struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Batch {
    /// Adds an event of `size` bytes at most: its code, then (offset, bytes) pairs.
    fn event(mut self, code: u8, fields: &[(usize, &[u8])]) -> Batch {
        let mut record = [0; 56];
        record[0] = code;
        for (at, bytes) in fields {
            record[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
        self
    }

    fn tailed(mut self, code: u8, fields: &[(usize, &[u8])], at: usize, tail: &[u8], count: u32) -> Batch {
        let start = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(tail);
        let mut fields = fields.to_vec();
        let count = count.to_le_bytes();
        fields.extend_from_slice(&[(at, &start), (at + 4, &count)]);
        self.event(code, &fields)
    }

    fn spawn(self, settings: &str) -> Batch {
        let length = settings.len() as u32;
        self.tailed(18, &[(1, &[3, 0, 0, 0]), (5, &[9])], 13, settings.as_bytes(), length)
    }

    fn list(self, hosts: &[u8]) -> Batch {
        let mut entries = Vec::new();
        for host in hosts {
            let mut entry = [0; 29];
            entry[0] = *host;
            entry[12..16].copy_from_slice(&f32::from(u8::from(*host == 1)).to_le_bytes());
            entry[17..21].copy_from_slice(&1f32.to_le_bytes());
            entries.extend_from_slice(&entry);
        }
        let listed = self.tailed(24, &[(1, &[2, 0])], 3, &entries, hosts.len() as u32);
        listed.event(22, &[(1, &[3, 0, 0, 0]), (5, &[2]), (14, &[2, 0])])
    }

    fn submit(self, op: u8, kind: u8) -> Batch {
        let left = 1f64.to_le_bytes();
        self.event(16, &[(1, &[3, 0, 0, 0]), (5, &[op]), (13, &[kind]), (27, &left)])
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

/// The replies on standard output, each as its records and tail.
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

/// One line on standard error that holds `words`, a failing exit and nothing but replies on standard output.
fn fails_with(input: &[u8], words: &str) {
    let output = run(input);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "should fail: {text}");
    assert!(text.lines().count() == 1 && text.contains(words), "{text:?} lacks {words:?}");
    replies(&output);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_clean() {
    let output = run(&[Batch::default().frame(), Batch::default().frame()].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 16]);
    assert!(run(&[]).status.success());
}

#[test]
fn an_op_is_sent_to_a_listed_host_and_its_error_is_retried() {
    let first = Batch::default().spawn(SETTINGS).list(&[1, 2]).submit(7, 0).submit(8, 1);
    let end = Batch::default().event(19, &[(1, &[3, 0, 0, 0]), (5, &[8]), (13, &[1]), (29, &[1])]);
    let output = run(&[first.frame(), end.frame()].concat());
    let replies = replies(&output);
    let sent: Vec<_> = with_code(&replies[0].0, 16).iter().map(|r| (r[5], r[13])).collect();
    assert_eq!(sent, [(7, 2), (8, 1)]);
    // The write may have run: it is answered with an error, not sent again.
    assert_eq!(with_code(&replies[1].0, 16).len(), 0);
    assert_eq!(with_code(&replies[1].0, 18).len(), 1);
}

#[test]
fn a_reused_list_number_means_the_list_that_stands_when_it_is_named() {
    let batch = Batch::default().spawn(SETTINGS).list(&[1, 2]).list(&[1, 9]).submit(7, 0);
    let replies = replies(&run(&batch.frame()));
    assert_eq!(with_code(&replies[0].0, 16)[0][13], 9);
}

#[test]
fn a_stopped_instance_may_start_again_in_the_same_batch() {
    let stop = |b: Batch| b.event(21, &[(1, &[3, 0, 0, 0])]);
    let first = Batch::default().spawn(SETTINGS).list(&[1, 2]).submit(7, 0);
    let second = stop(Batch::default()).spawn(SETTINGS).list(&[1, 2]).submit(9, 0);
    // An outcome and a timer of the old instance's op reach the new one and are let be.
    let late =
        Batch::default().event(19, &[(1, &[3, 0, 0, 0]), (5, &[7]), (29, &[2])]).event(20, &[(1, &[3])]);
    let output = run(&[first.frame(), second.frame(), late.frame()].concat());
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(with_code(&replies[1].0, 16)[0][5], 9);
    assert_eq!(with_code(&replies[2].0, 25).len(), 0);
}

#[test]
fn bad_settings_end_one_instance_and_name_the_key() {
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
fn damaged_input_is_told_in_one_line() {
    let whole = Batch::default().spawn(SETTINGS).list(&[1, 2]).frame();
    fails_with(&whole[..9], "input ends inside a header");
    fails_with(&whole[..40], "input ends inside a frame");
    fails_with(&whole[..16], "input ends inside a frame");
    let mut count = whole.clone();
    count[4] = 200;
    fails_with(&count, "200 records do not fit");
    let mut long = whole.clone();
    long[3] = 0xff;
    fails_with(&long, "beyond reason");
    fails_with(&Batch::default().event(99, &[]).frame(), "unknown event code 99");
    fails_with(&Batch::default().event(18, &[(13, &[5]), (17, &[1])]).frame(), "tail reference");
    fails_with(&Batch::default().event(24, &[(3, &[0; 4]), (7, &[255; 4])]).frame(), "tail reference");
    fails_with(&Batch::default().event(24, &[(1, &[16])]).frame(), "list number 16");
}

#[test]
fn a_batch_of_megabytes_is_answered() {
    let mut batch = Batch::default().spawn(SETTINGS).list(&[1, 2]);
    for op in 0..40_000u32 {
        let left = 1f64.to_le_bytes();
        batch = batch.event(16, &[(1, &[3, 0, 0, 0]), (5, &op.to_le_bytes()), (27, &left)]);
    }
    let output = run(&batch.frame());
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies.len(), 1);
    assert!(!with_code(&replies[0].0, 16).is_empty() && with_code(&replies[0].0, 25).is_empty());
}

use super::*;
use crate::limits::MINIMAL_CONFIGURATION;
use crate::shared::test_shared_with;
use std::net::{TcpListener, TcpStream};

/// Settings with one op type that reads.
pub fn parser() -> Arc<OpFactsParser> {
    let configuration = String::from_utf8(MINIMAL_CONFIGURATION.to_vec()).unwrap();
    let op_type = r#""classes":[{"name":"look","effect":"free","deadline_s":1,"goal_time_s":1,"value":1}]"#;
    let configuration = configuration.replace(r#""classes":[]"#, op_type);
    let levels = r#""read_level":["any"],"staleness_bound_s":[0]"#;
    let configuration = configuration.replace(r#""read_level":[],"staleness_bound_s":[]"#, levels);
    let options = magpiewell_terms::startup::parse(configuration.as_bytes()).unwrap().0;
    Arc::new(OpFactsParser::new(&options.adapter_options, 60_000.0))
}

fn query(text: &str) -> Vec<u8> {
    [&encode::query_header(text.len())[..], text.as_bytes(), &[0]].concat()
}

/// Serves a client that sends these commands at once, until it has as many answers or the connection has ended;
/// returns the reader and the error codes of the answers.
fn serve_commands(shared: &Arc<Shared>, commands: Vec<u8>, count: usize) -> (ClientReader, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let mut reader = ClientReader::new(
        shared,
        &parser(),
        &crossbeam_channel::unbounded().0,
        Client::new(shared, 2, stream),
    );
    // Writes in a thread of its own, as the sockets may not hold all of it.
    let mut writer = ours.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut bytes = Vec::new();
        encode::startup_message(&mut bytes, "svc", "main");
        bytes.extend_from_slice(&commands);
        std::io::Write::write_all(&mut writer, &bytes)
    });
    let codes = std::thread::spawn(move || read_error_codes(&mut ours, count));
    let mut scratch = vec![0; shared.limits.read_bytes];
    while !codes.is_finished() && reader.serve(&mut scratch, true) != Outcome::Closed {
        reader.write_remaining();
    }
    // A client that waits for more than it gets sees the end.
    reader.client.abort();
    (reader, codes.join().unwrap())
}

/// The error codes of up to this many answers, until the connection ends.
fn read_error_codes(ours: &mut TcpStream, count: usize) -> Vec<String> {
    let (mut buf, mut chunk, mut codes) = (Vec::new(), vec![0; 8192], Vec::new());
    while codes.len() < count {
        match ours.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return codes,
        }
        let mut at = 0;
        while let Ok(Some((kind, body))) = frame::message(&buf[at..], 1 << 20) {
            if kind == b'E' {
                let code = frame::error_field(&buf[at + body.start..at + body.end], b'C').unwrap();
                codes.push(String::from_utf8_lossy(code).into_owned());
            }
            at += body.end;
        }
        buf.drain(..at);
    }
    codes
}

/// The 16th refusal for want of memory in a row was once fatal, as if the client had sent faulty commands, and
/// the commands behind it got no answer.
#[test]
fn every_command_is_answered_however_many_are_refused_for_want_of_memory() {
    for count in [10, 100, 3_000] {
        let shared = test_shared_with(|limits| limits.held_bytes = 0);
        let command =
            |n| query(&format!("SELECT v FROM r WHERE k = 'k' /* id={n},c=look,d=480,cluster=3 */"));
        let commands: Vec<u8> = (0..count).flat_map(command).collect();
        let (reader, codes) = serve_commands(&shared, commands, count);
        assert_eq!(codes.len(), count, "every command is answered");
        assert!(codes.iter().all(|code| code == "53300"));
        assert!(reader.has_valid_op, "a client whose ops are refused is not a faulty one");
        assert_eq!(shared.metrics.memory_refusals.load(Relaxed), count);
    }
}

/// Guards against a client that keeps its place by sending faulty commands while memory is short.
#[test]
fn faults_in_a_row_still_end_the_connection_while_memory_is_short() {
    let shared = test_shared_with(|limits| limits.held_bytes = 0);
    let codes = serve_commands(&shared, query("frob").repeat(60), 60).1;
    assert_eq!(codes, vec!["42601"; shared.limits.faults]);
}

/// One turn once took as many commands as four reads hold, thousands of empty ones, while all others waited.
#[test]
fn flood_of_small_commands_ends_its_turn_after_as_many_as_any_other() {
    let sync = [b'S', 0, 0, 0, 4];
    let skipped = [b'd', 0, 0, 0, 4];
    for command in [query(""), sync.to_vec(), skipped.to_vec(), query("frob")] {
        let shared = test_shared_with(|limits| limits.faults = usize::MAX);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = listener.accept().unwrap().0;
        stream.set_nonblocking(true).unwrap();
        let client = Client::new(&shared, 2, stream);
        let mut reader = ClientReader::new(&shared, &parser(), &crossbeam_channel::unbounded().0, client);
        let mut bytes = Vec::new();
        encode::startup_message(&mut bytes, "svc", "main");
        bytes.extend(command.repeat(500));
        std::io::Write::write_all(&mut ours, &bytes).unwrap();
        let mut scratch = vec![0; shared.limits.read_bytes];
        let mut turns = 0;
        let limit = shared.limits.messages_a_turn;
        while reader.serve(&mut scratch, false) == Outcome::ReadMore {
            turns += 1;
            assert!(shared.metrics.local_answers.load(Relaxed) <= turns * limit);
        }
        assert_eq!(turns, 500 / limit, "the startup message and {command:?} 500 times");
    }
}

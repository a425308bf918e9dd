use super::*;
use crate::job_progress::{CancelOutcome, CancelScope};
use crate::shared::test_shared;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn an_idle_connection_is_stale_once_it_ends_or_holds_unexpected_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pair = || {
        let ours = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (ours, listener.accept().unwrap().0)
    };
    let (ours, theirs) = pair();
    assert!(!is_stale(&ours));
    drop(theirs);
    while !is_stale(&ours) {}
    let (ours, mut theirs) = pair();
    theirs.write_all(b"Z").unwrap();
    while !is_stale(&ours) {}
}

fn job(shared: &Shared, begin_in: f64) -> Job {
    let now = shared.clock.now();
    Job { work: Work::Probe, deadline: now + 60_000.0, begin_by: now + begin_in }
}

fn job_ending(step: Step) -> Option<Ending> {
    match step {
        Step::Done(result) => Some(result.ending),
        _ => None,
    }
}

/// Guards against a send on a connection that opened late, after hosts have stopped recognising repeats of
/// the op.
#[test]
fn a_job_past_begin_by_when_its_connection_opens_is_not_written() {
    let shared = test_shared();
    for late in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let job = job(&shared, if late { 20.0 } else { 60_000.0 });
        let begin_by = job.begin_by;
        let mut connection = Connection::connect(&shared, addr, Arc::default(), job).ok().unwrap();
        let mut host = listener.accept().unwrap().0;
        while late && shared.clock.now() < begin_by {}
        let step = connection.on_ready(true, false, &mut [0; 64]);
        assert_eq!(job_ending(step), late.then_some(Ending::Unsent));
        drop(connection);
        let mut received = Vec::new();
        // Closing a connection with unread bytes resets it.
        let _ = host.read_to_end(&mut received);
        assert_eq!(received.is_empty(), late);
        // A connection that does not open by then ends the job as unsent, which is not held against the host.
        let job = self::job(&shared, if late { 20.0 } else { 0.0 });
        let begin_by = job.begin_by;
        match Connection::connect(&shared, addr, Arc::default(), job) {
            Ok(mut connection) => {
                assert!(late && connection.due() <= begin_by);
                while shared.clock.now() < begin_by {}
                assert_eq!(job_ending(connection.on_timeout()), Some(Ending::Unsent));
            }
            Err(ending) => assert_eq!((ending, late), (Ending::Unsent, false)),
        }
    }
}

/// Guards against a cancellation between recording that a job is written and writing it: the job then ended
/// as if the host could not be reached.
#[test]
fn a_cancellation_respects_its_scope_and_reports_its_outcome() {
    use CancelScope::*;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let huge = vec![0; 64 << 20];
    let stages: [(&[u8], [CancelOutcome; 3]); 3] = [
        (b"", [CancelOutcome::NeverWritten; 3]),
        (&huge, [CancelOutcome::Continues, CancelOutcome::ShutDown, CancelOutcome::ShutDown]),
        (b"x", [CancelOutcome::Continues, CancelOutcome::Continues, CancelOutcome::ShutDown]),
    ];
    for (bytes, outcomes) in stages {
        for (scope, outcome) in [Unwritten, Incomplete, All].into_iter().zip(outcomes) {
            let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            let progress = JobProgress::default();
            if !bytes.is_empty() {
                progress.write(&stream, &[bytes]).unwrap().unwrap();
            }
            assert_eq!(progress.cancel(scope), outcome, "{scope:?} of {} bytes", bytes.len());
            assert_eq!(progress.write(&stream, &[b"more"]).is_none(), outcome != CancelOutcome::Continues);
        }
    }
}

fn write_job(shared: &Arc<Shared>, bytes: usize) -> Job {
    let statement = Statement {
        text: vec![b'x'; bytes],
        is_write: true,
        client_timeout_range: 0..0,
        reservation: shared.reserve(0),
    };
    Job { work: Work::Op(Arc::new(statement)), ..job(shared, 60_000.0) }
}

/// A connection with an active job, and the host side of it.
fn active_connection(job: Job, progress: &Arc<JobProgress>) -> (Connection, TcpStream) {
    active_connection_with(&test_shared(), job, progress)
}

fn active_connection_with(
    shared: &Arc<Shared>,
    job: Job,
    progress: &Arc<JobProgress>,
) -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut connection = Connection::connect(shared, addr, progress.clone(), job).ok().unwrap();
    let host = listener.accept().unwrap().0;
    assert_eq!(job_ending(connection.on_ready(true, false, &mut [0; 64])), None);
    (connection, host)
}

/// Has the host send these bytes, and the connection read them at once when all have arrived.
fn deliver(connection: &mut Connection, host: &mut TcpStream, bytes: &[u8]) -> Step {
    host.write_all(bytes).unwrap();
    while connection.stream.peek(&mut [0; 512]).map_or(true, |n| n < bytes.len()) {}
    connection.on_ready(false, false, &mut [0; 8192])
}

/// A connection that has just answered its first job with this value, and the host side of it.
fn answered_connection(shared: &Arc<Shared>, value: &[u8; 1]) -> (Connection, TcpStream) {
    let progress = Arc::default();
    let (mut connection, mut host) = active_connection_with(shared, write_job(shared, 100), &progress);
    let mut sent = Vec::new();
    encode::startup_reply(&mut sent);
    sent.extend(answer_to_write(value));
    assert_eq!(job_ending(deliver(&mut connection, &mut host, &sent)), Some(Ending::Acked));
    progress.reset();
    host.set_nonblocking(true).unwrap();
    while host.read(&mut [0; 8192]).is_ok() {}
    (connection, host)
}

/// The reply to an empty query.
fn reply_to_empty_query() -> Vec<u8> {
    [message(b'I', b""), encode::READY_FOR_QUERY.to_vec()].concat()
}

/// Surplus that left its host just before the next job arrived there comes after that job was written. A second
/// copy was once taken for the job's answer, as nothing but the order of answers tells the two apart.
#[test]
fn an_answer_that_may_be_a_second_copy_is_verified_by_what_comes_behind_it() {
    let answer = answer_to_write;
    let mut error = Vec::new();
    encode::error_response(&mut error, false, "XX000", "failed", "");
    let error = [error, encode::READY_FOR_QUERY.to_vec()].concat();
    let cases = [
        ("no copy", vec![], Some((Ending::Acked, b"v"))),
        ("a copy before another answer", vec![answer(b"w")], Some((Ending::Acked, b"w"))),
        ("a copy before an equal answer", vec![answer(b"v")], Some((Ending::Acked, b"v"))),
        ("a copy before an error", vec![error], Some((Ending::Errored, b" "))),
        ("two copies", vec![answer(b"v"), answer(b"w")], None),
        ("a copy before noise", vec![b"0\x82\x0c\r\n".to_vec()], None),
    ];
    for (case, behind, expected) in cases {
        let shared = crate::shared::test_shared_with(|limits| limits.surplus_ms = f64::INFINITY);
        let (mut connection, mut host) = answered_connection(&shared, b"v");
        assert!(matches!(connection.start(write_job(&shared, 100)), Step::Wait), "{case}");
        let step = deliver(&mut connection, &mut host, &answer(b"v"));
        assert!(matches!(step, Step::Wait), "{case}: it may be a second copy");
        let behind = [behind.concat(), reply_to_empty_query()].concat();
        let Step::Done(result) = deliver(&mut connection, &mut host, &behind) else { panic!("{case}") };
        assert_eq!(result.ending, expected.map_or(Ending::Spoilt, |(ending, _)| ending), "{case}");
        assert_eq!(result.is_reusable, expected.is_some(), "{case}: what is in step is used again");
        if result.ending == Ending::Acked {
            let row = &answer(expected.unwrap().1)[..result.answer.len()];
            assert_eq!(result.answer, row, "{case}");
        }
        // The host has received the job and the empty query.
        let mut received = vec![0; 8192];
        let n = host.read(&mut received).unwrap();
        assert!(received[..n].ends_with(b"\0Q\0\0\0\x05\0"), "{case}");
    }
}

/// Verification costs a round trip, which only answers that can be second copies are worth.
#[test]
fn an_answer_that_can_be_no_second_copy_is_taken_at_once() {
    let cases =
        [("another row", b"w", f64::INFINITY, true), ("an equal row after a long time", b"v", 0.0, true)];
    for (case, value, surplus_ms, is_reusable) in cases {
        let shared = crate::shared::test_shared_with(|limits| limits.surplus_ms = surplus_ms);
        let (mut connection, mut host) = answered_connection(&shared, b"v");
        assert!(matches!(connection.start(write_job(&shared, 100)), Step::Wait), "{case}");
        let step = deliver(&mut connection, &mut host, &answer_to_write(value));
        let Step::Done(result) = step else { panic!("{case}") };
        assert_eq!((result.ending, result.is_reusable), (Ending::Acked, is_reusable), "{case}");
    }
    // Probes are answered alike time and again.
    let shared = test_shared();
    let (mut connection, mut host) = answered_connection(&shared, b"v");
    let report = replace_tag(answer_to_write(b"r"), b"INSERT 0 1", b"SHOW");
    for _ in 0..2 {
        connection.progress.reset();
        assert!(matches!(connection.start(job(&shared, 60_000.0)), Step::Wait));
        assert_eq!(job_ending(deliver(&mut connection, &mut host, &report)), Some(Ending::Acked));
    }
}

/// A verification that is not settled leaves open whether the job has run.
#[test]
fn an_unsettled_verification_ends_as_a_send_that_may_have_run() {
    type End = (&'static str, fn(&mut Connection, TcpStream) -> Step, Ending);
    let ends: [End; 3] = [
        (
            "the host closes",
            |connection, host| {
                drop(host);
                while !is_stale(&connection.stream) {}
                connection.on_ready(false, true, &mut [0; 64])
            },
            Ending::Spoilt,
        ),
        ("nothing comes", |connection, _| connection.on_timeout(), Ending::TimedOut),
        (
            "it is cancelled",
            |connection, _| {
                connection.progress.cancel(CancelScope::All);
                connection.on_ready(false, true, &mut [0; 64])
            },
            Ending::Withdrawn,
        ),
    ];
    for (case, end, ending) in ends {
        let shared = test_shared();
        let (mut connection, mut host) = answered_connection(&shared, b"v");
        assert!(matches!(connection.start(write_job(&shared, 100)), Step::Wait), "{case}");
        assert!(matches!(deliver(&mut connection, &mut host, &answer_to_write(b"v")), Step::Wait));
        assert_eq!(job_ending(end(&mut connection, host)), Some(ending), "{case}");
    }
}

/// The answer with another command tag.
fn replace_tag(answer: Vec<u8>, old: &[u8], new: &[u8]) -> Vec<u8> {
    let completion = |tag: &[u8]| message(b'C', &[tag, &[0]].concat());
    let (old, new) = (completion(old), completion(new));
    let at = answer.windows(old.len()).position(|window| window == old).unwrap();
    [&answer[..at], &new, &answer[at + old.len()..]].concat()
}

/// A host starts a job at its last byte; what it sends before that can't be the job's answer.
#[test]
fn bytes_that_arrive_before_a_job_is_written_whole_are_not_its_answer() {
    let shared = test_shared();
    let (mut connection, mut host) = answered_connection(&shared, b"v");
    assert!(matches!(connection.start(write_job(&shared, 64 << 20)), Step::Wait));
    let step = deliver(&mut connection, &mut host, &answer_to_write(b"w"));
    assert_eq!(job_ending(step), Some(Ending::Unreached));
}

/// Guards against losing an answer that arrived before the cancellation
fn run_to_end(connection: &mut Connection) -> Ending {
    let step = || job_ending(connection.on_ready(true, true, &mut [0; 8192]));
    std::iter::repeat_with(step).flatten().next().unwrap()
}

/// A host can start a write only once it has the last byte.
#[test]
fn a_reset_proves_that_nothing_ran_only_before_the_last_byte_is_written() {
    let shared = test_shared();
    for (bytes, read, expected) in [
        (64 << 20, 0, Ending::Unreached),
        (64 << 20, 1 << 20, Ending::Unreached),
        (100, 0, Ending::Reset),
        (100, 4096, Ending::Reset),
    ] {
        let (mut connection, mut host) = active_connection(write_job(&shared, bytes), &Arc::default());
        let mut buf = vec![0; read];
        if read > 100 && bytes > 100 {
            host.read_exact(&mut buf).unwrap();
        } else if read > 0 {
            assert!(host.read(&mut buf).unwrap() > bytes, "all of it has arrived");
        }
        SockRef::from(&host).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(host);
        assert_eq!(run_to_end(&mut connection), expected, "{read} of {bytes} bytes read");
    }
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A whole answer to a write, with a value of one byte.
fn answer_to_write(value: &[u8; 1]) -> Vec<u8> {
    [
        message(b'T', &[&[0, 1][..], b"v\0", &[0; 18]].concat()),
        message(b'D', &[&[0, 1, 0, 0, 0, 1], &value[..]].concat()),
        message(b'C', b"INSERT 0 1\0"),
        encode::READY_FOR_QUERY.to_vec(),
    ]
    .concat()
}

/// Guards against losing an answer that arrived before the cancellation: it may confirm a commit.
#[test]
fn an_answer_received_before_its_send_was_cancelled_is_reported() {
    let (shared, progress) = (test_shared(), Arc::<JobProgress>::default());
    let (mut connection, mut host) = active_connection(write_job(&shared, 100), &progress);
    let mut sent = Vec::new();
    encode::startup_reply(&mut sent);
    sent.extend(answer_to_write(b"w"));
    host.write_all(&sent).unwrap();
    while connection.stream.peek(&mut [0; 512]).map_or(true, |n| n < sent.len()) {}
    assert_eq!(progress.cancel(CancelScope::All), CancelOutcome::ShutDown);
    assert_eq!(run_to_end(&mut connection), Ending::Acked);
    // If the answer is cut short, the cancellation ended the job, not the host.
    let progress = Arc::<JobProgress>::default();
    let (mut connection, mut host) = active_connection(write_job(&shared, 100), &progress);
    host.write_all(&sent[..sent.len() / 2]).unwrap();
    while connection.stream.peek(&mut [0; 512]).map_or(true, |n| n < sent.len() / 2) {}
    assert_eq!(progress.cancel(CancelScope::All), CancelOutcome::ShutDown);
    assert_eq!(run_to_end(&mut connection), Ending::Withdrawn);
}

use super::*;
use crate::shared::test_shared;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn an_idle_connection_is_stale_once_it_ends_or_speaks() {
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
    Job { work: Work::Probe, until: now + 60_000.0, begin_by: now + begin_in }
}

fn ending(step: Step) -> Option<Ending> {
    match step {
        Step::Over(result) => Some(result.ending),
        _ => None,
    }
}

/// A connection that opened late once carried a repeat past the time that drops repeats.
#[test]
fn what_may_begin_no_more_by_the_time_its_connection_opens_is_not_written() {
    let shared = test_shared();
    for late in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let job = job(&shared, if late { 20.0 } else { 60_000.0 });
        let begin_by = job.begin_by;
        let mut connection = Connection::dial(&shared, at, Arc::default(), job).ok().unwrap();
        let mut host = listener.accept().unwrap().0;
        while late && shared.clock.now() < begin_by {}
        let step = connection.news(true, false, &mut [0; 64]);
        assert_eq!(ending(step), late.then_some(Ending::Unsent));
        drop(connection);
        let mut came = Vec::new();
        // Closed over what the host never read it is a reset.
        let _ = host.read_to_end(&mut came);
        assert_eq!(came.is_empty(), late);
        // One that never opens ends then, and is not held against the host.
        let job = self::job(&shared, if late { 20.0 } else { 0.0 });
        let begin_by = job.begin_by;
        match Connection::dial(&shared, at, Arc::default(), job) {
            Ok(mut connection) => {
                assert!(late && connection.due() <= begin_by);
                while shared.clock.now() < begin_by {}
                assert_eq!(ending(connection.overdue()), Some(Ending::Unsent));
            }
            Err(ending) => assert_eq!((ending, late), (Ending::Unsent, false)),
        }
    }
}

/// A call back between the note that a job is written and the write once ended as a host that takes no connection.
#[test]
fn a_call_back_ends_what_it_may_and_tells_what_that_was() {
    use CallBack::*;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let huge = vec![0; 64 << 20];
    let stages: [(&[u8], [CalledBack; 3]); 3] = [
        (b"", [CalledBack::Unwritten; 3]),
        (&huge, [CalledBack::No, CalledBack::BrokenOff, CalledBack::BrokenOff]),
        (b"x", [CalledBack::No, CalledBack::No, CalledBack::BrokenOff]),
    ];
    for (bytes, outcomes) in stages {
        for (which, outcome) in [Waiting, Unfinished, All].into_iter().zip(outcomes) {
            let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            let line = Line::default();
            if !bytes.is_empty() {
                line.write(&stream, &[bytes]).unwrap().unwrap();
            }
            assert_eq!(line.call_back(which), outcome, "{which:?} of {} bytes", bytes.len());
            assert_eq!(line.write(&stream, &[b"more"]).is_none(), outcome != CalledBack::No);
        }
    }
}

fn write_of(shared: &Arc<Shared>, bytes: usize) -> Job {
    let statement =
        Statement { text: vec![b'x'; bytes], is_write: true, timeout_range: 0..0, held: shared.reserve(0) };
    Job { work: Work::Op(Arc::new(statement)), ..job(shared, 60_000.0) }
}

/// A connection that carries a job, and its host's end.
fn carrying(job: Job, line: &Arc<Line>) -> (Connection, TcpStream) {
    let shared = test_shared();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut connection = Connection::dial(&shared, at, line.clone(), job).ok().unwrap();
    let host = listener.accept().unwrap().0;
    assert_eq!(ending(connection.news(true, false, &mut [0; 64])), None);
    (connection, host)
}

fn ends(connection: &mut Connection) -> Ending {
    let turn = || ending(connection.news(true, true, &mut [0; 8192]));
    std::iter::repeat_with(turn).flatten().next().unwrap()
}

/// The last byte settles whether a write may have run.
#[test]
fn a_reset_before_the_last_byte_has_run_nothing_and_one_behind_it_may_have() {
    let shared = test_shared();
    for (bytes, read, expected) in [
        (64 << 20, 0, Ending::Unreached),
        (64 << 20, 1 << 20, Ending::Unreached),
        (100, 0, Ending::Reset),
        (100, 4096, Ending::Reset),
    ] {
        let (mut connection, mut host) = carrying(write_of(&shared, bytes), &Arc::default());
        let mut taken = vec![0; read];
        if read > 100 && bytes > 100 {
            host.read_exact(&mut taken).unwrap();
        } else if read > 0 {
            assert!(host.read(&mut taken).unwrap() > bytes, "all of it has come");
        }
        SockRef::from(&host).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(host);
        assert_eq!(ends(&mut connection), expected, "{read} of {bytes} bytes read");
    }
}

/// What had come before a send was called back is told: it may have been a commit.
#[test]
fn an_answer_that_was_there_as_its_send_was_called_back_is_told() {
    let (shared, line) = (test_shared(), Arc::<Line>::default());
    let (mut connection, mut host) = carrying(write_of(&shared, 100), &line);
    let mut said = Vec::new();
    encode::startup_reply(&mut said);
    let message =
        |kind: u8, body: &[u8]| [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat();
    said.extend(message(b'T', &[&[0, 1][..], b"v\0", &[0; 18]].concat()));
    said.extend(message(b'D', &[0, 1, 0, 0, 0, 1, b'w']));
    said.extend(message(b'C', b"INSERT 0 1\0"));
    said.extend(encode::READY_FOR_QUERY);
    host.write_all(&said).unwrap();
    while connection.stream.peek(&mut [0; 512]).map_or(true, |n| n < said.len()) {}
    assert_eq!(line.call_back(CallBack::All), CalledBack::BrokenOff);
    assert_eq!(ends(&mut connection), Ending::Acked);
    // Cut inside, it is the call back that ended it, not the host.
    let line = Arc::<Line>::default();
    let (mut connection, mut host) = carrying(write_of(&shared, 100), &line);
    host.write_all(&said[..said.len() / 2]).unwrap();
    while connection.stream.peek(&mut [0; 512]).map_or(true, |n| n < said.len() / 2) {}
    assert_eq!(line.call_back(CallBack::All), CalledBack::BrokenOff);
    assert_eq!(ends(&mut connection), Ending::Withdrawn);
}

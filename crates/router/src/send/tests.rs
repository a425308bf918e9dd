use super::*;
use crate::shared::empty;
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
    let shared = empty();
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

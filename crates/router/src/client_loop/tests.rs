use super::*;
use crate::clock::Clock;
use crate::limits::{Limits, MINIMAL_CONFIGURATION};
use std::time::Instant;

fn client_loop() -> (ClientLoop, std::net::SocketAddr) {
    let startup_options = magpiewell_terms::startup::parse(MINIMAL_CONFIGURATION).unwrap().0;
    let parser = Arc::new(OpFactsParser::new(&startup_options.adapter_options, 1.0));
    let poll = Poll::new().unwrap();
    let waker = mio::Waker::new(poll.registry(), WAKE).unwrap();
    let (wakeups, wakeups_receiver) = crossbeam_channel::unbounded();
    let (events, limits) = (crossbeam_channel::unbounded().0, Limits::new(&startup_options));
    let shared =
        Shared::new(limits, crate::shared::LabOverrides::default(), Clock::start(0.0), wakeups, waker);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    (ClientLoop::new(shared, parser, events, poll, listener, wakeups_receiver).unwrap(), addr)
}

/// Guards against clients that connect and stay silent: they once used up the evictions, and accepting could
/// not keep pace.
#[test]
fn silent_clients_are_evicted_first_then_the_longest_idle_and_busy_ones_never() {
    let (mut client_loop, addr) = client_loop();
    let mut client = |has_valid_op, ago: u64, pending| {
        let id = client_loop.next_client_id;
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        client_loop.add_client(stream);
        let reader = client_loop.readers.get_mut(&id).unwrap();
        reader.has_valid_op = has_valid_op;
        reader.client.pending.store(pending, Relaxed);
        reader.client.last_active_at.fetch_sub(ago, Relaxed);
        client_loop.evictions.insert(id, reader.activity(client_loop.shared.clock.now()));
        id
    };
    let _busy = [client(true, 90_000, 1), client(true, 0, 0)];
    let (idle, longer_idle) = (client(true, 50_000, 0), client(true, 70_000, 0));
    let (faulty, silent) = (client(false, 1_000, 0), client(false, 2_000, 0));
    for next in [silent, faulty, longer_idle, idle] {
        let not_draining = client_loop.not_draining();
        assert!(client_loop.readers.contains_key(&next) && client_loop.make_room());
        assert!(!client_loop.readers.contains_key(&next));
        assert_eq!(client_loop.not_draining(), not_draining - 1);
    }
    assert!(!client_loop.make_room());
    assert_eq!(client_loop.not_draining(), 2);
}

/// Each event once queued such a client again, so that it gained ever more turns, and memory.
#[test]
fn a_client_that_writes_without_end_is_queued_once() {
    let (mut client_loop, addr) = client_loop();
    let mut ours = TcpStream::connect(addr).unwrap();
    let stream = client_loop.listener.as_ref().unwrap().accept();
    let stream = stream.or_else(|_| client_loop.listener.as_ref().unwrap().accept()).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let id = client_loop.next_client_id;
    client_loop.add_client(stream);
    let mut startup = Vec::new();
    magpiewell_pg::encode::startup_message(&mut startup, "svc", "main");
    // Messages that are skipped, more than several turns read.
    let skipped = [b'd', 0, 0, 0, 4].repeat(200_000);
    std::io::Write::write_all(&mut ours, &startup).unwrap();
    std::thread::spawn(move || drop(std::io::Write::write_all(&mut ours, &skipped)));
    let turns =
        |client_loop: &mut ClientLoop| client_loop.serve(id, |reader, scratch| reader.serve(scratch, true));
    while client_loop.queued.is_empty() {
        turns(&mut client_loop);
    }
    (0..3).for_each(|_| turns(&mut client_loop));
    assert_eq!(client_loop.queued, [id]);
}

/// Guards against a disconnect that goes unnoticed because it follows bytes that are no longer read.
#[test]
fn a_draining_client_that_disconnects_is_noticed_without_an_event_of_its_own() {
    let (mut client_loop, addr) = client_loop();
    let ours = TcpStream::connect(addr).unwrap();
    let accepted = || client_loop.listener.as_ref().unwrap().accept();
    let stream = std::iter::repeat_with(accepted).find_map(Result::ok).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let id = client_loop.next_client_id;
    client_loop.add_client(stream);
    client_loop.serve(id, |reader, scratch| {
        (reader.has_valid_op, reader.is_draining) = (true, true);
        assert!(reader.client.begin_command().is_some());
        reader.serve(scratch, false)
    });
    assert!(client_loop.readers.contains_key(&id), "it is owed an answer");
    drop(ours);
    let deadline = Instant::now() + Duration::from_secs(30);
    while client_loop.readers.contains_key(&id) {
        assert!(Instant::now() < deadline, "its end is never noticed");
        client_loop.serve(id, |reader, scratch| reader.serve(scratch, false));
    }
}

/// A router that was delayed past the time for accepting once accepted only the first few clients of its
/// queue, and none that had connected since its last look at the queue.
#[test]
fn clients_in_the_queue_as_accepting_ends_are_accepted() {
    let (mut client_loop, addr) = client_loop();
    let ours: Vec<_> = (0..40).map(|_| TcpStream::connect(addr).unwrap()).collect();
    client_loop.may_accept = false;
    client_loop.shared.request_stop();
    let limits = &client_loop.shared.limits;
    let deadline = client_loop.shared.after_stop_request(limits.grace + limits.last_look);
    while client_loop.shared.clock.now() < deadline {}
    while client_loop.listener.is_some() {
        client_loop.accept();
        client_loop.advance_shutdown();
    }
    // Some have been closed again by now, between their requests.
    assert_eq!(client_loop.next_client_id - FIRST_CLIENT_ID, ours.len() as u64);
}

#[test]
fn a_client_with_an_open_command_does_not_delay_the_shutdown() {
    let (mut client_loop, addr) = client_loop();
    let mut ours = TcpStream::connect(addr).unwrap();
    while client_loop.readers.is_empty() {
        client_loop.may_accept = true;
        client_loop.accept();
    }
    let reader = client_loop.readers.values().next().unwrap();
    assert!(reader.client.begin_command().is_some());
    client_loop.shared.request_stop();
    let deadline = client_loop.shared.stop_deadline() + client_loop.shared.limits.cut.as_secs_f64() * 1000.0;
    while client_loop.shared.clock.now() < deadline {}
    let ended = (0..100).any(|_| {
        client_loop.accept();
        client_loop.advance_shutdown()
    });
    assert!(ended);
    assert!(std::io::Read::read(&mut ours, &mut [0]).is_ok_and(|n| n == 0), "its connection has ended");
}

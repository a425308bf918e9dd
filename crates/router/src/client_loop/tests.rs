use super::*;
use crate::clock::Clock;
use crate::limits::{Limits, MINIMAL_CONFIGURATION};
use std::time::Instant;

fn client_loop() -> (ClientLoop, std::net::SocketAddr) {
    client_loop_with(|_| ())
}

fn client_loop_with(change: impl FnOnce(&mut Limits)) -> (ClientLoop, std::net::SocketAddr) {
    let startup_options = magpiewell_terms::startup::parse(MINIMAL_CONFIGURATION).unwrap().0;
    let parser = Arc::new(OpFactsParser::new(&startup_options.adapter_options, 1.0));
    let poll = Poll::new().unwrap();
    let waker = mio::Waker::new(poll.registry(), WAKE).unwrap();
    let (wakeups, wakeups_receiver) = crossbeam_channel::unbounded();
    let (events, mut limits) = (crossbeam_channel::unbounded().0, Limits::new(&startup_options));
    change(&mut limits);
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

/// A client of the loop, and the id under which the loop serves it.
fn connect_client(client_loop: &mut ClientLoop, addr: std::net::SocketAddr) -> (u64, TcpStream) {
    let ours = TcpStream::connect(addr).unwrap();
    let accepted = || client_loop.listener.as_ref().unwrap().accept();
    let stream = std::iter::repeat_with(accepted).find_map(Result::ok).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let id = client_loop.next_client_id;
    client_loop.add_client(stream);
    (id, ours)
}

/// Writes these bytes as a client, and has the loop read them all.
fn deliver(client_loop: &mut ClientLoop, id: u64, ours: &mut TcpStream, bytes: &[u8]) {
    let mut left = bytes;
    while !left.is_empty() {
        let (chunk, rest) = left.split_at(left.len().min(4096));
        std::io::Write::write_all(ours, chunk).unwrap();
        let stream = client_loop.readers[&id].client.stream.try_clone().unwrap();
        while stream.peek(&mut [0; 4096]).map_or(true, |n| n < chunk.len()) {}
        client_loop.serve(id, |reader, scratch| reader.serve(scratch, true));
        left = rest;
    }
}

/// A long message is buffered in part, then dropped. Its connection was once closed instead, without an answer,
/// and it was whoever sent next that was closed, not the clients that had stopped in the middle of a message.
#[test]
fn parts_of_messages_that_wait_longest_are_dropped_and_refused_at_their_end() {
    let limit = 100_000;
    let (mut client_loop, addr) = client_loop_with(|limits| limits.partial_bytes = limit);
    let mut startup = Vec::new();
    magpiewell_pg::encode::startup_message(&mut startup, "svc", "main");
    let query = [&magpiewell_pg::encode::query_header(60_000)[..], &[b'x'; 60_000], &[0]].concat();
    let part = 40_000;
    let mut clients: Vec<_> = (0..4).map(|_| connect_client(&mut client_loop, addr)).collect();
    for (nth, (id, ours)) in clients.iter_mut().enumerate() {
        deliver(&mut client_loop, *id, ours, &startup);
        deliver(&mut client_loop, *id, ours, &query[..part]);
        // Each has waited for longer than those after it.
        client_loop.readers[id].client.last_active_at.store(nth as u64, Relaxed);
        assert!(client_loop.partial_bytes <= limit, "{} bytes", client_loop.partial_bytes);
    }
    assert_eq!(client_loop.readers.len(), clients.len(), "nobody was closed");
    let partial_bytes =
        |client_loop: &ClientLoop, (id, _): &(u64, TcpStream)| client_loop.readers[id].partial_bytes();
    let kept: Vec<_> = clients.iter().map(|client| partial_bytes(&client_loop, client)).collect();
    assert_eq!(kept, [0, 0, part, part]);
    // Each gets an answer at the end of its message, in one piece or several, and may go on.
    for (nth, (id, ours)) in clients.iter_mut().enumerate() {
        let rest = [&query[part..], &magpiewell_pg::encode::query_header(0), &[0]].concat();
        deliver(&mut client_loop, *id, ours, &rest[..1_000]);
        deliver(&mut client_loop, *id, ours, &rest[1_000..]);
        let expected = if nth < 2 { "53300" } else { "42601" };
        let codes = error_codes(ours, 2);
        // The second command is the empty query, while no list of hosts is known.
        assert_eq!(codes, [expected, "57P03"], "client {nth}");
    }
    assert_eq!((client_loop.partial_bytes, client_loop.shared.reserved_bytes.load(Relaxed)), (0, 0));
}

/// The error codes of this many answers.
fn error_codes(ours: &mut TcpStream, count: usize) -> Vec<String> {
    ours.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let (mut buf, mut chunk, mut codes) = (Vec::new(), [0; 4096], Vec::new());
    while codes.len() < count {
        while let Ok(Some((kind, body))) = magpiewell_pg::frame::message(&buf, 1 << 20) {
            if kind == b'E' {
                let code = magpiewell_pg::frame::error_field(&buf[body.clone()], b'C').unwrap();
                codes.push(String::from_utf8(code.to_vec()).unwrap());
            }
            buf.drain(..body.end);
        }
        if codes.len() < count {
            let n = std::io::Read::read(ours, &mut chunk).unwrap();
            assert!(n > 0, "the connection has ended after {codes:?}");
            buf.extend_from_slice(&chunk[..n]);
        }
    }
    codes
}

/// Guards against a count that grows with each client that is closed in the middle of a message, until every
/// long message is dropped.
#[test]
fn a_client_closed_in_the_middle_of_a_message_leaves_no_count_behind() {
    let (mut client_loop, addr) = client_loop();
    let mut startup = Vec::new();
    magpiewell_pg::encode::startup_message(&mut startup, "svc", "main");
    let part = [&magpiewell_pg::encode::query_header(60_000)[..], &[b'x'; 40_000]].concat();
    let (id, mut ours) = connect_client(&mut client_loop, addr);
    deliver(&mut client_loop, id, &mut ours, &startup);
    deliver(&mut client_loop, id, &mut ours, &part);
    assert_eq!(client_loop.partial_bytes, part.len());
    client_loop.serve(id, |reader, _| reader.disconnect());
    assert_eq!((client_loop.partial_bytes, client_loop.shared.reserved_bytes.load(Relaxed)), (0, 0));
}

/// Connects a client that has written these bytes, and lets the loop accept it; returns its id.
fn add_client_with(
    client_loop: &mut ClientLoop,
    addr: std::net::SocketAddr,
    bytes: &[u8],
) -> (u64, TcpStream) {
    let mut ours = TcpStream::connect(addr).unwrap();
    let mut startup = Vec::new();
    magpiewell_pg::encode::startup_message(&mut startup, "svc", "main");
    std::io::Write::write_all(&mut ours, &[&startup, bytes].concat()).unwrap();
    let accepted = || client_loop.listener.as_ref().unwrap().accept();
    let stream = std::iter::repeat_with(accepted).find_map(Result::ok).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let id = client_loop.next_client_id;
    client_loop.add_client(stream);
    (id, ours)
}

/// Floods of commands that are no ops once took the processor time that ops of other clients need.
#[test]
fn flooding_clients_wait_once_their_share_of_processor_time_is_used_up() {
    let (mut client_loop, addr) = client_loop();
    let sync = [b'S', 0, 0, 0, 4];
    let (flooder, _flood) = add_client_with(&mut client_loop, addr, &sync.repeat(1_000));
    let (idle, _idle) = add_client_with(&mut client_loop, addr, &[]);
    let now = client_loop.shared.clock.now();
    client_loop.allowance.charge(now, 1e9);
    [flooder, idle].into_iter().for_each(|id| client_loop.serve_ready(id, false));
    assert!(client_loop.readers[&flooder].is_deferred && !client_loop.readers[&idle].is_deferred);
    // The startup of each, and one command.
    let local_answers = || client_loop.shared.metrics.local_answers.load(Relaxed);
    assert_eq!(local_answers(), 3);
    assert!(client_loop.queued.is_empty(), "it is not served before its wait is over");
    client_loop.serve_ready(flooder, false);
    assert_eq!(client_loop.shared.metrics.local_answers.load(Relaxed), 3);
    // One that hangs up ends at once, whatever it has sent.
    client_loop.serve_ready(flooder, true);
    assert!(!client_loop.readers.contains_key(&flooder));
}

/// New connections once waited in the accept queue for seconds while processor time was short, behind those of
/// clients that connect over and over.
#[test]
fn connections_in_the_accept_queue_wait_no_longer_than_allowed_while_accepting_is_throttled() {
    for has_room in [true, false] {
        let (mut client_loop, addr) = client_loop_with(|limits| {
            limits.leaving = if has_room { limits.leaving } else { 0 };
            limits.clients = if has_room { limits.clients } else { 0 };
            limits.unread_wait_ms = 60_000.0;
        });
        client_loop.admission.accepts_per_second = 1.0;
        let ours: Vec<_> = (0..40).map(|_| TcpStream::connect(addr).unwrap()).collect();
        client_loop.may_accept = true;
        client_loop.queue_served_at = client_loop.shared.clock.now();
        client_loop.accept();
        assert!(client_loop.readers.len() <= 1, "accepting is throttled");
        client_loop.queue_served_at -= client_loop.shared.limits.accept_wait_ms + 1.0;
        client_loop.accept();
        let unread = |client_loop: &ClientLoop| client_loop.shared.metrics.closed_unread.load(Relaxed);
        let accepted = if has_room { 40 } else { 0 };
        assert_eq!((client_loop.readers.len(), unread(&client_loop)), (accepted, 0));
        client_loop.queue_served_at -= client_loop.shared.limits.accept_wait_ms + 1.0;
        client_loop.queue_empty_at -= client_loop.shared.limits.unread_wait_ms + 1.0;
        while client_loop.may_accept {
            client_loop.accept();
        }
        assert_eq!((client_loop.readers.len(), unread(&client_loop)), (accepted, 40 - accepted));
        drop(ours);
    }
}

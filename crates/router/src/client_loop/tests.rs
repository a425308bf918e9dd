use super::*;
use crate::clock::Clock;
use crate::limits::{Limits, MINIMAL_CONFIGURATION};
use std::time::Instant;

fn clients() -> (ClientLoop, std::net::SocketAddr) {
    let start = magpiewell_terms::startup::parse(MINIMAL_CONFIGURATION).unwrap().0;
    let names = Arc::new(OpFactsParser::new(&start.adapter_options, 1.0));
    let poll = Poll::new().unwrap();
    let wake = mio::Waker::new(poll.registry(), WAKE).unwrap();
    let (wakeups, look) = crossbeam_channel::unbounded();
    let (events, limits) = (crossbeam_channel::unbounded().0, Limits::new(&start));
    let shared =
        Shared::new(limits, crate::shared::LabOverrides::default(), Clock::start(0.0), wakeups, wake);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    (ClientLoop::new(shared, names, events, poll, listener, look).unwrap(), at)
}

/// With some silent clients about, accepting once waited for others that took up evictions.
#[test]
fn room_is_made_by_the_silent_then_the_idlest_never_the_busy() {
    let (mut clients, at) = clients();
    let mut client = |asks, ago: u64, pending| {
        let no = clients.next;
        let stream = TcpStream::connect(at).unwrap();
        stream.set_nonblocking(true).unwrap();
        clients.welcome(stream);
        let reader = clients.readers.get_mut(&no).unwrap();
        reader.asks = asks;
        reader.client.pending.store(pending, Relaxed);
        reader.client.last_active_at.fetch_sub(ago, Relaxed);
        clients.evictions.enter(no, reader.standing(clients.shared.clock.now()));
        no
    };
    let _stay = [client(true, 90_000, 1), client(true, 0, 0)];
    let (idle, idler) = (client(true, 50_000, 0), client(true, 70_000, 0));
    let (faulty, silent) = (client(false, 1_000, 0), client(false, 2_000, 0));
    for next in [silent, faulty, idler, idle] {
        let staying = clients.staying();
        assert!(clients.readers.contains_key(&next) && clients.make_room());
        assert!(!clients.readers.contains_key(&next));
        assert_eq!(clients.staying(), staying - 1);
    }
    assert!(!clients.make_room());
    assert_eq!(clients.staying(), 2);
}

/// One that writes without end was put in line again by each event, and so had ever more turns, and room.
#[test]
fn a_client_that_writes_without_end_stands_in_line_once() {
    let (mut clients, at) = clients();
    let mut ours = TcpStream::connect(at).unwrap();
    let stream = clients.listener.as_ref().unwrap().accept();
    let stream = stream.or_else(|_| clients.listener.as_ref().unwrap().accept()).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let no = clients.next;
    clients.welcome(stream);
    let mut opening = Vec::new();
    magpiewell_pg::encode::startup_message(&mut opening, "svc", "main");
    // Messages that are passed over, more than some turns take.
    let passed = [b'd', 0, 0, 0, 4].repeat(200_000);
    std::io::Write::write_all(&mut ours, &opening).unwrap();
    std::thread::spawn(move || drop(std::io::Write::write_all(&mut ours, &passed)));
    let turns = |clients: &mut ClientLoop| clients.give(no, |reader, scratch| reader.turn(scratch, true));
    while clients.more.is_empty() {
        turns(&mut clients);
    }
    (0..3).for_each(|_| turns(&mut clients));
    assert_eq!(clients.more, [no]);
}

/// Behind bytes that are no longer read its end once never showed.
#[test]
fn the_end_of_one_that_is_on_its_way_out_shows_without_an_event_of_its_own() {
    let (mut clients, at) = clients();
    let ours = TcpStream::connect(at).unwrap();
    let accepted = || clients.listener.as_ref().unwrap().accept();
    let stream = std::iter::repeat_with(accepted).find_map(Result::ok).unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let no = clients.next;
    clients.welcome(stream);
    clients.give(no, |reader, scratch| {
        (reader.asks, reader.leaving) = (true, true);
        assert!(reader.client.begin_command().is_some());
        reader.turn(scratch, false)
    });
    assert!(clients.readers.contains_key(&no), "it is owed an answer");
    drop(ours);
    let until = Instant::now() + Duration::from_secs(30);
    while clients.readers.contains_key(&no) {
        assert!(Instant::now() < until, "its end is never seen");
        clients.give(no, |reader, scratch| reader.turn(scratch, false));
    }
}

/// Held up past the end of its accepting, a router once left all but the first few of its queue unanswered; and
/// whoever came since it last looked.
#[test]
fn who_stands_in_the_queue_as_accepting_ends_is_let_in() {
    let (mut clients, at) = clients();
    let ours: Vec<_> = (0..40).map(|_| TcpStream::connect(at).unwrap()).collect();
    clients.acceptable = false;
    clients.shared.request_stop();
    let limits = &clients.shared.limits;
    let over = clients.shared.after_stop_request(limits.grace + limits.last_look);
    while clients.shared.clock.now() < over {}
    while clients.listener.is_some() {
        clients.accept();
        clients.stops();
    }
    // Some have been closed again by now, between their requests.
    assert_eq!(clients.next - FIRST, ours.len() as u64);
}

#[test]
fn a_client_that_is_still_owed_an_answer_does_not_delay_the_end() {
    let (mut clients, at) = clients();
    let mut ours = TcpStream::connect(at).unwrap();
    while clients.readers.is_empty() {
        clients.acceptable = true;
        clients.accept();
    }
    let reader = clients.readers.values().next().unwrap();
    assert!(reader.client.begin_command().is_some());
    clients.shared.request_stop();
    let over = clients.shared.stop_deadline() + clients.shared.limits.cut.as_secs_f64() * 1000.0;
    while clients.shared.clock.now() < over {}
    let ends = (0..100).any(|_| {
        clients.accept();
        clients.stops()
    });
    assert!(ends);
    assert!(std::io::Read::read(&mut ours, &mut [0]).is_ok_and(|n| n == 0), "its connection has ended");
}

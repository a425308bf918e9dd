//! Rare moments on real sockets, each forced by who holds and who releases: a connection to a host that opens late, a
//! client that leaves just then, a host told to drain just then.

use crate::stand_in::*;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// A host whose connections don't open until it is let: its queue is full, as a machine's that is overwhelmed.
struct Late {
    listener: TcpListener,
    addr: SocketAddr,
    _fills: TcpStream,
}

fn late() -> Late {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let fills = TcpStream::connect(addr).unwrap();
    Late { listener, addr, _fills: fills }
}

impl Late {
    /// Lets connections open, and admits each; tells what came right behind its opening, which a router that has
    /// something to ask writes in one go, and then serves it.
    fn open(self) -> Receiver<String> {
        let (tell, came) = channel();
        thread::spawn(move || {
            // The one that filled the queue.
            drop(self.listener.accept());
            for stream in self.listener.incoming().map_while(Result::ok) {
                let mut from = Messages::new(stream);
                if from.startup().is_none() {
                    continue;
                }
                drop(tell.send(from.kept().to_string()));
                thread::spawn(move || answer_on(from));
            }
        });
        came
    }
}

fn answer_on(mut from: Messages) {
    use std::io::Write;
    let mut to = from.stream.try_clone().unwrap();
    let mut admits = Vec::new();
    magpiewell_pg::say::welcome(&mut admits);
    drop(to.write_all(&admits));
    while let Some((b'Q', _)) = from.next() {
        drop(to.write_all(&served("late", "reader")));
    }
}

fn slow_to_open() -> String {
    settings(15.0).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":25")
}

/// The op that a client has just written has been routed by now: its id is known.
fn is_routed(router: &Router, statement: &str) -> bool {
    Client::open(router.addr).ask(statement).code.as_deref() == Some("55006")
}

/// Seen on a deployment whose sends can't be withdrawn: what had not left yet left after the final answer, and a
/// client's after it had gone.
#[test]
fn what_has_not_left_when_its_client_leaves_never_does() {
    for may_cancel in ["true", "false"] {
        let host = late();
        let known = page(1, true, &[entry("s-1", host.addr, "Ready")]);
        let settings = slow_to_open().replace("\"may_cancel\":true", &format!("\"may_cancel\":{may_cancel}"));
        let router = router(&config("127.0.0.1:1".parse().unwrap(), &known, LIMITS, &settings));
        let mut leaves = Client::open(router.addr);
        let op = statement("look", "gone", "20000", "");
        leaves.write(&query(&op));
        assert!(is_routed(&router, &op));
        drop(leaves);
        // Routed behind the news that the client has left, of a group that nobody has named.
        let mut stays = Client::open(router.addr);
        let unknown = statement("look", "k", "20000", "").replace("cluster=3", "cluster=9");
        assert_eq!(stays.ask(&unknown).code.as_deref(), Some("53300"));
        let came = host.open();
        let answer = stays.ask(&statement("look", "stays", "20000", ""));
        assert_eq!(answer.value.as_deref(), Some("late"));
        let both = [came.recv_timeout(PATIENCE).unwrap(), came.recv_timeout(PATIENCE).unwrap()];
        assert!(both.iter().all(|text| !text.contains("'gone'")), "{both:?}");
    }
}

/// A connection that opens within its own time may do so past the grace of a host that drains meanwhile.
#[test]
fn what_has_not_left_when_its_host_drains_goes_to_another() {
    let (drains, other) = (late(), host(|_, _| Act::Say(served("other", "reader"))));
    let list = list();
    let router = router(&config(list.addr, "null", LIMITS, &slow_to_open()));
    list.answers.send(http(&page(1, true, &[entry("s-1", drains.addr, "Ready")]))).unwrap();
    let mut client = Client::open(router.addr);
    while !client.ask("").empty {}
    let op = statement("look", "waits", "20000", "");
    client.write(&query(&op));
    assert!(is_routed(&router, &op));
    let news = [entry("s-1", drains.addr, "Terminating"), entry("s-2", other.addr, "Ready")];
    list.answers.send(http(&page(2, false, &news))).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some("other"));
    // The connection opens all the same, and nothing is asked on it.
    assert_eq!(drains.open().recv_timeout(PATIENCE).unwrap(), "");
}

use super::*;
use crate::op_facts::OpFactsParser;
use crate::shared::test_shared;

/// Its ops once took their turn in the channel, and left, though the news that it had gone stood right behind them.
#[test]
fn an_op_whose_client_left_while_it_waited_in_the_channel_is_dropped() {
    let start = String::from_utf8(crate::limits::MINIMAL_CONFIGURATION.to_vec()).unwrap();
    let class = r#""classes":[{"name":"look","effect":"free","deadline_s":1,"goal_time_s":1,"value":1}]"#;
    let start = start.replace(r#""classes":[]"#, class);
    let start = start.replace(
        r#""read_level":[],"staleness_bound_s":[]"#,
        r#""read_level":["any"],"staleness_bound_s":[0]"#,
    );
    let start = magpiewell_terms::startup::parse(start.as_bytes()).unwrap().0;
    let names = OpFactsParser::new(&start.adapter_options, 1_000.0);
    let shared = test_shared();
    let (_hosts, orders) = crate::host_loop::new(&shared, crossbeam_channel::unbounded().0).unwrap();
    let ask_list = crossbeam_channel::bounded(1).0;
    let mut router =
        Router::new(shared.clone(), start.terms, &start.adapter_options, 1, ask_list, orders, None);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for (no, left) in [(7, true), (8, false)] {
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(&shared, no, stream);
        let text = format!("SELECT v FROM records WHERE k = 'k' /* id={no},c=look,d=900,cluster=3 */");
        let facts = Box::new(names.parse(&text).unwrap());
        let statement = Statement {
            text: text.into_bytes(),
            is_write: false,
            timeout_range: 0..0,
            held: shared.reserve(0),
        };
        let seq = client.begin_command().unwrap();
        if left {
            client.abort();
        }
        let arrived_at = shared.clock.now();
        router.take(Event::OpArrived { client, seq, facts, statement: Arc::new(statement), arrived_at });
    }
    router.take(Event::ClientDisconnected { client: 7 });
    let counts = &router.outbox.counts;
    assert_eq!((counts.left, counts.taken), (1, 1));
}

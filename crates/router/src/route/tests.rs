use super::*;
use crate::op_facts::OpFactsParser;
use crate::shared::test_shared;

/// Guards against sending ops of a client that has disconnected: the ops are queued ahead of the event that
/// reports it.
#[test]
fn an_op_whose_client_disconnected_while_it_was_queued_is_dropped() {
    let configuration = String::from_utf8(crate::limits::MINIMAL_CONFIGURATION.to_vec()).unwrap();
    let op_type = r#""classes":[{"name":"look","effect":"free","deadline_s":1,"goal_time_s":1,"value":1}]"#;
    let configuration = configuration.replace(r#""classes":[]"#, op_type);
    let configuration = configuration.replace(
        r#""read_level":[],"staleness_bound_s":[]"#,
        r#""read_level":["any"],"staleness_bound_s":[0]"#,
    );
    let startup_options = magpiewell_terms::startup::parse(configuration.as_bytes()).unwrap().0;
    let parser = OpFactsParser::new(&startup_options.adapter_options, 1_000.0);
    let shared = test_shared();
    let (_hosts, commands) = crate::host_loop::new(&shared, crossbeam_channel::unbounded().0).unwrap();
    let list_retries = crossbeam_channel::bounded(1).0;
    let mut router = Router::new(
        shared.clone(),
        startup_options.policy_options,
        &startup_options.adapter_options,
        1,
        list_retries,
        commands,
        None,
    );
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for (client_id, is_gone) in [(7, true), (8, false)] {
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(&shared, client_id, stream);
        let text = format!("SELECT v FROM records WHERE k = 'k' /* id={client_id},c=look,d=900,cluster=3 */");
        let facts = Box::new(parser.parse(&text).unwrap());
        let statement = Statement {
            text: text.into_bytes(),
            is_write: false,
            client_timeout_range: 0..0,
            reservation: shared.reserve(0),
        };
        let seq = client.begin_command().unwrap();
        if is_gone {
            client.abort();
        }
        let arrived_at = shared.clock.now();
        router.handle_event(Event::OpArrived {
            client,
            seq,
            facts,
            statement: Arc::new(statement),
            arrived_at,
        });
    }
    router.handle_event(Event::ClientDisconnected { client: 7 });
    let counts = &router.outbox.counts;
    assert_eq!((counts.abandoned, counts.received), (1, 1));
}

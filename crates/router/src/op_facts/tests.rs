use super::*;
use crate::client_reader::test_parser;

fn statement(further_facts: usize) -> String {
    let further: String = (0..further_facts).map(|number| format!(",a{number}=1")).collect();
    format!("SELECT v FROM r WHERE k = 'k' /* id=1,c=look,d=480,cluster=3{further} */")
}

/// Each fact was once compared with all before it: one statement with 20,000 kept the client loop busy for a
/// second.
#[test]
fn statement_with_thousands_of_facts_is_refused_after_the_first_few() {
    let parser = test_parser();
    assert!(parser.parse(&statement(MAX_FACTS - 4)).is_ok());
    for count in [MAX_FACTS - 3, 20_000] {
        assert_eq!(parser.parse(&statement(count)).err().as_deref(), Some("more than 32 facts"));
    }
}

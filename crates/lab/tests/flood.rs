//! Clients that flood a router process with commands, beside clients that send ops at the usual rate. The
//! router gets twice the processor time that the latter need on this machine.

use magpiewell_lab::flood::flooder::FloodShape;
use magpiewell_lab::flood::kind::FloodKind;
use magpiewell_lab::flood::{self, FloodPlay};
use std::path::Path;
use std::time::Duration;

/// The lab's build of the router: the same code, built along with these tests.
const ROUTER: &str = env!("CARGO_BIN_EXE_magpiewell-staged");

#[test]
fn flood_of_empty_queries_loses_no_op_of_other_clients() {
    let shape = FloodShape { kind: FloodKind::EmptyQueries, flooders: 6, reconnect: false };
    let play = FloodPlay { shape, duration: Duration::from_secs(4) };
    let result = flood::play(Path::new(ROUTER), play).unwrap();
    assert!(result.ops.answered > 0 && result.ops.lost == 0, "{result:?}");
}

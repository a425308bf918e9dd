//! What the stages tell the decision thread, and the statement that travels with an op. Knows no stage.

use crate::answer::Result;
use crate::client::Client;
use crate::op_facts::OpFacts;
use crate::shared::MemoryReservation;
use std::ops::Range;
use std::sync::Arc;

pub enum Event {
    /// A client's op, taken whole at a time on the router's clock.
    Arrived { client: Arc<Client>, seq: u64, facts: Box<OpFacts>, statement: Arc<Statement>, taken: f64 },
    /// A client has gone and left commands open.
    Left { client: u64 },
    /// A connection's job is over.
    Ended { conn: u64, result: Box<Result> },
    /// A connection ended idle; nothing was written of a job it may have been given meanwhile.
    Closed { conn: u64 },
    /// The share of ops that processor time is there for, and when others may come back, in ms.
    Carries { share: f64, come_back: f64 },
    /// Peers have told something.
    PeerFacts(Vec<magpiewell_tier::PeerFact>),
    /// The list has news.
    News,
    /// All clients have been answered.
    Stop,
}

/// A statement as the client wrote it, and where its wait stands.
pub struct Statement {
    pub text: Vec<u8>,
    pub writes: bool,
    pub wait_at: Range<usize>,
    #[allow(dead_code, reason = "counts as held until dropped")]
    pub held: MemoryReservation,
}

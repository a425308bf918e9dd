//! What the stages tell the decision thread, and the statement that travels with an op. Knows no stage.
use crate::answer::Result;
use crate::client::Client;
use crate::op_facts::OpFacts;
use crate::shared::MemoryReservation;
use std::ops::Range;
use std::sync::Arc;

pub enum Event {
    /// A client's op, taken whole at a time on the router's clock.
    OpArrived {
        client: Arc<Client>,
        seq: u64,
        facts: Box<OpFacts>,
        statement: Arc<Statement>,
        arrived_at: f64,
    },
    /// A client has gone and left commands open.
    ClientDisconnected { client: u64 },
    /// A connection's job is over.
    JobFinished { conn: u64, result: Box<Result> },
    /// A connection ended idle; nothing was written of a job it may have been given meanwhile.
    IdleConnectionClosed { conn: u64 },
    /// The share of ops that processor time is there for, and when others may come back, in ms.
    AdmissionChanged { share: f64, retry_after_ms: f64 },
    /// Peers have told something.
    PeerFacts(Vec<magpiewell_tier::PeerFact>),
    /// The list has news.
    ListResponse,
    /// All clients have been answered.
    Stop,
}

/// A statement as the client wrote it, and where its wait stands.
pub struct Statement {
    pub text: Vec<u8>,
    pub is_write: bool,
    pub timeout_range: Range<usize>,
    #[allow(dead_code, reason = "counts as held until dropped")]
    pub held: MemoryReservation,
}

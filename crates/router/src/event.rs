//! Events for the decision thread, and the statement of an op.

use crate::answer::JobResult;
use crate::client::Client;
use crate::op_facts::OpFacts;
use crate::shared::MemoryReservation;
use std::ops::Range;
use std::sync::Arc;

/// An event that another thread sends to the decision thread.
pub enum Event {
    /// A client's op was read in full at `arrived_at` on the router's clock, as its command number `seq`.
    OpArrived {
        client: Arc<Client>,
        seq: u64,
        facts: Box<OpFacts>,
        statement: Arc<Statement>,
        arrived_at: f64,
    },
    /// A client disconnected with commands still open.
    ClientDisconnected { client: u64 },
    /// The job of a host connection has finished.
    JobFinished { conn_id: u64, result: Box<JobResult> },
    /// A host connection was closed while idle; nothing was written of a job assigned to it meanwhile.
    IdleConnectionClosed { conn_id: u64 },
    /// The share of ops that the available processor time allows, and when rejected clients may retry, in ms.
    AdmissionChanged { share: f64, retry_after_ms: f64 },
    /// Facts received from peers.
    PeerFacts(Vec<magpiewell_tier::PeerFact>),
    /// A `ListUpdate` is waiting in a channel of its own.
    ListUpdated,
    /// All clients have been answered; the decision thread ends.
    Stop,
}

/// A statement as the client wrote it, and the position of its timeout.
pub struct Statement {
    pub text: Vec<u8>,
    pub is_write: bool,
    /// The bytes of `text` that state the client timeout.
    pub client_timeout_range: Range<usize>,
    #[allow(dead_code, reason = "counts the bytes as in use until dropped")]
    pub reservation: MemoryReservation,
}

//! Network faults for the datagrams of hollow routers: random loss and partitions. No I/O.

use super::plan::MemberId;
use crate::tier::script::random_unit;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The network faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// Each member's side of the partition; datagrams between sides are lost. Empty: no partition.
    pub sides: Vec<u8>,
}

impl Faults {
    fn is_cut(&self, from: MemberId, to: MemberId) -> bool {
        self.sides.get(usize::from(from)) != self.sides.get(usize::from(to))
    }

    /// Whether to drop a datagram; random loss is drawn anew on each call.
    pub fn should_drop(&self, from: MemberId, to: MemberId, rng: &mut ChaCha8Rng) -> bool {
        self.is_cut(from, to) || (self.loss > 0.0 && random_unit(rng) < self.loss)
    }
}

//! Which datagrams of hollow routers are lost: a share of all, and those between sides that are cut from
//! each other. No I/O.

use super::plan::Member;
use crate::tier::script::random_unit;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What is wrong with the network at present.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// This share of datagrams is lost.
    pub loss: f64,
    /// Each member's side; datagrams between two sides are lost. Empty: nothing is cut.
    pub sides: Vec<u8>,
}

impl Faults {
    fn cuts(&self, from: Member, to: Member) -> bool {
        self.sides.get(usize::from(from)) != self.sides.get(usize::from(to))
    }

    /// Whether this datagram is lost, drawn anew each time.
    pub fn loses(&self, from: Member, to: Member, chance: &mut ChaCha8Rng) -> bool {
        self.cuts(from, to) || (self.loss > 0.0 && random_unit(chance) < self.loss)
    }
}

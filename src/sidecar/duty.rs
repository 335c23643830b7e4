//! Which nodes follow the store for all others. Every node works it out from the nodes that it is connected
//! to: the first two that say that they reach the store, those near it first. It needs no lease, as reading
//! twice does no harm, and writes name what they found.

use {
    crate::world::Host,
    serde::{Deserialize, Serialize},
};

/// How many nodes follow the store at a time: one may be cut off without notice.
pub const READERS: usize = 2;

/// How a node stands to the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reach {
    /// It answers fast: it is in this node's region.
    Near,
    /// It answers, from another region.
    Far,
    /// Nothing is known yet, or it does not answer.
    #[default]
    Unknown,
}

/// A node that may follow the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// How it stands to the store.
    pub reach: Reach,
    /// The host.
    pub host: Host,
}

/// Gives a node's rank among the candidates, itself included; 0 goes first.
#[must_use]
pub fn rank(own: &Candidate, others: impl Iterator<Item = Candidate>) -> usize {
    others.filter(|other| other < own).count()
}

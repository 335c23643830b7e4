//! The nodes that a node exchanges with, and which of them is told what.

use {
    crate::{
        member::Contact,
        world::{Moment, Revision},
    },
    serde::{Deserialize, Serialize},
};

/// What another node is to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tie {
    /// It is handed the configuration by this node.
    Child,
    /// It is the relay of a failure domain in another region.
    Cross,
    /// It hands the configuration to this node.
    Parent,
    /// It is the relay of another failure domain in this region.
    Region,
}

impl Tie {
    /// Says whether news from a node with tie `from` is handed on to one with this tie. News crosses a
    /// link between regions once, and the relays of one region do not repeat each other.
    #[must_use]
    pub fn takes(self, from: Option<Self>) -> bool {
        match (from, self) {
            (Some(Self::Region), Self::Region) | (Some(Self::Cross), Self::Cross) => false,
            (None | Some(_), _) => true,
        }
    }
}

/// A node that this one exchanges with.
#[derive(Debug, Clone)]
pub struct Neighbor {
    /// Where it is.
    pub contact: Contact,
    /// How many beats in a row told of another roster than this node's.
    pub differing: u8,
    /// The lowest revision that it and the nodes below it run.
    pub floor: Revision,
    /// When it was last heard.
    pub heard_at: Moment,
    /// Whether it asked for the exchange, so that it is for it to end it.
    pub inbound: bool,
    /// The revision that it runs.
    pub revision: Revision,
    /// How long ago, when last heard, its own news left a relay.
    pub rooted_at: Moment,
    /// Whether it serves callers, and so counts for what is in force.
    pub serving: bool,
    /// What it is to this node.
    pub tie: Tie,
}

/// What neighbours tell each other once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The lowest revision that the sender and the nodes below it run.
    pub floor: Revision,
    /// How long ago the platform was read, as far as the sender knows, in milliseconds.
    pub read_ms: u32,
    /// The revision that the sender runs.
    pub revision: Revision,
    /// How long ago the sender's news left a relay, in milliseconds.
    pub rooted_ms: u32,
    /// The digest of the sender's roster.
    pub roster: u64,
    /// Whether the sender serves callers.
    pub serving: bool,
}

/// Asks a node to exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The asking node.
    pub contact: Contact,
    /// The revision that it runs.
    pub revision: Revision,
    /// What it is to be to the node that is asked.
    pub tie: Tie,
}

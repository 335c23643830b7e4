//! The neighbours of a node, and which frames are forwarded from one neighbour to another.

use {
    crate::{
        member::Contact,
        types::{Moment, Revision},
    },
    serde::{Deserialize, Serialize},
};

/// The relation of a neighbour to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Relation {
    /// It receives the configuration from this node.
    Child,
    /// It is the relay of a failure domain in another region.
    #[serde(rename = "Cross")]
    RemoteRelay,
    /// It sends the configuration to this node.
    Parent,
    /// It is the relay of another failure domain in this region.
    #[serde(rename = "Region")]
    RegionRelay,
}

impl Relation {
    /// Returns whether frames from a neighbour with relation `from`, or from this node if `None`,
    /// are forwarded to one with this relation. A frame crosses between two regions once, and the
    /// relays of one region do not forward frames of each other.
    #[must_use]
    pub fn receives_from(self, from: Option<Self>) -> bool {
        match (from, self) {
            (Some(Self::RegionRelay), Self::RegionRelay)
            | (Some(Self::RemoteRelay), Self::RemoteRelay) => false,
            (None | Some(_), _) => true,
        }
    }
}

/// The state of a node that this one exchanges with.
#[derive(Debug, Clone)]
pub struct Neighbour {
    /// Its location and address.
    pub contact: Contact,
    /// The number of consecutive beats whose roster digest differed from this node's.
    pub differing_beats: u8,
    /// The lowest revision that it and its serving descendants run.
    pub floor: Revision,
    /// When its last beat arrived.
    pub heard_at: Moment,
    /// Whether it requested the exchange; if so, it is also the side that ends it.
    pub is_inbound: bool,
    /// The latest revision that it is known to run.
    pub revision: Revision,
    /// When the information that it last sent left a relay, in this node's time.
    pub relayed_at: Moment,
    /// Whether it serves callers; if not, its revision does not count towards what is in force.
    pub serving: bool,
    /// Its relation to this node.
    pub relation: Relation,
}

/// The state that neighbours send each other once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The lowest revision that the sender and its serving descendants run.
    pub floor: Revision,
    /// The age of the latest read of the platform that the sender knows of, in milliseconds.
    #[serde(rename = "read_ms")]
    pub read_age_ms: u32,
    /// The revision that the sender runs.
    pub revision: Revision,
    /// The time since the sender's information left a relay, in milliseconds.
    #[serde(rename = "rooted_ms")]
    pub relay_age_ms: u32,
    /// The digest of the sender's roster.
    #[serde(rename = "roster")]
    pub roster_digest: u64,
    /// Whether the sender serves callers.
    pub serving: bool,
}

/// A request to become a neighbour of the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The location and address of the sender.
    pub contact: Contact,
    /// The revision that the sender runs.
    pub revision: Revision,
    /// The relation that the sender is to have to the receiver.
    #[serde(rename = "tie")]
    pub relation: Relation,
}

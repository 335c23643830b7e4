//! How an accepted configuration reaches every node: who reads the platform, who hands on to whom,
//! and how it is known that a revision is in force. See docs/design/spread.md.

use {
    crate::world::{Host, Revision},
    serde::Serialize,
};

mod backoff;
mod bucket;
mod history;
mod neighbor;
mod rank;
mod report;

pub use {
    backoff::Backoff,
    bucket::Bucket,
    history::History,
    neighbor::{Beat, Join, Neighbor, Tie},
    rank::{FANOUT, RELAYS, Tree, gateways},
    report::{LEASE, Report, Reports, millis},
};

/// How far one failure domain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Whether the failure domain has reported within its lease.
    pub reached: bool,
    /// The revision that every node of the failure domain runs at least, as last reported.
    pub revision: Revision,
}

/// The place of a node among the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Role {
    /// The nodes that this one hands on to.
    pub children: Vec<Host>,
    /// The node that this one is handed the configuration by, if there is one.
    pub parent: Option<Host>,
    /// Whether this node reads the platform for its failure domain.
    pub relay: bool,
    /// The relays of other failure domains that this node, if a relay, exchanges with.
    pub siblings: Vec<Host>,
}

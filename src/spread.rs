//! Distribution of an accepted configuration to every node: which nodes read the platform, which node
//! forwards to which, and how to determine that a revision is in force. See docs/design/spread.md.

use {
    crate::types::{Host, Revision},
    serde::Serialize,
};

mod backoff;
mod bucket;
mod history;
mod neighbour;
mod report;
mod tree;

pub use {
    backoff::Backoff,
    bucket::TokenBucket,
    history::History,
    neighbour::{Beat, Join, Neighbour, Relation},
    report::{CoverageReport, CoverageTable, REPORT_TIMEOUT, to_millis},
    tree::{FANOUT, RELAYS_PER_DOMAIN, Tree, choose_gateways},
};

/// The progress of one failure domain through the revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Whether the failure domain has reported within its lease.
    pub reached: bool,
    /// The lowest revision that any serving node of the failure domain runs, as last reported.
    pub revision: Revision,
}

/// The role of a node in the distribution of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Role {
    /// The nodes that this one forwards to in the tree of its failure domain.
    pub children: Vec<Host>,
    /// The node that this one receives the configuration from; `None` at the root and for an orphan.
    pub parent: Option<Host>,
    /// Whether this node reads the platform for its failure domain.
    pub is_relay: bool,
    /// The relays of other failure domains that this node exchanges with; empty unless it is a relay.
    pub siblings: Vec<Host>,
}

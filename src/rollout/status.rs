//! The status of a rollout that a node reports until its outcome is final.

use {
    super::outcome::{Finding, Report},
    crate::types::{Name, Permille},
    serde::Serialize,
};

/// The progress of one rollout, as seen by one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The failure domains that this node knows of; only relays receive the progress of all.
    pub domains: Vec<Report>,
    /// Why the new version was found bad; `None` without a veto.
    pub finding: Option<Finding>,
    /// The name of the rollout.
    #[serde(skip)]
    pub name: Name,
    /// The share of the new version at this node.
    pub share: Permille,
}

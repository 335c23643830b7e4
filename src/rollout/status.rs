//! What a node reports of a rollout while its end is not recorded.

use {
    super::outcome::{Finding, Report},
    crate::world::{Name, Permille},
    serde::Serialize,
};

/// The progress of one rollout as seen from one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Every failure domain that this node hears of; only relays hear of all.
    pub domains: Vec<Report>,
    /// Why the version was found bad, if it was.
    pub finding: Option<Finding>,
    /// The rollout.
    #[serde(skip)]
    pub name: Name,
    /// The share that this node gives the new version.
    pub share: Permille,
}

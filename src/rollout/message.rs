//! The messages that nodes exchange about rollouts.

use {
    super::{
        AttemptId, Tag,
        evidence::Row,
        judge::Weight,
        outcome::{Finding, Tally},
    },
    crate::types::{Domain, Host, Moment, Permille, Region},
    serde::{Deserialize, Serialize},
};

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Counts, sent up a failure domain's tree, and evidence sent to the root that judges the pool.
    Evidence(Vec<Batch>),
    /// The progress of a failure domain, sent by the root of its tree to all other roots. It crosses the
    /// link between two regions only once.
    Progress(Origin, Vec<Progress>),
    /// Shares, sent down a failure domain's tree.
    Stages(Vec<Stage>),
    /// The new version of an attempt is bad; sent to all nodes, ahead of other messages.
    Veto(AttemptId, Finding),
}

/// The root that a progress message originates from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The failure domain of the root.
    pub domain: Domain,
    /// The host of the root.
    pub host: Host,
    /// The region of the root.
    pub region: Region,
}

/// The counts of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The tag of the attempt.
    pub attempt: Tag,
    /// The counts since the last message.
    pub rows: Vec<Row>,
    /// The sender's share of the new version, from which a new root continues.
    pub share: Permille,
}

/// The share of one attempt, as set by the root of a tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// When the stage was sent; a later one replaces it.
    pub at: Moment,
    /// The tag of the attempt.
    pub attempt: Tag,
    /// The share of the new version.
    pub share: Permille,
}

/// The progress of one attempt in one failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The tag of the attempt.
    pub attempt: Tag,
    /// The answers of the new version to callers of the domain.
    pub candidate: Tally,
    /// Whether the domain has moved all traffic to the new version.
    pub done: bool,
    /// The share of the new version.
    pub share: Permille,
    /// The evidence against the new version, indexed like [`JUDGED_CAUSES`](super::judge::JUDGED_CAUSES).
    pub weights: [Weight; 2],
}

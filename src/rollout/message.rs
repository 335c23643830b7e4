//! What nodes tell each other about rollouts.

use {
    super::{
        Id, Tag,
        evidence::Row,
        judge::Weight,
        outcome::{Finding, Tally},
    },
    crate::world::{Domain, Moment, Permille},
    serde::{Deserialize, Serialize},
};

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Counts, up a failure domain's tree.
    Evidence(Vec<Batch>),
    /// How far a failure domain is, between the relays of all domains.
    Progress(Domain, Vec<Progress>),
    /// Shares, down a failure domain's tree.
    Stages(Vec<Stage>),
    /// A version is bad; to everybody, ahead of all else.
    Veto(Id, Finding),
}

/// What was counted for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The attempt.
    pub attempt: Tag,
    /// The counts since the last message.
    pub rows: Vec<Row>,
    /// The share that the sender gives the new version, from which a new root goes on.
    pub share: Permille,
}

/// The share of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// When it was set; a later one replaces it.
    pub at: Moment,
    /// The attempt.
    pub attempt: Tag,
    /// The share of the new version.
    pub share: Permille,
}

/// How far one failure domain is with one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The attempt.
    pub attempt: Tag,
    /// What the new version gave there.
    pub candidate: Tally,
    /// Whether the domain has finished.
    pub done: bool,
    /// The share of the new version.
    pub share: Permille,
    /// The evidence against the new version, by measure.
    pub weights: [Weight; 2],
}

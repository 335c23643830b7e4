//! How a rollout ended, and why, as it is recorded in the platform's table.

use {
    crate::world::{Domain, Host, Moment, Name, Permille},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// The ways in which a rollout ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The new version has all of the traffic; until the soak is over it may still be rolled back.
    Completed,
    /// The old version has all of the traffic, for good.
    RolledBack,
}

impl Display for End {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        })
    }
}

/// Why a version is taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Its endpoints can't carry the traffic.
    Capacity,
    /// It fails or crashes more often than the version beside it.
    Failures,
    /// It answers late more often than the version beside it.
    Late,
    /// There was too little evidence for it by the deadline, and the rollout prefers rollback.
    TooLittleEvidence,
}

/// Counts of answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ran to an end.
    pub done: u64,
    /// Those of them that failed or crashed the upstream.
    pub failed: u64,
    /// Those of them that were answered late.
    pub late: u64,
}

impl Tally {
    /// Adds counts up.
    pub fn add(&mut self, other: Self) {
        self.done += other.done;
        self.failed += other.failed;
        self.late += other.late;
    }
}

/// The evidence that a veto rests on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// When the verdict fell.
    pub at: Moment,
    /// What the old version gave since the attempt began.
    pub baseline: Tally,
    /// What the new version gave.
    pub candidate: Tally,
    /// What is wrong.
    pub cause: Cause,
    /// The failure domain whose callers saw it.
    pub domain: Domain,
    /// The host whose node judged.
    pub host: Host,
    /// The route on which it was seen.
    pub route: Name,
}

/// How far one failure domain was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What the new version gave to the callers of the domain.
    pub candidate: Tally,
    /// The failure domain.
    pub domain: Domain,
    /// Whether the domain has finished.
    pub done: bool,
    /// Whether the domain could be reached.
    pub reached: bool,
    /// The share that the new version had there.
    pub share: Permille,
}

/// The recorded end of a rollout; written by the mesh, never by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// When it ended.
    pub at: Moment,
    /// Every failure domain that was known.
    pub domains: Vec<Report>,
    /// How it ended.
    pub end: End,
    /// Why it was rolled back.
    pub finding: Option<Finding>,
}

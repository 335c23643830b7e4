//! The outcome of a rollout and its reason, as recorded in the platform's table.

use {
    crate::types::{Domain, Host, Moment, Name, Permille},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Result with which a rollout ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The new version has all traffic. It may still be rolled back until the soak time is over.
    Completed,
    /// The old version has all traffic. This is final.
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

/// Reason for which a version is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Its endpoints do not have the capacity for the traffic.
    Capacity,
    /// It fails or crashes more often than the old version.
    Failures,
    /// It answers late more often than the old version.
    Late,
    /// There was too little evidence in its favour by the deadline, and the rollout prefers rollback.
    TooLittleEvidence,
}

/// Number of answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub done: u64,
    /// Requests among them that failed or crashed the upstream.
    pub failed: u64,
    /// Requests among them that were answered late.
    pub late: u64,
}

impl Tally {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.done += other.done;
        self.failed += other.failed;
        self.late += other.late;
    }
}

/// Evidence on which a veto against a version is based.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Time of the verdict.
    pub at: Moment,
    /// Answers of the old version since the attempt began.
    pub baseline: Tally,
    /// Answers of the new version since the attempt began.
    pub candidate: Tally,
    /// Reason for the verdict.
    pub cause: Cause,
    /// Failure domain of the callers that were affected.
    pub domain: Domain,
    /// Host of the node that judged.
    pub host: Host,
    /// Route that was judged.
    pub route: Name,
}

/// Progress of the rollout in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Answers of the new version to callers in the domain.
    pub candidate: Tally,
    /// Failure domain.
    pub domain: Domain,
    /// Whether the rollout has finished in the domain.
    pub done: bool,
    /// Whether the domain was reachable from the reporting node.
    pub reached: bool,
    /// Share of the new version in the domain.
    pub share: Permille,
}

/// Recorded outcome of a rollout. Only the mesh writes it, never an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Time at which the rollout ended.
    pub at: Moment,
    /// Progress in every known failure domain.
    pub domains: Vec<Report>,
    /// Result of the rollout.
    pub end: End,
    /// Evidence for the rollback; `None` if the rollout was completed.
    pub finding: Option<Finding>,
}

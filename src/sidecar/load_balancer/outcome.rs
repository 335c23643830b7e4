//! What an attempt tells about its upstream: the result, and the load that its node reports with it.

use {
    crate::sidecar::pace::Pace,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Load of the node at an upstream, as reported with each of its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Time that the node spent on the request, from its arrival to its outcome.
    pub held: Duration,
    /// Present pace; `None` if the upstream has never reported one.
    pub pace: Option<Pace>,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Average run time at the usual pace.
    #[serde(rename = "run")]
    pub run_time: Duration,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
}

/// Result of an attempt, as far as it concerns the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered without a failure of its own.
    Answered,
    /// The upstream or the connection to it failed.
    Failed,
    /// Nothing can be concluded about the upstream: it declined the request or the caller cancelled it.
    Inconclusive,
}

//! The outcomes of attempts. Rollouts are judged by comparing these records between versions, and
//! load balancing scores endpoints by them. See docs/design/requests.md.

use {
    crate::types::{Host, Moment, Name, Version},
    std::{collections::VecDeque, time::Duration},
};

/// The maximum number of outcomes that wait to be drained. Beyond it the oldest are dropped.
pub const OUTCOMES_MAX: usize = 16_384;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The caller disconnected before the answer began.
    Cancelled,
    /// The upstream crashed while it ran the request.
    Crash,
    /// The upstream answered with a status of 500 or above.
    Failure,
    /// The deadline passed before the answer began.
    Late,
    /// The connection was lost after the request could have run.
    Lost,
    /// The node at the upstream refused the request, which did not run.
    Refused,
    /// The upstream answered with a status below 500.
    Success,
    /// The node at the upstream could not be reached.
    Unreachable,
}

/// The record of one attempt that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The time at which the attempt ended.
    pub at: Moment,
    /// The host that the attempt was sent to.
    pub host: Host,
    /// How the attempt ended.
    pub kind: Kind,
    /// The time from sending the request to the beginning of the answer, or to the failure.
    pub latency: Duration,
    /// The name of the route that the request matched.
    pub route: Name,
    /// The version that the attempt was sent to.
    pub version: Version,
}

/// Outcomes that wait to be drained, oldest first.
#[derive(Debug, Default)]
pub struct Log(VecDeque<Outcome>);

impl Log {
    /// Appends an outcome. Drops the oldest one if the log is full.
    pub fn push(&mut self, outcome: Outcome) {
        if self.0.len() == OUTCOMES_MAX {
            self.0.pop_front();
        }
        self.0.push_back(outcome);
    }

    /// Removes and returns all outcomes, oldest first.
    pub fn drain(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.0).into()
    }
}

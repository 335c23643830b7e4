//! How attempts end. The judge of rollouts compares versions by these records, and endpoints are
//! weighed by them. See docs/design/requests.md.

use {
    crate::world::{Host, Moment, Name, Version},
    std::{collections::VecDeque, time::Duration},
};

/// The most outcomes that wait to be drained; the oldest are dropped beyond it.
pub const WAITING_MAX: usize = 16_384;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The caller went away before the answer began.
    Cancelled,
    /// The upstream died while it ran the request.
    Crash,
    /// The upstream answered with a status of 500 or above.
    Failure,
    /// The deadline passed before the answer began.
    Late,
    /// The connection was lost after the request could have run.
    Lost,
    /// The node at the upstream refused it as not run.
    Refused,
    /// The upstream answered.
    Success,
    /// The node at the upstream could not be reached.
    Unreachable,
}

/// One attempt that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// When it ended.
    pub at: Moment,
    /// The host that it was sent to.
    pub host: Host,
    /// How it ended.
    pub kind: Kind,
    /// The time from sending to the beginning of the answer, or to the failure.
    pub latency: Duration,
    /// The name of the route that it took.
    pub route: Name,
    /// The version that was chosen.
    pub version: Version,
}

/// Outcomes that wait to be drained, oldest first.
#[derive(Debug, Default)]
pub struct Log(VecDeque<Outcome>);

impl Log {
    /// Adds an outcome.
    pub fn push(&mut self, outcome: Outcome) {
        if self.0.len() == WAITING_MAX {
            self.0.pop_front();
        }
        self.0.push_back(outcome);
    }

    /// Takes every outcome out.
    pub fn drain(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.0).into()
    }
}

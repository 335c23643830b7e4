//! Limits the rate of calls to the platform, so that a node keeps to its share of the platform's
//! reads and writes during a burst of operations and during an outage. Calls have a minimum interval,
//! and failed ones back off with decorrelated jitter.

use {
    crate::types::Moment,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Minimum time between two reads by one node: at most 20 per second.
pub const READ_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Minimum time between two writes by one node: at most 20 per second.
pub const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Shortest wait after a failed call.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest wait after a failed call.
pub const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Longest wait after a conflict with another node's transaction.
pub const CONFLICT_BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Rate limiter and backoff for one kind of call.
#[derive(Debug)]
pub struct Limiter {
    backoff: Duration,
    gap: Duration,
    next: Moment,
    rng: SmallRng,
}

impl Limiter {
    /// Creates a limiter that allows the first call at once. `gap` is the minimum time between calls.
    #[must_use]
    pub fn new(gap: Duration, seed: u64) -> Self {
        Self {
            backoff: BACKOFF_MIN,
            gap,
            next: Moment::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns whether a call is allowed now.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// Records a call: the next one is allowed after the minimum time.
    pub fn record_call(&mut self, now: Moment) {
        self.next = now + self.gap;
    }

    /// Records that a call was answered, which resets the backoff.
    pub fn record_success(&mut self) {
        self.backoff = BACKOFF_MIN;
    }

    /// Records a conflict with another node. The next call waits for a random time, so that the
    /// same nodes do not collide again. [`CONFLICT_BACKOFF_MAX`] bounds it, so that no node always
    /// comes too late.
    pub fn record_conflict(&mut self, now: Moment) {
        self.next = now + self.rng.random_range(self.gap..=CONFLICT_BACKOFF_MAX);
    }

    /// Records that a call failed. The next one waits with decorrelated jitter, for [`BACKOFF_MAX`] at
    /// most.
    pub fn record_failure(&mut self, now: Moment) {
        let bound = (self.backoff * 3).min(BACKOFF_MAX);
        self.backoff = self.rng.random_range(BACKOFF_MIN..=bound);
        self.next = now + self.backoff;
    }
}

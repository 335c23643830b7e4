//! Paces the calls to the platform, so that neither a burst of operators nor an outage lets one node
//! exceed its share of the platform's reads and writes.

use {
    crate::world::Moment,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// The least time between two reads by one node: at most 20 a second.
pub const READ_GAP: Duration = Duration::from_millis(50);
/// The least time between two writes by one node: at most 20 a second.
pub const WRITE_GAP: Duration = Duration::from_millis(50);
/// The shortest wait after a call that failed.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The longest wait after a call that failed.
pub const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// The longest wait after a race for the head of the log was lost.
pub const RACE_MAX: Duration = Duration::from_millis(200);

/// When one sort of call may be made next.
#[derive(Debug)]
pub struct Pace {
    backoff: Duration,
    gap: Duration,
    next: Moment,
    rng: SmallRng,
}

impl Pace {
    /// Begins without a wait.
    #[must_use]
    pub fn new(gap: Duration, seed: u64) -> Self {
        Self {
            backoff: BACKOFF_MIN,
            gap,
            next: Moment::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Tells whether a call may be made.
    #[must_use]
    pub fn ready(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// Notes that a call is made.
    pub fn used(&mut self, now: Moment) {
        self.next = now + self.gap;
    }

    /// Notes that a call was answered.
    pub fn succeeded(&mut self) {
        self.backoff = BACKOFF_MIN;
    }

    /// Notes that another node was first: the next call waits a random while, so that those who race
    /// do not meet again, and nobody waits so long that it always loses.
    pub fn outrun(&mut self, now: Moment) {
        self.next = now + self.rng.random_range(self.gap..=RACE_MAX);
    }

    /// Notes that a call failed: the next one waits by decorrelated jitter.
    pub fn failed(&mut self, now: Moment) {
        let bound = (self.backoff * 3).min(BACKOFF_MAX);
        self.backoff = self.rng.random_range(BACKOFF_MIN..=bound);
        self.next = now + self.backoff;
    }
}

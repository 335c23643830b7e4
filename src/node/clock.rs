//! The clock of a node. Its time is passed to the state machines with every event, because they have
//! no clock of their own.

use {
    crate::types::Moment,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A clock that starts at the time of the wall clock and is advanced by a monotonic clock, so that
/// adjustments of the wall clock never make it jump or run backwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_start: Moment,
    monotonic_start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current time of the wall clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall_start: Moment::default() + since_epoch,
            monotonic_start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.wall_start + self.monotonic_start.elapsed()
    }
}

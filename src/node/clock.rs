//! The time that a node gives its decisions.

use {
    crate::world::Moment,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Tells the time: the wall clock's at the start, advanced by a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Moment,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    #[must_use]
    pub fn open() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Moment::default() + since,
            started: Instant::now(),
        }
    }

    /// Gives the time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start + self.started.elapsed()
    }
}

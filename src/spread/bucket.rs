//! A token bucket that limits how often a node encodes and sends large frames.

use {crate::types::Moment, std::time::Duration};

/// A token bucket that is refilled at a constant rate, up to a burst.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    burst: u32,
    /// The time at which the bucket is full if no further token is taken.
    full_at: Moment,
    interval: Duration,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that regains one token each `interval`.
    #[must_use]
    pub fn new(burst: u32, interval: Duration) -> Self {
        Self {
            burst,
            full_at: Moment::default(),
            interval,
        }
    }

    /// Removes a token.
    ///
    /// # Errors
    /// Returns the time until the next token if the bucket is empty.
    pub fn try_take(&mut self, now: Moment) -> Result<(), Duration> {
        let from = self.full_at.max(now);
        let until_full = from.since(now);
        let burst_time = self.interval * (self.burst - 1);
        let wait = until_full.saturating_sub(burst_time);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.full_at = from + self.interval;
        Ok(())
    }
}

//! A token bucket, which bounds how often a node encodes and sends what is large.

use {crate::world::Moment, std::time::Duration};

/// Tokens that come back at a steady rate, up to a burst.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    burst: u32,
    /// When the bucket is full again.
    full_at: Moment,
    interval: Duration,
}

impl Bucket {
    /// Makes a full bucket that gains one token each `interval`.
    #[must_use]
    pub fn new(burst: u32, interval: Duration) -> Self {
        Self {
            burst,
            full_at: Moment::default(),
            interval,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// Gives how long to wait if there is none.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let from = self.full_at.max(now);
        let missing = from.since(now);
        let allowed = self.interval * (self.burst - 1);
        let wait = missing.saturating_sub(allowed);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.full_at = from + self.interval;
        Ok(())
    }
}

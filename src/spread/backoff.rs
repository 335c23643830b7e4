//! Backoff between connection attempts, with decorrelated jitter so that nodes that lost the same peer
//! do not reconnect at the same time.

use {
    crate::types::Moment,
    rand::{Rng, rngs::StdRng},
    std::time::Duration,
};

const WAIT_MIN: Duration = Duration::from_millis(200);
const WAIT_MAX: Duration = Duration::from_secs(5);

/// The backoff state of one peer.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    next_at: Moment,
    wait: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next_at: Moment::default(),
            wait: WAIT_MIN,
        }
    }
}

impl Backoff {
    /// Returns whether an attempt is due, and if so schedules the next one after a random wait.
    pub fn try_attempt(&mut self, now: Moment, rng: &mut StdRng) -> bool {
        if now < self.next_at {
            return false;
        }
        self.wait = rng.random_range(WAIT_MIN..=self.wait * 3).min(WAIT_MAX);
        self.next_at = now + self.wait;
        true
    }

    /// Returns whether the last wait ended so long ago that the state may be removed.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        now.since(self.next_at) > WAIT_MAX
    }
}

//! How long to wait before trying again: decorrelated jitter, so that nodes that lost the same peer
//! do not come back together.

use {
    crate::world::Moment,
    rand::{Rng, rngs::StdRng},
    std::time::Duration,
};

const BASE: Duration = Duration::from_millis(200);
const CAP: Duration = Duration::from_secs(5);

/// The state of one peer's retries.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    at: Moment,
    span: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            at: Moment::default(),
            span: BASE,
        }
    }
}

impl Backoff {
    /// Says whether it is time to try, and if so sets the next time.
    pub fn due(&mut self, now: Moment, rng: &mut StdRng) -> bool {
        if now < self.at {
            return false;
        }
        self.span = rng.random_range(BASE..=self.span * 3).min(CAP);
        self.at = now + self.span;
        true
    }

    /// Says whether nothing was tried for long, so that the state may be forgotten.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        now.since(self.at) > CAP
    }
}

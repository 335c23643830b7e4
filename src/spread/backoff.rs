//! Backoff between connection attempts, with decorrelated jitter so that nodes that lost the same peer
//! do not reconnect at the same time.

use {
    crate::world::Moment,
    rand::{Rng, rngs::StdRng},
    std::time::Duration,
};

const BASE: Duration = Duration::from_millis(200);
const CAP: Duration = Duration::from_secs(5);

/// The backoff state of one peer.
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
    /// Returns whether an attempt is due, and if so schedules the next one after a random wait.
    pub fn due(&mut self, now: Moment, rng: &mut StdRng) -> bool {
        if now < self.at {
            return false;
        }
        self.span = rng.random_range(BASE..=self.span * 3).min(CAP);
        self.at = now + self.span;
        true
    }

    /// Returns whether the last wait ended so long ago that the state may be removed.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        now.since(self.at) > CAP
    }
}

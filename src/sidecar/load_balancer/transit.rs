//! Time that requests to an upstream and their outcomes spend on the way.
//!
//! Designed for nodes whose link or processor is slow, down to a tenth of a core: their upstreams may be idle, but each
//! request waits to be read and each outcome to be sent. It is the round trip beyond the time that the node measures.

use {crate::types::Moment, std::time::Duration};

/// Weight of a new value in the moving average.
const SMOOTHING: f64 = 0.2;
/// Half-life without new values, so that a node that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time on the way that does not count: the round trip between domains of a region, which the cost of the distance covers.
const USUAL: Duration = Duration::from_millis(10);

/// Moving average of the time on the way beyond the usual one, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Transit {
    average_s: f64,
    updated_at: Moment,
}

impl Transit {
    pub(super) fn at(self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.average_s * (-age).exp2()
    }

    pub(super) fn record(&mut self, now: Moment, transit: Duration) {
        let previous = self.at(now);
        let transit = transit.saturating_sub(USUAL);
        self.average_s = previous + SMOOTHING * (transit.as_secs_f64() - previous);
        self.updated_at = now;
    }
}

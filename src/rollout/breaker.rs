//! Stops a single node from sending requests to a new version after consecutive failures that the old
//! version does not show, without waiting for a verdict. Each stop ends by itself after a limited time,
//! so a false alarm costs little.

use {
    super::evidence::{Side, Sums},
    crate::types::{Host, Moment},
    std::{collections::BTreeSet, time::Duration},
};

/// Number of failures without a success in between after which a node stops.
const FAILURE_THRESHOLD: u32 = 5;

/// Length of the first stop. It doubles with each further stop until the new version succeeds.
const HOLD_MIN: Duration = Duration::from_secs(5);

/// Length of the longest stop.
const HOLD_MAX: Duration = Duration::from_secs(80);

/// Circuit breaker of one rollout attempt at one node.
#[derive(Debug)]
pub struct CircuitBreaker {
    baseline: Sums,
    next_hold: Duration,
    hosts: BTreeSet<Host>,
    consecutive_failures: u32,
    held_until: Moment,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            baseline: Sums::default(),
            next_hold: HOLD_MIN,
            hosts: BTreeSet::new(),
            consecutive_failures: 0,
            held_until: Moment::default(),
        }
    }
}

impl CircuitBreaker {
    /// Adds counts, and begins a stop after too many consecutive failures. `endpoints` is the number of
    /// hosts of the new version: if there are several, failures of a single host do not suffice.
    pub fn record(&mut self, now: Moment, side: Side, host: &Host, sums: Sums, endpoints: usize) {
        let bad = sums.failed + sums.crashed;
        if side == Side::Baseline {
            return self.baseline.add(sums);
        }
        if sums.done > bad {
            return self.reset();
        }
        self.consecutive_failures += bad;
        self.hosts.insert(host.clone());
        if self.consecutive_failures >= FAILURE_THRESHOLD
            && self.hosts.len() >= endpoints.min(2)
            && !self.baseline_fails()
        {
            self.held_until = now + self.next_hold;
            self.next_hold = (self.next_hold * 2).min(HOLD_MAX);
            self.clear_counts();
        }
    }

    /// Returns `true` while the node must not send requests to the new version.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        now < self.held_until
    }

    /// Returns `true` if the old version fails too, so that the new version is not the cause.
    fn baseline_fails(&self) -> bool {
        2 * (self.baseline.failed + self.baseline.crashed) > self.baseline.done
    }

    fn reset(&mut self) {
        self.next_hold = HOLD_MIN;
        self.clear_counts();
    }

    fn clear_counts(&mut self) {
        self.baseline = Sums::default();
        self.hosts.clear();
        self.consecutive_failures = 0;
    }
}

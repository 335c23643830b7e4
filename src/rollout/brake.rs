//! Stops a single node from sending to a new version on a run of failures that the old one does not
//! show, before any verdict. It releases by itself, so a wrong stop costs a moment.

use {
    super::evidence::{Side, Sums},
    crate::world::{Host, Moment},
    std::{collections::BTreeSet, time::Duration},
};

/// The failures without a success between them that stop a node.
const RUN: u32 = 5;

/// The first stop's length.
const HOLD_MIN: Duration = Duration::from_secs(5);

/// The longest stop.
const HOLD_MAX: Duration = Duration::from_secs(80);

/// The brake of one attempt at one node.
#[derive(Debug)]
pub struct Brake {
    baseline: Sums,
    hold: Duration,
    hosts: BTreeSet<Host>,
    run: u32,
    until: Moment,
}

impl Default for Brake {
    fn default() -> Self {
        Self {
            baseline: Sums::default(),
            hold: HOLD_MIN,
            hosts: BTreeSet::new(),
            run: 0,
            until: Moment::default(),
        }
    }
}

impl Brake {
    /// Takes counts in. `endpoints` is how many hosts the new version has.
    pub fn count(&mut self, now: Moment, side: Side, host: &Host, sums: Sums, endpoints: usize) {
        let bad = sums.failed + sums.crashed;
        if side == Side::Baseline {
            return self.baseline.add(sums);
        }
        if sums.done > bad {
            return self.release();
        }
        self.run += bad;
        self.hosts.insert(host.clone());
        if self.run >= RUN && self.hosts.len() >= endpoints.min(2) && !self.shared() {
            self.until = now + self.hold;
            self.hold = (self.hold * 2).min(HOLD_MAX);
            self.clear();
        }
    }

    /// Tells whether the node sends nothing to the new version.
    #[must_use]
    pub fn holds(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Tells whether the old version fails as well, so that the cause is not the new one.
    fn shared(&self) -> bool {
        2 * (self.baseline.failed + self.baseline.crashed) > self.baseline.done
    }

    fn release(&mut self) {
        self.hold = HOLD_MIN;
        self.clear();
    }

    fn clear(&mut self) {
        self.baseline = Sums::default();
        self.hosts.clear();
        self.run = 0;
    }
}

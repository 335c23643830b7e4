//! Recognises requests whose caller was refused before and has returned after the time that it was given.
//!
//! Designed for overload in which each refused caller returns once after its retry time. A caller that has waited
//! that long is served before new callers, and may wait until its own deadline instead of the target that it has
//! missed. A caller that returns earlier gets no advantage. The attempts of one caller share no identifier, so
//! they are matched by their fingerprint and deadline: they ask for the same thing and expire at the same time.

use {
    crate::{traffic::quarantine::Fingerprint, types::Moment},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Maximum difference between the deadlines of two attempts of one caller, to allow for network round trips.
const DEADLINE_SLACK: Duration = Duration::from_millis(40);
/// Fraction of its retry time that a caller must have waited. It is below 1 as the caller's clock may run faster.
const WAITED_FRACTION: f64 = 0.9;
/// Maximum number of refusals kept; the oldest are evicted first.
const REFUSALS_MAX: usize = 4096;

#[derive(Debug)]
struct Refusal {
    deadline: Moment,
    refused_at: Moment,
    return_from: Moment,
}

/// Recently refused requests whose callers may return.
#[derive(Debug, Default)]
pub struct RefusalHistory {
    order: VecDeque<Fingerprint>,
    refusals: HashMap<Fingerprint, Refusal>,
}

impl RefusalHistory {
    /// Records that a request was refused and its caller asked to return after the time `after`.
    pub fn record(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        deadline: Moment,
        after: Duration,
    ) {
        let refusal = Refusal {
            deadline,
            refused_at: now,
            return_from: now + after.mul_f64(WAITED_FRACTION),
        };
        if self.refusals.insert(fingerprint, refusal).is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > REFUSALS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.refusals.remove(&oldest);
            }
        }
    }

    /// Returns the time of the refusal if this request returns after its retry time, and `None` for any other
    /// request.
    #[must_use]
    pub fn refused_at(
        &self,
        now: Moment,
        fingerprint: Fingerprint,
        deadline: Moment,
    ) -> Option<Moment> {
        let refusal = self.refusals.get(&fingerprint)?;
        let difference = refusal
            .deadline
            .since(deadline)
            .max(deadline.since(refusal.deadline));
        (difference <= DEADLINE_SLACK && now >= refusal.return_from).then_some(refusal.refused_at)
    }
}

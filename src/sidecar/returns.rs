//! Which requests were refused before and have come back.
//!
//! The load that it answers: more callers than can be served, each of whom returns once after the time that it
//! was told. Who has waited as told goes before who comes first, and may wait until its own deadline instead of
//! the target that it has missed; who comes back at once, before that time, gains nothing. A caller's attempts
//! have no name in common, but ask for the same thing and end at the same moment.

use {
    crate::{traffic::quarantine::Fingerprint, world::Moment},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// How far the deadlines of two attempts of one caller may lie apart: what travels to and fro take.
const DEADLINE_SLACK: Duration = Duration::from_millis(40);
/// The part of the time that it was told which a caller must have waited: its clock may run a little faster.
const WAITED_PART: f64 = 0.9;
/// The most refusals that are remembered; the oldest are forgotten first.
const REMEMBERED_MAX: usize = 4096;

#[derive(Debug)]
struct Refusal {
    deadline: Moment,
    first: Moment,
    welcome: Moment,
}

/// The refused requests whose callers may come back.
#[derive(Debug, Default)]
pub struct Returns {
    order: VecDeque<Fingerprint>,
    refusals: HashMap<Fingerprint, Refusal>,
}

impl Returns {
    /// Notes that a request was refused and asked to come back after a while.
    pub fn refuse(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        deadline: Moment,
        after: Duration,
    ) {
        let refusal = Refusal {
            deadline,
            first: now,
            welcome: now + after.mul_f64(WAITED_PART),
        };
        if self.refusals.insert(fingerprint, refusal).is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > REMEMBERED_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.refusals.remove(&oldest);
            }
        }
    }

    #[must_use]
    /// Gives when a request that has come back as it was told was refused; nothing for any other one.
    pub fn returned(
        &self,
        now: Moment,
        fingerprint: Fingerprint,
        deadline: Moment,
    ) -> Option<Moment> {
        let refusal = self.refusals.get(&fingerprint)?;
        let apart = refusal
            .deadline
            .since(deadline)
            .max(deadline.since(refusal.deadline));
        (apart <= DEADLINE_SLACK && now >= refusal.welcome).then_some(refusal.first)
    }
}

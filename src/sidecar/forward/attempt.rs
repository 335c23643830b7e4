//! Records the end of an attempt with the load balancer.

use crate::{
    sidecar::{
        frame::Outcome,
        load_balancer::{AttemptResult, Choice, Load},
        node::Core,
        peers,
    },
    types::Moment,
};

/// Guard that records the end of an attempt with the placement, also if the attempt is dropped because its caller has
/// gone.
pub(super) struct AttemptGuard<'a> {
    pub(super) core: &'a Core,
    pub(super) finished: bool,
    pub(super) place: &'a Choice,
    pub(super) sent_at: Moment,
}

impl AttemptGuard<'_> {
    pub(super) fn end(&mut self, outcome: &Outcome, load: Option<Load>) {
        self.finished = true;
        let (now, end) = (self.core.now(), peers::attempt_result(outcome));
        let mut load_balancer = self.core.load_balancer.borrow_mut();
        if let Some(load) = load {
            let transit = now.since(self.sent_at).saturating_sub(load.held);
            load_balancer.record_transit(now, &self.place.host, transit);
        }
        load_balancer.record_result(now, &self.place.host, end, load);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.core.now();
            let mut load_balancer = self.core.load_balancer.borrow_mut();
            load_balancer.record_result(now, &self.place.host, AttemptResult::Inconclusive, None);
        }
    }
}

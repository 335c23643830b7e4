//! The periods of a planned stop: for how long a stopping node takes requests, offers its upstream, and runs at all.

use {
    super::Core,
    crate::{sidecar::shutdown::Periods, types::Moment},
    std::time::Duration,
};

/// Minimum time for which a stopping node goes on offering its upstream's slots: other upstreams take over its traffic
/// only gradually.
const STOP_OFFER_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Time for which a stopping node accepts new requests, so that whoever directs callers to it can notice that it is not
/// ready. Its upstream waits for the next start of the node.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(2500);

/// Part of the grace period that is held back: the node exits this long before its end, even if requests still run.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Time before the exit of a stopping node until which the requests that it takes have to be answered: the answer still
/// has to be written.
const STOP_ANSWER_RESERVE: Duration = Duration::from_millis(250);

impl Core {
    /// Returns whether the node is stopping and accepts no new requests, so that those in progress can end in time.
    pub fn refuses_new_requests(&self) -> bool {
        let since = self.stopping.get();
        since.is_some_and(|since| self.now().since(since) >= self.stop_accept_period())
    }

    /// Returns the time by which a request that is admitted now has to be answered at the latest, if the node is stopping.
    pub fn stop_deadline(&self) -> Option<Moment> {
        let period = self.stop_timeout().saturating_sub(STOP_ANSWER_RESERVE);
        Some(self.stopping.get()? + period)
    }

    /// Returns the periods of a stop of this node.
    pub fn stop_periods(&self) -> Periods {
        Periods {
            accept: self.stop_accept_period(),
            offer: self.stop_offer_period(),
            grace: self.stop_timeout(),
        }
    }

    /// Returns how long a stopping node accepts new requests. Nothing waits for a node whose upstream has left, and
    /// callers keep arriving, so it accepts requests for as long as each is certain to end within the grace period.
    fn stop_accept_period(&self) -> Duration {
        if self.local_upstream.has_upstream() {
            return STOP_ACCEPT_PERIOD;
        }
        STOP_ACCEPT_PERIOD.max(self.stop_admission_limit())
    }

    /// Returns how long a stopping node offers its upstream's slots to other nodes. The upstream is idle from the end of
    /// the offer until the node has restarted, so it lasts as long as the node itself runs for its callers, unless a
    /// request admitted then might outlast the stop.
    fn stop_offer_period(&self) -> Duration {
        STOP_ACCEPT_PERIOD
            .min(self.stop_admission_limit())
            .max(STOP_OFFER_PERIOD_MIN)
    }

    /// Returns the time after the start of a stop until which an admitted request is certain to end before the node
    /// exits.
    fn stop_admission_limit(&self) -> Duration {
        let document = self.document.borrow();
        let longest_timeout = document.routes.values().map(|route| route.timeout).max();
        let grace = self.stop_timeout();
        grace.saturating_sub(longest_timeout.unwrap_or(grace))
    }

    /// Returns the maximum duration of a stop.
    fn stop_timeout(&self) -> Duration {
        self.settings.borrow().grace.saturating_sub(STOP_RESERVE)
    }
}

//! Decides when a stopping node withdraws its upstream and when it exits.
//!
//! Load pattern: a planned stop while other nodes keep sending requests. A request that was sent before its sender
//! learned of the withdrawal is still on its way when nothing runs here any more, and would be lost with the connection.
//! So the node exits only once every peer has confirmed the withdrawal: connections keep their order, hence all requests
//! that the peer had sent before have arrived by then. See docs/design/platform.md.

use {crate::types::Moment, std::time::Duration};

/// Time without requests after which a node exits although peers have not confirmed the withdrawal, as they may be
/// unreachable. Several round trips between regions.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Periods of a stop, each from its beginning.
#[derive(Debug, Clone, Copy)]
pub struct Periods {
    /// Period in which the node accepts requests of its callers.
    pub accept: Duration,
    /// Period in which it offers its upstream to other nodes, at most as long as `accept`.
    pub offer: Duration,
    /// Period after which it exits in any case.
    pub grace: Duration,
}

/// What is still in progress at the node.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    /// Whether a request runs or waits, or a response has not been written yet.
    pub busy: bool,
    /// Number of responsive peers that have not confirmed the withdrawal.
    pub unconfirmed: usize,
}

/// What the node does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Go on as before.
    Continue,
    /// Tell all peers that the upstream takes no more requests, and ask them to confirm that.
    Withdraw,
    /// Exit.
    Exit,
}

/// Stop of a node in progress.
#[derive(Debug)]
pub struct Shutdown {
    began: Moment,
    /// Time since when nothing has been in progress, from the withdrawal on; `None` before it.
    idle_since: Option<Moment>,
}

impl Shutdown {
    /// Begins a stop.
    #[must_use]
    pub fn new(began: Moment) -> Self {
        Self {
            began,
            idle_since: None,
        }
    }

    /// Returns the next action. To be called at short intervals.
    pub fn next(&mut self, now: Moment, periods: Periods, activity: Activity) -> Action {
        let elapsed = now.since(self.began);
        if elapsed >= periods.grace {
            return Action::Exit;
        }
        if elapsed < periods.offer {
            return Action::Continue;
        }
        let Some(idle_since) = self.idle_since else {
            self.idle_since = Some(now);
            return Action::Withdraw;
        };
        if activity.busy {
            self.idle_since = Some(now);
            return Action::Continue;
        }
        let confirmed = activity.unconfirmed == 0 || now.since(idle_since) >= CONFIRM_TIMEOUT;
        if elapsed >= periods.accept && confirmed {
            Action::Exit
        } else {
            Action::Continue
        }
    }
}

//! Whether the platform is reachable, derived from the results of the calls to it. This module has no
//! clock, socket or thread.

use {
    crate::{control::Event, event_log::StateChange, source::TransactionOutcome},
    serde::Serialize,
};

/// The reachability of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// No call has ended yet.
    #[default]
    Untried,
    /// The last call was answered.
    Reached,
    /// The last call failed or its outcome is unknown.
    Lost,
}

impl Reachability {
    /// Updates the state from the result of a call. Returns the change to log when the platform
    /// becomes unreachable or reachable again. Other events have no effect.
    pub fn update(&mut self, event: &Event) -> Option<StateChange> {
        let current = match event {
            Event::ReadFinished(None)
            | Event::Transacted(_, TransactionOutcome::Unknown | TransactionOutcome::Unsent) => {
                Self::Lost
            }
            Event::ReadFinished(Some(_))
            | Event::Transacted(_, TransactionOutcome::Committed | TransactionOutcome::Conflict) => {
                Self::Reached
            }
            _ => return None,
        };
        let previous = std::mem::replace(self, current);
        match (previous, current) {
            (Self::Lost, Self::Reached) => Some(StateChange::PlatformBack),
            (Self::Untried | Self::Reached, Self::Lost) => Some(StateChange::PlatformLost),
            _ => None,
        }
    }
}

//! Whether the platform answers, from how calls to it end. It has no clock, socket or thread.

use {
    crate::{control::Event, journal::Change, source::Outcome},
    serde::Serialize,
};

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reach {
    /// It has not been called yet.
    #[default]
    Untried,
    /// It answers.
    Reached,
    /// It does not answer.
    Lost,
}

impl Reach {
    /// Takes an event in, and gives the change of state if there is one.
    pub fn learn(&mut self, event: &Event) -> Option<Change> {
        let found = match event {
            Event::Read(None) | Event::Transacted(_, Outcome::Unknown | Outcome::Unsent) => {
                Self::Lost
            }
            Event::Read(Some(_)) | Event::Transacted(_, Outcome::Committed | Outcome::Conflict) => {
                Self::Reached
            }
            _ => return None,
        };
        let before = std::mem::replace(self, found);
        match (before, found) {
            (Self::Lost, Self::Reached) => Some(Change::PlatformBack),
            (Self::Untried | Self::Reached, Self::Lost) => Some(Change::PlatformLost),
            _ => None,
        }
    }
}

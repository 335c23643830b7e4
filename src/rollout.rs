//! Moves a route's traffic from one version to another: paces the share, judges the new version against
//! the old one beside it, takes it back for good once it is bad, and records how it ended. Advancing is
//! local to each failure domain; a veto is global. See docs/design/rollouts.md.

pub mod attempt;
pub mod brake;
pub mod controller;
pub mod detector;
pub mod evidence;
pub mod judge;
pub mod message;
pub mod outcome;
pub mod ramp;
pub mod rules;
pub mod sampler;
pub mod status;

pub use self::controller::{Action, Controller, Event, Role, Start};

use {
    crate::world::{Moment, Name},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How long a completed rollout is still judged and may be taken back.
pub const SOAK: Duration = Duration::from_secs(600);

/// Names one attempt of a rollout. A rollout that is deleted and declared anew is another attempt; one
/// whose deadline is moved is the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The rollout.
    pub name: Name,
    /// When it was accepted, which sets it apart from earlier attempts of that name.
    pub started: Moment,
}

impl Id {
    /// Gives the short form that frequent messages carry.
    #[must_use]
    pub fn tag(&self) -> Tag {
        let text = format!("{}@{}", self.name, self.started.0);
        Tag::of(&text)
    }
}

/// The hash of a name, for messages that are sent often.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tag(pub u32);

impl Tag {
    /// Gives the tag of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or_default())
    }
}

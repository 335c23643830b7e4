//! Shifts a route's traffic from one version to another: raises the share in stages, compares the new
//! version with the old one under the same conditions, rolls back permanently once the new version is
//! found bad, and records the outcome. Each failure domain advances on its own; a veto applies to the
//! whole mesh. See docs/design/rollouts.md.

pub mod attempt;
pub mod breaker;
pub mod classifier;
pub mod controller;
pub mod detector;
pub mod evidence;
pub mod judge;
pub mod message;
pub mod outcome;
pub mod ramp;
pub mod rules;
pub mod status;

pub use self::controller::{Action, Controller, Event, Position, Start};

use {
    crate::types::{Moment, Name},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How long after its completion a rollout is still judged and may be rolled back.
pub const SOAK_PERIOD: Duration = Duration::from_secs(600);

/// Identifies one attempt of a rollout. Deleting a rollout and declaring it again starts a new attempt;
/// changing the deadline does not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The name of the rollout.
    pub name: Name,
    /// When the rollout was accepted; distinguishes it from earlier attempts with the same name.
    pub started: Moment,
}

impl AttemptId {
    /// Returns the hash that frequent messages carry instead of the whole id.
    #[must_use]
    pub fn tag(&self) -> Tag {
        let text = format!("{}@{}", self.name, self.started.0);
        Tag::of(&text)
    }
}

/// A 32-bit hash of a name, which keeps frequent messages small.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tag(pub u32);

impl Tag {
    /// Returns the tag of `name`: the upper 32 bits of its 64-bit xxh3 hash.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or_default())
    }
}

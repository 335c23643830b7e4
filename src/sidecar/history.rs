//! Positions in the history of the platform's store.
//!
//! A store that comes back from an older copy has lost what was written since, and gives the versions of the lost writes
//! out again. So a version, and whatever a node has concluded from one, holds only within the history that it belongs to.
//! See docs/design/platform.md.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        num::ParseIntError,
        str::FromStr,
    },
};

/// Number of a history of the store. It rises each time that the store comes back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Display for Epoch {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Epoch {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Position in the history of the store. Positions of a later epoch come after all positions of an earlier one, whatever
/// their versions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Epoch that the version belongs to; `None` if the store does not state one.
    pub epoch: Option<Epoch>,
    /// Version that the store has given out.
    pub version: u64,
}

impl Display for Position {
    /// Writes `EPOCH.VERSION`, or the version alone if the epoch is not stated.
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.epoch {
            Some(epoch) => write!(f, "{epoch}.{}", self.version),
            None => self.version.fmt(f),
        }
    }
}

impl FromStr for Position {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (epoch, version) = match text.split_once('.') {
            Some((epoch, version)) => (Some(epoch.parse()?), version),
            None => (None, text),
        };
        Ok(Self {
            epoch,
            version: version.parse()?,
        })
    }
}

//! Why a request was refused or failed. Each reason has a counter and a line in docs/callers.md.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// The reason for a refusal or failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The caller's request is malformed.
    BadRequest,
    /// No route leads to the service and path.
    NoRoute,
    /// No endpoint of the version takes work.
    NoEndpoint,
    /// The node at the upstream could not be reached.
    Unreachable,
    /// The upstream could not be dialled.
    Dial,
    /// The upstream is leaving.
    Leaving,
    /// The upstream here is of another version or service.
    WrongVersion,
    /// The upstream's queue is full.
    Overloaded,
    /// The deadline has passed.
    Deadline,
    /// The connection was lost after the request could have run.
    Lost,
    /// The body is longer than allowed.
    TooLarge,
}

impl Reason {
    /// Every reason, in order.
    pub const ALL: [Self; 11] = [
        Self::BadRequest,
        Self::NoRoute,
        Self::NoEndpoint,
        Self::Unreachable,
        Self::Dial,
        Self::Leaving,
        Self::WrongVersion,
        Self::Overloaded,
        Self::Deadline,
        Self::Lost,
        Self::TooLarge,
    ];
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad-request",
            Self::NoRoute => "no-route",
            Self::NoEndpoint => "no-endpoint",
            Self::Unreachable => "unreachable",
            Self::Dial => "dial",
            Self::Leaving => "leaving",
            Self::WrongVersion => "wrong-version",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Lost => "lost",
            Self::TooLarge => "too-large",
        })
    }
}

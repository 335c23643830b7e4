//! The reasons for which a request is refused or fails, with the HTTP status that callers get. Each
//! reason has a counter and an entry in docs/operators/refusals.md.

use {
    crate::wire::Failure,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $text:literal, $status:literal;)*) => {
        /// The reason why a request was refused or failed.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the HTTP status of a request that was not run for this reason.
            #[must_use]
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }

        impl Display for Reason {
            fn fmt(&self, f: &mut Formatter) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$name => $text,)*
                })
            }
        }
    };
}

reasons! {
    /// The account has reached its limit.
    AccountLimit => "account-limit", 429;
    /// The request with this idempotency key has run, and its answer is no longer stored.
    AlreadyRan => "already-ran", 409;
    /// The caller's request is malformed.
    BadRequest => "bad-request", 400;
    /// The upstream has reached its maximum number of connections.
    Connections => "connections", 503;
    /// The upstream crashed while the request ran.
    Crashed => "crashed", 502;
    /// The caller's body ended before it was complete.
    Cut => "cut", 400;
    /// The deadline has passed, or the request cannot finish before it.
    Deadline => "deadline", 504;
    /// Connecting to the upstream failed.
    Dial => "dial", 503;
    /// The request passed through more nodes than a chain of calls may have.
    Hops => "hops", 508;
    /// The request was first sent longer ago than idempotency keys are kept.
    KeyExpired => "key-expired", 409;
    /// The idempotency key was used for another request before.
    KeyReused => "key-reused", 422;
    /// The owner of the idempotency key cannot store more keys.
    KeysFull => "keys-full", 503;
    /// The upstream is draining.
    Leaving => "leaving", 503;
    /// The connection was lost after the request might have run.
    Lost => "lost", 502;
    /// No endpoint of the version accepts requests.
    NoEndpoint => "no-endpoint", 503;
    /// No route matches the service and path.
    NoRoute => "no-route", 404;
    /// Another host owns the idempotency key.
    NotOwner => "not-owner", 503;
    /// The queue of the upstream is full.
    Overloaded => "overloaded", 503;
    /// The owner of the idempotency key became its owner after the request was first sent.
    OwnerChanged => "owner-changed", 503;
    /// The owner of the idempotency key cannot be reached.
    OwnerUnreachable => "owner-unreachable", 503;
    /// The request is quarantined because it has crashed upstreams.
    Quarantined => "quarantined", 403;
    /// No endpoint in the regions that the request may run in accepts requests.
    Region => "region", 503;
    /// The body is longer than allowed.
    TooLarge => "too-large", 413;
    /// The request needs the key of an account, and has none or an unknown one.
    Unauthorized => "unauthorized", 401;
    /// The node of the upstream could not be reached.
    Unreachable => "unreachable", 503;
    /// The upstream on this host is of another version or service.
    WrongVersion => "wrong-version", 503;
}

/// The HTTP status of a request that may have run.
const UNKNOWN_STATUS: u16 = 502;

impl Failure {
    /// Returns the reason of the failure.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }

    /// Returns the outcome as it appears in answers and in the names of counters.
    #[must_use]
    pub fn outcome(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the HTTP status that callers get. A request that may have run never gets a status that
    /// clients treat as a refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NotRun(reason) => reason.status(),
            Self::Unknown(_) => UNKNOWN_STATUS,
        }
    }

    /// Returns the name of the counter of this failure.
    #[must_use]
    pub fn counter(self) -> String {
        format!("refused.{}.{}", self.outcome(), self.reason())
    }
}

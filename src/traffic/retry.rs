//! Retry decisions. One exhaustive match over the class of the request, the stage that the attempt
//! reached and the reason for its failure decides whether a retry is safe and useful. A budget, the
//! deadline and the hop then limit the retries, so that they do not multiply the load of a service
//! that is already failing. See docs/design/requests.md.

use {
    crate::{refusal::Reason, types::Moment, wire::Failure},
    std::time::Duration,
};

/// The maximum number of attempts at one request, including the first.
pub const ATTEMPTS_MAX: u32 = 3;
/// The number of retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// The maximum number of retries that the budget holds.
const BUDGET_MAX: f64 = 50.0;
/// The number of retries that the budget holds before the first success.
const BUDGET_INITIAL: f64 = 5.0;
/// The minimum time before the deadline that must be left for another attempt.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The request may run several times without harm.
    Idempotent,
    /// The request must run at most once.
    OnceOnly,
}

impl Class {
    /// Returns the class of a method. `declared` is set if the caller declares the request
    /// idempotent.
    #[must_use]
    pub fn of(method: &str, declared: bool) -> Self {
        match method {
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE" => Self::Idempotent,
            _ if declared => Self::Idempotent,
            _ => Self::OnceOnly,
        }
    }
}

/// The stage that an attempt reached before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte reached the upstream.
    Unsent,
    /// The request was sent, and no answer has begun.
    Sent,
    /// The answer has begun, so the caller has received part of it.
    Begun,
}

impl Stage {
    /// Returns the stage of an attempt that failed before the answer began.
    #[must_use]
    pub fn of(failure: Failure) -> Self {
        match failure {
            Failure::NotRun(_) => Self::Unsent,
            Failure::Unknown(_) => Self::Sent,
        }
    }
}

/// The decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be retried at another endpoint.
    Again,
    /// The request fails without a retry.
    End,
}

/// Returns whether a failed attempt may be retried, before the budget and other limits are applied.
#[must_use]
pub fn decide(class: Class, stage: Stage, reason: Reason) -> Verdict {
    use Reason as R;
    match (class, stage, reason) {
        // The request did not reach this endpoint, so another one may accept it.
        (
            _,
            Stage::Unsent,
            R::Connections
            | R::Dial
            | R::Leaving
            | R::NotOwner
            | R::Overloaded
            | R::Region
            | R::Unreachable
            | R::WrongVersion,
        )
        // The request may have run, and running it again is harmless.
        | (Class::Idempotent, Stage::Sent, R::Crashed | R::Lost) => Verdict::Again,
        // The request would fail in the same way at every endpoint.
        (
            _,
            Stage::Unsent,
            R::AccountLimit
            | R::AlreadyRan
            | R::BadRequest
            | R::Crashed
            | R::Cut
            | R::Deadline
            | R::Hops
            | R::KeyExpired
            | R::KeyReused
            | R::KeysFull
            | R::Lost
            | R::NoEndpoint
            | R::NoRoute
            | R::OwnerChanged
            | R::OwnerUnreachable
            | R::Quarantined
            | R::TooLarge
            | R::Unauthorized,
        )
        // No time is left, the caller has gone, or another endpoint is no more likely to
        // succeed.
        | (
            Class::Idempotent,
            Stage::Sent,
            R::AccountLimit
            | R::AlreadyRan
            | R::BadRequest
            | R::Connections
            | R::Cut
            | R::Deadline
            | R::Dial
            | R::Hops
            | R::KeyExpired
            | R::KeyReused
            | R::KeysFull
            | R::Leaving
            | R::NoEndpoint
            | R::NoRoute
            | R::NotOwner
            | R::Overloaded
            | R::OwnerChanged
            | R::OwnerUnreachable
            | R::Quarantined
            | R::Region
            | R::TooLarge
            | R::Unauthorized
            | R::Unreachable
            | R::WrongVersion,
        )
        // The request may have run, and must not run twice.
        | (Class::OnceOnly, Stage::Sent, _)
        // The caller has received part of the answer.
        | (_, Stage::Begun, _) => Verdict::End,
    }
}

/// The reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The maximum number of attempts was made.
    Attempts,
    /// The body is too long to be kept and sent again.
    Body,
    /// Earlier retries have used up the budget.
    Budget,
    /// Too little time is left before the deadline.
    Deadline,
    /// The request was tried at every endpoint.
    Endpoint,
    /// Another node forwarded the request; only the first node of a chain of calls retries.
    Hop,
    /// A retry is not safe, or would fail in the same way.
    Verdict,
}

impl Denial {
    /// Returns the name under which the denial is counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Body => "body",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::Endpoint => "endpoint",
            Self::Hop => "hop",
            Self::Verdict => "verdict",
        }
    }
}

/// The properties of a request that a retry depends on.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The number of attempts made so far.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub class: Class,
    /// The time after which the caller no longer waits.
    pub deadline: Moment,
    /// The number of nodes that accepted the request before this one.
    pub hop: u32,
    /// Whether the body can be sent again.
    pub replayable: bool,
}

/// The retry budget of a service, to which its successes add.
#[derive(Debug)]
pub struct Budget {
    limited: bool,
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            limited: true,
            balance: BUDGET_INITIAL,
        }
    }
}

impl Budget {
    /// Creates a budget without a limit; used by the benches for comparison.
    #[must_use]
    pub fn unlimited() -> Self {
        Self {
            limited: false,
            balance: 0.0,
        }
    }

    /// Adds the share of a retry that a successful request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(BUDGET_MAX);
    }

    /// Charges a retry that the verdict allows to the budget.
    ///
    /// # Errors
    /// Returns the limit that was reached; the budget is not charged in that case.
    pub fn try_withdraw(&mut self, now: Moment, attempt: Attempt) -> Result<(), Denial> {
        if attempt.hop > 0 {
            return Err(Denial::Hop);
        }
        if attempt.attempts >= ATTEMPTS_MAX {
            return Err(Denial::Attempts);
        }
        if !attempt.replayable {
            return Err(Denial::Body);
        }
        if now + TIME_LEFT_MIN > attempt.deadline {
            return Err(Denial::Deadline);
        }
        if !self.limited {
            return Ok(());
        }
        if self.balance < 1.0 {
            return Err(Denial::Budget);
        }
        self.balance -= 1.0;
        Ok(())
    }
}

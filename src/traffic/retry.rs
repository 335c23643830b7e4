//! Whether a failed attempt is made again. One total match over the class of the request, how far it
//! went and why it failed; a budget, the deadline and the hop bound what that allows.
//! See docs/design/requests.md.

use {
    crate::{refusal::Reason, wire::Failure, world::Moment},
    std::time::Duration,
};

/// The most attempts at one request.
pub const ATTEMPTS_MAX: u32 = 3;
/// The retries that each success pays for.
const PER_SUCCESS: f64 = 0.1;
/// The most retries that can be saved up.
const SAVED_MAX: f64 = 50.0;
/// The retries that a node may make before the first success.
const SAVED_FIRST: f64 = 5.0;
/// The least time that has to be left for another attempt.
const TIME_MIN: Duration = Duration::from_millis(5);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once.
    OnceOnly,
}

impl Class {
    /// The class of a method; `declared` is set if the caller says that it is idempotent.
    #[must_use]
    pub fn of(method: &str, declared: bool) -> Self {
        match method {
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE" => Self::Idempotent,
            _ if declared => Self::Idempotent,
            _ => Self::OnceOnly,
        }
    }
}

/// How far an attempt went before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte reached the upstream.
    Unsent,
    /// The request was sent, and no answer has begun.
    Sent,
    /// The answer has begun: the caller has a part of it.
    Begun,
}

impl Stage {
    /// How far an attempt went that ended in a failure before the answer began.
    #[must_use]
    pub fn of(failure: Failure) -> Self {
        match failure {
            Failure::NotRun(_) => Self::Unsent,
            Failure::Unknown(_) => Self::Sent,
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be made again, at another endpoint.
    Again,
    /// It ends here.
    End,
}

/// Decides whether a failed attempt may be made again at all.
#[must_use]
pub fn verdict(class: Class, stage: Stage, reason: Reason) -> Verdict {
    use Reason as R;
    match (class, stage, reason) {
        // Another endpoint may take what never reached this one.
        (
            _,
            Stage::Unsent,
            R::Connections
            | R::Dial
            | R::Leaving
            | R::NotOwner
            | R::Overloaded
            | R::Unreachable
            | R::WrongVersion,
        )
        // It may have run, and running again does no harm.
        | (Class::Idempotent, Stage::Sent, R::Crashed | R::Lost) => Verdict::Again,
        // It would fail in the same way everywhere.
        (
            _,
            Stage::Unsent,
            R::AlreadyRan
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
            | R::TooLarge,
        )
        // Time or the caller has run out, or the reason says nothing about another endpoint.
        | (
            Class::Idempotent,
            Stage::Sent,
            R::AlreadyRan
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
            | R::TooLarge
            | R::Unreachable
            | R::WrongVersion,
        )
        // It may have run.
        | (Class::OnceOnly, Stage::Sent, _)
        // The caller has a part of the answer.
        | (_, Stage::Begun, _) => Verdict::End,
    }
}

/// Why an allowed retry is not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// It was tried often enough.
    Attempts,
    /// The body is too long to be sent again.
    Body,
    /// The retries so far have used up what the successes paid for.
    Budget,
    /// There is too little time left.
    Deadline,
    /// It was tried at every endpoint.
    Endpoint,
    /// Only the first node of a chain of calls retries.
    Hop,
    /// The request may not run again, or it would fail in the same way.
    Verdict,
}

impl Denial {
    /// The name of its counter.
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

/// What is known of a request when an attempt at it has failed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// How many attempts were made.
    pub attempts: u32,
    /// Whether it may run more than once.
    pub class: Class,
    /// When the caller waits no more.
    pub deadline: Moment,
    /// How many nodes took the request in before this one.
    pub hop: u32,
    /// Whether the body can be sent again.
    pub replayable: bool,
}

/// The retries that a service's successes have paid for.
#[derive(Debug)]
pub struct Budget {
    limited: bool,
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            limited: true,
            saved: SAVED_FIRST,
        }
    }
}

impl Budget {
    /// Makes a budget without a limit, which the benches compare with.
    #[must_use]
    pub fn unlimited() -> Self {
        Self {
            limited: false,
            saved: 0.0,
        }
    }

    /// Takes in that a request succeeded.
    pub fn succeed(&mut self) {
        self.saved = (self.saved + PER_SUCCESS).min(SAVED_MAX);
    }

    /// Pays for a retry that the verdict allows, or says why it isn't made.
    ///
    /// # Errors
    /// Gives the bound that is met; nothing was paid then.
    pub fn pay(&mut self, now: Moment, attempt: Attempt) -> Result<(), Denial> {
        if attempt.hop > 0 {
            return Err(Denial::Hop);
        }
        if attempt.attempts >= ATTEMPTS_MAX {
            return Err(Denial::Attempts);
        }
        if !attempt.replayable {
            return Err(Denial::Body);
        }
        if now + TIME_MIN > attempt.deadline {
            return Err(Denial::Deadline);
        }
        if !self.limited {
            return Ok(());
        }
        if self.saved < 1.0 {
            return Err(Denial::Budget);
        }
        self.saved -= 1.0;
        Ok(())
    }
}

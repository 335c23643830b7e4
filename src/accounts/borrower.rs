//! Borrows permits for one account from its owner.
//!
//! Designed for accounts that are busy at this node and for accounts that are over their limit: at most one query is in
//! flight, a busy account asks for a few permits at a time, and after a refusal this node refuses by itself until the time
//! that the owner has stated.

use {
    super::PERMIT_VALIDITY,
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time without an answer after which a query counts as lost.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of permits that one query asks for.
const WANTED_MAX: u32 = 8;

/// Time over which requests are counted to see whether the account is busy. It is half of the validity of a permit, so
/// that the permits for as many requests as were counted are used in time.
const BUSY_PERIOD: Duration = Duration::from_millis(250);

/// Identifier of a query at the node that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryId(pub u64);

/// Answer of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The number of permits that were handed out.
    Granted(u32),
    /// The account has reached its limit; there is room after this time.
    Full(Duration),
    /// The receiver does not own the account.
    NotOwner,
}

/// Permit for one request; it may be used until this time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit(pub Moment);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run.
    Granted(Permit),
    /// The account has reached its limit; there is room after this time.
    Refused(Duration),
    /// An answer of the owner is needed.
    Wait,
}

#[derive(Debug, Clone, Copy)]
struct Query {
    id: QueryId,
    sent: Moment,
}

/// Permits of one account that this node has borrowed.
#[derive(Debug, Default)]
pub struct Borrower {
    /// Number of requests in the current and the last busy period, and the beginning of the current one.
    demand: (u32, u32, Moment),
    in_flight: Option<Query>,
    refused_until: Moment,
    /// Unused permits, in the order in which they expire.
    stock: Vec<Permit>,
}

impl Borrower {
    /// Counts a request, by which the node sees whether the account is busy.
    pub fn count(&mut self, now: Moment) {
        let (current, last, since) = &mut self.demand;
        let periods = now.since(*since).as_micros() / BUSY_PERIOD.as_micros();
        if periods > 0 {
            *last = if periods == 1 { *current } else { 0 };
            *current = 0;
            *since = now;
        }
        *current += 1;
    }

    /// Returns what to do with a request.
    pub fn take(&mut self, now: Moment) -> Verdict {
        self.stock.retain(|permit| now < permit.0);
        if !self.stock.is_empty() {
            return Verdict::Granted(self.stock.remove(0));
        }
        if now < self.refused_until {
            return Verdict::Refused(self.refused_until.since(now));
        }
        Verdict::Wait
    }

    /// Begins a query on behalf of `waiting` requests, unless one is in flight. Returns the number of permits to ask for.
    pub fn ask(&mut self, now: Moment, id: QueryId, waiting: usize) -> Option<u32> {
        if self
            .in_flight
            .is_some_and(|query| now.since(query.sent) < QUERY_TIMEOUT)
        {
            return None;
        }
        self.in_flight = Some(Query { id, sent: now });
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        // A quarter: permits that are not used in time are lost to the account.
        let busy = self.demand.1 / 4;
        Some(waiting.max(busy).clamp(1, WANTED_MAX))
    }

    /// Records the answer to a query. Returns whether it answers the query in flight. The permits of a later answer are
    /// dropped, as the time of its query is no longer known.
    pub fn answer(&mut self, now: Moment, id: QueryId, answer: Answer) -> bool {
        let Some(query) = self.in_flight.take_if(|query| query.id == id) else {
            return false;
        };
        match answer {
            Answer::Granted(count) => {
                let permit = Permit(query.sent + PERMIT_VALIDITY);
                let count = count.min(WANTED_MAX) as usize;
                self.stock.extend(std::iter::repeat_n(permit, count));
                self.stock.sort_unstable();
            }
            Answer::Full(after) => self.refused_until = now + after,
            Answer::NotOwner => {}
        }
        true
    }

    /// Takes back a permit whose request has not run, for another request.
    pub fn give_back(&mut self, now: Moment, permit: Permit) {
        if now < permit.0 {
            self.stock.push(permit);
            self.stock.sort_unstable();
        }
    }

    /// Returns whether nothing is stored that later requests depend on.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        self.in_flight
            .is_none_or(|query| now.since(query.sent) >= QUERY_TIMEOUT)
            && now >= self.refused_until
            && self.stock.iter().all(|permit| now >= permit.0)
    }
}

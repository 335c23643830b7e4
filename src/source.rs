//! Acceptance: the platform's table is the one truth, and a change is accepted when one transaction,
//! conditional on the head revision, appends it to the log and advances the head. See docs/design.md.

use {
    crate::{
        resource::{Change, Key},
        snapshot::{Digest, Snapshot},
        validate::{self, Fault},
        world::{Moment, Revision},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// How often the log is read while nothing is known to have changed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Names one client call that waits for its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A group of changes that an operator wants accepted together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The changes, each with the resource version it replaces if the operator stated one.
    pub changes: Vec<(Change, Option<Revision>)>,
    /// Chosen by the client, so that asking again never applies twice.
    pub id: String,
}

/// One entry of the log: what one transaction accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The digest of the state that results.
    pub digest: Digest,
    /// The operations, in order.
    pub operations: Vec<Operation>,
    /// The revision that it makes.
    pub revision: Revision,
}

/// What becomes of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It is part of this revision.
    Accepted(Revision),
    /// It is refused whole, for every fault that it has.
    Refused(Vec<Fault>),
    /// It is certain that it was not accepted, as nothing was sent.
    Unavailable,
    /// It may have been accepted; the same id settles it later.
    Unknown,
}

/// What the platform made of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Committed,
    /// The head had moved.
    Conflict,
    /// It was not sent.
    Unsent,
    /// It was sent, and no answer came.
    Unknown,
}

/// What the source wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the log after a revision.
    Read(Revision),
    /// Append an entry on the condition that the head is the revision before it.
    Transact(Entry),
    /// Answer a client.
    Reply(Ticket, Verdict),
}

struct Pending {
    operation: Operation,
    ticket: Ticket,
}

/// Accepts operations and follows the log.
#[derive(Default)]
pub struct Source {
    flight: Option<Vec<Pending>>,
    queue: VecDeque<Pending>,
    read_at: Moment,
    reading: bool,
}

impl Source {
    /// Takes an operation from a client.
    pub fn submit(
        &mut self,
        snapshot: &Snapshot,
        ticket: Ticket,
        operation: Operation,
    ) -> Vec<Action> {
        self.queue.push_back(Pending { operation, ticket });
        self.transact(snapshot)
    }

    /// Says whether an operation waits for the log.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.flight.is_some() || !self.queue.is_empty()
    }

    /// Reads the log when it is time to.
    pub fn tick(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        if self.reading || now.since(self.read_at) < POLL_INTERVAL {
            return self.transact(snapshot);
        }
        self.read(now, snapshot)
    }

    fn read(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        self.reading = true;
        self.read_at = now;
        vec![Action::Read(snapshot.revision)]
    }

    /// Notes that a reading of the log has ended and its entries are in `snapshot`.
    pub fn caught_up(&mut self, snapshot: &Snapshot) -> Vec<Action> {
        self.reading = false;
        self.transact(snapshot)
    }

    /// Takes the outcome of the transaction in flight.
    pub fn transacted(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        revision: Revision,
        outcome: Outcome,
    ) -> Vec<Action> {
        let flight = self.flight.take().unwrap_or_default();
        let verdict = match outcome {
            Outcome::Committed => Verdict::Accepted(revision),
            Outcome::Conflict => {
                for pending in flight.into_iter().rev() {
                    self.queue.push_front(pending);
                }
                return self.read(now, snapshot);
            }
            Outcome::Unsent => Verdict::Unavailable,
            Outcome::Unknown => Verdict::Unknown,
        };
        flight
            .into_iter()
            .map(|pending| Action::Reply(pending.ticket, verdict.clone()))
            .chain(self.transact(snapshot))
            .collect()
    }

    fn transact(&mut self, snapshot: &Snapshot) -> Vec<Action> {
        if self.flight.is_some() || self.reading || self.queue.is_empty() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let mut flight = Vec::new();
        let mut next = snapshot.clone();
        next.revision = snapshot.revision.next();
        for pending in self.queue.drain(..) {
            match validate::operation(&next, &pending.operation) {
                Ok(state) => {
                    next = state;
                    flight.push(pending);
                }
                Err(faults) => {
                    actions.push(Action::Reply(pending.ticket, Verdict::Refused(faults)));
                }
            }
        }
        if !flight.is_empty() {
            actions.push(Action::Transact(Entry {
                digest: next.digest,
                operations: flight
                    .iter()
                    .map(|pending| pending.operation.clone())
                    .collect(),
                revision: next.revision,
            }));
            self.flight = Some(flight);
        }
        actions
    }
}

impl Entry {
    /// Lists the changes, in order.
    pub fn changes(&self) -> impl Iterator<Item = (Revision, Change)> {
        self.operations
            .iter()
            .flat_map(|operation| &operation.changes)
            .map(|(change, _)| (self.revision, change.clone()))
    }

    /// Lists the resources that are changed.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.operations
            .iter()
            .flat_map(|operation| &operation.changes)
            .map(|(change, _)| change.key())
    }
}

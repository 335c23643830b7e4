//! Acceptance: the platform's table is the one truth, and a change is accepted when one transaction,
//! conditional on the head revision, appends it to the log and advances the head. Every operation
//! leaves a receipt in that transaction, so its id never applies twice. See docs/design/source.md.

use {
    crate::{
        snapshot::Snapshot,
        validate::Fault,
        world::{Moment, Revision},
    },
    std::{
        collections::VecDeque,
        fmt::{self, Display, Formatter},
        sync::Arc,
        time::Duration,
    },
};

pub use self::{
    log::{Base, Entry, Operation, PAGE, Page, Query, Receipt},
    pace::{BACKOFF_MAX, READ_GAP, WRITE_GAP},
};

mod batch;
mod log;
mod pace;

use {
    batch::{Batch, Flight, Pending, Request},
    pace::Pace,
};

/// How often a polling node reads the log while nothing is known to have changed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The most operations that one transaction accepts.
pub const BATCH_MAX: usize = 128;
/// The most changes that one transaction accepts, unless a single operation has more.
pub const BATCH_CHANGES: usize = 1024;
/// The most operations that wait at one node.
pub const QUEUE_MAX: usize = 1024;
/// The longest that an operation waits for the platform before its client is answered.
pub const WAIT_MAX: Duration = Duration::from_secs(6);
/// How many revisions a node goes past the newest snapshot in the object store before it stores one.
pub const SNAPSHOT_EVERY: u64 = 256;
/// How many revisions of the log, and of operations' receipts, are kept behind the newest snapshot.
pub const RETAINED: u64 = 20_000;
/// The least time between two attempts of one node to store a snapshot.
pub const STORE_GAP: Duration = Duration::from_secs(5);

/// Names one client call that waits for its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What becomes of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No operation of this id was accepted up to now.
    Absent,
    /// It is part of this revision.
    Accepted(Revision),
    /// Too many operations wait at this node; nothing was sent.
    Busy,
    /// It is refused whole, for every fault that it has.
    Refused(Vec<Fault>),
    /// This call did not have it accepted: nothing was sent.
    Unavailable,
    /// It may have been accepted; the same id settles it later.
    Unknown,
}

/// What the platform made of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Committed,
    /// The head had moved, or one of the operations has a receipt.
    Conflict,
    /// It was not sent.
    Unsent,
    /// It was sent, and no answer came.
    Unknown,
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Committed => "committed",
            Self::Conflict => "conflict",
            Self::Unsent => "unsent",
            Self::Unknown => "unknown",
        })
    }
}

/// What the source wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Take a committed entry into the state, then call [`Source::pump`].
    Append(Entry),
    /// Read the table.
    Read(Query),
    /// Answer a client.
    Reply(Ticket, Verdict),
    /// Store a snapshot, name it in the table if its base is still this one, and trim the log.
    Store(Arc<Snapshot>, Base),
    /// Append an entry on the condition that the head is the revision before it.
    Transact(Entry),
}

/// Accepts operations and follows the log.
#[derive(Debug)]
pub struct Source {
    base: Base,
    /// Whether the last call failed; nothing is written until a read succeeds.
    down: bool,
    flight: Option<Flight>,
    head: Revision,
    polling: bool,
    queue: VecDeque<Pending>,
    /// Whether another node was faster; nothing is written until a read shows what it wrote.
    raced: bool,
    read_at: Moment,
    reading: Option<Query>,
    reads: Pace,
    store_after: u64,
    stored_at: Moment,
    writes: Pace,
}

impl Source {
    /// Begins; the seed sets the jitter, and how soon this node stores a snapshot.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            base: Base::default(),
            down: false,
            flight: None,
            head: Revision::default(),
            polling: true,
            queue: VecDeque::new(),
            raced: false,
            read_at: Moment::default(),
            reading: None,
            reads: Pace::new(READ_GAP, seed),
            store_after: SNAPSHOT_EVERY + seed % SNAPSHOT_EVERY,
            stored_at: Moment::default(),
            writes: Pace::new(WRITE_GAP, seed.rotate_left(1)),
        }
    }

    /// Says whether this node reads the log periodically; any node reads for its own clients.
    pub fn set_polling(&mut self, polling: bool) {
        self.polling = polling;
    }

    /// Takes an operation from a client.
    pub fn submit(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        ticket: Ticket,
        operation: Operation,
    ) -> Vec<Action> {
        let pending = Pending::new(now, ticket, Request::Accept(operation));
        self.ask(now, snapshot, pending)
    }

    /// Takes an operation that its client has asked for before, perhaps at another node, and whose
    /// outcome it does not know: an earlier transaction with it may still be on its way.
    pub fn resubmit(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        ticket: Ticket,
        operation: Operation,
    ) -> Vec<Action> {
        let pending = Pending::new(now, ticket, Request::Accept(operation));
        self.ask(now, snapshot, pending.in_doubt())
    }

    /// Takes a client's question of what became of an operation.
    pub fn look(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        ticket: Ticket,
        id: String,
    ) -> Vec<Action> {
        let pending = Pending::new(now, ticket, Request::Look(id));
        self.ask(now, snapshot, pending)
    }

    fn ask(&mut self, now: Moment, snapshot: &Snapshot, pending: Pending) -> Vec<Action> {
        if self.queue.len() >= QUEUE_MAX {
            return vec![Action::Reply(pending.ticket, Verdict::Busy)];
        }
        self.queue.push_back(pending);
        self.pump(now, snapshot)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Moment, snapshot: &Arc<Snapshot>) -> Vec<Action> {
        let mut actions = self.expire(now);
        actions.extend(self.pump(now, snapshot));
        actions.extend(self.store(now, snapshot));
        actions
    }

    fn expire(&mut self, now: Moment) -> Vec<Action> {
        let (late, rest): (Vec<_>, Vec<_>) = self
            .queue
            .drain(..)
            .partition(|pending| now.since(pending.since) >= WAIT_MAX);
        self.queue = rest.into();
        late.iter()
            .map(|pending| Action::Reply(pending.ticket, pending.expired()))
            .collect()
    }

    /// Notes that a read of the table has ended; its snapshot and entries are in `snapshot` already.
    pub fn caught_up(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        page: Option<&Page>,
    ) -> Vec<Action> {
        let query = self.reading.take().unwrap_or_default();
        let Some(page) = page else {
            self.down = true;
            self.reads.failed(now);
            return self.expire(now);
        };
        self.down = false;
        self.raced &= !self.writes.ready(now);
        self.base = page.base;
        if page.entries.len() < PAGE && snapshot.revision < page.head && page.snapshot.is_none() {
            // The entries don't follow on what is held here; reading again at once would not help.
            self.reads.failed(now);
        } else {
            self.reads.succeeded();
        }
        self.head = self.head.max(page.head);
        let mut actions = self.settle(&query, page);
        actions.extend(self.pump(now, snapshot));
        actions
    }

    fn settle(&mut self, query: &Query, page: &Page) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue.retain_mut(|pending| {
            let asked = query.ids.iter().any(|id| id == pending.id());
            let verdict = if asked { pending.settle(page) } else { None };
            match verdict {
                Some(verdict) => {
                    actions.push(Action::Reply(pending.ticket, verdict));
                    false
                }
                None => true,
            }
        });
        actions
    }

    /// Takes the outcome of the transaction in flight.
    pub fn transacted(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        revision: Revision,
        outcome: Outcome,
    ) -> Vec<Action> {
        let Some(flight) = self
            .flight
            .take_if(|flight| flight.entry.revision == revision)
        else {
            return Vec::new();
        };
        match outcome {
            Outcome::Committed => return self.committed(flight),
            Outcome::Conflict => {
                self.writes.outrun(now);
                self.raced = true;
            }
            Outcome::Unsent | Outcome::Unknown => {
                self.writes.failed(now);
                self.down = true;
            }
        }
        let sent = (outcome == Outcome::Unknown).then_some(revision);
        for mut pending in flight.pending.into_iter().rev() {
            pending.doubtful = true;
            pending.sent = pending.sent.max(sent);
            self.queue.push_front(pending);
        }
        self.pump(now, snapshot)
    }

    fn committed(&mut self, flight: Flight) -> Vec<Action> {
        self.writes.succeeded();
        let revision = flight.entry.revision;
        self.head = self.head.max(revision);
        // The transaction was conditional on the head, so nothing else was accepted in between.
        for pending in &mut self.queue {
            pending.passed_by(revision);
        }
        let mut actions = vec![Action::Append(flight.entry)];
        actions.extend(
            flight
                .pending
                .iter()
                .map(|pending| Action::Reply(pending.ticket, Verdict::Accepted(revision))),
        );
        actions
    }

    /// Sends what may be sent now.
    pub fn pump(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        let mut actions = self.transact(now, snapshot);
        actions.extend(self.read(now, snapshot));
        actions
    }

    fn read(&mut self, now: Moment, snapshot: &Snapshot) -> Option<Action> {
        let due = self.polling && now.since(self.read_at) >= POLL_INTERVAL;
        let behind = self.head > snapshot.revision;
        // A read that settles doubts comes right before the write, while nobody else was faster yet.
        let writable = self.writes.ready(now);
        let asked = writable && self.queue.iter().any(|pending| pending.doubtful);
        let probe = self.down && !self.queue.is_empty();
        let wanted = due || behind || asked || probe;
        if self.reading.is_some() || !wanted || !self.reads.ready(now) {
            return None;
        }
        self.reads.used(now);
        self.read_at = now;
        let ids = self
            .queue
            .iter()
            .filter(|pending| writable && pending.doubtful)
            .take(BATCH_MAX)
            .map(|pending| pending.id().to_string())
            .collect();
        let query = Query {
            after: snapshot.revision,
            ids,
        };
        self.reading = Some(query.clone());
        Some(Action::Read(query))
    }

    fn transact(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        let busy = self.flight.is_some() || self.reading.is_some() || self.down || self.raced;
        if busy || self.head > snapshot.revision || !self.writes.ready(now) {
            return Vec::new();
        }
        if self.queue.iter().all(|pending| pending.doubtful) {
            return Vec::new();
        }
        let mut batch = Batch::new(snapshot);
        for pending in self.queue.drain(..) {
            batch.offer(now, pending);
        }
        self.queue = std::mem::take(&mut batch.rest);
        let mut actions: Vec<Action> = std::mem::take(&mut batch.refused)
            .into_iter()
            .map(|(ticket, faults)| Action::Reply(ticket, Verdict::Refused(faults)))
            .collect();
        if let Some(flight) = batch.flight() {
            self.writes.used(now);
            actions.push(Action::Transact(flight.entry.clone()));
            self.flight = Some(flight);
        }
        actions
    }

    fn store(&mut self, now: Moment, snapshot: &Arc<Snapshot>) -> Option<Action> {
        let ahead = snapshot.revision.0.saturating_sub(self.base.revision.0);
        let due = ahead >= self.store_after && now.since(self.stored_at) >= STORE_GAP;
        if self.down || !self.polling || !due {
            return None;
        }
        self.stored_at = now;
        Some(Action::Store(snapshot.clone(), self.base))
    }
}

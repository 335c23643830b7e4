//! Accepts configuration changes by transactions on the platform's table, the only source of truth.
//! A transaction is conditional on the head revision, appends an entry to the log and advances the
//! head. It also writes a receipt for each operation, so an operation id is never applied twice, even
//! if an answer is lost or the operation is submitted at two nodes. See docs/design/source.md.

use {
    crate::{
        snapshot::Snapshot,
        types::{Moment, Revision},
        validate::Fault,
    },
    std::{
        collections::VecDeque,
        fmt::{self, Display, Formatter},
        sync::Arc,
        time::Duration,
    },
};

pub use self::{
    limiter::{BACKOFF_MAX, READ_INTERVAL_MIN, WRITE_INTERVAL_MIN},
    log::{Entry, Operation, PAGE, Page, Query, Receipt, SnapshotRef},
};

mod batch;
mod limiter;
mod log;

use {
    batch::{Batch, Pending, Request, Transaction},
    limiter::Limiter,
};

/// Interval at which a polling node reads the log while it knows of no change.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of operations in one transaction.
pub const BATCH_OPERATIONS_MAX: usize = 128;
/// Maximum number of changes in one transaction, unless a single operation has more.
pub const BATCH_CHANGES_MAX: usize = 1024;
/// Maximum number of client requests that wait at one node. Further ones get [`OperationStatus::Busy`].
pub const QUEUE_MAX: usize = 1024;
/// Maximum time that a request waits for the platform before its client gets an answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum number of revisions between two snapshots in the object store. Each node adds an offset
/// below this number, so that the nodes do not all store one at the same revision.
pub const SNAPSHOT_GAP_REVISIONS: u64 = 256;
/// Number of revisions before the newest snapshot whose log entries and receipts are kept.
pub const RETAINED_REVISIONS: u64 = 20_000;
/// Minimum time between two attempts of one node to store a snapshot.
pub const STORE_INTERVAL_MIN: Duration = Duration::from_secs(5);

/// Identifies a client call that waits for its result. Unique within a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Result of an operation, as the client gets it.
#[derive(Debug, Clone, PartialEq)]
pub enum OperationStatus {
    /// No operation with this id has been accepted so far.
    Absent,
    /// The operation is part of this revision.
    Accepted(Revision),
    /// Too many requests wait at this node. Nothing was sent.
    Busy,
    /// The whole operation is refused. Lists all of its faults.
    Refused(Vec<Fault>),
    /// The platform was not available, and this call sent nothing that can have been accepted.
    Unavailable,
    /// The operation may have been accepted. A later request with the same id returns its result.
    Unknown,
}

/// Outcome of a transaction at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect.
    Committed,
    /// The head had advanced, or one of the operations already has a receipt.
    Conflict,
    /// The transaction was not sent.
    Unsent,
    /// The transaction was sent, but its answer is missing or unusable.
    Unknown,
}

impl Display for TransactionOutcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Committed => "committed",
            Self::Conflict => "conflict",
            Self::Unsent => "unsent",
            Self::Unknown => "unknown",
        })
    }
}

/// Action that the caller of [`Source`] has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Apply a committed entry to the snapshot, then call [`Source::pump`].
    Append(Entry),
    /// Read the table, then call [`Source::finish_read`].
    Read(Query),
    /// Answer a client.
    Reply(CallId, OperationStatus),
    /// Store a snapshot, record it in the table if the base is still this one, and trim the log.
    Store(Arc<Snapshot>, SnapshotRef),
    /// Append an entry if the head is the revision before it, then call [`Source::finish_transaction`].
    Transact(Entry),
}

/// Queue of client requests at one node, with the state of its reads and writes at the platform.
/// Does no I/O: its methods return [`Action`]s.
#[derive(Debug)]
pub struct Source {
    base: SnapshotRef,
    /// Whether the last call failed. Nothing is written until a read succeeds.
    down: bool,
    /// Transaction in flight.
    transaction: Option<Transaction>,
    head: Revision,
    polling: bool,
    queue: VecDeque<Pending>,
    /// Whether another node committed first. Nothing is written until a read shows its revision.
    conflicted: bool,
    read_at: Moment,
    /// Query of the read in flight.
    query: Option<Query>,
    read_limiter: Limiter,
    store_after: u64,
    stored_at: Moment,
    write_limiter: Limiter,
}

impl Source {
    /// Creates a source that polls. The seed determines the jitter of waits and the number of
    /// revisions after which this node stores a snapshot.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            base: SnapshotRef::default(),
            down: false,
            transaction: None,
            head: Revision::default(),
            polling: true,
            queue: VecDeque::new(),
            conflicted: false,
            read_at: Moment::default(),
            query: None,
            read_limiter: Limiter::new(READ_INTERVAL_MIN, seed),
            store_after: SNAPSHOT_GAP_REVISIONS + seed % SNAPSHOT_GAP_REVISIONS,
            stored_at: Moment::default(),
            write_limiter: Limiter::new(WRITE_INTERVAL_MIN, seed.rotate_left(1)),
        }
    }

    /// Sets whether this node reads the log periodically. Any node reads for its own clients.
    pub fn set_polling(&mut self, polling: bool) {
        self.polling = polling;
    }

    /// Queues a client's new operation.
    pub fn submit(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        call_id: CallId,
        operation: Operation,
    ) -> Vec<Action> {
        let pending = Pending::new(now, call_id, Request::Submit(operation));
        self.enqueue(now, snapshot, pending)
    }

    /// Queues an operation that the client has submitted before, perhaps at another node, without
    /// learning its outcome. An earlier transaction with it may still be in flight.
    pub fn resubmit(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        call_id: CallId,
        operation: Operation,
    ) -> Vec<Action> {
        let pending = Pending::new(now, call_id, Request::Submit(operation));
        self.enqueue(now, snapshot, pending.possibly_sent())
    }

    /// Queues a client's request for the result of the operation with this id.
    pub fn look_up(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        call_id: CallId,
        id: String,
    ) -> Vec<Action> {
        let pending = Pending::new(now, call_id, Request::Lookup(id));
        self.enqueue(now, snapshot, pending)
    }

    fn enqueue(&mut self, now: Moment, snapshot: &Snapshot, pending: Pending) -> Vec<Action> {
        if self.queue.len() >= QUEUE_MAX {
            return vec![Action::Reply(pending.call_id, OperationStatus::Busy)];
        }
        self.queue.push_back(pending);
        self.pump(now, snapshot)
    }

    /// Answers requests that have waited for [`REQUEST_TIMEOUT`], and returns the calls to the
    /// platform that are due.
    pub fn tick(&mut self, now: Moment, snapshot: &Arc<Snapshot>) -> Vec<Action> {
        let mut actions = self.expire(now);
        actions.extend(self.pump(now, snapshot));
        actions.extend(self.start_store(now, snapshot));
        actions
    }

    fn expire(&mut self, now: Moment) -> Vec<Action> {
        let (expired, remaining): (Vec<_>, Vec<_>) = self
            .queue
            .drain(..)
            .partition(|pending| now.since(pending.queued_at) >= REQUEST_TIMEOUT);
        self.queue = remaining.into();
        expired
            .iter()
            .map(|pending| Action::Reply(pending.call_id, pending.expiry_status()))
            .collect()
    }

    /// Records that a read of the table has ended, with `None` if it failed. The page's snapshot and
    /// entries must already be applied to `snapshot`.
    pub fn finish_read(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        page: Option<&Page>,
    ) -> Vec<Action> {
        let query = self.query.take().unwrap_or_default();
        let Some(page) = page else {
            self.down = true;
            self.read_limiter.record_failure(now);
            return self.expire(now);
        };
        self.down = false;
        self.conflicted &= !self.write_limiter.is_ready(now);
        self.base = page.base;
        if page.entries.len() < PAGE && snapshot.revision < page.head && page.snapshot.is_none() {
            // There is a gap between the held revision and the entries. An immediate read would
            // return the same, so wait first.
            self.read_limiter.record_failure(now);
        } else {
            self.read_limiter.record_success();
        }
        self.head = self.head.max(page.head);
        let mut actions = self.resolve_pending(&query, page);
        actions.extend(self.pump(now, snapshot));
        actions
    }

    fn resolve_pending(&mut self, query: &Query, page: &Page) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue.retain_mut(|pending| {
            let queried = query.ids.iter().any(|id| id == pending.id());
            let status = if queried { pending.resolve(page) } else { None };
            match status {
                Some(status) => {
                    actions.push(Action::Reply(pending.call_id, status));
                    false
                }
                None => true,
            }
        });
        actions
    }

    /// Records the outcome of the transaction in flight. Ignores other revisions.
    pub fn finish_transaction(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        revision: Revision,
        outcome: TransactionOutcome,
    ) -> Vec<Action> {
        let Some(transaction) = self
            .transaction
            .take_if(|transaction| transaction.entry.revision == revision)
        else {
            return Vec::new();
        };
        match outcome {
            TransactionOutcome::Committed => return self.finish_commit(transaction),
            TransactionOutcome::Conflict => {
                self.write_limiter.record_conflict(now);
                self.conflicted = true;
            }
            TransactionOutcome::Unsent | TransactionOutcome::Unknown => {
                self.write_limiter.record_failure(now);
                self.down = true;
            }
        }
        let unconfirmed = (outcome == TransactionOutcome::Unknown).then_some(revision);
        for mut pending in transaction.pending.into_iter().rev() {
            pending.needs_receipt = true;
            pending.unconfirmed = pending.unconfirmed.max(unconfirmed);
            self.queue.push_front(pending);
        }
        self.pump(now, snapshot)
    }

    fn finish_commit(&mut self, transaction: Transaction) -> Vec<Action> {
        self.write_limiter.record_success();
        let revision = transaction.entry.revision;
        self.head = self.head.max(revision);
        // The transaction was conditional on the head, so no other revision came in between.
        for pending in &mut self.queue {
            pending.exclude_revision(revision);
        }
        let mut actions = vec![Action::Append(transaction.entry)];
        actions.extend(
            transaction
                .pending
                .iter()
                .map(|pending| Action::Reply(pending.call_id, OperationStatus::Accepted(revision))),
        );
        actions
    }

    /// Returns the transaction or read that can be sent now, with refusals of invalid operations.
    pub fn pump(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        let mut actions = self.start_transaction(now, snapshot);
        actions.extend(self.start_read(now, snapshot));
        actions
    }

    fn start_read(&mut self, now: Moment, snapshot: &Snapshot) -> Option<Action> {
        let due = self.polling && now.since(self.read_at) >= POLL_INTERVAL;
        let behind = self.head > snapshot.revision;
        // A read for receipts waits until a write is possible: the write follows it at once, which
        // leaves other nodes the least time to commit first.
        let writable = self.write_limiter.is_ready(now);
        let receipts_needed = writable && self.queue.iter().any(|pending| pending.needs_receipt);
        let probe = self.down && !self.queue.is_empty();
        let needed = due || behind || receipts_needed || probe;
        if self.query.is_some() || !needed || !self.read_limiter.is_ready(now) {
            return None;
        }
        self.read_limiter.record_call(now);
        self.read_at = now;
        let ids = self
            .queue
            .iter()
            .filter(|pending| writable && pending.needs_receipt)
            .take(BATCH_OPERATIONS_MAX)
            .map(|pending| pending.id().to_string())
            .collect();
        let query = Query {
            after: snapshot.revision,
            ids,
        };
        self.query = Some(query.clone());
        Some(Action::Read(query))
    }

    fn start_transaction(&mut self, now: Moment, snapshot: &Snapshot) -> Vec<Action> {
        let busy =
            self.transaction.is_some() || self.query.is_some() || self.down || self.conflicted;
        if busy || self.head > snapshot.revision || !self.write_limiter.is_ready(now) {
            return Vec::new();
        }
        if self.queue.iter().all(|pending| pending.needs_receipt) {
            return Vec::new();
        }
        let mut batch = Batch::new(snapshot);
        for pending in self.queue.drain(..) {
            batch.add(now, pending);
        }
        self.queue = std::mem::take(&mut batch.remaining);
        let mut actions: Vec<Action> = std::mem::take(&mut batch.refused)
            .into_iter()
            .map(|(call_id, faults)| Action::Reply(call_id, OperationStatus::Refused(faults)))
            .collect();
        if let Some(transaction) = batch.into_transaction() {
            self.write_limiter.record_call(now);
            actions.push(Action::Transact(transaction.entry.clone()));
            self.transaction = Some(transaction);
        }
        actions
    }

    fn start_store(&mut self, now: Moment, snapshot: &Arc<Snapshot>) -> Option<Action> {
        let ahead = snapshot.revision.0.saturating_sub(self.base.revision.0);
        let due = ahead >= self.store_after && now.since(self.stored_at) >= STORE_INTERVAL_MIN;
        if self.down || !self.polling || !due {
            return None;
        }
        self.stored_at = now;
        Some(Action::Store(snapshot.clone(), self.base))
    }
}

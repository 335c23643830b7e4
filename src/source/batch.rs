//! Selects the queued operations for one transaction, and resolves pending requests from receipts.

use {
    super::{
        BATCH_CHANGES_MAX, BATCH_OPERATIONS_MAX, CallId, Entry, Operation, OperationStatus, Page,
    },
    crate::{
        snapshot::Snapshot,
        types::{Moment, Revision},
        validate::{self, Fault},
    },
    std::collections::VecDeque,
};

/// Request of a client.
#[derive(Debug)]
pub(super) enum Request {
    Submit(Operation),
    Lookup(String),
}

/// Client request that has no answer yet.
#[derive(Debug)]
pub(super) struct Pending {
    /// Latest revision at which the table is known to hold no receipt for it, if there is one.
    pub(super) absent_at: Option<Revision>,
    /// Whether the table has to be asked for its receipt before anything else is done with it.
    pub(super) needs_receipt: bool,
    pub(super) request: Request,
    /// Latest revision that an unanswered transaction with it can have created. `None` if there is no
    /// such transaction.
    pub(super) unconfirmed: Option<Revision>,
    pub(super) queued_at: Moment,
    pub(super) call_id: CallId,
}

impl Pending {
    pub(super) fn new(now: Moment, call_id: CallId, request: Request) -> Self {
        Self {
            absent_at: None,
            needs_receipt: matches!(request, Request::Lookup(_)),
            request,
            unconfirmed: None,
            queued_at: now,
            call_id,
        }
    }

    /// Marks the request as possibly sent before, in a transaction of unknown revision.
    pub(super) fn possibly_sent(mut self) -> Self {
        self.needs_receipt = true;
        self.unconfirmed = Some(Revision(u64::MAX));
        self
    }

    pub(super) fn id(&self) -> &str {
        match &self.request {
            Request::Submit(operation) => &operation.id,
            Request::Lookup(id) => id,
        }
    }

    /// Returns the status for a request that has waited for `REQUEST_TIMEOUT`.
    pub(super) fn expiry_status(&self) -> OperationStatus {
        match (&self.request, self.unconfirmed) {
            (Request::Submit(_), None) => OperationStatus::Unavailable,
            _ => OperationStatus::Unknown,
        }
    }

    /// Updates the request from a page that was read with its id, and returns the status if that
    /// decides it.
    pub(super) fn resolve(&mut self, page: &Page) -> Option<OperationStatus> {
        let receipt = page.receipts.iter().find(|(id, _)| id == self.id());
        let Some((_, receipt)) = receipt else {
            self.absent_at = Some(page.head);
            self.needs_receipt = false;
            // Every earlier transaction with it was based on this head or an older one.
            let latest = page.head.next();
            self.unconfirmed = self
                .unconfirmed
                .map(|revision| revision.min(latest))
                .filter(|revision| *revision > page.head);
            return match &self.request {
                Request::Submit(_) => None,
                Request::Lookup(_) => Some(OperationStatus::Absent),
            };
        };
        match &self.request {
            Request::Submit(operation) if operation.hash() != receipt.hash => {
                let fault = Fault::reused_id(&operation.id, receipt.revision);
                Some(OperationStatus::Refused(vec![fault]))
            }
            _ => Some(OperationStatus::Accepted(receipt.revision)),
        }
    }

    /// Records that this node committed a revision without this operation.
    pub(super) fn exclude_revision(&mut self, revision: Revision) {
        if self.absent_at.is_some_and(|head| head.next() == revision) {
            self.absent_at = Some(revision);
        }
        // Only this one revision is ruled out. If the operation can be part of another one, the value
        // stays until its receipt is read.
        self.unconfirmed = self
            .unconfirmed
            .filter(|unconfirmed| *unconfirmed != revision);
    }
}

/// Transaction without an outcome yet, and the requests that it answers.
#[derive(Debug)]
pub(super) struct Transaction {
    pub(super) entry: Entry,
    pub(super) pending: Vec<Pending>,
}

/// Queue divided into the operations of the next transaction, refused ones, and remaining requests.
pub(super) struct Batch {
    changes: usize,
    /// Whether a transaction has to be sent even without operations. It advances the head, so that
    /// an unanswered transaction cannot take effect after its operation was refused.
    needs_fence: bool,
    operations: Vec<Operation>,
    pending: Vec<Pending>,
    pub(super) refused: Vec<(CallId, Vec<Fault>)>,
    pub(super) remaining: VecDeque<Pending>,
    state: Snapshot,
}

impl Batch {
    pub(super) fn new(snapshot: &Snapshot) -> Self {
        let mut state = snapshot.clone();
        state.revision = snapshot.revision.next();
        Self {
            changes: 0,
            needs_fence: false,
            operations: Vec::new(),
            pending: Vec::new(),
            refused: Vec::new(),
            remaining: VecDeque::new(),
            state,
        }
    }

    pub(super) fn add(&mut self, now: Moment, mut pending: Pending) {
        let Request::Submit(operation) = &pending.request else {
            self.remaining.push_back(pending);
            return;
        };
        if pending.needs_receipt || !self.has_room(operation) {
            self.remaining.push_back(pending);
            return;
        }
        let Err(faults) = validate::apply(&mut self.state, operation, now) else {
            self.changes += operation.changes.len();
            self.operations.push(operation.clone());
            self.pending.push(pending);
            return;
        };
        // An operation may be refused only against the table's current head: it may have been
        // accepted before, or depend on an operation that was accepted through another node.
        let current = pending.absent_at.map(Revision::next) == Some(self.state.revision);
        if !current || !self.pending.is_empty() {
            pending.needs_receipt = true;
            self.remaining.push_back(pending);
        } else if pending.unconfirmed.is_some() {
            self.needs_fence = true;
            self.remaining.push_back(pending);
        } else {
            self.refused.push((pending.call_id, faults));
        }
    }

    fn has_room(&self, operation: &Operation) -> bool {
        let duplicate = self.operations.iter().any(|other| other.id == operation.id);
        let changes = self.changes + operation.changes.len();
        !duplicate
            && self.operations.len() < BATCH_OPERATIONS_MAX
            && (self.changes == 0 || changes <= BATCH_CHANGES_MAX)
    }

    pub(super) fn into_transaction(self) -> Option<Transaction> {
        if self.pending.is_empty() && !self.needs_fence {
            return None;
        }
        Some(Transaction {
            entry: Entry {
                digest: self.state.digest,
                operations: self.operations,
                revision: self.state.revision,
            },
            pending: self.pending,
        })
    }
}

//! Selects the queued operations for one transaction, and resolves pending requests from receipts.

use {
    super::{BATCH_CHANGES, BATCH_MAX, Entry, Operation, Page, Ticket, Verdict},
    crate::{
        snapshot::Snapshot,
        validate::{self, Fault},
        world::{Moment, Revision},
    },
    std::collections::VecDeque,
};

/// Request of a client.
#[derive(Debug)]
pub(super) enum Request {
    Accept(Operation),
    Look(String),
}

/// Client request that has no answer yet.
#[derive(Debug)]
pub(super) struct Pending {
    /// Latest revision at which the table is known to hold no receipt for it, if there is one.
    pub(super) absent: Option<Revision>,
    /// Whether the table has to be asked for its receipt before anything else is done with it.
    pub(super) doubtful: bool,
    pub(super) request: Request,
    /// Latest revision that an unanswered transaction with it can have created. `None` if there is no
    /// such transaction.
    pub(super) sent: Option<Revision>,
    pub(super) since: Moment,
    pub(super) ticket: Ticket,
}

impl Pending {
    pub(super) fn new(now: Moment, ticket: Ticket, request: Request) -> Self {
        Self {
            absent: None,
            doubtful: matches!(request, Request::Look(_)),
            request,
            sent: None,
            since: now,
            ticket,
        }
    }

    /// Marks the request as possibly sent before, in a transaction of unknown revision.
    pub(super) fn in_doubt(mut self) -> Self {
        self.doubtful = true;
        self.sent = Some(Revision(u64::MAX));
        self
    }

    pub(super) fn id(&self) -> &str {
        match &self.request {
            Request::Accept(operation) => &operation.id,
            Request::Look(id) => id,
        }
    }

    /// Returns the verdict for a request that has waited for `WAIT_MAX`.
    pub(super) fn expired(&self) -> Verdict {
        match (&self.request, self.sent) {
            (Request::Accept(_), None) => Verdict::Unavailable,
            _ => Verdict::Unknown,
        }
    }

    /// Updates the request from a page that was read with its id, and returns the verdict if that
    /// decides it.
    pub(super) fn settle(&mut self, page: &Page) -> Option<Verdict> {
        let receipt = page.receipts.iter().find(|(id, _)| id == self.id());
        let Some((_, receipt)) = receipt else {
            self.absent = Some(page.head);
            self.doubtful = false;
            // Every earlier transaction with it was based on this head or an older one.
            let latest = page.head.next();
            self.sent = self
                .sent
                .map(|revision| revision.min(latest))
                .filter(|revision| *revision > page.head);
            return match &self.request {
                Request::Accept(_) => None,
                Request::Look(_) => Some(Verdict::Absent),
            };
        };
        match &self.request {
            Request::Accept(operation) if operation.hash() != receipt.hash => {
                let fault = Fault::reused(&operation.id, receipt.revision);
                Some(Verdict::Refused(vec![fault]))
            }
            _ => Some(Verdict::Accepted(receipt.revision)),
        }
    }

    /// Records that this node committed a revision without this operation.
    pub(super) fn passed_by(&mut self, revision: Revision) {
        if self.absent.is_some_and(|head| head.next() == revision) {
            self.absent = Some(revision);
        }
        // Only this one revision is ruled out. If the operation can be part of another one, the value
        // stays until its receipt is read.
        self.sent = self.sent.filter(|sent| *sent != revision);
    }
}

/// Transaction without an outcome yet, and the requests that it answers.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) entry: Entry,
    pub(super) pending: Vec<Pending>,
}

/// Queue divided into the operations of the next transaction, refused ones, and remaining requests.
pub(super) struct Batch {
    changes: usize,
    /// Whether a transaction has to be sent even without operations. It advances the head, so that
    /// an unanswered transaction cannot take effect after its operation was refused.
    fence: bool,
    operations: Vec<Operation>,
    pending: Vec<Pending>,
    pub(super) refused: Vec<(Ticket, Vec<Fault>)>,
    pub(super) rest: VecDeque<Pending>,
    state: Snapshot,
}

impl Batch {
    pub(super) fn new(snapshot: &Snapshot) -> Self {
        let mut state = snapshot.clone();
        state.revision = snapshot.revision.next();
        Self {
            changes: 0,
            fence: false,
            operations: Vec::new(),
            pending: Vec::new(),
            refused: Vec::new(),
            rest: VecDeque::new(),
            state,
        }
    }

    pub(super) fn offer(&mut self, now: Moment, mut pending: Pending) {
        let Request::Accept(operation) = &pending.request else {
            self.rest.push_back(pending);
            return;
        };
        if pending.doubtful || !self.has_room(operation) {
            self.rest.push_back(pending);
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
        let current = pending.absent.map(Revision::next) == Some(self.state.revision);
        if !current || !self.pending.is_empty() {
            pending.doubtful = true;
            self.rest.push_back(pending);
        } else if pending.sent.is_some() {
            self.fence = true;
            self.rest.push_back(pending);
        } else {
            self.refused.push((pending.ticket, faults));
        }
    }

    fn has_room(&self, operation: &Operation) -> bool {
        let twice = self.operations.iter().any(|other| other.id == operation.id);
        let changes = self.changes + operation.changes.len();
        !twice
            && self.operations.len() < BATCH_MAX
            && (self.changes == 0 || changes <= BATCH_CHANGES)
    }

    pub(super) fn flight(self) -> Option<Flight> {
        if self.pending.is_empty() && !self.fence {
            return None;
        }
        Some(Flight {
            entry: Entry {
                digest: self.state.digest,
                operations: self.operations,
                revision: self.state.revision,
            },
            pending: self.pending,
        })
    }
}

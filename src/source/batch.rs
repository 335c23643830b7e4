//! Gathers the operations that one transaction is to accept.

use {
    super::{BATCH_CHANGES, BATCH_MAX, Entry, Operation, Page, Ticket, Verdict},
    crate::{
        snapshot::Snapshot,
        validate::{self, Fault},
        world::{Moment, Revision},
    },
    std::collections::VecDeque,
};

/// What a client asks for.
#[derive(Debug)]
pub(super) enum Request {
    Accept(Operation),
    Look(String),
}

/// A client's request that is not answered yet.
#[derive(Debug)]
pub(super) struct Pending {
    /// The head at which the table had no receipt of it.
    pub(super) absent: Option<Revision>,
    /// Whether its receipt has to be looked for before anything else.
    pub(super) doubtful: bool,
    pub(super) request: Request,
    /// The revision it would be if a transaction without an answer took effect.
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

    /// Takes it that a transaction with it was sent, though not as which revision.
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

    /// Gives the verdict of one that has waited for too long.
    pub(super) fn expired(&self) -> Verdict {
        match (&self.request, self.sent) {
            (Request::Accept(_), None) => Verdict::Unavailable,
            _ => Verdict::Unknown,
        }
    }

    /// Takes what a read that asked for its receipt shows.
    pub(super) fn settle(&mut self, page: &Page) -> Option<Verdict> {
        let receipt = page.receipts.iter().find(|(id, _)| id == self.id());
        let Some((_, receipt)) = receipt else {
            self.absent = Some(page.head);
            self.doubtful = false;
            // Whoever sent it earlier built on a head that was no later than this one.
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

    /// Notes that this node wrote a revision which does not hold this operation.
    pub(super) fn passed_by(&mut self, revision: Revision) {
        if self.absent.is_some_and(|head| head.next() == revision) {
            self.absent = Some(revision);
        }
        // An earlier revision may hold it: only its receipt tells.
        self.sent = self.sent.filter(|sent| *sent != revision);
    }
}

/// A transaction without an outcome, and the operations in it.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) entry: Entry,
    pub(super) pending: Vec<Pending>,
}

/// What becomes of the queue.
pub(super) struct Batch {
    changes: usize,
    /// Whether an empty entry is needed, so that a transaction without an answer can't take effect
    /// after its operation was refused.
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
        // Only what the table itself shows can refuse: the operation may have been accepted before,
        // or rely on what was accepted elsewhere.
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

//! What the sidecar needs of a store: orders that others accept into it, and rows of its own.

use {
    super::{
        document::{Document, Order},
        frame::Contact,
        ramp::Phase,
    },
    crate::world::{Host, Service, Version},
    std::{future::Future, time::Duration},
};

/// Why a call to the store gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The history that was asked for is gone; everything has to be read anew.
    #[error("the history is gone")]
    HistoryGone,
    /// It answered that nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// It can't be reached, or did not answer in time: a write may have been done.
    #[error("no answer: {0}")]
    Unreachable(String),
    /// The answer can't be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// What an operator has written.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    /// The newest document, if it was written since.
    pub document: Option<Document>,
    /// What was written and can't be read; it is left out.
    pub faults: Vec<Fault>,
    /// From where to go on reading.
    pub mark: u64,
    /// Moves between versions.
    pub moves: Vec<Order>,
    /// What the mesh has recorded of moves, if everything was read.
    pub records: Vec<Record>,
}

/// Where nodes can be found.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    /// Rows that can't be read; they name no node.
    pub faults: Vec<Fault>,
    /// The nodes.
    pub found: Vec<Contact>,
}

/// What the mesh has recorded of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// How long it has been under way.
    pub elapsed: Duration,
    /// The order's place in the store's history.
    pub mark: u64,
    /// How far it has come.
    pub phase: Phase,
    /// The service.
    pub service: Service,
    /// The new version.
    pub to: Version,
}

/// A store, as its adapter offers it.
pub trait Store: 'static {
    /// Reads everything that operators have written, and how far the moves among it have come.
    fn orders(&self) -> impl Future<Output = Result<Orders, Fault>>;

    /// Waits until operators write something after `mark`, or `wait` is over.
    fn orders_after(
        &self,
        mark: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Orders, Fault>>;

    /// Records how far a move has come, unless its end is recorded already; gives what stands then.
    fn record(&self, record: &Record) -> impl Future<Output = Result<Record, Fault>>;

    /// Writes where a node can be found.
    fn register(&self, contact: &Contact) -> impl Future<Output = Result<(), Fault>>;

    /// Reads where nodes can be found.
    fn contacts(&self) -> impl Future<Output = Result<Contacts, Fault>>;

    /// Removes a node that is gone for good.
    fn remove(&self, host: &Host) -> impl Future<Output = Result<(), Fault>>;
}

//! Interface to the platform's store, which holds the operator's documents and orders, and rows written by the nodes.

use {
    super::{
        departure::Departure,
        document::{Document, Order},
        evacuation,
        frame::Contact,
        history::{Epoch, Position},
        rollout::Phase,
    },
    crate::types::{Host, Service, Version},
    std::{future::Future, time::Duration},
};

/// Reason why a call to the store failed, or why a row of it was left out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The store no longer has the requested history; everything has to be read again.
    #[error("the store no longer has the requested history")]
    HistoryGone,
    /// The store answered with an error status and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The store is unreachable or did not answer in time; a write may have been done.
    #[error("no answer: {0}")]
    Unreachable(String),
    /// The answer, or a row of it, cannot be decoded.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Documents and orders read from the store.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Newest document, `None` if it has not been written since the last read.
    pub document: Option<Document>,
    /// Changes of the evacuated domains. After a read of everything, each evacuated domain.
    pub evacuations: Vec<evacuation::Change>,
    /// Faults of rows that cannot be decoded and were left out.
    pub faults: Vec<Fault>,
    /// Position in the store's history after which the next read continues.
    pub mark: Position,
    /// Orders for rollouts.
    pub orders: Vec<Order>,
    /// Records of rollouts that nodes have written; empty unless everything was read.
    pub records: Vec<RolloutRecord>,
}

/// Contacts read from the store.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    /// Faults of rows that cannot be decoded and were left out.
    pub faults: Vec<Fault>,
    /// Contacts of the registered nodes.
    pub nodes: Vec<Contact>,
}

/// Record of a rollout, written by the first reader of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Time since the rollout began.
    pub elapsed: Duration,
    /// Position of the order in the store's history, which identifies the order.
    pub mark: Position,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Service that is rolled out.
    pub service: Service,
    /// New version.
    pub to: Version,
}

/// Client of a platform's store, implemented by the platform's adapter.
pub trait Store: 'static {
    /// Returns the epoch that the last answer belongs to; `None` if the store does not state it.
    fn epoch(&self) -> Option<Epoch>;

    /// Reads all documents and orders, and the records of rollouts.
    fn read_changes(&self) -> impl Future<Output = Result<Changes, Fault>>;

    /// Reads the documents and orders written after `mark`. Waits up to `wait` for the first of them. Returns
    /// [`Fault::HistoryGone`] if the store is in another epoch than `mark`.
    fn read_changes_after(
        &self,
        mark: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;

    /// Writes the record of a rollout, unless its end is recorded already. Returns the record that stands.
    fn write_record(
        &self,
        record: &RolloutRecord,
    ) -> impl Future<Output = Result<RolloutRecord, Fault>>;

    /// Writes the contact of a node.
    fn write_contact(&self, contact: &Contact) -> impl Future<Output = Result<(), Fault>>;

    /// Reads the contacts of all nodes.
    fn read_contacts(&self) -> impl Future<Output = Result<Contacts, Fault>>;

    /// Writes the departure of the upstream on a host, in place of an earlier one.
    fn write_departure(
        &self,
        host: &Host,
        departure: &Departure,
    ) -> impl Future<Output = Result<(), Fault>>;

    /// Reads the last departure of the upstream on a host. One that cannot be decoded counts as none, as another writer
    /// has left it there.
    fn read_departure(&self, host: &Host)
    -> impl Future<Output = Result<Option<Departure>, Fault>>;

    /// Removes the contact of a node that is gone for good, and the departure of its upstream.
    fn remove_contact(&self, host: &Host) -> impl Future<Output = Result<(), Fault>>;
}

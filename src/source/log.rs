//! What the platform's table holds of the accepted configuration, and how it is read.

use {
    crate::{
        resource::{Change, Key, Spec},
        snapshot::{Digest, Snapshot},
        world::Revision,
    },
    serde::{Deserialize, Serialize},
};

/// The most rows of the log that one read gives.
pub const PAGE: usize = 500;

/// A group of changes that an operator wants accepted together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The changes, each with the resource version it replaces if the operator stated one.
    pub changes: Vec<(Change, Option<Revision>)>,
    /// Chosen by the client, so that asking again never applies twice.
    pub id: String,
}

impl Operation {
    /// Gives the hash of the changes as they were declared, which tells whether an id is used again for
    /// something else. What a node fills in differs from one time of asking to the next.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let changes: Vec<_> = self
            .changes
            .iter()
            .map(|(change, precondition)| (declared(change), precondition))
            .collect();
        let bytes = postcard::to_stdvec(&changes).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

fn declared(change: &Change) -> Change {
    match change {
        Change::Put(key, Spec::Rollout(rollout)) => {
            Change::Put(key.clone(), Spec::Rollout(rollout.clone().declared()))
        }
        other => other.clone(),
    }
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

/// The row that remembers an accepted operation, so that its id never applies twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The hash of the operation's changes.
    pub hash: u64,
    /// The revision that accepted it.
    pub revision: Revision,
}

/// The row that names the newest snapshot in the object store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The snapshot before it, kept for readers that are about to fetch it.
    pub previous: Revision,
    /// The newest snapshot's revision.
    pub revision: Revision,
}

/// What one consistent read of the table asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// The log is read after this revision.
    pub after: Revision,
    /// The operations whose receipts are wanted.
    pub ids: Vec<String>,
}

/// What one read of the table gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    /// The newest snapshot in the object store.
    pub base: Base,
    /// The log's entries after the query's revision, at most [`PAGE`].
    pub entries: Vec<Entry>,
    /// The latest accepted revision when the table was read.
    pub head: Revision,
    /// The receipts that there are among those asked for.
    pub receipts: Vec<(String, Receipt)>,
    /// The newest snapshot, where the log no longer reaches back to the query's revision.
    pub snapshot: Option<Box<Snapshot>>,
}

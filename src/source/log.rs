//! Rows of the accepted configuration in the platform's table, and the query that reads them.

use {
    crate::{
        resource::{Change, Key, Spec},
        snapshot::{Digest, Snapshot},
        types::Revision,
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of log entries that one read returns.
pub const PAGE: usize = 500;

/// Group of changes that are accepted or refused together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Changes, each with the resource version that it must replace, if the operator set one.
    pub changes: Vec<(Change, Option<Revision>)>,
    /// Identifier chosen by the client, so that a retry is never applied twice.
    pub id: String,
}

impl Operation {
    /// Returns the hash of the changes as the client declared them, by which an id that is reused for
    /// other changes is detected. Leaves out the fields that a node fills in, as they differ from one
    /// submission to the next.
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
            Change::Put(key.clone(), Spec::Rollout(rollout.clone().into_declared()))
        }
        other => other.clone(),
    }
}

/// Entry of the log, with the operations that one transaction accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Digest of the configuration after this entry.
    pub digest: Digest,
    /// Operations, in the order in which they apply.
    pub operations: Vec<Operation>,
    /// Revision that the entry creates.
    pub revision: Revision,
}

impl Entry {
    /// Returns the changes in order, each with the entry's revision.
    pub fn changes(&self) -> impl Iterator<Item = (Revision, Change)> {
        self.operations
            .iter()
            .flat_map(|operation| &operation.changes)
            .map(|(change, _)| (self.revision, change.clone()))
    }

    /// Returns the keys of the changed resources, with duplicates.
    pub fn changed_keys(&self) -> impl Iterator<Item = &Key> {
        self.operations
            .iter()
            .flat_map(|operation| &operation.changes)
            .map(|(change, _)| change.key())
    }
}

/// Row that records an accepted operation, so that its id is never applied twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Hash of the operation's changes, see [`Operation::hash`].
    pub hash: u64,
    /// Revision in which the operation was accepted.
    pub revision: Revision,
}

/// Row that refers to the newest snapshot in the object store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Revision of the snapshot before it, which is kept for readers that are about to fetch it.
    pub previous: Revision,
    /// Revision of the newest snapshot, or 0 if there is none.
    pub revision: Revision,
}

/// Parameters of one consistent read of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// Revision after which the log is read.
    pub after: Revision,
    /// Ids of the operations whose receipts are read.
    pub ids: Vec<String>,
}

/// Result of one read of the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    /// Reference to the newest snapshot in the object store.
    pub base: SnapshotRef,
    /// Log entries after the query's revision, or after `snapshot` if there is one; at most
    /// [`PAGE`].
    pub entries: Vec<Entry>,
    /// Latest accepted revision when the table was read.
    pub head: Revision,
    /// Requested receipts that exist, each with its operation id.
    pub receipts: Vec<(String, Receipt)>,
    /// Newest snapshot, if it is newer than the query's revision and the log has been trimmed past
    /// that revision, or the head is more than [`PAGE`] revisions ahead of it.
    pub snapshot: Option<Box<Snapshot>>,
}

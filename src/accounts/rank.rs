//! Rendezvous hashing: orders the nodes of a region for each account, so that ownership is spread evenly and moves only
//! for the accounts of a node that is lost or added.

use {
    crate::types::{AccountName, Host},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The rank of a node as the owner of an account; the highest one owns it. The host breaks ties between equal hashes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64, Host);

impl Rank {
    /// Returns the rank of a host for an account.
    #[must_use]
    pub fn new(account: &AccountName, host: &Host) -> Self {
        let seed = xxh3_64(host.as_str().as_bytes());
        let hash = xxh3_64_with_seed(account.as_str().as_bytes(), seed);
        Self(hash, host.clone())
    }
}

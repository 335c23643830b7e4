//! Counts the requests of accounts for the metrics.
//!
//! Designed for documents with many accounts: only those with the most requests have figures of their own, so that the
//! number of time series is bounded.

use {
    crate::types::AccountName,
    std::{cmp::Reverse, collections::HashMap},
};

/// Number of accounts with figures of their own.
pub const ACCOUNTS_MAX: usize = 32;

/// Requests of an account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that were within the limit.
    pub admitted: u64,
    /// Requests that were refused as they were over the limit.
    pub refused: u64,
}

impl Count {
    fn total(self) -> u64 {
        self.admitted + self.refused
    }
}

/// Requests of all accounts at this node.
#[derive(Debug, Default)]
pub struct Usage(HashMap<AccountName, Count>);

impl Usage {
    /// Counts a request.
    pub fn record(&mut self, account: &AccountName, admitted: bool) {
        if !self.0.contains_key(account) {
            self.0.insert(account.clone(), Count::default());
        }
        if let Some(count) = self.0.get_mut(account) {
            count.admitted += u64::from(admitted);
            count.refused += u64::from(!admitted);
        }
    }

    /// Returns the accounts with the most requests, and the sum over all others.
    #[must_use]
    pub fn top(&self) -> (Vec<(&AccountName, Count)>, Count) {
        let mut counts: Vec<_> = self.0.iter().map(|(name, count)| (name, *count)).collect();
        counts.sort_unstable_by_key(|(name, count)| (Reverse(count.total()), *name));
        let rest = counts.split_off(counts.len().min(ACCOUNTS_MAX));
        let rest = rest
            .into_iter()
            .fold(Count::default(), |sum, (_, count)| Count {
                admitted: sum.admitted + count.admitted,
                refused: sum.refused + count.refused,
            });
        (counts, rest)
    }
}

//! Counts of answers per node, and the compact rows that carry them up the tree of a failure domain.
//! Counts are increments, so messages may be reordered and merged in any order.

use {
    super::{Tag, outcome::Tally},
    crate::types::{Host, Name, Version},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Answers of one host on one route, as counted by one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Count {
    /// Total duration of the requests.
    pub busy: Duration,
    /// Requests whose upstream crashed with them.
    pub crashed: u32,
    /// Requests that ended, whether they succeeded or not.
    pub done: u32,
    /// Requests that failed for another reason than a crash.
    pub failed: u32,
    /// Host that ran the requests.
    pub host: Host,
    /// Requests that were answered late, without those that failed.
    pub late: u32,
    /// Route of the requests.
    pub route: Name,
    /// Version that ran the requests.
    pub version: Version,
}

/// Version to which counts belong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// Old version; its rows are grouped by the failure domain of the upstream.
    Baseline,
    /// New version; its rows are grouped by host, so that one bad host can be told from a bad version.
    Candidate,
}

/// Sum of counts over hosts, nodes or time. All additions saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Total duration of the requests, in milliseconds.
    pub busy_ms: u32,
    /// Requests whose upstream crashed with them.
    pub crashed: u32,
    /// Requests that ended.
    pub done: u32,
    /// Requests that failed for another reason than a crash.
    pub failed: u32,
    /// Requests that were answered late.
    pub late: u32,
}

impl Sums {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.busy_ms = self.busy_ms.saturating_add(other.busy_ms);
        self.crashed = self.crashed.saturating_add(other.crashed);
        self.done = self.done.saturating_add(other.done);
        self.failed = self.failed.saturating_add(other.failed);
        self.late = self.late.saturating_add(other.late);
    }

    /// Returns the counts as they are recorded in an outcome, where crashes are failures.
    #[must_use]
    pub fn to_tally(self) -> Tally {
        Tally {
            done: self.done.into(),
            failed: u64::from(self.failed) + u64::from(self.crashed),
            late: self.late.into(),
        }
    }
}

impl From<&Count> for Sums {
    fn from(count: &Count) -> Self {
        Self {
            busy_ms: u32::try_from(count.busy.as_millis()).unwrap_or(u32::MAX),
            crashed: count.crashed,
            done: count.done,
            failed: count.failed,
            late: count.late,
        }
    }
}

/// One row of evidence: a host or failure domain (see [`Side`]) and its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Tag of the host or of the failure domain.
    pub place: Tag,
    /// Version to which the counts belong.
    pub side: Side,
    /// Counts, as increments to those sent before.
    pub sums: Sums,
}

/// Evidence collected until it is sent or judged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    rows: BTreeMap<(Side, Tag), Sums>,
}

impl Rows {
    /// Adds a row to the sum for its side and place.
    pub fn add(&mut self, row: Row) {
        self.rows
            .entry((row.side, row.place))
            .or_default()
            .add(row.sums);
    }

    /// Returns `true` if there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes and returns all rows.
    pub fn take(&mut self) -> Vec<Row> {
        std::mem::take(&mut self.rows)
            .into_iter()
            .map(|((side, place), sums)| Row { place, side, sums })
            .collect()
    }

    /// Returns an iterator over the places and sums of one version.
    pub fn iter_side(&self, side: Side) -> impl Iterator<Item = (Tag, Sums)> {
        self.rows
            .iter()
            .filter(move |((row_side, _), _)| *row_side == side)
            .map(|((_, place), sums)| (*place, *sums))
    }

    /// Returns the sum of all rows of one version.
    #[must_use]
    pub fn total(&self, side: Side) -> Sums {
        let mut sum = Sums::default();
        for (_, sums) in self.iter_side(side) {
            sum.add(sums);
        }
        sum
    }
}

//! What nodes count of answers, and the compact rows that carry the counts up a failure domain's tree.
//! Counts are increments, so they may cross and merge in any order.

use {
    super::{Tag, outcome::Tally},
    crate::world::{Host, Name, Version},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// What one node has seen of one host's answers on one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Count {
    /// The time that the requests took together.
    pub busy: Duration,
    /// Requests whose upstream crashed with them.
    pub crashed: u32,
    /// Requests that ran to an end, whatever it was.
    pub done: u32,
    /// Those that failed otherwise than by a crash.
    pub failed: u32,
    /// The host that ran them.
    pub host: Host,
    /// Those that were answered late, failed ones left out.
    pub late: u32,
    /// The route.
    pub route: Name,
    /// The version that ran them.
    pub version: Version,
}

/// Which of the two versions counts are of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// The old version; its rows are by failure domain of the upstream.
    Baseline,
    /// The new version; its rows are by host, so that one bad host can be told from a bad version.
    Candidate,
}

/// Sums of counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// The time that the requests took together, in milliseconds.
    pub busy_ms: u32,
    /// Requests whose upstream crashed with them.
    pub crashed: u32,
    /// Requests that ran to an end.
    pub done: u32,
    /// Those that failed otherwise than by a crash.
    pub failed: u32,
    /// Those that were answered late.
    pub late: u32,
}

impl Sums {
    /// Adds counts up.
    pub fn add(&mut self, other: Self) {
        self.busy_ms = self.busy_ms.saturating_add(other.busy_ms);
        self.crashed = self.crashed.saturating_add(other.crashed);
        self.done = self.done.saturating_add(other.done);
        self.failed = self.failed.saturating_add(other.failed);
        self.late = self.late.saturating_add(other.late);
    }

    /// Gives the counts as an outcome shows them.
    #[must_use]
    pub fn tally(self) -> Tally {
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

/// One row of evidence: a place (see [`Side`]) and what was counted there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The tag of the host, or of the failure domain.
    pub place: Tag,
    /// Which version.
    pub side: Side,
    /// The counts.
    pub sums: Sums,
}

/// Evidence that is collected until it is sent or judged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    rows: BTreeMap<(Side, Tag), Sums>,
}

impl Rows {
    /// Adds a row.
    pub fn add(&mut self, row: Row) {
        self.rows
            .entry((row.side, row.place))
            .or_default()
            .add(row.sums);
    }

    /// Tells whether nothing was collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Takes all rows out.
    pub fn take(&mut self) -> Vec<Row> {
        std::mem::take(&mut self.rows)
            .into_iter()
            .map(|((side, place), sums)| Row { place, side, sums })
            .collect()
    }

    /// Lists the rows of one version.
    pub fn of(&self, side: Side) -> impl Iterator<Item = (Tag, Sums)> {
        self.rows
            .iter()
            .filter(move |((of, _), _)| *of == side)
            .map(|((_, place), sums)| (*place, *sums))
    }

    /// Adds the rows of one version up.
    #[must_use]
    pub fn sum(&self, side: Side) -> Sums {
        let mut sum = Sums::default();
        for (_, sums) in self.of(side) {
            sum.add(sums);
        }
        sum
    }
}

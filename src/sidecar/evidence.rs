//! What the runs of a service's versions came to: reported beside upstreams, summed up where a move is judged.

use {
    crate::world::{Service, Version},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// What one upstream's runs on one route came to since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// The runs that ended, or are late already.
    pub done: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were late.
    pub late: u32,
    /// The time that the ended ones took.
    pub time: Duration,
}

impl Sums {
    /// Adds what other runs came to.
    pub fn add(&mut self, other: Self) {
        self.done += other.done;
        self.failed += other.failed;
        self.late += other.late;
        self.time += other.time;
    }
}

/// A report of one upstream's runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The runs by route.
    pub routes: BTreeMap<u64, Sums>,
    /// The service.
    pub service: Service,
    /// The version that ran them.
    pub version: Version,
}

/// What a move is judged by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grounds {
    /// The logarithm of the strongest evidence of a route against the new version.
    pub evidence: f64,
    /// The new version's runs, as far as this conductor has seen them.
    pub new: Sums,
    /// The old version's runs.
    pub old: Sums,
    /// The new version's runs since its share last changed.
    pub step_runs: u32,
    /// The evidence that takes the new version back.
    pub verdict: f64,
}

impl Display for Grounds {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "evidence={:.1} verdict_at={} step_runs={} new_runs={} new_failed={} new_late={} old_runs={} old_failed={} old_late={}",
            self.evidence,
            self.verdict,
            self.step_runs,
            self.new.done,
            self.new.failed,
            self.new.late,
            self.old.done,
            self.old.failed,
            self.old.late
        )
    }
}

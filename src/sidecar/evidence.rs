//! Counts of the requests that each version of a service has run, by route. The node beside each upstream reports
//! them, and the leader of a rollout adds them up.

use {
    crate::types::{Service, Version},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Totals of requests on one route: one upstream's since its last report, or the sum of many reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests that have ended, or still run but are late already.
    pub done: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that ran longer than the late limit of their route.
    pub late: u32,
    /// The total run time of the requests that have ended.
    #[serde(rename = "time")]
    pub run_time: Duration,
}

impl Totals {
    /// Adds the totals of other requests.
    pub fn add(&mut self, other: Self) {
        self.done += other.done;
        self.failed += other.failed;
        self.late += other.late;
        self.run_time += other.run_time;
    }
}

/// A report of the requests that one upstream has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The totals since the last report, by route.
    pub routes: BTreeMap<u64, Totals>,
    /// The upstream's service.
    pub service: Service,
    /// The upstream's version.
    pub version: Version,
}

/// The figures by which a rollout is judged, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// The natural logarithm of the strongest evidence against the new version, on one route or on all together.
    pub log_evidence: f64,
    /// The new version's requests that were reported to this leader.
    pub candidate: Totals,
    /// The old version's requests, including those that previous leaders counted.
    pub baseline: Totals,
    /// The number of requests that the new version has run since its share last changed.
    pub step_runs: u32,
    /// The value of `log_evidence` at which the new version is rolled back.
    pub rollback_threshold: f64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "evidence={:.1} verdict_at={} step_runs={} new_runs={} new_failed={} new_late={} old_runs={} old_failed={} old_late={}",
            self.log_evidence,
            self.rollback_threshold,
            self.step_runs,
            self.candidate.done,
            self.candidate.failed,
            self.candidate.late,
            self.baseline.done,
            self.baseline.failed,
            self.baseline.late
        )
    }
}

//! Reports of the revision that is in force in each failure domain. A report carries its age instead of
//! a time, so that clocks of different nodes are never compared.

use {
    super::Coverage,
    crate::types::{Domain, Moment, Revision},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a failure domain counts as reached after its last report.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// The report of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageReport {
    /// The age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
    /// The failure domain that the report is about.
    pub domain: Domain,
    /// The lowest revision that any serving node of the failure domain runs.
    pub floor: Revision,
}

/// The latest report of each failure domain.
#[derive(Debug, Default)]
pub struct CoverageTable {
    latest: BTreeMap<Domain, (Moment, Revision)>,
}

impl CoverageTable {
    /// Records a report and returns whether it is newer than the one held.
    pub fn record(&mut self, now: Moment, report: &CoverageReport) -> bool {
        let made_at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1000));
        let previous = self.latest.get(&report.domain);
        let is_newer = previous.is_none_or(|(previous_at, _)| made_at > *previous_at);
        if is_newer {
            self.latest
                .insert(report.domain.clone(), (made_at, report.floor));
        }
        is_newer
    }

    /// Returns the reports that are within the lease, with their present age.
    pub fn current(&self, now: Moment) -> impl Iterator<Item = CoverageReport> {
        self.latest
            .iter()
            .filter(move |(_, (made_at, _))| now.since(*made_at) < REPORT_TIMEOUT)
            .map(move |(domain, (made_at, floor))| CoverageReport {
                age_ms: to_millis(now.since(*made_at)),
                domain: domain.clone(),
                floor: *floor,
            })
    }

    /// Returns whether a failure domain has reported within the lease.
    #[must_use]
    pub fn is_reached(&self, now: Moment, domain: &Domain) -> bool {
        self.latest
            .get(domain)
            .is_some_and(|(made_at, _)| now.since(*made_at) < REPORT_TIMEOUT)
    }

    /// Returns the coverage of every failure domain that has ever reported.
    #[must_use]
    pub fn coverage(&self, now: Moment) -> BTreeMap<Domain, Coverage> {
        self.latest
            .iter()
            .map(|(domain, (made_at, revision))| {
                let coverage = Coverage {
                    reached: now.since(*made_at) < REPORT_TIMEOUT,
                    revision: *revision,
                };
                (domain.clone(), coverage)
            })
            .collect()
    }
}

/// Converts a duration to whole milliseconds for the wire; saturates at `u32::MAX`.
#[must_use]
pub fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

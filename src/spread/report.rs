//! What is known of how far each failure domain has come. Reports carry their age, so that no two
//! clocks are compared.

use {
    super::Coverage,
    crate::world::{Domain, Moment, Revision},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a failure domain counts as reached after its last report.
pub const LEASE: Duration = Duration::from_secs(8);

/// One failure domain's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How old it is, in milliseconds.
    pub age_ms: u32,
    /// The failure domain.
    pub domain: Domain,
    /// The revision that every node of the failure domain runs at least.
    pub floor: Revision,
}

/// The latest report of each failure domain.
#[derive(Debug, Default)]
pub struct Reports {
    held: BTreeMap<Domain, (Moment, Revision)>,
}

impl Reports {
    /// Takes a report in and says whether it is news.
    pub fn take(&mut self, now: Moment, report: &Report) -> bool {
        let made_at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1000));
        let known = self.held.get(&report.domain);
        let news = known.is_none_or(|(held_at, _)| made_at > *held_at);
        if news {
            self.held
                .insert(report.domain.clone(), (made_at, report.floor));
        }
        news
    }

    /// Lists the reports that still count.
    pub fn list(&self, now: Moment) -> impl Iterator<Item = Report> {
        self.held
            .iter()
            .filter(move |(_, (made_at, _))| now.since(*made_at) < LEASE)
            .map(move |(domain, (made_at, floor))| Report {
                age_ms: millis(now.since(*made_at)),
                domain: domain.clone(),
                floor: *floor,
            })
    }

    /// Says whether a failure domain has reported within its lease.
    #[must_use]
    pub fn reached(&self, now: Moment, domain: &Domain) -> bool {
        self.held
            .get(domain)
            .is_some_and(|(made_at, _)| now.since(*made_at) < LEASE)
    }

    /// Gives the coverage of every failure domain that was ever heard of.
    #[must_use]
    pub fn coverage(&self, now: Moment) -> BTreeMap<Domain, Coverage> {
        self.held
            .iter()
            .map(|(domain, (made_at, revision))| {
                let coverage = Coverage {
                    reached: now.since(*made_at) < LEASE,
                    revision: *revision,
                };
                (domain.clone(), coverage)
            })
            .collect()
    }
}

/// Gives a span in whole milliseconds, as it travels.
#[must_use]
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

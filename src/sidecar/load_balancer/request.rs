//! Requests to choose an upstream, and the results of the choice and of the attempt.

use {
    crate::{
        sidecar::regions::Restriction,
        traffic::spill::Tier,
        types::{Host, Permille, Region, Service, Version},
    },
    std::time::Duration,
};

/// Selects the upstreams that a request may run on during a rollout from one version to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Upstreams of the new version, which gets this share of the traffic. Only the same share of its upstreams
    /// is used, so that each of them has the load that it will have after the rollout: a version that fails only
    /// under load then does so while few requests are affected.
    Candidate(&'a Version, Permille),
    /// All upstreams that do not run the new version.
    Baseline(&'a Version),
}

impl VersionFilter<'_> {
    pub(super) fn admits(self, version: &Version) -> bool {
        match self {
            Self::Candidate(new, _) => version == new,
            Self::Baseline(new) => version != new,
        }
    }
}

/// Location of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    /// Region of its host.
    pub region: &'a Region,
    /// Distance of its host from this node.
    pub tier: Tier,
}

/// Request to choose an upstream for.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Hosts that were tried already.
    pub tried: &'a [Host],
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Regions in which it may run.
    pub regions: &'a Restriction,
    /// Service that it is for.
    pub service: &'a Service,
    /// Upstreams that it may run on during a rollout; `None` allows all.
    pub version_filter: Option<VersionFilter<'a>>,
    /// Time from now during which its answer has its full value.
    pub worth_for: Duration,
}

/// Upstream chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Host of the upstream.
    pub host: Host,
    /// Version that the upstream runs.
    pub version: Version,
}

/// Result of an attempt, as far as it concerns the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered without a failure of its own.
    Answered,
    /// The upstream or the connection to it failed.
    Failed,
    /// Nothing can be concluded about the upstream: it declined the request or the caller cancelled it.
    Inconclusive,
}

/// Reason why no upstream could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No upstream of the service is known, or all of them were tried.
    NoUpstream,
    /// All remaining upstreams recently declined a request of the same or a higher priority.
    Declined,
}

//! Requests to choose an upstream.

use {
    super::VersionFilter,
    crate::{
        sidecar::{fair_share::AccountId, regions::Restriction},
        traffic::spill::Tier,
        types::{Host, Region, Service},
    },
    std::time::Duration,
};

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
    /// Account of its caller; `None` if it has none.
    pub account: Option<AccountId>,
    /// Priority of its account or route; 0 is the most urgent.
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

//! Result of the choice of an upstream.

use crate::types::{Host, Version};

/// Upstream chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Host of the upstream.
    pub host: Host,
    /// Version that the upstream runs.
    pub version: Version,
}

/// Reason why no upstream could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No upstream of the service is known, or all of them were tried.
    NoUpstream,
    /// All remaining upstreams recently declined a request of the same or a higher priority.
    Declined,
}

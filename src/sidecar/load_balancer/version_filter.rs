//! Restriction of a request to upstreams of some versions during a rollout.

use crate::types::{Permille, Version};

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

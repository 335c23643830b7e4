//! The regions in which a request may run.
//!
//! Designed for data that must not leave a region while upstreams of other regions have capacity to spare: the restriction
//! bounds every choice of an upstream, also that of a retry, and travels with the request to the node that runs it.

use {
    super::document::Document,
    crate::types::Region,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, HashMap},
};

/// Restriction of a request to regions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Restriction {
    /// The request may run in every region.
    #[default]
    Unrestricted,
    /// The request may run in these regions only; in none if there are none.
    Only(BTreeSet<Region>),
}

impl Restriction {
    /// Combines the regions of a route with those of the caller's account, if it has one. An empty set restricts nothing;
    /// if neither is empty, only the regions in both are permitted.
    #[must_use]
    pub fn combine(route: &BTreeSet<Region>, account: Option<&BTreeSet<Region>>) -> Self {
        let account = account.filter(|regions| !regions.is_empty());
        match (route.is_empty(), account) {
            (true, None) => Self::Unrestricted,
            (true, Some(account)) => Self::Only(account.clone()),
            (false, None) => Self::Only(route.clone()),
            (false, Some(account)) => Self::Only(route & account),
        }
    }

    /// Returns whether the request may run in a region.
    #[must_use]
    pub fn permits(&self, region: &Region) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Only(regions) => regions.contains(region),
        }
    }
}

/// The restricted routes of the document in force at the node beside an upstream. They bind a request also if the node that
/// has sent it has an older document, by which the route was not restricted yet.
#[derive(Debug, Default)]
pub struct RestrictedRoutes(HashMap<u64, BTreeSet<Region>>);

impl RestrictedRoutes {
    /// Collects the restricted routes of a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let routes = document.routes.values();
        let restricted = routes.filter(|route| !route.regions.is_empty());
        Self(
            restricted
                .map(|route| (route.id(), route.regions.clone()))
                .collect(),
        )
    }

    /// Returns whether requests of a route, named by its identifier, may run in a region. Unknown routes may.
    #[must_use]
    pub fn permit(&self, route: u64, region: &Region) -> bool {
        let regions = self.0.get(&route);
        regions.is_none_or(|regions| regions.contains(region))
    }
}

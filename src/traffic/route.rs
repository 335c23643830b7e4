//! Routes, indexed by service and path, and the choice of a version by share. The version is
//! derived from a hash of the request's id, so a repeated request gets the same version, and a
//! growing share only moves requests towards the version that grows.

use {
    crate::{
        resource::{self, Kind, Limits, Spec},
        snapshot::Snapshot,
        types::{Name, Permille, Service, Version},
    },
    std::{collections::BTreeMap, collections::HashMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The hash seed for the declared shares.
const SHARE_SEED: u64 = 1;
/// The hash seed for rollouts. It differs from [`SHARE_SEED`], so that a rollout splits the
/// requests of each version independently of the declared shares.
const RAMP_SEED: u64 = 2;

/// The progress of a rollout that moves a route's traffic between two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ramp {
    /// The version that the traffic moves away from.
    pub from: Version,
    /// The route whose traffic moves.
    pub route: Name,
    /// The share of `to` in the traffic that the route declares for both versions together.
    pub share: Permille,
    /// The version that the traffic moves to.
    pub to: Version,
}

/// A route with everything that applies to its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The limits of the service, or the defaults if none are configured.
    pub limits: Limits,
    /// The name of the route.
    pub name: Name,
    /// The path prefix that requests must have.
    pub path: String,
    /// The rollouts that move the route's traffic, ordered by name.
    pub ramps: Vec<Ramp>,
    /// The declared share of each version.
    pub shares: BTreeMap<Version, Permille>,
}

impl Route {
    fn new(name: &Name, route: &resource::Route, limits: Limits, ramps: &[Ramp]) -> Self {
        Self {
            limits,
            name: name.clone(),
            path: route.path.clone(),
            ramps: ramps
                .iter()
                .filter(|ramp| ramp.route == *name)
                .cloned()
                .collect(),
            shares: route.shares.clone(),
        }
    }

    /// Returns the version for the request with this id, or `None` if no declared share covers it,
    /// as in a route without shares.
    #[must_use]
    pub fn choose_version(&self, id: &str) -> Option<&Version> {
        let mut version = self.declared_version(hash_permille(id, SHARE_SEED))?;
        for ramp in &self.ramps {
            if *version == ramp.from || *version == ramp.to {
                version = if hash_permille(id, RAMP_SEED) < ramp.share.0 {
                    &ramp.to
                } else {
                    &ramp.from
                };
            }
        }
        Some(version)
    }

    fn declared_version(&self, mut point: u16) -> Option<&Version> {
        for (version, share) in &self.shares {
            if point < share.0 {
                return Some(version);
            }
            point -= share.0;
        }
        None
    }
}

/// The routes of every service, longest path prefix first.
#[derive(Debug, Default)]
pub struct Index(HashMap<Service, Vec<Arc<Route>>>);

impl Index {
    /// Creates the index from a configuration and the running rollouts, keyed by rollout name.
    #[must_use]
    pub fn new(snapshot: &Snapshot, ramps: &BTreeMap<Name, Ramp>) -> Self {
        let ramps: Vec<Ramp> = ramps.values().cloned().collect();
        let mut index: HashMap<Service, Vec<Arc<Route>>> = HashMap::new();
        for resource in snapshot.resources.values() {
            if let Spec::Route(route) = &resource.spec {
                let limits = service_limits(snapshot, &route.service);
                let indexed = Route::new(&resource.key.name, route, limits, &ramps);
                let routes = index.entry(route.service.clone()).or_default();
                routes.push(Arc::new(indexed));
            }
        }
        for routes in index.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        }
        Self(index)
    }

    /// Returns the route of a service with the longest prefix that matches a path.
    #[must_use]
    pub fn find(&self, service: &Service, path: &str) -> Option<&Arc<Route>> {
        let routes = self.0.get(service)?;
        routes
            .iter()
            .find(|route| prefix_matches(&route.path, path))
    }
}

/// Returns whether a prefix matches a path. It matches whole segments only: `/crew` matches
/// `/crew/7` but not `/crews`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

fn service_limits(snapshot: &Snapshot, service: &Service) -> Limits {
    match snapshot.get(Kind::Limits, &service.clone().into()) {
        Some(resource) => match &resource.spec {
            Spec::Limits(limits) => limits.clone(),
            _ => Limits::default(),
        },
        None => Limits::default(),
    }
}

fn hash_permille(id: &str, seed: u64) -> u16 {
    let hash = xxh3_64_with_seed(id.as_bytes(), seed);
    let scaled = (u128::from(hash) * u128::from(Permille::WHOLE.0)) >> 64;
    u16::try_from(scaled).unwrap_or(0)
}

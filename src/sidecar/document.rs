//! The configuration as an operator's document that somebody else has accepted: checked whole, indexed by
//! host name and path prefix, and handed on as the difference to an earlier one. A document is taken over
//! as a whole or not at all, and never one that is older than what is held.

use {
    crate::world::{Service, Version},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        fmt::{self, Display, Formatter},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The number of a document. Later ones have higher numbers, with gaps.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number(pub u64);

impl Display for Number {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Running it again does no harm.
    Repeatable,
    /// It runs at most once for each attempt of its caller.
    Once,
}

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service that takes it.
    pub service: Service,
    /// Its part of the sum of the route's weights.
    pub weight: u32,
}

/// Which requests go where, and under which bounds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Whether its requests may run more than once.
    pub class: Class,
    /// The host name that callers ask for, in lower case and without a port.
    pub hostname: String,
    /// The most upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Its name, unique within the document.
    pub name: String,
    /// The beginning of the paths that it covers; it begins and ends with a slash.
    pub prefix: String,
    /// Its rank among the routes of a service; 0 goes first.
    pub priority: u32,
    /// The services that take its requests, with their shares.
    pub shares: Vec<Share>,
    /// The time within which an answer has its full value to the caller.
    pub target: Duration,
    /// The longest that a request may be kept waiting.
    pub timeout: Duration,
}

impl Route {
    /// Gives the service of a request by its point between 0 and 1, so that the shares hold also for few
    /// requests.
    #[must_use]
    pub fn service(&self, point: f64) -> Option<&Service> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = point * f64::from(total);
        let mut last = None;
        for share in self.shares.iter().filter(|share| share.weight > 0) {
            last = Some(&share.service);
            left -= f64::from(share.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest head, in bytes.
    pub head_bytes: u32,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may lie idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds until a document states it: the usual defaults of HTTP servers.
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Why a document is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It is older than the one that is held.
    #[error("document {offered} is not newer than {held}")]
    Stale {
        /// The number that is held.
        held: Number,
        /// The number of the refused document.
        offered: Number,
    },
    /// A route leads to a service that the document does not declare.
    #[error("route `{route}` leads to the undeclared service `{service}`")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: Service,
    },
    /// A route has no share of any weight.
    #[error("route `{0}` gives no service any weight")]
    NoWeight(String),
    /// A route allows no attempt.
    #[error("route `{0}` allows no attempt")]
    NoAttempts(String),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{0}` does not begin and end with `/`")]
    BadPrefix(String),
    /// Two routes cover the same host name and prefix.
    #[error("routes `{0}` and `{1}` cover the same place")]
    SamePlace(String, String),
    /// A difference does not start from the document that is held, or led to another one than it says.
    #[error("the difference does not lead to document {0}")]
    Mismatch(Number),
}

/// A configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Bounds on callers.
    pub limits: Limits,
    /// Its number.
    pub number: Number,
    /// The routes by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// The declared services, and the most connections that an upstream of each takes.
    pub services: BTreeMap<Service, u32>,
}

impl Document {
    /// Checks the document as a whole.
    ///
    /// # Errors
    /// Gives the first fault.
    pub fn check(&self) -> Result<(), Fault> {
        let mut places: HashMap<(&str, &str), &str> = HashMap::new();
        for route in self.routes.values() {
            let name = route.name.as_str();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(Fault::BadPrefix(name.into()));
            }
            if route.max_attempts == 0 {
                return Err(Fault::NoAttempts(name.into()));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(Fault::NoWeight(name.into()));
            }
            let unknown = |share: &&Share| !self.services.contains_key(&share.service);
            if let Some(share) = route.shares.iter().find(unknown) {
                return Err(Fault::UnknownService {
                    route: name.into(),
                    service: share.service.clone(),
                });
            }
            if let Some(other) = places.insert((&route.hostname, &route.prefix), name) {
                return Err(Fault::SamePlace(other.into(), name.into()));
            }
        }
        Ok(())
    }

    /// Gives a digest of the content, by which two nodes compare what they hold.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // A plain tree of values always encodes.
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Gives what leads from this document to a later one.
    #[must_use]
    pub fn difference(&self, later: &Self) -> Difference {
        let removed = |name: &&String| !later.routes.contains_key(*name);
        let changed =
            |(name, route): &(&String, &Arc<Route>)| self.routes.get(*name) != Some(route);
        Difference {
            digest: later.digest(),
            from: self.number,
            limits: later.limits,
            removed: self.routes.keys().filter(removed).cloned().collect(),
            routes: later
                .routes
                .iter()
                .filter(changed)
                .map(|(_, route)| route.clone())
                .collect(),
            services: (self.services != later.services).then(|| later.services.clone()),
            to: later.number,
        }
    }

    /// Applies a difference, and checks that it led to what its sender holds.
    ///
    /// # Errors
    /// Refuses one that starts elsewhere or leads elsewhere; this document stays as it is.
    pub fn apply(&self, difference: &Difference) -> Result<Self, Fault> {
        let mismatch = Fault::Mismatch(difference.to);
        if difference.from != self.number {
            return Err(mismatch);
        }
        let mut later = self.clone();
        later.number = difference.to;
        later.limits = difference.limits;
        for name in &difference.removed {
            later.routes.remove(name);
        }
        for route in &difference.routes {
            later.routes.insert(route.name.clone(), route.clone());
        }
        if let Some(services) = &difference.services {
            later.services.clone_from(services);
        }
        if later.digest() == difference.digest {
            Ok(later)
        } else {
            Err(mismatch)
        }
    }
}

/// What leads from one document to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The digest of the later document.
    pub digest: u64,
    /// The number that it starts from.
    pub from: Number,
    /// The bounds on callers in the later document.
    pub limits: Limits,
    /// The names of the routes that are gone.
    pub removed: Vec<String>,
    /// The routes that are new or changed.
    pub routes: Vec<Arc<Route>>,
    /// The services of the later document, if they changed.
    pub services: Option<BTreeMap<Service, u32>>,
    /// The number that it leads to.
    pub to: Number,
}

/// The routes by host name and prefix.
#[derive(Debug, Default)]
pub struct Index(HashMap<String, HashMap<String, Arc<Route>>>);

impl Index {
    /// Builds the index of a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in document.routes.values() {
            let prefixes = hosts.entry(route.hostname.clone()).or_default();
            prefixes.insert(route.prefix.clone(), route.clone());
        }
        Self(hosts)
    }

    /// Finds the route of a host name with the longest prefix that begins a path.
    #[must_use]
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.0.get(hostname)?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
    }
}

/// The move of a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// How long the move may take.
    pub duration: Duration,
    /// The place of the order in the store's history; a later order has a higher one.
    pub mark: u64,
    /// The service.
    pub service: Service,
    /// The version that takes the traffic over.
    pub to: Version,
}

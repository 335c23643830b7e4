//! The configuration: a document that an operator has written and that was accepted elsewhere. It is validated as a
//! whole, indexed by hostname and path prefix, and sent to other nodes as the difference from an earlier document. A
//! node installs a document as a whole or not at all, and never an older one than it holds.

mod account;
mod index;

pub use {
    account::{Account, AccountField, AccountLimit, Key, Rate},
    index::Index,
};

use {
    super::history::{Epoch, Position},
    crate::types::{AccountName, Region, Service, Version},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt::{self, Display, Formatter},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The number of a document. Later documents have higher numbers, not necessarily consecutive ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number {
    /// The number that the operator has given.
    pub value: u64,
    /// The epoch of the store in which the operator gave this number to other contents, after the store had lost the first
    /// ones; `None` as a rule. The later contents replace the first ones.
    pub reissued_in: Option<Epoch>,
}

impl Number {
    /// Creates the number that the operator has given to a document.
    #[must_use]
    pub fn new(value: u64) -> Self {
        Self {
            value,
            reissued_in: None,
        }
    }
}

impl Display for Number {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.value.fmt(f)
    }
}

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// The request can safely be run again.
    Repeatable,
    /// The request must run at most once for each attempt of its caller.
    Once,
}

/// The part of a route's traffic that a service receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service that receives the traffic.
    pub service: Service,
    /// The service's weight, relative to the sum of the route's weights; 0 for no traffic.
    pub weight: u32,
}

/// A rule that maps requests to services, with the limits for those requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Whether the route's requests may be run more than once.
    pub class: Class,
    /// The hostname that callers request, in lower case and without a port.
    pub hostname: String,
    /// The maximum number of upstreams that one attempt of a caller may be sent to; at least 1.
    pub max_attempts: u32,
    /// The route's name, unique within the document.
    pub name: String,
    /// The prefix of the paths that match; it begins and ends with a slash.
    pub prefix: String,
    /// The priority among the routes of a service; 0 is the highest.
    pub priority: u32,
    /// Whether its requests need no key of an account.
    pub public: bool,
    /// The regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<Region>,
    /// The services that receive the route's requests, with their weights.
    pub shares: Vec<Share>,
    /// The latency up to which an answer has its full value to the caller.
    pub target: Duration,
    /// The maximum time from a request's arrival to its deadline; the caller may set an earlier one.
    pub timeout: Duration,
}

impl Route {
    /// Returns the identifier by which nodes name the route to each other, also if their documents differ.
    #[must_use]
    pub fn id(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }

    /// Returns the service for a request's `point` between 0 and 1, or `None` if no share has any weight. Evenly
    /// spread points keep to the weights even for few requests.
    #[must_use]
    pub fn choose_service(&self, point: f64) -> Option<&Service> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = point * f64::from(total);
        let mut last = None;
        for share in self.shares.iter().filter(|share| share.weight > 0) {
            last = Some(&share.service);
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}

/// Properties of a service's upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The requests per second that an upstream bears while it is cold; 0 for no limit.
    pub cold_rate: u32,
    /// The maximum number of connections that one upstream accepts.
    pub connections_max: u32,
    /// The path of the upstream's health check; `None` if it has none.
    pub health_path: Option<String>,
}

/// Limits on the size and the time of what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: u32,
    /// The maximum time for a head to arrive.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply unless a document sets others; they are the usual defaults of HTTP servers.
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// The reason for which a document or a difference is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The document is not newer than the held one.
    #[error("document {offered} is not newer than {held}")]
    Stale {
        /// The number of the held document.
        held: Number,
        /// The number of the rejected document.
        offered: Number,
    },
    /// A route refers to a service that the document does not declare.
    #[error("route `{route}` refers to service `{service}`, which the document does not declare")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The undeclared service.
        service: Service,
    },
    /// A route has no share with a weight above 0; it holds the route's name.
    #[error("all weights of route `{0}` are 0")]
    NoWeight(String),
    /// A route has a `max_attempts` of 0; it holds the route's name.
    #[error("`max_attempts` of route `{0}` is 0")]
    NoAttempts(String),
    /// A prefix does not begin and end with a slash; it holds the route's name.
    #[error("the prefix of route `{0}` does not begin and end with `/`")]
    BadPrefix(String),
    /// Two routes have the same hostname and prefix; it holds the routes' names.
    #[error("routes `{0}` and `{1}` have the same hostname and prefix")]
    SamePlace(String, String),
    /// A difference does not start from the held document, or does not produce the document that its sender holds; it
    /// holds the number of the sender's document.
    #[error("the difference does not produce document {0} from the held document")]
    Mismatch(Number),
}

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The client accounts, by name.
    pub accounts: BTreeMap<AccountName, Arc<Account>>,
    /// Whether requests need the key of an account. It is set if accounts were declared, also if none of them could be
    /// used: a mistake in an account must not open the mesh to callers without a key.
    pub needs_key: bool,
    /// The limits on callers.
    pub limits: Limits,
    /// The document's number.
    pub number: Number,
    /// The routes, by name.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// The declared services.
    pub services: BTreeMap<Service, ServiceSpec>,
}

impl Document {
    /// Validates the document as a whole.
    ///
    /// # Errors
    /// Returns the first fault, in the order of the routes' names.
    pub fn validate(&self) -> Result<(), Fault> {
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

    /// Returns whether this document says the same as another one, whatever their numbers.
    #[must_use]
    pub fn has_contents_of(&self, other: &Self) -> bool {
        (
            &self.accounts,
            self.limits,
            self.needs_key,
            &self.routes,
            &self.services,
        ) == (
            &other.accounts,
            other.limits,
            other.needs_key,
            &other.routes,
            &other.services,
        )
    }

    /// Returns a digest of the content, by which two nodes compare the documents that they hold.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // Encoding cannot fail: the document holds plain values only.
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Returns the difference that turns this document into a later one.
    #[must_use]
    pub fn delta_to(&self, later: &Self) -> Delta {
        let removed = |name: &&String| !later.routes.contains_key(*name);
        let changed =
            |(name, route): &(&String, &Arc<Route>)| self.routes.get(*name) != Some(route);
        Delta {
            accounts: (self.accounts != later.accounts).then(|| later.accounts.clone()),
            digest: later.digest(),
            from: self.number,
            limits: later.limits,
            needs_key: later.needs_key,
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

    /// Returns the later document that a difference produces, checked by its digest against the sender's document.
    ///
    /// # Errors
    /// Returns [`Fault::Mismatch`] if the difference starts from another document or the digests differ.
    pub fn apply(&self, delta: &Delta) -> Result<Self, Fault> {
        let mismatch = Fault::Mismatch(delta.to);
        if delta.from != self.number {
            return Err(mismatch);
        }
        let mut later = self.clone();
        later.number = delta.to;
        later.limits = delta.limits;
        later.needs_key = delta.needs_key;
        for name in &delta.removed {
            later.routes.remove(name);
        }
        for route in &delta.routes {
            later.routes.insert(route.name.clone(), route.clone());
        }
        if let Some(accounts) = &delta.accounts {
            later.accounts.clone_from(accounts);
        }
        if let Some(services) = &delta.services {
            later.services.clone_from(services);
        }
        if later.digest() == delta.digest {
            Ok(later)
        } else {
            Err(mismatch)
        }
    }
}

/// The changes from one document to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// All accounts of the later document; `None` if they are unchanged.
    pub accounts: Option<BTreeMap<AccountName, Arc<Account>>>,
    /// The digest of the later document.
    pub digest: u64,
    /// The number of the earlier document.
    pub from: Number,
    /// The limits of the later document.
    pub limits: Limits,
    /// Whether requests need the key of an account in the later document.
    pub needs_key: bool,
    /// The names of the removed routes.
    pub removed: Vec<String>,
    /// The added and changed routes.
    pub routes: Vec<Arc<Route>>,
    /// All services of the later document; `None` if they are unchanged.
    pub services: Option<BTreeMap<Service, ServiceSpec>>,
    /// The number of the later document.
    pub to: Number,
}

/// An operator's order to roll a service's traffic out to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The time within which the rollout is to end.
    pub duration: Duration,
    /// The position of the order in the store's history; a later order has a higher one.
    pub mark: Position,
    /// The service whose traffic is rolled out.
    pub service: Service,
    /// The version that is to receive the traffic.
    pub to: Version,
}

impl Order {
    /// Returns whether another order says the same, under whatever version.
    #[must_use]
    pub fn has_contents_of(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.duration) == (&other.service, &other.to, other.duration)
    }

    /// Returns whether another order says the same and was read in another epoch of the store, so that both may be one that
    /// the operator has written again.
    #[must_use]
    pub fn may_repeat(&self, other: &Self) -> bool {
        self.mark.epoch != other.mark.epoch && self.has_contents_of(other)
    }
}

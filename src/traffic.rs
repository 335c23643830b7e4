//! Routes requests: chooses an endpoint, records how attempts end and decides on retries. This
//! module has no clock, socket or thread of its own, so that the daemon, the tests and the benches
//! can drive it with real or virtual time. See docs/design/requests.md.

use {
    crate::{
        member::{Offer, Record, State},
        refusal::Reason,
        snapshot::Snapshot,
        types::{Domain, Host, Moment, Name, Region, Service, Version},
        wire::Failure,
    },
    endpoint::{Endpoint, Id, Load, Policy},
    group::{Criteria, Group},
    quarantine::Fingerprint,
    rand::{SeedableRng, rngs::StdRng},
    retry::{Attempt, Budget, Denial, Stage, Verdict},
    slotmap::SlotMap,
    spill::Tier,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

pub mod admission;
pub mod endpoint;
mod group;
pub mod idempotency;
pub mod outcome;
pub mod owner;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod spill;

pub use {
    outcome::Outcome,
    route::{Ramp, Route},
};

/// The properties of a request that the choice of an upstream depends on.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The hosts that earlier attempts were sent to, in order.
    pub avoid: &'a [Host],
    /// The request's id or its idempotency key, which determines the version.
    pub id: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The service that the request is for.
    pub service: &'a Service,
}

/// The endpoint chosen for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The time of the choice, from which the latency of the attempt is measured.
    pub at: Moment,
    /// The host whose upstream runs the request.
    pub host: Host,
    id: Id,
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// How far away the host is.
    pub tier: Tier,
    /// The version that the route selected for the request.
    pub version: Version,
}

/// The state from which a node routes requests.
pub struct Router {
    budgets: HashMap<Service, Budget>,
    domain: Domain,
    endpoints: SlotMap<Id, Endpoint>,
    groups: HashMap<Version, Group>,
    ids: HashMap<Host, Id>,
    outcomes: outcome::Log,
    owners: owner::Owners,
    policy: Policy,
    ramps: BTreeMap<Name, Ramp>,
    records: BTreeMap<Host, Arc<Record>>,
    region: Region,
    rng: StdRng,
    routes: route::Index,
    snapshot: Arc<Snapshot>,
}

impl Router {
    /// Creates a router for a node in `domain` and `region`. Every request is refused until a
    /// configuration is installed. `seed` makes the random choices reproducible.
    #[must_use]
    pub fn new(domain: Domain, region: Region, seed: u64) -> Self {
        Self {
            budgets: HashMap::new(),
            domain,
            endpoints: SlotMap::with_key(),
            groups: HashMap::new(),
            ids: HashMap::new(),
            outcomes: outcome::Log::default(),
            owners: owner::Owners::default(),
            policy: Policy::default(),
            ramps: BTreeMap::new(),
            records: BTreeMap::new(),
            region,
            rng: StdRng::seed_from_u64(seed),
            routes: route::Index::default(),
            snapshot: Arc::default(),
        }
    }

    /// Replaces the policy by which endpoints are chosen; used by the benches for comparison.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Replaces the retry budget of a service; used by the benches for comparison.
    pub fn set_budget(&mut self, service: &Service, budget: Budget) {
        self.budgets.insert(service.clone(), budget);
    }

    /// Installs a configuration and rebuilds the routes from it.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.routes = route::Index::new(&snapshot, &self.ramps);
        self.snapshot = snapshot;
    }

    /// Replaces the traffic shares of the running rollouts, keyed by rollout name. Each overrides
    /// what the routes declare for the rollout's two versions.
    pub fn set_ramps(&mut self, ramps: BTreeMap<Name, Ramp>) {
        if ramps == self.ramps {
            return;
        }
        self.routes = route::Index::new(&self.snapshot, &ramps);
        self.ramps = ramps;
    }

    /// Applies membership changes. A host that changed its version, restarted or became ready again
    /// is treated as a new endpoint, without the statistics from before.
    pub fn apply_membership<R: Into<Arc<Record>>>(&mut self, now: Moment, records: Vec<R>) {
        for record in records.into_iter().map(Into::into) {
            let host = record.contact.host.clone();
            let before = self.records.get(&host).map(Arc::as_ref);
            self.owners.update(now, before, &record);
            let from = before
                .and_then(ready_offer)
                .map(|offer| offer.version.clone());
            let to = ready_offer(&record).map(|offer| offer.version.clone());
            let restarted = before.is_some_and(|before| before.incarnation != record.incarnation);
            if from != to || restarted {
                self.remove_endpoint(&host, from.as_ref());
                self.add_endpoint(now, &record);
            } else if let (Some(id), Some(offer)) = (self.ids.get(&host), ready_offer(&record)) {
                self.endpoints[*id].set_slots(offer.slots);
            }
            self.records.insert(host, record);
        }
    }

    fn remove_endpoint(&mut self, host: &Host, version: Option<&Version>) {
        let Some(id) = self.ids.remove(host) else {
            return;
        };
        self.endpoints.remove(id);
        if let Some(group) = version.and_then(|version| self.groups.get_mut(version)) {
            group.remove(id);
        }
    }

    fn add_endpoint(&mut self, now: Moment, record: &Record) {
        let Some(offer) = ready_offer(record) else {
            return;
        };
        let host = record.contact.host.clone();
        let endpoint = Endpoint::new(now, host.clone(), offer.slots);
        let id = self.endpoints.insert(endpoint);
        self.ids.insert(host, id);
        let tier = self.tier_of(record);
        let group = self.groups.entry(offer.version.clone()).or_default();
        group.add(tier, id);
    }

    fn tier_of(&self, record: &Record) -> Tier {
        if record.contact.domain == self.domain {
            Tier::Own
        } else if record.contact.region == self.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }

    /// Returns the membership record of a host, or `None` if the host is unknown.
    #[must_use]
    pub fn record(&self, host: &Host) -> Option<&Record> {
        self.records.get(host).map(Arc::as_ref)
    }

    /// Returns the hosts of a service whose nodes are not gone, including those that are leaving.
    pub fn hosts_of(&self, service: &Service) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .map(Arc::as_ref)
            .filter(|record| record.state != State::Gone)
            .filter(move |record| {
                let offer = record.offer.as_ref();
                offer.is_some_and(|offer| offer.service == *service)
            })
    }

    /// Returns the owners of idempotency keys.
    #[must_use]
    pub fn owners(&self) -> &owner::Owners {
        &self.owners
    }

    /// Returns the route for a path of a service.
    ///
    /// # Errors
    /// Returns `Reason::NoRoute` if no route matches.
    pub fn route(&self, service: &Service, path: &str) -> Result<Arc<Route>, Reason> {
        let route = self.routes.find(service, path);
        route.cloned().ok_or(Reason::NoRoute)
    }

    /// Chooses an upstream for a request and counts the attempt as in flight.
    ///
    /// # Errors
    /// Returns the reason if there is no route or no endpoint; the request has then not run.
    pub fn choose(&mut self, now: Moment, query: Query) -> Result<Choice, Reason> {
        let route = self.route(query.service, query.path)?;
        let version = route
            .choose_version(query.id)
            .ok_or(Reason::NoRoute)?
            .clone();
        let group = self.groups.get_mut(&version).ok_or(Reason::NoEndpoint)?;
        let criteria = Criteria {
            avoid: query.avoid,
            endpoints: &self.endpoints,
            now,
            policy: self.policy,
        };
        let (tier, id) = group
            .choose(&criteria, &mut self.rng)
            .ok_or(Reason::NoEndpoint)?;
        let endpoint = &mut self.endpoints[id];
        endpoint.begin();
        Ok(Choice {
            at: now,
            host: endpoint.host.clone(),
            id,
            route,
            tier,
            version,
        })
    }

    /// Returns the host whose upstream trials of a quarantined request run at: the one that ranks
    /// highest for the request among those of the service that accept new requests.
    #[must_use]
    pub fn trial_host(&self, service: &Service, fingerprint: Fingerprint) -> Option<&Host> {
        self.hosts_of(service)
            .filter(|record| record.state == State::Ready)
            .map(|record| &record.contact.host)
            .max_by_key(|host| fingerprint.rank(host.as_str()))
    }

    /// Chooses the upstream for a trial of a quarantined request and counts the attempt as in flight.
    /// Requests that the route sends to another version than that of this upstream are not tried.
    ///
    /// # Errors
    /// Returns the reason if there is no route or no such upstream; the request has then not run.
    pub fn choose_trial(
        &mut self,
        now: Moment,
        query: Query,
        fingerprint: Fingerprint,
    ) -> Result<Choice, Reason> {
        let route = self.route(query.service, query.path)?;
        let version = route
            .choose_version(query.id)
            .ok_or(Reason::NoRoute)?
            .clone();
        let host = self
            .trial_host(query.service, fingerprint)
            .filter(|host| !query.avoid.contains(host))
            .cloned()
            .ok_or(Reason::Quarantined)?;
        let record = self.record(&host).ok_or(Reason::Quarantined)?;
        let tier = self.tier_of(record);
        let is_version = ready_offer(record).is_some_and(|offer| offer.version == version);
        let id = self.ids.get(&host).copied();
        let id = id.filter(|_| is_version).ok_or(Reason::Quarantined)?;
        self.endpoints[id].begin();
        Ok(Choice {
            at: now,
            host,
            id,
            route,
            tier,
            version,
        })
    }

    /// Records how an attempt ended, and the load that came back with the answer if there was one.
    pub fn finish(
        &mut self,
        now: Moment,
        choice: &Choice,
        kind: outcome::Kind,
        load: Option<Load>,
    ) {
        let latency = now.since(choice.at);
        if let Some(endpoint) = self.endpoints.get_mut(choice.id) {
            endpoint.finish(now, kind, latency, load);
        }
        if let Some(group) = self.groups.get_mut(&choice.version) {
            group.eject_outlier(now, choice.id, &mut self.endpoints);
        }
        self.outcomes.push(Outcome {
            at: now,
            host: choice.host.clone(),
            kind,
            latency,
            route: choice.route.name.clone(),
            version: choice.version.clone(),
        });
    }

    /// Stops sending requests to a host for some time, after it refused new work.
    fn back_off(&mut self, now: Moment, host: &Host) {
        if let Some(id) = self.ids.get(host) {
            self.endpoints[*id].back_off(now);
        }
    }

    /// Records the load that an upstream reports about itself. It serves only as a hint.
    pub fn record_reported_load(&mut self, host: &Host, load: u32) {
        if let Some(id) = self.ids.get(host) {
            self.endpoints[*id].record_reported_load(load);
        }
    }

    /// Records a successful request, which adds to the service's retry budget.
    pub fn record_success(&mut self, service: &Service) {
        if let Some(budget) = self.budgets.get_mut(service) {
            return budget.deposit();
        }
        self.budgets.entry(service.clone()).or_default().deposit();
    }

    /// Decides whether a request whose last attempt failed is retried. A retry is charged to the
    /// budget, and a host that refused new work is avoided for some time.
    ///
    /// # Errors
    /// Returns why the request is not retried; the budget is not charged in that case.
    pub fn try_retry(
        &mut self,
        now: Moment,
        query: Query,
        failure: Failure,
        attempt: Attempt,
    ) -> Result<(), Denial> {
        let reason = failure.reason();
        if let (Reason::Leaving | Reason::WrongVersion, Some(host)) = (reason, query.avoid.last()) {
            self.back_off(now, host);
        }
        if retry::decide(attempt.class, Stage::of(failure), reason) == Verdict::End {
            return Err(Denial::Verdict);
        }
        if !self.has_untried(now, query) {
            return Err(Denial::Endpoint);
        }
        let budget = self.budgets.entry(query.service.clone()).or_default();
        budget.try_withdraw(now, attempt)
    }

    fn has_untried(&self, now: Moment, query: Query) -> bool {
        let criteria = Criteria {
            avoid: query.avoid,
            endpoints: &self.endpoints,
            now,
            policy: self.policy,
        };
        self.routes
            .find(query.service, query.path)
            .and_then(|route| self.groups.get(route.choose_version(query.id)?))
            .is_some_and(|group| group.has_untried(&criteria))
    }

    /// Returns the share of a version's traffic that crosses the slow link, from 0 to 1.
    #[must_use]
    pub fn remote_share(&self, version: &Version) -> f64 {
        self.groups.get(version).map_or(0.0, Group::remote_share)
    }

    /// Removes and returns the outcomes since the last call, oldest first, for the judgement of
    /// rollouts.
    pub fn drain_outcomes(&mut self) -> Vec<Outcome> {
        self.outcomes.drain()
    }
}

/// Returns the offer of a host that accepts new requests, or `None` if it does not.
fn ready_offer(record: &Record) -> Option<&Offer> {
    let offer = record.offer.as_ref()?;
    (record.state == State::Ready).then_some(offer)
}

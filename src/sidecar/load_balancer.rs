//! Load balancing: chooses the upstream that a request is sent to.
//!
//! Designed for upstreams of different capacity under bursts of callers, where traffic between failure domains
//! is billed by volume and the link between regions is narrow. Each candidate gets a cost from its expected
//! response time, its distance and its failure rate, and the cheapest one is chosen: the own failure domain while
//! it has capacity, then the region, and another region only if the answer would otherwise be late or refused.
//! The load of an upstream is what its node reported with its last answer, corrected by the requests that this
//! node has sent there since.

mod choice;
mod endpoint;
mod outcome;
mod request;
mod transit;
mod version_filter;

pub use {
    choice::{Choice, Unavailable},
    outcome::{AttemptResult, Load},
    request::{Location, Request},
    version_filter::VersionFilter,
};

use {
    super::{fair_share::Requester, load_level::Levels, pace::Estimate, regions::Restriction},
    crate::{
        traffic::{quarantine::Fingerprint, spill::Tier},
        types::{Host, Moment, Permille, Region, Service, Version},
    },
    endpoint::{CROSS_DOMAIN_COST, Endpoint},
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    transit::Transit,
    xxhash_rust::xxh3::xxh3_64,
};

/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Run time assumed until an upstream of the service has answered. It must not be zero, so that requests in flight
/// still add to the cost.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Number of upstreams sampled from each tier. If every node chose the best of all upstreams they would overload
/// it together, as they share the same slightly outdated view of its load.
const SAMPLES_PER_TIER: usize = 4;
/// Longest time for which an upstream that was out of capacity gets no requests of the same or a lower priority.
const DECLINE_BACKOFF_MAX: Duration = Duration::from_millis(60);

/// Service and capacity of an upstream, as announced by its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Remaining warm-up time, during which the upstream is slower.
    pub cold: Duration,
    /// Requests per second that the upstream gets during its warm-up; 0 for no limit.
    pub cold_rate: u32,
    /// Service that it runs.
    pub service: Service,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version that it runs.
    pub version: Version,
}

/// Upstreams that this node can reach, with their last known load.
#[derive(Debug)]
pub struct LoadBalancer {
    endpoints: BTreeMap<Host, Endpoint>,
    levels: Levels,
    rng: StdRng,
}

impl LoadBalancer {
    /// Creates a load balancer without upstreams, whose random choices derive from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            levels: Levels::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Removes the upstream of a host that does not respond.
    pub fn remove(&mut self, host: &Host) {
        self.endpoints.remove(host);
    }

    /// Records the offer of a host's upstream. `None` removes the upstream, as it accepts no new requests.
    /// Load, failure rate and end of the warm-up are kept while service and version stay the same, the latter unless an
    /// upstream of a limited rate states another one.
    pub fn update_offer(
        &mut self,
        now: Moment,
        host: &Host,
        location: Location,
        offer: Option<Offer>,
    ) {
        let Some(offer) = offer else {
            self.endpoints.remove(host);
            return;
        };
        let cold_until = now + offer.cold;
        match self.endpoints.get_mut(host) {
            Some(endpoint)
                if endpoint.offer.service == offer.service
                    && endpoint.offer.version == offer.version =>
            {
                let is_limited = offer.cold_rate > 0 || endpoint.offer.cold_rate > 0;
                if is_limited && offer.cold != endpoint.offer.cold {
                    endpoint.cold_until = cold_until;
                }
                endpoint.offer = offer;
            }
            _ => {
                let endpoint = Endpoint {
                    cold_until,
                    declined_until: BTreeMap::new(),
                    failure_rate: 0.0,
                    outcome_at: now,
                    offer,
                    other_requests: 0.0,
                    own_requests: 0,
                    pace: Estimate::default(),
                    rank: xxh3_64(host.as_str().as_bytes()),
                    region: location.region.clone(),
                    reported_at: now,
                    run_time: None,
                    tier: location.tier,
                    transit: Transit::default(),
                };
                self.endpoints.insert(host.clone(), endpoint);
            }
        }
    }

    /// Returns `true` if a service has an upstream of a version.
    #[must_use]
    pub fn has_version(&self, service: &Service, version: &Version) -> bool {
        let mut offers = self.endpoints.values().map(|endpoint| &endpoint.offer);
        offers.any(|offer| offer.service == *service && offer.version == *version)
    }

    /// Chooses a host for a request and counts the attempt as in flight until [`record_result`](Self::record_result).
    ///
    /// # Errors
    /// Returns the reason if no upstream can be chosen.
    pub fn choose(&mut self, now: Moment, request: Request) -> Result<Choice, Unavailable> {
        let typical = self.typical_run_time(request.service);
        let max_rank = self.max_rank(request);
        let is_eligible = |host: &Host, endpoint: &Endpoint| {
            endpoint.offer.service == *request.service
                && !request.tried.contains(host)
                && request.regions.permits(&endpoint.region)
                && request
                    .version_filter
                    .is_none_or(|side| side.admits(&endpoint.offer.version))
                && endpoint.rank <= max_rank
        };
        let mut declined = false;
        let mut tiers: [Vec<(&Host, &Endpoint)>; 3] = Default::default();
        for (host, endpoint) in &self.endpoints {
            if !is_eligible(host, endpoint) {
                continue;
            }
            if endpoint.is_declining(now, &request) {
                declined = true;
            } else {
                tiers[endpoint.tier as usize].push((host, endpoint));
            }
        }
        let mut best: Option<(f64, &Host)> = None;
        // Where every sampled upstream of the own domain has a queue, an idle one elsewhere costs less.
        let mut own_waiting = 0.0;
        for (tier, candidates) in Tier::ALL.into_iter().zip(&tiers) {
            let level = self.levels.at(now, request.service, tier);
            let mut least_waiting: f64 = CROSS_DOMAIN_COST;
            for (host, endpoint) in candidates.choose_multiple(&mut self.rng, SAMPLES_PER_TIER) {
                let waiting = endpoint.waiting_cost(now, level);
                least_waiting = least_waiting.min(waiting);
                let mut cost = endpoint.cost(now, level, typical, request.worth_for);
                if tier != Tier::Own {
                    cost += waiting - own_waiting;
                }
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, host));
                }
            }
            if tier == Tier::Own && best.is_some() {
                own_waiting = least_waiting;
            }
        }
        let Some((_, host)) = best else {
            return Err(if declined {
                Unavailable::Declined
            } else {
                Unavailable::NoUpstream
            });
        };
        let host = host.clone();
        let endpoint = self
            .endpoints
            .get_mut(&host)
            .ok_or(Unavailable::NoUpstream)?;
        endpoint.own_requests += 1;
        Ok(Choice {
            version: endpoint.offer.version.clone(),
            host,
        })
    }

    /// Returns the host whose upstream trials of a quarantined request run at: the one with the highest hash of host and
    /// request among those of the nearest region that has the service. All nodes of a region agree on it, as they are
    /// connected to each other. `regions` are those in which the request may run.
    #[must_use]
    pub fn trial_host(
        &self,
        service: &Service,
        fingerprint: Fingerprint,
        regions: &Restriction,
    ) -> Option<(&Host, &Region)> {
        let is_remote = |endpoint: &Endpoint| endpoint.tier == Tier::Remote;
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint.offer.service == *service && regions.permits(&endpoint.region)
            })
            .max_by_key(|(host, endpoint)| (!is_remote(endpoint), fingerprint.rank(host.as_str())))
            .map(|(host, endpoint)| (host, &endpoint.region))
    }

    /// Chooses a host for a request if it is eligible, as [`choose`](Self::choose) does among all.
    ///
    /// # Errors
    /// Returns the reason if the upstream of the host can't be chosen.
    pub fn choose_host(&mut self, host: &Host, request: Request) -> Result<Choice, Unavailable> {
        let endpoint = self
            .endpoints
            .get_mut(host)
            .filter(|endpoint| {
                request
                    .version_filter
                    .is_none_or(|side| side.admits(&endpoint.offer.version))
            })
            .ok_or(Unavailable::NoUpstream)?;
        endpoint.own_requests += 1;
        Ok(Choice {
            version: endpoint.offer.version.clone(),
            host: host.clone(),
        })
    }

    /// Records the result of an attempt, and the load that the upstream's node reported with its answer.
    pub fn record_result(
        &mut self,
        now: Moment,
        host: &Host,
        result: AttemptResult,
        load: Option<Load>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(host) else {
            return;
        };
        endpoint.own_requests = endpoint.own_requests.saturating_sub(1);
        let sample = match result {
            AttemptResult::Answered => Some(0.0),
            AttemptResult::Failed => Some(1.0),
            AttemptResult::Inconclusive => None,
        };
        if let Some(sample) = sample {
            let previous = endpoint.current_failure_rate(now);
            endpoint.failure_rate = previous + FAILURE_SMOOTHING * (sample - previous);
            endpoint.outcome_at = now;
        }
        if let Some(load) = load {
            let total = f64::from(load.running) + f64::from(load.queued);
            endpoint.other_requests = (total - f64::from(endpoint.own_requests)).max(0.0);
            endpoint.reported_at = now;
            endpoint.run_time = Some(load.run_time);
            if let Some(pace) = load.pace {
                endpoint.pace.record(now, pace);
                if result == AttemptResult::Answered {
                    let per_slot = endpoint.other_requests / f64::from(load.slots.max(1));
                    let service = &endpoint.offer.service;
                    self.levels.record(now, service, endpoint.tier, per_slot);
                }
            }
        }
    }

    /// Records the time that an attempt took beyond what the host's node spent on it.
    pub fn record_transit(&mut self, now: Moment, host: &Host, transit: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.transit.record(now, transit);
        }
    }

    /// Records that a host had no capacity for a request like this one and expects to have some after `room_in`.
    pub fn record_decline(&mut self, now: Moment, host: &Host, by: Requester, room_in: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            let until = now + room_in.min(DECLINE_BACKOFF_MAX);
            endpoint.declined_until.retain(|_, until| now < *until);
            endpoint.declined_until.insert(by, until);
        }
    }

    /// Returns the highest rank of an upstream that a request may run on. Ranks are hashes of the host name and
    /// thus equal at every node, so that all nodes use the same subset of a new version's upstreams.
    fn max_rank(&self, request: Request) -> u64 {
        let Some(VersionFilter::Candidate(version, share)) = request.version_filter else {
            return u64::MAX;
        };
        let is_new = |offer: &Offer| offer.service == *request.service && offer.version == *version;
        let selected = self
            .endpoints
            .values()
            .filter(|endpoint| is_new(&endpoint.offer));
        let mut ranks: Vec<u64> = selected.map(|endpoint| endpoint.rank).collect();
        ranks.sort_unstable();
        let count = ranks.len() * usize::from(share.0);
        let used = count.div_ceil(usize::from(Permille::WHOLE.0)).max(1);
        ranks.get(used - 1).copied().unwrap_or(u64::MAX)
    }

    /// Returns the mean run time of a service's upstreams, used for upstreams that have not answered yet.
    fn typical_run_time(&self, service: &Service) -> Duration {
        let runs = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.offer.service == *service)
            .filter_map(|endpoint| endpoint.run_time);
        let (sum, count) = runs.fold((Duration::ZERO, 0), |(sum, count), run| {
            (sum + run, count + 1)
        });
        sum.checked_div(count).unwrap_or(DEFAULT_RUN_TIME)
    }
}

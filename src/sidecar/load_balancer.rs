//! Load balancing: chooses the upstream that a request is sent to.
//!
//! Designed for upstreams of different capacity under bursts of callers, where traffic between failure domains
//! is billed by volume and the link between regions is narrow. Each candidate gets a cost from its expected
//! response time, its distance and its failure rate, and the cheapest one is chosen: the own failure domain while
//! it has capacity, then the region, and another region only if the answer would otherwise be late or refused.
//! The load of an upstream is what its node reported with its last answer, corrected by the requests that this
//! node has sent there since.

mod choice;
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
    super::{fair_share::Requester, load_level::Levels, pace::Estimate},
    crate::{
        traffic::spill::Tier,
        types::{Host, Moment, Permille, Region, Service, Version},
    },
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    transit::Transit,
    xxhash_rust::xxh3::xxh3_64,
};

/// Half-life of a report of the load from other nodes: about the time of one run.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Cost of leaving the own failure domain, as a fraction of the answer's value: traffic between domains is billed
/// by volume.
const CROSS_DOMAIN_COST: f64 = 0.2;
/// Cost of leaving the region, as a fraction of the answer's value: the link is also narrow.
const CROSS_REGION_COST: f64 = 0.45;
/// Fraction of the target latency up to which an answer of average duration is certain to be on time.
const SAFE_FRACTION: f64 = 0.5;
/// Fraction of the target latency beyond `SAFE_FRACTION` at which all of the value is lost. Run times vary, so the
/// probability of a late answer grows with the expected time.
const LATE_FRACTION: f64 = 0.7;
/// Cost of an answer that is just on time: a faster one is worth no more, but leaves capacity for others.
const EARLY_COST: f64 = 0.1;
/// Assumed round trip time between regions: that within a continent.
const CROSS_REGION_RTT: Duration = Duration::from_millis(25);
/// Lower bound of the target latency in comparisons, so that a request that is already late still goes to the
/// fastest upstream.
const TARGET_MIN: Duration = Duration::from_millis(100);
/// Factor by which an upstream is slower after its start, for the warm-up time that it announces.
const COLD_FACTOR: f64 = 2.0;
/// Cost of an upstream that gets a limited rate during its warm-up, as a fraction of the answer's value: more than that of
/// any distance, so that warm upstreams are chosen first.
const COLD_COST: f64 = 0.5;
/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Cost of a request that is certain to fail, in units of an answer's value.
const FAILURE_COST: f64 = 2.0;
/// Half-life of an upstream's failure rate without new outcomes, so that a failing one is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
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

#[derive(Debug)]
struct Endpoint {
    cold_until: Moment,
    declined_until: BTreeMap<Requester, Moment>,
    failure_rate: f64,
    outcome_at: Moment,
    offer: Offer,
    other_requests: f64,
    own_requests: u32,
    pace: Estimate,
    rank: u64,
    region: Region,
    reported_at: Moment,
    run_time: Option<Duration>,
    tier: Tier,
    transit: Transit,
}

impl Endpoint {
    fn expected_run_time(&self, now: Moment, typical: Duration) -> f64 {
        let usual = self.run_time.unwrap_or(typical).as_secs_f64();
        let run_time = usual * self.pace.factor(now);
        if now < self.cold_until && self.run_time.is_none() {
            run_time * COLD_FACTOR
        } else {
            run_time
        }
    }

    /// Returns the rate to which the upstream is limited by its warm-up, `None` if it is not.
    fn cold_rate(&self, now: Moment) -> Option<f64> {
        let is_limited = self.offer.cold_rate > 0 && now < self.cold_until;
        is_limited.then(|| f64::from(self.offer.cold_rate))
    }

    /// Returns the expected number of requests here. A report fades to the load expected from `level`, the requests per
    /// slot at upstreams of the same distance; to none if the upstream reports no pace.
    fn estimated_load(&self, now: Moment, level: f64) -> f64 {
        let is_paced = self.pace.at(now).is_some();
        let usual = if is_paced {
            level * f64::from(self.offer.slots)
        } else {
            0.0
        };
        let age = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        usual + (self.other_requests - usual) * (-age).exp2() + f64::from(self.own_requests)
    }

    fn current_failure_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.outcome_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * (-age).exp2()
    }

    /// Returns the cost of a request to this upstream as a fraction of the answer's value: the probability of a
    /// late answer, the distance and the probability of failure.
    fn cost(&self, now: Moment, level: f64, typical: Duration, worth_for: Duration) -> f64 {
        let run_time = self.expected_run_time(now, typical);
        let slots = f64::from(self.offer.slots.max(1));
        let cold_rate = self.cold_rate(now);
        // At a limited rate, no more requests than this run at a time.
        let slots = cold_rate.map_or(slots, |rate| slots.min((rate * run_time).max(1.0)));
        let load = self.estimated_load(now, level);
        let ahead = (load + 1.0 - slots).max(0.0);
        // An upstream close to its capacity is likely to be full when the request arrives.
        let crowding = run_time * 0.25 * (load / slots).min(1.0);
        let (distance, rtt) = match self.tier {
            Tier::Own => (0.0, 0.0),
            Tier::Region => (CROSS_DOMAIN_COST, 0.0),
            Tier::Remote => (CROSS_REGION_COST, CROSS_REGION_RTT.as_secs_f64()),
        };
        let transit = self.pace.at(now).map_or(0.0, |_| self.transit.at(now));
        let time = run_time + run_time * ahead / slots + crowding + rtt.max(transit);
        let target_fraction = time / worth_for.as_secs_f64().max(TARGET_MIN.as_secs_f64());
        let late = ((target_fraction - SAFE_FRACTION) / LATE_FRACTION).max(0.0);
        EARLY_COST * target_fraction.min(1.0)
            + late
            + distance
            + cold_rate.map_or(0.0, |_| COLD_COST)
            + FAILURE_COST * self.current_failure_rate(now)
    }

    /// Returns the cost of waiting for a slot, up to that of another domain; 0 if the upstream reports no pace.
    fn waiting_cost(&self, now: Moment, level: f64) -> f64 {
        let slots = f64::from(self.offer.slots.max(1));
        let ahead = (self.estimated_load(now, level) + 1.0 - slots).clamp(0.0, 1.0);
        self.pace.at(now).map_or(0.0, |_| CROSS_DOMAIN_COST * ahead)
    }

    fn is_declining(&self, now: Moment, request: &Request) -> bool {
        self.declined_until
            .range((request.account, 0)..=(request.account, request.priority))
            .any(|(_, until)| now < *until)
    }
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

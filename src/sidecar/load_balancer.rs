//! Load balancing: chooses the upstream that a request is sent to.
//!
//! Designed for upstreams of different capacity under bursts of callers, where traffic between failure domains
//! is billed by volume and the link between regions is narrow. Each candidate gets a cost from its expected
//! response time, its distance and its failure rate, and the cheapest one is chosen: the own failure domain while
//! it has capacity, then the region, and another region only if the answer would otherwise be late or refused.
//! The load of an upstream is what its node reported with its last answer, corrected by the requests that this
//! node has sent there since.

use {
    super::fair_share::{AccountId, Requester},
    crate::{
        traffic::spill::Tier,
        types::{Host, Moment, Permille, Service, Version},
    },
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
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

/// Load of the node at an upstream, as reported with each of its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Average run time.
    #[serde(rename = "run")]
    pub run_time: Duration,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
}

/// Service and capacity of an upstream, as announced by its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Remaining warm-up time, during which the upstream is slower.
    pub cold: Duration,
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
    rank: u64,
    reported_at: Moment,
    run_time: Option<Duration>,
    tier: Tier,
}

impl Endpoint {
    fn expected_run_time(&self, now: Moment, typical: Duration) -> f64 {
        let run_time = self.run_time.unwrap_or(typical).as_secs_f64();
        if now < self.cold_until && self.run_time.is_none() {
            run_time * COLD_FACTOR
        } else {
            run_time
        }
    }

    fn estimated_load(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        self.other_requests * (-age).exp2() + f64::from(self.own_requests)
    }

    fn current_failure_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.outcome_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * (-age).exp2()
    }

    /// Returns the cost of a request to this upstream as a fraction of the answer's value: the probability of a
    /// late answer, the distance and the probability of failure.
    fn cost(&self, now: Moment, typical: Duration, worth_for: Duration) -> f64 {
        let run_time = self.expected_run_time(now, typical);
        let slots = f64::from(self.offer.slots.max(1));
        let ahead = (self.estimated_load(now) + 1.0 - slots).max(0.0);
        // An upstream close to its capacity is likely to be full when the request arrives.
        let crowding = run_time * 0.25 * (self.estimated_load(now) / slots).min(1.0);
        let (distance, rtt) = match self.tier {
            Tier::Own => (0.0, 0.0),
            Tier::Region => (CROSS_DOMAIN_COST, 0.0),
            Tier::Remote => (CROSS_REGION_COST, CROSS_REGION_RTT.as_secs_f64()),
        };
        let time = run_time + run_time * ahead / slots + crowding + rtt;
        let target_fraction = time / worth_for.as_secs_f64().max(TARGET_MIN.as_secs_f64());
        let late = ((target_fraction - SAFE_FRACTION) / LATE_FRACTION).max(0.0);
        EARLY_COST * target_fraction.min(1.0)
            + late
            + distance
            + FAILURE_COST * self.current_failure_rate(now)
    }

    fn is_declining(&self, now: Moment, request: &Request) -> bool {
        self.declined_until
            .range((request.account, 0)..=(request.account, request.priority))
            .any(|(_, until)| now < *until)
    }
}

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
    fn admits(self, version: &Version) -> bool {
        match self {
            Self::Candidate(new, _) => version == new,
            Self::Baseline(new) => version != new,
        }
    }
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
    /// Service that it is for.
    pub service: &'a Service,
    /// Upstreams that it may run on during a rollout; `None` allows all.
    pub version_filter: Option<VersionFilter<'a>>,
    /// Time from now during which its answer has its full value.
    pub worth_for: Duration,
}

/// Upstream chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Host of the upstream.
    pub host: Host,
    /// Version that the upstream runs.
    pub version: Version,
}

/// Result of an attempt, as far as it concerns the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered without a failure of its own.
    Answered,
    /// The upstream or the connection to it failed.
    Failed,
    /// Nothing can be concluded about the upstream: it declined the request or the caller cancelled it.
    Inconclusive,
}

/// Reason why no upstream could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No upstream of the service is known, or all of them were tried.
    NoUpstream,
    /// All remaining upstreams recently declined a request of the same or a higher priority.
    Declined,
}

/// Upstreams that this node can reach, with their last known load.
#[derive(Debug)]
pub struct LoadBalancer {
    endpoints: BTreeMap<Host, Endpoint>,
    rng: StdRng,
}

impl LoadBalancer {
    /// Creates a load balancer without upstreams, whose random choices derive from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records the offer of a host's upstream. `None` removes the upstream, as it accepts no new requests.
    /// Load, failure rate and end of the warm-up are kept while service and version stay the same.
    pub fn update_offer(&mut self, now: Moment, host: &Host, tier: Tier, offer: Option<Offer>) {
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
                    rank: xxh3_64(host.as_str().as_bytes()),
                    reported_at: now,
                    run_time: None,
                    tier,
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
        for tier in &tiers {
            for (host, endpoint) in tier.choose_multiple(&mut self.rng, SAMPLES_PER_TIER) {
                let cost = endpoint.cost(now, typical, request.worth_for);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, host));
                }
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

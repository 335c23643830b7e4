//! Which upstream a request is sent to.
//!
//! The load that it answers: places of unlike size under waves of callers, where every byte that leaves the
//! failure domain is paid for and every byte that leaves the region is dear. A request goes where its answer
//! is expected first, with distance counted as time: the own domain while it has room, then the region, and
//! across the slow link only if it would otherwise be late or refused. The load of an upstream is what its
//! node reported with its last answer, corrected by what was sent there since.

use {
    crate::{
        traffic::spill::Tier,
        world::{Host, Moment, Permille, Service, Version},
    },
    rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// The half-life of a report of other nodes' load: about one run.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// What leaving the own failure domain costs, in parts of an answer's value: traffic between domains is billed
/// by volume.
const DOMAIN_COST: f64 = 0.2;
/// What leaving the region costs: the link is narrow as well.
const REGION_COST: f64 = 0.45;
/// The part of the time to its target up to which an average answer is in time for sure.
const SAFE_PART: f64 = 0.5;
/// The part of the time to its target beyond the safe one that loses all of the value: run times vary, so the
/// chance to be late grows with the expected time.
const LATE_PART: f64 = 0.7;
/// What an answer just in time costs: a faster one is no better, but leaves room for others.
const EARLY_COST: f64 = 0.1;
/// The round trip between regions that is assumed: that of a continent's.
const REGION_TRIP: Duration = Duration::from_millis(25);
/// The least time to a target that is compared with, so that what is late already still goes where it is soonest.
const TARGET_MIN: Duration = Duration::from_millis(100);
/// By how much a just started upstream is slower than a warm one, until the time that it states.
const COLD_FACTOR: f64 = 2.0;
/// The weight of a new outcome in the average of failures.
const FAILURE_GAIN: f64 = 0.1;
/// What a certain failure costs.
const FAILURE_COST: f64 = 2.0;
/// How fast a failing upstream is given another chance.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The run time that is assumed while no upstream of a service has answered: any time but none, so that what is
/// under way counts.
const RUN_ASSUMED: Duration = Duration::from_millis(100);
/// How many upstreams of each distance are compared: nodes that all went for the best one would meet there, as
/// what they know of it is the same and a little old.
const DRAWS: usize = 4;
/// How long a refusal for want of room keeps requests of the same or a lower rank away.
const DECLINE_MEMORY: Duration = Duration::from_millis(60);

/// What the node at an upstream has to do, as its answers carry it back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that wait for a slot.
    pub queued: u32,
    /// How long a run takes on average.
    pub run: Duration,
    /// The requests that run.
    pub running: u32,
    /// The requests that may run at a time.
    pub slots: u32,
}

/// What an upstream offers, as its node announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// The service.
    pub service: Service,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The version that it runs.
    pub version: Version,
}

#[derive(Debug)]
struct Endpoint {
    cold_until: Moment,
    declined: BTreeMap<u32, Moment>,
    failure: f64,
    failed_at: Moment,
    offer: Offer,
    others: f64,
    own: u32,
    rank: u64,
    reported_at: Moment,
    run: Option<Duration>,
    tier: Tier,
}

impl Endpoint {
    fn run(&self, now: Moment, typical: Duration) -> f64 {
        let run = self.run.unwrap_or(typical).as_secs_f64();
        if now < self.cold_until && self.run.is_none() {
            run * COLD_FACTOR
        } else {
            run
        }
    }

    fn occupied(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        self.others * (-age).exp2() + f64::from(self.own)
    }

    fn failing(&self, now: Moment) -> f64 {
        let age = now.since(self.failed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure * (-age).exp2()
    }

    /// What a request costs here, in parts of its value: the chance that its answer is late, the distance, and
    /// the chance that it fails.
    fn cost(&self, now: Moment, typical: Duration, worth_for: Duration) -> f64 {
        let run = self.run(now, typical);
        let slots = f64::from(self.offer.slots.max(1));
        let ahead = (self.occupied(now) + 1.0 - slots).max(0.0);
        // A nearly full upstream is likely full by the time that the request arrives.
        let crowding = run * 0.25 * (self.occupied(now) / slots).min(1.0);
        let (distance, trip) = match self.tier {
            Tier::Own => (0.0, 0.0),
            Tier::Region => (DOMAIN_COST, 0.0),
            Tier::Remote => (REGION_COST, REGION_TRIP.as_secs_f64()),
        };
        let time = run + run * ahead / slots + crowding + trip;
        let part = time / worth_for.as_secs_f64().max(TARGET_MIN.as_secs_f64());
        let late = ((part - SAFE_PART) / LATE_PART).max(0.0);
        EARLY_COST * part.min(1.0) + late + distance + FAILURE_COST * self.failing(now)
    }

    fn declines(&self, now: Moment, priority: u32) -> bool {
        self.declined
            .range(..=priority)
            .any(|(_, until)| now < *until)
    }
}

/// Which upstreams of a service a request may run on while its traffic moves between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side<'a> {
    /// Those of the new version, which has this share of the traffic. Only as large a part of them is used as
    /// the share is of the whole, so that each carries the load that it is to have in the end: a version that
    /// is bad only under load shows that while few requests meet it.
    New(&'a Version, Permille),
    /// All but those of the new version.
    Old(&'a Version),
}

impl Side<'_> {
    fn admits(self, version: &Version) -> bool {
        match self {
            Self::New(new, _) => version == new,
            Self::Old(new) => version != new,
        }
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The hosts that were tried already.
    pub avoid: &'a [Host],
    /// The rank of its route.
    pub priority: u32,
    /// The service.
    pub service: &'a Service,
    /// The upstreams that it may run on if a move between versions is under way.
    pub side: Option<Side<'a>>,
    /// For how long its answer has its full value.
    pub worth_for: Duration,
}

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The host.
    pub host: Host,
    /// The version that its upstream runs.
    pub version: Version,
}

/// How an attempt ended, as far as it tells of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The upstream answered, and not with a failure of its own.
    Answered,
    /// The upstream or the way to it failed.
    Failed,
    /// It says nothing of the upstream: turned away, or given up by the caller.
    Silent,
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// No upstream of the service is known, or each was tried.
    Nowhere,
    /// Every upstream has just turned away a request of this rank.
    Declined,
}

/// The upstreams that this node can reach, and what it knows of their load.
#[derive(Debug)]
pub struct Placement {
    endpoints: BTreeMap<Host, Endpoint>,
    rng: StdRng,
}

impl Placement {
    /// Begins without upstreams.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes over what a host's upstream offers; nothing if it takes no new work.
    pub fn offer(&mut self, now: Moment, host: &Host, tier: Tier, offer: Option<Offer>) {
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
                    declined: BTreeMap::new(),
                    failure: 0.0,
                    failed_at: now,
                    offer,
                    others: 0.0,
                    own: 0,
                    rank: xxh3_64(host.as_str().as_bytes()),
                    reported_at: now,
                    run: None,
                    tier,
                };
                self.endpoints.insert(host.clone(), endpoint);
            }
        }
    }

    /// Tells whether a service has an upstream of a version.
    #[must_use]
    pub fn has(&self, service: &Service, version: &Version) -> bool {
        let mut offers = self.endpoints.values().map(|endpoint| &endpoint.offer);
        offers.any(|offer| offer.service == *service && offer.version == *version)
    }

    /// Chooses a host for a request and counts the attempt as begun.
    ///
    /// # Errors
    /// Says why there is none.
    pub fn choose(&mut self, now: Moment, request: Request) -> Result<Place, Full> {
        let typical = self.typical(request.service);
        let last = self.last_rank(request);
        let fits = |host: &Host, endpoint: &Endpoint| {
            endpoint.offer.service == *request.service
                && !request.avoid.contains(host)
                && request
                    .side
                    .is_none_or(|side| side.admits(&endpoint.offer.version))
                && endpoint.rank <= last
        };
        let mut declined = false;
        let mut tiers: [Vec<(&Host, &Endpoint)>; 3] = Default::default();
        for (host, endpoint) in &self.endpoints {
            if !fits(host, endpoint) {
                continue;
            }
            if endpoint.declines(now, request.priority) {
                declined = true;
            } else {
                tiers[endpoint.tier as usize].push((host, endpoint));
            }
        }
        let mut best: Option<(f64, &Host)> = None;
        for tier in &tiers {
            for (host, endpoint) in tier.choose_multiple(&mut self.rng, DRAWS) {
                let cost = endpoint.cost(now, typical, request.worth_for);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, host));
                }
            }
        }
        let Some((_, host)) = best else {
            return Err(if declined {
                Full::Declined
            } else {
                Full::Nowhere
            });
        };
        let host = host.clone();
        let endpoint = self.endpoints.get_mut(&host).ok_or(Full::Nowhere)?;
        endpoint.own += 1;
        Ok(Place {
            version: endpoint.offer.version.clone(),
            host,
        })
    }

    /// Takes in how an attempt ended, and the load that came back with it.
    pub fn finish(&mut self, now: Moment, host: &Host, end: End, load: Option<Load>) {
        let Some(endpoint) = self.endpoints.get_mut(host) else {
            return;
        };
        endpoint.own = endpoint.own.saturating_sub(1);
        let seen = match end {
            End::Answered => Some(0.0),
            End::Failed => Some(1.0),
            End::Silent => None,
        };
        if let Some(seen) = seen {
            let before = endpoint.failing(now);
            endpoint.failure = before + FAILURE_GAIN * (seen - before);
            endpoint.failed_at = now;
        }
        if let Some(load) = load {
            let all = f64::from(load.running) + f64::from(load.queued);
            endpoint.others = (all - f64::from(endpoint.own)).max(0.0);
            endpoint.reported_at = now;
            endpoint.run = Some(load.run);
        }
    }

    /// Takes in that a host had no room for a request of a rank.
    pub fn decline(&mut self, now: Moment, host: &Host, priority: u32, room_in: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            let until = now + room_in.min(DECLINE_MEMORY);
            endpoint.declined.insert(priority, until);
        }
    }

    /// Gives the rank of the last upstream that a request may run on. The ranks are the same at every node, so
    /// that all of them use the same part of a new version's upstreams.
    fn last_rank(&self, request: Request) -> u64 {
        let Some(Side::New(version, share)) = request.side else {
            return u64::MAX;
        };
        let fits = |offer: &Offer| offer.service == *request.service && offer.version == *version;
        let fitting = self.endpoints.values().filter(|held| fits(&held.offer));
        let mut ranks: Vec<u64> = fitting.map(|endpoint| endpoint.rank).collect();
        ranks.sort_unstable();
        let count = ranks.len() * usize::from(share.0);
        let used = count.div_ceil(usize::from(Permille::WHOLE.0)).max(1);
        ranks.get(used - 1).copied().unwrap_or(u64::MAX)
    }

    /// The usual run time of a service's upstreams, which stands in for that of a new one.
    fn typical(&self, service: &Service) -> Duration {
        let runs = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.offer.service == *service)
            .filter_map(|endpoint| endpoint.run);
        let (sum, count) = runs.fold((Duration::ZERO, 0), |(sum, count), run| {
            (sum + run, count + 1)
        });
        sum.checked_div(count).unwrap_or(RUN_ASSUMED)
    }
}

//! An upstream as the load balancer knows it, and the cost of a request to it.

use {
    super::{Offer, Request, transit::Transit},
    crate::{
        sidecar::{fair_share::Requester, pace::Estimate},
        traffic::spill::Tier,
        types::{Moment, Region},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Half-life of a report of the load from other nodes: about the time of one run.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Cost of leaving the own failure domain, as a fraction of the answer's value: traffic between domains is billed
/// by volume.
pub(super) const CROSS_DOMAIN_COST: f64 = 0.2;
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
/// Cost of a request that is certain to fail, in units of an answer's value.
const FAILURE_COST: f64 = 2.0;
/// Half-life of an upstream's failure rate without new outcomes, so that a failing one is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// An upstream, with its last known load.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) cold_until: Moment,
    pub(super) declined_until: BTreeMap<Requester, Moment>,
    pub(super) failure_rate: f64,
    pub(super) outcome_at: Moment,
    pub(super) offer: Offer,
    pub(super) other_requests: f64,
    pub(super) own_requests: u32,
    pub(super) pace: Estimate,
    pub(super) rank: u64,
    pub(super) region: Region,
    pub(super) reported_at: Moment,
    pub(super) run_time: Option<Duration>,
    pub(super) tier: Tier,
    pub(super) transit: Transit,
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

    pub(super) fn current_failure_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.outcome_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * (-age).exp2()
    }

    /// Returns the cost of a request to this upstream as a fraction of the answer's value: the probability of a
    /// late answer, the distance and the probability of failure.
    pub(super) fn cost(
        &self,
        now: Moment,
        level: f64,
        typical: Duration,
        worth_for: Duration,
    ) -> f64 {
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
    pub(super) fn waiting_cost(&self, now: Moment, level: f64) -> f64 {
        let slots = f64::from(self.offer.slots.max(1));
        let ahead = (self.estimated_load(now, level) + 1.0 - slots).clamp(0.0, 1.0);
        self.pace.at(now).map_or(0.0, |_| CROSS_DOMAIN_COST * ahead)
    }

    pub(super) fn is_declining(&self, now: Moment, request: &Request) -> bool {
        self.declined_until
            .range((request.account, 0)..=(request.account, request.priority))
            .any(|(_, until)| now < *until)
    }
}

//! Per-endpoint state for load balancing: the requests that this node has in flight there, their
//! results, and the load that the node of the upstream measured and sent back with its answers. The
//! load that an upstream reports about itself may be stale or false, so it only serves as a hint
//! until the first answer. See docs/design/requests.md.

use {
    super::outcome::Kind,
    crate::types::{Host, Moment},
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::time::Duration,
};

/// The time over which the share of a new endpoint rises to its full value.
pub const WARM_UP: Duration = Duration::from_secs(10);
/// The weight of an endpoint that has just appeared.
const COLD_WEIGHT: f64 = 0.1;
/// How long a load received with an answer counts in full. Its weight then falls to zero over the
/// same time.
const LOAD_FRESH: Duration = Duration::from_millis(200);
/// The weight of a new observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The failure rate above which an endpoint is ejected, unless its peers fail in the same way.
const EJECT_FAILURE_RATE: f64 = 0.4;
/// The number of attempts needed before an endpoint is judged.
const EJECT_ATTEMPTS_MIN: u32 = 8;
/// How long an endpoint gets no requests after it was unreachable or refused new work.
const BACKOFF_INITIAL: Duration = Duration::from_millis(500);
/// The longest time without requests; the time doubles until the next success.
const BACKOFF_MAX: Duration = Duration::from_secs(8);
/// How long an ejected endpoint gets no requests.
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// The latency assumed before an endpoint has answered, in seconds.
const LATENCY_INITIAL_S: f64 = 0.005;
/// The lowest latency used in the cost, in seconds, so that differences between very fast endpoints
/// do not count.
const LATENCY_MIN_S: f64 = 0.001;

new_key_type! {
    /// Identifies an endpoint within one node.
    pub struct Id;
}

/// The load of the node at an upstream, which the node sends back with its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The number of requests that run.
    pub running: u32,
}

/// The policy by which an endpoint is chosen among its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The endpoint whose upstream reports the least load.
    LeastReported,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The cheaper of two random endpoints, by the cost that this node estimates.
    #[default]
    TwoChoices,
}

/// An endpoint, with the statistics by which it is chosen.
#[derive(Debug)]
pub struct Endpoint {
    backoff: Duration,
    backoff_until: Moment,
    attempts: u32,
    ejected_until: Moment,
    failure_rate: f64,
    /// The host of the endpoint.
    pub host: Host,
    in_flight: u32,
    latency_s: f64,
    load: Load,
    load_received_at: Moment,
    in_flight_at_load: u32,
    reported: Option<u32>,
    warm_up_start: Moment,
    slots: u32,
}

impl Endpoint {
    /// Creates an endpoint that has just appeared, whose warm-up begins at `now`.
    #[must_use]
    pub fn new(now: Moment, host: Host, slots: u32) -> Self {
        Self {
            backoff: BACKOFF_INITIAL,
            backoff_until: Moment::default(),
            attempts: 0,
            ejected_until: Moment::default(),
            failure_rate: 0.0,
            host,
            in_flight: 0,
            latency_s: LATENCY_INITIAL_S,
            load: Load::default(),
            load_received_at: Moment::default(),
            in_flight_at_load: 0,
            reported: None,
            warm_up_start: now,
            slots: slots.max(1),
        }
    }

    /// Counts an attempt as in flight.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records how an attempt ended. `load` is `None` if no load came back.
    pub fn finish(&mut self, now: Moment, kind: Kind, latency: Duration, load: Option<Load>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.load = load;
            self.load_received_at = now;
            self.in_flight_at_load = self.in_flight;
        }
        match kind {
            Kind::Success => {
                self.record(0.0, latency);
                self.backoff = BACKOFF_INITIAL;
            }
            Kind::Failure | Kind::Late | Kind::Lost | Kind::Crash => self.record(1.0, latency),
            Kind::Unreachable => self.back_off(now),
            Kind::Cancelled | Kind::Refused => {}
        }
    }

    fn record(&mut self, failure: f64, latency: Duration) {
        self.attempts = self.attempts.saturating_add(1);
        self.failure_rate += EWMA_WEIGHT * (failure - self.failure_rate);
        let seconds = latency.as_secs_f64();
        if failure > 0.0 && seconds < self.latency_s {
            // A fast failure must not lower the latency, or the endpoint would attract requests.
            return;
        }
        self.latency_s += EWMA_WEIGHT * (seconds - self.latency_s);
    }

    /// Stops sending requests to the endpoint for some time, which doubles with each call until the
    /// next success.
    pub fn back_off(&mut self, now: Moment) {
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }

    /// Records the load that the upstream reports about itself.
    pub fn record_reported_load(&mut self, load: u32) {
        self.reported = Some(load);
    }

    /// Returns the load that the upstream last reported, or 0 if it has reported none.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        self.reported.unwrap_or(0)
    }

    /// Returns whether new requests may be sent to the endpoint.
    #[must_use]
    pub fn is_usable(&self, now: Moment) -> bool {
        now >= self.backoff_until && now >= self.ejected_until
    }

    /// Returns whether the endpoint is ejected because it failed while its peers did not.
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the endpoint fails often enough to be ejected.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.attempts >= EJECT_ATTEMPTS_MIN && self.failure_rate > EJECT_FAILURE_RATE
    }

    /// Returns whether enough attempts were made and most of them succeeded.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.attempts >= EJECT_ATTEMPTS_MIN && self.failure_rate < EJECT_FAILURE_RATE / 2.0
    }

    /// Ejects the endpoint for some time. It then warms up again like a new one.
    pub fn eject(&mut self, now: Moment) {
        self.ejected_until = now + EJECTION_TIME;
        self.warm_up_start = self.ejected_until;
        self.attempts = 0;
        self.failure_rate = 0.0;
    }

    /// Returns the number of requests that the upstream runs at a time, at least 1.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the number of slots that the upstream announced.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the estimated number of requests that the endpoint has now, from this node and all
    /// others.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        let own = f64::from(self.in_flight);
        let age = now.since(self.load_received_at);
        if self.load_received_at == Moment::default() {
            return own.max(f64::from(self.reported.unwrap_or(0)));
        }
        let total = f64::from(self.load.running + self.load.queued);
        let others = (total - f64::from(self.in_flight_at_load)).max(0.0);
        own + others * freshness(age)
    }

    /// Returns the expected cost of sending one more request to the endpoint. Lower is better.
    #[must_use]
    pub fn cost(&self, now: Moment) -> f64 {
        let load_per_slot = (self.load(now) + 1.0) / f64::from(self.slots);
        load_per_slot * self.latency_s.max(LATENCY_MIN_S) / self.weight(now)
    }

    fn weight(&self, now: Moment) -> f64 {
        let age = now.since(self.warm_up_start).as_secs_f64() / WARM_UP.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * age).min(1.0)
    }
}

fn freshness(age: Duration) -> f64 {
    let beyond = age.saturating_sub(LOAD_FRESH).as_secs_f64() / LOAD_FRESH.as_secs_f64();
    (1.0 - beyond).max(0.0)
}

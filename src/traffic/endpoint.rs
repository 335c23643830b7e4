//! One endpoint as this node sees it: what it sent there, what came of it, and the true load that the
//! answers carried back. What an upstream reports about itself is only a hint for the time before the
//! first answer. See docs/design/requests.md.

use {
    super::outcome::Kind,
    crate::world::{Host, Moment},
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
    std::time::Duration,
};

/// The time over which a new endpoint is given its full share.
pub const WARM_UP: Duration = Duration::from_secs(10);
/// The weight of an endpoint that has just appeared.
const COLD_WEIGHT: f64 = 0.1;
/// How long a load that an answer carried back counts in full; it fades as long again.
const LOAD_FRESH: Duration = Duration::from_millis(200);
/// The weight of a new observation in the averages.
const GAIN: f64 = 0.1;
/// The average failure above which an endpoint is ejected if its peers do not fail alike.
const EJECT_ABOVE: f64 = 0.4;
/// The attempts that have to be seen before an endpoint is ejected.
const EJECT_AFTER: u32 = 8;
const ASIDE_FIRST: Duration = Duration::from_millis(500);
const ASIDE_LAST: Duration = Duration::from_secs(8);
const EJECTED: Duration = Duration::from_secs(5);
/// The latency that an endpoint is assumed to have before it has answered, in seconds.
const LATENCY_ASSUMED: f64 = 0.005;
/// The least difference in latency that counts, in seconds.
const LATENCY_FLOOR: f64 = 0.001;

new_key_type! {
    /// Identifies an endpoint within one node.
    pub struct Id;
}

/// What the node at an upstream has to do, as its answers carry it back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that wait for a slot.
    pub queued: u32,
    /// The requests that run.
    pub running: u32,
}

/// How an endpoint is chosen among its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The one that reports the least load.
    LeastReported,
    /// Any.
    Random,
    /// One after the other.
    RoundRobin,
    /// The better one of two by what this node saw.
    #[default]
    TwoChoices,
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    aside: Duration,
    aside_until: Moment,
    attempts: u32,
    ejected_until: Moment,
    failing: f64,
    /// The host.
    pub host: Host,
    in_flight: u32,
    latency: f64,
    load: Load,
    load_at: Moment,
    load_own: u32,
    reported: Option<u32>,
    since: Moment,
    slots: u32,
}

impl Endpoint {
    /// Begins with an endpoint that has just appeared.
    #[must_use]
    pub fn new(now: Moment, host: Host, slots: u32) -> Self {
        Self {
            aside: ASIDE_FIRST,
            aside_until: Moment::default(),
            attempts: 0,
            ejected_until: Moment::default(),
            failing: 0.0,
            host,
            in_flight: 0,
            latency: LATENCY_ASSUMED,
            load: Load::default(),
            load_at: Moment::default(),
            load_own: 0,
            reported: None,
            since: now,
            slots: slots.max(1),
        }
    }

    /// Counts an attempt that begins.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Takes in how an attempt ended.
    pub fn finish(&mut self, now: Moment, kind: Kind, latency: Duration, load: Option<Load>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.load = load;
            self.load_at = now;
            self.load_own = self.in_flight;
        }
        match kind {
            Kind::Success => {
                self.observe(0.0, latency);
                self.aside = ASIDE_FIRST;
            }
            Kind::Failure | Kind::Late | Kind::Lost | Kind::Crash => self.observe(1.0, latency),
            Kind::Unreachable => self.set_aside(now),
            Kind::Cancelled | Kind::Refused => {}
        }
    }

    fn observe(&mut self, failure: f64, latency: Duration) {
        self.attempts = self.attempts.saturating_add(1);
        self.failing += GAIN * (failure - self.failing);
        let seconds = latency.as_secs_f64();
        if failure > 0.0 && seconds < self.latency {
            // A quick failure must not make an endpoint attractive.
            return;
        }
        self.latency += GAIN * (seconds - self.latency);
    }

    /// Sends nothing there for a while, longer each time.
    pub fn set_aside(&mut self, now: Moment) {
        self.aside_until = now + self.aside;
        self.aside = (self.aside * 2).min(ASIDE_LAST);
    }

    /// Takes in the load that the upstream reports about itself.
    pub fn report(&mut self, load: u32) {
        self.reported = Some(load);
    }

    /// The load that the upstream reported last.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.reported.unwrap_or(0)
    }

    /// Says whether new work may go there.
    #[must_use]
    pub fn usable(&self, now: Moment) -> bool {
        now >= self.aside_until && now >= self.ejected_until
    }

    /// Says whether it is left out because it failed while its peers did not.
    #[must_use]
    pub fn ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Says whether it fails often enough to be ejected.
    #[must_use]
    pub fn failing(&self) -> bool {
        self.attempts >= EJECT_AFTER && self.failing > EJECT_ABOVE
    }

    /// Says whether it was seen to succeed as a rule.
    #[must_use]
    pub fn healthy(&self) -> bool {
        self.attempts >= EJECT_AFTER && self.failing < EJECT_ABOVE / 2.0
    }

    /// Leaves it out for a while; it comes back like a new one.
    pub fn eject(&mut self, now: Moment) {
        self.ejected_until = now + EJECTED;
        self.since = self.ejected_until;
        self.attempts = 0;
        self.failing = 0.0;
    }

    /// The most requests it runs at a time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes what it announced.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Estimates the requests that it has now, from this node and all others.
    #[must_use]
    pub fn load(&self, now: Moment) -> f64 {
        let own = f64::from(self.in_flight);
        let age = now.since(self.load_at);
        if self.load_at == Moment::default() {
            return own.max(f64::from(self.reported.unwrap_or(0)));
        }
        let carried = f64::from(self.load.running + self.load.queued);
        let others = (carried - f64::from(self.load_own)).max(0.0);
        own + others * freshness(age)
    }

    /// The expected cost of sending one more request there; the lower one of two is taken.
    #[must_use]
    pub fn cost(&self, now: Moment) -> f64 {
        let waiting = (self.load(now) + 1.0) / f64::from(self.slots);
        waiting * self.latency.max(LATENCY_FLOOR) / self.weight(now)
    }

    fn weight(&self, now: Moment) -> f64 {
        let age = now.since(self.since).as_secs_f64() / WARM_UP.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * age).min(1.0)
    }
}

fn freshness(age: Duration) -> f64 {
    let beyond = age.saturating_sub(LOAD_FRESH).as_secs_f64() / LOAD_FRESH.as_secs_f64();
    (1.0 - beyond).max(0.0)
}

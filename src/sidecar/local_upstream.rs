//! State of the upstream on this host: its registration, its admission queue and the requests that run on it.
//!
//! Only this node sends requests to the upstream, so the load that it counts is exact. A request that is declined
//! here has certainly not run. If the upstream dies, the requests that ran on it receive strikes, which quarantine
//! a request that repeatedly crashes upstreams. An upstream that misses its heartbeats, refuses connections or
//! drains offers no capacity to new requests.

mod registration;
mod serve;
mod trial;
mod warm_up;

pub(super) use {serve::serve, trial::judge};

use {
    super::{
        departure::{self, Departure},
        evidence::{Report, Totals},
        frame::{Frame, Request},
        handle::Announcement,
        load_balancer::{Load, Offer},
        node::Core,
        pace::Pace,
        queue::{Action, Queue},
        renewal::Renewal,
        rollout::{Phase, RolloutState},
        upstream_pool::Pool,
    },
    crate::{
        refusal::Reason,
        traffic::{
            admission::Ticket,
            quarantine::{Crash, Fingerprint, Quarantine, Strike},
        },
        types::{Moment, Service},
    },
    registration::Registration,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt::Arguments,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Heartbeat intervals without an announcement after which the upstream counts as gone; announcements may be
/// seconds late.
const LEASE_HEARTBEATS: u32 = 6;

/// Time for which an upstream that refuses connections receives no requests, unless it announces itself earlier.
const DOWN_PERIOD: Duration = Duration::from_secs(2);

/// Maximum number of strikes that are logged for one crash.
const LOGGED_STRIKES_MAX: usize = 8;

/// Decision of the queue: the request may run, or it is declined with a reason and the time after which capacity is
/// expected.
type Decision = Result<(), (Reason, Duration)>;

struct Running {
    started: Moment,
    /// Whether the request was already counted as late.
    late: bool,
    route: u64,
}

impl Running {
    /// Returns whether the request has run longer than its route's limit. No request is late while the upstream is
    /// cold.
    fn is_late(
        &self,
        now: Moment,
        current: &Registration,
        limits: &BTreeMap<u64, Duration>,
    ) -> bool {
        let limit = limits.get(&self.route);
        now >= current.cold_until && limit.is_some_and(|limit| now.since(self.started) > *limit)
    }
}

/// The upstream on this host, as this node knows it.
pub(super) struct LocalUpstream {
    heartbeat: Duration,
    late_limits: RefCell<HashMap<Service, BTreeMap<u64, Duration>>>,
    /// Last departure of an instance, also one from before the start of this process.
    departure: RefCell<Option<Departure>>,
    /// Record of the departure in the store.
    pub(super) departure_record: departure::Record,
    /// Announcement of an instance that may have left before this process started.
    early_announcement: RefCell<Option<Announcement>>,
    /// Whether an announcement may be from before the start of this process.
    pub(super) renewal: Renewal,
    quarantine: RefCell<Quarantine>,
    queue: RefCell<Queue>,
    registration: RefCell<Option<Registration>>,
    running: RefCell<BTreeMap<Ticket, Running>>,
    counts: RefCell<BTreeMap<u64, Totals>>,
    next_ticket: Cell<u64>,
    pool: Pool,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
}

impl LocalUpstream {
    /// Returns the last departure of an instance.
    pub fn departure(&self) -> Option<Departure> {
        self.departure.borrow().clone()
    }

    pub fn new(
        queue: Queue,
        quarantine: Quarantine,
        pool: Pool,
        heartbeat: Duration,
        started_at: Moment,
    ) -> Self {
        Self {
            heartbeat,
            late_limits: RefCell::default(),
            departure: RefCell::default(),
            departure_record: departure::Record::default(),
            early_announcement: RefCell::default(),
            renewal: Renewal::new(started_at),
            quarantine: RefCell::new(quarantine),
            queue: RefCell::new(queue),
            registration: RefCell::default(),
            running: RefCell::default(),
            counts: RefCell::default(),
            next_ticket: Cell::new(0),
            pool,
            waiting: RefCell::default(),
        }
    }

    /// Returns whether an upstream is registered that is not draining.
    pub fn has_upstream(&self) -> bool {
        let registration = self.registration.borrow();
        registration
            .as_ref()
            .is_some_and(|current| !current.is_draining())
    }

    /// Returns what the upstream offers to new requests. `None` if it is not registered, draining or temporarily down,
    /// or if its announcements have stopped.
    pub fn offer(&self, now: Moment) -> Option<Offer> {
        let registration = self.registration.borrow();
        let current = registration.as_ref()?;
        let lease_expired = now.since(current.announced_at) > self.heartbeat * LEASE_HEARTBEATS;
        if current.is_draining() || lease_expired || now < current.down_until {
            return None;
        }
        let mut offer = current.last_announcement.offer.clone();
        if let Some(warm_up) = self.warm_up(now) {
            (offer.cold, offer.cold_rate) = (warm_up.left, warm_up.rate);
        }
        Some(offer)
    }

    /// Returns the numbers of running and waiting requests, the average run time and the present pace.
    pub fn load(&self, now: Moment) -> Load {
        self.queue.borrow().load(now)
    }

    /// Returns the load at the end of a request that arrived at `arrived`.
    pub fn load_after(&self, now: Moment, arrived: Moment) -> Load {
        Load {
            held: now.since(arrived),
            ..self.load(now)
        }
    }

    fn record_pace(&self, now: Moment, pace: Pace) {
        self.queue.borrow_mut().record_pace(now, pace);
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    /// Returns whether the upstream runs at least one request, so that it may make calls of its own.
    pub fn runs_request(&self) -> bool {
        !self.running.borrow().is_empty()
    }

    /// Returns whether this node knows of a request with strikes.
    pub fn has_strikes(&self) -> bool {
        !self.quarantine.borrow().is_empty()
    }

    pub fn strikes(&self) -> Vec<Strike> {
        self.quarantine.borrow().strikes()
    }

    /// Merges strikes from another node into the quarantine and returns those that were new, for forwarding.
    pub fn merge_strikes(&self, now: Moment, mut strikes: Vec<Strike>) -> Vec<Strike> {
        let mut quarantine = self.quarantine.borrow_mut();
        strikes.retain(|strike| quarantine.merge(now, strike.clone()));
        strikes
    }

    /// Records a crash of the upstream as a strike against the requests that ran there, including those whose
    /// callers had gone, and broadcasts the strikes. The end of an upstream that is about to stop is no crash, nor is that of
    /// the old version after a successful rollout: the platform stops it as soon as the rollout has succeeded.
    fn record_crash(&self, core: &Core) {
        let registration = self.registration.borrow();
        if let Some(current) = registration
            .as_ref()
            .filter(|current| !current.is_draining())
        {
            self.record_crash_of(core, &current.last_announcement.offer);
        }
    }

    /// Records a crash of the upstream with this offer as [`record_crash`](Self::record_crash) does.
    fn record_crash_of(&self, core: &Core, offer: &Offer) {
        if Self::is_replaced(core, offer) {
            return;
        }
        let (now, crash) = (core.now(), Crash(rand::random()));
        let strikes = self.quarantine.borrow_mut().record_crash(now, crash);
        for strike in strikes.iter().take(LOGGED_STRIKES_MAX) {
            core.log.record(
                now,
                "quarantine",
                format_args!(
                    "outcome=struck request={} crash={:016x} strikes={} repeated={} requests={}",
                    strike.fingerprint,
                    crash.0,
                    strike.crashes.len(),
                    strike.repeated.len(),
                    strikes.len()
                ),
            );
        }
        if !strikes.is_empty() {
            core.peers.broadcast(&Frame::Strikes(strikes));
        }
    }

    /// Returns whether a rollout to another version than that of the upstream has succeeded.
    fn is_replaced(core: &Core, offer: &Offer) -> bool {
        let states = core.rollout_states.borrow();
        let state = states.get(&offer.service);
        state
            .is_some_and(|state| state.phase == Phase::Succeeded && state.order.to != offer.version)
    }

    /// Returns whether a request that was admitted has been quarantined since.
    fn quarantined_while_waiting(
        &self,
        now: Moment,
        ticket: Ticket,
        fingerprint: Fingerprint,
    ) -> bool {
        let mut quarantine = self.quarantine.borrow_mut();
        !quarantine.is_trial(ticket) && quarantine.check(now, fingerprint)
    }

    pub(super) fn decline_waiting(&self, core: &Core, outcome: Arguments) {
        core.log
            .record(core.now(), "upstream", format_args!("outcome={outcome}"));
        let actions = self.queue.borrow_mut().decline_waiting(Reason::Leaving);
        self.apply_actions(actions);
    }

    fn mark_down(&self, core: &Core, cause: Reason) {
        let now = core.now();
        if let Some(current) = self.registration.borrow_mut().as_mut() {
            current.down_until = now + DOWN_PERIOD;
        }
        self.forget_warm_up();
        self.decline_waiting(core, format_args!("down cause={cause}"));
        core.broadcast_status();
    }

    /// Counts late requests of a service during its rollout, by the rollout's limits for each route.
    pub fn set_late_limits(&self, state: &RolloutState) {
        let mut late_limits = self.late_limits.borrow_mut();
        late_limits.insert(state.order.service.clone(), state.late_limits());
    }

    /// Removes and returns the totals of the upstream's requests since the last call. `None` if there are none.
    pub fn take_report(&self) -> Option<Report> {
        let registration = self.registration.borrow();
        let offer = &registration.as_ref()?.last_announcement.offer;
        let routes = std::mem::take(&mut *self.counts.borrow_mut());
        (!routes.is_empty()).then(|| Report {
            routes,
            service: offer.service.clone(),
            version: offer.version.clone(),
        })
    }

    /// Applies the decisions of the queue that are due, and counts running requests as late once they exceed their
    /// limit.
    pub fn tick(&self, now: Moment) {
        let actions = self.queue.borrow_mut().tick(now);
        self.apply_actions(actions);
        let registration = self.registration.borrow();
        let Some(current) = registration.as_ref() else {
            return;
        };
        let late_limits = self.late_limits.borrow();
        let Some(late_limits) = late_limits.get(&current.last_announcement.offer.service) else {
            return;
        };
        for running in self.running.borrow_mut().values_mut() {
            if !running.late && running.is_late(now, current, late_limits) {
                running.late = true;
                let mut counts = self.counts.borrow_mut();
                let counts = counts.entry(running.route).or_default();
                counts.done += 1;
                counts.late += 1;
            }
        }
    }

    fn apply_actions(&self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, result) = match action {
                Action::Decline(ticket, reason, after) => (ticket, Err((reason, after))),
                Action::Start(ticket) => (ticket, Ok(())),
            };
            if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                // If the request waits no more, its slot guard has been dropped and returns the slot.
                let _ = waiting.send(result);
            }
        }
    }

    /// Returns the registered upstream instance if it may run the request, or the reason to decline it.
    fn accepting_instance(&self, now: Moment, request: &Request) -> Result<String, Reason> {
        if self.offer(now).is_none() {
            return Err(Reason::Leaving);
        }
        let registration = self.registration.borrow();
        let current = registration.as_ref().ok_or(Reason::Leaving)?;
        let offer = &current.last_announcement.offer;
        if offer.service != request.service || offer.version != request.version {
            return Err(Reason::WrongVersion);
        }
        Ok(current.last_announcement.instance.clone())
    }

    fn record_result(&self, now: Moment, ticket: Ticket, failed: bool) {
        let Some(running) = self.running.borrow_mut().remove(&ticket) else {
            return;
        };
        let registration = self.registration.borrow();
        let Some(current) = registration.as_ref() else {
            return;
        };
        let late_limits = self.late_limits.borrow();
        let Some(late_limits) = late_limits.get(&current.last_announcement.offer.service) else {
            return;
        };
        let mut counts = self.counts.borrow_mut();
        let counts = counts.entry(running.route).or_default();
        counts.failed += u32::from(failed);
        if running.late {
            return;
        }
        counts.done += 1;
        counts.late += u32::from(running.is_late(now, current, late_limits));
        counts.run_time += now.since(running.started);
    }
}

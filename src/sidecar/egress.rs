//! The side beside the upstream: only this node reaches it, so its own counts are the true load. A request
//! that is turned away here has truly not run.

mod serve;

pub(super) use serve::serve;

use {
    super::{
        evidence::{Report, Totals},
        frame::{Frame, Request},
        handle::Announcement,
        load_balancer::{Load, Offer},
        node::Core,
        queue::{Action, Queue},
        rollout::RolloutState,
        upstream::Upstream,
    },
    crate::{
        refusal::Reason,
        traffic::{
            admission::Ticket,
            quarantine::{Crash, Quarantine, Strike},
        },
        world::{Moment, Service},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt::Arguments,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// How many announcements may be missed before the upstream is taken for gone: they may come seconds late.
const LEASE_HEARTBEATS: u32 = 6;

/// How long an announcement may be under way: the platform's may arrive seconds late.
const LATE_FOR: Duration = Duration::from_secs(15);
/// How long an upstream that takes no connection is left alone, unless it announces itself.
const DOWN_FOR: Duration = Duration::from_secs(2);

struct Registered {
    announced: Announcement,
    cold_until: Moment,
    down_until: Moment,
    heard: Moment,
    leaving: bool,
}

/// Whether a request may run, or why not and when there is likely room.
type Decision = Result<(), (Reason, Duration)>;

struct Running {
    began: Moment,
    late: bool,
    route: u64,
}

impl Running {
    /// Tells whether it runs for too long by the bounds of the routes; nothing is late while the upstream is cold.
    fn is_late(&self, now: Moment, held: &Registered, bounds: &BTreeMap<u64, Duration>) -> bool {
        let bound = bounds.get(&self.route);
        now >= held.cold_until && bound.is_some_and(|bound| now.since(self.began) > *bound)
    }
}

/// A start of the upstream that has left, and was not known here: this node has just started itself.
struct Left {
    at: Moment,
    instance: String,
}

impl Left {
    /// Tells whether an announcement was made before the upstream left, and has arrived late.
    fn precedes(&self, now: Moment, announcement: &Announcement) -> bool {
        // An incarnation is the Unix millisecond of a start, on the clock of this host.
        let unix_ms = self.at.0 / 1000;
        self.instance == announcement.instance
            && announcement.incarnation <= unix_ms
            && now.since(self.at) < LATE_FOR
    }
}

/// The state of the upstream's side.
pub(super) struct State {
    heartbeat: Duration,
    late_after: RefCell<HashMap<Service, BTreeMap<u64, Duration>>>,
    left: RefCell<Option<Left>>,
    quarantine: RefCell<Quarantine>,
    queue: RefCell<Queue>,
    registered: RefCell<Option<Registered>>,
    running: RefCell<BTreeMap<Ticket, Running>>,
    sums: RefCell<BTreeMap<u64, Totals>>,
    tickets: Cell<u64>,
    upstream: Upstream,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
}

impl State {
    pub fn new(
        queue: Queue,
        quarantine: Quarantine,
        upstream: Upstream,
        heartbeat: Duration,
    ) -> Self {
        Self {
            heartbeat,
            late_after: RefCell::default(),
            left: RefCell::default(),
            quarantine: RefCell::new(quarantine),
            queue: RefCell::new(queue),
            registered: RefCell::default(),
            running: RefCell::default(),
            sums: RefCell::default(),
            tickets: Cell::new(0),
            upstream,
            waiting: RefCell::default(),
        }
    }

    /// Tells whether there is an upstream that has not left.
    pub fn has_upstream(&self) -> bool {
        let registered = self.registered.borrow();
        registered.as_ref().is_some_and(|held| !held.leaving)
    }

    /// Gives what the upstream offers to new requests.
    pub fn offer(&self, now: Moment) -> Option<Offer> {
        let registered = self.registered.borrow();
        let held = registered.as_ref()?;
        let lapsed = now.since(held.heard) > self.heartbeat * LEASE_HEARTBEATS;
        if held.leaving || lapsed || now < held.down_until {
            return None;
        }
        Some(held.announced.offer.clone())
    }

    pub fn load(&self) -> Load {
        self.queue.borrow().load()
    }

    /// Tells whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    pub fn strikes(&self) -> Vec<Strike> {
        self.quarantine.borrow().strikes()
    }

    /// Takes in what another node knows of requests that crash upstreams, and gives what of it is news.
    pub fn learn(&self, now: Moment, mut strikes: Vec<Strike>) -> Vec<Strike> {
        let mut quarantine = self.quarantine.borrow_mut();
        strikes.retain(|strike| quarantine.merge(now, strike.clone()));
        strikes
    }

    /// Takes an announcement; tells whether what the upstream offers has changed.
    pub fn announce(&self, core: &Core, mut announcement: Announcement) -> bool {
        let now = core.now();
        let late = |left: &Left| left.precedes(now, &announcement);
        if self.left.borrow().as_ref().is_some_and(late) {
            core.log
                .line(now, "upstream", format_args!("outcome=announced-late"));
            return false;
        }
        let before = self.offer(now);
        let mut cold_until = now + announcement.offer.cold;
        {
            let mut registered = self.registered.borrow_mut();
            if let Some(held) = registered.as_ref() {
                let order = |held: &Announcement| (held.incarnation, held.sequence);
                let same = held.announced.incarnation == announcement.incarnation;
                let stale = order(&announcement) <= order(&held.announced);
                if stale || (same && held.leaving && !announcement.draining) {
                    return false;
                }
                if same {
                    // What is left of a start's cold time shrinks by itself and is no news.
                    announcement.offer.cold = held.announced.offer.cold;
                    cold_until = held.cold_until;
                }
            }
            let restarted = registered
                .as_ref()
                .is_none_or(|held| held.announced.incarnation != announcement.incarnation);
            // One that starts anew without having left has died.
            let died = registered.as_ref().is_some_and(|held| !held.leaving);
            if restarted && died {
                self.blame(core);
            }
            if restarted {
                self.upstream.reset();
                self.sums.borrow_mut().clear();
                core.log.line(
                    now,
                    "upstream",
                    format_args!(
                        "outcome=announced instance={} service={} version={} slots={} incarnation={}",
                        announcement.instance,
                        announcement.offer.service,
                        announcement.offer.version,
                        announcement.offer.slots,
                        announcement.incarnation
                    ),
                );
            }
            self.queue.borrow_mut().set_slots(announcement.offer.slots);
            *registered = Some(Registered {
                cold_until,
                down_until: Moment::default(),
                heard: now,
                leaving: announcement.draining,
                announced: announcement,
            });
        }
        let after = self.offer(now);
        if before.is_some() && after.is_none() {
            self.close(core, format_args!("draining"));
        }
        before != after
    }

    /// Takes in that an upstream is about to end; tells whether what it offers has changed.
    pub fn leave(&self, core: &Core, instance: &str) -> bool {
        {
            let mut registered = self.registered.borrow_mut();
            match registered.as_mut() {
                Some(held) if held.announced.instance == instance => {
                    if std::mem::replace(&mut held.leaving, true) {
                        return false;
                    }
                }
                _ => {
                    self.remember_left(core, instance);
                    return false;
                }
            }
        }
        self.close(core, format_args!("leaving"));
        true
    }

    fn remember_left(&self, core: &Core, instance: &str) {
        let at = core.now();
        core.log.line(
            at,
            "upstream",
            format_args!("outcome=left-unknown instance={instance}"),
        );
        *self.left.borrow_mut() = Some(Left {
            at,
            instance: instance.into(),
        });
    }

    /// Puts the upstream's death down to what ran there, also if its caller had gone.
    fn blame(&self, core: &Core) {
        let crash = Crash(rand::random());
        let strikes = self.quarantine.borrow_mut().record_crash(core.now(), crash);
        if !strikes.is_empty() {
            core.peers.broadcast(&Frame::Strikes(strikes));
        }
    }

    fn close(&self, core: &Core, outcome: Arguments) {
        core.log
            .line(core.now(), "upstream", format_args!("outcome={outcome}"));
        let actions = self.queue.borrow_mut().decline_waiting(Reason::Leaving);
        self.act(actions);
    }

    fn down(&self, core: &Core, cause: Reason) {
        let now = core.now();
        if let Some(held) = self.registered.borrow_mut().as_mut() {
            held.down_until = now + DOWN_FOR;
        }
        self.close(core, format_args!("down cause={cause}"));
        core.broadcast_status();
    }

    /// Counts late runs of a service whose traffic moves.
    pub fn watch(&self, state: &RolloutState) {
        let mut late_after = self.late_after.borrow_mut();
        late_after.insert(state.order.service.clone(), state.late_limits());
    }

    /// Takes out what the upstream's runs came to.
    pub fn evidence(&self) -> Option<Report> {
        let registered = self.registered.borrow();
        let offer = &registered.as_ref()?.announced.offer;
        let routes = std::mem::take(&mut *self.sums.borrow_mut());
        (!routes.is_empty()).then(|| Report {
            routes,
            service: offer.service.clone(),
            version: offer.version.clone(),
        })
    }

    /// Does what is due.
    pub fn tick(&self, now: Moment) {
        let actions = self.queue.borrow_mut().tick(now);
        self.act(actions);
        let registered = self.registered.borrow();
        let Some(held) = registered.as_ref() else {
            return;
        };
        let late_after = self.late_after.borrow();
        let Some(late_after) = late_after.get(&held.announced.offer.service) else {
            return;
        };
        for running in self.running.borrow_mut().values_mut() {
            if !running.late && running.is_late(now, held, late_after) {
                running.late = true;
                let mut sums = self.sums.borrow_mut();
                let sums = sums.entry(running.route).or_default();
                sums.done += 1;
                sums.late += 1;
            }
        }
    }

    fn act(&self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, result) = match action {
                Action::Decline(ticket, reason, room_in) => (ticket, Err((reason, room_in))),
                Action::Start(ticket) => (ticket, Ok(())),
            };
            if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                // One that waits no more gives the slot back by its guard.
                let _ = waiting.send(result);
            }
        }
    }

    /// Checks whether the upstream may take a request; gives the name of its start.
    fn check(&self, now: Moment, request: &Request) -> Result<String, Reason> {
        if self.offer(now).is_none() {
            return Err(Reason::Leaving);
        }
        let registered = self.registered.borrow();
        let held = registered.as_ref().ok_or(Reason::Leaving)?;
        let offer = &held.announced.offer;
        if offer.service != request.service || offer.version != request.version {
            return Err(Reason::WrongVersion);
        }
        Ok(held.announced.instance.clone())
    }

    fn count(&self, now: Moment, ticket: Ticket, failed: bool) {
        let Some(running) = self.running.borrow_mut().remove(&ticket) else {
            return;
        };
        let registered = self.registered.borrow();
        let Some(held) = registered.as_ref() else {
            return;
        };
        let late_after = self.late_after.borrow();
        let Some(late_after) = late_after.get(&held.announced.offer.service) else {
            return;
        };
        let mut sums = self.sums.borrow_mut();
        let sums = sums.entry(running.route).or_default();
        sums.failed += u32::from(failed);
        if running.late {
            return;
        }
        sums.done += 1;
        sums.late += u32::from(running.is_late(now, held, late_after));
        sums.run_time += now.since(running.began);
    }
}

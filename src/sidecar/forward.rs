//! Takes a caller's request to an upstream, and again to another one where that is allowed. What is answered
//! as not run has not run at any of them.

use {
    super::{
        document::{Class, Route},
        egress,
        frame::{Answer, Outcome, Request},
        load_balancer::{self, AttemptResult, Choice, Load, Unavailable, VersionFilter},
        node::Core,
        peers,
        rollout::Phase,
    },
    crate::{
        http1::Field,
        refusal::Reason,
        traffic::quarantine::Fingerprint,
        world::{Host, Moment, Permille, Service, Version},
    },
    bytes::Bytes,
    rand::Rng,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::sync::oneshot,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long the node at the upstream may take after the deadline to say what became of a request.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);
/// How many nodes may turn a request away before its caller is told: the load that others report is a little
/// old, so the second place is often right, and further ones seldom are.
const DECLINES_MAX: usize = 3;
/// The shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The time after which a caller is asked to come back where nothing is known of when there is room.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(400);
/// The part of its remaining time that a caller spends on waiting for a refusal to pass.
const RETRY_AFTER_PART: u32 = 3;
/// By how much the time after which a caller may come back is stretched at most.
const RETRY_AFTER_SPREAD: f64 = 1.6;
/// The seeds of the hashes by which requests are divided, so that the divisions don't depend on each other.
const SHARE_SEED: u64 = 1;
const MOVE_SEED: u64 = 2;

/// A caller's request.
pub(super) struct Call {
    pub body: Bytes,
    pub deadline: Moment,
    pub fields: Vec<Field>,
    pub fingerprint: Fingerprint,
    pub id: String,
    pub method: String,
    pub returned: bool,
    pub route: Arc<Route>,
    pub route_id: u64,
    pub target: String,
    /// Until when its answer has its full value.
    pub valued: Moment,
    /// When its caller waits no more, which may be later than the deadline that its route sets.
    pub waits_until: Moment,
}

/// What the caller is told.
pub(super) enum Reply {
    /// An upstream's answer.
    Answer(Answer),
    /// It has not run, and the caller may come back after a while.
    Refused(Reason, Duration),
    /// It may have run.
    Unknown(Reason),
}

/// How a request went, for the log.
#[derive(Default)]
pub(super) struct Trail {
    pub declines: usize,
    pub hosts: Vec<Host>,
    pub sent: u32,
    pub service: Option<Service>,
}

enum Next {
    Again(Reason),
    Done(Reply),
}

struct Sending<'a> {
    call: &'a Call,
    core: &'a Rc<Core>,
    /// An upstream's failure, which the caller gets if nothing better comes.
    failure: Option<Answer>,
    /// Whether it may have run somewhere.
    ran: bool,
    room_in: Option<Duration>,
    service: Service,
    trail: &'a mut Trail,
}

/// Sends a request to an upstream and gives what its caller is told.
pub(super) async fn send(core: &Rc<Core>, call: &Call, trail: &mut Trail) -> Reply {
    let Some(service) = call
        .route
        .choose_service(point(&call.id, SHARE_SEED))
        .cloned()
    else {
        return Reply::Refused(Reason::NoEndpoint, RETRY_AFTER_UNKNOWN);
    };
    let now = core.now();
    core.retry_budget.borrow_mut().deposit(now, &service);
    trail.service = Some(service.clone());
    let mut sending = Sending {
        call,
        core,
        failure: None,
        ran: false,
        room_in: None,
        service,
        trail,
    };
    let patience = call.deadline.since(now) + DEADLINE_GRACE;
    let finished = tokio::time::timeout(patience, sending.run()).await;
    match finished {
        Ok(reply) => reply,
        Err(_) if sending.trail.sent > 0 => Reply::Unknown(Reason::Deadline),
        Err(_) => Reply::Refused(Reason::Deadline, RETRY_AFTER_MIN),
    }
}

impl Sending<'_> {
    async fn run(&mut self) -> Reply {
        loop {
            let place = match self.choose() {
                Ok(place) => place,
                Err(full) => return self.full(full),
            };
            self.trail.hosts.push(place.host.clone());
            let mut attempt = Attempt {
                core: self.core,
                over: false,
                place: &place,
            };
            let (outcome, load) = self.attempt(&place).await;
            attempt.end(&outcome, load);
            match self.judge(&place, outcome) {
                Next::Done(reply) => return reply,
                Next::Again(reason) => self.core.metrics.retry(&reason.to_string()),
            }
        }
    }

    fn choose(&self) -> Result<Choice, Unavailable> {
        let now = self.core.now();
        let moving = self.moving();
        let mut load_balancer = self.core.load_balancer.borrow_mut();
        let mut choose = |version_filter| {
            load_balancer.choose(
                now,
                load_balancer::Request {
                    tried: &self.trail.hosts,
                    priority: self.call.route.priority,
                    service: &self.service,
                    version_filter,
                    worth_for: self.call.valued.since(now),
                },
            )
        };
        let Some((version, share)) = moving else {
            return choose(None);
        };
        let old = Some(VersionFilter::Baseline(&version));
        match share {
            Some(share) => {
                choose(Some(VersionFilter::Candidate(&version, share))).or_else(|_| choose(old))
            }
            None => choose(old),
        }
    }

    /// Gives the new version while traffic moves, and its share if the request is to run on it.
    fn moving(&self) -> Option<(Version, Option<Permille>)> {
        let states = self.core.rollout_states.borrow();
        let state = states.get(&self.service)?;
        let wanted = match state.phase {
            Phase::Running => {
                let moved = point(&self.call.id, MOVE_SEED) < f64::from(state.share.0) / 1000.0;
                // What failed once goes to the version that is known to be good.
                moved && self.trail.sent == 0
            }
            Phase::Succeeded => true,
            Phase::RolledBack => false,
        };
        Some((state.order.to.clone(), wanted.then_some(state.share)))
    }

    async fn attempt(&mut self, place: &Choice) -> (Outcome, Option<Load>) {
        let now = self.core.now();
        let call = self.call;
        let request = Request {
            body: call.body.clone(),
            caller: self.core.settings.borrow().service.clone(),
            repeatable: call.route.class == Class::Repeatable,
            fields: call.fields.clone(),
            id: call.id.clone(),
            time_left: call.deadline.since(now),
            method: call.method.clone(),
            priority: call.route.priority,
            returned: call.returned,
            route: call.route_id,
            service: self.service.clone(),
            target: call.target.clone(),
            version: place.version.clone(),
            worth_for: call.valued.since(now),
        };
        self.trail.sent += 1;
        if place.host == *self.core.host() {
            return here(self.core, request).await;
        }
        peers::send_request(self.core, &place.host, request).await
    }

    fn judge(&mut self, place: &Choice, outcome: Outcome) -> Next {
        match outcome {
            Outcome::Answered(answer) if answer.not_run => {
                // It had a slot free: whoever comes back at once may well be taken.
                self.room_in = Some(Duration::ZERO);
                self.again(Reason::Overloaded, Some(answer))
            }
            Outcome::Answered(answer) if answer.status >= 500 => {
                self.ran = true;
                self.again(Reason::Lost, Some(answer))
            }
            Outcome::Answered(answer) => Next::Done(Reply::Answer(answer)),
            Outcome::Declined(reason, room_in) => self.declined(place, reason, room_in),
            Outcome::Unknown(reason) => {
                self.ran = true;
                self.again(reason, None)
            }
        }
    }

    /// Goes on to the next place after a node turned the request away, which costs no upstream anything.
    fn declined(&mut self, place: &Choice, reason: Reason, room_in: Duration) -> Next {
        self.trail.sent -= 1;
        self.trail.declines += 1;
        if reason == Reason::Overloaded {
            let soonest = self.room_in.map_or(room_in, |known| known.min(room_in));
            self.room_in = Some(soonest);
            let now = self.core.now();
            let priority = self.call.route.priority;
            let mut load_balancer = self.core.load_balancer.borrow_mut();
            load_balancer.record_decline(now, &place.host, priority, room_in);
        }
        if self.trail.declines >= DECLINES_MAX || reason == Reason::Quarantined {
            return Next::Done(self.give_up(reason));
        }
        Next::Again(reason)
    }

    /// Sends the request to another upstream if its class, its route and the shared allowance let it.
    fn again(&mut self, reason: Reason, failure: Option<Answer>) -> Next {
        let once = self.call.route.class == Class::Once;
        let barred = once && self.ran;
        let now = self.core.now();
        let spent = self.trail.sent >= self.call.route.max_attempts;
        let nodes = self.core.peers.node_count();
        let mut retry_budget = self.core.retry_budget.borrow_mut();
        let allowed = !barred
            && !spent
            && now < self.call.deadline
            && retry_budget.try_withdraw(now, &self.service, nodes);
        // An answer that it has not run says less than an earlier failure.
        if failure.is_some() && !(self.ran && self.failure.is_some()) {
            self.failure = failure;
        }
        if allowed {
            return Next::Again(reason);
        }
        Next::Done(self.give_up(reason))
    }

    fn full(&mut self, full: Unavailable) -> Reply {
        match full {
            Unavailable::NoUpstream if self.trail.declines == 0 => self.give_up(Reason::NoEndpoint),
            Unavailable::NoUpstream | Unavailable::Declined => self.give_up(Reason::Overloaded),
        }
    }

    /// Gives what the caller is told if there is no further attempt: an upstream's failure if one came, and
    /// that the request has not run only if that is so at every upstream.
    fn give_up(&mut self, reason: Reason) -> Reply {
        match self.failure.take() {
            Some(answer) if !answer.not_run => Reply::Answer(answer),
            _ if self.ran => Reply::Unknown(reason),
            _ => self.refuse(reason),
        }
    }

    fn refuse(&self, reason: Reason) -> Reply {
        let left = self.call.deadline.since(self.core.now());
        let room_in = self.room_in.unwrap_or(RETRY_AFTER_UNKNOWN);
        let after = spread(room_in.max(RETRY_AFTER_MIN));
        Reply::Refused(reason, after.min(left / RETRY_AFTER_PART))
    }
}

/// Spreads a time over which callers stay away, so that those who were refused together don't come back together.
pub(super) fn spread(after: Duration) -> Duration {
    after.mul_f64(rand::rng().random_range(1.0..RETRY_AFTER_SPREAD))
}

/// Counts an attempt as ended, also if its caller goes away in the middle.
struct Attempt<'a> {
    core: &'a Core,
    over: bool,
    place: &'a Choice,
}

impl Attempt<'_> {
    fn end(&mut self, outcome: &Outcome, load: Option<Load>) {
        self.over = true;
        let (now, end) = (self.core.now(), peers::attempt_result(outcome));
        let mut load_balancer = self.core.load_balancer.borrow_mut();
        load_balancer.record_result(now, &self.place.host, end, load);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.over {
            let now = self.core.now();
            let mut load_balancer = self.core.load_balancer.borrow_mut();
            load_balancer.record_result(now, &self.place.host, AttemptResult::Inconclusive, None);
        }
    }
}

/// Has the upstream on this host run a request. It goes on by itself if the caller goes away and it may not
/// run again.
async fn here(core: &Rc<Core>, request: Request) -> (Outcome, Option<Load>) {
    let (_interest, cancelled) = oneshot::channel();
    let (done, outcome) = oneshot::channel();
    let serving = core.clone();
    tokio::task::spawn_local(async move {
        let outcome = egress::serve(&serving, request, cancelled).await;
        // Nobody waits any more if the caller has gone.
        let _ = done.send(outcome);
    });
    let outcome = outcome.await.unwrap_or(Outcome::Unknown(Reason::Lost));
    (outcome, Some(core.egress.load()))
}

/// Gives a request's point between 0 and 1.
#[expect(clippy::cast_precision_loss)]
fn point(id: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(id.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

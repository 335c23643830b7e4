//! Forwards a caller's request to an upstream, and retries it at another one where that is allowed.
//!
//! Designed for upstreams that are overloaded, crash or lose connections. A retry needs a route that permits it, an
//! attempt left and a share of the retry budget. A caller is told that its request has not run only if it has run at
//! none of the upstreams that were tried.

mod attempt;

use {
    super::{
        document::{Account, Class, Route},
        fair_share::AccountId,
        frame::{Answer, Outcome, Request},
        load_balancer::{self, Choice, Load, Unavailable, VersionFilter},
        local_upstream,
        node::Core,
        peers,
        regions::Restriction,
        rollout::Phase,
    },
    crate::{
        http1::{Body, Field},
        refusal::Reason,
        traffic::quarantine::{Fingerprint, Verdict},
        types::{Host, Moment, Permille, Service, Version},
    },
    attempt::AttemptGuard,
    rand::Rng,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::sync::oneshot,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time that the upstream's node has after the deadline to report the outcome of a request.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);
/// Number of nodes that may decline a request before its caller is refused. The reported load of other nodes is
/// slightly out of date, so a second choice often succeeds, and further ones seldom do.
const DECLINES_MAX: usize = 3;
/// Minimum time after which a refused caller is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Time after which a refused caller is asked to return if no node has reported when it expects capacity.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(400);
/// A refused caller is asked to wait for at most its remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Maximum factor by which [`with_jitter`] extends a time.
const RETRY_AFTER_FACTOR_MAX: f64 = 1.6;
/// Seeds of the hashes that divide requests among services and between versions. They differ so that the two
/// divisions are independent.
const SERVICE_SEED: u64 = 1;
const ROLLOUT_SEED: u64 = 2;

/// A caller's request and its route.
pub(super) struct Call {
    /// Account of the caller; `None` if the request needs no key and has none.
    pub account: Option<Arc<Account>>,
    pub body: Body,
    pub deadline: Moment,
    pub fields: Vec<Field>,
    pub fingerprint: Fingerprint,
    pub id: String,
    pub method: String,
    /// Whether its caller was refused before and has returned as asked.
    pub returned: bool,
    pub route: Arc<Route>,
    pub route_id: u64,
    pub target: String,
    /// Time until which its answer has its full value.
    pub full_value_until: Moment,
    /// Time until which its caller waits, which may be later than `deadline`, as that includes the route's timeout.
    pub caller_deadline: Moment,
}

impl Call {
    fn account_id(&self) -> Option<AccountId> {
        let account = self.account.as_ref();
        account.map(|account| AccountId::from(&account.name))
    }

    /// Returns the priority of the request: that of its account, or that of its route if the account has none.
    pub fn priority(&self) -> u32 {
        let account = self.account.as_ref();
        let of_account = account.and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }
}

/// Result for the caller.
pub(super) enum Reply {
    /// An upstream has answered.
    Answer(Answer),
    /// The account has reached its limit, so the request was not sent; there is room after the given time.
    Limited(Duration),
    /// The request has not run; the caller may return after the given time.
    Refused(Reason, Duration),
    /// The request may have run, and there is no answer.
    Unknown(Reason),
}

/// Record of the attempts at a request, for the log.
#[derive(Default)]
pub(super) struct Attempts {
    pub declines: usize,
    pub hosts: Vec<Host>,
    pub sent: u32,
    pub service: Option<Service>,
}

enum Next {
    Retry(Reason),
    Done(Reply),
}

struct Forwarder<'a> {
    call: &'a Call,
    core: &'a Rc<Core>,
    /// The failure that an upstream has answered, which the caller receives if no further attempt succeeds.
    failure: Option<Answer>,
    /// Whether the request may have run at an upstream.
    may_have_run: bool,
    /// Regions in which the request may run.
    regions: Restriction,
    retry_after: Option<Duration>,
    service: Service,
    attempts: &'a mut Attempts,
}

/// Forwards a request to upstreams until one answers or no further attempt is allowed. Records the attempts for the
/// log, also if the deadline passes.
pub(super) async fn send(core: &Rc<Core>, call: &Call, attempts: &mut Attempts) -> Reply {
    let Some(service) = call
        .route
        .choose_service(hash_fraction(&call.id, SERVICE_SEED))
        .cloned()
    else {
        return Reply::Refused(Reason::NoEndpoint, RETRY_AFTER_DEFAULT);
    };
    let now = core.now();
    core.retry_budget.borrow_mut().deposit(now, &service);
    attempts.service = Some(service.clone());
    let mut forwarder = Forwarder {
        call,
        core,
        failure: None,
        may_have_run: false,
        regions: Restriction::combine(
            &call.route.regions,
            call.account.as_ref().map(|account| &account.regions),
        ),
        retry_after: None,
        service,
        attempts,
    };
    let time_limit = call.deadline.since(now) + DEADLINE_GRACE;
    let cut_off = tokio::select! {
        biased;
        reply = forwarder.run() => return reply,
        () = tokio::time::sleep(time_limit) => Reason::Deadline,
        () = core.exiting.notified() => Reason::Leaving,
    };
    if forwarder.attempts.sent > 0 {
        Reply::Unknown(cut_off)
    } else {
        Reply::Refused(cut_off, RETRY_AFTER_MIN)
    }
}

impl Forwarder<'_> {
    async fn run(&mut self) -> Reply {
        loop {
            let (verdict, trial_host) = self.judge();
            if let Verdict::Quarantined(after) = verdict {
                self.retry_after = after;
                return self.final_reply(Reason::Quarantined);
            }
            let chosen = self.choose(trial_host.as_ref());
            let place = match chosen {
                Ok(place) => place,
                Err(_) if verdict == Verdict::Trial => {
                    return self.final_reply(Reason::Quarantined);
                }
                Err(cause) => return self.unavailable_reply(cause),
            };
            self.attempts.hosts.push(place.host.clone());
            let mut attempt = AttemptGuard {
                core: self.core,
                finished: false,
                place: &place,
                sent_at: self.core.now(),
            };
            let (outcome, load) = self.attempt(&place).await;
            attempt.end(&outcome, load);
            match self.handle_outcome(&place, outcome) {
                Next::Done(reply) => return reply,
                Next::Retry(reason) => self.core.metrics.record_retry(&reason.to_string()),
            }
        }
    }

    /// Returns whether the request may run, and the host for its next trial if it is quarantined.
    fn judge(&self) -> (Verdict, Option<Host>) {
        let upstream = &self.core.local_upstream;
        if !upstream.has_strikes() {
            return (Verdict::Allowed, None);
        }
        let fingerprint = Fingerprint::of_segments(
            self.service.as_str(),
            &self.call.method,
            &self.call.target,
            self.call.body.segments(),
        );
        local_upstream::judge(self.core, &self.service, fingerprint, &self.regions)
    }

    /// Chooses the upstream for the next attempt: that of `host` if it is given.
    fn choose(&self, host: Option<&Host>) -> Result<Choice, Unavailable> {
        let now = self.core.now();
        let rollout = self.rollout();
        let mut load_balancer = self.core.load_balancer.borrow_mut();
        let mut choose = |version_filter| {
            let request = load_balancer::Request {
                account: self.call.account_id(),
                tried: &self.attempts.hosts,
                regions: &self.regions,
                priority: self.call.priority(),
                service: &self.service,
                version_filter,
                worth_for: self.call.full_value_until.since(now),
            };
            match host {
                Some(host) => load_balancer.choose_host(host, request),
                None => load_balancer.choose(now, request),
            }
        };
        let Some((version, share)) = rollout else {
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

    /// Returns the new version of the service's rollout, with its share of the traffic if this request is to run on it.
    /// `None` if no rollout is known.
    fn rollout(&self) -> Option<(Version, Option<Permille>)> {
        let states = self.core.rollout_states.borrow();
        let state = states.get(&self.service)?;
        let wanted = match state.phase {
            Phase::Running => {
                let moved =
                    hash_fraction(&self.call.id, ROLLOUT_SEED) < f64::from(state.share.0) / 1000.0;
                // A retry goes to the old version, which is known to work.
                moved && self.attempts.sent == 0
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
            account: call.account.as_ref().map(|account| account.name.clone()),
            body: call.body.clone(),
            caller: self.core.settings.borrow().service.clone(),
            repeatable: call.route.class == Class::Repeatable,
            fields: call.fields.clone(),
            id: call.id.clone(),
            time_left: call.deadline.since(now),
            method: call.method.clone(),
            regions: self.regions.clone(),
            priority: call.priority(),
            returned: call.returned,
            route: call.route_id,
            service: self.service.clone(),
            target: call.target.clone(),
            version: place.version.clone(),
            worth_for: call.full_value_until.since(now),
        };
        self.attempts.sent += 1;
        if place.host == *self.core.host() {
            return serve_locally(self.core, request).await;
        }
        peers::send_request(self.core, &place.host, request).await
    }

    fn handle_outcome(&mut self, place: &Choice, outcome: Outcome) -> Next {
        match outcome {
            Outcome::Answered(answer) if answer.not_run => {
                // The upstream's node had a free slot, so a caller that returns at once is likely to be accepted.
                self.retry_after = Some(Duration::ZERO);
                self.try_retry(Reason::Overloaded, Some(answer))
            }
            Outcome::Answered(answer) if answer.status >= 500 => {
                self.may_have_run = true;
                self.try_retry(Reason::Lost, Some(answer))
            }
            Outcome::Answered(answer) => Next::Done(Reply::Answer(answer)),
            Outcome::Declined(reason, after) => self.handle_decline(place, reason, after),
            Outcome::Unknown(reason) => {
                self.may_have_run = true;
                self.try_retry(reason, None)
            }
        }
    }

    /// Continues with the next upstream after a node declined the request. Neither the route's attempts nor the retry
    /// budget are charged, as a declined request puts no load on an upstream.
    fn handle_decline(&mut self, place: &Choice, reason: Reason, retry_after: Duration) -> Next {
        self.attempts.sent -= 1;
        self.attempts.declines += 1;
        if reason == Reason::Overloaded {
            let soonest = self
                .retry_after
                .map_or(retry_after, |known| known.min(retry_after));
            self.retry_after = Some(soonest);
            let now = self.core.now();
            let mut load_balancer = self.core.load_balancer.borrow_mut();
            let by = (self.call.account_id(), self.call.priority());
            load_balancer.record_decline(now, &place.host, by, retry_after);
        }
        if reason == Reason::Quarantined && !retry_after.is_zero() {
            self.retry_after = Some(retry_after);
        }
        if self.attempts.declines >= DECLINES_MAX || reason == Reason::Quarantined {
            return Next::Done(self.final_reply(reason));
        }
        Next::Retry(reason)
    }

    /// Returns whether to retry at another upstream, which the request's class, the attempts of its route, its deadline
    /// and the shared retry budget must all allow; otherwise the final reply.
    fn try_retry(&mut self, reason: Reason, failure: Option<Answer>) -> Next {
        let once = self.call.route.class == Class::Once;
        let barred = once && self.may_have_run;
        let now = self.core.now();
        let exhausted = self.attempts.sent >= self.call.route.max_attempts;
        let nodes = self.core.peers.node_count();
        let mut retry_budget = self.core.retry_budget.borrow_mut();
        let allowed = !barred
            && !exhausted
            && now < self.call.deadline
            && retry_budget.try_withdraw(now, &self.service, nodes);
        // An answer that the request has not run tells the caller nothing, while a failure tells that it has.
        self.failure = self
            .failure
            .take()
            .or(failure.filter(|answer| !answer.not_run));
        if allowed {
            return Next::Retry(reason);
        }
        Next::Done(self.final_reply(reason))
    }

    fn unavailable_reply(&mut self, cause: Unavailable) -> Reply {
        match cause {
            Unavailable::NoUpstream if self.attempts.declines == 0 => {
                self.final_reply(match self.regions {
                    Restriction::Unrestricted => Reason::NoEndpoint,
                    Restriction::Only(_) => Reason::Region,
                })
            }
            Unavailable::NoUpstream | Unavailable::Declined => self.final_reply(Reason::Overloaded),
        }
    }

    /// Returns the reply after the last attempt: an upstream's failure if one was received, and a refusal only if the
    /// request has run at no upstream.
    fn final_reply(&mut self, reason: Reason) -> Reply {
        match self.failure.take() {
            Some(answer) => Reply::Answer(answer),
            None if self.may_have_run => Reply::Unknown(reason),
            None => self.refuse(reason),
        }
    }

    fn refuse(&self, reason: Reason) -> Reply {
        let left = self.call.deadline.since(self.core.now());
        let retry_after = self.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
        let after = with_jitter(retry_after.max(RETRY_AFTER_MIN));
        Reply::Refused(reason, after.min(left / RETRY_AFTER_DIVISOR))
    }
}

/// Extends a time by a random factor, so that callers that were refused together do not return together.
pub(super) fn with_jitter(after: Duration) -> Duration {
    after.mul_f64(rand::rng().random_range(1.0..RETRY_AFTER_FACTOR_MAX))
}

/// Runs a request at the upstream on this host, in a task of its own: a request that must not run again continues
/// when its caller goes away.
async fn serve_locally(core: &Rc<Core>, request: Request) -> (Outcome, Option<Load>) {
    let (_interest, cancelled) = oneshot::channel();
    let (done, outcome) = oneshot::channel();
    let (serving, arrived) = (core.clone(), core.now());
    tokio::task::spawn_local(async move {
        let outcome = local_upstream::serve(&serving, request, cancelled).await;
        // The receiver is dropped if the caller has gone.
        let _ = done.send(outcome);
    });
    let outcome = outcome.await.unwrap_or(Outcome::Unknown(Reason::Lost));
    let load = core.local_upstream.load_after(core.now(), arrived);
    (outcome, Some(load))
}

/// Returns a uniformly distributed number from 0 to 1 (exclusive) that depends only on the request ID and the seed.
#[expect(clippy::cast_precision_loss)]
fn hash_fraction(id: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(id.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

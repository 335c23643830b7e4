//! Admission control at this node's upstream: which requests run, which wait and which are declined.
//!
//! Designed for overload that lasts for seconds, with routes of different priority. No more requests run than the
//! upstream has slots, so an upstream that hangs when overloaded is never overloaded. A request is queued only if
//! the measured run times predict an answer within its route's target, or within its deadline if its caller has
//! returned after a refusal. All others are declined on arrival, with the time after which capacity is expected.
//! A queued request that can no longer be on time, because more urgent ones overtook it, is declined then: its
//! caller may return, and the slot goes to a request that can still be on time. More urgent routes go first;
//! within a priority, client accounts get fair shares ([`fair_share`](super::fair_share)), and requests that can still meet
//! their target go first, in the order of arrival.

use {
    super::{
        cold_start::Gate,
        fair_share::{AccountId, FairShares, Waiter},
        load_balancer::Load,
        pace::{Estimate, Pace},
    },
    crate::{refusal::Reason, traffic::admission::Ticket, types::Moment},
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new observation in the moving average of the run time.
const RUN_TIME_SMOOTHING: f64 = 0.1;
/// Run time assumed before the first measurement.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Maximum number of waiting requests per slot, whatever their targets; bounds memory.
const WAITING_PER_SLOT_MAX: usize = 16;
/// Fraction of the time to its deadline within which a returned request must be expected to be answered. The rest
/// is a margin for a wrong estimate.
const RETURNED_FRACTION: f64 = 0.7;
/// Time constant with which the run times of started requests are averaged into the share of the slots that each
/// priority uses: several runs, but less than a burst lasts.
const SHARE_PERIOD_S: f64 = 1.0;
/// Maximum share of the slots by which more urgent requests are expected to delay a waiting one.
const URGENT_SHARE_MAX: f64 = 0.8;
/// Minimum time after which the caller of a declined request is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Priority and time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Account of its caller; `None` if it has none.
    pub account: Option<AccountId>,
    /// Time after which the answer is useless.
    pub deadline: Moment,
    /// Priority of its account or route; 0 is the most urgent.
    pub priority: u32,
    /// Whether its caller was refused before and has returned as asked.
    pub returned: bool,
    /// Identifier of its route, by which run times are averaged.
    pub route: u64,
    /// Time until which the answer has its full value.
    pub target: Moment,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The request is declined and has not run; capacity is expected after the given time.
    Decline(Ticket, Reason, Duration),
    /// The request runs now.
    Start(Ticket),
}

/// Run time of the requests of one priority that were started lately, in seconds, with exponential decay.
#[derive(Debug, Default)]
struct Usage {
    run_time_s: f64,
    updated_at: Moment,
}

impl Usage {
    fn run_time_s(&self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.run_time_s * (-age / SHARE_PERIOD_S).exp()
    }

    fn add(&mut self, now: Moment, run_time: Duration) {
        self.run_time_s = self.run_time_s(now) + run_time.as_secs_f64();
        self.updated_at = now;
    }
}

#[derive(Debug)]
struct Waiting {
    arrived: Moment,
    demand: Demand,
    ticket: Ticket,
}

/// Slots of one upstream, and the requests that run on them or wait for them.
#[derive(Debug, Default)]
pub struct Queue {
    fair_shares: FairShares,
    gate: Gate,
    /// Average run time of all routes at the usual pace.
    overall_run_time_s: Option<f64>,
    pace: Estimate,
    running: BTreeMap<Ticket, Moment>,
    /// Average run times at the usual pace.
    route_run_times_s: BTreeMap<u64, f64>,
    slots: u32,
    usage: BTreeMap<u32, Usage>,
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Sets the number of requests that may run concurrently. With 0, new requests are declined.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the gate that bounds the starts while the upstream is cold or may be cold.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns the gate, to tell it what is known of the upstream.
    pub fn gate_mut(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Records the pace that the upstream has reported with a response.
    pub fn record_pace(&mut self, now: Moment, pace: Pace) {
        self.pace.record(now, pace);
    }

    /// Returns the numbers of running and waiting requests, the average run time over all routes at the usual pace, and
    /// the present pace.
    #[must_use]
    pub fn load(&self, now: Moment) -> Load {
        Load {
            held: Duration::ZERO,
            pace: self.pace.at(now),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            run_time: expected_run_time(
                &self.route_run_times_s,
                self.overall_run_time_s,
                None,
                Pace::USUAL.factor(),
            ),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }

    /// Starts, queues or declines a new request; returns no action for it if it is queued. Waiting requests
    /// that can no longer be on time are declined first.
    pub fn arrive(&mut self, now: Moment, ticket: Ticket, demand: Demand) -> Vec<Action> {
        let mut actions = self.decline_late(now);
        let run_time = self.run_time(now, Some(demand.route));
        if self.slots == 0 {
            actions.push(Action::Decline(ticket, Reason::NoEndpoint, RETRY_AFTER_MIN));
            return actions;
        }
        // Waiting requests take the room first. Another upstream may be warm, so no request waits for this one.
        if self.waiting.len() >= self.gate.room(now) {
            let retry_after = self.gate.record_decline(now);
            actions.push(Action::Decline(ticket, Reason::Overloaded, retry_after));
            return actions;
        }
        let has_free_slot = self.running.len() < self.slots as usize && self.waiting.is_empty();
        if has_free_slot {
            self.start(now, ticket, &demand);
            actions.push(Action::Start(ticket));
            return actions;
        }
        let arriving = self.waiter(now, now, &demand);
        let waiting = self.waiters(now);
        let wait = self.expected_wait(now, &waiting, &arriving);
        let latest = if demand.returned {
            now + demand.deadline.since(now).mul_f64(RETURNED_FRACTION)
        } else {
            demand.target.min(demand.deadline)
        };
        let is_full = self.waiting.len() >= self.slots as usize * WAITING_PER_SLOT_MAX;
        let retry_after = wait.max(RETRY_AFTER_MIN);
        let is_late = now + wait + run_time > latest;
        let displaced = (is_full && !is_late)
            .then(|| {
                self.fair_shares
                    .displaced(now, self.slots, &waiting, &arriving)
            })
            .flatten();
        if let Some(index) = displaced {
            let ticket = self.waiting.remove(index).ticket;
            actions.push(Action::Decline(ticket, Reason::Overloaded, retry_after));
        } else if is_full || is_late {
            actions.push(Action::Decline(ticket, Reason::Overloaded, retry_after));
            return actions;
        }
        self.waiting.push(Waiting {
            arrived: now,
            demand,
            ticket,
        });
        actions
    }

    /// Ends a run and starts waiting requests. The run time is recorded only if the upstream answered.
    pub fn finish(
        &mut self,
        now: Moment,
        ticket: Ticket,
        route: u64,
        answered: bool,
    ) -> Vec<Action> {
        if let Some(started_at) = self.running.remove(&ticket)
            && answered
        {
            let run_time_s = now.since(started_at).as_secs_f64() / self.pace.factor(now);
            self.record_run_time(route, run_time_s);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Declines the waiting requests that can no longer be on time, and starts others while slots are free.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.start_waiting(now)
    }

    /// Declines all waiting requests, as the upstream accepts no new ones. Running requests continue.
    pub fn decline_waiting(&mut self, reason: Reason) -> Vec<Action> {
        self.waiting
            .drain(..)
            .map(|waiting| Action::Decline(waiting.ticket, reason, Duration::ZERO))
            .collect()
    }

    fn start_waiting(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.decline_late(now);
        while self.running.len() < self.slots as usize && self.gate.room(now) > 0 {
            let Some(index) = self.next(now) else { break };
            let waiting = self.waiting.remove(index);
            self.start(now, waiting.ticket, &waiting.demand);
            actions.push(Action::Start(waiting.ticket));
        }
        actions
    }

    fn start(&mut self, now: Moment, ticket: Ticket, demand: &Demand) {
        self.gate.record_start(now);
        self.running.insert(ticket, now);
        let run_time = self.run_time(now, Some(demand.route));
        let usage = self.usage.entry(demand.priority).or_default();
        usage.add(now, run_time);
        let started = self.waiter(now, now, demand);
        self.fair_shares.record_start(now, &started);
    }

    /// Returns the share of the slots that requests more urgent than `priority` have used lately.
    fn urgent_share(&self, now: Moment, priority: u32) -> f64 {
        let urgent = self.usage.range(..priority);
        let run_time_s: f64 = urgent.map(|(_, usage)| usage.run_time_s(now)).sum();
        let share = run_time_s / SHARE_PERIOD_S / f64::from(self.slots.max(1));
        share.min(URGENT_SHARE_MAX)
    }

    /// Returns the index of the waiting request to start next.
    fn next(&mut self, now: Moment) -> Option<usize> {
        let waiting = self.waiters(now);
        self.fair_shares.next(now, self.slots, &waiting)
    }

    /// Returns the waiting requests as the fair shares see them, in the same order.
    fn waiters(&self, now: Moment) -> Vec<Waiter> {
        let waiting = self.waiting.iter();
        waiting
            .map(|waiting| self.waiter(now, waiting.arrived, &waiting.demand))
            .collect()
    }

    fn waiter(&self, now: Moment, arrived: Moment, demand: &Demand) -> Waiter {
        let run_time = self.run_time(now, Some(demand.route));
        Waiter {
            account: demand.account,
            arrived,
            is_late: now + run_time > demand.target,
            priority: demand.priority,
            returned: demand.returned,
            run_time,
        }
    }

    fn decline_late(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        let (route_run_times_s, overall) = (&self.route_run_times_s, self.overall_run_time_s);
        let pace = self.pace.factor(now);
        self.waiting.retain(|waiting| {
            let route = Some(waiting.demand.route);
            let run_time = expected_run_time(route_run_times_s, overall, route, pace);
            let demand = &waiting.demand;
            let latest = if demand.returned {
                demand.deadline
            } else {
                demand.target.min(demand.deadline)
            };
            let is_late = now + run_time > latest;
            if is_late {
                actions.push(Action::Decline(
                    waiting.ticket,
                    Reason::Deadline,
                    RETRY_AFTER_MIN,
                ));
            }
            !is_late
        });
        actions
    }

    /// Returns the expected time until a request starts. More urgent requests, and those of accounts that have used less than
    /// their share, go on arriving meanwhile and leave it only the rest of the slots.
    fn expected_wait(&self, now: Moment, waiting: &[Waiter], arriving: &Waiter) -> Duration {
        let ahead = self.fair_shares.ahead(now, self.slots, waiting, arriving);
        let wait = (ahead.work + self.run_time(now, None)) / self.slots.max(1);
        let overtaking = self.urgent_share(now, arriving.priority) + ahead.share;
        wait.div_f64(1.0 - overtaking.min(URGENT_SHARE_MAX))
    }

    /// Returns the run time expected at the present pace.
    fn run_time(&self, now: Moment, route: Option<u64>) -> Duration {
        let (route_run_times_s, overall) = (&self.route_run_times_s, self.overall_run_time_s);
        expected_run_time(route_run_times_s, overall, route, self.pace.factor(now))
    }

    /// Adds a run time at the usual pace to the averages.
    fn record_run_time(&mut self, route: u64, seconds: f64) {
        let average = self.route_run_times_s.entry(route).or_insert(seconds);
        *average += RUN_TIME_SMOOTHING * (seconds - *average);
        let overall = self.overall_run_time_s.get_or_insert(seconds);
        *overall += RUN_TIME_SMOOTHING * (seconds - *overall);
    }
}

/// Returns the average run time of a route, or of all routes, multiplied by `pace`.
fn expected_run_time(
    route_run_times_s: &BTreeMap<u64, f64>,
    overall: Option<f64>,
    route: Option<u64>,
    pace: f64,
) -> Duration {
    let average_s = route
        .and_then(|route| route_run_times_s.get(&route).copied())
        .or(overall)
        .unwrap_or(DEFAULT_RUN_TIME.as_secs_f64());
    Duration::from_secs_f64(average_s * pace)
}

//! Which requests run at this node's upstream, which wait, and which are turned away.
//!
//! The load that it answers: more work than slots for seconds, from classes of unlike urgency. No more run
//! than the upstream has slots, so an upstream that hangs when it is full never is. A request waits only if
//! by the measured run times its answer comes within its route's target, or within its deadline if its
//! caller has come back after a refusal; whatever else is turned away on arrival, with the time after
//! which there is likely room. One that waits and can no longer be in time, as more urgent ones went before it, is
//! turned away then: its caller may come back, and the slot serves who can still be in time. More urgent routes
//! go first, and among equals those that can still meet their target, in the order of arrival.
//!
//! An upstream that turns slow shows it by the age of what runs there, long before its answers do. While most of its
//! runs have taken several times as long as usual, run times are taken to be that much longer, and a request that
//! would be late by that is turned away though a slot is free: it has not run, and another upstream can take it.
//! One at a time still shows when the upstream is well again.

use {
    super::placement::Load,
    crate::{refusal::Reason, traffic::admit::Ticket, world::Moment},
    std::{collections::BTreeMap, time::Duration},
};

/// The weight of a new observation in the average run time.
const GAIN: f64 = 0.1;
/// The run time that is assumed before any was measured.
const RUN_ASSUMED: Duration = Duration::from_millis(100);
/// The most that may wait for each slot, whatever their targets: a bound on memory.
const WAITING_PER_SLOT: usize = 16;
/// The part of its remaining time within which a returned request must be expected to be answered, so that
/// a wrong estimate still leaves it served.
const RETURNED_PART: f64 = 0.7;
/// By how much the usual run time is exceeded, in the middle of what runs, from which on an upstream counts as slow:
/// run times vary by less between requests.
const SLOW_FACTOR: f64 = 2.0;
/// The most that an upstream is taken to be slower than usual.
const SLOWNESS_MAX: f64 = 100.0;
/// The shortest run time that others are compared with, in seconds: a clock's and a timer's grain.
const RUN_MIN: f64 = 0.001;
/// The runs that have to be under way to tell a slow upstream from a long run.
const SLOW_RUNS: usize = 2;
/// The least time after which a refused caller is asked to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// When it is of no more use.
    pub deadline: Moment,
    /// The rank of its route; 0 goes first.
    pub priority: u32,
    /// Whether its caller was refused before and has come back.
    pub returned: bool,
    /// Identifies its route in the measured run times.
    pub route: u64,
    /// Until when its answer has its full value.
    pub target: Moment,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It is turned away and has not run; there is likely room after a while.
    Decline(Ticket, Reason, Duration),
    /// It runs now.
    Start(Ticket),
}

#[derive(Debug)]
struct Run {
    began: Moment,
    route: u64,
}

#[derive(Debug)]
struct Waiting {
    arrived: Moment,
    demand: Demand,
    ticket: Ticket,
}

/// The slots of one upstream, and what waits for them.
#[derive(Debug, Default)]
pub struct Queue {
    overall: Option<f64>,
    running: BTreeMap<Ticket, Run>,
    runs: BTreeMap<u64, f64>,
    slots: u32,
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Sets how many requests may run at a time.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Gives what runs and waits, and how long a run takes.
    #[must_use]
    pub fn load(&self, now: Moment) -> Load {
        Load {
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            run: self.run(None).mul_f64(self.slowness(now)),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: Moment, ticket: Ticket, demand: Demand) -> Vec<Action> {
        let mut actions = self.expire(now);
        let slowness = self.slowness(now);
        let run = self.run(Some(demand.route)).mul_f64(slowness);
        if self.slots == 0 {
            actions.push(Action::Decline(ticket, Reason::NoEndpoint, RETRY_MIN));
            return actions;
        }
        let latest = if demand.returned {
            now + demand.deadline.since(now).mul_f64(RETURNED_PART)
        } else {
            demand.target.min(demand.deadline)
        };
        let room = self.running.len() < self.slots as usize && self.waiting.is_empty();
        if room {
            actions.push(if slowness >= SLOW_FACTOR && now + run > latest {
                Action::Decline(ticket, Reason::Overloaded, RETRY_MIN)
            } else {
                self.begin(now, ticket, demand.route)
            });
            return actions;
        }
        let wait = self.wait(now, &demand).mul_f64(slowness);
        let full = self.waiting.len() >= self.slots as usize * WAITING_PER_SLOT;
        if full || now + wait + run > latest {
            let retry = wait.max(RETRY_MIN);
            actions.push(Action::Decline(ticket, Reason::Overloaded, retry));
            return actions;
        }
        self.waiting.push(Waiting {
            arrived: now,
            demand,
            ticket,
        });
        actions
    }

    /// Ends a run. The run time counts only if the upstream answered.
    pub fn finish(
        &mut self,
        now: Moment,
        ticket: Ticket,
        route: u64,
        answered: bool,
    ) -> Vec<Action> {
        if let Some(run) = self.running.remove(&ticket)
            && answered
        {
            self.observe(route, now.since(run.began));
        }
        self.fill(now)
    }

    /// Takes a request out that waits no more.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Turns away what can't be answered in time any more, and starts what there is room for.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.fill(now)
    }

    /// Turns away all that waits, as the upstream takes no new work.
    pub fn close(&mut self, reason: Reason) -> Vec<Action> {
        self.waiting
            .drain(..)
            .map(|waiting| Action::Decline(waiting.ticket, reason, Duration::ZERO))
            .collect()
    }

    fn fill(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.expire(now);
        while self.running.len() < self.slots as usize {
            let Some(next) = self.next(now) else { break };
            let waiting = self.waiting.remove(next);
            actions.push(self.begin(now, waiting.ticket, waiting.demand.route));
        }
        actions
    }

    fn begin(&mut self, now: Moment, ticket: Ticket, route: u64) -> Action {
        self.running.insert(ticket, Run { began: now, route });
        Action::Start(ticket)
    }

    /// Tells by how much what runs has exceeded the usual run times, in the middle; 1 if it has not.
    fn slowness(&self, now: Moment) -> f64 {
        if self.running.len() < SLOW_RUNS {
            return 1.0;
        }
        let excess = |run: &Run| {
            let usual = self.runs.get(&run.route).copied();
            // Nothing is known to be unusual on a route that has not been measured.
            usual.map_or(0.0, |usual| {
                now.since(run.began).as_secs_f64() / usual.max(RUN_MIN)
            })
        };
        let mut excesses: Vec<f64> = self.running.values().map(excess).collect();
        excesses.sort_by(f64::total_cmp);
        excesses[(excesses.len() - 1) / 2].clamp(1.0, SLOWNESS_MAX)
    }

    fn next(&self, now: Moment) -> Option<usize> {
        let places = self.waiting.iter().enumerate();
        places
            .min_by_key(|(_, waiting)| (self.rank(now, &waiting.demand), waiting.arrived))
            .map(|(place, _)| place)
    }

    /// Whoever has the lower rank goes first: the more urgent route, and what can still meet its target.
    fn rank(&self, now: Moment, demand: &Demand) -> (u32, bool) {
        let run = self.run(Some(demand.route));
        (demand.priority, now + run > demand.target)
    }

    fn expire(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        let slowness = self.slowness(now);
        let (runs, overall) = (&self.runs, self.overall);
        self.waiting.retain(|waiting| {
            let run = average(runs, overall, Some(waiting.demand.route)).mul_f64(slowness);
            let demand = &waiting.demand;
            let latest = if demand.returned {
                demand.deadline
            } else {
                demand.target.min(demand.deadline)
            };
            let hopeless = now + run > latest;
            if hopeless {
                actions.push(Action::Decline(waiting.ticket, Reason::Deadline, RETRY_MIN));
            }
            !hopeless
        });
        actions
    }

    /// The time until a request would start, if nothing that goes before it arrived.
    fn wait(&self, now: Moment, demand: &Demand) -> Duration {
        let rank = self.rank(now, demand);
        let ahead = self.waiting.iter();
        let ahead = ahead.filter(|waiting| self.rank(now, &waiting.demand) <= rank);
        let work: Duration = ahead
            .map(|waiting| self.run(Some(waiting.demand.route)))
            .sum();
        (work + self.run(None)) / self.slots.max(1)
    }

    fn run(&self, route: Option<u64>) -> Duration {
        average(&self.runs, self.overall, route)
    }

    fn observe(&mut self, route: u64, run: Duration) {
        let seconds = run.as_secs_f64();
        let route = self.runs.entry(route).or_insert(seconds);
        *route += GAIN * (seconds - *route);
        let overall = self.overall.get_or_insert(seconds);
        *overall += GAIN * (seconds - *overall);
    }
}

fn average(runs: &BTreeMap<u64, f64>, overall: Option<f64>, route: Option<u64>) -> Duration {
    route
        .and_then(|route| runs.get(&route).copied())
        .or(overall)
        .map_or(RUN_ASSUMED, Duration::from_secs_f64)
}

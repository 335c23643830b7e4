//! Which requests run at this node's upstream, which wait, and which are turned away.
//!
//! The load that it answers: more work than slots for seconds, from classes of unlike urgency. No more run
//! than the upstream has slots, so an upstream that hangs when it is full never is. A request waits only if
//! by the measured run times its answer comes within its route's target, or within its deadline if its
//! caller has come back after a refusal; whatever else is turned away on arrival, with the time after
//! which there is likely room. One that waits and can no longer be in time, as more urgent ones went before it, is
//! turned away then: its caller may come back, and the slot serves who can still be in time. More urgent routes
//! go first, and among equals those that can still meet their target, in the order of arrival.

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
struct Waiting {
    arrived: Moment,
    demand: Demand,
    ticket: Ticket,
}

/// The slots of one upstream, and what waits for them.
#[derive(Debug, Default)]
pub struct Queue {
    overall: Option<f64>,
    running: BTreeMap<Ticket, Moment>,
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
    pub fn load(&self) -> Load {
        Load {
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            run: self.run(None),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: self.slots,
        }
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: Moment, ticket: Ticket, demand: Demand) -> Vec<Action> {
        let mut actions = self.expire(now);
        let run = self.run(Some(demand.route));
        if self.slots == 0 {
            actions.push(Action::Decline(ticket, Reason::NoEndpoint, RETRY_MIN));
            return actions;
        }
        let room = self.running.len() < self.slots as usize && self.waiting.is_empty();
        if room {
            self.running.insert(ticket, now);
            actions.push(Action::Start(ticket));
            return actions;
        }
        let wait = self.wait(now, &demand);
        let latest = if demand.returned {
            now + demand.deadline.since(now).mul_f64(RETURNED_PART)
        } else {
            demand.target.min(demand.deadline)
        };
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
        if let Some(began) = self.running.remove(&ticket)
            && answered
        {
            self.observe(route, now.since(began));
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
            self.running.insert(waiting.ticket, now);
            actions.push(Action::Start(waiting.ticket));
        }
        actions
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
        let (runs, overall) = (&self.runs, self.overall);
        self.waiting.retain(|waiting| {
            let run = average(runs, overall, Some(waiting.demand.route));
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

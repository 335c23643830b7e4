//! Admission control at the node of an upstream, which protects the upstream from overload. At most
//! as many requests run as the upstream has slots, a bounded number wait in a queue, and the others
//! are refused at once as not run. While the queue stays occupied for too long, the newest request
//! is started first and old ones are refused. See docs/design/requests.md.

use {
    super::endpoint::Load,
    crate::{refusal::Reason, resource::Limits, types::Moment},
    std::{collections::VecDeque, time::Duration},
};

/// How long the queue may stay occupied before the newest request is started first.
const OVERLOADED_AFTER: Duration = Duration::from_millis(100);
/// The longest time that a request may wait while the queue is overloaded.
const OVERLOADED_WAIT_MAX: Duration = Duration::from_millis(20);
/// The number of requests that may wait per slot if the limits do not set a queue length.
const QUEUE_PER_SLOT: u32 = 2;
/// The weight of a new observation in the moving average of the run time.
const EWMA_WEIGHT: f64 = 0.1;
/// The average run time, as a multiple of the best one, above which an adaptive limit shrinks.
const SLOWDOWN_MAX: f64 = 2.0;
/// The percentage of its value to which an adaptive limit shrinks in one step.
const SHRINK_PERCENT: u32 = 90;
/// The number of millislots, the unit of an adaptive limit, in one slot.
const MILLISLOTS_PER_SLOT: u32 = 1000;
/// The fraction by which each run moves the best run time towards the average, so that it ages.
const BEST_DECAY: f64 = 0.01;

/// Identifies a request within this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The rule for how many requests may run at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Limit {
    /// A limit that shrinks when runs slow down and grows again afterwards, up to the slots.
    Adaptive,
    /// The number of slots that the upstream has.
    #[default]
    Fixed,
}

/// What the node does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Refuse the request, which has not run.
    Refuse(Ticket, Reason),
    /// Start the request now.
    Start(Ticket),
}

#[derive(Debug)]
struct QueuedRequest {
    arrived: Moment,
    deadline: Moment,
    ticket: Ticket,
}

/// The slots and the queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    adaptive_millislots: u32,
    best_run_s: f64,
    limit: Limit,
    occupied_since: Option<Moment>,
    waiting: VecDeque<QueuedRequest>,
    length_max: usize,
    mean_run_s: f64,
    running: u32,
    slots: u32,
}

impl Queue {
    /// Creates an admission queue without slots, which [`Queue::set_limits`] sets.
    #[must_use]
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Sets the slots that the upstream announced and the queue length from the configured limits.
    pub fn set_limits(&mut self, slots: u32, limits: &Limits) {
        if self.slots != slots {
            self.adaptive_millislots = slots * MILLISLOTS_PER_SLOT;
        }
        self.slots = slots;
        self.length_max = limits.queue.unwrap_or(slots * QUEUE_PER_SLOT) as usize;
    }

    /// Returns the number of requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            running: self.running,
        }
    }

    /// Starts, queues or refuses a request that has arrived. The actions may also refuse queued
    /// requests that have expired.
    pub fn arrive(&mut self, now: Moment, ticket: Ticket, deadline: Moment) -> Vec<Action> {
        if now + self.best_run_time() > deadline {
            return vec![Action::Refuse(ticket, Reason::Deadline)];
        }
        if self.waiting.is_empty() && self.running < self.concurrency_limit() {
            self.running += 1;
            return vec![Action::Start(ticket)];
        }
        let mut actions = self.refuse_expired(now);
        if self.waiting.len() >= self.length_max || now + self.expected_time() > deadline {
            actions.push(Action::Refuse(ticket, Reason::Overloaded));
            return actions;
        }
        self.occupied_since.get_or_insert(now);
        self.waiting.push_back(QueuedRequest {
            arrived: now,
            deadline,
            ticket,
        });
        actions
    }

    /// Frees the slot of a run that has ended. `run_time` is `None` unless the upstream answered.
    pub fn finish(&mut self, now: Moment, run_time: Option<Duration>) -> Vec<Action> {
        self.running = self.running.saturating_sub(1);
        if let Some(run_time) = run_time {
            self.record_run_time(run_time.as_secs_f64());
        }
        self.start_queued(now)
    }

    /// Removes a request from the queue, because its caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|request| request.ticket != ticket);
        if self.waiting.is_empty() {
            self.occupied_since = None;
        }
    }

    /// Refuses queued requests that have expired and starts others if there are free slots.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.refuse_expired(now);
        actions.extend(self.start_queued(now));
        actions
    }

    fn start_queued(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.refuse_expired(now);
        while self.running < self.concurrency_limit() {
            let next = if self.is_overloaded(now) {
                self.waiting.pop_back()
            } else {
                self.waiting.pop_front()
            };
            let Some(next) = next else {
                self.occupied_since = None;
                break;
            };
            self.running += 1;
            actions.push(Action::Start(next.ticket));
        }
        if self.waiting.is_empty() {
            self.occupied_since = None;
        }
        actions
    }

    /// Refuses queued requests that cannot finish before their deadline and, under overload, those
    /// that have waited too long.
    fn refuse_expired(&mut self, now: Moment) -> Vec<Action> {
        let best_run_time = self.best_run_time();
        let overloaded = self.is_overloaded(now);
        let mut actions = Vec::new();
        self.waiting.retain(|request| {
            let reason = if now + best_run_time > request.deadline {
                Reason::Deadline
            } else if overloaded && now.since(request.arrived) > OVERLOADED_WAIT_MAX {
                Reason::Overloaded
            } else {
                return true;
            };
            actions.push(Action::Refuse(request.ticket, reason));
            false
        });
        actions
    }

    fn is_overloaded(&self, now: Moment) -> bool {
        self.occupied_since
            .is_some_and(|since| now.since(since) > OVERLOADED_AFTER)
    }

    /// Returns the shortest time in which a request is expected to run.
    fn best_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.best_run_s)
    }

    /// Returns the expected time until a request that is queued now has finished.
    fn expected_time(&self) -> Duration {
        let ahead = f64::from(self.load().queued) + 1.0;
        let rounds = ahead / f64::from(self.concurrency_limit().max(1));
        Duration::from_secs_f64(rounds * self.mean_run_s + self.best_run_s)
    }

    fn concurrency_limit(&self) -> u32 {
        match self.limit {
            Limit::Fixed => self.slots,
            Limit::Adaptive => {
                (self.adaptive_millislots / MILLISLOTS_PER_SLOT).clamp(1, self.slots.max(1))
            }
        }
    }

    fn record_run_time(&mut self, seconds: f64) {
        if self.mean_run_s == 0.0 {
            self.mean_run_s = seconds;
            self.best_run_s = seconds;
        }
        self.mean_run_s += EWMA_WEIGHT * (seconds - self.mean_run_s);
        self.best_run_s += BEST_DECAY * (self.mean_run_s - self.best_run_s);
        self.best_run_s = self.best_run_s.min(seconds);
        self.adaptive_millislots = if self.mean_run_s > self.best_run_s * SLOWDOWN_MAX {
            (self.adaptive_millislots * SHRINK_PERCENT / 100).max(MILLISLOTS_PER_SLOT)
        } else {
            let step = MILLISLOTS_PER_SLOT * MILLISLOTS_PER_SLOT
                / self.adaptive_millislots.max(MILLISLOTS_PER_SLOT);
            (self.adaptive_millislots + step).min(self.slots * MILLISLOTS_PER_SLOT)
        };
    }
}

//! The asynchronous interface to the admission queue and the quarantine of this host's upstream.
//! Requests wait here for a slot. A guard returns the slot however the request ends.

use {
    crate::{
        member::Offer,
        node::Clock,
        refusal::Reason,
        resource::Limits,
        traffic::{
            admission::{Action, Limit, Queue, Ticket},
            endpoint::Load,
            quarantine::{Crash, Fingerprint, Quarantine, Strike, Verdict},
        },
        types::Moment,
        wire::Request as Head,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// The interval at which a waiting request makes the queue refuse expired requests and start
/// others.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The admission queue and quarantine of one upstream.
#[derive(Clone)]
pub struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

struct State {
    queue: Queue,
    granted: HashSet<Ticket>,
    offer: Option<Offer>,
    quarantine: Quarantine,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Reason>>>,
    is_watched: bool,
}

impl State {
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, result) = match action {
                Action::Refuse(ticket, reason) => (ticket, Err(reason)),
                Action::Start(ticket) => {
                    self.granted.insert(ticket);
                    (ticket, Ok(()))
                }
            };
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // If the request was cancelled meanwhile, its guard returns the slot.
                let _ = waiting.send(result);
            }
        }
    }
}

/// A guard for the slot of a request at the upstream, or for its place in the queue. Either is
/// released when the guard is dropped.
pub struct Slot {
    answered: bool,
    gate: Gate,
    started: Option<Moment>,
    ticket: Ticket,
}

impl Gate {
    /// Creates a gate without an upstream.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let state = State {
            queue: Queue::new(Limit::default()),
            granted: HashSet::new(),
            offer: None,
            quarantine: Quarantine::default(),
            waiting: HashMap::new(),
            is_watched: false,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the offer of the upstream. `None` if it accepts no new requests.
    pub fn set_offer(&self, offer: Option<Offer>) {
        self.state().offer = offer;
    }

    /// Returns the offer of the upstream if it may run a request.
    ///
    /// # Errors
    /// Returns the reason if the upstream accepts no new requests or is of another service or
    /// version, or if the request is quarantined. `trial` is the ticket of a request that may run as a
    /// trial, at the upstream that trials of it run at.
    pub fn check(&self, head: &Head, trial: Option<Ticket>) -> Result<Offer, Reason> {
        let now = self.clock.now();
        let mut state = self.state();
        let offer = state.offer.clone().ok_or(Reason::Leaving)?;
        if Some(&offer.version) != head.version.as_ref() || offer.service != head.service {
            return Err(Reason::WrongVersion);
        }
        let quarantine = &mut state.quarantine;
        match quarantine.judge(now, head.fingerprint, Duration::ZERO) {
            Verdict::Allowed => Ok(offer),
            Verdict::Trial
                if trial.is_some_and(|ticket| quarantine.try_begin_trial(now, ticket)) =>
            {
                Ok(offer)
            }
            Verdict::Quarantined(_) | Verdict::Trial => Err(Reason::Quarantined),
        }
    }

    /// Returns the guard of a request, which has no slot yet. If the request is a trial, dropping the
    /// guard ends the trial.
    #[must_use]
    pub fn slot(&self, ticket: Ticket) -> Slot {
        Slot {
            answered: false,
            gate: self.clone(),
            started: None,
            ticket,
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.queue.tick(now);
        state.apply(actions);
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state().queue.load()
    }

    /// Returns whether a request may run. The call also renews its strikes.
    #[must_use]
    pub fn judge(&self, fingerprint: Fingerprint) -> Verdict {
        let now = self.clock.now();
        let mut state = self.state();
        state.quarantine.judge(now, fingerprint, Duration::ZERO)
    }

    /// Returns the strikes against a request, if there are any.
    #[must_use]
    pub fn strike(&self, fingerprint: Fingerprint) -> Option<Strike> {
        self.state().quarantine.strike(fingerprint)
    }

    /// Returns the strikes against all requests.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        self.state().quarantine.strikes()
    }

    /// Merges a strike from another node.
    pub fn merge_strike(&self, strike: Strike) {
        let now = self.clock.now();
        self.state().quarantine.merge(now, strike);
    }

    /// Records that the upstream refuses connections, and returns the resulting strikes. Returns
    /// none if the upstream is draining, because it is then expected to end.
    #[must_use]
    pub fn record_crash(&self) -> Vec<Strike> {
        let now = self.clock.now();
        let mut state = self.state();
        if state.offer.is_none() {
            return Vec::new();
        }
        state.quarantine.record_crash(now, Crash(rand::random()))
    }

    /// Claims the watch over the upstream. Returns `false` if it is already claimed; it stays so
    /// until [`Gate::watched_offer`] returns `None`.
    #[must_use]
    pub fn try_begin_watch(&self) -> bool {
        !std::mem::replace(&mut self.state().is_watched, true)
    }

    /// Returns the offer of the upstream while a request that ended without an answer may still run
    /// there. Otherwise ends the watch and returns `None`.
    #[must_use]
    pub fn watched_offer(&self) -> Option<Offer> {
        let now = self.clock.now();
        let mut state = self.state();
        let offer = state
            .offer
            .clone()
            .filter(|_| state.quarantine.has_lingering(now));
        state.is_watched = offer.is_some();
        offer
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Waits for a slot.
    ///
    /// # Errors
    /// Returns the reason if the queue is full or no slot becomes free in time.
    pub async fn acquire(
        &mut self,
        deadline: Moment,
        slots: u32,
        limits: &Limits,
    ) -> Result<(), Reason> {
        let (sender, mut receiver) = oneshot::channel();
        let now = self.gate.clock.now();
        {
            let mut state = self.gate.state();
            state.queue.set_limits(slots, limits);
            state.waiting.insert(self.ticket, sender);
            let actions = state.queue.arrive(now, self.ticket, deadline);
            state.apply(actions);
        }
        loop {
            let decision = tokio::select! {
                biased;
                decision = &mut receiver => decision,
                () = tokio::time::sleep(TICK_INTERVAL) => {
                    self.gate.tick();
                    continue;
                }
            };
            decision.unwrap_or(Err(Reason::Overloaded))?;
            self.started = Some(self.gate.clock.now());
            return Ok(());
        }
    }

    /// Records that the request is sent to the upstream.
    pub fn record_sent(&self, fingerprint: Fingerprint) {
        let mut state = self.gate.state();
        state.quarantine.begin(self.ticket, fingerprint);
    }

    /// Records that the upstream crashed during the request, and returns the resulting strikes.
    #[must_use]
    pub fn record_crash(&self) -> Vec<Strike> {
        let crash = Crash(rand::random());
        let now = self.gate.clock.now();
        let mut state = self.gate.state();
        if state.offer.is_none() {
            // A draining upstream is expected to end, so this is no crash.
            return Vec::new();
        }
        state
            .quarantine
            .record_crash_during(now, crash, self.ticket)
    }

    /// Records that the upstream answered. Returns the update for other nodes if this clears
    /// strikes against the request.
    #[must_use]
    pub fn record_answer(&mut self) -> Option<Strike> {
        self.answered = true;
        let now = self.gate.clock.now();
        self.gate.state().quarantine.finish(now, self.ticket, true)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state();
        state.quarantine.finish(now, self.ticket, false);
        state.waiting.remove(&self.ticket);
        let actions = if state.granted.remove(&self.ticket) {
            let run_time = self.started.filter(|_| self.answered);
            let run_time = run_time.map(|started| now.since(started));
            state.queue.finish(now, run_time)
        } else {
            state.queue.cancel(self.ticket);
            Vec::new()
        };
        state.apply(actions);
    }
}

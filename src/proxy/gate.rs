//! The edge around the admission at this host's upstream: requests wait here for a slot, and give it
//! back when they end in whatever way.

use {
    crate::{
        member::Offer,
        node::Clock,
        refusal::Reason,
        resource::Limits,
        traffic::{
            admission::{Action, Limit, Queue, Ticket},
            endpoint::Load,
            quarantine::{Crash, Fingerprint, Quarantine, Strike},
        },
        wire::Request as Head,
        world::Moment,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// How often a request that waits has the queue looked through.
const TICK: Duration = Duration::from_millis(5);

/// The admission at one upstream.
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
    watched: bool,
}

impl State {
    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, result) = match action {
                Action::Refuse(ticket, reason) => (ticket, Err(reason)),
                Action::Start(ticket) => {
                    self.granted.insert(ticket);
                    (ticket, Ok(()))
                }
            };
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // One that waits no more gives the slot back by its guard.
                let _ = waiting.send(result);
            }
        }
    }
}

/// A request's place at the upstream, given back when it is dropped.
pub struct Slot {
    answered: bool,
    gate: Gate,
    started: Option<Moment>,
    ticket: Ticket,
}

impl Gate {
    /// Begins without an upstream.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let state = State {
            queue: Queue::new(Limit::default()),
            granted: HashSet::new(),
            offer: None,
            quarantine: Quarantine::default(),
            waiting: HashMap::new(),
            watched: false,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Takes over what the upstream offers.
    pub fn offer(&self, offer: Option<Offer>) {
        self.state().offer = offer;
    }

    /// Says whether the upstream may take a request.
    ///
    /// # Errors
    /// Gives the reason if not.
    pub fn check(&self, head: &Head) -> Result<Offer, Reason> {
        let now = self.clock.now();
        let mut state = self.state();
        let offer = state.offer.clone().ok_or(Reason::Leaving)?;
        if Some(&offer.version) != head.version.as_ref() || offer.service != head.service {
            return Err(Reason::WrongVersion);
        }
        if state.quarantine.check(now, head.fingerprint) {
            return Err(Reason::Quarantined);
        }
        Ok(offer)
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Gives the reason if there won't be one in time.
    pub async fn enter(
        &self,
        ticket: Ticket,
        deadline: Moment,
        slots: u32,
        limits: &Limits,
    ) -> Result<Slot, Reason> {
        let (sender, mut receiver) = oneshot::channel();
        let mut slot = Slot {
            answered: false,
            gate: self.clone(),
            started: None,
            ticket,
        };
        {
            let mut state = self.state();
            state.queue.set_limits(slots, limits);
            state.waiting.insert(ticket, sender);
            let actions = state.queue.arrive(self.clock.now(), ticket, deadline);
            state.act(actions);
        }
        loop {
            let decided = tokio::select! {
                biased;
                decided = &mut receiver => decided,
                () = tokio::time::sleep(TICK) => {
                    self.tick();
                    continue;
                }
            };
            decided.unwrap_or(Err(Reason::Overloaded))?;
            slot.started = Some(self.clock.now());
            return Ok(slot);
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.queue.tick(now);
        state.act(actions);
    }

    /// Gives what runs and waits.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state().queue.load()
    }

    /// Says whether a request is quarantined.
    #[must_use]
    pub fn quarantined(&self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        self.state().quarantine.check(now, fingerprint)
    }

    /// Gives the strikes against a request.
    #[must_use]
    pub fn strike(&self, fingerprint: Fingerprint) -> Option<Strike> {
        self.state().quarantine.strike(fingerprint)
    }

    /// Lists every strike.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        self.state().quarantine.strikes()
    }

    /// Takes in a strike.
    pub fn learn(&self, strike: Strike) {
        let now = self.clock.now();
        self.state().quarantine.merge(now, strike);
    }

    /// Notes that the upstream takes no connection; gives the strikes that follow.
    #[must_use]
    pub fn gone(&self) -> Vec<Strike> {
        let now = self.clock.now();
        let mut state = self.state();
        if state.offer.is_none() {
            return Vec::new();
        }
        state.quarantine.record_crash(now, Crash(rand::random()))
    }

    /// Claims the watch over the upstream; nobody else gets it until [`Gate::watched`] gives nothing.
    #[must_use]
    pub fn begin_watch(&self) -> bool {
        !std::mem::replace(&mut self.state().watched, true)
    }

    /// Gives the upstream while a request that ended without an answer may still run there; ends the
    /// watch otherwise.
    #[must_use]
    pub fn watched(&self) -> Option<Offer> {
        let now = self.clock.now();
        let mut state = self.state();
        let offer = state
            .offer
            .clone()
            .filter(|_| state.quarantine.has_lingering(now));
        state.watched = offer.is_some();
        offer
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Notes that a request is handed over to the upstream.
    pub fn hand_over(&self, fingerprint: Fingerprint) {
        let mut state = self.gate.state();
        state.quarantine.begin(self.ticket, fingerprint);
    }

    /// Notes that the upstream has died; gives the strikes that follow.
    #[must_use]
    pub fn crash(&self) -> Vec<Strike> {
        let crash = Crash(rand::random());
        let now = self.gate.clock.now();
        let mut state = self.gate.state();
        if state.offer.is_none() {
            // An upstream that is leaving ends in time.
            return Vec::new();
        }
        state
            .quarantine
            .record_crash_during(now, crash, self.ticket)
    }

    /// Notes that the upstream answered; gives what other nodes have to know of it.
    #[must_use]
    pub fn answer(&mut self) -> Option<Strike> {
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
        state.act(actions);
    }
}

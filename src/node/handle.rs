//! What the API and the admin port reach a node by.

use {
    super::Clock,
    crate::{
        api::Feed,
        control,
        flight::Flight,
        journal::{Change, Journal},
        member::Offer,
        presence::{self, Announcement, Presence, Refusal},
        proxy::Proxy,
        reach::Reach,
        rollout::status::Status,
        snapshot::Snapshot,
        source::{Operation, Ticket, Verdict},
        spread::Coverage,
        telemetry::Telemetry,
        world::Domain,
    },
    arc_swap::ArcSwap,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedSender,
};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// What the API reaches a node by.
#[derive(Clone)]
pub struct Handle {
    pub(super) clock: Clock,
    pub(super) coverage: Arc<ArcSwap<BTreeMap<Domain, Coverage>>>,
    pub(super) feed: Arc<Feed>,
    pub(super) events: UnboundedSender<control::Event>,
    pub(super) rollouts: Arc<ArcSwap<Vec<Status>>>,
    pub(super) flight: Flight,
    pub(super) journal: Journal,
    pub(super) presence: Arc<Mutex<Presence>>,
    pub(super) proxy: Proxy,
    pub(super) reach: Arc<ArcSwap<Reach>>,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) telemetry: Telemetry,
    pub(super) tickets: Arc<AtomicU64>,
    pub(super) waiting: Arc<Mutex<HashMap<u64, mpsc::Sender<Verdict>>>>,
}

impl Handle {
    /// Gives the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Gives how far each failure domain has come.
    #[must_use]
    pub fn coverage(&self) -> Arc<BTreeMap<Domain, Coverage>> {
        self.coverage.load_full()
    }

    /// Gives what was deleted of late.
    #[must_use]
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// Gives how far the rollouts are that may still change.
    #[must_use]
    pub fn rollouts(&self) -> Arc<Vec<Status>> {
        self.rollouts.load_full()
    }

    /// Gives the counters.
    #[must_use]
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Has an operation accepted, and waits for what becomes of it.
    #[must_use]
    pub fn submit(&self, operation: Operation) -> Verdict {
        self.wait(|ticket| control::Event::Submitted(ticket, operation))
    }

    /// Has an operation accepted whose outcome an earlier call, here or elsewhere, left unknown.
    #[must_use]
    pub fn resubmit(&self, operation: Operation) -> Verdict {
        self.wait(|ticket| control::Event::Resubmitted(ticket, operation))
    }

    /// Asks the platform what became of an operation.
    #[must_use]
    pub fn look(&self, id: String) -> Verdict {
        self.wait(|ticket| control::Event::Looked(ticket, id))
    }

    fn wait(&self, event: impl FnOnce(Ticket) -> control::Event) -> Verdict {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel();
        self.waiting().insert(ticket, sender);
        self.report(event(Ticket(ticket)));
        let verdict = receiver.recv_timeout(SUBMIT_TIMEOUT);
        self.waiting().remove(&ticket);
        verdict.unwrap_or(Verdict::Unknown)
    }

    /// Takes the announcement of an upstream that tells no starts apart.
    pub fn announce(&self, offer: Offer) {
        // A refusal is counted.
        let _ = self.admit(Announcement {
            incarnation: 0,
            offer,
        });
    }

    /// Takes an upstream's announcement.
    ///
    /// # Errors
    /// Refuses an upstream that was told to drain, or one that a later start has replaced.
    pub fn admit(&self, announcement: Announcement) -> Result<(), Refusal> {
        let admitted = self.presence().announce(self.clock.now(), announcement);
        match admitted {
            Ok(actions) => {
                self.carry_out(actions);
                Ok(())
            }
            Err(refusal) => {
                self.telemetry.count(refusal.counter());
                Err(refusal)
            }
        }
    }

    /// Has the upstream on this host take no new work.
    pub fn drain(&self) {
        let actions = self.presence().drain(self.clock.now());
        self.carry_out(actions);
    }

    /// Takes a drain back.
    pub fn resume(&self) {
        let actions = self.presence().resume(self.clock.now());
        self.carry_out(actions);
    }

    /// Says whether the platform answers.
    #[must_use]
    pub fn reach(&self) -> Reach {
        **self.reach.load()
    }

    /// Says how far the upstream on this host has got.
    #[must_use]
    pub fn upstream(&self) -> presence::State {
        self.presence().state()
    }

    /// Tells whether the node stops.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.presence().stopping()
    }

    /// Gives how many requests run here for other nodes.
    #[must_use]
    pub fn running(&self) -> usize {
        self.flight.count()
    }

    pub(super) fn reserve(&self, ports: Vec<SocketAddr>) {
        self.presence().reserve(ports);
    }

    pub(super) fn stop(&self) {
        let actions = self.presence().stop(self.clock.now());
        self.carry_out(actions);
    }

    pub(super) fn tick(&self) {
        let actions = self.presence().tick(self.clock.now());
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<presence::Action>) {
        for action in actions {
            match action {
                presence::Action::Close => self.proxy.offer(None),
                presence::Action::Lapse => {
                    self.telemetry.count("upstream.lapsed");
                    self.journal.write(&Change::Lapsed);
                }
                presence::Action::Leave => {
                    self.journal.write(&Change::Leaving);
                    self.report(control::Event::Draining);
                }
                presence::Action::Open(offer) => {
                    let (service, version) = (offer.service.clone(), offer.version.clone());
                    self.journal.write(&Change::Announced(service, version));
                    self.proxy.offer(Some(offer.clone()));
                    self.report(control::Event::Announced(offer));
                }
            }
        }
    }

    fn presence(&self) -> MutexGuard<'_, Presence> {
        self.presence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, event: control::Event) {
        // The loop is gone only while the node stops.
        let _ = self.events.send(event);
    }

    pub(super) fn waiting(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What the API and the admin port reach a node by.

use {
    crate::{
        control,
        member::Offer,
        snapshot::Snapshot,
        source::{Operation, Ticket, Verdict},
        spread::Coverage,
        telemetry::Telemetry,
        world::Domain,
    },
    arc_swap::ArcSwap,
    std::{
        collections::{BTreeMap, HashMap},
        sync::{
            Arc, Mutex, PoisonError,
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
    pub(super) coverage: Arc<ArcSwap<BTreeMap<Domain, Coverage>>>,
    pub(super) events: UnboundedSender<control::Event>,
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

    /// Gives the counters.
    #[must_use]
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Has an operation accepted, and waits for what becomes of it.
    #[must_use]
    pub fn submit(&self, operation: Operation) -> Verdict {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel();
        self.waiting().insert(ticket, sender);
        self.report(control::Event::Submitted(Ticket(ticket), operation));
        let verdict = receiver.recv_timeout(SUBMIT_TIMEOUT);
        self.waiting().remove(&ticket);
        verdict.unwrap_or(Verdict::Unknown)
    }

    /// Takes an upstream's announcement.
    pub fn announce(&self, offer: Offer) {
        self.report(control::Event::Announced(offer));
    }

    /// Has the upstream on this host take no new work.
    pub fn drain(&self) {
        self.report(control::Event::Draining);
    }

    fn report(&self, event: control::Event) {
        // The loop is gone only while the node stops.
        let _ = self.events.send(event);
    }

    pub(super) fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The handle by which the API and the admin port read the state of a node and send it commands.

use {
    super::Clock,
    crate::{
        api::DeletionLog,
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

/// How long a client waits for the result of an operation before it is reported as unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A handle to a running node. Clones refer to the same node.
#[derive(Clone)]
pub struct Handle {
    pub(super) clock: Clock,
    pub(super) coverage: Arc<ArcSwap<BTreeMap<Domain, Coverage>>>,
    pub(super) deletions: Arc<DeletionLog>,
    pub(super) events: UnboundedSender<control::Event>,
    pub(super) rollout_statuses: Arc<ArcSwap<Vec<Status>>>,
    pub(super) flight: Flight,
    pub(super) journal: Journal,
    pub(super) presence: Arc<Mutex<Presence>>,
    pub(super) proxy: Proxy,
    pub(super) reachability: Arc<ArcSwap<Reach>>,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) telemetry: Telemetry,
    pub(super) next_ticket: Arc<AtomicU64>,
    pub(super) pending_replies: Arc<Mutex<HashMap<u64, mpsc::Sender<Verdict>>>>,
}

impl Handle {
    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns how far the configuration has reached in each failure domain.
    #[must_use]
    pub fn coverage(&self) -> Arc<BTreeMap<Domain, Coverage>> {
        self.coverage.load_full()
    }

    /// Returns the record of recent deletions, from which watches of the API resume.
    #[must_use]
    pub fn deletions(&self) -> &DeletionLog {
        &self.deletions
    }

    /// Returns the status of the rollouts that may still change.
    #[must_use]
    pub fn rollout_statuses(&self) -> Arc<Vec<Status>> {
        self.rollout_statuses.load_full()
    }

    /// Returns the counters.
    #[must_use]
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Submits an operation and waits for its result. Blocks the thread; after 10 s without a result it
    /// returns [`Verdict::Unknown`].
    #[must_use]
    pub fn submit(&self, operation: Operation) -> Verdict {
        self.wait_for_reply(|ticket| control::Event::Submitted(ticket, operation))
    }

    /// Submits an operation again whose result remained unknown to an earlier call at this or another
    /// node. Waits like [`Handle::submit`].
    #[must_use]
    pub fn resubmit(&self, operation: Operation) -> Verdict {
        self.wait_for_reply(|ticket| control::Event::Resubmitted(ticket, operation))
    }

    /// Asks the platform for the result of an operation by its id. Waits like [`Handle::submit`].
    #[must_use]
    pub fn look(&self, id: String) -> Verdict {
        self.wait_for_reply(|ticket| control::Event::Looked(ticket, id))
    }

    fn wait_for_reply(&self, event: impl FnOnce(Ticket) -> control::Event) -> Verdict {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel();
        self.pending_replies().insert(ticket, sender);
        self.send_event(event(Ticket(ticket)));
        let verdict = receiver.recv_timeout(REPLY_TIMEOUT);
        self.pending_replies().remove(&ticket);
        verdict.unwrap_or(Verdict::Unknown)
    }

    /// Registers an upstream that sends no incarnation. Incarnation 0 is used for all of its starts.
    pub fn register_offer(&self, offer: Offer) {
        // A refusal is already counted by `register`.
        let _ = self.register(Announcement {
            incarnation: 0,
            offer,
        });
    }

    /// Registers the upstream on this host or renews its lease.
    ///
    /// # Errors
    /// Fails, and counts the refusal, if the address is a port of the node, the node is stopping, or the
    /// incarnation is drained or was replaced by a later one.
    pub fn register(&self, announcement: Announcement) -> Result<(), Refusal> {
        let result = self.presence().announce(self.clock.now(), announcement);
        match result {
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

    /// Drains the upstream on this host, so that it gets no new requests.
    pub fn drain(&self) {
        let actions = self.presence().drain(self.clock.now());
        self.carry_out(actions);
    }

    /// Cancels a drain, so that the upstream gets requests again.
    pub fn resume(&self) {
        let actions = self.presence().resume(self.clock.now());
        self.carry_out(actions);
    }

    /// Returns whether the platform is reachable.
    #[must_use]
    pub fn reachability(&self) -> Reach {
        **self.reachability.load()
    }

    /// Returns the lifecycle state of the upstream on this host.
    #[must_use]
    pub fn upstream(&self) -> presence::State {
        self.presence().state()
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.presence().stopping()
    }

    /// Returns the number of requests that run here for other nodes.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.flight.count()
    }

    /// Sets the addresses of the node's own ports, which no upstream may announce.
    pub(super) fn set_own_ports(&self, ports: Vec<SocketAddr>) {
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
                presence::Action::Close => self.proxy.set_offer(None),
                presence::Action::Lapse => {
                    self.telemetry.count("upstream.lapsed");
                    self.journal.write(&Change::Lapsed);
                }
                presence::Action::Leave => {
                    self.journal.write(&Change::Leaving);
                    self.send_event(control::Event::Draining);
                }
                presence::Action::Open(offer) => {
                    let (service, version) = (offer.service.clone(), offer.version.clone());
                    self.journal.write(&Change::Announced(service, version));
                    self.proxy.set_offer(Some(offer.clone()));
                    self.send_event(control::Event::Announced(offer));
                }
            }
        }
    }

    fn presence(&self) -> MutexGuard<'_, Presence> {
        self.presence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send_event(&self, event: control::Event) {
        // The event loop has ended only if the node is stopping.
        let _ = self.events.send(event);
    }

    pub(super) fn pending_replies(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<Verdict>>> {
        self.pending_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

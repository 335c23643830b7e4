//! The handle by which the API and the admin port read the state of a node and send it commands.

use {
    super::Clock,
    crate::{
        api::DeletionLog,
        control,
        event_log::{EventLog, StateChange},
        in_flight::RequestCounter,
        member::Offer,
        proxy::Proxy,
        reachability::Reachability,
        registration::{self, Announcement, Refusal, Registration},
        rollout::status::Status,
        snapshot::Snapshot,
        source::{CallId, Operation, OperationStatus},
        spread::Coverage,
        telemetry::Telemetry,
        types::Domain,
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
    pub(super) flight: RequestCounter,
    pub(super) event_log: EventLog,
    pub(super) registration: Arc<Mutex<Registration>>,
    pub(super) proxy: Proxy,
    pub(super) reachability: Arc<ArcSwap<Reachability>>,
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) telemetry: Telemetry,
    pub(super) next_call_id: Arc<AtomicU64>,
    pub(super) pending_replies: Arc<Mutex<HashMap<u64, mpsc::Sender<OperationStatus>>>>,
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
    /// returns [`OperationStatus::Unknown`].
    #[must_use]
    pub fn submit(&self, operation: Operation) -> OperationStatus {
        self.wait_for_reply(|call_id| control::Event::Submitted(call_id, operation))
    }

    /// Submits an operation again whose result remained unknown to an earlier call at this or another
    /// node. Waits like [`Handle::submit`].
    #[must_use]
    pub fn resubmit(&self, operation: Operation) -> OperationStatus {
        self.wait_for_reply(|call_id| control::Event::Resubmitted(call_id, operation))
    }

    /// Asks the platform for the result of an operation by its id. Waits like [`Handle::submit`].
    #[must_use]
    pub fn look_up(&self, id: String) -> OperationStatus {
        self.wait_for_reply(|call_id| control::Event::LookedUp(call_id, id))
    }

    fn wait_for_reply(&self, event: impl FnOnce(CallId) -> control::Event) -> OperationStatus {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel();
        self.pending_replies().insert(call_id, sender);
        self.send_event(event(CallId(call_id)));
        let operation_status = receiver.recv_timeout(REPLY_TIMEOUT);
        self.pending_replies().remove(&call_id);
        operation_status.unwrap_or(OperationStatus::Unknown)
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
        let result = self.registration().announce(self.clock.now(), announcement);
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
        let actions = self.registration().drain(self.clock.now());
        self.carry_out(actions);
    }

    /// Cancels a drain, so that the upstream gets requests again.
    pub fn resume(&self) {
        let actions = self.registration().resume(self.clock.now());
        self.carry_out(actions);
    }

    /// Returns whether the platform is reachable.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        **self.reachability.load()
    }

    /// Returns the lifecycle state of the upstream on this host.
    #[must_use]
    pub fn upstream(&self) -> registration::State {
        self.registration().state()
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.registration().is_stopping()
    }

    /// Returns the number of requests that run here for other nodes.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.flight.count()
    }

    /// Sets the addresses of the node's own ports, which no upstream may announce.
    pub(super) fn set_own_ports(&self, ports: Vec<SocketAddr>) {
        self.registration().set_own_ports(ports);
    }

    pub(super) fn stop(&self) {
        let actions = self.registration().stop(self.clock.now());
        self.carry_out(actions);
    }

    pub(super) fn tick(&self) {
        let actions = self.registration().tick(self.clock.now());
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<registration::Action>) {
        for action in actions {
            match action {
                registration::Action::RefuseRequests => self.proxy.set_offer(None),
                registration::Action::ExpireLease => {
                    self.telemetry.count("upstream.lapsed");
                    self.event_log.write(&StateChange::LeaseExpired);
                }
                registration::Action::NotifyDraining => {
                    self.event_log.write(&StateChange::Leaving);
                    self.send_event(control::Event::Draining);
                }
                registration::Action::Open(offer) => {
                    let (service, version) = (offer.service.clone(), offer.version.clone());
                    self.event_log
                        .write(&StateChange::Announced(service, version));
                    self.proxy.set_offer(Some(offer.clone()));
                    self.send_event(control::Event::Announced(offer));
                }
            }
        }
    }

    fn registration(&self) -> MutexGuard<'_, Registration> {
        self.registration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn send_event(&self, event: control::Event) {
        // The event loop has ended only if the node is stopping.
        let _ = self.events.send(event);
    }

    pub(super) fn pending_replies(
        &self,
    ) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<OperationStatus>>> {
        self.pending_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

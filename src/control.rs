//! The control plane of a node: a state machine that distributes the configuration and maintains the
//! membership. It has no clock, socket or thread, so that the daemon, the tests and the benches can
//! drive it with their own time and transport through [`Control::handle`].

use {
    crate::{
        member::{Contact, FailureDetector, Offer, Record, Roster, State},
        rollout,
        snapshot::Snapshot,
        source::{self, CallId, Operation, OperationStatus, Page, Source, TransactionOutcome},
        spread::{
            Backoff, Coverage, CoverageTable, FANOUT, History, Neighbour, Role, TokenBucket, Tree,
        },
        types::{Domain, Host, Moment, Revision},
        wire::Frame,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

mod beat;
mod configuration;
mod membership;
mod siblings;
mod topology;

pub use {
    beat::BEAT_INTERVAL,
    configuration::{ORPHAN_POLL_INTERVAL, SNAPSHOT_BURST, SNAPSHOT_INTERVAL},
    topology::{NEIGHBOUR_TIMEOUT, START_TIMEOUT},
};

/// An input of the control plane.
#[derive(Debug)]
pub enum Event {
    /// The upstream on this host announced itself or renewed its lease.
    Announced(Offer),
    /// A connection to a node was established, in either direction.
    Connected(Host),
    /// The connection to a node was lost.
    Disconnected(Host),
    /// The upstream on this host no longer takes new work.
    Draining,
    /// A client asks for the outcome of the operation with this id.
    LookedUp(CallId, String),
    /// A read of the platform's table ended; `None` if it failed.
    ReadFinished(Option<Page>),
    /// A frame was received from a node.
    Received(Host, Frame),
    /// A client submitted an operation again because the outcome of its first attempt is unknown.
    Resubmitted(CallId, Operation),
    /// A client submitted an operation.
    Submitted(CallId, Operation),
    /// Time has passed; sent at short, regular intervals.
    Tick,
    /// The transaction that was to create this revision ended.
    Transacted(Revision, TransactionOutcome),
}

/// An output of the control plane, to be carried out by its driver.
#[derive(Debug)]
pub enum Action {
    /// Connect to the node at this address.
    Connect(SocketAddr),
    /// Increment the counter of this name.
    Count(&'static str),
    /// The coverage of the failure domains changed; holds the complete new coverage.
    Cover(BTreeMap<Domain, Coverage>),
    /// Replace the running configuration by this one in a single swap.
    Install(Arc<Snapshot>),
    /// The role of this node changed.
    Role(Role),
    /// A message about rollouts was received from a node.
    Rollout(Host, Vec<u8>),
    /// Send a frame to a connected node.
    Send(Host, Frame),
    /// Perform an action on the platform or answer a client.
    Source(source::Action),
    /// The records of these hosts changed.
    Membership(Vec<Arc<Record>>),
}

/// The parameters that a control plane is created with.
#[derive(Debug, Clone)]
pub struct Start {
    /// The location and address of this node.
    pub contact: Contact,
    /// The time of the start, which becomes the incarnation of this node's record.
    pub now: Moment,
    /// The addresses of the nodes to connect to first; this node's own address is ignored.
    pub peers: Vec<SocketAddr>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The parameters of the distribution of the configuration.
    pub spread: Spread,
}

/// The parameters of the distribution of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// The number of nodes that a relay or hub usually forwards to.
    pub fanout: usize,
    /// Whether every node polls the platform and none forwards, as a baseline for the benches.
    pub poll_all: bool,
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            fanout: FANOUT,
            poll_all: false,
        }
    }
}

/// A join request to a node that has not answered yet.
#[derive(Debug, Clone)]
struct PendingJoin {
    attempts: usize,
    contact: Contact,
    until: Moment,
}

/// A host that did not answer and is left out of the tree until `until`.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    span: Duration,
    until: Moment,
}

/// The duty of a node in its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// Root of the tree: reads the platform, exchanges with other failure domains and detects lost
    /// hosts.
    Root,
    /// Receives the configuration through the tree and may forward it.
    Member,
    /// Reads the platform as well and becomes the root if the present one is lost.
    Standby,
}

impl Duty {
    fn of(place: Option<usize>) -> Self {
        match place {
            Some(0) => Self::Root,
            Some(1) => Self::Standby,
            Some(_) | None => Self::Member,
        }
    }
}

/// The state of the control plane of one node.
pub struct Control {
    pending_parent: Option<PendingJoin>,
    pending_siblings: BTreeMap<Domain, PendingJoin>,
    failure_detector: FailureDetector,
    beat_sent_at: Moment,
    bucket: TokenBucket,
    busy: BTreeMap<Host, Moment>,
    connected: BTreeSet<Host>,
    contact: Contact,
    coverage_sent_at: Moment,
    coverage: BTreeMap<Domain, Coverage>,
    dial_backoffs: BTreeMap<SocketAddr, Backoff>,
    duty: Duty,
    expiry_run_at: Moment,
    fetching: Option<(Host, Moment)>,
    is_gateway: bool,
    /// When a hello frame was last sent to each node.
    hellos: BTreeMap<Host, Moment>,
    highest_seen: Option<(Host, Revision)>,
    history: History,
    /// The highest number of hosts of this failure domain in a welcome frame; 0 once the roster has
    /// had time to become complete.
    reported_hosts: usize,
    own_record: Record,
    /// The number of welcome frames from serving nodes.
    serving_welcomes: usize,
    sent_children: Vec<Host>,
    children_sent_at: Moment,
    neighbours: BTreeMap<Host, Neighbour>,
    pending_records: Vec<(Option<Host>, Vec<Arc<Record>>)>,
    polled_at: Moment,
    probed_at: Moment,
    read_at: Moment,
    role_outdated: bool,
    reports: CoverageTable,
    rng: StdRng,
    role: Role,
    relayed_at: Moment,
    roster: Roster,
    seeds: Vec<SocketAddr>,
    serving: bool,
    snapshot: Arc<Snapshot>,
    source: Source,
    spread: Spread,
    started_at: Moment,
    suspects: BTreeMap<Host, Suspect>,
    tree: Tree,
    tree_version: Option<(u64, usize)>,
    unreachable: BTreeMap<Domain, Moment>,
    welcome_count: usize,
}

impl Control {
    /// Creates the control plane of a node that knows no configuration and no host but itself.
    #[must_use]
    pub fn new(start: Start) -> Self {
        let own_record = Record {
            contact: start.contact.clone(),
            incarnation: start.now,
            offer: None,
            sequence: 0,
            state: State::Ready,
        };
        let mut roster = Roster::default();
        roster.merge(start.now, Arc::new(own_record.clone()));
        let seeds: Vec<SocketAddr> = start
            .peers
            .into_iter()
            .filter(|address| *address != start.contact.address)
            .collect();
        Self {
            pending_parent: None,
            pending_siblings: BTreeMap::new(),
            failure_detector: FailureDetector::default(),
            beat_sent_at: start.now,
            bucket: TokenBucket::new(SNAPSHOT_BURST, SNAPSHOT_INTERVAL),
            busy: BTreeMap::new(),
            connected: BTreeSet::new(),
            contact: start.contact,
            coverage_sent_at: start.now,
            coverage: BTreeMap::new(),
            dial_backoffs: BTreeMap::new(),
            duty: Duty::Member,
            expiry_run_at: start.now,
            fetching: None,
            is_gateway: false,
            hellos: BTreeMap::new(),
            highest_seen: None,
            history: History::default(),
            reported_hosts: 0,
            own_record,
            serving_welcomes: 0,
            sent_children: Vec::new(),
            children_sent_at: start.now,
            neighbours: BTreeMap::new(),
            pending_records: Vec::new(),
            polled_at: start.now,
            probed_at: start.now,
            read_at: Moment::default(),
            role_outdated: false,
            reports: CoverageTable::default(),
            rng: StdRng::seed_from_u64(start.seed),
            role: Role::default(),
            relayed_at: start.now,
            roster,
            serving: seeds.is_empty(),
            seeds,
            snapshot: Arc::default(),
            source: Source::new(start.seed),
            spread: start.spread,
            started_at: start.now,
            suspects: BTreeMap::new(),
            tree: Tree::default(),
            tree_version: None,
            unreachable: BTreeMap::new(),
            welcome_count: 0,
        }
    }

    /// Returns the latest configuration known to this node. It is in force here only once the node
    /// serves.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns whether this node knows enough of the mesh to serve callers.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Returns the records of all known hosts.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whether there is a connection to the node on `host`.
    #[must_use]
    pub fn is_connected(&self, host: &Host) -> bool {
        self.connected.contains(host)
    }

    /// Returns the present role of this node in the distribution of the configuration.
    #[must_use]
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the revision that is in force in each failure domain, as last reported.
    #[must_use]
    pub fn coverage(&self) -> &BTreeMap<Domain, Coverage> {
        &self.coverage
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Announced(offer) => self.handle_announced(now, offer),
            Event::Connected(host) => self.handle_connected(now, host),
            Event::Disconnected(host) => self.handle_disconnected(now, &host),
            Event::Draining => self.handle_draining(now),
            Event::LookedUp(call_id, id) => {
                let actions = self.source.look_up(now, &self.snapshot, call_id, id);
                self.apply_source_actions(now, actions)
            }
            Event::ReadFinished(page) => self.handle_read(now, page.as_ref()),
            Event::Received(host, frame) => self.handle_frame(now, &host, frame),
            Event::Resubmitted(call_id, mut operation) => {
                rollout::rules::fill_status(now, &self.snapshot, &mut operation);
                let actions = self
                    .source
                    .resubmit(now, &self.snapshot, call_id, operation);
                self.apply_source_actions(now, actions)
            }
            Event::Submitted(call_id, mut operation) => {
                rollout::rules::fill_status(now, &self.snapshot, &mut operation);
                let actions = self.source.submit(now, &self.snapshot, call_id, operation);
                self.apply_source_actions(now, actions)
            }
            Event::Tick => self.tick(now),
            Event::Transacted(revision, outcome) => self.handle_transacted(now, revision, outcome),
        };
        actions.extend(self.update_role());
        actions
    }

    fn is_relay(&self) -> bool {
        self.duty != Duty::Member
    }

    fn is_root(&self) -> bool {
        self.duty == Duty::Root
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.maintain(now);
        actions.extend(self.poll_source(now));
        self.remove_expired(now);
        actions.extend(self.send_pending_records());
        if now.since(self.beat_sent_at) >= BEAT_INTERVAL {
            self.beat_sent_at = now;
            actions.extend(self.beat(now));
        }
        actions
    }

    fn handle_frame(&mut self, now: Moment, host: &Host, frame: Frame) -> Vec<Action> {
        match frame {
            Frame::Beat(beat) => self.handle_beat(now, host, &beat),
            Frame::Busy(ms) => self.handle_busy(now, host, Duration::from_millis(ms.into())),
            Frame::Children(parent, hosts) => self.handle_children(now, host, parent, hosts),
            Frame::Cover(reports) => self.handle_cover(now, host, &reports),
            Frame::Delta(delta) => self.handle_delta(now, host, &delta),
            Frame::Digests(digests) => self.handle_digests(host, &digests),
            Frame::Fetch(revision) => self.handle_fetch(now, host, revision),
            Frame::Hello(contact, _) => vec![self.welcome_action(host, &contact.domain)],
            Frame::Join(join) => self.handle_join(now, host, join),
            Frame::Members(records) => self.merge(now, Some(host), records),
            Frame::Quit => self.handle_quit(now, host),
            Frame::Rollout(message) => vec![Action::Rollout(host.clone(), message)],
            Frame::Snapshot(snapshot) => self.install_snapshot(now, snapshot),
            // Strikes are handled by the proxy.
            Frame::Strikes(_) => Vec::new(),
            Frame::Sync(sync) => self.handle_sync(now, host, &sync),
            Frame::Welcome(welcome) => self.handle_welcome(now, host, welcome),
        }
    }
}

/// Returns whether no later attempt can change this outcome of an operation.
#[must_use]
pub fn is_final(status: &OperationStatus) -> bool {
    matches!(
        status,
        OperationStatus::Accepted(_) | OperationStatus::Refused(_)
    )
}

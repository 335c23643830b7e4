//! Decides all that a node does for the configuration and the membership. It has no clock, socket or
//! thread: the daemon, the tests and the benches drive it by `handle`.

use {
    crate::{
        member::{Attendance, Contact, Offer, Record, Roster, State},
        rollout,
        snapshot::Snapshot,
        source::{self, Operation, Outcome, Page, Source, Ticket, Verdict},
        spread::{Backoff, Bucket, Coverage, FANOUT, History, Neighbor, Reports, Role, Tree},
        wire::Frame,
        world::{Domain, Host, Moment, Revision},
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
    topology::{LEASE, START_LIMIT},
};

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// The upstream on this host announces itself or renews its lease.
    Announced(Offer),
    /// A node has connected, or was connected to.
    Connected(Host),
    /// A connection to a node is lost.
    Disconnected(Host),
    /// The upstream on this host takes no new work.
    Draining,
    /// A client asks what became of an operation.
    Looked(Ticket, String),
    /// A read of the table has ended; nothing if the platform could not be read.
    Read(Option<Page>),
    /// A frame from a node.
    Received(Host, Frame),
    /// A client wants an operation accepted that it has asked for before, with an unknown outcome.
    Resubmitted(Ticket, Operation),
    /// A client wants an operation accepted.
    Submitted(Ticket, Operation),
    /// Time has passed.
    Tick,
    /// A transaction has ended.
    Transacted(Revision, Outcome),
}

/// What a node does about it.
#[derive(Debug)]
pub enum Action {
    /// Connect to a node.
    Connect(SocketAddr),
    /// Count an occurrence.
    Count(&'static str),
    /// The coverage of failure domains has changed; this is all of it.
    Cover(BTreeMap<Domain, Coverage>),
    /// Run a new configuration, by one swap.
    Install(Arc<Snapshot>),
    /// This node's place among the others has changed.
    Role(Role),
    /// A node sent a message about rollouts.
    Rollout(Host, Vec<u8>),
    /// Send a frame to a connected node.
    Send(Host, Frame),
    /// Act towards the platform or a client.
    Source(source::Action),
    /// The membership has changed.
    Update(Vec<Arc<Record>>),
}

/// What a node is started with.
#[derive(Debug, Clone)]
pub struct Start {
    /// Where this node is.
    pub contact: Contact,
    /// When it was started.
    pub now: Moment,
    /// The nodes to connect to first.
    pub peers: Vec<SocketAddr>,
    /// What random choices are drawn from.
    pub seed: u64,
    /// How the configuration is spread.
    pub spread: Spread,
}

/// How the configuration is spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// The nodes that a relay or hub hands on to, as a rule.
    pub fanout: usize,
    /// Whether every node reads the platform and none hands on; a rival that the bench compares with.
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

/// A node that was asked to exchange and has not answered yet.
#[derive(Debug, Clone)]
struct Asked {
    attempts: usize,
    contact: Contact,
    until: Moment,
}

/// A host that did not answer.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    span: Duration,
    until: Moment,
}

/// What a node does for its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// It reads the platform, exchanges with other failure domains and misses lost hosts.
    First,
    /// It takes part in the tree.
    Member,
    /// It reads the platform, and is next to be the first.
    Second,
}

impl Duty {
    fn of(place: Option<usize>) -> Self {
        match place {
            Some(0) => Self::First,
            Some(1) => Self::Second,
            Some(_) | None => Self::Member,
        }
    }
}

/// The state of a node's control plane.
pub struct Control {
    asked_parent: Option<Asked>,
    asked_siblings: BTreeMap<Domain, Asked>,
    attendance: Attendance,
    beat_at: Moment,
    bucket: Bucket,
    busy: BTreeMap<Host, Moment>,
    connected: BTreeSet<Host>,
    contact: Contact,
    cover_at: Moment,
    coverage: BTreeMap<Domain, Coverage>,
    dials: BTreeMap<SocketAddr, Backoff>,
    duty: Duty,
    expired_at: Moment,
    fetching: Option<(Host, Moment)>,
    gateway: bool,
    greeted: BTreeMap<Host, Moment>,
    highest: Option<(Host, Revision)>,
    history: History,
    hosts: usize,
    me: Record,
    informants: usize,
    named: Vec<Host>,
    named_at: Moment,
    neighbors: BTreeMap<Host, Neighbor>,
    news: Vec<(Option<Host>, Vec<Arc<Record>>)>,
    polled_at: Moment,
    probed_at: Moment,
    read_at: Moment,
    replaced: bool,
    reports: Reports,
    rng: StdRng,
    role: Role,
    rooted_at: Moment,
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
    welcomes: usize,
}

impl Control {
    /// Begins with nothing but the settings.
    #[must_use]
    pub fn new(start: Start) -> Self {
        let me = Record {
            contact: start.contact.clone(),
            incarnation: start.now,
            offer: None,
            sequence: 0,
            state: State::Ready,
        };
        let mut roster = Roster::default();
        roster.merge(start.now, Arc::new(me.clone()));
        let seeds: Vec<SocketAddr> = start
            .peers
            .into_iter()
            .filter(|address| *address != start.contact.address)
            .collect();
        Self {
            asked_parent: None,
            asked_siblings: BTreeMap::new(),
            attendance: Attendance::default(),
            beat_at: start.now,
            bucket: Bucket::new(SNAPSHOT_BURST, SNAPSHOT_INTERVAL),
            busy: BTreeMap::new(),
            connected: BTreeSet::new(),
            contact: start.contact,
            cover_at: start.now,
            coverage: BTreeMap::new(),
            dials: BTreeMap::new(),
            duty: Duty::Member,
            expired_at: start.now,
            fetching: None,
            gateway: false,
            greeted: BTreeMap::new(),
            highest: None,
            history: History::default(),
            hosts: 0,
            me,
            informants: 0,
            named: Vec::new(),
            named_at: start.now,
            neighbors: BTreeMap::new(),
            news: Vec::new(),
            polled_at: start.now,
            probed_at: start.now,
            read_at: Moment::default(),
            replaced: false,
            reports: Reports::default(),
            rng: StdRng::seed_from_u64(start.seed),
            role: Role::default(),
            rooted_at: start.now,
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
            welcomes: 0,
        }
    }

    /// The configuration that is known here; it is in force once the node serves.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Whether this node knows enough to serve callers.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Every host that is known.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Tells whether a node is connected already.
    #[must_use]
    pub fn is_connected(&self, host: &Host) -> bool {
        self.connected.contains(host)
    }

    /// This node's place among the others.
    #[must_use]
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// How far each failure domain has come.
    #[must_use]
    pub fn coverage(&self) -> &BTreeMap<Domain, Coverage> {
        &self.coverage
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Announced(offer) => self.announced(now, offer),
            Event::Connected(host) => self.connected(now, host),
            Event::Disconnected(host) => self.disconnected(now, &host),
            Event::Draining => self.draining(now),
            Event::Looked(ticket, id) => {
                let wanted = self.source.look(now, &self.snapshot, ticket, id);
                self.accept(now, wanted)
            }
            Event::Read(page) => self.read(now, page.as_ref()),
            Event::Received(host, frame) => self.received(now, &host, frame),
            Event::Resubmitted(ticket, mut operation) => {
                rollout::rules::fill_status(now, &self.snapshot, &mut operation);
                let actions = self.source.resubmit(now, &self.snapshot, ticket, operation);
                self.accept(now, actions)
            }
            Event::Submitted(ticket, mut operation) => {
                rollout::rules::fill_status(now, &self.snapshot, &mut operation);
                let actions = self.source.submit(now, &self.snapshot, ticket, operation);
                self.accept(now, actions)
            }
            Event::Tick => self.tick(now),
            Event::Transacted(revision, outcome) => self.transacted(now, revision, outcome),
        };
        actions.extend(self.place());
        actions
    }

    fn is_relay(&self) -> bool {
        self.duty != Duty::Member
    }

    fn is_root(&self) -> bool {
        self.duty == Duty::First
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.maintain(now);
        actions.extend(self.poll(now));
        self.expire(now);
        actions.extend(self.tell_news());
        if now.since(self.beat_at) >= BEAT_INTERVAL {
            self.beat_at = now;
            actions.extend(self.beat(now));
        }
        actions
    }

    fn received(&mut self, now: Moment, host: &Host, frame: Frame) -> Vec<Action> {
        match frame {
            Frame::Beat(beat) => self.beaten(now, host, &beat),
            Frame::Busy(millis) => self.refused_by(now, host, Duration::from_millis(millis.into())),
            Frame::Children(parent, hosts) => self.children_named(now, host, parent, hosts),
            Frame::Cover(reports) => self.covered(now, host, &reports),
            Frame::Delta(delta) => self.delta(now, host, &delta),
            Frame::Digests(digests) => self.digests(host, &digests),
            Frame::Fetch(revision) => self.fetched(now, host, revision),
            Frame::Hello(contact, _) => vec![self.welcome(host, &contact.domain)],
            Frame::Join(join) => self.joined(now, host, join),
            Frame::Members(records) => self.merge(now, Some(host), records),
            Frame::Quit => self.quit(now, host),
            Frame::Rollout(message) => vec![Action::Rollout(host.clone(), message)],
            Frame::Snapshot(snapshot) => self.whole(now, snapshot),
            // The proxy takes these.
            Frame::Strikes(_) => Vec::new(),
            Frame::Sync(sync) => self.synced(now, host, &sync),
            Frame::Welcome(welcome) => self.welcomed(now, host, welcome),
        }
    }
}

/// Tells whether a verdict ends an operation for good.
#[must_use]
pub fn is_final(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(_) | Verdict::Refused(_))
}

//! A simulated mesh of real control planes in virtual time, with in-memory links that have delay, loss
//! and partitions. Every configuration a node installs is verified and must be newer than the last.

use {
    mulberryshelf::{
        control::{Action, Control, Event, Spread, Start},
        member::{Contact, Offer, State},
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::Snapshot,
        source::TransactionOutcome,
        source::{self, CallId, Entry, Operation, OperationStatus, PAGE, Page, Query, Receipt},
        types::{Host, Moment, Permille, Revision},
        wire::{self, Frame},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// The interval between two tick events of a node.
const TICK: Duration = Duration::from_millis(100);
/// How long QUIC takes to detect a lost peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// The overhead of UDP, QUIC and acknowledgements for each frame, in bytes.
const OVERHEAD_BYTES: u64 = 80;
/// The interval at which an upstream renews its lease.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
const PLATFORM_LATENCY: Duration = Duration::from_millis(10);
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// An event for a node and its generation, or a frame from one node to another.
enum Delivery {
    Event(usize, u64, Event),
    Frame(usize, usize, Frame),
}

struct Queued {
    at: Moment,
    sequence: u64,
    delivery: Delivery,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A node of the simulated mesh.
pub struct Node {
    pub alive: bool,
    pub announced_at: Moment,
    pub contact: Contact,
    pub control: Control,
    pub counts: BTreeMap<&'static str, u64>,
    /// When each revision came into force on this node.
    pub installed: BTreeMap<Revision, Moment>,
    pub offer: Option<Offer>,
    pub received_bytes: u64,
    pub received_frames: u64,
    pub sent_bytes: u64,
    pub started_at: Moment,
    pub statuses: Vec<OperationStatus>,
    generation: u64,
    in_force: Arc<Snapshot>,
    paused_until: Moment,
}

impl Node {
    fn own_state(&self) -> Option<State> {
        let record = self.control.roster().get(&self.contact.host)?;
        Some(record.state)
    }
}

/// A simulation of the platform's table, with faults.
#[derive(Default)]
pub struct Platform {
    /// The nodes that can't reach the platform.
    pub cut_off: BTreeSet<usize>,
    pub is_down: bool,
    /// When each entry of the log was accepted.
    pub accepted: Vec<Moment>,
    pub log: Vec<Entry>,
    pub reads: u64,
    pub writes: u64,
    /// The number of reads in each second.
    pub reads_by_second: BTreeMap<u64, u64>,
    /// The number of writes in each second.
    pub writes_by_second: BTreeMap<u64, u64>,
}

impl Platform {
    fn read(&self, query: &Query) -> Page {
        let after = usize::try_from(query.after.0).unwrap();
        let receipt = |id: &String| {
            let of = |entry: &Entry| {
                let operation = entry
                    .operations
                    .iter()
                    .find(|operation| operation.id == *id)?;
                let (hash, revision) = (operation.hash(), entry.revision);
                Some((id.clone(), Receipt { hash, revision }))
            };
            self.log.iter().find_map(of)
        };
        Page {
            entries: self.log.iter().skip(after).take(PAGE).cloned().collect(),
            head: Revision(self.log.len() as u64),
            receipts: query.ids.iter().filter_map(receipt).collect(),
            ..Page::default()
        }
    }
}

/// A simulated mesh.
pub struct Mesh {
    /// The bytes sent between regions.
    pub cross_region_bytes: u64,
    /// The part of `cross_region_bytes` in deltas and snapshots.
    pub cross_region_configuration_bytes: u64,
    /// The bytes sent, by the kind of frame.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    pub loss: f64,
    pub nodes: Vec<Node>,
    pub now: Moment,
    pub platform: Platform,
    connections: BTreeSet<(usize, usize)>,
    partitions: Vec<(BTreeSet<usize>, BTreeSet<usize>)>,
    indices: BTreeMap<Host, usize>,
    sequence: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    rng: StdRng,
    spread: Spread,
}

fn frame_kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Beat(_) => "Beat",
        Frame::Cover(_) => "Cover",
        Frame::Delta(_) => "Delta",
        Frame::Members(_) => "Members",
        Frame::Snapshot(_) => "Snapshot",
        Frame::Sync(_) => "Sync",
        Frame::Welcome(_) => "Welcome",
        _ => "other",
    }
}

fn address(index: usize) -> SocketAddr {
    let [a, b, c, d] = u32::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10 + a, b, c, d], 7000))
}

impl Mesh {
    pub fn new(seed: u64) -> Self {
        Self {
            bytes_by_kind: BTreeMap::new(),
            connections: BTreeSet::new(),
            cross_region_bytes: 0,
            cross_region_configuration_bytes: 0,
            partitions: Vec::new(),
            indices: BTreeMap::new(),
            loss: 0.0,
            nodes: Vec::new(),
            now: Moment(1_000_000_000_000),
            sequence: 0,
            platform: Platform::default(),
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            spread: Spread::default(),
        }
    }

    pub fn spread(mut self, spread: Spread) -> Self {
        self.spread = spread;
        self
    }

    /// Adds a failure domain of hosts with one upstream each. Its first nodes are seeds of the others.
    pub fn domain(mut self, region: &str, domain: &str, hosts: usize, service: &str) -> Self {
        for number in 0..hosts {
            let index = self.nodes.len();
            let contact = Contact {
                address: address(index),
                domain: domain.parse().unwrap(),
                host: format!("{domain}-{number}").parse().unwrap(),
                region: region.parse().unwrap(),
            };
            let offer = Offer {
                address: address(index),
                connections_max: 120,
                service: service.parse().unwrap(),
                slots: 12,
                version: format!("{service}-1").parse().unwrap(),
            };
            self.indices.insert(contact.host.clone(), index);
            let control = self.new_control(&contact);
            self.nodes.push(Node {
                alive: false,
                announced_at: Moment(0),
                contact,
                control,
                counts: BTreeMap::new(),
                generation: 0,
                in_force: Arc::default(),
                installed: BTreeMap::new(),
                offer: Some(offer),
                paused_until: Moment(0),
                received_bytes: 0,
                received_frames: 0,
                sent_bytes: 0,
                started_at: Moment(0),
                statuses: Vec::new(),
            });
        }
        self
    }

    fn seeds_for(&self, contact: &Contact) -> Vec<SocketAddr> {
        let first = |same: bool| {
            self.nodes
                .iter()
                .filter(move |node| (node.contact.domain == contact.domain) == same)
                .map(|node| node.contact.address)
        };
        first(true).take(2).chain(first(false).take(1)).collect()
    }

    fn new_control(&mut self, contact: &Contact) -> Control {
        Control::new(Start {
            contact: contact.clone(),
            now: self.now,
            peers: self.seeds_for(contact),
            seed: self.rng.random(),
            spread: self.spread,
        })
    }

    /// Starts the node of a host, without any earlier state.
    pub fn start(&mut self, index: usize) {
        let contact = self.nodes[index].contact.clone();
        let control = self.new_control(&contact);
        let node = &mut self.nodes[index];
        node.alive = true;
        node.control = control;
        node.generation += 1;
        node.in_force = Arc::default();
        node.installed.clear();
        node.started_at = self.now;
        node.paused_until = Moment(0);
        let generation = node.generation;
        let offer = node.offer.clone();
        if let Some(offer) = offer {
            let announced = Event::Announced(offer);
            self.push(
                Duration::ZERO,
                Delivery::Event(index, generation, announced),
            );
        }
        let offset = Duration::from_micros(self.rng.random_range(0..100_000));
        self.push(offset, Delivery::Event(index, generation, Event::Tick));
    }

    pub fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    /// Kills a node; its peers detect the loss by the idle timeout only.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.nodes[index].generation += 1;
        self.drop_links(|a, b| a == index || b == index);
    }

    /// Stops a node in an orderly way: it drains, then its connections close.
    pub fn stop(&mut self, index: usize) {
        self.handle_event(index, Event::Draining);
        self.run(Duration::from_millis(300));
        self.nodes[index].alive = false;
        self.nodes[index].generation += 1;
        self.disconnect(|a, b| a == index || b == index, Duration::from_millis(1));
    }

    /// Pauses a node; its events and frames are delayed until the pause ends.
    pub fn pause(&mut self, index: usize, span: Duration) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Cuts all links between two sets of nodes.
    pub fn partition(&mut self, a: BTreeSet<usize>, b: BTreeSet<usize>) {
        let (left, right) = (a.clone(), b.clone());
        self.partitions.push((a, b));
        self.drop_links(move |x, y| {
            (left.contains(&x) && right.contains(&y)) || (left.contains(&y) && right.contains(&x))
        });
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
        self.platform.cut_off.clear();
    }

    fn drop_links(&mut self, affects: impl Fn(usize, usize) -> bool) {
        self.disconnect(affects, IDLE_TIMEOUT);
    }

    fn disconnect(&mut self, affects: impl Fn(usize, usize) -> bool, notice: Duration) {
        let closed: Vec<(usize, usize)> = self
            .connections
            .iter()
            .filter(|(a, b)| affects(*a, *b))
            .copied()
            .collect();
        for (a, b) in closed {
            self.connections.remove(&(a, b));
            for (to, other) in [(a, b), (b, a)] {
                let host = self.nodes[other].contact.host.clone();
                let generation = self.nodes[to].generation;
                self.push(
                    notice,
                    Delivery::Event(to, generation, Event::Disconnected(host)),
                );
            }
        }
    }

    pub fn all(&self) -> BTreeSet<usize> {
        (0..self.nodes.len()).collect()
    }

    /// Returns the nodes of a failure domain.
    pub fn nodes_of(&self, domain: &str) -> BTreeSet<usize> {
        self.all()
            .into_iter()
            .filter(|index| self.nodes[*index].contact.domain.as_str() == domain)
            .collect()
    }

    /// Isolates a failure domain from all others and from the platform.
    pub fn isolate(&mut self, domain: &str) {
        let inside = self.nodes_of(domain);
        self.platform.cut_off.extend(&inside);
        let outside = self.all().difference(&inside).copied().collect();
        self.partition(inside, outside);
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.iter().any(|(left, right)| {
            (left.contains(&a) && right.contains(&b)) || (left.contains(&b) && right.contains(&a))
        })
    }

    fn push(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse(Queued {
            at: self.now + after,
            sequence: self.sequence,
            delivery,
        }));
    }

    /// Runs the mesh for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|queued| queued.0.at <= end) {
            let Some(Reverse(queued)) = self.queue.pop() else {
                break;
            };
            self.now = queued.at;
            match queued.delivery {
                Delivery::Event(to, generation, event) => self.deliver_event(to, generation, event),
                Delivery::Frame(from, to, frame) => self.deliver_frame(from, to, frame),
            }
        }
        self.now = end;
    }

    /// Runs the mesh until a condition holds, and returns how long that took. Panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            let waited = self.now.since(start);
            assert!(
                waited < limit,
                "the condition did not hold within {waited:?}"
            );
            self.run(Duration::from_millis(100));
        }
        self.now.since(start)
    }

    fn deliver_event(&mut self, to: usize, generation: u64, event: Event) {
        let node = &self.nodes[to];
        if !node.alive || node.generation != generation {
            return;
        }
        let tick = matches!(event, Event::Tick);
        if self.now < node.paused_until {
            let wait = node.paused_until.since(self.now);
            return self.push(wait, Delivery::Event(to, generation, event));
        }
        self.handle_event(to, event);
        if tick {
            self.announce(to);
            self.push(TICK, Delivery::Event(to, generation, Event::Tick));
        }
    }

    fn announce(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now.since(node.announced_at) < ANNOUNCE_INTERVAL {
            return;
        }
        node.announced_at = self.now;
        if let Some(offer) = node.offer.clone()
            && node.own_state() == Some(State::Ready)
        {
            self.handle_event(index, Event::Announced(offer));
        }
    }

    fn deliver_frame(&mut self, from: usize, to: usize, frame: Frame) {
        let partitioned = self.is_partitioned(from, to);
        let node = &mut self.nodes[to];
        if !node.alive || partitioned {
            return;
        }
        if self.now < node.paused_until {
            let wait = node.paused_until.since(self.now);
            return self.push(wait, Delivery::Frame(from, to, frame));
        }
        node.received_frames += 1;
        let host = self.nodes[from].contact.host.clone();
        self.handle_event(to, Event::Received(host, frame));
    }

    /// Passes an event to a node and performs the resulting actions.
    pub fn handle_event(&mut self, to: usize, event: Event) {
        let actions = self.nodes[to].control.handle(self.now, event);
        for action in actions {
            self.perform(to, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Connect(address) => self.connect(index, address),
            Action::Count(name) => *self.nodes[index].counts.entry(name).or_default() += 1,
            Action::Install(snapshot) => self.install(index, snapshot),
            Action::Send(host, frame) => self.send(index, &host, frame),
            Action::Source(action) => self.source(index, action),
            Action::Cover(_) | Action::Role(_) | Action::Rollout(..) | Action::Membership(_) => {}
        }
    }

    fn install(&mut self, index: usize, snapshot: Arc<Snapshot>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let held = &node.in_force;
        assert!(
            snapshot.revision > held.revision,
            "{} reverted from revision {} to {}",
            node.contact.host,
            held.revision,
            snapshot.revision
        );
        snapshot.verify(snapshot.digest).unwrap();
        let accepted = usize::try_from(snapshot.revision.0)
            .unwrap()
            .wrapping_sub(1);
        if let Some(entry) = self.platform.log.get(accepted) {
            assert_eq!(entry.digest, snapshot.digest, "wrong digest");
        }
        node.installed.insert(snapshot.revision, now);
        node.in_force = snapshot;
    }

    fn connect(&mut self, index: usize, address: SocketAddr) {
        let found = self
            .nodes
            .iter()
            .position(|node| node.contact.address == address);
        let Some(other) = found else { return };
        if other == index || !self.nodes[other].alive || self.is_partitioned(index, other) {
            return;
        }
        let delay = self.delay(index, other) * 2;
        self.connections
            .insert((index.min(other), index.max(other)));
        for (to, from) in [(index, other), (other, index)] {
            let host = self.nodes[from].contact.host.clone();
            let generation = self.nodes[to].generation;
            self.push(
                delay,
                Delivery::Event(to, generation, Event::Connected(host)),
            );
        }
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let (a, b) = (&self.nodes[a].contact, &self.nodes[b].contact);
        let base = if a.region == b.region { 500 } else { 12_000 };
        let jitter = self.rng.random_range(0..500);
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        let delay = Duration::from_micros(base + jitter);
        if lost { delay + RETRANSMISSION } else { delay }
    }

    fn send(&mut self, from: usize, host: &Host, frame: Frame) {
        let to = self.indices[host];
        let pair = (from.min(to), from.max(to));
        if !self.connections.contains(&pair) {
            return;
        }
        let bytes = wire::encode(&frame).unwrap().len() as u64 + OVERHEAD_BYTES;
        *self.bytes_by_kind.entry(frame_kind(&frame)).or_default() += bytes;
        self.nodes[from].sent_bytes += bytes;
        self.nodes[to].received_bytes += bytes;
        if self.nodes[from].contact.region != self.nodes[to].contact.region {
            self.cross_region_bytes += bytes;
            if matches!(frame, Frame::Delta(_) | Frame::Snapshot(_)) {
                self.cross_region_configuration_bytes += bytes;
            }
        }
        let delay = self.delay(from, to);
        self.push(delay, Delivery::Frame(from, to, frame));
    }

    fn source(&mut self, index: usize, action: source::Action) {
        let event = match action {
            source::Action::Read(query) => {
                let second = self.now.0 / 1_000_000;
                self.platform.reads += 1;
                *self.platform.reads_by_second.entry(second).or_default() += 1;
                let reached = !self.platform.is_down && !self.platform.cut_off.contains(&index);
                Event::ReadFinished(reached.then(|| self.platform.read(&query)))
            }
            // The log is never trimmed here, and the control plane appends entries itself.
            source::Action::Append(_) | source::Action::Store(..) => return,
            source::Action::Transact(entry) => {
                let revision = entry.revision;
                Event::Transacted(revision, self.transact(index, entry))
            }
            source::Action::Reply(_, status) => {
                self.nodes[index].statuses.push(status);
                return;
            }
        };
        let generation = self.nodes[index].generation;
        self.push(PLATFORM_LATENCY, Delivery::Event(index, generation, event));
    }

    fn transact(&mut self, index: usize, entry: Entry) -> TransactionOutcome {
        if self.platform.is_down || self.platform.cut_off.contains(&index) {
            return TransactionOutcome::Unsent;
        }
        self.platform.writes += 1;
        let second = self.now.0 / 1_000_000;
        *self.platform.writes_by_second.entry(second).or_default() += 1;
        if entry.revision.0 != self.platform.log.len() as u64 + 1 {
            return TransactionOutcome::Conflict;
        }
        self.platform.log.push(entry);
        self.platform.accepted.push(self.now);
        TransactionOutcome::Committed
    }

    /// Submits changes at a node, waits until they are accepted, and returns their revision.
    pub fn apply(&mut self, index: usize, changes: Vec<Change>) -> Revision {
        let before = self.platform.log.len();
        let operation = Operation {
            changes: changes.into_iter().map(|change| (change, None)).collect(),
            id: format!("operation-{}", self.sequence),
        };
        self.handle_event(index, Event::Submitted(CallId(self.sequence), operation));
        self.run_until(Duration::from_secs(10), |mesh| {
            mesh.platform.log.len() > before
        });
        Revision(self.platform.log.len() as u64)
    }

    /// Returns whether every live node of a set runs a revision or a later one.
    pub fn all_run(&self, set: &BTreeSet<usize>, revision: Revision) -> bool {
        set.iter()
            .map(|index| &self.nodes[*index])
            .filter(|node| node.alive)
            .all(|node| node.in_force.revision >= revision)
    }

    /// Returns the revision in force at a node.
    pub fn revision(&self, index: usize) -> Revision {
        self.nodes[index].in_force.revision
    }

    /// Returns the state of the host `of` in the roster of the node `at`.
    pub fn state_of(&self, at: usize, of: usize) -> Option<State> {
        let host = &self.nodes[of].contact.host;
        let record = self.nodes[at].control.roster().get(host)?;
        Some(record.state)
    }

    /// Returns whether every live node serves and all their rosters agree on the live hosts.
    pub fn is_settled(&self) -> bool {
        let live: Vec<&Node> = self.nodes.iter().filter(|node| node.alive).collect();
        let digest = live[0].control.roster().digest();
        let known = live[0]
            .control
            .roster()
            .iter()
            .filter(|record| record.state == State::Ready)
            .count();
        known == live.len()
            && live
                .iter()
                .all(|node| node.control.is_serving() && node.control.roster().digest() == digest)
    }

    /// Returns the live relays of a failure domain.
    pub fn relays(&self, domain: &str) -> Vec<usize> {
        self.nodes_of(domain)
            .into_iter()
            .filter(|index| self.nodes[*index].alive)
            .filter(|index| self.nodes[*index].control.role().is_relay)
            .collect()
    }

    /// Returns the root relay of a failure domain, which has no parent. Panics unless there is one.
    pub fn root(&self, domain: &str) -> usize {
        let roots: Vec<usize> = self
            .relays(domain)
            .into_iter()
            .filter(|index| self.nodes[*index].control.role().parent.is_none())
            .collect();
        assert_eq!(roots.len(), 1, "{domain} has root relays {roots:?}");
        roots[0]
    }
}

/// Returns the changes that declare a version and route all requests of the service to it.
pub fn route(service: &str, version: &str) -> Vec<Change> {
    let key = |kind, name: &str| Key {
        kind,
        name: name.parse().unwrap(),
    };
    let service_name: mulberryshelf::types::Service = service.parse().unwrap();
    vec![
        Change::Put(
            key(Kind::Version, version),
            Spec::Version(VersionSpec {
                service: service_name.clone(),
            }),
        ),
        Change::Put(
            key(Kind::Route, service),
            Spec::Route(Route {
                path: "/".into(),
                service: service_name,
                shares: [(version.parse().unwrap(), Permille::WHOLE)].into(),
            }),
        ),
    ]
}

//! Decides all that a node does for the configuration and the membership. It has no clock, socket or
//! thread: the daemon, the tests and the benches drive it by `handle`.

use {
    crate::{
        member::{Contact, Offer, Record, Roster, State},
        rollout,
        snapshot::{Delta, Snapshot},
        source::{self, Entry, Operation, Outcome, Page, Source, Ticket, Verdict},
        spread::{Coverage, Role},
        wire::Frame,
        world::{Domain, Host, Moment, Revision},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// How often a connected peer is told what this node knows.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

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
    Update(Vec<Record>),
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
}

/// The state of a node's control plane.
pub struct Control {
    announced_at: Moment,
    contact: Contact,
    coverage: BTreeMap<Domain, Coverage>,
    entries: Vec<Entry>,
    me: Record,
    peers: BTreeMap<Host, Revision>,
    role: Role,
    roster: Roster,
    seeds: Vec<SocketAddr>,
    snapshot: Arc<Snapshot>,
    source: Source,
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
        roster.merge(me.clone());
        let seed = xxhash_rust::xxh3::xxh3_64(start.contact.host.as_str().as_bytes());
        Self {
            announced_at: Moment::default(),
            contact: start.contact,
            coverage: BTreeMap::new(),
            entries: Vec::new(),
            me,
            peers: BTreeMap::new(),
            role: Role::default(),
            roster,
            seeds: start.peers,
            snapshot: Arc::default(),
            source: Source::new(seed),
        }
    }

    /// The configuration in force here.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Every host that is known.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut actions = self.decide(now, event);
        actions.extend(self.place());
        actions.extend(self.cover());
        actions
    }

    fn decide(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Announced(offer) => self.announced(offer),
            Event::Connected(host) => self.connected(host),
            Event::Disconnected(host) => {
                self.peers.remove(&host);
                Vec::new()
            }
            Event::Draining => self.draining(),
            Event::Read(page) => self.read(now, page.as_ref()),
            Event::Received(host, frame) => self.received(&host, frame),
            Event::Looked(ticket, id) => {
                let actions = self.source.look(now, &self.snapshot, ticket, id);
                self.accept(now, actions)
            }
            Event::Submitted(ticket, mut operation) => {
                rollout::rules::stamp(now, &self.snapshot, &mut operation);
                let actions = self.source.submit(now, &self.snapshot, ticket, operation);
                self.accept(now, actions)
            }
            Event::Tick => self.tick(now),
            Event::Transacted(revision, outcome) => self.transacted(now, revision, outcome),
        }
    }

    fn place(&mut self) -> Option<Action> {
        let (children, siblings) = self
            .peers
            .keys()
            .cloned()
            .partition(|host| self.domain(host).as_ref() == Some(&self.contact.domain));
        let role = Role {
            children,
            parent: None,
            relay: true,
            siblings,
        };
        (role != self.role).then(|| {
            self.role = role.clone();
            Action::Role(role)
        })
    }

    fn cover(&mut self) -> Option<Action> {
        let mut coverage = self.coverage.clone();
        for held in coverage.values_mut() {
            held.reached = false;
        }
        let own = Some((self.contact.domain.clone(), self.snapshot.revision));
        let others = self
            .peers
            .iter()
            .filter_map(|(host, revision)| Some((self.domain(host)?, *revision)));
        for (domain, revision) in others.chain(own) {
            let held = coverage.entry(domain).or_insert(Coverage {
                reached: false,
                revision,
            });
            if !held.reached || revision < held.revision {
                held.revision = revision;
            }
            held.reached = true;
        }
        (coverage != self.coverage).then(|| {
            self.coverage = coverage.clone();
            Action::Cover(coverage)
        })
    }

    fn domain(&self, host: &Host) -> Option<Domain> {
        let record = self.roster.get(host)?;
        Some(record.contact.domain.clone())
    }

    fn announced(&mut self, offer: Offer) -> Vec<Action> {
        if self.me.offer.as_ref() == Some(&offer) && self.me.state == State::Ready {
            return Vec::new();
        }
        self.me.offer = Some(offer);
        self.me.state = State::Ready;
        self.changed()
    }

    fn draining(&mut self) -> Vec<Action> {
        if self.me.state == State::Leaving {
            return Vec::new();
        }
        self.me.state = State::Leaving;
        self.changed()
    }

    fn changed(&mut self) -> Vec<Action> {
        self.me.sequence += 1;
        self.merge(None, vec![self.me.clone()])
    }

    fn connected(&mut self, host: Host) -> Vec<Action> {
        self.peers.insert(host.clone(), Revision::default());
        vec![
            Action::Send(host.clone(), self.hello()),
            Action::Send(host, Frame::Members(self.roster.iter().cloned().collect())),
        ]
    }

    fn hello(&self) -> Frame {
        Frame::Hello(self.contact.clone(), self.snapshot.revision)
    }

    fn merge(&mut self, from: Option<&Host>, records: Vec<Record>) -> Vec<Action> {
        let news: Vec<Record> = records
            .into_iter()
            .filter(|record| self.roster.merge(record.clone()))
            .collect();
        if news.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::Update(news.clone())];
        actions.extend(
            self.peers
                .keys()
                .filter(|host| Some(*host) != from)
                .map(|host| Action::Send(host.clone(), Frame::Members(news.clone()))),
        );
        actions
    }

    fn read(&mut self, now: Moment, page: Option<&Page>) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(page) = page {
            if let Some(snapshot) = &page.snapshot {
                actions.extend(self.whole((**snapshot).clone()));
            }
            for entry in &page.entries {
                actions.extend(self.append(entry.clone()));
            }
        }
        let wanted = self.source.caught_up(now, &self.snapshot, page);
        actions.extend(self.accept(now, wanted));
        actions
    }

    /// Takes committed entries into the state, and passes on what else the source wants.
    fn accept(&mut self, now: Moment, wanted: Vec<source::Action>) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in wanted {
            let source::Action::Append(entry) = action else {
                actions.push(Action::Source(action));
                continue;
            };
            actions.extend(self.append(entry));
            let more = self.source.pump(now, &self.snapshot);
            actions.extend(source_actions(more));
        }
        actions
    }

    fn append(&mut self, entry: Entry) -> Vec<Action> {
        let delta = Delta {
            changes: entry.changes().collect(),
            digest: entry.digest,
            from: Revision(entry.revision.0 - 1),
            to: entry.revision,
        };
        match self.snapshot.apply(&delta) {
            Ok(next) => {
                self.entries.push(entry);
                self.install(next, &delta)
            }
            Err(_) => Vec::new(),
        }
    }

    fn install(&mut self, next: Snapshot, delta: &Delta) -> Vec<Action> {
        self.snapshot = Arc::new(next);
        let mut actions = vec![Action::Install(self.snapshot.clone())];
        actions.extend(
            self.peers
                .iter()
                .filter(|(_, revision)| **revision < delta.to)
                .map(|(host, _)| Action::Send(host.clone(), Frame::Delta(delta.clone()))),
        );
        actions
    }

    fn received(&mut self, host: &Host, frame: Frame) -> Vec<Action> {
        match frame {
            Frame::Hello(_, revision) => self.told(host, revision),
            Frame::Fetch(_) => vec![Action::Send(
                host.clone(),
                Frame::Snapshot((*self.snapshot).clone()),
            )],
            Frame::Delta(delta) => self.delta(host, &delta),
            Frame::Snapshot(snapshot) => self.whole(snapshot),
            Frame::Members(records) => self.merge(Some(host), records),
            // The proxy takes these.
            Frame::Strikes(_) => Vec::new(),
            Frame::Rollout(message) => vec![Action::Rollout(host.clone(), message)],
        }
    }

    fn told(&mut self, host: &Host, revision: Revision) -> Vec<Action> {
        self.peers.insert(host.clone(), revision);
        if revision > self.snapshot.revision {
            return vec![Action::Send(
                host.clone(),
                Frame::Fetch(self.snapshot.revision),
            )];
        }
        Vec::new()
    }

    fn delta(&mut self, host: &Host, delta: &Delta) -> Vec<Action> {
        match self.snapshot.apply(delta) {
            Ok(next) => self.install(next, delta),
            Err(crate::snapshot::Refusal::Backwards { .. }) => Vec::new(),
            Err(_) => vec![Action::Send(
                host.clone(),
                Frame::Fetch(self.snapshot.revision),
            )],
        }
    }

    fn whole(&mut self, snapshot: Snapshot) -> Vec<Action> {
        if snapshot.revision <= self.snapshot.revision || snapshot.verify(snapshot.digest).is_err()
        {
            return Vec::new();
        }
        self.snapshot = Arc::new(snapshot);
        vec![Action::Install(self.snapshot.clone())]
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let wanted = self.source.tick(now, &self.snapshot);
        let mut actions = self.accept(now, wanted);
        if now.since(self.announced_at) < ANNOUNCE_INTERVAL {
            return actions;
        }
        self.announced_at = now;
        let hello = self.hello();
        actions.extend(
            self.peers
                .keys()
                .map(|host| Action::Send(host.clone(), hello.clone())),
        );
        actions.extend(self.missing().into_iter().map(Action::Connect));
        actions
    }

    fn missing(&self) -> Vec<SocketAddr> {
        let connected = |address: &SocketAddr| {
            self.roster.iter().any(|record| {
                record.contact.address == *address && self.peers.contains_key(&record.contact.host)
            })
        };
        self.seeds
            .iter()
            .filter(|address| **address != self.contact.address && !connected(address))
            .copied()
            .collect()
    }

    fn transacted(&mut self, now: Moment, revision: Revision, outcome: Outcome) -> Vec<Action> {
        let wanted = self
            .source
            .transacted(now, &self.snapshot, revision, outcome);
        self.accept(now, wanted)
    }
}

fn source_actions(actions: Vec<source::Action>) -> Vec<Action> {
    actions.into_iter().map(Action::Source).collect()
}

/// Tells whether a verdict ends an operation for good.
#[must_use]
pub fn is_final(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(_) | Verdict::Refused(_))
}

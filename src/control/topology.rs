//! Maintains this node's place in the tree of its failure domain: chooses a parent, accepts children,
//! drops silent neighbours, and reconnects parts of the mesh after a partition.

use {
    super::{Action, Control, Duty, PendingJoin, Suspect},
    crate::{
        member::{Contact, State},
        spread::{Join, Neighbour, Relation, Role, Tree, to_millis},
        types::{Host, Moment, Revision},
        wire::Frame,
    },
    rand::{
        Rng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a neighbour is kept without hearing from it.
pub const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time that a starting node waits for its peers before it serves what it has.
pub const START_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a node waits for the answer to a join.
pub(super) const JOIN_TIMEOUT: Duration = Duration::from_millis(800);

/// The interval at which the root relay probes hosts it does not exchange with, to end partitions.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The number of missing hosts of its own failure domain that the root relay probes at a time.
const PROBES_MAX: usize = 4;

/// How long a host that did not answer is left out of the tree of its failure domain. This is longer
/// than the detection of its loss takes, and doubles with each further failure up to the maximum.
const SUSPECT_TIME_MIN: Duration = Duration::from_secs(12);
const SUSPECT_TIME_MAX: Duration = Duration::from_secs(300);

/// How long a failure domain whose relay fell silent is not chosen as a gateway.
const UNREACHABLE_TIME: Duration = Duration::from_secs(5);

/// The oldest information that a parent may pass on; older information comes from a cycle or an orphan.
const RELAY_AGE_MAX: Duration = Duration::from_secs(5);

/// The shortest interval between two hello frames to the same node.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// The most children of a node, in tenths of the fan-out: rendezvous hashing spreads them unevenly.
const CHILDREN_TENTHS: usize = 15;

/// The number of serving peers that a starting node hears from before it serves, if it has that many.
const SERVING_PEERS_MIN: usize = 2;

impl Control {
    /// Drops silent neighbours, rebuilds the tree if necessary, and looks for a parent and siblings.
    pub(super) fn maintain(&mut self, now: Moment) -> Vec<Action> {
        self.drop_silent_neighbours(now);
        self.rebuild_tree(now);
        let mut actions = self.try_start_serving(now);
        actions.extend(self.find_parent(now));
        actions.extend(self.find_siblings(now));
        actions.extend(self.find_peers(now));
        actions
    }

    fn drop_silent_neighbours(&mut self, now: Moment) {
        let silent: Vec<Host> = self
            .neighbours
            .iter()
            .filter(|(_, neighbour)| now.since(neighbour.heard_at) >= NEIGHBOUR_TIMEOUT)
            .map(|(host, _)| host.clone())
            .collect();
        for host in silent {
            self.lose_neighbour(now, &host);
        }
    }

    /// Removes a neighbour that can't be reached, and suspects the host or its failure domain.
    fn lose_neighbour(&mut self, now: Moment, host: &Host) {
        let Some(neighbour) = self.remove_neighbour(host) else {
            return;
        };
        match neighbour.relation {
            Relation::Child => {}
            Relation::Parent => self.suspect(now, host),
            Relation::RemoteRelay | Relation::RegionRelay => {
                let domain = neighbour.contact.domain;
                self.unreachable.insert(domain, now + UNREACHABLE_TIME);
            }
        }
    }

    pub(super) fn remove_neighbour(&mut self, host: &Host) -> Option<Neighbour> {
        self.role_outdated = true;
        self.neighbours.remove(host)
    }

    pub(super) fn suspect(&mut self, now: Moment, host: &Host) {
        let span = self.suspects.get(host).map_or(SUSPECT_TIME_MIN, |held| {
            (held.span * 2).min(SUSPECT_TIME_MAX)
        });
        let until = now + span;
        self.suspects.insert(host.clone(), Suspect { span, until });
        self.tree_version = None;
    }

    /// Rebuilds the tree if the hosts of the failure domain or the suspects have changed.
    fn rebuild_tree(&mut self, now: Moment) {
        self.busy.retain(|_, until| now < *until);
        self.unreachable.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now < suspect.until + suspect.span);
        let excluded: BTreeSet<&Host> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now < suspect.until)
            .map(|(host, _)| host)
            .collect();
        let version = self.roster.domain_version(&self.contact.domain);
        if self.tree_version == Some((version, excluded.len())) {
            return;
        }
        self.tree_version = Some((version, excluded.len()));
        self.role_outdated = true;
        let domain = &self.contact.domain;
        let live = self
            .roster
            .ready_contacts(domain)
            .filter(|contact| !excluded.contains(&contact.host));
        self.tree = Tree::new(domain, self.spread.fanout, self.reported_hosts, live);
        let position = self.tree.position(&self.contact.host);
        let duty = Duty::of(position);
        if duty == Duty::Root && !self.is_root() {
            self.failure_detector.reset();
            self.sent_children.clear();
        }
        self.duty = duty;
    }

    /// Starts to serve once enough peers have reported their revision and the highest one is held here.
    fn try_start_serving(&mut self, now: Moment) -> Vec<Action> {
        if self.serving {
            return Vec::new();
        }
        let (source, highest) = match &self.highest_seen {
            Some((host, revision)) => (Some(host.clone()), *revision),
            None => (None, Revision::default()),
        };
        let parent = self.parent().cloned();
        let informed = self.is_bootstrapped();
        let attached = parent.is_some() || (self.is_root() && self.welcome_count > 0);
        let current = self.snapshot.revision >= highest;
        if (informed && attached && current) || now.since(self.started_at) >= START_TIMEOUT {
            self.serving = true;
            return self.install_if_serving();
        }
        let behind = parent.is_some_and(|parent| parent.revision < highest);
        match source {
            Some(host) if !current && (behind || (self.is_root() && attached)) => self
                .fetch(now, &host, self.snapshot.revision)
                .into_iter()
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Returns whether this node serves or has received a welcome from another node.
    fn is_welcomed(&self) -> bool {
        self.serving || self.welcome_count > 0
    }

    /// Returns whether this node serves or has heard from enough serving nodes.
    fn is_bootstrapped(&self) -> bool {
        let informants = self.serving_welcomes + usize::from(self.parent().is_some());
        self.serving || informants >= SERVING_PEERS_MIN.min(self.seeds.len())
    }

    pub(super) fn parent(&self) -> Option<&Neighbour> {
        self.neighbours
            .values()
            .find(|neighbour| neighbour.relation == Relation::Parent)
    }

    fn find_parent(&mut self, now: Moment) -> Vec<Action> {
        let mut actions: Vec<Action> = self.leave_parent(now).into_iter().collect();
        if self.is_root() || self.parent().is_some() {
            self.pending_parent = None;
            return actions;
        }
        if let Some(pending) = &self.pending_parent {
            if now < pending.until {
                return actions;
            }
            let host = pending.contact.host.clone();
            self.pending_parent = None;
            self.suspect(now, &host);
            self.rebuild_tree(now);
        }
        let next = self
            .tree
            .parent_candidates(&self.contact.host)
            .into_iter()
            .find(|contact| !self.busy.contains_key(&contact.host))
            .cloned();
        if let Some(contact) = next {
            actions.extend(self.try_join(now, &contact, Relation::Child));
            self.pending_parent = Some(PendingJoin {
                attempts: 0,
                contact,
                until: now + JOIN_TIMEOUT,
            });
        }
        actions
    }

    /// Leaves a parent that is no longer a candidate, or whose information no longer comes from a relay.
    fn leave_parent(&mut self, now: Moment) -> Option<Action> {
        let parent = self.parent()?;
        let host = parent.contact.host.clone();
        let is_fresh = now.since(parent.relayed_at) < RELAY_AGE_MAX;
        let candidates = self.tree.parent_candidates(&self.contact.host);
        let is_candidate = candidates.iter().any(|contact| contact.host == host);
        if is_fresh && is_candidate && !self.is_root() {
            return None;
        }
        if !is_fresh {
            self.suspect(now, &host);
        }
        self.remove_neighbour(&host);
        Some(Action::Send(host, Frame::Quit))
    }

    /// Requests a node to exchange, and connects to it first if necessary.
    pub(super) fn try_join(&mut self, now: Moment, to: &Contact, kind: Relation) -> Option<Action> {
        if self.connected.contains(&to.host) {
            return Some(Action::Send(to.host.clone(), self.join_frame(kind)));
        }
        self.dial(now, to.address)
    }

    fn join_frame(&self, relation: Relation) -> Frame {
        Frame::Join(Join {
            contact: self.contact.clone(),
            revision: self.snapshot.revision,
            relation,
        })
    }

    fn dial(&mut self, now: Moment, address: SocketAddr) -> Option<Action> {
        let backoff = self.dial_backoffs.entry(address).or_default();
        backoff
            .try_attempt(now, &mut self.rng)
            .then_some(Action::Connect(address))
    }

    pub(super) fn handle_connected(&mut self, now: Moment, host: Host) -> Vec<Action> {
        self.connected.insert(host.clone());
        if self.suspects.remove(&host).is_some() {
            self.tree_version = None;
        }
        if let Some(record) = self.roster.get(&host) {
            self.dial_backoffs.remove(&record.contact.address);
        }
        let pending = self.pending_parent.as_ref();
        if pending.is_some_and(|pending| pending.contact.host == host) {
            return vec![Action::Send(host, self.join_frame(Relation::Child))];
        }
        if let Some(relation) = self.pending_sibling_relation(&host) {
            return vec![Action::Send(host, self.join_frame(relation))];
        }
        let needs_peers = !self.is_bootstrapped() || now.since(self.probed_at) < JOIN_TIMEOUT;
        let last_hello_at = self.hellos.get(&host).copied().unwrap_or_default();
        if !needs_peers || now.since(last_hello_at) < HELLO_INTERVAL {
            return Vec::new();
        }
        self.hellos.retain(|_, at| now.since(*at) < HELLO_INTERVAL);
        self.hellos.insert(host.clone(), now);
        vec![
            Action::Send(
                host.clone(),
                Frame::Hello(self.contact.clone(), self.snapshot.revision),
            ),
            Action::Send(
                host,
                Frame::Members(vec![Arc::new(self.own_record.clone())]),
            ),
        ]
    }

    pub(super) fn handle_disconnected(&mut self, now: Moment, host: &Host) -> Vec<Action> {
        self.connected.remove(host);
        self.lose_neighbour(now, host);
        Vec::new()
    }

    pub(super) fn handle_join(&mut self, now: Moment, host: &Host, join: Join) -> Vec<Action> {
        if let Some(wait) = self.join_refusal(host, join.relation) {
            return vec![
                Action::Count("spread.join.busy"),
                Action::Send(host.clone(), Frame::Busy(to_millis(wait))),
                self.welcome_action(host, &join.contact.domain),
            ];
        }
        let revision = join.revision;
        self.add_neighbour(now, join.contact, join.relation, revision, true);
        let mut actions = vec![Action::Send(host.clone(), Frame::Beat(self.own_beat(now)))];
        actions.extend(self.catch_up(now, host, revision));
        actions
    }

    fn join_refusal(&mut self, host: &Host, relation: Relation) -> Option<Duration> {
        let old = self.relation(host);
        let children = self
            .neighbours
            .values()
            .filter(|neighbour| neighbour.relation == Relation::Child)
            .count();
        let is_full =
            old.is_none() && children >= self.spread.fanout.saturating_mul(CHILDREN_TENTHS) / 10;
        let is_refused = match relation {
            Relation::Child => !self.is_welcomed() || old == Some(Relation::Parent) || is_full,
            Relation::RemoteRelay | Relation::RegionRelay => !self.is_root(),
            Relation::Parent => true,
        };
        is_refused.then(|| Duration::from_millis(self.rng.random_range(300..900)))
    }

    pub(super) fn add_neighbour(
        &mut self,
        now: Moment,
        contact: Contact,
        relation: Relation,
        revision: Revision,
        is_inbound: bool,
    ) {
        self.role_outdated = true;
        self.connected.insert(contact.host.clone());
        self.neighbours.insert(
            contact.host.clone(),
            Neighbour {
                contact,
                differing_beats: 0,
                floor: Revision::default(),
                heard_at: now,
                is_inbound,
                revision,
                relayed_at: now,
                serving: false,
                relation,
            },
        );
    }

    pub(super) fn handle_busy(&mut self, now: Moment, host: &Host, wait: Duration) -> Vec<Action> {
        if self.fetching.as_ref().is_some_and(|(from, _)| from == host) {
            self.fetching = Some((host.clone(), now + wait));
        }
        let pending = self.pending_parent.as_ref();
        if pending.is_some_and(|pending| pending.contact.host == *host) {
            self.pending_parent = None;
            self.busy.insert(host.clone(), now + wait);
        }
        Vec::new()
    }

    pub(super) fn handle_quit(&mut self, now: Moment, host: &Host) -> Vec<Action> {
        if self.remove_neighbour(host).is_none() {
            return Vec::new();
        }
        self.maintain(now)
    }

    /// Connects to the seeds while starting. Later the root relay periodically probes hosts it does not
    /// hear from, so that the parts of the mesh rejoin after a partition.
    fn find_peers(&mut self, now: Moment) -> Vec<Action> {
        if !self.serving && !self.is_bootstrapped() {
            let seeds = self.seeds.clone();
            return seeds
                .into_iter()
                .filter_map(|address| self.dial(now, address))
                .collect();
        }
        if !self.serving || !self.is_root() || now.since(self.probed_at) < PROBE_INTERVAL {
            return Vec::new();
        }
        self.probed_at = now;
        self.probes().into_iter().map(Action::Connect).collect()
    }

    /// Chooses the hosts to probe: hosts missing from this failure domain, and one further host that is
    /// gone, in an unreachable failure domain or named in the settings.
    fn probes(&mut self) -> Vec<SocketAddr> {
        let missed = self
            .failure_detector
            .missing()
            .filter_map(|host| self.roster.get(host))
            .map(|record| record.contact.address);
        let mut near: Vec<SocketAddr> = missed.collect();
        near.shuffle(&mut self.rng);
        near.truncate(PROBES_MAX);
        let is_neighbour = |address: &SocketAddr| {
            self.neighbours
                .values()
                .any(|neighbour| neighbour.contact.address == *address)
        };
        let lost = self.roster.iter().filter(|record| {
            record.state == State::Gone || self.unreachable.contains_key(&record.contact.domain)
        });
        let far: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|address| !is_neighbour(address))
            .chain(lost.map(|record| record.contact.address))
            .collect();
        near.extend(far.choose(&mut self.rng));
        near
    }

    pub(super) fn update_role(&mut self) -> Option<Action> {
        if !std::mem::take(&mut self.role_outdated) {
            return None;
        }
        let hosts_with = |filter: &dyn Fn(Relation) -> bool| -> Vec<Host> {
            self.neighbours
                .iter()
                .filter(|(_, neighbour)| filter(neighbour.relation))
                .map(|(host, _)| host.clone())
                .collect()
        };
        let role = Role {
            children: hosts_with(&|it| it == Relation::Child),
            parent: hosts_with(&|it| it == Relation::Parent).pop(),
            is_relay: self.is_relay(),
            siblings: hosts_with(&|it| matches!(it, Relation::RemoteRelay | Relation::RegionRelay)),
        };
        if role == self.role {
            return None;
        }
        self.role = role.clone();
        Some(Action::Role(role))
    }
}

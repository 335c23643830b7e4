//! The state machine of all rollouts at one node. It has no clock, socket or thread: the daemon, the
//! tests and the bench drive it by `handle`.

use {
    crate::{
        member::{Record, State},
        resource::{Resource, Rollout, Spec},
        rollout::attempt::{Attempt, Endpoints},
        rollout::evidence::Count,
        rollout::message::{Batch, Message, Stage},
        rollout::outcome::{End, Finding},
        rollout::status::Status,
        rollout::{Id, SOAK, Tag},
        snapshot::Snapshot,
        source::Operation,
        traffic::Ramp,
        world::{Domain, Host, Moment, Name, Permille, Region, Version},
    },
    std::collections::{BTreeMap, BTreeSet},
    std::sync::Arc,
    std::time::Duration,
};

mod govern;
mod receive;

/// How often counts are sent up.
const FLUSH: Duration = Duration::from_secs(1);

/// How often the root of a tree judges and paces.
const GOVERN: Duration = Duration::from_millis(500);

/// The least time between two messages of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// How often evidence is lent.
const LEND: Duration = Duration::from_secs(1);

/// How often what has not changed is said again.
const REPEAT: Duration = Duration::from_secs(5);

/// A gap between ticks after which a node takes itself for one that was paused.
const PAUSED: Duration = Duration::from_secs(2);

/// How long a node that was paused or has just started listens before it paces or records.
const LISTEN: Duration = Duration::from_secs(6);

/// How long a node waits for another one, or for the platform, to record an end.
const RECORD: Duration = Duration::from_secs(3);

/// How long a veto is remembered whose rollout is unknown.
const VETO_KEPT: Duration = Duration::from_secs(24 * 3600);

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Requests have ended.
    Counted(Vec<Count>),
    /// A configuration is in force.
    Installed(Arc<Snapshot>),
    /// Hosts have changed.
    Members(Vec<Record>),
    /// A node sent a message.
    Received(Host, Message),
    /// The node's place among the others has changed.
    Role(Role),
    /// Time has passed.
    Tick,
}

/// What a node does about it.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give new versions these shares; this is all of them, by the names of the rollouts.
    Ramps(BTreeMap<Name, Ramp>),
    /// Send a message to a node.
    Send(Host, Message),
    /// Have the end of a rollout accepted.
    Submit(Operation),
}

/// The place of a node: without a parent it is the root of a tree, which judges and paces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Role {
    /// The nodes below.
    pub children: BTreeSet<Host>,
    /// The node above.
    pub parent: Option<Host>,
    /// The roots of other trees.
    pub siblings: BTreeSet<Host>,
}

impl Role {
    fn neighbours(&self) -> impl Iterator<Item = &Host> {
        self.children
            .iter()
            .chain(&self.parent)
            .chain(&self.siblings)
    }
}

/// What a node is started with.
#[derive(Debug, Clone)]
pub struct Start {
    /// The failure domain.
    pub domain: Domain,
    /// The host.
    pub host: Host,
    /// When it was started.
    pub now: Moment,
    /// The region.
    pub region: Region,
}

#[derive(Debug)]
struct Endpoint {
    domain: Domain,
    ready: Option<(Version, u32)>,
    region: Region,
}

/// The rollouts of a node.
#[derive(Debug)]
pub struct Controller {
    attempts: BTreeMap<Name, Attempt>,
    domain: Domain,
    domains: BTreeMap<Tag, Tag>,
    endpoints: BTreeMap<Host, Endpoint>,
    flushed_at: Moment,
    host: Host,
    lent_at: Moment,
    listens_until: Moment,
    ramps: BTreeMap<Name, Ramp>,
    ready_since: BTreeMap<Id, Moment>,
    region: Region,
    repeated_at: Moment,
    role: Role,
    said_at: Moment,
    snapshot: Arc<Snapshot>,
    stale: bool,
    submitted_at: BTreeMap<Id, Moment>,
    synced_at: Moment,
    ticked_at: Moment,
    vetoes: BTreeMap<Id, Finding>,
}

impl Controller {
    /// Begins without a configuration, as the root of a tree of its own.
    #[must_use]
    pub fn new(start: Start) -> Self {
        Self {
            attempts: BTreeMap::new(),
            domain: start.domain,
            domains: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            flushed_at: start.now,
            host: start.host,
            lent_at: start.now,
            listens_until: start.now + LISTEN,
            ramps: BTreeMap::new(),
            ready_since: BTreeMap::new(),
            region: start.region,
            repeated_at: start.now,
            role: Role::default(),
            said_at: start.now,
            snapshot: Arc::default(),
            stale: false,
            submitted_at: BTreeMap::new(),
            synced_at: start.now,
            ticked_at: start.now,
            vetoes: BTreeMap::new(),
        }
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let steers = match &event {
            Event::Counted(_) | Event::Members(_) | Event::Role(_) => false,
            Event::Received(_, message) => {
                matches!(message, Message::Stages(_) | Message::Veto(..))
            }
            Event::Installed(_) | Event::Tick => true,
        };
        let mut actions = match event {
            Event::Counted(counts) => self.counted(now, &counts),
            Event::Installed(snapshot) => {
                self.snapshot = snapshot;
                self.stale = true;
                Vec::new()
            }
            Event::Members(records) => self.members(records),
            Event::Received(host, message) => self.received(now, &host, message),
            Event::Role(role) => self.placed(now, role),
            Event::Tick => self.tick(now),
        };
        if self.stale || now.since(self.synced_at) >= GOVERN {
            self.sync(now);
        }
        if steers {
            actions.extend(self.steer(now));
        }
        actions
    }

    /// Reports every rollout whose end is not recorded or may still change.
    #[must_use]
    pub fn statuses(&self, now: Moment) -> Vec<Status> {
        self.attempts
            .values()
            .map(|attempt| Status {
                domains: attempt.reports(now, &self.domain, &self.known()),
                finding: self.vetoes.get(&attempt.id).cloned(),
                name: attempt.id.name.clone(),
                share: self.share(now, attempt),
            })
            .collect()
    }

    fn known(&self) -> BTreeSet<Domain> {
        let domains = self.endpoints.values();
        domains.map(|endpoint| endpoint.domain.clone()).collect()
    }

    fn rollouts(snapshot: &Snapshot) -> impl Iterator<Item = (Id, &Resource, &Rollout)> {
        snapshot.resources.values().filter_map(|resource| {
            let Spec::Rollout(rollout) = &resource.spec else {
                return None;
            };
            let id = Id {
                name: resource.key.name.clone(),
                started: rollout.started,
            };
            Some((id, resource, rollout))
        })
    }

    /// Tells whether a rollout still moves, soaks, or is to be taken back.
    fn live(now: Moment, rollout: &Rollout, veto: Option<&Finding>) -> bool {
        match &rollout.outcome {
            None => true,
            Some(outcome) => {
                let until = outcome.at + SOAK;
                outcome.end == End::Completed
                    && (now < until || veto.is_some_and(|finding| finding.at < until))
            }
        }
    }

    fn sync(&mut self, now: Moment) {
        self.stale = false;
        self.synced_at = now;
        let snapshot = self.snapshot.clone();
        let mut held = std::mem::take(&mut self.attempts);
        for (id, _, rollout) in Self::rollouts(&snapshot) {
            if !Self::live(now, rollout, self.vetoes.get(&id)) {
                continue;
            }
            let attempt = match held.remove(&id.name) {
                Some(mut attempt) if attempt.id == id => {
                    attempt.spec = rollout.clone();
                    attempt
                }
                _ => Attempt::new(now, id.clone(), rollout.clone()),
            };
            self.attempts.insert(id.name, attempt);
        }
        let attempts = &self.attempts;
        let held = |id: &Id| attempts.get(&id.name).is_some_and(|held| held.id == *id);
        self.ready_since.retain(|id, _| held(id));
        self.submitted_at.retain(|id, _| held(id));
        self.vetoes
            .retain(|id, finding| held(id) || now.since(finding.at) < VETO_KEPT);
    }

    fn steer(&mut self, now: Moment) -> Option<Action> {
        let ramps: BTreeMap<Name, Ramp> = self
            .attempts
            .iter()
            .map(|(name, attempt)| {
                let ramp = Ramp {
                    from: attempt.spec.from.clone(),
                    route: attempt.spec.route.clone(),
                    share: self.share(now, attempt),
                    to: attempt.spec.to.clone(),
                };
                (name.clone(), ramp)
            })
            .collect();
        (ramps != self.ramps).then(|| {
            self.ramps = ramps.clone();
            Action::Ramps(ramps)
        })
    }

    /// Gives the share of the new version at this node.
    fn share(&self, now: Moment, attempt: &Attempt) -> Permille {
        let stopped = self.vetoes.contains_key(&attempt.id) || attempt.brake.holds(now);
        if stopped || self.hosts_of(&attempt.spec.to) == 0 {
            return Permille(0);
        }
        attempt.share()
    }

    fn hosts_of(&self, version: &Version) -> usize {
        self.offers(version).count()
    }

    fn offers(&self, version: &Version) -> impl Iterator<Item = (&Domain, u32)> {
        self.endpoints.values().filter_map(move |endpoint| {
            let (of, slots) = endpoint.ready.as_ref()?;
            (of == version).then_some((&endpoint.domain, *slots))
        })
    }

    fn endpoints(&self, spec: &Rollout) -> Endpoints {
        let domains = self.known();
        let sum = |slots: u32, (_, more): (&Domain, u32)| slots + more;
        let own = self
            .offers(&spec.to)
            .filter(|(domain, _)| **domain == self.domain)
            .fold(0, sum);
        let all = self.offers(&spec.to).fold(0, sum);
        let count = f64::from(u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX));
        Endpoints {
            new_hosts: self.hosts_of(&spec.to),
            new_slots: f64::from(own).max(f64::from(all) / count),
            old_hosts: self.hosts_of(&spec.from),
            domains,
        }
    }

    fn members(&mut self, records: Vec<Record>) -> Vec<Action> {
        for record in records {
            let domain = record.contact.domain;
            let host = record.contact.host;
            let region = record.contact.region;
            self.domains
                .insert(Tag::of(host.as_str()), Tag::of(domain.as_str()));
            let ready = record
                .offer
                .filter(|_| record.state == State::Ready)
                .map(|offer| (offer.version, offer.slots));
            let endpoint = Endpoint {
                domain,
                ready,
                region,
            };
            self.endpoints.insert(host, endpoint);
        }
        Vec::new()
    }

    fn counted(&mut self, now: Moment, counts: &[Count]) -> Vec<Action> {
        for count in counts {
            let domain = self.endpoints.get(&count.host);
            let domain = domain.map(|endpoint| endpoint.domain.clone());
            let found = self
                .attempts
                .values()
                .find(|attempt| attempt.spec.route == count.route)
                .map(|attempt| (attempt.id.name.clone(), attempt.spec.to.clone()));
            let Some((name, to)) = found else {
                continue;
            };
            let hosts = self.hosts_of(&to);
            if let Some(attempt) = self.attempts.get_mut(&name) {
                attempt.count(now, count, domain.as_ref(), hosts);
            }
        }
        Vec::new()
    }

    fn placed(&mut self, now: Moment, role: Role) -> Vec<Action> {
        let held: BTreeSet<Host> = self.role.neighbours().cloned().collect();
        let fresh: Vec<Host> = role
            .neighbours()
            .filter(|host| !held.contains(*host))
            .cloned()
            .collect();
        self.role = role;
        let mut actions = Vec::new();
        for host in fresh {
            actions.extend(self.vetoes.iter().map(|(id, finding)| {
                Action::Send(host.clone(), Message::Veto(id.clone(), finding.clone()))
            }));
        }
        actions.extend(self.stages(now));
        actions
    }

    fn stages(&self, now: Moment) -> Vec<Action> {
        let stages: Vec<Stage> = self
            .attempts
            .values()
            .filter(|attempt| !self.vetoes.contains_key(&attempt.id))
            .map(|attempt| attempt.stage(now))
            .collect();
        if !self.is_root() || now < self.listens_until || stages.is_empty() {
            return Vec::new();
        }
        self.below(&Message::Stages(stages))
    }

    fn below(&self, message: &Message) -> Vec<Action> {
        let children = self.role.children.iter();
        children
            .map(|host| Action::Send(host.clone(), message.clone()))
            .collect()
    }

    fn is_root(&self) -> bool {
        self.role.parent.is_none()
    }

    fn by_tag(&mut self, tag: Tag) -> Option<&mut Attempt> {
        self.attempts
            .values_mut()
            .find(|attempt| attempt.id.tag() == tag)
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        if now.since(self.ticked_at) > PAUSED {
            self.listens_until = now + LISTEN;
            self.repeated_at = Moment::default();
        }
        self.ticked_at = now;
        let mut actions = Vec::new();
        let pause = if self.is_root() { GOVERN } else { FLUSH };
        if now.since(self.flushed_at) >= pause {
            self.flushed_at = now;
            actions.extend(if self.is_root() {
                self.govern(now)
            } else {
                self.send_up().into_iter().collect()
            });
        }
        actions
    }

    fn send_up(&mut self) -> Option<Action> {
        let parent = self.role.parent.clone()?;
        let batches: Vec<Batch> = self
            .attempts
            .values_mut()
            .filter(|attempt| !attempt.rows.is_empty())
            .map(|attempt| Batch {
                attempt: attempt.id.tag(),
                rows: attempt.rows.take(),
                share: attempt.share(),
            })
            .collect();
        (!batches.is_empty()).then_some(Action::Send(parent, Message::Evidence(batches)))
    }
}

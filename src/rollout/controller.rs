//! The rollout state machine of a node. It has no clock, socket or thread; callers drive it by `handle`.

use {
    crate::{
        member::{Record, State},
        resource::{Resource, Rollout, Spec},
        rollout::attempt::{Attempt, Endpoints},
        rollout::evidence::Count,
        rollout::message::{Batch, Message, Stage},
        rollout::outcome::{End, Finding},
        rollout::status::Status,
        rollout::{AttemptId, SOAK_PERIOD, Tag},
        snapshot::Snapshot,
        source::Operation,
        traffic::Ramp,
        types::{Domain, Host, Moment, Name, Permille, Region, Version},
    },
    std::collections::{BTreeMap, BTreeSet},
    std::sync::Arc,
    std::time::Duration,
};

mod govern;
mod receive;

/// How often a node sends its counts to its parent.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// How often the root of a tree judges its rollouts and sets their shares.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// How often a domain with little traffic sends its evidence to the root that judges the pool.
const POOL_INTERVAL: Duration = Duration::from_secs(1);

/// How often unchanged stages and progress are sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The gap between two ticks after which a node assumes that it was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// How long a started or resumed node only listens, before it sets shares or records outcomes.
const LISTEN_PERIOD: Duration = Duration::from_secs(6);

/// How long a node waits for another node, or for the platform, to record an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a veto is kept while its rollout is unknown.
const VETO_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Requests have finished.
    Counted(Vec<Count>),
    /// A configuration has taken effect.
    Installed(Arc<Snapshot>),
    /// The records of hosts have changed.
    Members(Vec<Record>),
    /// A message has arrived from the node on this host.
    Received(Host, Message),
    /// The node's position in the tree has changed.
    Position(Position),
    /// Time has passed; sent periodically.
    Tick,
}

/// An output of the state machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Apply these traffic shares, keyed by rollout; they replace all earlier ones.
    Ramps(BTreeMap<Name, Ramp>),
    /// Send a message to the node on this host.
    Send(Host, Message),
    /// Submit the outcome of a rollout to the platform's table.
    Submit(Operation),
}

/// The position of a node in its tree. The root, which has no parent, judges and sets the shares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Position {
    /// The child nodes.
    pub children: BTreeSet<Host>,
    /// The parent node; `None` at the root.
    pub parent: Option<Host>,
    /// The roots of other trees.
    pub siblings: BTreeSet<Host>,
}

impl Position {
    fn neighbours(&self) -> impl Iterator<Item = &Host> {
        self.children
            .iter()
            .chain(&self.parent)
            .chain(&self.siblings)
    }
}

/// The arguments of [`Controller::new`].
#[derive(Debug, Clone)]
pub struct Start {
    /// The failure domain of the node.
    pub domain: Domain,
    /// The host of the node.
    pub host: Host,
    /// The start time of the node.
    pub now: Moment,
    /// The region of the node.
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
    host_domains: BTreeMap<Tag, Tag>,
    endpoints: BTreeMap<Host, Endpoint>,
    flushed_at: Moment,
    host: Host,
    pooled_at: Moment,
    listens_until: Moment,
    ramps: BTreeMap<Name, Ramp>,
    end_due_since: BTreeMap<AttemptId, Moment>,
    region: Region,
    repeated_at: Moment,
    position: Position,
    progress_sent_at: Moment,
    snapshot: Arc<Snapshot>,
    stale: bool,
    submitted_at: BTreeMap<AttemptId, Moment>,
    synced_at: Moment,
    ticked_at: Moment,
    vetoes: BTreeMap<AttemptId, Finding>,
}

impl Controller {
    /// Creates a controller without a configuration, as the root of a tree of its own.
    #[must_use]
    pub fn new(start: Start) -> Self {
        Self {
            attempts: BTreeMap::new(),
            domain: start.domain,
            host_domains: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            flushed_at: start.now,
            host: start.host,
            pooled_at: start.now,
            listens_until: start.now + LISTEN_PERIOD,
            ramps: BTreeMap::new(),
            end_due_since: BTreeMap::new(),
            region: start.region,
            repeated_at: start.now,
            position: Position::default(),
            progress_sent_at: start.now,
            snapshot: Arc::default(),
            stale: false,
            submitted_at: BTreeMap::new(),
            synced_at: start.now,
            ticked_at: start.now,
            vetoes: BTreeMap::new(),
        }
    }

    /// Processes an event and returns the actions that it requires.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let may_change_shares = match &event {
            Event::Counted(_) | Event::Members(_) | Event::Position(_) => false,
            Event::Received(_, message) => {
                matches!(message, Message::Stages(_) | Message::Veto(..))
            }
            Event::Installed(_) | Event::Tick => true,
        };
        let mut actions = match event {
            Event::Counted(counts) => self.add_counts(now, &counts),
            Event::Installed(snapshot) => {
                self.snapshot = snapshot;
                self.stale = true;
                Vec::new()
            }
            Event::Members(records) => self.update_members(records),
            Event::Received(host, message) => self.handle_message(now, &host, message),
            Event::Position(position) => self.set_position(now, position),
            Event::Tick => self.tick(now),
        };
        if self.stale || now.since(self.synced_at) >= EVALUATION_INTERVAL {
            self.sync(now);
        }
        if may_change_shares {
            actions.extend(self.update_ramps(now));
        }
        actions
    }

    /// Returns the status of every rollout whose outcome is not recorded or may still change.
    #[must_use]
    pub fn statuses(&self, now: Moment) -> Vec<Status> {
        self.attempts
            .values()
            .map(|attempt| Status {
                domains: attempt.reports(now, &self.domain, &self.known_domains()),
                finding: self.vetoes.get(&attempt.id).cloned(),
                name: attempt.id.name.clone(),
                share: self.share(now, attempt),
            })
            .collect()
    }

    fn known_domains(&self) -> BTreeSet<Domain> {
        let domains = self.endpoints.values();
        domains.map(|endpoint| endpoint.domain.clone()).collect()
    }

    fn rollouts(snapshot: &Snapshot) -> impl Iterator<Item = (AttemptId, &Resource, &Rollout)> {
        snapshot.resources.values().filter_map(|resource| {
            let Spec::Rollout(rollout) = &resource.spec else {
                return None;
            };
            let id = AttemptId {
                name: resource.key.name.clone(),
                started: rollout.started,
            };
            Some((id, resource, rollout))
        })
    }

    /// Returns whether a rollout is running, soaking, or still to be rolled back.
    fn is_active(now: Moment, rollout: &Rollout, veto: Option<&Finding>) -> bool {
        match &rollout.outcome {
            None => true,
            Some(outcome) => {
                let until = outcome.at + SOAK_PERIOD;
                outcome.end == End::Completed
                    && (now < until || veto.is_some_and(|finding| finding.at < until))
            }
        }
    }

    fn sync(&mut self, now: Moment) {
        self.stale = false;
        self.synced_at = now;
        let snapshot = self.snapshot.clone();
        let mut previous = std::mem::take(&mut self.attempts);
        for (id, _, rollout) in Self::rollouts(&snapshot) {
            if !Self::is_active(now, rollout, self.vetoes.get(&id)) {
                continue;
            }
            let attempt = match previous.remove(&id.name) {
                Some(mut attempt) if attempt.id == id => {
                    attempt.spec = rollout.clone();
                    attempt
                }
                _ => Attempt::new(now, id.clone(), rollout.clone()),
            };
            self.attempts.insert(id.name, attempt);
        }
        let attempts = &self.attempts;
        let held = |id: &AttemptId| attempts.get(&id.name).is_some_and(|held| held.id == *id);
        self.end_due_since.retain(|id, _| held(id));
        self.submitted_at.retain(|id, _| held(id));
        self.vetoes
            .retain(|id, finding| held(id) || now.since(finding.at) < VETO_RETENTION);
    }

    fn update_ramps(&mut self, now: Moment) -> Option<Action> {
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

    /// Returns the share at this node: 0 after a veto, while the breaker is open, or without a ready host.
    fn share(&self, now: Moment, attempt: &Attempt) -> Permille {
        let stopped = self.vetoes.contains_key(&attempt.id) || attempt.breaker.is_open(now);
        if stopped || self.host_count(&attempt.spec.to) == 0 {
            return Permille(0);
        }
        attempt.share()
    }

    fn host_count(&self, version: &Version) -> usize {
        self.ready_endpoints(version).count()
    }

    fn ready_endpoints(&self, version: &Version) -> impl Iterator<Item = (&Domain, u32)> {
        self.endpoints.values().filter_map(move |endpoint| {
            let (ready, slots) = endpoint.ready.as_ref()?;
            (ready == version).then_some((&endpoint.domain, *slots))
        })
    }

    fn endpoints(&self, spec: &Rollout) -> Endpoints {
        let domains = self.known_domains();
        let sum = |slots: u32, (_, more): (&Domain, u32)| slots + more;
        let own_slots = self
            .ready_endpoints(&spec.to)
            .filter(|(domain, _)| **domain == self.domain)
            .fold(0, sum);
        let all_slots = self.ready_endpoints(&spec.to).fold(0, sum);
        let domain_count = f64::from(u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX));
        Endpoints {
            candidate_hosts: self.host_count(&spec.to),
            candidate_slots: f64::from(own_slots).max(f64::from(all_slots) / domain_count),
            baseline_hosts: self.host_count(&spec.from),
            domains,
        }
    }

    fn update_members(&mut self, records: Vec<Record>) -> Vec<Action> {
        for record in records {
            let domain = record.contact.domain;
            let host = record.contact.host;
            let region = record.contact.region;
            self.host_domains
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

    fn add_counts(&mut self, now: Moment, counts: &[Count]) -> Vec<Action> {
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
            let hosts = self.host_count(&to);
            if let Some(attempt) = self.attempts.get_mut(&name) {
                attempt.record(now, count, domain.as_ref(), hosts);
            }
        }
        Vec::new()
    }

    fn set_position(&mut self, now: Moment, position: Position) -> Vec<Action> {
        let previous: BTreeSet<Host> = self.position.neighbours().cloned().collect();
        let added: Vec<Host> = position
            .neighbours()
            .filter(|host| !previous.contains(*host))
            .cloned()
            .collect();
        self.position = position;
        let mut actions = Vec::new();
        for host in added {
            actions.extend(self.vetoes.iter().map(|(id, finding)| {
                Action::Send(host.clone(), Message::Veto(id.clone(), finding.clone()))
            }));
        }
        actions.extend(self.send_stages(now));
        actions
    }

    fn send_stages(&self, now: Moment) -> Vec<Action> {
        let stages: Vec<Stage> = self
            .attempts
            .values()
            .filter(|attempt| !self.vetoes.contains_key(&attempt.id))
            .map(|attempt| attempt.stage(now))
            .collect();
        if !self.is_root() || now < self.listens_until || stages.is_empty() {
            return Vec::new();
        }
        self.send_to_children(&Message::Stages(stages))
    }

    fn send_to_children(&self, message: &Message) -> Vec<Action> {
        let children = self.position.children.iter();
        children
            .map(|host| Action::Send(host.clone(), message.clone()))
            .collect()
    }

    fn is_root(&self) -> bool {
        self.position.parent.is_none()
    }

    fn attempt_by_tag(&mut self, tag: Tag) -> Option<&mut Attempt> {
        self.attempts.values_mut().find(|held| held.id.tag() == tag)
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        if now.since(self.ticked_at) > PAUSE_THRESHOLD {
            self.listens_until = now + LISTEN_PERIOD;
            self.repeated_at = Moment::default();
        }
        self.ticked_at = now;
        let mut actions = Vec::new();
        let interval = if self.is_root() {
            EVALUATION_INTERVAL
        } else {
            FLUSH_INTERVAL
        };
        if now.since(self.flushed_at) >= interval {
            self.flushed_at = now;
            actions.extend(if self.is_root() {
                self.evaluate(now)
            } else {
                self.send_evidence().into_iter().collect()
            });
        }
        actions
    }

    fn send_evidence(&mut self) -> Option<Action> {
        let parent = self.position.parent.clone()?;
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

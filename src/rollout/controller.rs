//! The state machine of all rollouts at one node. It has no clock, socket or thread: the daemon, the
//! tests and the bench drive it by `handle`.

use {
    super::{
        Id, SOAK, Tag,
        attempt::{Attempt, Endpoints},
        evidence::{Count, Side},
        message::{Batch, Message, Progress, Stage},
        outcome::{Cause, End, Finding, Outcome},
        status::Status,
    },
    crate::{
        member::{Record, State},
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        snapshot::Snapshot,
        source::Operation,
        traffic::Ramp,
        world::{Domain, Host, Moment, Name, Permille, Revision, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// How often counts are sent up.
const FLUSH: Duration = Duration::from_secs(1);

/// How often the root of a tree judges and paces.
const GOVERN: Duration = Duration::from_millis(500);

/// The least time between two messages of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// How often evidence is lent.
const LEND: Duration = Duration::from_secs(2);

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
}

#[derive(Debug)]
struct Endpoint {
    domain: Domain,
    ready: Option<(Version, u32)>,
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
            self.domains
                .insert(Tag::of(host.as_str()), Tag::of(domain.as_str()));
            let ready = record
                .offer
                .filter(|_| record.state == State::Ready)
                .map(|offer| (offer.version, offer.slots));
            self.endpoints.insert(host, Endpoint { domain, ready });
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

    fn received(&mut self, now: Moment, host: &Host, message: Message) -> Vec<Action> {
        match message {
            Message::Evidence(batches) => self.evidence(now, host, batches),
            Message::Progress(domain, all) => self.progress(now, host, &domain, all),
            Message::Stages(stages) => self.staged(now, host, stages),
            Message::Veto(id, finding) => self.veto(Some(host), &id, &finding),
        }
    }

    /// Answers whoever still moves an attempt that is vetoed.
    fn correct(&self, host: &Host, attempt: Tag) -> Option<Action> {
        let (id, finding) = self.vetoes.iter().find(|(id, _)| id.tag() == attempt)?;
        let veto = Message::Veto(id.clone(), finding.clone());
        Some(Action::Send(host.clone(), veto))
    }

    fn evidence(&mut self, now: Moment, host: &Host, batches: Vec<Batch>) -> Vec<Action> {
        let mut actions = Vec::new();
        for batch in batches {
            actions.extend(self.correct(host, batch.attempt));
            let lent = self.role.siblings.contains(host);
            let begins = self.is_root() && now < self.listens_until;
            let Some(attempt) = self.by_tag(batch.attempt) else {
                continue;
            };
            if begins {
                attempt.adopt(now, batch.share);
            }
            for row in batch.rows {
                if lent {
                    attempt.borrow(row);
                } else {
                    attempt.rows.add(row);
                }
            }
        }
        actions
    }

    fn progress(
        &mut self,
        now: Moment,
        host: &Host,
        domain: &Domain,
        all: Vec<Progress>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for progress in all {
            actions.extend(self.correct(host, progress.attempt));
            let begins = self.is_root() && now < self.listens_until;
            if let Some(attempt) = self.by_tag(progress.attempt) {
                if begins {
                    attempt.adopt(now, progress.share);
                }
                attempt.hear(now, host.clone(), domain.clone(), progress);
            }
        }
        actions
    }

    fn staged(&mut self, now: Moment, host: &Host, stages: Vec<Stage>) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut news = Vec::new();
        for stage in stages {
            actions.extend(self.correct(host, stage.attempt));
            let from_parent = self.role.parent.as_ref() == Some(host);
            if let Some(attempt) = self.by_tag(stage.attempt)
                && from_parent
                && attempt.follow(now, &stage)
            {
                news.push(stage);
            }
        }
        if !news.is_empty() {
            actions.extend(self.below(&Message::Stages(news)));
        }
        actions
    }

    /// Takes a veto in for good and hands it on once.
    fn veto(&mut self, from: Option<&Host>, id: &Id, finding: &Finding) -> Vec<Action> {
        if self.vetoes.contains_key(id) {
            return Vec::new();
        }
        self.vetoes.insert(id.clone(), finding.clone());
        self.stale = true;
        let neighbours = self.role.neighbours();
        neighbours
            .filter(|host| Some(*host) != from)
            .map(|host| Action::Send(host.clone(), Message::Veto(id.clone(), finding.clone())))
            .collect()
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

    /// Does what the root of a tree has to.
    fn govern(&mut self, now: Moment) -> Vec<Action> {
        let listens = now < self.listens_until;
        let mut actions = Vec::new();
        let mut moved = false;
        let names: Vec<Name> = self.attempts.keys().cloned().collect();
        for name in names {
            let (cause, changed) = self.decide(now, &name, listens);
            moved |= changed;
            if let Some((id, finding)) = cause {
                actions.extend(self.veto(None, &id, &finding));
            }
        }
        actions.extend(self.say(now, moved));
        if !listens {
            actions.extend(self.record(now));
        }
        actions
    }

    fn decide(&mut self, now: Moment, name: &Name, listens: bool) -> (Option<(Id, Finding)>, bool) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return (None, false);
        };
        let domains = &self.domains;
        attempt.judge(now, &self.domain, |host| domains.get(&host).copied());
        let attempt = &self.attempts[name];
        if self.vetoes.contains_key(&attempt.id) {
            return (None, false);
        }
        let endpoints = self.endpoints(&attempt.spec);
        let mut cause = attempt.verdict(now, endpoints.new_hosts);
        let before = attempt.share();
        let mut changed = false;
        if cause.is_none()
            && !listens
            && let Some(attempt) = self.attempts.get_mut(name)
        {
            cause = attempt.pace(now, &endpoints);
            changed = attempt.share() != before;
        }
        let attempt = &self.attempts[name];
        let found = cause.map(|cause| (attempt.id.clone(), self.finding(now, attempt, cause)));
        (found, changed)
    }

    fn finding(&self, now: Moment, attempt: &Attempt, cause: Cause) -> Finding {
        Finding {
            at: now,
            baseline: attempt.tally(Side::Baseline),
            candidate: attempt.tally(Side::Candidate),
            cause,
            domain: self.domain.clone(),
            host: self.host.clone(),
            route: attempt.spec.route.clone(),
        }
    }

    /// Tells the nodes below and the other roots what has changed, and now and then all of it.
    fn say(&mut self, now: Moment, moved: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let repeat = now.since(self.repeated_at) >= REPEAT;
        if repeat {
            self.repeated_at = now;
        }
        if moved || repeat {
            actions.extend(self.stages(now));
        }
        if now.since(self.said_at) < PROGRESS {
            return actions;
        }
        self.said_at = now;
        if now.since(self.lent_at) >= LEND {
            self.lent_at = now;
            actions.extend(self.lend(now));
        }
        let all: Vec<Progress> = self
            .attempts
            .values_mut()
            .filter_map(|attempt| attempt.progress(now, REPEAT))
            .collect();
        if !all.is_empty() {
            let message = Message::Progress(self.domain.clone(), all);
            let siblings = self.role.siblings.iter();
            actions.extend(siblings.map(|host| Action::Send(host.clone(), message.clone())));
        }
        actions
    }

    fn lend(&mut self, now: Moment) -> Vec<Action> {
        let mut lent: BTreeMap<Host, Vec<Batch>> = BTreeMap::new();
        for attempt in self.attempts.values_mut() {
            let tag = attempt.id.tag();
            if let Some((host, rows)) = attempt.lend(now, &self.domain) {
                let share = attempt.share();
                let batch = Batch {
                    attempt: tag,
                    rows,
                    share,
                };
                lent.entry(host).or_default().push(batch);
            }
        }
        lent.into_iter()
            .map(|(host, batches)| Action::Send(host, Message::Evidence(batches)))
            .collect()
    }

    /// Has ends recorded in the platform's table. Whoever records writes under the same operation id
    /// and on the condition that nothing has changed, so it is recorded once.
    fn record(&mut self, now: Moment) -> Vec<Action> {
        let snapshot = self.snapshot.clone();
        let mut actions = Vec::new();
        for (id, resource, rollout) in Self::rollouts(&snapshot) {
            let Some(end) = self.end(now, &id, rollout) else {
                continue;
            };
            if self.is_turn(now, &id)
                && let Some(operation) = self.operation(now, &id, resource, rollout, end)
            {
                actions.push(Action::Submit(operation));
            }
        }
        actions
    }

    fn end(&self, now: Moment, id: &Id, rollout: &Rollout) -> Option<End> {
        let attempt = self.attempts.get(&id.name)?;
        if self.vetoes.contains_key(id) {
            let gone =
                self.hosts_of(&rollout.from) == 0 || !self.has_whole(&rollout.route, &rollout.to);
            let keeps = rollout.outcome.is_some() && gone;
            return (!keeps).then_some(End::RolledBack);
        }
        let endpoints = self.endpoints(rollout);
        let done = rollout.outcome.is_none() && attempt.all_done(now, &endpoints, &self.domain);
        done.then_some(End::Completed)
    }

    fn has_whole(&self, route: &Name, version: &Version) -> bool {
        let route = self.snapshot.get(Kind::Route, route);
        matches!(route.map(|held| &held.spec), Some(Spec::Route(route))
            if route.shares.get(version) == Some(&Permille::WHOLE))
    }

    fn is_turn(&mut self, now: Moment, id: &Id) -> bool {
        let since = *self.ready_since.entry(id.clone()).or_insert(now);
        let raised = self
            .vetoes
            .get(id)
            .is_some_and(|finding| finding.host == self.host);
        let rank = match self.attempts.get(&id.name) {
            Some(attempt) if !raised => attempt.rank(now, &self.domain),
            _ => 0,
        };
        let last = self.submitted_at.get(id).copied().unwrap_or_default();
        if now < since + RECORD * rank || now.since(last) < RECORD {
            return false;
        }
        self.submitted_at.insert(id.clone(), now);
        true
    }

    fn operation(
        &self,
        now: Moment,
        id: &Id,
        resource: &Resource,
        rollout: &Rollout,
        end: End,
    ) -> Option<Operation> {
        let route = self.snapshot.get(Kind::Route, &rollout.route)?;
        let Spec::Route(spec) = &route.spec else {
            return None;
        };
        let (whole, finding) = match end {
            End::Completed => (&rollout.to, None),
            End::RolledBack => (&rollout.from, self.vetoes.get(id).cloned()),
        };
        let attempt = self.attempts.get(&id.name)?;
        let outcome = Outcome {
            at: now,
            domains: attempt.reports(now, &self.domain, &self.known()),
            end,
            finding,
        };
        let mut shares = spec.clone();
        shares.shares = [(whole.clone(), Permille::WHOLE)].into();
        let mut ended = rollout.clone();
        ended.outcome = Some(Box::new(outcome));
        let put = |key: &Key, spec: Spec, revision: Revision| {
            (Change::Put(key.clone(), spec), Some(revision))
        };
        Some(Operation {
            changes: vec![
                put(&resource.key, Spec::Rollout(ended), resource.revision),
                put(&route.key, Spec::Route(shares), route.revision),
            ],
            id: format!("rollout-{:08x}-{}-{end}", id.tag().0, resource.revision),
        })
    }
}

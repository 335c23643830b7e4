//! Simulation of a small mesh in virtual time. It runs the real rollout state machines against a table
//! and links that can fail, with simulated upstreams of two versions.

use {
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        resource::{Change, Key, Kind, Preference, Rollout, Route, Spec, VersionSpec},
        rollout::{
            Action, Controller, Event, Position, Start,
            evidence::Count,
            message::Message,
            outcome::{End, Outcome},
        },
        snapshot::Snapshot,
        source::Operation,
        traffic::Ramp,
        types::{Host, Moment, Name, Permille, Revision},
        validate, wire,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

pub const DOMAINS: [&str; 4] = ["luzon-a", "luzon-b", "visayas-a", "visayas-b"];
pub const STEP: Duration = Duration::from_millis(250);
pub const BEGIN: Moment = Moment(1_000_000_000_000_000);
const NODES_PER_DOMAIN: usize = 3;
const NODES: f64 = 12.0;

/// Evidence, in nats, from which a bad version counts as detectable. See docs/design/rollouts.md.
pub const DETECTABLE_NATS: f64 = 15.0;

/// Probabilities that one answer is a crash, another failure or late.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    pub crash: f64,
    pub fail: f64,
    pub late: f64,
}

/// Conditions on which the probabilities of an answer depend.
pub struct Case {
    /// Whether the request goes to the new version.
    pub candidate: bool,
    /// Index of the host within its version.
    pub host: usize,
    pub host_domain: usize,
    pub caller_domain: usize,
    /// Elapsed fraction of the time from the start to the deadline.
    pub elapsed_fraction: f64,
    pub share: f64,
    /// Noise from 0 to 1, the same for all hosts at any one time.
    pub noise: f64,
}

/// Fault injected during a rollout. Times are fractions of the time from the start to the deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The domain is cut off from all others and the platform between two times.
    CutDomain(usize, f64, f64),
    /// The regions are cut off from each other between two times.
    CutRegions(f64, f64),
    /// The new version has no host in the last domain.
    NoHostInLastDomain,
    /// A request crashes two upstreams at each of these times.
    Poison([f64; 3]),
    /// The platform is unreachable between two times.
    PlatformDown(f64, f64),
    /// The roots of the trees are stopped and replaced one after another.
    RootsDie,
}

/// Behaviour of the old and the new version, with the faults that are injected.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub good: bool,
    pub rates: fn(&Case) -> Rates,
    pub faults: Vec<Fault>,
}

/// Policy that sets the share of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    Timetable,
    Threshold,
    Conductor,
    Sequential,
}

#[derive(Clone)]
pub struct Setup {
    pub policy: Policy,
    pub preference: Preference,
    pub rate: u32,
    pub seed: u64,
    pub span: Duration,
    pub scenario: Scenario,
    /// Time that the simulation continues after the deadline.
    pub tail: Duration,
}

#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub bytes: u32,
    /// Requests sent to the new version while it was bad.
    pub bad_requests: u32,
    /// Requests sent to the new version after it became detectable as bad.
    pub late_requests: u32,
    /// Target for `late_requests`: 200 plus those of 5 s at the share and rate at detection.
    pub bound: f64,
    pub in_time: bool,
    pub link_bytes: u32,
    pub outcome: Option<Outcome>,
    pub rollback_s: Option<f64>,
    pub detectable: bool,
    pub rolled_back: bool,
}

pub struct Node {
    pub controller: Controller,
    pub domain: usize,
    pub host: Host,
    pub alive: bool,
    pub paused: bool,
    pub ramps: BTreeMap<Name, Ramp>,
    installed: Revision,
    pending: Vec<(Moment, Vec<Count>)>,
}

impl Node {
    fn is_running(&self) -> bool {
        self.alive && !self.paused
    }
}

struct Upstream {
    domain: usize,
    host: Host,
    index: usize,
    down_until: Moment,
}

pub struct Mesh {
    pub setup: Setup,
    pub now: Moment,
    pub nodes: Vec<Node>,
    pub table: Snapshot,
    pub figures: Figures,
    pub refused: Vec<validate::Fault>,
    pub accepted: Vec<Operation>,
    in_flight: Vec<(Moment, usize, usize, Message)>,
    rng: StdRng,
    upstreams: [Vec<Upstream>; 2],
    evidence: f64,
    detectable_at: Option<Moment>,
    last_candidate_request_at: Moment,
    threshold: ThresholdState,
}

/// State of [`Policy::Threshold`].
#[derive(Default)]
struct ThresholdState {
    stopped: bool,
    window: Vec<(Moment, u32, u32)>,
}

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub fn key(kind: Kind, text: &str) -> Key {
    Key {
        kind,
        name: name(text),
    }
}

pub fn rollout(deadline: Moment, preference: Preference) -> Rollout {
    Rollout {
        deadline,
        from: name("desk-1"),
        outcome: None,
        preference,
        route: name("desk"),
        started: Moment::default(),
        to: name("desk-2"),
    }
}

pub fn base() -> Vec<Change> {
    let version = |text: &str| {
        let service = name("desk");
        let spec = Spec::Version(VersionSpec { service });
        Change::Put(key(Kind::Version, text), spec)
    };
    let route = Route {
        path: "/".into(),
        service: name("desk"),
        shares: [(name("desk-1"), Permille::WHOLE)].into(),
    };
    vec![
        version("desk-1"),
        version("desk-2"),
        version("desk-3"),
        Change::Put(key(Kind::Route, "desk"), Spec::Route(route)),
    ]
}

/// Applies changes as an operator would at `now`.
pub fn accept(
    table: &mut Snapshot,
    now: Moment,
    changes: Vec<Change>,
) -> Result<(), Vec<validate::Fault>> {
    let mut operation = Operation {
        changes: changes.into_iter().map(|change| (change, None)).collect(),
        id: "operator".into(),
    };
    mulberryshelf::rollout::rules::fill_status(now, table, &mut operation);
    submit(table, now, &operation)
}

pub fn submit(
    table: &mut Snapshot,
    now: Moment,
    operation: &Operation,
) -> Result<(), Vec<validate::Fault>> {
    let mut next = table.clone();
    next.revision = table.revision.next();
    validate::apply(&mut next, operation, now)?;
    *table = next;
    Ok(())
}

impl Mesh {
    pub fn new(setup: Setup) -> Self {
        let mut table = Snapshot::default();
        accept(&mut table, BEGIN, base()).unwrap();
        let rollout = rollout(BEGIN + setup.span, setup.preference);
        let change = Change::Put(key(Kind::Rollout, "move"), Spec::Rollout(rollout));
        accept(&mut table, BEGIN, vec![change]).unwrap();
        let no_host_in_last_domain = setup.scenario.faults.contains(&Fault::NoHostInLastDomain);
        let upstreams = ["old", "new"].map(|version| {
            (0..8)
                .filter(|index| *index < 7 || version == "old")
                .filter(|index| version == "old" || !no_host_in_last_domain || index % 4 != 3)
                .map(|index| Upstream {
                    domain: index % 4,
                    host: name(&format!("{version}-{index}")),
                    index,
                    down_until: Moment::default(),
                })
                .collect()
        });
        let mut nodes = Vec::new();
        for (domain, domain_name) in DOMAINS.iter().enumerate() {
            for index in 0..NODES_PER_DOMAIN {
                let host: Host = name(&format!("n{domain}-{index}"));
                nodes.push(Node {
                    controller: Controller::new(Start {
                        domain: name(domain_name),
                        host: host.clone(),
                        now: BEGIN,
                        region: name(region(domain)),
                    }),
                    domain,
                    host,
                    alive: true,
                    paused: false,
                    ramps: BTreeMap::new(),
                    installed: Revision::default(),
                    pending: Vec::new(),
                });
            }
        }
        let mut mesh = Self {
            now: BEGIN,
            nodes,
            table,
            figures: Figures::default(),
            refused: Vec::new(),
            accepted: Vec::new(),
            in_flight: Vec::new(),
            rng: StdRng::seed_from_u64(setup.seed),
            upstreams,
            evidence: 0.0,
            detectable_at: None,
            last_candidate_request_at: BEGIN,
            threshold: ThresholdState::default(),
            setup,
        };
        for node in 0..mesh.nodes.len() {
            mesh.bootstrap(node);
        }
        mesh.assign_positions();
        mesh
    }

    /// Gives a node the member records and the configuration that it has from its start.
    fn bootstrap(&mut self, node: usize) {
        let records = self.records();
        self.drive(node, Event::Members(records));
        self.install(node);
    }

    fn install(&mut self, node: usize) {
        self.nodes[node].installed = self.table.revision;
        let snapshot = Arc::new(self.table.clone());
        self.drive(node, Event::Installed(snapshot));
    }

    fn records(&self) -> Vec<Record> {
        let offer = |version: &str| Offer {
            address: "127.0.0.1:1".parse().unwrap(),
            connections_max: 120,
            service: name("desk"),
            slots: 1200,
            version: name(version),
        };
        let nodes = self.nodes.iter();
        let nodes = nodes.map(|node| (node.domain, &node.host, None));
        let versions = ["desk-1", "desk-2"].into_iter().zip(&self.upstreams);
        versions
            .flat_map(|(version, upstreams)| {
                upstreams
                    .iter()
                    .map(move |upstream| (upstream.domain, &upstream.host, Some(offer(version))))
            })
            .chain(nodes)
            .map(|(domain, host, offer)| Record {
                contact: Contact {
                    address: "127.0.0.1:1".parse().unwrap(),
                    domain: name(DOMAINS[domain]),
                    host: host.clone(),
                    region: name(region(domain)),
                },
                incarnation: BEGIN,
                offer,
                sequence: 1,
                state: State::Ready,
            })
            .collect()
    }

    /// Assigns positions in the trees to all running nodes. The first running node of a domain is the
    /// root of its tree, and the first domain of a region exchanges messages with the other region.
    pub fn assign_positions(&mut self) {
        let conductor = self.setup.policy == Policy::Conductor;
        let mut roots = Vec::new();
        for domain in 0..DOMAINS.len() {
            let live = |node: &&Node| node.is_running() && (conductor || node.domain == domain);
            let root = self.nodes.iter().find(live).map(|node| node.host.clone());
            roots.push(root);
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.is_running() {
                continue;
            }
            let root = roots[node.domain].clone().unwrap();
            let is_root = root == node.host;
            let is_child = |other: &&Node| {
                other.alive && other.host != node.host && (conductor || other.domain == node.domain)
            };
            let children = self.nodes.iter().filter(is_child);
            let children = children.map(|node| node.host.clone()).collect();
            let near = |domain: usize| {
                let gateways = domain.is_multiple_of(2) && node.domain.is_multiple_of(2);
                region(domain) == region(node.domain) || gateways
            };
            let adjacent = roots.iter().enumerate().filter(|(domain, _)| near(*domain));
            let siblings = adjacent.filter_map(|(_, host)| host.as_ref());
            let siblings = siblings.filter(|host| **host != root);
            let position = Position {
                children: if is_root { children } else { BTreeSet::new() },
                parent: (!is_root).then_some(root.clone()),
                siblings: if is_root {
                    siblings.cloned().collect()
                } else {
                    BTreeSet::new()
                },
            };
            self.drive(index, Event::Position(position));
        }
    }

    /// Returns the elapsed fraction of the time from the start to the deadline.
    pub fn elapsed_fraction(&self) -> f64 {
        self.now.since(BEGIN).as_secs_f64() / self.setup.span.as_secs_f64()
    }

    fn platform_up(&self) -> bool {
        let time = self.elapsed_fraction();
        !self.setup.scenario.faults.iter().any(
            |fault| matches!(fault, Fault::PlatformDown(from, to) if (*from..*to).contains(&time)),
        )
    }

    /// Returns `true` if two domains reach each other. The platform is in domain 0.
    fn linked(&self, a: usize, b: usize) -> bool {
        let time = self.elapsed_fraction();
        a == b
            || !self.setup.scenario.faults.iter().any(|fault| match fault {
                Fault::CutDomain(domain, from, to) => {
                    (a == *domain || b == *domain) && (*from..*to).contains(&time)
                }
                Fault::CutRegions(from, to) => (a < 2) != (b < 2) && (*from..*to).contains(&time),
                _ => false,
            })
    }

    pub fn drive(&mut self, node: usize, event: Event) {
        if self.nodes[node].paused {
            return;
        }
        let actions = self.nodes[node].controller.handle(self.now, event);
        for action in actions {
            self.apply_action(node, action);
        }
    }

    fn apply_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Ramps(ramps) => self.nodes[node].ramps = ramps,
            Action::Send(host, message) => self.send(node, &host, message),
            Action::Submit(operation) => self.submit_operation(node, &operation),
        }
    }

    fn send(&mut self, from: usize, host: &Host, message: Message) {
        let Some(to) = self.nodes.iter().position(|node| node.host == *host) else {
            return;
        };
        let (a, b) = (self.nodes[from].domain, self.nodes[to].domain);
        if !self.nodes[to].alive || !self.linked(a, b) {
            return;
        }
        if self.setup.policy == Policy::Conductor && !self.platform_up() {
            return;
        }
        let bytes = u32::try_from(wire::encode(&message).unwrap().len()).unwrap();
        self.figures.bytes += bytes;
        if (a < 2) != (b < 2) {
            self.figures.link_bytes += bytes;
        }
        let delay = self.rng.random_range(Duration::from_millis(1)..STEP);
        self.in_flight.push((self.now + delay, from, to, message));
    }

    fn submit_operation(&mut self, node: usize, operation: &Operation) {
        if !self.platform_up() || !self.linked(self.nodes[node].domain, 0) {
            return;
        }
        match submit(&mut self.table, self.now, operation) {
            Ok(()) => self.accepted.push(operation.clone()),
            Err(faults) => self.refused.extend(faults),
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, remaining) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = remaining;
        for (_, from, to, message) in due {
            let host = self.nodes[from].host.clone();
            if self.nodes[to].alive {
                self.drive(to, Event::Received(host, message));
            }
        }
    }

    /// Advances the simulation by one [`STEP`].
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        self.deliver();
        self.distribute_snapshots();
        self.generate_load();
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive {
                self.report_counts(node);
                if matches!(self.setup.policy, Policy::Sequential | Policy::Conductor) {
                    self.drive(node, Event::Tick);
                }
            }
        }
        self.update_threshold();
        if self.now == BEGIN + self.setup.span {
            let done = (0..self.nodes.len())
                .filter(|node| self.nodes[*node].alive)
                .all(|node| self.share(node) >= Permille::WHOLE);
            self.figures.in_time = done;
        }
    }

    /// Runs until [`Mesh::elapsed_fraction`] is `time`.
    pub fn run_until(&mut self, time: f64) {
        while self.elapsed_fraction() < time {
            self.step();
        }
    }

    /// Runs until the deadline and the tail after it have passed, and returns the figures.
    pub fn run(mut self) -> Figures {
        let end = BEGIN + self.setup.span + self.setup.tail;
        while self.now < end {
            self.step();
        }
        self.finish()
    }

    pub fn finish(mut self) -> Figures {
        let rolled_back = (0..self.nodes.len()).all(|node| self.share(node) == Permille(0));
        self.figures.rolled_back = rolled_back;
        self.figures.detectable = self.detectable_at.is_some();
        self.figures.rollback_s = self
            .detectable_at
            .filter(|_| rolled_back)
            .map(|at| self.last_candidate_request_at.since(at).as_secs_f64());
        self.figures.outcome = self.outcome();
        self.figures
    }

    pub fn outcome(&self) -> Option<Outcome> {
        let held = self.table.get(Kind::Rollout, &name("move"))?;
        match &held.spec {
            Spec::Rollout(rollout) => rollout.outcome.as_deref().cloned(),
            _ => None,
        }
    }

    pub fn end(&self) -> Option<End> {
        self.outcome().map(|outcome| outcome.end)
    }

    /// Installs the table's state on nodes that reach the platform or a node that has the state.
    fn distribute_snapshots(&mut self) {
        for node in 0..self.nodes.len() {
            let stale = self.nodes[node].installed < self.table.revision;
            let reached = self.linked(self.nodes[node].domain, 0);
            if stale && reached && self.nodes[node].alive && !self.nodes[node].paused {
                self.install(node);
            }
        }
    }

    fn inject_faults(&mut self) {
        let time = self.elapsed_fraction();
        let step = STEP.as_secs_f64() / self.setup.span.as_secs_f64();
        let passed = |at: f64| time >= at && time < at + step;
        let poisoned = self.setup.scenario.faults.iter().any(
            |fault| matches!(fault, Fault::Poison(times) if times.iter().any(|at| passed(*at))),
        );
        if poisoned {
            self.crash_upstreams();
        }
        if self.setup.scenario.faults.contains(&Fault::RootsDie) {
            let turns: Vec<u8> = (0..16)
                .filter(|turn| passed(f64::from(*turn) / 16.0 + 0.02))
                .collect();
            for turn in turns.into_iter().map(usize::from) {
                self.kill((turn % 4) * NODES_PER_DOMAIN + (turn / 4) % NODES_PER_DOMAIN);
            }
        }
    }

    /// Simulates a request that crashes the upstream that runs it and is retried once.
    fn crash_upstreams(&mut self) {
        for _ in 0..2 {
            let caller = self.rng.random_range(0..self.nodes.len());
            let share = f64::from(self.share(caller).0) / 1000.0;
            let side = usize::from(self.rng.random_bool(share));
            let picked = self.rng.random_range(0..self.upstreams[side].len());
            let upstream = &mut self.upstreams[side][picked];
            upstream.down_until = self.now + Duration::from_secs(10);
            let count = Count {
                crashed: 8,
                done: 8,
                ..empty_count(&upstream.host, side)
            };
            let now = self.now;
            self.nodes[caller].pending.push((now, vec![count]));
        }
    }

    /// Stops a node. It starts again without state at the next kill, after others have taken over.
    fn kill(&mut self, node: usize) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        for other in all {
            if !self.nodes[other].alive {
                self.nodes[other].alive = true;
                self.bootstrap(other);
            }
        }
        let dead = &mut self.nodes[node];
        dead.alive = false;
        dead.ramps.clear();
        dead.controller = Controller::new(Start {
            domain: name(DOMAINS[dead.domain]),
            host: dead.host.clone(),
            now: self.now,
            region: name(region(dead.domain)),
        });
        self.assign_positions();
    }

    /// Pauses a node without its knowledge and assigns its position to another one.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.assign_positions();
    }

    /// Resumes a paused node, which still has its old position. Messages sent to it meanwhile are lost.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.drive(node, Event::Tick);
    }

    /// Returns the number of nodes whose callers still send to the new version.
    pub fn sender_count(&self) -> usize {
        let sends = |node: &usize| self.share(*node) > Permille(0);
        (0..self.nodes.len()).filter(sends).count()
    }

    /// Returns the share of the new version at a node under the policy of this mesh.
    pub fn share(&self, node: usize) -> Permille {
        match self.setup.policy {
            Policy::Threshold if self.threshold.stopped => Permille(0),
            Policy::Threshold | Policy::Timetable => self.timetable_share(),
            Policy::Conductor | Policy::Sequential => self.ramp_share(node),
        }
    }

    fn ramp_share(&self, node: usize) -> Permille {
        if let Some(ramp) = self.nodes[node].ramps.values().next() {
            return ramp.share;
        }
        match &self.table.get(Kind::Route, &name("desk")).unwrap().spec {
            Spec::Route(route) => {
                let share = route.shares.get(&name("desk-2"));
                share.copied().unwrap_or_default()
            }
            _ => Permille(0),
        }
    }

    fn timetable_share(&self) -> Permille {
        let passed = self.now.since(BEGIN).as_millis() * 1000;
        let share = passed / self.setup.span.mul_f64(0.8).as_millis();
        Permille(u16::try_from(share.clamp(20, 1000)).unwrap())
    }

    fn generate_load(&mut self) {
        let noise = noise(self.now, self.setup.seed);
        let mean = f64::from(self.setup.rate) * STEP.as_secs_f64() / NODES;
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive {
                let requests = poisson(&mut self.rng, mean);
                self.send_requests(node, requests, noise);
            }
        }
    }

    fn send_requests(&mut self, node: usize, requests: u32, noise: f64) {
        let share = f64::from(self.share(node).0) / 1000.0;
        let domain = self.nodes[node].domain;
        let mut counts: BTreeMap<(usize, usize), Count> = BTreeMap::new();
        let usable = [self.usable(0, domain), self.usable(1, domain)];
        for _ in 0..requests {
            let side = usize::from(share > 0.0 && self.rng.random_bool(share));
            if usable[side].is_empty() {
                continue;
            }
            let picked = usable[side][self.rng.random_range(0..usable[side].len())];
            let upstream = &self.upstreams[side][picked];
            let case = Case {
                candidate: side == 1,
                host: upstream.index,
                host_domain: upstream.domain,
                caller_domain: domain,
                elapsed_fraction: self.elapsed_fraction(),
                share,
                noise,
            };
            let rates = (self.setup.scenario.rates)(&case);
            let host = upstream.host.clone();
            let sample = self.rng.random::<f64>();
            let count = counts
                .entry((side, picked))
                .or_insert_with(|| empty_count(&host, side));
            count.done += 1;
            count.busy += Duration::from_millis(20);
            let bad = sample < rates.crash + rates.fail + rates.late;
            if sample < rates.crash {
                count.crashed += 1;
            } else if sample < rates.crash + rates.fail {
                count.failed += 1;
            } else if bad {
                count.late += 1;
            }
            self.update_evidence(&case, sample);
        }
        let at = self.now + Duration::from_millis(200);
        let counts: Vec<Count> = counts.into_values().collect();
        if !counts.is_empty() {
            self.nodes[node].pending.push((at, counts));
        }
    }

    /// Updates the evidence that the best paired test would have, one that knows the rates of both
    /// versions and when they change. Without traffic of the old version it assumes that version's past
    /// rate, with the same margin as the judge.
    fn update_evidence(&mut self, case: &Case, sample: f64) {
        if self.setup.scenario.good {
            return;
        }
        let rates = |candidate| (self.setup.scenario.rates)(&Case { candidate, ..*case });
        let (old, new) = (rates(false), rates(true));
        let failing = new.fail + new.crash > old.fail + old.crash;
        let (range_start, new_rate, old_rate) = if failing {
            (0.0, new.fail + new.crash, old.fail + old.crash)
        } else {
            (new.crash + new.fail, new.late, old.late)
        };
        let rate = if case.candidate { new_rate } else { old_rate };
        let bad = (range_start..range_start + rate).contains(&sample);
        if new_rate > old_rate {
            self.evidence = (self.evidence + log_ratio(case, new_rate, old_rate, bad)).max(0.0);
        }
        if case.candidate {
            self.last_candidate_request_at = self.now;
            self.figures.late_requests += u32::from(self.detectable_at.is_some());
            self.figures.bad_requests += u32::from(new_rate > old_rate);
        }
        if self.evidence >= DETECTABLE_NATS && self.detectable_at.is_none() {
            self.detectable_at = Some(self.now);
            self.figures.bound = 200.0 + 5.0 * case.share * f64::from(self.setup.rate);
        }
    }

    /// Returns the upstreams that a domain's callers use: its own, or all reachable ones if it has none.
    fn usable(&self, side: usize, domain: usize) -> Vec<usize> {
        let now = self.now;
        let of = |own: bool| -> Vec<usize> {
            (0..self.upstreams[side].len())
                .filter(|index| {
                    let upstream = &self.upstreams[side][*index];
                    upstream.down_until <= now
                        && self.linked(domain, upstream.domain)
                        && (!own || upstream.domain == domain)
                })
                .collect()
        };
        let own = of(true);
        if own.is_empty() { of(false) } else { own }
    }

    fn report_counts(&mut self, node: usize) {
        let now = self.now;
        let (due, remaining) = std::mem::take(&mut self.nodes[node].pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.nodes[node].pending = remaining;
        let due: Vec<(Moment, Vec<Count>)> = due;
        for (_, counts) in due {
            for count in counts
                .iter()
                .filter(|count| count.version.as_str() == "desk-2")
            {
                let bad = count.failed + count.crashed + count.late;
                self.threshold.window.push((now, count.done, bad));
            }
            self.drive(node, Event::Counted(counts));
        }
    }

    /// Stops under [`Policy::Threshold`] if over a tenth of at least 20 answers in 10 s are bad.
    fn update_threshold(&mut self) {
        let now = self.now;
        self.threshold
            .window
            .retain(|(at, ..)| now.since(*at) < Duration::from_secs(10));
        let done: u32 = self.threshold.window.iter().map(|(_, done, _)| done).sum();
        let bad: u32 = self.threshold.window.iter().map(|(_, _, bad)| bad).sum();
        self.threshold.stopped |= done >= 20 && bad * 10 > done;
    }
}

fn log_ratio(case: &Case, new_rate: f64, old_rate: f64, bad: bool) -> f64 {
    let old_rate = 1.5 * old_rate + 0.005;
    if new_rate <= old_rate {
        return 0.0;
    }
    if case.share >= 1.0 {
        let old_rate = (2.0 * old_rate).max(0.02);
        let log = if bad {
            new_rate / old_rate
        } else {
            (1.0 - new_rate) / (1.0 - old_rate)
        };
        return if new_rate > old_rate { log.ln() } else { 0.0 };
    }
    let ratio = new_rate / old_rate;
    let mean = ratio * case.share + 1.0 - case.share;
    match (bad, case.candidate) {
        (false, _) => 0.0,
        (true, true) => (ratio / mean).ln(),
        (true, false) => -mean.ln(),
    }
}

fn empty_count(host: &Host, side: usize) -> Count {
    Count {
        busy: Duration::ZERO,
        crashed: 0,
        done: 0,
        failed: 0,
        host: host.clone(),
        late: 0,
        route: name("desk"),
        version: name(if side == 1 { "desk-2" } else { "desk-1" }),
    }
}

fn region(domain: usize) -> &'static str {
    ["luzon", "visayas"][domain / 2]
}

/// Returns noise that changes every five seconds and is the same for all hosts.
fn noise(now: Moment, seed: u64) -> f64 {
    let slot = now.0 / 5_000_000;
    StdRng::seed_from_u64(slot ^ seed).random()
}

fn poisson(rng: &mut StdRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

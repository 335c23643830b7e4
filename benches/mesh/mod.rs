//! A discrete-event simulation of a service's endpoints and the nodes that send requests to them. The
//! library's state machines make every decision; the simulation models latency and faults, and counts.

use {
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        refusal::Reason,
        resource::{self, Change, Key, Kind, Limits, Spec, VersionSpec},
        snapshot::Snapshot,
        traffic::{
            Choice, Query, Router,
            admission::{Action, Limit, Queue, Ticket},
            endpoint::{Load, Policy},
            outcome,
            retry::{Attempt, Budget, Class},
        },
        types::{Host, Moment, Permille, Revision, Service},
        wire::Failure,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// The mean time that an endpoint with a free slot needs for a request.
pub const RUN: Duration = Duration::from_millis(20);
/// The time from a request's arrival to its deadline.
pub const TIMEOUT: Duration = Duration::from_secs(1);
/// The size of a request and its answer, in bytes.
const REQUEST_BYTES: u64 = 4_000;
/// The one-way latency from which a connection counts as crossing the link between regions.
const LINK_LATENCY_MIN: Duration = Duration::from_millis(12);
const NODES: usize = 8;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(5);
const SLOW_FACTOR: f64 = 6.0;
const VERSION: &str = "v1";

/// A failure domain with its endpoints, and its distance from the callers.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub domain: &'static str,
    pub endpoints: usize,
    pub one_way: Duration,
    pub region: &'static str,
}

/// The fault injected into the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Every endpoint refuses connections.
    Down,
    /// No fault.
    None,
    /// The first endpoint is slower than its peers.
    Slow,
    /// The first endpoint always reports a load of zero.
    Stuck,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub budget: bool,
    pub fault: Fault,
    /// The admission limit; with `None`, every request runs as soon as it arrives.
    pub limit: Option<Limit>,
    /// The offered load in each second, as a multiple of the capacity.
    pub load: Vec<f64>,
    pub places: Vec<Place>,
    pub policy: Policy,
    pub slots: u32,
    /// The actual slots of an endpoint, which may be fewer than the `slots` that it announces.
    pub slots_true: u32,
}

/// The results of a simulation.
#[derive(Debug, Default)]
pub struct Report {
    pub attempts: u64,
    pub capacity: f64,
    pub good: u64,
    pub latency: Vec<u64>,
    pub link_bytes: u64,
    /// The share that the first node sends over the link, sampled at every tick.
    pub link_share: Vec<f64>,
    pub refused: u64,
    pub refusal: Vec<u64>,
    pub requests: u64,
    pub running_most: u32,
    /// The requests that were refused although an endpoint had a free slot.
    pub wrong: u64,
}

impl Report {
    /// Returns the `part` quantile of the latency of timely answers, in milliseconds.
    pub fn percentile(&self, part: f64) -> f64 {
        percentile(&self.latency, part)
    }

    /// Returns the `part` quantile of the time until a refusal, in milliseconds.
    pub fn refusal_percentile(&self, part: f64) -> f64 {
        percentile(&self.refusal, part)
    }

    pub fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.requests)
    }

    /// Returns the timely answers as a fraction of the requests that the slots can run.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.capacity
    }

    /// Returns the timely answers as a fraction of the requests.
    pub fn success(&self) -> f64 {
        ratio(self.good, self.requests)
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / (whole as f64).max(1.0)
}

fn percentile(sorted: &[u64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * part) as usize).copied().unwrap_or(0) as f64 / 1000.0
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer(usize, AttemptResult),
    RequestArrival,
    Finish(usize),
    UpstreamArrival(usize),
    LoadReport,
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Completed,
    NotRun(Reason),
}

struct Upstream {
    queue: Queue,
    one_way: Duration,
    running: u32,
    slow_factor: f64,
}

struct Request {
    arrived_at: Moment,
    choice: Option<Choice>,
    endpoint: usize,
    id: String,
    load: Option<Load>,
    node: usize,
    run_started_at: Moment,
    tried: Vec<Host>,
}

/// The simulated endpoints of a service, and the nodes that send requests to them.
pub struct Mesh {
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    nodes: Vec<Router>,
    now: Moment,
    sequence: u64,
    report: Report,
    requests: Vec<Request>,
    rng: StdRng,
    scenario: Scenario,
    service: Service,
    upstreams: Vec<Upstream>,
}

impl Mesh {
    /// Simulates a scenario until all requests have ended.
    pub fn run(scenario: &Scenario) -> Report {
        let mut mesh = Self::new(scenario.clone());
        mesh.schedule(Duration::ZERO, Event::RequestArrival);
        mesh.schedule(TICK, Event::Tick);
        mesh.schedule(Duration::ZERO, Event::LoadReport);
        while let Some(Reverse((now, _, event))) = mesh.events.pop() {
            mesh.now = now;
            mesh.handle(event);
        }
        mesh.report.latency.sort_unstable();
        mesh.report.refusal.sort_unstable();
        mesh.report
    }

    fn new(scenario: Scenario) -> Self {
        let service: Service = "service".parse().unwrap();
        let start = Moment(1_000_000);
        let (upstreams, records) = new_upstreams(&scenario, &service);
        let snapshot = Arc::new(snapshot(&service));
        let node = |seed: usize| {
            let place = &scenario.places[0];
            let (domain, region) = (place.domain.parse(), place.region.parse());
            let mut router = Router::new(domain.unwrap(), region.unwrap(), seed as u64)
                .with_policy(scenario.policy);
            router.install(snapshot.clone());
            router.apply_membership(Moment(0), records.clone());
            if !scenario.budget {
                router.set_budget(&service, Budget::unlimited());
            }
            router
        };
        let mut mesh = Self {
            events: BinaryHeap::new(),
            nodes: (0..NODES).map(node).collect(),
            now: start,
            sequence: 0,
            report: Report::default(),
            requests: Vec::new(),
            rng: StdRng::seed_from_u64(11),
            scenario,
            service,
            upstreams,
        };
        let seconds = mesh.scenario.load.len() as f64;
        mesh.report.capacity = mesh.capacity_per_s() * seconds;
        mesh
    }

    /// Returns the requests per second that the slots can run.
    fn capacity_per_s(&self) -> f64 {
        let slots = self.scenario.slots_true * self.upstreams.len() as u32;
        f64::from(slots) / RUN.as_secs_f64()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn elapsed_seconds(&self) -> usize {
        self.now.since(Moment(1_000_000)).as_secs() as usize
    }

    fn is_over(&self) -> bool {
        self.elapsed_seconds() >= self.scenario.load.len()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answer(request, result) => self.handle_answer(request, result),
            Event::RequestArrival => self.arrive_request(),
            Event::Finish(request) => self.finish_run(request),
            Event::UpstreamArrival(request) => self.arrive_at_upstream(request),
            Event::LoadReport => self.report_loads(),
            Event::Tick => self.tick(),
        }
    }

    fn sample_exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive_request(&mut self) {
        if self.is_over() {
            return;
        }
        let rate = self.capacity_per_s() * self.scenario.load[self.elapsed_seconds()];
        let pause = self.sample_exponential(1.0 / rate);
        self.schedule(Duration::from_secs_f64(pause), Event::RequestArrival);
        let index = self.requests.len();
        self.report.requests += 1;
        self.requests.push(Request {
            arrived_at: self.now,
            choice: None,
            endpoint: 0,
            id: index.to_string(),
            load: None,
            node: self.rng.random_range(0..NODES),
            run_started_at: self.now,
            tried: Vec::new(),
        });
        self.send(index);
    }

    fn send(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let query = Query {
            avoid: &request.tried,
            id: &request.id,
            path: "/",
            service: &self.service,
        };
        let Ok(choice) = self.nodes[request.node].choose(self.now, query) else {
            return self.record_refusal(index);
        };
        self.report.attempts += 1;
        request.endpoint = choice.host.as_str()[1..].parse().unwrap();
        request.tried.push(choice.host.clone());
        request.choice = Some(choice);
        let one_way = self.upstreams[request.endpoint].one_way;
        if one_way >= LINK_LATENCY_MIN {
            self.report.link_bytes += REQUEST_BYTES;
        }
        if self.scenario.fault == Fault::Down {
            let result = AttemptResult::NotRun(Reason::Dial);
            return self.schedule(one_way * 2, Event::Answer(index, result));
        }
        self.schedule(one_way, Event::UpstreamArrival(index));
    }

    fn arrive_at_upstream(&mut self, index: usize) {
        let request = &self.requests[index];
        let upstream = &mut self.upstreams[request.endpoint];
        if self.scenario.limit.is_none() {
            return self.start_run(index);
        }
        let deadline = request.arrived_at + TIMEOUT;
        let actions = upstream
            .queue
            .arrive(self.now, Ticket(index as u64), deadline);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => self.start_run(ticket.0 as usize),
                Action::Refuse(ticket, reason) => {
                    let index = ticket.0 as usize;
                    let endpoint = self.requests[index].endpoint;
                    let upstream = &self.upstreams[endpoint];
                    self.requests[index].load = Some(upstream.queue.load());
                    let one_way = upstream.one_way;
                    self.schedule(one_way, Event::Answer(index, AttemptResult::NotRun(reason)));
                }
            }
        }
    }

    /// Starts a request. An upstream that runs more requests than it has slots slows all of them down.
    fn start_run(&mut self, index: usize) {
        let mean = RUN.as_secs_f64();
        // Half of the mean run time is fixed, the other half exponentially distributed.
        let unloaded_time = mean / 2.0 + self.sample_exponential(mean / 2.0);
        let request = &mut self.requests[index];
        request.run_started_at = self.now;
        let upstream = &mut self.upstreams[request.endpoint];
        upstream.running += 1;
        self.report.running_most = self.report.running_most.max(upstream.running);
        let overload = f64::from(upstream.running) / f64::from(self.scenario.slots_true);
        let run = unloaded_time * upstream.slow_factor * overload.max(1.0);
        self.schedule(Duration::from_secs_f64(run), Event::Finish(index));
    }

    fn finish_run(&mut self, index: usize) {
        let request = &self.requests[index];
        let (endpoint, run_time) = (request.endpoint, self.now.since(request.run_started_at));
        let upstream = &mut self.upstreams[endpoint];
        upstream.running -= 1;
        let one_way = upstream.one_way;
        if self.scenario.limit.is_some() {
            let actions = upstream.queue.finish(self.now, Some(run_time));
            self.requests[index].load = Some(upstream.queue.load());
            self.apply_actions(actions);
        }
        self.schedule(one_way, Event::Answer(index, AttemptResult::Completed));
    }

    fn handle_answer(&mut self, index: usize, result: AttemptResult) {
        let request = &mut self.requests[index];
        let load = request.load.take();
        let Some(choice) = request.choice.take() else {
            return;
        };
        let latency = self.now.since(request.arrived_at);
        let node = &mut self.nodes[request.node];
        let kind = match result {
            AttemptResult::Completed if latency <= TIMEOUT => outcome::Kind::Success,
            AttemptResult::Completed => outcome::Kind::Late,
            AttemptResult::NotRun(Reason::Dial) => outcome::Kind::Unreachable,
            AttemptResult::NotRun(_) => outcome::Kind::Refused,
        };
        node.finish(self.now, &choice, kind, load);
        match result {
            AttemptResult::Completed if latency <= TIMEOUT => {
                node.record_success(&self.service);
                self.report.good += 1;
                self.report.latency.push(latency.as_micros() as u64);
            }
            AttemptResult::Completed => {}
            AttemptResult::NotRun(reason) => self.retry(index, reason),
        }
    }

    fn retry(&mut self, index: usize, reason: Reason) {
        let request = &self.requests[index];
        let query = Query {
            avoid: &request.tried,
            id: &request.id,
            path: "/",
            service: &self.service,
        };
        let attempt = Attempt {
            attempts: request.tried.len() as u32,
            class: Class::OnceOnly,
            deadline: request.arrived_at + TIMEOUT,
            hop: 0,
            replayable: true,
        };
        let node = &mut self.nodes[request.node];
        match node.try_retry(self.now, query, Failure::NotRun(reason), attempt) {
            Ok(()) => self.send(index),
            Err(_) => self.record_refusal(index),
        }
    }

    fn record_refusal(&mut self, index: usize) {
        self.report.refused += 1;
        let latency = self.now.since(self.requests[index].arrived_at);
        self.report.refusal.push(latency.as_micros() as u64);
        let free = |upstream: &Upstream| upstream.running < self.scenario.slots_true;
        if self.scenario.fault != Fault::Down && self.upstreams.iter().any(free) {
            self.report.wrong += 1;
        }
    }

    /// Records each upstream's running requests as its reported load at every node, once a second.
    fn report_loads(&mut self) {
        if self.is_over() {
            return;
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let stuck = self.scenario.fault == Fault::Stuck && index == 0;
            let load = if stuck { 0 } else { upstream.running };
            for node in &mut self.nodes {
                node.record_reported_load(&host(index), load);
            }
        }
        self.schedule(REPORT_INTERVAL, Event::LoadReport);
    }

    fn tick(&mut self) {
        if self.is_over() {
            return;
        }
        let share = self.nodes[0].remote_share(&VERSION.parse().unwrap());
        self.report.link_share.push(share);
        for index in 0..self.upstreams.len() {
            let actions = self.upstreams[index].queue.tick(self.now);
            self.apply_actions(actions);
        }
        self.schedule(TICK, Event::Tick);
    }
}

fn host(index: usize) -> Host {
    format!("h{index}").parse().unwrap()
}

fn new_upstreams(scenario: &Scenario, service: &Service) -> (Vec<Upstream>, Vec<Record>) {
    let mut upstreams = Vec::new();
    let mut records = Vec::new();
    for place in &scenario.places {
        for _ in 0..place.endpoints {
            let first = upstreams.is_empty();
            records.push(record(upstreams.len(), place, scenario.slots, service));
            let mut queue = Queue::new(scenario.limit.unwrap_or_default());
            queue.set_limits(scenario.slots, &Limits::default());
            upstreams.push(Upstream {
                queue,
                one_way: place.one_way,
                running: 0,
                slow_factor: if first && scenario.fault == Fault::Slow {
                    SLOW_FACTOR
                } else {
                    1.0
                },
            });
        }
    }
    (upstreams, records)
}

fn record(index: usize, place: &Place, slots: u32, service: &Service) -> Record {
    let address = "127.0.0.1:1".parse().unwrap();
    Record {
        contact: Contact {
            address,
            domain: place.domain.parse().unwrap(),
            host: host(index),
            region: place.region.parse().unwrap(),
        },
        incarnation: Moment(1),
        offer: Some(Offer {
            address,
            connections_max: 120,
            service: service.clone(),
            slots,
            version: VERSION.parse().unwrap(),
        }),
        sequence: 1,
        state: State::Ready,
    }
}

fn snapshot(service: &Service) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let version = Spec::Version(VersionSpec {
        service: service.clone(),
    });
    let route = Spec::Route(resource::Route {
        path: "/".into(),
        service: service.clone(),
        shares: BTreeMap::from([(VERSION.parse().unwrap(), Permille::WHOLE)]),
    });
    for (kind, name, spec) in [
        (Kind::Version, VERSION, version),
        (Kind::Route, "route", route),
    ] {
        let name = name.parse().unwrap();
        snapshot.apply_change(Revision(1), &Change::Put(Key { kind, name }, spec));
    }
    snapshot
}

//! Fakes of a service's endpoints and of the nodes that send to them, in virtual time. Every decision
//! is made by the library's state machines; the fakes only take time, fail and count.

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
        wire::Failure,
        world::{Host, Moment, Permille, Revision, Service},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// The mean time of a run.
pub const RUN: Duration = Duration::from_millis(20);
/// How long a caller waits.
pub const TIMEOUT: Duration = Duration::from_secs(1);
/// The bytes of a request and its answer.
const BYTES: u64 = 4_000;
/// The least one-way latency of the slow link.
const LINK: Duration = Duration::from_millis(12);
const NODES: usize = 8;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(5);
const SLOWER: f64 = 6.0;
const VERSION: &str = "v1";

/// Where a failure domain is, seen from the callers'.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub domain: &'static str,
    pub endpoints: usize,
    pub one_way: Duration,
    pub region: &'static str,
}

/// What is wrong with the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Every endpoint refuses connections.
    Down,
    /// Nothing.
    None,
    /// The first endpoint is slower than its peers.
    Slow,
    /// The first endpoint's reported load is stuck at zero.
    Stuck,
}

/// One run of the fakes.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub budget: bool,
    pub fault: Fault,
    /// Nothing if whatever arrives runs.
    pub limit: Option<Limit>,
    /// The offered load as a multiple of the capacity, by second.
    pub load: Vec<f64>,
    pub places: Vec<Place>,
    pub policy: Policy,
    pub slots: u32,
    /// The slots that upstreams really have, if they announce too many.
    pub slots_true: u32,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Report {
    pub attempts: u64,
    pub capacity: f64,
    pub good: u64,
    pub latency: Vec<u64>,
    pub link_bytes: u64,
    /// The share that crossed the link, by tenth of a second, at one node.
    pub link_share: Vec<f64>,
    pub refused: u64,
    pub refusal: Vec<u64>,
    pub requests: u64,
    pub running_most: u32,
    /// Refused although an endpoint had a free slot.
    pub wrong: u64,
}

impl Report {
    /// A percentile of the latency of whole answers, in milliseconds.
    pub fn percentile(&self, part: f64) -> f64 {
        percentile(&self.latency, part)
    }

    /// A percentile of the time until a refusal, in milliseconds.
    pub fn refusal_percentile(&self, part: f64) -> f64 {
        percentile(&self.refusal, part)
    }

    pub fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.requests)
    }

    /// The good answers as a part of what the slots can run.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.capacity
    }

    /// The good answers as a part of the requests.
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
    Answer(usize, Ending),
    Arrive,
    Finish(usize),
    Reach(usize),
    Report,
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Done,
    NotRun(Reason),
}

struct Upstream {
    queue: Queue,
    one_way: Duration,
    running: u32,
    slower: f64,
}

struct Request {
    begun: Moment,
    choice: Option<Choice>,
    endpoint: usize,
    id: String,
    load: Option<Load>,
    node: usize,
    started: Moment,
    tried: Vec<Host>,
}

/// A service's endpoints and the nodes that send to them.
pub struct Mesh {
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    nodes: Vec<Router>,
    now: Moment,
    order: u64,
    report: Report,
    requests: Vec<Request>,
    rng: StdRng,
    scenario: Scenario,
    service: Service,
    upstreams: Vec<Upstream>,
}

impl Mesh {
    /// Runs a scenario.
    pub fn run(scenario: &Scenario) -> Report {
        let mut mesh = Self::new(scenario.clone());
        mesh.at(Duration::ZERO, Event::Arrive);
        mesh.at(TICK, Event::Tick);
        mesh.at(Duration::ZERO, Event::Report);
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
        let (upstreams, records) = endpoints(&scenario, &service);
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
            order: 0,
            report: Report::default(),
            requests: Vec::new(),
            rng: StdRng::seed_from_u64(11),
            scenario,
            service,
            upstreams,
        };
        let seconds = mesh.scenario.load.len() as f64;
        mesh.report.capacity = mesh.rate() * seconds;
        mesh
    }

    /// The runs a second that the slots allow.
    fn rate(&self) -> f64 {
        let slots = self.scenario.slots_true * self.upstreams.len() as u32;
        f64::from(slots) / RUN.as_secs_f64()
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after, self.order, event)));
    }

    fn second(&self) -> usize {
        self.now.since(Moment(1_000_000)).as_secs() as usize
    }

    fn ended(&self) -> bool {
        self.second() >= self.scenario.load.len()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answer(request, ending) => self.answer(request, ending),
            Event::Arrive => self.arrive(),
            Event::Finish(request) => self.finish(request),
            Event::Reach(request) => self.reach(request),
            Event::Report => self.reported(),
            Event::Tick => self.tick(),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        if self.ended() {
            return;
        }
        let rate = self.rate() * self.scenario.load[self.second()];
        let pause = self.exponential(1.0 / rate);
        self.at(Duration::from_secs_f64(pause), Event::Arrive);
        let index = self.requests.len();
        self.report.requests += 1;
        self.requests.push(Request {
            begun: self.now,
            choice: None,
            endpoint: 0,
            id: index.to_string(),
            load: None,
            node: self.rng.random_range(0..NODES),
            started: self.now,
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
            return self.refused(index);
        };
        self.report.attempts += 1;
        request.endpoint = choice.host.as_str()[1..].parse().unwrap();
        request.tried.push(choice.host.clone());
        request.choice = Some(choice);
        let one_way = self.upstreams[request.endpoint].one_way;
        if one_way >= LINK {
            self.report.link_bytes += BYTES;
        }
        if self.scenario.fault == Fault::Down {
            let ending = Ending::NotRun(Reason::Dial);
            return self.at(one_way * 2, Event::Answer(index, ending));
        }
        self.at(one_way, Event::Reach(index));
    }

    fn reach(&mut self, index: usize) {
        let request = &self.requests[index];
        let upstream = &mut self.upstreams[request.endpoint];
        if self.scenario.limit.is_none() {
            return self.start(index);
        }
        let deadline = request.begun + TIMEOUT;
        let actions = upstream
            .queue
            .arrive(self.now, Ticket(index as u64), deadline);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => self.start(ticket.0 as usize),
                Action::Refuse(ticket, reason) => {
                    let index = ticket.0 as usize;
                    let endpoint = self.requests[index].endpoint;
                    let upstream = &self.upstreams[endpoint];
                    self.requests[index].load = Some(upstream.queue.load());
                    let one_way = upstream.one_way;
                    self.at(one_way, Event::Answer(index, Ending::NotRun(reason)));
                }
            }
        }
    }

    /// An upstream with more work than slots slows all of it down.
    fn start(&mut self, index: usize) {
        let mean = RUN.as_secs_f64();
        // Half of the time is the same for all requests.
        let drawn = mean / 2.0 + self.exponential(mean / 2.0);
        let request = &mut self.requests[index];
        request.started = self.now;
        let upstream = &mut self.upstreams[request.endpoint];
        upstream.running += 1;
        self.report.running_most = self.report.running_most.max(upstream.running);
        let crowded = f64::from(upstream.running) / f64::from(self.scenario.slots_true);
        let run = drawn * upstream.slower * crowded.max(1.0);
        self.at(Duration::from_secs_f64(run), Event::Finish(index));
    }

    fn finish(&mut self, index: usize) {
        let request = &self.requests[index];
        let (endpoint, run_time) = (request.endpoint, self.now.since(request.started));
        let upstream = &mut self.upstreams[endpoint];
        upstream.running -= 1;
        let one_way = upstream.one_way;
        if self.scenario.limit.is_some() {
            let actions = upstream.queue.finish(self.now, Some(run_time));
            self.requests[index].load = Some(upstream.queue.load());
            self.act(actions);
        }
        self.at(one_way, Event::Answer(index, Ending::Done));
    }

    fn answer(&mut self, index: usize, ending: Ending) {
        let request = &mut self.requests[index];
        let load = request.load.take();
        let Some(choice) = request.choice.take() else {
            return;
        };
        let took = self.now.since(request.begun);
        let node = &mut self.nodes[request.node];
        let kind = match ending {
            Ending::Done if took <= TIMEOUT => outcome::Kind::Success,
            Ending::Done => outcome::Kind::Late,
            Ending::NotRun(Reason::Dial) => outcome::Kind::Unreachable,
            Ending::NotRun(_) => outcome::Kind::Refused,
        };
        node.finish(self.now, &choice, kind, load);
        match ending {
            Ending::Done if took <= TIMEOUT => {
                node.record_success(&self.service);
                self.report.good += 1;
                self.report.latency.push(took.as_micros() as u64);
            }
            Ending::Done => {}
            Ending::NotRun(reason) => self.again(index, reason),
        }
    }

    fn again(&mut self, index: usize, reason: Reason) {
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
            deadline: request.begun + TIMEOUT,
            hop: 0,
            replayable: true,
        };
        let node = &mut self.nodes[request.node];
        match node.try_retry(self.now, query, Failure::NotRun(reason), attempt) {
            Ok(()) => self.send(index),
            Err(_) => self.refused(index),
        }
    }

    fn refused(&mut self, index: usize) {
        self.report.refused += 1;
        let took = self.now.since(self.requests[index].begun);
        self.report.refusal.push(took.as_micros() as u64);
        let free = |upstream: &Upstream| upstream.running < self.scenario.slots_true;
        if self.scenario.fault != Fault::Down && self.upstreams.iter().any(free) {
            self.report.wrong += 1;
        }
    }

    /// Upstreams report their load once a second.
    fn reported(&mut self) {
        if self.ended() {
            return;
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let stuck = self.scenario.fault == Fault::Stuck && index == 0;
            let load = if stuck { 0 } else { upstream.running };
            for node in &mut self.nodes {
                node.record_reported_load(&host(index), load);
            }
        }
        self.at(REPORT_INTERVAL, Event::Report);
    }

    fn tick(&mut self) {
        if self.ended() {
            return;
        }
        let share = self.nodes[0].remote_share(&VERSION.parse().unwrap());
        self.report.link_share.push(share);
        for index in 0..self.upstreams.len() {
            let actions = self.upstreams[index].queue.tick(self.now);
            self.act(actions);
        }
        self.at(TICK, Event::Tick);
    }
}

fn host(index: usize) -> Host {
    format!("h{index}").parse().unwrap()
}

fn endpoints(scenario: &Scenario, service: &Service) -> (Vec<Upstream>, Vec<Record>) {
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
                slower: if first && scenario.fault == Fault::Slow {
                    SLOWER
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

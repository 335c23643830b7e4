//! Simulation of the nodes of one region that run the limiter of one account, with faults of the network and of the
//! nodes.

use {
    mulberryshelf::{
        accounts::{
            borrower::{Answer, Permit, QUERY_TIMEOUT, QueryId, Verdict},
            lease::Lease,
            limiter::{Limiter, Step},
            quota::{Quota, Terms},
        },
        sidecar::document::AccountLimit,
        types::{AccountName, Host, Moment},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

pub fn host(index: usize) -> Host {
    format!("host-{index}").parse().unwrap()
}

pub fn account(number: usize) -> AccountName {
    format!("account-{number}").parse().unwrap()
}

/// Interval at which nodes send leases that are due, as the shell does.
const TICK_MS: u64 = 250;

#[derive(Debug, Clone)]
pub enum Fault {
    /// Messages from one node to another are lost.
    Cut(usize, usize),
    /// Messages between nodes of the set and others are lost.
    Partition(u32),
    /// Ends all faults of the network.
    Heal,
    /// A node restarts, after a time in milliseconds.
    Restart(usize, u64),
    /// A node does nothing for a time in milliseconds, and then handles what has arrived.
    Pause(usize, u64),
    /// Messages take up to this time in milliseconds.
    Delay(u64),
    /// This part of the messages is lost, in percent.
    Loss(u8),
}

/// Faults by their time in milliseconds, and the requests per second of the account over all nodes, which begin after a
/// time in milliseconds.
pub struct Schedule {
    pub faults: Vec<(u64, Fault)>,
    pub quiet_ms: u64,
    pub rate: f64,
}

/// The times at which requests have run and were refused.
#[derive(Default)]
pub struct Run {
    pub refused: Vec<Moment>,
    pub uses: Vec<Moment>,
}

#[derive(Debug)]
enum Message {
    Lease(Lease),
    Query(QueryId, u32),
    Answer(QueryId, Answer),
}

#[derive(Debug)]
enum Event {
    Fault(Fault),
    Message {
        from: usize,
        to: usize,
        start: u64,
        message: Message,
    },
    Request(usize),
    Tick(usize),
    Timeout(usize),
}

struct Node {
    awake_at: u64,
    limiter: Limiter,
    start: u64,
    /// The times at which requests began to wait for a permit.
    waiting: Vec<u64>,
}

pub struct Region {
    cut: BTreeSet<(usize, usize)>,
    delay_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    loss: u8,
    nodes: Vec<Node>,
    number: u64,
    rng: StdRng,
    run: Run,
}

impl Region {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut region = Self {
            cut: BTreeSet::new(),
            delay_ms: 2,
            events: BTreeMap::new(),
            loss: 0,
            nodes: (0..count).map(|index| start(index, count, 0)).collect(),
            number: 0,
            rng: StdRng::seed_from_u64(seed),
            run: Run::default(),
        };
        for index in 0..count {
            let at = region.rng.random_range(0..TICK_MS);
            region.push(at, Event::Tick(index));
        }
        region
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if self.cut.contains(&(from, to)) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let at = now + 1 + self.rng.random_range(0..=self.delay_ms);
        let start = self.nodes[to].start;
        self.push(
            at,
            Event::Message {
                from,
                to,
                start,
                message,
            },
        );
    }

    pub fn run(
        mut self,
        schedule: Schedule,
        until_ms: u64,
        limit: AccountLimit,
        terms: Terms,
    ) -> Run {
        let quota = Quota::new(limit, terms).unwrap();
        for (at, fault) in schedule.faults {
            self.push(at, Event::Fault(fault));
        }
        let mut at = Duration::from_millis(schedule.quiet_ms);
        while to_ms(at) < until_ms {
            let node = self.rng.random_range(0..self.nodes.len());
            self.push(to_ms(at), Event::Request(node));
            let gap = -self.rng.random::<f64>().max(1e-9).ln() / schedule.rate;
            at += Duration::from_secs_f64(gap);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until_ms {
                break;
            }
            self.handle(at, event, &quota);
        }
        self.run
    }

    fn handle(&mut self, now: u64, event: Event, quota: &Quota) {
        let node = match &event {
            Event::Fault(_) => None,
            Event::Message { to, .. } => Some(*to),
            Event::Request(node) | Event::Tick(node) | Event::Timeout(node) => Some(*node),
        };
        if let Some(awake_at) = node.map(|node| self.nodes[node].awake_at)
            && awake_at > now
        {
            self.push(awake_at, event);
            return;
        }
        let moment = at(now);
        match event {
            Event::Fault(fault) => self.begin(now, &fault),
            Event::Message {
                from,
                to,
                start,
                message,
            } if self.nodes[to].start == start => {
                self.receive(now, from, to, message, quota);
            }
            Event::Message { .. } => {}
            Event::Request(node) => {
                self.nodes[node].limiter.count(moment, &account(0));
                self.nodes[node].waiting.push(now);
                self.push(now + to_ms(QUERY_TIMEOUT), Event::Timeout(node));
                self.step(now, node, quota);
            }
            Event::Tick(node) => {
                for to in (0..self.nodes.len()).filter(|to| *to != node) {
                    if let Some(lease) = self.nodes[node].limiter.lease(moment, &host(to)) {
                        self.send(now, node, to, Message::Lease(lease));
                    }
                }
                self.nodes[node].limiter.prune(moment, quota.horizon);
                self.push(now + TICK_MS, Event::Tick(node));
            }
            Event::Timeout(node) => {
                let due = |began: &u64| began + to_ms(QUERY_TIMEOUT) <= now;
                while self.nodes[node].waiting.first().is_some_and(due) {
                    self.take_local(now, node, quota);
                }
            }
        }
    }

    fn receive(&mut self, now: u64, from: usize, to: usize, message: Message, quota: &Quota) {
        let moment = at(now);
        let limiter = &mut self.nodes[to].limiter;
        match message {
            Message::Lease(lease) => {
                limiter.receive_lease(moment, &host(from), lease, quota.horizon);
            }
            Message::Query(id, wanted) => {
                let answer = limiter.hand_out(moment, &account(0), quota, wanted);
                self.send(now, to, from, Message::Answer(id, answer));
            }
            Message::Answer(id, answer) => {
                if limiter.answer(moment, &account(0), id, answer) {
                    if answer == Answer::NotOwner {
                        while !self.nodes[to].waiting.is_empty() {
                            self.take_local(now, to, quota);
                        }
                    }
                    self.step(now, to, quota);
                }
            }
        }
    }

    fn step(&mut self, now: u64, node: usize, quota: &Quota) {
        while !self.nodes[node].waiting.is_empty() {
            let waiting = self.nodes[node].waiting.len();
            let step = self.nodes[node]
                .limiter
                .step(at(now), &account(0), quota, waiting);
            match step {
                Step::Done(Verdict::Granted(permit)) => self.use_or_return(now, node, permit),
                Step::Done(Verdict::Refused(_)) => {
                    self.nodes[node].waiting.remove(0);
                    self.run.refused.push(at(now));
                }
                Step::Done(Verdict::Wait) => return,
                Step::Ask(query) => {
                    let owner = (0..self.nodes.len()).find(|index| host(*index) == query.owner);
                    self.send(
                        now,
                        node,
                        owner.unwrap(),
                        Message::Query(query.id, query.wanted),
                    );
                    return;
                }
                Step::Local => self.take_local(now, node, quota),
            }
        }
    }

    /// Runs the first waiting request, or returns its permit as if all upstreams had declined it.
    fn use_or_return(&mut self, now: u64, node: usize, permit: Permit) {
        self.nodes[node].waiting.remove(0);
        if self.rng.random_range(0..20) == 0 {
            self.nodes[node]
                .limiter
                .give_back(at(now), &account(0), permit);
        } else {
            assert!(at(now) < permit.0);
            self.run.uses.push(at(now));
        }
    }

    fn take_local(&mut self, now: u64, node: usize, quota: &Quota) {
        self.nodes[node].waiting.remove(0);
        match self.nodes[node]
            .limiter
            .take_local(at(now), &account(0), quota)
        {
            Ok(()) => self.run.uses.push(at(now)),
            Err(_) => self.run.refused.push(at(now)),
        }
    }

    fn begin(&mut self, now: u64, fault: &Fault) {
        let count = self.nodes.len();
        match *fault {
            Fault::Cut(from, to) => {
                self.cut.insert((from, to));
            }
            Fault::Partition(set) => {
                let inside = |node: usize| set >> node & 1 == 1;
                let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
                self.cut
                    .extend(pairs.filter(|(from, to)| inside(*from) != inside(*to)));
            }
            Fault::Heal => (self.cut, self.delay_ms, self.loss) = (BTreeSet::new(), 2, 0),
            Fault::Restart(node, down) => {
                let waiting = self.nodes[node].waiting.len();
                self.run
                    .refused
                    .extend(std::iter::repeat_n(at(now), waiting));
                self.nodes[node] = start(node, count, now + down);
            }
            Fault::Pause(node, time) => {
                self.nodes[node].awake_at = self.nodes[node].awake_at.max(now + time);
            }
            Fault::Delay(ms) => self.delay_ms = ms,
            Fault::Loss(percent) => self.loss = percent,
        }
    }
}

fn start(index: usize, count: usize, now: u64) -> Node {
    let mut limiter = Limiter::new(host(index), at(now));
    limiter.set_known((0..count).map(host).collect());
    Node {
        awake_at: now,
        limiter,
        start: now,
        waiting: Vec::new(),
    }
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1000)
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

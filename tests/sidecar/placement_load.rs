//! Replays load on load balancers and queues, without a network: domains whose load swings, upstreams of different speed
//! and hosts that slow down for a while.

#![expect(clippy::cast_precision_loss)]

use {
    mulberryshelf::{
        sidecar::{
            load_balancer::{AttemptResult, Load, LoadBalancer, Location, Offer, Request},
            pace::Pace,
            queue::{Action, Demand, Queue},
            regions::Restriction,
        },
        traffic::{admission::Ticket, spill::Tier},
        types::{Host, Moment, Service},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, f64::consts::TAU, time::Duration},
};

const DOMAINS: usize = 4;
const NODES: usize = 40;
const UPSTREAMS: usize = 20;
const DURATION_MS: u64 = 15_000;
/// Run times of the upstreams of a domain, relative to the usual one.
const SLOWNESS: [f64; 5] = [0.5, 0.8, 1.0, 1.3, 1.6];
const SLOTS: u32 = 6;
const RUN_TIME_MS: f64 = 100.0;
const TARGET_MS: u64 = 400;
const DECLINES_MAX: usize = 3;

/// Load pattern, and what the upstreams report of it.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Mean load as a part of the capacity.
    load: f64,
    /// Part by which the load of each domain swings around the mean.
    swing: f64,
    /// Whether hosts run at a pace of up to 250 for 0.6 s, every 3 s on average.
    slow_periods: bool,
    /// 1 if upstreams differ in speed as stated by [`SLOWNESS`], 0 if they don't.
    speeds: f64,
    /// Whether upstreams report their pace. Without, the choice is the one before paces.
    reported: bool,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default)]
struct Report {
    in_time: u32,
    missed: u32,
    /// Runs by the speed of the upstream, the fastest first.
    runs: [u32; 5],
    /// Sum of the variance of the load between upstreams, sampled every 20 ms.
    variance: f64,
}

struct Upstream {
    pace: f64,
    queue: Queue,
    /// Remaining work of each run, in milliseconds at the usual pace and speed.
    running: BTreeMap<Ticket, f64>,
    slow_until: u64,
    slowness: f64,
}

#[derive(Default)]
struct Attempt {
    ingress: usize,
    started: u64,
    tried: Vec<Host>,
    upstream: usize,
    sent: u64,
}

/// Arrival of a request at its upstream, or of its outcome at the ingress: whether it ran, and the load.
type Event = (Ticket, Option<(bool, Load)>);

struct Replay {
    attempts: BTreeMap<Ticket, Attempt>,
    events: BTreeMap<(u64, u64), Event>,
    ingresses: Vec<LoadBalancer>,
    next: u64,
    report: Report,
    rng: StdRng,
    scenario: Scenario,
    service: Service,
    upstreams: Vec<Upstream>,
}

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn host(number: usize) -> Host {
    format!("h{number}").parse().unwrap()
}

/// Returns the position of an upstream in [`SLOWNESS`].
fn speed(upstream: usize) -> usize {
    upstream / DOMAINS % SLOWNESS.len()
}

fn tier(from: usize, to: usize) -> Tier {
    let (from, to) = (from % DOMAINS, to % DOMAINS);
    match (from == to, from % 2 == to % 2) {
        (true, _) => Tier::Own,
        (_, true) => Tier::Region,
        _ => Tier::Remote,
    }
}

/// Returns the time that a message takes, in milliseconds.
fn delay(attempt: &Attempt) -> u64 {
    [1, 4, 12][tier(attempt.ingress, attempt.upstream) as usize]
}

impl Replay {
    fn run(seed: u64, scenario: Scenario, report: &mut Report) {
        let service: Service = "desk".parse().unwrap();
        let offer = Offer {
            cold: Duration::ZERO,
            cold_rate: 0,
            service: service.clone(),
            slots: SLOTS,
            version: "v1".parse().unwrap(),
        };
        let region = "north".parse().unwrap();
        let ingresses = (0..NODES).map(|ingress| {
            let mut load_balancer = LoadBalancer::new(seed * 1000 + ingress as u64);
            for upstream in 0..UPSTREAMS {
                let location = Location {
                    region: &region,
                    tier: tier(ingress, upstream),
                };
                let offer = Some(offer.clone());
                load_balancer.update_offer(at(0), &host(upstream), location, offer);
            }
            load_balancer
        });
        let upstreams = (0..UPSTREAMS).map(|number| {
            let mut queue = Queue::default();
            queue.set_slots(SLOTS);
            Upstream {
                pace: 1.0,
                queue,
                running: BTreeMap::new(),
                slow_until: 0,
                slowness: SLOWNESS[speed(number)].powf(scenario.speeds),
            }
        });
        let mut replay = Self {
            attempts: BTreeMap::new(),
            events: BTreeMap::new(),
            ingresses: ingresses.collect(),
            next: 0,
            report: *report,
            rng: StdRng::seed_from_u64(seed),
            scenario,
            service,
            upstreams: upstreams.collect(),
        };
        for now in 0..DURATION_MS {
            replay.step(now);
        }
        *report = replay.report;
    }

    fn step(&mut self, now: u64) {
        self.arrive(now);
        self.work(now);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                (ticket, None) => self.receive(now, ticket),
                (ticket, Some((ran, load))) => self.end(now, ticket, ran, load),
            }
        }
        if now.is_multiple_of(20) {
            let upstreams = self.upstreams.iter();
            let loads: Vec<f64> = upstreams.map(|each| each.running.len() as f64).collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            let squares = loads.iter().map(|load| (load - mean).powi(2));
            self.report.variance += squares.sum::<f64>() / loads.len() as f64;
        }
    }

    fn arrive(&mut self, now: u64) {
        let scenario = self.scenario;
        let speeds = self.upstreams.iter().map(|each| 1.0 / each.slowness);
        let capacity = speeds.sum::<f64>() * f64::from(SLOTS) / RUN_TIME_MS;
        for domain in 0..DOMAINS {
            // The domains of a region start in opposite phases.
            let period_ms = [11_000.0, 12_500.0, 13_700.0, 15_000.0][domain];
            let phase = now as f64 / period_ms + [0.0, 0.25, 0.5, 0.75][domain];
            let rate = scenario.load * capacity / DOMAINS as f64
                * (1.0 + scenario.swing * (phase * TAU).sin());
            let mut due = rate;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let ingress = self.rng.random_range(0..NODES / DOMAINS) * DOMAINS + domain;
                let mut attempt = Attempt::default();
                (attempt.ingress, attempt.started) = (ingress, now);
                self.send(now, attempt);
            }
        }
    }

    fn work(&mut self, now: u64) {
        for number in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[number];
            if now >= upstream.slow_until {
                upstream.pace = 1.0;
                if self.scenario.slow_periods && self.rng.random_bool(1.0 / 3000.0) {
                    upstream.slow_until = now + 600;
                    upstream.pace = self.rng.random_range(1.5..2.5);
                }
            }
            let speed = 1.0 / (upstream.pace * upstream.slowness);
            for left_ms in upstream.running.values_mut() {
                *left_ms -= speed;
            }
            let running = &mut upstream.running;
            let ended = running.iter().filter(|(_, left_ms)| **left_ms <= 0.0);
            let ended: Vec<Ticket> = ended.map(|(ticket, _)| *ticket).collect();
            running.retain(|_, left_ms| *left_ms > 0.0);
            let load = format!("0,0,0,{:.0}", upstream.pace * 100.0);
            let queue = &mut upstream.queue;
            let mut actions = queue.tick(at(now));
            for &ticket in &ended {
                if self.scenario.reported {
                    queue.record_pace(at(now), Pace::parse(&load).unwrap());
                }
                actions.extend(queue.finish(at(now), ticket, 1, true));
            }
            for ticket in ended {
                self.answer(now, ticket, true);
            }
            self.apply(now, number, actions);
        }
    }

    fn apply(&mut self, now: u64, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => {
                    let random = -self.rng.random::<f64>().ln();
                    let work_ms = RUN_TIME_MS * (0.5 + 0.5 * random);
                    self.upstreams[number].running.insert(ticket, work_ms);
                }
                Action::Decline(ticket, ..) => self.answer(now, ticket, false),
            }
        }
    }

    /// Sends a request to the upstream that its ingress chooses.
    fn send(&mut self, now: u64, mut attempt: Attempt) {
        let request = Request {
            account: None,
            tried: &attempt.tried,
            priority: 1,
            regions: &Restriction::Unrestricted,
            service: &self.service,
            version_filter: None,
            worth_for: at(attempt.started + TARGET_MS).since(at(now)),
        };
        let choice = self.ingresses[attempt.ingress].choose(at(now), request);
        let Some(choice) = choice.ok().filter(|_| attempt.tried.len() < DECLINES_MAX) else {
            self.report.missed += 1;
            return;
        };
        let number: usize = choice.host.as_str()[1..].parse().unwrap();
        attempt.tried.push(choice.host);
        attempt.sent = now;
        attempt.upstream = number;
        let delay = delay(&attempt);
        self.next += 1;
        let ticket = Ticket(self.next);
        self.attempts.insert(ticket, attempt);
        self.events.insert((now + delay, self.next), (ticket, None));
    }

    fn receive(&mut self, now: u64, ticket: Ticket) {
        let attempt = &self.attempts[&ticket];
        let (number, left_from) = (attempt.upstream, attempt.sent);
        // The time that a request takes to its upstream is not known there.
        let demand = Demand {
            account: None,
            deadline: at(attempt.started + 3 * TARGET_MS + now - left_from),
            priority: 1,
            returned: false,
            route: 1,
            target: at(attempt.started + TARGET_MS + now - left_from),
        };
        let actions = self.upstreams[number].queue.arrive(at(now), ticket, demand);
        self.apply(now, number, actions);
    }

    fn answer(&mut self, now: u64, ticket: Ticket, ran: bool) {
        let attempt = &self.attempts[&ticket];
        let load = self.upstreams[attempt.upstream].queue.load(at(now));
        let delay = delay(attempt);
        self.next += 1;
        let outcome = Some((ran, load));
        self.events
            .insert((now + delay, self.next), (ticket, outcome));
    }

    fn end(&mut self, now: u64, ticket: Ticket, ran: bool, load: Load) {
        let attempt = self.attempts.remove(&ticket).unwrap();
        let ingress = &mut self.ingresses[attempt.ingress];
        let host = host(attempt.upstream);
        if ran {
            ingress.record_result(at(now), &host, AttemptResult::Answered, Some(load));
            let in_time = now <= attempt.started + TARGET_MS;
            self.report.in_time += u32::from(in_time);
            self.report.missed += u32::from(!in_time);
            self.report.runs[speed(attempt.upstream)] += 1;
            return;
        }
        ingress.record_result(at(now), &host, AttemptResult::Inconclusive, Some(load));
        ingress.record_decline(at(now), &host, (None, 1), load.run_time);
        self.send(now, attempt);
    }
}

/// Mixed load: one domain is full while its neighbour is idle, upstreams differ in speed, and hosts slow down.
const MIXED: Scenario = Scenario {
    load: 0.7,
    swing: 0.55,
    slow_periods: true,
    speeds: 1.0,
    reported: true,
};

/// Returns the sums over three seeds, first without reported paces, which gives the choice without them, then with.
fn compare(scenario: Scenario) -> [Report; 2] {
    [false, true].map(|reported| {
        let scenario = Scenario {
            reported,
            ..scenario
        };
        let mut sum = Report::default();
        for seed in 1..=3 {
            Replay::run(seed, scenario, &mut sum);
        }
        sum
    })
}

/// Guards against queues at full or slowed upstreams while others are idle: at least a tenth of the requests that are late
/// or refused without paces must be answered in time with them. The load must not swing more between upstreams.
#[test]
fn paces_bring_more_requests_in_time() {
    let swings = Scenario {
        slow_periods: false,
        speeds: 0.0,
        ..MIXED
    };
    let slow_periods = Scenario {
        swing: 0.0,
        speeds: 0.0,
        ..MIXED
    };
    for scenario in [MIXED, swings, slow_periods] {
        let [before, after] = compare(scenario);
        assert!(
            after.missed * 10 <= before.missed * 9,
            "{scenario:?}: {before:?} {after:?}"
        );
        assert!(
            after.variance <= before.variance * 1.05,
            "{scenario:?}: {before:?} {after:?}"
        );
    }
}

/// Guards against a choice that costs on-time answers while nothing is slow or full, and against one by count: an upstream
/// that takes three times as long must run less than half as many requests.
#[test]
fn steady_load_is_served_as_before_and_by_expected_time() {
    let steady = Scenario {
        swing: 0.0,
        slow_periods: false,
        ..MIXED
    };
    let [before, after] = compare(steady);
    let requests = after.in_time + after.missed;
    assert!(
        after.missed <= before.missed + requests / 1000,
        "{before:?} {after:?}"
    );
    assert!(after.runs[4] * 2 < after.runs[0], "{after:?}");
}

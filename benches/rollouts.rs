//! Compares rollout policies in virtual time with fixed seeds, using the library's state machines.
//! Exits with an error if a bound of docs/design/rollouts.md is missed. The argument `tune` selects
//! the scenarios and seeds that the policies may be tuned on, and skips the checks.

#[path = "../tests/rollout/cost.rs"]
mod cost;
#[allow(dead_code)]
#[path = "../tests/rollout/mesh.rs"]
mod mesh;
#[path = "../tests/rollout/scenario.rs"]
mod scenario;

use {
    mesh::{Figures, Mesh, Policy, Scenario, Setup},
    mulberryshelf::resource::Preference,
    std::{
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

const RATES: [u32; 4] = [1, 10, 100, 1000];
const THREADS: usize = 4;
const TUNING_SEED: u64 = 1000;
const REPORT_SEED: u64 = 77_000;

/// The policies compared. `Sequential` is the one in use, so it runs with both preferences.
const LANES: [(Policy, Preference); 5] = [
    (Policy::Timetable, Preference::Completion),
    (Policy::Threshold, Preference::Completion),
    (Policy::Conductor, Preference::Completion),
    (Policy::Sequential, Preference::Completion),
    (Policy::Sequential, Preference::Rollback),
];

/// The cost that a user assigns to each failure and to the bytes of evidence.
struct Weights {
    name: &'static str,
    bad_kept: f64,
    kilobyte: f64,
    late: f64,
}

const KALINAW: Weights = Weights {
    name: "Kalinaw",
    bad_kept: 1.0,
    kilobyte: 0.0,
    late: 3.0,
};

const TILLIDSBRO: Weights = Weights {
    name: "Tillidsbro",
    bad_kept: 3.0,
    kilobyte: 0.000_1,
    late: 1.0,
};

struct Run {
    setup: Setup,
    figures: Figures,
}

fn span(rate: u32) -> Duration {
    Duration::from_secs(if rate < 10 { 900 } else { 300 })
}

fn runs(policy: Policy, rate: u32) -> u64 {
    match (policy, rate < 1000) {
        (Policy::Sequential, true) => 3,
        (Policy::Sequential, false) | (_, true) => 2,
        (_, false) => 1,
    }
}

fn jobs(scenarios: &[Scenario], seed: u64) -> Vec<Setup> {
    let mut jobs = Vec::new();
    for scenario in scenarios {
        for (policy, preference) in LANES {
            for rate in RATES {
                jobs.extend((0..runs(policy, rate)).map(|run| Setup {
                    policy,
                    preference,
                    rate,
                    seed: seed + run,
                    span: span(rate),
                    scenario: scenario.clone(),
                    tail: Duration::from_secs(if rate < 1000 { 240 } else { 90 }),
                }));
            }
        }
    }
    jobs
}

fn run(jobs: &[Setup]) -> Vec<Run> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(setup) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let figures = Mesh::new(setup.clone()).run();
                    let setup = setup.clone();
                    results.lock().unwrap().push(Run { setup, figures });
                }
            });
        }
    });
    results.into_inner().unwrap()
}

/// The number of runs that have a property, out of a total.
#[derive(Clone, Copy)]
struct Part {
    of: u32,
    with: u32,
}

impl Part {
    fn of<'a>(runs: impl Iterator<Item = &'a Run>, holds: impl Fn(&Run) -> bool) -> Self {
        runs.fold(Self { of: 0, with: 0 }, |part, run| Self {
            of: part.of + 1,
            with: part.with + u32::from(holds(run)),
        })
    }

    fn share(self) -> f64 {
        f64::from(self.with) / f64::from(self.of.max(1))
    }
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.pad(&format!("{}/{}", self.with, self.of))
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn mean(values: Vec<f64>) -> f64 {
    let count = u32::try_from(values.len().max(1)).unwrap_or(u32::MAX);
    values.into_iter().sum::<f64>() / f64::from(count)
}

/// The aggregated figures of a set of runs.
struct Summary {
    back: Part,
    back_shown: Part,
    bytes: f64,
    false_back: Part,
    in_time: Part,
    requests: f64,
    seconds: f64,
    within_requests: Part,
    within_seconds: Part,
}

fn good(run: &Run) -> bool {
    run.setup.scenario.good
}

impl Summary {
    fn new(runs: &[&Run]) -> Self {
        let goods = || runs.iter().copied().filter(|run| good(run));
        let bads = || runs.iter().copied().filter(|run| !good(run));
        let shown = || bads().filter(|run| run.figures.detectable);
        let fast = || shown().filter(|run| run.setup.rate >= 100);
        let seconds = shown().map(|run| run.figures.rollback_s.unwrap_or(f64::INFINITY));
        let requests = bads().map(|run| f64::from(run.figures.bad_requests));
        let bytes = |run: &&Run| {
            let time = run.setup.span + run.setup.tail;
            f64::from(run.figures.bytes) / time.as_secs_f64()
        };
        Self {
            back: Part::of(bads(), |run| run.figures.rolled_back),
            back_shown: Part::of(shown(), |run| run.figures.rolled_back),
            bytes: mean(runs.iter().map(bytes).collect()),
            false_back: Part::of(goods(), |run| run.figures.rolled_back),
            in_time: Part::of(goods(), |run| run.figures.in_time),
            requests: median(requests.collect()),
            seconds: median(seconds.collect()),
            within_requests: Part::of(shown(), |run| {
                f64::from(run.figures.late_requests) <= run.figures.bound
            }),
            within_seconds: Part::of(fast(), |run| {
                let seconds = run.figures.rollback_s;
                seconds.is_some_and(|seconds| seconds <= 5.0 || run.figures.late_requests <= 50)
            }),
        }
    }

    fn cost(&self, weights: &Weights) -> f64 {
        weights.late * (1.0 - self.in_time.share())
            + weights.bad_kept * (1.0 - self.back.share())
            + weights.kilobyte * self.bytes
    }
}

fn header() {
    println!(
        "{:<32} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>7}",
        "", "in time", "false", "back", "b.shown", "req", "req<=", "secs", "secs<=5", "B/s"
    );
}

fn row(name: &str, summary: &Summary) {
    println!(
        "{name:<32} {:>8} {:>8} {:>8} {:>8} {:>9.0} {:>9} {:>8.2} {:>8} {:>7.1}",
        summary.in_time,
        summary.false_back,
        summary.back,
        summary.back_shown,
        summary.requests,
        summary.within_requests,
        summary.seconds,
        summary.within_seconds,
        summary.bytes,
    );
}

fn lane(runs: &[Run], lane: (Policy, Preference)) -> Vec<&Run> {
    let of = |run: &&Run| (run.setup.policy, run.setup.preference) == lane;
    runs.iter().filter(of).collect()
}

fn report(scenarios: &[Scenario], runs: &[Run]) {
    header();
    for (policy, preference) in LANES {
        let runs = lane(runs, (policy, preference));
        let summary = Summary::new(&runs);
        row(&format!("{policy:?} {preference:?}"), &summary);
    }
    for preference in [Preference::Completion, Preference::Rollback] {
        println!("\nSequential {preference:?}, by kind and by rate");
        let runs = lane(runs, (Policy::Sequential, preference));
        for scenario in scenarios {
            let of = |run: &&&Run| run.setup.scenario.name == scenario.name;
            let runs: Vec<&Run> = runs.iter().filter(of).copied().collect();
            row(scenario.name, &Summary::new(&runs));
        }
        for rate in RATES {
            let of = |run: &&&Run| run.setup.rate == rate;
            let runs: Vec<&Run> = runs.iter().filter(of).copied().collect();
            row(&format!("{rate}/s"), &Summary::new(&runs));
        }
    }
    println!("\ncost, by each user's weights (lower is better)");
    for (policy, preference) in LANES {
        let summary = Summary::new(&lane(runs, (policy, preference)));
        let [kalinaw, tillidsbro] = [KALINAW, TILLIDSBRO].map(|weights| {
            let name = weights.name;
            format!("{name} {:.3}", summary.cost(&weights))
        });
        println!("{policy:?} {preference:?}: {kalinaw}, {tillidsbro}");
    }
}

/// The list of checks that are known to fail, named in backquotes.
const KNOWN_RED: &str = include_str!("../KNOWN-RED.txt");

struct Checks {
    broken: usize,
}

impl Checks {
    fn check(&mut self, name: &str, value: f64, holds: bool) {
        let known = KNOWN_RED.contains(&format!("`{name}`"));
        let state = match (holds, known) {
            (true, _) => "ok",
            (false, true) => "KNOWN RED",
            (false, false) => "BROKEN",
        };
        println!("{state:<9} {name}: {value:.3}");
        self.broken += usize::from(!holds && !known);
    }

    fn at_least(&mut self, name: &str, value: f64, bound: f64) {
        self.check(&format!("{name} >= {bound}"), value, value >= bound);
    }

    fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.check(&format!("{name} <= {bound}"), value, value <= bound);
    }
}

fn check(scenarios: &[Scenario], runs: &[Run], checks: &mut Checks) {
    let completion = lane(runs, (Policy::Sequential, Preference::Completion));
    let rollback = lane(runs, (Policy::Sequential, Preference::Rollback));
    let [kalinaw, tillidsbro] = [&completion, &rollback].map(|runs| Summary::new(runs));
    let seen: Vec<&Run> = rollback
        .iter()
        .copied()
        .filter(|run| run.setup.rate >= 10)
        .collect();
    let seen = Summary::new(&seen);
    checks.at_least("completion: good in time", kalinaw.in_time.share(), 0.99);
    checks.at_most(
        "completion: false rollbacks",
        kalinaw.false_back.share(),
        0.01,
    );
    checks.at_least(
        "rollback: good in time from 10/s",
        seen.in_time.share(),
        0.95,
    );
    for scenario in scenarios.iter().filter(|scenario| !scenario.good) {
        let of = |run: &&&Run| run.setup.scenario.name == scenario.name;
        let both = completion.iter().chain(&rollback);
        let summary = Summary::new(&both.filter(of).copied().collect::<Vec<_>>());
        let named = |what: &str| format!("{}: {what}", scenario.name);
        checks.at_least(
            &named("shown, taken back"),
            summary.back_shown.share(),
            0.99,
        );
        checks.at_least(
            &named("requests within bound"),
            summary.within_requests.share(),
            0.95,
        );
        checks.at_least(
            &named("in 5 s or 50 requests"),
            summary.within_seconds.share(),
            0.95,
        );
    }
    for lane_ in LANES.into_iter().take(3) {
        let rival = Summary::new(&lane(runs, lane_));
        let better = kalinaw.cost(&KALINAW) < rival.cost(&KALINAW);
        checks.check(
            &format!("Kalinaw is better served than by {:?}", lane_.0),
            rival.cost(&KALINAW),
            better,
        );
        let better = tillidsbro.cost(&TILLIDSBRO) < rival.cost(&TILLIDSBRO);
        checks.check(
            &format!("Tillidsbro is better served than by {:?}", lane_.0),
            rival.cost(&TILLIDSBRO),
            better,
        );
    }
    let own = kalinaw.cost(&KALINAW) < tillidsbro.cost(&KALINAW);
    checks.check(
        "Kalinaw is best served by completion",
        kalinaw.cost(&KALINAW),
        own,
    );
    let own = tillidsbro.cost(&TILLIDSBRO) < kalinaw.cost(&TILLIDSBRO);
    checks.check(
        "Tillidsbro is best served by rollback",
        tillidsbro.cost(&TILLIDSBRO),
        own,
    );
}

fn main() {
    let tune = std::env::args().any(|argument| argument == "tune");
    let (scenarios, seed) = if tune {
        (scenario::tuning(), TUNING_SEED)
    } else {
        (scenario::held_back(), REPORT_SEED)
    };
    let runs = run(&jobs(&scenarios, seed));
    report(&scenarios, &runs);
    let cost = cost::measure();
    println!("\n{cost}");
    if tune {
        return;
    }
    let mut checks = Checks { broken: 0 };
    println!();
    check(&scenarios, &runs, &mut checks);
    checks.at_most("evidence of 100 rollouts, B/s a node", cost.node, 1000.0);
    checks.at_most(
        "evidence of 100 rollouts, B/s a region's link",
        cost.link,
        37_500.0,
    );
    if checks.broken > 0 {
        std::process::exit(1);
    }
}

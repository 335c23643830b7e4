//! Compares each policy of the request path with its alternatives, in virtual time with fixed seeds,
//! and exits with an error if a target of docs/design/requests.md is missed.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod mesh;

use {
    mesh::{Fault, Mesh, Place, Report, Scenario},
    mulberryshelf::{
        traffic::{
            admission::{Limit, Ticket},
            endpoint::Policy,
            quarantine::{Crash, Fingerprint, Quarantine},
            retry::{Attempt, Budget, Class},
        },
        types::Moment,
    },
    std::{process::ExitCode, time::Duration},
};

/// The bound that the mean number of attempts per request has to stay below.
const ATTEMPTS_PER_REQUEST_MAX: f64 = 1.2;
/// The least goodput under overload, and the least success rate of spilled requests.
const GOODPUT_MIN: f64 = 0.9;
/// The most upstreams that a request which crashes its upstream may take down.
const CRASHES_MAX: usize = 2;

struct Service {
    endpoints: usize,
    name: &'static str,
    one_way: Duration,
    slots: u32,
}

const SERVICES: [Service; 4] = [
    service("resident-desk", 7, 12, 500),
    service("dispatch-hub", 4, 12, 500),
    service("casedesk", 9, 6, 1400),
    service("verifier", 4, 6, 1400),
];

const fn service(name: &'static str, endpoints: usize, slots: u32, micros: u64) -> Service {
    Service {
        endpoints,
        name,
        one_way: Duration::from_micros(micros),
        slots,
    }
}

fn scenario(service: &Service, load: f64) -> Scenario {
    Scenario {
        budget: true,
        fault: Fault::None,
        limit: Some(Limit::Fixed),
        load: vec![load; 10],
        places: vec![Place {
            domain: "luzon-a",
            endpoints: service.endpoints,
            one_way: service.one_way,
            region: "luzon",
        }],
        policy: Policy::TwoChoices,
        slots: service.slots,
        slots_true: service.slots,
    }
}

/// The descriptions of the bounds that were not met.
#[derive(Default)]
struct Bounds(Vec<String>);

impl Bounds {
    fn check(&mut self, holds: bool, what: String) {
        if !holds {
            self.0.push(what);
        }
    }
}

fn print_header(title: &str) {
    println!("\n{title}");
    println!(
        "{:<14} {:<22} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7} {:>9}",
        "service",
        "policy",
        "goodput",
        "success",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "attempts",
        "wrong",
        "running",
        "refuse ms"
    );
}

fn print_row(service: &str, policy: &str, report: &Report) {
    println!(
        "{service:<14} {policy:<22} {:>8.3} {:>8.3} {:>8.1} {:>8.1} {:>8.1} {:>9.3} {:>7} {:>7} {:>9.1}",
        report.goodput(),
        report.success(),
        report.percentile(0.5),
        report.percentile(0.99),
        report.percentile(0.999),
        report.attempts_per_request(),
        report.wrong,
        report.running_most,
        report.refusal_percentile(0.99),
    );
}

fn compare_policies(bounds: &mut Bounds, title: &str, fault: Fault) {
    print_header(title);
    let policies = [
        ("two choices", Policy::TwoChoices),
        ("random", Policy::Random),
        ("round robin", Policy::RoundRobin),
        ("least reported load", Policy::LeastReported),
    ];
    for service in &SERVICES {
        let mut reports = Vec::new();
        for (name, policy) in policies {
            let report = Mesh::run(&Scenario {
                fault,
                policy,
                ..scenario(service, 0.7)
            });
            print_row(service.name, name, &report);
            reports.push((name, report));
        }
        let (_, two_choices) = &reports[0];
        for (name, rival) in &reports[1..] {
            let what = format!("{}: {title}: no worse than {name}", service.name);
            bounds.check(two_choices.success() >= rival.success() - 0.001, what);
        }
        let attempts = two_choices.attempts_per_request();
        let what = format!("{}: {title}: attempts {attempts:.3}", service.name);
        bounds.check(attempts < ATTEMPTS_PER_REQUEST_MAX, what);
    }
}

fn compare_limits(bounds: &mut Bounds, load: f64) {
    print_header(&format!(
        "Load of {load} times the capacity: how much is admitted"
    ));
    for service in &SERVICES {
        for (name, limit) in [
            ("fixed limit", Some(Limit::Fixed)),
            ("adaptive limit", Some(Limit::Adaptive)),
            ("no limit", None),
        ] {
            let report = Mesh::run(&Scenario {
                limit,
                ..scenario(service, load)
            });
            print_row(service.name, name, &report);
            if limit != Some(Limit::Fixed) {
                continue;
            }
            let goodput = report.goodput();
            let what = format!("{}: goodput {goodput:.3} at load {load}", service.name);
            bounds.check(goodput >= GOODPUT_MIN, what);
            let attempts = report.attempts_per_request();
            let what = format!("{}: attempts {attempts:.3} at load {load}", service.name);
            bounds.check(attempts < ATTEMPTS_PER_REQUEST_MAX, what);
            let most = report.running_most;
            let what = format!("{}: {most} run at a time", service.name);
            bounds.check(most <= service.slots, what);
        }
    }
}

fn overstate_slots() {
    print_header("Load of 2, upstreams announce twice their slots");
    for service in &SERVICES {
        for (name, limit) in [("fixed limit", Limit::Fixed), ("adaptive", Limit::Adaptive)] {
            let report = Mesh::run(&Scenario {
                limit: Some(limit),
                slots: service.slots * 2,
                ..scenario(service, 2.0)
            });
            print_row(service.name, name, &report);
        }
    }
}

fn compare_budgets(bounds: &mut Bounds) {
    print_header("The service is wholly down, then three times its capacity");
    for service in &SERVICES {
        for (name, budget) in [("budget", true), ("no budget", false)] {
            for (what, fault, load) in [("down", Fault::Down, 1.0), ("load of 3", Fault::None, 3.0)]
            {
                let report = Mesh::run(&Scenario {
                    budget,
                    fault,
                    ..scenario(service, load)
                });
                print_row(service.name, &format!("{name}, {what}"), &report);
                let attempts = report.attempts_per_request();
                let what = format!("{}: attempts {attempts:.3}, {what}", service.name);
                bounds.check(!budget || attempts < ATTEMPTS_PER_REQUEST_MAX, what);
            }
        }
    }
}

fn compare_retry_hops(bounds: &mut Bounds) {
    const DEPTH: u32 = 11;
    const REQUESTS: u64 = 2000;
    println!("\nAttempts at the last of {DEPTH} hops, which fails, for each request");
    for (name, has_budget, first_hop_only) in [
        ("first hop only, budget", true, true),
        ("first hop only, no budget", false, true),
        ("every hop, budget", true, false),
    ] {
        let budget = || {
            if has_budget {
                Budget::default()
            } else {
                Budget::unlimited()
            }
        };
        let mut budgets: Vec<Budget> = (0..DEPTH).map(|_| budget()).collect();
        let attempts: u64 = (0..REQUESTS)
            .map(|_| count_attempts(&mut budgets, 0, first_hop_only))
            .sum();
        let attempts = attempts as f64 / REQUESTS as f64;
        println!("{name:<28} {attempts:>8.3}");
        let bounded = has_budget && first_hop_only;
        let what = format!("chain: attempts {attempts:.3}");
        bounds.check(!bounded || attempts < ATTEMPTS_PER_REQUEST_MAX, what);
    }
}

/// Returns the attempts that reach the last hop for one request at `hop`.
fn count_attempts(budgets: &mut [Budget], hop: u32, first_hop_only: bool) -> u64 {
    let Some((budget, rest)) = budgets.split_first_mut() else {
        return 1;
    };
    let mut reached = 0;
    for attempts in 1.. {
        reached += count_attempts(rest, hop + 1, first_hop_only);
        let attempt = Attempt {
            attempts,
            class: Class::Idempotent,
            deadline: Moment(1_000_000),
            hop: if first_hop_only { hop } else { 0 },
            replayable: true,
        };
        if budget.try_withdraw(Moment(0), attempt).is_err() {
            break;
        }
    }
    reached
}

fn compare_spill(bounds: &mut Bounds) {
    println!("\nOwn domain of 4, another one in the region of 3, two across the link");
    println!(
        "{:<34} {:>8} {:>8} {:>8} {:>12} {:>8}",
        "load, as a part of the capacity", "success", "p50 ms", "p99 ms", "link MB", "turns"
    );
    let new_place = |domain, region, endpoints, micros| Place {
        domain,
        endpoints,
        one_way: Duration::from_micros(micros),
        region,
    };
    let places = vec![
        new_place("luzon-a", "luzon", 4, 100),
        new_place("luzon-b", "luzon", 3, 500),
        new_place("visayas-a", "visayas", 7, 12_000),
    ];
    let single_domain: Vec<Place> = places
        .iter()
        .map(|place| Place {
            domain: "luzon-a",
            region: "luzon",
            ..*place
        })
        .collect();
    for (name, load) in [
        ("low, 0.15", vec![0.15; 20]),
        ("own domain full, 0.35", vec![0.35; 20]),
        ("region full, 0.6", vec![0.6; 20]),
        (
            "0.2, then 0.6, then 0.2",
            [vec![0.2; 8], vec![0.6; 8], vec![0.2; 14]].concat(),
        ),
    ] {
        for (kind, places) in [("spill", &places), ("blind", &single_domain)] {
            let report = Mesh::run(&Scenario {
                load: load.clone(),
                places: places.clone(),
                ..scenario(&SERVICES[0], 0.0)
            });
            let reversals = count_reversals(&report.link_share);
            let case = format!("{name}, {kind}");
            println!(
                "{case:<34} {:>8.3} {:>8.1} {:>8.1} {:>12.2} {reversals:>8}",
                report.success(),
                report.percentile(0.5),
                report.percentile(0.99),
                report.link_bytes as f64 / 1e6,
            );
            if kind == "spill" {
                let success = report.success();
                bounds.check(
                    success >= GOODPUT_MIN,
                    format!("{case}: success {success:.3}"),
                );
                let low = load.iter().all(|load| *load < 0.4);
                let bytes = report.link_bytes;
                bounds.check(!low || bytes == 0, format!("{case}: {bytes} bytes crossed"));
            }
        }
    }
}

/// Returns how often the share sent over the link reversed direction by more than a tenth.
fn count_reversals(shares: &[f64]) -> usize {
    let (mut reversals, mut rising, mut extreme) = (0, true, 0.0_f64);
    for share in shares {
        if rising {
            extreme = extreme.max(*share);
        } else {
            extreme = extreme.min(*share);
        }
        if (share - extreme).abs() > 0.1 {
            reversals += 1;
            rising = !rising;
            extreme = *share;
        }
    }
    reversals
}

fn compare_quarantine(bounds: &mut Bounds) {
    println!("\nUpstreams of 14 that a request crashes which is sent 1000 times");
    for (name, enabled) in [("quarantine", true), ("no quarantine", false)] {
        let make = || {
            if enabled {
                Quarantine::default()
            } else {
                Quarantine::disabled()
            }
        };
        let mut nodes: Vec<Quarantine> = (0..14).map(|_| make()).collect();
        let mut dead = [false; 14];
        let request = Fingerprint(7);
        for sent in 0..1000_u64 {
            let Some(at) = (0..14)
                .map(|step| (sent as usize * 5 + step) % 14)
                .find(|at| !dead[*at])
            else {
                break;
            };
            let now = Moment(sent * 1_000_000);
            if nodes[at].check(now, request) {
                continue;
            }
            nodes[at].begin(Ticket(sent), request);
            let strikes = nodes[at].record_crash_during(now, Crash(sent), Ticket(sent));
            dead[at] = true;
            for node in &mut nodes {
                for strike in &strikes {
                    node.merge(now, strike.clone());
                }
            }
        }
        let crashed = dead.iter().filter(|dead| **dead).count();
        println!("{name:<28} {crashed:>8}");
        let what = format!("poison: {crashed} upstreams crashed");
        bounds.check(!enabled || crashed <= CRASHES_MAX, what);
    }
}

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    compare_policies(&mut bounds, "Load of 0.7, like endpoints", Fault::None);
    compare_policies(&mut bounds, "Load of 0.7, one slow endpoint", Fault::Slow);
    compare_policies(
        &mut bounds,
        "Load of 0.7, one report stuck at zero",
        Fault::Stuck,
    );
    compare_limits(&mut bounds, 2.0);
    overstate_slots();
    compare_budgets(&mut bounds);
    compare_retry_hops(&mut bounds);
    compare_spill(&mut bounds);
    compare_quarantine(&mut bounds);
    for broken in &bounds.0 {
        println!("BROKEN {broken}");
    }
    println!("\n{} bounds broken", bounds.0.len());
    ExitCode::from(u8::from(!bounds.0.is_empty()))
}

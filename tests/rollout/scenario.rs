//! Simulated versions, good and bad, and the faults injected during their rollouts. One set may be used
//! to tune the policies; the other is held back for the reported results.

use crate::mesh::{Case, Fault, Rates, Scenario};

const USUAL: Rates = Rates {
    crash: 0.0,
    fail: 0.002,
    late: 0.05,
};

fn usual(_: &Case) -> Rates {
    USUAL
}

fn failing(rate: f64) -> Rates {
    Rates {
        fail: rate,
        ..USUAL
    }
}

fn late(rate: f64) -> Rates {
    Rates {
        late: rate,
        ..USUAL
    }
}

fn good(name: &'static str, rates: fn(&Case) -> Rates, faults: Vec<Fault>) -> Scenario {
    Scenario {
        name,
        good: true,
        rates,
        faults,
    }
}

fn bad(name: &'static str, rates: fn(&Case) -> Rates) -> Scenario {
    Scenario {
        name,
        good: false,
        rates,
        faults: Vec::new(),
    }
}

/// Returns the scenarios on which policies may be tuned.
pub fn tuning() -> Vec<Scenario> {
    vec![
        good("plain", usual, vec![]),
        good(
            "noisy latencies",
            |case| late(0.05 + 0.35 * case.noise),
            vec![],
        ),
        good(
            "a bad new host",
            |case| {
                if case.candidate && case.host == 1 {
                    failing(0.3)
                } else {
                    USUAL
                }
            },
            vec![],
        ),
        bad("fails 1 in 5", |case| {
            if case.candidate { failing(0.2) } else { USUAL }
        }),
        bad(
            "slow",
            |case| if case.candidate { late(0.6) } else { USUAL },
        ),
        bad("fails later", |case| {
            if case.candidate && case.elapsed_fraction >= 0.5 {
                failing(0.3)
            } else {
                USUAL
            }
        }),
    ]
}

/// Returns the scenarios for the reported results, on which nothing may be tuned.
pub fn held_back() -> Vec<Scenario> {
    let mut all = held_back_good();
    all.extend(held_back_bad());
    all
}

fn held_back_good() -> Vec<Scenario> {
    vec![
        good("usual", usual, vec![]),
        good(
            "latencies swing by domain",
            |case| {
                late(if (case.host_domain % 2 == 0) == (case.noise > 0.5) {
                    0.4
                } else {
                    0.02
                })
            },
            vec![],
        ),
        good(
            "a dead new host",
            |case| {
                if case.candidate && case.host == 2 {
                    failing(1.0)
                } else {
                    USUAL
                }
            },
            vec![],
        ),
        good(
            "a slow new host",
            |case| {
                if case.candidate && case.host == 3 {
                    late(0.9)
                } else {
                    USUAL
                }
            },
            vec![],
        ),
        good(
            "poison request",
            usual,
            vec![Fault::Poison([0.1, 0.3, 0.5])],
        ),
        good(
            "overloaded domain",
            |case| {
                if case.host_domain == 1 && (0.2..0.5).contains(&case.elapsed_fraction) {
                    Rates {
                        fail: 0.1,
                        late: 0.5,
                        ..USUAL
                    }
                } else {
                    USUAL
                }
            },
            vec![],
        ),
        good(
            "slow link",
            |case| {
                if case.host_domain / 2 == case.caller_domain / 2 {
                    USUAL
                } else {
                    late(0.8)
                }
            },
            vec![Fault::NoHostInLastDomain],
        ),
        good("platform down", usual, vec![Fault::PlatformDown(-1.0, 1.2)]),
        good("regions cut", usual, vec![Fault::CutRegions(0.1, 1.1)]),
        good("domain cut", usual, vec![Fault::CutDomain(2, 0.0, 1.1)]),
        good("roots die in turn", usual, vec![Fault::RootsDie]),
    ]
}

fn held_back_bad() -> Vec<Scenario> {
    vec![
        bad("fails all", |case| {
            if case.candidate { failing(1.0) } else { USUAL }
        }),
        bad("fails 1 in 20", |case| {
            if case.candidate { failing(0.05) } else { USUAL }
        }),
        bad("slow later", |case| {
            if case.candidate && case.elapsed_fraction >= 0.4 {
                late(0.5)
            } else {
                USUAL
            }
        }),
        bad("fails under load", |case| {
            if case.candidate && case.share > 0.3 {
                failing(0.3)
            } else {
                USUAL
            }
        }),
        bad("crashes", |case| {
            if case.candidate {
                Rates {
                    crash: 0.1,
                    ..USUAL
                }
            } else {
                USUAL
            }
        }),
        bad("leaks", |case| {
            if case.candidate && case.elapsed_fraction >= 0.2 {
                failing(0.6 * (case.elapsed_fraction - 0.2).min(1.0))
            } else {
                USUAL
            }
        }),
        bad("fails in the soak", |case| {
            if case.candidate && case.elapsed_fraction >= 0.9 {
                failing(0.3)
            } else {
                USUAL
            }
        }),
    ]
}

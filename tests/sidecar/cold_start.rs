use {
    mulberryshelf::{
        sidecar::cold_start::{Gate, Limits},
        types::Moment,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const LIMITS: Limits = Limits {
    has_check: true,
    rate: 15,
    tolerance: 30,
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn gate(limits: Limits) -> Gate {
    let mut gate = Gate::default();
    gate.set_limits(Some(limits));
    gate
}

/// Starts as many requests as there is room for, up to `count`.
fn start(gate: &mut Gate, now: Moment, count: usize) -> usize {
    let started = (0..count).take_while(|_| {
        let has_room = gate.room(now) > 0;
        if has_room {
            gate.record_start(now);
        }
        has_room
    });
    started.count()
}

/// Guards against a burst at an upstream of which nothing is known: after the start of its node, a restart or a lost
/// connection.
#[test]
fn upstream_of_which_nothing_is_known_gets_the_rate_of_a_cold_one() {
    let mut gate = gate(LIMITS);
    assert_eq!(start(&mut gate, at(0), 100), 15);
    assert!(gate.is_check_due(at(1)));
    assert_eq!(gate.record_decline(at(400)), Duration::from_millis(700));
    assert_eq!(start(&mut gate, at(1099), 100), 0);
    assert_eq!(start(&mut gate, at(1100), 100), 15);
    gate.announce(at(2200), Duration::ZERO);
    assert!(start(&mut gate, at(2200), 100) > 15);
    gate.reset();
    assert_eq!(start(&mut gate, at(2500), 100), 0);
}

/// Guards against checks that cost an upstream more than they are worth.
#[test]
fn upstream_that_gets_no_more_than_a_cold_one_bears_is_not_checked() {
    let mut gate = gate(LIMITS);
    gate.announce(at(0), Duration::ZERO);
    for second in 0..5 {
        assert_eq!(start(&mut gate, at(second * 1100), 15), 15);
        assert!(!gate.is_check_due(at(second * 1100 + 1)));
    }
    // More than that are checked, five times per second at most.
    let mut checks = 0;
    for millis in 6000..9000 {
        start(&mut gate, at(millis), 1);
        if gate.is_check_due(at(millis)) {
            gate.begin_check(at(millis), 0);
            gate.end_check(at(millis), at(millis), Some(Duration::ZERO));
            checks += 1;
        }
    }
    assert!((10..=15).contains(&checks), "{checks}");
}

/// Guards against a late announcement of a warm upstream that takes back what a check has told.
#[test]
fn announcement_of_a_warm_upstream_does_not_end_a_known_warm_up() {
    let mut gate = gate(LIMITS);
    gate.announce(at(0), Duration::ZERO);
    gate.begin_check(at(100), 0);
    gate.end_check(at(105), at(100), Some(Duration::from_secs(3)));
    gate.announce(at(200), Duration::ZERO);
    let warm_up = gate.warm_up(at(300)).unwrap();
    assert_eq!((warm_up.left, warm_up.rate), (Duration::from_secs(3), 15));
    assert_eq!(start(&mut gate, at(1200), 100), 15);
    assert_eq!(gate.warm_up(at(3200)).unwrap().rate, 0);
}

#[test]
fn gate_without_limits_is_open_and_checks_nothing() {
    let mut gate = Gate::default();
    assert_eq!(start(&mut gate, at(0), 10_000), 10_000);
    assert!(!gate.is_check_due(at(1)));
    assert_eq!(gate.warm_up(at(1)), None);
}

/// A request that the gate has let start.
struct Sent {
    arrives: u64,
    ends: u64,
}

proptest! {
    /// Guards against more requests in any second than a cold upstream bears, with its tolerance, whenever it becomes cold
    /// without an announcement, and however long checks and requests are on their way.
    #[test]
    fn cold_upstream_never_gets_more_than_the_tolerance(
        seed: u64,
        cold_at in 1000_u64..3000,
        load in 0.003_f64..1.0,
        check_ms in 0_u64..400,
        delay_ms in 1_u64..20,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gate = gate(LIMITS);
        gate.announce(at(0), Duration::ZERO);
        let mut sent: Vec<Sent> = Vec::new();
        // Start, time of the answer at the upstream, and end of the check in progress.
        let mut check: Option<(u64, u64, u64)> = None;
        for now in 0..5000 {
            let arrivals = (0..3).filter(|_| rng.random_bool(load)).count();
            for _ in 0..arrivals {
                let running = sent.iter().filter(|sent| sent.ends > now).count();
                if running >= 8 {
                    break;
                }
                if gate.room(at(now)) == 0 {
                    gate.record_decline(at(now));
                    continue;
                }
                gate.record_start(at(now));
                let arrives = now + rng.random_range(0..delay_ms);
                let ends = arrives + rng.random_range(1..40);
                sent.push(Sent { arrives, ends });
            }
            if let Some((begun, answered, ends)) = check && ends == now {
                let left = if answered >= cold_at { Duration::from_secs(10) } else { Duration::ZERO };
                gate.end_check(at(now), at(begun), Some(left));
                check = None;
            }
            if check.is_none() && gate.is_check_due(at(now)) {
                let running = sent.iter().filter(|sent| sent.ends > now).count();
                gate.begin_check(at(now), running);
                let answered = now + rng.random_range(0..=check_ms);
                check = Some((now, answered, answered + rng.random_range(1..=check_ms + 1)));
            }
        }
        let mut cold: Vec<u64> = sent.iter().map(|sent| sent.arrives).collect();
        cold.retain(|arrives| *arrives >= cold_at);
        cold.sort_unstable();
        for first in &cold {
            let second = cold.iter().filter(|other| (*first..first + 1000).contains(*other));
            let count = second.count();
            prop_assert!(count <= 30, "{count} in the second after {first}");
        }
    }
}

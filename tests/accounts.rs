//! Tests of the limits of client accounts: the bound over all nodes on any schedule of faults, and what is admitted
//! without faults.

mod nodes;

use {
    mulberryshelf::{
        accounts::{
            borrower::{Answer, Borrower, Permit, QueryId, Verdict},
            lease::{HOLD, Lease, VALIDITY},
            limiter::Limiter,
            owner::{Ledger, Pool},
            quota::{Quota, Terms},
            rank::Rank,
            usage::{ACCOUNTS_MAX, Usage},
        },
        sidecar::document::{AccountLimit, Rate},
        types::{AccountName, Host, Moment},
    },
    nodes::{Fault, Region, Schedule, account, host},
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

const MS: Duration = Duration::from_millis(1);

fn limit(rate: f64, burst: u32) -> AccountLimit {
    AccountLimit {
        burst,
        rate: Rate::from_per_second(rate).unwrap(),
    }
}

fn terms(regions: u32) -> Terms {
    Terms {
        over: 0.1,
        regions,
        slack: 20.0,
        window: Duration::from_secs(5),
    }
}

/// Returns the highest number of uses within any window.
fn peak(uses: &[Moment], window: Duration) -> usize {
    let mut first = 0;
    let mut peak = 0;
    for (last, at) in uses.iter().enumerate() {
        while at.since(uses[first]) >= window {
            first += 1;
        }
        peak = peak.max(last + 1 - first);
    }
    peak
}

fn fault(nodes: usize) -> impl Strategy<Value = (u64, Fault)> {
    let node = 0..nodes;
    let fault = prop_oneof![
        3 => (node.clone(), node.clone()).prop_map(|(from, to)| Fault::Cut(from, to)),
        2 => (1..1_u32 << nodes).prop_map(Fault::Partition),
        2 => Just(Fault::Heal),
        2 => (node.clone(), 0..1500_u64).prop_map(|(node, down)| Fault::Restart(node, down)),
        2 => (node.clone(), 100..6000_u64).prop_map(|(node, time)| Fault::Pause(node, time)),
        2 => (0..4000_u64).prop_map(Fault::Delay),
        2 => (0..100_u8).prop_map(Fault::Loss),
    ];
    (0..30_000_u64, fault)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against permits that are handed out twice when nodes disagree about the owner, when an owner is replaced
    /// right after a burst, and when messages are late.
    #[test]
    fn limit_holds_on_any_schedule(
        seed: u64,
        regions in 1..3_u32,
        rate in 0.5..120.0_f64,
        burst in 0..60_u32,
        slack in 0.0..25.0_f64,
        demand in 0.5..12.0_f64,
        quiet_ms in prop_oneof![Just(0), 8_000..12_000_u64],
        faults in prop::collection::vec(fault(5), 0..14),
    ) {
        let (limit, terms) = (limit(rate, burst), Terms { slack, ..terms(regions) });
        let mut uses = Vec::new();
        for region in 0..regions {
            let schedule = Schedule { faults: faults.clone(), quiet_ms, rate: rate * demand / f64::from(regions) };
            uses.extend(Region::new(5, seed + u64::from(region)).run(schedule, 30_000, limit, terms).uses);
        }
        uses.sort_unstable();
        let whole = rate * 5.0 + f64::from(burst);
        let bound = whole * 1.1 + slack;
        let peak = u32::try_from(peak(&uses, terms.window)).unwrap();
        prop_assert!(f64::from(peak) <= bound, "{peak} in a window, {bound} allowed");
    }
}

/// Guards against owners that hand out their whole limit at once, and whose successors do not know that.
#[test]
fn burst_before_a_restart_counts() {
    for seed in 0..10 {
        let schedule = Schedule {
            faults: (0..5)
                .map(|node| (12_500, Fault::Restart(node, 0)))
                .collect(),
            quiet_ms: 12_000,
            rate: 2000.0,
        };
        let terms = Terms {
            slack: 0.0,
            ..terms(1)
        };
        let run = Region::new(5, seed).run(schedule, 30_000, limit(100.0, 0), terms);
        assert!(peak(&run.uses, terms.window) <= 550);
    }
}

/// Guards against refusals within the limit without faults: an account that sends its usual rate, and one that returns
/// from a change of its owner.
#[test]
fn usual_rate_is_admitted() {
    for seed in 0..10 {
        let schedule = Schedule {
            faults: vec![(20_000, Fault::Restart(3, 300))],
            quiet_ms: 0,
            rate: 25.0,
        };
        let run = Region::new(9, seed).run(schedule, 60_000, limit(40.0, 10), terms(1));
        // Until then, nodes do not know what earlier processes have done.
        let started = |at: &&Moment| at.since(Moment(0)) > HOLD + 1500 * MS;
        let late = run.refused.iter().filter(started).count();
        let requests = run.uses.len() + run.refused.len();
        assert!(late * 50 < requests, "seed {seed}: {late} of {requests}");
        assert!(
            run.refused.len() < 150,
            "seed {seed}: {}",
            run.refused.len()
        );
    }
}

/// Guards against an account that reaches its limit but does not get all of it.
#[test]
fn hot_account_gets_its_limit() {
    let schedule = Schedule {
        faults: Vec::new(),
        quiet_ms: 0,
        rate: 200.0,
    };
    let run = Region::new(5, 7).run(schedule, 40_000, limit(40.0, 10), terms(1));
    let from = Moment(20_000_000);
    let late = run.uses.iter().filter(|at| **at >= from).count();
    assert!(late > 40 * 20 * 9 / 10, "{late} of 800");
}

/// Guards against a group of nodes that is cut off and gets no part of the limit.
#[test]
fn third_of_the_nodes_keeps_its_part_when_cut_off() {
    let schedule = Schedule {
        faults: vec![(10_000, Fault::Partition(0b111))],
        quiet_ms: 0,
        rate: 45.0,
    };
    let run = Region::new(9, 3).run(schedule, 110_000, limit(72.0, 10), terms(1));
    let refused = run
        .refused
        .iter()
        .filter(|at| at.since(Moment(0)) > Duration::from_secs(10));
    let (refused, requests) = (refused.count(), 45 * 100);
    assert!(refused * 20 < requests, "{refused} of {requests}");
}

/// Guards against nodes that go on refusing for a window although the owner has got the other nodes' leases.
#[test]
fn owner_without_leases_refuses_for_a_short_time() {
    let mut limiter = Limiter::new(host(0), Moment(0));
    limiter.set_known((0..9).map(host).collect());
    let quota = Quota::new(limit(10.0, 0), terms(1)).unwrap();
    // At its first call the node begins to hold its own part.
    let answers =
        [HOLD, HOLD + 100 * MS].map(|at| limiter.hand_out(Moment(0) + at, &account(0), &quota, 1));
    for answer in answers {
        assert!(
            matches!(answer, Answer::Full(after) if after <= 500 * MS),
            "{answer:?}"
        );
    }
}

/// Guards against leases that arrive late and are used after their sender has leased its part to another node.
#[test]
fn lease_counts_from_the_time_that_its_receiver_sent() {
    let mut limiter = Limiter::new(host(0), Moment(0));
    let sent = Moment(10_000_000);
    let lease = Lease {
        absent: Some(Vec::new()),
        echo: Some(sent),
        sent: Moment(77),
    };
    let horizon = terms(1).horizon();
    limiter.receive_lease(
        sent + VALIDITY.saturating_sub(100 * MS),
        &host(1),
        lease.clone(),
        horizon,
    );
    assert_eq!(limiter.held_leases(sent + VALIDITY.saturating_sub(MS)), 1);
    assert_eq!(limiter.held_leases(sent + VALIDITY), 0);
    limiter.receive_lease(sent + VALIDITY + 100 * MS, &host(1), lease, horizon);
    assert_eq!(limiter.held_leases(sent + VALIDITY + 100 * MS), 0);
}

/// Guards against permits that are used at the end of their validity, together with those of a whole new window.
#[test]
fn permit_counts_until_the_window_after_its_last_use() {
    let quota = Quota::new(limit(10.0, 0), terms(1)).unwrap();
    let pool = Pool::new(&quota, 1, [quota.horizon].into_iter());
    let mut ledger = Ledger::default();
    let start = Moment(60_000_000);
    let mut hand_out = |ms: u32| ledger.hand_out(start + ms * MS, &quota, &pool, 1000);
    let first = hand_out(0).unwrap();
    let rest: u32 = (1..56)
        .filter_map(|step| hand_out(step * 100 - 1).ok())
        .sum();
    // (10 x 5) + half of the tolerance of 25.
    assert_eq!(first + rest, 62);
    assert!(hand_out(5_499).is_err());
    assert!(hand_out(5_500).is_ok_and(|count| count <= first));
}

/// Guards against an owner that loses its own part while nobody asks it.
#[test]
fn idle_owner_keeps_its_own_part() {
    let mut limiter = Limiter::new(host(0), Moment(0));
    let quota = Quota::new(limit(10.0, 0), terms(1)).unwrap();
    for tick in 0..48 {
        limiter.prune(Moment(0) + tick * 250 * MS, quota.horizon);
    }
    let answer = limiter.hand_out(Moment(12_000_000), &account(0), &quota, 10);
    assert_eq!(answer, Answer::Granted(10));
}

#[test]
fn no_limit_without_a_rate() {
    assert_eq!(Quota::new(limit(0.0, 5), terms(2)), None);
}

/// Guards against accounts whose owner changes although it is still there, and against owners with most accounts.
#[test]
fn ownership_is_spread_and_moves_only_from_a_lost_node() {
    let hosts: Vec<Host> = (0..8).map(host).collect();
    let owner = |account: &AccountName, hosts: &[Host]| {
        hosts
            .iter()
            .max_by_key(|host| Rank::new(account, host))
            .cloned()
            .unwrap()
    };
    let mut counts = BTreeMap::new();
    for number in 0..800 {
        let account = account(number);
        let first = owner(&account, &hosts);
        let second = owner(&account, &hosts[1..]);
        assert!(first == second || first == hosts[0]);
        *counts.entry(first).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (60..150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a permit of a request that was refused elsewhere being lost, and against its use after its time.
#[test]
fn returned_permit_serves_another_request_while_it_is_valid() {
    let mut borrower = Borrower::default();
    let now = Moment(1_000_000);
    assert_eq!(borrower.take(now), Verdict::Wait);
    assert_eq!(borrower.ask(now, QueryId(1), 1), Some(1));
    assert_eq!(borrower.ask(now + 149 * MS, QueryId(2), 2), None);
    assert!(borrower.answer(now + 2 * MS, QueryId(1), Answer::Granted(1)));
    let permit = Permit(now + 500 * MS);
    assert_eq!(borrower.take(now + 2 * MS), Verdict::Granted(permit));
    borrower.give_back(now + 400 * MS, permit);
    assert_eq!(borrower.take(now + 499 * MS), Verdict::Granted(permit));
    borrower.give_back(now + 499 * MS, permit);
    assert_eq!(borrower.take(now + 500 * MS), Verdict::Wait);
}

/// Guards against queries for requests that the owner has already refused.
#[test]
fn refusal_holds_until_the_owner_expects_room() {
    let mut borrower = Borrower::default();
    let now = Moment(1_000_000);
    borrower.ask(now, QueryId(1), 1);
    assert!(!borrower.answer(now, QueryId(9), Answer::Granted(1)));
    assert!(borrower.answer(now, QueryId(1), Answer::Full(300 * MS)));
    assert_eq!(borrower.take(now + 100 * MS), Verdict::Refused(200 * MS));
    assert_eq!(borrower.take(now + 300 * MS), Verdict::Wait);
}

/// Guards against a number of time series that grows with the number of accounts.
#[test]
fn accounts_beyond_the_busiest_are_counted_together() {
    let mut usage = Usage::default();
    for number in 0..ACCOUNTS_MAX + 10 {
        for request in 0..=number {
            usage.record(&account(number), request > 0);
        }
    }
    let (top, rest) = usage.top();
    assert_eq!(top.len(), ACCOUNTS_MAX);
    assert_eq!(*top[0].0, account(ACCOUNTS_MAX + 9));
    assert_eq!((rest.admitted, rest.refused), (45, 10));
}

//! Tests of the fair shares of accounts in the queue of an upstream. Some replay loads beyond the capacity of one upstream.

use {
    mulberryshelf::{
        refusal::Reason,
        sidecar::{
            fair_share::{AccountId, FairShares, Waiter},
            queue::{Action, Demand, Queue},
        },
        traffic::admission::Ticket,
        types::{AccountName, Moment},
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const SLOTS: u32 = 6;
const DURATION_MS: u64 = 30_000;
const TARGET: Duration = Duration::from_millis(400);
/// Time for which callers wait, including their returns.
const PATIENCE: Duration = Duration::from_millis(2_500);

fn id(name: &str) -> AccountId {
    AccountId::from(&name.parse::<AccountName>().unwrap())
}

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn waiter(account: Option<AccountId>, arrived: u64, run_time: u64) -> Waiter {
    Waiter {
        account,
        arrived: at(arrived),
        is_late: false,
        priority: 1,
        returned: false,
        run_time: Duration::from_millis(run_time),
    }
}

/// Accounts that differ in the length of their requests, but not in their share, must get the same time.
#[test]
fn round_robin_counts_run_time_and_not_requests() {
    let mut shares = FairShares::default();
    let (long, short) = (Some(id("long")), Some(id("short")));
    let mut waiting = vec![waiter(long, 0, 130); 20];
    waiting.extend(vec![waiter(short, 1, 40); 65]);
    let mut used = BTreeMap::from([(long, 0), (short, 0)]);
    while waiting.iter().any(|waiter| waiter.account == long) {
        let started = waiting.remove(shares.next(at(2), 1, &waiting).unwrap());
        *used.get_mut(&started.account).unwrap() += started.run_time.as_millis();
        assert!(used[&long].abs_diff(used[&short]) <= 2 * 130, "{used:?}");
    }
}

/// The shares of one account must not depend on the number of requests that another one queues.
#[test]
fn account_under_its_share_goes_first_and_waits_only_for_what_runs_before_it() {
    let mut shares = FairShares::default();
    let (busy, quiet) = (Some(id("busy")), Some(id("quiet")));
    for _ in 0..10 {
        shares.record_start(at(0), &waiter(busy, 0, 100));
    }
    let mut waiting = vec![waiter(busy, 1, 100); 8];
    let arriving = waiter(quiet, 5, 100);
    let ahead = shares.ahead(at(5), 1, &waiting, &arriving);
    assert_eq!((ahead.work, ahead.share), (Duration::ZERO, 0.0));
    assert!(shares.displaced(at(5), 1, &waiting, &arriving).is_some());
    waiting.push(arriving);
    assert_eq!(shares.next(at(5), 1, &waiting), Some(8));
    let more = waiter(busy, 6, 100);
    let ahead = shares.ahead(at(6), 1, &waiting, &more);
    assert_eq!(ahead.work, Duration::from_millis(900));
    assert_eq!(shares.displaced(at(6), 1, &waiting, &more), None);
}

#[test]
fn returned_callers_go_first_within_their_account_and_priorities_before_accounts() {
    let mut shares = FairShares::default();
    let returned = Waiter {
        is_late: true,
        returned: true,
        ..waiter(Some(id("busy")), 3, 100)
    };
    let urgent = Waiter {
        priority: 0,
        ..waiter(Some(id("other")), 4, 100)
    };
    let waiting = [waiter(Some(id("busy")), 1, 100), returned, urgent];
    assert_eq!(shares.next(at(5), 1, &waiting), Some(2));
    assert_eq!(shares.next(at(5), 1, &waiting[..2]), Some(1));
}

/// A quiet account that arrives at a full queue was refused, although its request would have run next.
#[test]
fn request_of_a_quiet_account_takes_the_place_of_the_last_one_of_a_busy_account() {
    let mut queue = Queue::default();
    queue.set_slots(1);
    let demand = |account| Demand {
        account,
        deadline: at(20_000),
        priority: 1,
        returned: false,
        route: 1,
        target: at(10_000),
    };
    for ticket in 0..17 {
        queue.arrive(at(ticket), Ticket(ticket), demand(Some(id("busy"))));
        if ticket < 5 {
            // The share of an account follows from what it has run.
            queue.finish(at(ticket), Ticket(ticket), 2, false);
        }
    }
    for ticket in 17..30 {
        queue.arrive(at(ticket), Ticket(ticket), demand(Some(id("busy"))));
    }
    assert_eq!(queue.load(at(30)).queued, 16);
    let actions = queue.arrive(at(40), Ticket(90), demand(Some(id("quiet"))));
    assert!(
        matches!(
            actions[..],
            [Action::Decline(Ticket(20 | 21), Reason::Overloaded, _)]
        ),
        "{actions:?}"
    );
    let actions = queue.finish(at(41), Ticket(5), 1, true);
    assert_eq!(actions, [Action::Start(Ticket(90))]);
}

proptest! {
    /// In a document without accounts, the order and the expected wait must be those of before.
    #[test]
    fn requests_without_accounts_keep_their_order(
        waiting in prop::collection::vec((0..3_u32, any::<bool>(), any::<bool>(), 0..50_u64, 1..200_u64), 1..40),
        started in 0..40_u64,
    ) {
        let mut shares = FairShares::default();
        let waiting: Vec<Waiter> = waiting
            .into_iter()
            .map(|(priority, is_late, returned, arrived, run_time)| Waiter {
                is_late,
                priority,
                returned,
                ..waiter(None, arrived, run_time)
            })
            .collect();
        for _ in 0..started {
            shares.record_start(at(49), &waiting[0]);
        }
        let key = |waiter: &Waiter| (waiter.priority, waiter.is_late);
        let indexed = waiting.iter().enumerate();
        let first = indexed.min_by_key(|(_, waiter)| (key(waiter), waiter.arrived));
        prop_assert_eq!(shares.next(at(50), 2, &waiting), first.map(|(index, _)| index));
        for arriving in &waiting {
            let ahead = waiting.iter().filter(|waiter| key(waiter) <= key(arriving));
            let work: Duration = ahead.map(|waiter| waiter.run_time).sum();
            let expected = shares.ahead(at(50), 2, &waiting, arriving);
            prop_assert_eq!((expected.work, expected.share), (work, 0.0));
            prop_assert_eq!(shares.displaced(at(50), 2, &waiting, arriving), None);
        }
    }
}

/// Load of one account.
#[derive(Clone, Copy)]
struct Source {
    account: Option<AccountId>,
    /// Time at which it begins to send, in milliseconds.
    begins: u64,
    /// Load as a part of the capacity of the upstream.
    part: f64,
    /// Average run time of its requests, in milliseconds.
    run_time: f64,
}

/// What became of the requests of one account.
#[derive(Debug, Default, Clone, Copy)]
struct Report {
    arrived: u32,
    in_time: u32,
    returned: u32,
    returned_run: u32,
    run: u32,
    run_time_s: f64,
}

impl Report {
    fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived)
    }
}

struct Simulation<'a> {
    demands: BTreeMap<Ticket, (usize, Demand)>,
    ends: BTreeSet<(Moment, Ticket)>,
    queue: Queue,
    reports: Vec<Report>,
    returns: BTreeMap<(Moment, Ticket), (usize, Demand)>,
    rng: StdRng,
    sources: &'a [Source],
}

impl Simulation<'_> {
    fn arrive(&mut self, now: Moment, ticket: Ticket, source: usize, demand: Demand) {
        self.demands.insert(ticket, (source, demand));
        let actions = self.queue.arrive(now, ticket, demand);
        self.apply(now, actions);
    }

    /// Callers that are declined return once, after the time that they were told.
    fn apply(&mut self, now: Moment, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => {
                    let (source, demand) = self.demands[&ticket];
                    let run_time = -self.sources[source].run_time * self.rng.random::<f64>().ln();
                    let run_time = Duration::from_secs_f64(run_time / 1000.0);
                    let report = &mut self.reports[source];
                    report.run += 1;
                    report.returned_run += u32::from(demand.returned);
                    report.run_time_s += run_time.as_secs_f64();
                    self.ends.insert((now + run_time, ticket));
                }
                Action::Decline(ticket, _, after) => {
                    let (source, demand) = self.demands.remove(&ticket).unwrap();
                    if !demand.returned {
                        let returned = Demand {
                            returned: true,
                            ..demand
                        };
                        self.returns
                            .insert((now + after, ticket), (source, returned));
                    }
                }
            }
        }
    }

    fn advance(&mut self, now: Moment) {
        while let Some(&(ended, ticket)) = self.ends.first().filter(|(ended, _)| *ended <= now) {
            self.ends.remove(&(ended, ticket));
            let (source, demand) = self.demands.remove(&ticket).unwrap();
            self.reports[source].in_time += u32::from(ended <= demand.target);
            let actions = self.queue.finish(ended, ticket, demand.route, true);
            self.apply(ended, actions);
        }
        let actions = self.queue.tick(now);
        self.apply(now, actions);
        while let Some(entry) = self
            .returns
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let ((_, ticket), (source, demand)) = entry.remove_entry();
            self.reports[source].returned += 1;
            self.arrive(now, ticket, source, demand);
        }
    }
}

fn replay(seed: u64, sources: &[Source]) -> Vec<Report> {
    let mut queue = Queue::default();
    queue.set_slots(SLOTS);
    let mut simulation = Simulation {
        demands: BTreeMap::new(),
        ends: BTreeSet::new(),
        queue,
        reports: vec![Report::default(); sources.len()],
        returns: BTreeMap::new(),
        rng: StdRng::seed_from_u64(seed),
        sources,
    };
    let mut next_ticket = 0;
    for millis in 0..DURATION_MS {
        let now = at(millis);
        simulation.advance(now);
        for (index, source) in sources.iter().enumerate() {
            let per_ms = source.part * f64::from(SLOTS) / source.run_time;
            if millis < source.begins || !simulation.rng.random_bool(per_ms) {
                continue;
            }
            next_ticket += 1;
            simulation.reports[index].arrived += 1;
            let demand = Demand {
                account: source.account,
                deadline: now + PATIENCE,
                priority: 1,
                returned: false,
                route: index as u64,
                target: now + TARGET,
            };
            simulation.arrive(now, Ticket(next_ticket), index, demand);
        }
    }
    simulation.reports
}

/// Returns the same load as [`replay`] in a document without accounts, to show that it needs the fair shares.
fn replay_without_accounts(seed: u64, sources: &[Source]) -> Vec<Report> {
    let without = |source: &Source| Source {
        account: None,
        ..*source
    };
    replay(seed, &sources.iter().map(without).collect::<Vec<_>>())
}

/// An account that is hot but within its limit sends twice the capacity, and its callers return as they are told. The
/// requests of a quiet account were refused or late as often as those of the hot one.
#[test]
fn quiet_account_is_served_beside_a_hot_one() {
    let source = |name: &str, part| Source {
        account: Some(id(name)),
        begins: 0,
        part,
        run_time: 100.0,
    };
    for seed in 1..=5 {
        let sources = [source("hot", 2.0), source("quiet", 0.1)];
        let before = replay_without_accounts(seed, &sources);
        assert!(
            before[1].fraction_in_time() < 0.9,
            "seed {seed}: {before:?}"
        );
        let reports = replay(seed, &sources);
        let quiet = &reports[1];
        // A run of exponential length alone is later than its target for 1 in 50.
        assert!(quiet.fraction_in_time() >= 0.9, "seed {seed}: {reports:?}");
        assert!(
            quiet.returned * 50 <= quiet.arrived,
            "seed {seed}: {reports:?}"
        );
        let busy_s: f64 = reports.iter().map(|report| report.run_time_s).sum();
        let capacity_s = f64::from(SLOTS) * at(DURATION_MS).since(at(0)).as_secs_f64();
        assert!(busy_s >= 0.9 * capacity_s, "seed {seed}: {reports:?}");
    }
}

/// Uploads of one account take four times as long as the requests of the others, and begin in a burst. Counted by
/// requests, they would get four times the time of another account.
#[test]
fn burst_of_long_requests_takes_no_more_than_its_share() {
    let source = |name: &str, part, run_time, begins| Source {
        account: Some(id(name)),
        begins,
        part,
        run_time,
    };
    for seed in 1..=5 {
        let sources = [
            source("uploads", 2.0, 200.0, 10_000),
            source("reads", 2.0, 50.0, 0),
            source("quiet", 0.1, 50.0, 0),
        ];
        let before = replay_without_accounts(seed, &sources);
        assert!(
            before[2].fraction_in_time() < 0.9,
            "seed {seed}: {before:?}"
        );
        let reports = replay(seed, &sources);
        assert!(
            reports[2].fraction_in_time() >= 0.9,
            "seed {seed}: {reports:?}"
        );
        let capacity_s = f64::from(SLOTS) * 20.0;
        // Half of what the quiet account leaves, with a tenth for the learning of the run times.
        let uploads = reports[0].run_time_s / capacity_s;
        assert!(uploads <= 0.55, "seed {seed}: {uploads} {reports:?}");
    }
}

/// Callers that came back as told were refused again behind new requests of their own account.
#[test]
fn callers_that_return_as_told_are_served_before_new_ones_of_their_account() {
    let source = |name: &str| Source {
        account: Some(id(name)),
        begins: 0,
        part: 0.8,
        run_time: 100.0,
    };
    for seed in 1..=5 {
        let reports = replay(seed, &[source("first"), source("second")]);
        for report in reports {
            let new_run = f64::from(report.run - report.returned_run) / f64::from(report.arrived);
            let returned_run = f64::from(report.returned_run) / f64::from(report.returned);
            assert!(returned_run >= new_run, "seed {seed}: {report:?}");
            assert!(report.returned > 100, "seed {seed}: {report:?}");
        }
    }
}

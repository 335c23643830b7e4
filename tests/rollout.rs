//! Rollouts: good versions complete in time and bad ones are rolled back, also during partitions. The
//! mesh runs in virtual time with fixed seeds; the bounds are the targets of docs/design/rollouts.md.

use {
    crate::{
        mesh::{self, BEGIN, Case, Fault, Mesh, Policy, Rates, STEP, Scenario, Setup, key, name},
        scenario,
    },
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        resource::{Change, Kind, Preference, Rollout, Route, Spec},
        rollout::{
            Action, Controller, Event, Start,
            evidence::Count,
            message::Message,
            outcome::{Cause, End},
        },
        snapshot::Snapshot,
        source::Operation,
        traffic::{self, Ramp},
        types::{Moment, Name, Permille, Revision},
        validate::Fault as Refusal,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SPAN: Duration = Duration::from_secs(300);
const TAIL: Duration = Duration::from_secs(120);

fn setup(scenario: Scenario, rate: u32) -> Setup {
    Setup {
        policy: Policy::Sequential,
        preference: Preference::Completion,
        rate,
        seed: 7,
        span: SPAN,
        scenario,
        tail: TAIL,
    }
}

fn scenarios(good: bool) -> impl Iterator<Item = Scenario> {
    scenario::tuning()
        .into_iter()
        .chain(scenario::held_back())
        .filter(move |scenario| scenario.good == good)
}

/// Returns a bad version with these failure rates, and the faults that occur beside it.
fn bad(rates: fn(&Case) -> Rates, faults: Vec<Fault>) -> Scenario {
    Scenario {
        name: "bad",
        good: false,
        rates,
        faults,
    }
}

const HEALTHY: Rates = Rates {
    crash: 0.0,
    fail: 0.0,
    late: 0.0,
};

const FAILING: Rates = Rates {
    crash: 0.0,
    fail: 0.3,
    late: 0.0,
};

fn fails_later(case: &Case) -> Rates {
    if case.candidate && case.elapsed_fraction >= 0.4 {
        FAILING
    } else {
        HEALTHY
    }
}

#[test]
fn bad_versions_are_rolled_back_within_the_bound() {
    let weak = ["fails 1 in 20", "crashes", "leaks"];
    for scenario in scenarios(false).filter(|scenario| !weak.contains(&scenario.name)) {
        let kind = scenario.name;
        let figures = Mesh::new(setup(scenario, 100)).run();
        assert!(figures.rolled_back, "{kind}: {figures:?}");
        assert!(
            f64::from(figures.late_requests) <= figures.bound,
            "{kind}: {figures:?}"
        );
        assert_eq!(figures.outcome.unwrap().end, End::RolledBack, "{kind}");
    }
}

#[test]
fn weakly_bad_versions_are_rolled_back() {
    let weak = ["fails 1 in 20", "crashes", "leaks"];
    for scenario in scenarios(false).filter(|scenario| weak.contains(&scenario.name)) {
        let kind = scenario.name;
        let figures = Mesh::new(setup(scenario, 100)).run();
        assert!(figures.rolled_back, "{kind}: {figures:?}");
    }
}

#[test]
fn good_versions_complete_in_time_despite_unrelated_faults() {
    for scenario in scenarios(true) {
        for rate in [1, 50] {
            let kind = scenario.name;
            let figures = Mesh::new(setup(scenario.clone(), rate)).run();
            assert!(figures.in_time, "{kind} at {rate}/s: {figures:?}");
            let outcome = figures.outcome.unwrap();
            assert_eq!(outcome.end, End::Completed, "{kind} at {rate}/s");
        }
    }
}

#[test]
fn simpler_policies_keep_bad_versions_or_roll_back_good_ones() {
    let setup_for = |policy, index: usize| Setup {
        policy,
        ..setup(scenario::tuning().remove(index), 100)
    };
    let timetable = Mesh::new(setup_for(Policy::Timetable, 3)).run();
    assert!(
        !timetable.rolled_back,
        "without a judge a bad version is completed"
    );
    let threshold = Mesh::new(setup_for(Policy::Threshold, 1)).run();
    assert!(
        threshold.rolled_back,
        "without a comparison noise counts against a good version"
    );
}

#[test]
fn preference_decides_when_there_is_little_evidence() {
    let good = || scenario::tuning().remove(0);
    let short_setup = |preference| Setup {
        preference,
        span: SPAN / 2,
        ..setup(good(), 1)
    };
    let completed = Mesh::new(short_setup(Preference::Completion)).run();
    assert_eq!(completed.outcome.unwrap().end, End::Completed);
    let outcome = Mesh::new(short_setup(Preference::Rollback))
        .run()
        .outcome
        .unwrap();
    assert_eq!(outcome.end, End::RolledBack);
    assert_eq!(outcome.finding.unwrap().cause, Cause::TooLittleEvidence);
}

#[test]
fn veto_reaches_every_node_within_two_seconds_without_the_platform() {
    let scenario = bad(fails_later, vec![Fault::PlatformDown(-1.0, 0.9)]);
    let mut mesh = Mesh::new(setup(scenario, 100));
    mesh.run_until(0.4);
    assert_eq!(mesh.sender_count(), mesh.nodes.len());
    while mesh.sender_count() == mesh.nodes.len() {
        mesh.step();
    }
    let first_stopped = mesh.now;
    while mesh.sender_count() > 0 {
        mesh.step();
    }
    assert!(mesh.now.since(first_stopped) <= Duration::from_secs(2));
    assert_eq!(mesh.end(), None, "nothing can be recorded yet");
    mesh.run_until(1.0);
    assert_eq!(mesh.end(), Some(End::RolledBack));
}

#[test]
fn resumed_node_neither_advances_nor_completes_a_vetoed_rollout() {
    let scenario = bad(fails_later, vec![Fault::PlatformDown(-1.0, 1.2)]);
    let mut mesh = Mesh::new(setup(scenario, 100));
    mesh.run_until(0.3);
    let held = mesh.share(0);
    mesh.pause(0);
    mesh.run_until(1.1);
    assert!((1..mesh.nodes.len()).all(|node| mesh.share(node) == Permille(0)));
    mesh.resume(0);
    let resumed = mesh.now;
    while mesh.share(0) > Permille(0) {
        assert!(mesh.share(0) <= held, "advanced to {}", mesh.share(0));
        assert!(mesh.now.since(resumed) <= Duration::from_secs(2));
        mesh.step();
    }
    mesh.assign_positions();
    mesh.run_until(1.4);
    assert_eq!(mesh.end(), Some(End::RolledBack));
    let id = &mesh.accepted[0].id;
    assert!(
        mesh.accepted.len() == 1 && id.ends_with("rolled-back"),
        "{id}"
    );
}

#[test]
fn domains_with_different_verdicts_during_a_partition_agree_on_rollback() {
    let regional = |case: &Case| {
        if case.candidate && case.host_domain >= 2 {
            FAILING
        } else {
            HEALTHY
        }
    };
    let mut mesh = Mesh::new(setup(bad(regional, vec![Fault::CutRegions(0.0, 1.2)]), 100));
    mesh.run_until(1.19);
    assert_eq!(mesh.end(), Some(End::Completed), "luzon has seen no harm");
    assert_eq!(mesh.share(0), Permille::WHOLE);
    assert_eq!(mesh.share(11), Permille(0));
    let completed = mesh.table.revision;
    mesh.run_until(1.25);
    assert_eq!(mesh.sender_count(), 0);
    assert_eq!(mesh.end(), Some(End::RolledBack));
    assert!(
        mesh.table.revision > completed,
        "a rollback is a new revision"
    );
}

#[test]
fn outcome_records_time_cause_and_every_domain() {
    let mesh = Mesh::new(setup(bad(fails_later, vec![]), 100));
    let before = mesh.table.revision;
    let figures = mesh.run();
    let outcome = figures.outcome.unwrap();
    let finding = outcome.finding.unwrap();
    assert_eq!(finding.cause, Cause::Failures);
    assert_eq!(finding.route, name::<Name>("desk"));
    assert!(finding.candidate.failed > 0 && finding.candidate.done > finding.candidate.failed);
    assert_eq!(finding.baseline.failed, 0);
    assert!(finding.at > BEGIN + SPAN.mul_f64(0.4) && outcome.at >= finding.at);
    let domains: Vec<&str> = outcome
        .domains
        .iter()
        .map(|report| report.domain.as_str())
        .collect();
    assert_eq!(domains, mesh::DOMAINS);
    assert!(outcome.domains.iter().all(|report| report.reached));
    assert!(before < Revision(4));
}

fn record(host: &str, version: &str, slots: u32, state: State) -> Record {
    Record {
        contact: Contact {
            address: "127.0.0.1:1".parse().unwrap(),
            domain: name("luzon-a"),
            host: name(host),
            region: name("luzon"),
        },
        incarnation: BEGIN,
        offer: Some(Offer {
            address: "127.0.0.1:1".parse().unwrap(),
            connections_max: 120,
            service: name("desk"),
            slots,
            version: name(version),
        }),
        sequence: 1,
        state,
    }
}

fn count(host: &str, version: &str, route: &str, done: u32, failed: u32) -> Count {
    Count {
        busy: Duration::from_millis(100) * done,
        crashed: 0,
        done,
        failed,
        host: name(host),
        late: 0,
        route: name(route),
        version: name(version),
    }
}

/// A single node that the test drives directly, without a mesh.
struct SingleNode {
    controller: Controller,
    now: Moment,
    ramps: BTreeMap<Name, Ramp>,
    submitted: Vec<Operation>,
}

impl SingleNode {
    fn new(table: Snapshot, records: Vec<Record>) -> Self {
        let controller = Controller::new(Start {
            domain: name("luzon-a"),
            host: name("n0"),
            now: BEGIN,
            region: name("luzon"),
        });
        let mut node = Self {
            controller,
            now: BEGIN,
            ramps: BTreeMap::new(),
            submitted: Vec::new(),
        };
        node.drive(Event::Members(records));
        node.drive(Event::Installed(Arc::new(table)));
        node
    }

    fn drive(&mut self, event: Event) {
        for action in self.controller.handle(self.now, event) {
            match action {
                Action::Ramps(ramps) => self.ramps = ramps,
                Action::Submit(operation) => self.submitted.push(operation),
                Action::Send(..) => {}
            }
        }
    }

    fn step(&mut self, counts: Vec<Count>) {
        self.now = self.now + STEP;
        self.drive(Event::Counted(counts));
        self.drive(Event::Tick);
    }

    fn share(&self, rollout: &str) -> Permille {
        self.ramps[&name::<Name>(rollout)].share
    }
}

fn table(rollouts: &[(&str, Rollout)]) -> Snapshot {
    let mut table = Snapshot::default();
    mesh::accept(&mut table, BEGIN, mesh::base()).unwrap();
    for (title, rollout) in rollouts {
        let path = format!("/{}", rollout.route);
        let shares = [(rollout.from.clone(), Permille::WHOLE)].into();
        let service = name("desk");
        let route = Route {
            path,
            service,
            shares,
        };
        let route = Change::Put(key(Kind::Route, rollout.route.as_str()), Spec::Route(route));
        mesh::accept(&mut table, BEGIN, vec![route]).unwrap();
        mesh::accept(&mut table, BEGIN, vec![put(title, rollout.clone())]).unwrap();
    }
    table
}

fn put(title: &str, rollout: Rollout) -> Change {
    Change::Put(key(Kind::Rollout, title), Spec::Rollout(rollout))
}

fn rollout_on(route: &str) -> Rollout {
    Rollout {
        route: name(route),
        ..mesh::rollout(BEGIN + SPAN, Preference::Completion)
    }
}

fn hosts(slots: u32) -> Vec<Record> {
    vec![
        record("old-0", "desk-1", 120, State::Ready),
        record("old-1", "desk-1", 120, State::Ready),
        record("new-0", "desk-2", slots, State::Ready),
        record("new-1", "desk-2", slots, State::Ready),
    ]
}

#[test]
fn version_that_is_bad_on_one_route_is_rolled_back_only_there() {
    let table = table(&[
        ("first", rollout_on("one")),
        ("second", rollout_on("two")),
        ("third", rollout_on("three")),
    ]);
    let mut node = SingleNode::new(table, hosts(1200));
    for _ in 0..240 {
        let mut counts = Vec::new();
        for route in ["one", "two", "three"] {
            let failed = u32::from(route == "two");
            counts.push(count("old-0", "desk-1", route, 20, 0));
            counts.push(count("new-0", "desk-2", route, 2, failed));
            counts.push(count("new-1", "desk-2", route, 2, failed));
        }
        node.step(counts);
    }
    assert_eq!(node.share("second"), Permille(0));
    assert!(node.share("first") > Permille(0) && node.share("third") > Permille(0));
    let is_second =
        |operation: &Operation| operation.changes[0].0.key() == &key(Kind::Rollout, "second");
    assert!(node.submitted.iter().all(is_second));
    assert!(!node.submitted.is_empty());
}

#[test]
fn share_never_exceeds_the_capacity_of_the_new_version() {
    let mut node = SingleNode::new(table(&[("move", rollout_on("one"))]), hosts(4));
    for _ in 0..1160 {
        // 40 concurrent requests, of which 8 slots carry a fifth.
        node.step(vec![
            count("old-0", "desk-1", "one", 90, 0),
            count("new-0", "desk-2", "one", 5, 0),
            count("new-1", "desk-2", "one", 5, 0),
        ]);
        assert!(
            node.share("move") <= Permille(200),
            "{}",
            node.share("move")
        );
    }
    while node.submitted.is_empty() {
        node.step(vec![count("old-0", "desk-1", "one", 90, 0)]);
    }
    assert!(
        node.submitted[0].id.ends_with("rolled-back"),
        "the rollout could not complete in time"
    );
    assert_eq!(node.share("move"), Permille(0));
}

#[test]
fn old_version_regains_the_traffic_when_the_new_one_leaves() {
    let mut node = SingleNode::new(table(&[("move", rollout_on("one"))]), hosts(1200));
    for _ in 0..400 {
        node.step(vec![
            count("old-0", "desk-1", "one", 20, 0),
            count("new-0", "desk-2", "one", 20, 0),
        ]);
    }
    assert!(node.share("move") > Permille(100));
    let leaving = ["new-0", "new-1"].map(|host| record(host, "desk-2", 1200, State::Draining));
    node.drive(Event::Members(leaving.into()));
    node.step(vec![]);
    assert_eq!(node.share("move"), Permille(0));
}

#[test]
fn consecutive_failures_stop_a_node_before_any_verdict() {
    let mut node = SingleNode::new(table(&[("move", rollout_on("one"))]), hosts(1200));
    node.step(vec![count("old-0", "desk-1", "one", 5, 0)]);
    assert_eq!(node.share("move"), Permille(20));
    node.step(vec![
        count("new-0", "desk-2", "one", 3, 3),
        count("new-1", "desk-2", "one", 2, 2),
        count("old-0", "desk-1", "one", 5, 0),
    ]);
    assert_eq!(node.share("move"), Permille(0));
    assert!(node.submitted.is_empty());
}

#[test]
fn version_under_suspicion_at_closing_is_rolled_back() {
    let mut node = SingleNode::new(table(&[("move", rollout_on("one"))]), hosts(1200));
    let old = || count("old-0", "desk-1", "one", 20, 0);
    for _ in 0..4 {
        node.step(vec![old()]);
    }
    node.step(vec![
        old(),
        count("new-0", "desk-2", "one", 4, 2),
        count("new-1", "desk-2", "one", 3, 2),
    ]);
    while node.submitted.is_empty() {
        node.step(vec![old()]);
    }
    assert!(
        node.submitted[0].id.ends_with("rolled-back"),
        "{}",
        node.submitted[0].id
    );
    assert_eq!(node.share("move"), Permille(0));
}

#[test]
fn consecutive_failures_of_both_versions_stop_nothing() {
    let mut node = SingleNode::new(table(&[("move", rollout_on("one"))]), hosts(1200));
    node.step(vec![
        count("old-0", "desk-1", "one", 5, 5),
        count("new-0", "desk-2", "one", 3, 3),
        count("new-1", "desk-2", "one", 3, 3),
    ]);
    assert_eq!(node.share("move"), Permille(20));
}

#[test]
fn veto_that_arrives_before_its_rollout_takes_effect() {
    let table = table(&[("move", rollout_on("one"))]);
    let mut vetoed = SingleNode::new(table.clone(), hosts(1200));
    let mut veto = None;
    while veto.is_none() {
        vetoed.now = vetoed.now + STEP;
        let peers = mulberryshelf::rollout::Position {
            siblings: [name("n1")].into(),
            ..Default::default()
        };
        vetoed.drive(Event::Position(peers));
        let counts = vec![
            count("old-0", "desk-1", "one", 20, 0),
            count("new-0", "desk-2", "one", 2, 2),
            count("new-1", "desk-2", "one", 2, 2),
        ];
        vetoed.drive(Event::Counted(counts));
        let actions = vetoed.controller.handle(vetoed.now, Event::Tick);
        veto = actions.into_iter().find_map(|action| match action {
            Action::Send(_, message @ Message::Veto(..)) => Some(message),
            _ => None,
        });
    }
    let mut fresh = SingleNode::new(Snapshot::default(), hosts(1200));
    fresh.drive(Event::Received(name("n0"), veto.unwrap()));
    fresh.drive(Event::Installed(Arc::new(table)));
    assert_eq!(fresh.share("move"), Permille(0));
}

#[test]
fn growing_share_moves_requests_only_to_the_new_version() {
    let table = table(&[]);
    let ramps = |share| {
        let ramp = Ramp {
            from: name("desk-1"),
            route: name("desk"),
            share: Permille(share),
            to: name("desk-2"),
        };
        BTreeMap::from([(name::<Name>("move"), ramp)])
    };
    let shares: Vec<traffic::route::Index> = [0, 20, 50, 100, 300, 700, 1000]
        .into_iter()
        .map(|share| traffic::route::Index::new(&table, &ramps(share)))
        .collect();
    for request in 0..500 {
        let id = format!("key-{request}");
        let moved: Vec<bool> = shares
            .iter()
            .map(|index| {
                let route = index.find(&name("desk"), "/").unwrap();
                route.choose_version(&id).unwrap().as_str() == "desk-2"
            })
            .collect();
        assert!(moved.is_sorted(), "{id}: {moved:?}");
        assert!(!moved[0] && moved[6]);
    }
}

fn refusal(result: Result<(), Vec<Refusal>>) -> String {
    let faults: Vec<String> = result
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect();
    faults.join("; ")
}

#[test]
fn second_rollout_on_a_route_is_refused_and_names_the_first() {
    let mut table = table(&[("move", rollout_on("one"))]);
    let refused = refusal(mesh::accept(
        &mut table,
        BEGIN,
        vec![put("again", rollout_on("one"))],
    ));
    insta::assert_snapshot!(refused, @"rollout/again spec.route: is already moved by rollout/move");
}

#[test]
fn only_the_deadline_of_a_running_rollout_may_change() {
    let mut table = table(&[("move", rollout_on("one"))]);
    let later = Rollout {
        deadline: BEGIN + SPAN * 2,
        ..rollout_on("one")
    };
    let now = BEGIN + Duration::from_secs(9);
    mesh::accept(&mut table, now, vec![put("move", later.clone())]).unwrap();
    let Spec::Rollout(held) = &table.get(Kind::Rollout, &name("move")).unwrap().spec else {
        panic!("not a rollout");
    };
    assert_eq!((held.deadline, held.started), (BEGIN + SPAN * 2, BEGIN));
    let other = Rollout {
        to: name("desk-3"),
        ..later
    };
    let refused = refusal(mesh::accept(&mut table, now, vec![put("move", other)]));
    insta::assert_snapshot!(refused, @"rollout/move spec.to: is fixed once accepted; delete the rollout to begin another one");
}

#[test]
fn version_and_route_of_a_running_rollout_cannot_be_changed() {
    let mut table = table(&[("move", rollout_on("one"))]);
    let delete = |kind, text: &str| vec![Change::Delete(key(kind, text))];
    let refused = refusal(mesh::accept(
        &mut table,
        BEGIN,
        delete(Kind::Version, "desk-2"),
    ));
    insta::assert_snapshot!(refused, @"version/desk-2 metadata.name: is referred to by spec.to of rollout/move");
    let half = Route {
        path: "/one".into(),
        service: name("desk"),
        shares: [
            (name("desk-1"), Permille(500)),
            (name("desk-2"), Permille(500)),
        ]
        .into(),
    };
    let half = Change::Put(key(Kind::Route, "one"), Spec::Route(half));
    let refused = refusal(mesh::accept(&mut table, BEGIN, vec![half]));
    insta::assert_snapshot!(refused, @"route/one spec: is moved by rollout/move; delete that first");
}

#[test]
fn deleted_rollout_returns_all_traffic_to_the_old_version() {
    let mut table = table(&[("move", rollout_on("one"))]);
    let mut node = SingleNode::new(table.clone(), hosts(1200));
    node.step(vec![]);
    assert_eq!(node.share("move"), Permille(20));
    let delete = vec![Change::Delete(key(Kind::Rollout, "move"))];
    mesh::accept(&mut table, node.now, delete).unwrap();
    node.drive(Event::Installed(Arc::new(table)));
    assert!(node.ramps.is_empty());
}

#[test]
fn outcome_of_a_rollout_is_final_and_later_changes_are_refused() {
    let mut mesh = Mesh::new(setup(bad(fails_later, vec![]), 100));
    mesh.run_until(0.9);
    assert_eq!(mesh.end(), Some(End::RolledBack));
    let resource = mesh
        .table
        .get(Kind::Rollout, &name("move"))
        .unwrap()
        .clone();
    let Spec::Rollout(mut rollout) = resource.spec else {
        panic!("not a rollout");
    };
    let mut outcome = mesh.outcome().unwrap();
    outcome.end = End::Completed;
    rollout.outcome = Some(Box::new(outcome));
    let refused = refusal(mesh::accept(
        &mut mesh.table,
        mesh.now,
        vec![put("move", rollout.clone())],
    ));
    insta::assert_snapshot!(refused, @"rollout/move status.outcome: the rollout has ended; its outcome is final");
    let again = Rollout {
        deadline: mesh.now + SPAN,
        ..rollout.into_declared()
    };
    let refused = refusal(mesh::accept(
        &mut mesh.table,
        mesh.now,
        vec![put("move", again.clone())],
    ));
    insta::assert_snapshot!(refused, @"rollout/move spec.deadline: can't be moved, as the rollout has ended; delete it to begin another one");
    mesh::accept(
        &mut mesh.table,
        mesh.now,
        vec![Change::Delete(resource.key)],
    )
    .unwrap();
    mesh::accept(&mut mesh.table, mesh.now, vec![put("move", again)]).unwrap();
    assert_eq!(mesh.end(), None);
}

//! Tests of the admission queue, the choice of endpoints and the spill between tiers, in virtual
//! time.

use {
    crate::requests::snapshot,
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        refusal::Reason,
        resource::Limits,
        traffic::{
            Query, Router,
            admission::{Action, Limit, Queue, Ticket},
            outcome::Kind,
            retry::{Attempt, Class},
            spill::{Spill, Tier},
        },
        types::{Host, Moment},
        wire::Failure,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SLOTS: u32 = 12;
const NO_DEADLINE: Moment = Moment(u64::MAX / 2);

fn at(millis: u64) -> Moment {
    Moment(1_000_000 + millis * 1000)
}

fn queue(slots: u32) -> Queue {
    let mut queue = Queue::new(Limit::Fixed);
    queue.set_limits(slots, &Limits::default());
    queue
}

#[test]
fn no_more_requests_run_than_there_are_slots() {
    let mut queue = queue(SLOTS);
    let mut started = 0;
    for ticket in 0..100 {
        let actions = queue.arrive(at(0), Ticket(ticket), NO_DEADLINE);
        started += actions
            .iter()
            .filter(|action| matches!(action, Action::Start(_)))
            .count();
    }
    assert_eq!(started, 12);
    assert_eq!(queue.load().queued, SLOTS * 2);
}

#[test]
fn queue_length_follows_the_limits() {
    let mut queue = Queue::new(Limit::Fixed);
    let limits = Limits {
        queue: Some(1),
        ..Limits::default()
    };
    queue.set_limits(1, &limits);
    assert_eq!(
        queue.arrive(at(0), Ticket(1), NO_DEADLINE),
        [Action::Start(Ticket(1))]
    );
    assert_eq!(queue.arrive(at(0), Ticket(2), NO_DEADLINE), []);
    let refused = Action::Refuse(Ticket(3), Reason::Overloaded);
    assert_eq!(queue.arrive(at(0), Ticket(3), NO_DEADLINE), [refused]);
}

#[test]
fn request_past_its_deadline_is_not_started() {
    let mut queue = queue(1);
    let late = Action::Refuse(Ticket(1), Reason::Deadline);
    assert_eq!(queue.arrive(at(10), Ticket(1), at(5)), [late]);
    queue.arrive(at(10), Ticket(2), NO_DEADLINE);
    queue.arrive(at(10), Ticket(3), at(40));
    let finished = queue.finish(at(50), Some(Duration::from_millis(40)));
    assert_eq!(finished, [Action::Refuse(Ticket(3), Reason::Deadline)]);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = queue(1);
    queue.arrive(at(0), Ticket(1), NO_DEADLINE);
    queue.finish(at(100), Some(Duration::from_millis(100)));
    let refused = Action::Refuse(Ticket(2), Reason::Deadline);
    assert_eq!(queue.arrive(at(100), Ticket(2), at(150)), [refused]);
    queue.arrive(at(100), Ticket(3), NO_DEADLINE);
    let refused = Action::Refuse(Ticket(4), Reason::Overloaded);
    assert_eq!(queue.arrive(at(100), Ticket(4), at(250)), [refused]);
}

#[test]
fn overloaded_queue_starts_the_newest_and_refuses_the_oldest() {
    let mut queue = queue(1);
    queue.arrive(at(0), Ticket(1), NO_DEADLINE);
    queue.arrive(at(0), Ticket(2), NO_DEADLINE);
    queue.arrive(at(145), Ticket(3), NO_DEADLINE);
    queue.arrive(at(146), Ticket(4), NO_DEADLINE);
    let actions = queue.finish(at(150), Some(Duration::from_millis(10)));
    assert_eq!(actions, [Action::Start(Ticket(4))]);
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let mut queue = queue(1);
    queue.arrive(at(0), Ticket(1), NO_DEADLINE);
    queue.arrive(at(0), Ticket(2), NO_DEADLINE);
    queue.cancel(Ticket(2));
    assert_eq!(queue.finish(at(1), None), []);
    assert_eq!(queue.load().running, 0);
}

fn record(host: &str, domain: &str, region: &str, version: &str) -> Record {
    Record {
        contact: Contact {
            address: "127.0.0.1:1".parse().unwrap(),
            domain: domain.parse().unwrap(),
            host: host.parse().unwrap(),
            region: region.parse().unwrap(),
        },
        incarnation: Moment(1),
        offer: Some(Offer {
            address: "127.0.0.1:2".parse().unwrap(),
            connections_max: 120,
            service: "dispatch-hub".parse().unwrap(),
            slots: SLOTS,
            version: version.parse().unwrap(),
        }),
        sequence: 1,
        state: State::Ready,
    }
}

/// Returns the routing state of a node in luzon-a that knows these hosts, all of one version.
pub fn router(hosts: &[(&str, &str, &str)]) -> Router {
    let mut router = Router::new("luzon-a".parse().unwrap(), "luzon".parse().unwrap(), 7);
    router.install(Arc::new(snapshot("/", &[("hub-1", 1000)])));
    let records = hosts
        .iter()
        .map(|(host, domain, region)| record(host, domain, region, "hub-1"))
        .collect();
    router.apply_membership(Moment(0), records);
    router
}

const SIX_HOSTS: [(&str, &str, &str); 6] = [
    ("a1", "luzon-a", "luzon"),
    ("a2", "luzon-a", "luzon"),
    ("a3", "luzon-a", "luzon"),
    ("a4", "luzon-a", "luzon"),
    ("a5", "luzon-a", "luzon"),
    ("a6", "luzon-a", "luzon"),
];

/// Sends one request per millisecond and returns the number of requests by host. `end` returns how
/// a request to a host ends, and after how many milliseconds.
fn drive(
    router: &mut Router,
    from: u64,
    requests: u64,
    end: impl Fn(&Host) -> (Kind, u64),
) -> BTreeMap<String, u64> {
    let service = "dispatch-hub".parse().unwrap();
    let mut counts = BTreeMap::new();
    for request in 0..requests {
        let now = at(from + request);
        let query = Query {
            avoid: &[],
            id: &request.to_string(),
            path: "/",
            service: &service,
        };
        let choice = router.choose(now, query).unwrap();
        *counts.entry(choice.host.to_string()).or_default() += 1;
        let (kind, millis) = end(&choice.host);
        router.finish(now + Duration::from_millis(millis), &choice, kind, None);
    }
    counts
}

#[test]
fn endpoint_that_fails_while_its_peers_do_not_is_ejected() {
    let mut router = router(&SIX_HOSTS);
    let end = |host: &Host| match host.as_str() {
        "a1" => (Kind::Failure, 5),
        _ => (Kind::Success, 5),
    };
    drive(&mut router, 0, 500, end);
    let counts = drive(&mut router, 500, 1000, end);
    assert_eq!(counts.get("a1"), None, "{counts:?}");
}

#[test]
fn no_endpoint_is_ejected_if_all_fail() {
    let mut router = router(&SIX_HOSTS);
    let counts = drive(&mut router, 0, 2000, |_| (Kind::Failure, 5));
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn at_most_a_third_of_the_endpoints_is_ejected() {
    let mut router = router(&SIX_HOSTS);
    let end = |host: &Host| match host.as_str() {
        "a1" | "a2" | "a3" => (Kind::Failure, 5),
        _ => (Kind::Success, 5),
    };
    drive(&mut router, 0, 500, end);
    let counts = drive(&mut router, 500, 1000, end);
    let ejected = 6 - counts.len();
    assert!(ejected <= 2, "{counts:?}");
}

#[test]
fn slow_endpoint_among_fast_ones_gets_few_requests() {
    let mut router = router(&SIX_HOSTS);
    let end = |host: &Host| match host.as_str() {
        "a1" => (Kind::Success, 100),
        _ => (Kind::Success, 5),
    };
    drive(&mut router, 0, 500, end);
    let counts = drive(&mut router, 500, 1000, end);
    let slow = counts.get("a1").copied().unwrap_or(0);
    assert!(slow < 50, "{counts:?}");
}

#[test]
fn share_of_a_new_endpoint_grows_during_warm_up() {
    let mut router = router(&SIX_HOSTS[..5]);
    drive(&mut router, 0, 20_000, |_| (Kind::Success, 5));
    router.apply_membership(at(20_000), vec![record("a6", "luzon-a", "luzon", "hub-1")]);
    let cold = drive(&mut router, 20_000, 1000, |_| (Kind::Success, 5));
    drive(&mut router, 21_000, 10_000, |_| (Kind::Success, 5));
    let warm = drive(&mut router, 31_000, 1000, |_| (Kind::Success, 5));
    let count = |counts: &BTreeMap<String, u64>| counts.get("a6").copied().unwrap_or(0);
    assert!(count(&cold) < 60, "{cold:?}");
    assert!(count(&warm) > 120, "{warm:?}");
}

#[test]
fn stale_or_false_load_report_does_not_decide_alone() {
    let mut router = router(&SIX_HOSTS);
    drive(&mut router, 0, 200, |_| (Kind::Success, 5));
    router.record_reported_load(&"a1".parse().unwrap(), 0);
    for host in ["a2", "a3", "a4", "a5", "a6"] {
        router.record_reported_load(&host.parse().unwrap(), 1000);
    }
    let counts = drive(&mut router, 200, 1200, |_| (Kind::Success, 5));
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn own_domain_is_preferred_to_the_region_and_the_region_to_the_slow_link() {
    let hosts = [
        ("a1", "luzon-a", "luzon"),
        ("b1", "luzon-b", "luzon"),
        ("c1", "visayas-a", "visayas"),
    ];
    let used = |hosts: &[(&str, &str, &str)]| {
        let counts = drive(&mut router(hosts), 0, 100, |_| (Kind::Success, 5));
        counts.into_keys().collect::<Vec<_>>()
    };
    assert_eq!(used(&hosts), ["a1"]);
    assert_eq!(used(&hosts[1..]), ["b1"]);
    assert_eq!(used(&hosts[2..]), ["c1"]);
}

#[test]
fn leaving_host_that_refused_a_request_gets_no_further_ones() {
    let mut router = router(&SIX_HOSTS);
    let service = "dispatch-hub".parse().unwrap();
    let mut query = Query {
        avoid: &[],
        id: "assign",
        path: "/",
        service: &service,
    };
    let choice = router.choose(at(0), query).unwrap();
    router.finish(at(1), &choice, Kind::Refused, None);
    let tried = [choice.host.clone()];
    query.avoid = &tried;
    let attempt = Attempt {
        attempts: 1,
        class: Class::OnceOnly,
        deadline: NO_DEADLINE,
        hop: 0,
        replayable: true,
    };
    let refused = Failure::NotRun(Reason::Leaving);
    assert_eq!(router.try_retry(at(1), query, refused, attempt), Ok(()));
    assert_ne!(router.choose(at(1), query).unwrap().host, choice.host);
    let counts = drive(&mut router, 2, 400, |_| (Kind::Success, 5));
    assert_eq!(counts.get(choice.host.as_str()), None, "{counts:?}");
}

#[test]
fn unreachable_domain_is_avoided_at_once_and_used_again_after_recovery() {
    let mut router = router(&[("a1", "luzon-a", "luzon"), ("b1", "luzon-b", "luzon")]);
    let unreachable_a1 = |host: &Host| match host.as_str() {
        "a1" => (Kind::Unreachable, 1),
        _ => (Kind::Success, 5),
    };
    drive(&mut router, 0, 100, |_| (Kind::Success, 5));
    let counts = drive(&mut router, 100, 10_000, unreachable_a1);
    assert!(counts["a1"] < 200, "{counts:?}");
    // After the last attempt that failed, the endpoint may back off for eight seconds.
    drive(&mut router, 10_100, 19_900, |_| (Kind::Success, 5));
    let healed = drive(&mut router, 30_000, 1000, |_| (Kind::Success, 5));
    assert!(healed["a1"] > 900, "{healed:?}");
}

#[test]
fn spill_changes_in_small_steps_and_does_not_oscillate() {
    let mut spill = Spill::default();
    let share = |spill: &Spill| {
        let away =
            (0..1000).filter(|point| spill.choose_tier(f64::from(*point) / 1000.0) != Tier::Own);
        away.count()
    };
    spill.step(at(0), [Some(0.5), Some(0.3), None]);
    assert_eq!(share(&spill), 0);
    let mut last = 0;
    for step in 1..=10 {
        spill.step(at(step * 100), [Some(1.2), Some(0.3), None]);
        assert!(
            share(&spill) - last <= 100,
            "{} after {last}",
            share(&spill)
        );
        last = share(&spill);
    }
    assert!(last > 300, "{last}");
    for step in 11..=20 {
        spill.step(at(step * 100), [Some(0.85), Some(0.5), None]);
    }
    let kept = share(&spill);
    spill.step(at(2100), [Some(0.85), Some(0.5), None]);
    assert_eq!(share(&spill), kept);
    spill.step(at(2200), [None, Some(0.5), None]);
    assert_eq!(share(&spill), 1000);
    spill.step(at(2300), [Some(0.1), Some(0.5), None]);
    assert!(share(&spill) >= 970, "{}", share(&spill));
}

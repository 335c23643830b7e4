//! Planned stops and drains: requests in flight are finished, and new requests go to other hosts.

use {
    crate::test_mesh::{TestMesh, call, eventually, route_to},
    mulberryshelf::{
        member::Offer,
        registration::{Action, Announcement, Refusal, Registration, State},
        source::OperationStatus,
        types::Moment,
    },
    proptest::prelude::*,
    std::{net::SocketAddr, time::Duration},
};

const REQUESTS: usize = 8;
const BODY_BYTES: usize = 300_000;

const LEASE: Duration = Duration::from_secs(10);
const SPREAD: Duration = Duration::from_secs(1);

fn offer(port: u16) -> Offer {
    Offer {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        connections_max: 120,
        service: "dispatch-hub".parse().unwrap(),
        slots: 12,
        version: "hub-1".parse().unwrap(),
    }
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        incarnation,
        offer: offer(80),
    }
}

fn seconds(count: u64) -> Moment {
    Moment::default() + Duration::from_secs(count)
}

async fn mesh() -> TestMesh {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("b1", "luzon-b", "dispatch-hub", "hub-1")
        .await;
    let operation_status = test.apply(0, route_to("dispatch-hub", "hub-1")).await;
    let OperationStatus::Accepted(revision) = operation_status else {
        panic!("{operation_status:?}");
    };
    test.wait_converged(revision).await;
    wait_until_served(&test).await;
    test
}

async fn wait_until_served(test: &TestMesh) {
    while call(test.hosts[0].node.proxy_address(), "dispatch-hub", "")
        .await
        .0
        != 200
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts [`REQUESTS`] slow requests at the upstream of the second host, each with an answer of many
/// packets, and waits until all of them run.
async fn start_requests(test: &TestMesh) -> tokio::task::JoinSet<bool> {
    let slow_ms = 400;
    test.hosts[1]
        .upstream
        .fail(crate::standin::upstream::Faults {
            slow_ms,
            ..Default::default()
        });
    let mut calls = tokio::task::JoinSet::new();
    let proxy = test.hosts[0].node.proxy_address();
    let body = "w".repeat(BODY_BYTES);
    for _ in 0..REQUESTS {
        let body = body.clone();
        calls.spawn(async move {
            call(proxy, "dispatch-hub", &body).await == (200, String::new(), body)
        });
    }
    eventually(|| test.hosts[1].upstream.running() == REQUESTS as u64).await;
    calls
}

async fn count_complete(calls: tokio::task::JoinSet<bool>) -> usize {
    let answers = calls.join_all().await;
    answers.into_iter().filter(|complete| *complete).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_at_the_upstream_aborts_no_request() {
    let mut test = mesh().await;
    let calls = start_requests(&test).await;
    test.hosts.remove(1).node.stop().await;
    assert_eq!(count_complete(calls).await, REQUESTS);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_at_the_ingress_aborts_no_request() {
    let mut test = mesh().await;
    let calls = start_requests(&test).await;
    test.hosts.remove(0).node.stop().await;
    assert_eq!(count_complete(calls).await, REQUESTS);
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_at_the_time_limit_and_is_counted() {
    let mut test = TestMesh::new();
    test.stop.timeout = Duration::from_millis(100);
    let mut test = test.host("a1", "luzon-a", "dispatch-hub", "hub-1").await;
    let operation_status = test.apply(0, route_to("dispatch-hub", "hub-1")).await;
    assert!(
        matches!(operation_status, OperationStatus::Accepted(_)),
        "{operation_status:?}"
    );
    wait_until_served(&test).await;
    let host = test.hosts.remove(0);
    host.upstream.fail(crate::standin::upstream::Faults {
        slow_ms: 60_000,
        ..Default::default()
    });
    let proxy = host.node.proxy_address();
    let endless = tokio::spawn(async move { call(proxy, "dispatch-hub", "").await });
    eventually(|| host.upstream.running() == 1).await;
    let handle = host.node.handle().clone();
    tokio::time::timeout(Duration::from_secs(20), host.node.stop())
        .await
        .unwrap();
    assert_eq!(handle.telemetry().totals()["stop.timeout"], 1);
    endless.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_requests_after_two_seconds() {
    let test = mesh()
        .await
        .host("b2", "luzon-b", "dispatch-hub", "hub-1")
        .await;
    let proxy = test.hosts[0].node.proxy_address();
    while test.hosts[2].upstream.total() == 0 {
        call(proxy, "dispatch-hub", "").await;
    }
    test.hosts[1].node.handle().drain();
    let mut statuses = Vec::new();
    for _ in 0..20 {
        statuses.push(call(proxy, "dispatch-hub", "").await.0);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let before = test.hosts[1].upstream.total();
    for _ in 0..50 {
        statuses.push(call(proxy, "dispatch-hub", "").await.0);
    }
    assert_eq!(test.hosts[1].upstream.total(), before);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(test.hosts[1].node.handle().upstream(), State::Drained);
}

#[test]
fn drained_upstream_returns_only_as_a_new_incarnation_or_on_resume() {
    let mut registration = Registration::new(LEASE, SPREAD);
    registration.announce(seconds(0), announcement(7)).unwrap();
    assert_eq!(registration.drain(seconds(1)), [Action::NotifyDraining]);
    let same = registration.announce(seconds(2), announcement(7));
    assert_eq!(same, Err(Refusal::Drained));
    let older = registration.announce(seconds(2), announcement(6));
    assert_eq!(older, Err(Refusal::Outdated));
    let later = registration.announce(seconds(2), announcement(8)).unwrap();
    assert_eq!(later, [Action::Open(offer(80))]);
    registration.drain(seconds(3));
    assert_eq!(registration.resume(seconds(4)), [Action::Open(offer(80))]);
    assert_eq!(registration.state(), State::Ready);
}

#[test]
fn requests_are_accepted_until_other_nodes_know_of_the_drain() {
    let mut registration = Registration::new(LEASE, SPREAD);
    registration.announce(seconds(0), announcement(1)).unwrap();
    registration.drain(seconds(1));
    assert_eq!(registration.tick(seconds(1)), []);
    assert_eq!(registration.tick(seconds(2)), [Action::RefuseRequests]);
    assert_eq!(registration.tick(seconds(3)), []);
}

#[test]
fn lease_expires_unless_the_announcement_is_repeated() {
    let mut registration = Registration::new(LEASE, SPREAD);
    registration.announce(seconds(0), announcement(1)).unwrap();
    let renewed = registration.announce(seconds(9), announcement(1)).unwrap();
    assert_eq!(renewed, []);
    assert_eq!(registration.tick(seconds(18)), []);
    let expired = [
        Action::ExpireLease,
        Action::NotifyDraining,
        Action::RefuseRequests,
    ];
    assert_eq!(registration.tick(seconds(19)), expired);
    let back = registration.announce(seconds(20), announcement(1)).unwrap();
    assert_eq!(back, [Action::Open(offer(80))]);
}

#[test]
fn stopping_node_refuses_announcements() {
    let mut registration = Registration::new(LEASE, SPREAD);
    registration.announce(seconds(0), announcement(1)).unwrap();
    registration.stop(seconds(1));
    let later = registration.announce(seconds(2), announcement(2));
    assert_eq!(later, Err(Refusal::Stopping));
    assert_eq!(registration.resume(seconds(2)), []);
}

proptest! {
    /// In any order of events, a drained incarnation never accepts requests again by itself, and no
    /// requests are accepted longer than `SPREAD` after the other nodes were told to send none.
    #[test]
    fn drained_incarnation_stays_drained(steps in prop::collection::vec((0_u8..4, 1_u64..4, 0_u64..4), 1..60)) {
        let mut registration = Registration::new(LEASE, SPREAD);
        let (mut now, mut drained_incarnation, mut last_incarnation) = (0, 0, 0);
        let (mut open, mut drain_started) = (false, None);
        for (step, incarnation, span) in steps {
            now += span;
            let actions = match step {
                0 => registration.announce(seconds(now), announcement(incarnation)).unwrap_or_default(),
                1 => registration.drain(seconds(now)),
                _ => registration.tick(seconds(now)),
            };
            for action in actions {
                match action {
                    Action::Open(_) => {
                        prop_assert!(incarnation > drained_incarnation && incarnation >= last_incarnation);
                        (open, drain_started, last_incarnation) = (true, None, incarnation);
                    }
                    Action::NotifyDraining => {
                        drain_started = Some(now);
                        if step == 1 {
                            drained_incarnation = last_incarnation;
                        }
                    }
                    Action::RefuseRequests => open = false,
                    Action::ExpireLease => {}
                }
            }
            let overdue = drain_started.is_some_and(|drain_started| now >= drain_started + SPREAD.as_secs());
            prop_assert!(!(step >= 2 && open && overdue));
        }
    }
}

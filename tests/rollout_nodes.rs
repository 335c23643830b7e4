//! End-to-end tests of rollouts on complete nodes, from client requests to the recorded outcome.

use {
    crate::{
        standin::{platform, upstream},
        test_mesh::{TestMesh, call, route_to},
    },
    mulberryshelf::{
        resource::{Kind, Rollout, Spec},
        rollout::outcome::{Cause, End, Outcome},
        source::OperationStatus,
        types::{Moment, Permille},
    },
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const SPAN: Duration = Duration::from_secs(12);
const CALLERS: usize = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(10);

fn now() -> Moment {
    Moment::default() + SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

fn rollout(test: &TestMesh, host: usize) -> Rollout {
    let snapshot = test.hosts[host].node.handle().snapshot();
    match &snapshot
        .get(Kind::Rollout, &"move".parse().unwrap())
        .unwrap()
        .spec
    {
        Spec::Rollout(rollout) => rollout.clone(),
        _ => panic!("not a rollout"),
    }
}

/// Starts a calling host and two upstreams of each version, and applies a rollout between the versions.
async fn start_rollout() -> TestMesh {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("a2", "luzon-a", "dispatch-hub", "hub-1")
        .await
        .host("b1", "luzon-b", "dispatch-hub", "hub-1")
        .await
        .host("a3", "luzon-a", "dispatch-hub", "hub-2")
        .await
        .host("a4", "luzon-a", "dispatch-hub", "hub-2")
        .await;
    let route = test.apply(0, route_to("dispatch-hub", "hub-1")).await;
    assert!(matches!(route, OperationStatus::Accepted(_)), "{route:?}");
    tokio::time::sleep(Duration::from_secs(7)).await;
    let resources = json!([
        { "kind": "version", "metadata": { "name": "hub-2" }, "spec": { "service": "dispatch-hub" } },
        {
            "kind": "rollout",
            "metadata": { "name": "move" },
            "spec": {
                "deadline": (now() + SPAN).to_string(),
                "from": "hub-1",
                "route": "dispatch-hub",
                "to": "hub-2",
            },
        },
    ]);
    let operation_status = test.apply(0, resources).await;
    let OperationStatus::Accepted(revision) = operation_status else {
        panic!("{operation_status:?}");
    };
    test.wait_converged(revision).await;
    test
}

/// Calls the service until an outcome is recorded or three times [`SPAN`] has passed. The platform is
/// brought back after `recover_after`.
async fn call_until_outcome(test: &TestMesh, recover_after: Option<Duration>) -> Option<Outcome> {
    let stop = Arc::new(AtomicBool::new(false));
    let proxy = test.hosts[0].node.proxy_address();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let stop = stop.clone();
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    call(proxy, "dispatch-hub", "crew 7").await;
                    tokio::time::sleep(CALL_INTERVAL).await;
                }
            })
        })
        .collect();
    let start = Instant::now();
    let mut outcome = None;
    while outcome.is_none() && start.elapsed() < SPAN * 3 {
        if recover_after.is_some_and(|after| start.elapsed() >= after) {
            test.platform.fail(platform::Faults::default());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        outcome = rollout(test, 0).outcome;
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    outcome.map(|outcome| *outcome)
}

fn stop_platform(test: &TestMesh) {
    test.platform.fail(platform::Faults {
        down: true,
        ..Default::default()
    });
}

fn break_new_version(test: &TestMesh) {
    for host in &test.hosts[3..] {
        host.upstream.fail(upstream::Faults {
            bad_permille: 500,
            ..Default::default()
        });
    }
}

fn route_share(test: &TestMesh, version: &str) -> Permille {
    let snapshot = test.hosts[0].node.handle().snapshot();
    match &snapshot
        .get(Kind::Route, &"dispatch-hub".parse().unwrap())
        .unwrap()
        .spec
    {
        Spec::Route(route) => {
            let share = route.shares.get(&version.parse().unwrap());
            share.copied().unwrap_or_default()
        }
        _ => panic!("not a route"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_completed_by_the_nodes() {
    let test = start_rollout().await;
    let outcome = call_until_outcome(&test, None)
        .await
        .expect("no outcome was recorded");
    assert_eq!(outcome.end, End::Completed, "{outcome:?}");
    assert!(outcome.at <= rollout(&test, 0).deadline);
    assert_eq!(route_share(&test, "hub-2"), Permille::WHOLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back_by_the_nodes() {
    let test = start_rollout().await;
    break_new_version(&test);
    let outcome = call_until_outcome(&test, None)
        .await
        .expect("no outcome was recorded");
    let runs: Vec<u64> = test
        .hosts
        .iter()
        .map(|host| host.upstream.total())
        .collect();
    assert_eq!(outcome.end, End::RolledBack, "{runs:?} {outcome:?}");
    assert_eq!(outcome.finding.unwrap().cause, Cause::Failures);
    assert_eq!(route_share(&test, "hub-1"), Permille::WHOLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_gets_all_traffic_in_time_without_the_platform() {
    let test = start_rollout().await;
    stop_platform(&test);
    let deadline = rollout(&test, 0).deadline;
    let calls = call_until_outcome(&test, Some(SPAN + Duration::from_secs(2)));
    let reached = async {
        tokio::time::sleep(deadline.since(now())).await;
        let statuses = test.hosts[0].node.handle().rollout_statuses();
        statuses.first().map(|status| status.share)
    };
    let (outcome, reached) = tokio::join!(calls, reached);
    assert_eq!(reached, Some(Permille::WHOLE));
    assert_eq!(
        outcome.expect("no outcome was recorded").end,
        End::Completed
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_gets_no_traffic_without_the_platform() {
    let test = start_rollout().await;
    stop_platform(&test);
    break_new_version(&test);
    let calls = call_until_outcome(&test, Some(SPAN));
    let stopped = async {
        tokio::time::sleep(SPAN.mul_f64(0.9)).await;
        test.hosts
            .iter()
            .map(|host| host.node.handle().rollout_statuses()[0].share)
            .max()
    };
    let (outcome, stopped) = tokio::join!(calls, stopped);
    assert_eq!(stopped, Some(Permille(0)));
    assert_eq!(
        outcome.expect("no outcome was recorded").end,
        End::RolledBack
    );
}

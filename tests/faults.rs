//! Faults in a running mesh: nodes that are killed or paused, and a platform that is down.

use {
    crate::{
        standin::platform::Faults,
        test_mesh::{TestMesh, call, eventually, route_to},
    },
    mulberryshelf::{source::OperationStatus, types::Revision},
    std::time::Duration,
};

async fn apply_route(test: &TestMesh, version: &str) -> Revision {
    let operation_status = test.apply(0, route_to("dispatch-hub", version)).await;
    let OperationStatus::Accepted(revision) = operation_status else {
        panic!("{operation_status:?}");
    };
    revision
}

async fn two_hosts() -> TestMesh {
    TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("a2", "luzon-a", "dispatch-hub", "hub-1")
        .await
}

fn take_platform_down(test: &TestMesh) {
    test.platform.fail(Faults {
        down: true,
        ..Faults::default()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn node_started_while_the_platform_is_down_gets_the_configuration_from_peers() {
    let test = two_hosts().await;
    let revision = apply_route(&test, "hub-1").await;
    test.wait_converged(revision).await;
    take_platform_down(&test);
    let test = test.host("a3", "luzon-a", "resident-desk", "desk-1").await;
    test.wait_converged(revision).await;
    let proxy = test.hosts[2].node.proxy_address();
    let mut status = 0;
    for _ in 0..50 {
        status = call(proxy, "dispatch-hub", "crew 7").await.0;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_node_catches_up_and_never_goes_back() {
    let test = two_hosts().await;
    let first = apply_route(&test, "hub-1").await;
    test.wait_converged(first).await;
    test.hosts[1].process.pause(Duration::from_secs(3));
    let second = apply_route(&test, "hub-2").await;
    assert!(second > first);
    let mut held = test.hosts[1].node.handle().snapshot().revision;
    eventually(|| {
        let now = test.hosts[1].node.handle().snapshot().revision;
        assert!(now >= held, "{now} after {held}");
        held = now;
        held >= second
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_routed_around() {
    let mut test = two_hosts()
        .await
        .host("a3", "luzon-a", "dispatch-hub", "hub-1")
        .await;
    let revision = apply_route(&test, "hub-1").await;
    test.wait_converged(revision).await;
    test.hosts[2].process.kill();
    let proxy = test.hosts[0].node.proxy_address();
    let mut consecutive = 0;
    for _ in 0..400 {
        let (status, ..) = call(proxy, "dispatch-hub", "crew 7").await;
        consecutive = if status == 200 { consecutive + 1 } else { 0 };
        if consecutive == 20 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("requests were still sent to the killed node");
}

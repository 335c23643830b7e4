//! End-to-end tests: a configuration accepted at one node comes into force at all nodes, and requests
//! are served by it.

use {
    crate::test_mesh::{TestMesh, call, eventually, route_to},
    mulberryshelf::source::OperationStatus,
};

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_across_nodes() {
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
    eventually(|| {
        let coverage = test.hosts[0].node.handle().coverage();
        coverage.len() == 2
            && coverage
                .values()
                .all(|domain| domain.reached && domain.revision >= revision)
    })
    .await;
    let proxy = test.hosts[0].node.proxy_address();
    let mut answer = call(proxy, "dispatch-hub", "crew 7").await;
    if answer.0 == 503 {
        eventually(|| !test.hosts[0].node.handle().telemetry().totals().is_empty()).await;
        answer = call(proxy, "dispatch-hub", "crew 7").await;
    }
    assert_eq!(answer, (200, String::new(), "crew 7".into()));
    assert_eq!(test.hosts[1].upstream.total(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_route_is_refused_as_not_run() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let (status, reason, body) = call(test.hosts[0].node.proxy_address(), "nowhere", "").await;
    assert_eq!((status, reason.as_str()), (404, "no-route"));
    assert!(body.contains("not-run"), "{body}");
}

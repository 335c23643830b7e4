//! End-to-end tests: a configuration accepted at one node comes into force at all nodes, and requests
//! are served by it.

use {
    crate::test::{Test, call, eventually, whole_route},
    mulberryshelf::source::Verdict,
};

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_across_nodes() {
    let test = Test::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("b1", "luzon-b", "dispatch-hub", "hub-1")
        .await;
    let verdict = test.apply(0, whole_route("dispatch-hub", "hub-1")).await;
    let Verdict::Accepted(revision) = verdict else {
        panic!("{verdict:?}");
    };
    test.converged(revision).await;
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
    let test = Test::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let (status, reason, body) = call(test.hosts[0].node.proxy_address(), "nowhere", "").await;
    assert_eq!((status, reason.as_str()), (404, "no-route"));
    assert!(body.contains("not-run"), "{body}");
}

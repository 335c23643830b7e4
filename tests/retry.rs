//! Tests of failed requests, for each stage at which they can fail. The upstreams count the runs of
//! each request.

use {
    crate::{
        caller::{Caller, announce, start_mesh},
        standin::upstream::Faults,
        test_mesh::{ANY_PORT, TestMesh, eventually},
    },
    mulberryshelf::{
        refusal::Reason,
        traffic::retry::{Attempt, Budget, Class, Denial, Stage, Verdict, decide},
        types::Moment,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket},
    },
};

fn runs(test: &TestMesh, id: &str) -> u64 {
    test.hosts.iter().map(|host| host.upstream.runs(id)).sum()
}

fn attempt(attempts: u32, hop: u32) -> Attempt {
    Attempt {
        attempts,
        class: Class::Idempotent,
        deadline: Moment(10_000_000),
        hop,
        replayable: true,
    }
}

/// Returns a socket that is bound but does not listen, so that its port refuses connections and no
/// other process can use it.
fn refusing_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(ANY_PORT).unwrap();
    socket
}

#[test]
fn once_only_request_that_was_sent_is_never_sent_again() {
    for reason in Reason::ALL {
        assert_eq!(
            decide(Class::OnceOnly, Stage::Sent, *reason),
            Verdict::End,
            "{reason}"
        );
    }
}

#[test]
fn request_whose_answer_has_begun_is_never_retried() {
    for class in [Class::Idempotent, Class::OnceOnly] {
        for reason in Reason::ALL {
            assert_eq!(
                decide(class, Stage::Begun, *reason),
                Verdict::End,
                "{reason}"
            );
        }
    }
}

#[test]
fn verdict_of_every_reason() {
    let line = |reason: &Reason| {
        let unsent = decide(Class::OnceOnly, Stage::Unsent, *reason);
        let sent = decide(Class::Idempotent, Stage::Sent, *reason);
        format!("{reason}: unsent {unsent:?}, sent and idempotent {sent:?}")
    };
    let table: Vec<String> = Reason::ALL.iter().map(line).collect();
    insta::assert_snapshot!(table.join("\n"));
}

#[test]
fn class_follows_from_method_and_declaration() {
    for method in ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"] {
        assert_eq!(Class::of(method, false), Class::Idempotent);
    }
    for method in ["POST", "PATCH", "get", "LOCK"] {
        assert_eq!(Class::of(method, false), Class::OnceOnly);
    }
    assert_eq!(Class::of("POST", true), Class::Idempotent);
}

#[test]
fn budget_limits_retries_in_a_total_outage() {
    let mut budget = Budget::default();
    let retries = (0..1000)
        .filter(|_| budget.try_withdraw(Moment(0), attempt(1, 0)).is_ok())
        .count();
    assert!(1000 + retries < 1200, "{retries} retries");
}

#[test]
fn budget_allows_one_retry_for_ten_successes() {
    let mut budget = Budget::default();
    while budget.try_withdraw(Moment(0), attempt(1, 0)).is_ok() {}
    for _ in 0..100 {
        budget.deposit();
    }
    let retries = (0..100)
        .filter(|_| budget.try_withdraw(Moment(0), attempt(1, 0)).is_ok())
        .count();
    assert!((9..=10).contains(&retries), "{retries} retries");
}

#[test]
fn denial_names_the_limit_that_was_reached() {
    let mut budget = Budget::default();
    let now = Moment(0);
    assert_eq!(budget.try_withdraw(now, attempt(1, 1)), Err(Denial::Hop));
    assert_eq!(
        budget.try_withdraw(now, attempt(3, 0)),
        Err(Denial::Attempts)
    );
    assert_eq!(
        budget.try_withdraw(Moment(9_999_000), attempt(1, 0)),
        Err(Denial::Deadline)
    );
    let long = Attempt {
        replayable: false,
        ..attempt(1, 0)
    };
    assert_eq!(budget.try_withdraw(now, long), Err(Denial::Body));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_refused_by_the_full_queue_is_not_run() {
    let test = start_mesh(1).await;
    let proxy = test.hosts[0].node.proxy_address();
    announce(&test, 1, None, 1);
    test.hosts[1].upstream.fail(Faults {
        slow_ms: 600,
        ..Faults::default()
    });
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..8 {
        let id = format!("q{index}");
        let caller = Caller::post(proxy, &id, "x");
        calls.spawn(async move { (id, caller.send().await) });
    }
    let mut refused = 0;
    while let Some(call) = calls.join_next().await {
        let (id, reply) = call.unwrap();
        let ran = reply.status == 200;
        assert_eq!(runs(&test, &id), u64::from(ran), "{reply:?}");
        if !ran {
            assert_eq!(reply.refusal(), (503, "not-run", "overloaded"));
            assert!(reply.elapsed < Duration::from_millis(400), "{reply:?}");
            refused += 1;
        }
    }
    assert!(refused >= 5, "{refused} refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_deadline_passes_in_the_queue_is_not_run() {
    let test = start_mesh(1).await;
    let proxy = test.hosts[0].node.proxy_address();
    announce(&test, 1, None, 1);
    test.hosts[1].upstream.fail(Faults {
        slow_ms: 800,
        ..Faults::default()
    });
    let first = Caller::post(proxy, "first", "x");
    let first = tokio::spawn(async move { first.send().await });
    eventually(|| runs(&test, "first") == 1).await;
    let second = Caller::post(proxy, "second", "x").header("x-mulberry-deadline-ms", &60);
    let reply = second.send().await;
    assert_eq!(reply.refusal(), (504, "not-run", "deadline"));
    assert_eq!(first.await.unwrap().status, 200);
    assert_eq!(runs(&test, "second"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_an_upstream_that_refuses_connections_is_not_run() {
    let test = start_mesh(1).await;
    let closed = refusing_socket();
    announce(&test, 1, Some(closed.local_addr().unwrap()), 12);
    let caller = Caller::post(test.hosts[0].node.proxy_address(), "dial", "x");
    let mut reply = caller.send().await;
    while reply.status == 200 {
        reply = caller.send().await;
    }
    assert_eq!(reply.refusal(), (503, "not-run", "dial"));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_an_unreachable_node_is_served_by_another_one() {
    let mut test = start_mesh(2).await;
    let stopped = test.hosts.pop().unwrap();
    stopped.node.stop().await;
    let proxy = test.hosts[0].node.proxy_address();
    for index in 0..20 {
        let id = format!("moved-{index}");
        let reply = Caller::post(proxy, &id, "x").send().await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(runs(&test, &id), 1);
    }
    assert_eq!(stopped.upstream.runs("moved-0"), 0);
}

/// Starts an upstream that reads some bytes of a request, writes `answer` and closes the
/// connection.
async fn disconnecting_upstream(read_bytes: usize, answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; read_bytes];
            let _ = stream.read_exact(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn send_to_disconnecting_upstream(
    read_bytes: usize,
    answer: &'static str,
    body: &str,
) -> (u16, String, String) {
    let test = start_mesh(1).await;
    let address = disconnecting_upstream(read_bytes, answer).await;
    announce(&test, 1, Some(address), 12);
    let proxy = test.hosts[0].node.proxy_address();
    let probe = Caller::get(proxy, "probe").header("x-mulberry-deadline-ms", &300);
    while probe.send().await.status == 200 {}
    let reply = Caller::post(proxy, "broken", body).send().await;
    (reply.status, reply.outcome, reply.reason)
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_after_part_of_the_request_head_is_unknown() {
    let got = send_to_disconnecting_upstream(10, "", "x").await;
    assert_eq!(got, (502, "unknown".into(), "lost".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_after_part_of_the_request_body_is_unknown() {
    let got = send_to_disconnecting_upstream(2000, "", &"x".repeat(1_000_000)).await;
    assert_eq!(got, (502, "unknown".into(), "lost".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_lost_after_part_of_the_answer_head_is_unknown() {
    let got = send_to_disconnecting_upstream(10, "HTTP/1.1 200 O", "x").await;
    assert_eq!(got, (502, "unknown".into(), "lost".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_headers_of_an_upstream_are_removed() {
    let test = start_mesh(1).await;
    let refusal = "HTTP/1.1 503 x\r\nx-mulberry-outcome: not-run\r\nx-mulberry-reason: overloaded\r\n\
                   content-length: 0\r\n\r\n";
    announce(
        &test,
        1,
        Some(disconnecting_upstream(10, refusal).await),
        12,
    );
    let proxy = test.hosts[0].node.proxy_address();
    let mut reply = Caller::post(proxy, "passed on", "x").send().await;
    while reply.status == 200 {
        reply = Caller::post(proxy, "passed on", "x").send().await;
    }
    assert_eq!(reply.refusal(), (503, "", ""));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_a_once_only_request_is_unknown_and_runs_once() {
    let test = start_mesh(2).await;
    for host in &test.hosts[1..] {
        host.upstream.fail(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
    }
    let reply = Caller::post(test.hosts[0].node.proxy_address(), "assign", "crew 7")
        .send()
        .await;
    assert_eq!(reply.refusal(), (502, "unknown", "lost"));
    assert_eq!(runs(&test, "assign"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_an_idempotent_request_is_retried_elsewhere() {
    let test = start_mesh(2).await;
    let proxy = test.hosts[0].node.proxy_address();
    for host in &test.hosts[1..] {
        host.upstream.fail(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
    }
    let declared = Caller::post(proxy, "declared", "x").header("x-mulberry-idempotent", "true");
    let reply = declared.send().await;
    assert!(reply.status == 200 || reply.refusal() == (502, "unknown", "lost"));
    assert_eq!(runs(&test, "declared"), 2);
    for host in &test.hosts[1..] {
        assert_eq!(host.upstream.runs("declared"), 1);
    }
    let totals = test.hosts[0].node.handle().telemetry().totals();
    assert_eq!(totals.get("retry.lost"), Some(&1), "{totals:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn inner_hop_of_a_chain_never_retries() {
    let test = start_mesh(2).await;
    for host in &test.hosts[1..] {
        host.upstream.fail(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
    }
    let caller =
        Caller::get(test.hosts[0].node.proxy_address(), "inner").header("x-mulberry-hop", &1);
    assert_eq!(caller.send().await.refusal(), (502, "unknown", "lost"));
    assert_eq!(runs(&test, "inner"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_stays_unknown_when_its_retry_is_refused() {
    let test = start_mesh(2).await;
    let closed = refusing_socket();
    announce(&test, 2, Some(closed.local_addr().unwrap()), 12);
    test.hosts[1].upstream.fail(Faults {
        lose_answers: 1000,
        ..Faults::default()
    });
    for index in 0..10 {
        let id = format!("both-{index}");
        let reply = Caller::get(test.hosts[0].node.proxy_address(), &id)
            .send()
            .await;
        let ran = runs(&test, &id) > 0;
        assert_eq!(reply.outcome == "unknown", ran, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_service_gets_few_retries() {
    let test = start_mesh(2).await;
    let proxy = test.hosts[0].node.proxy_address();
    for host in &test.hosts[1..] {
        host.upstream.fail(Faults {
            lose_answers: 100_000,
            ..Faults::default()
        });
    }
    let before: u64 = test.hosts.iter().map(|host| host.upstream.total()).sum();
    for index in 0..300 {
        Caller::get(proxy, &format!("down-{index}")).send().await;
    }
    let attempts: u64 = test.hosts.iter().map(|host| host.upstream.total()).sum();
    assert!(attempts - before < 360, "{} attempts", attempts - before);
}

//! Tests of the path of a request: routing, body transfer, deadlines, truncation and connection
//! limits.

use {
    crate::{
        caller::{Caller, SERVICE, start_mesh, wait_idle},
        standin::upstream::Faults,
    },
    mulberryshelf::{
        member::Offer,
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::Snapshot,
        source::OperationStatus,
        traffic::{self, Ramp},
        types::{Permille, Revision},
    },
    proptest::prelude::*,
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Creates a configuration with one route of a service, whose traffic is split by `shares` in
/// permille.
pub fn snapshot(path: &str, shares: &[(&str, u16)]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for (version, _) in shares {
        let spec = Spec::Version(VersionSpec {
            service: "dispatch-hub".parse().unwrap(),
        });
        let key = Key {
            kind: Kind::Version,
            name: version.parse().unwrap(),
        };
        snapshot.apply_change(Revision(1), &Change::Put(key, spec));
    }
    let spec = Spec::Route(Route {
        path: path.into(),
        service: "dispatch-hub".parse().unwrap(),
        shares: shares
            .iter()
            .map(|(version, share)| (version.parse().unwrap(), Permille(*share)))
            .collect(),
    });
    let key = Key {
        kind: Kind::Route,
        name: "hub".parse().unwrap(),
    };
    snapshot.apply_change(Revision(1), &Change::Put(key, spec));
    snapshot.revision = Revision(1);
    snapshot
}

fn ramps(share: u16) -> BTreeMap<mulberryshelf::types::Name, Ramp> {
    let ramp = Ramp {
        from: "hub-1".parse().unwrap(),
        route: "hub".parse().unwrap(),
        share: Permille(share),
        to: "hub-2".parse().unwrap(),
    };
    BTreeMap::from([("move".parse().unwrap(), ramp)])
}

fn version(share: u16, id: &str) -> String {
    let snapshot = snapshot("/", &[("hub-1", 1000), ("hub-2", 0)]);
    let index = traffic::route::Index::new(&snapshot, &ramps(share));
    let route = index.find(&"dispatch-hub".parse().unwrap(), "/x").unwrap();
    route.choose_version(id).unwrap().to_string()
}

proptest! {
    #[test]
    fn growing_ramp_moves_requests_only_to_the_new_version(id in "[a-f0-9]{32}", low in 0_u16..=1000, high in 0_u16..=1000) {
        let (low, high) = (low.min(high), low.max(high));
        let (before, after) = (version(low, &id), version(high, &id));
        prop_assert!(before == after || (before == "hub-1" && after == "hub-2"));
        prop_assert_eq!(version(0, &id), "hub-1");
        prop_assert_eq!(version(1000, &id), "hub-2");
    }
}

#[test]
fn ramp_moves_its_share_of_requests() {
    let moved = (0..10_000)
        .filter(|id| version(50, &format!("request-{id}")) == "hub-2")
        .count();
    assert!((400..=600).contains(&moved), "{moved}");
}

#[test]
fn prefix_covers_whole_segments_only() {
    let snapshot = snapshot("/crew", &[("hub-1", 1000)]);
    let index = traffic::route::Index::new(&snapshot, &BTreeMap::new());
    let service = "dispatch-hub".parse().unwrap();
    assert!(index.find(&service, "/crew").is_some());
    assert!(index.find(&service, "/crew/7").is_some());
    assert!(index.find(&service, "/crews").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_its_own_answer() {
    let test = start_mesh(2).await;
    let proxy = test.hosts[0].node.proxy_address();
    for host in &test.hosts {
        host.upstream.fail(Faults {
            slow_ms: 5,
            ..Faults::default()
        });
    }
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..20 {
        let body = format!("crew {index}");
        let caller = Caller::post(proxy, &body, &body);
        calls.spawn(async move { (body, caller.send().await) });
    }
    while let Some(call) = calls.join_next().await {
        let (body, reply) = call.unwrap();
        assert_eq!((reply.status, reply.body), (200, body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_never_returned_for_a_later_request() {
    let test = start_mesh(1).await;
    let upstream = &test.hosts[1].upstream;
    let proxy = test.hosts[0].node.proxy_address();
    upstream.fail(Faults {
        slow_ms: 400,
        ..Faults::default()
    });
    let late = Caller::post(proxy, "late", "late").header("x-mulberry-deadline-ms", &100);
    assert_eq!(late.send().await.refusal(), (502, "unknown", "deadline"));
    upstream.fail(Faults::default());
    for index in 0..20 {
        let body = format!("crew {index}");
        let reply = Caller::post(proxy, &body, &body).send().await;
        assert_eq!((reply.status, reply.body), (200, body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_not_passed_on_as_complete() {
    let test = start_mesh(1).await;
    test.hosts[1].upstream.fail(Faults {
        cut_answers: 1,
        ..Faults::default()
    });
    let proxy = test.hosts[0].node.proxy_address();
    let cut = Caller::post(proxy, "cut", "a whole answer")
        .try_send()
        .await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(test.hosts[1].upstream.runs("cut"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_cancels_its_request_at_the_upstream() {
    let test = start_mesh(1).await;
    let upstream = &test.hosts[1].upstream;
    upstream.fail(Faults {
        slow_ms: 10_000,
        ..Faults::default()
    });
    let caller = Caller::post(test.hosts[0].node.proxy_address(), "gone", "x");
    let timed_out =
        tokio::time::timeout(std::time::Duration::from_millis(200), caller.send()).await;
    assert!(timed_out.is_err());
    assert_eq!(upstream.runs("gone"), 1);
    wait_idle(&test, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_beyond_the_limit_is_refused_as_not_run() {
    let test = start_mesh(1).await;
    let limits = json!([{ "kind": "limits", "metadata": { "name": SERVICE }, "spec": { "body_bytes": 10 } }]);
    let OperationStatus::Accepted(revision) = test.apply(0, limits).await else {
        panic!("the limits were not accepted");
    };
    test.wait_converged(revision).await;
    let proxy = test.hosts[0].node.proxy_address();
    let long = Caller::post(proxy, "long", "eleven char");
    assert_eq!(long.send().await.refusal(), (413, "not-run", "too-large"));
    assert_eq!(
        Caller::post(proxy, "short", "ten chars!")
            .send()
            .await
            .status,
        200
    );
    assert_eq!(test.hosts[1].upstream.runs("long"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn head_request_gets_headers_without_a_body() {
    let test = start_mesh(1).await;
    let caller = Caller::new(test.hosts[0].node.proxy_address(), "HEAD", "head", "");
    let reply = caller.send().await;
    assert_eq!((reply.status, reply.body.as_str()), (200, ""));
    assert_eq!(test.hosts[1].upstream.runs("head"), 1);
}

/// Writes bytes to a node as they are. Returns what it answers until the connection is closed or
/// 500 ms have passed.
async fn send_raw(proxy: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(proxy).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    let _ = tokio::time::timeout(std::time::Duration::from_millis(500), reading).await;
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn smuggled_request_never_reaches_the_upstream() {
    let test = start_mesh(1).await;
    let proxy = test.hosts[0].node.proxy_address();
    let smuggled = "GET /smuggled HTTP/1.1\r\nhost: dispatch-hub\r\nx-request-id: smuggled\r\n\r\n";
    let length = smuggled.len();
    let heads = [
        format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n"),
        format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n"),
        format!("content-length: 0\r\ncontent-length: {length}\r\n"),
        format!("content-length: {length}, 0\r\n"),
        "transfer-encoding: chunked, identity\r\n".into(),
        "transfer-encoding: xchunked\r\n".into(),
    ];
    for head in heads {
        let chunk = format!("{length:x}\r\n{smuggled}\r\n0\r\n\r\n");
        for body in [smuggled, &chunk] {
            let request = format!("POST /outer HTTP/1.1\r\nhost: dispatch-hub\r\n{head}\r\n{body}");
            send_raw(proxy, &request).await;
            assert_eq!(test.hosts[1].upstream.runs("smuggled"), 0, "{head}{body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_never_reaches_the_upstream() {
    let test = start_mesh(1).await;
    let request = "POST / HTTP/1.1\r\nhost: dispatch-hub\r\nx-request-id: cut\r\ncontent-length: 100\r\n\r\nhalf";
    let mut stream = TcpStream::connect(test.hosts[0].node.proxy_address())
        .await
        .unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    drop(stream);
    Caller::get(test.hosts[0].node.proxy_address(), "next")
        .send()
        .await;
    assert_eq!(test.hosts[1].upstream.runs("cut"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_and_hop_are_passed_to_the_upstream() {
    let test = start_mesh(1).await;
    let caller = Caller::get(test.hosts[0].node.proxy_address(), "chain")
        .header("x-mulberry-deadline-ms", &700)
        .header("x-mulberry-hop", &3);
    assert_eq!(caller.send().await.status, 200);
    let upstream = &test.hosts[1].upstream;
    let left = upstream.header("chain", "x-mulberry-deadline-ms").unwrap();
    assert!((1..=700).contains(&left.parse::<u64>().unwrap()), "{left}");
    assert_eq!(upstream.header("chain", "x-mulberry-hop").unwrap(), "4");
    let endless =
        Caller::get(test.hosts[0].node.proxy_address(), "endless").header("x-mulberry-hop", &17);
    assert_eq!(endless.send().await.refusal(), (508, "not-run", "hops"));
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_serves_several_requests() {
    let test = start_mesh(1).await;
    let request = "GET / HTTP/1.1\r\nhost: dispatch-hub\r\nx-request-id: kept\r\n\r\n";
    let last =
        "GET / HTTP/1.1\r\nhost: dispatch-hub\r\nx-request-id: kept\r\nconnection: close\r\n\r\n";
    let answers = send_raw(
        test.hosts[0].node.proxy_address(),
        &format!("{request}{request}{last}"),
    )
    .await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
    assert_eq!(test.hosts[1].upstream.runs("kept"), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_loses_no_request() {
    let test = start_mesh(3).await;
    let proxy = test.hosts[0].node.proxy_address();
    for host in &test.hosts {
        host.upstream.fail(Faults {
            slow_ms: 20,
            ..Faults::default()
        });
    }
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..200 {
        let id = format!("leaving-{index}");
        let caller = Caller::post(proxy, &id, "x");
        calls.spawn(async move { (id, caller.send().await) });
        if index == 60 {
            test.hosts[1].node.handle().drain();
        }
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    while let Some(call) = calls.join_next().await {
        let (id, reply) = call.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
        let runs: u64 = test.hosts.iter().map(|host| host.upstream.runs(&id)).sum();
        assert_eq!(runs, 1);
    }
    let before = test.hosts[1].upstream.total();
    for index in 0..50 {
        Caller::get(proxy, &format!("after-{index}")).send().await;
    }
    assert_eq!(test.hosts[1].upstream.total(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_the_announced_maximum() {
    let test = start_mesh(1).await;
    let host = &test.hosts[1];
    let limit = host.upstream.connections_most() + 2;
    host.node.handle().register_offer(Offer {
        address: host.upstream.address,
        connections_max: u32::try_from(limit).unwrap(),
        service: SERVICE.parse().unwrap(),
        slots: 24,
        version: "hub-1".parse().unwrap(),
    });
    host.upstream.fail(Faults {
        slow_ms: 300,
        ..Faults::default()
    });
    let proxy = test.hosts[0].node.proxy_address();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..24 {
        let caller = Caller::post(proxy, &format!("many-{index}"), "x");
        calls.spawn(async move { caller.send().await });
    }
    let replies = calls.join_all().await;
    assert!(host.upstream.connections_most() <= limit);
    let refused = (503, "not-run", "connections");
    assert!(
        replies.iter().any(|reply| reply.refusal() == refused),
        "{replies:?}"
    );
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert_eq!(reply.refusal(), refused);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_request_with_trailers_is_answered_completely() {
    let test = start_mesh(1).await;
    let request = "POST / HTTP/1.1\r\nhost: dispatch-hub\r\nconnection: close\r\n\
                   transfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                   4\r\ncrew\r\n2\r\n 7\r\n0\r\nx-sum: 6\r\n\r\n";
    let answer = send_raw(test.hosts[0].node.proxy_address(), request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("crew 7"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_are_complete_in_both_directions() {
    let test = start_mesh(1).await;
    let lines: Vec<String> = (0..200_000).map(|index| format!("{index:06}")).collect();
    let body = lines.join(",");
    let reply = Caller::post(test.hosts[0].node.proxy_address(), "long", &body)
        .send()
        .await;
    assert_eq!(reply.status, 200);
    assert!(
        reply.body == body,
        "{} of {} bytes",
        reply.body.len(),
        body.len()
    );
}

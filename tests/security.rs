//! Access control: nodes authenticate by certificates and operators by tokens, and callers reach only
//! the proxy port.

use {
    crate::test_mesh::{ANY_PORT, TestMesh, eventually},
    mulberryshelf::{
        link::{Event, Link},
        member::{Contact, Offer, Record, State},
        registration::{Announcement, Refusal},
        telemetry::Telemetry,
        tls::{Authority, Identity},
        types::{Moment, Revision},
        wire::Frame,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

struct Node {
    events: UnboundedReceiver<Event>,
    link: Link,
    telemetry: Telemetry,
}

impl Node {
    fn bind(identity: &Identity) -> Self {
        let telemetry = Telemetry::open(None).unwrap();
        let (sender, events) = unbounded_channel();
        let link = Link::bind(ANY_PORT, identity, telemetry.clone(), sender).unwrap();
        Self {
            events,
            link,
            telemetry,
        }
    }

    fn address(&self) -> SocketAddr {
        self.link.local_address().unwrap()
    }

    fn counter(&self, name: &str) -> i64 {
        self.telemetry.totals().get(name).copied().unwrap_or(0)
    }
}

fn sign(authority: &Authority, host: &str) -> Identity {
    let domain = "luzon-a".parse().unwrap();
    authority
        .issue_node_identity(&host.parse().unwrap(), &domain)
        .unwrap()
}

fn contact(host: &str, domain: &str) -> Contact {
    Contact {
        address: ANY_PORT,
        domain: domain.parse().unwrap(),
        host: host.parse().unwrap(),
        region: "luzon".parse().unwrap(),
    }
}

fn record(host: &str, domain: &str) -> Record {
    Record {
        contact: contact(host, domain),
        incarnation: Moment(1),
        offer: None,
        sequence: 1,
        state: State::Ready,
    }
}

/// Sends a frame from a1 to b1, and returns whether b1 accepted it. A refused frame is counted, and the
/// connection is closed.
async fn is_accepted(frame: Frame) -> bool {
    let authority = Authority::generate().unwrap();
    let a1 = Node::bind(&sign(&authority, "a1"));
    let mut b1 = Node::bind(&sign(&authority, "b1"));
    let (host, connection) = a1.link.connect(b1.address()).await.unwrap();
    a1.link.send(&host, &frame);
    loop {
        match b1.events.recv().await.unwrap() {
            Event::Received(host, received) => {
                assert_eq!((host.as_str(), received), ("a1", frame));
                return true;
            }
            Event::Disconnected(_) => {
                assert_eq!(b1.counter("link.frame.impostor"), 1);
                connection.closed().await;
                return false;
            }
            _ => {}
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_of_another_mesh_is_refused_and_counted() {
    let (ours, theirs) = (
        Authority::generate().unwrap(),
        Authority::generate().unwrap(),
    );
    let node = Node::bind(&sign(&ours, "a1"));
    let peer = Node::bind(&sign(&theirs, "b1"));
    assert!(peer.link.connect(node.address()).await.is_err());
    assert_eq!(peer.counter("link.connect.failed"), 1);
    eventually(|| node.counter("link.accept.refused") == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_signed_by_another_authority_is_refused() {
    let (ours, theirs) = (
        Authority::generate().unwrap(),
        Authority::generate().unwrap(),
    );
    let mut node = Node::bind(&sign(&ours, "a1"));
    let identity = Identity {
        authority: ours.certificate().into(),
        ..sign(&theirs, "b1")
    };
    let peer = Node::bind(&identity);
    // The peer may finish its side of the handshake before the node refuses it.
    let _ = peer.link.connect(node.address()).await;
    eventually(|| node.counter("link.accept.refused") == 1).await;
    assert!(node.events.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn certificate_without_host_or_expired_is_refused() {
    let authority = Authority::generate().unwrap();
    let refused = [
        (vec!["node.mulberryshelf".into()], 1, "link.accept.unnamed"),
        (
            vec![
                "node.mulberryshelf".into(),
                "b1.luzon-a.mulberryshelf".into(),
            ],
            -1,
            "link.accept.refused",
        ),
    ];
    for (names, days, counter) in refused {
        let mut node = Node::bind(&sign(&authority, "a1"));
        let peer = Node::bind(&authority.issue_identity(names, days).unwrap());
        let _ = peer.link.connect(node.address()).await;
        eventually(|| node.counter(counter) == 1).await;
        assert!(node.events.try_recv().is_err());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hello_must_match_the_certificate_of_the_peer() {
    let hello = |host, domain| Frame::Hello(contact(host, domain), Revision(1));
    assert!(is_accepted(hello("a1", "luzon-a")).await);
    assert!(!is_accepted(hello("a1", "luzon-b")).await);
    assert!(!is_accepted(hello("c1", "luzon-a")).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_other_hosts_are_accepted_but_a_false_one_of_the_peer_is_not() {
    let members = |records: [Record; 2]| Frame::Members(records.map(Arc::new).into());
    let other = record("c1", "luzon-b");
    assert!(is_accepted(members([record("a1", "luzon-a"), other.clone()])).await);
    assert!(!is_accepted(members([record("a1", "luzon-b"), other])).await);
}

fn http(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> u16 {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_string()).unwrap();
    agent.run(request).unwrap().status().as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_a_token_and_the_right_to_write() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let api = test.hosts[0].node.api_address();
    let read = [("authorization", "Bearer read")];
    let write = [("authorization", "Bearer write")];
    let list = format!("http://{api}/v1/route");
    let apply = format!("http://{api}/v1/apply");
    let change = r#"{ "operation": "1", "resources": [
        { "kind": "version", "metadata": { "name": "desk-1" }, "spec": { "service": "resident-desk" } }
    ] }"#;
    let statuses = tokio::task::spawn_blocking(move || {
        [
            http("GET", &list, &[], ""),
            http("GET", &list, &[("authorization", "Bearer wrong")], ""),
            http("GET", &list, &[("authorization", "Basic write")], ""),
            http("GET", &list, &read, ""),
            http("POST", &apply, &[], change),
            http("POST", &apply, &read, change),
            http("POST", &apply, &write, change),
        ]
    });
    assert_eq!(statuses.await.unwrap(), [401, 401, 401, 200, 401, 403, 200]);
}

#[tokio::test(flavor = "multi_thread")]
async fn proxy_port_reaches_neither_the_api_nor_the_admin_port() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let node = &test.hosts[0].node;
    let (proxy, api) = (node.proxy_address(), node.api_address());
    let statuses = tokio::task::spawn_blocking(move || {
        let token = ("authorization", "Bearer write");
        let host = api.to_string();
        let mut statuses = Vec::new();
        for path in ["/v1/route", "/v1/apply", "/health", "/counters", "/drain"] {
            let url = format!("http://{proxy}{path}");
            let api = format!("http://{api}{path}");
            let service = ("x-mulberry-service", "desk");
            statuses.push(http("GET", &url, &[token], ""));
            statuses.push(http("POST", &url, &[token, service], "{}"));
            statuses.push(http("GET", &url, &[token, ("host", &host)], ""));
            if !path.starts_with("/v1") {
                statuses.push(http("POST", &api, &[token], ""));
            }
        }
        statuses
    });
    let statuses = statuses.await.unwrap();
    assert!(
        statuses.iter().all(|status| matches!(status, 400 | 404)),
        "{statuses:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_cannot_announce_a_port_of_the_node() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let node = &test.hosts[0].node;
    for address in [
        node.api_address(),
        node.admin_address(),
        node.proxy_address(),
    ] {
        let refused = node.handle().register(Announcement {
            incarnation: 1,
            offer: Offer {
                address,
                connections_max: 1,
                service: "resident-desk".parse().unwrap(),
                slots: 1,
                version: "desk-1".parse().unwrap(),
            },
        });
        assert_eq!(refused, Err(Refusal::OwnPort));
    }
    let totals = node.handle().telemetry().totals();
    assert_eq!(totals["upstream.refused.own-port"], 3);
}

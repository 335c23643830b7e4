//! Tests of the connections between nodes.

use {
    crate::test_mesh::ANY_PORT,
    mulberryshelf::{
        link::{Event, Link},
        telemetry::Telemetry,
        tls::Authority,
    },
    tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

const DIALS: usize = 20;

fn bind(authority: &Authority, host: &str) -> (Link, UnboundedReceiver<Event>) {
    let domain = "luzon-a".parse().unwrap();
    let identity = authority
        .issue_node_identity(&host.parse().unwrap(), &domain)
        .unwrap();
    let (events, received) = unbounded_channel();
    let telemetry = Telemetry::open(None).unwrap();
    let link = Link::bind(ANY_PORT, &identity, telemetry, events).unwrap();
    (link, received)
}

#[tokio::test(flavor = "multi_thread")]
async fn dialling_again_leaves_one_connection() {
    let authority = Authority::generate().unwrap();
    let (dialler, mut dialler_events) = bind(&authority, "a1");
    let (listener, mut listener_events) = bind(&authority, "a2");
    let address = listener.local_address().unwrap();
    for _ in 0..DIALS {
        dialler.connect(address).await.unwrap();
    }
    dialler.close().await;
    let mut connections = 0;
    while let Some(Event::Connected(_)) = listener_events.recv().await {
        connections += 1;
    }
    assert_eq!(connections, 1);
    let mut reports = 0;
    while let Ok(Event::Connected(_)) = dialler_events.try_recv() {
        reports += 1;
    }
    assert_eq!(reports, DIALS, "each dial is reported");
}

//! Peers that connect to a node and stay connected, each with its own certificate.

use {
    mulberryshelf::{
        link::{Event, Link},
        telemetry::Telemetry,
        tls::Authority,
    },
    std::{fs, net::SocketAddr},
    tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

/// A connected peer that ignores every frame that it receives.
pub struct Peer {
    _events: UnboundedReceiver<Event>,
    _link: Link,
}

/// Connects peers to the node at `quic`, one after the other, with certificates that the authority in
/// `directory` signs.
pub async fn connect(directory: &str, quic: SocketAddr, count: usize) -> Vec<Peer> {
    let read = |name| {
        fs::read_to_string(format!("{directory}/{name}")).expect("cannot read the authority")
    };
    let authority = Authority::from_pem(read("authority.pem"), read("authority.key"));
    let mut peers = Vec::new();
    for index in 0..count {
        let host = format!("peer-{index}").parse().expect("invalid name");
        let domain = "luzon-a".parse().expect("invalid name");
        let identity = authority
            .issue_node_identity(&host, &domain)
            .expect("cannot sign a certificate");
        let (sender, events) = unbounded_channel();
        let telemetry = Telemetry::open(None).expect("cannot create the counters");
        let loopback = "127.0.0.1:0".parse().expect("invalid address");
        let link = Link::bind(loopback, &identity, telemetry, sender)
            .expect("cannot bind a loopback port");
        link.connect(quic)
            .await
            .expect("cannot connect to the node");
        peers.push(Peer {
            _events: events,
            _link: link,
        });
    }
    peers
}

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
    let read = |name| fs::read_to_string(format!("{directory}/{name}")).expect("an authority");
    let authority = Authority::from_pem(read("authority.pem"), read("authority.key"));
    let mut peers = Vec::new();
    for index in 0..count {
        let host = format!("peer-{index}").parse().expect("a name");
        let domain = "luzon-a".parse().expect("a name");
        let identity = authority.sign(&host, &domain).expect("a certificate");
        let (sender, events) = unbounded_channel();
        let telemetry = Telemetry::open(None).expect("counters");
        let any = "127.0.0.1:0".parse().expect("an address");
        let link = Link::bind(any, &identity, telemetry, sender).expect("a free port");
        link.connect(quic).await.expect("a node");
        peers.push(Peer {
            _events: events,
            _link: link,
        });
    }
    peers
}

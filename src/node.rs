//! A running node: the edges around the decisions, and the loop that drives them.

use {
    crate::{
        admin,
        api::Port,
        control::{self, Control, Start},
        error::{Error, Result},
        link::{self, Link},
        proxy::{Proxy, egress, ingress::Ingress},
        settings::Settings,
        telemetry::Telemetry,
        tls::Identity,
        traffic::Traffic,
    },
    driver::Driver,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

mod clock;
mod driver;
mod handle;
mod worker;

pub use {clock::Clock, handle::Handle};

/// A running node.
pub struct Node {
    admin: Port,
    api: Port,
    handle: Handle,
    ingress: Ingress,
    link: Link,
    quic: SocketAddr,
}

impl Node {
    /// Starts a node: every port is bound before the first request is served.
    ///
    /// # Errors
    /// Fails if a port is taken or the identity unusable; nothing is left running then.
    pub async fn spawn(settings: Settings, identity: &Identity) -> Result<Self> {
        let clock = Clock::open();
        let telemetry = Telemetry::open(settings.statsd).map_err(Error::Telemetry)?;
        let (link_events, from_link) = unbounded_channel();
        let link = Link::bind(settings.quic, identity, telemetry.clone(), link_events)?;
        let traffic = Traffic::new(
            settings.domain.clone(),
            settings.region.clone(),
            rand::random(),
        );
        let proxy = Proxy::new(clock, link.clone(), traffic, telemetry.clone());
        let (events, from_edges) = unbounded_channel();
        let handle = Handle {
            coverage: Arc::default(),
            events: events.clone(),
            snapshot: Arc::default(),
            telemetry,
            tickets: Arc::default(),
            waiting: Arc::default(),
        };
        let api = Port::api(settings.api, settings.tokens.clone(), handle.clone())?;
        let admin = admin::bind(settings.admin, handle.clone())?;
        let ingress = Ingress::bind(settings.proxy, proxy.clone()).await?;
        let mut contact = settings.contact();
        contact.address = link.address().map_err(|source| Error::Bind {
            address: settings.quic,
            source,
        })?;
        let quic = contact.address;
        let control = Control::new(Start {
            contact,
            now: clock.now(),
            peers: settings.peers.clone(),
            seed: rand::random(),
            spread: control::Spread::default(),
        });
        let driver = Driver {
            clock,
            control,
            handle: handle.clone(),
            link: link.clone(),
            platform: worker::spawn(&settings.platform, &events),
            proxy: proxy.clone(),
        };
        tokio::spawn(driver.run(from_edges));
        tokio::spawn(relay(from_link, events, proxy));
        Ok(Self {
            admin,
            api,
            handle,
            ingress,
            link,
            quic,
        })
    }

    /// Gives what the API reaches the node by.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Gives where the resource API is served.
    #[must_use]
    pub fn api(&self) -> SocketAddr {
        self.api.address
    }

    /// Gives where the admin port is.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address
    }

    /// Gives where callers' requests are taken.
    #[must_use]
    pub fn proxy(&self) -> SocketAddr {
        self.ingress.address
    }

    /// Gives where other nodes' QUIC connections are taken.
    #[must_use]
    pub fn quic(&self) -> SocketAddr {
        self.quic
    }

    /// Stops: new work is refused, what runs is finished.
    pub async fn stop(self) {
        self.handle.drain();
        self.ingress.stop().await;
        self.api.stop();
        self.admin.stop();
        self.link.close().await;
    }
}

async fn relay(
    mut from: UnboundedReceiver<link::Event>,
    to: UnboundedSender<control::Event>,
    proxy: Proxy,
) {
    while let Some(event) = from.recv().await {
        let event = match event {
            link::Event::Connected(host) => control::Event::Connected(host),
            link::Event::Disconnected(host) => control::Event::Disconnected(host),
            link::Event::Received(host, frame) => control::Event::Received(host, frame),
            link::Event::Requested(_, send, recv) => {
                tokio::spawn(egress::serve(proxy.clone(), send, recv));
                continue;
            }
        };
        if to.send(event).is_err() {
            return;
        }
    }
}

//! A running node: the edges around the decisions, and the loop that drives them.

use {
    crate::{
        admin,
        api::Port,
        control::{self, Control, Start},
        error::{Error, Result},
        flight::Flight,
        journal::{Change, Journal},
        link::{self, Link},
        presence::Presence,
        proxy::{Proxy, egress, ingress::Ingress},
        rollout,
        settings::{Settings, Stop},
        telemetry::Telemetry,
        tls::Identity,
        traffic::Router,
        wire::Frame,
    },
    driver::Driver,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

mod clock;
mod driver;
mod handle;
mod rollouts;
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
    stop: Stop,
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
        let traffic = Router::new(
            settings.domain.clone(),
            settings.region.clone(),
            rand::random(),
        );
        let proxy = Proxy::new(
            settings.host.clone(),
            clock,
            link.clone(),
            traffic,
            telemetry.clone(),
        );
        let (events, from_edges) = unbounded_channel();
        let presence = Presence::new(settings.lease, settings.stop.spread);
        let handle = Handle {
            clock,
            coverage: Arc::default(),
            events: events.clone(),
            feed: Arc::default(),
            rollouts: Arc::default(),
            flight: Flight::default(),
            journal: Journal::open(settings.host.clone()),
            presence: Arc::new(Mutex::new(presence)),
            proxy: proxy.clone(),
            reach: Arc::default(),
            snapshot: Arc::default(),
            telemetry,
            tickets: Arc::default(),
            waiting: Arc::default(),
        };
        let api = Port::api(settings.api, settings.tokens.clone(), handle.clone())?;
        let admin = admin::bind(settings.admin, handle.clone())?;
        let ingress = Ingress::bind(settings.proxy, proxy.clone()).await?;
        handle.reserve(vec![api.address, admin.address, ingress.address]);
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
        let start = rollout::Start {
            domain: settings.domain.clone(),
            host: settings.host.clone(),
            now: clock.now(),
            region: settings.region.clone(),
        };
        let driver = Driver {
            clock,
            control,
            handle: handle.clone(),
            link: link.clone(),
            platform: worker::spawn(&settings.platform, &events),
            proxy: proxy.clone(),
            rollouts: rollouts::Rollouts::new(
                start,
                link.clone(),
                proxy.clone(),
                handle.telemetry().clone(),
            ),
        };
        tokio::spawn(driver.run(from_edges));
        tokio::spawn(relay(from_link, events, proxy, handle.flight.clone()));
        handle.journal.write(&Change::Started);
        Ok(Self {
            admin,
            api,
            handle,
            ingress,
            link,
            quic,
            stop: settings.stop,
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

    /// Stops: other nodes are told first and given time to send no more, then what runs is finished,
    /// and only then the connections close. Requests that outlast the time limit are cut and counted.
    pub async fn stop(self) {
        self.handle.journal.write(&Change::Stopping);
        self.handle.stop();
        tokio::time::sleep(self.stop.spread).await;
        let ingress = self.ingress.stop();
        let finished = async {
            ingress.await;
            self.handle.flight.idle().await;
        };
        if tokio::time::timeout(self.stop.timeout, finished)
            .await
            .is_err()
        {
            self.handle.telemetry.count("stop.timeout");
            let running = self.handle.running();
            self.handle.journal.write(&Change::Cut(running));
        }
        self.api.stop();
        self.admin.stop();
        self.link.close().await;
        self.handle.journal.write(&Change::Stopped);
    }
}

async fn relay(
    mut from: UnboundedReceiver<link::Event>,
    to: UnboundedSender<control::Event>,
    proxy: Proxy,
    flight: Flight,
) {
    while let Some(event) = from.recv().await {
        let event = match event {
            link::Event::Connected(host) => {
                proxy.greet(&host);
                control::Event::Connected(host)
            }
            link::Event::Disconnected(host) => control::Event::Disconnected(host),
            link::Event::Received(_, Frame::Strikes(strikes)) => {
                proxy.learn(strikes);
                continue;
            }
            link::Event::Received(host, frame) => control::Event::Received(host, frame),
            link::Event::Requested(_, send, recv) => {
                let (proxy, seat) = (proxy.clone(), flight.enter());
                tokio::spawn(async move {
                    egress::serve(proxy, send, recv).await;
                    drop(seat);
                });
                continue;
            }
        };
        if to.send(event).is_err() {
            return;
        }
    }
}

//! A running node. It binds the ports, starts the event loop that feeds the state machines and executes
//! their actions, and carries out a planned stop.

use {
    crate::{
        admin,
        api::HttpServer,
        control::{self, Control, Start},
        error::{Error, Result},
        event_log::{EventLog, StateChange},
        in_flight::RequestCounter,
        link::{self, Link},
        proxy::{Proxy, egress, ingress::Ingress},
        registration::Registration,
        rollout,
        settings::{Settings, StopLimits},
        telemetry::Telemetry,
        tls::Identity,
        traffic::Router,
        wire::Frame,
    },
    event_loop::EventLoop,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

mod clock;
mod event_loop;
mod handle;
mod rollouts;
mod worker;

pub use {clock::Clock, handle::Handle};

/// A running node.
pub struct Node {
    admin: HttpServer,
    api: HttpServer,
    handle: Handle,
    ingress: Ingress,
    link: Link,
    quic: SocketAddr,
    stop: StopLimits,
}

impl Node {
    /// Starts a node. Every port is bound before the first request is served.
    ///
    /// # Errors
    /// Fails if a port is in use or the identity is unusable. In that case nothing is left running.
    pub async fn spawn(settings: Settings, identity: &Identity) -> Result<Self> {
        let clock = Clock::start();
        let telemetry = Telemetry::open(settings.statsd).map_err(Error::Telemetry)?;
        let (link_events_sender, link_events_receiver) = unbounded_channel();
        let link = Link::bind(
            settings.quic,
            identity,
            telemetry.clone(),
            link_events_sender,
        )?;
        let router = Router::new(
            settings.domain.clone(),
            settings.region.clone(),
            rand::random(),
        );
        let proxy = Proxy::new(
            settings.host.clone(),
            clock,
            link.clone(),
            router,
            telemetry.clone(),
        );
        let (events, events_receiver) = unbounded_channel();
        let registration = Registration::new(settings.lease, settings.stop.spread);
        let handle = Handle {
            clock,
            coverage: Arc::default(),
            events: events.clone(),
            deletions: Arc::default(),
            rollout_statuses: Arc::default(),
            flight: RequestCounter::default(),
            event_log: EventLog::new(settings.host.clone()),
            registration: Arc::new(Mutex::new(registration)),
            proxy: proxy.clone(),
            reachability: Arc::default(),
            snapshot: Arc::default(),
            telemetry,
            next_call_id: Arc::default(),
            pending_replies: Arc::default(),
        };
        let api = HttpServer::serve_api(settings.api, settings.tokens.clone(), handle.clone())?;
        let admin = admin::bind(settings.admin, handle.clone())?;
        let ingress = Ingress::bind(settings.proxy, proxy.clone()).await?;
        handle.set_own_ports(vec![api.address, admin.address, ingress.address]);
        let mut contact = settings.contact();
        contact.address = link.local_address().map_err(|source| Error::Bind {
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
        let event_loop = EventLoop {
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
        tokio::spawn(event_loop.run(events_receiver));
        tokio::spawn(forward_link_events(
            link_events_receiver,
            events,
            proxy,
            handle.flight.clone(),
        ));
        handle.event_log.write(&StateChange::Started);
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

    /// Returns the handle by which the API and the admin port control the node.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the address of the resource API.
    #[must_use]
    pub fn api_address(&self) -> SocketAddr {
        self.api.address
    }

    /// Returns the address of the admin port.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Returns the address at which callers' requests are accepted.
    #[must_use]
    pub fn proxy_address(&self) -> SocketAddr {
        self.ingress.address
    }

    /// Returns the address at which QUIC connections of other nodes are accepted.
    #[must_use]
    pub fn quic_address(&self) -> SocketAddr {
        self.quic
    }

    /// Stops the node. The other nodes are notified first and get time to stop sending requests, then
    /// requests in flight are finished, and only after that are the connections closed.
    /// Requests that still run at the time limit are aborted, which is logged and counted.
    pub async fn stop(self) {
        self.handle.event_log.write(&StateChange::Stopping);
        self.handle.stop();
        tokio::time::sleep(self.stop.spread).await;
        let ingress = self.ingress.stop();
        let requests_finished = async {
            ingress.await;
            self.handle.flight.wait_idle().await;
        };
        if tokio::time::timeout(self.stop.timeout, requests_finished)
            .await
            .is_err()
        {
            self.handle.telemetry.count("stop.timeout");
            let running = self.handle.running_requests();
            self.handle.event_log.write(&StateChange::Aborted(running));
        }
        self.api.stop();
        self.admin.stop();
        self.link.close().await;
        self.handle.event_log.write(&StateChange::Stopped);
    }
}

/// Forwards link events to the event loop. Strikes and requests of other nodes go to the proxy instead.
async fn forward_link_events(
    mut receiver: UnboundedReceiver<link::Event>,
    sender: UnboundedSender<control::Event>,
    proxy: Proxy,
    flight: RequestCounter,
) {
    while let Some(event) = receiver.recv().await {
        let event = match event {
            link::Event::Connected(host) => {
                proxy.send_known_strikes(&host);
                control::Event::Connected(host)
            }
            link::Event::Disconnected(host) => control::Event::Disconnected(host),
            link::Event::Received(_, Frame::Strikes(strikes)) => {
                proxy.merge_strikes(strikes);
                continue;
            }
            link::Event::Received(host, frame) => control::Event::Received(host, frame),
            link::Event::Requested(_, send, recv) => {
                let (proxy, guard) = (proxy.clone(), flight.start_request());
                tokio::spawn(async move {
                    egress::serve(proxy, send, recv).await;
                    drop(guard);
                });
                continue;
            }
        };
        if sender.send(event).is_err() {
            return;
        }
    }
}

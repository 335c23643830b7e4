//! The path of a request: a caller's HTTP request enters at any node, crosses by QUIC to the node at
//! the chosen upstream, and the answer comes back whole. See docs/design/requests.md.

use {
    crate::{
        link::Link,
        member::Offer,
        node::Clock,
        telemetry::Telemetry,
        traffic::{Router, admission::Ticket, quarantine::Strike},
        wire::{Frame, Part},
        world::{Host, Moment, Service},
    },
    gate::Gate,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

pub mod call;
pub mod egress;
pub mod forward;
pub mod gate;
pub mod headers;
pub mod ingress;
pub mod keyed;
pub mod parts;
pub mod pool;

/// How long a failed request's answer waits for its strike to reach the service's other nodes.
const STRIKE_TIMEOUT: Duration = Duration::from_millis(250);

/// What both sides of the path share.
#[derive(Clone)]
pub struct Proxy {
    clock: Clock,
    gate: Gate,
    host: Host,
    keys: keyed::Keys,
    link: Link,
    pool: pool::Pool,
    telemetry: Telemetry,
    tickets: Arc<AtomicU64>,
    traffic: Arc<Mutex<Router>>,
}

impl Proxy {
    /// Makes the shared part of the path.
    #[must_use]
    pub fn new(
        host: Host,
        clock: Clock,
        link: Link,
        traffic: Router,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            clock,
            gate: Gate::new(clock),
            host,
            keys: keyed::Keys::default(),
            link,
            pool: pool::Pool::default(),
            telemetry,
            tickets: Arc::default(),
            traffic: Arc::new(Mutex::new(traffic)),
        }
    }

    /// Gives the routing state.
    pub fn traffic(&self) -> MutexGuard<'_, Router> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what the upstream on this host offers; nothing if it takes no new work.
    pub fn offer(&self, offer: Option<Offer>) {
        self.gate.offer(offer);
    }

    /// Takes in what another node knows of requests that crash upstreams.
    pub fn learn(&self, strikes: Vec<Strike>) {
        for strike in strikes {
            self.gate.learn(strike);
        }
    }

    /// Tells a node that has connected of requests that crash upstreams.
    pub fn greet(&self, host: &Host) {
        let strikes = self.gate.strikes();
        if !strikes.is_empty() {
            self.link.send(host, &Frame::Strikes(strikes));
        }
    }

    /// Tells the nodes of a service of strikes, and waits a little until they know.
    async fn strike(&self, service: &Service, strikes: Vec<Strike>) {
        if strikes.is_empty() {
            return;
        }
        self.telemetry
            .add("quarantine.struck", strikes.len() as u64);
        let peers: Vec<(Host, SocketAddr)> = self
            .traffic()
            .hosts_of(service)
            .map(|record| (record.contact.host.clone(), record.contact.address))
            .filter(|(host, _)| *host != self.host)
            .collect();
        let part = Arc::new(Part::Strikes(strikes));
        let mut deliveries = tokio::task::JoinSet::new();
        for (host, address) in peers {
            let (link, part) = (self.link.clone(), part.clone());
            deliveries.spawn(async move { deliver(&link, &host, address, &part).await });
        }
        let all = async {
            while let Some(delivered) = deliveries.join_next().await {
                if !matches!(delivered, Ok(Some(()))) {
                    self.telemetry.count("quarantine.undelivered");
                }
            }
        };
        if tokio::time::timeout(STRIKE_TIMEOUT, all).await.is_err() {
            self.telemetry.count("quarantine.late");
            deliveries.detach_all();
        }
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends strikes to a node, and waits until it has taken them in.
async fn deliver(link: &Link, host: &Host, address: SocketAddr, part: &Part) -> Option<()> {
    let connection = link.connection(host, address).await.ok()?;
    let (mut send, mut recv) = connection.open_bi().await.ok()?;
    parts::write(&mut send, part).await.ok()?;
    let acknowledged = parts::read(&mut recv).await.ok()?;
    matches!(acknowledged, Part::End(_)).then_some(())
}

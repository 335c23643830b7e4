//! The proxy for HTTP requests. A caller's request enters at any node, is forwarded over QUIC to
//! the node of the chosen upstream, and its answer is streamed back the same way. A truncated
//! answer is never passed on as a complete one. See docs/design/requests.md.

use {
    crate::{
        link::Link,
        member::Offer,
        node::Clock,
        telemetry::Telemetry,
        traffic::{Router, admission::Ticket, quarantine::Strike},
        types::{Host, Moment, Service},
        wire::{Frame, Part},
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
pub mod idempotency;
pub mod ingress;
pub mod parts;
pub mod pool;
pub mod stream;

/// How long the answer of a failed request is held back until the other nodes of the service have
/// received its strike.
const STRIKE_TIMEOUT: Duration = Duration::from_millis(250);

/// The state that the ingress and the egress of a node share.
#[derive(Clone)]
pub struct Proxy {
    clock: Clock,
    gate: Gate,
    host: Host,
    keys: idempotency::Keys,
    link: Link,
    pool: pool::Pool,
    telemetry: Telemetry,
    tickets: Arc<AtomicU64>,
    router: Arc<Mutex<Router>>,
}

impl Proxy {
    /// Creates the shared state, without an upstream.
    #[must_use]
    pub fn new(host: Host, clock: Clock, link: Link, router: Router, telemetry: Telemetry) -> Self {
        Self {
            clock,
            gate: Gate::new(clock),
            host,
            keys: idempotency::Keys::default(),
            link,
            pool: pool::Pool::default(),
            telemetry,
            tickets: Arc::default(),
            router: Arc::new(Mutex::new(router)),
        }
    }

    /// Locks and returns the routing state.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the offer of the upstream on this host. `None` if it accepts no new requests.
    pub fn set_offer(&self, offer: Option<Offer>) {
        self.gate.set_offer(offer);
    }

    /// Merges strikes from another node against requests that crash upstreams.
    pub fn merge_strikes(&self, strikes: Vec<Strike>) {
        for strike in strikes {
            self.gate.merge_strike(strike);
        }
    }

    /// Sends all known strikes against requests that crash upstreams to a newly connected node.
    pub fn send_known_strikes(&self, host: &Host) {
        let strikes = self.gate.strikes();
        if !strikes.is_empty() {
            self.link.send(host, &Frame::Strikes(strikes));
        }
    }

    /// Sends strikes to the other nodes of a service, and waits up to [`STRIKE_TIMEOUT`] for their
    /// acknowledgements. Deliveries that take longer continue in the background.
    async fn send_strikes(&self, service: &Service, strikes: Vec<Strike>) {
        if strikes.is_empty() {
            return;
        }
        self.telemetry
            .add("quarantine.struck", strikes.len() as u64);
        let peers: Vec<(Host, SocketAddr)> = self
            .router()
            .hosts_of(service)
            .map(|record| (record.contact.host.clone(), record.contact.address))
            .filter(|(host, _)| *host != self.host)
            .collect();
        let message = Arc::new(Part::Strikes(strikes));
        let mut deliveries = tokio::task::JoinSet::new();
        for (host, address) in peers {
            let (link, message) = (self.link.clone(), message.clone());
            deliveries.spawn(async move { deliver_strikes(&link, &host, address, &message).await });
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

    fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends strikes to a node and waits for its acknowledgement. Returns `None` if either fails.
async fn deliver_strikes(
    link: &Link,
    host: &Host,
    address: SocketAddr,
    message: &Part,
) -> Option<()> {
    let connection = link.get_or_connect(host, address).await.ok()?;
    let (mut send, mut recv) = connection.open_bi().await.ok()?;
    parts::write(&mut send, message).await.ok()?;
    let acknowledged = parts::read(&mut recv).await.ok()?;
    matches!(acknowledged, Part::End(_)).then_some(())
}

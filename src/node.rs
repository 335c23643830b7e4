//! A running node: the edges around the decisions, and the loop that drives them.

use {
    crate::{
        api::Port,
        control::{self, Control, Start},
        error::{Error, Result},
        link::{self, Link},
        member::Offer,
        platform::Platform,
        proxy::{Proxy, egress, ingress::Ingress},
        settings::Settings,
        snapshot::Snapshot,
        source::{self, Operation, Outcome, Ticket, Verdict},
        spread::Coverage,
        telemetry::Telemetry,
        tls::Identity,
        traffic::Traffic,
        world::{Domain, Moment, Revision},
    },
    arc_swap::ArcSwap,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(50);

/// Tells the time: the wall clock's at the start, advanced by a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Moment,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    #[must_use]
    pub fn open() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Moment::default() + since,
            started: Instant::now(),
        }
    }

    /// Gives the time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start + self.started.elapsed()
    }
}

/// What the API reaches a node by.
#[derive(Clone)]
pub struct Handle {
    coverage: Arc<ArcSwap<BTreeMap<Domain, Coverage>>>,
    events: UnboundedSender<control::Event>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    telemetry: Telemetry,
    tickets: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<u64, mpsc::Sender<Verdict>>>>,
}

impl Handle {
    /// Gives the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Gives how far each failure domain has come.
    #[must_use]
    pub fn coverage(&self) -> Arc<BTreeMap<Domain, Coverage>> {
        self.coverage.load_full()
    }

    /// Gives the counters.
    #[must_use]
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Has an operation accepted, and waits for what becomes of it.
    #[must_use]
    pub fn submit(&self, operation: Operation) -> Verdict {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel();
        self.waiting().insert(ticket, sender);
        self.report(control::Event::Submitted(Ticket(ticket), operation));
        let verdict = receiver.recv_timeout(SUBMIT_TIMEOUT);
        self.waiting().remove(&ticket);
        verdict.unwrap_or(Verdict::Unknown)
    }

    /// Takes an upstream's announcement.
    pub fn announce(&self, offer: Offer) {
        self.report(control::Event::Announced(offer));
    }

    /// Has the upstream on this host take no new work.
    pub fn drain(&self) {
        self.report(control::Event::Draining);
    }

    fn report(&self, event: control::Event) {
        // The loop is gone only while the node stops.
        let _ = self.events.send(event);
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

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
        let proxy = Proxy::new(link.clone(), traffic, telemetry.clone());
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
        let admin = Port::admin(settings.admin, handle.clone())?;
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
            platform: worker(&settings.platform, &events),
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

/// Calls the platform from threads of its own, so that a slow answer holds up nothing else.
fn worker(base: &str, events: &UnboundedSender<control::Event>) -> mpsc::Sender<source::Action> {
    let (reads, to_read) = mpsc::channel::<Revision>();
    let (writes, to_write) = mpsc::channel::<source::Entry>();
    let (sender, receiver) = mpsc::channel();
    let platform = Platform::open(base);
    let (reader, reported) = (platform.clone(), events.clone());
    thread::spawn(move || {
        while let Ok(after) = to_read.recv() {
            let _ = reported.send(control::Event::Read(reader.read(after)));
        }
    });
    let reported = events.clone();
    thread::spawn(move || {
        while let Ok(entry) = to_write.recv() {
            let outcome: Outcome = platform.transact(&entry);
            let _ = reported.send(control::Event::Transacted(entry.revision, outcome));
        }
    });
    thread::spawn(move || {
        while let Ok(action) = receiver.recv() {
            // The workers end only after this thread does.
            match action {
                source::Action::Read(after) => drop(reads.send(after)),
                source::Action::Transact(entry) => drop(writes.send(entry)),
                source::Action::Reply(..) => {}
            }
        }
    });
    sender
}

struct Driver {
    clock: Clock,
    control: Control,
    handle: Handle,
    link: Link,
    platform: mpsc::Sender<source::Action>,
    proxy: Proxy,
}

impl Driver {
    async fn run(mut self, mut events: UnboundedReceiver<control::Event>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                _ = ticks.tick() => control::Event::Tick,
            };
            self.note(&event);
            for action in self.control.handle(self.clock.now(), event) {
                self.act(action);
            }
        }
    }

    fn note(&self, event: &control::Event) {
        match event {
            control::Event::Announced(offer) => self.proxy.offer(Some(offer.clone())),
            control::Event::Draining => self.proxy.offer(None),
            _ => {}
        }
    }

    fn act(&mut self, action: control::Action) {
        match action {
            control::Action::Connect(address) => {
                let link = self.link.clone();
                // A failure is counted by the link, and the next tick tries again.
                tokio::spawn(async move { drop(link.connect(address).await) });
            }
            control::Action::Count(name) => self.handle.telemetry.count(name),
            control::Action::Cover(coverage) => self.handle.coverage.store(Arc::new(coverage)),
            control::Action::Install(snapshot) => {
                self.handle.snapshot.store(snapshot.clone());
                self.proxy.traffic().install(snapshot);
            }
            // Nothing in this node judges rollouts yet.
            control::Action::Role(_) | control::Action::Rollout(..) => {}
            control::Action::Send(host, frame) => self.link.send(&host, &frame),
            control::Action::Source(source::Action::Reply(ticket, verdict)) => {
                if let Some(waiting) = self.handle.waiting().remove(&ticket.0) {
                    // A client that waits no more asks again with the same id.
                    let _ = waiting.send(verdict);
                }
            }
            control::Action::Source(action) => drop(self.platform.send(action)),
            control::Action::Update(records) => self.proxy.traffic().update(records),
        }
    }
}

//! A running node: the state that its edges share, and the timer that drives what is due.

use {
    super::{
        conductor::Conductor,
        control::Control,
        document::{Difference, Document, Index, Number},
        duty::{self, Candidate, Reach},
        egress, follower,
        frame::{Contact, Frame, Status},
        ingress,
        log::{FLUSH, Log},
        metrics::Metrics,
        peers::Peers,
        placement::Placement,
        queue::Queue,
        ramp::{Phase, Ramp},
        retries::{Allowance, Retries},
        returns::Returns,
        settings::Settings,
        spread::Scope,
        store::Store,
        upstream::Upstream,
        words::Words,
    },
    crate::{
        error::{Error, Result},
        node::Clock,
        traffic::{quarantine::Quarantine, spill::Tier},
        world::{Host, Moment, Service},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// How many steps between documents are kept for nodes that missed some.
const DIFFERENCES_KEPT: usize = 32;
/// How long a stopping node goes on offering its upstream's slots: callers are still sent to it, and its
/// place is taken over slowly.
const OFFERS_WHILE_STOPPING: Duration = Duration::from_secs(1);
/// How long a stopping node takes new requests in: until whoever sends callers here has noticed.
const STOP_TAKES_CALLERS: Duration = Duration::from_millis(2500);
/// The part of the grace period after which the node ends with whatever still runs.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// What the edges of a node share.
pub(super) struct Core {
    pub callers: Cell<usize>,
    pub clock: Clock,
    pub conductor: RefCell<Conductor>,
    pub contact: Contact,
    pub differences: RefCell<VecDeque<Arc<Difference>>>,
    pub document: RefCell<Arc<Document>>,
    pub egress: egress::State,
    pub index: RefCell<Index>,
    pub log: Log,
    pub metrics: Metrics,
    pub peers: Peers,
    pub placement: RefCell<Placement>,
    pub ramps: RefCell<HashMap<Service, Ramp>>,
    pub reach: Cell<Reach>,
    pub retries: RefCell<Retries>,
    pub returns: RefCell<Returns>,
    pub settings: RefCell<Settings>,
    pub stopping: Cell<Option<Moment>>,
    pub words: Words,
}

impl Core {
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    pub fn number(&self) -> Number {
        self.document.borrow().number
    }

    /// Tells whether a document is in force.
    pub fn configured(&self) -> bool {
        self.number() > Number::default()
    }

    pub fn host(&self) -> &Host {
        &self.contact.host
    }

    pub fn tier(&self, contact: &Contact) -> Tier {
        if contact.domain == self.contact.domain {
            Tier::Own
        } else if contact.region == self.contact.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }

    /// Gives what this node tells others of itself.
    pub fn status(&self) -> Status {
        let stopping = self.stopping.get();
        let leaves = stopping.is_some_and(|since| self.now().since(since) >= OFFERS_WHILE_STOPPING);
        Status {
            document: self.number(),
            offer: if leaves {
                None
            } else {
                self.egress.offer(self.now())
            },
            reach: self.reach.get(),
        }
    }

    /// Tells every connected node what has changed here, and places requests by it.
    pub fn announce(&self) {
        let status = self.status();
        let now = self.now();
        let offer = status.offer.clone();
        self.placement
            .borrow_mut()
            .offer(now, self.host(), Tier::Own, offer);
        self.peers.broadcast(&Frame::Status(status));
    }

    /// Tells whether the node stops and takes no new requests, so that what it has can end in time.
    pub fn is_closing(&self) -> bool {
        let since = self.stopping.get();
        since.is_some_and(|since| self.now().since(since) >= STOP_TAKES_CALLERS)
    }

    /// Gives this node's rank among those that may follow the store.
    pub fn rank(&self) -> usize {
        let own = Candidate {
            reach: self.reach.get(),
            host: self.host().clone(),
        };
        duty::rank(&own, self.peers.candidates().into_iter())
    }

    /// Gives the node that conducts moves between versions; nothing if it is this one.
    pub fn conducting(&self) -> Option<Host> {
        let own = Candidate {
            reach: self.reach.get(),
            host: self.host().clone(),
        };
        let first = self.peers.candidates().into_iter().min()?;
        (first < own).then_some(first.host)
    }

    /// Takes a document over if it is newer than the one that is held.
    pub fn install(&self, document: Document, source: &str) -> bool {
        let held = self.document.borrow().clone();
        if document.number <= held.number {
            return false;
        }
        if let Err(fault) = document.check() {
            let number = document.number;
            self.log.line(
                self.now(),
                "document",
                format_args!("outcome=refused number={number} source={source} cause=\"{fault}\""),
            );
            return false;
        }
        let difference = Arc::new(held.difference(&document));
        let number = document.number;
        *self.index.borrow_mut() = Index::new(&document);
        *self.document.borrow_mut() = Arc::new(document);
        {
            let mut differences = self.differences.borrow_mut();
            differences.push_back(difference);
            if differences.len() > DIFFERENCES_KEPT {
                differences.pop_front();
            }
        }
        self.metrics
            .document
            .set(i64::try_from(number.0).unwrap_or(i64::MAX));
        self.log.line(
            self.now(),
            "document",
            format_args!(
                "outcome=in-force number={number} before={} source={source}",
                held.number
            ),
        );
        true
    }

    /// Gives what leads from a document to the one in force, for a node that is to hand it on to `scope`.
    pub fn news(&self, from: Number, scope: Scope) -> Vec<Frame> {
        let document = self.document.borrow().clone();
        if document.number <= from {
            return Vec::new();
        }
        let differences = self.differences.borrow();
        let mut steps = differences
            .iter()
            .filter(|step| step.from >= from)
            .peekable();
        if from > Number::default() && steps.peek().is_some_and(|step| step.from == from) {
            return steps
                .map(|step| Frame::Difference(scope, step.clone()))
                .collect();
        }
        vec![Frame::Document(scope, document)]
    }

    /// Takes over what is in force while a service's traffic moves, if it is news.
    pub fn follow(&self, ramp: Ramp) -> bool {
        let mut ramps = self.ramps.borrow_mut();
        if ramps
            .get(&ramp.service)
            .is_some_and(|held| !ramp.follows(held))
        {
            return false;
        }
        let before = ramps.get(&ramp.service);
        let changed = before.is_none_or(|before| {
            (before.mark, before.phase, before.share) != (ramp.mark, ramp.phase, ramp.share)
        });
        if changed {
            self.log.line(
                self.now(),
                "move",
                format_args!(
                    "service={} to={} share={} phase={:?} order={} elapsed_ms={}",
                    ramp.service,
                    ramp.to,
                    ramp.share,
                    ramp.phase,
                    ramp.mark,
                    ramp.elapsed.as_millis()
                ),
            );
        }
        if ramp.phase == Phase::Running {
            self.egress.watch(&ramp);
        }
        ramps.insert(ramp.service.clone(), ramp);
        true
    }

    /// Gives the shared allowance of retries as the settings have it.
    fn allowance(settings: &Settings) -> Allowance {
        Allowance {
            extra: settings.retries.extra,
            ratio: settings.retries.ratio,
            window: settings.retries.window,
        }
    }

    /// Takes changed settings over. Addresses and names of a running node don't change; the rest does.
    pub fn reload(&self, settings: Settings) {
        let mut held = self.settings.borrow_mut();
        if *held == settings {
            return;
        }
        self.log.line(
            self.now(),
            "reload",
            format_args!(
                "outcome=in-force service={} upstream={}",
                settings.service, settings.upstream
            ),
        );
        self.retries.borrow_mut().set(Self::allowance(&settings));
        *held = settings;
    }
}

/// A running node.
pub struct Node {
    callers: SocketAddr,
    core: Rc<Core>,
    link: SocketAddr,
}

impl Node {
    /// Starts a node: its ports are bound before anything is served. It runs on the current thread's
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// Fails if a port is taken.
    pub async fn spawn<S: Store>(
        settings: Settings,
        words: Words,
        store: S,
        log: Log,
    ) -> Result<Self> {
        let (callers, callers_address) = bind(settings.callers).await?;
        let (link, link_address) = bind(settings.link).await?;
        let clock = Clock::open();
        let contact = Contact {
            address: link_address,
            domain: settings.domain.clone(),
            host: settings.host.clone(),
            incarnation: clock.now().0,
            region: settings.region.clone(),
        };
        let metrics = Metrics::new()
            .map_err(|error| Error::Telemetry(std::io::Error::other(error.to_string())))?;
        log.line(
            clock.now(),
            "start",
            format_args!(
                "version={} service={} upstream={} link={} store={} domain={} region={}",
                env!("CARGO_PKG_VERSION"),
                settings.service,
                settings.upstream,
                settings.link,
                settings.store,
                settings.domain,
                settings.region
            ),
        );
        let core = Rc::new(Core {
            callers: Cell::new(0),
            clock,
            conductor: RefCell::default(),
            differences: RefCell::default(),
            document: RefCell::default(),
            egress: egress::State::new(
                Queue::default(),
                Quarantine::default(),
                Upstream::new(settings.upstream, words),
                settings.heartbeat,
            ),
            index: RefCell::default(),
            log,
            metrics,
            peers: Peers::new(contact.clone()),
            placement: RefCell::new(Placement::new(rand::random())),
            ramps: RefCell::default(),
            reach: Cell::default(),
            retries: RefCell::new(Retries::new(Core::allowance(&settings))),
            returns: RefCell::default(),
            settings: RefCell::new(settings),
            stopping: Cell::new(None),
            contact,
            words,
        });
        let store = Rc::new(store);
        tokio::task::spawn_local(ingress::accept(core.clone(), callers));
        tokio::task::spawn_local(super::peers::accept(core.clone(), link));
        tokio::task::spawn_local(follower::run(core.clone(), store.clone()));
        tokio::task::spawn_local(tick(core.clone(), store));
        Ok(Self {
            callers: callers_address,
            core,
            link: link_address,
        })
    }

    /// Gives where callers send requests.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Gives where other nodes connect to this one.
    #[must_use]
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Gives what the platform's adapter reaches the node by.
    #[must_use]
    pub fn control(&self) -> Control {
        Control::new(self.core.clone())
    }

    /// Stops: says at once that it is not ready, serves what it has and what still comes, and returns when
    /// that is done or the grace period nearly over.
    pub async fn stop(self) {
        let core = self.core;
        let began = core.now();
        core.stopping.set(Some(began));
        core.log.line(began, "stop", format_args!("outcome=begun"));
        let grace = core.settings.borrow().grace.saturating_sub(STOP_RESERVE);
        loop {
            tokio::time::sleep(FLUSH / 5).await;
            let passed = core.now().since(began);
            let idle = core.callers.get() == 0 && core.egress.is_idle();
            if passed >= grace || (passed >= STOP_TAKES_CALLERS && idle) {
                break;
            }
        }
        core.log.line(
            core.now(),
            "stop",
            format_args!(
                "outcome=done callers={} took_ms={}",
                core.callers.get(),
                core.now().since(began).as_millis()
            ),
        );
        core.log.flush();
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let fail = |source| Error::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Drives what is due, all at one period so that an idle node wakes up rarely.
async fn tick<S: Store>(core: Rc<Core>, store: Rc<S>) {
    let mut offered = core.status();
    loop {
        tokio::time::sleep(FLUSH).await;
        let now = core.now();
        core.egress.tick(now);
        super::peers::tick(&core, now);
        super::conductor::tick(&core, &store, now);
        let status = core.status();
        if status.offer != offered.offer || status.reach != offered.reach {
            core.announce();
            offered = status;
        }
        core.log.flush();
    }
}

//! The state that the edges of a node share.

use {
    crate::{
        node::Clock,
        sidecar::{
            conductor::Conductor,
            document::{Difference, Document, Index, Number},
            duty::{self, Candidate, Reach},
            egress,
            frame::{Contact, Frame, Status},
            log::Log,
            metrics::Metrics,
            peers::Peers,
            placement::Placement,
            ramp::{Leader, Phase, Ramp},
            retries::{Allowance, Retries},
            returns::Returns,
            settings::Settings,
            spread::Scope,
            words::Words,
        },
        traffic::spill::Tier,
        world::{Host, Moment, Service},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// How many steps between documents are kept for nodes that missed some.
const DIFFERENCES_KEPT: usize = 32;

/// How long a stopping node goes on offering its upstream's slots: callers are still sent to it, and its
/// place is taken over slowly.
const OFFERS_WHILE_STOPPING: Duration = Duration::from_secs(1);

/// How long a stopping node takes new requests in: until whoever sends callers here has noticed. Its upstream waits for
/// the next start of the node.
const STOP_TAKES_CALLERS: Duration = Duration::from_millis(2500);

/// The part of the grace period after which the node ends with whatever still runs.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// What the edges of a node share.
pub(in crate::sidecar) struct Core {
    /// The callers' requests that are under way.
    pub callers: Cell<usize>,
    /// The time.
    pub clock: Clock,
    /// The moves between versions.
    pub conductor: RefCell<Conductor>,
    /// Where this node is.
    pub contact: Contact,
    /// The last steps between documents, oldest first.
    pub differences: RefCell<VecDeque<Arc<Difference>>>,
    /// The document in force.
    pub document: RefCell<Arc<Document>>,
    /// The upstream on this host.
    pub egress: egress::State,
    /// The routes of the document in force.
    pub index: RefCell<Index>,
    /// The log.
    pub log: Log,
    /// The metrics.
    pub metrics: Metrics,
    /// The other nodes.
    pub peers: Peers,
    /// The upstreams that requests are sent to.
    pub placement: RefCell<Placement>,
    /// What is in force while a service's traffic moves.
    pub ramps: RefCell<HashMap<Service, Ramp>>,
    /// How this node stands to the store.
    pub reach: Cell<Reach>,
    /// This node's part of the retries.
    pub retries: RefCell<Retries>,
    /// The refused requests that may come back.
    pub returns: RefCell<Returns>,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// When the stop of this node began.
    pub stopping: Cell<Option<Moment>>,
    /// The names of header fields.
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
            reach: self.candidate().reach,
        }
    }

    /// Gives how this node stands to the store; one that stops leaves its duties to others.
    fn candidate(&self) -> Candidate {
        Candidate {
            reach: match self.stopping.get() {
                Some(_) => Reach::Unknown,
                None => self.reach.get(),
            },
            host: self.host().clone(),
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
        since.is_some_and(|since| self.now().since(since) >= self.takes_callers_for())
    }

    /// Gives how long a stopping node takes new requests in. One whose upstream has left is not waited for, and callers
    /// go on coming to it, so it serves for as long as any request surely ends within the grace period.
    pub fn takes_callers_for(&self) -> Duration {
        if self.egress.has_upstream() {
            return STOP_TAKES_CALLERS;
        }
        let document = self.document.borrow();
        let longest = document.routes.values().map(|route| route.timeout).max();
        let grace = self.stops_within();
        STOP_TAKES_CALLERS.max(grace.saturating_sub(longest.unwrap_or(grace)))
    }

    /// Gives how long a stop may take.
    pub fn stops_within(&self) -> Duration {
        self.settings.borrow().grace.saturating_sub(STOP_RESERVE)
    }

    /// Gives this node's rank among those that may follow the store.
    pub fn rank(&self) -> usize {
        let own = self.candidate();
        duty::rank(&own, self.peers.candidates().into_iter())
    }

    /// Gives this node as one that conducts moves.
    pub fn leader(&self) -> Leader {
        Leader {
            host: self.host().clone(),
            incarnation: self.contact.incarnation,
        }
    }

    /// Gives the node that conducts a service's move of an order; nothing if it is this one. A move stays with
    /// its conductor as long as that one answers, also without the store, as it alone has the evidence.
    pub fn conducting(&self, service: &Service, mark: u64) -> Option<Host> {
        let ramps = self.ramps.borrow();
        let running = |ramp: &&Ramp| ramp.phase == Phase::Running && ramp.order.mark >= mark;
        let ramp = ramps.get(service).filter(running);
        match ramp.and_then(|ramp| ramp.leader.as_ref()) {
            Some(leader) if *leader == self.leader() => None,
            Some(leader) if self.peers.is_sound(leader) => Some(leader.host.clone()),
            _ => self.first_reader(),
        }
    }

    /// Gives the node that judges what a service's runs came to; nothing if it is this one.
    pub fn judge_of(&self, service: &Service) -> Option<Host> {
        let mark = {
            let conductor = self.conductor.borrow();
            let held = conductor.moves.get(service);
            held.map_or(0, |held| held.order().mark)
        };
        self.conducting(service, mark)
    }

    /// Gives the node that follows the store first; nothing if it is this one.
    pub fn first_reader(&self) -> Option<Host> {
        let own = self.candidate();
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

    /// Gives what leads from a document to the one in force, for a node that is to hand it on to `scope`. One that has
    /// none has to know of the moves first: it routes as soon as it has a document.
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
        let mut news = Vec::new();
        if from == Number::default() {
            let ramps = self.ramps.borrow();
            let ramps = ramps.values().cloned();
            news.extend(ramps.map(|ramp| Frame::Ramp(Scope::Host, ramp)));
        }
        news.push(Frame::Document(scope, document));
        news
    }

    /// Takes over what is in force while a service's traffic moves, if it is news.
    pub fn follow(&self, ramp: Ramp) -> bool {
        let mut ramps = self.ramps.borrow_mut();
        if ramps
            .get(&ramp.order.service)
            .is_some_and(|held| !ramp.follows(held))
        {
            return false;
        }
        let before = ramps.get(&ramp.order.service);
        let changed = before
            .is_none_or(|before| before.state() != ramp.state() || before.leader != ramp.leader);
        if changed {
            self.log.line(
                self.now(),
                "move",
                format_args!(
                    "service={} to={} share={} phase={:?} order={} elapsed_ms={} conductor={}",
                    ramp.order.service,
                    ramp.order.to,
                    ramp.share,
                    ramp.phase,
                    ramp.order.mark,
                    ramp.elapsed.as_millis(),
                    ramp.leader
                        .as_ref()
                        .map_or("none", |leader| leader.host.as_str())
                ),
            );
        }
        if ramp.phase == Phase::Running {
            self.egress.watch(&ramp);
        }
        ramps.insert(ramp.order.service.clone(), ramp);
        true
    }

    /// Gives the shared allowance of retries as the settings have it.
    pub(super) fn allowance(settings: &Settings) -> Allowance {
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

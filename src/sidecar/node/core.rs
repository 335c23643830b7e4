//! State shared by the tasks of a node.

use {
    crate::{
        node::Clock,
        sidecar::{
            answer_budget::AnswerBudget,
            body_budget::{BodyBudget, Demand},
            connection_set::ConnectionSet,
            dissemination::Scope,
            document::{Delta, Document, Index, Number},
            evacuation::Evacuations,
            frame::{Contact, Frame, Status},
            freshness::Freshness,
            header_names::HeaderNames,
            history::{Epoch, Position},
            leader::Rollouts,
            load_balancer::LoadBalancer,
            local_upstream,
            log::Log,
            metrics::Metrics,
            peers::Peers,
            permits::Permits,
            refusal_history::RefusalHistory,
            regions::RestrictedRoutes,
            retry_budget::{Allowance, RetryBudget},
            rollout::{Leader, Phase, RolloutState},
            settings::{self, Settings},
            store_readers::{self, Candidate, StoreAccess},
        },
        types::{Host, Moment, Service},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::Notify,
};

/// Maximum number of differences between documents kept for nodes that missed some.
const DELTAS_MAX: usize = 32;

/// Source of what was read from the store, as the log states it.
pub(in crate::sidecar) const STORE_SOURCE: &str = "store";

/// State shared by the tasks of a node.
pub(in crate::sidecar) struct Core {
    /// Number of callers' requests in progress.
    pub active_requests: Cell<usize>,
    /// Memory for the answers that are held for callers and for other nodes.
    pub answer_budget: AnswerBudget,
    /// Connections of callers.
    pub callers: Rc<ConnectionSet>,
    /// Memory for the requests of callers and of other nodes.
    pub body_budget: BodyBudget,
    /// Requests that had no room in it of late.
    pub body_demand: RefCell<Demand>,
    /// Source of the current time.
    pub clock: Clock,
    /// Rollouts known to this node.
    pub rollouts: RefCell<Rollouts>,
    /// Address, location and incarnation of this node.
    pub contact: Contact,
    /// Who last confirmed the document in force, for the log: a host, or the store.
    pub confirmed_by: RefCell<Option<Host>>,
    /// Whether the document in force was last seen to be stale, as the log states.
    pub document_stale: Cell<bool>,
    /// Most recent differences between documents, oldest first.
    pub deltas: RefCell<VecDeque<Arc<Delta>>>,
    /// The document in force.
    pub document: RefCell<Arc<Document>>,
    /// Latest epoch of the store that was known when the document was put in force.
    pub document_epoch: Cell<Option<Epoch>>,
    /// State of the upstream on this host.
    pub local_upstream: local_upstream::LocalUpstream,
    /// Latest known epoch of the store, `None` if it has not stated one.
    pub epoch: Cell<Option<Epoch>>,
    /// Notified when that rises.
    pub epoch_changed: Notify,
    /// Failure domains that the operator has evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// Index of the routes of the document in force.
    pub index: RefCell<Index>,
    /// Log of this node.
    pub log: Log,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Connections to the other nodes.
    pub peers: Peers,
    /// Permits of the accounts' requests.
    pub permits: Permits,
    /// Load balancer over all known upstreams.
    pub load_balancer: RefCell<LoadBalancer>,
    /// Time since the document in force was confirmed by a read of the store.
    pub freshness: RefCell<Freshness>,
    /// Routes of the document in force that are restricted to regions.
    pub restricted_routes: RefCell<RestrictedRoutes>,
    /// Newest known rollout state of each service; requests are routed by it.
    pub rollout_states: RefCell<HashMap<Service, RolloutState>>,
    /// Connection of this node to the store.
    pub store_access: Cell<StoreAccess>,
    /// This node's part of the retry budget.
    pub retry_budget: RefCell<RetryBudget>,
    /// Refused requests whose callers may return.
    pub refusal_history: RefCell<RefusalHistory>,
    /// Settings in force.
    pub settings: RefCell<Settings>,
    /// File that they were read from, if they may change.
    pub settings_file: RefCell<Option<settings::File>>,
    /// Whether this node has withdrawn its upstream for its stop.
    pub offer_withdrawn: Cell<bool>,
    /// Time at which the stop of this node began, if it has.
    pub stopping: Cell<Option<Moment>>,
    /// Notified when the grace period is nearly over: all requests in progress are answered at once.
    pub exiting: Notify,
    /// Names of the platform's header fields.
    pub header_names: HeaderNames,
}

impl Core {
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    pub fn number(&self) -> Number {
        self.document.borrow().number
    }

    /// Returns whether a document is in force. Without one nothing can be served.
    pub fn has_document(&self) -> bool {
        self.number() > Number::default()
    }

    pub fn host(&self) -> &Host {
        &self.contact.host
    }

    /// Returns the status that this node sends to its peers.
    pub fn status(&self) -> Status {
        Status {
            document: self.number(),
            offer: self.offer(),
            reach: self.candidate().reach,
        }
    }

    /// Returns this node as a candidate for reading the store. A stopping node ranks as one that does
    /// not reach the store, so that others take over.
    fn candidate(&self) -> Candidate {
        Candidate {
            reach: match self.stopping.get() {
                Some(_) => StoreAccess::Unknown,
                None => self.store_access.get(),
            },
            host: self.host().clone(),
        }
    }

    /// Sends the status to every connected node, and updates this node's own load balancer with it.
    pub fn broadcast_status(&self) {
        let status = self.status();
        let now = self.now();
        let offer = status.offer.clone();
        self.load_balancer.borrow_mut().update_offer(
            now,
            self.host(),
            self.location_of(&self.contact),
            offer,
        );
        self.peers.broadcast(&Frame::Status(status));
    }

    /// Returns this node's rank among the candidates for reading the store; 0 goes first.
    pub fn rank(&self) -> usize {
        let own = self.candidate();
        store_readers::rank(&own, self.peers.reader_candidates().into_iter())
    }

    /// Returns this node's rank among those that read the store in place of silent readers.
    pub fn replacement_rank(&self) -> usize {
        let heard = self.peers.heard_candidates(self.now());
        store_readers::replacement_rank(&self.candidate(), heard.into_iter())
    }

    /// Returns this node's identity as the leader of a rollout.
    pub fn own_leader_id(&self) -> Leader {
        Leader {
            host: self.host().clone(),
            incarnation: self.contact.incarnation,
        }
    }

    /// Returns the node that leads a service's rollout of an order, `None` if it is this one. A rollout stays with its
    /// leader as long as the leader responds, even without the store, as only the leader has the evidence.
    pub fn remote_leader(&self, service: &Service, mark: Position) -> Option<Host> {
        let states = self.rollout_states.borrow();
        let running =
            |state: &&RolloutState| state.phase == Phase::Running && state.order.mark >= mark;
        let state = states.get(service).filter(running);
        match state.and_then(|state| state.leader.as_ref()) {
            Some(leader) if *leader == self.own_leader_id() => None,
            Some(leader) if self.peers.is_leader_responsive(leader) => Some(leader.host.clone()),
            _ => self.remote_first_reader(),
        }
    }

    /// Returns the node that judges the evidence on a service, `None` if it is this one.
    pub fn remote_leader_of(&self, service: &Service) -> Option<Host> {
        let mark = {
            let rollouts = self.rollouts.borrow();
            let rollout = rollouts.by_service.get(service);
            rollout.map_or_else(Position::default, |rollout| rollout.order().mark)
        };
        self.remote_leader(service, mark)
    }

    /// Returns the node of the lowest rank for reading the store, `None` if it is this one.
    pub fn remote_first_reader(&self) -> Option<Host> {
        let own = self.candidate();
        let first = self.peers.reader_candidates().into_iter().min()?;
        (first < own).then_some(first.host)
    }

    /// Puts a document in force if it is valid and newer than the current one. Returns whether it did. `source` is
    /// logged: the host that sent it, or the store.
    pub fn install_document(&self, document: Document, source: &str) -> bool {
        let current = self.document.borrow().clone();
        if document.number.value < current.number.value && source == STORE_SOURCE {
            self.log.record(
                self.now(),
                "document",
                format_args!(
                    "outcome=kept number={} offered={} source={source}",
                    current.number, document.number
                ),
            );
        }
        if document.number <= current.number {
            return false;
        }
        if let Err(fault) = document.validate() {
            let number = document.number;
            self.log.record(
                self.now(),
                "document",
                format_args!("outcome=refused number={number} source={source} cause=\"{fault}\""),
            );
            return false;
        }
        let is_first = !self.has_document();
        if is_first {
            self.freshness.borrow_mut().begin(self.now());
        }
        let delta = Arc::new(current.delta_to(&document));
        let number = document.number;
        *self.index.borrow_mut() = Index::new(&document);
        *self.restricted_routes.borrow_mut() = RestrictedRoutes::new(&document);
        *self.document.borrow_mut() = Arc::new(document);
        self.document_epoch.set(self.epoch.get());
        {
            let mut deltas = self.deltas.borrow_mut();
            deltas.push_back(delta);
            if deltas.len() > DELTAS_MAX {
                deltas.pop_front();
            }
        }
        self.metrics
            .document
            .set(i64::try_from(number.value).unwrap_or(i64::MAX));
        self.log.record(
            self.now(),
            "document",
            format_args!(
                "outcome=in-force number={number} before={} source={source}",
                current.number
            ),
        );
        if is_first && self.offer().is_some() {
            // Without a document the upstream was not offered.
            self.broadcast_status();
        }
        true
    }

    /// Records whether the document in force may be outdated, in the log when that changes.
    pub fn record_freshness(&self) {
        if !self.has_document() {
            return;
        }
        let (now, freshness) = (self.now(), self.freshness.borrow());
        let age_ms = freshness.age(now).as_millis();
        self.metrics
            .document_age
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
        let stale = freshness.is_stale(now);
        if self.document_stale.replace(stale) != stale {
            let outcome = if stale { "unconfirmed" } else { "confirmed" };
            self.log.record(
                now,
                "document",
                format_args!("outcome={outcome} number={} age_ms={age_ms}", self.number()),
            );
        }
    }

    /// Returns the frames that bring a node from the document `from` to the one in force, to be relayed to `scope`. A
    /// node without a document gets the rollout states and the evacuated domains first, as it routes requests and offers its
    /// upstream as soon as it has a document.
    pub fn frames_since(&self, from: Number, scope: Scope) -> Vec<Frame> {
        let document = self.document.borrow().clone();
        if document.number <= from {
            return Vec::new();
        }
        let deltas = self.deltas.borrow();
        let mut newer = deltas.iter().filter(|delta| delta.from >= from).peekable();
        if from > Number::default() && newer.peek().is_some_and(|delta| delta.from == from) {
            return newer
                .map(|delta| Frame::Difference(scope, delta.clone()))
                .collect();
        }
        let mut frames = Vec::new();
        if from == Number::default() {
            let states = self.rollout_states.borrow();
            let states = states.values().cloned();
            frames.extend(states.map(|state| Frame::Ramp(Scope::Host, state)));
            let evacuations = self.evacuations.borrow().clone();
            frames.push(Frame::Evacuations(Scope::Host, evacuations));
        }
        frames.push(Frame::Document(scope, document));
        frames
    }

    /// Puts the state of a rollout in force if it is newer than the current one. Returns whether it did.
    pub fn install_state(&self, state: RolloutState) -> bool {
        let mut states = self.rollout_states.borrow_mut();
        if states
            .get(&state.order.service)
            .is_some_and(|current| !state.is_newer_than(current))
        {
            return false;
        }
        let previous = states.get(&state.order.service);
        let changed = previous.is_none_or(|previous| {
            previous.routing_key() != state.routing_key() || previous.leader != state.leader
        });
        if changed {
            self.log.record(
                self.now(),
                "move",
                format_args!(
                    "service={} to={} share={} phase={:?} order={} elapsed_ms={} conductor={}",
                    state.order.service,
                    state.order.to,
                    state.share,
                    state.phase,
                    state.order.mark,
                    state.elapsed.as_millis(),
                    state
                        .leader
                        .as_ref()
                        .map_or("none", |leader| leader.host.as_str())
                ),
            );
        }
        if state.phase == Phase::Running {
            self.local_upstream.set_late_limits(&state);
        }
        states.insert(state.order.service.clone(), state);
        true
    }

    /// Returns the limits of the shared retry budget from the settings.
    pub(super) fn allowance(settings: &Settings) -> Allowance {
        Allowance {
            extra: settings.retries.extra,
            ratio: settings.retries.ratio,
            window: settings.retries.window,
        }
    }

    /// Puts changed settings in force, except for the addresses and names of the running node, which stay.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.borrow_mut();
        if *current == settings {
            return;
        }
        self.log.record(
            self.now(),
            "reload",
            format_args!(
                "outcome=in-force service={} upstream={}",
                settings.service, settings.upstream
            ),
        );
        self.retry_budget
            .borrow_mut()
            .set_limits(Self::allowance(&settings));
        *current = settings;
    }
}

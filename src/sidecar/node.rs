//! A running node: binds its ports, starts its tasks, drives periodic work with one timer, and stops.

mod admission;
mod connections;
mod core;
mod epoch;
mod location;
mod stop_periods;

pub(super) use core::{Core, STORE_SOURCE};

use {
    super::{
        answer_budget::AnswerBudget,
        body_budget::BodyBudget,
        connection_set::ConnectionSet,
        departure,
        frame::Contact,
        handle::Handle,
        header_names::HeaderNames,
        ingress,
        load_balancer::LoadBalancer,
        local_upstream,
        log::{FLUSH_INTERVAL, Log},
        metrics::Metrics,
        peers::Peers,
        permits::Permits,
        queue::Queue,
        retry_budget::RetryBudget,
        settings::Settings,
        shutdown::{self, Activity, Shutdown},
        store::Store,
        store_follower,
        upstream_pool::Pool,
    },
    crate::{
        error::{Error, Result},
        node::Clock,
        traffic::quarantine::Quarantine,
        types::Moment,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// Interval at which a stopping node checks whether it may exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an exiting node waits until the answers to the last requests are written. It is a part of what is held
/// back of the grace period.
const ANSWER_REST_PERIOD: Duration = Duration::from_millis(200);

/// Interval at which an exiting node checks whether they are.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A running node.
pub struct Node {
    callers: SocketAddr,
    core: Rc<Core>,
    link: SocketAddr,
}

impl Node {
    /// Starts a node on the current thread's [`tokio::task::LocalSet`]. Both ports are bound before anything is
    /// served.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound or the metrics cannot be registered.
    pub async fn spawn<S: Store>(
        settings: Settings,
        header_names: HeaderNames,
        store: S,
        log: Log,
    ) -> Result<Self> {
        let (callers, callers_address) = bind(settings.callers).await?;
        let (link, link_address) = bind(settings.link).await?;
        let clock = Clock::start();
        let contact = Contact {
            address: settings.advertised.unwrap_or(link_address),
            domain: settings.domain.clone(),
            host: settings.host.clone(),
            incarnation: clock.now().0,
            region: settings.region.clone(),
        };
        let metrics = Metrics::new()
            .map_err(|error| Error::Telemetry(std::io::Error::other(error.to_string())))?;
        log.record(
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
            active_requests: Cell::new(0),
            answer_budget: AnswerBudget::new(settings.answer_bytes_max()),
            callers: ConnectionSet::new(settings.caller_limits()),
            body_budget: BodyBudget::new(settings.body_limits()),
            body_demand: RefCell::default(),
            clock,
            rollouts: RefCell::default(),
            confirmed_by: RefCell::default(),
            document_stale: Cell::default(),
            freshness: RefCell::default(),
            deltas: RefCell::default(),
            document: RefCell::default(),
            document_epoch: Cell::default(),
            local_upstream: local_upstream::LocalUpstream::new(
                Queue::default(),
                Quarantine::default(),
                Pool::new(settings.upstream, header_names),
                settings.heartbeat,
                Moment(contact.incarnation),
            ),
            epoch: Cell::default(),
            epoch_changed: Notify::new(),
            evacuations: RefCell::default(),
            index: RefCell::default(),
            log,
            metrics,
            peers: Peers::new(contact.clone()),
            permits: Permits::new(contact.host.clone(), clock.now()),
            load_balancer: RefCell::new(LoadBalancer::new(rand::random())),
            restricted_routes: RefCell::default(),
            rollout_states: RefCell::default(),
            offer_withdrawn: Cell::new(false),
            store_access: Cell::default(),
            retry_budget: RefCell::new(RetryBudget::new(Core::allowance(&settings))),
            refusal_history: RefCell::default(),
            settings: RefCell::new(settings),
            settings_file: RefCell::default(),
            stopping: Cell::new(None),
            exiting: Notify::new(),
            contact,
            header_names,
        });
        let store = Rc::new(store);
        tokio::task::spawn_local(ingress::accept_connections(core.clone(), callers));
        tokio::task::spawn_local(super::peers::accept(core.clone(), link));
        tokio::task::spawn_local(store_follower::run(core.clone(), store.clone()));
        tokio::task::spawn_local(departure::run(core.clone(), store.clone()));
        tokio::task::spawn_local(tick(core.clone(), store));
        Ok(Self {
            callers: callers_address,
            core,
            link: link_address,
        })
    }

    /// Returns the address to which callers send requests.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which connections of other nodes are accepted.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link
    }

    /// Returns a handle for the platform's adapter.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle::new(self.core.clone())
    }

    /// Stops the node. It reports itself as not ready at once, but goes on serving requests, including new ones for a
    /// while. Returns when all have ended or when the grace period is nearly over.
    pub async fn stop(self) {
        let core = self.core;
        let began = core.now();
        core.stopping.set(Some(began));
        core.log
            .record(began, "stop", format_args!("outcome=begun"));
        let mut shutdown = Shutdown::new(began);
        loop {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            let activity = Activity {
                busy: core.active_requests.get() > 0 || !core.local_upstream.is_idle(),
                unconfirmed: core.peers.unconfirmed_count(),
            };
            match shutdown.next(core.now(), core.stop_periods(), activity) {
                shutdown::Action::Continue => {}
                shutdown::Action::Withdraw => {
                    core.offer_withdrawn.set(true);
                    core.broadcast_status();
                    core.peers.request_confirmations(&core);
                }
                shutdown::Action::Exit => break,
            }
        }
        let unanswered = core.active_requests.get();
        answer_rest(&core).await;
        core.log.record(
            core.now(),
            "stop",
            format_args!(
                "outcome=done callers={} unanswered={unanswered} unconfirmed={} took_ms={}",
                core.active_requests.get(),
                core.peers.unconfirmed_count(),
                core.now().since(began).as_millis()
            ),
        );
        core.record_freshness();
        core.log.flush();
    }
}

/// Ends the requests in progress, and waits until their callers are answered. A caller that doesn't read its answer is not
/// waited for any longer than the grace period allows.
async fn answer_rest(core: &Core) {
    core.exiting.notify_waiters();
    let began = core.now();
    while core.active_requests.get() > 0 && core.now().since(began) < ANSWER_REST_PERIOD {
        tokio::time::sleep(ANSWER_CHECK_INTERVAL).await;
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let fail = |source| Error::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Runs all periodic work from one timer, so that an idle node wakes up rarely.
async fn tick<S: Store>(core: Rc<Core>, store: Rc<S>) {
    let mut announced = core.status();
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        let now = core.now();
        core.local_upstream.tick(now);
        super::peers::tick(&core, now);
        super::permits::tick(&core, now);
        ingress::tick(&core, now);
        super::leader::tick(&core, &store, now);
        core.record_freshness();
        let status = core.status();
        if status.offer != announced.offer || status.reach != announced.reach {
            core.broadcast_status();
            announced = status;
        }
        core.log.flush();
    }
}

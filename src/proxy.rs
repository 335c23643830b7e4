//! The path of a request: a caller's HTTP request enters at any node, crosses by QUIC to the node at
//! the chosen upstream, and the answer comes back whole. See docs/requests.md.

use crate::{
    link::Link, member::Offer, node::Clock, telemetry::Telemetry, traffic::Traffic, world::Moment,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub mod egress;
pub mod headers;
pub mod ingress;
pub mod parts;
pub mod pool;

/// What both sides of the path share.
#[derive(Clone)]
pub struct Proxy {
    clock: Clock,
    link: Link,
    offer: Arc<Mutex<Option<Offer>>>,
    pool: pool::Pool,
    telemetry: Telemetry,
    traffic: Arc<Mutex<Traffic>>,
}

impl Proxy {
    /// Makes the shared part of the path.
    #[must_use]
    pub fn new(clock: Clock, link: Link, traffic: Traffic, telemetry: Telemetry) -> Self {
        Self {
            clock,
            link,
            offer: Arc::default(),
            pool: pool::Pool::default(),
            telemetry,
            traffic: Arc::new(Mutex::new(traffic)),
        }
    }

    /// Gives the routing state.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what the upstream on this host offers; nothing if it takes no new work.
    pub fn offer(&self, offer: Option<Offer>) {
        *self.offer.lock().unwrap_or_else(PoisonError::into_inner) = offer;
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn offered(&self) -> Option<Offer> {
        self.offer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

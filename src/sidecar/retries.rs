//! How many arrivals beyond the first a node may cause at the upstreams of a service.
//!
//! The load that it answers: upstreams that fail or turn slow under full load, where unbounded retries would
//! multiply the load. All nodes share one allowance: a part of the service's requests and a fixed number in
//! each window. Each node keeps to its own part of it, so that no message is needed to hold the sum.

use {
    crate::world::{Moment, Service},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// The part of the allowance that is used: repeated runs repeat their own calls, often several, which count as
/// well, and
/// requests are not spread evenly over the nodes.
const USED_PART: f64 = 0.4;

/// The shared allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Arrivals that are allowed in each window in any case.
    pub extra: f64,
    /// Arrivals that are allowed for each request.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// One node's part of the allowance.
#[derive(Debug)]
pub struct Retries {
    allowance: Allowance,
    services: HashMap<Service, Counts>,
}

impl Retries {
    /// Begins without requests.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
        }
    }

    /// Replaces the allowance.
    pub fn set(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Takes in a request for a service.
    pub fn request(&mut self, now: Moment, service: &Service) {
        self.counts(now, service).requests.push_back(now);
    }

    /// Says whether a request may be sent to another upstream, and counts it if so. `nodes` is how many
    /// nodes share the allowance.
    pub fn take(&mut self, now: Moment, service: &Service, nodes: usize) -> bool {
        let Allowance { extra, ratio, .. } = self.allowance;
        let counts = self.counts(now, service);
        #[expect(clippy::cast_precision_loss)]
        let (requests, retries, nodes) = (
            counts.requests.len() as f64,
            counts.retries.len() as f64,
            nodes.max(1) as f64,
        );
        let allowed = USED_PART * (ratio * requests + extra / nodes);
        if retries + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn counts(&mut self, now: Moment, service: &Service) -> &mut Counts {
        let window = self.allowance.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let counts = self.services.entry(service.clone()).or_default();
        for times in [&mut counts.requests, &mut counts.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
        counts
    }
}

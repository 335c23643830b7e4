//! Retry budget: limits the attempts beyond the first that a node may send to the upstreams of a service.
//!
//! Designed for upstreams that fail or become slow under full load, where unbounded retries would multiply the
//! load. All nodes share one allowance: a ratio of the service's requests and a fixed number in each window.
//! Each node stays within its own part of it, so that the sum holds without messages between nodes.

use {
    crate::types::{Moment, Service},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Fraction of the allowance that is used. A retried request repeats its own calls to other services, often
/// several, which count as well, and requests are not spread evenly over the nodes.
const USED_FRACTION: f64 = 0.4;

/// Retry allowance of a service, shared by all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries allowed in each window regardless of the number of requests.
    pub extra: f64,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Retry budgets of one node, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<Service, History>,
}

impl RetryBudget {
    /// Creates the budgets without any recorded request.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
        }
    }

    /// Replaces the allowance; recorded requests and retries are kept.
    pub fn set_limits(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Records the first attempt of a request to a service.
    pub fn deposit(&mut self, now: Moment, service: &Service) {
        self.history(now, service).requests.push_back(now);
    }

    /// Returns `true` if a request may be retried at another upstream, and records the retry in that case.
    /// `nodes` is the number of nodes that share the allowance.
    pub fn try_withdraw(&mut self, now: Moment, service: &Service, nodes: usize) -> bool {
        let Allowance { extra, ratio, .. } = self.allowance;
        let history = self.history(now, service);
        #[expect(clippy::cast_precision_loss)]
        let (requests, retries, nodes) = (
            history.requests.len() as f64,
            history.retries.len() as f64,
            nodes.max(1) as f64,
        );
        let allowed = USED_FRACTION * (ratio * requests + extra / nodes);
        if retries + 1.0 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }

    fn history(&mut self, now: Moment, service: &Service) -> &mut History {
        let window = self.allowance.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), History::default());
        }
        let history = self.services.entry(service.clone()).or_default();
        for times in [&mut history.requests, &mut history.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
        history
    }
}

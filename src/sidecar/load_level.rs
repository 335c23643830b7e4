//! Level of load of a group of upstreams, as seen in the responses that this node receives from any of them.
//!
//! Designed for many nodes and upstreams, where a node receives less than one response per second from each upstream while
//! the load of whole failure domains swings within seconds. What an upstream reported a second ago says little about it,
//! but the recent reports of its neighbours tell how busy it probably is.

use {
    crate::{
        traffic::spill::Tier,
        types::{Moment, Service},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new report in the moving average.
const SMOOTHING: f64 = 0.15;
/// Half-life of a level without new reports, so that a group that was full is tried again.
const HALF_LIFE: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Copy, Default)]
struct Level {
    per_slot: f64,
    updated_at: Moment,
}

impl Level {
    fn at(self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.per_slot * (-age).exp2()
    }
}

/// Levels of load, by service and distance.
#[derive(Debug, Default)]
pub struct Levels {
    by_service: BTreeMap<Service, [Level; Tier::ALL.len()]>,
}

impl Levels {
    /// Adds the requests per slot that an upstream had besides those of this node when it answered. Reports of upstreams
    /// that declined a request must be left out: full ones would count too often.
    pub fn record(&mut self, now: Moment, service: &Service, tier: Tier, per_slot: f64) {
        let levels = self.by_service.entry(service.clone()).or_default();
        let level = &mut levels[tier as usize];
        let previous = level.at(now);
        level.per_slot = previous + SMOOTHING * (per_slot.min(1.0) - previous);
        level.updated_at = now;
    }

    /// Returns the expected requests per slot at upstreams of a service, from 0 to 1; 0 if nothing is known.
    #[must_use]
    pub fn at(&self, now: Moment, service: &Service, tier: Tier) -> f64 {
        let levels = self.by_service.get(service);
        levels.map_or(0.0, |levels| levels[tier as usize].at(now))
    }
}

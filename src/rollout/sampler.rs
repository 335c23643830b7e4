//! Turns the outcomes of attempts into counts for the judge. An answer is late if it took longer than
//! nine in ten of the old version's lately, as seen from this node, so that what is usual here is held
//! against nobody.

use {
    super::evidence::Count,
    crate::{
        traffic::{Outcome, Ramp, outcome::Kind},
        world::{Host, Name, Version},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The part of the old version's answers that are late by definition.
const LATE: f64 = 0.1;

/// How fast the threshold follows, in units of the logarithm of the latency.
const GAIN: f64 = 0.05;

/// What the first threshold is above the first latency.
const FIRST: f64 = 2.0;

/// The thresholds of the routes that are being moved.
#[derive(Debug, Default)]
pub struct Sampler {
    thresholds: BTreeMap<Name, f64>,
}

impl Sampler {
    /// Counts outcomes on routes that are being moved. Attempts that were refused as not run, or whose
    /// link failed, say nothing about a version.
    pub fn count(&mut self, outcomes: &[Outcome], ramps: &BTreeMap<Name, Ramp>) -> Vec<Count> {
        let mut counts: BTreeMap<(&Name, &Version, &Host), Count> = BTreeMap::new();
        self.thresholds
            .retain(|route, _| ramps.values().any(|ramp| ramp.route == *route));
        for outcome in outcomes {
            let Some(ramp) = ramps.values().find(|ramp| ramp.route == outcome.route) else {
                continue;
            };
            if says_nothing(outcome.kind) {
                continue;
            }
            let late = self.is_late(outcome, outcome.version == ramp.from);
            let key = (&outcome.route, &outcome.version, &outcome.host);
            let count = counts.entry(key).or_insert_with(|| empty(outcome));
            count.busy += outcome.latency;
            count.done += 1;
            match outcome.kind {
                Kind::Crash => count.crashed += 1,
                Kind::Failure => count.failed += 1,
                _ => count.late += u32::from(late),
            }
        }
        counts.into_values().collect()
    }

    fn is_late(&mut self, outcome: &Outcome, learns: bool) -> bool {
        if outcome.kind == Kind::Late {
            return true;
        }
        let latency = outcome.latency.max(Duration::from_micros(1)).as_secs_f64();
        let first = latency * FIRST;
        let threshold = self
            .thresholds
            .entry(outcome.route.clone())
            .or_insert(first);
        let late = latency > *threshold;
        if learns && outcome.kind == Kind::Success {
            let step = if late { 1.0 - LATE } else { -LATE };
            *threshold *= (GAIN * step).exp();
        }
        late
    }
}

fn says_nothing(kind: Kind) -> bool {
    match kind {
        Kind::Cancelled | Kind::Lost | Kind::Refused | Kind::Unreachable => true,
        Kind::Crash | Kind::Failure | Kind::Late | Kind::Success => false,
    }
}

fn empty(outcome: &Outcome) -> Count {
    Count {
        busy: Duration::ZERO,
        crashed: 0,
        done: 0,
        failed: 0,
        host: outcome.host.clone(),
        late: 0,
        route: outcome.route.clone(),
        version: outcome.version.clone(),
    }
}

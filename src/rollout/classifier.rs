//! Converts the outcomes of attempts to counts for the judge. An answer is late if it took longer than
//! nine in ten recent answers of the old version at this node. The threshold is local to the node, so
//! that latency which is normal there does not count against either version.

use {
    super::evidence::Count,
    crate::{
        traffic::{Outcome, Ramp, outcome::Kind},
        types::{Host, Name, Version},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Fraction of the old version's answers that are late by definition.
const LATE_FRACTION: f64 = 0.1;

/// Step size with which the threshold follows the latency, in units of the latency's natural logarithm.
const THRESHOLD_GAIN: f64 = 0.05;

/// Ratio of a route's initial threshold to its first measured latency.
const INITIAL_THRESHOLD_RATIO: f64 = 2.0;

/// Latency thresholds, in seconds, of the routes that have a rollout in progress.
#[derive(Debug, Default)]
pub struct LatencyClassifier {
    thresholds: BTreeMap<Name, f64>,
}

impl LatencyClassifier {
    /// Returns the counts of outcomes on routes that have a rollout in progress. Attempts that were
    /// cancelled, refused before they ran, or lost to a failed link give no evidence about a version and
    /// are left out.
    pub fn count(&mut self, outcomes: &[Outcome], ramps: &BTreeMap<Name, Ramp>) -> Vec<Count> {
        let mut counts: BTreeMap<(&Name, &Version, &Host), Count> = BTreeMap::new();
        self.thresholds
            .retain(|route, _| ramps.values().any(|ramp| ramp.route == *route));
        for outcome in outcomes {
            let Some(ramp) = ramps.values().find(|ramp| ramp.route == outcome.route) else {
                continue;
            };
            if is_inconclusive(outcome.kind) {
                continue;
            }
            let late = self.is_late(outcome, outcome.version == ramp.from);
            let key = (&outcome.route, &outcome.version, &outcome.host);
            let count = counts.entry(key).or_insert_with(|| empty_count(outcome));
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

    fn is_late(&mut self, outcome: &Outcome, updates_threshold: bool) -> bool {
        if outcome.kind == Kind::Late {
            return true;
        }
        let latency = outcome.latency.max(Duration::from_micros(1)).as_secs_f64();
        let initial = latency * INITIAL_THRESHOLD_RATIO;
        let threshold = self
            .thresholds
            .entry(outcome.route.clone())
            .or_insert(initial);
        let late = latency > *threshold;
        if updates_threshold && outcome.kind == Kind::Success {
            let step = if late {
                1.0 - LATE_FRACTION
            } else {
                -LATE_FRACTION
            };
            *threshold *= (THRESHOLD_GAIN * step).exp();
        }
        late
    }
}

fn is_inconclusive(kind: Kind) -> bool {
    match kind {
        Kind::Cancelled | Kind::Lost | Kind::Refused | Kind::Unreachable => true,
        Kind::Crash | Kind::Failure | Kind::Late | Kind::Success => false,
    }
}

fn empty_count(outcome: &Outcome) -> Count {
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

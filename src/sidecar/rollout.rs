//! Rolls a service's traffic out to another version, and rolls it back if the new version is bad.
//!
//! Designed for versions that fail from the start, only later, on one route only, or only under load. The
//! new version's share stays small for half of the rollout, so that few requests reach a version that is bad
//! early. It then grows in steps that are as short as the evidence allows, so that few more reach a version
//! that is bad only under load. The new version's failures and late requests are compared, route by route,
//! with the old version's in the same window; docs/design/rollouts.md gives the error bounds of the test.

mod orders;
mod state;

pub use {
    orders::{Orders, Reading},
    state::{Leader, Observation, Phase, RolloutState},
};

use {
    super::{
        document::Order,
        evidence::{Report, Summary, Totals},
    },
    crate::{
        rollout::detector::{Cell, Detector, Trials},
        types::{Moment, Permille},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The steps of a rollout: the percentage of its duration from which a step may begin, and the new version's share.
const STEPS: [(u32, Permille); 4] = [
    (0, Permille(50)),
    (50, Permille(250)),
    (58, Permille(600)),
    (66, Permille::WHOLE),
];
/// The minimum duration of a step, however little time is left: an unobserved step proves nothing, and a late
/// rollout does less harm than a bad version that receives all traffic.
const STEP_MIN: Duration = Duration::from_millis(900);
/// The minimum number of requests that the new version must run in a step, unless traffic is too low for it.
const STEP_RUNS_MIN: u32 = 10;
/// The minimum duration of a step in which the new version runs fewer than [`STEP_RUNS_MIN`] requests.
const LOW_TRAFFIC_STEP_MIN: Duration = Duration::from_secs(3);
/// The percentage of a rollout's duration before which it cannot succeed.
const SUCCESS_MIN_PERCENT: u32 = 82;
/// The minimum time for which the new version receives all traffic before the rollout succeeds, so that requests
/// that still run on the old version can end.
const DRAIN_MIN: Duration = Duration::from_millis(1500);
/// The natural logarithm of the evidence at which a version is rolled back. At this threshold at most one good
/// version in a thousand is rolled back.
const ROLLBACK_THRESHOLD: f64 = 6.9;
/// The counts of bad requests that are tested, each with its own detector.
const BAD_COUNTS: [fn(Totals) -> u32; 2] = [|sums| sums.failed, |sums| sums.late];
/// The prior probability that a version is bad from the start; the rest is spread over the rollout's duration.
const PRIOR_AT_START: f64 = 0.5;

/// The requests of one route since the last judgement.
#[derive(Debug, Default)]
struct Window {
    candidate: Totals,
    baseline: Totals,
}

/// A rollout, as seen by the node that leads it or may take it over.
#[derive(Debug)]
pub struct Rollout {
    began: Moment,
    /// What the previous leader had observed at the current share; consumed by this node's first step as the leader.
    inherited: Option<Observation>,
    judged_at: Moment,
    candidate: Totals,
    baseline: BTreeMap<u64, Totals>,
    order: Order,
    phase: Phase,
    step: usize,
    step_began: Moment,
    step_runs: u32,
    route_detectors: BTreeMap<u64, [Detector; BAD_COUNTS.len()]>,
    overall_detectors: [Detector; BAD_COUNTS.len()],
    windows: BTreeMap<u64, Window>,
}

impl Rollout {
    /// Creates a rollout that starts now.
    #[must_use]
    pub fn new(now: Moment, order: Order) -> Self {
        Self {
            began: now,
            inherited: None,
            judged_at: now,
            candidate: Totals::default(),
            baseline: BTreeMap::new(),
            order,
            phase: Phase::Running,
            step: 0,
            step_began: now,
            step_runs: 0,
            route_detectors: BTreeMap::new(),
            overall_detectors: Default::default(),
            windows: BTreeMap::new(),
        }
    }

    /// Creates a rollout from the state that its leader has published.
    #[must_use]
    pub fn from_state(now: Moment, state: &RolloutState) -> Self {
        let mut rollout = Self::new(now, state.order.clone());
        rollout.merge_state(now, state);
        rollout
    }

    /// Replaces what is known of the rollout by the state that another node has published. The phase never moves
    /// back, and the start never moves later.
    pub fn merge_state(&mut self, now: Moment, state: &RolloutState) {
        self.inherited = Some(state.observed);
        self.baseline.clone_from(&state.baseline);
        self.phase = self.phase.max(state.phase);
        self.backdate(now, state.elapsed);
        let reached = STEPS
            .iter()
            .rposition(|(_, step)| *step <= state.step_share);
        self.step = reached.unwrap_or_default();
    }

    /// Returns the time since the rollout started, on whichever node that was.
    #[must_use]
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.began)
    }

    /// Moves the start back to `elapsed` before `now`, as read from the store, unless it is earlier already.
    pub fn backdate(&mut self, now: Moment, elapsed: Duration) {
        self.began = self.began.min(saturating_sub(now, elapsed));
    }

    /// Returns the operator's order for the rollout.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the phase, as far as this node knows.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets the final phase, as recorded in the store.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Adds an upstream's report; the next step judges it.
    pub fn record(&mut self, evidence: &Report) {
        let is_candidate = evidence.version == self.order.to;
        for (route, sums) in &evidence.routes {
            let window = self.windows.entry(*route).or_default();
            if is_candidate {
                self.step_runs += sums.done;
                self.candidate.add(*sums);
                window.candidate.add(*sums);
            } else {
                window.baseline.add(*sums);
                self.baseline.entry(*route).or_default().add(*sums);
            }
        }
    }

    /// Returns the figures behind the decision, for the log.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut baseline = Totals::default();
        self.baseline.values().for_each(|sums| baseline.add(*sums));
        Summary {
            log_evidence: self.evidence(),
            candidate: self.candidate,
            baseline,
            step_runs: self.step_runs,
            rollback_threshold: ROLLBACK_THRESHOLD,
        }
    }

    /// Returns the number of requests that the new version has run since its share last changed.
    #[must_use]
    pub fn step_runs(&self) -> u32 {
        self.step_runs
    }

    /// Returns the natural logarithm of the strongest evidence against the new version; 0 if there is none.
    fn evidence(&self) -> f64 {
        let detectors = self
            .route_detectors
            .values()
            .flatten()
            .chain(&self.overall_detectors);
        detectors.map(Detector::log_evidence).fold(0.0, f64::max)
    }

    /// Judges the evidence since the last call, advances the rollout and returns the state that all nodes route by.
    /// `serving` is whether the new version has upstreams.
    pub fn step(&mut self, now: Moment, leader: &Leader, serving: bool) -> RolloutState {
        if let Some(observed) = self.inherited.take() {
            // The previous leader's observations are lost unless they were handed over; without them, the current
            // step begins again.
            self.judged_at = now;
            self.step_began = saturating_sub(now, observed.lasted);
            self.step_runs = observed.runs;
        }
        if self.phase == Phase::Running {
            self.judge(now);
        }
        if self.phase == Phase::Running {
            self.advance(now, serving);
        }
        self.state(now, Some(leader), serving)
    }

    /// Returns the state without a leader, for the node that takes the rollout over. It includes what this node has
    /// observed at the current share.
    #[must_use]
    pub fn hand_over(&self, now: Moment, serving: bool) -> RolloutState {
        let mut state = self.state(now, None, serving);
        // Evidence against the new version is not transferred, so if there is any, the next leader must observe the
        // step again.
        if self.evidence() <= 0.0 {
            state.observed = Observation {
                lasted: now.since(self.step_began),
                runs: self.step_runs,
            };
        }
        state
    }

    fn advance(&mut self, now: Moment, serving: bool) {
        if !serving {
            // Upstreams that disappear after failures may have crashed under load, so the rollout starts again at the
            // smallest share. Without evidence against the version they return to the share that they had.
            if self.evidence() > 0.0 {
                self.step = 0;
            }
            self.step_began = now;
            self.step_runs = 0;
            return;
        }
        let lasted = now.since(self.step_began);
        let passed = (self.step_runs >= STEP_RUNS_MIN && lasted >= STEP_MIN)
            || lasted >= LOW_TRAFFIC_STEP_MIN;
        let Some((from, _)) = STEPS.get(self.step + 1) else {
            if passed && lasted >= DRAIN_MIN && self.elapsed_percent(now) >= SUCCESS_MIN_PERCENT {
                self.phase = Phase::Succeeded;
            }
            return;
        };
        if passed && self.elapsed_percent(now) >= *from {
            self.step += 1;
            self.step_began = now;
            self.step_runs = 0;
        }
    }

    fn state(&self, now: Moment, leader: Option<&Leader>, serving: bool) -> RolloutState {
        RolloutState {
            baseline: self.baseline.clone(),
            elapsed: self.elapsed(now),
            leader: leader.cloned(),
            order: self.order.clone(),
            phase: self.phase,
            step_share: STEPS[self.step].1,
            share: match self.phase {
                Phase::Running if serving => STEPS[self.step].1,
                Phase::Running | Phase::RolledBack => Permille(0),
                Phase::Succeeded => Permille::WHOLE,
            },
            observed: Observation::default(),
        }
    }

    fn elapsed_percent(&self, now: Moment) -> u32 {
        let percent = self.elapsed(now).as_millis() * 100 / self.order.duration.as_millis().max(1);
        u32::try_from(percent).unwrap_or(u32::MAX)
    }

    /// Tests each route on its own, for a version that is bad on one route only, and all routes together: a version
    /// that is bad everywhere may show it by only a few requests on each.
    fn judge(&mut self, now: Moment) {
        let duration_s = self.order.duration.as_secs_f64().max(1.0);
        let weight = (1.0 - PRIOR_AT_START) * now.since(self.judged_at).as_secs_f64() / duration_s;
        self.judged_at = now;
        let is_first = self.route_detectors.is_empty();
        let mut all: [Vec<Cell>; BAD_COUNTS.len()] = Default::default();
        for (route, window) in std::mem::take(&mut self.windows) {
            let is_new_route = !self.route_detectors.contains_key(&route);
            let weight = if is_new_route { PRIOR_AT_START } else { weight };
            let baseline = self.baseline.get(&route).copied().unwrap_or_default();
            let detectors = self.route_detectors.entry(route).or_default();
            for ((detector, all), bad) in detectors.iter_mut().zip(&mut all).zip(BAD_COUNTS) {
                let cell = cell(&window, baseline, bad);
                detector.update(weight, &[cell]);
                all.push(cell);
            }
        }
        for (detector, cells) in self.overall_detectors.iter_mut().zip(all) {
            if !cells.is_empty() {
                let weight = if is_first { PRIOR_AT_START } else { weight };
                detector.update(weight, &cells);
            }
        }
        if self.evidence() >= ROLLBACK_THRESHOLD {
            self.phase = Phase::RolledBack;
        }
    }
}

/// Returns the moment `duration` before `now`, or the clock's zero if that would be negative.
fn saturating_sub(now: Moment, duration: Duration) -> Moment {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    Moment(now.0.saturating_sub(micros))
}

/// Pairs the new version's requests in a window with the old version's. If the old version ran none in the window,
/// all its requests so far are used.
fn cell(window: &Window, all_baseline: Totals, bad: fn(Totals) -> u32) -> Cell {
    let baseline = if window.baseline.done > 0 {
        window.baseline
    } else {
        all_baseline
    };
    let trials = |sums: Totals| Trials {
        bad: f64::from(bad(sums)),
        count: f64::from(sums.done),
    };
    Cell {
        baseline: trials(baseline),
        candidate: trials(window.candidate),
    }
}

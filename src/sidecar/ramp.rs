//! Rolls a service's traffic out to another version, and rolls it back if the new version is bad.
//!
//! Designed for versions that fail from the start, only later, on one route only, or only under load. The
//! new version's share stays small for half of the rollout, so that few requests reach a version that is bad
//! early. It then grows in steps that are as short as the evidence allows, so that few more reach a version
//! that is bad only under load. The new version's failures and late requests are compared, route by route,
//! with the old version's in the same window; docs/design/rollouts.md gives the error bounds of the test.

mod state;

pub use state::{Leader, Phase, Ramp, Shown};

use {
    super::{
        document::Order,
        evidence::{Evidence, Grounds, Sums},
    },
    crate::{
        rollout::detector::{Cell, Detector, Trials},
        world::{Moment, Permille},
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
const STEP_RUNS: u32 = 10;
/// The minimum duration of a step in which the new version runs fewer than [`STEP_RUNS`] requests.
const STEP_QUIET: Duration = Duration::from_secs(3);
/// The percentage of a rollout's duration before which it cannot succeed.
const ENDS_AT: u32 = 82;
/// The minimum time for which the new version receives all traffic before the rollout succeeds, so that requests
/// that still run on the old version can end.
const DRAIN: Duration = Duration::from_millis(1500);
/// The natural logarithm of the evidence at which a version is rolled back. At this threshold at most one good
/// version in a thousand is rolled back.
const VERDICT: f64 = 6.9;
/// The counts of bad requests that are tested, each with its own detector.
const BAD: [fn(Sums) -> u32; 2] = [|sums| sums.failed, |sums| sums.late];
/// The prior probability that a version is bad from the start; the rest is spread over the rollout's duration.
const WEIGHT_AT_START: f64 = 0.5;

/// The requests of one route since the last judgement.
#[derive(Debug, Default)]
struct Window {
    new: Sums,
    old: Sums,
}

/// A rollout, as seen by the node that leads it or may take it over.
#[derive(Debug)]
pub struct Move {
    began: Moment,
    /// What the previous leader had observed at the current share; consumed by this node's first step as the leader.
    followed: Option<Shown>,
    judged: Moment,
    new: Sums,
    old: BTreeMap<u64, Sums>,
    order: Order,
    phase: Phase,
    step: usize,
    step_began: Moment,
    step_runs: u32,
    detectors: BTreeMap<u64, [Detector; BAD.len()]>,
    whole: [Detector; BAD.len()],
    window: BTreeMap<u64, Window>,
}

impl Move {
    /// Creates a rollout that starts now.
    #[must_use]
    pub fn new(now: Moment, order: Order) -> Self {
        Self {
            began: now,
            followed: None,
            judged: now,
            new: Sums::default(),
            old: BTreeMap::new(),
            order,
            phase: Phase::Running,
            step: 0,
            step_began: now,
            step_runs: 0,
            detectors: BTreeMap::new(),
            whole: Default::default(),
            window: BTreeMap::new(),
        }
    }

    /// Creates a rollout from the state that its leader has published.
    #[must_use]
    pub fn adopt(now: Moment, ramp: &Ramp) -> Self {
        let mut held = Self::new(now, ramp.order.clone());
        held.follow(now, ramp);
        held
    }

    /// Replaces what is known of the rollout by the state that another node has published. The phase never moves
    /// back, and the start never moves later.
    pub fn follow(&mut self, now: Moment, ramp: &Ramp) {
        self.followed = Some(ramp.shown);
        self.old.clone_from(&ramp.baseline);
        self.phase = self.phase.max(ramp.phase);
        self.backdate(now, ramp.elapsed);
        let reached = STEPS.iter().rposition(|(_, step)| *step <= ramp.reached);
        self.step = reached.unwrap_or_default();
    }

    /// Returns the time since the rollout started, on whichever node that was.
    #[must_use]
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.began)
    }

    /// Moves the start back to `elapsed` before `now`, as read from the store, unless it is earlier already.
    pub fn backdate(&mut self, now: Moment, elapsed: Duration) {
        self.began = self.began.min(before(now, elapsed));
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
    pub fn settle(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Adds an upstream's report; the next step judges it.
    pub fn add(&mut self, evidence: &Evidence) {
        let new = evidence.version == self.order.to;
        for (route, sums) in &evidence.routes {
            let window = self.window.entry(*route).or_default();
            if new {
                self.step_runs += sums.done;
                self.new.add(*sums);
                window.new.add(*sums);
            } else {
                window.old.add(*sums);
                self.old.entry(*route).or_default().add(*sums);
            }
        }
    }

    /// Returns the figures behind the decision, for the log.
    #[must_use]
    pub fn grounds(&self) -> Grounds {
        let mut old = Sums::default();
        self.old.values().for_each(|sums| old.add(*sums));
        Grounds {
            evidence: self.evidence(),
            new: self.new,
            old,
            step_runs: self.step_runs,
            verdict: VERDICT,
        }
    }

    /// Returns the number of requests that the new version has run since its share last changed.
    #[must_use]
    pub fn step_runs(&self) -> u32 {
        self.step_runs
    }

    /// Returns the natural logarithm of the strongest evidence against the new version; 0 if there is none.
    fn evidence(&self) -> f64 {
        let detectors = self.detectors.values().flatten().chain(&self.whole);
        detectors.map(Detector::log).fold(0.0, f64::max)
    }

    /// Judges the evidence since the last call, advances the rollout and returns the state that all nodes route by.
    /// `serving` is whether the new version has upstreams.
    pub fn step(&mut self, now: Moment, leader: &Leader, serving: bool) -> Ramp {
        if let Some(shown) = self.followed.take() {
            // The previous leader's observations are lost unless they were handed over; without them, the current
            // step begins again.
            self.judged = now;
            self.step_began = before(now, shown.lasted);
            self.step_runs = shown.runs;
        }
        if self.phase == Phase::Running {
            self.judge(now);
        }
        if self.phase == Phase::Running {
            self.advance(now, serving);
        }
        self.ramp(now, Some(leader), serving)
    }

    /// Returns the state without a leader, for the node that takes the rollout over. It includes what this node has
    /// observed at the current share.
    #[must_use]
    pub fn hand_over(&self, now: Moment, serving: bool) -> Ramp {
        let mut ramp = self.ramp(now, None, serving);
        // Evidence against the new version is not transferred, so if there is any, the next leader must observe the
        // step again.
        if self.evidence() <= 0.0 {
            ramp.shown = Shown {
                lasted: now.since(self.step_began),
                runs: self.step_runs,
            };
        }
        ramp
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
        let shown = (self.step_runs >= STEP_RUNS && lasted >= STEP_MIN) || lasted >= STEP_QUIET;
        let Some((from, _)) = STEPS.get(self.step + 1) else {
            if shown && lasted >= DRAIN && self.percent(now) >= ENDS_AT {
                self.phase = Phase::Succeeded;
            }
            return;
        };
        if shown && self.percent(now) >= *from {
            self.step += 1;
            self.step_began = now;
            self.step_runs = 0;
        }
    }

    fn ramp(&self, now: Moment, leader: Option<&Leader>, serving: bool) -> Ramp {
        Ramp {
            baseline: self.old.clone(),
            elapsed: self.elapsed(now),
            leader: leader.cloned(),
            order: self.order.clone(),
            phase: self.phase,
            reached: STEPS[self.step].1,
            share: match self.phase {
                Phase::Running if serving => STEPS[self.step].1,
                Phase::Running | Phase::RolledBack => Permille(0),
                Phase::Succeeded => Permille::WHOLE,
            },
            shown: Shown::default(),
        }
    }

    fn percent(&self, now: Moment) -> u32 {
        let part = self.elapsed(now).as_millis() * 100 / self.order.duration.as_millis().max(1);
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Tests each route on its own, for a version that is bad on one route only, and all routes together: a version
    /// that is bad everywhere may show it by only a few requests on each.
    fn judge(&mut self, now: Moment) {
        let span = self.order.duration.as_secs_f64().max(1.0);
        let weight = (1.0 - WEIGHT_AT_START) * now.since(self.judged).as_secs_f64() / span;
        self.judged = now;
        let first_runs = self.detectors.is_empty();
        let mut all: [Vec<Cell>; BAD.len()] = Default::default();
        for (route, window) in std::mem::take(&mut self.window) {
            let first = !self.detectors.contains_key(&route);
            let weight = if first { WEIGHT_AT_START } else { weight };
            let old = self.old.get(&route).copied().unwrap_or_default();
            let detectors = self.detectors.entry(route).or_default();
            for ((detector, all), bad) in detectors.iter_mut().zip(&mut all).zip(BAD) {
                let cell = cell(&window, old, bad);
                detector.update(weight, &[cell]);
                all.push(cell);
            }
        }
        for (detector, cells) in self.whole.iter_mut().zip(all) {
            if !cells.is_empty() {
                let weight = if first_runs { WEIGHT_AT_START } else { weight };
                detector.update(weight, &cells);
            }
        }
        if self.evidence() >= VERDICT {
            self.phase = Phase::RolledBack;
        }
    }
}

/// Returns the moment `time` before `now`, or the clock's zero if that would be negative.
fn before(now: Moment, time: Duration) -> Moment {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    Moment(now.0.saturating_sub(micros))
}

/// Pairs the new version's requests in a window with the old version's. If the old version ran none in the window,
/// all its requests so far are used.
fn cell(window: &Window, before: Sums, bad: fn(Sums) -> u32) -> Cell {
    let old = if window.old.done > 0 {
        window.old
    } else {
        before
    };
    let trials = |sums: Sums| Trials {
        bad: f64::from(bad(sums)),
        count: f64::from(sums.done),
    };
    Cell {
        baseline: trials(old),
        candidate: trials(window.new),
    }
}

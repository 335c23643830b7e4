//! How a service's traffic moves to another version, and when the move is taken back.
//!
//! The load that it answers: a version that fails from the start, later, on one route only, or only once it
//! carries load. The share stays small for half of the time, so that a version that is bad early is seen by
//! few requests, then grows in steps that are as short as the evidence needs, so that one that is bad only
//! under load meets few more. A version is judged by failures and by late runs, route by route, against the
//! old version's in the same moments; see docs/design/rollouts.md for the test's error.

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

/// The steps of a move: from which part of its time on, in percent, which share the new version has.
const STEPS: [(u32, Permille); 4] = [
    (0, Permille(50)),
    (50, Permille(250)),
    (58, Permille(600)),
    (66, Permille::WHOLE),
];
/// How long each step lasts at least, whatever the time that is left: a step that nobody watched shows nothing,
/// and a move that is late harms less than a bad version with all of the traffic.
const STEP_MIN: Duration = Duration::from_millis(900);
/// The runs of the new version that a step has to show, unless there is too little traffic for it.
const STEP_RUNS: u32 = 10;
/// After how long a step with little traffic is over.
const STEP_QUIET: Duration = Duration::from_secs(3);
/// The part of a move's time, in percent, after which it may end well.
const ENDS_AT: u32 = 82;
/// How long the new version must have had all of the traffic, so that what runs on the old one ends.
const DRAIN: Duration = Duration::from_millis(1500);
/// The logarithm of the evidence that takes a version back: one good version in a thousand.
const VERDICT: f64 = 6.9;
/// What is bad of runs.
const BAD: [fn(Sums) -> u32; 2] = [|sums| sums.failed, |sums| sums.late];
/// The prior chance that a version is bad from the start; the rest is spread over its time.
const WEIGHT_AT_START: f64 = 0.5;

#[derive(Debug, Default)]
struct Window {
    new: Sums,
    old: Sums,
}

/// One move, at the node that conducts it.
#[derive(Debug)]
pub struct Move {
    began: Moment,
    /// What another node that conducted it had seen of the share in force, until this one conducts it.
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
    /// Begins a move.
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

    /// Takes up a move that another node conducts.
    #[must_use]
    pub fn adopt(now: Moment, ramp: &Ramp) -> Self {
        let mut held = Self::new(now, ramp.order.clone());
        held.follow(now, ramp);
        held
    }

    /// Takes over what another node has in force.
    pub fn follow(&mut self, now: Moment, ramp: &Ramp) {
        self.followed = Some(ramp.shown);
        self.old.clone_from(&ramp.baseline);
        self.phase = self.phase.max(ramp.phase);
        self.backdate(now, ramp.elapsed);
        let reached = STEPS.iter().rposition(|(_, step)| *step <= ramp.reached);
        self.step = reached.unwrap_or_default();
    }

    /// Gives how long it has been under way.
    #[must_use]
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.began)
    }

    /// Takes over from the store since when it has been under way, if that is longer than was known here.
    pub fn backdate(&mut self, now: Moment, elapsed: Duration) {
        self.began = self.began.min(before(now, elapsed));
    }

    /// Gives the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Gives how far it has come.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes over how it ended, as the store has it.
    pub fn settle(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Takes evidence in.
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

    /// Gives what it is judged by, for the log.
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

    /// Gives the new version's runs since its share last changed.
    #[must_use]
    pub fn step_runs(&self) -> u32 {
        self.step_runs
    }

    /// Gives the logarithm of the strongest evidence against the new version; 0 if there is none.
    fn evidence(&self) -> f64 {
        let detectors = self.detectors.values().flatten().chain(&self.whole);
        detectors.map(Detector::log).fold(0.0, f64::max)
    }

    /// Judges what came in since the last call and gives what is to be in force. `serving` tells whether
    /// the new version has upstreams.
    pub fn step(&mut self, now: Moment, leader: &Leader, serving: bool) -> Ramp {
        if let Some(shown) = self.followed.take() {
            // What the node before has seen is lost, unless it was handed over: the step in force has to be shown anew.
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

    /// Gives what is in force to whichever node conducts the move next, with what this one has seen of it.
    #[must_use]
    pub fn hand_over(&self, now: Moment, serving: bool) -> Ramp {
        let mut ramp = self.ramp(now, None, serving);
        // Evidence against the new version stays here, so the next node has to look again.
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
            // Upstreams that went away after failures may have died of the load; those that went without one come
            // back to the share that they had.
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

    /// Judges each route by itself, for a version that is bad on one of them only, and all of them together, as a
    /// version that is bad everywhere shows that by a few runs on each.
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

fn before(now: Moment, time: Duration) -> Moment {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    Moment(now.0.saturating_sub(micros))
}

/// Sets a window's answers of the new version beside the old one's; beside all that the old one gave before
/// if it gave none in the window.
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

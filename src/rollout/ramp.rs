//! Raises the share of a new version in one failure domain. The share grows in stages; each stage lasts
//! until there is enough evidence or its time slot ends, so that the rollout finishes well before its
//! deadline.

use {
    crate::{
        resource::Preference,
        types::{Moment, Permille},
    },
    std::time::Duration,
};

/// Shortest time before the deadline at which the old version loses its last share, which leaves time to
/// record the outcome. A rollout of a few seconds uses a quarter of its time instead.
const CUTOVER_MARGIN_MIN: Duration = Duration::from_secs(5);

/// Longest time before the deadline at which the old version loses its last share.
const CUTOVER_MARGIN_MAX: Duration = Duration::from_secs(300);

/// Shares of the new version by stage. The last stage leaves the old version enough traffic to compare
/// the new one with.
pub const STAGES: [Permille; 7] = [
    Permille(20),
    Permille(50),
    Permille(100),
    Permille(200),
    Permille(300),
    Permille(500),
    Permille(700),
];

/// Index of the last stage.
const LAST_STAGE: usize = STAGES.len() - 1;

/// Answers of the new version per second, in one failure domain, below which a stage is skipped. A small
/// share of little traffic gives no evidence, and a bad version does little harm there.
const ANSWERS_PER_S_MIN: f64 = 0.25;

/// Number of leading stages that may be skipped when there is too little traffic.
const SKIPPABLE_STAGES: usize = 3;

/// Answers of the new version within a stage after which the next stage may begin before the time slot
/// ends.
const STAGE_ANSWERS_MIN: u64 = 200;

/// Answers of the new version that a rollout with [`Preference::Rollback`] requires before it advances.
/// A version that fails one request in twenty shows a failure within this number with a probability of
/// 95 %.
pub const ROLLBACK_ANSWERS_MIN: u64 = 60;

/// Timing of a rollout, from which the ends of its stages follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Time by which the rollout has to be finished.
    pub deadline: Moment,
    /// Whether completion in time or rollback takes precedence.
    pub preference: Preference,
    /// Time at which the rollout was accepted.
    pub started: Moment,
}

impl Schedule {
    /// Returns the time from the start to the deadline.
    #[must_use]
    pub fn span(&self) -> Duration {
        self.deadline.since(self.started)
    }

    /// Returns the end of the time slot of a stage. The first slot is the longest, because most bad
    /// versions are detected in it.
    fn slot_end(&self, stage: usize) -> Moment {
        let slots_fraction = match self.preference {
            Preference::Completion => 0.60,
            Preference::Rollback => 0.80,
        };
        let stage = u32::try_from(stage).unwrap_or(u32::MAX);
        let stages = u32::try_from(LAST_STAGE).unwrap_or(u32::MAX);
        let stage_fraction = 0.25 + 0.75 * f64::from(stage) / f64::from(stages);
        self.started + self.span().mul_f64(slots_fraction * stage_fraction)
    }

    /// Returns the minimum time between two changes of the stage.
    fn min_step_interval(&self) -> Duration {
        (self.span() / 64).max(Duration::from_millis(500))
    }

    /// Returns the time at which the old version loses its last share, so that all traffic has moved by
    /// the deadline.
    #[must_use]
    pub fn cutover(&self) -> Moment {
        let span = self.span();
        let margin = (span / 20)
            .clamp(CUTOVER_MARGIN_MIN, CUTOVER_MARGIN_MAX)
            .min(span / 4);
        self.started + span.saturating_sub(margin)
    }

    /// Returns `true` if suspicion no longer delays the rollout, because it could not finish in time
    /// otherwise. Only applies to rollouts that prefer completion.
    fn ignores_suspicion(&self, now: Moment) -> bool {
        self.preference == Preference::Completion && now >= self.started + self.span().mul_f64(0.85)
    }
}

/// Observations from which [`Ramp::step`] decides.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Answers of the new version in all failure domains known to this node.
    pub total_answers: u64,
    /// Whether there is no suspicion against the new version.
    pub is_unsuspected: bool,
    /// Largest share of the domain's traffic that the new version's endpoints can serve.
    pub capacity: Permille,
    /// Answers of the new version to callers in this failure domain.
    pub domain_answers: u64,
    /// Answers of both versions per second in this failure domain; `None` until it has been measured.
    pub answers_per_s: Option<f64>,
}

/// Current stage of one rollout attempt in one failure domain.
#[derive(Debug)]
pub struct Ramp {
    answers_before_stage: u64,
    done: bool,
    stage_since: Moment,
    stage: usize,
}

impl Ramp {
    /// Creates a ramp at the highest stage that does not exceed `share`, the share that another node had
    /// reached, or at the first stage if there is none.
    #[must_use]
    pub fn new(now: Moment, share: Permille) -> Self {
        let stage = STAGES.iter().rposition(|stage| *stage <= share);
        Self {
            answers_before_stage: 0,
            done: share == Permille::WHOLE,
            stage_since: now,
            stage: stage.unwrap_or(0),
        }
    }

    /// Returns the share of the current stage.
    #[must_use]
    pub fn stage_share(&self) -> Permille {
        STAGES[self.stage]
    }

    /// Returns `true` if the last stage is finished.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Advances to the next stage if time, evidence and capacity allow it, or goes back to a lower stage
    /// if the new version's endpoints can no longer serve the current share.
    pub fn step(&mut self, now: Moment, schedule: &Schedule, observation: &Observation) {
        if observation.capacity < STAGES[self.stage] {
            return self.step_back(now, observation);
        }
        if self.done
            || now.since(self.stage_since) < schedule.min_step_interval()
            || !self.may_advance(now, schedule, observation)
        {
            return;
        }
        if self.stage == LAST_STAGE {
            self.done = observation.capacity >= Permille::WHOLE;
        } else if observation.capacity >= STAGES[self.stage + 1] {
            self.stage += 1;
            self.stage_since = now;
            self.answers_before_stage = observation.domain_answers;
        }
    }

    fn step_back(&mut self, now: Moment, observation: &Observation) {
        while self.stage > 0 && observation.capacity < STAGES[self.stage] {
            self.stage -= 1;
        }
        self.done = false;
        self.stage_since = now;
    }

    fn may_advance(&self, now: Moment, schedule: &Schedule, observation: &Observation) -> bool {
        if !observation.is_unsuspected && !schedule.ignores_suspicion(now) {
            return false;
        }
        if self.is_skippable(observation) {
            return true;
        }
        let slot_ended = now >= schedule.slot_end(self.stage);
        match schedule.preference {
            Preference::Completion => {
                let stage_answers = observation
                    .domain_answers
                    .saturating_sub(self.answers_before_stage);
                slot_ended
                    || (stage_answers >= STAGE_ANSWERS_MIN
                        && now.since(self.stage_since) >= schedule.min_step_interval() * 2)
            }
            Preference::Rollback => slot_ended && observation.total_answers >= ROLLBACK_ANSWERS_MIN,
        }
    }

    /// Returns `true` if this stage may be skipped because it yields too few answers.
    fn is_skippable(&self, observation: &Observation) -> bool {
        let share = f64::from(STAGES[self.stage].0) / 1000.0;
        self.stage < SKIPPABLE_STAGES
            && observation
                .answers_per_s
                .is_some_and(|rate| rate * share < ANSWERS_PER_S_MIN)
    }

    /// Returns the share to apply now: that of the stage, limited to `capacity`, or the whole from
    /// [`Schedule::cutover`] on if the last stage is finished.
    #[must_use]
    pub fn share(&self, now: Moment, schedule: &Schedule, capacity: Permille) -> Permille {
        if self.done && now >= schedule.cutover() {
            return Permille::WHOLE;
        }
        STAGES[self.stage].min(capacity)
    }

    /// Marks the last stage as finished.
    pub fn finish(&mut self) {
        self.done = true;
        self.stage = LAST_STAGE;
    }
}

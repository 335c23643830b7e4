//! How the share of a new version grows in one failure domain: by stages, each until there is evidence
//! or its time slot ends, so that the move is done well before the deadline.

use {
    crate::{
        resource::Preference,
        world::{Moment, Permille},
    },
    std::time::Duration,
};

/// The shortest time before the deadline at which it does, so that the end is recorded in time; a
/// rollout of a few seconds gets a quarter of its time.
const CLOSING_MIN: Duration = Duration::from_secs(5);

/// The longest time before the deadline at which the old version loses its last share.
const CLOSING_MAX: Duration = Duration::from_secs(300);

/// The shares of the stages. The last one leaves the old version enough to be compared with.
pub const STAGES: [Permille; 7] = [
    Permille(20),
    Permille(50),
    Permille(100),
    Permille(200),
    Permille(300),
    Permille(500),
    Permille(700),
];

/// The last stage.
const LAST: usize = STAGES.len() - 1;

/// The answers of the new version a second, in one failure domain, below which a stage is skipped: a
/// small share of little traffic shows nothing, and its harm is small as well.
const ANSWERS_WANTED: f64 = 0.25;

/// The last stage that is begun at once for want of answers.
const SKIPPED: usize = 3;

/// The answers of the new version in a stage that let the next one begin early.
const STAGE_ANSWERS: u64 = 200;

/// The answers of the new version that a rollout which prefers rollback asks for: enough to have seen
/// a version that fails one request in twenty with a chance of 95 in 100.
pub const ANSWERS_NEEDED: u64 = 60;

/// When a rollout's stages end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// When the move has to be finished.
    pub deadline: Moment,
    /// What is favoured.
    pub preference: Preference,
    /// When it began.
    pub started: Moment,
}

impl Plan {
    /// Gives the time that the rollout has in all.
    #[must_use]
    pub fn span(&self) -> Duration {
        self.deadline.since(self.started)
    }

    /// Gives when the slot of a stage ends: the first one is longest, as most bad versions show in it.
    fn slot_end(&self, stage: usize) -> Moment {
        let part = match self.preference {
            Preference::Completion => 0.60,
            Preference::Rollback => 0.80,
        };
        let stage = u32::try_from(stage).unwrap_or(u32::MAX);
        let stages = u32::try_from(LAST).unwrap_or(u32::MAX);
        let fraction = 0.25 + 0.75 * f64::from(stage) / f64::from(stages);
        self.started + self.span().mul_f64(part * fraction)
    }

    /// Gives the least time between two steps.
    fn pause(&self) -> Duration {
        (self.span() / 64).max(Duration::from_millis(500))
    }

    /// Gives when the old version loses its last share, so that all has moved at the deadline.
    #[must_use]
    pub fn closing(&self) -> Moment {
        let span = self.span();
        let closing = (span / 20).clamp(CLOSING_MIN, CLOSING_MAX).min(span / 4);
        self.started + span.saturating_sub(closing)
    }

    /// Tells whether suspicion holds a rollout up no more, as it could not be finished in time else.
    fn pressing(&self, now: Moment) -> bool {
        self.preference == Preference::Completion && now >= self.started + self.span().mul_f64(0.85)
    }
}

/// What a step rests on.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    /// The answers of the new version within sight.
    pub answers: u64,
    /// Whether nothing speaks against the new version.
    pub calm: bool,
    /// The most that the new version's endpoints carry.
    pub carried: Permille,
    /// The answers that the new version gave in this domain.
    pub own_answers: u64,
    /// The answers of both versions a second in this domain; nothing while it isn't known.
    pub rate: Option<f64>,
}

/// The stage of one attempt in one failure domain.
#[derive(Debug)]
pub struct Ramp {
    answers: u64,
    done: bool,
    since: Moment,
    stage: usize,
}

impl Ramp {
    /// Begins at the first stage, or goes on where `share` shows that another node had come to.
    #[must_use]
    pub fn new(now: Moment, share: Permille) -> Self {
        let stage = STAGES.iter().rposition(|stage| *stage <= share);
        Self {
            answers: 0,
            done: share == Permille::WHOLE,
            since: now,
            stage: stage.unwrap_or(0),
        }
    }

    /// Gives the share of the stage.
    #[must_use]
    pub fn stage(&self) -> Permille {
        STAGES[self.stage]
    }

    /// Tells whether the last stage is finished.
    #[must_use]
    pub fn done(&self) -> bool {
        self.done
    }

    /// Moves on if it is time to.
    pub fn step(&mut self, now: Moment, plan: &Plan, facts: &Facts) {
        if facts.carried < STAGES[self.stage] {
            return self.retreat(now, facts);
        }
        if self.done || now.since(self.since) < plan.pause() || !self.may_grow(now, plan, facts) {
            return;
        }
        if self.stage == LAST {
            self.done = facts.carried >= Permille::WHOLE;
        } else if facts.carried >= STAGES[self.stage + 1] {
            self.stage += 1;
            self.since = now;
            self.answers = facts.own_answers;
        }
    }

    fn retreat(&mut self, now: Moment, facts: &Facts) {
        while self.stage > 0 && facts.carried < STAGES[self.stage] {
            self.stage -= 1;
        }
        self.done = false;
        self.since = now;
    }

    fn may_grow(&self, now: Moment, plan: &Plan, facts: &Facts) -> bool {
        if !facts.calm && !plan.pressing(now) {
            return false;
        }
        if self.is_idle(facts) {
            return true;
        }
        let due = now >= plan.slot_end(self.stage);
        match plan.preference {
            Preference::Completion => {
                let seen = facts.own_answers.saturating_sub(self.answers);
                due || (seen >= STAGE_ANSWERS && now.since(self.since) >= plan.pause() * 2)
            }
            Preference::Rollback => due && facts.answers >= ANSWERS_NEEDED,
        }
    }

    /// Tells whether this stage gives too few answers to be of use.
    fn is_idle(&self, facts: &Facts) -> bool {
        let share = f64::from(STAGES[self.stage].0) / 1000.0;
        self.stage < SKIPPED && facts.rate.is_some_and(|rate| rate * share < ANSWERS_WANTED)
    }

    /// Gives the share that is right now: shortly before the deadline the old version loses what it kept.
    #[must_use]
    pub fn share(&self, now: Moment, plan: &Plan, carried: Permille) -> Permille {
        if self.done && now >= plan.closing() {
            return Permille::WHOLE;
        }
        STAGES[self.stage].min(carried)
    }

    /// Takes the last stage for finished.
    pub fn finish(&mut self) {
        self.done = true;
        self.stage = LAST;
    }
}

//! An anytime-valid test that a version's bad answers are more frequent than the other's, whenever that
//! began. See docs/design/rollouts.md for why its error is bounded over the whole rollout.

/// The odds ratio between the versions that is tolerated.
const TOLERATED_RATIO: f64 = 1.5;

/// The share of bad answers that is tolerated where the other version has none.
const TOLERATED_SHARE: f64 = 0.005;

/// The odds ratios beyond the tolerated one that are bet on.
const RATIOS: [f64; 3] = [2.0, 8.0, 40.0];

/// The most that a wealth is counted to, so that it stays a finite number.
const WEALTH_MAX: f64 = 1e15;

/// Answers, and the bad ones of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Trials {
    /// The bad answers.
    pub bad: f64,
    /// All answers.
    pub count: f64,
}

/// Both versions' answers in one window and under like conditions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cell {
    /// The old version's.
    pub baseline: Trials,
    /// The new version's.
    pub candidate: Trials,
}

impl Cell {
    /// Given how many bad answers there were in all, each is the new version's with a chance that
    /// follows from the numbers of answers; this is the logarithm of the likelihood ratio.
    fn log_ratio(&self, ratio: f64) -> f64 {
        let bad = self.candidate.bad + self.baseline.bad + TOLERATED_SHARE * self.baseline.count;
        let scaled = TOLERATED_RATIO * self.candidate.count;
        let whole = scaled + self.baseline.count;
        if self.candidate.count == 0.0 || self.baseline.count == 0.0 {
            return 0.0;
        }
        let mean = (ratio * scaled + self.baseline.count) / whole;
        self.candidate.bad * ratio.ln() - bad * mean.ln()
    }
}

/// The wealth of the bets, one for each ratio, over all times at which the version may have turned bad.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    wealth: [f64; RATIOS.len()],
}

impl Detector {
    /// Takes a window in. `weight` is the prior chance that the version turned bad in it; the weights
    /// of a rollout add up to 1 at most.
    pub fn update(&mut self, weight: f64, cells: &[Cell]) {
        for (wealth, ratio) in self.wealth.iter_mut().zip(RATIOS) {
            let log: f64 = cells.iter().map(|cell| cell.log_ratio(ratio)).sum();
            *wealth = ((*wealth + weight) * log.min(30.0).exp()).min(WEALTH_MAX);
        }
    }

    /// Gives the logarithm of the evidence; the chance that a good version ever reaches `x` is at most
    /// `exp(-x)`.
    #[must_use]
    pub fn log(&self) -> f64 {
        let bets = f64::from(u8::try_from(RATIOS.len()).unwrap_or(u8::MAX));
        let mean = self.wealth.iter().sum::<f64>() / bets;
        mean.max(1.0).ln()
    }
}

//! An anytime-valid statistical test of whether one version gives bad answers more often than another,
//! whenever that began. See docs/design/rollouts.md for why its error is bounded over the whole rollout.

/// Odds ratio of bad answers between the versions that is tolerated.
const TOLERATED_ODDS_RATIO: f64 = 1.5;

/// Fraction of bad answers that is tolerated if the other version has none.
const TOLERATED_FRACTION: f64 = 0.005;

/// Alternative hypotheses of the test: odds ratios as multiples of the tolerated one.
const ODDS_RATIOS: [f64; 3] = [2.0, 8.0, 40.0];

/// Upper bound of the wealth of a bet, which keeps it finite.
const WEALTH_MAX: f64 = 1e15;

/// Number of answers and of bad answers among them. Fractional, because past answers are scaled.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Trials {
    /// Bad answers.
    pub bad: f64,
    /// All answers, good and bad.
    pub count: f64,
}

/// Answers of both versions in one window and under the same conditions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cell {
    /// Answers of the old version.
    pub baseline: Trials,
    /// Answers of the new version.
    pub candidate: Trials,
}

impl Cell {
    /// Returns the logarithm of the likelihood ratio for one alternative. Given the total number of bad
    /// answers, the probability that one of them is the new version's follows from the answer counts.
    fn log_likelihood_ratio(&self, ratio: f64) -> f64 {
        let bad = self.candidate.bad + self.baseline.bad + TOLERATED_FRACTION * self.baseline.count;
        let scaled_count = TOLERATED_ODDS_RATIO * self.candidate.count;
        let total = scaled_count + self.baseline.count;
        if self.candidate.count == 0.0 || self.baseline.count == 0.0 {
            return 0.0;
        }
        let mean = (ratio * scaled_count + self.baseline.count) / total;
        self.candidate.bad * ratio.ln() - bad * mean.ln()
    }
}

/// State of the test: the wealth of one bet per alternative, summed over all times at which the version
/// may have turned bad.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    wealth: [f64; ODDS_RATIOS.len()],
}

impl Detector {
    /// Adds the answers of one window. `prior` is the prior probability that the version turned bad in
    /// this window; the priors of a rollout must add up to at most 1.
    pub fn update(&mut self, prior: f64, cells: &[Cell]) {
        for (wealth, ratio) in self.wealth.iter_mut().zip(ODDS_RATIOS) {
            let log: f64 = cells
                .iter()
                .map(|cell| cell.log_likelihood_ratio(ratio))
                .sum();
            *wealth = ((*wealth + prior) * log.min(30.0).exp()).min(WEALTH_MAX);
        }
    }

    /// Returns the natural logarithm of the evidence. The probability that a good version ever reaches
    /// `x` is at most `exp(-x)`.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        let bets = f64::from(u8::try_from(ODDS_RATIOS.len()).unwrap_or(u8::MAX));
        let mean = self.wealth.iter().sum::<f64>() / bets;
        mean.max(1.0).ln()
    }
}

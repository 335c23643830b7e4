//! Compares the new version with the old one that runs at the same time, for the callers of one failure
//! domain. So that a single bad host cannot decide the verdict, the evidence is also computed with each
//! host of the new version left out in turn. See docs/design/rollouts.md.

use {
    super::{
        Tag,
        detector::{Cell, Detector, Trials},
        evidence::{Row, Rows, Side, Sums},
        outcome::{Cause, Tally},
    },
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest window that is judged.
const WINDOW_MIN: Duration = Duration::from_millis(500);

/// Length after which a window is judged even if it has few answers.
const WINDOW_MAX: Duration = Duration::from_secs(15);

/// Total answers of both versions with which a window is judged before [`WINDOW_MAX`].
const WINDOW_ANSWERS_MIN: u32 = 20;

/// Time constant of the moving averages of the load and the answer rate.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Prior probability that a version is bad from the start.
const PRIOR_AT_START: f64 = 0.5;

/// Past answers of the old version that are required before they replace its current answers in a window
/// in which it has no traffic.
const HISTORY_ANSWERS_MIN: f64 = 50.0;

/// Factor on the past rate of bad answers, because there are no answers of the old version from the same
/// time to compare with.
const HISTORY_RATE_FACTOR: f64 = 3.0;

/// Lower bound of the rate of bad answers that is assumed from past answers.
const HISTORY_RATE_MIN: f64 = 0.02;

/// Maximum number of past answers that are compared with one answer of the new version.
const HISTORY_RATIO_MAX: f64 = 4.0;

/// Evidence of one failure domain against a version, as natural logarithms (nats).
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// Evidence from all hosts, in hundredths of a nat.
    pub all: u16,
    /// Evidence without the host that contributes most, in hundredths of a nat; 0 with fewer than two
    /// hosts.
    pub robust: u16,
    /// Host that contributes most.
    pub worst: Tag,
}

/// Causes that are judged, in the order of the arrays that [`Judge::weights`] returns.
pub const JUDGED_CAUSES: [Cause; 2] = [Cause::Failures, Cause::Late];

type Detectors = [Detector; 2];

/// Evidence collected about one rollout attempt in one failure domain.
#[derive(Debug)]
pub struct Judge {
    all: Detectors,
    concurrency: f64,
    judged: bool,
    rate: Option<f64>,
    baseline_history: [Trials; 2],
    window_start: Moment,
    tallies: [Tally; 2],
    window: Rows,
    excluding_host: BTreeMap<Tag, Detectors>,
}

impl Judge {
    /// Creates a judge without evidence, whose first window begins at `now`.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            all: Detectors::default(),
            concurrency: 0.0,
            judged: false,
            rate: None,
            baseline_history: Default::default(),
            window_start: now,
            tallies: Default::default(),
            window: Rows::default(),
            excluding_host: BTreeMap::new(),
        }
    }

    /// Adds a row to the current window.
    pub fn record(&mut self, row: Row) {
        let side = usize::from(row.side == Side::Candidate);
        self.tallies[side].add(row.sums.to_tally());
        self.window.add(row);
    }

    /// Returns the answers of a version since this judge was created.
    #[must_use]
    pub fn tally(&self, side: Side) -> Tally {
        self.tallies[usize::from(side == Side::Candidate)]
    }

    /// Returns the average number of requests that both versions ran concurrently.
    #[must_use]
    pub fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// Returns the average number of answers of both versions per second, or `None` before the first
    /// window is judged.
    #[must_use]
    pub fn answers_per_s(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the number of hosts of the new version that have answered.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.excluding_host.len()
    }

    /// Judges the current window and begins the next one, if the window is complete. `span` is the whole
    /// length of the rollout; `domain` returns the failure domain of a host.
    pub fn close_window(
        &mut self,
        now: Moment,
        span: Duration,
        domain: impl Fn(Tag) -> Option<Tag>,
    ) {
        let length = now.since(self.window_start);
        if !self.is_window_complete(length) {
            return;
        }
        self.window_start = now;
        let window = std::mem::take(&mut self.window);
        self.update_load(&window, length);
        if window.is_empty() {
            return;
        }
        for (host, _) in window.iter_side(Side::Candidate) {
            self.excluding_host.entry(host).or_insert(self.all);
        }
        let prior = self.next_prior(length, span);
        let past_baseline = self.past_baseline(&window);
        update(
            &mut self.all,
            prior,
            &cells(&window, None, past_baseline, &domain),
        );
        for (host, detectors) in &mut self.excluding_host {
            update(
                detectors,
                prior,
                &cells(&window, Some(*host), past_baseline, &domain),
            );
        }
        self.record_baseline(&window);
    }

    fn is_window_complete(&self, length: Duration) -> bool {
        let (old, new) = (
            self.window.total(Side::Baseline).done,
            self.window.total(Side::Candidate).done,
        );
        let enough = old > 0 && new > 0 && old + new >= WINDOW_ANSWERS_MIN;
        length >= WINDOW_MAX || (enough && length >= WINDOW_MIN)
    }

    fn update_load(&mut self, window: &Rows, length: Duration) {
        let busy_ms = window.total(Side::Baseline).busy_ms + window.total(Side::Candidate).busy_ms;
        let concurrency = f64::from(busy_ms) / 1000.0 / length.as_secs_f64().max(0.001);
        let decay = (-length.as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64()).exp();
        let answers = window.total(Side::Baseline).done + window.total(Side::Candidate).done;
        let rate = f64::from(answers) / length.as_secs_f64().max(0.001);
        self.rate = Some(
            self.rate
                .map_or(rate, |previous| previous * decay + rate * (1.0 - decay)),
        );
        self.concurrency = self.concurrency * decay + concurrency * (1.0 - decay);
    }

    fn next_prior(&mut self, length: Duration, span: Duration) -> f64 {
        let span_fraction = length.as_secs_f64() / span.as_secs_f64().max(1.0);
        let first = !std::mem::replace(&mut self.judged, true);
        if first {
            PRIOR_AT_START
        } else {
            (1.0 - PRIOR_AT_START) * span_fraction
        }
    }

    /// Returns the past answers that replace those of the old version, by measure, if it had no traffic
    /// in this window and there are at least [`HISTORY_ANSWERS_MIN`] of them.
    fn past_baseline(&self, window: &Rows) -> Option<[Trials; 2]> {
        let baseline_idle = window.total(Side::Baseline).done == 0;
        let enough_history = self.baseline_history[0].count >= HISTORY_ANSWERS_MIN;
        (baseline_idle && enough_history).then(|| {
            self.baseline_history.map(|trials| {
                let rate = trials.bad / trials.count;
                let new = f64::from(window.total(Side::Candidate).done);
                let count = (HISTORY_RATIO_MAX * new).min(trials.count);
                let bad = count * (rate * HISTORY_RATE_FACTOR).clamp(HISTORY_RATE_MIN, 1.0);
                Trials { bad, count }
            })
        })
    }

    fn record_baseline(&mut self, window: &Rows) {
        let sums = window.total(Side::Baseline);
        let bad = [sums.failed + sums.crashed, sums.late];
        for (trials, bad) in self.baseline_history.iter_mut().zip(bad) {
            trials.bad += f64::from(bad);
            trials.count += f64::from(sums.done);
        }
    }

    /// Returns the evidence for each of [`JUDGED_CAUSES`].
    #[must_use]
    pub fn weights(&self) -> [Weight; 2] {
        [0, 1].map(|measure| {
            let all = self.all[measure].log_evidence();
            let minimum = self
                .excluding_host
                .iter()
                .map(|(host, detectors)| (*host, detectors[measure].log_evidence()))
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let (worst, robust) = minimum.unwrap_or_default();
            let single_host = self.excluding_host.len() < 2;
            Weight {
                all: hundredths(all),
                robust: if single_host { 0 } else { hundredths(robust) },
                worst,
            }
        })
    }
}

fn hundredths(log: f64) -> u16 {
    let rounded = (log * 100.0).clamp(0.0, 60_000.0).floor();
    // The value is an integer within the range of u16.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hundredths = rounded as u16;
    hundredths
}

fn update(detectors: &mut Detectors, prior: f64, cells: &[Vec<Cell>; 2]) {
    for (detector, cells) in detectors.iter_mut().zip(cells) {
        detector.update(prior, cells);
    }
}

fn bad_counts(sums: Sums) -> [f64; 2] {
    [f64::from(sums.failed + sums.crashed), f64::from(sums.late)]
}

/// Counts all crashes of a host in a window as one, because a crash fails every request that runs on the
/// host.
fn with_crashes_capped(sums: Sums) -> Sums {
    Sums {
        crashed: sums.crashed.min(1),
        ..sums
    }
}

/// Pairs the answers of both versions by the failure domain of the upstream, so that a bad link or domain
/// affects both alike. In domains where the old version has no answers, failures are compared with all of
/// its answers, because a link can't make an upstream fail. Late answers there are left out, because the
/// link may cause them.
fn cells(
    window: &Rows,
    excluded_host: Option<Tag>,
    past_baseline: Option<[Trials; 2]>,
    domain: &impl Fn(Tag) -> Option<Tag>,
) -> [Vec<Cell>; 2] {
    let mut candidate_by_domain: BTreeMap<Option<Tag>, Sums> = BTreeMap::new();
    let baseline_by_domain: BTreeMap<Tag, Sums> = window.iter_side(Side::Baseline).collect();
    for (host, sums) in window.iter_side(Side::Candidate) {
        if Some(host) != excluded_host {
            let place = domain(host).filter(|place| baseline_by_domain.contains_key(place));
            candidate_by_domain
                .entry(place)
                .or_default()
                .add(with_crashes_capped(sums));
        }
    }
    let baseline_total = window.total(Side::Baseline);
    let cell = |place: Option<Tag>, new: Sums, measure: usize| {
        let old = place.map_or(baseline_total, |place| baseline_by_domain[&place]);
        let count = f64::from(new.done);
        let baseline = match past_baseline {
            Some(past) => past[measure],
            None => Trials {
                bad: bad_counts(old)[measure],
                count: f64::from(old.done),
            },
        };
        Cell {
            baseline,
            candidate: Trials {
                bad: bad_counts(new)[measure],
                count,
            },
        }
    };
    [0, 1].map(|measure| {
        candidate_by_domain
            .iter()
            .filter(|(place, _)| measure == 0 || place.is_some() || past_baseline.is_some())
            .map(|(place, new)| cell(*place, *new, measure))
            .collect()
    })
}

//! Compares the new version with the old one beside it, for the callers of one failure domain. No single
//! host carries the verdict: every host of the new version is left out in turn. See
//! docs/design/rollouts.md.

use {
    super::{
        Tag,
        detector::{Cell, Detector, Trials},
        evidence::{Row, Rows, Side, Sums},
        outcome::{Cause, Tally},
    },
    crate::world::Moment,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The shortest window that is judged.
const WINDOW_MIN: Duration = Duration::from_millis(500);

/// The longest window that is waited for where there is little traffic.
const WINDOW_MAX: Duration = Duration::from_secs(15);

/// The answers after which a window need not wait.
const WINDOW_ANSWERS: u32 = 20;

/// Over how long the load is averaged.
const LOAD_MEMORY: Duration = Duration::from_secs(20);

/// The prior chance that a version is bad from the start.
const WEIGHT_AT_START: f64 = 0.5;

/// How many answers of the old version must be remembered to stand in for it once it has no traffic.
const MEMORY_ANSWERS: f64 = 50.0;

/// By how much the remembered rate of bad answers is raised, as no answers stand beside the new ones.
const MEMORY_MARGIN: f64 = 3.0;

/// The least rate of bad answers that the remembered rate is raised to.
const MEMORY_FLOOR: f64 = 0.02;

/// How many remembered answers are set beside one of the new version at most.
const MEMORY_WEIGHT: f64 = 4.0;

/// The evidence of one failure domain against a version, as logarithms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// With every host, in hundredths.
    pub all: u16,
    /// Without the host that it rests on most, in hundredths; nothing if there is just one host.
    pub robust: u16,
    /// That host.
    pub worst: Tag,
}

/// What is judged: failures, and late answers.
pub const MEASURES: [Cause; 2] = [Cause::Failures, Cause::Late];

type Pair = [Detector; 2];

/// The judge of one attempt in one failure domain.
#[derive(Debug)]
pub struct Judge {
    all: Pair,
    busy: f64,
    judged: bool,
    rate: Option<f64>,
    memory: [Trials; 2],
    opened: Moment,
    tallies: [Tally; 2],
    window: Rows,
    without: BTreeMap<Tag, Pair>,
}

impl Judge {
    /// Begins without evidence.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            all: Pair::default(),
            busy: 0.0,
            judged: false,
            rate: None,
            memory: Default::default(),
            opened: now,
            tallies: Default::default(),
            window: Rows::default(),
            without: BTreeMap::new(),
        }
    }

    /// Takes evidence in.
    pub fn add(&mut self, row: Row) {
        let side = usize::from(row.side == Side::Candidate);
        self.tallies[side].add(row.sums.tally());
        self.window.add(row);
    }

    /// Gives what a version has given since the judge began.
    #[must_use]
    pub fn tally(&self, side: Side) -> Tally {
        self.tallies[usize::from(side == Side::Candidate)]
    }

    /// Gives how many requests both versions ran at a time, lately.
    #[must_use]
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Gives how many answers both versions gave a second, lately; nothing before the first window.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Gives how many hosts of the new version were seen.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.without.len()
    }

    /// Judges the window once it is long enough. `span` is the whole length of the rollout; `domain`
    /// gives the failure domain of a host.
    pub fn close(&mut self, now: Moment, span: Duration, domain: impl Fn(Tag) -> Option<Tag>) {
        let length = now.since(self.opened);
        if !self.ripe(length) {
            return;
        }
        self.opened = now;
        let window = std::mem::take(&mut self.window);
        self.load(&window, length);
        if window.is_empty() {
            return;
        }
        for (host, _) in window.of(Side::Candidate) {
            self.without.entry(host).or_insert(self.all);
        }
        let weight = self.weight(length, span);
        let baseline = self.baseline(&window);
        update(
            &mut self.all,
            weight,
            &cells(&window, None, baseline, &domain),
        );
        for (host, pair) in &mut self.without {
            update(
                pair,
                weight,
                &cells(&window, Some(*host), baseline, &domain),
            );
        }
        self.remember(&window);
    }

    fn ripe(&self, length: Duration) -> bool {
        let (old, new) = (
            self.window.sum(Side::Baseline).done,
            self.window.sum(Side::Candidate).done,
        );
        let enough = old > 0 && new > 0 && old + new >= WINDOW_ANSWERS;
        length >= WINDOW_MAX || (enough && length >= WINDOW_MIN)
    }

    fn load(&mut self, window: &Rows, length: Duration) {
        let busy = window.sum(Side::Baseline).busy_ms + window.sum(Side::Candidate).busy_ms;
        let now = f64::from(busy) / 1000.0 / length.as_secs_f64().max(0.001);
        let keep = (-length.as_secs_f64() / LOAD_MEMORY.as_secs_f64()).exp();
        let answers = window.sum(Side::Baseline).done + window.sum(Side::Candidate).done;
        let rate = f64::from(answers) / length.as_secs_f64().max(0.001);
        self.rate = Some(
            self.rate
                .map_or(rate, |held| held * keep + rate * (1.0 - keep)),
        );
        self.busy = self.busy * keep + now * (1.0 - keep);
    }

    fn weight(&mut self, length: Duration, span: Duration) -> f64 {
        let share = length.as_secs_f64() / span.as_secs_f64().max(1.0);
        let first = !std::mem::replace(&mut self.judged, true);
        if first {
            WEIGHT_AT_START
        } else {
            (1.0 - WEIGHT_AT_START) * share
        }
    }

    /// Gives what stands in for the old version in a window in which it had no traffic.
    fn baseline(&self, window: &Rows) -> Option<[Trials; 2]> {
        let gone = window.sum(Side::Baseline).done == 0;
        let known = self.memory[0].count >= MEMORY_ANSWERS;
        (gone && known).then(|| {
            self.memory.map(|trials| {
                let rate = trials.bad / trials.count;
                let new = f64::from(window.sum(Side::Candidate).done);
                let count = (MEMORY_WEIGHT * new).min(trials.count);
                let bad = count * (rate * MEMORY_MARGIN).clamp(MEMORY_FLOOR, 1.0);
                Trials { bad, count }
            })
        })
    }

    fn remember(&mut self, window: &Rows) {
        let sums = window.sum(Side::Baseline);
        let bad = [sums.failed + sums.crashed, sums.late];
        for (trials, bad) in self.memory.iter_mut().zip(bad) {
            trials.bad += f64::from(bad);
            trials.count += f64::from(sums.done);
        }
    }

    /// Gives the evidence by measure.
    #[must_use]
    pub fn weights(&self) -> [Weight; 2] {
        [0, 1].map(|measure| {
            let all = self.all[measure].log();
            let least = self
                .without
                .iter()
                .map(|(host, pair)| (*host, pair[measure].log()))
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let (worst, robust) = least.unwrap_or_default();
            let alone = self.without.len() < 2;
            Weight {
                all: hundredths(all),
                robust: if alone { 0 } else { hundredths(robust) },
                worst,
            }
        })
    }
}

fn hundredths(log: f64) -> u16 {
    let rounded = (log * 100.0).clamp(0.0, 60_000.0).floor();
    // The value is whole and within range.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hundredths = rounded as u16;
    hundredths
}

fn update(pair: &mut Pair, weight: f64, cells: &[Vec<Cell>; 2]) {
    for (detector, cells) in pair.iter_mut().zip(cells) {
        detector.update(weight, cells);
    }
}

fn bad(sums: Sums) -> [f64; 2] {
    [f64::from(sums.failed + sums.crashed), f64::from(sums.late)]
}

/// A crash takes all that ran on the host with it, so a host's crashes in a window count as one.
fn clumped(sums: Sums) -> Sums {
    Sums {
        crashed: sums.crashed.min(1),
        ..sums
    }
}

/// Sets answers from the same failure domain beside each other, so that a bad link or place weighs on
/// both versions alike. Failures from places where the old version has nothing are set beside all of
/// it, as a link can't make an upstream fail; late answers from there say nothing.
fn cells(
    window: &Rows,
    left_out: Option<Tag>,
    stand_in: Option<[Trials; 2]>,
    domain: &impl Fn(Tag) -> Option<Tag>,
) -> [Vec<Cell>; 2] {
    let mut places: BTreeMap<Option<Tag>, Sums> = BTreeMap::new();
    let beside: BTreeMap<Tag, Sums> = window.of(Side::Baseline).collect();
    for (host, sums) in window.of(Side::Candidate) {
        if Some(host) != left_out {
            let place = domain(host).filter(|place| beside.contains_key(place));
            places.entry(place).or_default().add(clumped(sums));
        }
    }
    let whole = window.sum(Side::Baseline);
    let cell = |place: Option<Tag>, new: Sums, measure: usize| {
        let old = place.map_or(whole, |place| beside[&place]);
        let count = f64::from(new.done);
        let baseline = match stand_in {
            Some(remembered) => remembered[measure],
            None => Trials {
                bad: bad(old)[measure],
                count: f64::from(old.done),
            },
        };
        Cell {
            baseline,
            candidate: Trials {
                bad: bad(new)[measure],
                count,
            },
        }
    };
    [0, 1].map(|measure| {
        places
            .iter()
            .filter(|(place, _)| measure == 0 || place.is_some() || stand_in.is_some())
            .map(|(place, new)| cell(*place, *new, measure))
            .collect()
    })
}

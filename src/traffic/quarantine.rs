//! Quarantine of requests that crash upstreams, which would otherwise bring down one upstream after
//! the other. When an upstream crashes, the requests that ran there get a strike; the second strike
//! quarantines a request. A success clears the strikes, because a request that crashes upstreams
//! does not succeed.
//!
//! Upstreams also crash for reasons of their own, several at the same moment or one soon after the
//! other, and then whatever ran on two of them is quarantined. As it does not run any more, nothing
//! else would tell it from a request that does crash upstreams. So it runs again as a trial, alone
//! and at one upstream of all: soon, unless it has crashed an upstream that it began to run at when
//! another crash was known, and had not succeeded there before. The number of such repeated crashes,
//! among which those of trials count, is bounded. See docs/design/requests.md and
//! docs/design/quarantine.md.

use {
    super::admission::Ticket,
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// The number of strikes at which a request is refused.
pub const STRIKES_MAX: usize = 2;
/// The time from the last crash to a trial, by the number of repeated crashes. After more of them
/// none is granted. The first one is about the time in which an upstream that crashed is back.
pub const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(60)];
/// How long a strike counts after the request was last seen.
pub const STRIKE_RETENTION: Duration = Duration::from_secs(3600);
/// How long a request that was cancelled or late is assumed to run on at its upstream.
const LINGER_TIME: Duration = Duration::from_secs(10);
/// The maximum number of cancelled or late requests that are tracked. Beyond it the oldest are
/// dropped.
const LINGERING_MAX: usize = 256;
/// The maximum number of cleared strikes that are remembered per request.
const CLEARED_MAX: usize = 8;
/// The maximum number of requests that are remembered to have succeeded.
const SUCCESSES_MAX: usize = 1024;
/// The maximum number of requests with strikes that one node remembers.
pub const ENTRIES_MAX: usize = 4096;

/// The hash of a request: of its service, its method, its target and the beginning of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Creates the fingerprint of a request. `body` is the beginning of its body.
    #[must_use]
    pub fn new(service: &str, method: &str, target: &str, body: &[u8]) -> Self {
        Self::of_segments(service, method, target, [body])
    }

    /// Creates the fingerprint of a request as [`new`](Self::new) does. The beginning of the body is the segments together.
    #[must_use]
    pub fn of_segments(
        service: &str,
        method: &str,
        target: &str,
        body: impl IntoIterator<Item = impl AsRef<[u8]>>,
    ) -> Self {
        let mut hash = Xxh3::new();
        for text in [service, method, target] {
            hash.update(text.as_bytes());
            hash.update(b"\n");
        }
        for segment in body {
            hash.update(segment.as_ref());
        }
        Self(hash.digest128())
    }

    /// Returns the rank of a place for the trials of this request. The highest one among several is
    /// the place of a trial, and all nodes that know the same places agree on it.
    #[must_use]
    pub fn rank(self, place: &str) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.0.to_le_bytes());
        hash.update(place.as_bytes());
        hash.digest()
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one crash of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash(pub u64);

/// The crashes of upstreams during which a request was in flight. The strikes of two nodes for one
/// request are merged by merging both lists, in whatever order they arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The crashes that the request did not cause, because it has succeeded since.
    pub cleared: Vec<Crash>,
    /// The crashes that the request may have caused.
    pub crashes: Vec<Crash>,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Those of the crashes that are repeated: of an upstream that began to run the request when
    /// another crash was known.
    pub repeated: Vec<Crash>,
}

#[derive(Debug)]
struct Entry {
    cleared: Vec<Crash>,
    crashes: Vec<Crash>,
    /// When this node last learned of a crash.
    crashed: Moment,
    last_seen: Moment,
    repeated: Vec<Crash>,
}

impl Entry {
    fn new(now: Moment) -> Self {
        Self {
            cleared: Vec::new(),
            crashes: Vec::new(),
            crashed: now,
            last_seen: now,
            repeated: Vec::new(),
        }
    }

    /// Returns when the next trial is due, or `None` if none is granted any more.
    fn next_trial(&self) -> Option<Moment> {
        let delay = TRIAL_DELAYS.get(self.repeated.len())?;
        Some(self.crashed + *delay)
    }

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= STRIKES_MAX
    }

    /// Merges a strike. Returns whether it contains a crash that was not known.
    fn merge(&mut self, strike: Strike) -> bool {
        let has_new = |crashes: &[Crash], known: &[Crash]| {
            let mut crashes = crashes.iter();
            crashes.any(|crash| !known.contains(crash) && !self.cleared.contains(crash))
        };
        let has_crash =
            has_new(&strike.crashes, &self.crashes) || has_new(&strike.repeated, &self.repeated);
        for crash in strike.cleared {
            if !self.cleared.contains(&crash) {
                self.cleared.push(crash);
            }
        }
        let excess = self.cleared.len().saturating_sub(CLEARED_MAX);
        self.cleared.drain(..excess);
        let cleared = &self.cleared;
        let join = |known: &mut Vec<Crash>, others: Vec<Crash>, max| {
            known.extend(others);
            known.sort_unstable();
            known.dedup();
            known.retain(|crash| !cleared.contains(crash));
            known.truncate(max);
        };
        join(&mut self.crashes, strike.crashes, STRIKES_MAX);
        join(&mut self.repeated, strike.repeated, TRIAL_DELAYS.len());
        has_crash
    }
}

/// A request that ended without an answer and may still run at the upstream.
#[derive(Debug)]
struct Lingering {
    ended: Moment,
    run: Run,
}

#[derive(Debug)]
struct Running {
    blamed: bool,
    run: Run,
}

/// A run of a request at the upstream.
#[derive(Debug, Clone, Copy)]
struct Run {
    fingerprint: Fingerprint,
    /// Whether it began when a crash was known, and the request had not succeeded here before.
    is_repeat: bool,
    is_trial: bool,
}

/// The requests that have succeeded at this upstream of late. A request takes the place of another
/// one by chance, so that the memory is bounded and those that are sent often stay.
#[derive(Debug, Default)]
struct Successes(Vec<Option<Fingerprint>>);

impl Successes {
    fn place(fingerprint: Fingerprint) -> usize {
        usize::try_from(fingerprint.0 % SUCCESSES_MAX as u128).unwrap_or_default()
    }

    fn insert(&mut self, fingerprint: Fingerprint) {
        self.0.resize(SUCCESSES_MAX, None);
        self.0[Self::place(fingerprint)] = Some(fingerprint);
    }

    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.get(Self::place(fingerprint)) == Some(&Some(fingerprint))
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Allowed,
    /// It may not; the time is that until its next trial, if there is one.
    Quarantined(Option<Duration>),
    /// It may run as a trial, at the upstream that trials of it run at.
    Trial,
}

/// The requests with strikes that one node knows of, and the requests that run at its upstream.
#[derive(Debug, Default)]
pub struct Quarantine {
    disabled: bool,
    lingering: VecDeque<Lingering>,
    running: BTreeMap<Ticket, Running>,
    successes: Successes,
    /// The trial that was admitted, until it ends.
    trial: Option<Ticket>,
    entries: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Creates a quarantine that records no strikes; used by the benches for comparison.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            disabled: true,
            ..Self::default()
        }
    }

    /// Returns whether a request is quarantined. The call also renews the request's strikes, so
    /// that they last as long as the request keeps being sent.
    pub fn check(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        if now.since(entry.last_seen) > STRIKE_RETENTION {
            self.entries.remove(&fingerprint);
            return false;
        }
        entry.last_seen = now;
        entry.is_quarantined()
    }

    /// Returns whether no request has strikes, so that none has to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a request that is passed to the upstream.
    pub fn begin(&mut self, ticket: Ticket, fingerprint: Fingerprint) {
        let is_trial = self.is_trial(ticket);
        let is_known = self.is_struck(fingerprint) && !self.successes.contains(fingerprint);
        let running = Running {
            blamed: false,
            run: Run {
                fingerprint,
                is_repeat: is_trial || is_known,
                is_trial,
            },
        };
        self.running.insert(ticket, running);
    }

    /// Returns whether a request may run, and renews its strikes like [`check`](Self::check).
    /// `stagger` is added to the time before a trial, so that nodes that each take another upstream
    /// for the one of a trial do not begin one at the same time.
    pub fn judge(&mut self, now: Moment, fingerprint: Fingerprint, stagger: Duration) -> Verdict {
        if !self.check(now, fingerprint) {
            return Verdict::Allowed;
        }
        let entry = self.entries.get(&fingerprint);
        let Some(due) = entry.and_then(Entry::next_trial) else {
            return Verdict::Quarantined(None);
        };
        let left = (due + stagger).since(now);
        if left.is_zero() {
            Verdict::Trial
        } else {
            Verdict::Quarantined(Some(left))
        }
    }

    /// Admits a request as a trial. Returns `false` while another one runs at this upstream, or may
    /// still run there.
    pub fn try_begin_trial(&mut self, now: Moment, ticket: Ticket) -> bool {
        let mut lingering = self.lingering.iter();
        let lingers = lingering
            .any(|lingering| lingering.run.is_trial && now.since(lingering.ended) < LINGER_TIME);
        if self.trial.is_none() && !lingers {
            self.trial = Some(ticket);
        }
        self.is_trial(ticket)
    }

    /// Returns whether a request was admitted as a trial.
    #[must_use]
    pub fn is_trial(&self, ticket: Ticket) -> bool {
        self.trial == Some(ticket)
    }

    /// Records the end of a request. Returns the update for other nodes if it clears strikes.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, answered: bool) -> Option<Strike> {
        self.trial.take_if(|trial| *trial == ticket);
        let running = self.running.remove(&ticket)?;
        if !answered {
            if !running.blamed {
                self.add_lingering(now, running.run);
            }
            return None;
        }
        let fingerprint = running.run.fingerprint;
        self.successes.insert(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        let mut cleared = std::mem::take(&mut entry.crashes);
        cleared.append(&mut entry.repeated);
        cleared.sort_unstable();
        cleared.dedup();
        let update = Strike {
            cleared,
            crashes: Vec::new(),
            fingerprint,
            repeated: Vec::new(),
        };
        entry.merge(update.clone());
        (!update.cleared.is_empty()).then_some(update)
    }

    /// Returns whether a request that ended without an answer may still run at the upstream.
    #[must_use]
    pub fn has_lingering(&self, now: Moment) -> bool {
        let newest = self.lingering.back();
        newest.is_some_and(|lingering| now.since(lingering.ended) < LINGER_TIME)
    }

    fn add_lingering(&mut self, now: Moment, run: Run) {
        if self.lingering.len() >= LINGERING_MAX {
            self.lingering.pop_front();
        }
        self.lingering.push_back(Lingering { ended: now, run });
    }

    /// Removes a request that turned out not to have run.
    pub fn remove(&mut self, ticket: Ticket) {
        self.trial.take_if(|trial| *trial == ticket);
        self.running.remove(&ticket);
    }

    /// Returns whether a crash was already attributed to a request, or the request no longer runs.
    #[must_use]
    pub fn is_blamed(&self, ticket: Ticket) -> bool {
        let running = self.running.get(&ticket);
        running.is_none_or(|running| running.blamed)
    }

    /// Records that the upstream crashed while a request ran, and returns the resulting strikes.
    pub fn record_crash_during(
        &mut self,
        now: Moment,
        crash: Crash,
        ticket: Ticket,
    ) -> Vec<Strike> {
        if self.is_blamed(ticket) {
            return Vec::new();
        }
        self.record_crash(now, crash)
    }

    /// Records that the upstream has crashed, and returns the resulting strikes. The crash is
    /// attributed to the requests that ran there and to those that ended without an answer shortly
    /// before. If any of these was a trial, only that one gets a strike; otherwise, if any already
    /// has a strike, only those with strikes get another.
    pub fn record_crash(&mut self, now: Moment, crash: Crash) -> Vec<Strike> {
        let lingering = std::mem::take(&mut self.lingering);
        if self.disabled {
            return Vec::new();
        }
        let lingering = lingering
            .into_iter()
            .filter(|lingering| now.since(lingering.ended) < LINGER_TIME)
            .map(|lingering| lingering.run);
        let running = self.running.values_mut().filter(|running| !running.blamed);
        let running = running.map(|running| {
            running.blamed = true;
            running.run
        });
        let suspects: Vec<Run> = running.chain(lingering).collect();
        let had_trial = suspects.iter().any(|run| run.is_trial);
        let suspects = suspects
            .into_iter()
            .filter(|run| run.is_trial || !had_trial);
        // Whether the runs of each request are all repeated.
        let mut blamed: BTreeMap<Fingerprint, bool> = BTreeMap::new();
        for run in suspects {
            *blamed.entry(run.fingerprint).or_insert(true) &= run.is_repeat;
        }
        if blamed
            .keys()
            .any(|fingerprint| self.is_struck(*fingerprint))
        {
            blamed.retain(|fingerprint, _| self.is_struck(*fingerprint));
        }
        for (fingerprint, is_repeated) in &blamed {
            let strike = Strike {
                cleared: Vec::new(),
                crashes: vec![crash],
                fingerprint: *fingerprint,
                repeated: is_repeated.then_some(crash).into_iter().collect(),
            };
            self.merge(now, strike);
        }
        blamed
            .into_keys()
            .filter_map(|fingerprint| self.strike(fingerprint))
            .collect()
    }

    fn is_struck(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| !entry.crashes.is_empty())
    }

    /// Returns the strikes of a request, or `None` if the request is not known.
    #[must_use]
    pub fn strike(&self, fingerprint: Fingerprint) -> Option<Strike> {
        let entry = self.entries.get(&fingerprint)?;
        Some(Strike {
            cleared: entry.cleared.clone(),
            crashes: entry.crashes.clone(),
            fingerprint,
            repeated: entry.repeated.clone(),
        })
    }

    /// Merges the strikes that another node sent for a request. Returns whether anything was new.
    pub fn merge(&mut self, now: Moment, strike: Strike) -> bool {
        if self.disabled {
            return false;
        }
        let known = self.entries.contains_key(&strike.fingerprint);
        if !known && self.entries.len() >= ENTRIES_MAX {
            self.evict_one();
        }
        let entry = self
            .entries
            .entry(strike.fingerprint)
            .or_insert_with(|| Entry::new(now));
        entry.last_seen = now;
        let count = |entry: &Entry| {
            let crashes = entry.crashes.len() + entry.repeated.len();
            (crashes + entry.cleared.len(), entry.cleared.len())
        };
        let before = count(entry);
        if entry.merge(strike) {
            entry.crashed = now;
        }
        before != count(entry)
    }

    /// Removes the request with the fewest strikes, and among those the one seen least recently.
    fn evict_one(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.crashes.len(), entry.last_seen))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }

    /// Returns all strikes, ordered by fingerprint, to be sent to a node that has just started.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        let mut strikes: Vec<Strike> = self
            .entries
            .keys()
            .filter_map(|fingerprint| self.strike(*fingerprint))
            .collect();
        strikes.sort_unstable_by_key(|strike| strike.fingerprint);
        strikes
    }
}

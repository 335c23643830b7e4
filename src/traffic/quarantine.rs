//! Quarantine of requests that crash upstreams, which would otherwise bring down one upstream after
//! the other. When an upstream crashes, the requests that ran there get a strike; the second strike
//! quarantines a request. A success clears the strikes, because a request that crashes upstreams
//! does not succeed. See docs/design/requests.md.

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
/// How long a strike counts after the request was last seen.
pub const STRIKE_RETENTION: Duration = Duration::from_secs(3600);
/// How long a request that was cancelled or late is assumed to run on at its upstream.
const LINGER_TIME: Duration = Duration::from_secs(10);
/// The maximum number of cancelled or late requests that are tracked. Beyond it the oldest are
/// dropped.
const LINGERING_MAX: usize = 256;
/// The maximum number of cleared strikes that are remembered per request.
const CLEARED_MAX: usize = 8;
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
}

#[derive(Debug)]
struct Entry {
    cleared: Vec<Crash>,
    crashes: Vec<Crash>,
    last_seen: Moment,
}

impl Entry {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= STRIKES_MAX
    }

    fn merge(&mut self, strike: Strike) {
        for crash in strike.cleared {
            if !self.cleared.contains(&crash) {
                self.cleared.push(crash);
            }
        }
        let excess = self.cleared.len().saturating_sub(CLEARED_MAX);
        self.cleared.drain(..excess);
        self.crashes.extend(strike.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
        self.crashes.retain(|crash| !self.cleared.contains(crash));
        self.crashes.truncate(STRIKES_MAX);
    }
}

/// A request that ended without an answer and may still run at the upstream.
#[derive(Debug)]
struct Lingering {
    ended: Moment,
    fingerprint: Fingerprint,
}

#[derive(Debug)]
struct Running {
    blamed: bool,
    fingerprint: Fingerprint,
}

/// The requests with strikes that one node knows of, and the requests that run at its upstream.
#[derive(Debug, Default)]
pub struct Quarantine {
    disabled: bool,
    lingering: VecDeque<Lingering>,
    running: BTreeMap<Ticket, Running>,
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

    /// Records a request that is passed to the upstream.
    pub fn begin(&mut self, ticket: Ticket, fingerprint: Fingerprint) {
        let running = Running {
            blamed: false,
            fingerprint,
        };
        self.running.insert(ticket, running);
    }

    /// Records the end of a request. Returns the update for other nodes if it clears strikes.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, answered: bool) -> Option<Strike> {
        let running = self.running.remove(&ticket)?;
        if !answered {
            if !running.blamed {
                self.add_lingering(now, running.fingerprint);
            }
            return None;
        }
        let entry = self.entries.get_mut(&running.fingerprint)?;
        let update = Strike {
            cleared: std::mem::take(&mut entry.crashes),
            crashes: Vec::new(),
            fingerprint: running.fingerprint,
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

    fn add_lingering(&mut self, now: Moment, fingerprint: Fingerprint) {
        if self.lingering.len() >= LINGERING_MAX {
            self.lingering.pop_front();
        }
        self.lingering.push_back(Lingering {
            ended: now,
            fingerprint,
        });
    }

    /// Removes a request that turned out not to have run.
    pub fn remove(&mut self, ticket: Ticket) {
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
    /// before. If any of these already has a strike, only those with strikes get another.
    pub fn record_crash(&mut self, now: Moment, crash: Crash) -> Vec<Strike> {
        let lingering = std::mem::take(&mut self.lingering);
        if self.disabled {
            return Vec::new();
        }
        let lingering = lingering
            .into_iter()
            .filter(|lingering| now.since(lingering.ended) < LINGER_TIME)
            .map(|lingering| lingering.fingerprint);
        let running = self.running.values_mut().filter(|running| !running.blamed);
        let running = running.map(|running| {
            running.blamed = true;
            running.fingerprint
        });
        let mut blamed: Vec<Fingerprint> = running.chain(lingering).collect();
        blamed.sort_unstable();
        blamed.dedup();
        if blamed
            .iter()
            .any(|fingerprint| self.is_struck(*fingerprint))
        {
            blamed.retain(|fingerprint| self.is_struck(*fingerprint));
        }
        for fingerprint in &blamed {
            let strike = Strike {
                cleared: Vec::new(),
                crashes: vec![crash],
                fingerprint: *fingerprint,
            };
            self.merge(now, strike);
        }
        blamed
            .into_iter()
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
        let entry = self.entries.entry(strike.fingerprint).or_insert(Entry {
            cleared: Vec::new(),
            crashes: Vec::new(),
            last_seen: now,
        });
        entry.last_seen = now;
        let count = |entry: &Entry| entry.cleared.len() + entry.crashes.len();
        let before = (count(entry), entry.cleared.len());
        entry.merge(strike);
        before != (count(entry), entry.cleared.len())
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

//! Requests that crash upstreams. When an upstream dies, the requests that ran there are struck; the
//! second strike quarantines one. A success clears a strike, because a request that crashes upstreams
//! does not succeed. See docs/design/requests.md.

use {
    super::admit::Ticket,
    crate::world::Moment,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// The strikes after which a request is refused.
pub const STRIKES_MAX: usize = 2;
/// How long a strike counts since the request was last seen.
pub const REMEMBERED: Duration = Duration::from_secs(3600);
/// How long a request that was cancelled or late may still run at its upstream.
const LINGERS: Duration = Duration::from_secs(10);
const LINGERING_MAX: usize = 256;
/// The most cleared strikes that are remembered of one request.
const CLEARED_MAX: usize = 8;
/// The most struck requests that one node remembers.
pub const STRUCK_MAX: usize = 4096;

/// Identifies what a request asks for: its method, its target and the beginning of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Makes the fingerprint of a request.
    #[must_use]
    pub fn new(service: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for text in [service, method, target] {
            hash.update(text.as_bytes());
            hash.update(b"\n");
        }
        hash.update(body);
        Self(hash.digest128())
    }
}

/// One death of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash(pub u64);

/// The deaths of upstreams at which a request was in flight. Two nodes' knowledge of one request is
/// joined by joining both lists, in whatever order it arrives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The deaths that the request is not to blame for, because it has succeeded since.
    pub cleared: Vec<Crash>,
    /// The other deaths.
    pub crashes: Vec<Crash>,
    /// The request.
    pub fingerprint: Fingerprint,
}

#[derive(Debug)]
struct Struck {
    cleared: Vec<Crash>,
    crashes: Vec<Crash>,
    seen: Moment,
}

impl Struck {
    fn quarantined(&self) -> bool {
        self.crashes.len() >= STRIKES_MAX
    }

    fn join(&mut self, strike: Strike) {
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

/// A request that ended without an answer, and may still run at the upstream.
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

/// The struck requests that one node knows of, and those that run at its upstream.
#[derive(Debug, Default)]
pub struct Quarantine {
    disabled: bool,
    lingering: VecDeque<Lingering>,
    running: BTreeMap<Ticket, Running>,
    struck: HashMap<Fingerprint, Struck>,
}

impl Quarantine {
    /// Makes one that strikes nothing, which the benches compare with.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            disabled: true,
            ..Self::default()
        }
    }

    /// Says whether a request is refused; a refusal renews its strikes.
    pub fn holds(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let Some(struck) = self.struck.get_mut(&fingerprint) else {
            return false;
        };
        if now.since(struck.seen) > REMEMBERED {
            self.struck.remove(&fingerprint);
            return false;
        }
        struck.seen = now;
        struck.quarantined()
    }

    /// Counts a request that is handed over to the upstream.
    pub fn begin(&mut self, ticket: Ticket, fingerprint: Fingerprint) {
        let running = Running {
            blamed: false,
            fingerprint,
        };
        self.running.insert(ticket, running);
    }

    /// Ends a request; gives what other nodes have to know if that clears a strike.
    pub fn end(&mut self, now: Moment, ticket: Ticket, answered: bool) -> Option<Strike> {
        let running = self.running.remove(&ticket)?;
        if !answered {
            if !running.blamed {
                self.linger(now, running.fingerprint);
            }
            return None;
        }
        let struck = self.struck.get_mut(&running.fingerprint)?;
        let clearing = Strike {
            cleared: std::mem::take(&mut struck.crashes),
            crashes: Vec::new(),
            fingerprint: running.fingerprint,
        };
        struck.join(clearing.clone());
        (!clearing.cleared.is_empty()).then_some(clearing)
    }

    /// Tells whether a request that ended without an answer may still run at the upstream.
    #[must_use]
    pub fn lingers(&self, now: Moment) -> bool {
        let newest = self.lingering.back();
        newest.is_some_and(|lingering| now.since(lingering.ended) < LINGERS)
    }

    fn linger(&mut self, now: Moment, fingerprint: Fingerprint) {
        if self.lingering.len() >= LINGERING_MAX {
            self.lingering.pop_front();
        }
        self.lingering.push_back(Lingering {
            ended: now,
            fingerprint,
        });
    }

    /// Takes out a request that has not run after all.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
    }

    /// Tells whether a death of the upstream was put down to a request, or the request runs no more.
    #[must_use]
    pub fn is_blamed(&self, ticket: Ticket) -> bool {
        let running = self.running.get(&ticket);
        running.is_none_or(|running| running.blamed)
    }

    /// Takes in that the upstream died while a request ran, and gives the strikes that follow.
    pub fn crash(&mut self, now: Moment, crash: Crash, ticket: Ticket) -> Vec<Strike> {
        if self.is_blamed(ticket) {
            return Vec::new();
        }
        self.gone(now, crash)
    }

    /// Takes in that the upstream has died, and gives the strikes that follow. What ran there is
    /// blamed, and what had ended without an answer shortly before. Where one of these requests was
    /// struck before, only such requests are blamed.
    pub fn gone(&mut self, now: Moment, crash: Crash) -> Vec<Strike> {
        let lingering = std::mem::take(&mut self.lingering);
        if self.disabled {
            return Vec::new();
        }
        let lingering = lingering
            .into_iter()
            .filter(|lingering| now.since(lingering.ended) < LINGERS)
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
            self.learn(now, strike);
        }
        blamed
            .into_iter()
            .filter_map(|fingerprint| self.strike(fingerprint))
            .collect()
    }

    fn is_struck(&self, fingerprint: Fingerprint) -> bool {
        let struck = self.struck.get(&fingerprint);
        struck.is_some_and(|struck| !struck.crashes.is_empty())
    }

    /// Gives what is known of a request.
    #[must_use]
    pub fn strike(&self, fingerprint: Fingerprint) -> Option<Strike> {
        let struck = self.struck.get(&fingerprint)?;
        Some(Strike {
            cleared: struck.cleared.clone(),
            crashes: struck.crashes.clone(),
            fingerprint,
        })
    }

    /// Takes in what another node knows of a request, and tells whether any of it is news.
    pub fn learn(&mut self, now: Moment, strike: Strike) -> bool {
        if self.disabled {
            return false;
        }
        let known = self.struck.contains_key(&strike.fingerprint);
        if !known && self.struck.len() >= STRUCK_MAX {
            self.make_room();
        }
        let struck = self.struck.entry(strike.fingerprint).or_insert(Struck {
            cleared: Vec::new(),
            crashes: Vec::new(),
            seen: now,
        });
        struck.seen = now;
        let known = |struck: &Struck| struck.cleared.len() + struck.crashes.len();
        let before = (known(struck), struck.cleared.len());
        struck.join(strike);
        before != (known(struck), struck.cleared.len())
    }

    fn make_room(&mut self) {
        let oldest = self
            .struck
            .iter()
            .min_by_key(|(_, struck)| (struck.crashes.len(), struck.seen))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.struck.remove(&oldest);
        }
    }

    /// Lists what this node knows, for a node that has just started.
    #[must_use]
    pub fn strikes(&self) -> Vec<Strike> {
        let mut strikes: Vec<Strike> = self
            .struck
            .keys()
            .filter_map(|fingerprint| self.strike(*fingerprint))
            .collect();
        strikes.sort_unstable_by_key(|strike| strike.fingerprint);
        strikes
    }
}

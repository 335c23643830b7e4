//! Fair shares of an upstream's slots between client accounts.
//!
//! Designed for an account that sends several times its usual load, within its limit, while others send little. In the
//! order of arrival, a request of a quiet account would wait behind all those of the busy one, and be refused once these
//! fill the queue. Within a priority, requests of accounts that have recently used less than an equal share of the slots
//! go first. The others are served by deficit round robin, by expected run time and not by count, so that an account gains
//! nothing from many short or few long requests. Requests without an account count together as one account; if there are
//! no others, the order is that of arrival.

use {
    crate::types::{AccountName, Moment},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet},
        ops::Bound,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Time constant with which the run times of started requests are averaged into the share that an account uses, and time
/// for which an account without further requests counts among those that share the slots. Several runs, but less than a
/// burst lasts.
const USAGE_PERIOD: Duration = Duration::from_secs(1);
/// Tolerance in the comparison of run times, in seconds: the resolution in which they are given.
const ROUNDING_S: f64 = 1e-9;

/// Identifier of a client account, from a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(u64);

impl From<&AccountName> for AccountId {
    fn from(name: &AccountName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// Account and priority of a request: an upstream that is full for one account may have room for another.
pub type Requester = (Option<AccountId>, u32);

/// Account whose requests share the slots with others; `None` for all requests without one.
type Party = Option<AccountId>;

/// A request that waits for a slot, or that has arrived and may have to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Account of its caller.
    pub account: Option<AccountId>,
    /// Time of its arrival.
    pub arrived: Moment,
    /// Whether it can no longer meet its target.
    pub is_late: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether its caller was refused before and has returned as asked.
    pub returned: bool,
    /// Its expected run time.
    pub run_time: Duration,
}

impl Waiter {
    /// Returns the sort key within an account and a priority; the lowest goes first. Requests without an account keep the
    /// order that they have in a document without accounts.
    fn rank(&self) -> (bool, bool) {
        (self.account.is_some() && !self.returned, self.is_late)
    }
}

/// Run time of the requests of one account and priority that were started lately, in seconds, with exponential decay.
#[derive(Debug, Clone, Copy)]
struct Usage {
    run_time_s: f64,
    started_at: Moment,
}

impl Usage {
    fn run_time_s(&self, now: Moment) -> f64 {
        let age = now.since(self.started_at).as_secs_f64();
        self.run_time_s * (-age / USAGE_PERIOD.as_secs_f64()).exp()
    }

    fn is_recent(&self, now: Moment) -> bool {
        now.since(self.started_at) <= USAGE_PERIOD
    }
}

/// State of the deficit round robin within one priority.
#[derive(Debug, Default)]
struct Round {
    /// Run time that each account may still use, in seconds.
    credits_s: BTreeMap<Party, f64>,
    /// Account whose turn it is. It has received its credit for this turn.
    turn: Option<Party>,
}

/// What is expected to start before a request that has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ahead {
    /// Share of the slots that will be used by requests which arrive later and have the same priority: those of accounts
    /// under their share, if the account of the request is over its share.
    pub share: f64,
    /// Run time of the waiting requests that start earlier.
    pub work: Duration,
}

/// Use of an upstream's slots by the accounts, and the state of the round robin between them.
#[derive(Debug, Default)]
pub struct FairShares {
    rounds: BTreeMap<u32, Round>,
    usage: BTreeMap<(Party, u32), Usage>,
}

impl FairShares {
    /// Records that a request starts.
    pub fn record_start(&mut self, now: Moment, request: &Waiter) {
        self.usage.retain(|_, usage| usage.is_recent(now));
        let key = (request.account, request.priority);
        let before = self.usage.get(&key);
        let before_s = before.map_or(0.0, |usage| usage.run_time_s(now));
        let usage = Usage {
            run_time_s: before_s + request.run_time.as_secs_f64(),
            started_at: now,
        };
        self.usage.insert(key, usage);
    }

    /// Returns the index of the waiting request to start next, and charges its account for it.
    pub fn next(&mut self, now: Moment, slots: u32, waiting: &[Waiter]) -> Option<usize> {
        let priority = waiting.iter().map(|waiter| waiter.priority).min()?;
        // The first request of each account.
        let mut heads: BTreeMap<Party, (usize, &Waiter)> = BTreeMap::new();
        let candidates = waiting.iter().enumerate();
        for (index, waiter) in candidates.filter(|(_, waiter)| waiter.priority == priority) {
            let head = heads.entry(waiter.account).or_insert((index, waiter));
            if (waiter.rank(), waiter.arrived) < (head.1.rank(), head.1.arrived) {
                *head = (index, waiter);
            }
        }
        if heads.len() == 1 {
            return heads.first_key_value().map(|(_, (index, _))| *index);
        }
        self.rounds
            .retain(|other, _| waiting.iter().any(|waiter| waiter.priority == *other));
        let round = self.rounds.entry(priority).or_default();
        round.credits_s.retain(|party, _| heads.contains_key(party));
        let over = self.over_share(now, slots, waiting.iter());
        if heads.keys().any(|party| !over.contains(party)) {
            heads.retain(|party, _| !over.contains(party));
        }
        self.rounds.entry(priority).or_default().choose(&heads)
    }

    /// Returns what is expected to start before an arriving request.
    #[must_use]
    pub fn ahead(&self, now: Moment, slots: u32, waiting: &[Waiter], arriving: &Waiter) -> Ahead {
        let mut urgent = Duration::ZERO;
        let mut own = Duration::ZERO;
        let mut others: BTreeMap<Party, Duration> = BTreeMap::new();
        for waiter in waiting {
            let is_own = waiter.account == arriving.account;
            match waiter.priority.cmp(&arriving.priority) {
                Ordering::Less => urgent += waiter.run_time,
                Ordering::Equal if !is_own => {
                    *others.entry(waiter.account).or_default() += waiter.run_time;
                }
                Ordering::Equal if waiter.rank() <= arriving.rank() => own += waiter.run_time,
                Ordering::Equal | Ordering::Greater => {}
            }
        }
        let is_alone = |((party, _), _): (&(Party, u32), &Usage)| *party == arriving.account;
        if others.is_empty() && self.usage.iter().all(is_alone) {
            return Ahead {
                share: 0.0,
                work: urgent + own,
            };
        }
        let over = self.over_share(now, slots, waiting.iter().chain([arriving]));
        let is_over = over.contains(&arriving.account);
        // The round robin gives each other account as much run time as this one.
        let equal = own + arriving.run_time;
        let others =
            others
                .into_iter()
                .map(|(party, work)| match (over.contains(&party), is_over) {
                    (true, false) => Duration::ZERO,
                    (false, true) => work,
                    (true, true) | (false, false) => work.min(equal),
                });
        let overtaking_s: f64 = self
            .usage
            .iter()
            .filter(|((party, priority), _)| {
                is_over && *priority == arriving.priority && !over.contains(party)
            })
            .map(|(_, usage)| usage.run_time_s(now))
            .sum();
        Ahead {
            share: overtaking_s / capacity_s(slots),
            work: urgent + own + others.sum::<Duration>(),
        }
    }

    /// Returns the index of a waiting request that gives up its place in a full queue to an arriving one: the last one of
    /// the same priority of an account over its share, if the arriving one's account is under its share.
    #[must_use]
    pub fn displaced(
        &self,
        now: Moment,
        slots: u32,
        waiting: &[Waiter],
        arriving: &Waiter,
    ) -> Option<usize> {
        let over = self.over_share(now, slots, waiting.iter().chain([arriving]));
        if over.contains(&arriving.account) {
            return None;
        }
        let candidates = waiting.iter().enumerate().filter(|(_, waiter)| {
            waiter.priority == arriving.priority && over.contains(&waiter.account)
        });
        candidates
            .max_by_key(|(_, waiter)| (waiter.rank(), waiter.arrived))
            .map(|(index, _)| index)
    }

    /// Returns the accounts that have recently used at least an equal share of the slots. The accounts that have started a
    /// request lately and those that wait share the slots.
    fn over_share<'a>(
        &self,
        now: Moment,
        slots: u32,
        waiting: impl Iterator<Item = &'a Waiter>,
    ) -> BTreeSet<Party> {
        let mut used_s: BTreeMap<Party, f64> = BTreeMap::new();
        for ((party, _), usage) in &self.usage {
            if usage.is_recent(now) {
                *used_s.entry(*party).or_default() += usage.run_time_s(now);
            }
        }
        for waiter in waiting {
            used_s.entry(waiter.account).or_default();
        }
        let count = u32::try_from(used_s.len()).unwrap_or(u32::MAX);
        let equal_s = capacity_s(slots) / f64::from(count.max(1));
        let over = used_s.into_iter().filter(|(_, used)| *used >= equal_s);
        over.map(|(party, _)| party).collect()
    }
}

impl Round {
    /// Returns the index of the request to start among the first ones of the accounts, and charges its account.
    fn choose(&mut self, heads: &BTreeMap<Party, (usize, &Waiter)>) -> Option<usize> {
        let total: Duration = heads.values().map(|(_, waiter)| waiter.run_time).sum();
        let count = u32::try_from(heads.len()).unwrap_or(u32::MAX);
        // A turn is worth a request of average run time; longer ones take several turns.
        let quantum_s = (total / count.max(1)).as_secs_f64();
        loop {
            let current = self.turn.and_then(|party| heads.get_key_value(&party));
            if let Some((party, (index, waiter))) = current {
                let credit_s = self.credits_s.entry(*party).or_default();
                let cost_s = waiter.run_time.as_secs_f64();
                // Rounding of the quantum must not cost another turn.
                if *credit_s + ROUNDING_S >= cost_s {
                    *credit_s = (*credit_s - cost_s).max(0.0);
                    return Some(*index);
                }
            }
            let following = self.turn.and_then(|party| {
                heads
                    .range((Bound::Excluded(party), Bound::Unbounded))
                    .next()
            });
            let (party, _) = following.or_else(|| heads.first_key_value())?;
            *self.credits_s.entry(*party).or_default() += quantum_s;
            self.turn = Some(*party);
        }
    }
}

/// Returns the run time that all slots together offer in [`USAGE_PERIOD`], in seconds.
fn capacity_s(slots: u32) -> f64 {
    f64::from(slots.max(1)) * USAGE_PERIOD.as_secs_f64()
}

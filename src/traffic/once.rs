//! The memory of the owner of idempotency keys: a key runs once, a second sending joins it while it
//! runs, and gets the same answer afterwards. What can't be known is said to be unknown.
//! See docs/design/requests.md.

use {
    super::admit::Ticket,
    crate::{
        refusal::Reason,
        wire::{Failure, Header},
        world::{Moment, Service},
    },
    bytes::Bytes,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_128,
};

/// How long a key is remembered after its request has ended.
pub const REMEMBERED: Duration = Duration::from_secs(600);
/// The most keys that one node remembers.
pub const KEYS_MAX: usize = 16_384;
/// The longest body of an answer that is remembered, in bytes.
pub const BODY_MAX: usize = 16 * 1024;
/// The bytes of all answers that one node remembers; the oldest are forgotten beyond it.
pub const BODIES_MAX: usize = 4 * 1024 * 1024;
/// How far callers' clocks may be off.
pub const SKEW: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The body.
    pub body: Bytes,
    /// The headers.
    pub headers: Vec<Header>,
    /// The status.
    pub status: u16,
}

impl Answer {
    fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// Identifies a key within the mesh, by a hash of the service and the caller's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u128);

impl Key {
    /// Names the key of a service.
    #[must_use]
    pub fn new(service: &Service, text: &str) -> Self {
        Self(xxh3_128(format!("{service}\n{text}").as_bytes()))
    }
}

/// What the caller said of a request with a key.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// When the request was first sent, if its caller says so.
    pub first_sent: Option<Moment>,
    /// The hash of what is asked for, which must not change.
    pub fingerprint: u128,
    /// The key.
    pub key: Key,
    /// Since when this node has been the only owner of the key; nothing if it isn't.
    pub since: Option<Moment>,
    /// Who waits for the answer.
    pub ticket: Ticket,
}

/// What becomes of a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It has run, and this was the answer.
    Answer(Arc<Answer>),
    /// It ends without an answer.
    Fail(Failure),
    /// It runs already; the answer comes later.
    Join,
    /// It runs now.
    Run,
}

#[derive(Debug)]
enum State {
    Answered(Arc<Answer>),
    /// It ran, and its answer is no longer kept.
    Ran,
    Running(Vec<Ticket>),
    Unknown(Reason),
}

#[derive(Debug)]
struct Entry {
    fingerprint: u128,
    state: State,
}

/// The remembered keys of one node.
#[derive(Debug, Default)]
pub struct Once {
    answered: VecDeque<Key>,
    bytes: usize,
    ended: VecDeque<(Moment, Key)>,
    entries: HashMap<Key, Entry>,
}

impl Once {
    /// Says what becomes of a request.
    pub fn begin(&mut self, now: Moment, claim: Claim) -> Verdict {
        self.expire(now);
        match self.entries.get_mut(&claim.key) {
            Some(entry) if entry.fingerprint != claim.fingerprint => {
                Verdict::Fail(Failure::NotRun(Reason::KeyReused))
            }
            Some(entry) => match &mut entry.state {
                State::Answered(answer) => Verdict::Answer(answer.clone()),
                State::Ran => Verdict::Fail(Failure::Unknown(Reason::AlreadyRan)),
                State::Running(waiting) => {
                    waiting.push(claim.ticket);
                    Verdict::Join
                }
                State::Unknown(reason) => Verdict::Fail(Failure::Unknown(*reason)),
            },
            None => self.fresh(now, claim),
        }
    }

    fn fresh(&mut self, now: Moment, claim: Claim) -> Verdict {
        let Some(since) = claim.since else {
            return Verdict::Fail(Failure::NotRun(Reason::NotOwner));
        };
        // A time ahead of every clock says nothing.
        let first_sent = claim.first_sent.filter(|sent| *sent <= now + SKEW);
        let known = match first_sent {
            Some(sent) => sent > since + SKEW,
            None => now.since(since) > REMEMBERED,
        };
        if !known {
            return Verdict::Fail(Failure::Unknown(Reason::OwnerChanged));
        }
        if first_sent.is_some_and(|sent| now.since(sent) > REMEMBERED) {
            return Verdict::Fail(Failure::Unknown(Reason::KeyExpired));
        }
        if self.entries.len() >= KEYS_MAX {
            return Verdict::Fail(Failure::NotRun(Reason::KeysFull));
        }
        let entry = Entry {
            fingerprint: claim.fingerprint,
            state: State::Running(Vec::new()),
        };
        self.entries.insert(claim.key, entry);
        Verdict::Run
    }

    /// Ends a run, and gives those who joined it. The answer is nothing if it was too long to keep.
    pub fn end(
        &mut self,
        now: Moment,
        key: Key,
        ending: Result<Option<Arc<Answer>>, Failure>,
    ) -> Vec<Ticket> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Vec::new();
        };
        let state = match ending {
            Ok(Some(answer)) => State::Answered(answer),
            Ok(None) => State::Ran,
            Err(Failure::Unknown(reason)) => State::Unknown(reason),
            Err(Failure::NotRun(_)) => {
                // It may be sent again, and then runs for the first time.
                return self.forget(key);
            }
        };
        if let State::Answered(answer) = &state {
            self.bytes += answer.bytes();
            self.answered.push_back(key);
        }
        let State::Running(waiting) = std::mem::replace(&mut entry.state, state) else {
            return Vec::new();
        };
        self.ended.push_back((now, key));
        self.shrink();
        waiting
    }

    /// Gives how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget(&mut self, key: Key) -> Vec<Ticket> {
        match self.entries.remove(&key).map(|entry| entry.state) {
            Some(State::Running(waiting)) => waiting,
            Some(State::Answered(answer)) => {
                self.bytes -= answer.bytes();
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some((at, key)) = self.ended.front().copied() {
            if now.since(at) <= REMEMBERED {
                return;
            }
            self.ended.pop_front();
            if self.answered.front() == Some(&key) {
                self.answered.pop_front();
            }
            self.forget(key);
        }
    }

    /// Forgets the oldest answers, though not that their requests ran.
    fn shrink(&mut self) {
        while self.bytes > BODIES_MAX {
            let Some(key) = self.answered.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key)
                && let State::Answered(answer) = &entry.state
            {
                self.bytes -= answer.bytes();
                entry.state = State::Ran;
            }
        }
    }
}

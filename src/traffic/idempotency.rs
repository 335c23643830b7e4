//! Deduplication of requests with an idempotency key, at the node that owns the key. A request runs
//! once per key. A duplicate that arrives while it runs waits for the same answer, and a later one
//! gets the stored answer. If the node cannot tell whether the request has run, the outcome is
//! reported as unknown. See docs/design/requests.md.

use {
    super::admission::Ticket,
    crate::{
        refusal::Reason,
        types::{Moment, Service},
        wire::{Failure, Header},
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
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// The maximum number of keys that one node remembers.
pub const KEYS_MAX: usize = 16_384;
/// The length of the longest answer body that is remembered, in bytes.
pub const BODY_BYTES_MAX: usize = 16 * 1024;
/// The maximum size of all answers that one node remembers, in bytes. Beyond it the oldest are
/// dropped.
pub const ANSWERS_BYTES_MAX: usize = 4 * 1024 * 1024;
/// The clock skew between hosts that is allowed for when times sent by callers are compared.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(2);

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The whole body.
    pub body: Bytes,
    /// The response headers.
    pub headers: Vec<Header>,
    /// The HTTP status code.
    pub status: u16,
}

impl Answer {
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// An idempotency key within the mesh: a hash of the service and the text that the caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u128);

impl Key {
    /// Creates the key of a service from the text that the caller sent.
    #[must_use]
    pub fn new(service: &Service, text: &str) -> Self {
        Self(xxh3_128(format!("{service}\n{text}").as_bytes()))
    }
}

/// A request with an idempotency key, as it arrives at the owner of the key.
#[derive(Debug, Clone, Copy)]
pub struct KeyedRequest {
    /// The time at which the request was first sent, if the caller states it.
    pub first_sent: Option<Moment>,
    /// The hash of the request, which must be the same each time the key is used.
    pub fingerprint: u128,
    /// The idempotency key.
    pub key: Key,
    /// The time since which this node has been the only owner of the key, or `None` if it is not
    /// the owner.
    pub owner_since: Option<Moment>,
    /// The request that waits for the answer.
    pub ticket: Ticket,
}

/// What the node does with a request that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Return this answer from the earlier run.
    Answer(Arc<Answer>),
    /// End the request with a failure.
    Fail(Failure),
    /// Wait for the answer of the request that is already running.
    Join,
    /// Run the request now.
    Run,
}

#[derive(Debug)]
enum State {
    Answered(Arc<Answer>),
    /// The request ran, and its answer is not stored.
    Ran,
    Running(Vec<Ticket>),
    Unknown(Reason),
}

#[derive(Debug)]
struct Entry {
    fingerprint: u128,
    state: State,
}

/// The idempotency keys that one node remembers.
#[derive(Debug, Default)]
pub struct KeyStore {
    answered: VecDeque<Key>,
    answer_bytes: usize,
    ended: VecDeque<(Moment, Key)>,
    entries: HashMap<Key, Entry>,
}

impl KeyStore {
    /// Decides whether a request runs, waits, fails or gets the stored answer.
    pub fn begin(&mut self, now: Moment, request: KeyedRequest) -> Action {
        self.expire(now);
        match self.entries.get_mut(&request.key) {
            Some(entry) if entry.fingerprint != request.fingerprint => {
                Action::Fail(Failure::NotRun(Reason::KeyReused))
            }
            Some(entry) => match &mut entry.state {
                State::Answered(answer) => Action::Answer(answer.clone()),
                State::Ran => Action::Fail(Failure::Unknown(Reason::AlreadyRan)),
                State::Running(waiting) => {
                    waiting.push(request.ticket);
                    Action::Join
                }
                State::Unknown(reason) => Action::Fail(Failure::Unknown(*reason)),
            },
            None => self.begin_new(now, request),
        }
    }

    fn begin_new(&mut self, now: Moment, request: KeyedRequest) -> Action {
        let Some(owner_since) = request.owner_since else {
            return Action::Fail(Failure::NotRun(Reason::NotOwner));
        };
        // A time further ahead than any clock may be is wrong, so it is ignored.
        let first_sent = request
            .first_sent
            .filter(|sent| *sent <= now + CLOCK_SKEW_MAX);
        let sole_owner = match first_sent {
            Some(sent) => sent > owner_since + CLOCK_SKEW_MAX,
            None => now.since(owner_since) > KEY_RETENTION,
        };
        if !sole_owner {
            return Action::Fail(Failure::Unknown(Reason::OwnerChanged));
        }
        if first_sent.is_some_and(|sent| now.since(sent) > KEY_RETENTION) {
            return Action::Fail(Failure::Unknown(Reason::KeyExpired));
        }
        if self.entries.len() >= KEYS_MAX {
            return Action::Fail(Failure::NotRun(Reason::KeysFull));
        }
        let entry = Entry {
            fingerprint: request.fingerprint,
            state: State::Running(Vec::new()),
        };
        self.entries.insert(request.key, entry);
        Action::Run
    }

    /// Records how a run ended and returns the requests that waited for it. The answer is `None` if
    /// it was too long to store.
    pub fn finish(
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
                // The request has not run, so it may run when it is sent again.
                return self.remove_entry(key);
            }
        };
        if let State::Answered(answer) = &state {
            self.answer_bytes += answer.size();
            self.answered.push_back(key);
        }
        let State::Running(waiting) = std::mem::replace(&mut entry.state, state) else {
            return Vec::new();
        };
        self.ended.push_back((now, key));
        self.drop_oldest_answers();
        waiting
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_entry(&mut self, key: Key) -> Vec<Ticket> {
        match self.entries.remove(&key).map(|entry| entry.state) {
            Some(State::Running(waiting)) => waiting,
            Some(State::Answered(answer)) => {
                self.answer_bytes -= answer.size();
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some((at, key)) = self.ended.front().copied() {
            if now.since(at) <= KEY_RETENTION {
                return;
            }
            self.ended.pop_front();
            if self.answered.front() == Some(&key) {
                self.answered.pop_front();
            }
            self.remove_entry(key);
        }
    }

    /// Drops the oldest answers beyond the size limit, but still remembers that their requests ran.
    fn drop_oldest_answers(&mut self) {
        while self.answer_bytes > ANSWERS_BYTES_MAX {
            let Some(key) = self.answered.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key)
                && let State::Answered(answer) = &entry.state
            {
                self.answer_bytes -= answer.size();
                entry.state = State::Ran;
            }
        }
    }
}

//! Bounds the memory for the answers that a node holds at a time.
//!
//! Load pattern: many callers request long answers, or many short ones at once, and read them slowly or not at all. The
//! node would hold all of them until the system ends it. An answer takes its share of the budget before it is read from
//! the upstream or from another node, and returns it once it is written or discarded.

use {
    bytes::Bytes,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Size of the budget in bytes if the memory of the host is not known.
pub const DEFAULT_BYTES: u64 = 32 * 1024 * 1024;

/// Divisor of the host's memory for the default size of the budget. The rest is for the bodies of requests, for the copies
/// that are made while an answer passes from one connection to another, and for the process itself.
pub const MEMORY_DIVISOR: u64 = 5;

/// Memory in bytes that an answer takes in addition to its body: its fields, and its place in the tables of the node.
pub const OVERHEAD_BYTES: u64 = 1024;

#[derive(Debug)]
struct State {
    capacity_bytes: u64,
    held_bytes: AtomicU64,
}

/// Memory for the answers that a node holds.
#[derive(Debug, Clone)]
pub struct AnswerBudget(Arc<State>);

/// Part of the budget that one answer takes, until it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: AnswerBudget,
    bytes: u64,
}

impl AnswerBudget {
    /// Creates a budget of the given size, in bytes.
    #[must_use]
    pub fn new(capacity_bytes: u64) -> Self {
        Self(Arc::new(State {
            capacity_bytes,
            held_bytes: AtomicU64::new(0),
        }))
    }

    /// Returns the size of all shares, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.0.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes by which the shares exceed the budget.
    #[must_use]
    pub fn excess_bytes(&self) -> u64 {
        self.held_bytes().saturating_sub(self.0.capacity_bytes)
    }

    /// Returns an empty share for an answer that is about to be received.
    #[must_use]
    pub fn open(&self) -> Share {
        Share {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns a share for bytes that are already in memory. It may exceed the budget.
    #[must_use]
    pub fn hold(&self, bytes: u64) -> Share {
        let mut share = self.open();
        share.grow(bytes);
        share
    }
}

impl Share {
    /// Grows the share to the size of the answer as far as it is known, in bytes. Returns whether there is room for it. An
    /// answer that is larger than the whole budget has room if it is the only one.
    #[must_use]
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let fits = self.missing_bytes(bytes) == 0;
        if fits {
            self.grow(bytes);
        }
        fits
    }

    /// Grows the share without regard to the budget.
    pub fn grow(&mut self, bytes: u64) {
        let more = bytes.saturating_sub(self.bytes);
        let held = &self.budget.0.held_bytes;
        held.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
    }

    /// Returns the number of bytes that other answers have to return before this one may grow to the given size.
    #[must_use]
    pub fn missing_bytes(&self, bytes: u64) -> u64 {
        let others = self.budget.held_bytes() - self.bytes;
        if bytes <= self.bytes {
            return 0;
        }
        let wanted = others.saturating_add(bytes);
        others.min(wanted.saturating_sub(self.budget.0.capacity_bytes))
    }

    /// Returns the bytes with this share, which is returned when the last reference to them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let held = &self.budget.0.held_bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes and their share of the budget.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

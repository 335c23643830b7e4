//! Bounds the memory for the requests that a node holds at a time: their bodies as far as they have arrived, and what else
//! each takes.
//!
//! Load pattern: many callers send bodies that are each within the limits of the document, but together more than the
//! memory of the host, and stop before their ends. The node would be ended, and with it the requests of all callers. Memory
//! is taken as a body arrives, so a body that is only announced takes none from the others. Large bodies share a part of
//! the memory, so that they leave room for ordinary requests. See docs/design/request-memory.md.

use {
    crate::{http1::Body, types::Moment},
    bytes::Bytes,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Memory that a request takes besides its body, in bytes: its head and its place in the tables of the node.
pub const OVERHEAD_BYTES: u64 = 8 * 1024;

/// Minimum time after which a request may return that had no room: that of a usual run.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);

/// Maximum of that time. Room that nobody uses meanwhile is lost.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Period over which rejected requests are counted.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// Size in bytes above which a request is a large one.
const LARGE_BYTES: u64 = 32 * 1024;

/// Sizes of the parts of the budget, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a large request, which may exceed `large` if it is the only one.
    pub alone: u64,
    /// The maximum size of all large requests.
    pub large: u64,
    /// The memory that large requests leave to the others.
    pub small: u64,
}

impl Limits {
    /// Returns the limits for a host with this memory, in bytes. The answers take a fifth of it, and the rest is for the
    /// process itself and for what the system has received and the process has not read.
    #[must_use]
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self {
            // Beyond the part of the large ones by what bounds the sum of all parts.
            alone: memory_bytes / 40 * 17,
            large: memory_bytes / 5 * 2,
            small: memory_bytes / 10,
        }
    }
}

impl Default for Limits {
    /// Returns the limits for a host whose memory is not known.
    fn default() -> Self {
        Self {
            alone: u64::MAX,
            large: 32 * 1024 * 1024,
            small: 16 * 1024 * 1024,
        }
    }
}

/// Size of the large requests that had no room of late. Their callers are asked to return when the room would suffice for all of
/// them: if each returned after the time of one run, most would be rejected again.
#[derive(Debug, Default)]
pub struct Demand {
    current_bytes: u64,
    period_began: Moment,
    previous_bytes: u64,
}

impl Demand {
    /// Records a request that had no room, and its size in bytes as far as it is known. Returns the time after which it may
    /// return. Small requests have room again as soon as others are served.
    pub fn reject(&mut self, now: Moment, bytes: u64, limits: Limits) -> Duration {
        if bytes <= LARGE_BYTES {
            return RETRY_AFTER_MIN;
        }
        let elapsed = now.since(self.period_began);
        if elapsed >= DEMAND_PERIOD {
            self.previous_bytes = if elapsed < DEMAND_PERIOD * 2 {
                self.current_bytes
            } else {
                0
            };
            self.current_bytes = 0;
            self.period_began = now;
        }
        self.current_bytes = self.current_bytes.saturating_add(bytes);
        let demand = self.current_bytes.max(self.previous_bytes);
        let rounds = u32::try_from(demand / limits.large.max(1)).unwrap_or(u32::MAX);
        RETRY_AFTER_MIN
            .saturating_mul(rounds.saturating_add(1))
            .min(RETRY_AFTER_MAX)
    }
}

#[derive(Debug, Default)]
struct Held {
    large: u64,
    small: u64,
}

impl Held {
    fn part(&mut self, bytes: u64) -> &mut u64 {
        if bytes > LARGE_BYTES {
            &mut self.large
        } else {
            &mut self.small
        }
    }
}

/// Memory for the requests that a node holds.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget {
    held: Arc<Mutex<Held>>,
    limits: Limits,
}

/// Part of the budget that one request takes, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    bytes: u64,
}

impl BodyBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            held: Arc::default(),
            limits,
        }
    }

    /// Returns the sizes of the parts.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the maximum size of a request, in bytes. A longer one never has room.
    #[must_use]
    pub fn request_bytes_max(&self) -> u64 {
        self.limits.alone
    }

    /// Returns the size of all reservations, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.with_held(|held| held.large + held.small)
    }

    /// Returns an empty reservation for a request that is about to be received.
    #[must_use]
    pub fn open(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    fn with_held<T>(&self, action: impl FnOnce(&mut Held) -> T) -> T {
        // The numbers are whole after each action, also if another thread has panicked.
        action(&mut self.held.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Reservation {
    /// Grows the reservation to the size of the request as far as it has arrived. Returns whether there is room for it. A
    /// large request may exceed the part of all large ones if it is the only one.
    #[must_use]
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let fits = self.missing_bytes(bytes) == 0;
        if fits {
            self.budget.with_held(|held| {
                *held.part(self.bytes) -= self.bytes;
                *held.part(bytes) += bytes;
            });
            self.bytes = bytes;
        }
        fits
    }

    /// Returns the number of bytes that other requests have to return before this one may grow to the given size.
    #[must_use]
    pub fn missing_bytes(&self, bytes: u64) -> u64 {
        if bytes <= self.bytes {
            return 0;
        }
        let Limits {
            alone,
            large,
            small,
        } = self.budget.limits;
        let (large_others, small_others) = self.budget.with_held(|held| {
            let (mut large, mut small) = (held.large, held.small);
            if self.bytes > LARGE_BYTES {
                large -= self.bytes;
            } else {
                small -= self.bytes;
            }
            (large, small)
        });
        if bytes > LARGE_BYTES {
            let borrowed = small_others.saturating_sub(small);
            let wanted = borrowed.saturating_add(bytes);
            let beside_others = (large_others.saturating_add(wanted)).saturating_sub(large);
            let as_only_one = large_others.saturating_add(wanted.saturating_sub(alone));
            beside_others.min(as_only_one)
        } else {
            let within_part = (small_others + bytes).saturating_sub(small);
            let within_all = (small_others + large_others + bytes).saturating_sub(small + large);
            within_part.min(within_all)
        }
    }

    /// Returns a body with this reservation, which is returned when the last reference to the body's first segment is
    /// dropped.
    #[must_use]
    pub fn attach(self, body: Body) -> Body {
        let attach = |bytes| {
            Bytes::from_owner(Owner {
                bytes,
                _reservation: self,
            })
        };
        body.map_first(attach)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .with_held(|held| *held.part(self.bytes) -= self.bytes);
    }
}

/// Bytes and the reservation for them.
struct Owner {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

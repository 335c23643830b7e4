//! Bounds the memory for the bodies of requests that a node holds at a time.
//!
//! Load pattern: several callers send bodies that are each within the limits of the document, but together more than the
//! memory of the host. The node would be ended, and with it the requests of all callers. A request whose body has no room
//! is rejected before the body is read.

use std::{cell::Cell, rc::Rc, time::Duration};

/// Maximum size of all large bodies held at a time, in bytes. Each is copied once on its way, and the smallest hosts have
/// 160 MiB.
const LARGE_BYTES_MAX: u64 = 32 * 1024 * 1024;

/// Size in bytes up to which a body is always held. The number of these is bounded by that of the connections.
const SMALL_BYTES_MAX: u64 = 64 * 1024;

/// Time after which a request may return whose body had no room: that of a usual run.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Memory for the bodies that a node holds.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget {
    held_bytes: Rc<Cell<u64>>,
}

/// Part of the budget that one body takes, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    bytes: u64,
}

impl BodyBudget {
    /// Returns an empty reservation for a body that is about to be received.
    #[must_use]
    pub fn open(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Grows the reservation to the size of the body as far as it is known. Returns whether there is room for it. A body
    /// that is larger than the whole budget is held if it is the only large one.
    pub fn try_grow(&mut self, body_bytes: u64) -> bool {
        if body_bytes <= SMALL_BYTES_MAX.max(self.bytes) {
            return true;
        }
        let others = self.budget.held_bytes.get() - self.bytes;
        let fits = others == 0 || others.saturating_add(body_bytes) <= LARGE_BYTES_MAX;
        if fits {
            self.budget.held_bytes.set(others + body_bytes);
            self.bytes = body_bytes;
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let held = self.budget.held_bytes.get();
        self.budget.held_bytes.set(held - self.bytes);
    }
}

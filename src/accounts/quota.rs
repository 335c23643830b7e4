//! The region's part of an account's limit, and how much of it may be used within a shorter time than the window.
//!
//! Designed for owners that are lost right after a burst. A new owner does not know what its predecessor has handed out,
//! so both together must stay within the limit. Within a time `x` shorter than the window, an owner may use at most
//! `1 - refill * (window - x)` of its parts of the limit, and a part that was leased `x` ago counts as `refill * x`. The
//! sum over consecutive holders of a part is then never above 1 within a window, without a pause in which no permits are
//! handed out.

use {super::PERMIT_VALIDITY, crate::sidecar::document::AccountLimit, std::time::Duration};

/// Part of an account's rate that a new owner hands out at once. Accounts usually send less than two thirds of their
/// rate, so they notice no change of the owner. A higher part would leave less for bursts.
const REFILL_RATIO: f64 = 2.0 / 3.0;

/// Maximum part of the limit that is handed out within the first window after a change of the owner; the rest is left for
/// bursts.
const REFILL_MAX: f64 = 0.75;

/// Part of the tolerance that the owner may use. Without it, accounts whose requests are divided unevenly between regions
/// would be refused within their limit.
const OWNER_TOLERANCE: f64 = 0.5;

/// The terms that the limits of all accounts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The part by which a limit may be exceeded.
    pub over: f64,
    /// The number of regions among which a limit is divided.
    pub regions: u32,
    /// The requests by which a limit may be exceeded besides.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl Terms {
    /// Returns the time over which handed-out permits are counted: the window and the validity of a permit, as a permit
    /// may be used that much later.
    #[must_use]
    pub fn horizon(&self) -> Duration {
        self.window + PERMIT_VALIDITY
    }
}

/// The region's part of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The time over which handed-out permits are counted, see [`Terms::horizon`].
    pub horizon: Duration,
    /// The part of `total` by which a new holder of a part may use more in each second.
    refill: f64,
    /// Requests in each window that nodes may run without an owner, over all nodes of the region.
    pub reserve: f64,
    /// Permits that all owners of the region together may hand out within the horizon.
    pub total: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl Quota {
    /// Returns the region's part of a limit, or `None` if the limit is 0, which means no limit.
    #[must_use]
    pub fn new(limit: AccountLimit, terms: Terms) -> Option<Self> {
        let rate = limit.rate.per_second();
        if rate <= 0.0 {
            return None;
        }
        let regions = f64::from(terms.regions.max(1));
        let whole = rate * terms.window.as_secs_f64() + f64::from(limit.burst);
        let tolerance = (whole * terms.over + terms.slack) / regions;
        let total = whole / regions + tolerance * OWNER_TOLERANCE;
        let horizon = terms.horizon();
        let refill = REFILL_RATIO * rate / regions / total;
        Some(Self {
            horizon,
            refill: refill.min(REFILL_MAX / horizon.as_secs_f64()),
            reserve: tolerance * (1.0 - OWNER_TOLERANCE),
            total,
            window: terms.window,
        })
    }

    /// Returns the part of a lease that its holder may use within `time`, if it has held it for `age`.
    #[must_use]
    pub fn usable(&self, age: Duration, time: Duration) -> f64 {
        let rest = self.horizon.saturating_sub(time);
        let burst = 1.0 - self.refill * rest.as_secs_f64();
        if age >= self.horizon {
            burst
        } else {
            burst.min(self.refill * age.as_secs_f64())
        }
    }

    /// Returns the part of a lease by which its holder may use more in each second.
    #[must_use]
    pub fn refill_per_second(&self) -> f64 {
        self.refill
    }
}

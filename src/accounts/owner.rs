//! Hands out the permits of one account from the parts of its limit that are leased to this node.
//!
//! Designed for an account whose requests arrive at many nodes at once and in bursts, while its owner may be lost at any
//! time. The permits handed out are counted in a sliding window, and over each shorter time (see [`super::quota`]).

use {
    super::quota::Quota,
    crate::types::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Number of batches into which the permits of a window are grouped. Their permits expire together, up to a 64th of the
/// window late.
const BATCHES_PER_WINDOW: u32 = 64;

/// Shortest time after which a node asks again for permits of an account that has reached its limit.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// The parts of a limit that are leased to this node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Times for which parts have been leased that are shorter than the horizon.
    recent: Vec<Duration>,
    /// Number of the parts that have been leased for longer.
    settled: u32,
    /// Permits that one part stands for.
    share: f64,
}

impl Pool {
    /// Creates a pool of the parts that have been leased for the given times, of a limit that is divided among
    /// `known_count` nodes.
    #[must_use]
    pub fn new(quota: &Quota, known_count: usize, ages: impl Iterator<Item = Duration>) -> Self {
        let known_count = u32::try_from(known_count.max(1)).unwrap_or(u32::MAX);
        let mut pool = Self {
            share: quota.total / f64::from(known_count),
            ..Self::default()
        };
        for age in ages.take(known_count as usize) {
            if age >= quota.horizon {
                pool.settled += 1;
            } else {
                pool.recent.push(age);
            }
        }
        pool
    }

    /// Returns whether no part is leased to this node, so that another one is the owner.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.part_count() == 0
    }

    /// Returns the number of parts that are leased to this node.
    #[must_use]
    pub fn part_count(&self) -> u32 {
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        self.settled.saturating_add(recent)
    }

    /// Returns the number of permits that may be handed out within `time`.
    fn capacity(&self, quota: &Quota, time: Duration) -> f64 {
        let settled = f64::from(self.settled) * quota.usable(quota.horizon, time);
        let recent = self.recent.iter().map(|age| quota.usable(*age, time));
        self.share * (settled + recent.sum::<f64>())
    }

    /// Returns by how much the capacity grows in each second.
    fn refill_per_second(&self, quota: &Quota) -> f64 {
        self.share * f64::from(self.part_count()) * quota.refill_per_second()
    }
}

#[derive(Debug, Clone, Copy)]
struct Batch {
    count: u32,
    first: Moment,
    last: Moment,
}

/// The permits of one account that this node has handed out within the horizon.
#[derive(Debug, Default)]
pub struct Ledger(VecDeque<Batch>);

impl Ledger {
    /// Hands out up to `wanted` permits.
    ///
    /// # Errors
    /// Returns the expected time until there is room if there is none.
    pub fn hand_out(
        &mut self,
        now: Moment,
        quota: &Quota,
        pool: &Pool,
        wanted: u32,
    ) -> Result<u32, Duration> {
        let expired = self
            .0
            .partition_point(|batch| now.since(batch.last) >= quota.horizon);
        self.0.drain(..expired);
        let granted = self.room(now, quota, pool).min(wanted);
        if granted == 0 {
            return Err(self.wait(now, quota, pool));
        }
        let batch_time = quota.horizon / BATCHES_PER_WINDOW;
        match self.0.back_mut() {
            Some(batch) if now.since(batch.first) < batch_time => {
                batch.count += granted;
                batch.last = now;
            }
            _ => self.0.push_back(Batch {
                count: granted,
                first: now,
                last: now,
            }),
        }
        Ok(granted)
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn room(&self, now: Moment, quota: &Quota, pool: &Pool) -> u32 {
        let floor = |capacity: f64| capacity.max(0.0) as u32;
        let mut used = 0_u32;
        let mut room = floor(pool.capacity(quota, Duration::ZERO));
        for batch in self.0.iter().rev() {
            used = used.saturating_add(batch.count);
            let capacity = floor(pool.capacity(quota, now.since(batch.last)));
            room = room.min(capacity.saturating_sub(used));
        }
        room
    }

    /// Returns the time until there is room for one permit, if nothing else is handed out. Each bound is waited for until
    /// it has grown far enough, or until the permits that it counts have left the window.
    fn wait(&self, now: Moment, quota: &Quota, pool: &Pool) -> Duration {
        let growth = pool.refill_per_second(quota);
        let grows_after = |missing: f64| {
            let seconds = (missing / growth).max(0.0);
            Duration::try_from_secs_f64(seconds).unwrap_or(quota.horizon)
        };
        let mut used = 0.0;
        let mut wait = grows_after(1.0 - pool.capacity(quota, Duration::ZERO));
        for batch in self.0.iter().rev() {
            used += f64::from(batch.count);
            let age = now.since(batch.last);
            let missing = used + 1.0 - pool.capacity(quota, age);
            wait = wait.max(grows_after(missing).min(quota.horizon.saturating_sub(age)));
        }
        wait.clamp(RETRY_AFTER_MIN, quota.horizon.max(RETRY_AFTER_MIN))
    }
}

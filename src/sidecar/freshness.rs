//! How recently the document in force was confirmed by a read of the store, and what a node does once that is too long
//! ago.
//!
//! Whatever a node knows of its peers, a missed change shows in the same way: nobody confirms the document any more. The
//! nodes that read the store announce what they have read; every other node expects that announcement, and reads the
//! store itself if it stays away. See docs/design/platform.md.

use {crate::types::Moment, std::time::Duration};

/// Age from which a confirmation is too old: two intervals of the announcements. A change has to be in force everywhere
/// within two seconds, which leaves one for the node to read the store itself.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Minimum interval between two announcements of the first reader of the store.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Time without an announcement of another node after which any node that reads the store makes one.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(750);

/// Additional delay for each node that ranks before this one, so that the first to read the store can spare the others
/// the call.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Delay after a failed read in place of the readers: if the store is away for all nodes, each of them fails.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Recency of the document in force.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    announced: Moment,
    confirmed_by_peer: Moment,
    confirmed_by_store: Moment,
    failed: Option<Moment>,
}

impl Freshness {
    /// Records that a document is in force for the first time. Its confirmation is awaited from now on.
    pub fn begin(&mut self, now: Moment) {
        self.confirmed_by_peer = now;
    }

    /// Records that another node has confirmed the document in force as the newest one in the store. `age` is the time
    /// since the store was read.
    pub fn confirm_by_peer(&mut self, now: Moment, age: Duration) {
        self.confirmed_by_peer = self.confirmed_by_peer.max(earlier(now, age));
        self.failed = None;
    }

    /// Records a read of the store, `age` ago, by which the document in force is the newest one.
    pub fn confirm_by_store(&mut self, now: Moment, age: Duration) {
        self.confirmed_by_store = self.confirmed_by_store.max(earlier(now, age));
        self.failed = None;
    }

    /// Records a failed read in place of the readers.
    pub fn record_failure(&mut self, now: Moment) {
        self.failed = Some(now);
    }

    /// Returns the time since the document in force was the newest one in the store.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.confirmed_by_peer.max(self.confirmed_by_store))
    }

    /// Returns whether the document in force may be outdated.
    #[must_use]
    pub fn is_stale(&self, now: Moment) -> bool {
        self.age(now) >= STALE_AFTER
    }

    /// Returns whether this node reads the store in place of those that should, as none of them confirms the document.
    /// `rank` returns this node's rank among those that may do so
    /// ([`replacement_rank`](super::store_readers::replacement_rank)); it is called only if the confirmation is overdue.
    #[must_use]
    pub fn replaces_readers(&self, now: Moment, rank: impl FnOnce() -> usize) -> bool {
        let overdue = now.since(self.confirmed_by_peer).checked_sub(STALE_AFTER);
        let Some(overdue) = overdue else {
            return false;
        };
        if self
            .failed
            .is_some_and(|failed| now.since(failed) < RETRY_DELAY)
        {
            return false;
        }
        overdue >= RANK_DELAY.saturating_mul(u32::try_from(rank()).unwrap_or(u32::MAX))
    }

    /// Returns whether this node, which has read the store, announces that to the other nodes, and records that it does.
    /// The first reader always does; another node only if it has heard no announcement for some time.
    pub fn try_announce(&mut self, now: Moment, is_first_reader: bool) -> bool {
        let heard_recently = now.since(self.confirmed_by_peer) < TAKE_OVER_AFTER;
        let announced_recently = now.since(self.announced) < ANNOUNCE_INTERVAL;
        let announces = !announced_recently && (is_first_reader || !heard_recently);
        if announces {
            self.announced = now;
        }
        announces
    }
}

fn earlier(now: Moment, age: Duration) -> Moment {
    let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Moment(now.0.saturating_sub(age_us))
}

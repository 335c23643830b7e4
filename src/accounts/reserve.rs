//! The local allowance of a node that gets no answer from the owner of an account.
//!
//! Designed for nodes that are cut off, and for the seconds in which the owner of an account changes. A part of the
//! tolerance is divided into whole requests among all known nodes of the region. Where there are fewer requests than
//! nodes, the nodes that rank highest for the account have one each: a fraction that each node saved up until it has a
//! whole one would allow all nodes to use theirs within the same window.

use {
    super::quota::Quota,
    crate::types::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The local allowance of one account at this node.
#[derive(Debug, Default)]
pub struct Reserve(VecDeque<Moment>);

impl Reserve {
    /// Takes the permit for one request. `place` counts the known nodes that rank above this one. The allowance of a node
    /// that started less than a window ago is empty, as the node does not know what an earlier process has used.
    ///
    /// # Errors
    /// Returns the time until there is room if there is none.
    pub fn try_take(
        &mut self,
        now: Moment,
        started: Moment,
        quota: &Quota,
        known_count: usize,
        place: usize,
    ) -> Result<(), Duration> {
        let since_start = now.since(started);
        if since_start < quota.window {
            return Err(quota.window.checked_sub(since_start).unwrap_or_default());
        }
        let expired = self
            .0
            .partition_point(|used| now.since(*used) >= quota.window);
        self.0.drain(..expired);
        if self.0.len() < share(quota.reserve, known_count, place) {
            self.0.push_back(now);
            return Ok(());
        }
        let oldest = self.0.front().map(|used| now.since(*used));
        Err(quota.window.saturating_sub(oldest.unwrap_or_default()))
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn share(reserve: f64, known_count: usize, place: usize) -> usize {
    let whole = reserve.max(0.0) as usize;
    let known_count = known_count.max(1);
    whole / known_count + usize::from(place < whole % known_count)
}

//! The most recent deltas of a node, so that a peer that is slightly behind needs no full snapshot.

use {
    crate::{snapshot::Delta, types::Revision},
    std::{collections::VecDeque, sync::Arc},
};

const CHANGES_MAX: usize = 2048;

/// A bounded sequence of consecutive deltas: none starts after the end of the one before it.
#[derive(Debug, Default)]
pub struct History {
    changes: usize,
    deltas: VecDeque<Arc<Delta>>,
}

impl History {
    /// Appends a delta that was just installed, and evicts the oldest ones beyond the limit on changes.
    /// A delta that does not continue the sequence replaces it.
    pub fn push(&mut self, delta: Arc<Delta>) {
        let follows = self.deltas.back().is_none_or(|last| delta.from <= last.to);
        if !follows {
            self.clear();
        }
        self.changes += delta.changes.len();
        self.deltas.push_back(delta);
        while self.changes > CHANGES_MAX
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.changes -= oldest.changes.len();
        }
    }

    /// Removes all deltas, as a full snapshot was installed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the combined delta from `held` to the latest revision, or `None` if the history does not
    /// reach back that far.
    #[must_use]
    pub fn delta_since(&self, held: Revision) -> Option<Delta> {
        let last = self.deltas.back()?;
        let mut needed = self
            .deltas
            .iter()
            .filter(|delta| delta.to > held)
            .peekable();
        let first = needed.peek()?;
        if first.from > held {
            return None;
        }
        Some(Delta {
            from: held,
            to: last.to,
            digest: last.digest,
            changes: needed
                .flat_map(|delta| delta.changes.iter())
                .filter(|(revision, _)| *revision > held)
                .cloned()
                .collect(),
        })
    }
}

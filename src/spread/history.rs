//! The last deltas that a node took, so that a peer that is a little behind is sent no whole snapshot.

use {
    crate::{snapshot::Delta, world::Revision},
    std::{collections::VecDeque, sync::Arc},
};

const CHANGES_MAX: usize = 2048;

/// A bounded run of deltas, each of which starts where the one before it ends.
#[derive(Debug, Default)]
pub struct History {
    changes: usize,
    deltas: VecDeque<Arc<Delta>>,
}

impl History {
    /// Adds the delta that was just taken.
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

    /// Forgets everything, as a snapshot was taken whole.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Gives the step from `held` to the latest revision, if it is still known.
    #[must_use]
    pub fn since(&self, held: Revision) -> Option<Delta> {
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

//! Keeps the most recent deletions, so that a watch can resume from an earlier revision. Resources
//! that were created or replaced since need no such list: the snapshot has the revision of each.

use {
    crate::{resource::Key, snapshot::Snapshot, types::Revision},
    std::{
        collections::VecDeque,
        sync::{Condvar, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Maximum number of deletions that are kept.
pub const DELETIONS_MAX: usize = 4096;

#[derive(Debug, Default)]
struct State {
    deletions: VecDeque<(Revision, Key)>,
    /// Lowest revision that a watch can resume from; deletions up to it may have been dropped.
    oldest: Revision,
}

/// The most recent deletions, and the signal that wakes watches after a change.
#[derive(Debug, Default)]
pub struct DeletionLog {
    changed: Condvar,
    state: Mutex<State>,
}

impl DeletionLog {
    /// Records what is deleted between two snapshots. Must be called before the next snapshot is
    /// visible to watches, so that none of them sees it without its deletions.
    pub fn record(&self, current: &Snapshot, next: &Snapshot) {
        let mut state = self.state();
        // A node that has just started does not know what was deleted before.
        if current.revision == Revision(0) && next.revision > Revision(1) {
            state.oldest = next.revision;
        }
        let deleted_keys = current
            .resources
            .keys()
            .filter(|key| !next.resources.contains_key(key));
        for key in deleted_keys {
            state.deletions.push_back((next.revision, key.clone()));
        }
        while state.deletions.len() > DELETIONS_MAX {
            if let Some((revision, _)) = state.deletions.pop_front() {
                state.oldest = revision;
            }
        }
    }

    /// Wakes all watches. Called after the new snapshot is visible.
    pub fn notify_all(&self) {
        self.changed.notify_all();
    }

    /// Waits for a change, at most for `timeout`.
    pub fn wait_change(&self, timeout: Duration) {
        let state = self.state();
        // The reason for the wake-up does not matter: callers read the snapshot afterwards.
        drop(self.changed.wait_timeout(state, timeout));
    }

    /// Returns the deletions after `since` and up to `until`.
    ///
    /// # Errors
    /// Returns the lowest revision that a watch can resume from if `since` is below it.
    pub fn between(
        &self,
        since: Revision,
        until: Revision,
    ) -> Result<Vec<(Revision, Key)>, Revision> {
        let state = self.state();
        if since < state.oldest {
            return Err(state.oldest);
        }
        Ok(state
            .deletions
            .iter()
            .filter(|(revision, _)| *revision > since && *revision <= until)
            .cloned()
            .collect())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Remembers which resources were deleted of late, so that a watch can resume. What was put since a
//! revision shows in the state itself.

use {
    crate::{resource::Key, snapshot::Snapshot, world::Revision},
    std::{
        collections::VecDeque,
        sync::{Condvar, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The most deletions that are remembered.
pub const DELETIONS_MAX: usize = 4096;

#[derive(Debug, Default)]
struct State {
    deletions: VecDeque<(Revision, Key)>,
    /// Deletions up to this revision may have been forgotten.
    floor: Revision,
}

/// The deletions of late.
#[derive(Debug, Default)]
pub struct Feed {
    changed: Condvar,
    state: Mutex<State>,
}

impl Feed {
    /// Notes a step between two states. It is called before the new state can be seen.
    pub fn install(&self, held: &Snapshot, next: &Snapshot) {
        let mut state = self.state();
        // A node that starts does not know what was deleted before.
        if held.revision == Revision(0) && next.revision > Revision(1) {
            state.floor = next.revision;
        }
        let gone = held
            .resources
            .keys()
            .filter(|key| !next.resources.contains_key(key));
        for key in gone {
            state.deletions.push_back((next.revision, key.clone()));
        }
        while state.deletions.len() > DELETIONS_MAX {
            if let Some((revision, _)) = state.deletions.pop_front() {
                state.floor = revision;
            }
        }
    }

    /// Wakes those who wait, after the new state can be seen.
    pub fn wake(&self) {
        self.changed.notify_all();
    }

    /// Waits for a change, or until the time is up.
    pub fn wait(&self, time: Duration) {
        let state = self.state();
        // Whoever waits looks at the state afterwards, whatever the reason was.
        drop(self.changed.wait_timeout(state, time));
    }

    /// Lists what was deleted after `since` and up to `until`.
    ///
    /// # Errors
    /// Gives the lowest revision that a watch can resume from, if `since` is below it.
    pub fn deleted(
        &self,
        since: Revision,
        until: Revision,
    ) -> Result<Vec<(Revision, Key)>, Revision> {
        let state = self.state();
        if since < state.floor {
            return Err(state.floor);
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

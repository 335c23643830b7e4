//! Receives the configuration and forwards it to the neighbours. A node installs complete, verified
//! revisions only and never goes back to an older one, even if a late or stale neighbour sends one.

use {
    super::{Action, Control},
    crate::{
        snapshot::{Delta, Error, Snapshot},
        source::{self, Entry, Page, TransactionOutcome},
        spread::to_millis,
        types::{Host, Moment, Revision},
        wire::Frame,
    },
    std::{sync::Arc, time::Duration},
};

/// The interval at which a node without a parent polls the platform itself.
pub const ORPHAN_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// The number of snapshots that a node may send in a burst.
pub const SNAPSHOT_BURST: u32 = 16;

/// The interval at which a node may send another snapshot after a burst.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(60);

/// How long a node waits for the answer to a fetch before it may send another one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The age of the last read of the platform from which the relays poll it even if their failure domain
/// is not the gateway of the region.
const READ_AGE_MAX: Duration = Duration::from_secs(2);

impl Control {
    /// Performs the due work of the source, including a poll of the platform if this node polls.
    pub(super) fn poll_source(&mut self, now: Moment) -> Vec<Action> {
        let should_poll = self.should_poll(now);
        self.source.set_polling(should_poll);
        let source_actions = self.source.tick(now, &self.snapshot);
        if should_poll && !source_actions.is_empty() {
            self.polled_at = now;
        }
        self.apply_source_actions(now, source_actions)
    }

    fn should_poll(&self, now: Moment) -> bool {
        if self.spread.poll_all {
            return true;
        }
        if !self.serving {
            return false;
        }
        let is_stale = now.since(self.read_at) >= READ_AGE_MAX;
        let is_orphan = !self.is_root() && self.role.parent.is_none();
        let polls_as_relay = self.role.is_relay && (self.is_gateway || is_stale);
        polls_as_relay
            || (is_orphan && is_stale && now.since(self.polled_at) >= ORPHAN_POLL_INTERVAL)
    }

    pub(super) fn handle_read(&mut self, now: Moment, page: Option<&Page>) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(page) = page {
            self.read_at = now;
            if let Some(snapshot) = &page.snapshot {
                actions.extend(self.install_snapshot(now, Arc::new(Snapshot::clone(snapshot))));
            }
            for entry in &page.entries {
                actions.extend(self.append_entry(entry));
            }
        }
        let source_actions = self.source.finish_read(now, &self.snapshot, page);
        actions.extend(self.apply_source_actions(now, source_actions));
        actions
    }

    /// Appends the committed entries among the source's actions and returns the other actions.
    pub(super) fn apply_source_actions(
        &mut self,
        now: Moment,
        source_actions: Vec<source::Action>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in source_actions {
            let source::Action::Append(entry) = action else {
                actions.push(Action::Source(action));
                continue;
            };
            actions.extend(self.append_entry(&entry));
            let more = self.source.pump(now, &self.snapshot);
            actions.extend(more.into_iter().map(Action::Source));
        }
        actions
    }

    fn append_entry(&mut self, entry: &Entry) -> Vec<Action> {
        let delta = Delta {
            changes: entry.changes().collect(),
            digest: entry.digest,
            from: Revision(entry.revision.0.saturating_sub(1)),
            to: entry.revision,
        };
        match self.snapshot.apply_delta(&delta) {
            Ok(next) => self.install_delta(None, next, &Arc::new(delta)),
            Err(_) => Vec::new(),
        }
    }

    fn install_delta(
        &mut self,
        from: Option<&Host>,
        next: Snapshot,
        delta: &Arc<Delta>,
    ) -> Vec<Action> {
        self.snapshot = Arc::new(next);
        self.history.push(delta.clone());
        let mut actions = self.install_if_serving();
        if self.spread.poll_all {
            return actions;
        }
        let relation = from.and_then(|host| self.relation(host));
        actions.extend(
            self.neighbours
                .iter()
                .filter(|(host, neighbour)| {
                    Some(*host) != from && neighbour.relation.receives_from(relation)
                })
                .filter(|(_, neighbour)| neighbour.revision < delta.to)
                .map(|(host, _)| Action::Send(host.clone(), Frame::Delta(delta.clone()))),
        );
        actions
    }

    /// Returns the action that puts the configuration in force, if this node serves and has one.
    pub(super) fn install_if_serving(&self) -> Vec<Action> {
        if self.serving && self.snapshot.revision > Revision::default() {
            vec![Action::Install(self.snapshot.clone())]
        } else {
            Vec::new()
        }
    }

    pub(super) fn handle_delta(
        &mut self,
        now: Moment,
        host: &Host,
        delta: &Arc<Delta>,
    ) -> Vec<Action> {
        self.record_revision(host, delta.to);
        match self.snapshot.apply_delta(delta) {
            Ok(next) => {
                self.fetching = None;
                self.install_delta(Some(host), next, delta)
            }
            Err(Error::Stale { .. }) => vec![Action::Count("spread.delta.backwards")],
            Err(Error::Gap { .. }) => {
                let mut actions = vec![Action::Count("spread.delta.gap")];
                actions.extend(self.fetch(now, host, self.snapshot.revision));
                actions
            }
            Err(Error::DanglingReference | Error::DigestMismatch) => {
                let mut actions = vec![Action::Count("spread.delta.unsound")];
                actions.extend(self.fetch(now, host, Revision::default()));
                actions
            }
        }
    }

    /// Records the revision that a node runs.
    pub(super) fn record_revision(&mut self, host: &Host, revision: Revision) {
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.revision = neighbour.revision.max(revision);
        }
        let is_higher = self
            .highest_seen
            .as_ref()
            .is_none_or(|(_, held)| revision > *held);
        if is_higher {
            self.highest_seen = Some((host.clone(), revision));
        }
    }

    /// Requests the changes after `held` from a node, unless a request is already pending.
    pub(super) fn fetch(&mut self, now: Moment, host: &Host, held: Revision) -> Option<Action> {
        let is_pending = self
            .fetching
            .as_ref()
            .is_some_and(|(_, until)| now < *until);
        if is_pending || self.spread.poll_all {
            return None;
        }
        self.fetching = Some((host.clone(), now + FETCH_TIMEOUT));
        Some(Action::Send(host.clone(), Frame::Fetch(held)))
    }

    pub(super) fn handle_fetch(&mut self, now: Moment, host: &Host, held: Revision) -> Vec<Action> {
        self.catch_up(now, host, held).into_iter().collect()
    }

    /// Sends a node the changes after `held`: a delta if the history reaches back that far, otherwise a
    /// snapshot, or a busy frame if too many snapshots were sent recently.
    pub(super) fn catch_up(&mut self, now: Moment, host: &Host, held: Revision) -> Option<Action> {
        if held >= self.snapshot.revision {
            return None;
        }
        let frame = match self.history.delta_since(held) {
            Some(delta) => Frame::Delta(Arc::new(delta)),
            None => match self.bucket.try_take(now) {
                Ok(()) => Frame::Snapshot(self.snapshot.clone()),
                Err(wait) => Frame::Busy(to_millis(wait)),
            },
        };
        Some(Action::Send(host.clone(), frame))
    }

    pub(super) fn install_snapshot(&mut self, now: Moment, snapshot: Arc<Snapshot>) -> Vec<Action> {
        self.fetching = None;
        if snapshot.revision <= self.snapshot.revision {
            return vec![Action::Count("spread.snapshot.backwards")];
        }
        if snapshot.verify(snapshot.digest).is_err() {
            return vec![Action::Count("spread.snapshot.unsound")];
        }
        self.snapshot = snapshot;
        self.history.clear();
        let mut actions = self.install_if_serving();
        let behind: Vec<(Host, Revision)> = self
            .neighbours
            .iter()
            .filter(|(_, neighbour)| neighbour.revision < self.snapshot.revision)
            .map(|(host, neighbour)| (host.clone(), neighbour.revision))
            .collect();
        for (host, held) in behind {
            actions.extend(self.catch_up(now, &host, held));
        }
        actions
    }

    pub(super) fn handle_transacted(
        &mut self,
        now: Moment,
        revision: Revision,
        outcome: TransactionOutcome,
    ) -> Vec<Action> {
        let source_actions = self
            .source
            .finish_transaction(now, &self.snapshot, revision, outcome);
        self.apply_source_actions(now, source_actions)
    }
}

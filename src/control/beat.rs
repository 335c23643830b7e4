//! The beat that neighbours exchange once a second. From it a node derives which neighbours are behind,
//! which revision its failure domain has in force, and which hosts of the failure domain are lost.

use {
    super::{Action, Control},
    crate::{
        member::{CHILD_LIST_INTERVAL, Record, State},
        spread::{Beat, CoverageReport, Relation, to_millis},
        types::{Host, Moment, Revision},
        wire::Frame,
    },
    std::{sync::Arc, time::Duration},
};

/// The interval between two beats to a neighbour.
pub const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which the root sends the coverage of all failure domains down its tree.
const COVERAGE_INTERVAL: Duration = Duration::from_secs(2);

/// The number of consecutive beats with a differing roster digest after which the rosters are compared.
const DIFFERING_BEATS_MAX: u8 = 2;

impl Control {
    pub(super) fn beat(&mut self, now: Moment) -> Vec<Action> {
        self.relayed_at = self.relay_time(now);
        let mut actions = self.forward(None, &Frame::Beat(self.own_beat(now)));
        actions.extend(self.send_children(now));
        if self.is_root() {
            actions.extend(self.send_report(now));
            actions.extend(self.declare_lost(now));
        }
        actions.extend(self.update_coverage(now));
        actions
    }

    /// Returns the beat that describes the present state of this node.
    pub(super) fn own_beat(&self, now: Moment) -> Beat {
        Beat {
            floor: self.floor(),
            read_age_ms: to_millis(now.since(self.read_at)),
            revision: self.snapshot.revision,
            relay_age_ms: to_millis(now.since(self.relay_time(now))),
            roster_digest: self.roster.digest(),
            serving: self.serving,
        }
    }

    /// Returns when the information that this node holds left a relay. Without a parent the time stays
    /// fixed, so that children can detect that they are cut off from the relays.
    fn relay_time(&self, now: Moment) -> Moment {
        match self.parent() {
            _ if self.is_relay() => now,
            Some(parent) => parent.relayed_at,
            None => self.relayed_at,
        }
    }

    /// Returns the lowest revision that this node and its serving descendants run.
    fn floor(&self) -> Revision {
        self.neighbours
            .values()
            .filter(|neighbour| neighbour.relation == Relation::Child && neighbour.serving)
            .map(|neighbour| neighbour.floor)
            .fold(self.snapshot.revision, Revision::min)
    }

    /// Sends the list of this node's children to the parent if it has changed or is due for repetition.
    fn send_children(&mut self, now: Moment) -> Vec<Action> {
        let children = &self.role.children;
        let is_repeat_due =
            now.since(self.children_sent_at) >= CHILD_LIST_INTERVAL && !children.is_empty();
        if *children == self.sent_children && !is_repeat_due {
            return Vec::new();
        }
        self.children_sent_at = now;
        self.sent_children.clone_from(children);
        let me = self.contact.host.clone();
        self.failure_detector
            .record_children(now, me.clone(), self.sent_children.clone());
        self.send_to_parent(&Frame::Children(me, self.sent_children.clone()))
    }

    fn send_to_parent(&self, frame: &Frame) -> Vec<Action> {
        self.parent()
            .map(|parent| Action::Send(parent.contact.host.clone(), frame.clone()))
            .into_iter()
            .collect()
    }

    pub(super) fn handle_children(
        &mut self,
        now: Moment,
        from: &Host,
        parent: Host,
        hosts: Vec<Host>,
    ) -> Vec<Action> {
        if self.relation(from) != Some(Relation::Child) {
            return Vec::new();
        }
        self.failure_detector
            .record_children(now, parent.clone(), hosts.clone());
        self.send_to_parent(&Frame::Children(parent, hosts))
    }

    /// Records the revision in force in this failure domain and reports it to the other ones.
    fn send_report(&mut self, now: Moment) -> Vec<Action> {
        let own = CoverageReport {
            age_ms: 0,
            domain: self.contact.domain.clone(),
            floor: self.floor(),
        };
        self.reports.record(now, &own);
        let mut actions = self.send_to_relations(&Frame::Cover(vec![own]), |relation| {
            matches!(relation, Relation::RemoteRelay | Relation::RegionRelay)
        });
        if now.since(self.coverage_sent_at) >= COVERAGE_INTERVAL {
            self.coverage_sent_at = now;
            let all = Frame::Cover(self.reports.current(now).collect());
            actions.extend(self.send_to_relations(&all, |relation| relation == Relation::Child));
        }
        actions
    }

    fn send_to_relations(&self, frame: &Frame, filter: impl Fn(Relation) -> bool) -> Vec<Action> {
        self.neighbours
            .iter()
            .filter(|(_, neighbour)| filter(neighbour.relation))
            .map(|(host, _)| Action::Send(host.clone(), frame.clone()))
            .collect()
    }

    /// Records reports and forwards those that are new. A relay forwards reports of its own region to
    /// other regions and reports of other regions within its own; nodes in the tree forward them to
    /// their children.
    pub(super) fn handle_cover(
        &mut self,
        now: Moment,
        host: &Host,
        reports: &[CoverageReport],
    ) -> Vec<Action> {
        let Some(from) = self.relation(host) else {
            return Vec::new();
        };
        let new_reports: Vec<CoverageReport> = reports
            .iter()
            .filter(|report| self.reports.record(now, report))
            .cloned()
            .collect();
        if new_reports.is_empty() {
            return Vec::new();
        }
        let frame = Frame::Cover(new_reports);
        let mut actions = match from {
            Relation::Child => Vec::new(),
            Relation::RemoteRelay => {
                self.send_to_relations(&frame, |relation| relation == Relation::RegionRelay)
            }
            Relation::Parent => {
                self.send_to_relations(&frame, |relation| relation == Relation::Child)
            }
            Relation::RegionRelay => {
                self.send_to_relations(&frame, |relation| relation == Relation::RemoteRelay)
            }
        };
        actions.extend(self.update_coverage(now));
        actions
    }

    fn update_coverage(&mut self, now: Moment) -> Option<Action> {
        let coverage = self.reports.coverage(now);
        (coverage != self.coverage).then(|| {
            self.coverage.clone_from(&coverage);
            Action::Cover(coverage)
        })
    }

    /// Marks the lost hosts of this failure domain as gone and publishes their records.
    fn declare_lost(&mut self, now: Moment) -> Vec<Action> {
        let domain = &self.contact.domain;
        let lost = self.failure_detector.detect_lost(
            now,
            &self.contact.host,
            self.roster.domain_records(domain),
        );
        let gone_records: Vec<Arc<Record>> = lost
            .into_iter()
            .map(|record| {
                let mut gone = Record::clone(&record);
                gone.offer = None;
                gone.sequence = gone.sequence.saturating_add(1);
                gone.state = State::Gone;
                Arc::new(gone)
            })
            .collect();
        if gone_records.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::Count("member.lost")];
        actions.extend(self.merge(now, None, gone_records));
        actions
    }

    pub(super) fn handle_beat(&mut self, now: Moment, host: &Host, beat: &Beat) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.relation(host).is_none() {
            if !self.complete_join(now, host) {
                return vec![Action::Send(host.clone(), Frame::Quit)];
            }
            actions.extend(self.send_descendants());
        }
        let time_ago = |ms: u32| Moment(now.0.saturating_sub(u64::from(ms) * 1000));
        self.read_at = self.read_at.max(time_ago(beat.read_age_ms));
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.floor = beat.floor;
            neighbour.heard_at = now;
            neighbour.relayed_at = time_ago(beat.relay_age_ms);
            neighbour.serving = beat.serving;
        }
        self.record_revision(host, beat.revision);
        if beat.revision > self.snapshot.revision {
            actions.extend(self.fetch(now, host, self.snapshot.revision));
        }
        actions.extend(self.compare_rosters(host, beat.roster_digest));
        actions
    }

    /// Returns whether a beat from `host`, which is not yet a neighbour, answers a join request of this
    /// node. The first beat counts as consent to the request.
    fn complete_join(&mut self, now: Moment, host: &Host) -> bool {
        let pending = self.pending_parent.as_ref();
        let parent = pending
            .filter(|pending| pending.contact.host == *host)
            .cloned();
        if let Some(pending) = parent {
            self.pending_parent = None;
            self.add_neighbour(
                now,
                pending.contact,
                Relation::Parent,
                Revision::default(),
                false,
            );
            return true;
        }
        let Some(relation) = self.pending_sibling_relation(host) else {
            return false;
        };
        let pending = self
            .pending_siblings
            .values()
            .find(|pending| pending.contact.host == *host)
            .cloned();
        if let Some(pending) = pending {
            self.pending_siblings.remove(&pending.contact.domain);
            self.unreachable.remove(&pending.contact.domain);
            self.add_neighbour(now, pending.contact, relation, Revision::default(), false);
        }
        true
    }

    /// Sends the children lists of all descendants to a new parent.
    fn send_descendants(&mut self) -> Vec<Action> {
        self.sent_children.clear();
        let lists: Vec<Frame> = self
            .failure_detector
            .child_lists()
            .map(|(parent, hosts)| Frame::Children(parent.clone(), hosts.to_vec()))
            .collect();
        lists
            .iter()
            .flat_map(|frame| self.send_to_parent(frame))
            .collect()
    }

    /// Requests a comparison of the rosters if they have differed for several beats. Only one of the
    /// two neighbours does so, to avoid a duplicate exchange.
    fn compare_rosters(&mut self, host: &Host, digest: u64) -> Option<Action> {
        let is_same = digest == self.roster.digest();
        let me = &self.contact.host;
        let neighbour = self.neighbours.get_mut(host)?;
        if is_same {
            neighbour.differing_beats = 0;
            return None;
        }
        neighbour.differing_beats = neighbour.differing_beats.saturating_add(1);
        let initiates = match neighbour.relation {
            Relation::Child => false,
            Relation::Parent => true,
            Relation::RemoteRelay | Relation::RegionRelay => me < host,
        };
        if !initiates || (self.serving && neighbour.differing_beats < DIFFERING_BEATS_MAX) {
            return None;
        }
        neighbour.differing_beats = 0;
        Some(Action::Send(
            host.clone(),
            Frame::Digests(self.roster.domain_digests()),
        ))
    }
}

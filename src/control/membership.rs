//! Publishes the record of this node's upstream and forwards the records of other hosts. Rosters that
//! differ for a while, for example after a partition, are compared by digests so that only differing
//! parts are sent.

use {
    super::{Action, Control},
    crate::{
        member::{Offer, Record, State},
        spread::{RELAYS_PER_DOMAIN, Relation, Tree},
        types::{Domain, Host, Moment},
        wire::{Frame, Sync, Welcome},
    },
    std::{sync::Arc, time::Duration},
};

/// The upper bound on the number of hosts that another node may report for this failure domain.
const REPORTED_HOSTS_MAX: usize = 4096;

/// The largest number of records that a sync sends without a token of the bucket for large frames.
const UNMETERED_RECORDS_MAX: usize = 64;

const EXPIRE_INTERVAL: Duration = Duration::from_secs(30);

impl Control {
    pub(super) fn handle_announced(&mut self, now: Moment, offer: Offer) -> Vec<Action> {
        if self.own_record.offer.as_ref() == Some(&offer) && self.own_record.state == State::Ready {
            return Vec::new();
        }
        self.own_record.offer = Some(offer);
        self.own_record.state = State::Ready;
        self.publish_own_record(now)
    }

    pub(super) fn handle_draining(&mut self, now: Moment) -> Vec<Action> {
        if self.own_record.state == State::Draining {
            return Vec::new();
        }
        self.own_record.state = State::Draining;
        let mut actions = self.publish_own_record(now);
        actions.extend(self.maintain(now));
        actions
    }

    /// Removes expired records and idle backoff states.
    pub(super) fn remove_expired(&mut self, now: Moment) {
        if now.since(self.expiry_run_at) < EXPIRE_INTERVAL {
            return;
        }
        self.expiry_run_at = now;
        self.roster.expire(now);
        self.dial_backoffs
            .retain(|_, backoff| !backoff.is_idle(now));
        // By now the roster is complete and has the number of hosts itself.
        self.reported_hosts = 0;
    }

    fn publish_own_record(&mut self, now: Moment) -> Vec<Action> {
        self.own_record.sequence = self.own_record.sequence.saturating_add(1);
        self.merge(now, None, vec![Arc::new(self.own_record.clone())])
    }

    /// Merges records into the roster and forwards those that are new. Records of hosts that no longer
    /// take work are forwarded at once, the others in a batch with the next tick.
    pub(super) fn merge(
        &mut self,
        now: Moment,
        from: Option<&Host>,
        records: Vec<Arc<Record>>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut new_records = Vec::new();
        for record in records {
            if record.contact.host == self.contact.host && from.is_some() {
                actions.extend(self.refute(now, &record));
            } else if self.roster.merge(now, record.clone()) {
                self.clear_suspicion(&record);
                new_records.push(record);
            }
        }
        if new_records.is_empty() {
            return actions;
        }
        actions.push(Action::Membership(new_records.clone()));
        let (urgent, later): (Vec<_>, Vec<_>) = new_records
            .into_iter()
            .partition(|record| record.state != State::Ready);
        if !urgent.is_empty() {
            actions.extend(self.forward(from, &Frame::Members(urgent)));
        }
        if !later.is_empty() {
            self.pending_records.push((from.cloned(), later));
        }
        actions
    }

    /// Clears the suspicion of a host, as a new record of it in state ready shows that it is alive.
    fn clear_suspicion(&mut self, record: &Record) {
        if record.state == State::Ready && self.suspects.remove(&record.contact.host).is_some() {
            self.tree_version = None;
        }
    }

    /// Sends a frame to every neighbour that frames from `from` are forwarded to, or to all neighbours
    /// if the frame originates here.
    pub(super) fn forward(&self, from: Option<&Host>, frame: &Frame) -> Vec<Action> {
        let relation = from.and_then(|host| self.relation(host));
        self.neighbours
            .iter()
            .filter(|(host, neighbour)| {
                Some(*host) != from && neighbour.relation.receives_from(relation)
            })
            .map(|(host, _)| Action::Send(host.clone(), frame.clone()))
            .collect()
    }

    pub(super) fn relation(&self, host: &Host) -> Option<Relation> {
        self.neighbours
            .get(host)
            .map(|neighbour| neighbour.relation)
    }

    pub(super) fn send_pending_records(&mut self) -> Vec<Action> {
        let pending = std::mem::take(&mut self.pending_records);
        let mut actions = Vec::new();
        for (from, records) in pending {
            actions.extend(self.forward(from.as_ref(), &Frame::Members(records)));
        }
        actions
    }

    /// Overrides a record of this host that came from another node, by publishing one of higher order.
    fn refute(&mut self, now: Moment, record: &Record) -> Vec<Action> {
        if record.precedence() <= self.own_record.precedence() {
            return Vec::new();
        }
        if record.incarnation > self.own_record.incarnation {
            self.own_record.incarnation = record.incarnation + Duration::from_micros(1);
        } else {
            self.own_record.sequence = record.sequence;
        }
        let mut actions = vec![Action::Count("member.refuted")];
        actions.extend(self.publish_own_record(now));
        actions
    }

    /// Sends a node that may know few others the relays and hubs of its own failure domain and the
    /// relays of each other one.
    pub(super) fn welcome_action(&self, host: &Host, domain: &Domain) -> Action {
        let records = self
            .roster
            .domains()
            .flat_map(|each| {
                let all = each == domain;
                self.first_records(each, if all { usize::MAX } else { RELAYS_PER_DOMAIN })
            })
            .collect();
        let hosts = self.roster.ready_contacts(domain).count();
        let welcome = Welcome {
            hosts: u32::try_from(hosts).unwrap_or(u32::MAX),
            records,
            revision: self.snapshot.revision,
            serving: self.serving,
        };
        Action::Send(host.clone(), Frame::Welcome(welcome))
    }

    fn first_records(&self, domain: &Domain, count: usize) -> Vec<Arc<Record>> {
        Tree::new(
            domain,
            self.spread.fanout,
            0,
            self.roster.ready_contacts(domain),
        )
        .relays_and_hubs()
        .iter()
        .take(count)
        .filter_map(|contact| self.roster.get(&contact.host).cloned())
        .collect()
    }

    pub(super) fn handle_welcome(
        &mut self,
        now: Moment,
        host: &Host,
        welcome: Welcome,
    ) -> Vec<Action> {
        self.record_revision(host, welcome.revision);
        self.welcome_count += 1;
        self.serving_welcomes += usize::from(welcome.serving);
        let hosts = usize::try_from(welcome.hosts).unwrap_or(0);
        self.reported_hosts = self.reported_hosts.max(hosts.min(REPORTED_HOSTS_MAX));
        self.tree_version = None;
        let mut actions = self.merge(now, Some(host), welcome.records);
        actions.extend(self.maintain(now));
        actions
    }

    pub(super) fn handle_digests(&self, host: &Host, theirs: &[(Domain, u64)]) -> Vec<Action> {
        let ours = self.roster.domain_digests();
        let unmatched = |side: &[(Domain, u64)], other: &[(Domain, u64)]| -> Vec<Domain> {
            side.iter()
                .filter(|entry| !other.contains(entry))
                .map(|(domain, _)| domain.clone())
                .collect()
        };
        let mut differing = unmatched(&ours, theirs);
        differing.extend(unmatched(theirs, &ours));
        differing.sort_unstable();
        differing.dedup();
        differing
            .into_iter()
            .map(|domain| Action::Send(host.clone(), self.sync_frame(domain, true)))
            .collect()
    }

    fn sync_frame(&self, domain: Domain, reply: bool) -> Frame {
        Frame::Sync(Sync {
            buckets: self.roster.bucket_digests(&domain),
            domain,
            reply,
        })
    }

    pub(super) fn handle_sync(&mut self, now: Moment, host: &Host, sync: &Sync) -> Vec<Action> {
        let mut actions = Vec::new();
        let records = self.roster.differing_records(&sync.domain, &sync.buckets);
        // The peer asks again after later beats, as the rosters still differ.
        if records.len() > UNMETERED_RECORDS_MAX && self.bucket.try_take(now).is_err() {
            return vec![Action::Count("spread.sync.busy")];
        }
        if !records.is_empty() {
            actions.push(Action::Send(host.clone(), Frame::Members(records)));
        }
        if sync.reply {
            let frame = self.sync_frame(sync.domain.clone(), false);
            actions.push(Action::Send(host.clone(), frame));
        }
        actions
    }
}

//! Publishes the record of this node's upstream and forwards the records of other hosts. Rosters that
//! differ for a while, for example after a partition, are compared by digests so that only
//! differing parts are sent.

use {
    super::{Action, Control},
    crate::{
        member::{Offer, Record, State},
        spread::{RELAYS, Tie, Tree},
        wire::{Frame, Sync, Welcome},
        world::{Domain, Host, Moment},
    },
    std::{sync::Arc, time::Duration},
};

/// The upper bound on the number of hosts that another node may report for this failure domain.
const HOSTS_MAX: usize = 4096;

/// The largest number of records that a sync sends without a token of the bucket for large frames.
const RECORDS_FREE: usize = 64;

const EXPIRE_INTERVAL: Duration = Duration::from_secs(30);

impl Control {
    pub(super) fn announced(&mut self, now: Moment, offer: Offer) -> Vec<Action> {
        if self.me.offer.as_ref() == Some(&offer) && self.me.state == State::Ready {
            return Vec::new();
        }
        self.me.offer = Some(offer);
        self.me.state = State::Ready;
        self.changed(now)
    }

    pub(super) fn draining(&mut self, now: Moment) -> Vec<Action> {
        if self.me.state == State::Leaving {
            return Vec::new();
        }
        self.me.state = State::Leaving;
        let mut actions = self.changed(now);
        actions.extend(self.maintain(now));
        actions
    }

    /// Removes expired records and idle backoff states.
    pub(super) fn expire(&mut self, now: Moment) {
        if now.since(self.expired_at) < EXPIRE_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.roster.expire(now);
        self.dials.retain(|_, backoff| !backoff.is_idle(now));
        // By now the roster is complete and has the number of hosts itself.
        self.hosts = 0;
    }

    fn changed(&mut self, now: Moment) -> Vec<Action> {
        self.me.sequence = self.me.sequence.saturating_add(1);
        self.merge(now, None, vec![Arc::new(self.me.clone())])
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
        let mut news = Vec::new();
        for record in records {
            if record.contact.host == self.contact.host && from.is_some() {
                actions.extend(self.refute(now, &record));
            } else if self.roster.merge(now, record.clone()) {
                self.trust(&record);
                news.push(record);
            }
        }
        if news.is_empty() {
            return actions;
        }
        actions.push(Action::Update(news.clone()));
        let (urgent, later): (Vec<_>, Vec<_>) = news
            .into_iter()
            .partition(|record| record.state != State::Ready);
        if !urgent.is_empty() {
            actions.extend(self.tell(from, &Frame::Members(urgent)));
        }
        if !later.is_empty() {
            self.news.push((from.cloned(), later));
        }
        actions
    }

    /// Clears the suspicion of a host, as a new record of it in state ready shows that it is alive.
    fn trust(&mut self, record: &Record) {
        if record.state == State::Ready && self.suspects.remove(&record.contact.host).is_some() {
            self.tree_version = None;
        }
    }

    /// Sends a frame to every neighbour that frames from `from` are forwarded to, or to all neighbours
    /// if the frame originates here.
    pub(super) fn tell(&self, from: Option<&Host>, frame: &Frame) -> Vec<Action> {
        let tie = from.and_then(|host| self.tie(host));
        self.neighbors
            .iter()
            .filter(|(host, neighbor)| Some(*host) != from && neighbor.tie.takes(tie))
            .map(|(host, _)| Action::Send(host.clone(), frame.clone()))
            .collect()
    }

    pub(super) fn tie(&self, host: &Host) -> Option<Tie> {
        self.neighbors.get(host).map(|neighbor| neighbor.tie)
    }

    pub(super) fn tell_news(&mut self) -> Vec<Action> {
        let news = std::mem::take(&mut self.news);
        let mut actions = Vec::new();
        for (from, records) in news {
            actions.extend(self.tell(from.as_ref(), &Frame::Members(records)));
        }
        actions
    }

    /// Overrides a record of this host that came from another node, by a higher order than its own.
    fn refute(&mut self, now: Moment, record: &Record) -> Vec<Action> {
        if record.order() <= self.me.order() {
            return Vec::new();
        }
        if record.incarnation > self.me.incarnation {
            self.me.incarnation = record.incarnation + Duration::from_micros(1);
        } else {
            self.me.sequence = record.sequence;
        }
        let mut actions = vec![Action::Count("member.refuted")];
        actions.extend(self.changed(now));
        actions
    }

    /// Sends a node that may know few others the relays and hubs of its own failure domain and the
    /// relays of each other one.
    pub(super) fn welcome(&self, host: &Host, domain: &Domain) -> Action {
        let records = self
            .roster
            .domains()
            .flat_map(|each| {
                let all = each == domain;
                self.first(each, if all { usize::MAX } else { RELAYS })
            })
            .collect();
        let hosts = self.roster.live(domain).count();
        let welcome = Welcome {
            hosts: u32::try_from(hosts).unwrap_or(u32::MAX),
            records,
            revision: self.snapshot.revision,
            serving: self.serving,
        };
        Action::Send(host.clone(), Frame::Welcome(welcome))
    }

    fn first(&self, domain: &Domain, count: usize) -> Vec<Arc<Record>> {
        Tree::new(domain, self.spread.fanout, 0, self.roster.live(domain))
            .front()
            .iter()
            .take(count)
            .filter_map(|contact| self.roster.get(&contact.host).cloned())
            .collect()
    }

    pub(super) fn welcomed(&mut self, now: Moment, host: &Host, welcome: Welcome) -> Vec<Action> {
        self.told(host, welcome.revision);
        self.welcomes += 1;
        self.informants += usize::from(welcome.serving);
        let hosts = usize::try_from(welcome.hosts).unwrap_or(0);
        self.hosts = self.hosts.max(hosts.min(HOSTS_MAX));
        self.tree_version = None;
        let mut actions = self.merge(now, Some(host), welcome.records);
        actions.extend(self.maintain(now));
        actions
    }

    pub(super) fn digests(&self, host: &Host, theirs: &[(Domain, u64)]) -> Vec<Action> {
        let ours = self.roster.digests();
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
            .map(|domain| Action::Send(host.clone(), self.sync(domain, true)))
            .collect()
    }

    fn sync(&self, domain: Domain, reply: bool) -> Frame {
        Frame::Sync(Sync {
            buckets: self.roster.buckets(&domain),
            domain,
            reply,
        })
    }

    pub(super) fn synced(&mut self, now: Moment, host: &Host, sync: &Sync) -> Vec<Action> {
        let mut actions = Vec::new();
        let records = self.roster.differing(&sync.domain, &sync.buckets);
        // The peer asks again after later beats, as the rosters still differ.
        if records.len() > RECORDS_FREE && self.bucket.take(now).is_err() {
            return vec![Action::Count("spread.sync.busy")];
        }
        if !records.is_empty() {
            actions.push(Action::Send(host.clone(), Frame::Members(records)));
        }
        if sync.reply {
            let frame = self.sync(sync.domain.clone(), false);
            actions.push(Action::Send(host.clone(), frame));
        }
        actions
    }
}

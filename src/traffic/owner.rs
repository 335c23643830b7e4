//! The owner of an idempotency key, which is the host that remembers the key. It is determined by
//! rendezvous hashing: the host with the highest hash of host and key among all hosts of the
//! service, whatever their version. A host that vanished without leaving still owns its keys for
//! some time, because it may only be separated by a network partition. See docs/design/requests.md.

use {
    crate::{
        member::{Record, State},
        types::{Host, Moment, Service},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long a host that vanished without leaving keeps its keys.
pub const VANISHED_TIMEOUT: Duration = Duration::from_secs(30 * 60);
/// The time within which every node has learned that a host has joined or left.
pub const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Whether a host owns its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// The host has owned its keys since this time.
    Since(Moment),
    /// The host left, and others have owned its keys since this time.
    Until(Moment),
    /// The host vanished at this time, and keeps its keys until [`VANISHED_TIMEOUT`] has passed.
    Vanished(Moment),
}

/// The owners of the idempotency keys of every service.
#[derive(Debug, Default)]
pub struct Owners(HashMap<Service, BTreeMap<Host, Status>>);

impl Owners {
    /// Updates the ownership of a host from its new record and the one before, if there was one.
    pub fn update(&mut self, now: Moment, before: Option<&Record>, record: &Record) {
        let host = &record.contact.host;
        let offered_now = offered_service(Some(record));
        let offered_before = offered_service(before);
        if let (Some(old), Some(new)) = (offered_before, offered_now)
            && old != new
        {
            self.end_ownership(now, old, host);
        }
        let Some(service) = offered_now.or(offered_before) else {
            return;
        };
        let hosts = self.0.entry(service.clone()).or_default();
        let previous = hosts.get(host).copied();
        let restarted = before.is_some_and(|before| before.incarnation != record.incarnation);
        let status = match (record.state, previous) {
            (State::Ready, Some(Status::Since(since))) if !restarted => Status::Since(since),
            (State::Ready, _) => Status::Since(now),
            (State::Draining | State::Gone, Some(Status::Until(until))) => Status::Until(until),
            (State::Gone, Some(Status::Vanished(at))) => Status::Vanished(at),
            (State::Gone, Some(Status::Since(_))) => Status::Vanished(now),
            (State::Draining, _) | (State::Gone, None) => Status::Until(now),
        };
        hosts.insert(host.clone(), status);
    }

    fn end_ownership(&mut self, now: Moment, service: &Service, host: &Host) {
        if let Some(hosts) = self.0.get_mut(service) {
            hosts.insert(host.clone(), Status::Until(now));
        }
    }

    /// Returns the owner of a key, or `None` if no host owns keys of the service.
    #[must_use]
    pub fn owner(&self, now: Moment, service: &Service, key: &str) -> Option<&Host> {
        self.0
            .get(service)?
            .iter()
            .filter(|(_, status)| is_current_owner(now, **status))
            .map(|(host, _)| host)
            .max_by_key(|host| score(host, key))
    }

    /// Returns the time since which a host has certainly been the only owner of a key, or `None` if
    /// it is not the owner. A request that was first sent earlier may have run elsewhere.
    #[must_use]
    pub fn sole_owner_since(
        &self,
        now: Moment,
        service: &Service,
        key: &str,
        host: &Host,
    ) -> Option<Moment> {
        if self.owner(now, service, key)? != host {
            return None;
        }
        let hosts = self.0.get(service)?;
        let own_score = score(host, key);
        let handovers = hosts
            .iter()
            .filter(|(other, _)| score(other, key) > own_score)
            .map(|(_, status)| handover_time(*status));
        let joined = match hosts.get(host)? {
            Status::Since(since) => *since + SETTLE_TIME,
            Status::Until(_) | Status::Vanished(_) => return None,
        };
        handovers.chain([joined]).max()
    }
}

fn offered_service(record: Option<&Record>) -> Option<&Service> {
    Some(&record?.offer.as_ref()?.service)
}

fn is_current_owner(now: Moment, status: Status) -> bool {
    match status {
        Status::Since(_) => true,
        Status::Until(_) => false,
        Status::Vanished(at) => now.since(at) < VANISHED_TIMEOUT,
    }
}

fn handover_time(status: Status) -> Moment {
    match status {
        Status::Since(since) => since,
        Status::Until(until) => until,
        Status::Vanished(at) => at + VANISHED_TIMEOUT,
    }
}

fn score(host: &Host, key: &str) -> (u64, u64) {
    let seed = xxh3_64_with_seed(host.as_str().as_bytes(), 0);
    (xxh3_64_with_seed(key.as_bytes(), seed), seed)
}

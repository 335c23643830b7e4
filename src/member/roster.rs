//! The hosts that a node knows of, with digests by which two nodes find where they differ.

use {
    super::{Contact, Record, State},
    crate::world::{Domain, Host, Moment},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// The parts that a failure domain's records are compared in.
pub const BUCKETS: usize = 32;

/// How long a host that has left is remembered, so that late news does not bring it back.
pub const TOMBSTONE: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Held {
    at: Moment,
    record: Arc<Record>,
}

#[derive(Debug, Default)]
struct Shard {
    buckets: [u64; BUCKETS],
    hosts: BTreeSet<Host>,
    version: u64,
}

/// Every host that a node knows of.
#[derive(Debug, Default)]
pub struct Roster {
    digest: u64,
    records: BTreeMap<Host, Held>,
    shards: BTreeMap<Domain, Shard>,
}

fn bucket(host: &Host) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

/// Hashes what decides between two records of a host; one that has left counts as none.
fn hash(record: &Record) -> u64 {
    if record.state == State::Gone {
        return 0;
    }
    let (incarnation, sequence) = record.order();
    let seed = incarnation.0.rotate_left(20) ^ sequence;
    xxhash_rust::xxh3::xxh3_64_with_seed(record.contact.host.as_str().as_bytes(), seed)
}

impl Roster {
    /// Takes a record in and says whether it was news.
    pub fn merge(&mut self, now: Moment, record: Arc<Record>) -> bool {
        let host = record.contact.host.clone();
        let held = self.records.get(&host).map(|held| held.record.clone());
        if held
            .as_ref()
            .is_some_and(|held| record.order() <= held.order())
        {
            return false;
        }
        if let Some(held) = held {
            self.forget(&held);
        }
        let shard = self
            .shards
            .entry(record.contact.domain.clone())
            .or_default();
        let sum = hash(&record);
        let index = bucket(&host);
        shard.buckets[index] = shard.buckets[index].wrapping_add(sum);
        shard.version += 1;
        shard.hosts.insert(host.clone());
        self.digest = self.digest.wrapping_add(sum);
        self.records.insert(host, Held { at: now, record });
        true
    }

    fn forget(&mut self, record: &Record) {
        let host = &record.contact.host;
        let sum = hash(record);
        self.digest = self.digest.wrapping_sub(sum);
        self.records.remove(host);
        if let Some(shard) = self.shards.get_mut(&record.contact.domain) {
            let index = bucket(host);
            shard.buckets[index] = shard.buckets[index].wrapping_sub(sum);
            shard.hosts.remove(host);
            shard.version += 1;
        }
    }

    /// Forgets hosts that left long ago.
    pub fn expire(&mut self, now: Moment) {
        let old: Vec<Arc<Record>> = self
            .records
            .values()
            .filter(|held| held.record.state == State::Gone && now.since(held.at) > TOMBSTONE)
            .map(|held| held.record.clone())
            .collect();
        for record in old {
            self.forget(&record);
        }
    }

    /// Looks a host up.
    #[must_use]
    pub fn get(&self, host: &Host) -> Option<&Arc<Record>> {
        self.records.get(host).map(|held| &held.record)
    }

    /// Lists every record.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Record>> {
        self.records.values().map(|held| &held.record)
    }

    /// Lists the records of a failure domain.
    pub fn within(&self, domain: &Domain) -> impl Iterator<Item = &Arc<Record>> {
        self.shards
            .get(domain)
            .into_iter()
            .flat_map(|shard| &shard.hosts)
            .filter_map(|host| self.get(host))
    }

    /// Lists where the hosts of a failure domain are that take part in it: neither leaving nor gone.
    pub fn live(&self, domain: &Domain) -> impl Iterator<Item = &Contact> {
        self.within(domain)
            .filter(|record| record.state == State::Ready)
            .map(|record| &record.contact)
    }

    /// Lists the failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.shards.keys()
    }

    /// Counts the changes of a failure domain's records.
    #[must_use]
    pub fn version(&self, domain: &Domain) -> u64 {
        self.shards.get(domain).map_or(0, |shard| shard.version)
    }

    /// Gives the digest of every record.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives the digest of each failure domain's records.
    #[must_use]
    pub fn digests(&self) -> Vec<(Domain, u64)> {
        self.shards
            .iter()
            .map(|(domain, shard)| (domain.clone(), sum(&shard.buckets)))
            .collect()
    }

    /// Gives the digests of the parts of a failure domain's records.
    #[must_use]
    pub fn buckets(&self, domain: &Domain) -> Vec<u64> {
        self.shards
            .get(domain)
            .map_or([0; BUCKETS], |shard| shard.buckets)
            .to_vec()
    }

    /// Lists a failure domain's records in the parts whose digest differs from `theirs`.
    #[must_use]
    pub fn differing(&self, domain: &Domain, theirs: &[u64]) -> Vec<Arc<Record>> {
        let ours = self.buckets(domain);
        self.within(domain)
            .filter(|record| {
                let index = bucket(&record.contact.host);
                theirs.get(index) != Some(&ours[index])
            })
            .cloned()
            .collect()
    }
}

fn sum(buckets: &[u64]) -> u64 {
    buckets.iter().copied().fold(0, u64::wrapping_add)
}

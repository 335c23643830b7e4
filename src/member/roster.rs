//! Records of all hosts that a node knows, with digests by which two nodes find the records in which
//! they differ.

use {
    super::{Contact, Record, State},
    crate::types::{Domain, Host, Moment},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Number of buckets into which a failure domain's records are hashed for the comparison.
pub const BUCKET_COUNT: usize = 32;

/// Time for which the record of a host that has left is kept, so that a late update does not restore
/// the host.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Entry {
    merged_at: Moment,
    record: Arc<Record>,
}

#[derive(Debug, Default)]
struct Shard {
    buckets: [u64; BUCKET_COUNT],
    hosts: BTreeSet<Host>,
    version: u64,
}

/// Records of all hosts that a node knows.
#[derive(Debug, Default)]
pub struct Roster {
    digest: u64,
    records: BTreeMap<Host, Entry>,
    shards: BTreeMap<Domain, Shard>,
}

fn bucket_index(host: &Host) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or(0)
}

/// Returns the hash of the record's host and order, or 0 for a host that has left. Nodes that keep
/// its record for different times thus have equal digests.
fn record_hash(record: &Record) -> u64 {
    if record.state == State::Gone {
        return 0;
    }
    let (incarnation, sequence) = record.precedence();
    let seed = incarnation.0.rotate_left(20) ^ sequence;
    xxhash_rust::xxh3::xxh3_64_with_seed(record.contact.host.as_str().as_bytes(), seed)
}

impl Roster {
    /// Merges a record, and returns whether it is newer than the known one of its host.
    pub fn merge(&mut self, now: Moment, record: Arc<Record>) -> bool {
        let host = record.contact.host.clone();
        let known = self.records.get(&host).map(|entry| entry.record.clone());
        if known
            .as_ref()
            .is_some_and(|known| record.precedence() <= known.precedence())
        {
            return false;
        }
        if let Some(known) = known {
            self.remove(&known);
        }
        let shard = self
            .shards
            .entry(record.contact.domain.clone())
            .or_default();
        let hash = record_hash(&record);
        let index = bucket_index(&host);
        shard.buckets[index] = shard.buckets[index].wrapping_add(hash);
        shard.version += 1;
        shard.hosts.insert(host.clone());
        self.digest = self.digest.wrapping_add(hash);
        self.records.insert(
            host,
            Entry {
                merged_at: now,
                record,
            },
        );
        true
    }

    fn remove(&mut self, record: &Record) {
        let host = &record.contact.host;
        let hash = record_hash(record);
        self.digest = self.digest.wrapping_sub(hash);
        self.records.remove(host);
        if let Some(shard) = self.shards.get_mut(&record.contact.domain) {
            let index = bucket_index(host);
            shard.buckets[index] = shard.buckets[index].wrapping_sub(hash);
            shard.hosts.remove(host);
            shard.version += 1;
        }
    }

    /// Removes the records of hosts that left more than [`TOMBSTONE_RETENTION`] ago.
    pub fn expire(&mut self, now: Moment) {
        let expired: Vec<Arc<Record>> = self
            .records
            .values()
            .filter(|entry| {
                entry.record.state == State::Gone
                    && now.since(entry.merged_at) > TOMBSTONE_RETENTION
            })
            .map(|entry| entry.record.clone())
            .collect();
        for record in expired {
            self.remove(&record);
        }
    }

    /// Returns the record of a host.
    #[must_use]
    pub fn get(&self, host: &Host) -> Option<&Arc<Record>> {
        self.records.get(host).map(|entry| &entry.record)
    }

    /// Returns all records, including those of hosts that have left.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Record>> {
        self.records.values().map(|entry| &entry.record)
    }

    /// Returns the records of a failure domain, including those of hosts that have left.
    pub fn domain_records(&self, domain: &Domain) -> impl Iterator<Item = &Arc<Record>> {
        self.shards
            .get(domain)
            .into_iter()
            .flat_map(|shard| &shard.hosts)
            .filter_map(|host| self.get(host))
    }

    /// Returns the contacts of the hosts in a failure domain that are ready, neither leaving nor gone.
    pub fn ready_contacts(&self, domain: &Domain) -> impl Iterator<Item = &Contact> {
        self.domain_records(domain)
            .filter(|record| record.state == State::Ready)
            .map(|record| &record.contact)
    }

    /// Returns the failure domains that have had a record.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.shards.keys()
    }

    /// Returns the number of changes to a failure domain's records so far.
    #[must_use]
    pub fn domain_version(&self, domain: &Domain) -> u64 {
        self.shards.get(domain).map_or(0, |shard| shard.version)
    }

    /// Returns the digest of all records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each failure domain's records.
    #[must_use]
    pub fn domain_digests(&self) -> Vec<(Domain, u64)> {
        self.shards
            .iter()
            .map(|(domain, shard)| (domain.clone(), wrapping_sum(&shard.buckets)))
            .collect()
    }

    /// Returns the digests of the [`BUCKET_COUNT`] buckets of a failure domain.
    #[must_use]
    pub fn bucket_digests(&self, domain: &Domain) -> Vec<u64> {
        self.shards
            .get(domain)
            .map_or([0; BUCKET_COUNT], |shard| shard.buckets)
            .to_vec()
    }

    /// Returns a failure domain's records in the buckets whose digest differs from that in `theirs`.
    #[must_use]
    pub fn differing_records(&self, domain: &Domain, theirs: &[u64]) -> Vec<Arc<Record>> {
        let ours = self.bucket_digests(domain);
        self.domain_records(domain)
            .filter(|record| {
                let index = bucket_index(&record.contact.host);
                theirs.get(index) != Some(&ours[index])
            })
            .cloned()
            .collect()
    }
}

fn wrapping_sum(buckets: &[u64]) -> u64 {
    buckets.iter().copied().fold(0, u64::wrapping_add)
}

//! Detection of lost hosts in a failure domain, at its first relay. Every node sends the list of its
//! children up the tree, so that a host is found missing even if its parent is lost with it.

use {
    super::{Record, State},
    crate::types::{Host, Moment, Service},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time after which a missing host counts as lost.
pub const LOSS_TIMEOUT: Duration = Duration::from_secs(5);

/// Period in which losses are collected, to tell the loss of single hosts from a mass loss. A host
/// counts towards a mass loss this long before it counts as lost.
pub const MASS_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// Time for which hosts that are missing in a mass loss are kept.
pub const MASS_LOSS_TIMEOUT: Duration = Duration::from_secs(600);

/// Interval at which a node repeats the list of its children.
pub const CHILD_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a node's list of children is valid without renewal.
const CHILD_LIST_LEASE: Duration = Duration::from_secs(25);

#[derive(Debug)]
struct ChildList {
    reported_at: Moment,
    hosts: Vec<Host>,
}

/// Children reported by each node of a failure domain, and the hosts that are missing from the tree.
#[derive(Debug, Default)]
pub struct FailureDetector {
    child_lists: BTreeMap<Host, ChildList>,
    missing_since: BTreeMap<Host, Moment>,
}

impl FailureDetector {
    /// Records the children that a node has reported, and removes outdated lists.
    pub fn record_children(&mut self, now: Moment, parent: Host, hosts: Vec<Host>) {
        self.child_lists
            .retain(|_, list| now.since(list.reported_at) < CHILD_LIST_LEASE);
        self.child_lists.insert(
            parent,
            ChildList {
                reported_at: now,
                hosts,
            },
        );
    }

    /// Restarts the time of missing hosts. Called when this node becomes the first relay.
    pub fn reset(&mut self) {
        self.missing_since.clear();
    }

    /// Returns the hosts that are missing, whether they count as lost or not yet.
    pub fn missing(&self) -> impl Iterator<Item = &Host> {
        self.missing_since.keys()
    }

    /// Returns each reporting node with its children.
    pub fn child_lists(&self) -> impl Iterator<Item = (&Host, &[Host])> {
        self.child_lists
            .iter()
            .map(|(parent, list)| (parent, list.hosts.as_slice()))
    }

    /// Returns the records of the hosts that are lost by now. A host is missing if `root` does not
    /// reach it through the reported lists of children. If more than half of a service's hosts are
    /// missing together, contact was probably lost and not the hosts. Those that are ready are then
    /// kept for [`MASS_LOSS_TIMEOUT`], and the outcomes of requests decide whether they are used.
    pub fn detect_lost<'a>(
        &mut self,
        now: Moment,
        root: &Host,
        records: impl Iterator<Item = &'a Arc<Record>>,
    ) -> Vec<Arc<Record>> {
        let reachable = self.reachable(root);
        let live: Vec<&Arc<Record>> = records
            .filter(|record| record.state != State::Gone)
            .collect();
        let missing: BTreeSet<&Host> = live
            .iter()
            .map(|record| &record.contact.host)
            .filter(|host| !reachable.contains(*host))
            .collect();
        self.missing_since.retain(|host, _| missing.contains(host));
        for host in missing {
            self.missing_since.entry(host.clone()).or_insert(now);
        }
        self.select_lost(now, &live)
    }

    fn select_lost(&self, now: Moment, live: &[&Arc<Record>]) -> Vec<Arc<Record>> {
        let is_missing_for = |record: &Record, min_time: Duration| {
            self.missing_since
                .get(&record.contact.host)
                .is_some_and(|since| now.since(*since) >= min_time)
        };
        let mut counts: BTreeMap<Option<&Service>, (usize, usize)> = BTreeMap::new();
        for record in live {
            let (total, missing) = counts.entry(service(record)).or_default();
            *total += 1;
            *missing += usize::from(is_missing_for(
                record,
                LOSS_TIMEOUT.saturating_sub(MASS_LOSS_WINDOW),
            ));
        }
        live.iter()
            .filter(|record| is_missing_for(record, LOSS_TIMEOUT))
            .filter(|record| {
                let (total, missing) = counts[&service(record)];
                let is_serving = record.offer.is_some() && record.state == State::Ready;
                !is_serving || missing * 2 <= total || is_missing_for(record, MASS_LOSS_TIMEOUT)
            })
            .map(|record| Arc::clone(record))
            .collect()
    }

    fn reachable(&self, root: &Host) -> BTreeSet<Host> {
        let mut reachable = BTreeSet::from([root.clone()]);
        let mut to_visit = vec![root];
        while let Some(host) = to_visit.pop() {
            let reported = self.child_lists.get(host);
            for child in reported.into_iter().flat_map(|list| &list.hosts) {
                if reachable.insert(child.clone()) {
                    to_visit.push(child);
                }
            }
        }
        reachable
    }
}

fn service(record: &Record) -> Option<&Service> {
    record.offer.as_ref().map(|offer| &offer.service)
}

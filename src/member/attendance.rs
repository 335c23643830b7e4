//! Detection of lost hosts in a failure domain, at its first relay. Every node sends the list of its
//! children up the tree, so that a host is found missing even if its parent is lost with it.

use {
    super::{Record, State},
    crate::world::{Host, Moment, Service},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time after which a missing host counts as lost.
pub const LAPSE: Duration = Duration::from_secs(5);

/// Period in which losses are collected, to tell the loss of single hosts from a mass loss. A host
/// counts towards a mass loss this long before it counts as lost.
pub const GATHER: Duration = Duration::from_secs(1);

/// Time for which hosts that are missing in a mass loss are kept.
pub const KEEP: Duration = Duration::from_secs(600);

/// Interval at which a node repeats the list of its children.
pub const REPEAT: Duration = Duration::from_secs(10);

/// Time for which a node's list of children is valid without renewal.
const NAMES_LEASE: Duration = Duration::from_secs(25);

#[derive(Debug)]
struct Names {
    at: Moment,
    hosts: Vec<Host>,
}

/// Children reported by each node of a failure domain, and the hosts that are missing from the tree.
#[derive(Debug, Default)]
pub struct Attendance {
    children: BTreeMap<Host, Names>,
    missing: BTreeMap<Host, Moment>,
}

impl Attendance {
    /// Records the children that a node has reported, and removes outdated lists.
    pub fn note(&mut self, now: Moment, parent: Host, hosts: Vec<Host>) {
        self.children
            .retain(|_, names| now.since(names.at) < NAMES_LEASE);
        self.children.insert(parent, Names { at: now, hosts });
    }

    /// Restarts the time of missing hosts. Called when this node becomes the first relay.
    pub fn begin(&mut self) {
        self.missing.clear();
    }

    /// Returns the hosts that are missing, whether they count as lost or not yet.
    pub fn missing(&self) -> impl Iterator<Item = &Host> {
        self.missing.keys()
    }

    /// Returns each reporting node with its children.
    pub fn lists(&self) -> impl Iterator<Item = (&Host, &[Host])> {
        self.children
            .iter()
            .map(|(parent, names)| (parent, names.hosts.as_slice()))
    }

    /// Returns the records of the hosts that are lost by now. A host is missing if `root` does not
    /// reach it through the reported lists of children. If more than half of a service's hosts are
    /// missing together, contact was probably lost and not the hosts. Those that are ready are then
    /// kept for [`KEEP`], and the outcomes of requests decide whether they are used.
    pub fn lost<'a>(
        &mut self,
        now: Moment,
        root: &Host,
        records: impl Iterator<Item = &'a Arc<Record>>,
    ) -> Vec<Arc<Record>> {
        let present = self.present(root);
        let live: Vec<&Arc<Record>> = records
            .filter(|record| record.state != State::Gone)
            .collect();
        let absent: BTreeSet<&Host> = live
            .iter()
            .map(|record| &record.contact.host)
            .filter(|host| !present.contains(*host))
            .collect();
        self.missing.retain(|host, _| absent.contains(host));
        for host in absent {
            self.missing.entry(host.clone()).or_insert(now);
        }
        self.judge(now, &live)
    }

    fn judge(&self, now: Moment, live: &[&Arc<Record>]) -> Vec<Arc<Record>> {
        let missing = |record: &Record, least: Duration| {
            self.missing
                .get(&record.contact.host)
                .is_some_and(|since| now.since(*since) >= least)
        };
        let mut sums: BTreeMap<Option<&Service>, (usize, usize)> = BTreeMap::new();
        for record in live {
            let (all, lost) = sums.entry(service(record)).or_default();
            *all += 1;
            *lost += usize::from(missing(record, LAPSE.saturating_sub(GATHER)));
        }
        live.iter()
            .filter(|record| missing(record, LAPSE))
            .filter(|record| {
                let (all, lost) = sums[&service(record)];
                let kept = record.offer.is_some() && record.state == State::Ready;
                !kept || lost * 2 <= all || missing(record, KEEP)
            })
            .map(|record| Arc::clone(record))
            .collect()
    }

    fn present(&self, root: &Host) -> BTreeSet<Host> {
        let mut present = BTreeSet::from([root.clone()]);
        let mut next = vec![root];
        while let Some(host) = next.pop() {
            let named = self.children.get(host);
            for child in named.into_iter().flat_map(|names| &names.hosts) {
                if present.insert(child.clone()) {
                    next.push(child);
                }
            }
        }
        present
    }
}

fn service(record: &Record) -> Option<&Service> {
    record.offer.as_ref().map(|offer| &offer.service)
}

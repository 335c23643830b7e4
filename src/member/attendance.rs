//! Who of a failure domain's hosts is there, as its first relay sees it: every node sends the names
//! of its children up, so that a host is missed even when its parent is lost with it.

use {
    super::{Record, State},
    crate::world::{Host, Moment, Service},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// How long a host may be missing before it counts as lost.
pub const LAPSE: Duration = Duration::from_secs(5);

/// How long losses are gathered before they are judged together.
pub const GATHER: Duration = Duration::from_secs(1);

/// How long hosts that were lost together are kept.
pub const KEEP: Duration = Duration::from_secs(600);

/// How often a node repeats the names of its children.
pub const REPEAT: Duration = Duration::from_secs(10);

/// How long the names that a node gave count.
const NAMES_LEASE: Duration = Duration::from_secs(25);

#[derive(Debug)]
struct Names {
    at: Moment,
    hosts: Vec<Host>,
}

/// The children that each node of a failure domain names.
#[derive(Debug, Default)]
pub struct Attendance {
    children: BTreeMap<Host, Names>,
    missing: BTreeMap<Host, Moment>,
}

impl Attendance {
    /// Notes the children that a node names.
    pub fn note(&mut self, now: Moment, parent: Host, hosts: Vec<Host>) {
        self.children
            .retain(|_, names| now.since(names.at) < NAMES_LEASE);
        self.children.insert(parent, Names { at: now, hosts });
    }

    /// Begins to watch: who is missing is missing from now on.
    pub fn begin(&mut self) {
        self.missing.clear();
    }

    /// Lists the hosts that are missing, lost or not.
    pub fn missing(&self) -> impl Iterator<Item = &Host> {
        self.missing.keys()
    }

    /// Lists the children that each node names.
    pub fn lists(&self) -> impl Iterator<Item = (&Host, &[Host])> {
        self.children
            .iter()
            .map(|(parent, names)| (parent, names.hosts.as_slice()))
    }

    /// Gives the hosts that are lost by now. A host is there if it is reached from `root` through the
    /// names that parents gave. If more than half of a service's hosts are lost together, contact was
    /// lost and not they: they are kept, and outcomes judge them.
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

//! Decides where a request goes. It has no clock, socket or thread: the daemon, the tests and the
//! benches drive it. See docs/requests.md.

use {
    crate::{
        member::{Record, State},
        refusal::Reason,
        resource::{Route, Spec},
        snapshot::Snapshot,
        world::{Domain, Host, Region, Service, Version},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc},
};

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The host whose upstream runs it.
    pub host: Host,
    /// The version that was chosen.
    pub version: Version,
}

/// The state that a node routes requests by.
pub struct Traffic {
    domain: Domain,
    records: BTreeMap<Host, Record>,
    region: Region,
    rng: StdRng,
    snapshot: Arc<Snapshot>,
}

impl Traffic {
    /// Begins without a configuration; nothing is served until one is installed.
    #[must_use]
    pub fn new(domain: Domain, region: Region, seed: u64) -> Self {
        Self {
            domain,
            records: BTreeMap::new(),
            region,
            rng: StdRng::seed_from_u64(seed),
            snapshot: Arc::default(),
        }
    }

    /// Takes a configuration over.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
    }

    /// Takes changes of the membership over.
    pub fn update(&mut self, records: Vec<Record>) {
        for record in records {
            self.records.insert(record.contact.host.clone(), record);
        }
    }

    /// Looks a host up.
    #[must_use]
    pub fn record(&self, host: &Host) -> Option<&Record> {
        self.records.get(host)
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    /// Gives the reason if there is no route or no endpoint; the request has then not run.
    pub fn choose(&mut self, service: &Service, path: &str) -> Result<Choice, Reason> {
        let route = self.route(service, path).ok_or(Reason::NoRoute)?.clone();
        let version = self.version(&route).ok_or(Reason::NoRoute)?;
        let hosts = self.endpoints(&version);
        let picked = hosts.get(self.rng.random_range(0..hosts.len().max(1)));
        let host = picked.cloned().ok_or(Reason::NoEndpoint)?;
        Ok(Choice { host, version })
    }

    fn route(&self, service: &Service, path: &str) -> Option<&Route> {
        self.snapshot
            .resources
            .values()
            .filter_map(|resource| match &resource.spec {
                Spec::Route(route) => Some(route),
                _ => None,
            })
            .filter(|route| route.service == *service && path.starts_with(&route.path))
            .max_by_key(|route| route.path.len())
    }

    fn version(&mut self, route: &Route) -> Option<Version> {
        let mut point = self.rng.random_range(0..1000);
        for (version, share) in &route.shares {
            if point < share.0 {
                return Some(version.clone());
            }
            point -= share.0;
        }
        None
    }

    fn endpoints(&self, version: &Version) -> Vec<Host> {
        let ready: Vec<&Record> = self
            .records
            .values()
            .filter(|record| record.state == State::Ready)
            .filter(|record| {
                record
                    .offer
                    .as_ref()
                    .is_some_and(|offer| offer.version == *version)
            })
            .collect();
        let within = |near: &dyn Fn(&Record) -> bool| -> Vec<Host> {
            ready
                .iter()
                .filter(|record| near(record))
                .map(|record| record.contact.host.clone())
                .collect()
        };
        let own = within(&|record| record.contact.domain == self.domain);
        if !own.is_empty() {
            return own;
        }
        let region = within(&|record| record.contact.region == self.region);
        if !region.is_empty() {
            return region;
        }
        within(&|_| true)
    }
}

//! Decides where a request goes. It has no clock, socket or thread: the daemon, the tests and the
//! benches drive it. See docs/design/requests.md.

use {
    crate::{
        member::{Record, State},
        refusal::Reason,
        snapshot::Snapshot,
        world::{Domain, Host, Moment, Name, Region, Service, Version},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc},
};

pub mod outcome;
pub mod route;

pub use {
    outcome::Outcome,
    route::{Ramp, Route},
};

/// Where a request is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// When it was chosen.
    pub at: Moment,
    /// The host whose upstream runs it.
    pub host: Host,
    /// The route that was found.
    pub route: Arc<Route>,
    /// The version that was chosen.
    pub version: Version,
}

/// The state that a node routes requests by.
pub struct Traffic {
    domain: Domain,
    outcomes: outcome::Log,
    ramps: BTreeMap<Name, Ramp>,
    records: BTreeMap<Host, Record>,
    region: Region,
    rng: StdRng,
    routes: route::Index,
    snapshot: Arc<Snapshot>,
}

impl Traffic {
    /// Begins without a configuration; nothing is served until one is installed.
    #[must_use]
    pub fn new(domain: Domain, region: Region, seed: u64) -> Self {
        Self {
            domain,
            outcomes: outcome::Log::default(),
            ramps: BTreeMap::new(),
            records: BTreeMap::new(),
            region,
            rng: StdRng::seed_from_u64(seed),
            routes: route::Index::default(),
            snapshot: Arc::default(),
        }
    }

    /// Takes a configuration over.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.routes = route::Index::new(&snapshot, &self.ramps);
        self.snapshot = snapshot;
    }

    /// Takes the shares of the running rollouts over, by the rollouts' names. They override what the
    /// routes declare for the two versions of each.
    pub fn ramp(&mut self, ramps: BTreeMap<Name, Ramp>) {
        if ramps == self.ramps {
            return;
        }
        self.routes = route::Index::new(&self.snapshot, &ramps);
        self.ramps = ramps;
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

    /// Chooses an upstream for the request with an id.
    ///
    /// # Errors
    /// Gives the reason if there is no route or no endpoint; the request has then not run.
    pub fn choose(
        &mut self,
        now: Moment,
        service: &Service,
        path: &str,
        id: &str,
    ) -> Result<Choice, Reason> {
        let route = self.routes.find(service, path).ok_or(Reason::NoRoute)?;
        let route = route.clone();
        let version = route.version(id).ok_or(Reason::NoRoute)?.clone();
        let hosts = self.endpoints(&version);
        let picked = hosts.get(self.rng.random_range(0..hosts.len().max(1)));
        let host = picked.cloned().ok_or(Reason::NoEndpoint)?;
        Ok(Choice {
            at: now,
            host,
            route,
            version,
        })
    }

    /// Takes in how the attempt at a choice ended.
    pub fn finish(&mut self, now: Moment, choice: &Choice, kind: outcome::Kind) {
        self.outcomes.push(Outcome {
            at: now,
            host: choice.host.clone(),
            kind,
            latency: now.since(choice.at),
            route: choice.route.name.clone(),
            version: choice.version.clone(),
        });
    }

    /// Takes out every outcome since the last call, oldest first; the judge of rollouts calls this.
    pub fn outcomes(&mut self) -> Vec<Outcome> {
        self.outcomes.drain()
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

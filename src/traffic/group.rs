//! The endpoints of one version, grouped by distance, and the choice among them. An endpoint that
//! fails while its peers do not is ejected, up to a third of the group.

use {
    super::{
        endpoint::{Endpoint, Id, Policy},
        spill::{Spill, Tier, Utilisation},
    },
    crate::world::{Host, Moment},
    rand::{Rng, rngs::StdRng},
    slotmap::SlotMap,
};

/// At most one in this many endpoints of a group is ejected at a time.
const EJECTED_PART: usize = 3;
/// The number of random draws before all endpoints are searched for a usable one.
const DRAWS: usize = 8;

/// The inputs for the choice of an endpoint.
pub struct Spread<'a> {
    /// The hosts that earlier attempts at the request were sent to.
    pub avoid: &'a [Host],
    /// The endpoints of all groups.
    pub endpoints: &'a SlotMap<Id, Endpoint>,
    /// The current time.
    pub now: Moment,
    /// The policy by which endpoints are compared.
    pub policy: Policy,
}

impl Spread<'_> {
    fn untried(&self, id: Id) -> bool {
        !self.avoid.contains(&self.endpoints[id].host)
    }

    fn usable(&self, id: Id) -> bool {
        self.endpoints[id].usable(self.now) && self.untried(id)
    }

    fn better(&self, one: Id, other: Id) -> Id {
        let cost = |id: Id| self.endpoints[id].cost(self.now);
        if cost(other) < cost(one) { other } else { one }
    }
}

/// The endpoints of one version.
#[derive(Debug, Default)]
pub struct Group {
    next: usize,
    spill: Spill,
    tiers: [Vec<Id>; 3],
}

impl Group {
    /// Adds an endpoint.
    pub fn add(&mut self, tier: Tier, id: Id) {
        self.tiers[tier as usize].push(id);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: Id) {
        for tier in &mut self.tiers {
            tier.retain(|held| *held != id);
        }
    }

    /// Returns the share of the traffic that crosses the slow link, from 0 to 1.
    pub fn remote(&self) -> f64 {
        self.spill.remote()
    }

    /// Chooses an endpoint, or returns `None` if the request was tried at all of them. An endpoint
    /// that is backing off or ejected is chosen only if there is no other.
    pub fn choose(&mut self, spread: &Spread, rng: &mut StdRng) -> Option<(Tier, Id)> {
        if self.spill.due(spread.now) {
            let tiers = Tier::ALL.map(|tier| self.utilisation(tier, spread));
            self.spill.step(spread.now, tiers);
        }
        let first = self.spill.tier(rng.random());
        let nearest = Tier::ALL.into_iter().filter(|tier| *tier != first);
        let order = std::iter::once(first).chain(nearest);
        for tier in order.clone() {
            if let Some(id) = self.pick(tier, spread, rng) {
                return Some((tier, id));
            }
        }
        order
            .flat_map(|tier| self.tiers[tier as usize].iter().map(move |id| (tier, *id)))
            .find(|(_, id)| spread.untried(*id))
    }

    fn pick(&mut self, tier: Tier, spread: &Spread, rng: &mut StdRng) -> Option<Id> {
        let ids = &self.tiers[tier as usize];
        match spread.policy {
            Policy::LeastReported => ids
                .iter()
                .copied()
                .filter(|id| spread.usable(*id))
                .min_by_key(|id| spread.endpoints[*id].reported()),
            Policy::Random => draw(ids, spread, rng),
            Policy::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                let usable = |id: &&Id| spread.usable(**id);
                let turns = ids.iter().cycle().skip(self.next % ids.len().max(1));
                turns.take(ids.len()).find(usable).copied()
            }
            Policy::TwoChoices => {
                let one = draw(ids, spread, rng)?;
                let mut others = (0..DRAWS).filter_map(|_| draw(ids, spread, rng));
                let other = others.find(|other| *other != one).unwrap_or(one);
                Some(spread.better(one, other))
            }
        }
    }

    /// Returns whether there is an endpoint that the request has not been tried at.
    pub fn untried(&self, spread: &Spread) -> bool {
        let mut all = self.tiers.iter().flatten();
        all.any(|id| spread.untried(*id))
    }

    fn utilisation(&self, tier: Tier, spread: &Spread) -> Utilisation {
        let (mut load, mut slots) = (0.0, 0);
        for id in &self.tiers[tier as usize] {
            let endpoint = &spread.endpoints[*id];
            if endpoint.usable(spread.now) {
                load += endpoint.load(spread.now);
                slots += endpoint.slots();
            }
        }
        (slots > 0).then(|| load / f64::from(slots))
    }

    /// Ejects an endpoint if it fails while most of its peers do not, unless too many are ejected
    /// already.
    pub fn eject(&self, now: Moment, id: Id, endpoints: &mut SlotMap<Id, Endpoint>) {
        if !endpoints.get(id).is_some_and(Endpoint::failing) {
            return;
        }
        let all = self.tiers.iter().flatten();
        let count = |wanted: &dyn Fn(&Endpoint) -> bool| {
            all.clone().filter(|id| wanted(&endpoints[**id])).count()
        };
        let total = count(&|_| true);
        let ejected = count(&|endpoint| endpoint.ejected(now));
        let healthy = count(&Endpoint::healthy);
        let peers_differ = healthy * 2 > total - ejected;
        if peers_differ && ejected < total / EJECTED_PART {
            endpoints[id].eject(now);
        }
    }
}

fn draw(ids: &[Id], spread: &Spread, rng: &mut StdRng) -> Option<Id> {
    if ids.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let id = ids[rng.random_range(0..ids.len())];
        if spread.usable(id) {
            return Some(id);
        }
    }
    ids.iter().copied().find(|id| spread.usable(*id))
}

//! The endpoints of one version, grouped by distance, and the choice among them. An endpoint that
//! fails while its peers do not is ejected, up to a third of the group.

use {
    super::{
        endpoint::{Endpoint, Id, Policy},
        spill::{Spill, Tier, Utilisation},
    },
    crate::types::{Host, Moment},
    rand::{Rng, rngs::StdRng},
    slotmap::SlotMap,
};

/// At most one in this many endpoints of a group is ejected at a time.
const EJECTED_DIVISOR: usize = 3;
/// The number of random draws before all endpoints are searched for a usable one.
const DRAWS_MAX: usize = 8;

/// The inputs for the choice of an endpoint.
pub struct Criteria<'a> {
    /// The hosts that earlier attempts at the request were sent to.
    pub avoid: &'a [Host],
    /// The endpoints of all groups.
    pub endpoints: &'a SlotMap<Id, Endpoint>,
    /// The current time.
    pub now: Moment,
    /// The policy by which endpoints are compared.
    pub policy: Policy,
}

impl Criteria<'_> {
    fn is_untried(&self, id: Id) -> bool {
        !self.avoid.contains(&self.endpoints[id].host)
    }

    fn is_usable(&self, id: Id) -> bool {
        self.endpoints[id].is_usable(self.now) && self.is_untried(id)
    }

    fn cheaper(&self, one: Id, other: Id) -> Id {
        let cost = |id: Id| self.endpoints[id].cost(self.now);
        if cost(other) < cost(one) { other } else { one }
    }
}

/// The endpoints of one version.
#[derive(Debug, Default)]
pub struct Group {
    next_turn: usize,
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
            tier.retain(|other| *other != id);
        }
    }

    /// Returns the share of the traffic that crosses the slow link, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        self.spill.remote_share()
    }

    /// Chooses an endpoint, or returns `None` if the request was tried at all of them. An endpoint
    /// that is backing off or ejected is chosen only if there is no other.
    pub fn choose(&mut self, criteria: &Criteria, rng: &mut StdRng) -> Option<(Tier, Id)> {
        if self.spill.is_due(criteria.now) {
            let tiers = Tier::ALL.map(|tier| self.utilisation(tier, criteria));
            self.spill.step(criteria.now, tiers);
        }
        let first = self.spill.choose_tier(rng.random());
        let nearest = Tier::ALL.into_iter().filter(|tier| *tier != first);
        let order = std::iter::once(first).chain(nearest);
        for tier in order.clone() {
            if let Some(id) = self.choose_in_tier(tier, criteria, rng) {
                return Some((tier, id));
            }
        }
        order
            .flat_map(|tier| self.tiers[tier as usize].iter().map(move |id| (tier, *id)))
            .find(|(_, id)| criteria.is_untried(*id))
    }

    fn choose_in_tier(&mut self, tier: Tier, criteria: &Criteria, rng: &mut StdRng) -> Option<Id> {
        let ids = &self.tiers[tier as usize];
        match criteria.policy {
            Policy::LeastReported => ids
                .iter()
                .copied()
                .filter(|id| criteria.is_usable(*id))
                .min_by_key(|id| criteria.endpoints[*id].reported_load()),
            Policy::Random => draw_usable(ids, criteria, rng),
            Policy::RoundRobin => {
                self.next_turn = self.next_turn.wrapping_add(1);
                let usable = |id: &&Id| criteria.is_usable(**id);
                let turns = ids.iter().cycle().skip(self.next_turn % ids.len().max(1));
                turns.take(ids.len()).find(usable).copied()
            }
            Policy::TwoChoices => {
                let one = draw_usable(ids, criteria, rng)?;
                let mut others = (0..DRAWS_MAX).filter_map(|_| draw_usable(ids, criteria, rng));
                let other = others.find(|other| *other != one).unwrap_or(one);
                Some(criteria.cheaper(one, other))
            }
        }
    }

    /// Returns whether there is an endpoint that the request has not been tried at.
    pub fn has_untried(&self, criteria: &Criteria) -> bool {
        let mut all = self.tiers.iter().flatten();
        all.any(|id| criteria.is_untried(*id))
    }

    fn utilisation(&self, tier: Tier, criteria: &Criteria) -> Utilisation {
        let (mut load, mut slots) = (0.0, 0);
        for id in &self.tiers[tier as usize] {
            let endpoint = &criteria.endpoints[*id];
            if endpoint.is_usable(criteria.now) {
                load += endpoint.load(criteria.now);
                slots += endpoint.slots();
            }
        }
        (slots > 0).then(|| load / f64::from(slots))
    }

    /// Ejects an endpoint if it fails while most of its peers do not, unless too many are ejected
    /// already.
    pub fn eject_outlier(&self, now: Moment, id: Id, endpoints: &mut SlotMap<Id, Endpoint>) {
        if !endpoints.get(id).is_some_and(Endpoint::is_failing) {
            return;
        }
        let all = self.tiers.iter().flatten();
        let count = |wanted: &dyn Fn(&Endpoint) -> bool| {
            all.clone().filter(|id| wanted(&endpoints[**id])).count()
        };
        let total = count(&|_| true);
        let ejected = count(&|endpoint| endpoint.is_ejected(now));
        let healthy = count(&Endpoint::is_healthy);
        let peers_differ = healthy * 2 > total - ejected;
        if peers_differ && ejected < total / EJECTED_DIVISOR {
            endpoints[id].eject(now);
        }
    }
}

fn draw_usable(ids: &[Id], criteria: &Criteria, rng: &mut StdRng) -> Option<Id> {
    if ids.is_empty() {
        return None;
    }
    for _ in 0..DRAWS_MAX {
        let id = ids[rng.random_range(0..ids.len())];
        if criteria.is_usable(id) {
            return Some(id);
        }
    }
    ids.iter().copied().find(|id| criteria.is_usable(*id))
}

//! The order of the hosts of a failure domain. Every node computes it by rendezvous hashing, without
//! coordination, so that a host that joins or leaves changes the parent of its own children only.

use {
    crate::{
        member::Contact,
        types::{Domain, Host, Region},
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The number of nodes that a relay or hub usually forwards to. The tree has one level of hubs below
/// the relays.
pub const FANOUT: usize = 24;

/// The number of nodes of a failure domain that read the platform for it.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Returns the rendezvous weight of `name` under `key`. The name with the highest weight is chosen.
#[must_use]
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The relays and hubs of a failure domain, in order. Their number grows with the number of hosts
/// divided by the fan-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    relays_and_hubs: Vec<Contact>,
}

impl Tree {
    /// Creates the tree of the live hosts of a failure domain. `hosts` is the least number of hosts to
    /// size the tree for, as some may not be known here yet.
    #[must_use]
    pub fn new<'a>(
        domain: &Domain,
        fanout: usize,
        hosts: usize,
        live: impl Iterator<Item = &'a Contact>,
    ) -> Self {
        let key = domain.as_str();
        let mut order: Vec<(u64, &Contact)> = live
            .map(|contact| (weight(key, contact.host.as_str()), contact))
            .collect();
        order.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
        let hosts = hosts.max(order.len());
        let hubs = if hosts <= fanout.saturating_add(RELAYS_PER_DOMAIN) {
            0
        } else {
            hosts.div_ceil(fanout)
        };
        let relays_and_hubs = order
            .into_iter()
            .take(RELAYS_PER_DOMAIN + hubs)
            .map(|(_, contact)| contact.clone())
            .collect();
        Self { relays_and_hubs }
    }

    /// Returns the index of a host among the relays and hubs, or `None` if it is neither.
    #[must_use]
    pub fn position(&self, host: &Host) -> Option<usize> {
        self.relays_and_hubs
            .iter()
            .position(|contact| contact.host == *host)
    }

    /// Returns the relays, followed by the hubs.
    #[must_use]
    pub fn relays_and_hubs(&self) -> &[Contact] {
        &self.relays_and_hubs
    }

    /// Returns the nodes that a host may choose as its parent, the preferred one first.
    #[must_use]
    pub fn parent_candidates(&self, host: &Host) -> Vec<&Contact> {
        let position = self.position(host);
        let relays = &self.relays_and_hubs[..self.relays_and_hubs.len().min(RELAYS_PER_DOMAIN)];
        let hubs = &self.relays_and_hubs[relays.len()..];
        match position {
            Some(position) if position < RELAYS_PER_DOMAIN => relays[..position].iter().collect(),
            Some(_) => by_weight(host, relays),
            None if hubs.is_empty() => by_weight(host, relays),
            None => by_weight(host, hubs),
        }
    }
}

fn by_weight<'a>(host: &Host, candidates: &'a [Contact]) -> Vec<&'a Contact> {
    let mut parents: Vec<&Contact> = candidates.iter().collect();
    parents.sort_by_key(|contact| std::cmp::Reverse(weight(host.as_str(), contact.host.as_str())));
    parents
}

/// Chooses for each region its gateway, the failure domain whose root relay exchanges with the other
/// regions.
#[must_use]
pub fn choose_gateways<'a>(
    domains: impl Iterator<Item = (&'a Region, &'a Domain)>,
) -> BTreeMap<Region, Domain> {
    let mut chosen: BTreeMap<Region, Domain> = BTreeMap::new();
    for (region, domain) in domains {
        let better = chosen.get(region).is_none_or(|current| {
            weight(region.as_str(), domain.as_str()) > weight(region.as_str(), current.as_str())
        });
        if better {
            chosen.insert(region.clone(), domain.clone());
        }
    }
    chosen
}

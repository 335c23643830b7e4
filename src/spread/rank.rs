//! The order of a failure domain's hosts, which every node works out by itself: rendezvous hashing,
//! so that a host that comes or goes moves nobody but its own children.

use {
    crate::{
        member::Contact,
        world::{Domain, Host, Region},
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The nodes that a relay or hub hands on to, as a rule; the tree has one level of hubs below the relays.
pub const FANOUT: usize = 24;

/// The nodes of a failure domain that read the platform for it.
pub const RELAYS: usize = 2;

/// Gives the weight of `name` under `key`; the highest one is chosen.
#[must_use]
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The first hosts of a failure domain: its relays, then its hubs. Its size grows with the domain's
/// hosts divided by the fan-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    front: Vec<Contact>,
}

impl Tree {
    /// Orders the live hosts of a failure domain, of which there are `hosts` at least, if not all of
    /// them are known here.
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
        let hubs = if hosts <= fanout.saturating_add(RELAYS) {
            0
        } else {
            hosts.div_ceil(fanout)
        };
        let front = order
            .into_iter()
            .take(RELAYS + hubs)
            .map(|(_, contact)| contact.clone())
            .collect();
        Self { front }
    }

    /// Gives a host's place among the relays and hubs.
    #[must_use]
    pub fn place(&self, host: &Host) -> Option<usize> {
        self.front.iter().position(|contact| contact.host == *host)
    }

    /// Lists the relays, then the hubs.
    #[must_use]
    pub fn front(&self) -> &[Contact] {
        &self.front
    }

    /// Lists the nodes that a host may be handed the configuration by, the preferred one first.
    #[must_use]
    pub fn parents(&self, host: &Host) -> Vec<&Contact> {
        let place = self.place(host);
        let relays = &self.front[..self.front.len().min(RELAYS)];
        let hubs = &self.front[relays.len()..];
        match place {
            Some(place) if place < RELAYS => relays[..place].iter().collect(),
            Some(_) => preferred(host, relays),
            None if hubs.is_empty() => preferred(host, relays),
            None => preferred(host, hubs),
        }
    }
}

fn preferred<'a>(host: &Host, among: &'a [Contact]) -> Vec<&'a Contact> {
    let mut parents: Vec<&Contact> = among.iter().collect();
    parents.sort_by_key(|contact| std::cmp::Reverse(weight(host.as_str(), contact.host.as_str())));
    parents
}

/// Chooses, for each region, the failure domain whose relay exchanges with the other regions.
#[must_use]
pub fn gateways<'a>(
    domains: impl Iterator<Item = (&'a Region, &'a Domain)>,
) -> BTreeMap<Region, Domain> {
    let mut chosen: BTreeMap<Region, Domain> = BTreeMap::new();
    for (region, domain) in domains {
        let better = chosen.get(region).is_none_or(|held| {
            weight(region.as_str(), domain.as_str()) > weight(region.as_str(), held.as_str())
        });
        if better {
            chosen.insert(region.clone(), domain.clone());
        }
    }
    chosen
}

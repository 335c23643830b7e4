//! On which way news reaches every node.
//!
//! The load that it answers: storms of changes to fleets of a hundred nodes, whose domains and regions pay for
//! every byte between them. One copy crosses to each other region and one to each other domain; the node that
//! gets it hands it on inside. The next node is asked if it does not confirm.

use {
    super::frame::Contact,
    crate::world::{Domain, Host, Region},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Whom the receiver hands news on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Nobody.
    Host,
    /// The other nodes of its failure domain.
    Domain,
    /// The other nodes of its region.
    Region,
    /// All nodes.
    Mesh,
}

/// One step of the way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// Who gets the news.
    pub host: Host,
    /// Whom it hands them on to.
    pub scope: Scope,
}

/// Gives the next hops of news from a node that is to reach all nodes of a scope. `peers` are the nodes that
/// it can reach, the preferred ones first.
#[must_use]
pub fn hops(own: &Contact, scope: Scope, peers: &[Contact]) -> Vec<Hop> {
    let mut hops = Vec::new();
    let mut domains: BTreeMap<&Domain, &Host> = BTreeMap::new();
    let mut regions: BTreeMap<&Region, &Host> = BTreeMap::new();
    for peer in peers {
        if peer.domain == own.domain {
            hops.push(Hop {
                host: peer.host.clone(),
                scope: Scope::Host,
            });
        } else if peer.region == own.region {
            domains.entry(&peer.domain).or_insert(&peer.host);
        } else {
            regions.entry(&peer.region).or_insert(&peer.host);
        }
    }
    match scope {
        Scope::Host => return Vec::new(),
        Scope::Domain => {}
        Scope::Region => relay(&mut hops, domains, Scope::Domain),
        Scope::Mesh => {
            relay(&mut hops, domains, Scope::Domain);
            relay(&mut hops, regions, Scope::Region);
        }
    }
    hops
}

fn relay<P>(hops: &mut Vec<Hop>, places: BTreeMap<P, &Host>, scope: Scope) {
    hops.extend(places.into_values().map(|host| Hop {
        host: host.clone(),
        scope,
    }));
}

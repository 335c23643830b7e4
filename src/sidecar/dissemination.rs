//! Computes the dissemination tree by which an update reaches every node.
//!
//! Designed for bursts of changes in fleets of a hundred nodes, where traffic between failure domains and regions is
//! billed by volume. One copy is sent to each other region and one to each other domain; the node that receives it
//! relays it inside. If that node does not acknowledge, the next one is used.

use {
    super::frame::Contact,
    crate::types::{Domain, Host, Region},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Nodes to which the receiver relays an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// None; the update is for the receiver only.
    Host,
    /// The other nodes of its failure domain.
    Domain,
    /// The other nodes of its region.
    Region,
    /// All nodes.
    Mesh,
}

/// Next receiver of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// Host that receives the update.
    pub host: Host,
    /// Nodes to which it relays the update.
    pub scope: Scope,
}

/// Returns the next hops of an update that the own node relays to all nodes of a scope, in the order of sending. `peers`
/// are the nodes that it can reach, the preferred ones first.
///
/// The relays come first: each place has a copy then, however few were sent before the own node is lost, and the longest
/// way begins at once. Over a slow link the copies for a whole domain take most of the time.
#[must_use]
pub fn next_hops(own: &Contact, scope: Scope, peers: &[Contact]) -> Vec<Hop> {
    let mut own_domain = Vec::new();
    let mut domains: BTreeMap<&Domain, &Host> = BTreeMap::new();
    let mut regions: BTreeMap<&Region, &Host> = BTreeMap::new();
    for peer in peers {
        if peer.domain == own.domain {
            own_domain.push(Hop {
                host: peer.host.clone(),
                scope: Scope::Host,
            });
        } else if peer.region == own.region {
            domains.entry(&peer.domain).or_insert(&peer.host);
        } else {
            regions.entry(&peer.region).or_insert(&peer.host);
        }
    }
    let mut hops = Vec::new();
    match scope {
        Scope::Host => return hops,
        Scope::Domain => {}
        Scope::Region => relay(&mut hops, domains, Scope::Domain),
        Scope::Mesh => {
            relay(&mut hops, regions, Scope::Region);
            relay(&mut hops, domains, Scope::Domain);
        }
    }
    hops.extend(own_domain);
    hops
}

fn relay<P>(hops: &mut Vec<Hop>, relays: BTreeMap<P, &Host>, scope: Scope) {
    hops.extend(relays.into_values().map(|host| Hop {
        host: host.clone(),
        scope,
    }));
}

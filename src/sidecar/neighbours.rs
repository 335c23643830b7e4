//! Chooses the nodes that a node connects to.
//!
//! Designed for fleets of some hundred nodes, all of which may restart at the same time. In a full mesh, connections
//! between regions, and the hello and status messages on them, would grow with the square of the fleet, and traffic
//! between regions is billed by volume. Each node thus connects to a bounded number of nodes in each other region:
//! its hubs, and others chosen by rendezvous hashing. Inside a region every node is connected to every other one.

use {
    super::frame::Contact,
    crate::types::{Host, Region},
    std::collections::{BTreeMap, HashSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of reachable nodes of each other region that a node connects to if it is not a hub: enough that overflowing
/// requests find upstreams of several services there, and that most connections survive the loss of a failure domain.
pub const NODES_PER_REMOTE_REGION: usize = 16;
/// Number of those nodes that are hubs: the nodes with the lowest host names in their region, which are preferred for
/// reading the store and leading rollouts. Hubs connect to all nodes in return, so that the connection is made
/// whichever of the two learns of the other first.
const HUBS_PER_REGION: usize = 4;

/// Known node.
#[derive(Debug, Clone, Copy)]
pub struct KnownNode<'a> {
    /// Address, host and location of the node.
    pub contact: &'a Contact,
    /// Whether the last attempt to reach it failed.
    pub lost: bool,
}

/// Returns the hosts of the nodes to connect to. A lost node stays chosen, so that its return is noticed, and another
/// one is chosen in addition.
#[must_use]
pub fn choose<'a>(own: &Contact, known: &[KnownNode<'a>]) -> HashSet<&'a Host> {
    let precedes_own = |node: &&KnownNode| {
        node.contact.region == own.region && !node.lost && node.contact.host < own.host
    };
    if known.iter().filter(precedes_own).count() < HUBS_PER_REGION {
        return known.iter().map(|node| &node.contact.host).collect();
    }
    let mut regions: BTreeMap<&Region, Vec<&KnownNode<'a>>> = BTreeMap::new();
    for node in known {
        regions.entry(&node.contact.region).or_default().push(node);
    }
    let mut chosen = HashSet::new();
    for (region, mut nodes) in regions {
        if *region == own.region || nodes.len() <= NODES_PER_REMOTE_REGION {
            chosen.extend(nodes.iter().map(|node| &node.contact.host));
            continue;
        }
        nodes.sort_by_key(|node| &node.contact.host);
        choose_until_alive(&nodes, HUBS_PER_REGION, &mut chosen);
        nodes.retain(|node| !chosen.contains(&node.contact.host));
        nodes.sort_by_cached_key(|node| rendezvous_hash(&own.host, &node.contact.host));
        choose_until_alive(
            &nodes,
            NODES_PER_REMOTE_REGION - HUBS_PER_REGION,
            &mut chosen,
        );
    }
    chosen
}

/// Adds nodes to `chosen` in order until `count` of the added ones are not lost.
fn choose_until_alive<'a>(nodes: &[&KnownNode<'a>], count: usize, chosen: &mut HashSet<&'a Host>) {
    let mut alive = 0;
    for node in nodes {
        if alive == count {
            return;
        }
        chosen.insert(&node.contact.host);
        alive += usize::from(!node.lost);
    }
}

/// Returns the sort key of a node of another region. It differs for each pair, so that connections are spread evenly.
fn rendezvous_hash(own: &Host, other: &Host) -> u64 {
    xxh3_64(format!("{own} {other}").as_bytes())
}

//! Which nodes a node connects to.
//!
//! The load that it answers: fleets of some hundred nodes, all of which may restart at one moment. Connections between
//! regions, and the greetings and statuses on them, would grow with the square of the fleet, and every byte between
//! regions is paid for. Inside a region every node is connected to every other one.

use {
    super::frame::Contact,
    crate::world::{Host, Region},
    std::collections::{BTreeMap, HashSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// How many nodes of another region a node connects to: enough that an overflow of work finds upstreams of several
/// services there, and that the loss of a failure domain leaves most of them.
pub const REMOTE_MAX: usize = 16;
/// How many of them are those with the lowest names, which read the store and conduct moves before others. They connect
/// to everybody in turn, so that each pair is connected whichever of them was known first.
const FIRST: usize = 4;

/// A node that is known.
#[derive(Debug, Clone, Copy)]
pub struct Neighbour<'a> {
    /// Where it is.
    pub contact: &'a Contact,
    /// Whether it could not be reached when it was last tried.
    pub lost: bool,
}

/// Chooses the nodes to connect to. One that is lost stays chosen, so that its return is noticed, and another one is
/// chosen beside it.
#[must_use]
pub fn choose<'a>(own: &Contact, known: &[Neighbour<'a>]) -> HashSet<&'a Host> {
    let before_own = |node: &&Neighbour| {
        node.contact.region == own.region && !node.lost && node.contact.host < own.host
    };
    if known.iter().filter(before_own).count() < FIRST {
        return known.iter().map(|node| &node.contact.host).collect();
    }
    let mut regions: BTreeMap<&Region, Vec<&Neighbour<'a>>> = BTreeMap::new();
    for node in known {
        regions.entry(&node.contact.region).or_default().push(node);
    }
    let mut chosen = HashSet::new();
    for (region, mut nodes) in regions {
        if *region == own.region || nodes.len() <= REMOTE_MAX {
            chosen.extend(nodes.iter().map(|node| &node.contact.host));
            continue;
        }
        nodes.sort_by_key(|node| &node.contact.host);
        take(&nodes, FIRST, &mut chosen);
        nodes.retain(|node| !chosen.contains(&node.contact.host));
        nodes.sort_by_cached_key(|node| affinity(&own.host, &node.contact.host));
        take(&nodes, REMOTE_MAX - FIRST, &mut chosen);
    }
    chosen
}

/// Takes the first nodes until there are so many that are not lost.
fn take<'a>(nodes: &[&Neighbour<'a>], count: usize, chosen: &mut HashSet<&'a Host>) {
    let mut alive = 0;
    for node in nodes {
        if alive == count {
            return;
        }
        chosen.insert(&node.contact.host);
        alive += usize::from(!node.lost);
    }
}

/// Orders the nodes of another region differently for each node, so that connections are spread evenly.
fn affinity(own: &Host, other: &Host) -> u64 {
    xxh3_64(format!("{own} {other}").as_bytes())
}

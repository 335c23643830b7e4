//! Selects the nodes that read the store on behalf of all others. Each node decides from the nodes that it is
//! connected to: the two of lowest rank, with nodes that reach the store from its own region first, then those
//! that reach it from another region, and by host name among equals. No lease is needed, as a duplicate read is
//! harmless and writes are conditional on what was read.

use {
    crate::types::Host,
    serde::{Deserialize, Serialize},
};

/// Number of nodes that read the store at a time: more than one, as a node may be cut off without notice.
pub const READERS_MAX: usize = 2;

/// Connection of a node to the store, best first: the derived order decides who reads it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreAccess {
    /// The store answers fast: it is in the node's region.
    Near,
    /// The store answers, but from another region.
    Far,
    /// Nothing is known yet, or the store does not answer.
    #[default]
    Unknown,
}

/// Node that may read the store, ordered by its connection to it and then by host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Connection of the node to the store.
    pub reach: StoreAccess,
    /// Host of the node.
    pub host: Host,
}

/// Number of nodes of a mesh that read the first document from the store at once, on average, if all start together and
/// none is seen to be near the store. It leaves a small chance that none does.
const FIRST_READERS: f64 = 6.0;

/// Returns the probability with which a node without a document reads it from the store at its next check. `nodes` is
/// the number of known nodes, and `checks` that of earlier checks; each doubles the probability.
///
/// Load pattern: all nodes start at the same moment, and their registrations keep the store so busy that each takes it for
/// a distant one. Each would wait for a reader nearer to the store, and none would serve until a timeout.
#[must_use]
pub fn first_read_probability(nodes: usize, checks: u32) -> f64 {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let readers = FIRST_READERS * 2_f64.powf(f64::from(checks));
    (readers / f64::from(nodes)).min(1.0)
}

/// Returns a node's rank among the candidates, including itself; 0 goes first.
#[must_use]
pub fn rank(own: &Candidate, others: impl Iterator<Item = Candidate>) -> usize {
    others.filter(|other| other < own).count()
}

/// Number of ranks that a node of the own failure domain counts for among those that replace silent readers. To read the
/// whole configuration takes several of them over the link between regions, which all nodes of a region share.
const DOMAIN_RANKS: usize = 4;

/// Returns a node's rank among those that replace silent readers; 0 goes first. `heard` are the candidates of which
/// something was heard just now, and whether each is of the own failure domain.
///
/// All nodes of other domains together count no more than the readers do. They may have what the own domain has missed, and
/// then none of them has a reason to read the store: the wait must not grow with the fleet. In each domain the first node
/// goes soon, and spares the others of its domain the call.
#[must_use]
pub fn replacement_rank(own: &Candidate, heard: impl Iterator<Item = (Candidate, bool)>) -> usize {
    let preceding = heard.filter(|(other, _)| other < own);
    let (same_domain, elsewhere) = preceding.fold((0, 0), |(same, elsewhere), (_, is_same)| {
        if is_same {
            (same + 1, elsewhere)
        } else {
            (same, elsewhere + 1)
        }
    });
    DOMAIN_RANKS * same_domain + READERS_MAX.min(elsewhere)
}

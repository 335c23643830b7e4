//! Announces the evacuated domains to the other nodes at once. Each confirmation of the document repeats them, so that a
//! node that was missed hears of them within half a second.

use {
    super::Peers,
    crate::sidecar::{
        dissemination::{self, Scope},
        evacuation::Evacuations,
        frame::Frame,
        node::Core,
    },
    rand::seq::SliceRandom,
};

/// Sends the evacuated domains to all nodes of a scope, through relays where possible.
pub(in crate::sidecar) fn push(core: &Core, scope: Scope) {
    // Other relays than those of the next confirmation, as nobody acknowledges the set.
    let mut links = core.peers.responsive_links();
    links.shuffle(&mut *core.peers.rng.borrow_mut());
    let evacuations = core.evacuations.borrow().clone();
    for hop in dissemination::next_hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        let frame = Frame::Evacuations(hop.scope, evacuations.clone());
        core.peers.send(&hop.host, &frame);
    }
}

/// Puts the evacuated domains in force that another node has sent, and relays them. They are relayed also if they were known
/// already, as the nodes that depend on this relay may not know them.
pub(super) fn receive(core: &Core, from: &str, scope: Scope, evacuations: &Evacuations) {
    core.adopt_evacuations(evacuations, from);
    let is_held = core.evacuations.borrow().has_domains_of(evacuations);
    if is_held {
        push(core, scope);
    }
}

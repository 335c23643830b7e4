//! Confirmation by the other nodes that they have handled what was sent to them.
//!
//! Designed for a node that stops under load: requests that were sent to it before its withdrawal was known are still on
//! their way. Connections keep the order of frames, so they have arrived once the sender confirms.

use {super::Peers, crate::sidecar::node::Core};

impl Peers {
    /// Asks the nodes on all connections to confirm the frames sent so far.
    pub fn request_confirmations(&self, core: &Core) {
        let now = core.now();
        for link in self.open_links.borrow().iter() {
            link.request_confirmation(core, now);
        }
    }

    /// Returns the number of connections to responsive nodes on which a requested confirmation is outstanding or frames
    /// have not been written yet.
    pub fn unconfirmed_count(&self) -> usize {
        let open_links = self.open_links.borrow();
        let unconfirmed = open_links
            .iter()
            .filter(|link| !link.suspect.get() && link.is_unconfirmed());
        unconfirmed.count()
    }
}

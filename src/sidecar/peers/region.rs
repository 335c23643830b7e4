//! The known and the connected nodes of the own region.

use {
    super::Peers,
    crate::{sidecar::frame::Frame, types::Host},
    std::collections::BTreeSet,
};

impl Peers {
    /// Returns the known nodes of the region, connected or not, apart from this one.
    pub fn region_hosts(&self) -> BTreeSet<Host> {
        let known = self.known.borrow();
        known
            .iter()
            .filter(|(_, peer)| peer.contact.region == self.contact.region)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Sends a frame to a node. Returns whether the node is connected and the frame was queued.
    pub fn try_send(&self, host: &Host, frame: &Frame) -> bool {
        let links = self.links.borrow();
        links.get(host).is_some_and(|link| link.send(frame, None))
    }

    /// Returns the connected nodes of the region.
    pub fn connected_region_hosts(&self) -> Vec<Host> {
        let links = self.links.borrow();
        links
            .values()
            .filter(|link| link.contact.region == self.contact.region)
            .map(|link| link.contact.host.clone())
            .collect()
    }
}

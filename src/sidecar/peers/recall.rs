//! Keeps what the upstreams of other nodes last announced, and returns it to nodes that have restarted.
//!
//! Designed for nodes that restart while their upstreams go on running, and for announcements that arrive late. Until its
//! upstream next announces itself, a restarted node would leave it idle, and it could take an announcement from before
//! a departure for a new one.

use {
    super::Peers,
    crate::{
        sidecar::{frame::Frame, handle::Announcement},
        types::Host,
    },
};

impl Peers {
    /// Sends the announcement of this node's upstream to the nodes of its region, which return it after a restart.
    pub fn share_registration(&self, announcement: &Announcement) {
        self.broadcast_within_region(&Frame::Registration(announcement.clone()));
    }

    /// Keeps the last announcement of another node's upstream.
    pub(super) fn keep_registration(&self, host: &Host, announcement: Announcement) {
        if let Some(peer) = self.known.borrow_mut().get_mut(host) {
            peer.registration = Some(announcement);
        }
    }

    /// Returns what a node last sent of its upstream's announcements.
    pub(super) fn kept_registration(&self, host: &Host) -> Option<Announcement> {
        let known = self.known.borrow();
        known.get(host)?.registration.clone()
    }
}

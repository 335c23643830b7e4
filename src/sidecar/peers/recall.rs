//! Keeps what the upstreams of other nodes last announced, and returns it to nodes that have restarted.
//!
//! Designed for nodes that restart while their upstreams go on running, and for announcements that arrive late. Until its
//! upstream next announces itself, a restarted node would leave it idle, and it could take an announcement from before
//! a departure for a new one. A peer that was cut off from the node before it ended may have missed a departure, and says so:
//! see docs/design/departures.md.

use {
    super::{Link, Peers},
    crate::{
        sidecar::{
            departure::RECORD_TIMEOUT,
            frame::{Contact, Coverage, Frame},
            handle::Announcement,
        },
        types::Moment,
    },
};

impl Coverage {
    /// Returns the coverage of a connection that ends now. A departure is sent to all peers of the region, and acknowledged
    /// only once it is recorded or [`RECORD_TIMEOUT`] later. As frames keep their order, whoever heard of the process within
    /// that time, or has received the regular end of its connection, had not missed it. What arrives when a cut ends may be
    /// older.
    fn of(now: Moment, link: &Link, end: End) -> Self {
        let is_recent = |at| now.since(at) < RECORD_TIMEOUT;
        let was_cut_off = link.suspect.get() || link.heard_again_at.get().is_some_and(is_recent);
        let is_covered = end == End::Closed || is_recent(link.received_at.get());
        if is_covered && !was_cut_off {
            Self::Complete
        } else {
            Self::Partial
        }
    }
}

/// How a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// Without anything from the other side, or not yet.
    Broken,
    /// By the other side, after all that it had written.
    Closed,
}

/// Last announcement of the upstream of another node.
pub(super) struct Kept {
    announcement: Announcement,
    /// Process of the node that has sent it.
    incarnation: u64,
    /// Coverage of the last connection of that process; `None` while it is open.
    coverage: Option<Coverage>,
}

impl Peers {
    /// Sends the announcement of this node's upstream to the nodes of its region, which return it after a restart.
    pub fn share_registration(&self, announcement: &Announcement) {
        self.broadcast_within_region(&Frame::Registration(announcement.clone()));
    }

    /// Keeps the last announcement of another node's upstream.
    pub(super) fn keep_registration(&self, from: &Contact, announcement: Announcement) {
        if let Some(peer) = self.known.borrow_mut().get_mut(&from.host) {
            let is_older = |kept: &Kept| kept.incarnation > from.incarnation;
            if !peer.registration.as_ref().is_some_and(is_older) {
                peer.registration = Some(Kept {
                    announcement,
                    incarnation: from.incarnation,
                    coverage: None,
                });
            }
        }
    }

    /// Returns what the node at the other end of a new connection last sent of its upstream's announcements. If that was an
    /// earlier process, what it returns covers that process only once: a later one has to state its upstream itself.
    pub(super) fn recall_for(&self, now: Moment, link: &Link) -> Option<Frame> {
        let mut known = self.known.borrow_mut();
        let kept = known.get_mut(&link.contact.host)?.registration.as_mut()?;
        let open_links = self.open_links.borrow();
        let open = open_links
            .iter()
            .filter(|open| is_of(open, link.contact.host.as_str(), kept.incarnation))
            .map(|open| Coverage::of(now, open, End::Broken));
        let coverage = kept
            .coverage
            .or_else(|| open.max_by_key(|coverage| *coverage == Coverage::Complete))
            .unwrap_or(Coverage::Partial);
        let is_same_process = kept.incarnation == link.contact.incarnation;
        kept.coverage = (!is_same_process).then_some(Coverage::Partial);
        Some(Frame::Recall(kept.announcement.clone(), coverage))
    }

    /// Records the end of a connection, which is not among the open ones any more.
    pub(super) fn record_end(&self, now: Moment, link: &Link, end: End) {
        let host = &link.contact.host;
        let mut known = self.known.borrow_mut();
        let Some(kept) = known
            .get_mut(host)
            .and_then(|peer| peer.registration.as_mut())
        else {
            return;
        };
        let is_last = !self
            .open_links
            .borrow()
            .iter()
            .any(|open| is_of(open, host.as_str(), kept.incarnation));
        if kept.incarnation == link.contact.incarnation && kept.coverage.is_none() && is_last {
            kept.coverage = Some(Coverage::of(now, link, end));
        }
    }
}

fn is_of(link: &Link, host: &str, incarnation: u64) -> bool {
    link.contact.host.as_str() == host && link.contact.incarnation == incarnation
}

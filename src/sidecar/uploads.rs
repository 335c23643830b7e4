//! Decides from which node another one that has no document receives it.
//!
//! Load pattern: all nodes of a region start at the same moment and hear of the first one that has the document. That one
//! would send it to all of them, one copy after the other over its own link. Here each node sends it to a few at a time
//! and refers all others to these, so that the document spreads as a tree and no link carries more than a few copies.

use {
    crate::types::{Host, Moment, Region},
    std::time::Duration,
};

/// Number of nodes to which a node sends the document at a time.
const UPLOADS_MAX: usize = 2;
/// Time after which an upload without confirmation no longer counts as in progress.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which other nodes are referred to a receiver. Nodes that start later than that ask somebody anew.
const REFERRAL_PERIOD: Duration = Duration::from_secs(10);

/// What is done for a node that has no document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It is referred to a node that has the document or is about to receive it.
    Refer(Host),
    /// The document is sent to it.
    Send,
    /// The document is on its way to it already.
    Wait,
}

#[derive(Debug)]
struct Receiver {
    confirmed: bool,
    host: Host,
    region: Region,
    sent_at: Moment,
}

impl Receiver {
    fn in_progress(&self, now: Moment) -> bool {
        !self.confirmed && now.since(self.sent_at) < UPLOAD_TIMEOUT
    }
}

/// The nodes to which this one has sent a whole document lately.
#[derive(Debug, Default)]
pub struct Uploads {
    receivers: Vec<Receiver>,
    referral_count: usize,
}

impl Uploads {
    /// Returns what is done for a node without a document. Each node is referred to the next receiver in turn, so that
    /// the receivers get equal parts of the others. Only receivers of its own region are sure to be connected to it.
    pub fn request(&mut self, now: Moment, host: &Host, region: &Region) -> Decision {
        self.receivers
            .retain(|receiver| now.since(receiver.sent_at) < REFERRAL_PERIOD);
        let known = self.receivers.iter().find(|known| known.host == *host);
        if known.is_some_and(|known| known.in_progress(now)) {
            return Decision::Wait;
        }
        self.receivers.retain(|known| known.host != *host);
        let active = self.receivers.iter();
        let active = active.filter(|receiver| receiver.in_progress(now));
        let active_count = active.count();
        let known = self.receivers.iter();
        let in_region: Vec<&Host> = known
            .filter(|known| known.region == *region)
            .map(|known| &known.host)
            .collect();
        if active_count < UPLOADS_MAX || in_region.is_empty() {
            self.receivers.push(Receiver {
                confirmed: false,
                host: host.clone(),
                region: region.clone(),
                sent_at: now,
            });
            return Decision::Send;
        }
        self.referral_count += 1;
        let chosen = in_region[self.referral_count % in_region.len()];
        Decision::Refer(chosen.clone())
    }

    /// Records that a node has the document.
    pub fn confirm(&mut self, host: &Host) {
        let receiver = self.receivers.iter_mut().find(|known| known.host == *host);
        if let Some(receiver) = receiver {
            receiver.confirmed = true;
        }
    }

    /// Forgets a node whose connection has closed.
    pub fn remove(&mut self, host: &Host) {
        self.receivers.retain(|known| known.host != *host);
    }
}

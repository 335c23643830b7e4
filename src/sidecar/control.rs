//! What a platform's adapter reaches a node by: the upstream's announcements, readiness, metrics, reloads.

use {
    super::{
        node::Core,
        placement::Offer,
        settings::{Fault, Settings},
    },
    std::{path::Path, rc::Rc},
};

/// What the upstream on this host says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Whether it finishes what it has and takes nothing new.
    pub draining: bool,
    /// The name of this start, which it expects on requests that are for it.
    pub instance: String,
    /// Tells this start of the upstream from others; a later one is higher.
    pub incarnation: u64,
    /// Counts the announcements of one start.
    pub sequence: u64,
    /// What it offers.
    pub offer: Offer,
}

/// A handle of a running node.
#[derive(Clone)]
pub struct Control {
    core: Rc<Core>,
}

impl Control {
    pub(super) fn new(core: Rc<Core>) -> Self {
        Self { core }
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.core.configured() && self.core.stopping.get().is_none()
    }

    /// Takes an announcement of the upstream on this host. Whatever it says is in force here when this
    /// returns, so that an acknowledgement never runs ahead of it.
    pub fn announce(&self, announcement: Announcement) {
        if self.core.egress.announce(&self.core, announcement) {
            self.core.announce();
        }
    }

    /// Takes in that an upstream is about to end.
    pub fn leave(&self, instance: &str) {
        if self.core.egress.leave(&self.core, instance) {
            self.core.announce();
        }
    }

    /// Reads the settings anew. Faulty ones leave those in force as they are.
    ///
    /// # Errors
    /// Says why they can't be used.
    pub fn reload(&self, path: &Path) -> Result<(), Fault> {
        let read = Settings::read(path);
        if let Err(fault) = &read {
            let now = self.core.now();
            let log = &self.core.log;
            log.line(
                now,
                "reload",
                format_args!("outcome=refused cause=\"{fault}\""),
            );
        }
        self.core.reload(read?);
        Ok(())
    }

    /// Gives the metrics as text.
    #[must_use]
    pub fn metrics(&self) -> Vec<u8> {
        self.core.peers.measure(&self.core.metrics);
        self.core.metrics.text().unwrap_or_else(|error| {
            let now = self.core.now();
            let log = &self.core.log;
            log.line(
                now,
                "metrics",
                format_args!("outcome=failed cause=\"{error}\""),
            );
            Vec::new()
        })
    }

    /// Writes a line about the adapter's own edge to the log.
    pub fn note(&self, event: &str, fields: std::fmt::Arguments) {
        self.core.log.line(self.core.now(), event, fields);
    }
}

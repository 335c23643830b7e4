//! Interface between a platform's adapter and a node: announcements of the upstream, readiness, metrics, reloads.

use {
    super::{
        connection_set::ConnectionSet,
        connections::CloseReason,
        load_balancer::Offer,
        node::Core,
        settings::{Error, Settings},
    },
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::{path::Path, rc::Rc},
};

/// Announcement of the upstream on this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Whether the upstream accepts no new requests and finishes those in progress.
    pub draining: bool,
    /// Name of the upstream's instance, which requests meant for this start of it have to contain.
    pub instance: String,
    /// Identifies this start of the upstream; a later start has a higher number.
    pub incarnation: u64,
    /// Sequence number of the announcement within one incarnation.
    pub sequence: u64,
    /// Service, version and slots that the upstream offers.
    pub offer: Offer,
}

/// Handle of a running node.
#[derive(Clone)]
pub struct Handle {
    core: Rc<Core>,
}

impl Handle {
    pub(super) fn new(core: Rc<Core>) -> Self {
        Self { core }
    }

    /// Returns whether callers may be directed here: a document is in force and the node is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.has_document() && self.core.stopping.get().is_none()
    }

    /// Applies an announcement of the upstream on this host. It is in force here when this returns, and that an upstream
    /// leaves is recorded in the store if the store answers in time, so that an acknowledgement is never sent before that.
    pub async fn announce(&self, announcement: Announcement) {
        let leaves = announcement.draining;
        if self.core.local_upstream.announce(&self.core, announcement) {
            self.core.broadcast_status();
        }
        if leaves || self.core.local_upstream.is_announcement_kept() {
            self.wait_departure_settled().await;
        }
    }

    /// Records that the instance of the upstream is about to exit, in the same way as [`announce`](Self::announce).
    pub async fn unregister(&self, instance: &str) {
        if self.core.local_upstream.unregister(&self.core, instance) {
            self.core.broadcast_status();
        }
        self.wait_departure_settled().await;
    }

    async fn wait_departure_settled(&self) {
        let record = &self.core.local_upstream.departure_record;
        record.wait_settled().await;
    }

    /// Reads the settings again and puts them in force. Invalid settings leave those in force unchanged.
    ///
    /// # Errors
    /// Returns an error if the settings cannot be read or are invalid.
    pub fn reload(&self, path: &Path) -> Result<(), Error> {
        let read = Settings::read(path);
        if let Err(error) = &read {
            let now = self.core.now();
            let log = &self.core.log;
            log.record(
                now,
                "reload",
                format_args!("outcome=refused cause=\"{error}\""),
            );
        }
        self.core.reload(read?);
        Ok(())
    }

    /// Returns the metrics in the text format, or nothing if they cannot be encoded, which is logged.
    #[must_use]
    pub fn encode_metrics(&self) -> Vec<u8> {
        self.core.peers.update_metrics(&self.core.metrics);
        self.core.permits.update_metrics(&self.core.metrics);
        self.core.update_held_metrics();
        self.core.metrics.encode().unwrap_or_else(|error| {
            let now = self.core.now();
            let log = &self.core.log;
            log.record(
                now,
                "metrics",
                format_args!("outcome=failed cause=\"{error}\""),
            );
            Vec::new()
        })
    }

    /// Returns the current time of the node.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.core.now()
    }

    /// Returns an empty set for the connections to one of the platform's ports, with the limits of the settings.
    #[must_use]
    pub fn control_connections(&self) -> Rc<ConnectionSet> {
        ConnectionSet::new(self.core.settings.borrow().control_limits())
    }

    /// Records that a connection to one of the platform's ports was closed.
    pub fn record_closed(&self, reason: CloseReason) {
        self.core.record_closed("control", reason, 1);
    }

    /// Writes a line to the node's log on behalf of the adapter.
    pub fn log(&self, event: &str, fields: std::fmt::Arguments) {
        self.core.log.record(self.core.now(), event, fields);
    }
}

//! Interface between a platform's adapter and a node: announcements of the upstream, readiness, metrics, reloads.

use {
    super::{
        connection_set::ConnectionSet,
        connections::CloseReason,
        load_balancer::Offer,
        node::Core,
        renewal::{ANNOUNCEMENT_DELAY_MAX, Arrival, Next},
        settings,
    },
    crate::types::{Moment, Service},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc, time::Duration},
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

impl Announcement {
    /// Returns the time of the upstream's start since the Unix epoch, by the clock of its host.
    #[must_use]
    pub fn start_since_epoch(&self) -> Duration {
        Duration::from_millis(self.incarnation)
    }

    /// Returns whether both are of the same start of an upstream.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.instance == other.instance
    }
}

/// Reason why an announcement is refused. It is not the upstream's own then, and changes nothing. See
/// docs/design/announcements.md.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It names another service than the settings, or than the upstream when it started.
    #[error("the upstream of this host is of the service {expected}, not {claimed}")]
    Service {
        /// Service that the announcement names.
        claimed: Service,
        /// Service that it would have to name.
        expected: Service,
    },
    /// It is of a start in the future, and would make those of the actual upstream count as older.
    #[error("the start {0} lies in the future")]
    Start(u64),
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
    /// Returns where the upstream should announce itself next.
    ///
    /// # Errors
    /// Returns the reason if the announcement is not of the upstream that the settings name. It has changed nothing then.
    pub async fn announce(
        &self,
        announcement: Announcement,
        arrival: Arrival,
    ) -> Result<Next, Refusal> {
        let upstream = &self.core.local_upstream;
        let mut checked = upstream.check_claim(&self.core, &announcement);
        if let Err(Refusal::Service { .. }) = checked {
            // A successor of another service may come before the node has noticed that the settings name it.
            self.reload();
            checked = upstream.check_claim(&self.core, &announcement);
        }
        checked?;
        let (leaves, instance) = (announcement.draining, announcement.instance.clone());
        if upstream.announce(&self.core, announcement, arrival) {
            self.core.broadcast_status();
        }
        if leaves {
            self.wait_departure_settled(&instance).await;
        }
        let is_kept = upstream.is_announcement_kept();
        Ok(upstream.renewal.next(arrival, is_kept))
    }

    /// Returns the address to listen at for renewals of announcements, and the time for which it is needed; `None` if the
    /// settings name no port for it.
    #[must_use]
    pub fn renewal_listener(&self) -> Option<(SocketAddr, Duration)> {
        let settings = self.core.settings.borrow();
        let listeners = [
            settings.callers,
            settings.control,
            settings.link,
            settings.metrics,
            settings.ready,
        ];
        let taken = listeners.map(|address| address.port());
        let started_at = Moment(self.core.contact.incarnation);
        let ports = settings.renewal_ports?;
        let port = ports.choose(started_at, settings.heartbeat, &taken)?;
        let needed_for = ANNOUNCEMENT_DELAY_MAX + settings.heartbeat;
        Some((SocketAddr::new(settings.control.ip(), port), needed_for))
    }

    /// Sets the address that upstreams are asked to renew their announcements at; `None` once nothing listens there.
    pub fn set_renewal_address(&self, address: Option<SocketAddr>) {
        self.core.local_upstream.renewal.set_address(address);
    }

    /// Records that the instance of the upstream is about to exit, in the same way as [`announce`](Self::announce).
    pub async fn unregister(&self, instance: &str) {
        if self.core.local_upstream.unregister(&self.core, instance) {
            self.core.broadcast_status();
        }
        self.wait_departure_settled(instance).await;
    }

    /// Waits until a departure is recorded, as long as its acknowledgement may take.
    async fn wait_departure_settled(&self, instance: &str) {
        let record = &self.core.local_upstream.departure_record;
        if !record.wait_settled().await {
            self.log(
                "departure",
                format_args!("outcome=acknowledged-unrecorded instance={instance}"),
            );
        }
    }

    /// Names the file that the settings were read from, which [`reload`](Self::reload) reads from now on.
    pub fn set_settings_file(&self, file: settings::File) {
        *self.core.settings_file.borrow_mut() = Some(file);
    }

    /// Puts the settings in force that the file has now, if its contents have changed. Settings that cannot be read or are
    /// invalid are logged, and leave those in force unchanged.
    pub fn reload(&self) {
        let mut file = self.core.settings_file.borrow_mut();
        match file.as_mut().and_then(settings::File::read_changed) {
            None => {}
            Some(Ok(settings)) => self.core.reload(settings),
            Some(Err(error)) => {
                self.log("reload", format_args!("outcome=refused cause=\"{error}\""));
            }
        }
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

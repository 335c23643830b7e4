//! The state of the upstream on this host. The upstream announces itself and renews a lease; if the
//! lease expires, it counts as gone. When it drains, other nodes are told first, and requests that
//! they still send in the meantime are accepted. After that, only a later incarnation or an operator
//! makes it accept requests again. This module has no clock, socket or thread.

use {
    crate::{member::Offer, types::Moment},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The message by which an upstream registers with the node on its host. It is repeated to renew the
/// lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The number of this start of the upstream. A later start has a higher number.
    pub incarnation: u64,
    /// The address, service, version and capacity of the upstream.
    pub offer: Offer,
}

/// An action that the node has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Refuse new requests at this node.
    RefuseRequests,
    /// Log and count that the lease has expired.
    ExpireLease,
    /// Tell the other nodes to send no new requests.
    NotifyDraining,
    /// Accept requests, and tell the other nodes that the upstream is ready.
    Open(Offer),
}

/// The reason why an announcement was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This incarnation of the upstream is draining or drained.
    #[error("this incarnation of the upstream is draining or drained")]
    Drained,
    /// The address is one of the node's own ports, which callers must not reach as an upstream.
    #[error("the address of the upstream is a port of the node itself")]
    OwnPort,
    /// A later incarnation has announced itself.
    #[error("a later incarnation of the upstream has announced itself")]
    Outdated,
    /// The node is stopping.
    #[error("the node is stopping")]
    Stopping,
}

impl Refusal {
    /// Returns the name of the counter of this refusal.
    #[must_use]
    pub fn counter(self) -> &'static str {
        match self {
            Self::Drained => "upstream.refused.drained",
            Self::OwnPort => "upstream.refused.own-port",
            Self::Outdated => "upstream.refused.outdated",
            Self::Stopping => "upstream.refused.stopping",
        }
    }
}

/// The lifecycle state of the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// No upstream has announced itself, or its lease has expired.
    #[default]
    Absent,
    /// The upstream accepts requests.
    Ready,
    /// Other nodes are told to send no new requests; requests that they still send are accepted.
    #[serde(rename = "leaving")]
    Draining,
    /// New requests are refused.
    Drained,
}

/// The registration of the upstream on this host.
#[derive(Debug)]
pub struct Registration {
    announced: Option<Announcement>,
    drain_ends: Moment,
    lease_ends: Moment,
    lease: Duration,
    own_ports: Vec<SocketAddr>,
    spread: Duration,
    state: State,
    stopping: bool,
}

impl Registration {
    /// Creates a registration without an upstream. An announcement is valid for `lease`. After the
    /// other nodes are told to send no new requests, those that still arrive within `spread` are
    /// accepted.
    #[must_use]
    pub fn new(lease: Duration, spread: Duration) -> Self {
        Self {
            announced: None,
            drain_ends: Moment::default(),
            lease_ends: Moment::default(),
            lease,
            own_ports: Vec::new(),
            spread,
            state: State::default(),
            stopping: false,
        }
    }

    /// Sets the addresses of the node's own ports, whose announcement is refused from now on.
    pub fn set_own_ports(&mut self, ports: Vec<SocketAddr>) {
        self.own_ports = ports;
    }

    /// Returns the lifecycle state of the upstream.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Accepts an announcement and renews the lease. Returns no action if nothing else changed.
    ///
    /// # Errors
    /// Fails if the address is a port of the node, the node is stopping, or the incarnation is
    /// outdated or drained.
    pub fn announce(
        &mut self,
        now: Moment,
        announcement: Announcement,
    ) -> Result<Vec<Action>, Refusal> {
        if self.is_own_port(announcement.offer.address) {
            return Err(Refusal::OwnPort);
        }
        self.check_incarnation(announcement.incarnation)?;
        self.lease_ends = now + self.lease;
        let unchanged =
            self.state == State::Ready && self.announced.as_ref() == Some(&announcement);
        let offer = announcement.offer.clone();
        self.announced = Some(announcement);
        if unchanged {
            return Ok(Vec::new());
        }
        self.state = State::Ready;
        Ok(vec![Action::Open(offer)])
    }

    fn is_own_port(&self, address: SocketAddr) -> bool {
        let is_local = address.ip().is_loopback() || address.ip().is_unspecified();
        self.own_ports.iter().any(|own| {
            let same_host = own.ip() == address.ip() || own.ip().is_unspecified() || is_local;
            same_host && own.port() == address.port()
        })
    }

    fn check_incarnation(&self, incarnation: u64) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let Some(last) = &self.announced else {
            return Ok(());
        };
        if incarnation < last.incarnation {
            return Err(Refusal::Outdated);
        }
        let draining = matches!(self.state, State::Draining | State::Drained);
        if draining && incarnation == last.incarnation {
            return Err(Refusal::Drained);
        }
        Ok(())
    }

    /// Starts to drain the upstream; does nothing unless it is ready.
    pub fn drain(&mut self, now: Moment) -> Vec<Action> {
        if self.state != State::Ready {
            return Vec::new();
        }
        self.state = State::Draining;
        self.drain_ends = now + self.spread;
        vec![Action::NotifyDraining]
    }

    /// Cancels a drain; does nothing if the node is stopping or the lease has expired.
    pub fn resume(&mut self, now: Moment) -> Vec<Action> {
        let draining = matches!(self.state, State::Draining | State::Drained);
        let Some(announced) = self.announced.as_ref().filter(|_| draining) else {
            return Vec::new();
        };
        if self.stopping || now > self.lease_ends {
            return Vec::new();
        }
        self.state = State::Ready;
        vec![Action::Open(announced.offer.clone())]
    }

    /// Drains the upstream because the node is stopping. Later announcements are refused.
    pub fn stop(&mut self, now: Moment) -> Vec<Action> {
        self.stopping = true;
        self.drain(now)
    }

    /// Advances to `now`: expires the lease and completes a drain.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        match self.state {
            State::Ready if now >= self.lease_ends => {
                self.state = State::Absent;
                vec![
                    Action::ExpireLease,
                    Action::NotifyDraining,
                    Action::RefuseRequests,
                ]
            }
            State::Draining if now >= self.drain_ends => {
                self.state = State::Drained;
                vec![Action::RefuseRequests]
            }
            _ => Vec::new(),
        }
    }
}

//! Membership records: which hosts exist, and which upstream each of them offers. A record carries an
//! incarnation and a sequence number. The higher pair wins, so all nodes keep the same record in
//! whatever order updates reach them. See docs/design/member.md.

use {
    crate::types::{Domain, Host, Moment, Region, Service, Version},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

mod failure_detector;
mod roster;

pub use {
    failure_detector::{
        CHILD_LIST_INTERVAL, FailureDetector, LOSS_TIMEOUT, MASS_LOSS_TIMEOUT, MASS_LOSS_WINDOW,
    },
    roster::{BUCKET_COUNT, Roster, TOMBSTONE_RETENTION},
};

/// Location and address of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Address on which the node accepts QUIC connections.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Host that the node runs on.
    pub host: Host,
    /// Region of the failure domain.
    pub region: Region,
}

/// What an upstream announces to the node on its host, and repeats to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// Address on which the upstream accepts HTTP requests.
    pub address: SocketAddr,
    /// Maximum number of connections that it accepts.
    #[serde(rename = "connections")]
    pub connections_max: u32,
    /// Service that it is an endpoint of.
    pub service: Service,
    /// Maximum number of requests that it runs at a time.
    pub slots: u32,
    /// Version that it runs.
    pub version: Version,
}

/// Readiness of a host for new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Is draining: finishes its running requests and accepts no new ones.
    #[serde(rename = "Leaving")]
    Draining,
    /// Has left, or has been lost.
    Gone,
}

/// State of one host, as spread to every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Location and address of its node.
    pub contact: Contact,
    /// Start time of its node. The record of the later start wins.
    pub incarnation: Moment,
    /// Offer of its upstream, if one has announced itself.
    pub offer: Option<Offer>,
    /// Number of changes within the incarnation. The higher one wins.
    pub sequence: u64,
    /// Readiness for new requests.
    pub state: State,
}

impl Record {
    /// Returns the incarnation and the sequence. Of two records of a host, the one with the greater
    /// pair wins.
    #[must_use]
    pub fn precedence(&self) -> (Moment, u64) {
        (self.incarnation, self.sequence)
    }
}

//! Membership: which hosts there are, and which upstream each one offers. Every record carries its
//! incarnation and sequence; the higher one wins, so crossed updates settle alike everywhere.
//! See docs/design/member.md.

use {
    crate::world::{Domain, Host, Moment, Region, Service, Version},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

mod attendance;
mod roster;

pub use {
    attendance::{Attendance, GATHER, KEEP, LAPSE, REPEAT},
    roster::{BUCKETS, Roster, TOMBSTONE},
};

/// Where a node is and how other nodes reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Where the node takes QUIC connections.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The host.
    pub host: Host,
    /// The region of the failure domain.
    pub region: Region,
}

/// What an upstream tells the node on its host, and repeats to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// Where the upstream takes HTTP requests.
    pub address: SocketAddr,
    /// The most connections it takes.
    pub connections: u32,
    /// The service it is an endpoint of.
    pub service: Service,
    /// The most requests it runs at a time.
    pub slots: u32,
    /// The version it runs.
    pub version: Version,
}

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has left.
    Gone,
}

/// What is known of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where its node is.
    pub contact: Contact,
    /// When its node was started; the later start wins.
    pub incarnation: Moment,
    /// What its upstream offers, if one has announced itself.
    pub offer: Option<Offer>,
    /// Counts the changes of one incarnation; the higher one wins.
    pub sequence: u64,
    /// Whether it takes new work.
    pub state: State,
}

impl Record {
    /// Gives what decides between two records of a host.
    #[must_use]
    pub fn order(&self) -> (Moment, u64) {
        (self.incarnation, self.sequence)
    }
}

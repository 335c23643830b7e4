//! The identity of the node at the other end of a connection, as its certificate states it, and the
//! frames that it may send. A node cannot pose as another host by the content of its frames.

use crate::{
    member::{Contact, Record},
    types::{Domain, Host},
    wire::Frame,
};
use std::sync::Arc;

/// The node at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The failure domain in the certificate.
    pub domain: Domain,
    /// The host in the certificate.
    pub host: Host,
}

impl Peer {
    /// Returns whether the peer may send a frame. A contact that the peer states for itself has to
    /// match its certificate. It may pass on the records of other hosts, as every node does.
    #[must_use]
    pub fn may_send(&self, frame: &Frame) -> bool {
        match frame {
            Frame::Hello(contact, _) => self.matches(contact),
            Frame::Join(join) => self.matches(&join.contact),
            Frame::Members(records) => self.may_relay(records),
            Frame::Welcome(welcome) => self.may_relay(&welcome.records),
            _ => true,
        }
    }

    fn may_relay(&self, records: &[Arc<Record>]) -> bool {
        records
            .iter()
            .map(|record| &record.contact)
            .all(|contact| contact.host != self.host || self.matches(contact))
    }

    fn matches(&self, contact: &Contact) -> bool {
        contact.host == self.host && contact.domain == self.domain
    }
}

//! Who is at the other end of a connection, as its certificate says, and which frames it may send.

use crate::{
    member::{Contact, Record},
    wire::Frame,
    world::{Domain, Host},
};
use std::sync::Arc;

/// A node at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The failure domain that its certificate names.
    pub domain: Domain,
    /// The host that its certificate names.
    pub host: Host,
}

impl Peer {
    /// Tells whether the peer may send a frame. It speaks for itself only, and only as its
    /// certificate says; of other hosts it hands on records, as every node does.
    #[must_use]
    pub fn may_send(&self, frame: &Frame) -> bool {
        match frame {
            Frame::Hello(contact, _) => self.is(contact),
            Frame::Join(join) => self.is(&join.contact),
            Frame::Members(records) => self.may_tell(records),
            Frame::Welcome(welcome) => self.may_tell(&welcome.records),
            _ => true,
        }
    }

    fn may_tell(&self, records: &[Arc<Record>]) -> bool {
        records
            .iter()
            .map(|record| &record.contact)
            .all(|contact| contact.host != self.host || self.is(contact))
    }

    fn is(&self, contact: &Contact) -> bool {
        contact.host == self.host && contact.domain == self.domain
    }
}

//! Where other nodes are, as seen from this one.

use {
    super::Core,
    crate::{
        sidecar::{frame::Contact, load_balancer::Location},
        traffic::spill::Tier,
    },
};

impl Core {
    /// Returns the distance of a node.
    pub fn tier_of(&self, contact: &Contact) -> Tier {
        if contact.domain == self.contact.domain {
            Tier::Own
        } else if contact.region == self.contact.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }

    /// Returns the location of a node for the load balancer.
    pub fn location_of<'a>(&self, contact: &'a Contact) -> Location<'a> {
        Location {
            region: &contact.region,
            tier: self.tier_of(contact),
        }
    }
}

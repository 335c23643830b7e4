//! The failure domains that the operator has evacuated: their upstreams get no new requests.
//!
//! Designed for a domain that is taken out of service within seconds, and for messages that arrive late or in another order
//! than they were sent: each set of domains carries the position in the store's history at which it was read, and a node
//! replaces the set that it knows only by one of a later position. A node that knows no set yet takes any.

use {
    super::history::Position,
    crate::types::Domain,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// Change of a domain's evacuation, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The operator has evacuated the domain.
    Begun(Domain),
    /// The operator has ended the evacuation of the domain.
    Ended(Domain),
}

/// The evacuated domains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    domains: BTreeSet<Domain>,
    /// Position in the store's history at which the domains were read; `None` if they are not known.
    position: Option<Position>,
}

impl Evacuations {
    /// Returns the set that a read of everything up to a position has given.
    #[must_use]
    pub fn read(position: Position, changes: &[Change]) -> Self {
        Self::default().with(position, changes)
    }

    /// Returns the set after a read of the changes up to a position. Changes that this set contains already, as it was read
    /// at a later position, leave it as it is.
    #[must_use]
    pub fn with(&self, position: Position, changes: &[Change]) -> Self {
        let mut later = self.clone();
        if self.position > Some(position) {
            return later;
        }
        later.position = Some(position);
        for change in changes {
            match change {
                Change::Begun(domain) => later.domains.insert(domain.clone()),
                Change::Ended(domain) => later.domains.remove(domain),
            };
        }
        later
    }

    /// Replaces this set by one of a later position. Returns whether the domains have changed.
    pub fn adopt(&mut self, other: &Self) -> bool {
        if other.position <= self.position {
            return false;
        }
        let changed = self.domains != other.domains;
        self.clone_from(other);
        changed
    }

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &Domain) -> bool {
        self.domains.contains(domain)
    }

    /// Returns whether the set was read, by whichever node.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns whether another set has the same domains, whatever its position.
    #[must_use]
    pub fn has_domains_of(&self, other: &Self) -> bool {
        self.domains == other.domains
    }
}

impl Display for Evacuations {
    /// Writes the domains and the position as fields of a log line.
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let domains: Vec<&str> = self.domains.iter().map(Domain::as_str).collect();
        let domains = if domains.is_empty() {
            String::from("none")
        } else {
            domains.join(",")
        };
        write!(f, "domains={domains}")?;
        if let Some(position) = self.position {
            write!(f, " position={position}")?;
        }
        Ok(())
    }
}

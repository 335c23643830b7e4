//! Connects the root relay of a failure domain to those of other failure domains. Within a region all
//! root relays exchange with each other. Between regions only the root relays of one failure domain of
//! each region do, the gateway, so that a change crosses to each other region once.

use {
    super::{Action, Control, PendingJoin, topology::JOIN_TIMEOUT},
    crate::{
        member::Contact,
        spread::{Relation, Tree, choose_gateways},
        types::{Domain, Host, Moment, Region},
        wire::Frame,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The number of hosts of another failure domain that are tried in turn.
const CANDIDATES_MAX: usize = 4;

/// The number of consecutive failed attempts after which a failure domain counts as unreachable.
const ATTEMPTS_MAX: usize = 2;

/// How long a failure domain that did not answer is not chosen as a gateway.
const UNREACHABLE_TIME: Duration = Duration::from_secs(5);

impl Control {
    pub(super) fn find_siblings(&mut self, now: Moment) -> Vec<Action> {
        let wanted = self.wanted_siblings();
        let mut actions = self.quit_unwanted_siblings(&wanted);
        if !self.is_root() || (!self.serving && self.welcome_count == 0) {
            self.pending_siblings.clear();
            return actions;
        }
        self.pending_siblings
            .retain(|domain, _| wanted.contains_key(domain));
        for (domain, relation) in wanted {
            actions.extend(self.find_sibling(now, &domain, relation));
        }
        actions
    }

    /// Returns the failure domains that this one exchanges with, and updates whether it is the gateway.
    fn wanted_siblings(&mut self) -> BTreeMap<Domain, Relation> {
        let places: Vec<(Region, Domain)> = self
            .roster
            .domains()
            .filter_map(|domain| self.roster.ready_contacts(domain).next())
            .map(|contact| (contact.region.clone(), contact.domain.clone()))
            .collect();
        let reached = places
            .iter()
            .filter(|(_, domain)| !self.unreachable.contains_key(domain))
            .map(|(region, domain)| (region, domain));
        let gateways = choose_gateways(reached);
        self.is_gateway = gateways.get(&self.contact.region) == Some(&self.contact.domain);
        places
            .into_iter()
            .filter(|(_, domain)| *domain != self.contact.domain)
            .filter_map(|(region, domain)| {
                if region == self.contact.region {
                    return Some((domain, Relation::RegionRelay));
                }
                let chosen = gateways
                    .get(&region)
                    .is_none_or(|gateway| *gateway == domain);
                (self.is_gateway && chosen).then_some((domain, Relation::RemoteRelay))
            })
            .collect()
    }

    fn quit_unwanted_siblings(&mut self, wanted: &BTreeMap<Domain, Relation>) -> Vec<Action> {
        let is_root = self.is_root();
        let unwanted: Vec<Host> = self
            .neighbours
            .iter()
            .filter(|(_, neighbour)| {
                matches!(
                    neighbour.relation,
                    Relation::RemoteRelay | Relation::RegionRelay
                )
            })
            .filter(|(_, neighbour)| {
                let is_wanted =
                    neighbour.is_inbound || wanted.contains_key(&neighbour.contact.domain);
                !(is_root && is_wanted)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &unwanted {
            self.remove_neighbour(host);
        }
        unwanted
            .into_iter()
            .map(|host| Action::Send(host, Frame::Quit))
            .collect()
    }

    fn find_sibling(&mut self, now: Moment, domain: &Domain, relation: Relation) -> Option<Action> {
        let is_connected = self.neighbours.values().any(|neighbour| {
            neighbour.contact.domain == *domain && neighbour.relation != Relation::Parent
        });
        if is_connected {
            self.pending_siblings.remove(domain);
            return None;
        }
        let attempts = match self.pending_siblings.get(domain) {
            Some(pending) if now < pending.until => return None,
            Some(pending) => pending.attempts + 1,
            None => 0,
        };
        if attempts >= ATTEMPTS_MAX {
            self.unreachable
                .insert(domain.clone(), now + UNREACHABLE_TIME);
        }
        let contact = self.candidate(domain, attempts)?;
        let action = self.try_join(now, &contact, relation);
        self.pending_siblings.insert(
            domain.clone(),
            PendingJoin {
                attempts,
                contact,
                until: now + JOIN_TIMEOUT,
            },
        );
        action
    }

    fn candidate(&self, domain: &Domain, attempts: usize) -> Option<Contact> {
        let tree = Tree::new(
            domain,
            self.spread.fanout,
            0,
            self.roster.ready_contacts(domain),
        );
        let candidates =
            &tree.relays_and_hubs()[..tree.relays_and_hubs().len().min(CANDIDATES_MAX)];
        candidates.get(attempts % candidates.len().max(1)).cloned()
    }

    /// Returns the relation of a pending join request to `host`, or `None` if there is none.
    pub(super) fn pending_sibling_relation(&self, host: &Host) -> Option<Relation> {
        let pending = self
            .pending_siblings
            .values()
            .find(|pending| pending.contact.host == *host)?;
        if pending.contact.region == self.contact.region {
            Some(Relation::RegionRelay)
        } else {
            Some(Relation::RemoteRelay)
        }
    }
}

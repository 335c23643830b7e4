//! Connects the root relay of a failure domain to those of other failure domains. Within a region all
//! root relays exchange with each other. Between regions only the root relays of one failure domain of
//! each region do, the gateway, so that a change crosses to each other region once.

use {
    super::{Action, Asked, Control, topology::ASK_TIMEOUT},
    crate::{
        member::Contact,
        spread::{Tie, Tree, gateways},
        wire::Frame,
        world::{Domain, Host, Moment, Region},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The number of hosts of another failure domain that are tried in turn.
const CANDIDATES: usize = 4;

/// The number of consecutive failed attempts after which a failure domain counts as unreachable.
const ATTEMPTS_MAX: usize = 2;

/// How long a failure domain that did not answer is not chosen as a gateway.
const UNREACHABLE: Duration = Duration::from_secs(5);

impl Control {
    pub(super) fn find_siblings(&mut self, now: Moment) -> Vec<Action> {
        let wanted = self.wanted();
        let mut actions = self.quit_unwanted(&wanted);
        if !self.is_root() || (!self.serving && self.welcomes == 0) {
            self.asked_siblings.clear();
            return actions;
        }
        self.asked_siblings
            .retain(|domain, _| wanted.contains_key(domain));
        for (domain, tie) in wanted {
            actions.extend(self.find_sibling(now, &domain, tie));
        }
        actions
    }

    /// Returns the failure domains that this one exchanges with, and updates whether it is the gateway.
    fn wanted(&mut self) -> BTreeMap<Domain, Tie> {
        let places: Vec<(Region, Domain)> = self
            .roster
            .domains()
            .filter_map(|domain| self.roster.live(domain).next())
            .map(|contact| (contact.region.clone(), contact.domain.clone()))
            .collect();
        let reached = places
            .iter()
            .filter(|(_, domain)| !self.unreachable.contains_key(domain))
            .map(|(region, domain)| (region, domain));
        let gateways = gateways(reached);
        self.gateway = gateways.get(&self.contact.region) == Some(&self.contact.domain);
        places
            .into_iter()
            .filter(|(_, domain)| *domain != self.contact.domain)
            .filter_map(|(region, domain)| {
                if region == self.contact.region {
                    return Some((domain, Tie::Region));
                }
                let chosen = gateways
                    .get(&region)
                    .is_none_or(|gateway| *gateway == domain);
                (self.gateway && chosen).then_some((domain, Tie::Cross))
            })
            .collect()
    }

    fn quit_unwanted(&mut self, wanted: &BTreeMap<Domain, Tie>) -> Vec<Action> {
        let root = self.is_root();
        let unwanted: Vec<Host> = self
            .neighbors
            .iter()
            .filter(|(_, neighbor)| matches!(neighbor.tie, Tie::Cross | Tie::Region))
            .filter(|(_, neighbor)| {
                let kept = neighbor.inbound || wanted.contains_key(&neighbor.contact.domain);
                !(root && kept)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &unwanted {
            self.remove(host);
        }
        unwanted
            .into_iter()
            .map(|host| Action::Send(host, Frame::Quit))
            .collect()
    }

    fn find_sibling(&mut self, now: Moment, domain: &Domain, tie: Tie) -> Option<Action> {
        let held = self
            .neighbors
            .values()
            .any(|neighbor| neighbor.contact.domain == *domain && neighbor.tie != Tie::Parent);
        if held {
            self.asked_siblings.remove(domain);
            return None;
        }
        let attempts = match self.asked_siblings.get(domain) {
            Some(asked) if now < asked.until => return None,
            Some(asked) => asked.attempts + 1,
            None => 0,
        };
        if attempts >= ATTEMPTS_MAX {
            self.unreachable.insert(domain.clone(), now + UNREACHABLE);
        }
        let contact = self.candidate(domain, attempts)?;
        let action = self.ask(now, &contact, tie);
        self.asked_siblings.insert(
            domain.clone(),
            Asked {
                attempts,
                contact,
                until: now + ASK_TIMEOUT,
            },
        );
        action
    }

    fn candidate(&self, domain: &Domain, attempts: usize) -> Option<Contact> {
        let tree = Tree::new(domain, self.spread.fanout, 0, self.roster.live(domain));
        let front = &tree.front()[..tree.front().len().min(CANDIDATES)];
        front.get(attempts % front.len().max(1)).cloned()
    }

    /// Returns the tie of a pending join request to `host`, or `None` if there is none.
    pub(super) fn asked_sibling(&self, host: &Host) -> Option<Tie> {
        let asked = self
            .asked_siblings
            .values()
            .find(|asked| asked.contact.host == *host)?;
        if asked.contact.region == self.contact.region {
            Some(Tie::Region)
        } else {
            Some(Tie::Cross)
        }
    }
}

//! Which requests may run at the upstream on this host at all, whatever its load.

use {
    super::Core,
    crate::sidecar::{evacuation::Evacuations, frame::Request, load_balancer::Offer},
};

impl Core {
    /// Returns what the upstream on this host offers to new requests, `None` if it takes none.
    pub fn offer(&self) -> Option<Offer> {
        if !self.admits_requests() || self.offer_withdrawn.get() {
            return None;
        }
        self.local_upstream.update_cold_limits(self);
        let offer = self.local_upstream.offer(self.now())?;
        self.metrics.cold.set(i64::from(offer.cold_rate > 0));
        Some(offer)
    }

    /// Returns whether the upstream on this host may take new requests: not in an evacuated domain, nor before a document is
    /// in force, as only then the evacuated domains are known.
    pub fn admits_requests(&self) -> bool {
        self.has_document() && !self.is_evacuated()
    }

    fn is_evacuated(&self) -> bool {
        self.evacuations.borrow().contains(&self.contact.domain)
    }

    /// Returns whether a request may run in the region of this node, both by the restriction that travels with it and by
    /// its route in the document in force here.
    pub fn permits_here(&self, request: &Request) -> bool {
        let region = &self.contact.region;
        let routes = self.restricted_routes.borrow();
        request.regions.permits(region) && routes.permit(request.route, region)
    }

    /// Puts a set of evacuated domains in force if it was read later than the known one. Returns whether the domains have
    /// changed. `source` is logged: the host that sent it, or the store.
    pub fn adopt_evacuations(&self, evacuations: &Evacuations, source: &str) -> bool {
        let was_evacuated = self.is_evacuated();
        if !self.evacuations.borrow_mut().adopt(evacuations) {
            return false;
        }
        let is_evacuated = self.is_evacuated();
        self.metrics.evacuated.set(i64::from(is_evacuated));
        self.log.record(
            self.now(),
            "evacuation",
            format_args!("outcome=in-force {evacuations} own={is_evacuated} source={source}"),
        );
        if is_evacuated != was_evacuated {
            if is_evacuated {
                self.local_upstream
                    .decline_waiting(self, format_args!("evacuated"));
            } else {
                // It got no requests meanwhile, and may have become cold.
                self.local_upstream.forget_warm_up();
            }
            self.broadcast_status();
        }
        true
    }
}

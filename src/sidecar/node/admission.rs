//! Which requests may run at the upstream on this host at all, whatever its load.

use {super::Core, crate::sidecar::frame::Request};

impl Core {
    /// Returns whether a request may run in the region of this node, both by the restriction that travels with it and by
    /// its route in the document in force here.
    pub fn permits_here(&self, request: &Request) -> bool {
        let region = &self.contact.region;
        let routes = self.restricted_routes.borrow();
        request.regions.permits(region) && routes.permit(request.route, region)
    }
}

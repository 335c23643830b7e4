//! Stand-ins for the systems outside of the mesh: the platform and the upstreams.

pub mod platform;
pub mod upstream;

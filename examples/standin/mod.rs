//! Stand-ins for what lies outside of the mesh: the platform and the upstreams.

pub mod platform;
pub mod upstream;

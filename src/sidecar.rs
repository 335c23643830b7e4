//! The node on machines where nobody but the node beside an upstream reaches it, and where the operator's
//! orders lie in a store that somebody else accepts them into. Its decisions ([`document`], [`queue`],
//! [`placement`], [`retries`], [`ramp`], [`duty`]) have no clock, socket or task; the other modules are the
//! edges that drive them. See docs/design/platform.md.

pub mod document;
pub mod duty;
pub mod evidence;
pub mod explain;
pub mod frame;
pub mod log;
pub mod neighbours;
pub mod node;
pub mod placement;
pub mod queue;
pub mod ramp;
pub mod retries;
pub mod returns;
pub mod settings;
pub mod spread;
pub mod store;
pub mod words;

mod conductor;
mod control;
mod egress;
mod follower;
mod forward;
mod ingress;
mod metrics;
mod peers;
mod upstream;

pub use {
    control::{Announcement, Control},
    node::Node,
};

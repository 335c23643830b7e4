//! The node for platforms on which an upstream is reachable only from the node on its own host, and on which the
//! platform's store accepts the operator's orders. The decision modules ([`answer_budget`], [`authentication`],
//! [`body_budget`], [`cold_start`], [`connections`], [`document`], [`evacuation`], [`fair_share`], [`freshness`],
//! [`load_balancer`], [`queue`], [`regions`], [`renewal`], [`retry_budget`], [`rollout`], [`shutdown`],
//! [`store_readers`], [`uploads`]) use no clock, socket or task; the other modules do the input and output and call them. See
//! docs/design/platform.md.

pub mod answer_budget;
pub mod authentication;
pub mod body_budget;
pub mod cold_start;
pub mod connection_set;
pub mod connections;
pub mod departure;
pub mod dissemination;
pub mod document;
pub mod evacuation;
pub mod evidence;
pub mod fair_share;
pub mod frame;
pub mod freshness;
pub mod header_names;
pub mod history;
pub mod load_balancer;
pub mod load_level;
pub mod log;
pub mod neighbours;
pub mod node;
pub mod pace;
pub mod queue;
pub mod refusal_history;
pub mod regions;
pub mod renewal;
pub mod retry_budget;
pub mod rollout;
pub mod settings;
pub mod shutdown;
pub mod store;
pub mod store_readers;
pub mod timeline;
pub mod uploads;

mod answer_room;
mod body_room;
mod forward;
mod handle;
mod ingress;
mod leader;
mod local_upstream;
mod metrics;
mod peers;
mod permits;
mod store_follower;
mod upstream_pool;

pub use {
    handle::{Announcement, Handle, Refusal},
    node::Node,
};

//! Tests of whole nodes and of their decisions. Each feature has its own file; the `Test` builder
//! starts the nodes.

#[allow(dead_code)]
#[path = "../examples/standin/mod.rs"]
mod standin;

mod admit;
mod api;
mod caller;
mod ctl;
mod faults;
mod golden;
mod link;
mod links;
mod member;
#[path = "rollout/mesh.rs"]
mod mesh;
mod once;
mod path;
mod quarantine;
mod requests;
mod retry;
mod rollout;
mod rollout_nodes;
mod security;
mod settings;
mod sidecar;
mod snapshot;
mod source;
#[path = "rollout/specimen.rs"]
mod specimen;
mod spread;
mod stop;
mod telemetry;
mod test;
mod wire;

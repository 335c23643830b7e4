//! Tests of whole nodes and of their decisions. Each feature has its own file; the `TestMesh` builder
//! starts the nodes.

#[allow(dead_code)]
#[path = "../examples/standin/mod.rs"]
mod standin;

mod accounts;
mod admission;
mod api;
mod caller;
mod ctl;
mod faults;
mod golden;
mod idempotency;
mod link;
mod member;
#[path = "rollout/mesh.rs"]
mod mesh;
mod path;
mod quarantine;
mod requests;
mod retry;
mod rollout;
mod rollout_nodes;
#[path = "rollout/scenario.rs"]
mod scenario;
mod security;
mod settings;
mod sidecar;
mod simulated_mesh;
mod snapshot;
mod source;
mod spread;
mod stop;
mod telemetry;
mod test_mesh;
mod upstream_stream;
mod wire;

//! Tests of whole nodes and of their decisions. One file a feature, over the small `Test` builder.

#[allow(dead_code)]
#[path = "../examples/standin/mod.rs"]
mod standin;

#[path = "rollout/mesh.rs"]
mod mesh;
mod path;
mod requests;
mod rollout;
mod rollout_nodes;
mod settings;
mod snapshot;
#[path = "rollout/specimen.rs"]
mod specimen;
mod test;

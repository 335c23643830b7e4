//! Tests of whole nodes and of their decisions. One file a feature, over the small `Test` builder.

#[allow(dead_code)]
#[path = "../examples/standin/mod.rs"]
mod standin;

mod member;
mod mesh;
mod path;
mod requests;
mod settings;
mod snapshot;
mod spread;
mod test;
mod wire;

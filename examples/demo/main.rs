//! Demonstrates a mesh in one process: a platform, nodes in two failure domains of each of two
//! regions, upstreams of two services, and callers. It completes the rollout of a good version, rolls
//! back a bad one and stops a node. It prints each check, and exits with status 1 if one fails.

mod callers;
mod mesh;
mod operator;
mod promises;
mod scenes;
#[allow(dead_code)]
#[path = "../standin/mod.rs"]
mod standin;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let mut mesh = mesh::Mesh::spawn().await;
    let mut promises = promises::Promises::default();
    scenes::play(&mut mesh, &mut promises).await;
    mesh.report();
    promises.report()
}

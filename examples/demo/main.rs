//! Shows the main job in one process: a platform, nodes in two failure domains of each of two regions,
//! upstreams of two services, and callers. It takes a good version to completed and a bad one to rolled
//! back, stops a node, prints what it saw, and ends with 1 if a promise was broken.

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

//! Runs the stand-in for an upstream: `upstream ADDR NAME SERVICE VERSION ADMIN`. It announces itself
//! once a second to the node whose admin port is ADMIN, which keeps its lease alive.

#[allow(dead_code)]
mod standin;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

#[tokio::main(worker_threads = 2)]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [address, name, service, version, admin] = arguments.as_slice() else {
        eprintln!("usage: upstream ADDR NAME SERVICE VERSION ADMIN");
        std::process::exit(2);
    };
    let address = address.parse().expect("ADDR is not an address with a port");
    let upstream = standin::upstream::Upstream::bind(address, name)
        .await
        .expect("cannot bind ADDR");
    println!("upstream {name} at {}", upstream.address);
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let announcement = serde_json::json!({
        "incarnation": u64::try_from(incarnation).unwrap_or(u64::MAX),
        "offer": {
            "address": upstream.address,
            "connections": 120,
            "service": service,
            "slots": 12,
            "version": version,
        },
    });
    let url = format!("http://{admin}/upstream");
    tokio::task::spawn_blocking(move || {
        loop {
            if let Err(error) = ureq::put(&url).send(announcement.to_string()) {
                eprintln!("cannot announce to {url}: {error}");
            }
            std::thread::sleep(ANNOUNCE_INTERVAL);
        }
    })
    .await
    .expect("the announcement loop panicked");
}

//! Runs the stand-in for the platform: `platform ADDR`, by default on 127.0.0.1:6000.

#[allow(dead_code)]
mod standin;

fn main() {
    let address = std::env::args().nth(1).unwrap_or("127.0.0.1:6000".into());
    let address = address.parse().expect("an address and port");
    let platform = standin::platform::Platform::bind(address).expect("a free port");
    println!("platform at {}", platform.url());
    loop {
        std::thread::park();
    }
}

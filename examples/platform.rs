//! Runs the stand-in for the platform: `platform ADDR`, by default on 127.0.0.1:6000.

#[allow(dead_code)]
mod standin;

fn main() {
    let address = std::env::args().nth(1).unwrap_or("127.0.0.1:6000".into());
    let address = address.parse().expect("ADDR is not an address with a port");
    let platform = standin::platform::Platform::bind(address).expect("cannot bind ADDR");
    println!("platform at {}", platform.url());
    loop {
        std::thread::park();
    }
}

//! Measures processes that `examples/measure/run` has started, and prints the results. See
//! docs/design/measurements.md.
//!
//! measure calls UPSTREAM PROXY SERVICE RATE SECONDS PID...
//! measure idle SECONDS PID...
//! measure peers DIRECTORY QUIC COUNT SECONDS PID
//! measure resources API TOKEN FIRST COUNT PID...
//! measure changes API TOKEN COUNT PID...

mod apply;
mod calls;
mod peers;
mod process;

use {process::Usage, std::time::Duration};

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["calls", upstream, proxy, service, rate, seconds, pids @ ..] => {
            let plan = calls::Plan {
                proxy: parse(proxy),
                rate: parse(rate),
                seconds: parse(seconds),
                service,
                upstream: parse(upstream),
            };
            let usage = Usage::begin(pids);
            plan.run().await;
            usage.end("while serving");
        }
        ["idle", seconds, pids @ ..] => {
            let usage = Usage::begin(pids);
            tokio::time::sleep(Duration::from_secs(parse(seconds))).await;
            usage.end("idle");
        }
        ["peers", directory, quic, count, seconds, pid] => {
            let before = Usage::begin(&[pid]);
            let peers = peers::connect(directory, parse(quic), parse(count)).await;
            before.end("while peers connect");
            let usage = Usage::begin(&[pid]);
            tokio::time::sleep(Duration::from_secs(parse(seconds))).await;
            usage.end(&format!("with {} peers", peers.len()));
        }
        ["resources", api, token, first, count, pids @ ..] => {
            let (first, count): (usize, usize) = (parse(first), parse(count));
            let usage = Usage::begin(pids);
            apply::resources(api, token, first, count);
            tokio::time::sleep(Duration::from_secs(2)).await;
            usage.end(&format!("with {} more resources", count - first));
        }
        ["changes", api, token, count, pids @ ..] => {
            let usage = Usage::begin(pids);
            apply::changes(api, token, parse(count));
            usage.end(&format!("during {count} changes, one after the other"));
        }
        _ => {
            eprintln!("unknown arguments; for the usage, see the top of examples/measure/main.rs");
            std::process::exit(2);
        }
    }
}

fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| {
        eprintln!("cannot parse the argument `{text}`");
        std::process::exit(2);
    })
}

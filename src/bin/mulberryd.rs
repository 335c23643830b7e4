//! The node that runs on each upstream host.

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    Ok(mulberryshelf::daemon::run(&arguments)?)
}

//! The daemon that runs a node of the mesh on each upstream host.

fn main() -> miette::Result<()> {
    mulberryshelf::error::install_report_handler();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    Ok(mulberryshelf::daemon::run(&arguments)?)
}

//! The command-line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    mulberryshelf::ctl::run(&arguments)
}

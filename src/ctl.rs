//! The command line of `mulberryctl`, the operators' client. One subcommand a file.

use {
    crate::error::{Error, Result},
    getopts::{Matches, Options},
    std::process::ExitCode,
};

mod apply;
mod authority;
mod client;
mod get;
mod list;

/// The exit code of a request that was refused or failed.
pub const REFUSED: u8 = 1;
/// The exit code of an unusable command line.
pub const USAGE: u8 = 2;
/// The exit code of a request whose outcome can't be told.
pub const UNKNOWN: u8 = 3;

const HELP: &str = "Usage: mulberryctl COMMAND [OPTIONS]

Commands:
  apply -f FILE      create or replace resources, all or none
  authority          make a development authority and nodes' certificates
  get KIND NAME      show one resource
  list KIND          show every resource of a kind

`mulberryctl COMMAND --help` lists a command's options.

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 outcome unknown.
";

/// Runs `mulberryctl`, and says what became of it by the exit code.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let Err(error) = dispatch(arguments) else {
        return ExitCode::SUCCESS;
    };
    let code = match &error {
        Error::Usage { .. } => USAGE,
        Error::OutcomeUnknown { .. } => UNKNOWN,
        _ => REFUSED,
    };
    eprintln!("{:?}", miette::Report::from(error));
    code.into()
}

fn dispatch(arguments: &[String]) -> Result {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(usage(format!("a command is needed\n\n{HELP}")));
    };
    match command.as_str() {
        "apply" => apply::run(rest),
        "authority" => authority::run(rest),
        "get" => get::run(rest),
        "list" => list::run(rest),
        "--help" | "-h" | "help" => {
            print!("{HELP}");
            Ok(())
        }
        "--version" | "-V" => {
            println!("mulberryctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(usage(format!("unknown command `{command}`\n\n{HELP}"))),
    }
}

fn usage(message: String) -> Error {
    Error::Usage { message }
}

/// Reads a subcommand's options; nothing if only its help was asked for.
fn parse(options: &mut Options, brief: &str, arguments: &[String]) -> Result<Option<Matches>> {
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(arguments)
        .map_err(|error| usage(error.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

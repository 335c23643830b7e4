//! The command line of `mulberryctl`, the operators' client. Each subcommand has its own module.

use {
    crate::error::{Error, Result},
    getopts::{Matches, Options},
    std::{fmt::Display, io::Write, process::ExitCode},
};

mod apply;
mod authority;
mod client;
mod delete;
mod drain;
mod explain;
mod get;
mod list;
mod status;
mod table;
mod watch;

/// Exit code of a successful command.
pub const DONE: u8 = 0;
/// Exit code of a command that was refused or failed.
pub const REFUSED: u8 = 1;
/// Exit code of an invalid command line.
pub const USAGE: u8 = 2;
/// Exit code of a change whose outcome is unknown: it may have taken effect.
pub const UNKNOWN: u8 = 3;

const HELP: &str = "Usage: mulberryctl COMMAND [OPTIONS]

Commands:
  apply -f FILE      create or replace resources, all or none
  authority          create a development authority and certificates for nodes
  delete KIND NAME   delete a resource
  drain              stop new requests to the upstream on a node's host
  explain ID         show the history of one request from the nodes' logs
  get KIND NAME      show one resource
  list KIND          show every resource of a kind
  status             show which revision each failure domain runs
  watch KIND [NAME]  show changes as they happen; of a rollout until it ends

`mulberryctl COMMAND --help` lists a command's options.

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 outcome unknown.
";

/// Runs `mulberryctl` with the standard output and error, and returns the exit code.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    crate::error::install_report_handler();
    execute(arguments, &mut std::io::stdout(), &mut std::io::stderr()).into()
}

/// Runs a command and returns its exit code. Its output is written to `out`, an error to `report`.
pub fn execute(arguments: &[String], out: &mut dyn Write, report: &mut dyn Write) -> u8 {
    let Err(error) = dispatch(arguments, out) else {
        return DONE;
    };
    let code = match &error {
        Error::Usage { .. } => USAGE,
        Error::OutcomeUnknown { .. } => UNKNOWN,
        _ => REFUSED,
    };
    // If the error report cannot be written, there is nowhere left to report that.
    let _ = writeln!(report, "{:?}", miette::Report::from(error));
    code
}

fn dispatch(arguments: &[String], out: &mut dyn Write) -> Result {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(usage(format!("a command is required\n\n{HELP}")));
    };
    match command.as_str() {
        "apply" => apply::run(rest, out),
        "authority" => authority::run(rest, out),
        "delete" => delete::run(rest, out),
        "drain" => drain::run(rest, out),
        "explain" => explain::run(rest, out),
        "get" => get::run(rest, out),
        "list" => list::run(rest, out),
        "status" => status::run(rest, out),
        "watch" => watch::run(rest, out),
        "--help" | "-h" | "help" => write_line(out, HELP.trim_end()),
        "--version" | "-V" => write_line(
            out,
            format_args!("mulberryctl {}", env!("CARGO_PKG_VERSION")),
        ),
        _ => Err(usage(format!("unknown command `{command}`\n\n{HELP}"))),
    }
}

fn usage(message: String) -> Error {
    Error::Usage { message }
}

/// Writes a line and flushes it, so that each line of a watch appears at once.
fn write_line(out: &mut dyn Write, line: impl Display) -> Result {
    writeln!(out, "{line}")
        .and_then(|()| out.flush())
        .map_err(|source| Error::File {
            step: "write",
            path: "the output".into(),
            source,
        })
}

/// Parses a subcommand's options. Returns `None` after printing the help if that was requested.
fn parse_options(
    options: &mut Options,
    brief: &str,
    arguments: &[String],
    out: &mut dyn Write,
) -> Result<Option<Matches>> {
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(arguments)
        .map_err(|error| usage(error.to_string()))?;
    if matches.opt_present("help") {
        write_line(out, options.usage(brief).trim_end())?;
        return Ok(None);
    }
    Ok(Some(matches))
}

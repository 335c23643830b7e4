//! The errors that end a command or prevent a node from starting. Each names the step that failed and
//! the file, address or peer concerned.

use std::{io, path::PathBuf};

/// An error that ends a command or prevents a node from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A port cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address of the port.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A certificate or key is unusable.
    #[error("cannot use the {what}: {message}")]
    Certificate {
        /// The kind of file: the authority, the certificate or the private key.
        what: &'static str,
        /// Why it is unusable.
        message: String,
    },
    /// A peer cannot be reached, or the connection to it ended early.
    #[error("cannot {step} {peer}: {message}")]
    Peer {
        /// The step that failed, as a verb.
        step: &'static str,
        /// The peer.
        peer: String,
        /// Why the step failed.
        message: String,
    },
    /// A file cannot be read or written.
    #[error("cannot {step} {}: {source}", path.display())]
    File {
        /// The step that failed, as a verb.
        step: &'static str,
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings have faults.
    #[error("the settings in {} have {} faults:{}", path.display(), faults.len(), fault_lines(faults))]
    #[diagnostic(help("see docs/operators/settings.md"))]
    Settings {
        /// All faults of the settings.
        faults: Vec<crate::settings::Fault>,
        /// The path of the settings file.
        path: PathBuf,
    },
    /// The counters cannot be opened.
    #[error("cannot open the counters: {0}")]
    Telemetry(io::Error),
    /// The command line is invalid.
    #[error("{message}")]
    Usage {
        /// What is wrong with the command line.
        message: String,
    },
    /// A node refused an operator's request.
    #[error("refused: {message}")]
    Refused {
        /// The node's answer.
        message: String,
    },
    /// It is unknown whether an operator's request took effect.
    #[error("outcome unknown: {message}")]
    OutcomeUnknown {
        /// What is known about the request.
        message: String,
    },
}

fn fault_lines(faults: &[crate::settings::Fault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| {
        lines + "\n  " + &fault.to_string()
    })
}

/// A result with [`Error`] as its error by default.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Installs a handler that prints the errors that end a program as plain sentences, with their causes
/// and help texts.
pub fn install_report_handler() {
    // This fails only if a handler is already installed in this process, which then stays in use.
    let _ = miette::set_hook(Box::new(|_| {
        Box::new(miette::NarratableReportHandler::new())
    }));
}

//! The errors that end a command or keep a node from starting. Each names its step and its peer.

use std::{io, path::PathBuf};

/// What can go wrong outside of the decisions.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A port can't be taken.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The port.
        address: std::net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A certificate or key is unusable.
    #[error("cannot use the {what}: {message}")]
    Certificate {
        /// Which of them.
        what: &'static str,
        /// Why.
        message: String,
    },
    /// A peer can't be reached or breaks off.
    #[error("cannot {step} {peer}: {message}")]
    Peer {
        /// What was being done.
        step: &'static str,
        /// With whom.
        peer: String,
        /// Why it failed.
        message: String,
    },
    /// A file can't be read or written.
    #[error("cannot {step} {}: {source}", path.display())]
    File {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// The settings are unusable.
    #[error("the settings in {} have {} faults:{}", path.display(), faults.len(), lines(faults))]
    #[diagnostic(help("see docs/operators/settings.md"))]
    Settings {
        /// Every fault.
        faults: Vec<crate::settings::Fault>,
        /// The file.
        path: PathBuf,
    },
    /// The counters can't be opened.
    #[error("cannot open the counters: {0}")]
    Telemetry(io::Error),
    /// The command line is unusable.
    #[error("{message}")]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// A node refused an operator's request.
    #[error("refused: {message}")]
    Refused {
        /// The node's answer.
        message: String,
    },
    /// It can't be told whether an operator's request took effect.
    #[error("outcome unknown: {message}")]
    OutcomeUnknown {
        /// What is known.
        message: String,
    },
}

fn lines(faults: &[crate::settings::Fault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| {
        lines + "\n  " + &fault.to_string()
    })
}

/// The result of a step that can fail.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Has errors that end a program shown in plain sentences, with everything that belongs to them.
pub fn install_report() {
    // Only the first program of a process decides how its errors are shown.
    let _ = miette::set_hook(Box::new(|_| {
        Box::new(miette::NarratableReportHandler::new())
    }));
}

//! The settings of a node, read from a JSON file. They are checked before anything is started, and all
//! faults are reported at once. See docs/operators/settings.md.

use {
    crate::{
        error::{Error, Result},
        member::Contact,
        tls::Identity,
        types::{Domain, Host, Region},
    },
    std::{
        fmt::{self, Debug, Formatter},
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

mod check;
pub mod fault;
pub mod key;
mod reader;

pub use {fault::Fault, key::Key};

/// The settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address at which the upstream announces itself and operators inspect this node. It must be
    /// loopback unless `admin_exposed` is set, because whoever reaches it can drain the host.
    pub admin: SocketAddr,
    /// The address at which the resource API is served.
    pub api: SocketAddr,
    /// The file with the certificate of the mesh's authority, in PEM.
    pub authority: PathBuf,
    /// The file with the certificate of this node, in PEM.
    pub certificate: PathBuf,
    /// The failure domain of this host.
    pub domain: Domain,
    /// The name of this host.
    pub host: Host,
    /// The file with the private key of this node, in PEM.
    pub key: PathBuf,
    /// How long an announcement of the upstream is valid unless it is repeated.
    pub lease: Duration,
    /// The addresses at which a few other nodes accept QUIC connections.
    pub peers: Vec<SocketAddr>,
    /// The URL of the platform's table service and object store.
    pub platform: String,
    /// The address at which callers' requests are accepted.
    pub proxy: SocketAddr,
    /// The address at which QUIC connections of other nodes are accepted.
    pub quic: SocketAddr,
    /// The region of the failure domain.
    pub region: Region,
    /// The statsd server that counters are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// The time limits of a planned stop.
    pub stop: StopLimits,
    /// The bearer tokens of operators.
    pub tokens: Tokens,
}

/// The time limits of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopLimits {
    /// How long new requests are still accepted after the other nodes are told to send none.
    pub spread: Duration,
    /// How long requests in flight may take to finish after that.
    pub timeout: Duration,
}

impl Default for StopLimits {
    fn default() -> Self {
        Self {
            spread: Duration::from_secs(1),
            timeout: Duration::from_secs(30),
        }
    }
}

/// What a bearer token permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Right {
    /// Reading.
    Read,
    /// Reading and writing.
    Write,
}

/// The bearer tokens of operators.
#[derive(Clone)]
pub struct Tokens {
    /// The token that permits reading.
    pub read: String,
    /// The token that permits reading and writing.
    pub write: String,
}

impl Debug for Tokens {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("Tokens")
    }
}

impl Tokens {
    /// Returns what a token permits, or `None` if it is unknown. The comparison takes the same time for
    /// every token of a length, so that timing reveals nothing about the valid tokens but their lengths.
    #[must_use]
    pub fn right(&self, token: &str) -> Option<Right> {
        let write = constant_time_eq(&self.write, token);
        let read = constant_time_eq(&self.read, token);
        match (write, read) {
            (true, _) => Some(Right::Write),
            (false, true) => Some(Right::Read),
            (false, false) => None,
        }
    }
}

/// Compares two tokens in a time that depends only on their lengths.
fn constant_time_eq(expected: &str, given: &str) -> bool {
    let differing = expected
        .bytes()
        .zip(given.bytes())
        .fold(0, |differing, (expected, given)| {
            differing | (expected ^ given)
        });
    expected.len() == given.len() && differing == 0
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or the settings are invalid. The error contains every fault.
    pub fn open(path: &Path) -> Result<Self> {
        let text = read(path)?;
        Self::parse(&text).map_err(|faults| Error::Settings {
            faults,
            path: path.into(),
        })
    }

    /// Reads settings from JSON text.
    ///
    /// # Errors
    /// Returns every fault, in the order in which the settings are checked.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        check::parse(text)
    }

    /// Reads the certificates and the private key from the files that the settings name.
    ///
    /// # Errors
    /// Fails if one of the files cannot be read.
    pub fn load_identity(&self) -> Result<Identity> {
        Ok(Identity {
            authority: read(&self.authority)?,
            certificate: read(&self.certificate)?,
            key: read(&self.key)?,
        })
    }

    /// Returns the contact of this node, which is sent to the other nodes.
    #[must_use]
    pub fn contact(&self) -> Contact {
        Contact {
            address: self.quic,
            domain: self.domain.clone(),
            host: self.host.clone(),
            region: self.region.clone(),
        }
    }
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| Error::File {
        step: "read",
        path: path.into(),
        source,
    })
}

//! What a node is started with: JSON, checked whole before anything is started. See
//! docs/operators/settings.md.

use {
    crate::{
        error::{Error, Result},
        member::Contact,
        tls::Identity,
        world::{Domain, Host, Region},
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
    /// Where the upstream announces itself and operators look at this node; loopback as a rule.
    pub admin: SocketAddr,
    /// Where the resource API is served.
    pub api: SocketAddr,
    /// The file of the mesh authority's certificate, in PEM.
    pub authority: PathBuf,
    /// The file of this node's certificate, in PEM.
    pub certificate: PathBuf,
    /// The failure domain of this host.
    pub domain: Domain,
    /// The name of this host.
    pub host: Host,
    /// The file of this node's private key, in PEM.
    pub key: PathBuf,
    /// How long an upstream's announcement holds unless it is repeated.
    pub lease: Duration,
    /// Where a few other nodes take QUIC connections.
    pub peers: Vec<SocketAddr>,
    /// The URL of the platform's table service and object store.
    pub platform: String,
    /// Where callers' requests are taken.
    pub proxy: SocketAddr,
    /// Where other nodes' QUIC connections are taken.
    pub quic: SocketAddr,
    /// The region of the failure domain.
    pub region: Region,
    /// Where counters are sent in statsd's protocol.
    pub statsd: Option<SocketAddr>,
    /// How a planned stop goes.
    pub stop: Stop,
    /// The bearer tokens of operators.
    pub tokens: Tokens,
}

/// How a planned stop goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// How long new work is still taken after other nodes are told to send none.
    pub spread: Duration,
    /// How long requests in flight may then take to finish.
    pub timeout: Duration,
}

impl Default for Stop {
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
    /// To read.
    Read,
    /// To read and write.
    Write,
}

/// The bearer tokens of operators.
#[derive(Clone)]
pub struct Tokens {
    /// May read.
    pub read: String,
    /// May read and write.
    pub write: String,
}

impl Debug for Tokens {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("Tokens")
    }
}

impl Tokens {
    /// Says what a token permits; nothing if it is unknown. The time that this takes tells nothing of
    /// the tokens but their lengths.
    #[must_use]
    pub fn right(&self, token: &str) -> Option<Right> {
        let write = same(&self.write, token);
        let read = same(&self.read, token);
        match (write, read) {
            (true, _) => Some(Right::Write),
            (false, true) => Some(Right::Read),
            (false, false) => None,
        }
    }
}

fn same(held: &str, given: &str) -> bool {
    let differing = held
        .bytes()
        .zip(given.bytes())
        .fold(0, |differing, (held, given)| differing | (held ^ given));
    held.len() == given.len() && differing == 0
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Fails if the file can't be read or holds anything but valid settings; every fault is named.
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
    /// Gives every fault, in the order of the text's paths.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        check::settings(text)
    }

    /// Reads the certificates and key that the settings name.
    ///
    /// # Errors
    /// Fails if one of the files can't be read.
    pub fn identity(&self) -> Result<Identity> {
        Ok(Identity {
            authority: read(&self.authority)?,
            certificate: read(&self.certificate)?,
            key: read(&self.key)?,
        })
    }

    /// Says where this node is.
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

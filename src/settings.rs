//! What a node is started with. See docs/operators/settings.md.

use {
    crate::{
        error::{Error, Result},
        member::Contact,
        tls::Identity,
        world::{Domain, Host, Region},
    },
    serde::Deserialize,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// The settings of a node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
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
    /// Where a few other nodes take QUIC connections.
    #[serde(default)]
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
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// The bearer tokens of operators.
    pub tokens: Tokens,
}

/// The bearer tokens of operators.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// May read.
    pub read: String,
    /// May read and write.
    pub write: String,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Fails if the file can't be read or holds anything but valid settings.
    pub fn open(path: &Path) -> Result<Self> {
        let text = read(path)?;
        serde_json::from_str(&text).map_err(|error| Error::Settings {
            faults: vec![error.to_string()],
        })
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

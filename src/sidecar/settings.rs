//! Settings of a node on a platform, read from a JSON file. The whole file is checked before any value is used.

use {
    crate::types::{Domain, Host, Region, Service},
    serde::{Deserialize, Deserializer},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Error of reading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read the settings: {0}")]
    Io(#[from] std::io::Error),
    /// The text is not valid JSON, or has unknown, missing or malformed values.
    #[error("can't parse the settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// Values are out of range; it holds a message for each of them.
    #[error("bad settings: {}", .0.join("; "))]
    Range(Vec<String>),
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address that other nodes are told to connect to if it differs from `link`, such as behind a forwarded port.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// The listen address for requests of callers on this host.
    pub callers: SocketAddr,
    /// The listen address for announcements of the upstream on this host.
    pub control: SocketAddr,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The maximum time for stopping; in seconds, above 0.
    #[serde(rename = "grace_s", deserialize_with = "seconds")]
    pub grace: Duration,
    /// The interval at which the upstream announces itself; in seconds, above 0.
    #[serde(rename = "heartbeat_s", deserialize_with = "seconds")]
    pub heartbeat: Duration,
    /// The name of the host.
    pub host: Host,
    /// The listen address for connections from other nodes.
    pub link: SocketAddr,
    /// The listen address for scrapes of the metrics.
    pub metrics: SocketAddr,
    /// The listen address for readiness checks.
    pub ready: SocketAddr,
    /// The region of the host.
    pub region: Region,
    /// The retry budget of each service, shared by all nodes.
    pub retries: Retries,
    /// The service of the upstream on this host.
    pub service: Service,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address at which the upstream on this host accepts requests.
    pub upstream: SocketAddr,
}

/// Retry budget of a service, shared by all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed in each window regardless of the number of requests; from 0 to 1e9.
    pub extra: f64,
    /// Retries allowed for each request in the window; from 0 to 10.
    pub ratio: f64,
    /// The length of the window; in seconds, above 0.
    #[serde(rename = "window_s", deserialize_with = "seconds")]
    pub window: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or parsed, or one that names all values out of range.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    /// Returns an error if the text can't be parsed, or one that names all values out of range.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = serde_json::from_str(text)?;
        let checks = [
            (settings.heartbeat.is_zero(), "heartbeat_s is 0"),
            (settings.grace.is_zero(), "grace_s is 0"),
            (settings.retries.window.is_zero(), "retries.window_s is 0"),
            (
                !(0.0..=10.0).contains(&settings.retries.ratio),
                "retries.ratio is not within 0 and 10",
            ),
            (
                !(0.0..=1e9).contains(&settings.retries.extra),
                "retries.extra is not within 0 and 1e9",
            ),
        ];
        let faults: Vec<String> = checks
            .into_iter()
            .filter(|(bad, _)| *bad)
            .map(|(_, text)| text.into())
            .collect();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Range(faults))
        }
    }
}

fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(serde::de::Error::custom)
}

//! The settings of a node on a platform, as JSON. A file is checked whole before any of it is used.

use {
    crate::world::{Domain, Host, Region, Service},
    serde::{Deserialize, Deserializer},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The file can't be read.
    #[error("can't read the settings: {0}")]
    Io(#[from] std::io::Error),
    /// It is no settings file.
    #[error("can't parse the settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// Values are out of range; all of them are named.
    #[error("bad settings: {}", .0.join("; "))]
    Range(Vec<String>),
}

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where other nodes are told to connect, if that is not `link` itself, such as behind a forwarded port.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Where callers on this host send requests.
    pub callers: SocketAddr,
    /// Where the upstream on this host announces itself.
    pub control: SocketAddr,
    /// The failure domain.
    pub domain: Domain,
    /// How long a stop may take, in seconds.
    #[serde(rename = "grace_s", deserialize_with = "seconds")]
    pub grace: Duration,
    /// How often the upstream announces itself, in seconds.
    #[serde(rename = "heartbeat_s", deserialize_with = "seconds")]
    pub heartbeat: Duration,
    /// The host.
    pub host: Host,
    /// Where other nodes connect to this one.
    pub link: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// The region.
    pub region: Region,
    /// The arrivals beyond the first that all nodes may cause at a service.
    pub retries: Retries,
    /// The service of the upstream on this host.
    pub service: Service,
    /// The store.
    pub store: SocketAddr,
    /// Where the upstream on this host takes requests.
    pub upstream: SocketAddr,
}

/// The shared allowance of retries.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// In each window in any case.
    pub extra: f64,
    /// For each request of the window.
    pub ratio: f64,
    /// The window, in seconds.
    #[serde(rename = "window_s", deserialize_with = "seconds")]
    pub window: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names everything that is out of range at once.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    /// Names everything that is out of range at once.
    pub fn parse(text: &str) -> Result<Self, Fault> {
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
            Err(Fault::Range(faults))
        }
    }
}

fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(serde::de::Error::custom)
}

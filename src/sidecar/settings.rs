//! Settings of a node on a platform, read from a JSON file. The whole file is checked before any value is used.

use {
    crate::types::{Domain, Host, Region, Service},
    serde::{Deserialize, Deserializer},
    std::{collections::BTreeSet, net::SocketAddr, path::Path, time::Duration},
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
    /// The tolerance of the accounts' limits; absent if no account has a limit.
    #[serde(default)]
    pub account_limits: Option<AccountLimits>,
    /// The address that other nodes are told to connect to if it differs from `link`, such as behind a forwarded port.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// The listen address for requests of callers on this host.
    pub callers: SocketAddr,
    /// The tolerance of the rate that a cold upstream bears; absent if upstreams bear any rate while they are cold.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// The listen address for announcements of the upstream on this host.
    pub control: SocketAddr,
    /// The maximum number of descriptors that the process may have open; absent if it is not known.
    #[serde(default)]
    pub descriptors_max: Option<u32>,
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
    /// The memory of the host that the process may use, in MiB; absent if it is not known.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// The listen address for scrapes of the metrics.
    pub metrics: SocketAddr,
    /// The listen address for readiness checks.
    pub ready: SocketAddr,
    /// The region of the host.
    pub region: Region,
    /// All regions of the mesh, among which the accounts' limits are divided; empty for the host's region alone.
    #[serde(default)]
    pub regions: BTreeSet<Region>,
    /// The retry budget of each service, shared by all nodes.
    pub retries: Retries,
    /// The service of the upstream on this host.
    pub service: Service,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address at which the upstream on this host accepts requests.
    pub upstream: SocketAddr,
}

/// Tolerance of the accounts' limits, over all nodes together: in each window an account may have
/// (rate x window + burst) x (1 + over) + slack requests run.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimits {
    /// The part by which a limit may be exceeded; from 0 to 10.
    pub over: f64,
    /// The requests by which it may be exceeded besides; from 0 to 1e9.
    pub slack: f64,
    /// The length of the sliding window; in seconds, above 0.
    #[serde(rename = "window_s", deserialize_with = "seconds")]
    pub window: Duration,
}

/// Tolerance of the rate that a cold upstream bears: in each second it may get rate x over + slack requests.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// The factor by which the rate may be exceeded; from 1 to 100.
    pub over: f64,
    /// The requests by which it may be exceeded besides; from 0 to 1e6.
    pub slack: f64,
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
            (
                settings
                    .account_limits
                    .is_some_and(|limits| limits.window.is_zero()),
                "account_limits.window_s is 0",
            ),
            (
                settings
                    .account_limits
                    .is_some_and(|limits| !(0.0..=10.0).contains(&limits.over)),
                "account_limits.over is not within 0 and 10",
            ),
            (
                settings
                    .account_limits
                    .is_some_and(|limits| !(0.0..=1e9).contains(&limits.slack)),
                "account_limits.slack is not within 0 and 1e9",
            ),
            (
                settings
                    .cold_start
                    .is_some_and(|cold| !(1.0..=100.0).contains(&cold.over)),
                "cold_start.over is not within 1 and 100",
            ),
            (
                settings
                    .cold_start
                    .is_some_and(|cold| !(0.0..=1e6).contains(&cold.slack)),
                "cold_start.slack is not within 0 and 1e6",
            ),
            (settings.memory_mb == Some(0), "memory_mb is 0"),
            (settings.descriptors_max == Some(0), "descriptors_max is 0"),
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

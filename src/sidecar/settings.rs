//! Settings of a node on a platform, read from a JSON file. The whole file is checked before any value is used.

use {
    super::{answer_budget, body_budget, connections, renewal},
    crate::types::{Domain, Host, Region, Service},
    serde::{Deserialize, Deserializer},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
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
    /// Limits on connections and on answers that are not read; the defaults apply to what is absent.
    #[serde(default)]
    pub connections: ConnectionLimits,
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
    /// The ports of the control address from which a process takes one to be announced to after its start; absent if the
    /// upstream does not follow the address that a response names. It is used again later then.
    #[serde(default)]
    pub renewal_ports: Option<renewal::Ports>,
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

/// Limits on connections and on answers that are not read.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionLimits {
    /// The maximum size of all answers that are held, in MiB, above 0; absent for a part of `memory_mb`.
    pub answers_mb: Option<u32>,
    /// The maximum number of connections of callers, above 0; absent for two thirds of `descriptors_max`.
    pub callers_max: Option<u32>,
    /// The maximum number of connections to each of the other HTTP ports, above 0; absent for a part of
    /// `descriptors_max`.
    pub control_max: Option<u32>,
    /// The minimum rate at which a caller reads an answer, in bytes per second on average over the stall limit; 0 for none.
    pub rate_min: u64,
    /// The maximum time in which a caller may read nothing of an answer; in seconds, above 0.
    #[serde(rename = "stall_s", deserialize_with = "seconds")]
    pub stall: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            answers_mb: None,
            callers_max: None,
            control_max: None,
            rate_min: 1024,
            stall: Duration::from_secs(10),
        }
    }
}

/// Connections to each of the HTTP ports other than that for callers, if the descriptors are not known.
const CONTROL_CONNECTIONS_MAX: u32 = 64;

/// Fewest connections to each of these ports, enough for the upstream, the platform and an operator.
const CONTROL_CONNECTIONS_MIN: u32 = 4;

/// Part of the descriptors that these connections may use, for each port.
const CONTROL_DESCRIPTORS_DIVISOR: u32 = 32;

/// Smallest and largest size of the system's buffer for what a caller sends, in bytes. Left to itself the system buffers
/// several megabytes.
const RECEIVE_BUFFER_BYTES_MIN: usize = 8 * 1024;
pub(super) const RECEIVE_BUFFER_BYTES_MAX: usize = 32 * 1024;

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

/// Settings file of a running node, which may change with or without a signal.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    /// The contents that were last read; empty if the file could not be read.
    contents: String,
}

impl File {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or parsed, or one that names all values out of range.
    pub fn open(path: PathBuf) -> Result<(Self, Settings), Error> {
        let contents = std::fs::read_to_string(&path)?;
        let settings = Settings::parse(&contents)?;
        Ok((Self { path, contents }, settings))
    }

    /// Returns the path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads and checks the file again if its contents have changed since they were last read, and returns `None` if not.
    /// A change is reported once, also if it is invalid.
    pub fn read_changed(&mut self) -> Option<Result<Settings, Error>> {
        let read = std::fs::read_to_string(&self.path);
        let contents = read.as_deref().unwrap_or_default();
        if contents == self.contents {
            return None;
        }
        self.contents = contents.into();
        Some(
            read.map_err(Error::from)
                .and_then(|text| Settings::parse(&text)),
        )
    }
}

impl Settings {
    /// Returns the maximum size of all answers that are held, in bytes.
    #[must_use]
    pub fn answer_bytes_max(&self) -> u64 {
        let stated = self.connections.answers_mb.map(|mb| u64::from(mb) << 20);
        let derived = self
            .memory_mb
            .map(|mb| (u64::from(mb) << 20) / answer_budget::MEMORY_DIVISOR);
        stated.or(derived).unwrap_or(answer_budget::DEFAULT_BYTES)
    }

    /// Returns the limits on the memory for requests.
    #[must_use]
    pub fn body_limits(&self) -> body_budget::Limits {
        let memory = self.memory_mb.map(|mb| u64::from(mb) << 20);
        memory.map_or_else(
            body_budget::Limits::default,
            body_budget::Limits::for_memory,
        )
    }

    /// Returns the size of the system's buffer for what a caller sends and the node has not read, in bytes. All connections
    /// of callers together may use an eighth of the memory; the system holds up to half more than it is told.
    #[must_use]
    pub fn receive_buffer_bytes(&self) -> usize {
        let connections = self.caller_limits().connections_max;
        let memory = self.memory_mb.map(|mb| (mb as usize) << 20);
        let share = memory.map_or(RECEIVE_BUFFER_BYTES_MAX, |memory| memory / 8 / connections);
        share.clamp(RECEIVE_BUFFER_BYTES_MIN, RECEIVE_BUFFER_BYTES_MAX)
    }

    /// Returns the limits on the connections of callers. Their number is not limited if neither it nor that of the
    /// descriptors is given.
    #[must_use]
    pub fn caller_limits(&self) -> connections::Limits {
        let descriptors = self.descriptors_max.map(|max| (max / 3 * 2).max(1));
        let connections_max = self.connections.callers_max.or(descriptors);
        self.limits(connections_max.unwrap_or(u32::MAX))
    }

    /// Returns the limits on the connections to each of the other HTTP ports.
    #[must_use]
    pub fn control_limits(&self) -> connections::Limits {
        let descriptors = self.descriptors_max.map(|max| {
            (max / CONTROL_DESCRIPTORS_DIVISOR)
                .clamp(CONTROL_CONNECTIONS_MIN, CONTROL_CONNECTIONS_MAX)
        });
        let connections_max = self.connections.control_max.or(descriptors);
        self.limits(connections_max.unwrap_or(CONTROL_CONNECTIONS_MAX))
    }

    fn limits(&self, connections_max: u32) -> connections::Limits {
        connections::Limits {
            connections_max: connections_max as usize,
            rate_min: self.connections.rate_min,
            stall: self.connections.stall,
        }
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
            (
                settings.connections.answers_mb == Some(0),
                "connections.answers_mb is 0",
            ),
            (
                settings.connections.callers_max == Some(0),
                "connections.callers_max is 0",
            ),
            (
                settings.connections.control_max == Some(0),
                "connections.control_max is 0",
            ),
            (
                settings.connections.stall.is_zero(),
                "connections.stall_s is 0",
            ),
            (
                settings
                    .renewal_ports
                    .is_some_and(|ports| ports.first > ports.last),
                "renewal_ports.first is above renewal_ports.last",
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

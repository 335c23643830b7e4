//! Counters of a node. Every refusal and retry is counted; docs/metrics.md lists all counters. The admin
//! port serves their totals at `/counters`, and they are sent to a statsd server if one is configured.

use {
    cadence::{Counted, MetricSink, StatsdClient, UdpMetricSink},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, PoisonError},
    },
};

pub mod catalogue;

/// The prefix of the counters' names at the statsd server; the totals are kept without it.
const PREFIX: &str = "mulberryshelf";

#[derive(Debug, Default)]
/// The total of every counter since the start, by name.
struct Totals(Mutex<BTreeMap<String, i64>>);

impl Totals {
    /// Adds a line in statsd's format, such as `mulberryshelf.stop.timeout:1|c`, to the totals.
    fn add(&self, line: &str) {
        let Some((name, rest)) = line.split_once(':') else {
            return;
        };
        let Some(count) = rest
            .split('|')
            .next()
            .and_then(|text| text.parse::<i64>().ok())
        else {
            return;
        };
        let name = name.trim_start_matches(PREFIX).trim_start_matches('.');
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *totals.entry(name.into()).or_default() += count;
    }
}

/// A sink that updates the totals and forwards to the statsd server, if there is one.
struct Sink {
    statsd: Option<UdpMetricSink>,
    totals: Arc<Totals>,
}

impl MetricSink for Sink {
    fn emit(&self, line: &str) -> io::Result<usize> {
        self.totals.add(line);
        match &self.statsd {
            Some(statsd) => statsd.emit(line),
            None => Ok(line.len()),
        }
    }
}

/// The counters of a node. Clones share the totals.
#[derive(Debug, Clone)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    totals: Arc<Totals>,
}

impl Telemetry {
    /// Creates the counters. They are also sent to the statsd server at this address, if there is one.
    ///
    /// # Errors
    /// Fails if the UDP socket cannot be opened.
    pub fn open(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Totals::default());
        let sink = Sink {
            statsd: statsd.map(udp_sink).transpose()?,
            totals: totals.clone(),
        };
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            totals,
        })
    }

    /// Adds 1 to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds a number of occurrences or bytes to a counter.
    ///
    /// # Panics
    /// In debug builds, if the name is not in the [`catalogue`].
    pub fn add(&self, name: &str, count: u64) {
        debug_assert!(
            catalogue::is_known(name),
            "counter `{name}` is not in the catalogue"
        );
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        // An unreachable statsd server must not affect the node. The totals are kept in any case.
        let _ = self.client.count(name, count);
    }

    /// Returns the total of every counter since the start, by name.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, i64> {
        self.totals
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn udp_sink(statsd: SocketAddr) -> io::Result<UdpMetricSink> {
    let socket = UdpSocket::bind(if statsd.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    })?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(statsd, socket).map_err(io::Error::other)
}

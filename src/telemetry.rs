//! Counters: every refusal and retry has one, named in docs/metrics.md. They go to a statsd server
//! where the settings name one, and always to the admin port's `/counters`.

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

const PREFIX: &str = "mulberryshelf";

#[derive(Debug, Default)]
struct Totals(Mutex<BTreeMap<String, i64>>);

impl Totals {
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

/// Counts what happens.
#[derive(Debug, Clone)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    totals: Arc<Totals>,
}

impl Telemetry {
    /// Opens the counters, and a socket towards `statsd` if there is one.
    ///
    /// # Errors
    /// Fails if the socket can't be opened.
    pub fn open(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Totals::default());
        let sink = Sink {
            statsd: statsd.map(udp).transpose()?,
            totals: totals.clone(),
        };
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            totals,
        })
    }

    /// Counts one occurrence.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Counts several occurrences, or bytes.
    pub fn add(&self, name: &str, count: u64) {
        debug_assert!(catalogue::is_known(name), "`{name}` is in no catalogue");
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        // A statsd server that is away must not disturb the node; the totals are kept here too.
        let _ = self.client.count(name, count);
    }

    /// Gives every counter's total since the start.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, i64> {
        self.totals
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn udp(statsd: SocketAddr) -> io::Result<UdpMetricSink> {
    let socket = UdpSocket::bind(if statsd.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    })?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(statsd, socket).map_err(io::Error::other)
}

//! Counters, gauges and latency histograms, exported in the Prometheus text format. All metric names are listed in
//! docs/metrics.md.

use {
    crate::accounts::usage::Count,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
        Opts, Registry, TextEncoder,
    },
    std::time::Duration,
};

/// Upper bounds of the latency buckets, in seconds. They range from a fast answer to the longest deadlines.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0,
];

/// Metrics of a node.
pub struct Metrics {
    accounts: IntGaugeVec,
    /// The size of the answers that are held for callers and other nodes, in bytes.
    pub answer_bytes: IntGauge,
    /// The number of connections of callers.
    pub callers: IntGauge,
    connections_closed: IntCounterVec,
    /// Checks of the upstream's health.
    pub checks: IntCounter,
    /// 1 while the upstream of this node gets a limited rate, as it is or may be cold, otherwise 0.
    pub cold: IntGauge,
    /// The number of the document in force.
    pub document: IntGauge,
    /// The time since the document in force was the newest one in the store, in milliseconds.
    pub document_age: IntGauge,
    /// 1 while the failure domain of this node is evacuated, otherwise 0.
    pub evacuated: IntGauge,
    latency: HistogramVec,
    outcomes: IntCounterVec,
    /// The number of connected nodes.
    pub peers: IntGauge,
    registry: Registry,
    /// The memory of the requests that are held for callers and other nodes, in bytes.
    pub request_bytes: IntGauge,
    retries: IntCounterVec,
    stages: HistogramVec,
    /// The latest known epoch of the store.
    pub store_epoch: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Returns an error if a metric's name is malformed or already registered.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "mulberry_request_seconds",
            "Time from a caller's request to its answer, by route and outcome.",
        );
        let stages = HistogramOpts::new(
            "mulberry_stage_seconds",
            "Time that requests spent waiting for a slot and running at the upstream.",
        );
        let metrics = Self {
            accounts: IntGaugeVec::new(
                Opts::new(
                    "mulberry_account_requests",
                    "Requests of the accounts with the most requests, and of all others together.",
                ),
                &["account", "outcome"],
            )?,
            answer_bytes: IntGauge::new(
                "mulberry_answer_bytes",
                "Bytes of answers that are held for callers and other nodes.",
            )?,
            callers: IntGauge::new("mulberry_callers", "Connections of callers.")?,
            connections_closed: IntCounterVec::new(
                Opts::new(
                    "mulberry_connections_closed_total",
                    "Connections that this node closed, by port and reason.",
                ),
                &["port", "reason"],
            )?,
            checks: IntCounter::new(
                "mulberry_checks_total",
                "Checks whether the upstream is cold.",
            )?,
            cold: IntGauge::new(
                "mulberry_cold",
                "Whether the upstream gets a limited rate, as it is or may be cold: 1, otherwise 0.",
            )?,
            document: IntGauge::new("mulberry_document", "Number of the document in force.")?,
            document_age: IntGauge::new(
                "mulberry_document_age_ms",
                "Milliseconds since a read of the store confirmed the document in force.",
            )?,
            evacuated: IntGauge::new(
                "mulberry_evacuated",
                "Whether the failure domain of this node is evacuated: 1, otherwise 0.",
            )?,
            latency: HistogramVec::new(
                latency.buckets(LATENCY_BUCKETS_S.into()),
                &["route", "outcome"],
            )?,
            outcomes: IntCounterVec::new(
                Opts::new(
                    "mulberry_outcomes_total",
                    "Callers' requests by outcome and reason.",
                ),
                &["outcome", "reason"],
            )?,
            peers: IntGauge::new("mulberry_peers", "Nodes that are connected.")?,
            registry,
            request_bytes: IntGauge::new(
                "mulberry_request_bytes",
                "Bytes of requests that are held for callers and other nodes.",
            )?,
            retries: IntCounterVec::new(
                Opts::new(
                    "mulberry_attempts_total",
                    "Further attempts by the reason for them.",
                ),
                &["reason"],
            )?,
            stages: HistogramVec::new(stages.buckets(LATENCY_BUCKETS_S.into()), &["stage"])?,
            store_epoch: IntGauge::new(
                "mulberry_store_epoch",
                "Latest known epoch of the store, which rises when it comes back from a copy.",
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.accounts.clone()))?;
        registry.register(Box::new(metrics.answer_bytes.clone()))?;
        registry.register(Box::new(metrics.callers.clone()))?;
        registry.register(Box::new(metrics.connections_closed.clone()))?;
        registry.register(Box::new(metrics.checks.clone()))?;
        registry.register(Box::new(metrics.cold.clone()))?;
        registry.register(Box::new(metrics.document.clone()))?;
        registry.register(Box::new(metrics.document_age.clone()))?;
        registry.register(Box::new(metrics.evacuated.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.peers.clone()))?;
        registry.register(Box::new(metrics.request_bytes.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.stages.clone()))?;
        registry.register(Box::new(metrics.store_epoch.clone()))?;
        Ok(metrics)
    }

    /// Sets the number of requests of each account.
    pub fn set_accounts<'a>(&self, counts: impl Iterator<Item = (&'a str, Count)>) {
        // Accounts that no longer have a figure of their own are left out.
        self.accounts.reset();
        for (account, count) in counts {
            let set = |outcome, value| {
                let gauge = self.accounts.with_label_values(&[account, outcome]);
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            };
            set("admitted", count.admitted);
            set("refused", count.refused);
        }
    }

    /// Records the outcome and latency of a caller's request. `route` is empty if none was found.
    pub fn outcome(&self, route: &str, outcome: &str, reason: &str, took: Duration) {
        self.outcomes.with_label_values(&[outcome, reason]).inc();
        let latency = self.latency.with_label_values(&[route, outcome]);
        latency.observe(took.as_secs_f64());
    }

    /// Counts connections to `port`, `callers` or `control`, that this node closed.
    pub fn count_closed(&self, port: &str, reason: &str, count: usize) {
        let closed = self.connections_closed.with_label_values(&[port, reason]);
        closed.inc_by(count as u64);
    }

    /// Counts an attempt after the first, also one after a declined request.
    pub fn record_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Records the time that a request spent in a stage, `waiting` or `running`.
    pub fn record_stage(&self, stage: &str, took: Duration) {
        let stage = self.stages.with_label_values(&[stage]);
        stage.observe(took.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

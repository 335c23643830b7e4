//! Counters and latency histograms, in the text format that scrapers read. Every name stands in
//! docs/metrics.md.

use {
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    },
    std::time::Duration,
};

/// The upper bounds of the latency buckets, in seconds: from a fast answer to the longest deadlines.
const BUCKETS: [f64; 12] = [
    0.002, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0,
];

/// A node's metrics.
pub struct Metrics {
    /// The document in force.
    pub document: IntGauge,
    latency: HistogramVec,
    outcomes: IntCounterVec,
    /// The nodes that are connected.
    pub peers: IntGauge,
    registry: Registry,
    retries: IntCounterVec,
    stages: HistogramVec,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Errors
    /// Fails if a name is taken or malformed.
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
            document: IntGauge::new("mulberry_document", "Number of the document in force.")?,
            latency: HistogramVec::new(latency.buckets(BUCKETS.into()), &["route", "outcome"])?,
            outcomes: IntCounterVec::new(
                Opts::new(
                    "mulberry_outcomes_total",
                    "Callers' requests by outcome and reason.",
                ),
                &["outcome", "reason"],
            )?,
            peers: IntGauge::new("mulberry_peers", "Nodes that are connected.")?,
            registry,
            retries: IntCounterVec::new(
                Opts::new(
                    "mulberry_attempts_total",
                    "Further attempts by the reason for them.",
                ),
                &["reason"],
            )?,
            stages: HistogramVec::new(stages.buckets(BUCKETS.into()), &["stage"])?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.document.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.peers.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.stages.clone()))?;
        Ok(metrics)
    }

    /// Counts how a caller's request ended.
    pub fn outcome(&self, route: &str, outcome: &str, reason: &str, took: Duration) {
        self.outcomes.with_label_values(&[outcome, reason]).inc();
        let latency = self.latency.with_label_values(&[route, outcome]);
        latency.observe(took.as_secs_f64());
    }

    /// Counts a further attempt.
    pub fn retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Takes in how long a request spent in a stage.
    pub fn stage(&self, stage: &str, took: Duration) {
        let stage = self.stages.with_label_values(&[stage]);
        stage.observe(took.as_secs_f64());
    }

    /// Gives all metrics as text.
    ///
    /// # Errors
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

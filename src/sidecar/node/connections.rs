//! Records what becomes of connections, and the memory of the answers and requests on them.

use {super::Core, crate::sidecar::connections::CloseReason};

impl Core {
    /// Counts and logs connections to `port`, `callers` or `control`, that this node has closed for the same reason.
    pub fn record_closed(&self, port: &str, reason: CloseReason, count: usize) {
        self.metrics.count_closed(port, &reason.to_string(), count);
        self.log.record(
            self.now(),
            "close",
            format_args!(
                "port={port} reason={reason} count={count} open={} answer_bytes={} request_bytes={}",
                self.callers.count(),
                self.answer_budget.held_bytes(),
                self.body_budget.held_bytes()
            ),
        );
    }

    /// Updates the gauges of connections, answers and requests.
    pub fn update_held_metrics(&self) {
        let answer_bytes = i64::try_from(self.answer_budget.held_bytes());
        self.metrics
            .answer_bytes
            .set(answer_bytes.unwrap_or(i64::MAX));
        let request_bytes = i64::try_from(self.body_budget.held_bytes());
        self.metrics
            .request_bytes
            .set(request_bytes.unwrap_or(i64::MAX));
        let callers = i64::try_from(self.callers.count());
        self.metrics.callers.set(callers.unwrap_or(i64::MAX));
    }
}

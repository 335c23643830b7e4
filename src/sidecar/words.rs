//! The names of the header fields that callers and upstreams of a platform use. The adapter of the platform
//! states them; nothing else in the product knows them.

/// Names of header fields.
#[derive(Debug, Clone, Copy)]
pub struct Words {
    /// On a request: the service on whose host it began.
    pub caller: &'static str,
    /// On a request: the upstream that is to run it.
    pub expected: &'static str,
    /// On both: identifies the request.
    pub id: &'static str,
    /// On an answer: the upstream did not run the request.
    pub not_run: &'static str,
    /// On an answer: that it is the upstream's own.
    pub signature: &'static str,
    /// On a request: how many milliseconds its sender waits.
    pub time_left: &'static str,
}

//! Names of the HTTP header fields that callers and upstreams of a platform use. Only the platform's adapter defines
//! them, so that the rest of the code does not depend on one platform.

/// Names of the header fields of a platform.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// On a request to an upstream: the client account of its caller.
    pub account: &'static str,
    /// On a request to an upstream: the service on whose host the caller runs.
    pub caller_service: &'static str,
    /// On a request to an upstream: the upstream instance that is to run it.
    pub expected_instance: &'static str,
    /// On a response: the upstream's load, and how long work takes on its host at present.
    pub load: &'static str,
    /// On requests and responses: the request ID.
    pub request_id: &'static str,
    /// On a response: the upstream did not run the request.
    pub not_run: &'static str,
    /// On a response: the upstream's signature. A successful response without it is treated as lost.
    pub signature: &'static str,
    /// On a response to a health check: the time for which the upstream stays cold, in milliseconds.
    pub cold: &'static str,
    /// On a request: the time that its sender still waits, in milliseconds.
    pub time_left: &'static str,
}

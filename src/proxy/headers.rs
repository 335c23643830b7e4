//! Names of headers, and the conversion of headers for the transfer between nodes. Hop-by-hop
//! headers, which hold for one connection only, are not forwarded.

use {
    crate::wire::Header,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
};

/// The request id, which stays the same end to end.
pub const REQUEST_ID: &str = "x-request-id";
/// The requested service. Takes precedence over the host header.
pub const SERVICE: &str = "x-mulberry-service";
/// The reason why the mesh answered instead of the upstream.
pub const REASON: &str = "x-mulberry-reason";
/// Whether a refused request may have run: `not-run` or `unknown`.
pub const OUTCOME: &str = "x-mulberry-outcome";
/// The version that answered.
pub const VERSION: &str = "x-mulberry-version";

/// The time that is left to answer, in milliseconds.
pub const DEADLINE: &str = "x-mulberry-deadline-ms";
/// The number of nodes that a chain of calls has passed through.
pub const HOP: &str = "x-mulberry-hop";
/// `true` if running the request more than once does no harm.
pub const IDEMPOTENT: &str = "x-mulberry-idempotent";
/// The idempotency key. A request runs at most once, however often it is sent with the same key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The time at which a request with an idempotency key was first sent, in milliseconds since the
/// Unix epoch.
pub const FIRST_SENT_MS: &str = "x-mulberry-first-sent-ms";

const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Converts headers for the transfer to another node, without the hop-by-hop headers.
#[must_use]
pub fn encode(headers: &HeaderMap) -> Vec<Header> {
    let named = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|option| option == name.as_str()))
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Converts headers from another node to a header map. Invalid headers are left out.
#[must_use]
pub fn decode(headers: &[Header]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            Some((name, value))
        })
        .fold(HeaderMap::new(), |mut map, (name, value)| {
            map.append(name, value);
            map
        })
}

//! Headers as they cross between nodes: those of one connection only are left behind.

use {
    crate::wire::Header,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
};

/// Names the request end to end.
pub const ID: &str = "x-request-id";
/// Names the service, where the host header doesn't.
pub const SERVICE: &str = "x-mulberry-service";
/// Says why the mesh answered in the upstream's place.
pub const REASON: &str = "x-mulberry-reason";
/// Says whether a refused request has run: `not-run` or `unknown`.
pub const OUTCOME: &str = "x-mulberry-outcome";
/// Says which version answered.
pub const VERSION: &str = "x-mulberry-version";

/// The time that is left to answer, in milliseconds.
pub const DEADLINE: &str = "x-mulberry-deadline-ms";
/// How many nodes a chain of calls has passed through.
pub const HOP: &str = "x-mulberry-hop";
/// Says, by `true`, that running the request again does no harm.
pub const IDEMPOTENT: &str = "x-mulberry-idempotent";
/// Has a request run at most once, however often it is sent with the same key.
pub const KEY: &str = "idempotency-key";
/// When a request with a key was first sent, in milliseconds since the Unix epoch.
pub const FIRST_SENT: &str = "x-mulberry-first-sent-ms";

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

/// Lists the headers that go on to the next hop.
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

/// Turns headers from another node into the HTTP library's, leaving out what isn't valid.
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

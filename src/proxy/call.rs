//! A request as it passes through a node, read from the caller's HTTP request or from the head that
//! another node sent. The beginning of its body is buffered, so that a retry can send it again.

use {
    super::headers,
    crate::{
        body::Body,
        refusal::Reason,
        resource::Limits,
        traffic::{quarantine::Fingerprint, retry::Class},
        types::{Moment, Service},
        wire::{Header, IdempotencyKey, Request as Head},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{HeaderMap, Request, body::Incoming, http::request::Parts},
    std::time::Duration,
};

/// The timeout of a request if neither its caller nor the limits of its route state one.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum length of a request body in bytes, if the limits of its route state none.
pub const DEFAULT_BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;
/// The maximum number of nodes that a chain of calls may pass through.
pub const HOPS_MAX: u32 = 16;
/// The number of body bytes that are buffered for retries. A body is read until it has at least
/// this many bytes, so the buffer may exceed it by one piece of the body.
const REPLAY_BUFFER_BYTES: usize = 64 * 1024;

/// The head of a request: everything but its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether the request may run more than once.
    pub class: Class,
    /// The time at which the caller stops waiting.
    pub deadline: Moment,
    /// The headers that are forwarded.
    pub headers: Vec<Header>,
    /// The number of nodes that the chain of calls passed through before this one.
    pub hop: u32,
    /// The request id, which stays the same end to end.
    pub id: String,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The HTTP method.
    pub method: String,
    /// The requested service.
    pub service: Service,
    /// The path and query.
    pub target: String,
}

impl Call {
    /// Creates a call from the head of a caller's request. The timeout is the smaller one of the
    /// caller's and that of `limits`, which is [`DEFAULT_TIMEOUT`] if not stated.
    ///
    /// # Errors
    /// Returns the reason if a header is malformed or the hop count exceeds [`HOPS_MAX`].
    pub fn from_parts(
        now: Moment,
        id: String,
        parts: &Parts,
        limits: &Limits,
    ) -> Result<Self, Reason> {
        let map = &parts.headers;
        let hop: u32 = numeric_header(map, headers::HOP)?.unwrap_or(0);
        if hop > HOPS_MAX {
            return Err(Reason::Hops);
        }
        let timeout_max = limits
            .timeout_ms
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let requested = numeric_header(map, headers::DEADLINE)?.map(Duration::from_millis);
        let timeout = requested.map_or(timeout_max, |requested| requested.min(timeout_max));
        let declared = header(map, headers::IDEMPOTENT)?.is_some_and(|text| text == "true");
        Ok(Self {
            class: Class::of(parts.method.as_str(), declared),
            deadline: now + timeout,
            headers: headers::encode(map),
            hop,
            id,
            idempotency_key: idempotency_key(map)?,
            method: parts.method.to_string(),
            service: requested_service(map)?,
            target: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".into(), ToString::to_string),
        })
    }

    /// Creates a call from a request that another node forwarded to this one as the owner of its
    /// idempotency key.
    #[must_use]
    pub fn from_forwarded(now: Moment, head: Head) -> Self {
        Self {
            class: Class::OnceOnly,
            deadline: now + Duration::from_micros(head.budget),
            headers: head.headers,
            hop: head.hop,
            id: head.id,
            idempotency_key: head.idempotency_key,
            method: head.method,
            service: head.service,
            target: head.target,
        }
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        target_path(&self.target)
    }

    /// Returns the text by which the version is chosen: the idempotency key, so that a repeated
    /// request reaches the same version, or else the request id.
    #[must_use]
    pub fn version_key(&self) -> &str {
        self.idempotency_key
            .as_ref()
            .map_or(&self.id, |idempotency_key| &idempotency_key.key)
    }
}

/// Returns the path of a request target without its query.
#[must_use]
pub fn target_path(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

/// Returns the service that a request names in its service header or, without one, in the first
/// label of its host header.
///
/// # Errors
/// Returns the reason if the headers name no valid service.
pub fn requested_service(map: &HeaderMap) -> Result<Service, Reason> {
    let named = header(map, headers::SERVICE)?;
    let host = || {
        Some(
            header(map, "host")
                .ok()??
                .split(['.', ':'])
                .next()?
                .to_string(),
        )
    };
    let name = named.map(String::from).or_else(host);
    name.and_then(|name| name.parse().ok())
        .ok_or(Reason::BadRequest)
}

/// Returns the request id that the caller chose, or a random one.
#[must_use]
pub fn request_id(request: &Request<Incoming>) -> String {
    match header(request.headers(), headers::REQUEST_ID) {
        Ok(Some(id)) => id.into(),
        _ => format!("{:032x}", rand::random::<u128>()),
    }
}

fn idempotency_key(map: &HeaderMap) -> Result<Option<IdempotencyKey>, Reason> {
    let Some(key) = header(map, headers::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let first_sent_ms: Option<u64> = numeric_header(map, headers::FIRST_SENT_MS)?;
    Ok(Some(IdempotencyKey {
        first_sent_us: first_sent_ms.map(|millis| millis.saturating_mul(1000)),
        key: key.into(),
    }))
}

/// Returns the value of a header, or an error if the header occurs more than once or is not text.
fn header<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reason> {
    let mut values = map.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(Reason::BadRequest);
    }
    let text = value.map(|value| value.to_str()).transpose();
    text.map_err(|_| Reason::BadRequest)
}

fn numeric_header<T: std::str::FromStr>(map: &HeaderMap, name: &str) -> Result<Option<T>, Reason> {
    let number = header(map, name)?.map(str::parse).transpose();
    number.map_err(|_| Reason::BadRequest)
}

/// The buffered beginning of a body, which a retry can send again.
#[derive(Debug, Clone, Default)]
pub struct Beginning {
    /// The buffered bytes.
    pub bytes: Bytes,
    /// The trailers if the buffer holds the complete body, `None` if more of it follows.
    pub trailers: Option<Vec<Header>>,
}

impl Beginning {
    /// Reads the beginning of a body. `limit` is the maximum length of the body in bytes.
    ///
    /// # Errors
    /// Returns the reason if the body exceeds `limit` or is truncated.
    pub async fn read(body: &mut Body, limit: u64) -> Result<Self, Reason> {
        let mut bytes = BytesMut::new();
        while bytes.len() < REPLAY_BUFFER_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self::complete(bytes, Vec::new()));
            };
            match frame.map_err(|_| Reason::Cut)?.into_data() {
                Ok(data) => bytes.extend_from_slice(&data),
                Err(frame) => {
                    let trailers = frame.trailers_ref().map(headers::encode);
                    return Ok(Self::complete(bytes, trailers.unwrap_or_default()));
                }
            }
            if bytes.len() as u64 > limit {
                return Err(Reason::TooLarge);
            }
        }
        Ok(Self {
            bytes: bytes.freeze(),
            trailers: None,
        })
    }

    fn complete(bytes: BytesMut, trailers: Vec<Header>) -> Self {
        Self {
            bytes: bytes.freeze(),
            trailers: Some(trailers),
        }
    }

    /// Returns the fingerprint of the request with this beginning of its body.
    #[must_use]
    pub fn fingerprint(&self, call: &Call) -> Fingerprint {
        let service = call.service.as_str();
        Fingerprint::new(service, &call.method, &call.target, &self.bytes)
    }
}

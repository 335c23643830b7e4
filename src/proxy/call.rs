//! A request as it passes through a node: read from the caller's HTTP, or from the part that another
//! node sent. The beginning of its body is kept, so that it can be sent again.

use {
    super::headers,
    crate::{
        body::Body,
        refusal::Reason,
        resource::Limits,
        traffic::{quarantine::Fingerprint, retry::Class},
        wire::{Header, Keyed, Request as Head},
        world::{Moment, Service},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{HeaderMap, Request, body::Incoming, http::request::Parts},
    std::time::Duration,
};

/// The longest that a request may take, where neither its caller nor its limits state it.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// The longest body of a request, in bytes, where the limits don't state it.
pub const BODY_MAX: u64 = 8 * 1024 * 1024;
/// The most nodes that a chain of calls passes through.
pub const HOPS_MAX: u32 = 16;
/// The bytes of a body that are kept to be sent again.
const KEPT_BYTES: usize = 64 * 1024;

/// A request without its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it may run more than once.
    pub class: Class,
    /// When its caller waits no more.
    pub deadline: Moment,
    /// The headers that go on.
    pub headers: Vec<Header>,
    /// How many nodes took it in before this one.
    pub hop: u32,
    /// Identifies it end to end.
    pub id: String,
    /// Its idempotency key.
    pub keyed: Option<Keyed>,
    /// The HTTP method.
    pub method: String,
    /// The service that is asked for.
    pub service: Service,
    /// The path and query.
    pub target: String,
}

impl Call {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// Gives the reason if a header can't be read.
    pub fn read(now: Moment, id: String, parts: &Parts, limits: &Limits) -> Result<Self, Reason> {
        let map = &parts.headers;
        let hop: u32 = number(map, headers::HOP)?.unwrap_or(0);
        if hop > HOPS_MAX {
            return Err(Reason::Hops);
        }
        let most = limits.timeout_ms.map_or(TIMEOUT, Duration::from_millis);
        let stated = number(map, headers::DEADLINE)?.map(Duration::from_millis);
        let timeout = stated.map_or(most, |stated| stated.min(most));
        let declared = text(map, headers::IDEMPOTENT)?.is_some_and(|text| text == "true");
        Ok(Self {
            class: Class::of(parts.method.as_str(), declared),
            deadline: now + timeout,
            headers: headers::encode(map),
            hop,
            id,
            keyed: keyed(map)?,
            method: parts.method.to_string(),
            service: service(map)?,
            target: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".into(), ToString::to_string),
        })
    }

    /// Takes over a request that another node sent to this one as the owner of its key.
    #[must_use]
    pub fn adopt(now: Moment, head: Head) -> Self {
        Self {
            class: Class::OnceOnly,
            deadline: now + Duration::from_micros(head.budget),
            headers: head.headers,
            hop: head.hop,
            id: head.id,
            keyed: head.keyed,
            method: head.method,
            service: head.service,
            target: head.target,
        }
    }

    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        path(&self.target)
    }

    /// What decides the version: the key, so that a repeated request meets the same one.
    #[must_use]
    pub fn identity(&self) -> &str {
        self.keyed.as_ref().map_or(&self.id, |keyed| &keyed.key)
    }
}

/// The path of a target without its query.
#[must_use]
pub fn path(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

/// Finds the service that a request asks for.
///
/// # Errors
/// Gives the reason if the headers name none.
pub fn service(map: &HeaderMap) -> Result<Service, Reason> {
    let named = text(map, headers::SERVICE)?;
    let host = || {
        Some(
            text(map, "host")
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

/// Gives the id that a caller chose, or a new one.
#[must_use]
pub fn id(request: &Request<Incoming>) -> String {
    match text(request.headers(), headers::ID) {
        Ok(Some(id)) => id.into(),
        _ => format!("{:032x}", rand::random::<u128>()),
    }
}

fn keyed(map: &HeaderMap) -> Result<Option<Keyed>, Reason> {
    let Some(key) = text(map, headers::KEY)? else {
        return Ok(None);
    };
    let sent: Option<u64> = number(map, headers::FIRST_SENT)?;
    Ok(Some(Keyed {
        first_sent: sent.map(|millis| millis.saturating_mul(1000)),
        key: key.into(),
    }))
}

/// Reads a header that must not be given twice.
fn text<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reason> {
    let mut values = map.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(Reason::BadRequest);
    }
    let text = value.map(|value| value.to_str()).transpose();
    text.map_err(|_| Reason::BadRequest)
}

fn number<T: std::str::FromStr>(map: &HeaderMap, name: &str) -> Result<Option<T>, Reason> {
    let number = text(map, name)?.map(str::parse).transpose();
    number.map_err(|_| Reason::BadRequest)
}

/// The beginning of a body, which can be sent again.
#[derive(Debug, Clone, Default)]
pub struct Beginning {
    /// The bytes.
    pub bytes: Bytes,
    /// The trailers, if the body is whole.
    pub trailers: Option<Vec<Header>>,
}

impl Beginning {
    /// Reads the beginning of a body.
    ///
    /// # Errors
    /// Gives the reason if the body is too long or is cut short.
    pub async fn read(body: &mut Body, limit: u64) -> Result<Self, Reason> {
        let mut bytes = BytesMut::new();
        while bytes.len() < KEPT_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self::whole(bytes, Vec::new()));
            };
            match frame.map_err(|_| Reason::Cut)?.into_data() {
                Ok(data) => bytes.extend_from_slice(&data),
                Err(frame) => {
                    let trailers = frame.trailers_ref().map(headers::encode);
                    return Ok(Self::whole(bytes, trailers.unwrap_or_default()));
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

    fn whole(bytes: BytesMut, trailers: Vec<Header>) -> Self {
        Self {
            bytes: bytes.freeze(),
            trailers: Some(trailers),
        }
    }

    /// Makes the fingerprint of a request that begins so.
    #[must_use]
    pub fn fingerprint(&self, call: &Call) -> Fingerprint {
        let service = call.service.as_str();
        Fingerprint::new(service, &call.method, &call.target, &self.bytes)
    }
}

//! Parsing of message heads and of the framing of bodies.

use super::{Body, Error, Field, Request, has_token};

/// Maximum number of header fields in a message.
const FIELDS_MAX: usize = 100;

/// Framing of a body, which determines its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body has the given length, in bytes.
    Length(u64),
    /// The body ends when the connection closes.
    UntilClose,
}

/// Head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// Whether the connection closes after this exchange.
    pub close: bool,
    /// The header fields, as they were received.
    pub fields: Vec<Field>,
    /// What determines the end of the body.
    pub framing: Framing,
    /// The method.
    pub method: String,
    /// The request target, usually the path and query.
    pub target: String,
}

impl RequestHead {
    /// Returns the request that consists of this head and a body.
    #[must_use]
    pub fn into_request(self, body: Body) -> Request {
        Request {
            body,
            close: self.close,
            fields: self.fields,
            method: self.method,
            target: self.target,
        }
    }
}

/// Head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    pub close: bool,
    pub fields: Vec<Field>,
    pub framing: Framing,
    pub status: u16,
}

/// Parses the head of a request. Returns it with its length in bytes, or `None` if it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("head of a request")),
    };
    let fields = fields(parsed.headers);
    let version = parsed.version.unwrap_or(1);
    let framing = framing(version, &fields)?.unwrap_or(Framing::Length(0));
    let head = RequestHead {
        close: closes_connection(version, &fields),
        framing,
        method: parsed.method.unwrap_or_default().into(),
        target: parsed.path.unwrap_or_default().into(),
        fields,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response. Returns it with its length in bytes, or `None` if it is incomplete. `is_head_request`
/// states whether the request had the method `HEAD`, so that the response has no body.
pub fn parse_response(
    bytes: &[u8],
    is_head_request: bool,
) -> Result<Option<(ResponseHead, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("head of a response")),
    };
    let status = parsed.code.unwrap_or_default();
    let fields = fields(parsed.headers);
    let version = parsed.version.unwrap_or(1);
    let stated = framing(version, &fields)?;
    match status {
        // No request asks for another protocol, and an interim response has no body: it would be a final one.
        101 => return Err(Error::Malformed("a change of the protocol")),
        100..=199 if stated.is_some() => return Err(Error::Malformed("an interim body")),
        100..=599 => {}
        _ => return Err(Error::Malformed("status")),
    }
    let empty = is_head_request || matches!(status, 100..=199 | 204 | 304);
    let framing = if empty {
        Framing::Length(0)
    } else {
        stated.unwrap_or(Framing::UntilClose)
    };
    let head = ResponseHead {
        close: closes_connection(version, &fields) || framing == Framing::UntilClose,
        fields,
        framing,
        status,
    };
    Ok(Some((head, length)))
}

fn fields(headers: &[httparse::Header]) -> Vec<Field> {
    headers
        .iter()
        .map(|header| Field::new(header.name, header.value))
        .collect()
}

fn closes_connection(version: u8, fields: &[Field]) -> bool {
    let keep_alive = has_token(fields, "connection", "keep-alive");
    has_token(fields, "connection", "close") || (version == 0 && !keep_alive)
}

/// Returns the framing that a head states, or `None` if it states none. Any framing that two implementations could
/// interpret differently is rejected, to prevent request smuggling.
fn framing(version: u8, fields: &[Field]) -> Result<Option<Framing>, Error> {
    let mut lengths = fields.iter().filter(|field| field.is("content-length"));
    let mut codings = fields.iter().filter(|field| field.is("transfer-encoding"));
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Error::Malformed("both a length and a transfer coding")),
        (None, Some(coding)) => {
            if version == 0 {
                return Err(Error::Malformed("a transfer coding in HTTP/1.0"));
            }
            if codings.next().is_some() || !coding.value.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed("transfer coding"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(length), None) => {
            if lengths.next().is_some() {
                return Err(Error::Malformed("two lengths"));
            }
            let digits = !length.value.is_empty() && length.value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(&length.value).unwrap_or_default();
            match text.parse() {
                Ok(length) if digits => Ok(Some(Framing::Length(length))),
                _ => Err(Error::Malformed("length of a body")),
            }
        }
    }
}

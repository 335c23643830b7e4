//! Encoding of messages. Bodies are always framed by `Content-Length`. Fields that contain line breaks or NUL are left
//! out, as they could end the head early.

use {
    super::Field,
    bytes::{BufMut, Bytes, BytesMut},
};

/// Buffer capacity reserved for a head, in bytes, so that most messages need only one allocation.
const HEAD_CAPACITY_BYTES: usize = 512;

/// Returns an encoded request. `fields` must not contain the framing, which is added by the body's length.
#[must_use]
pub fn encode_request(method: &str, target: &str, fields: &[Field], body: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + body.len());
    put_request_head(&mut bytes, method, target, fields, body.len());
    bytes.put_slice(body);
    bytes.freeze()
}

/// Returns the encoded head of a request with a body of the given length, in bytes. `fields` must not contain the framing,
/// which is added by that length.
#[must_use]
pub fn encode_request_head(
    method: &str,
    target: &str,
    fields: &[Field],
    body_length: usize,
) -> Bytes {
    let mut bytes = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    put_request_head(&mut bytes, method, target, fields, body_length);
    bytes.freeze()
}

/// Returns the encoded head of a response with a body of the given length, in bytes. `fields` must not contain the
/// framing, which is added by that length; `close` adds `Connection: close`.
#[must_use]
pub fn encode_response_head(
    status: u16,
    fields: &[Field],
    body_length: usize,
    close: bool,
) -> Bytes {
    let mut bytes = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    put_response_head(&mut bytes, status, fields, body_length, close);
    bytes.freeze()
}

/// Returns an encoded response. `fields` must not contain the framing, which is added by the body's length; `close`
/// adds `Connection: close`.
#[must_use]
pub fn encode_response(status: u16, fields: &[Field], body: &[u8], close: bool) -> Bytes {
    let mut bytes = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + body.len());
    put_response_head(&mut bytes, status, fields, body.len(), close);
    bytes.put_slice(body);
    bytes.freeze()
}

fn put_request_head(
    bytes: &mut BytesMut,
    method: &str,
    target: &str,
    fields: &[Field],
    body_length: usize,
) {
    bytes.put_slice(method.as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(target.as_bytes());
    bytes.put_slice(b" HTTP/1.1\r\n");
    put_fields(bytes, fields);
    if body_length > 0 || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        put_content_length(bytes, body_length);
    }
    bytes.put_slice(b"\r\n");
}

fn put_response_head(
    bytes: &mut BytesMut,
    status: u16,
    fields: &[Field],
    body_length: usize,
    close: bool,
) {
    let reason = hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown");
    bytes.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    put_fields(bytes, fields);
    if !matches!(status, 204 | 304) {
        put_content_length(bytes, body_length);
    }
    if close {
        bytes.put_slice(b"Connection: close\r\n");
    }
    bytes.put_slice(b"\r\n");
}

fn put_content_length(bytes: &mut BytesMut, length: usize) {
    bytes.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
}

fn put_fields(bytes: &mut BytesMut, fields: &[Field]) {
    for field in fields {
        let breaks_head = |byte: &u8| matches!(*byte, b'\r' | b'\n' | 0);
        if field.value.iter().any(breaks_head) || field.name.bytes().any(|byte| breaks_head(&byte))
        {
            continue;
        }
        bytes.put_slice(field.name.as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(&field.value);
        bytes.put_slice(b"\r\n");
    }
}

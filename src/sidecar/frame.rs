//! What nodes send each other over a kept TCP connection, each frame behind its length. See
//! docs/design/platform.md for the rivals that were weighed.

use {
    super::{
        document::{Difference, Document, Number},
        duty::Reach,
        evidence::Evidence,
        placement::{Load, Offer},
        queue::Demand,
        ramp::Ramp,
        spread::Scope,
    },
    crate::{
        http1::Field,
        refusal::Reason,
        traffic::quarantine::Strike,
        world::{Domain, Host, Moment, Region, Service, Version},
    },
    bytes::{BufMut, Bytes, BytesMut},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// The longest frame, in bytes: a body at its usual limit, and its head.
pub const FRAME_MAX: usize = 72 * 1024 * 1024;

/// Where a node is, and which start of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Where other nodes connect to it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its host.
    pub host: Host,
    /// Tells this start of the node from others; a later one is higher.
    pub incarnation: u64,
    /// Its region.
    pub region: Region,
}

/// Identifies a request on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream(pub u64);

/// A request on its way to the node at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The body.
    pub body: Bytes,
    /// The service on whose host it began.
    pub caller: Service,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The header fields that go on.
    pub fields: Vec<Field>,
    /// Identifies it end to end.
    pub id: String,
    /// The time that is left to answer.
    pub left: Duration,
    /// The method.
    pub method: String,
    /// The rank of its route.
    pub priority: u32,
    /// Whether its caller was refused before and has come back.
    pub returned: bool,
    /// Identifies its route.
    pub route: u64,
    /// The service that it is for.
    pub service: Service,
    /// The path and query.
    pub target: String,
    /// The version that was chosen.
    pub version: Version,
    /// The time until which its answer has its full value.
    pub worth_for: Duration,
}

impl Request {
    /// Gives what the request needs, counted from `now`.
    #[must_use]
    pub fn demand(&self, now: Moment) -> Demand {
        Demand {
            deadline: now + self.left,
            priority: self.priority,
            returned: self.returned,
            route: self.route,
            target: now + self.worth_for,
        }
    }
}

/// An upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The body.
    pub body: Bytes,
    /// The header fields that go back.
    pub fields: Vec<Field>,
    /// Whether the upstream said that it did not run the request.
    pub not_run: bool,
    /// The status code.
    pub status: u16,
}

/// How a request ended at the node beside the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered.
    Answered(Answer),
    /// No byte of it reached the upstream; there is likely room after a while.
    Declined(Reason, Duration),
    /// It may have run, and there is no answer.
    Unknown(Reason),
}

/// What nodes tell each other of themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The document that is in force.
    pub document: Number,
    /// What the upstream offers; nothing if it takes no new work.
    pub offer: Option<Offer>,
    /// How the node stands to the store.
    pub reach: Reach,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on every connection, in both directions.
    Hello(Contact),
    /// Asks for a sign of life, and tells which document is in force at the sender.
    Ping(Number),
    /// Answers it alike.
    Pong(Number),
    /// Asks for the nodes that the receiver knows.
    Introduce,
    /// What has changed at the sender.
    Status(Status),
    /// Nodes that the sender knows.
    Contacts(Vec<Contact>),
    /// Asks for what follows a document.
    Fetch(Number),
    /// A whole document, and whom the receiver hands it on to.
    Document(Scope, Arc<Document>),
    /// A step between documents, and whom the receiver hands it on to.
    Difference(Scope, Arc<Difference>),
    /// Runs of the sender's upstream, for the node that conducts the move.
    Evidence(Evidence),
    /// What is in force while traffic moves, and whom the receiver hands it on to.
    Ramp(Scope, Ramp),
    /// Requests that crash upstreams.
    Strikes(Vec<Strike>),
    /// A request.
    Request(Stream, Box<Request>),
    /// The sender waits no more for an outcome.
    Cancel(Stream),
    /// How a request ended, and the load at the upstream.
    Outcome(Stream, Outcome, Load),
}

/// Encodes a frame with its length. Large frames are compressed, as configurations repeat themselves.
///
/// # Errors
/// Fails if a value can't be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, postcard::Error> {
    let plain = postcard::to_stdvec(frame)?;
    let compress = matches!(frame, Frame::Document(..) | Frame::Difference(..));
    let body = if compress {
        lz4_flex::compress_prepend_size(&plain)
    } else {
        plain
    };
    let mut bytes = BytesMut::with_capacity(body.len() + HEAD_BYTES);
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    bytes.put_u32(length);
    bytes.put_u8(u8::from(compress));
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// The bytes before a frame: its length, and whether it is compressed.
const HEAD_BYTES: usize = 5;

/// Reads a frame; nothing if the connection ends between two frames.
///
/// # Errors
/// Fails if the connection does, or if the bytes are no frame.
pub async fn read<R: AsyncRead + Unpin>(
    io: &mut R,
    buffer: &mut BytesMut,
) -> std::io::Result<Option<Frame>> {
    let malformed = |text: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
    loop {
        if buffer.len() >= HEAD_BYTES {
            let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
            if length > FRAME_MAX {
                return Err(malformed("a frame is too long"));
            }
            let whole = HEAD_BYTES + length;
            if buffer.len() >= whole {
                let bytes = buffer.split_to(whole);
                return decode(bytes[4], &bytes[HEAD_BYTES..])
                    .map(Some)
                    .ok_or_else(|| malformed("a frame can't be decoded"));
            }
            buffer.reserve(whole - buffer.len());
        } else {
            buffer.reserve(READ_BYTES);
        }
        if io.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(std::io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// How much is read at a time, in bytes: several requests of the usual size.
const READ_BYTES: usize = 8 * 1024;

fn decode(compressed: u8, bytes: &[u8]) -> Option<Frame> {
    if compressed == 0 {
        return postcard::from_bytes(bytes).ok();
    }
    let size = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if size > FRAME_MAX {
        return None;
    }
    postcard::from_bytes(&lz4_flex::decompress_size_prepended(bytes).ok()?).ok()
}

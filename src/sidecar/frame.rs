//! Frames that nodes exchange over a persistent TCP connection, each preceded by its length. See
//! docs/design/platform.md for the alternatives that were considered.

use {
    super::{
        dissemination::Scope,
        document::{Delta, Document, Number},
        evacuation::Evacuations,
        evidence::Report,
        fair_share::AccountId,
        handle::Announcement,
        history::Epoch,
        load_balancer::{Load, Offer},
        queue::Demand,
        regions::Restriction,
        rollout::RolloutState,
        store_readers::StoreAccess,
    },
    crate::{
        accounts::{
            borrower::{self, QueryId},
            lease::Lease,
        },
        http1::{Body, Field},
        refusal::Reason,
        traffic::quarantine::Strike,
        types::{AccountName, Domain, Host, Moment, Region, Service, Version},
    },
    bytes::{Bytes, BytesMut},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Maximum length of a frame in bytes: an answer of the maximum length, and its head. Larger bodies of requests are sent in
/// parts.
pub const FRAME_BYTES_MAX: usize = 40 * 1024 * 1024;

/// Address, location and incarnation of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Address to which other nodes connect.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Host of the node.
    pub host: Host,
    /// Identifies this start of the node; a later start has a higher number.
    pub incarnation: u64,
    /// Region of the node.
    pub region: Region,
}

/// Identifier of a request on one connection, unique for the side that sends the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// Request to the node on an upstream's host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Account of the caller, which the upstream is told.
    pub account: Option<AccountName>,
    /// Body.
    pub body: Body,
    /// Service on whose host the request originated.
    pub caller: Service,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Header fields to forward to the upstream.
    pub fields: Vec<Field>,
    /// Request identifier, the same on every hop.
    pub id: String,
    /// Time left for the answer.
    #[serde(rename = "left")]
    pub time_left: Duration,
    /// Request method.
    pub method: String,
    /// Priority of the account, or of the route if the account has none.
    pub priority: u32,
    /// Regions in which it may run.
    pub regions: Restriction,
    /// Whether the caller was refused before and has returned after its retry time.
    pub returned: bool,
    /// Identifier of the route.
    pub route: u64,
    /// Service that is called.
    pub service: Service,
    /// Path and query.
    pub target: String,
    /// Version chosen for the request.
    pub version: Version,
    /// Time left until the route's target latency is exceeded; the answer has its full value until then.
    pub worth_for: Duration,
}

impl Request {
    /// Returns the priority and time limits of the request for the queue, counted from `now`.
    #[must_use]
    pub fn demand(&self, now: Moment) -> Demand {
        Demand {
            account: self.account.as_ref().map(AccountId::from),
            deadline: now + self.time_left,
            priority: self.priority,
            returned: self.returned,
            route: self.route,
            target: now + self.worth_for,
        }
    }
}

/// Answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Body.
    pub body: Bytes,
    /// Header fields to return to the caller.
    pub fields: Vec<Field>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Status code.
    pub status: u16,
}

/// Outcome of a request at the node on the upstream's host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered.
    Answered(Answer),
    /// No byte of the request reached the upstream. The duration is the estimated time until a slot is free.
    Declined(Reason, Duration),
    /// The request may have run, but there is no answer.
    Unknown(Reason),
}

/// Confirmation that a document is the newest one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Time since the store was read.
    pub age: Duration,
    /// Latest epoch of the store that the sender knows. A higher one tells the receiver that the store may have lost what
    /// the receiver wrote.
    pub epoch: Option<Epoch>,
    /// Evacuated domains that the sender knows.
    pub evacuations: Evacuations,
    /// Number of the document that was the newest one in the store then.
    pub number: Number,
}

/// Whether a node had received all that a process had sent when that process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coverage {
    /// Nothing that mattered was on its way then.
    Complete,
    /// A departure may be missing.
    Partial,
}

/// State of a node that it announces to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the document in force.
    pub document: Number,
    /// Offer of the upstream, `None` if it accepts no new requests.
    pub offer: Option<Offer>,
    /// Connection of the node to the store.
    pub reach: StoreAccess,
}

/// Message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame on every connection, in both directions.
    Hello(Contact),
    /// Requests a `Pong`. Contains the number of the document in force at the sender.
    Ping(Number),
    /// Answers a `Ping`, with the number of the document in force at the sender.
    Pong(Number),
    /// Requests the contacts known to the receiver.
    Introduce,
    /// State of the sender, sent when it changes.
    Status(Status),
    /// Nodes known to the sender.
    Contacts(Vec<Contact>),
    /// Requests the changes after a document, or a whole document.
    Fetch(Number),
    /// Whole document, and the scope to which the receiver relays it.
    Document(Scope, Arc<Document>),
    /// Difference between two documents, and the scope to which the receiver relays it.
    Difference(Scope, Arc<Delta>),
    /// Results of requests at an upstream, for the leader of the rollout, and the number of nodes that have passed them on.
    Evidence(Report, u8),
    /// State of a rollout, and the scope to which the receiver relays it.
    Ramp(Scope, RolloutState),
    /// Requests that crash upstreams, to be quarantined.
    Strikes(Vec<Strike>),
    /// Request to the receiver's upstream.
    Request(StreamId, Box<Request>),
    /// Cancels a request: its sender no longer waits for the outcome.
    Cancel(StreamId),
    /// Outcome of a request, and the load of the upstream.
    Outcome(StreamId, Outcome, Load),
    /// Last announcement of the sender's upstream, which the receiver keeps for the next start of the sender.
    Registration(Announcement),
    /// Last announcement of the receiver's own upstream, as the receiver sent it before it restarted, and whether all that it
    /// had sent has arrived.
    Recall(Announcement, Coverage),
    /// Refers a node that has no document to another one, which has the document or is about to receive it.
    Referral(Host),
    /// What a node has read of the store. The receiver relays it to the scope, once it has the document in force.
    Confirmation(Scope, Confirmation),
    /// Evacuated domains. The receiver relays them to the scope.
    Evacuations(Scope, Evacuations),
    /// Leases the sender's part of the accounts' limits to the receiver.
    Lease(Lease),
    /// Asks the owner of an account for a number of permits.
    PermitQuery(QueryId, AccountName, u32),
    /// Answers a query for permits of an account.
    PermitAnswer(QueryId, AccountName, borrower::Answer),
    /// Step of sending a request whose body is large.
    Transfer(StreamId, Transfer),
}

/// Step of sending a request whose body is too large for one frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// Announces the body, and its length in bytes.
    Announce(u64),
    /// Asks for this many further parts of the body, as the sender of this frame has room for them.
    Grant(u32),
    /// Next part of the body.
    Part(Bytes),
    /// Request to the receiver's upstream, without the body, all parts of which were sent.
    Request(Box<Request>),
}

/// Encodes a frame, preceded by its length. Documents and their differences are compressed, as configurations are
/// repetitive.
///
/// # Errors
/// Returns an error if a value cannot be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, postcard::Error> {
    let compress = matches!(frame, Frame::Document(..) | Frame::Difference(..));
    let mut bytes = vec![0; HEADER_BYTES];
    if compress {
        bytes.extend(lz4_flex::compress_prepend_size(&postcard::to_stdvec(
            frame,
        )?));
    } else {
        // A large body is copied once, into its place in the frame.
        bytes.reserve(body_bytes(frame) + HEAD_BYTES);
        bytes = postcard::to_extend(frame, bytes)?;
    }
    let length = u32::try_from(bytes.len() - HEADER_BYTES).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes[4] = u8::from(compress);
    Ok(bytes.into())
}

/// Returns the size in bytes of the body that a frame carries.
fn body_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Request(_, request) => request.body.len(),
        Frame::Outcome(_, Outcome::Answered(answer), _) => answer.body.len(),
        _ => 0,
    }
}

/// Space reserved for what a frame carries besides a body, in bytes; larger heads are rare.
const HEAD_BYTES: usize = 512;

/// Length of a frame's header in bytes: a length of 4 bytes, and a flag for compression.
const HEADER_BYTES: usize = 5;

/// Length in bytes from which a frame is announced before it is read.
pub const LARGE_FRAME_BYTES: usize = 64 * 1024;

/// Reads a frame, `None` if the connection closes between two frames.
///
/// # Errors
/// Returns an error if reading fails, if the connection closes inside a frame, or if a frame is too long or cannot be
/// decoded.
pub async fn read<R: AsyncRead + Unpin>(
    io: &mut R,
    buffer: &mut BytesMut,
) -> std::io::Result<Option<Frame>> {
    read_within(io, buffer, async |_| {}).await
}

/// Reads a frame as [`read`] does. `reserve` is called with the length of a large frame, in bytes, and nothing more is read
/// until it returns.
///
/// # Errors
/// Returns the errors of [`read`].
pub async fn read_within<R: AsyncRead + Unpin>(
    io: &mut R,
    buffer: &mut BytesMut,
    mut reserve: impl AsyncFnMut(u64),
) -> std::io::Result<Option<Frame>> {
    let mut reserved = false;
    let malformed = |text: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
    loop {
        if buffer.len() >= HEADER_BYTES {
            let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
            if length > FRAME_BYTES_MAX {
                return Err(malformed("frame exceeds the maximum length"));
            }
            let total = HEADER_BYTES + length;
            if buffer.len() >= total {
                let bytes = buffer.split_to(total);
                if total > LARGE_FRAME_BYTES && buffer.is_empty() {
                    // The empty buffer would keep the memory of the frame.
                    *buffer = BytesMut::new();
                }
                return decode(bytes[4], &bytes[HEADER_BYTES..])
                    .map(Some)
                    .ok_or_else(|| malformed("frame cannot be decoded"));
            }
            if total > LARGE_FRAME_BYTES && !reserved {
                reserved = true;
                reserve(total as u64).await;
            }
            buffer.reserve(total - buffer.len());
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

/// Minimum space reserved for a read in bytes: several requests of the usual size.
const READ_BYTES: usize = 8 * 1024;

fn decode(compressed: u8, bytes: &[u8]) -> Option<Frame> {
    if compressed == 0 {
        return postcard::from_bytes(bytes).ok();
    }
    let size = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if size > FRAME_BYTES_MAX {
        return None;
    }
    postcard::from_bytes(&lz4_flex::decompress_size_prepended(bytes).ok()?).ok()
}

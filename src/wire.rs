//! The messages between nodes and their encoding. Each frame is sent on a QUIC stream of its own,
//! so a large frame delays no other. Frames may therefore arrive out of order, which the state
//! machines of the receivers allow for. A request is sent as a sequence of parts on one
//! bidirectional stream.

use {
    crate::{
        member::{Contact, Record},
        snapshot::{Delta, Snapshot},
        spread::{Beat, CoverageReport, Join},
        traffic::{
            endpoint::Load,
            quarantine::{Fingerprint, Strike},
        },
        types::{Domain, Host, Revision, Service, Version},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The maximum length of an encoded frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The maximum length of an encoded part of a request or answer, in bytes.
pub const PART_BYTES_MAX: usize = 256 * 1024;

/// One message of the control traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The heartbeat that neighbours send each other once a second.
    Beat(Beat),
    /// The sender is busy. Retry after this many milliseconds.
    Busy(u32),
    /// The children of a node, forwarded upwards to the first relay.
    Children(Host, Vec<Host>),
    /// The progress of failure domains through the revisions.
    Cover(Vec<CoverageReport>),
    /// The changes from one revision to a later one.
    Delta(Arc<Delta>),
    /// The digests of the sender's records, one for each failure domain.
    Digests(Vec<(Domain, u64)>),
    /// Requests the changes after a revision.
    Fetch(Revision),
    /// Requests the first hosts of the sender's failure domain.
    Hello(Contact, Revision),
    /// Requests to become a neighbour.
    Join(Join),
    /// Membership records that the sender knows.
    Members(Vec<Arc<Record>>),
    /// Ends the relation between two neighbours.
    Quit,
    /// A message about rollouts, encoded and decoded by `rollout`.
    Rollout(Vec<u8>),
    /// The complete configuration at one revision.
    Snapshot(Arc<Snapshot>),
    /// Strikes against requests that crash upstreams.
    Strikes(Vec<Strike>),
    /// The digests of the sender's records of one failure domain, one for each bucket.
    Sync(Sync),
    /// Contacts for a node that knows few others.
    Welcome(Welcome),
}

/// The digests by which two nodes find the records of a failure domain that differ between them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The digest of each bucket of records.
    pub buckets: Vec<u64>,
    /// The failure domain.
    pub domain: Domain,
    /// Whether the receiver should send its own digests in return.
    pub reply: bool,
}

/// The data from which a new node finds its place in the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The number of hosts in the receiver's failure domain.
    pub hosts: u32,
    /// The records of the first hosts of each failure domain.
    pub records: Vec<Arc<Record>>,
    /// The revision that the sender has installed.
    pub revision: Revision,
    /// Whether the sender serves callers, and therefore knows the mesh.
    pub serving: bool,
}

/// One part of a proxied request or answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The head of a request.
    Request(Request),
    /// The head of an answer.
    Answer(Answer),
    /// A piece of a body.
    Chunk(Vec<u8>),
    /// The end of a complete body, with its trailers.
    End(Vec<Header>),
    /// The end of a request without a complete answer.
    Refusal(Refusal),
    /// Strikes against requests that crash upstreams. The receiver acknowledges them with `End`.
    Strikes(Vec<Strike>),
}

/// The name and value of an HTTP header.
pub type Header = (String, Vec<u8>);

/// The head of a request that is sent to the node of the upstream or to the owner of its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The time that is left to answer, in microseconds.
    pub budget: u64,
    /// The fingerprint, by which the request is quarantined.
    pub fingerprint: Fingerprint,
    /// The headers.
    pub headers: Vec<Header>,
    /// The number of nodes that the chain of calls passed through before the sender.
    pub hop: u32,
    /// The request id, which stays the same end to end.
    pub id: String,
    /// The idempotency key, if the receiver is the owner of the key.
    #[serde(rename = "keyed")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// The HTTP method.
    pub method: String,
    /// The requested service.
    pub service: Service,
    /// The strikes against the request that the sender knows.
    pub strike: Option<Strike>,
    /// The path and query.
    pub target: String,
    /// The chosen version, or `None` if the owner of the key chooses it.
    pub version: Option<Version>,
}

/// An idempotency key that is sent to its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The time at which the request was first sent, in microseconds since the Unix epoch, if the
    /// caller states it.
    #[serde(rename = "first_sent")]
    pub first_sent_us: Option<u64>,
    /// The key as the caller sent it.
    pub key: String,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The headers.
    pub headers: Vec<Header>,
    /// The id of the answered request.
    pub id: String,
    /// The load of the upstream's node, or `None` if the owner of the key answers.
    pub load: Option<Load>,
    /// The HTTP status code.
    pub status: u16,
}

/// The end of a request without a complete answer, with the load and the strikes that the receiver
/// records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason of the end, and whether the request may have run.
    pub failure: Failure,
    /// The load of the upstream's node, if known.
    pub load: Option<Load>,
    /// The strikes against the request that the sender knows.
    pub strike: Option<Strike>,
}

/// The reason why a request ended without a complete answer, and whether it may have run, as far as
/// the node of the upstream can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The request has not run: no byte of it reached the upstream.
    NotRun(crate::refusal::Reason),
    /// The request may have run.
    Unknown(crate::refusal::Reason),
}

/// Encodes a message.
///
/// # Errors
/// Returns an error if the message cannot be encoded, which does not happen for the types of this
/// module.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message.
///
/// # Errors
/// Returns an error if the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}

//! What nodes send each other. A frame travels on a QUIC stream of its own, so frames may cross and
//! a large one holds up no other; the receivers' state machines put them in order. A request travels
//! as parts on one bidirectional stream.

use {
    crate::{
        member::{Contact, Record},
        snapshot::{Delta, Snapshot},
        spread::{Beat, Join, Report},
        traffic::{
            endpoint::Load,
            quarantine::{Fingerprint, Strike},
        },
        world::{Domain, Host, Revision, Service, Version},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The longest frame, in bytes.
pub const FRAME_MAX: usize = 16 * 1024 * 1024;

/// The longest part of a request or answer, in bytes.
pub const PART_MAX: usize = 256 * 1024;

/// One message of the control traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// What neighbours tell each other once a second.
    Beat(Beat),
    /// Not now: ask again after so many milliseconds.
    Busy(u32),
    /// The children of a node, sent up to the first relay.
    Children(Host, Vec<Host>),
    /// How far failure domains have come.
    Cover(Vec<Report>),
    /// A step between revisions.
    Delta(Arc<Delta>),
    /// The digest of the sender's records of each failure domain.
    Digests(Vec<(Domain, u64)>),
    /// Asks for what follows a revision.
    Fetch(Revision),
    /// Asks for the first hosts of the sender's failure domain.
    Hello(Contact, Revision),
    /// Asks to exchange.
    Join(Join),
    /// What the sender knows of hosts.
    Members(Vec<Arc<Record>>),
    /// Ends the exchange.
    Quit,
    /// A message about rollouts, which `rollout` encodes and decodes.
    Rollout(Vec<u8>),
    /// A whole state.
    Snapshot(Arc<Snapshot>),
    /// What the sender knows of requests that crash upstreams.
    Strikes(Vec<Strike>),
    /// The digests of the parts of the sender's records of a failure domain.
    Sync(Sync),
    /// Tells a node that knows few others whom to ask.
    Welcome(Welcome),
}

/// Compares the records of a failure domain, part by part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The digest of each part.
    pub buckets: Vec<u64>,
    /// The failure domain.
    pub domain: Domain,
    /// Whether the receiver is to send its own digests too.
    pub reply: bool,
}

/// What a node needs to find its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// How many hosts the receiver's failure domain has.
    pub hosts: u32,
    /// The first hosts of each failure domain.
    pub records: Vec<Arc<Record>>,
    /// The revision that the sender runs.
    pub revision: Revision,
    /// Whether the sender serves callers, and so knows the mesh.
    pub serving: bool,
}

/// One part of a proxied request or answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The beginning of a request.
    Request(Request),
    /// The beginning of an answer.
    Answer(Answer),
    /// A piece of a body.
    Chunk(Vec<u8>),
    /// The end of a body that is whole, with its trailers.
    End(Vec<Header>),
    /// The request ends without a whole answer.
    Refusal(Refusal),
    /// What the sender knows of requests that crash upstreams; an end acknowledges it.
    Strikes(Vec<Strike>),
}

/// The name and value of an HTTP header.
pub type Header = (String, Vec<u8>);

/// The beginning of a request on its way to the node at the upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The time that is left to answer, in microseconds.
    pub budget: u64,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// The headers.
    pub headers: Vec<Header>,
    /// How many nodes took the request in before the one that sends it.
    pub hop: u32,
    /// Identifies the request end to end.
    pub id: String,
    /// The idempotency key, if the request goes to the key's owner.
    pub keyed: Option<Keyed>,
    /// The HTTP method.
    pub method: String,
    /// The service that is asked for.
    pub service: Service,
    /// The strikes against the request that the sender knows of.
    pub strike: Option<Strike>,
    /// The path and query.
    pub target: String,
    /// The version that was chosen; nothing if the key's owner is to choose it.
    pub version: Option<Version>,
}

/// An idempotency key on its way to its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyed {
    /// When the request was first sent, in microseconds since the Unix epoch, if its caller says so.
    pub first_sent: Option<u64>,
    /// The key as the caller wrote it.
    pub key: String,
}

/// The beginning of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The headers.
    pub headers: Vec<Header>,
    /// The id of the request that this answers.
    pub id: String,
    /// What the node at the upstream has to do; nothing if the key's owner answers.
    pub load: Option<Load>,
    /// The HTTP status.
    pub status: u16,
}

/// The end of a request without a whole answer, with what the sender's peers should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it ends.
    pub failure: Failure,
    /// What the node at the upstream has to do.
    pub load: Option<Load>,
    /// The strikes against the request.
    pub strike: Option<Strike>,
}

/// Why a request ends without a whole answer, as far as the node at the upstream can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No byte of it reached the upstream.
    NotRun(crate::refusal::Reason),
    /// It may have run.
    Unknown(crate::refusal::Reason),
}

/// Encodes a message.
///
/// # Errors
/// Fails if the message can't be encoded, which its types rule out.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message.
///
/// # Errors
/// Refuses bytes that are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}

//! What nodes send each other. A frame travels on a QUIC stream of its own, so frames may cross and
//! a large one holds up no other; the receivers' state machines put them in order. A request travels
//! as parts on one bidirectional stream.

use {
    crate::{
        member::{Contact, Record},
        snapshot::{Delta, Snapshot},
        traffic::{
            endpoint::Load,
            quarantine::{Fingerprint, Strike},
        },
        world::{Revision, Service, Version},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// The longest frame, in bytes.
pub const FRAME_MAX: usize = 16 * 1024 * 1024;

/// The longest part of a request or answer, in bytes.
pub const PART_MAX: usize = 256 * 1024;

/// One message of the control traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The sender, and the revision it runs.
    Hello(Contact, Revision),
    /// Asks for what follows a revision.
    Fetch(Revision),
    /// A step between revisions.
    Delta(Delta),
    /// A whole state.
    Snapshot(Snapshot),
    /// What the sender knows of hosts.
    Members(Vec<Record>),
    /// What the sender knows of requests that crash upstreams.
    Strikes(Vec<Strike>),
    /// A message about rollouts, which `rollout` encodes and decodes.
    Rollout(Vec<u8>),
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

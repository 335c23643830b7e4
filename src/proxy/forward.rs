//! Forwards a request to the node of an upstream, and retries it at another one where that is
//! allowed.

use {
    super::{
        Proxy,
        call::{Beginning, Call},
        headers, parts,
    },
    crate::{
        body::{Body, Writer},
        refusal::Reason,
        traffic::{
            Choice, Query,
            endpoint::Load,
            outcome::Kind,
            quarantine::{Fingerprint, Verdict},
            retry,
        },
        types::{Host, Version},
        wire::{Answer, Failure, Part, Refusal, Request as Head},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Response, StatusCode},
    quinn::{RecvStream, SendStream, VarInt},
    std::{net::SocketAddr, time::Duration},
};

/// How long connecting to a node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after the deadline the node of the upstream may still report the outcome of a request.
const OUTCOME_GRACE: Duration = Duration::from_millis(100);

/// A request that is ready to be sent.
pub struct Outgoing<'a> {
    /// The buffered beginning of the body.
    pub beginning: &'a Beginning,
    /// The head of the request.
    pub call: &'a Call,
    /// The fingerprint, by which the request is quarantined.
    pub fingerprint: Fingerprint,
    /// The rest of the body, or `None` if `beginning` is complete or the rest has been sent.
    pub body_rest: Option<Body>,
}

/// A guard that records the end of an attempt. An attempt that is dropped because its caller
/// disconnected is recorded as cancelled.
struct Attempt<'a> {
    choice: &'a Choice,
    ended: bool,
    proxy: &'a Proxy,
}

impl Attempt<'_> {
    fn end(mut self, kind: Kind, load: Option<Load>) {
        self.ended = true;
        let now = self.proxy.now();
        self.proxy.router().finish(now, self.choice, kind, load);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.proxy.now();
            let mut router = self.proxy.router();
            router.finish(now, self.choice, Kind::Cancelled, None);
        }
    }
}

/// Sends a request to an upstream, with retries, and returns its answer.
///
/// # Errors
/// Returns whether the request may have run, which is the case if any of its attempts may have.
pub async fn send(proxy: &Proxy, mut outgoing: Outgoing<'_>) -> Result<Response<Body>, Failure> {
    let call = outgoing.call;
    let mut tried = Vec::new();
    let mut earlier: Option<Failure> = None;
    loop {
        let (now, selection) = (proxy.now(), selection(call, &tried));
        let chosen = match proxy.gate.judge(outgoing.fingerprint) {
            Verdict::Allowed => proxy.router().choose(now, selection),
            Verdict::Trial => proxy
                .router()
                .choose_trial(now, selection, outgoing.fingerprint),
            Verdict::Quarantined(_) => Err(Reason::Quarantined),
        };
        let choice = match chosen {
            Ok(choice) => choice,
            Err(Reason::Quarantined) => {
                let refused = Failure::NotRun(Reason::Quarantined);
                return Err(combine_failures(earlier, refused));
            }
            Err(reason) => return Err(earlier.unwrap_or(Failure::NotRun(reason))),
        };
        tried.push(choice.host.clone());
        let failure = match try_endpoint(proxy, &mut outgoing, &choice).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let combined = combine_failures(earlier, failure);
        if !try_retry(proxy, &outgoing, failure, &tried) {
            return Err(combined);
        }
        earlier = Some(combined);
    }
}

/// Combines the failures of two attempts. If the earlier attempt may have run, the request may have
/// run, even if the later attempt did not.
fn combine_failures(earlier: Option<Failure>, latest: Failure) -> Failure {
    match (earlier, latest) {
        (Some(Failure::Unknown(_)), Failure::NotRun(reason)) => Failure::Unknown(reason),
        (_, latest) => latest,
    }
}

fn selection<'a>(call: &'a Call, tried: &'a [Host]) -> Query<'a> {
    Query {
        avoid: tried,
        id: call.version_key(),
        path: call.path(),
        service: &call.service,
    }
}

fn try_retry(proxy: &Proxy, outgoing: &Outgoing, failure: Failure, tried: &[Host]) -> bool {
    let call = outgoing.call;
    let attempt = retry::Attempt {
        attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
        class: call.class,
        deadline: call.deadline,
        hop: call.hop,
        replayable: outgoing.beginning.trailers.is_some() || outgoing.body_rest.is_some(),
    };
    let now = proxy.now();
    let granted = proxy
        .router()
        .try_retry(now, selection(call, tried), failure, attempt);
    let counter = match granted {
        Ok(()) => format!("retry.{}", failure.reason()),
        Err(denial) => format!("retry.denied.{}", denial.name()),
    };
    proxy.telemetry.count(&counter);
    granted.is_ok()
}

async fn try_endpoint(
    proxy: &Proxy,
    outgoing: &mut Outgoing<'_>,
    choice: &Choice,
) -> Result<Response<Body>, Failure> {
    let attempt = Attempt {
        choice,
        ended: false,
        proxy,
    };
    let address = proxy
        .router()
        .record(&choice.host)
        .map(|record| record.contact.address);
    let target = (&choice.host, address);
    match exchange(proxy, outgoing, target, Some(choice.version.clone())).await {
        Ok((answer, recv)) => {
            attempt.end(answer_kind(&answer), answer.load);
            if answer.status < StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
                proxy.router().record_success(&outgoing.call.service);
            }
            Ok(streaming_response(Some(&choice.version), &answer, recv))
        }
        Err(refusal) => {
            attempt.end(failure_kind(refusal.failure), refusal.load);
            Err(refusal.failure)
        }
    }
}

fn answer_kind(answer: &Answer) -> Kind {
    if answer.status < StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
        Kind::Success
    } else {
        Kind::Failure
    }
}

fn failure_kind(failure: Failure) -> Kind {
    match failure {
        Failure::NotRun(Reason::Unreachable | Reason::Dial) => Kind::Unreachable,
        Failure::NotRun(_) => Kind::Refused,
        Failure::Unknown(Reason::Deadline) => Kind::Late,
        Failure::Unknown(Reason::Crashed) => Kind::Crash,
        Failure::Unknown(_) => Kind::Lost,
    }
}

/// Sends a request to one node and reads the head of the answer. The returned stream carries the
/// rest.
///
/// # Errors
/// Returns whether the request may have run.
pub async fn exchange(
    proxy: &Proxy,
    outgoing: &mut Outgoing<'_>,
    (host, address): (&Host, Option<SocketAddr>),
    version: Option<Version>,
) -> Result<(Answer, RecvStream), Refusal> {
    let call = outgoing.call;
    let plain_refusal = |failure| Refusal {
        failure,
        load: None,
        strike: None,
    };
    let not_run = |reason| plain_refusal(Failure::NotRun(reason));
    let address = address.ok_or(not_run(Reason::Unreachable))?;
    let (mut send, mut recv) = open_stream(proxy, host, address).await.map_err(not_run)?;
    let head = request_head(proxy, outgoing, version);
    // The other node runs nothing before it has read the complete head, so a failed write is
    // `NotRun`.
    let written = parts::write(&mut send, &Part::Request(head)).await;
    written.map_err(|_| not_run(Reason::Unreachable))?;
    let beginning = outgoing.beginning.clone();
    tokio::spawn(upload(beginning, outgoing.body_rest.take(), send));
    let left = call.deadline.since(proxy.now()) + OUTCOME_GRACE;
    match tokio::time::timeout(left, parts::read(&mut recv)).await {
        Err(_) => Err(plain_refusal(Failure::Unknown(Reason::Deadline))),
        Ok(Ok(Part::Answer(answer))) if answer.id == call.id => Ok((answer, recv)),
        Ok(Ok(Part::Refusal(refusal))) => {
            proxy.merge_strikes(refusal.strike.iter().cloned().collect());
            Err(refusal)
        }
        Ok(_) => Err(plain_refusal(Failure::Unknown(Reason::Lost))),
    }
}

fn request_head(proxy: &Proxy, outgoing: &Outgoing, version: Option<Version>) -> Head {
    let call = outgoing.call;
    let left = call.deadline.since(proxy.now());
    Head {
        budget: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
        fingerprint: outgoing.fingerprint,
        headers: call.headers.clone(),
        hop: call.hop,
        id: call.id.clone(),
        idempotency_key: call.idempotency_key.clone().filter(|_| version.is_none()),
        method: call.method.clone(),
        service: call.service.clone(),
        strike: proxy.gate.strike(outgoing.fingerprint),
        target: call.target.clone(),
        version,
    }
}

async fn open_stream(
    proxy: &Proxy,
    host: &Host,
    address: SocketAddr,
) -> Result<(SendStream, RecvStream), Reason> {
    let opening = async {
        let connection = proxy.link.get_or_connect(host, address).await.ok()?;
        connection.open_bi().await.ok()
    };
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
    opened.ok().flatten().ok_or(Reason::Unreachable)
}

/// Sends a body to a node. If the body is truncated, the stream is reset.
async fn upload(beginning: Beginning, body_rest: Option<Body>, mut send: SendStream) {
    let completed = match (beginning.trailers, body_rest) {
        (Some(trailers), _) => send_chunks(&beginning.bytes, &mut send)
            .await
            .map(|()| trailers),
        (None, Some(body_rest)) => send_body(&beginning.bytes, body_rest, &mut send).await,
        (None, None) => None,
    };
    let Some(trailers) = completed else {
        let _ = send.reset(VarInt::from_u32(0));
        return;
    };
    if parts::write(&mut send, &Part::End(trailers)).await.is_ok() {
        let _ = send.finish();
    }
}

async fn send_body(
    beginning: &Bytes,
    mut body_rest: Body,
    send: &mut SendStream,
) -> Option<Vec<crate::wire::Header>> {
    send_chunks(beginning, send).await?;
    while let Some(frame) = body_rest.frame().await {
        match frame.ok()?.into_data() {
            Ok(data) => send_chunks(&data, send).await?,
            Err(frame) => return frame.trailers_ref().map(headers::encode),
        }
    }
    Some(Vec::new())
}

async fn send_chunks(data: &Bytes, send: &mut SendStream) -> Option<()> {
    for chunk in data.chunks(crate::wire::PART_BYTES_MAX / 2) {
        parts::write(send, &Part::Chunk(chunk.into())).await.ok()?;
    }
    Some(())
}

/// Creates the response for the caller. Its body is streamed from `recv` by a task of its own.
#[must_use]
pub fn streaming_response(
    version: Option<&Version>,
    answer: &Answer,
    recv: RecvStream,
) -> Response<Body> {
    let (writer, body) = Body::channel();
    tokio::spawn(download(recv, writer));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::decode(&answer.headers);
    if let Some(Ok(value)) = version.map(|version| version.as_str().parse()) {
        response.headers_mut().insert(headers::VERSION, value);
    }
    response
}

/// Copies the body of an answer from a node to the caller. If it is truncated, the writer is
/// dropped unfinished, so the caller sees a truncated body too.
async fn download(mut recv: RecvStream, writer: Writer) {
    loop {
        let part = tokio::select! {
            part = parts::read(&mut recv) => part,
            () = writer.closed() => return,
        };
        match part {
            Ok(Part::Chunk(chunk)) => {
                if !writer.send(Bytes::from(chunk)).await {
                    return;
                }
            }
            Ok(Part::End(trailers)) => return writer.finish(headers::decode(&trailers)).await,
            _ => return,
        }
    }
}

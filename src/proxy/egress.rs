//! The egress of the mesh. The node beside the upstream receives a request from another node,
//! passes it to the upstream and streams the answer back.

use {
    super::{
        Proxy,
        call::{self, Beginning, Call},
        gate::Slot,
        headers, idempotency, parts,
        pool::{self, Connection},
    },
    crate::{
        body::{Body, Writer},
        member::Offer,
        refusal::Reason,
        resource::Limits,
        traffic::{endpoint::Load, quarantine::Verdict},
        types::{Moment, Service},
        wire::{Answer, Failure, Part, Refusal, Request as Head},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{HeaderMap, Request, Response, body::Incoming},
    quinn::{RecvStream, SendStream},
    std::time::Duration,
};

/// How long the other node may take to acknowledge a complete answer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connected node may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long writing one part of an answer may block on a slow reader.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which [`watch_upstream`] checks whether the upstream may still run a request
/// that nobody waits for.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Serves one stream that another node opened: a request, or strikes to merge.
pub async fn serve(proxy: Proxy, mut send: SendStream, mut recv: RecvStream) {
    let read = tokio::time::timeout(HEAD_TIMEOUT, parts::read(&mut recv)).await;
    let head = match read {
        Ok(Ok(Part::Request(head))) => head,
        Ok(Ok(Part::Strikes(strikes))) => {
            proxy.merge_strikes(strikes);
            // The sender stops waiting for the acknowledgement at its timeout.
            let _ = parts::write(&mut send, &Part::End(Vec::new())).await;
            return;
        }
        _ => return proxy.telemetry.count("egress.malformed"),
    };
    let fingerprint = head.fingerprint;
    let stopped = send.stopped();
    let result = tokio::select! {
        result = run_request(&proxy, head, &mut send, recv) => result,
        _ = stopped => {
            watch_upstream(&proxy);
            return proxy.telemetry.count("egress.cancelled");
        }
    };
    let Err(failure) = result else {
        return wait_delivered(&send).await;
    };
    watch_upstream(&proxy);
    proxy
        .telemetry
        .count(&format!("egress.{}", failure.counter()));
    let refusal = Refusal {
        failure,
        load: Some(proxy.gate.load()),
        strike: proxy.gate.strike(fingerprint),
    };
    // Writing fails only if the other node has disconnected, which then needs no refusal.
    let _ = parts::write(&mut send, &Part::Refusal(refusal)).await;
    let _ = send.finish();
    wait_delivered(&send).await;
}

/// Watches the upstream while it may still run a request that nobody waits for. If the upstream
/// crashes, that request has to get its strike before the caller sends it to another upstream.
fn watch_upstream(proxy: &Proxy) {
    if !proxy.gate.try_begin_watch() {
        return;
    }
    let proxy = proxy.clone();
    tokio::spawn(async move {
        while let Some(offer) = proxy.gate.watched_offer() {
            pool::wait_closed(offer.address, WATCH_INTERVAL).await;
            let dead = pool::is_dead(offer.address).await;
            if dead && proxy.gate.watched_offer().as_ref() == Some(&offer) {
                proxy
                    .send_strikes(&offer.service, proxy.gate.record_crash())
                    .await;
            }
        }
    });
}

/// Waits until the other node has received the complete answer, so that a planned stop truncates
/// none.
async fn wait_delivered(send: &SendStream) {
    // A disconnected or slow node must not block the stop, so both results are ignored.
    let _ = tokio::time::timeout(DELIVERY_TIMEOUT, send.stopped()).await;
}

async fn run_request(
    proxy: &Proxy,
    head: Head,
    send: &mut SendStream,
    recv: RecvStream,
) -> Result<(), Failure> {
    if head.idempotency_key.is_some() {
        return run_as_owner(proxy, head, send, recv).await;
    }
    let deadline = proxy.now() + Duration::from_micros(head.budget);
    if let Some(strike) = head.strike.clone() {
        proxy.merge_strikes(vec![strike]);
    }
    let not_run = Failure::NotRun;
    let ticket = proxy.next_ticket();
    let is_trial = proxy.gate.judge(head.fingerprint) == Verdict::Trial && {
        let router = proxy.router();
        router.trial_host(&head.service, head.fingerprint) == Some(&proxy.host)
    };
    let trial = is_trial.then_some(ticket);
    let mut slot = proxy.gate.slot(ticket);
    let offer = proxy.gate.check(&head, trial).map_err(not_run)?;
    let limits = limits(proxy, &head);
    let entering = slot.acquire(deadline, offer.slots, &limits);
    entering.await.map_err(not_run)?;
    // While the request was queued, the upstream may have begun to drain, or the same request may
    // have crashed it and be quarantined.
    let offer = proxy.gate.check(&head, trial).map_err(not_run)?;
    let (id, service) = (head.id.clone(), head.service.clone());
    let (mut connection, response) =
        send_to_upstream(proxy, &offer, head, recv, deadline, &slot).await?;
    let load = Some(proxy.gate.load());
    if let Err(failure) = send_answer(id, load, remove_mesh_headers(response), send).await {
        return Err(check_crashed(proxy, &offer, &slot, failure).await);
    }
    clear_strikes(proxy, &service, &mut slot);
    if connection.ready().await.is_ok() {
        proxy.pool.release(offer.address, connection);
    }
    Ok(())
}

/// Answers a request whose idempotency key this host owns.
async fn run_as_owner(
    proxy: &Proxy,
    head: Head,
    send: &mut SendStream,
    recv: RecvStream,
) -> Result<(), Failure> {
    let limits = limits(proxy, &head);
    let call = Call::from_forwarded(proxy.now(), head);
    let id = call.id.clone();
    let (writer, mut body) = Body::channel();
    tokio::spawn(upload(recv, writer));
    let body_max = limits.body_bytes.unwrap_or(call::DEFAULT_BODY_BYTES_MAX);
    let beginning = Beginning::read(&mut body, body_max)
        .await
        .map_err(Failure::NotRun)?;
    let body_rest = beginning.trailers.is_none().then_some(body);
    let response = idempotency::run_as_owner(proxy, call, beginning, body_rest).await?;
    send_answer(id, None, response, send).await
}

fn limits(proxy: &Proxy, head: &Head) -> Limits {
    let route = proxy
        .router()
        .route(&head.service, call::target_path(&head.target));
    route.map(|route| route.limits.clone()).unwrap_or_default()
}

/// Records that the upstream answered. If this clears strikes against the request, the other nodes
/// of the service are informed in the background.
fn clear_strikes(proxy: &Proxy, service: &Service, slot: &mut Slot) {
    let Some(strike) = slot.record_answer() else {
        return;
    };
    let (proxy, service) = (proxy.clone(), service.clone());
    tokio::spawn(async move { proxy.send_strikes(&service, vec![strike]).await });
}

/// Checks whether the upstream crashed during a failed request. If so, sends the strikes to the
/// other nodes before the caller can retry the request, and returns the failure for the crash.
async fn check_crashed(proxy: &Proxy, offer: &Offer, slot: &Slot, failure: Failure) -> Failure {
    if !pool::is_dead(offer.address).await {
        return failure;
    }
    let strikes = slot.record_crash();
    proxy.send_strikes(&offer.service, strikes).await;
    Failure::Unknown(Reason::Crashed)
}

async fn send_to_upstream(
    proxy: &Proxy,
    offer: &Offer,
    head: Head,
    recv: RecvStream,
    deadline: Moment,
    slot: &Slot,
) -> Result<(Connection, Response<Incoming>), Failure> {
    let left = || deadline.since(proxy.now());
    let connecting = proxy.pool.acquire(offer.address, offer.connections_max);
    let mut connection = match tokio::time::timeout(left(), connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(reason)) => {
            if reason == Reason::Dial {
                proxy
                    .send_strikes(&offer.service, proxy.gate.record_crash())
                    .await;
            }
            return Err(Failure::NotRun(reason));
        }
        Err(_) => return Err(Failure::NotRun(Reason::Deadline)),
    };
    slot.record_sent(head.fingerprint);
    let exchanging = exchange(&mut connection, head, recv, left());
    let response = match tokio::time::timeout(left(), exchanging).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unknown(reason))) => {
            return Err(check_crashed(proxy, offer, slot, Failure::Unknown(reason)).await);
        }
        Ok(Err(failure)) => return Err(failure),
        Err(_) => return Err(Failure::Unknown(Reason::Deadline)),
    };
    Ok((connection, response))
}

async fn exchange(
    connection: &mut Connection,
    head: Head,
    recv: RecvStream,
    left: Duration,
) -> Result<Response<Incoming>, Failure> {
    let (writer, body) = Body::channel();
    let mut request = Request::new(body);
    let malformed = Failure::NotRun(Reason::BadRequest);
    *request.method_mut() = head.method.parse().map_err(|_| malformed)?;
    *request.uri_mut() = head.target.parse().map_err(|_| malformed)?;
    *request.headers_mut() = headers::decode(&head.headers);
    set_call_headers(request.headers_mut(), &head, left);
    tokio::spawn(upload(recv, writer));
    match connection.try_send_request(request).await {
        Ok(response) => Ok(response),
        Err(error) if error.message().is_some() => Err(Failure::NotRun(Reason::Dial)),
        Err(_) => Err(Failure::Unknown(Reason::Lost)),
    }
}

/// Sets the headers that the upstream passes on to its own calls: request id, time left and hop
/// count.
fn set_call_headers(map: &mut HeaderMap, head: &Head, left: Duration) {
    let fields = [
        (headers::REQUEST_ID, head.id.clone()),
        (headers::DEADLINE, left.as_millis().to_string()),
        (headers::HOP, (head.hop + 1).to_string()),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            map.insert(name, value);
        }
    }
}

/// Copies the body of a request from a node to the upstream. If it is truncated, the writer is
/// dropped unfinished, so the upstream sees a truncated body too.
async fn upload(mut recv: RecvStream, writer: Writer) {
    loop {
        match parts::read(&mut recv).await {
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

/// Removes the headers that only the mesh may set. An upstream may pass on headers that say how one
/// of its own calls was refused, while the upstream itself has run.
fn remove_mesh_headers(mut response: Response<Incoming>) -> Response<Incoming> {
    for name in [headers::OUTCOME, headers::REASON, headers::VERSION] {
        response.headers_mut().remove(name);
    }
    response
}

async fn send_answer<B>(
    id: String,
    load: Option<Load>,
    response: Response<B>,
    send: &mut SendStream,
) -> Result<(), Failure>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let lost = Failure::Unknown(Reason::Lost);
    let (parts, mut body) = response.into_parts();
    let head = Answer {
        headers: headers::encode(&parts.headers),
        id,
        load,
        status: parts.status.as_u16(),
    };
    write_part(send, &Part::Answer(head)).await?;
    let mut trailers = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map_err(|_| lost)?.into_data() {
            Ok(data) => {
                for chunk in data.chunks(crate::wire::PART_BYTES_MAX / 2) {
                    write_part(send, &Part::Chunk(chunk.into())).await?;
                }
            }
            Err(frame) => {
                let encoded = frame.trailers_ref().map(headers::encode);
                trailers = encoded.unwrap_or_default();
            }
        }
    }
    write_part(send, &Part::End(trailers)).await?;
    let _ = send.finish();
    Ok(())
}

async fn write_part(send: &mut SendStream, part: &Part) -> Result<(), Failure> {
    let written = tokio::time::timeout(STALL_TIMEOUT, parts::write(send, part)).await;
    match written {
        Ok(Ok(())) => Ok(()),
        _ => Err(Failure::Unknown(Reason::Lost)),
    }
}

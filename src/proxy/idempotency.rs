//! Forwarding of requests with an idempotency key. They are sent to the owner of the key, which
//! runs each request once and returns the same answer to everyone who sends it again. The run
//! continues if its caller disconnects.

use {
    super::{
        Proxy,
        call::{Beginning, Call},
        forward::{self, Outgoing},
        headers,
    },
    crate::{
        body::{Body, Writer},
        refusal::Reason,
        traffic::{
            admission::Ticket,
            idempotency::{Action, Answer, BODY_BYTES_MAX, Key, KeyStore, KeyedRequest},
        },
        types::Moment,
        wire::{Failure, IdempotencyKey},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{HeaderMap, Response, StatusCode},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// The result of a run, for the requests that wait for it. The answer is `None` if it is not
/// stored, because it is too long or has trailers.
type RunResult = Result<Option<Arc<Answer>>, Failure>;

/// The idempotency keys that this host owns, and the requests that wait for their answers.
#[derive(Clone, Default)]
pub struct Keys(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    key_store: KeyStore,
    waiting: HashMap<Ticket, oneshot::Sender<RunResult>>,
}

impl Keys {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn finish(&self, now: Moment, key: Key, result: &RunResult) {
        let mut state = self.state();
        for ticket in state.key_store.finish(now, key, result.clone()) {
            if let Some(waiting) = state.waiting.remove(&ticket) {
                // Sending fails only if the request was cancelled; its caller can send it again.
                let _ = waiting.send(result.clone());
            }
        }
    }
}

/// A guard for a run. If it is dropped before the run has ended, the result is recorded as unknown.
struct Run {
    ended: bool,
    key: Key,
    proxy: Proxy,
}

impl Run {
    fn finish(mut self, result: &RunResult) {
        self.ended = true;
        self.proxy.keys.finish(self.proxy.now(), self.key, result);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let result = Err(Failure::Unknown(Reason::Lost));
            self.proxy.keys.finish(self.proxy.now(), self.key, &result);
        }
    }
}

/// Sends a request to the owner of its key, or runs it here if this host is the owner.
///
/// # Errors
/// Returns whether the request may have run, now or earlier. That is unknown if the owner cannot be
/// reached.
pub async fn send_to_owner(
    proxy: &Proxy,
    call: Call,
    idempotency_key: &IdempotencyKey,
    beginning: Beginning,
    body_rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let (owner, address) = {
        let router = proxy.router();
        let owner = router
            .owners()
            .owner(proxy.now(), &call.service, &idempotency_key.key)
            .ok_or(Failure::NotRun(Reason::NoEndpoint))?;
        let record = router.record(owner);
        (owner.clone(), record.map(|record| record.contact.address))
    };
    if owner == proxy.host {
        return run_as_owner(proxy, call, beginning, body_rest).await;
    }
    let mut outgoing = Outgoing {
        beginning: &beginning,
        call: &call,
        fingerprint: beginning.fingerprint(&call),
        body_rest,
    };
    match forward::exchange(proxy, &mut outgoing, (&owner, address), None).await {
        Ok((answer, recv)) => Ok(forward::streaming_response(None, &answer, recv)),
        Err(refusal) => Err(match refusal.failure {
            Failure::NotRun(Reason::Unreachable) => Failure::Unknown(Reason::OwnerUnreachable),
            failure => failure,
        }),
    }
}

/// Runs a request whose key this host owns, or returns the result of the earlier run.
///
/// # Errors
/// Returns whether the request may have run, now or earlier.
pub async fn run_as_owner(
    proxy: &Proxy,
    call: Call,
    beginning: Beginning,
    body_rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let Some(idempotency_key) = call.idempotency_key.clone() else {
        return Err(Failure::NotRun(Reason::BadRequest));
    };
    let keyed_request = create_claim(proxy, &call, &idempotency_key, &beginning);
    let (sender, receiver) = oneshot::channel();
    let action = {
        let mut state = proxy.keys.state();
        let action = state.key_store.begin(proxy.now(), keyed_request);
        if action == Action::Join {
            state.waiting.insert(keyed_request.ticket, sender);
        }
        action
    };
    match action {
        Action::Answer(answer) => {
            proxy.telemetry.count("keys.answered");
            Ok(stored_response(&answer))
        }
        Action::Fail(failure) => Err(failure),
        Action::Join => {
            proxy.telemetry.count("keys.joined");
            wait_for_run(proxy, &call, receiver).await
        }
        Action::Run => start_run(proxy, call, keyed_request.key, beginning, body_rest).await,
    }
}

fn create_claim(
    proxy: &Proxy,
    call: &Call,
    idempotency_key: &IdempotencyKey,
    beginning: &Beginning,
) -> KeyedRequest {
    let (now, service) = (proxy.now(), &call.service);
    let router = proxy.router();
    KeyedRequest {
        fingerprint: beginning.fingerprint(call).0,
        first_sent: idempotency_key.first_sent_us.map(Moment),
        key: Key::new(service, &idempotency_key.key),
        owner_since: router.owners().sole_owner_since(
            now,
            service,
            &idempotency_key.key,
            &proxy.host,
        ),
        ticket: proxy.next_ticket(),
    }
}

fn stored_response(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(Body::from_bytes(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::decode(&answer.headers);
    response
}

async fn wait_for_run(
    proxy: &Proxy,
    call: &Call,
    receiver: oneshot::Receiver<RunResult>,
) -> Result<Response<Body>, Failure> {
    let left = call.deadline.since(proxy.now());
    match tokio::time::timeout(left, receiver).await {
        Ok(Ok(Ok(Some(answer)))) => Ok(stored_response(&answer)),
        Ok(Ok(Ok(None))) => Err(Failure::Unknown(Reason::AlreadyRan)),
        Ok(Ok(Err(failure))) => Err(failure),
        Ok(Err(_)) => Err(Failure::Unknown(Reason::Lost)),
        Err(_) => Err(Failure::Unknown(Reason::Deadline)),
    }
}

async fn start_run(
    proxy: &Proxy,
    call: Call,
    key: Key,
    beginning: Beginning,
    body_rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let run = Run {
        ended: false,
        key,
        proxy: proxy.clone(),
    };
    let (first_caller, response) = oneshot::channel();
    tokio::spawn(run_once(run, call, beginning, body_rest, first_caller));
    response
        .await
        .unwrap_or(Err(Failure::Unknown(Reason::Lost)))
}

async fn run_once(
    run: Run,
    call: Call,
    beginning: Beginning,
    body_rest: Option<Body>,
    first_caller: oneshot::Sender<Result<Response<Body>, Failure>>,
) {
    let outgoing = Outgoing {
        beginning: &beginning,
        call: &call,
        fingerprint: beginning.fingerprint(&call),
        body_rest,
    };
    let response = match forward::send(&run.proxy, outgoing).await {
        Ok(response) => response,
        Err(failure) => {
            run.finish(&Err(failure));
            // Sending fails only if the first caller has disconnected.
            let _ = first_caller.send(Err(failure));
            return;
        }
    };
    let (parts, body) = response.into_parts();
    let (writer, copy) = Body::channel();
    let _ = first_caller.send(Ok(Response::from_parts(parts.clone(), copy)));
    let Some((kept, trailers)) = copy_answer(body, &writer).await else {
        return run.finish(&Err(Failure::Unknown(Reason::Lost)));
    };
    let answer = kept.filter(|_| trailers.is_empty()).map(|body| Answer {
        body,
        headers: headers::encode(&parts.headers),
        status: parts.status.as_u16(),
    });
    run.finish(&Ok(answer.map(Arc::new)));
    writer.finish(trailers).await;
}

/// Copies the body of an answer to its first caller. Returns the body if it has at most
/// [`BODY_BYTES_MAX`] bytes, with the trailers. Returns `None` if the body is truncated.
async fn copy_answer(mut body: Body, writer: &Writer) -> Option<(Option<Bytes>, HeaderMap)> {
    let mut kept = Some(BytesMut::new());
    let mut trailers = HeaderMap::new();
    while let Some(frame) = body.frame().await {
        match frame.ok()?.into_data() {
            Ok(data) => {
                kept = kept.filter(|kept| kept.len() + data.len() <= BODY_BYTES_MAX);
                if let Some(kept) = &mut kept {
                    kept.extend_from_slice(&data);
                }
                // The answer is stored even if its first caller has disconnected.
                writer.send(data).await;
            }
            Err(frame) => trailers = frame.into_trailers().unwrap_or_default(),
        }
    }
    Some((kept.map(BytesMut::freeze), trailers))
}

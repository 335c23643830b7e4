//! Requests with an idempotency key: they go to the key's owner, which runs each of them once and
//! gives everyone who sends it again the same answer. The run goes on if its caller goes away.

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
        wire::{Failure, Keyed},
        world::Moment,
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

/// How a run ended, for those who joined it. The answer is nothing if it was too long to keep.
type Ending = Result<Option<Arc<Answer>>, Failure>;

/// The keys that this host owns, and who waits for their answers.
#[derive(Clone, Default)]
pub struct Keys(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    key_store: KeyStore,
    waiting: HashMap<Ticket, oneshot::Sender<Ending>>,
}

impl Keys {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, now: Moment, key: Key, ending: &Ending) {
        let mut state = self.state();
        for ticket in state.key_store.finish(now, key, ending.clone()) {
            if let Some(waiting) = state.waiting.remove(&ticket) {
                // One that waits no more asks again.
                let _ = waiting.send(ending.clone());
            }
        }
    }
}

/// Ends a run as unknown if nothing else ended it.
struct Run {
    ended: bool,
    key: Key,
    proxy: Proxy,
}

impl Run {
    fn end(mut self, ending: &Ending) {
        self.ended = true;
        self.proxy.keys.end(self.proxy.now(), self.key, ending);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let ending = Err(Failure::Unknown(Reason::Lost));
            self.proxy.keys.end(self.proxy.now(), self.key, &ending);
        }
    }
}

/// Sends a request to the owner of its key.
///
/// # Errors
/// Says whether the request may have run, now or earlier.
pub async fn send(
    proxy: &Proxy,
    call: Call,
    keyed: &Keyed,
    beginning: Beginning,
    rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let (owner, address) = {
        let traffic = proxy.traffic();
        let owner = traffic
            .owners()
            .owner(proxy.now(), &call.service, &keyed.key)
            .ok_or(Failure::NotRun(Reason::NoEndpoint))?;
        let record = traffic.record(owner);
        (owner.clone(), record.map(|record| record.contact.address))
    };
    if owner == proxy.host {
        return own(proxy, call, beginning, rest).await;
    }
    let mut outgoing = Outgoing {
        beginning: &beginning,
        call: &call,
        fingerprint: beginning.fingerprint(&call),
        rest,
    };
    match forward::exchange(proxy, &mut outgoing, (&owner, address), None).await {
        Ok((answer, recv)) => Ok(forward::respond(None, &answer, recv)),
        Err(refusal) => Err(match refusal.failure {
            Failure::NotRun(Reason::Unreachable) => Failure::Unknown(Reason::OwnerUnreachable),
            failure => failure,
        }),
    }
}

/// Runs a request whose key this host owns, or gives what became of it.
///
/// # Errors
/// Says whether the request may have run, now or earlier.
pub async fn own(
    proxy: &Proxy,
    call: Call,
    beginning: Beginning,
    rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let Some(keyed) = call.keyed.clone() else {
        return Err(Failure::NotRun(Reason::BadRequest));
    };
    let keyed_request = keyed_request(proxy, &call, &keyed, &beginning);
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
            Ok(repeat(&answer))
        }
        Action::Fail(failure) => Err(failure),
        Action::Join => {
            proxy.telemetry.count("keys.joined");
            join(proxy, &call, receiver).await
        }
        Action::Run => start(proxy, call, keyed_request.key, beginning, rest).await,
    }
}

fn keyed_request(proxy: &Proxy, call: &Call, keyed: &Keyed, beginning: &Beginning) -> KeyedRequest {
    let (now, service) = (proxy.now(), &call.service);
    let traffic = proxy.traffic();
    KeyedRequest {
        fingerprint: beginning.fingerprint(call).0,
        first_sent: keyed.first_sent.map(Moment),
        key: Key::new(service, &keyed.key),
        owner_since: traffic
            .owners()
            .sole_owner_since(now, service, &keyed.key, &proxy.host),
        ticket: proxy.ticket(),
    }
}

fn repeat(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(Body::whole(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::decode(&answer.headers);
    response
}

async fn join(
    proxy: &Proxy,
    call: &Call,
    receiver: oneshot::Receiver<Ending>,
) -> Result<Response<Body>, Failure> {
    let left = call.deadline.since(proxy.now());
    match tokio::time::timeout(left, receiver).await {
        Ok(Ok(Ok(Some(answer)))) => Ok(repeat(&answer)),
        Ok(Ok(Ok(None))) => Err(Failure::Unknown(Reason::AlreadyRan)),
        Ok(Ok(Err(failure))) => Err(failure),
        Ok(Err(_)) => Err(Failure::Unknown(Reason::Lost)),
        Err(_) => Err(Failure::Unknown(Reason::Deadline)),
    }
}

async fn start(
    proxy: &Proxy,
    call: Call,
    key: Key,
    beginning: Beginning,
    rest: Option<Body>,
) -> Result<Response<Body>, Failure> {
    let run = Run {
        ended: false,
        key,
        proxy: proxy.clone(),
    };
    let (first, response) = oneshot::channel();
    tokio::spawn(run_once(run, call, beginning, rest, first));
    response
        .await
        .unwrap_or(Err(Failure::Unknown(Reason::Lost)))
}

async fn run_once(
    run: Run,
    call: Call,
    beginning: Beginning,
    rest: Option<Body>,
    first: oneshot::Sender<Result<Response<Body>, Failure>>,
) {
    let outgoing = Outgoing {
        beginning: &beginning,
        call: &call,
        fingerprint: beginning.fingerprint(&call),
        rest,
    };
    let response = match forward::send(&run.proxy, outgoing).await {
        Ok(response) => response,
        Err(failure) => {
            run.end(&Err(failure));
            // The first caller may have gone.
            let _ = first.send(Err(failure));
            return;
        }
    };
    let (parts, body) = response.into_parts();
    let (writer, copied) = Body::channel();
    let _ = first.send(Ok(Response::from_parts(parts.clone(), copied)));
    let Some((kept, trailers)) = copy(body, &writer).await else {
        return run.end(&Err(Failure::Unknown(Reason::Lost)));
    };
    let answer = kept.filter(|_| trailers.is_empty()).map(|body| Answer {
        body,
        headers: headers::encode(&parts.headers),
        status: parts.status.as_u16(),
    });
    run.end(&Ok(answer.map(Arc::new)));
    writer.finish(trailers).await;
}

/// Copies an answer to its first caller, and keeps it if it is short. Gives nothing if it is cut.
async fn copy(mut body: Body, writer: &Writer) -> Option<(Option<Bytes>, HeaderMap)> {
    let mut kept = Some(BytesMut::new());
    let mut trailers = HeaderMap::new();
    while let Some(frame) = body.frame().await {
        match frame.ok()?.into_data() {
            Ok(data) => {
                kept = kept.filter(|kept| kept.len() + data.len() <= BODY_BYTES_MAX);
                if let Some(kept) = &mut kept {
                    kept.extend_from_slice(&data);
                }
                // The answer is kept though its first caller has gone.
                writer.push(data).await;
            }
            Err(frame) => trailers = frame.into_trailers().unwrap_or_default(),
        }
    }
    Some((kept.map(BytesMut::freeze), trailers))
}

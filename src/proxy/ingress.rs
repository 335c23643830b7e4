//! The ingress of the mesh: the HTTP server to which callers send their requests.

use {
    super::{
        Proxy,
        call::{self, Beginning, Call},
        forward::{self, Outgoing},
        headers, idempotency,
    },
    crate::{
        body::Body,
        error::{Error, Result},
        refusal::Reason,
        resource::Limits,
        wire::Failure,
    },
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A running HTTP server for callers.
pub struct Ingress {
    /// The address that was bound.
    pub address: SocketAddr,
    accept_task: tokio::task::JoinHandle<()>,
    stop_sender: watch::Sender<bool>,
}

impl Ingress {
    /// Binds the address and starts accepting requests.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, proxy: Proxy) -> Result<Self> {
        let fail = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let (stop_sender, stop) = watch::channel(false);
        let accept_task = tokio::spawn(accept_connections(listener, proxy, stop));
        Ok(Self {
            address,
            accept_task,
            stop_sender,
        })
    }

    /// Stops accepting connections, and waits until every request is answered.
    pub async fn stop(self) {
        self.stop_sender.send_replace(true);
        // Joining fails only if the task panicked, which the runtime has reported.
        let _ = self.accept_task.await;
    }
}

async fn accept_connections(listener: TcpListener, proxy: Proxy, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        let Ok((stream, _)) = stream else {
            proxy.telemetry.count("ingress.accept.failed");
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let proxy = proxy.clone();
        let service = service_fn(move |request| {
            let proxy = proxy.clone();
            async move { Ok::<_, Infallible>(handle_request(&proxy, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn handle_request(proxy: &Proxy, request: Request<Incoming>) -> Response<Body> {
    let id = call::request_id(&request);
    let mut response = match forward_request(proxy, request, &id).await {
        Ok(response) => response,
        Err(failure) => refusal_response(proxy, failure),
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}

async fn forward_request(
    proxy: &Proxy,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, Failure> {
    let not_run = Failure::NotRun;
    let (parts, body) = request.into_parts();
    let service = call::requested_service(&parts.headers).map_err(not_run)?;
    let route = proxy.router().route(&service, parts.uri.path());
    let limits = route.map_err(not_run)?.limits.clone();
    let call = Call::from_parts(proxy.now(), id.into(), &parts, &limits).map_err(not_run)?;
    let (beginning, body_rest) =
        read_body(proxy, &call, Body::from_incoming(body), &limits).await?;
    if let Some(idempotency_key) = call.idempotency_key.clone() {
        return idempotency::send_to_owner(proxy, call, &idempotency_key, beginning, body_rest)
            .await;
    }
    let outgoing = Outgoing {
        beginning: &beginning,
        call: &call,
        fingerprint: beginning.fingerprint(&call),
        body_rest,
    };
    forward::send(proxy, outgoing).await
}

async fn read_body(
    proxy: &Proxy,
    call: &Call,
    mut body: Body,
    limits: &Limits,
) -> Result<(Beginning, Option<Body>), Failure> {
    let not_run = Failure::NotRun;
    let body_max = limits.body_bytes.unwrap_or(call::DEFAULT_BODY_BYTES_MAX);
    if hyper::body::Body::size_hint(&body).lower() > body_max {
        return Err(not_run(Reason::TooLarge));
    }
    let reading = Beginning::read(&mut body, body_max);
    let left = call.deadline.since(proxy.now());
    let beginning = match tokio::time::timeout(left, reading).await {
        Ok(beginning) => beginning.map_err(not_run)?,
        Err(_) => return Err(not_run(Reason::Deadline)),
    };
    let body_rest = beginning.trailers.is_none().then(|| {
        let left = body_max - beginning.bytes.len() as u64;
        body.with_limit(left)
    });
    Ok((beginning, body_rest))
}

fn refusal_response(proxy: &Proxy, failure: Failure) -> Response<Body> {
    let (outcome, reason) = (failure.outcome(), failure.reason());
    proxy.telemetry.count(&failure.counter());
    let text = format!("{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}\n");
    let mut response = Response::new(Body::from_bytes(text));
    *response.status_mut() =
        StatusCode::from_u16(failure.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let fields = [
        ("content-type", "application/json".into()),
        (headers::OUTCOME, outcome.into()),
        (headers::REASON, reason.to_string()),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

//! Where a caller's request enters the mesh.

use {
    super::{Proxy, headers, parts},
    crate::{
        body::{Body, Writer},
        error::{Error, Result},
        refusal::Reason,
        traffic::{Choice, outcome::Kind},
        wire::{Answer, Failure, Part, Request as Head},
        world::Service,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    quinn::{RecvStream, SendStream},
    std::{convert::Infallible, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A running ingress.
pub struct Ingress {
    /// Where it takes requests.
    pub address: SocketAddr,
    stopped: tokio::task::JoinHandle<()>,
    stopping: watch::Sender<bool>,
}

impl Ingress {
    /// Binds the port and starts taking requests.
    ///
    /// # Errors
    /// Fails if the port is taken.
    pub async fn bind(address: SocketAddr, proxy: Proxy) -> Result<Self> {
        let fail = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let (stopping, stop) = watch::channel(false);
        let stopped = tokio::spawn(accept(listener, proxy, stop));
        Ok(Self {
            address,
            stopped,
            stopping,
        })
    }

    /// Takes no new connections, and returns when every request is answered.
    pub async fn stop(self) {
        self.stopping.send_replace(true);
        // The task ends by itself; a panic in it was reported by the runtime.
        let _ = self.stopped.await;
    }
}

async fn accept(listener: TcpListener, proxy: Proxy, mut stop: watch::Receiver<bool>) {
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
            async move { Ok::<_, Infallible>(answer(&proxy, request).await) }
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

async fn answer(proxy: &Proxy, request: Request<Incoming>) -> Response<Body> {
    let id = request_id(&request);
    let mut response = match forward(proxy, request, &id).await {
        Ok(response) => response,
        Err(failure) => refuse(proxy, failure),
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(headers::ID, value);
    }
    response
}

fn request_id(request: &Request<Incoming>) -> String {
    request
        .headers()
        .get(headers::ID)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| format!("{:032x}", rand::random::<u128>()), String::from)
}

fn refuse(proxy: &Proxy, failure: Failure) -> Response<Body> {
    let (reason, outcome, status) = match failure {
        Failure::NotRun(reason) => (reason, "not-run", not_run_status(reason)),
        Failure::Unknown(reason) => (reason, "unknown", StatusCode::BAD_GATEWAY),
    };
    proxy
        .telemetry
        .count(&format!("refused.{outcome}.{reason}"));
    let text = format!("{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}\n");
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
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

fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn service(request: &Request<Incoming>) -> Option<Service> {
    let headers = request.headers();
    if let Some(name) = headers.get(headers::SERVICE) {
        return name.to_str().ok()?.parse().ok();
    }
    let host = headers.get("host")?.to_str().ok()?;
    host.split(['.', ':']).next()?.parse().ok()
}

async fn forward(
    proxy: &Proxy,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, Failure> {
    let not_run = Failure::NotRun;
    let service = service(&request).ok_or(not_run(Reason::BadRequest))?;
    let choice = proxy
        .traffic()
        .choose(proxy.now(), &service, request.uri().path(), id)
        .map_err(not_run)?;
    let result = attempt(proxy, request, id, service, &choice).await;
    let kind = match &result {
        Ok(response) if response.status().is_server_error() => Kind::Failure,
        Ok(_) => Kind::Success,
        Err(Failure::Unknown(Reason::Deadline)) => Kind::Late,
        Err(Failure::Unknown(_)) => Kind::Lost,
        Err(Failure::NotRun(Reason::Unreachable)) => Kind::Unreachable,
        Err(Failure::NotRun(_)) => Kind::Refused,
    };
    proxy.traffic().finish(proxy.now(), &choice, kind);
    result
}

async fn attempt(
    proxy: &Proxy,
    request: Request<Incoming>,
    id: &str,
    service: Service,
    choice: &Choice,
) -> Result<Response<Body>, Failure> {
    let not_run = Failure::NotRun;
    let (mut send, mut recv) = open(proxy, choice).await.map_err(not_run)?;
    let (parts, body) = request.into_parts();
    let head = Head {
        budget: u64::try_from(REQUEST_TIMEOUT.as_micros()).unwrap_or(u64::MAX),
        headers: headers::encode(&parts.headers),
        id: id.into(),
        method: parts.method.to_string(),
        service,
        target: parts
            .uri
            .path_and_query()
            .map_or_else(|| "/".into(), ToString::to_string),
        version: choice.version.clone(),
    };
    parts::write(&mut send, &Part::Request(head))
        .await
        .map_err(|_| not_run(Reason::Unreachable))?;
    tokio::spawn(upload(body, send));
    let lost = Failure::Unknown(Reason::Lost);
    let begun = tokio::time::timeout(REQUEST_TIMEOUT, parts::read(&mut recv)).await;
    match begun {
        Err(_) => Err(Failure::Unknown(Reason::Deadline)),
        Ok(Ok(Part::Answer(answer))) if answer.id == id => Ok(respond(choice, &answer, recv)),
        Ok(Ok(Part::Failure(failure))) => Err(failure),
        Ok(_) => Err(lost),
    }
}

async fn open(proxy: &Proxy, choice: &Choice) -> Result<(SendStream, RecvStream), Reason> {
    let address = proxy
        .traffic()
        .record(&choice.host)
        .map(|record| record.contact.address)
        .ok_or(Reason::NoEndpoint)?;
    let connection = proxy
        .link
        .connection(&choice.host, address)
        .await
        .map_err(|_| Reason::Unreachable)?;
    connection.open_bi().await.map_err(|_| Reason::Unreachable)
}

async fn upload(mut body: Incoming, mut send: SendStream) {
    let mut trailers = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            // The caller's body was cut short: the reset tells the other node so.
            let _ = send.reset(quinn::VarInt::from_u32(0));
            return;
        };
        match frame.into_data() {
            Ok(data) => {
                for chunk in data.chunks(crate::wire::PART_MAX / 2) {
                    if parts::write(&mut send, &Part::Chunk(chunk.into()))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            }
            Err(frame) => {
                trailers = frame
                    .trailers_ref()
                    .map(headers::encode)
                    .unwrap_or_default();
            }
        }
    }
    if parts::write(&mut send, &Part::End(trailers)).await.is_ok() {
        let _ = send.finish();
    }
}

fn respond(choice: &Choice, answer: &Answer, recv: RecvStream) -> Response<Body> {
    let (writer, body) = Body::channel();
    tokio::spawn(download(recv, writer));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::decode(&answer.headers);
    if let Ok(value) = choice.version.as_str().parse() {
        response.headers_mut().insert(headers::VERSION, value);
    }
    response
}

/// Copies an answer's body from a node to a caller; an answer that breaks off is cut short there too.
async fn download(mut recv: RecvStream, writer: Writer) {
    loop {
        let part = tokio::select! {
            part = parts::read(&mut recv) => part,
            () = writer.closed() => return,
        };
        match part {
            Ok(Part::Chunk(chunk)) => {
                if !writer.push(Bytes::from(chunk)).await {
                    return;
                }
            }
            Ok(Part::End(trailers)) => return writer.finish(headers::decode(&trailers)).await,
            _ => return,
        }
    }
}

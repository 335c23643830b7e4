//! A stand-in of an upstream: a small HTTP back end with slots, drain, and switches for bad and slow.
//! It answers with its name, counts what it runs, and echoes the request's body.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    mulberryshelf::body::Body,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, task::AbortHandle},
};

/// How the upstream misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// This many of a thousand requests fail.
    pub bad_permille: u16,
    /// This many answers begin and break off.
    pub cut_answers: u32,
    /// How long after such a request the upstream dies, in milliseconds.
    pub die_after_ms: u64,
    /// A request with this body kills the upstream, also if its caller has gone.
    pub die_of: Option<String>,
    /// This many requests run, and the connection closes without an answer.
    pub lose_answers: u32,
    /// Every request takes this long, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct State {
    connections: usize,
    connections_most: usize,
    dead: bool,
    faults: Faults,
    headers: BTreeMap<String, BTreeMap<String, String>>,
    running: u64,
    runs: BTreeMap<String, u64>,
    tasks: Vec<AbortHandle>,
    total: u64,
}

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    /// Where it takes requests.
    pub address: SocketAddr,
    name: Arc<str>,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Binds the port and starts to serve.
    pub async fn bind(address: SocketAddr, name: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Self {
            address: listener.local_addr()?,
            name: name.into(),
            state: Arc::default(),
        };
        let accepting = tokio::spawn(upstream.clone().accept(listener));
        upstream.state().tasks.push(accepting.abort_handle());
        Ok(upstream)
    }

    /// Dies: every connection breaks off, and nothing listens any more.
    pub fn die(&self) {
        let mut state = self.state();
        state.dead = true;
        for task in state.tasks.drain(..) {
            task.abort();
        }
    }

    /// Says whether it has died.
    pub fn is_dead(&self) -> bool {
        self.state().dead
    }

    /// Gives the most connections that were open at a time.
    pub fn connections_most(&self) -> usize {
        self.state().connections_most
    }

    /// Gives a header of the request with an id, as it arrived.
    pub fn header(&self, id: &str, name: &str) -> Option<String> {
        self.state().headers.get(id)?.get(name).cloned()
    }

    /// Switches faults on and off.
    pub fn fail(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Gives how many requests it has run.
    pub fn total(&self) -> u64 {
        self.state().total
    }

    /// Gives how often the request with an id has run.
    pub fn runs(&self, id: &str) -> u64 {
        self.state().runs.get(id).copied().unwrap_or(0)
    }

    /// Gives how many requests run now.
    pub fn running(&self) -> u64 {
        self.state().running
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let upstream = self.clone();
            let service = service_fn(move |request| {
                let upstream = upstream.clone();
                async move { upstream.answer(request).await }
            });
            let open = Open::new(self.clone());
            let task = tokio::spawn(async move {
                let _open = open;
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            let mut state = self.state();
            if state.dead {
                return task.abort();
            }
            state.tasks.push(task.abort_handle());
        }
    }

    fn begin(&self, id: &str, request: &Request<Incoming>) -> Faults {
        let headers = request.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        });
        let mut state = self.state();
        state.headers.insert(id.into(), headers.collect());
        state.total += 1;
        state.running += 1;
        *state.runs.entry(id.into()).or_default() += 1;
        state.faults.clone()
    }

    fn spend(&self, fault: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut state = self.state();
        let left = fault(&mut state.faults);
        let spent = *left > 0;
        *left = left.saturating_sub(1);
        spent
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let faults = self.begin(&id, &request);
        let running = Running(self);
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let Ok(body) = request.into_body().collect().await else {
            return Ok(respond(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        drop(running);
        let body = body.to_bytes();
        if faults.die_of.is_some_and(|text| text.as_bytes() == body) {
            let dying = self.clone();
            let death = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(faults.die_after_ms)).await;
                dying.die();
            });
            // Aborted with the upstream's other tasks, or with the connection.
            let _ = death.await;
            return Err(io::Error::other("the upstream dies"));
        }
        if self.spend(|faults| &mut faults.lose_answers) {
            return Err(io::Error::other("the answer is lost"));
        }
        if self.spend(|faults| &mut faults.cut_answers) {
            return Ok(cut(body).await);
        }
        if rand::random_range(0..1000) < faults.bad_permille {
            return Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, "bad".into()));
        }
        if body.is_empty() {
            return Ok(respond(StatusCode::OK, format!("{}\n", self.name).into()));
        }
        Ok(respond(StatusCode::OK, body))
    }
}

struct Open(Upstream);

impl Open {
    fn new(upstream: Upstream) -> Self {
        let mut state = upstream.state();
        state.connections += 1;
        state.connections_most = state.connections_most.max(state.connections);
        drop(state);
        Self(upstream)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state().connections -= 1;
    }
}

async fn cut(body: Bytes) -> Response<Body> {
    let (writer, streaming) = Body::channel();
    writer.send(body.slice(..body.len() / 2)).await;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(writer);
    });
    Response::new(streaming)
}

struct Running<'a>(&'a Upstream);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from_bytes(body));
    *response.status_mut() = status;
    response
}

//! A stand-in for an upstream: a small HTTP server with fault injection. It counts the requests that
//! it runs and echoes their bodies; a request without a body is answered with the upstream's name.

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

/// The injected faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The permille of requests that fail with status 500.
    pub bad_permille: u16,
    /// The number of next answers that break off halfway through the body.
    pub cut_answers: u32,
    /// The time from a request that matches `die_of` to the crash, in milliseconds.
    pub die_after_ms: u64,
    /// The request body that crashes the upstream, even if the caller has left before.
    pub die_of: Option<String>,
    /// The number of next requests that run, but whose connection closes without an answer.
    pub lose_answers: u32,
    /// The run time of every request, in milliseconds.
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

/// A running stand-in for an upstream.
#[derive(Clone)]
pub struct Upstream {
    /// The address that it listens on.
    pub address: SocketAddr,
    name: Arc<str>,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Binds the port and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, name: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Self {
            address: listener.local_addr()?,
            name: name.into(),
            state: Arc::default(),
        };
        let accepting = tokio::spawn(upstream.clone().accept(listener));
        upstream.lock_state().tasks.push(accepting.abort_handle());
        Ok(upstream)
    }

    /// Simulates a crash: closes the listener and breaks off every connection.
    pub fn die(&self) {
        let mut state = self.lock_state();
        state.dead = true;
        for task in state.tasks.drain(..) {
            task.abort();
        }
    }

    /// Returns whether the upstream has crashed.
    pub fn is_dead(&self) -> bool {
        self.lock_state().dead
    }

    /// Returns the highest number of connections that were open at a time.
    pub fn connections_most(&self) -> usize {
        self.lock_state().connections_most
    }

    /// Returns a header of the last request with an id, as it arrived. Returns `None` if there was no
    /// such request or header.
    pub fn header(&self, id: &str, name: &str) -> Option<String> {
        self.lock_state().headers.get(id)?.get(name).cloned()
    }

    /// Replaces the injected faults.
    pub fn fail(&self, faults: Faults) {
        self.lock_state().faults = faults;
    }

    /// Returns the number of requests that it has started to run.
    pub fn total(&self) -> u64 {
        self.lock_state().total
    }

    /// Returns how often the request with an id was started.
    pub fn runs(&self, id: &str) -> u64 {
        self.lock_state().runs.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> u64 {
        self.lock_state().running
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let upstream = self.clone();
            let service = service_fn(move |request| {
                let upstream = upstream.clone();
                async move { upstream.handle(request).await }
            });
            let open = OpenConnection::new(self.clone());
            let task = tokio::spawn(async move {
                let _open = open;
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            let mut state = self.lock_state();
            if state.dead {
                return task.abort();
            }
            state.tasks.push(task.abort_handle());
        }
    }

    /// Records the start of a request, and returns the faults in force.
    fn start_request(&self, id: &str, request: &Request<Incoming>) -> Faults {
        let headers = request.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        });
        let mut state = self.lock_state();
        state.headers.insert(id.into(), headers.collect());
        state.total += 1;
        state.running += 1;
        *state.runs.entry(id.into()).or_default() += 1;
        state.faults.clone()
    }

    /// Uses up one occurrence of a counted fault. Returns `false` if none was left.
    fn use_up(&self, fault: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut state = self.lock_state();
        let left = fault(&mut state.faults);
        let is_due = *left > 0;
        *left = left.saturating_sub(1);
        is_due
    }

    async fn handle(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let faults = self.start_request(&id, &request);
        let running = RunningRequest(self);
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let Ok(body) = request.into_body().collect().await else {
            return Ok(respond(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        drop(running);
        let body = body.to_bytes();
        if faults.die_of.is_some_and(|text| text.as_bytes() == body) {
            let upstream = self.clone();
            let crash = tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(faults.die_after_ms)).await;
                upstream.die();
            });
            // `die` aborts this task; if the caller leaves before, the spawned task still runs.
            let _ = crash.await;
            return Err(io::Error::other("simulated crash of the upstream"));
        }
        if self.use_up(|faults| &mut faults.lose_answers) {
            return Err(io::Error::other("simulated loss of the answer"));
        }
        if self.use_up(|faults| &mut faults.cut_answers) {
            return Ok(truncated_response(body).await);
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

/// Counts a connection as open until it is dropped.
struct OpenConnection(Upstream);

impl OpenConnection {
    fn new(upstream: Upstream) -> Self {
        let mut state = upstream.lock_state();
        state.connections += 1;
        state.connections_most = state.connections_most.max(state.connections);
        drop(state);
        Self(upstream)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock_state().connections -= 1;
    }
}

/// Returns a response that breaks off after half of the body.
async fn truncated_response(body: Bytes) -> Response<Body> {
    let (writer, stream) = Body::channel();
    writer.send(body.slice(..body.len() / 2)).await;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(writer);
    });
    Response::new(stream)
}

/// Counts a request as running until it is dropped, also if its connection breaks off.
struct RunningRequest<'a>(&'a Upstream);

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.lock_state().running -= 1;
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from_bytes(body));
    *response.status_mut() = status;
    response
}

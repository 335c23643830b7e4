//! A stand-in of an upstream: a small HTTP back end with slots, drain, and switches for bad and slow.
//! It answers with its name, counts what it runs, and echoes the request's body.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// How the upstream misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// This many of a thousand requests fail.
    pub bad_permille: u16,
    /// Every request takes this long, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    running: u64,
    runs: BTreeMap<String, u64>,
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
        tokio::spawn(upstream.clone().accept(listener));
        Ok(upstream)
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
                async move { Ok::<_, Infallible>(upstream.answer(request).await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    fn begin(&self, id: &str) -> Faults {
        let mut state = self.state();
        state.total += 1;
        state.running += 1;
        *state.runs.entry(id.into()).or_default() += 1;
        state.faults.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let faults = self.begin(&id);
        let running = Running(self);
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let Ok(body) = request.into_body().collect().await else {
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        drop(running);
        if rand::random_range(0..1000) < faults.bad_permille {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "bad".into());
        }
        let body = body.to_bytes();
        if body.is_empty() {
            return respond(StatusCode::OK, format!("{}\n", self.name).into());
        }
        respond(StatusCode::OK, body)
    }
}

struct Running<'a>(&'a Upstream);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

//! Callers that send requests that must run at most once through each ingress, and check the answers.

use {
    crate::standin::upstream::Upstream,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, task::JoinSet},
};

/// The least time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// The results of the callers' requests.
#[derive(Default)]
pub struct Seen {
    /// The requests that got their own answer in full.
    pub answered: u64,
    /// The requests whose upstream answered with an error.
    pub bad: u64,
    /// The requests whose answer was cut short or belonged to another request.
    pub cut: u64,
    /// The ids of the requests that the mesh refused or failed, by `outcome.reason`.
    pub refused: BTreeMap<String, Vec<String>>,
    /// The ids of all requests.
    pub sent: Vec<String>,
}

/// A group of callers that send until they are stopped.
pub struct Callers {
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts a caller for each ingress, which sends up to 100 requests per second.
    pub fn spawn(ingresses: &[SocketAddr], service: &'static str) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let stop = Arc::<AtomicBool>::default();
        let mut tasks = JoinSet::new();
        for ingress in ingresses {
            tasks.spawn(call_repeatedly(
                *ingress,
                service,
                seen.clone(),
                stop.clone(),
            ));
        }
        Self { seen, stop, tasks }
    }

    /// Returns the number of requests sent so far.
    pub fn sent(&self) -> usize {
        self.seen.lock().unwrap().sent.len()
    }

    /// Waits for the running requests, and returns the results.
    pub async fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.seen.lock().unwrap())
    }
}

impl Seen {
    /// Returns the number of requests that the upstreams ran more than once, and of those that ran
    /// although the mesh had refused them as not run.
    pub fn misrun(&self, upstreams: &[&Upstream]) -> (usize, usize) {
        let runs =
            |id: &String| -> u64 { upstreams.iter().map(|upstream| upstream.runs(id)).sum() };
        let twice = self.sent.iter().filter(|id| runs(id) > 1).count();
        let not_run = self
            .refused
            .iter()
            .filter(|(reason, _)| reason.starts_with("not-run"))
            .flat_map(|(_, ids)| ids)
            .filter(|id| runs(id) > 0)
            .count();
        (twice, not_run)
    }

    /// Returns the number of requests that the mesh refused or failed.
    pub fn refusals(&self) -> usize {
        self.refused.values().map(Vec::len).sum()
    }
}

async fn call_repeatedly(
    ingress: SocketAddr,
    service: &'static str,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
) {
    let mut sender = None;
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        let id = format!("{:032x}", rand::random::<u128>());
        let mut connection = match sender.take() {
            Some(connection) => connection,
            None => connect(ingress).await,
        };
        seen.lock().unwrap().sent.push(id.clone());
        let answer = send_request(&mut connection, service, &id).await;
        let keep = answer.is_some();
        record(&mut seen.lock().unwrap(), id, answer);
        if keep && connection.ready().await.is_ok() {
            sender = Some(connection);
        }
    }
}

/// The status, the mesh's `outcome.reason` (else empty), and whether id and body match the request.
type Answer = (u16, String, bool);

fn record(seen: &mut Seen, id: String, answer: Option<Answer>) {
    let Some((status, refusal, own)) = answer else {
        seen.cut += 1;
        return;
    };
    if !refusal.is_empty() {
        seen.refused.entry(refusal).or_default().push(id);
    } else if status != 200 {
        seen.bad += 1;
    } else if own {
        seen.answered += 1;
    } else {
        seen.cut += 1;
    }
}

/// Sends a request. Returns `None` if the connection breaks off before the end of the answer.
async fn send_request(
    connection: &mut SendRequest<Full<Bytes>>,
    service: &str,
    id: &str,
) -> Option<Answer> {
    let request = Request::post("/assign")
        .header("host", "demo")
        .header("x-mulberry-service", service)
        .header("x-request-id", id)
        .body(Full::from(format!("crew for {id}")))
        .ok()?;
    let response = connection.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let outcome = header(&response, "x-mulberry-outcome");
    let reason = header(&response, "x-mulberry-reason");
    let own = header(&response, "x-request-id") == id;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let refusal = if outcome.is_empty() {
        outcome
    } else {
        format!("{outcome}.{reason}")
    };
    let whole = body.ends_with(format!("crew for {id}").as_bytes());
    Some((status, refusal, own && whole))
}

fn header(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().into()
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address)
        .await
        .expect("cannot connect to the ingress");
    stream.set_nodelay(true).expect("cannot set TCP_NODELAY");
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .expect("HTTP handshake failed");
    tokio::spawn(connection);
    sender
}

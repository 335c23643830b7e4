//! Callers at every ingress, who send requests that must run at most once and look at each answer.

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

const GAP: Duration = Duration::from_millis(10);

/// What callers saw.
#[derive(Default)]
pub struct Seen {
    /// Whole answers of their own requests.
    pub answered: u64,
    /// Answers of upstreams that failed.
    pub bad: u64,
    /// Answers that were cut short, or another request's.
    pub cut: u64,
    /// The ids of requests that ended with each outcome and reason that the mesh stated.
    pub refused: BTreeMap<String, Vec<String>>,
    /// The ids of all requests.
    pub sent: Vec<String>,
}

/// Callers that send until they are stopped.
pub struct Callers {
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts one caller at each ingress; each sends up to a hundred requests a second.
    pub fn spawn(ingresses: &[SocketAddr], service: &'static str) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let stop = Arc::<AtomicBool>::default();
        let mut tasks = JoinSet::new();
        for ingress in ingresses {
            tasks.spawn(call_on(*ingress, service, seen.clone(), stop.clone()));
        }
        Self { seen, stop, tasks }
    }

    /// Gives how many requests were sent so far.
    pub fn sent(&self) -> usize {
        self.seen.lock().unwrap().sent.len()
    }

    /// Lets what runs finish, and gives what was seen.
    pub async fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.seen.lock().unwrap())
    }
}

impl Seen {
    /// Counts the requests that the upstreams have run more than once, and those that ran though they
    /// were refused as not run.
    pub fn misrun(&self, upstreams: &[&Upstream]) -> (usize, usize) {
        let runs = |id: &String| -> u64 { upstreams.iter().map(|one| one.runs(id)).sum() };
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

    /// Counts the refusals and failures that the mesh stated.
    pub fn refusals(&self) -> usize {
        self.refused.values().map(Vec::len).sum()
    }
}

async fn call_on(
    ingress: SocketAddr,
    service: &'static str,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
) {
    let mut sender = None;
    let mut ticks = tokio::time::interval(GAP);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        let id = format!("{:032x}", rand::random::<u128>());
        let mut connection = match sender.take() {
            Some(connection) => connection,
            None => dial(ingress).await,
        };
        seen.lock().unwrap().sent.push(id.clone());
        let answer = exchange(&mut connection, service, &id).await;
        let keep = answer.is_some();
        note(&mut seen.lock().unwrap(), id, answer);
        if keep && connection.ready().await.is_ok() {
            sender = Some(connection);
        }
    }
}

/// The status, the outcome and reason that the mesh states, and whether the body is the request's own.
type Answer = (u16, String, bool);

fn note(seen: &mut Seen, id: String, answer: Option<Answer>) {
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

async fn exchange(
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

async fn dial(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("an open port");
    stream.set_nodelay(true).expect("a socket");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    sender
}

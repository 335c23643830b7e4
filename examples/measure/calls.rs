//! Measures the latency that two nodes add to a call, with direct and proxied calls interleaved in one
//! run so that both see the same load on the machine.

use {
    bytes::Bytes,
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, MissedTickBehavior},
    },
};

const BODY_BYTES: usize = 1_000;
/// The calls of each kind that are made before the measurement.
const WARM_UP_CALLS: usize = 200;

/// The targets, rate and duration of a measurement.
pub struct Plan<'a> {
    pub proxy: SocketAddr,
    /// The calls per second of each kind.
    pub rate: u64,
    pub seconds: u64,
    pub service: &'a str,
    pub upstream: SocketAddr,
}

/// An address that calls go to, with its idle connections and the results.
#[derive(Clone)]
struct Target {
    address: SocketAddr,
    failed: Arc<Mutex<u64>>,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
    micros: Arc<Mutex<Histogram<u64>>>,
    service: Arc<str>,
}

impl Plan<'_> {
    /// Makes direct and proxied calls in turn at the rate, and prints the latency of each kind.
    pub async fn run(&self) {
        let direct = Target::new(self.upstream, self.service);
        let proxied = Target::new(self.proxy, self.service);
        for _ in 0..WARM_UP_CALLS {
            direct.call().await;
            proxied.call().await;
        }
        direct.reset();
        proxied.reset();
        let interval =
            Duration::from_secs(1) / u32::try_from(2 * self.rate).expect("RATE is too large");
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..2 * self.rate * self.seconds {
            ticks.tick().await;
            let target = if index % 2 == 0 { &direct } else { &proxied };
            let target = target.clone();
            calls.spawn(async move { target.call().await });
        }
        calls.join_all().await;
        println!("{} calls/s of each kind for {} s", self.rate, self.seconds);
        let direct = direct.report("direct ");
        let proxied = proxied.report("proxied");
        let added = |index: usize| proxied[index].saturating_sub(direct[index]);
        println!("added   p50 {} us, p99 {} us", added(0), added(1));
    }
}

impl Target {
    fn new(address: SocketAddr, service: &str) -> Self {
        Self {
            address,
            failed: Arc::default(),
            idle: Arc::default(),
            micros: Arc::new(Mutex::new(
                Histogram::new(3).expect("cannot create a histogram"),
            )),
            service: service.into(),
        }
    }

    fn reset(&self) {
        *self.failed.lock().unwrap() = 0;
        self.micros.lock().unwrap().reset();
    }

    /// Prints the results, and returns the 50th and 99th percentile of the latency in microseconds.
    fn report(&self, name: &str) -> [u64; 2] {
        let micros = self.micros.lock().unwrap();
        let failed = self.failed.lock().unwrap();
        let quantiles = [0.5, 0.99].map(|quantile| micros.value_at_quantile(quantile));
        println!(
            "{name} p50 {} us, p99 {} us, {} answered, {failed} failed",
            quantiles[0],
            quantiles[1],
            micros.len()
        );
        quantiles
    }

    async fn call(&self) {
        let idle = self.idle.lock().unwrap().pop();
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(self.address).await,
        };
        let started = Instant::now();
        let answered = send_request(&mut sender, &self.service).await;
        let micros =
            u64::try_from(started.elapsed().as_micros()).expect("the latency does not fit 64 bits");
        if answered {
            self.micros
                .lock()
                .unwrap()
                .record(micros)
                .expect("the latency is out of the histogram's range");
            self.idle.lock().unwrap().push(sender);
        } else {
            *self.failed.lock().unwrap() += 1;
        }
    }
}

/// Sends a request, and returns whether it was answered with status 200 and a body of the same length.
async fn send_request(sender: &mut SendRequest<Full<Bytes>>, service: &str) -> bool {
    let request = Request::post("/")
        .header("host", "measure")
        .header("x-mulberry-service", service)
        .body(Full::from(vec![b'w'; BODY_BYTES]))
        .expect("invalid request");
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    let status = response.status();
    let body = response.into_body().collect().await;
    status == 200 && body.is_ok_and(|body| body.to_bytes().len() == BODY_BYTES)
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("cannot connect");
    stream.set_nodelay(true).expect("cannot set TCP_NODELAY");
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .expect("HTTP handshake failed");
    tokio::spawn(connection);
    sender
}

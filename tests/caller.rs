//! An HTTP client that opens a connection for each request, and a small mesh for it to call.

use {
    crate::test_mesh::{TestMesh, eventually, route_to},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    mulberryshelf::{member::Offer, source::OperationStatus},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

pub const SERVICE: &str = "dispatch-hub";
pub const VERSION: &str = "hub-1";

/// An answer as the caller received it.
#[derive(Debug)]
pub struct Reply {
    pub body: String,
    pub outcome: String,
    pub reason: String,
    pub status: u16,
    pub elapsed: Duration,
}

impl Reply {
    /// Returns status, outcome and reason.
    pub fn refusal(&self) -> (u16, &str, &str) {
        (self.status, &self.outcome, &self.reason)
    }
}

/// A request that can be sent several times.
#[derive(Clone)]
pub struct Caller {
    body: String,
    headers: Vec<(String, String)>,
    method: &'static str,
    proxy: SocketAddr,
}

impl Caller {
    pub fn get(proxy: SocketAddr, id: &str) -> Self {
        Self::new(proxy, "GET", id, "")
    }

    pub fn post(proxy: SocketAddr, id: &str, body: &str) -> Self {
        Self::new(proxy, "POST", id, body)
    }

    pub fn new(proxy: SocketAddr, method: &'static str, id: &str, body: &str) -> Self {
        Self {
            body: body.into(),
            headers: vec![
                ("x-mulberry-service".into(), SERVICE.into()),
                ("x-request-id".into(), id.into()),
            ],
            method,
            proxy,
        }
    }

    pub fn header(mut self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and reads the head of the answer.
    pub async fn send_for_head(&self) -> hyper::Result<Response<Incoming>> {
        let stream = TcpStream::connect(self.proxy).await.unwrap();
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(self.method).uri("/");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        sender.send_request(request.body(body).unwrap()).await
    }

    /// Sends the request and reads the complete answer. Returns an error if the answer is
    /// truncated.
    pub async fn try_send(&self) -> hyper::Result<Reply> {
        let start = Instant::now();
        let response = self.send_for_head().await?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or(String::new(), |value| value.to_str().unwrap().into())
        };
        let (outcome, reason) = (header("x-mulberry-outcome"), header("x-mulberry-reason"));
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Reply {
            body: String::from_utf8(body.into()).unwrap(),
            outcome,
            reason,
            status,
            elapsed: start.elapsed(),
        })
    }

    pub async fn send(&self) -> Reply {
        self.try_send().await.unwrap()
    }
}

/// Starts a mesh of host 0, at which callers enter, and `hosts` hosts of the service in the same
/// failure domain. Returns when requests from every host reach every upstream of the service.
pub async fn start_mesh(hosts: usize) -> TestMesh {
    let mut test = TestMesh::new()
        .host("a0", "luzon-a", "resident-desk", "desk-1")
        .await;
    for host in 1..=hosts {
        let name = format!("a{host}");
        test = test.host(&name, "luzon-a", SERVICE, VERSION).await;
    }
    let operation_status = test.apply(0, route_to(SERVICE, VERSION)).await;
    let OperationStatus::Accepted(revision) = operation_status else {
        panic!("{operation_status:?}");
    };
    test.wait_converged(revision).await;
    for from in 0..=hosts {
        wait_reachable(&test, from, hosts).await;
    }
    test
}

/// Waits until requests from a host have reached every upstream of the service.
async fn wait_reachable(test: &TestMesh, from: usize, hosts: usize) {
    let before: Vec<u64> = test
        .hosts
        .iter()
        .map(|host| host.upstream.total())
        .collect();
    let proxy = test.hosts[from].node.proxy_address();
    let mut calls = 0;
    loop {
        Caller::get(proxy, "warm-up").send().await;
        let reached = |host: usize| test.hosts[host].upstream.total() > before[host];
        if (1..=hosts).all(reached) {
            return;
        }
        calls += 1;
        assert!(
            calls < 2000,
            "requests from host {from} do not reach every upstream"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Announces an upstream again, with other slots and optionally another address.
pub fn announce(test: &TestMesh, host: usize, address: Option<SocketAddr>, slots: u32) {
    let host = &test.hosts[host];
    host.node.handle().register_offer(Offer {
        address: address.unwrap_or(host.upstream.address),
        connections_max: 120,
        service: SERVICE.parse().unwrap(),
        slots,
        version: VERSION.parse().unwrap(),
    });
}

/// Waits until no request runs at an upstream.
pub async fn wait_idle(test: &TestMesh, host: usize) {
    eventually(|| test.hosts[host].upstream.running() == 0).await;
}

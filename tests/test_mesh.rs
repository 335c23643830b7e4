//! A small mesh for tests, in one process: a platform, nodes and their upstreams.

use {
    crate::standin::{platform::Platform, upstream::Upstream},
    mulberryshelf::{
        api::Apply,
        member::Offer,
        node::{Handle, Node},
        settings::{Settings, StopLimits, Tokens},
        source::{Operation, OperationStatus},
        tls::Authority,
        types::Revision,
    },
    serde_json::{Value, json},
    std::{
        future::Future,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// The loopback address with a port chosen by the operating system.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The runtime of one node. Each node has its own threads, so it can be killed or paused like a
/// separate process.
pub struct NodeRuntime(Option<Runtime>);

impl NodeRuntime {
    fn spawn() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        Self(Some(runtime))
    }

    async fn run<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> T {
        let runtime = self.0.as_ref().unwrap();
        runtime.spawn(task).await.unwrap()
    }

    /// Drops all tasks of the node at once, without closing connections or notifying peers.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }

    /// Blocks both threads of the node for `span`.
    pub fn pause(&self, span: Duration) {
        for _ in 0..2 {
            let runtime = self.0.as_ref().unwrap();
            runtime.spawn(async move { std::thread::sleep(span) });
        }
    }
}

impl Drop for NodeRuntime {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A host with its node and its upstream.
pub struct Host {
    pub node: Node,
    pub process: NodeRuntime,
    pub upstream: Upstream,
}

/// A small mesh, to which hosts are added one by one.
pub struct TestMesh {
    pub authority: Authority,
    pub hosts: Vec<Host>,
    pub platform: Platform,
    pub stop: StopLimits,
}

impl TestMesh {
    pub fn new() -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        Self {
            authority: Authority::generate().unwrap(),
            hosts: Vec::new(),
            platform: Platform::bind(ANY_PORT).unwrap(),
            stop: StopLimits {
                spread: Duration::from_millis(200),
                ..StopLimits::default()
            },
        }
    }

    /// Adds a host with an upstream that announces itself.
    pub async fn host(mut self, name: &str, domain: &str, service: &str, version: &str) -> Self {
        let region = domain.split('-').next().unwrap().parse().unwrap();
        let (host, domain) = (name.parse().unwrap(), domain.parse().unwrap());
        let identity = self.authority.issue_node_identity(&host, &domain).unwrap();
        let settings = Settings {
            admin: ANY_PORT,
            api: ANY_PORT,
            authority: "unused".into(),
            certificate: "unused".into(),
            domain,
            host,
            key: "unused".into(),
            lease: Duration::from_secs(60),
            peers: self
                .hosts
                .iter()
                .map(|host| host.node.quic_address())
                .collect(),
            platform: self.platform.url(),
            proxy: ANY_PORT,
            quic: ANY_PORT,
            region,
            statsd: None,
            stop: self.stop,
            tokens: Tokens {
                read: "read".into(),
                write: "write".into(),
            },
        };
        let process = NodeRuntime::spawn();
        let node = process
            .run(async move { Node::spawn(settings, &identity).await.unwrap() })
            .await;
        let upstream = Upstream::bind(ANY_PORT, name).await.unwrap();
        node.handle().register_offer(Offer {
            address: upstream.address,
            connections_max: 120,
            service: service.parse().unwrap(),
            slots: 12,
            version: version.parse().unwrap(),
        });
        self.hosts.push(Host {
            node,
            process,
            upstream,
        });
        self
    }

    /// Submits resources at a host and returns the status.
    pub async fn apply(&self, host: usize, resources: Value) -> OperationStatus {
        let id = format!("{:x}", rand::random::<u128>());
        let body = json!({ "operation": id, "resources": resources });
        let apply = Apply::parse(&body.to_string()).unwrap();
        assert_eq!(apply.faults, []);
        let changes = apply.changes;
        let handle = self.hosts[host].node.handle().clone();
        let operation = Operation { changes, id };
        tokio::task::spawn_blocking(move || handle.submit(operation))
            .await
            .unwrap()
    }

    /// Waits until every host has `revision` or a later one in force.
    pub async fn wait_converged(&self, revision: Revision) {
        eventually(|| {
            self.hosts
                .iter()
                .all(|host| host.node.handle().snapshot().revision >= revision)
        })
        .await;
    }
}

/// Waits until a node reports that a failure domain has `revision` or a later one in force.
pub async fn wait_reported(handle: &Handle, domain: &str, revision: u64) {
    let domain = domain.parse().unwrap();
    let reported = || {
        handle
            .coverage()
            .get(&domain)
            .map(|coverage| coverage.revision.0)
    };
    eventually(|| reported() >= Some(revision)).await;
}

/// Waits until `condition` returns true, and panics after 20 s.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "the condition did not hold within {TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request to a node. Returns the status, the reason (empty if there is none) and the body.
pub async fn call(proxy: SocketAddr, service: &str, body: &str) -> (u16, String, String) {
    let (service, body) = (service.to_string(), body.to_string());
    tokio::task::spawn_blocking(move || {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build();
        let agent: ureq::Agent = config.into();
        let mut response = agent
            .post(format!("http://{proxy}/"))
            .header("x-mulberry-service", service)
            .send(body)
            .unwrap();
        let reason = response
            .headers()
            .get("x-mulberry-reason")
            .map(|value| value.to_str().unwrap().to_string());
        let text = response.body_mut().read_to_string().unwrap();
        (response.status().as_u16(), reason.unwrap_or_default(), text)
    })
    .await
    .unwrap()
}

/// Returns the resources for a version that gets all traffic of a service.
pub fn route_to(service: &str, version: &str) -> Value {
    json!([
        { "kind": "version", "metadata": { "name": version }, "spec": { "service": service } },
        {
            "kind": "route",
            "metadata": { "name": service },
            "spec": { "service": service, "shares": { version: 1000 } },
        },
    ])
}

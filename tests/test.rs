//! A small mesh in one process: a platform, nodes and their upstreams.

use {
    crate::standin::{platform::Platform, upstream::Upstream},
    mulberryshelf::{
        api::Apply,
        member::Offer,
        node::Node,
        settings::{Settings, Stop, Tokens},
        source::{Operation, Verdict},
        tls::Authority,
        world::Revision,
    },
    serde_json::{Value, json},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

const PATIENCE: Duration = Duration::from_secs(20);

/// A port that the system chooses.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One host: its node and its upstream.
pub struct Host {
    pub node: Node,
    pub upstream: Upstream,
}

/// The builder of a small mesh.
pub struct Test {
    authority: Authority,
    pub hosts: Vec<Host>,
    pub platform: Platform,
}

impl Test {
    pub fn new() -> Self {
        Self {
            authority: Authority::create().unwrap(),
            hosts: Vec::new(),
            platform: Platform::bind(ANY).unwrap(),
        }
    }

    /// Adds a host with an upstream that announces itself.
    pub async fn host(mut self, name: &str, domain: &str, service: &str, version: &str) -> Self {
        let (host, domain) = (name.parse().unwrap(), domain.parse().unwrap());
        let identity = self.authority.sign(&host, &domain).unwrap();
        let settings = Settings {
            admin: ANY,
            api: ANY,
            authority: "unused".into(),
            certificate: "unused".into(),
            domain,
            host,
            key: "unused".into(),
            lease: Duration::from_secs(60),
            peers: self.hosts.iter().map(|host| host.node.quic()).collect(),
            platform: self.platform.url(),
            proxy: ANY,
            quic: ANY,
            region: "luzon".parse().unwrap(),
            statsd: None,
            stop: Stop {
                spread: Duration::from_millis(200),
                ..Stop::default()
            },
            tokens: Tokens {
                read: "read".into(),
                write: "write".into(),
            },
        };
        let node = Node::spawn(settings, &identity).await.unwrap();
        let upstream = Upstream::bind(ANY, name).await.unwrap();
        node.handle().announce(Offer {
            address: upstream.address,
            connections: 120,
            service: service.parse().unwrap(),
            slots: 12,
            version: version.parse().unwrap(),
        });
        self.hosts.push(Host { node, upstream });
        self
    }

    /// Has resources accepted at a host, and gives what became of them.
    pub async fn apply(&self, host: usize, resources: Value) -> Verdict {
        let id = format!("{:x}", rand::random::<u128>());
        let apply: Apply =
            serde_json::from_value(json!({ "operation": id, "resources": resources })).unwrap();
        let changes = apply
            .resources
            .iter()
            .map(|document| (document.change().unwrap(), None))
            .collect();
        let handle = self.hosts[host].node.handle().clone();
        let operation = Operation { changes, id };
        tokio::task::spawn_blocking(move || handle.submit(operation))
            .await
            .unwrap()
    }

    /// Waits until every host runs a revision.
    pub async fn converged(&self, revision: Revision) {
        eventually(|| {
            self.hosts
                .iter()
                .all(|host| host.node.handle().snapshot().revision >= revision)
        })
        .await;
    }
}

/// Waits until a condition holds.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "the condition never held");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request to a node, and gives the status, the reason if there is one, and the body.
pub async fn call(proxy: SocketAddr, service: &str, body: &str) -> (u16, String, String) {
    let (service, body) = (service.to_string(), body.to_string());
    tokio::task::spawn_blocking(move || {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
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

/// One version with all of a service's traffic.
pub fn whole_route(service: &str, version: &str) -> Value {
    json!([
        { "kind": "version", "metadata": { "name": version }, "spec": { "service": service } },
        {
            "kind": "route",
            "metadata": { "name": service },
            "spec": { "service": service, "shares": { version: 1000 } },
        },
    ])
}

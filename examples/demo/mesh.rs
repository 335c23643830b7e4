//! The mesh of the demo: a platform, and hosts that run a node and an upstream each.

use {
    crate::{
        operator::Operator,
        standin::{platform::Platform, upstream::Upstream},
    },
    mulberryshelf::{
        member::Offer,
        node::{Handle, Node},
        settings::{Settings, StopLimits, Tokens},
        tls::Authority,
        types::Revision,
    },
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// A loopback address with a port that the operating system chooses.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LEASE: Duration = Duration::from_secs(10);
/// The number of earlier nodes that a node is given as peers.
const PEERS_PER_NODE: usize = 3;
/// The failure domains, each with its region.
const DOMAINS: [(&str, &str); 4] = [
    ("luzon-a", "luzon"),
    ("luzon-b", "luzon"),
    ("visayas-a", "visayas"),
    ("visayas-b", "visayas"),
];
/// The token with write access to the API.
const WRITE_TOKEN: &str = "change";
/// The interval at which a node's revision is checked.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The service and version of the upstreams in each failure domain.
const UPSTREAMS: [(&str, &str); 4] = [
    ("resident-desk", "desk-1"),
    ("dispatch-hub", "hub-1"),
    ("dispatch-hub", "hub-2"),
    ("dispatch-hub", "hub-3"),
];

/// A host with its node and upstream.
pub struct Host {
    pub name: String,
    /// `None` once the node was stopped.
    pub node: Option<Node>,
    pub handle: Handle,
    pub upstream: Upstream,
    pub version: &'static str,
}

/// A running mesh with its platform and operator.
pub struct Mesh {
    pub hosts: Vec<Host>,
    pub operator: Operator,
    pub platform: Platform,
    reverted: Arc<AtomicU64>,
    started: Instant,
}

impl Mesh {
    /// Starts every host. Each node joins through up to three nodes that were started before.
    pub async fn spawn() -> Self {
        let authority = Authority::generate().expect("cannot create an authority");
        let platform = Platform::bind(LOOPBACK).expect("cannot bind a loopback port");
        let mut hosts: Vec<Host> = Vec::new();
        let reverted = Arc::<AtomicU64>::default();
        for (service, version) in UPSTREAMS {
            for (domain, region) in DOMAINS {
                let name = format!("{version}-{domain}");
                let peers = hosts
                    .iter()
                    .filter_map(|host| host.node.as_ref())
                    .take(PEERS_PER_NODE)
                    .map(Node::quic_address)
                    .collect();
                let settings = settings(&name, (domain, region), peers, &platform.url());
                let identity = authority
                    .issue_node_identity(&settings.host, &settings.domain)
                    .expect("cannot sign a certificate");
                let node = Node::spawn(settings, &identity)
                    .await
                    .expect("cannot start a node");
                let upstream = Upstream::bind(LOOPBACK, &name)
                    .await
                    .expect("cannot bind a loopback port");
                let handle = node.handle().clone();
                announce_repeatedly(handle.clone(), upstream.address, service, version);
                tokio::spawn(count_reversions(handle.clone(), reverted.clone()));
                hosts.push(Host {
                    name,
                    node: Some(node),
                    handle,
                    upstream,
                    version,
                });
            }
        }
        let api = hosts[0]
            .node
            .as_ref()
            .expect("the first node is not running")
            .api_address();
        Self {
            hosts,
            operator: Operator::new(api, WRITE_TOKEN),
            platform,
            reverted,
            started: Instant::now(),
        }
    }

    /// Returns the proxy addresses of the running nodes on the hosts of a version.
    pub fn ingresses(&self, version: &str) -> Vec<SocketAddr> {
        self.running()
            .filter(|host| host.version == version)
            .filter_map(|host| host.node.as_ref().map(Node::proxy_address))
            .collect()
    }

    /// Returns how often a node was seen with an older revision than before.
    pub fn reverted(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }

    /// Returns the hosts whose node is running.
    pub fn running(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.node.is_some())
    }

    /// Returns the number of requests that the upstreams of a version have run.
    pub fn runs(&self, version: &str) -> u64 {
        self.hosts
            .iter()
            .filter(|host| host.version == version)
            .map(|host| host.upstream.total())
            .sum()
    }

    /// Waits until every running node has a revision, and returns the time taken, or `None` if that
    /// takes longer than `limit`.
    pub async fn converged(&self, revision: Revision, limit: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self
                .running()
                .all(|host| host.handle.snapshot().revision >= revision)
            {
                return Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        None
    }

    /// Returns the sums of all nodes' counters by name.
    pub fn totals(&self) -> BTreeMap<String, i64> {
        let mut sums = BTreeMap::new();
        for host in &self.hosts {
            for (name, count) in host.handle.telemetry().totals() {
                *sums.entry(name).or_default() += count;
            }
        }
        sums
    }

    /// Prints the control traffic, the platform's load, and the refusals and retries by reason.
    pub fn report(&self) {
        let seconds = self.started.elapsed().as_secs_f64();
        let totals = self.totals();
        let sent = totals.get("link.sent.bytes").copied().unwrap_or(0);
        let (reads, writes) = self.platform.load();
        println!("\nafter {seconds:.1} s:");
        println!(
            "  control bytes sent by all {} nodes: {sent}",
            self.hosts.len()
        );
        println!("  the platform's table: {reads} reads, {writes} writes");
        for (_, version) in UPSTREAMS {
            println!("  requests run by {version}: {}", self.runs(version));
        }
        println!("  refusals and retries by reason:");
        let prefixes = ["refused.", "retry."];
        let mut matching = totals
            .iter()
            .filter(|(name, _)| prefixes.iter().any(|prefix| name.starts_with(prefix)))
            .peekable();
        if matching.peek().is_none() {
            println!("    none");
        }
        for (name, count) in matching {
            println!("    {name}: {count}");
        }
    }
}

fn settings(
    name: &str,
    (domain, region): (&str, &str),
    peers: Vec<SocketAddr>,
    platform: &str,
) -> Settings {
    Settings {
        admin: LOOPBACK,
        api: LOOPBACK,
        authority: "unused".into(),
        certificate: "unused".into(),
        domain: domain.parse().expect("invalid name"),
        host: name.parse().expect("invalid name"),
        key: "unused".into(),
        lease: LEASE,
        peers,
        platform: platform.into(),
        proxy: LOOPBACK,
        quic: LOOPBACK,
        region: region.parse().expect("invalid name"),
        statsd: None,
        stop: StopLimits::default(),
        tokens: Tokens {
            read: "look".into(),
            write: WRITE_TOKEN.into(),
        },
    }
}

/// Announces an upstream four times per lease, as the upstream itself would.
fn announce_repeatedly(handle: Handle, address: SocketAddr, service: &str, version: &str) {
    let offer = Offer {
        address,
        connections_max: 120,
        service: service.parse().expect("invalid name"),
        slots: 12,
        version: version.parse().expect("invalid name"),
    };
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(LEASE / 4);
        loop {
            ticks.tick().await;
            handle.register_offer(offer.clone());
        }
    });
}

/// Polls a node's revision, and counts each time that it is older than before.
async fn count_reversions(handle: Handle, reverted: Arc<AtomicU64>) {
    let mut last = Revision::default();
    let mut ticks = tokio::time::interval(REVISION_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let revision = handle.snapshot().revision;
        if revision < last {
            reverted.fetch_add(1, Ordering::Relaxed);
        }
        last = revision;
    }
}

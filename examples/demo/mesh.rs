//! The mesh: a platform, and hosts with a node and an upstream each.

use {
    crate::{
        operator::Operator,
        standin::{platform::Platform, upstream::Upstream},
    },
    mulberryshelf::{
        member::Offer,
        node::{Handle, Node},
        settings::{Settings, Stop, Tokens},
        tls::Authority,
        world::Revision,
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

/// A port that the system chooses.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LEASE: Duration = Duration::from_secs(10);
const PEERS: usize = 3;
const PLACES: [(&str, &str); 4] = [
    ("luzon-a", "luzon"),
    ("luzon-b", "luzon"),
    ("visayas-a", "visayas"),
    ("visayas-b", "visayas"),
];
const TOKEN: &str = "change";
const WATCH: Duration = Duration::from_millis(5);
const UPSTREAMS: [(&str, &str); 4] = [
    ("resident-desk", "desk-1"),
    ("dispatch-hub", "hub-1"),
    ("dispatch-hub", "hub-2"),
    ("dispatch-hub", "hub-3"),
];

/// A host.
pub struct Host {
    pub name: String,
    /// Nothing once it was stopped.
    pub node: Option<Node>,
    pub handle: Handle,
    pub upstream: Upstream,
    pub version: &'static str,
}

/// All of it.
pub struct Mesh {
    pub hosts: Vec<Host>,
    pub operator: Operator,
    pub platform: Platform,
    reverted: Arc<AtomicU64>,
    started: Instant,
}

impl Mesh {
    /// Starts every host; each looks for the mesh through a few that were started before.
    pub async fn spawn() -> Self {
        let authority = Authority::create().expect("an authority");
        let platform = Platform::bind(ANY).expect("a free port");
        let mut hosts: Vec<Host> = Vec::new();
        let reverted = Arc::<AtomicU64>::default();
        for (service, version) in UPSTREAMS {
            for (domain, region) in PLACES {
                let name = format!("{version}-{domain}");
                let peers = hosts
                    .iter()
                    .filter_map(|host| host.node.as_ref())
                    .take(PEERS)
                    .map(Node::quic)
                    .collect();
                let settings = settings(&name, (domain, region), peers, &platform.url());
                let identity = authority
                    .sign(&settings.host, &settings.domain)
                    .expect("a certificate");
                let node = Node::spawn(settings, &identity).await.expect("a node");
                let upstream = Upstream::bind(ANY, &name).await.expect("a free port");
                let handle = node.handle().clone();
                announce(handle.clone(), upstream.address, service, version);
                tokio::spawn(watch(handle.clone(), reverted.clone()));
                hosts.push(Host {
                    name,
                    node: Some(node),
                    handle,
                    upstream,
                    version,
                });
            }
        }
        let api = hosts[0].node.as_ref().expect("a running node").api();
        Self {
            hosts,
            operator: Operator::new(api, TOKEN),
            platform,
            reverted,
            started: Instant::now(),
        }
    }

    /// Gives the proxy ports of the nodes beside the upstreams of a version.
    pub fn ingresses(&self, version: &str) -> Vec<SocketAddr> {
        self.running()
            .filter(|host| host.version == version)
            .filter_map(|host| host.node.as_ref().map(Node::proxy))
            .collect()
    }

    /// Gives how often a node was seen to run an older revision than before.
    pub fn reverted(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }

    /// Gives every host whose node runs.
    pub fn running(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.node.is_some())
    }

    /// Gives how many requests the upstreams of a version have run.
    pub fn runs(&self, version: &str) -> u64 {
        self.hosts
            .iter()
            .filter(|host| host.version == version)
            .map(|host| host.upstream.total())
            .sum()
    }

    /// Waits until every node runs a revision; nothing if that takes longer than `limit`.
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

    /// Adds every node's counters up.
    pub fn totals(&self) -> BTreeMap<String, i64> {
        let mut sums = BTreeMap::new();
        for host in &self.hosts {
            for (name, count) in host.handle.telemetry().totals() {
                *sums.entry(name).or_default() += count;
            }
        }
        sums
    }

    /// Prints the control traffic, the platform's load and each refusal and retry by its reason.
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
        let reasons = ["refused.", "retry."];
        let mut counted = totals
            .iter()
            .filter(|(name, _)| reasons.iter().any(|reason| name.starts_with(reason)))
            .peekable();
        if counted.peek().is_none() {
            println!("    none");
        }
        for (name, count) in counted {
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
        admin: ANY,
        api: ANY,
        authority: "unused".into(),
        certificate: "unused".into(),
        domain: domain.parse().expect("a name"),
        host: name.parse().expect("a name"),
        key: "unused".into(),
        lease: LEASE,
        peers,
        platform: platform.into(),
        proxy: ANY,
        quic: ANY,
        region: region.parse().expect("a name"),
        statsd: None,
        stop: Stop::default(),
        tokens: Tokens {
            read: "look".into(),
            write: TOKEN.into(),
        },
    }
}

/// Announces an upstream again and again, as it would itself.
fn announce(handle: Handle, address: SocketAddr, service: &str, version: &str) {
    let offer = Offer {
        address,
        connections_max: 120,
        service: service.parse().expect("a name"),
        slots: 12,
        version: version.parse().expect("a name"),
    };
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(LEASE / 4);
        loop {
            ticks.tick().await;
            handle.announce(offer.clone());
        }
    });
}

/// Looks at a node's revision again and again.
async fn watch(handle: Handle, reverted: Arc<AtomicU64>) {
    let mut last = Revision::default();
    let mut ticks = tokio::time::interval(WATCH);
    loop {
        ticks.tick().await;
        let revision = handle.snapshot().revision;
        if revision < last {
            reverted.fetch_add(1, Ordering::Relaxed);
        }
        last = revision;
    }
}

//! Simulated machines. Each has a node in a process of its own, an endpoint, and a proxy in front of the port that
//! other nodes connect to.

use {
    crate::proxy::Proxy,
    mulberryshelf_standin::{Caller, Endpoint, Identity, Presence, Store},
    rustix::process::{Pid, Signal, kill_process},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        fs::{self, OpenOptions},
        io,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

/// Interval at which an endpoint registers with its node.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Longest time that a node may take to stop.
pub const GRACE: Duration = Duration::from_secs(6);
/// Memory that each node may use, in MiB.
pub const MEMORY_MB: u64 = 160;
/// Time after which a node that has not reported its readiness counts as not ready, as a paused one does.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Service that most machines belong to; its versions have rollouts.
pub const DESK: &str = "desk";
/// Service that the other machines belong to.
pub const HUB: &str = "hub";
/// One in this many machines belongs to [`HUB`].
const HUB_ONE_IN: usize = 4;
/// Failure domains, each with its region.
const DOMAINS: [(&str, &str); 3] = [
    ("luzon-a", "luzon"),
    ("luzon-b", "luzon"),
    ("visayas-a", "visayas"),
];
/// Ports that a node listens on at its own loopback address.
const CALLERS_PORT: u16 = 8147;
const CONTROL_PORT: u16 = 8144;
const LINK_PORT: u16 = 8146;
const METRICS_PORT: u16 = 7380;
/// Ports from which a node takes one for renewals of announcements; the first and the last one.
const RENEWAL_PORTS: (u16, u16) = (7381, 7395);
/// Difference between the last bytes of the addresses of a machine's proxy and its node.
const PROXY_ADDRESS_OFFSET: u8 = 128;

/// Environment of the node processes of a run.
#[derive(Debug, Clone)]
pub struct Ground {
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// First three bytes of all addresses of the run, within the loopback network.
    pub network: [u8; 3],
    /// Executable of the node.
    pub program: PathBuf,
}

impl Ground {
    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        (Ipv4Addr::new(a, b, c, last), port).into()
    }
}

/// Simulated machine: a node, its endpoint, and the proxy in front of its link port.
pub struct Machine {
    /// Address of the node that callers connect to.
    pub callers: SocketAddr,
    /// Whether a fault is changing the endpoint; others leave it alone meanwhile.
    pub changing: Cell<bool>,
    /// Address of the node that the endpoint registers at.
    pub control: SocketAddr,
    /// Endpoint of the machine.
    pub endpoint: Endpoint,
    /// Number of times that the node has been started.
    pub lifetime: Cell<u32>,
    /// Proxy in front of the node's link port.
    pub links: Proxy,
    /// Name of the node.
    pub name: String,
    /// State that the endpoint registers with; `None` if it has left.
    pub presence: Cell<Option<Presence>>,
    ground: Ground,
    process: RefCell<Option<Child>>,
}

impl Machine {
    /// Starts the machine with this index: its endpoint, its proxy and its node.
    ///
    /// # Errors
    /// Returns an error if the port of the proxy is taken, the settings can't be written or the node can't be started.
    pub async fn start(ground: &Ground, store: SocketAddr, index: usize) -> io::Result<Self> {
        let last = u8::try_from(index + 1).map_err(io::Error::other)?;
        let name = format!("node-{}", index + 1);
        let (domain, region) = DOMAINS[index % DOMAINS.len()];
        let service = if index % HUB_ONE_IN == HUB_ONE_IN - 1 {
            HUB
        } else {
            DESK
        };
        let endpoint = Endpoint::bind(Identity {
            domain: domain.into(),
            instance: format!("{name}.0"),
            service: service.into(),
            version: "v1".into(),
        })
        .await;
        let node_address = |port| ground.address(last, port);
        let proxy_address = ground.address(PROXY_ADDRESS_OFFSET + last, LINK_PORT);
        let settings = json!({
            "host": name, "domain": domain, "region": region, "service": service,
            "callers": node_address(CALLERS_PORT), "link": node_address(LINK_PORT),
            "advertised": proxy_address, "control": node_address(CONTROL_PORT),
            "ready": node_address(CONTROL_PORT), "metrics": node_address(METRICS_PORT), "upstream": endpoint.address(),
            "store": store, "heartbeat_s": HEARTBEAT.as_secs_f64(), "grace_s": GRACE.as_secs_f64(),
            "renewal_ports": { "first": RENEWAL_PORTS.0, "last": RENEWAL_PORTS.1 }, "memory_mb": MEMORY_MB, "retries": { "ratio": 0.2, "extra": 60, "window_s": 10 },
        });
        fs::write(
            ground.directory.join(format!("{name}.json")),
            settings.to_string(),
        )?;
        let machine = Self {
            callers: node_address(CALLERS_PORT),
            changing: Cell::new(false),
            control: node_address(CONTROL_PORT),
            endpoint,
            ground: ground.clone(),
            lifetime: Cell::new(0),
            links: Proxy::bind(proxy_address, node_address(LINK_PORT)).await?,
            name,
            presence: Cell::new(Some(Presence::Ready)),
            process: RefCell::new(None),
        };
        machine.spawn()?;
        Ok(machine)
    }

    /// Starts the node unless it is running.
    ///
    /// # Errors
    /// Returns an error if its executable can't be started or its log can't be opened.
    pub fn spawn(&self) -> io::Result<()> {
        if self.runs()? {
            return Ok(());
        }
        let file_path = |suffix| {
            self.ground
                .directory
                .join(format!("{}.{suffix}", self.name))
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(file_path("log"))?;
        let child = Command::new(&self.ground.program)
            .arg("--settings")
            .arg(file_path("json"))
            .stderr(log.try_clone()?)
            .stdout(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.lifetime.set(self.lifetime.get() + 1);
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    /// Returns whether the process of the node is running.
    ///
    /// # Errors
    /// Returns an error if the system can't report the state of the process.
    pub fn runs(&self) -> io::Result<bool> {
        match self.process.borrow_mut().as_mut() {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Sends a signal to the node if it is running.
    ///
    /// # Errors
    /// Returns an error if the system can't send it.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if self.runs()?
            && let Some(child) = self.process.borrow().as_ref()
        {
            kill_process(Pid::from_child(child), signal)?;
        }
        Ok(())
    }

    /// Returns the largest memory that the process of the node has used, in KiB; `None` if it does not run.
    #[must_use]
    pub fn memory_peak_kb(&self) -> Option<u64> {
        let id = self.process.borrow().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Returns whether the node reports that it is ready; `false` if it does not respond in time.
    pub async fn ready(&self) -> bool {
        let readiness = Caller::readiness(self.control);
        let status = tokio::time::timeout(READINESS_TIMEOUT, readiness).await;
        status.is_ok_and(|status| status == 200)
    }

    /// Registers the endpoint with its node. Returns the status code; `None` if the endpoint has left or terminated,
    /// or if the node does not respond.
    pub async fn announce(&self) -> Option<u16> {
        let presence = self.presence.get().filter(|_| !self.endpoint.is_dead())?;
        self.endpoint.announce(self.control, presence).await
    }

    /// Starts an endpoint of this version, with a new instance name, at the address of the last one.
    pub async fn replace_endpoint(&self, version: &str) {
        let last = self.endpoint.identity();
        let number: u32 = last
            .instance
            .rsplit_once('.')
            .and_then(|(_, number)| number.parse().ok())
            .unwrap_or_default();
        let next = Identity {
            instance: format!("{}.{}", self.name, number + 1),
            version: version.into(),
            ..last
        };
        self.endpoint.replace(next).await;
        self.presence.set(Some(Presence::Ready));
        // The node may be down: the next heartbeat registers the endpoint.
        let _ = self.announce().await;
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            // Both calls fail only if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All machines of a run, and the store.
pub struct Fleet {
    /// Machines by index.
    pub machines: Vec<Machine>,
    /// Time at which the fleet was started.
    pub started: Instant,
    /// Store of the platform.
    pub store: Store,
}

impl Fleet {
    /// Starts the store and this many machines.
    ///
    /// # Errors
    /// Returns an error if a machine can't be started.
    pub async fn start(ground: &Ground, machines: usize) -> io::Result<Self> {
        let mut fleet = Self {
            machines: Vec::new(),
            started: Instant::now(),
            store: Store::bind().await,
        };
        for index in 0..machines {
            let machine = Machine::start(ground, fleet.store.address, index).await?;
            fleet.machines.push(machine);
        }
        Ok(fleet)
    }

    /// Returns the indices of the machines of a service.
    #[must_use]
    pub fn places(&self, service: &str) -> Vec<usize> {
        let indices = 0..self.machines.len();
        indices
            .filter(|index| self.machines[*index].endpoint.identity().service == service)
            .collect()
    }
}

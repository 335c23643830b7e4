//! The machines: a node of each in its own process, an endpoint, and a proxy before the node's links.

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

/// How often an endpoint says what it is.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// How long a node may take to stop.
pub const GRACE: Duration = Duration::from_secs(6);
/// How long a node may take to say whether it is ready: one that stands still is not.
const READY_PATIENCE: Duration = Duration::from_millis(500);
/// The service with most of the machines, whose versions are moved.
pub const DESK: &str = "desk";
/// The other service.
pub const HUB: &str = "hub";
/// Every so many machines, one belongs to the other service.
const HUB_EVERY: usize = 4;
/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 3] = [
    ("luzon-a", "luzon"),
    ("luzon-b", "luzon"),
    ("visayas-a", "visayas"),
];
/// The ports that a node serves at its own loopback address.
const CALLERS: u16 = 8147;
const CONTROL: u16 = 8144;
const LINK: u16 = 8146;
const METRICS: u16 = 7380;
/// Where in the last byte of addresses those of the proxies begin.
const PROXIES: u8 = 128;

/// Where the processes of a run find what they need.
#[derive(Debug, Clone)]
pub struct Ground {
    /// Settings and logs are kept here.
    pub directory: PathBuf,
    /// The first three bytes of all addresses of the run, within the loopback network.
    pub network: [u8; 3],
    /// The node's program.
    pub program: PathBuf,
}

impl Ground {
    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        (Ipv4Addr::new(a, b, c, last), port).into()
    }
}

/// A node, what is beside it and what is before it.
pub struct Machine {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Whether its endpoint is being exchanged.
    pub changing: Cell<bool>,
    /// Where its endpoint announces itself.
    pub control: SocketAddr,
    /// Its endpoint.
    pub endpoint: Endpoint,
    /// The starts of its node.
    pub lifetime: Cell<u32>,
    /// The proxy before its links.
    pub links: Proxy,
    /// Its name.
    pub name: String,
    /// What its endpoint says that it is; none if it has left.
    pub presence: Cell<Option<Presence>>,
    ground: Ground,
    process: RefCell<Option<Child>>,
}

impl Machine {
    /// Starts a machine.
    ///
    /// # Errors
    /// Fails if its ports are taken or its files can't be written.
    pub async fn start(ground: &Ground, store: SocketAddr, place: usize) -> io::Result<Self> {
        let last = u8::try_from(place + 1).map_err(io::Error::other)?;
        let name = format!("node-{}", place + 1);
        let (domain, region) = DOMAINS[place % DOMAINS.len()];
        let service = if place % HUB_EVERY == HUB_EVERY - 1 {
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
        let own = |port| ground.address(last, port);
        let proxied = ground.address(PROXIES + last, LINK);
        let settings = json!({
            "host": name, "domain": domain, "region": region, "service": service,
            "callers": own(CALLERS), "link": own(LINK), "advertised": proxied, "control": own(CONTROL),
            "ready": own(CONTROL), "metrics": own(METRICS), "upstream": endpoint.address(),
            "store": store, "heartbeat_s": HEARTBEAT.as_secs_f64(), "grace_s": GRACE.as_secs_f64(),
            "retries": { "ratio": 0.2, "extra": 60, "window_s": 10 },
        });
        fs::write(
            ground.directory.join(format!("{name}.json")),
            settings.to_string(),
        )?;
        let machine = Self {
            callers: own(CALLERS),
            changing: Cell::new(false),
            control: own(CONTROL),
            endpoint,
            ground: ground.clone(),
            lifetime: Cell::new(0),
            links: Proxy::bind(proxied, own(LINK)).await?,
            name,
            presence: Cell::new(Some(Presence::Ready)),
            process: RefCell::new(None),
        };
        machine.spawn()?;
        Ok(machine)
    }

    /// Starts the node unless it runs.
    ///
    /// # Errors
    /// Fails if the program or its log can't be opened.
    pub fn spawn(&self) -> io::Result<()> {
        if self.runs()? {
            return Ok(());
        }
        let file = |suffix| {
            self.ground
                .directory
                .join(format!("{}.{suffix}", self.name))
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(file("log"))?;
        let child = Command::new(&self.ground.program)
            .arg("--settings")
            .arg(file("json"))
            .stderr(log.try_clone()?)
            .stdout(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.lifetime.set(self.lifetime.get() + 1);
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    /// Says whether the node's process is there.
    ///
    /// # Errors
    /// Fails if the system doesn't say.
    pub fn runs(&self) -> io::Result<bool> {
        match self.process.borrow_mut().as_mut() {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Sends a signal to the node that this machine started, if it still runs.
    ///
    /// # Errors
    /// Fails if the system refuses.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if self.runs()?
            && let Some(child) = self.process.borrow().as_ref()
        {
            kill_process(Pid::from_child(child), signal)?;
        }
        Ok(())
    }

    /// Says whether the node counts itself as ready.
    pub async fn ready(&self) -> bool {
        let asked = Caller::readiness(self.control);
        let status = tokio::time::timeout(READY_PATIENCE, asked).await;
        status.is_ok_and(|status| status == 200)
    }

    /// Has the endpoint say what it is now, if it is there.
    pub async fn announce(&self) -> Option<u16> {
        let presence = self.presence.get().filter(|_| !self.endpoint.is_dead())?;
        self.endpoint.announce(self.control, presence).await
    }

    /// Starts another endpoint in the place of the last one.
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
        // The node may be away: the next heartbeat tells it.
        let _ = self.announce().await;
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            // Both fail only if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All machines and the store.
pub struct Fleet {
    /// The machines, by place.
    pub machines: Vec<Machine>,
    /// When the fleet was started.
    pub started: Instant,
    /// The platform's store.
    pub store: Store,
}

impl Fleet {
    /// Starts all machines at one moment.
    ///
    /// # Errors
    /// Fails if ports or files can't be had.
    pub async fn start(ground: &Ground, machines: usize) -> io::Result<Self> {
        let mut fleet = Self {
            machines: Vec::new(),
            started: Instant::now(),
            store: Store::bind().await,
        };
        for place in 0..machines {
            let machine = Machine::start(ground, fleet.store.address, place).await?;
            fleet.machines.push(machine);
        }
        Ok(fleet)
    }

    /// Gives the places of a service's machines.
    #[must_use]
    pub fn places(&self, service: &str) -> Vec<usize> {
        let places = 0..self.machines.len();
        places
            .filter(|place| self.machines[*place].endpoint.identity().service == service)
            .collect()
    }
}

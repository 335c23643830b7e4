//! Two regions lose each other during a rollout, and each goes on with a leader of its own. One of them sees failures of an endpoint
//! of the new version and rolls back; the other one, which has the store, records that the version has succeeded, and the
//! operator stops the old endpoints. Then the regions find each other again.

#[path = "common.rs"]
mod common;

use common::{
    HEARTBEAT_S, Identity, Inbox, Machine, Random, Record, Reporter, Store, base64, configuration, finish, free_address, response,
    route, serve, trouble, unable, unix_ms, wait_until,
};
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Duration of the rollout: up to 16 s in the site file, 12 s in the pages' example.
const ROLLOUT_S: u64 = 12;
/// Time from the order until the regions lose each other, and until they find each other again.
const SPLIT_FROM: Duration = Duration::from_millis(1500);
const SPLIT_UNTIL: Duration = Duration::from_secs(17);
/// Share of its requests that the grey endpoint fails: `srv_grey` has 0.55 at most in the site file, for 8.5 s.
const GREY_SHARE: f64 = 0.55;
const GREY: Duration = Duration::from_millis(8500);
/// Time from the order until the endpoint turns grey.
const GREY_FROM: Duration = Duration::from_secs(8);
/// Time after the regions have found each other from which on requests are counted as sent afterwards.
const SETTLED_AFTER: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(95);
/// Interval at which each client sends requests.
const INTERVAL: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(50);
const SLOTS: u32 = 12;

struct Endpoint {
    ended: AtomicBool,
    failing: AtomicBool,
    id: String,
    random: Mutex<Random>,
    record: Record,
    reporter: Arc<Reporter>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    fn start(upstream: SocketAddr, reporter: Arc<Reporter>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(upstream).unwrap_or_else(|error| unable(&format!("{upstream}: {error}")));
        listener.set_nonblocking(true).unwrap();
        let endpoint = Arc::new(Self {
            ended: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            id: reporter.identity.id.clone(),
            random: Mutex::new(Random(0x51ed_270b)),
            record: record.clone(),
            reporter,
            streams: Mutex::default(),
        });
        let accepting = endpoint.clone();
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                accepting.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut inbox = Inbox::new(stream);
        while let Ok(Some(request)) = inbox.read() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if request.field("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let _ = writer.write_all(&response("421 Misdirected Request", &format!("X-Instance-Id: {}\r\n", self.id), b""));
                continue;
            }
            let name = request.field("x-request-id").unwrap_or("").to_string();
            self.record.line(&format!("run {name} at {}", self.id));
            thread::sleep(WORK);
            let fails = self.failing.load(Ordering::SeqCst) && self.random.lock().unwrap().share() < GREY_SHARE;
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            let fields = format!("X-Request-Id: {name}\r\nX-Response-Signature: s.{name}\r\nX-Server-Load: 1,0,{SLOTS}\r\n");
            if writer.write_all(&response(status, &fields, name.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Ends the process of the endpoint, without draining.
    fn end(&self) {
        self.reporter.silent.store(true, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Passes the bytes of a connection on. While `split` is set, a connection between the regions carries nothing, in either direction.
fn relay(dialer: TcpStream, target: SocketAddr, first: &[u8], crosses: bool, split: &Arc<AtomicBool>) {
    let Ok(mut server) = TcpStream::connect(target) else { return };
    let _ = server.set_nodelay(true);
    let wait = |split: &AtomicBool| {
        while crosses && split.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
    };
    wait(split);
    if server.write_all(first).is_err() {
        return;
    }
    let (mut from, mut to, split_back) = (server.try_clone().unwrap(), dialer.try_clone().unwrap(), split.clone());
    let copy = move |from: &mut TcpStream, to: &mut TcpStream, split: &AtomicBool| {
        let mut part = vec![0; 64 * 1024];
        while let Ok(length @ 1..) = from.read(&mut part) {
            while crosses && split.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            if to.write_all(&part[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    };
    thread::spawn(move || copy(&mut from, &mut to, &split_back));
    let (mut from, mut to) = (dialer, server);
    copy(&mut from, &mut to, split);
}

/// Proxy in front of the link port of a node. A node names itself in the first bytes that it sends.
fn link_proxy(link: SocketAddr, own_region: usize, regions: &[(String, usize)], split: &Arc<AtomicBool>) -> SocketAddr {
    let (regions, split) = (regions.to_vec(), split.clone());
    serve(free_address(), move |mut dialer| {
        let mut first = vec![0; 1024];
        let Ok(length @ 1..) = dialer.read(&mut first) else { return };
        first.truncate(length);
        let names = |name: &str| first.windows(name.len()).any(|part| part == name.as_bytes());
        let dialed_from = regions.iter().find(|(name, _)| names(name)).map(|(_, region)| *region);
        relay(dialer, link, &first, dialed_from != Some(own_region), &split);
    })
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    asked: u32,
    served: u32,
}

/// Counts of each kind of request, by whether it was sent when all had been sound for a while.
type Counts = Arc<Mutex<BTreeMap<(&'static str, bool), Count>>>;

/// A client that sends a request at each interval, on a kept connection.
fn client(name: &str, kind: &'static str, callers: SocketAddr, record: &Record, counts: &Counts, after: &AtomicBool, ended: &AtomicBool) {
    let mut connection: Option<Inbox> = None;
    let began = Instant::now();
    for number in 1.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{number}");
        let head = format!("GET /{kind}/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n");
        let is_after = after.load(Ordering::SeqCst);
        let mut inbox = match connection.take() {
            Some(inbox) => inbox,
            None => match TcpStream::connect(callers) {
                Ok(stream) => {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                    Inbox::new(stream)
                }
                Err(_) => continue,
            },
        };
        record.line(&format!("sent {id}"));
        let sent = inbox.stream.write_all(head.as_bytes());
        let reply = sent.ok().and_then(|()| inbox.read().ok().flatten());
        let status = reply.as_ref().map_or(0, common::Message::status);
        record.line(&format!("answered {id} {status}"));
        {
            let mut counts = counts.lock().unwrap();
            let count = counts.entry((kind, is_after)).or_default();
            count.asked += 1;
            count.served += u32::from(status == 200);
        }
        if reply.is_some_and(|reply| reply.field("connection") != Some("close")) {
            connection = Some(inbox);
        }
        thread::sleep((began + INTERVAL * number).saturating_duration_since(Instant::now()));
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let routes = [route("status", "safe", "desk", 1.2, 0.6), route("board", "safe", "hub", 1.2, 0.3)];
    store.operator("config", &configuration(7, &routes, &["desk", "hub"]));
    let split = Arc::new(AtomicBool::new(false));
    let (store_address, store_split) = (store.address, split.clone());
    // The store stands in the first region.
    let far_store = serve(free_address(), move |dialer| relay(dialer, store_address, b"", true, &store_split));
    // Zone, region, service and version; the machines of the new version are added for the rollout.
    let places = [
        ("luzon-a", 0, "desk", "v1"),
        ("luzon-b", 0, "desk", "v1"),
        ("luzon-a", 0, "hub", "v1"),
        ("visayas-a", 1, "desk", "v1"),
        ("visayas-b", 1, "desk", "v1"),
        ("visayas-a", 1, "hub", "v1"),
        ("luzon-b", 0, "desk", "v2"),
        ("visayas-b", 1, "desk", "v2"),
    ];
    let names: Vec<(String, usize)> = places.iter().enumerate().map(|(index, place)| (format!("node-{index}"), place.1)).collect();
    let (mut machines, mut endpoints): (Vec<Machine>, Vec<Arc<Endpoint>>) = (Vec::new(), Vec::new());
    let mut add = |index: usize| {
        let (zone, region, service, version) = places[index];
        let region_name = ["luzon", "visayas"][region];
        let reached = [store.address, far_store][region];
        let link = free_address();
        let advertised = link_proxy(link, region, &names, &split);
        let machine = Machine::start_behind(&names[index].0, zone, region_name, service, free_address(), reached, Some((link, advertised)));
        let reporter = Arc::new(Reporter {
            control: machine.control,
            identity: Identity { born: unix_ms(), id: format!("i-{index}"), service: service.into(), slots: SLOTS, version: version.into(), zone: zone.into() },
            upstream: machine.upstream,
            sequence: AtomicU64::new(0),
            silent: AtomicBool::new(false),
        });
        let endpoint = Endpoint::start(machine.upstream, reporter.clone(), &record);
        wait_until("the node listens", Duration::from_secs(10), || TcpStream::connect(machine.control).is_ok());
        reporter.keep_reporting();
        machines.push(machine);
        endpoints.push(endpoint);
    };
    (0..6).for_each(&mut add);
    thread::sleep(Duration::from_secs_f64(2.0 * HEARTBEAT_S));
    let counts = Counts::default();
    let (after, ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    record.line("the operator orders the rollout of desk to v2");
    store.operator("rollout/desk", &format!(r#"{{"service":"desk","to":"v2","duration_s":{ROLLOUT_S}}}"#));
    let ordered = Instant::now();
    (6..8).for_each(&mut add);
    drop(add);
    for machine in &machines[..6] {
        wait_until("the node is ready", Duration::from_secs(15), || machine.is_ready());
        for (kind, copies) in [("status", 5), ("board", 10)] {
            for copy in 0..copies {
                let (name, callers) = (format!("{}-{kind}{copy}", machine.name), machine.callers);
                let (record, counts, after, ended) = (record.clone(), counts.clone(), after.clone(), ended.clone());
                clients.push(thread::spawn(move || client(&name, kind, callers, &record, &counts, &after, &ended)));
            }
        }
    }
    let wait = |until: Duration| thread::sleep(until.saturating_sub(ordered.elapsed()));
    wait(SPLIT_FROM);
    if trouble() {
        record.line("the regions lose each other");
        split.store(true, Ordering::SeqCst);
    }
    let state = |state: &str| base64(format!(r#"{{"state":"{state}","to":"v2"}}"#).as_bytes());
    let mut stopped = false;
    while ordered.elapsed() < SPLIT_UNTIL {
        let grey = trouble() && (GREY_FROM..GREY_FROM + GREY).contains(&ordered.elapsed());
        if endpoints[7].failing.swap(grey, Ordering::SeqCst) != grey {
            record.line(if grey { "the endpoint of v2 in visayas-b turns grey" } else { "no endpoint is grey" });
        }
        if !stopped && store.value("status", "rollout/desk") == Some(state("succeeded")) {
            record.line("the status is succeeded: the operator stops the endpoints of v1");
            for (endpoint, place) in endpoints.iter().zip(&places) {
                if place.2 == "desk" && place.3 == "v1" {
                    endpoint.end();
                }
            }
            stopped = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    split.store(false, Ordering::SeqCst);
    record.line("the regions find each other");
    if !stopped {
        unable("the rollout did not succeed in the region of the store");
    }
    thread::sleep(SETTLED_AFTER);
    after.store(true, Ordering::SeqCst);
    record.line("all has been sound for 10 s");
    wait(END);
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let counts = counts.lock().unwrap();
    let total = |kind: Option<&str>, only_after: bool| {
        let chosen = counts.iter().filter(|((name, is_after), _)| kind.is_none_or(|kind| kind == *name) && (*is_after || !only_after));
        chosen.fold((0, 0), |(asked, served), (_, count)| (asked + count.asked, served + count.served))
    };
    let share = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked.max(1));
    let (mut starved, mut parts) = (Vec::new(), Vec::new());
    for kind in ["status", "board"] {
        let ((asked, served), (asked_after, served_after)) = (total(Some(kind), false), total(Some(kind), true));
        parts.push(format!("{kind} {served}/{asked} (afterwards {served_after}/{asked_after})"));
        if share((asked, served)) < share(total(None, false)) / 4.0 {
            starved.push(kind);
        }
    }
    let recorded = ["running", "succeeded", "rolled_back"].into_iter().find(|name| store.value("status", "rollout/desk") == Some(state(name)));
    let summary = format!("served {}; status {}; starved: {}", parts.join(", "), recorded.unwrap_or("none"), starved.join(", "));
    finish(&record, !starved.is_empty(), &summary);
}

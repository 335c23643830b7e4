//! All endpoints of one zone crash at the same moment and are back after some seconds. They are all endpoints of a small service.
//! Clients of one of its routes ask for the same page again and again, those of another one for pages of their own.

#[path = "common.rs"]
mod common;

use common::{
    HEARTBEAT_S, Identity, Inbox, Machine, Record, Reporter, Store, configuration, finish, free_address, response, route,
    trouble, unix_ms, wait_until,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which the endpoints are down: the default of `srv_crash`.
const DOWN: Duration = Duration::from_secs(5);
/// Time in which the system closes the connections of a process that has ended.
const STOPPING: Duration = Duration::from_millis(5);
const CRASH_AFTER: Duration = Duration::from_secs(4);
/// Time after the endpoints are back from which on requests are counted as sent afterwards.
const SETTLED_AFTER: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(75);
const WORK: Duration = Duration::from_millis(88);
const SLOTS: u32 = 12;
/// Zone whose endpoints crash.
const ZONE: &str = "luzon-a";

/// A process of an endpoint.
struct Endpoint {
    crashed: AtomicBool,
    id: String,
    record: Record,
    reporter: Arc<Reporter>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    fn start(upstream: SocketAddr, reporter: Arc<Reporter>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(upstream).unwrap_or_else(|error| common::unable(&format!("{upstream}: {error}")));
        listener.set_nonblocking(true).unwrap();
        let id = reporter.identity.id.clone();
        let endpoint = Arc::new(Self { crashed: AtomicBool::new(false), id, record: record.clone(), reporter, streams: Mutex::default() });
        let accepting = endpoint.clone();
        thread::spawn(move || {
            while !accepting.crashed.load(Ordering::SeqCst) {
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
            if self.crashed.load(Ordering::SeqCst) {
                return;
            }
            if request.field("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let _ = writer.write_all(&response("421 Misdirected Request", &format!("X-Instance-Id: {}\r\n", self.id), b""));
                continue;
            }
            let name = request.field("x-request-id").unwrap_or("").to_string();
            self.record.line(&format!("run {name} {} at {}", request.target(), self.id));
            thread::sleep(WORK);
            if self.crashed.load(Ordering::SeqCst) {
                return;
            }
            let fields = format!("X-Request-Id: {name}\r\nX-Response-Signature: s.{name}\r\nX-Server-Load: 1,0,{SLOTS}\r\n");
            if writer.write_all(&response("200 OK", &fields, name.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Ends as a process that is killed: it answers nothing more, its connections are closed and its port has no listener.
    fn crash(&self) {
        self.reporter.silent.store(true, Ordering::SeqCst);
        self.crashed.store(true, Ordering::SeqCst);
        thread::sleep(STOPPING);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn reporter(machine: &Machine, zone: &str, service: &str, id: String) -> Arc<Reporter> {
    Arc::new(Reporter {
        control: machine.control,
        identity: Identity { born: unix_ms(), id, service: service.into(), slots: SLOTS, version: "v1".into(), zone: zone.into() },
        upstream: machine.upstream,
        sequence: AtomicU64::new(0),
        silent: AtomicBool::new(false),
    })
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    asked: u32,
    served: u32,
}

/// Counts of each kind of request, by whether it was sent when the endpoints had been back for a while.
type Counts = Arc<Mutex<BTreeMap<(&'static str, bool), Count>>>;

/// A client that asks for a page, on a kept connection, and returns after a refusal as it is told.
fn client(name: &str, kind: &'static str, callers: SocketAddr, record: &Record, counts: &Counts, after: &AtomicBool, ended: &AtomicBool) {
    let mut connection: Option<Inbox> = None;
    for number in 1.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{number}");
        let target = if kind == "board" { "/board/today".to_string() } else { format!("/{kind}/{id}") };
        let head = format!("GET {target} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\r\n");
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
        record.line(&format!("sent {id} {target}"));
        let sent = inbox.stream.write_all(head.as_bytes());
        let reply = sent.ok().and_then(|()| inbox.read().ok().flatten());
        let status = reply.as_ref().map_or(0, common::Message::status);
        let wait = reply.as_ref().and_then(|reply| reply.field("retry-after")?.parse::<f64>().ok());
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
        thread::sleep(Duration::from_millis(60).max(Duration::from_secs_f64(wait.unwrap_or(0.0))));
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let routes = [route("status", "safe", "desk", 1.2, 0.6), route("board", "safe", "hub", 1.2, 0.3), route("crew", "safe", "hub", 1.2, 0.3)];
    store.operator("config", &configuration(7, &routes, &["desk", "hub"]));
    let places = [
        (ZONE, "luzon", "hub"),
        (ZONE, "luzon", "hub"),
        ("luzon-b", "luzon", "desk"),
        ("visayas-a", "visayas", "desk"),
        ("visayas-b", "visayas", "desk"),
    ];
    let (mut machines, mut endpoints) = (Vec::new(), Vec::new());
    for (index, (zone, region, service)) in places.iter().enumerate() {
        let machine = Machine::start(&format!("node-{index}"), zone, region, service, free_address(), store.address);
        let reporter = reporter(&machine, zone, service, format!("i-{index}"));
        let endpoint = Endpoint::start(machine.upstream, reporter.clone(), &record);
        wait_until("the node listens", Duration::from_secs(10), || TcpStream::connect(machine.control).is_ok());
        reporter.keep_reporting();
        machines.push(machine);
        endpoints.push(endpoint);
    }
    for machine in &machines {
        wait_until("the node is ready", Duration::from_secs(15), || machine.is_ready());
    }
    thread::sleep(Duration::from_secs_f64(2.0 * HEARTBEAT_S));
    let counts = Counts::default();
    let (after, ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let began = Instant::now();
    let mut clients = Vec::new();
    for machine in &machines {
        for (kind, copies) in [("status", 2), ("board", 2), ("crew", 1)] {
            for copy in 0..copies {
                let (name, callers) = (format!("{}-{kind}{copy}", machine.name), machine.callers);
                let (record, counts, after, ended) = (record.clone(), counts.clone(), after.clone(), ended.clone());
                clients.push(thread::spawn(move || client(&name, kind, callers, &record, &counts, &after, &ended)));
            }
        }
    }
    thread::sleep(CRASH_AFTER);
    if trouble() {
        record.line(&format!("the endpoints in {ZONE} crash"));
        let crashing = endpoints.iter().zip(&places).filter(|(_, (zone, ..))| *zone == ZONE);
        let crashing: Vec<_> = crashing.map(|(endpoint, _)| endpoint.clone()).collect();
        let crashing: Vec<_> = crashing.into_iter().map(|endpoint| thread::spawn(move || endpoint.crash())).collect();
        for crash in crashing {
            let _ = crash.join();
        }
    }
    thread::sleep(DOWN);
    if trouble() {
        for (index, (zone, _, service)) in places.iter().enumerate() {
            if *zone == ZONE {
                let reporter = reporter(&machines[index], zone, service, format!("i-{index}-again"));
                endpoints[index] = Endpoint::start(machines[index].upstream, reporter.clone(), &record);
                reporter.keep_reporting();
            }
        }
        record.line(&format!("the endpoints in {ZONE} are back"));
    }
    thread::sleep(SETTLED_AFTER);
    after.store(true, Ordering::SeqCst);
    record.line("all has been sound for 10 s");
    thread::sleep(END.saturating_sub(began.elapsed()));
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
    let mut starved = Vec::new();
    let mut parts = Vec::new();
    for kind in ["status", "board", "crew"] {
        let ((asked, served), (asked_after, served_after)) = (total(Some(kind), false), total(Some(kind), true));
        parts.push(format!("{kind} {served}/{asked} (afterwards {served_after}/{asked_after})"));
        if share((asked, served)) < share(total(None, false)) / 4.0 {
            starved.push(kind);
        }
    }
    let summary = format!("served {}; starved: {}", parts.join(", "), starved.join(", "));
    finish(&record, !starved.is_empty(), &summary);
}

//! Open connections between nodes and the endpoints beside them go silent for good, without a reset, while new ones work.
//! Uploads are on their way at that moment.

#[path = "common.rs"]
mod common;

use common::{
    Identity, Inbox, Machine, Message, Record, Reporter, Store, configuration, finish, free_address, response, route, serve,
    trouble, unix_ms, wait_until,
};
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Size of an upload; the configuration allows 64 MiB. It exceeds what the kernel takes for a connection whose peer does not
/// read: on loopback up to 4 MiB, on the users' machines, whose windows are small, much less.
const UPLOAD_BYTES: usize = 7 * 1024 * 1024;
/// Window of a connection, which is small on the users' machines.
const WINDOW_BYTES: i32 = 64 * 1024;
/// Time in which an endpoint works on an upload, which it reads in the second half, and on any other request.
const UPLOAD_WORK: Duration = Duration::from_millis(600);
const WORK: Duration = Duration::from_millis(60);
const SLOTS: u32 = 2;
/// Times of the disruption since the clients began, and the end of the run.
const SILENCES_S: [u64; 6] = [3, 5, 7, 9, 11, 13];
const END_S: u64 = 70;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the windows of a connection of a stand-in, in both directions.
fn limit_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_SNDBUF: i32 = 7;
    const SO_RCVBUF: i32 = 8;
    for name in [SO_SNDBUF, SO_RCVBUF] {
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, name, &WINDOW_BYTES, 4) };
    }
}

/// Proxy between a node and its endpoint. Connections that were opened before the last silence carry nothing any more.
#[derive(Default)]
struct Path {
    silences: AtomicU64,
}

impl Path {
    fn relay(self: &Arc<Self>, node: TcpStream, endpoint: SocketAddr) {
        limit_window(&node);
        let opened = self.silences.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(endpoint) else { return };
        let _ = server.set_nodelay(true);
        limit_window(&server);
        let (path, from, to) = (self.clone(), server.try_clone().unwrap(), node.try_clone().unwrap());
        thread::spawn(move || path.copy(from, to, opened));
        self.copy(node, server, opened);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, opened: u64) {
        let mut part = vec![0; 16 * 1024];
        loop {
            let read = from.read(&mut part);
            // A silent connection stays open: nothing is read, written or closed.
            while self.silences.load(Ordering::SeqCst) > opened {
                thread::sleep(Duration::from_secs(3600));
            }
            match read {
                Ok(length @ 1..) if to.write_all(&part[..length]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Serves the requests on one connection.
fn endpoint(stream: TcpStream, id: &str, record: &Record) {
    limit_window(&stream);
    let mut writer = stream.try_clone().unwrap();
    let mut inbox = Inbox::new(stream);
    while let Ok(Some(head)) = inbox.read_head() {
        let name = head.field("x-request-id").unwrap_or("").to_string();
        record.line(&format!("run {name} at {id}"));
        let length: usize = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut rest = length.saturating_sub(inbox.take_buffered(length));
        let begun = Instant::now();
        let work = if length > 0 { UPLOAD_WORK } else { WORK };
        if length > 0 {
            thread::sleep(work / 2);
        }
        let mut part = vec![0; 64 * 1024];
        while rest > 0 {
            let wanted = rest.min(part.len());
            match inbox.stream.read(&mut part[..wanted]) {
                Ok(read @ 1..) => rest -= read,
                _ => return,
            }
            let due = work.mul_f64(1.0 - 0.5 * rest as f64 / length as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        thread::sleep(work.saturating_sub(begun.elapsed()));
        let fields = format!("X-Request-Id: {name}\r\nX-Response-Signature: s.{name}\r\nX-Server-Load: 1,0,{SLOTS}\r\n");
        if writer.write_all(&response("200 OK", &fields, name.as_bytes())).is_err() {
            return;
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    asked: u32,
    served: u32,
}

/// Counts of each kind of request, by whether it was sent before or after the last silence.
type Counts = Arc<Mutex<BTreeMap<(&'static str, bool), Count>>>;

struct Kind {
    name: &'static str,
    line: &'static str,
    bytes: usize,
    pause: Duration,
    deadline_ms: u64,
}

const KINDS: [Kind; 3] = [
    Kind { name: "status", line: "GET /status/7", bytes: 0, pause: Duration::from_millis(100), deadline_ms: 2500 },
    Kind { name: "upload", line: "POST /upload/7", bytes: UPLOAD_BYTES, pause: Duration::from_millis(100), deadline_ms: 8000 },
    Kind { name: "release", line: "DELETE /release/7", bytes: 0, pause: Duration::from_millis(400), deadline_ms: 4000 },
];

fn client(name: &str, kind: &Kind, callers: SocketAddr, record: &Record, counts: &Counts, after: &AtomicBool, ended: &AtomicBool) {
    let body = vec![b'x'; kind.bytes];
    for number in 1.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{number}");
        let is_after = after.load(Ordering::SeqCst);
        record.line(&format!("sent {id} {}", kind.name));
        let status = send(callers, kind, &id, &body).map_or(0, |reply| reply.status());
        record.line(&format!("answered {id} {} {status}", kind.name));
        let mut counts = counts.lock().unwrap();
        let count = counts.entry((kind.name, is_after)).or_default();
        count.asked += 1;
        count.served += u32::from(status == 200);
        drop(counts);
        thread::sleep(kind.pause);
    }
}

fn send(callers: SocketAddr, kind: &Kind, id: &str, body: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(kind.deadline_ms))).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(kind.deadline_ms))).ok()?;
    let head = format!(
        "{} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        kind.line,
        kind.deadline_ms,
        body.len()
    );
    // A node may refuse an upload before it has read all of it.
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
    Inbox::new(stream).read().ok().flatten()
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let routes = [
        route("status", "safe", "desk", 1.2, 0.6),
        route("upload", "upload", "farm", 8.0, 4.0),
        route("release", "unsafe", "farm", 2.0, 1.2),
    ];
    store.operator("config", &configuration(7, &routes, &["desk", "farm"]));
    let places = [("luzon-a", "luzon", "desk"), ("luzon-b", "luzon", "farm"), ("visayas-a", "visayas", "farm")];
    let (mut machines, mut paths) = (Vec::new(), Vec::new());
    for (index, (zone, region, service)) in places.iter().enumerate() {
        let id = format!("i-{index}");
        let (endpoint_id, endpoint_record) = (id.clone(), record.clone());
        let behind = serve(free_address(), move |stream| endpoint(stream, &endpoint_id, &endpoint_record));
        let path = Arc::new(Path::default());
        let relaying = path.clone();
        let upstream = serve(free_address(), move |stream| relaying.relay(stream, behind));
        paths.push(path);
        let machine = Machine::start(&format!("node-{index}"), zone, region, service, upstream, store.address);
        let reporter = Arc::new(Reporter {
            control: machine.control,
            identity: Identity { born: unix_ms(), id, service: (*service).into(), slots: SLOTS, version: "v1".into(), zone: (*zone).into() },
            upstream,
            sequence: AtomicU64::new(0),
            silent: AtomicBool::new(false),
        });
        wait_until("the node listens", Duration::from_secs(10), || TcpStream::connect(machine.control).is_ok());
        reporter.keep_reporting();
        machines.push(machine);
    }
    for machine in &machines {
        wait_until("the node is ready", Duration::from_secs(15), || machine.is_ready());
        for kind in [&KINDS[0], &KINDS[2]] {
            wait_until("the node serves", Duration::from_secs(15), || {
                send(machine.callers, kind, "first", b"").is_some_and(|reply| reply.status() == 200)
            });
        }
    }
    let counts = Counts::default();
    let (after, ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    let began = Instant::now();
    for machine in &machines {
        for (kind, copies) in KINDS.iter().zip([3, if machine.name == "node-0" { 0 } else { 3 }, 2]) {
            for copy in 0..copies {
                let (name, callers) = (format!("{}-{}{copy}", machine.name, kind.name), machine.callers);
                let (record, counts, after, ended) = (record.clone(), counts.clone(), after.clone(), ended.clone());
                clients.push(thread::spawn(move || client(&name, kind, callers, &record, &counts, &after, &ended)));
            }
        }
    }
    for at in SILENCES_S {
        thread::sleep(Duration::from_secs(at).saturating_sub(began.elapsed()));
        if trouble() {
            record.line("open connections to endpoints go silent");
            for path in &paths {
                path.silences.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
    // The time in which requests are still affected that were sent before, and the contact window.
    thread::sleep(Duration::from_secs(12));
    after.store(true, Ordering::SeqCst);
    record.line("the disruption is over for 12 s");
    thread::sleep(Duration::from_secs(END_S).saturating_sub(began.elapsed()));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let counts = counts.lock().unwrap();
    let total = |name: Option<&str>, only_after: bool| {
        let chosen = counts.iter().filter(|((kind, is_after), _)| name.is_none_or(|name| name == *kind) && (*is_after || !only_after));
        let (asked, served) = chosen.fold((0, 0), |(asked, served), (_, count)| (asked + count.asked, served + count.served));
        (asked, served, f64::from(served) / f64::from(asked.max(1)))
    };
    let mut starved = Vec::new();
    let mut parts = Vec::new();
    for kind in &KINDS {
        let (asked, served, share) = total(Some(kind.name), false);
        let (asked_after, served_after, _) = total(Some(kind.name), true);
        parts.push(format!("{} {served}/{asked} (afterwards {served_after}/{asked_after})", kind.name));
        if share < total(None, false).2 / 4.0 {
            starved.push(kind.name);
        }
    }
    let summary = format!("served {}; starved: {}", parts.join(", "), starved.join(", "));
    finish(&record, !starved.is_empty(), &summary);
}

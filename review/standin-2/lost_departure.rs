//! An endpoint leaves while the store answers every call with 503, and its machine acknowledges that. All processes are
//! killed and restarted before the store is back. A liveness report from before the departure arrives late.

#[path = "common.rs"]
mod common;

use common::{
    Identity, Inbox, Machine, Record, Reporter, SIGKILL, Store, call, configuration, finish, free_address, response, route,
    serve, trouble, unable, unix_ms, wait_until,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Length of the store's outage: `platform_down` with `busy` lasts 8 s in the site file.
const OUTAGE: Duration = Duration::from_secs(8);
/// Time from the beginning of the outage to the last regular report of the endpoint.
const DEPARTURE_AFTER: Duration = Duration::from_secs(1);
/// Time from the acknowledgement to the kill of all processes, and for which they are down (`closing`: 1.5 s).
const KILL_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(1500);
/// Age at which the last report from before the departure arrives: "a liveness report may arrive seconds late".
const REPORT_AGE: Duration = Duration::from_secs(4);
/// Time for which the endpoint goes on serving after the acknowledgement: `scale_in` with `stay` lasts 15 s.
const STAY: Duration = Duration::from_secs(15);
/// Bounds of the small deployment.
const DRAIN_TIMEOUT_S: f64 = 2.0;
const CONTACT_WINDOW_S: f64 = 3.0;
const WORK: Duration = Duration::from_millis(60);

/// Times, in seconds of the record, at which requests reached the endpoint that leaves.
type Reached = Arc<Mutex<Vec<(f64, String)>>>;

fn endpoint(stream: TcpStream, id: &str, reached: &Reached, record: &Record) {
    let mut writer = stream.try_clone().unwrap();
    let mut inbox = Inbox::new(stream);
    while let Ok(Some(request)) = inbox.read() {
        if request.field("x-expect-instance").is_some_and(|expected| expected != id) {
            let _ = writer.write_all(&response("421 Misdirected Request", &format!("X-Instance-Id: {id}\r\n"), b""));
            continue;
        }
        let name = request.field("x-request-id").unwrap_or("").to_string();
        record.line(&format!("run {name} at {id}"));
        reached.lock().unwrap().push((record.now_s(), name.clone()));
        thread::sleep(WORK);
        let fields = format!("X-Request-Id: {name}\r\nX-Response-Signature: s.{name}\r\nX-Server-Load: 1,0,12\r\n");
        if writer.write_all(&response("200 OK", &fields, name.as_bytes())).is_err() {
            return;
        }
    }
}

/// A client that sends a request at a time, each on a new connection.
fn client(name: &str, callers: SocketAddr, record: &Record, ended: &AtomicBool) {
    for number in 1.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{number}");
        let head = format!("GET /status/7 HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n");
        let head = head.replace("HTTP/1.1\r\n", "HTTP/1.1\r\nHost: desk.example\r\n");
        record.line(&format!("sent {id}"));
        let status = send(callers, &head);
        record.line(&format!("answered {id} {status}"));
        thread::sleep(Duration::from_millis(40));
    }
}

fn send(callers: SocketAddr, head: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    if stream.write_all(format!("{head}\r\n").as_bytes()).is_err() {
        return 0;
    }
    Inbox::new(stream).read().ok().flatten().map_or(0, |reply| reply.status())
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.operator("config", &configuration(7, &[route("status", "safe", "desk", 1.2, 0.6)], &["desk"]));
    let places = [("luzon-a", "luzon"), ("luzon-b", "luzon"), ("visayas-a", "visayas"), ("visayas-b", "visayas")];
    let (mut machines, mut reporters) = (Vec::new(), Vec::new());
    let reached: Vec<Reached> = places.iter().map(|_| Reached::default()).collect();
    for (index, (zone, region)) in places.iter().enumerate() {
        let id = format!("i-{index}");
        let (endpoint_id, endpoint_reached, endpoint_record) = (id.clone(), reached[index].clone(), record.clone());
        let upstream = serve(free_address(), move |stream| endpoint(stream, &endpoint_id, &endpoint_reached, &endpoint_record));
        let machine = Machine::start(&format!("node-{index}"), zone, region, "desk", upstream, store.address);
        let reporter = Arc::new(Reporter {
            control: machine.control,
            identity: Identity { born: unix_ms(), id, service: "desk".into(), slots: 12, version: "v1".into(), zone: (*zone).into() },
            upstream,
            sequence: AtomicU64::new(0),
            silent: AtomicBool::new(false),
        });
        wait_until("the node listens", Duration::from_secs(10), || TcpStream::connect(machine.control).is_ok());
        reporter.keep_reporting();
        machines.push(machine);
        reporters.push(reporter);
    }
    for machine in &machines {
        wait_until("the node is ready", Duration::from_secs(15), || machine.is_ready());
    }
    let ended = Arc::new(AtomicBool::new(false));
    for machine in &machines {
        for number in 0..4 {
            let (name, callers) = (format!("{}-c{number}", machine.name), machine.callers);
            let (record, ended) = (record.clone(), ended.clone());
            thread::spawn(move || client(&name, callers, &record, &ended));
        }
    }
    wait_until("the endpoint is used", Duration::from_secs(15), || reached[0].lock().unwrap().len() > 20);
    thread::sleep(Duration::from_secs(4));

    let down_at = record.now_s();
    if trouble() {
        record.line("the store is down");
        store.set_down(true);
    }
    thread::sleep(DEPARTURE_AFTER);
    let leaving = &reporters[0];
    // The last report before the departure; it is still on its way when the endpoint leaves.
    leaving.silent.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs_f64(common::HEARTBEAT_S));
    let late_report = leaving.body("ready", leaving.sequence.fetch_add(1, Ordering::SeqCst) + 1);
    let late_at = record.now_s() + REPORT_AGE.as_secs_f64();
    record.line("i-0 sends a last report, which is delayed, and then leaves");
    let head = format!("DELETE /mulberryshelf/instances/{} HTTP/1.1\r\n", leaving.identity.id);
    let status = call(leaving.control, &head, b"", Duration::from_secs(1)).map_or(0, |reply| reply.status());
    record.line(&format!("answered: the departure of i-0 {status}"));
    if status != 200 {
        unable("the departure was not acknowledged");
    }
    let acknowledged = record.now_s();
    thread::sleep(KILL_AFTER);
    let mut unsettled_until = acknowledged;
    if trouble() {
        record.line("all processes are killed");
        for machine in &machines {
            machine.signal(SIGKILL);
            machine.stop();
        }
        thread::sleep(DOWN);
        for machine in &machines {
            machine.spawn();
        }
        record.line("all processes are started");
        unsettled_until = record.now_s();
    }
    let wait = |until: f64| thread::sleep(Duration::from_secs_f64((until - record.now_s()).max(0.0)));
    wait(late_at);
    let status = leaving.send(&late_report);
    record.line(&format!("answered: the late report of i-0 {status}"));
    if trouble() {
        wait(down_at + OUTAGE.as_secs_f64());
        record.line("the store is back");
        store.set_down(false);
        unsettled_until = unsettled_until.max(record.now_s());
    }
    wait(acknowledged + STAY.as_secs_f64());
    ended.store(true, Ordering::SeqCst);
    let bound = (acknowledged + DRAIN_TIMEOUT_S).max(unsettled_until + CONTACT_WINDOW_S);
    let reached = reached[0].lock().unwrap();
    let after_ack = reached.iter().filter(|(at, _)| *at > acknowledged + DRAIN_TIMEOUT_S).count();
    let late: Vec<_> = reached.iter().filter(|(at, _)| *at > bound).collect();
    for (at, id) in late.iter().take(20) {
        record.line(&format!("DRAIN {id} reached i-0 {:.2} s after the acknowledgement", at - acknowledged));
    }
    let summary = format!(
        "{after_ack} requests reached the endpoint over {DRAIN_TIMEOUT_S} s after the acknowledgement of its departure, {} of them sent on by machines in touch",
        late.len()
    );
    finish(&record, !late.is_empty(), &summary);
}

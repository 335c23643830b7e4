//! Endpoints answer a request completely and, late, send additional bytes: a second answer to it, which is a refusal in the form
//! of the pages without a request id, or the beginning of one. They arrive where the answer to the next request on that
//! connection is due, and that follows them.

#[path = "common.rs"]
mod common;

use common::{
    Identity, Inbox, Machine, Random, Record, Reporter, Store, call, configuration, finish, free_address, response, route,
    serve, trouble, unix_ms, wait_until,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Largest dose of `garble` with `extra late` in the site file: 0.6 of the endpoints, 0.03 of their answers, 5 s.
const ENDPOINT_SHARE: (usize, usize) = (3, 5);
const ANSWER_SHARE: f64 = 0.03;
const TROUBLE_S: u64 = 5;
const WORK: Duration = Duration::from_millis(100);
/// Time after the next request's arrival at which the additional bytes come.
const LATE: Duration = Duration::from_millis(20);
/// Additional bytes, and what they are called in the record: taken in turn.
const ADDITIONAL: [(&str, &[u8]); 3] = [
    ("a whole refusal", b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
    ("a refusal cut off in its head", b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1"),
    ("a refusal cut off in its first line", b"HTTP/1.1 503 Service Unavailable"),
];
const CLIENTS_PER_MACHINE: usize = 6;
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

#[derive(Default)]
struct Ledger {
    answers: BTreeMap<String, u16>,
    /// What was sent on the connection while a request ran, by its id.
    additional: BTreeMap<String, &'static str>,
    runs: BTreeMap<String, Vec<String>>,
}

struct Endpoint {
    faulty: bool,
    id: String,
    ledger: Arc<Mutex<Ledger>>,
    random: Mutex<Random>,
    record: Record,
    troubled: Arc<AtomicBool>,
}

impl Endpoint {
    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut inbox = Inbox::new(stream);
        // The request after whose answer additional bytes are still to come on this connection.
        let mut second: Option<String> = None;
        while let Ok(Some(request)) = inbox.read() {
            let id = request.field("x-request-id").unwrap_or("").to_string();
            if request.field("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let _ = writer.write_all(&response("421 Misdirected Request", &format!("X-Instance-Id: {}\r\n", self.id), b""));
                continue;
            }
            self.ledger.lock().unwrap().runs.entry(id.clone()).or_default().push(self.id.clone());
            self.record.line(&format!("run {id} at {}", self.id));
            let begun = Instant::now();
            if let Some(answered) = second.take() {
                thread::sleep(LATE);
                let mut ledger = self.ledger.lock().unwrap();
                let (form, bytes) = ADDITIONAL[ledger.additional.len() % ADDITIONAL.len()];
                ledger.additional.insert(id.clone(), form);
                drop(ledger);
                let line = format!("additional bytes after {answered} from {}: {form}, while {id} runs on that connection", self.id);
                self.record.line(&line);
                if writer.write_all(bytes).is_err() {
                    return;
                }
            }
            thread::sleep(WORK.saturating_sub(begun.elapsed()));
            let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: s.{id}\r\nX-Server-Load: 1,0,12\r\n");
            if writer.write_all(&response("200 OK", &fields, format!("{} {id}", self.id).as_bytes())).is_err() {
                return;
            }
            let troubled = self.troubled.load(Ordering::SeqCst) && self.faulty;
            if troubled && self.random.lock().unwrap().share() < ANSWER_SHARE {
                second = Some(id);
            }
        }
    }
}

/// A client that keeps its connection and sends a request of each kind in turn.
fn client(name: &str, callers: SocketAddr, ledger: &Mutex<Ledger>, record: &Record, ended: &AtomicBool) {
    let mut connection: Option<Inbox> = None;
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number}");
        let line = if number % 2 == 0 { "GET /status/7" } else { "POST /reserve/7" };
        let head = format!(
            "{line} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n"
        );
        if connection.is_none() {
            connection = TcpStream::connect(callers).ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                Inbox::new(stream)
            });
        }
        let Some(mut inbox) = connection.take() else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        record.line(&format!("sent {id} {line}"));
        let sent = inbox.stream.write_all(head.as_bytes());
        let reply = sent.ok().and_then(|()| inbox.read().ok().flatten());
        let status = reply.as_ref().map_or(0, common::Message::status);
        record.line(&format!("answered {id} {status}"));
        if number % 2 == 1 {
            ledger.lock().unwrap().answers.insert(id, status);
        }
        if reply.is_some_and(|reply| reply.field("connection") != Some("close")) {
            connection = Some(inbox);
        }
        thread::sleep(Duration::from_millis(30));
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let routes = [route("status", "safe", "desk", 1.2, 0.6), route("reserve", "unsafe", "desk", 1.5, 0.8)];
    store.operator("config", &configuration(7, &routes, &["desk"]));
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let troubled = Arc::new(AtomicBool::new(false));
    let places = [("luzon-a", "luzon"), ("luzon-b", "luzon"), ("visayas-a", "visayas"), ("luzon-a", "luzon"), ("visayas-b", "visayas")];
    let mut machines = Vec::new();
    for (index, (zone, region)) in places.iter().enumerate() {
        let id = format!("i-{index}");
        let endpoint = Endpoint {
            faulty: index < places.len() * ENDPOINT_SHARE.0 / ENDPOINT_SHARE.1,
            id: id.clone(),
            ledger: ledger.clone(),
            random: Mutex::new(Random(0x9e37_79b9 + index as u64)),
            record: record.clone(),
            troubled: troubled.clone(),
        };
        let upstream = serve(free_address(), move |stream| endpoint.serve(stream));
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
    }
    for machine in &machines {
        wait_until("the node is ready", Duration::from_secs(15), || machine.is_ready());
    }
    let served = |machine: &Machine| {
        let head = "GET /status/first HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: first\r\nX-Deadline-Ms: 2500\r\n";
        call(machine.callers, head, b"", Duration::from_secs(3)).is_some_and(|reply| reply.status() == 200)
    };
    for machine in &machines {
        wait_until("the node serves", Duration::from_secs(15), || served(machine));
    }
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &machines {
        for number in 0..CLIENTS_PER_MACHINE {
            let (name, callers) = (format!("{}-c{number}", machine.name), machine.callers);
            let (ledger, record, ended) = (ledger.clone(), record.clone(), ended.clone());
            clients.push(thread::spawn(move || client(&name, callers, &ledger, &record, &ended)));
        }
    }
    thread::sleep(Duration::from_secs(4));
    if trouble() {
        record.line("trouble begins");
        troubled.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(TROUBLE_S));
    troubled.store(false, Ordering::SeqCst);
    record.line("trouble ends");
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ledger = ledger.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    let mut forms: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, status) in &ledger.answers {
        let runs = ledger.runs.get(id).map_or(&[][..], Vec::as_slice);
        if runs.len() > 1 {
            twice += 1;
            let form = ledger.additional.get(id).copied().unwrap_or("nothing");
            *forms.entry(form).or_insert(0) += 1;
            record.line(&format!("TWICE {id} ran at {} and was answered {status}, after {form}", runs.join(" and ")));
        }
        if !runs.is_empty() && REFUSALS.contains(status) {
            refused += 1;
            let form = ledger.additional.get(id).copied().unwrap_or("nothing");
            *forms.entry(form).or_insert(0) += 1;
            record.line(&format!("REFUSED {id} ran at {} and was answered {status}", runs.join(" and ")));
        }
    }
    let unserved = ledger.answers.values().filter(|status| **status != 200).count();
    let forms: Vec<String> = forms.iter().map(|(form, count)| format!("{count} after {form}")).collect();
    let summary = format!(
        "{} unsafe requests, {unserved} not served; {twice} ran twice, {refused} ran and were answered as not run ({})",
        ledger.answers.len(),
        forms.join(", ")
    );
    finish(&record, twice + refused > 0, &summary);
}

//! Stand-ins of the platform for the scripts of this review: the metadata store, endpoints, clients and the node
//! processes. Only the standard library is used. Each connection has a thread of its own.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT: Duration = Duration::from_millis(1500);

// --- JSON ---------------------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if bytes[*at] == b',' {
                    *at += 1;
                    skip(bytes, at);
                }
                let Json::Text(key) = value(bytes, at)? else {
                    return None;
                };
                skip(bytes, at);
                *at += 1; // colon
                fields.push((key, value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(text).ok().map(Json::Text);
                    }
                    b'\\' => {
                        *at += 1;
                        match *bytes.get(*at)? {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let mut buffer = [0; 4];
                                let decoded = char::from_u32(code)?;
                                text.extend(decoded.encode_utf8(&mut buffer).bytes());
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                        *at += 1;
                    }
                    other => {
                        text.push(other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while *at < bytes.len() && !b",]} \r\n\t".contains(&bytes[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= part.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for letter in text.bytes() {
        let Some(position) = ALPHABET.iter().position(|known| *known == letter) else {
            break;
        };
        bits = bits << 6 | position as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

// --- Messages -----------------------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (
            parts.next().unwrap_or_default(),
            parts.next().unwrap_or_default(),
        )
    }
}

/// Reads a message with a length. `None` if the connection ends first.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.first.is_empty() {
            message.first = text.into();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.fields.push((name.into(), value.trim().into()));
        }
    }
    let length = message.field("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn answer(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends one call on a connection of its own and returns the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

// --- The record ---------------------------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: String) {
        let line = format!("{:8.3} {text}", self.now());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| {
            a[..8]
                .trim()
                .parse::<f64>()
                .unwrap()
                .total_cmp(&b[..8].trim().parse().unwrap())
        });
        let mut file = File::create(path).expect("the record can be written");
        for line in lines {
            writeln!(file, "{line}").expect("the record can be written");
        }
    }
}

// --- The platform's store -----------------------------------------------------------------------------------------

struct Row {
    value: String,
    ver: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            began: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.ver += 1;
        let row = Row {
            value: encode_base64(value.as_bytes()),
            ver: state.ver,
            deleted: false,
        };
        state.rows.insert((table.into(), key.into()), row);
        self.state.1.notify_all();
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let row = state.rows.get(&(table.into(), key.into()))?;
        String::from_utf8(decode_base64(&row.value)).ok()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (_, target) = message.request();
            let (status, body) = self.handle(target, &message.body);
            let answer = answer(
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| unescape(value))
        };
        let table = parameter("table");
        match path {
            "/mulberryshelf/rows-tx" => self.transact(body),
            "/mulberryshelf/rows-get" => {
                let (from, to) = (parameter("from"), parameter("to"));
                let state = self.state.0.lock().unwrap();
                let rows = state.rows.iter().filter(|((held, key), row)| {
                    *held == table && !row.deleted && *key >= from && (to.is_empty() || *key < to)
                });
                (200, self.listing(state.ver, rows))
            }
            "/mulberryshelf/rows-feed" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let changed = |((held, _), row): &(&(String, String), &Row)| {
                        *held == table && row.ver > after
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if state.rows.iter().any(|entry| changed(&entry)) || left.is_zero() {
                        let mut rows: Vec<_> = state.rows.iter().filter(changed).collect();
                        rows.sort_by_key(|(_, row)| row.ver);
                        return (200, self.listing(state.ver, rows.into_iter()));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, "{}".into()),
        }
    }

    fn listing<'a>(
        &self,
        ver: u64,
        rows: impl Iterator<Item = (&'a (String, String), &'a Row)>,
    ) -> String {
        let mut text = String::from("{\"rows\":[");
        for (index, ((table, key), row)) in rows.enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let Row {
                value,
                ver,
                deleted,
            } = row;
            let _ = write!(
                text,
                "{comma}{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver},\"deleted\":{deleted}}}"
            );
        }
        let now_s = self.began.elapsed().as_secs_f64();
        let _ = write!(
            text,
            "],\"has_more\":false,\"ver\":{ver},\"now_s\":{now_s}}}"
        );
        text
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(request) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".into());
        };
        let key = |entry: &Json| {
            (
                entry.get("table").text().to_string(),
                entry.get("key").text().to_string(),
            )
        };
        let mut state = self.state.0.lock().unwrap();
        for expected in request.get("expect").list() {
            let held = state.rows.get(&key(expected)).filter(|row| !row.deleted);
            if held.map_or(0, |row| row.ver) != expected.get("ver").number() {
                let table = expected.get("table").text();
                let rows = state.rows.iter().filter(|((held, _), _)| held == table);
                return (412, self.listing(state.ver, rows));
            }
        }
        state.ver += 1;
        let ver = state.ver;
        for write in request.get("writes").list() {
            if matches!(write.get("table").text(), "op" | "servers") {
                return (403, "{}".into());
            }
            let value = write.get("value").text().to_string();
            state.rows.insert(
                key(write),
                Row {
                    value,
                    ver,
                    deleted: false,
                },
            );
        }
        for removal in request.get("removals").list() {
            if let Some(row) = state.rows.get_mut(&key(removal)) {
                (row.deleted, row.ver) = (true, ver);
            }
        }
        self.state.1.notify_all();
        (
            200,
            format!(
                "{{\"ver\":{ver},\"now_s\":{}}}",
                self.began.elapsed().as_secs_f64()
            ),
        )
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = (*first == b'%')
            .then(|| std::str::from_utf8(after.get(..2)?).ok())
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into()
}

/// A route of the configuration: its name, which is also its prefix, its type, its service and its time-out in seconds.
pub struct Route(
    pub &'static str,
    pub &'static str,
    pub &'static str,
    pub f64,
);

pub fn configuration(number: u32, routes: &[Route]) -> String {
    let mut resources = Vec::new();
    let mut services = Vec::new();
    for Route(name, kind, service, timeout) in routes {
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"hostname\":\"desk.example\",\
             \"prefix\":\"/{name}/\",\"type\":\"{kind}\",\"timeout_s\":{timeout},\"target_latency_s\":0.6,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2}}}}"
        ));
        if !services.contains(service) {
            services.push(service);
        }
    }
    for service in services {
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"health_check_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
            .into(),
    );
    format!(
        "{{\"version\":\"{number:08x}\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

// --- Endpoints ----------------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    /// Time of the record at which it began.
    pub at: f64,
}

pub struct Endpoint {
    pub address: SocketAddr,
    pub born: u64,
    pub instance: String,
    pub service: String,
    pub version: String,
    /// Run time of a request, in milliseconds.
    pub run_ms: AtomicU64,
    /// Every how many requests one fails with 500; 0 for none.
    pub fails_every: AtomicU64,
    pub draining: AtomicBool,
    /// Whether it sends liveness reports.
    pub reporting: AtomicBool,
    /// Whether it has ended.
    pub ended: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    count: AtomicU64,
    heartbeat_address: Mutex<Option<SocketAddr>>,
    record: Record,
    sequence: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Starts an endpoint on a machine's loopback address.
    pub fn start(
        record: &Record,
        ip: Ipv4Addr,
        service: &str,
        instance: &str,
        version: &str,
    ) -> Arc<Self> {
        let address = SocketAddr::from((ip, APP_PORT));
        let listener =
            TcpListener::bind(address).unwrap_or_else(|_| give_up("the endpoint's port is taken"));
        let endpoint = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            instance: instance.into(),
            service: service.into(),
            version: version.into(),
            run_ms: AtomicU64::new(20),
            fails_every: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            reporting: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
            count: AtomicU64::new(0),
            heartbeat_address: Mutex::default(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let endpoint = serving.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// Ends the endpoint: its connections close and its port no longer listens.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.reporting.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let (_, target) = message.request();
            let expected = message.field("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.instance) {
                let field = format!("X-Instance-Id: {}\r\n", self.instance);
                if writer.write_all(&answer(421, &field, b"")).is_err() {
                    return;
                }
                continue;
            }
            let instance = format!("X-Instance-Id: {}\r\n", self.instance);
            if target == "/health" {
                let status = if self.draining.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                if writer.write_all(&answer(status, &instance, b"")).is_err() {
                    return;
                }
                continue;
            }
            let Some(id) = message.field("x-request-id").map(String::from) else {
                let _ = writer.write_all(&answer(400, "X-Not-Executed: 1\r\n", b""));
                continue;
            };
            let at = self.record.now();
            let run = Run {
                id: id.clone(),
                target: target.into(),
                at,
            };
            self.runs.lock().unwrap().push(run);
            self.record.note(format!(
                "run      {id} at {} ({})",
                self.instance, self.version
            ));
            thread::sleep(Duration::from_millis(self.run_ms.load(Ordering::SeqCst)));
            let count = self.count.fetch_add(1, Ordering::SeqCst) + 1;
            let every = self.fails_every.load(Ordering::SeqCst);
            let status = if every > 0 && count % every == 0 {
                500
            } else {
                200
            };
            let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: s.{id}\r\n");
            let body = format!("{} {} {id}", self.service, self.instance);
            if writer
                .write_all(&answer(status, &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Sends one liveness report. Returns the status of the answer if it came within a second.
    pub fn report(&self, control: SocketAddr) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"za\",\"version\":\"{}\",\"slots\":12,\"state\":\"{state}\",\
             \"cold_remaining_s\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.version, self.born
        );
        let named = *self.heartbeat_address.lock().unwrap();
        let mut answer = None;
        if let Some(named) = named {
            answer = put_report(named, &self.instance, &body);
            if answer.is_none() {
                *self.heartbeat_address.lock().unwrap() = None;
            }
        }
        let answer = answer.or_else(|| put_report(control, &self.instance, &body))?;
        if let Some(json) = std::str::from_utf8(&answer.body).ok().and_then(Json::parse) {
            if let Ok(address) = json.get("heartbeat_address").text().parse() {
                *self.heartbeat_address.lock().unwrap() = Some(address);
            }
        }
        Some(answer.status())
    }

    /// Sends liveness reports until the endpoint ends.
    pub fn keep_reporting(self: &Arc<Self>, control: SocketAddr) {
        let endpoint = self.clone();
        thread::spawn(move || {
            while !endpoint.ended.load(Ordering::SeqCst) {
                if endpoint.reporting.load(Ordering::SeqCst) {
                    endpoint.report(control);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

pub fn put_report(address: SocketAddr, instance: &str, body: &str) -> Option<Message> {
    let request = format!(
        "PUT /mulberryshelf/instances/{instance} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(address, request.as_bytes(), Duration::from_secs(1))
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

// --- Nodes --------------------------------------------------------------------------------------------------------

/// A node process and the endpoint beside it.
pub struct Machine {
    pub endpoint: Arc<Endpoint>,
    pub name: String,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub link: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Port of each endpoint, as in the settings that our pages show.
const APP_PORT: u16 = 8145;

/// Returns the loopback address of a machine. Each script has addresses of its own, so the ports are free.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let script = std::process::id();
    Ipv4Addr::new(
        127,
        100 + (script / 250 % 100) as u8,
        (script % 250) as u8 + 1,
        number,
    )
}

impl Machine {
    /// Starts the program of the deploy file with the settings that its template gives for a small deployment.
    pub fn start(
        folder: &Path,
        store: &Store,
        name: &str,
        zone: &str,
        region: &str,
        endpoint: Arc<Endpoint>,
        advertised: Option<SocketAddr>,
    ) -> Self {
        let ip = endpoint.address.ip();
        let [link, callers, ready, control, metrics] =
            [8146, 8147, 8141, 8144, 7380].map(|port| SocketAddr::new(ip, port));
        let advertised = advertised.map_or(String::new(), |address| {
            format!("\"advertised\":\"{address}\",")
        });
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"host\":\"{name}\",\"domain\":\"{zone}\",\"region\":\"{region}\",\"service\":\"{}\",\"callers\":\"{callers}\",\
             \"link\":\"{link}\",{advertised}\"control\":\"{control}\",\"ready\":\"{ready}\",\"metrics\":\"{metrics}\",\
             \"upstream\":\"{}\",\"store\":\"{}\",\"regions\":[\"ra\",\"rb\"],\"memory_mb\":260,\"descriptors_max\":4100,\
             \"renewal_ports\":{{\"first\":7380,\"last\":7395}},\"heartbeat_s\":1.5,\"grace_s\":6,\
             \"retries\":{{\"ratio\":0.2,\"extra\":60,\"window_s\":10}}}}",
            endpoint.service, endpoint.address, store.address
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let process = spawn(&settings, &log);
        Self {
            endpoint,
            name: name.into(),
            callers,
            control,
            link,
            ready,
            process,
            settings,
            log,
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /mulberryshelf/readiness HTTP/1.1\r\nHost: node\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args([format!("-{signal}"), self.process.id().to_string()])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    pub fn restart(&mut self) {
        self.process = spawn(&self.settings, &self.log);
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    Command::new("target/release/mulberry-sidecar")
        .env_clear()
        .env("MULBERRYSHELF_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a log"))
        .stderr(output)
        .spawn()
        .expect("the node starts")
}

/// Waits until a condition holds. Returns whether it did within the time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    condition()
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("mulberryshelf-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// --- The network between two regions ----------------------------------------------------------------------------------

/// One direction of the link between two regions, shared by all connections.
#[derive(Clone)]
pub struct Direction {
    bits_per_second: f64,
    delay: Duration,
    free_at: Arc<Mutex<Instant>>,
}

impl Direction {
    pub fn new(bits_per_second: f64, delay: Duration) -> Self {
        Self {
            bits_per_second,
            delay,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Returns when bytes that are sent now arrive.
    fn arrival(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap();
        let sending = Duration::from_secs_f64(bytes as f64 * 8.0 / self.bits_per_second);
        *free_at = (*free_at).max(Instant::now()) + sending;
        *free_at + self.delay
    }
}

/// Passes the connections to a machine on, with the delay and the rate of the link between the regions.
#[derive(Clone)]
pub struct Proxy {
    /// Connections opened up to this number carry nothing any more, and stay open.
    silent_up_to: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    /// Whether the machine has no power, so that new connections to it get no response.
    dark: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(
        listen: SocketAddr,
        target: SocketAddr,
        there: Direction,
        back: Direction,
    ) -> Self {
        let proxy = Self {
            silent_up_to: Arc::default(),
            opened: Arc::new(AtomicU64::new(0)),
            dark: Arc::default(),
        };
        let listener =
            TcpListener::bind(listen).unwrap_or_else(|_| give_up("the proxy's port is taken"));
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst) + 1;
                if accepting.dark.load(Ordering::SeqCst) {
                    accepting.silent_up_to.fetch_max(number, Ordering::SeqCst);
                    // Nothing answers, and the connection stays open.
                    std::mem::forget(stream);
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                let (Ok(client), Ok(other)) = (stream.try_clone(), server.try_clone()) else {
                    continue;
                };
                accepting.pass(number, client, server, there.clone());
                accepting.pass(number, other, stream, back.clone());
            }
        });
        proxy
    }

    /// Ends all that open connections carry, in both directions, without closing them.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_up_to.fetch_max(opened, Ordering::SeqCst);
    }

    pub fn set_dark(&self, is_dark: bool) {
        self.dark.store(is_dark, Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number <= self.silent_up_to.load(Ordering::SeqCst)
    }

    fn pass(&self, number: u64, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let (sender, receiver) = std::sync::mpsc::sync_channel::<(Instant, Vec<u8>)>(32);
        let proxy = self.clone();
        thread::spawn(move || {
            let mut buffer = vec![0; 8 * 1024];
            loop {
                let read = from.read(&mut buffer).unwrap_or(0);
                if proxy.is_silent(number) {
                    std::mem::forget((from, sender));
                    return;
                }
                let arrival = direction.arrival(read.max(1));
                let part = buffer[..read].to_vec();
                if sender.send((arrival, part)).is_err() || read == 0 {
                    return;
                }
            }
        });
        let proxy = self.clone();
        thread::spawn(move || {
            while let Ok((arrival, part)) = receiver.recv() {
                thread::sleep(arrival.saturating_duration_since(Instant::now()));
                if proxy.is_silent(number) {
                    std::mem::forget((to, receiver));
                    return;
                }
                if part.is_empty() || to.write_all(&part).is_err() {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
            if proxy.is_silent(number) {
                std::mem::forget(to);
            }
        });
    }
}

// --- Clients ------------------------------------------------------------------------------------------------------

/// Answer that a client has received; the status is 0 if the connection ended first.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: String,
    pub sent: f64,
    pub answered: f64,
    pub status: u16,
    pub body: String,
    pub retry_after: f64,
}

/// Sends one request on a connection of its own and waits for its answer. `None` if nothing listens.
pub fn send(
    record: &Record,
    machine: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    body: &[u8],
    deadline: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&machine, Duration::from_secs(1)).ok()?;
    let limit = deadline + Duration::from_millis(500);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let sent = record.now();
    record.note(format!(
        "send     {id} {method} {target} {} bytes",
        body.len()
    ));
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n{length}\r\n",
        deadline.as_millis()
    );
    // An answer may come before all of the body is sent.
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let message = read_message(&mut BufReader::new(stream)).unwrap_or_default();
    let body = String::from_utf8_lossy(&message.body).into_owned();
    record.note(format!("answer   {id} {} {body}", message.status()));
    let retry_after = message
        .field("retry-after")
        .and_then(|text| text.parse().ok());
    Some(Reply {
        id: id.into(),
        sent,
        answered: record.now(),
        status: message.status(),
        body,
        retry_after: retry_after.unwrap_or(0.0),
    })
}

/// Sends a request without a body, as [`send`] does, to a machine that listens.
pub fn request(
    record: &Record,
    machine: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
) -> Reply {
    let deadline = Duration::from_millis(2500);
    send(record, machine, method, target, id, b"", deadline)
        .unwrap_or_else(|| give_up("a node does not listen"))
}

/// Whether the script is to cause the trouble.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the script because the case could not run. Unwinding ends the processes.
pub fn give_up(cause: &str) -> ! {
    panic!("the case could not run: {cause}");
}

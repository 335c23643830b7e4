//! Stand-ins for the users' platform, built on the standard library alone: the store, endpoints, clients, and the
//! processes of the system under test. Everything listens on the loopback address.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Record of what was sent, answered and run, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR names the folder of the case");
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32, text: &str) -> ! {
    let result = ["held", "broken", "could not run"][code as usize];
    record.line(format!("result: {result}: {text}"));
    println!("result: {result}: {text}");
    std::process::exit(code)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

static NEXT_HOST: AtomicU64 = AtomicU64::new(0);

/// Returns a loopback IP number of its own for a machine, with all of its ports free.
fn free_ip() -> String {
    loop {
        let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 16;
        let ip = format!("127.{}.{}.{}", 1 + number / 62_500 % 250, 1 + number / 250 % 250, 1 + number % 250);
        if PORTS.iter().all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok()) {
            return ip;
        }
    }
}

/// Ports of every machine: those of the endpoint and of its node.
const PORTS: [u16; 6] = [8145, 8146, 8147, 8141, 8144, 7380];

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that was not used before in this case.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}-{:05}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

// HTTP/1.1 messages

/// Message with its first line, its headers and its whole body.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Connection on which messages with a content length are read.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    /// Reads a message; an error if the connection ends or `limit` passes before it is complete.
    pub fn read(&mut self, limit: Duration) -> io::Result<Message> {
        let until = Instant::now() + limit;
        loop {
            if let Some(message) = self.parse() {
                return Ok(message);
            }
            self.fill(until)?;
        }
    }

    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = vec![0; 64 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn parse(&mut self) -> Option<Message> {
        let end = self.buffer.windows(4).position(|part| part == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        let message = Message { start, headers, body: Vec::new() };
        let length: usize = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if self.buffer.len() < end + 4 + length {
            return None;
        }
        let body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(Message { body, ..message })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Answer that a client received; status 0 if there was none.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub signature: Option<String>,
    pub id: Option<String>,
    pub body: String,
}

/// Sends one request on an open connection and waits for its answer.
pub fn ask(
    connection: &mut Connection,
    line: &str,
    host: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Answer {
    let none = Answer { status: 0, signature: None, id: None, body: String::new() };
    let mut head = format!("{line} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    if !body.is_empty() || !line.starts_with("GET") {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let _ = connection.stream.set_write_timeout(Some(Duration::from_secs(20)));
    if connection.write(&[head.as_bytes(), body].concat()).is_err() {
        return none;
    }
    match connection.read(Duration::from_millis(deadline_ms + 500)) {
        Ok(message) => Answer {
            status: message.status(),
            signature: message.header("x-response-signature").map(String::from),
            id: message.header("x-request-id").map(String::from),
            body: String::from_utf8_lossy(&message.body).into_owned(),
        },
        Err(_) => none,
    }
}

/// Sends one request on a new connection and waits for its answer.
pub fn ask_once(address: SocketAddr, line: &str, host: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Answer {
    match Connection::open(address) {
        Ok(mut connection) => ask(&mut connection, line, host, id, deadline_ms, body),
        Err(_) => Answer { status: 0, signature: None, id: None, body: String::new() },
    }
}

// JSON, as far as the store's calls need it

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(HashMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_json(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn parse_json(chars: &[char], at: &mut usize) -> Option<Json> {
    let skip = |at: &mut usize| {
        while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    };
    skip(at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = HashMap::new();
            loop {
                skip(at);
                if *chars.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                if chars[*at] == ',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(key) = parse_json(chars, at)? else { return None };
                skip(at);
                *at += 1;
                table.insert(key, parse_json(chars, at)?);
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(at);
                match *chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_json(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                match *chars.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Json::Text(text));
                    }
                    '\\' => {
                        *at += 1;
                        text.push(*chars.get(*at)?);
                        *at += 1;
                    }
                    c => {
                        text.push(c);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let begin = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => u32::from(c - b'A'),
        b'a'..=b'z' => u32::from(c - b'a') + 26,
        b'0'..=b'9' => u32::from(c - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let word = chunk.iter().enumerate().fold(0, |word, (place, c)| word | digit(*c) << (18 - 6 * place));
        for place in 0..chunk.len() - 1 {
            bytes.push((word >> (16 - 8 * place)) as u8);
        }
    }
    bytes
}

// The store

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<(String, String, String), Row>,
}

/// The platform's store. It is always sound; a call takes 4 ms.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row as the operator does. The return is the ack.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let row = Row { value: base64(value.as_bytes()), ver, deleted: false };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    /// Returns the value of a row as text.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.into(), String::new(), key.into()))?;
        (!row.deleted).then(|| String::from_utf8_lossy(&unbase64(&row.value)).into_owned())
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(call) = connection.read(Duration::from_secs(3600)) {
            sleep_ms(4);
            let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (key.to_string(), unescape(value)))
                .collect();
            let (status, body) = match path {
                "/mulberryshelf/rows-get" => (200, self.get(&query)),
                "/mulberryshelf/rows-feed" => (200, self.feed(&query)),
                "/mulberryshelf/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
                _ => (404, "{}".into()),
            };
            let headers = [("Content-Type", "application/json")];
            if connection.write(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn listing(&self, rows: Vec<String>, ver: u64) -> String {
        let now = self.started.elapsed().as_secs_f64();
        format!("{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now_s\":{now:.3}}}", rows.join(","))
    }

    fn get(&self, query: &HashMap<String, String>) -> String {
        let empty = String::new();
        let table = query.get("table").unwrap_or(&empty);
        let from = query.get("from").unwrap_or(&empty);
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, _, key), row)| t == table && key >= from && !row.deleted);
        let found = found.map(|((table, part, key), row)| encode_row(table, part, key, row)).collect();
        self.listing(found, rows.ver)
    }

    fn feed(&self, query: &HashMap<String, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let table = query.get("table").cloned().unwrap_or_default();
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.rows.iter().filter(|((t, _, _), row)| *t == table && row.ver > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let found = changed.iter().map(|((table, part, key), row)| encode_row(table, part, key, row)).collect();
                return self.listing(found, rows.ver);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let key = |entry: &Json| {
            (
                entry.get("table").text().to_string(),
                entry.get("part").text().to_string(),
                entry.get("key").text().to_string(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let ver_of = |rows: &Rows, entry: &Json| {
            rows.rows.get(&key(entry)).filter(|row| !row.deleted).map_or(0, |row| row.ver)
        };
        let expected = call.get("expect").list();
        if expected.iter().any(|entry| ver_of(&rows, entry) != entry.get("ver").number()) {
            let current = expected.iter().filter_map(|entry| {
                let key = key(entry);
                rows.rows.get(&key).map(|row| encode_row(&key.0, &key.1, &key.2, row))
            });
            return (412, self.listing(current.collect(), rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in call.get("writes").list() {
            let row = Row { value: entry.get("value").text().into(), ver, deleted: false };
            rows.rows.insert(key(entry), row);
        }
        for entry in call.get("removals").list() {
            if let Some(row) = rows.rows.get_mut(&key(entry)) {
                row.deleted = true;
                row.ver = ver;
            }
        }
        self.changed.notify_all();
        (200, self.listing(Vec::new(), ver))
    }
}

fn encode_row(table: &str, part: &str, key: &str, row: &Row) -> String {
    let deleted = if row.deleted { ",\"deleted\":true" } else { "" };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{}\",\"ver\":{}{deleted}}}",
        row.value, row.ver
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = std::str::from_utf8(tail.get(..2).unwrap_or_default()).unwrap_or_default();
        match (first, u8::from_str_radix(code, 16)) {
            (b'%', Ok(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns a configuration in the operator's form. Each route is a prefix, a type, a service, a timeout and a target
/// latency in seconds, on the host `desk.example`.
pub fn configuration(number: u32, services: &[&str], routes: &[(&str, &str, &str, f64, f64)]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout, target)| {
            format!(
                "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{}\"}},\"spec\":{{\"hostname\":\"desk.example\",\
                 \"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_s\":{timeout},\"target_latency_s\":{target},\
                 \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    for service in services {
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\"health_check_path\":\
             \"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}"
            .into(),
    );
    format!("{{\"version\":\"{number:08x}\",\"resources\":[{}]}}", resources.join(","))
}

// Processes of the system

/// Machine of the deployment: its addresses, and the process that runs on it.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Machine {
    /// Describes a machine and writes its settings file from the template of the deploy file.
    pub fn new(name: &str, zone: &str, region: &str, service: &str, store: &Store) -> Arc<Self> {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder"));
        let ip = free_ip();
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let [app, inbound, outbound, ready, control, metrics] = PORTS.map(address);
        let machine = Self {
            name: name.into(),
            zone: zone.into(),
            region: region.into(),
            service: service.into(),
            outbound,
            inbound,
            ready,
            control,
            app,
            metrics,
            settings: folder.join(format!("{name}.json")),
            process: Mutex::new(None),
        };
        let template = fs::read_to_string("deploy/settings.json").expect("deploy/settings.json");
        let values = [
            ("{{node}}", machine.name.clone()),
            ("{{zone}}", machine.zone.clone()),
            ("{{region}}", machine.region.clone()),
            ("{{service}}", machine.service.clone()),
            ("{{listen_addresses.outbound}}", machine.outbound.to_string()),
            ("{{listen_addresses.inbound}}", machine.inbound.to_string()),
            ("{{listen_addresses.control}}", machine.control.to_string()),
            ("{{listen_addresses.ready}}", machine.ready.to_string()),
            ("{{ip}}:{{internal_port_range.0}}", machine.metrics.to_string()),
            ("{{app_address}}", machine.app.to_string()),
            ("{{platform.address}}", store.address.to_string()),
            ("{{heartbeat_interval_s}}", "1.5".into()),
            ("{{bounds.grace_period_s}}", "6".into()),
            ("{{bounds.budget_ratio}}", "0.2".into()),
            ("{{bounds.budget_extra_attempts}}", "60".into()),
            ("{{bounds.budget_window_s}}", "10".into()),
        ];
        let filled = values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        fs::write(&machine.settings, filled).expect("the settings file is written");
        Arc::new(machine)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        let child = Command::new("target/release/mulberry-sidecar")
            .env("MULBERRYSHELF_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/mulberry-sidecar was built");
        // `run.sh` ends what is left of these.
        let pids = self.settings.with_file_name("pids");
        let mut pids = File::options().create(true).append(true).open(pids).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal by name to the process, such as `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn readiness(&self) -> u16 {
        let Ok(mut connection) = Connection::open(self.ready) else { return 0 };
        let _ = connection.write(b"GET /mulberryshelf/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        connection.read(Duration::from_secs(1)).map_or(0, |answer| answer.status())
    }

    /// Waits until the platform's question is answered with 200. Returns whether it was.
    pub fn wait_ready(&self, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if self.readiness() == 200 {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Returns the largest resident memory of the process so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Kills the processes of all machines, as a case ends by `exit`, which drops nothing.
pub fn kill_all(machines: &[Arc<Machine>]) {
    for machine in machines {
        machine.kill();
    }
}

// Endpoints

/// Identity of an endpoint's lifetime.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub version: String,
    pub slots: u32,
    pub born: u64,
}

/// Returns the body of a liveness report.
pub fn report(machine: &Machine, identity: &Identity, state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{state}\",\
         \"cold_remaining_s\":0,\"sequence\":{sequence},\"born\":{}}}",
        machine.service, machine.app, machine.zone, identity.version, identity.slots, identity.born
    )
}

/// Calls the node's `control` address. Returns the status, or 0 without an answer within a second.
pub fn call_control(machine: &Machine, method: &str, id: &str, body: &str) -> u16 {
    let Ok(mut connection) = Connection::open(machine.control) else { return 0 };
    let head = format!(
        "{method} /mulberryshelf/instances/{id} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if connection.write(head.as_bytes()).is_err() {
        return 0;
    }
    connection.read(Duration::from_secs(1)).map_or(0, |answer| answer.status())
}

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: String,
    pub id: String,
    pub target: String,
    pub at: Instant,
}

/// Runs of all endpoints of a case.
#[derive(Default)]
pub struct Runs(pub Mutex<Vec<Run>>);

impl Runs {
    pub fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|run| run.id == id).count()
    }
}

/// Listens at the endpoint's address and serves each connection with `serve`, in a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(Connection) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the endpoint's address is free");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// Returns the endpoint's answer to a request that it ran.
pub fn signed(request: &Message, endpoint: &str) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or_default().to_string();
    let body = format!("{endpoint} {id}");
    let signature = format!("s.{endpoint}.{id}");
    response(200, &[("X-Request-Id", &id), ("X-Response-Signature", &signature)], body.as_bytes())
}

/// Returns whether the request is for this lifetime of the endpoint; answers 421 otherwise.
pub fn is_expected(connection: &mut Connection, request: &Message, identity: &Identity) -> bool {
    let expected = request.header("x-expect-instance").is_none_or(|id| id == identity.id);
    if !expected {
        let _ = connection.write(&response(421, &[("X-Instance-Id", &identity.id)], b""));
    }
    expected
}

/// Sends liveness reports in the state `ready` every 1.5 s until `stop` returns true.
pub fn beat(machine: Arc<Machine>, identity: Identity, stop: impl Fn() -> bool + Send + 'static) {
    thread::spawn(move || {
        let mut sequence = 0;
        loop {
            sequence += 1;
            if stop() {
                return;
            }
            call_control(&machine, "PUT", &identity.id, &report(&machine, &identity, "ready", sequence));
            sleep_ms(1500);
        }
    });
}

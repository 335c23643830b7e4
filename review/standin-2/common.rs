//! Stand-ins for the scripts of this review: the platform's store, endpoints, clients, and control of node processes.
//! Only the standard library is used, so that no network is needed to build them. All addresses are loopback ones.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    safe fn prctl(option: i32, argument: u64) -> i32;
}

/// Time after which a script is given up.
const SCRIPT_TIME_MAX: Duration = Duration::from_secs(110);

// ---------------------------------------------------------------- record

/// The file `record.txt` of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create() -> Self {
        thread::spawn(|| {
            thread::sleep(SCRIPT_TIME_MAX);
            unable("it took too long");
        });
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = fs::File::create(path).unwrap_or_else(|error| unable(&format!("record: {error}")));
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now_s());
    }
}

/// Processes that this script has started and not waited for yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this script has started, and then the script.
fn exit(code: i32) -> ! {
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for pid in started {
        kill(pid as i32, SIGKILL);
    }
    std::process::exit(code);
}

/// Ends the script with 2: the case could not run.
pub fn unable(cause: &str) -> ! {
    eprintln!("could not run: {cause}");
    exit(2);
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- messages

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages with a length from a connection.
pub struct Inbox {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Inbox {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_string();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_string(), value.trim().to_string()));
        Ok(Some(Message { first, fields: fields.collect(), body: Vec::new() }))
    }

    /// Reads a message whose body has a length or none. `None` if the connection ends first.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let length: usize = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Drops up to this many bytes that have arrived already. Returns their number.
    pub fn take_buffered(&mut self, most: usize) -> usize {
        let length = most.min(self.buffer.len());
        self.buffer.drain(..length);
        length
    }

    /// Whether bytes have arrived that were not read as a message.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }
}

pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a free port below those that the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1000 {
        let number = u64::from(std::process::id()) * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    unable("no free port")
}

/// Accepts connections, each in a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| unable(&format!("{address}: {error}")));
    let bound = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    bound
}

// ---------------------------------------------------------------- JSON, as far as the store needs it

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut place = 0;
        Self::value(bytes, &mut place)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(entries) => entries.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    fn space(bytes: &[u8], place: &mut usize) {
        while bytes.get(*place).is_some_and(u8::is_ascii_whitespace) {
            *place += 1;
        }
    }

    fn value(bytes: &[u8], place: &mut usize) -> Option<Self> {
        Self::space(bytes, place);
        match bytes.get(*place)? {
            b'{' => {
                let mut entries = Vec::new();
                *place += 1;
                loop {
                    Self::space(bytes, place);
                    match bytes.get(*place)? {
                        b'}' => break,
                        b',' => *place += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, place)? else { return None };
                            Self::space(bytes, place);
                            *place += 1;
                            entries.push((key, Self::value(bytes, place)?));
                        }
                    }
                }
                *place += 1;
                Some(Self::Table(entries))
            }
            b'[' => {
                let mut items = Vec::new();
                *place += 1;
                loop {
                    Self::space(bytes, place);
                    match bytes.get(*place)? {
                        b']' => break,
                        b',' => *place += 1,
                        _ => items.push(Self::value(bytes, place)?),
                    }
                }
                *place += 1;
                Some(Self::List(items))
            }
            b'"' => {
                let mut text = Vec::new();
                *place += 1;
                loop {
                    match *bytes.get(*place)? {
                        b'"' => break,
                        b'\\' => {
                            *place += 1;
                            text.push(match *bytes.get(*place)? {
                                b'n' => b'\n',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                    *place += 1;
                }
                *place += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let begin = *place;
                while bytes.get(*place).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    *place += 1;
                }
                let word = std::str::from_utf8(&bytes[begin..*place]).ok()?;
                Some(match word {
                    "true" => Self::Bool(true),
                    "false" => Self::Bool(false),
                    "null" => Self::Null,
                    _ => Self::Number(word.parse().ok()?),
                })
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- store

struct Row {
    value: String,
    ver: u64,
}

struct StoreState {
    down: AtomicBool,
    rows: Mutex<(BTreeMap<(String, String), Row>, u64)>,
    changed: Condvar,
    began: Instant,
}

/// The platform's store: linearizable, and loses nothing that it has acknowledged.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<StoreState>,
}

/// Time that a transaction takes, as in the settings (`platform.tx_s`).
const TRANSACTION_TIME: Duration = Duration::from_millis(3);

impl Store {
    pub fn start() -> Self {
        let state = Arc::new(StoreState {
            down: AtomicBool::new(false),
            rows: Mutex::new((BTreeMap::new(), 1)),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let serving = state.clone();
        let address = serve("127.0.0.1:0".parse().unwrap(), move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut inbox = Inbox::new(stream);
            while let Ok(Some(request)) = inbox.read() {
                let (status, body) = if serving.down.load(Ordering::SeqCst) {
                    ("503 Service Unavailable", "{}".to_string())
                } else {
                    serving.handle(&request)
                };
                if writer.write_all(&response(status, "Content-Type: application/json\r\n", body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    /// While it is down, the store answers every call with 503: nothing was done.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::SeqCst);
        self.state.changed.notify_all();
    }

    /// Writes a row as the operator.
    pub fn operator(&self, key: &str, value: &str) {
        self.state.write("op", key, base64(value.as_bytes()));
    }

    /// The raw value of a row, in base64.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.state.rows.lock().unwrap();
        rows.0.get(&(table.to_string(), key.to_string())).map(|row| row.value.clone())
    }
}

impl StoreState {
    fn write(&self, table: &str, key: &str, value: String) {
        let mut rows = self.rows.lock().unwrap();
        rows.1 += 1;
        let ver = rows.1;
        rows.0.insert((table.to_string(), key.to_string()), Row { value, ver });
        self.changed.notify_all();
    }

    fn listing(&self, rows: &(BTreeMap<(String, String), Row>, u64), table: &str, from: &str, to: &str, after: u64) -> (bool, String) {
        let mut found: Vec<_> = rows
            .0
            .iter()
            .filter(|((row_table, key), row)| {
                row_table == table && row.ver > after && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
            })
            .collect();
        if after > 0 {
            found.sort_by_key(|(_, row)| row.ver);
        }
        let texts: Vec<_> = found
            .iter()
            .map(|((table, key), row)| {
                format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{}","ver":{}}}"#, row.value, row.ver)
            })
            .collect();
        let body = format!(
            r#"{{"rows":[{}],"has_more":false,"ver":{},"now_s":{}}}"#,
            texts.join(","),
            rows.1,
            self.began.elapsed().as_secs_f64()
        );
        (!found.is_empty(), body)
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(found, _)| *found == name).map_or_else(String::new, |(_, value)| decode(value))
        };
        match path {
            "/mulberryshelf/rows-tx" => {
                thread::sleep(TRANSACTION_TIME);
                self.transact(&request.body)
            }
            "/mulberryshelf/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let (_, body) = self.listing(&rows, &parameter("table"), &parameter("from"), &parameter("to"), 0);
                ("200 OK", body)
            }
            "/mulberryshelf/rows-feed" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                loop {
                    if self.down.load(Ordering::SeqCst) {
                        return ("503 Service Unavailable", "{}".into());
                    }
                    let (any, body) = self.listing(&rows, &parameter("table"), "", "", after);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if any || left.is_zero() {
                        return ("200 OK", body);
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else { return ("400 Bad Request", "{}".into()) };
        let place = |entry: &Json| (entry.get("table").text().to_string(), entry.get("key").text().to_string());
        let mut rows = self.rows.lock().unwrap();
        for entry in call.get("expect").list() {
            let held = rows.0.get(&place(entry)).map_or(0, |row| row.ver);
            if held != entry.get("ver").number() as u64 {
                let (_, body) = self.listing(&rows, entry.get("table").text(), "", "", 0);
                return ("412 Precondition Failed", body);
            }
        }
        rows.1 += 1;
        let ver = rows.1;
        for entry in call.get("writes").list() {
            rows.0.insert(place(entry), Row { value: entry.get("value").text().to_string(), ver });
        }
        for entry in call.get("removals").list() {
            rows.0.remove(&place(entry));
        }
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{ver},"now_s":{}}}"#, self.began.elapsed().as_secs_f64()))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A route of a configuration, with the times of a small deployment.
pub fn route(name: &str, kind: &str, service: &str, timeout_s: f64, target_s: f64) -> String {
    format!(
        r#"{{"resource_type":"routes","metadata":{{"name":"r-{name}"}},"spec":{{"hostname":"desk.example","prefix":"/{name}/","type":"{kind}","timeout_s":{timeout_s},"target_latency_s":{target_s},"priority":1,"service":"{service}","max_attempts":2}}}}"#
    )
}

/// A configuration with these routes and services.
pub fn configuration(version: u32, routes: &[String], services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(r#"{{"resource_type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false}}}}"#)
    });
    let limits = r#"{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
    let all: Vec<String> = routes.iter().cloned().chain(services).chain([limits.to_string()]).collect();
    format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, all.join(","))
}

// ---------------------------------------------------------------- nodes

/// Bounds of the small deployment (`kalinaw-tubero`).
pub const GRACE_S: f64 = 6.0;
pub const HEARTBEAT_S: f64 = 1.5;

/// A machine: a node process and the address of the endpoint beside it.
pub struct Machine {
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub name: String,
    pub upstream: SocketAddr,
    directory: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Machine {
    /// Writes the settings file, in the layout of the deploy file's template, and starts the node by the command of the
    /// deploy file.
    pub fn start(name: &str, zone: &str, region: &str, service: &str, upstream: SocketAddr, store: SocketAddr) -> Self {
        Self::start_behind(name, zone, region, service, upstream, store, None)
    }

    /// Starts a node as [`start`](Self::start) does. `behind` is its link port and the address of a proxy in front of it.
    pub fn start_behind(
        name: &str,
        zone: &str,
        region: &str,
        service: &str,
        upstream: SocketAddr,
        store: SocketAddr,
        behind: Option<(SocketAddr, SocketAddr)>,
    ) -> Self {
        let directory = std::env::var("WORK_DIR").map_or_else(|_| unable("WORK_DIR is not set"), PathBuf::from);
        let [callers, free_link, control, ready, metrics] = [(); 5].map(|()| free_address());
        let link = behind.map_or(free_link, |(link, _)| link);
        let advertised = behind.map_or(String::new(), |(_, proxy)| format!(r#""advertised":"{proxy}","#));
        let settings = format!(
            r#"{{"host":"{name}","domain":"{zone}","region":"{region}","service":"{service}","callers":"{callers}","link":"{link}",{advertised}"control":"{control}","ready":"{ready}","metrics":"{metrics}","upstream":"{upstream}","store":"{store}","regions":["luzon","visayas"],"memory_mb":260,"descriptors_max":4100,"heartbeat_s":{HEARTBEAT_S},"grace_s":{GRACE_S},"retries":{{"ratio":0.2,"extra":60,"window_s":10}}}}"#
        );
        let written = fs::write(directory.join(format!("{name}.json")), settings);
        written.unwrap_or_else(|error| unable(&format!("settings: {error}")));
        let machine = Self { callers, control, name: name.into(), upstream, directory, child: Mutex::new(None) };
        machine.spawn();
        machine
    }

    pub fn spawn(&self) {
        let program = std::env::var("NODE").unwrap_or_else(|_| unable("NODE is not set"));
        let log = fs::OpenOptions::new().create(true).append(true).open(self.directory.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_else(|error| unable(&format!("log: {error}")));
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("MULBERRYSHELF_NODE_FILE", self.directory.join(format!("{}.json", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // The node ends with this script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn();
        let child = child.unwrap_or_else(|error| unable(&format!("node: {error}")));
        STARTED.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            kill(child.id() as i32, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn stop(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        call(self.control, "GET /mulberryshelf/readiness HTTP/1.1\r\n", b"", Duration::from_secs(1)).is_some_and(|reply| reply.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends one request on a new connection. `head` is its request line and fields, without a length and the empty line.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let length = format!("Host: node\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), length.as_bytes(), body].concat()).ok()?;
    Inbox::new(stream).read().ok().flatten()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What an endpoint says of itself.
#[derive(Clone)]
pub struct Identity {
    pub born: u64,
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub version: String,
    pub zone: String,
}

/// One start of an endpoint: its liveness reports.
pub struct Reporter {
    pub control: SocketAddr,
    pub identity: Identity,
    pub upstream: SocketAddr,
    pub sequence: AtomicU64,
    pub silent: AtomicBool,
}

impl Reporter {
    pub fn body(&self, state: &str, sequence: u64) -> String {
        let Identity { born, service, slots, version, zone, .. } = &self.identity;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","cold_remaining_s":0,"sequence":{sequence},"born":{born}}}"#,
            self.upstream
        )
    }

    /// Sends a report. Returns the status, 0 if there is none within a second.
    pub fn send(&self, body: &str) -> u16 {
        let head = format!("PUT /mulberryshelf/instances/{} HTTP/1.1\r\nContent-Type: application/json\r\n", self.identity.id);
        let reply = call(self.control, &head, body.as_bytes(), Duration::from_secs(1));
        reply.map_or(0, |reply| reply.status())
    }

    pub fn report(&self, state: &str) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.send(&self.body(state, sequence))
    }

    /// Reports `ready` at every heartbeat until it is told to be silent.
    pub fn keep_reporting(self: &Arc<Self>) {
        let reporter = self.clone();
        thread::spawn(move || {
            while !reporter.silent.load(Ordering::SeqCst) {
                reporter.report("ready");
                thread::sleep(Duration::from_secs_f64(HEARTBEAT_S));
            }
        });
    }
}

/// Waits until a condition holds; ends the script with 2 if it does not in time.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > limit {
            unable(&format!("not in {limit:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Ends with 1 if the rule was broken and 0 if it held.
pub fn finish(record: &Record, broken: bool, summary: &str) -> ! {
    let verdict = if broken { "BROKEN" } else { "held" };
    record.line(&format!("result {verdict}: {summary}"));
    println!("{verdict}: {summary}");
    exit(i32::from(broken));
}

/// A small generator of random numbers with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

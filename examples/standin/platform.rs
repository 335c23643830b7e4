//! A stand-in for the platform's transactional table service and object store over HTTP, with fault
//! injection: outages, slow requests, and answers lost after the write took effect.

use {
    mulberryshelf::platform::{Read, Row, Rows, Transaction},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    socket2::SockRef,
    std::{
        collections::BTreeMap,
        io::Cursor,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
    tiny_http::{Method, Request, Response, Server},
};

/// The threads that serve requests.
const THREADS: usize = 8;

/// The injected faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request fails with status 503 and has no effect.
    pub down: bool,
    /// Whether the platform goes down with the last of the `lose_answers`.
    pub down_after_loss: bool,
    /// The number of next writes that take effect, but whose answers are lost.
    pub lose_answers: u32,
    /// The delay added to every request, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    objects: BTreeMap<String, Vec<u8>>,
    reads: u64,
    rows: BTreeMap<String, Value>,
    writes: u64,
}

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    /// The address that it listens on.
    pub address: SocketAddr,
    server: Arc<Server>,
    state: Arc<Mutex<State>>,
}

type Reply = Response<Cursor<Vec<u8>>>;

impl Platform {
    /// Binds the port and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let platform = Self {
            address,
            server: Arc::new(server),
            state: Arc::default(),
        };
        for _ in 0..THREADS {
            let platform = platform.clone();
            thread::spawn(move || platform.serve());
        }
        Ok(platform)
    }

    /// Returns the URL to set as `platform` in a node's settings.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn fail(&self, faults: Faults) {
        self.lock_state().faults = faults;
    }

    /// Returns the number of reads and of writes that took effect.
    pub fn load(&self) -> (u64, u64) {
        let state = self.lock_state();
        (state.reads, state.writes)
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(self) {
        while let Ok(mut request) = self.server.recv() {
            if let Some(reply) = self.handle(&mut request) {
                let _ = request.respond(reply);
            } else {
                // Dropping the writer closes the connection without an answer.
                drop(request.into_writer());
            }
        }
    }

    fn handle(&self, request: &mut Request) -> Option<Reply> {
        let url = request.url().to_string();
        if request.method() == &Method::Post && url == "/v1/faults" {
            return Some(self.replace_faults(request));
        }
        let faults = self.lock_state().faults.clone();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return Some(reply(503, &json!({ "error": "down" })));
        }
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        match (request.method(), path) {
            (Method::Get, "/v1/rows") => Some(self.list_rows(query)),
            (Method::Post, "/v1/read") => Some(self.read_rows(request)),
            (Method::Post, "/v1/transact") => self.transact(request),
            (Method::Delete, _) if path.starts_with("/v1/objects/") => Some(self.delete(path)),
            (Method::Get, _) if path.starts_with("/v1/objects/") => Some(self.get(path)),
            (Method::Put, _) if path.starts_with("/v1/objects/") => Some(self.put(path, request)),
            _ => Some(reply(404, &json!({ "error": "nothing here" }))),
        }
    }

    fn replace_faults(&self, request: &mut Request) -> Reply {
        match serde_json::from_reader(request.as_reader()) {
            Ok(faults) => {
                self.fail(faults);
                reply(200, &json!({}))
            }
            Err(error) => reply(400, &json!({ "error": error.to_string() })),
        }
    }

    fn list_rows(&self, query: &str) -> Reply {
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let after = parameter("after").unwrap_or_default();
        let limit = parameter("limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(100);
        self.find_rows(&Read {
            after,
            keys: Vec::new(),
            limit,
            prefix,
        })
    }

    fn read_rows(&self, request: &mut Request) -> Reply {
        match serde_json::from_reader(request.as_reader()) {
            Ok(read) => self.find_rows(&read),
            Err(error) => reply(400, &json!({ "error": error.to_string() })),
        }
    }

    fn find_rows(&self, read: &Read) -> Reply {
        let row = |(key, value): (&String, &Value)| Row {
            key: key.clone(),
            value: value.clone(),
        };
        let mut state = self.lock_state();
        state.reads += 1;
        let found = read
            .keys
            .iter()
            .filter_map(|key| state.rows.get_key_value(key))
            .map(row)
            .collect();
        let rows = state
            .rows
            .range(read.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&read.prefix))
            .filter(|(key, _)| **key > read.after)
            .take(read.limit)
            .map(row)
            .collect();
        reply(200, &json!(Rows { found, rows }))
    }

    fn transact(&self, request: &mut Request) -> Option<Reply> {
        let transaction: Transaction = match serde_json::from_reader(request.as_reader()) {
            Ok(transaction) => transaction,
            Err(error) => return Some(reply(400, &json!({ "error": error.to_string() }))),
        };
        let mut state = self.lock_state();
        for check in &transaction.checks {
            let value = state.rows.get(&check.key).unwrap_or(&Value::Null);
            if *value != check.value {
                return Some(reply(409, &json!({ "failed": check.key })));
            }
        }
        state.writes += 1;
        for row in transaction.puts {
            if row.value.is_null() {
                state.rows.remove(&row.key);
            } else {
                state.rows.insert(row.key, row.value);
            }
        }
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            state.faults.down |= state.faults.down_after_loss && state.faults.lose_answers == 0;
            return None;
        }
        Some(reply(200, &json!({})))
    }

    fn get(&self, path: &str) -> Reply {
        let mut state = self.lock_state();
        state.reads += 1;
        match state.objects.get(path) {
            Some(bytes) => Response::from_data(bytes.clone()),
            None => reply(404, &json!({ "error": "no such object" })),
        }
    }

    fn delete(&self, path: &str) -> Reply {
        let mut state = self.lock_state();
        state.writes += 1;
        state.objects.remove(path);
        reply(200, &json!({}))
    }

    fn put(&self, path: &str, request: &mut Request) -> Reply {
        let mut bytes = Vec::new();
        if let Err(error) = request.as_reader().read_to_end(&mut bytes) {
            return reply(400, &json!({ "error": error.to_string() }));
        }
        let mut state = self.lock_state();
        state.writes += 1;
        state.objects.entry(path.into()).or_insert(bytes);
        reply(200, &json!({}))
    }
}

fn reply(status: u16, body: &Value) -> Reply {
    Response::from_string(body.to_string()).with_status_code(status)
}

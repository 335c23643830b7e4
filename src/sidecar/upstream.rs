//! Connections to the upstream on this host. One request runs on each at a time. A connection is used again
//! only after an answer was read whole and nothing followed it.

use {
    super::words::Words,
    crate::{
        http1::{self, Field, Reader, Response},
        refusal::Reason,
    },
    bytes::Bytes,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        time::timeout,
    },
};

/// How long connecting may take: the upstream is on this host.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an idle connection is used again for what may run twice, unless the upstream states less.
const IDLE_REPEATABLE: Duration = Duration::from_secs(4);
/// The same for what may run once only: a new connection costs less than a request whose fate is unknown.
const IDLE_ONCE: Duration = Duration::from_millis(700);
/// The part of the idle time that the upstream states for which a connection is kept.
const STATED_PART: f64 = 0.6;
/// The longest answer, in bytes.
const BODY_MAX: u64 = 64 * 1024 * 1024;
/// The longest head of an answer, in bytes.
const HEAD_MAX: usize = 64 * 1024;
/// The most answers to other requests that are skipped before the connection is given up.
const STRAY_MAX: usize = 4;

/// How a request failed at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it was sent.
    Unsent(Reason),
    /// It may have run.
    Sent(Reason),
}

/// What is sent to the upstream.
pub struct Outgoing<'a> {
    /// The whole request, encoded.
    pub bytes: Bytes,
    /// Identifies it in the answer.
    pub id: &'a str,
    /// Whether the answer has no body whatever its head says.
    pub to_head: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How long the answer may take.
    pub patience: Duration,
}

struct Connection {
    idle_max: Duration,
    reader: Reader<OwnedReadHalf>,
    since: Instant,
    writer: OwnedWriteHalf,
}

/// The connections to one upstream, the idle ones newest last.
pub struct Upstream {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Connection>>,
    words: Words,
}

impl Upstream {
    /// Begins without connections.
    pub fn new(address: SocketAddr, words: Words) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            words,
        }
    }

    /// Closes the idle connections, as another start of the upstream has taken the address over.
    pub fn reset(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and reads the answer to it.
    pub async fn send(&self, outgoing: &Outgoing<'_>) -> Result<Response, Failure> {
        let mut connection = match self.reuse(outgoing.repeatable) {
            Some(connection) => connection,
            None => self.dial().await.map_err(Failure::Unsent)?,
        };
        let lost = Failure::Sent(Reason::Lost);
        connection
            .writer
            .write_all(&outgoing.bytes)
            .await
            .map_err(|_| lost)?;
        let reading = self.answer(&mut connection, outgoing);
        let response = match timeout(outgoing.patience, reading).await {
            Ok(response) => response.ok_or(lost)?,
            Err(_) => return Err(Failure::Sent(Reason::Deadline)),
        };
        self.keep(connection, &response);
        Ok(response)
    }

    /// Tells whether the upstream takes a new connection, which is kept for the next request.
    pub async fn takes_connections(&self) -> bool {
        let Ok(connection) = self.dial().await else {
            return false;
        };
        self.idle.borrow_mut().push(connection);
        true
    }

    async fn answer(
        &self,
        connection: &mut Connection,
        outgoing: &Outgoing<'_>,
    ) -> Option<Response> {
        let limits = http1::Limits {
            body_bytes: BODY_MAX,
            head_bytes: HEAD_MAX,
            patience: outgoing.patience,
        };
        for _ in 0..STRAY_MAX {
            let reading = connection.reader.response(limits, outgoing.to_head);
            let response = reading.await.ok()?;
            let id = http1::text(&response.fields, self.words.id);
            let signed = http1::text(&response.fields, self.words.signature).is_some();
            let success = (200..300).contains(&response.status);
            match id {
                // An answer to an earlier request, which nobody waits for any more.
                Some(id) if id != outgoing.id => {
                    if response.close {
                        return None;
                    }
                }
                None if success => return None,
                _ if success && !signed => return None,
                _ => return Some(response),
            }
        }
        None
    }

    fn reuse(&self, repeatable: bool) -> Option<Connection> {
        let most = if repeatable {
            IDLE_REPEATABLE
        } else {
            IDLE_ONCE
        };
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let age = connection.since.elapsed();
            if age >= connection.idle_max {
                continue;
            }
            if age >= most {
                // Older ones are of no use here, but may be to others.
                idle.push(connection);
                return None;
            }
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    async fn dial(&self) -> Result<Connection, Reason> {
        let connecting = TcpStream::connect(self.address.get());
        let Ok(Ok(stream)) = timeout(DIAL_TIMEOUT, connecting).await else {
            return Err(Reason::Dial);
        };
        stream.set_nodelay(true).map_err(|_| Reason::Dial)?;
        let (reader, writer) = stream.into_split();
        Ok(Connection {
            idle_max: IDLE_REPEATABLE,
            reader: Reader::new(reader),
            since: Instant::now(),
            writer,
        })
    }

    fn keep(&self, mut connection: Connection, response: &Response) {
        if response.close || connection.reader.has_unclaimed() {
            return;
        }
        connection.since = Instant::now();
        connection.idle_max = stated_idle(&response.fields).unwrap_or(IDLE_REPEATABLE);
        self.idle.borrow_mut().push(connection);
    }
}

impl Connection {
    /// Tells whether nothing came in while the connection was idle: neither its end nor bytes that belong to
    /// no request.
    fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.reader.get_ref().try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

fn stated_idle(fields: &[Field]) -> Option<Duration> {
    let stated = http1::text(fields, "keep-alive")?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()).mul_f64(STATED_PART))
}

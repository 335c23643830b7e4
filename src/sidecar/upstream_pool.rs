//! Connection pool to the upstream on this host.
//!
//! Designed for upstreams that crash, close idle connections or answer late. Each connection carries one request at a
//! time. It is reused only after the complete response was read, named the request and no bytes followed, so that a response
//! can't be taken for that of another request.

use {
    super::header_names::HeaderNames,
    crate::{
        http1::{self, Body, Field, Reader, Response},
        refusal::Reason,
    },
    bytes::{Buf, Bytes},
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

/// Maximum time to connect; short, as the upstream is on this host.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum idle time after which a connection is reused for a request that may run again, unless the upstream states a
/// shorter one.
const IDLE_MAX_REPEATABLE: Duration = Duration::from_secs(4);
/// The same for a request that may run only once. It is shorter, as a new connection costs less than a request whose
/// outcome is unknown.
const IDLE_MAX_ONCE: Duration = Duration::from_millis(700);
/// Fraction of the idle timeout stated by the upstream for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Maximum size of a response head.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum size of the body of a response to a health check, which nobody reads.
const HEALTH_BODY_BYTES_MAX: u64 = 64 * 1024;
/// Maximum number of responses read for one request, including skipped ones to earlier requests; then the connection
/// is closed.
const RESPONSES_MAX: usize = 4;

/// Failure to receive a response from the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent, so it has not run.
    Unsent(Reason),
    /// The request may have run.
    Sent(Reason),
}

/// A request to the upstream, and how to read its response.
pub struct Outgoing<'a> {
    /// The body of the request.
    pub body: &'a Body,
    /// The maximum size of the body of the response, in bytes.
    pub body_bytes_max: u64,
    /// The encoded head of the request.
    pub head: Bytes,
    /// The request ID, which the response repeats.
    pub id: &'a str,
    /// Whether the request has the method `HEAD`, so that the response has no body whatever its head says.
    pub is_head_request: bool,
    /// Whether the request may run more than once; decides how long a connection may have been idle.
    pub repeatable: bool,
    /// The maximum time for sending the request and receiving the complete response.
    pub timeout: Duration,
}

struct Connection {
    idle_max: Duration,
    reader: Reader<OwnedReadHalf>,
    idle_since: Instant,
    writer: OwnedWriteHalf,
}

/// Connections to one upstream. Idle connections are ordered by the time since when they are idle, the newest last.
pub struct Pool {
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Connection>>,
    header_names: HeaderNames,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, header_names: HeaderNames) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            header_names,
        }
    }

    /// Closes the idle connections. Called when another instance of the upstream has taken over the address.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and returns the response to it. `reserve` is called with the size of the body as far as it is known,
    /// in bytes, before that much of it is read, and returns whether there is room for it.
    ///
    /// # Errors
    /// Returns [`Failure::Unsent`] if no connection was possible, and [`Failure::Sent`] if the connection was lost or
    /// the response did not arrive in time or had no room.
    pub async fn send(
        &self,
        outgoing: &Outgoing<'_>,
        reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Response, Failure> {
        let mut connection = match self.take_idle(outgoing.repeatable) {
            Some(connection) => connection,
            None => self.dial().await.map_err(Failure::Unsent)?,
        };
        // An upstream that has gone silent does not read either, so the time limit includes the writing.
        let exchange = async {
            let written = connection.write(outgoing).await;
            written.map_err(|_| Reason::Lost)?;
            self.read_response(&mut connection, outgoing, reserve).await
        };
        let response = match timeout(outgoing.timeout, exchange).await {
            Ok(response) => response.map_err(Failure::Sent)?,
            Err(_) => return Err(Failure::Sent(Reason::Deadline)),
        };
        self.store_idle(connection, &response, outgoing.id);
        Ok(response)
    }

    /// Sends a check of the upstream's health on a connection of its own and returns the response: it needs no id and no
    /// signature, so it must not be taken for that of another request.
    ///
    /// # Errors
    /// Returns [`Failure::Unsent`] if no connection was possible, and [`Failure::Sent`] if the response did not arrive in
    /// time.
    pub async fn check(&self, request: &[u8], time_limit: Duration) -> Result<Response, Failure> {
        let mut connection = self.dial().await.map_err(Failure::Unsent)?;
        let lost = Failure::Sent(Reason::Lost);
        let limits = http1::Limits {
            body_bytes: HEALTH_BODY_BYTES_MAX,
            head_bytes: HEAD_BYTES_MAX,
            read_timeout: time_limit,
        };
        let exchange = async {
            connection.writer.write_all(request).await.ok()?;
            connection.reader.read_response(limits, false).await.ok()
        };
        let exchanged = timeout(time_limit, exchange).await;
        exchanged.ok().flatten().ok_or(lost)
    }

    /// Returns whether the upstream accepts a new connection, which is kept for the next request.
    pub async fn accepts_connections(&self) -> bool {
        let Ok(connection) = self.dial().await else {
            return false;
        };
        self.idle.borrow_mut().push(connection);
        true
    }

    async fn read_response(
        &self,
        connection: &mut Connection,
        outgoing: &Outgoing<'_>,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Response, Reason> {
        let limits = http1::Limits {
            body_bytes: outgoing.body_bytes_max,
            head_bytes: HEAD_BYTES_MAX,
            read_timeout: outgoing.timeout,
        };
        for _ in 0..RESPONSES_MAX {
            let is_head_request = outgoing.is_head_request;
            let reading =
                connection
                    .reader
                    .read_response_within(limits, is_head_request, &mut reserve);
            let response = reading.await.map_err(|error| match error {
                http1::Error::NoRoom(_) => Reason::TooLarge,
                _ => Reason::Lost,
            })?;
            let id = http1::field_text(&response.fields, self.header_names.request_id);
            let signed = http1::field_text(&response.fields, self.header_names.signature).is_some();
            let success = (200..300).contains(&response.status);
            match id {
                // A response to an earlier request that no longer has a caller.
                Some(id) if id != outgoing.id => {
                    if response.close {
                        return Err(Reason::Lost);
                    }
                }
                None if success => return Err(Reason::Lost),
                _ if success && !signed => return Err(Reason::Lost),
                _ => return Ok(response),
            }
        }
        Err(Reason::Lost)
    }

    fn take_idle(&self, repeatable: bool) -> Option<Connection> {
        let age_max = if repeatable {
            IDLE_MAX_REPEATABLE
        } else {
            IDLE_MAX_ONCE
        };
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let age = connection.idle_since.elapsed();
            if age >= connection.idle_max {
                continue;
            }
            if age >= age_max {
                // This connection and the older ones are too old here, but may serve repeatable requests.
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
            idle_max: IDLE_MAX_REPEATABLE,
            reader: Reader::new(reader),
            idle_since: Instant::now(),
            writer,
        })
    }

    /// Keeps a connection for the next request. After a response without an id it is closed: a copy of that response could
    /// not be told from the next one.
    fn store_idle(&self, mut connection: Connection, response: &Response, id: &str) {
        let names_request =
            http1::field_text(&response.fields, self.header_names.request_id) == Some(id);
        if response.close || !names_request || connection.reader.has_buffered() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.idle_max = keep_alive_timeout(&response.fields).unwrap_or(IDLE_MAX_REPEATABLE);
        self.idle.borrow_mut().push(connection);
    }
}

impl Connection {
    /// Writes a request. The body is not copied.
    async fn write(&mut self, outgoing: &Outgoing<'_>) -> std::io::Result<()> {
        let mut head = outgoing.head.clone();
        for segment in outgoing.body.segments() {
            // The head is written by the same call as the first segment.
            let mut bytes = std::mem::take(&mut head).chain(segment.clone());
            self.writer.write_all_buf(&mut bytes).await?;
        }
        Ok(())
    }

    /// Returns whether the idle connection is still open and has received no unexpected bytes.
    fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.reader.get_ref().try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

fn keep_alive_timeout(fields: &[Field]) -> Option<Duration> {
    let field = http1::field_text(fields, "keep-alive")?;
    let seconds = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_FRACTION))
}

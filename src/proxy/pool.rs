//! A pool of connections to the upstream on this host. A connection is reused only after its answer
//! has been read completely, so a late answer is never taken for the answer to a later request.

use {
    super::stream::Stream,
    crate::{body::Body, refusal::Reason},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{io::AsyncReadExt, net::TcpStream},
};

const IDLE_MAX: usize = 16;
/// How long an idle connection may be reused. Shorter than the idle timeout of upstreams, so that
/// they do not close a connection that is about to be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum number of connections that are opened to find out whether an upstream that closed a
/// connection has died.
const PROBES_MAX: u32 = 4;
/// How long a connection has to stay open to show that the upstream is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

/// A connection that can send one request.
pub type Connection = SendRequest<Body>;

struct Idle {
    address: SocketAddr,
    connection: Connection,
    since: Instant,
}

/// A guard that counts a connection until it is closed.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A pool of connections to one upstream. The idle ones are ordered by age, the newest last.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<Vec<Idle>>>,
    open: Arc<AtomicU32>,
}

impl Pool {
    /// Returns an idle connection, or a new one. `connections_max` is the maximum number of open
    /// connections.
    ///
    /// # Errors
    /// Returns the reason if connecting fails or the maximum is reached. Nothing has been sent
    /// then.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<Connection, Reason> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.dial(address, connections_max).await,
        }
    }

    /// Opens a new connection. `connections_max` is the maximum number of open connections.
    ///
    /// # Errors
    /// Returns the reason if connecting fails or the maximum is reached.
    pub async fn dial(
        &self,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<Connection, Reason> {
        let open = OpenGuard(self.open.clone());
        if self.open.fetch_add(1, Ordering::Relaxed) >= connections_max {
            return Err(Reason::Connections);
        }
        dial(address, open).await.map_err(|_| Reason::Dial)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(kept) = idle.pop() {
            let fresh = kept.since.elapsed() < IDLE_TIMEOUT;
            if fresh && kept.address == address && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, after its answer has been read completely.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle();
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                address,
                connection,
                since: Instant::now(),
            });
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the upstream at an address has died. A dying upstream may close its connections
/// before or after it stops listening, so a connection that is accepted and then closed is no
/// proof, and another one is opened.
pub async fn is_dead(address: SocketAddr) -> bool {
    for _ in 0..PROBES_MAX {
        match TcpStream::connect(address).await {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            Err(_) => return false,
            Ok(mut stream) => {
                let reading = stream.read_u8();
                if tokio::time::timeout(PROBE_TIMEOUT, reading).await.is_err() {
                    return false;
                }
            }
        }
    }
    false
}

/// Opens a connection on which nothing is sent, and waits until the upstream closes or refuses it,
/// for at most `timeout`.
pub async fn wait_closed(address: SocketAddr, timeout: Duration) {
    let closing = async {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                // Closed or reset: the caller finds out whether the upstream has died.
                let _ = stream.read_u8().await;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => (),
            Err(_) => std::future::pending().await,
        }
    };
    // After a timeout the caller decides whether to wait again.
    let _ = tokio::time::timeout(timeout, closing).await;
}

async fn dial(address: SocketAddr, open: OpenGuard) -> io::Result<Connection> {
    let stream = Stream::connect(address).await?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // A failure is returned to the sender of the request on this connection.
        let _ = connection.await;
        drop(open);
    });
    Ok(sender)
}

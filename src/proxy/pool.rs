//! Connections to the upstream on this host. One is used again only after an answer was read whole,
//! so a late answer never meets a later request.

use {
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
/// How long a connection may lie idle and be used again: less than upstreams keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How often an upstream that has broken a connection off is looked at.
const PROBES: u32 = 4;
/// How long a connection has to stay open to show that the upstream lives.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

/// A connection that can send one request.
pub type Connection = SendRequest<Body>;

struct Idle {
    address: SocketAddr,
    connection: Connection,
    since: Instant,
}

/// Counts a connection until it is closed.
struct Open(Arc<AtomicU32>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections to one upstream, the idle ones newest last.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<Vec<Idle>>>,
    open: Arc<AtomicU32>,
}

impl Pool {
    /// Gives an idle connection, or a new one.
    ///
    /// # Errors
    /// Gives the reason if the upstream can't be dialled or takes no more connections; nothing was
    /// sent then.
    pub async fn take(&self, address: SocketAddr, most: u32) -> Result<Connection, Reason> {
        match self.reuse(address) {
            Some(connection) => Ok(connection),
            None => self.dial(address, most).await,
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Gives the reason if the upstream can't be dialled or takes no more connections.
    pub async fn dial(&self, address: SocketAddr, most: u32) -> Result<Connection, Reason> {
        let open = Open(self.open.clone());
        if self.open.fetch_add(1, Ordering::Relaxed) >= most {
            return Err(Reason::Connections);
        }
        dial(address, open).await.map_err(|_| Reason::Dial)
    }

    fn reuse(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(kept) = idle.pop() {
            let fresh = kept.since.elapsed() < IDLE_TIMEOUT;
            if fresh && kept.address == address && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
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

/// Finds out whether the upstream at an address has died. One that dies closes its connections before
/// it stops listening or after, so a connection that it takes and breaks off proves nothing yet.
pub async fn is_gone(address: SocketAddr) -> bool {
    for _ in 0..PROBES {
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

/// Waits until an upstream closes a connection on which nothing is sent, for a while at most.
pub async fn closed(address: SocketAddr, span: Duration) {
    let closing = async {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                // Whether it is closed or reset, the caller looks at why.
                let _ = stream.read_u8().await;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => (),
            Err(_) => std::future::pending().await,
        }
    };
    // An upstream that is still there after the span is looked at anew by the caller.
    let _ = tokio::time::timeout(span, closing).await;
}

async fn dial(address: SocketAddr, open: Open) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // Whoever sent a request is told of the failure.
        let _ = connection.await;
        drop(open);
    });
    Ok(sender)
}

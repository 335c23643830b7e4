//! Connections to the upstream on this host. One is used again only after an answer was read whole,
//! so a late answer never meets a later request.

use {
    crate::body::Body,
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::net::TcpStream,
};

const IDLE_MAX: usize = 16;

/// A connection that can send one request.
pub type Connection = SendRequest<Body>;

/// Idle connections, newest last.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<Vec<(SocketAddr, Connection)>>>,
}

impl Pool {
    /// Gives an idle connection, or a new one.
    ///
    /// # Errors
    /// Fails if the upstream can't be dialled; nothing was sent then.
    pub async fn take(&self, address: SocketAddr) -> io::Result<Connection> {
        match self.idle(address) {
            Some(connection) => Ok(connection),
            None => dial(address).await,
        }
    }

    fn idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, connection)| !connection.is_closed());
        let index = idle
            .iter()
            .rposition(|(at, connection)| *at == address && connection.is_ready())?;
        Some(idle.swap_remove(index).1)
    }

    /// Keeps a connection whose answer was read whole.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_MAX {
            idle.push((address, connection));
        }
    }
}

async fn dial(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

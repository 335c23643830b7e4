//! The byte stream to the upstream on this host.
//!
//! An upstream may answer and close before it has read the whole request, for example to refuse a long body. The
//! kernel then resets the connection, and a write can fail while the answer is still unread. The failed write is
//! not reported, since the answer decides the outcome; if there is none, the next read fails instead.

use {
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection that stays readable after a write has failed.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Whether a write has failed. Nothing more is written then.
    write_failed: bool,
}

impl Stream {
    /// Connects to an address.
    ///
    /// # Errors
    /// Returns an error if the connection is refused or cannot be set up.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let inner = TcpStream::connect(address).await?;
        inner.set_nodelay(true)?;
        Ok(Self {
            inner,
            write_failed: false,
        })
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.write_failed {
            match ready!(Pin::new(&mut self.inner).poll_write(context, bytes)) {
                Ok(count) => return Poll::Ready(Ok(count)),
                Err(_) => self.write_failed = true,
            }
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

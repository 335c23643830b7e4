//! The body of a request or answer that streams through a node. A truncated body ends in an error, at
//! which the HTTP library aborts the connection, so the receiver never takes it for a complete one.

use {
    bytes::Bytes,
    hyper::{
        HeaderMap,
        body::{Frame, Incoming, SizeHint},
    },
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::{Receiver, Sender, channel},
};

const CHANNEL_PARTS: usize = 4;

/// The error for a body that ended before it was complete or exceeded its limit.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the body ended before it was complete or exceeded its limit")]
pub struct Incomplete;

#[derive(Debug)]
enum Part {
    Data(Bytes),
    End(HeaderMap),
}

/// The receiving end of a streaming body.
#[derive(Debug)]
pub struct Body {
    content: Content,
    remaining: u64,
}

#[derive(Debug)]
enum Content {
    Ended,
    Incoming(Incoming),
    Streaming(Receiver<Part>),
    Whole(Bytes),
}

/// The sending end of a streaming body. If it is dropped before [`Writer::finish`], the body is
/// truncated and its reader gets an error.
#[derive(Debug)]
pub struct Writer(Sender<Part>);

impl Body {
    fn with_content(content: Content) -> Self {
        Self {
            content,
            remaining: u64::MAX,
        }
    }

    /// Limits the body to `bytes`. A longer body ends in an error.
    #[must_use]
    pub fn with_limit(self, bytes: u64) -> Self {
        Self {
            remaining: bytes,
            ..self
        }
    }

    fn check_limit(&mut self, data: Bytes) -> Result<Frame<Bytes>, Incomplete> {
        self.remaining = self
            .remaining
            .checked_sub(data.len() as u64)
            .ok_or(Incomplete)?;
        Ok(Frame::data(data))
    }

    /// Creates a body whose content is written while it is read.
    #[must_use]
    pub fn channel() -> (Writer, Self) {
        let (sender, receiver) = channel(CHANNEL_PARTS);
        (
            Writer(sender),
            Self::with_content(Content::Streaming(receiver)),
        )
    }

    /// Creates a body from one that arrives on a connection.
    #[must_use]
    pub fn from_incoming(incoming: Incoming) -> Self {
        Self::with_content(Content::Incoming(incoming))
    }

    /// Creates a body whose content is complete.
    #[must_use]
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Self::with_content(Content::Ended);
        }
        Self::with_content(Content::Whole(bytes))
    }
}

impl Writer {
    /// Appends data to the body. Returns `false` if the reader has been dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Part::Data(bytes)).await.is_ok()
    }

    /// Completes the body.
    pub async fn finish(self, trailers: HeaderMap) {
        // Sending fails only if the reader has been dropped, which needs no end of the body.
        let _ = self.0.send(Part::End(trailers)).await;
    }

    /// Waits until the reader has been dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match std::mem::replace(&mut self.content, Content::Ended) {
            Content::Ended => Poll::Ready(None),
            Content::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Content::Incoming(mut incoming) => {
                let polled = Pin::new(&mut incoming).poll_frame(context);
                self.content = Content::Incoming(incoming);
                polled.map(|frame| {
                    let frame = frame?.map_err(|_| Incomplete).map(Frame::into_data);
                    Some(match frame {
                        Ok(Ok(data)) => self.check_limit(data),
                        Ok(Err(frame)) => Ok(frame),
                        Err(error) => Err(error),
                    })
                })
            }
            Content::Streaming(mut parts) => match parts.poll_recv(context) {
                Poll::Pending => {
                    self.content = Content::Streaming(parts);
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(Incomplete))),
                Poll::Ready(Some(Part::Data(bytes))) => {
                    self.content = Content::Streaming(parts);
                    Poll::Ready(Some(self.check_limit(bytes)))
                }
                Poll::Ready(Some(Part::End(trailers))) if trailers.is_empty() => Poll::Ready(None),
                Poll::Ready(Some(Part::End(trailers))) => {
                    Poll::Ready(Some(Ok(Frame::trailers(trailers))))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Ended => true,
            Content::Incoming(incoming) => incoming.is_end_stream(),
            Content::Streaming(_) | Content::Whole(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Ended => SizeHint::with_exact(0),
            Content::Incoming(incoming) => incoming.size_hint(),
            Content::Streaming(_) => SizeHint::default(),
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
        }
    }
}

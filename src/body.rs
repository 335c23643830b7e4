//! The body of a request or answer while it streams through a node. One that is cut short ends in an
//! error, at which the HTTP library breaks the connection off, so it is never passed off as whole.

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

const DEPTH: usize = 4;

/// Says that a body ended before it was whole.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the body was cut short")]
pub struct Cut;

#[derive(Debug)]
enum Piece {
    Data(Bytes),
    End(HeaderMap),
}

/// The receiving end of a streaming body.
#[derive(Debug)]
pub struct Body {
    content: Content,
    left: u64,
}

#[derive(Debug)]
enum Content {
    Ended,
    Incoming(Incoming),
    Streaming(Receiver<Piece>),
    Whole(Bytes),
}

/// The sending end of a streaming body. If it is dropped before `finish`, the body is cut short.
#[derive(Debug)]
pub struct Writer(Sender<Piece>);

impl Body {
    fn of(content: Content) -> Self {
        Self {
            content,
            left: u64::MAX,
        }
    }

    /// Cuts the body short where it is longer than a number of bytes.
    #[must_use]
    pub fn limit(self, bytes: u64) -> Self {
        Self {
            left: bytes,
            ..self
        }
    }

    fn take(&mut self, data: Bytes) -> Result<Frame<Bytes>, Cut> {
        self.left = self.left.checked_sub(data.len() as u64).ok_or(Cut)?;
        Ok(Frame::data(data))
    }

    /// Makes a body that is filled as it streams.
    #[must_use]
    pub fn channel() -> (Writer, Self) {
        let (sender, receiver) = channel(DEPTH);
        (Writer(sender), Self::of(Content::Streaming(receiver)))
    }

    /// Takes over a body that arrives on a connection.
    #[must_use]
    pub fn incoming(incoming: Incoming) -> Self {
        Self::of(Content::Incoming(incoming))
    }

    /// Makes a body that is whole from the start.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Self::of(Content::Ended);
        }
        Self::of(Content::Whole(bytes))
    }
}

impl Writer {
    /// Adds a piece; false if nobody reads the body any more.
    pub async fn push(&self, bytes: Bytes) -> bool {
        self.0.send(Piece::Data(bytes)).await.is_ok()
    }

    /// Ends the body, which is then whole.
    pub async fn finish(self, trailers: HeaderMap) {
        // A reader that has gone needs no end.
        let _ = self.0.send(Piece::End(trailers)).await;
    }

    /// Waits until nobody reads the body any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match std::mem::replace(&mut self.content, Content::Ended) {
            Content::Ended => Poll::Ready(None),
            Content::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Content::Incoming(mut incoming) => {
                let polled = Pin::new(&mut incoming).poll_frame(context);
                self.content = Content::Incoming(incoming);
                polled.map(|frame| {
                    let frame = frame?.map_err(|_| Cut).map(Frame::into_data);
                    Some(match frame {
                        Ok(Ok(data)) => self.take(data),
                        Ok(Err(frame)) => Ok(frame),
                        Err(cut) => Err(cut),
                    })
                })
            }
            Content::Streaming(mut pieces) => match pieces.poll_recv(context) {
                Poll::Pending => {
                    self.content = Content::Streaming(pieces);
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(Cut))),
                Poll::Ready(Some(Piece::Data(bytes))) => {
                    self.content = Content::Streaming(pieces);
                    Poll::Ready(Some(self.take(bytes)))
                }
                Poll::Ready(Some(Piece::End(trailers))) if trailers.is_empty() => Poll::Ready(None),
                Poll::Ready(Some(Piece::End(trailers))) => {
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

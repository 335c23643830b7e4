//! Reads messages from one connection.

use {
    super::{
        Fault, Request, Response,
        parse::{self, Framing},
    },
    bytes::{Buf, Bytes, BytesMut},
    std::time::Duration,
    tokio::{
        io::{AsyncRead, AsyncReadExt},
        time::timeout,
    },
};

/// How much is read at a time, in bytes: an answer of the usual size in one call.
const READ_BYTES: usize = 4096;
/// The longest line that states a chunk's size, in bytes; extensions are rare and short.
const CHUNK_LINE_MAX: usize = 256;
/// The most interim responses before a final one.
const INTERIM_MAX: usize = 8;

/// Bounds on what a peer may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// How long the head of a message may take from its first byte on, and how long its body may pause.
    pub patience: Duration,
}

/// The receiving side of a connection.
#[derive(Debug)]
pub struct Reader<R> {
    buffer: BytesMut,
    io: R,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads from a connection.
    pub fn new(io: R) -> Self {
        Self {
            buffer: BytesMut::new(),
            io,
        }
    }

    /// Gives the connection back.
    pub fn get_ref(&self) -> &R {
        &self.io
    }

    /// Tells whether bytes were received that no message has claimed.
    #[must_use]
    pub fn has_unclaimed(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until a message begins; nothing if the connection ends first.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn begun(&mut self) -> Result<bool, Fault> {
        Ok(self.has_unclaimed() || self.fill().await? > 0)
    }

    /// Reads a request that has begun. `proceed` is called once if the peer waits for leave to send the
    /// body.
    ///
    /// # Errors
    /// Fails if the request breaks off, is malformed, or is beyond the limits.
    pub async fn request(
        &mut self,
        limits: Limits,
        proceed: impl AsyncFnOnce() -> std::io::Result<()>,
    ) -> Result<Request, Fault> {
        let reading = self.head(limits.head_bytes, parse::request);
        let head = timeout(limits.patience, reading)
            .await
            .map_err(|_| Fault::Slow)??;
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes
        {
            return Err(Fault::BodyTooLarge);
        }
        if super::has_token(&head.fields, "expect", "100-continue") && !self.has_unclaimed() {
            proceed().await?;
        }
        let body = self.body(head.framing, limits).await?;
        Ok(Request {
            body,
            close: head.close,
            fields: head.fields,
            method: head.method,
            target: head.target,
        })
    }

    /// Reads a final response.
    ///
    /// # Errors
    /// Fails if the response breaks off, is malformed, or is beyond the limits.
    pub async fn response(&mut self, limits: Limits, to_head: bool) -> Result<Response, Fault> {
        for _ in 0..INTERIM_MAX {
            let head = self
                .head(limits.head_bytes, |bytes| parse::response(bytes, to_head))
                .await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let body = self.body(head.framing, limits).await?;
            return Ok(Response {
                body,
                close: head.close,
                fields: head.fields,
                status: head.status,
            });
        }
        Err(Fault::Malformed("too many interim responses"))
    }

    /// Drops what comes until the connection ends; tells whether it did within a time.
    pub async fn ended(&mut self, patience: Duration) -> bool {
        let ending = async {
            loop {
                self.buffer.clear();
                if !matches!(self.fill().await, Ok(1..)) {
                    return;
                }
            }
        };
        timeout(patience, ending).await.is_ok()
    }

    async fn head<T>(
        &mut self,
        most: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Fault>,
    ) -> Result<T, Fault> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, length)) = parse(&self.buffer)?
            {
                if length > most {
                    return Err(Fault::HeadTooLarge);
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > most {
                return Err(Fault::HeadTooLarge);
            }
            self.need().await?;
        }
    }

    async fn body(&mut self, framing: Framing, limits: Limits) -> Result<Bytes, Fault> {
        match framing {
            Framing::Length(length) => self.sized(length, limits).await,
            Framing::Chunked => self.chunked(limits).await,
            Framing::UntilClose => self.rest(limits).await,
        }
    }

    async fn sized(&mut self, length: u64, limits: Limits) -> Result<Bytes, Fault> {
        if length > limits.body_bytes {
            return Err(Fault::BodyTooLarge);
        }
        let length = usize::try_from(length).map_err(|_| Fault::BodyTooLarge)?;
        while self.buffer.len() < length {
            self.more(limits).await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn chunked(&mut self, limits: Limits) -> Result<Bytes, Fault> {
        let mut body = BytesMut::new();
        loop {
            let size = self.chunk_size(limits).await?;
            if size == 0 {
                self.trailers(limits).await?;
                return Ok(body.freeze());
            }
            if body.len() as u64 + size > limits.body_bytes {
                return Err(Fault::BodyTooLarge);
            }
            let size = usize::try_from(size).map_err(|_| Fault::BodyTooLarge)?;
            while self.buffer.len() < size + 2 {
                self.more(limits).await?;
            }
            body.extend_from_slice(&self.buffer[..size]);
            if &self.buffer[size..size + 2] != b"\r\n" {
                return Err(Fault::Malformed("end of a chunk"));
            }
            self.buffer.advance(size + 2);
        }
    }

    async fn chunk_size(&mut self, limits: Limits) -> Result<u64, Fault> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= CHUNK_LINE_MAX => {
                    self.more(limits).await?;
                }
                _ => return Err(Fault::Malformed("size of a chunk")),
            }
        }
    }

    /// Reads trailers and drops them: no message of these services has any that matter.
    async fn trailers(&mut self, limits: Limits) -> Result<(), Fault> {
        let mut taken = 0;
        loop {
            let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
                if taken + self.buffer.len() > limits.head_bytes {
                    return Err(Fault::HeadTooLarge);
                }
                self.more(limits).await?;
                continue;
            };
            self.buffer.advance(end + 2);
            taken += end + 2;
            if end == 0 {
                return Ok(());
            }
        }
    }

    async fn rest(&mut self, limits: Limits) -> Result<Bytes, Fault> {
        while self.fill().await? > 0 {
            if self.buffer.len() as u64 > limits.body_bytes {
                return Err(Fault::BodyTooLarge);
            }
        }
        Ok(self.buffer.split().freeze())
    }

    async fn more(&mut self, limits: Limits) -> Result<(), Fault> {
        let needing = self.need();
        timeout(limits.patience, needing)
            .await
            .map_err(|_| Fault::Slow)?
    }

    async fn need(&mut self) -> Result<(), Fault> {
        match self.fill().await? {
            0 => Err(Fault::Cut),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> Result<usize, Fault> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.io.read_buf(&mut self.buffer).await?)
    }
}

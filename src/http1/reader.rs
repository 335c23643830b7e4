//! Reading of messages from one connection, with limits on size and time.

use {
    super::{
        Error, Request, Response,
        parse::{self, Framing},
    },
    bytes::{Buf, Bytes, BytesMut},
    std::time::Duration,
    tokio::{
        io::{AsyncRead, AsyncReadExt},
        time::timeout,
    },
};

/// Minimum buffer space for each read, in bytes; a response of the usual size is read in one call.
const READ_BYTES: usize = 4096;
/// Maximum buffer space for a read within a chunk, in bytes. The chunk is copied from there, so it is not held twice.
const CHUNK_READ_BYTES: usize = 64 * 1024;
/// Maximum length of the line with a chunk's size, in bytes; chunk extensions are rare and short.
const CHUNK_LINE_BYTES_MAX: usize = 256;
/// Maximum number of responses read, including interim ones, until the final one.
const RESPONSES_MAX: usize = 8;

/// Limits on messages from a peer.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum size of a body, in bytes.
    pub body_bytes: u64,
    /// The maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// The maximum time for the head of a request from its first byte on, and between reads of a body, unless that
    /// ends with the connection.
    pub read_timeout: Duration,
}

/// Receiving side of a connection.
#[derive(Debug)]
pub struct Reader<R> {
    buffer: BytesMut,
    io: R,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader with an empty buffer.
    pub fn new(io: R) -> Self {
        Self {
            buffer: BytesMut::new(),
            io,
        }
    }

    /// Returns a reference to the connection.
    pub fn get_ref(&self) -> &R {
        &self.io
    }

    /// Returns whether the buffer holds received bytes that belong to no message read so far.
    #[must_use]
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of a message. Returns `false` if the connection closes first.
    ///
    /// # Errors
    /// Returns an error if reading from the connection fails.
    pub async fn wait_message(&mut self) -> Result<bool, Error> {
        Ok(self.has_buffered() || self.fill().await? > 0)
    }

    /// Reads a request. `send_continue` is called once if the peer waits for `100 Continue` before it sends the body.
    ///
    /// # Errors
    /// Returns an error if the request is truncated or malformed or exceeds a limit, or if the connection fails.
    pub async fn read_request(
        &mut self,
        limits: Limits,
        send_continue: impl AsyncFnOnce() -> std::io::Result<()>,
    ) -> Result<Request, Error> {
        self.read_request_within(limits, |_| true, send_continue)
            .await
    }

    /// Reads a request as [`read_request`](Self::read_request) does. `reserve` is called with the size of the body, in
    /// bytes, before that much of it is read, and returns whether there is room for it.
    ///
    /// # Errors
    /// Returns [`Error::NoRoom`] if there is no room for the body, and the errors of `read_request`.
    pub async fn read_request_within(
        &mut self,
        limits: Limits,
        mut reserve: impl FnMut(u64) -> bool,
        send_continue: impl AsyncFnOnce() -> std::io::Result<()>,
    ) -> Result<Request, Error> {
        let reading = self.read_head(limits.head_bytes, parse::parse_request);
        let head = timeout(limits.read_timeout, reading)
            .await
            .map_err(|_| Error::Timeout)??;
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes
        {
            return Err(Error::BodyTooLarge);
        }
        if let Framing::Length(length) = head.framing
            && !reserve(length)
        {
            return Err(Error::NoRoom);
        }
        if super::has_token(&head.fields, "expect", "100-continue") && !self.has_buffered() {
            send_continue().await?;
        }
        let body = match head.framing {
            Framing::Length(length) => self.read_sized(length, limits).await?,
            Framing::Chunked => {
                let reserve = async |bytes| reserve(bytes);
                self.read_chunked(limits, reserve).await?
            }
            // A request never ends with its connection.
            Framing::UntilClose => Bytes::new(),
        };
        Ok(Request {
            body,
            close: head.close,
            fields: head.fields,
            method: head.method,
            target: head.target,
        })
    }

    /// Reads a final response and skips interim ones. `is_head_request` states whether the request had the method
    /// `HEAD`. The time for the head is not limited here.
    ///
    /// # Errors
    /// Returns an error if the response is truncated or malformed or exceeds a limit, or if the connection fails.
    pub async fn read_response(
        &mut self,
        limits: Limits,
        is_head_request: bool,
    ) -> Result<Response, Error> {
        self.read_response_within(limits, is_head_request, async |_| true)
            .await
    }

    /// Reads a final response as [`read_response`](Self::read_response) does. `reserve` is called with the size of the
    /// body as far as it is known, in bytes, before that much of it is read. Nothing is read until it returns whether
    /// there is room for it.
    ///
    /// # Errors
    /// Returns [`Error::NoRoom`] if there is no room for the body, and the errors of `read_response`.
    pub async fn read_response_within(
        &mut self,
        limits: Limits,
        is_head_request: bool,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Response, Error> {
        for _ in 0..RESPONSES_MAX {
            let head = self
                .read_head(limits.head_bytes, |bytes| {
                    parse::parse_response(bytes, is_head_request)
                })
                .await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let body = match head.framing {
                Framing::Length(length) => {
                    if length > limits.body_bytes {
                        return Err(Error::BodyTooLarge);
                    }
                    if !reserve(length).await {
                        return Err(Error::NoRoom);
                    }
                    self.read_sized(length, limits).await?
                }
                Framing::Chunked => self.read_chunked(limits, reserve).await?,
                Framing::UntilClose => self.read_until_close(limits, reserve).await?,
            };
            return Ok(Response {
                body,
                close: head.close,
                fields: head.fields,
                status: head.status,
            });
        }
        Err(Error::Malformed("too many interim responses"))
    }

    /// Discards all bytes until the connection ends or fails. Returns whether it did so within `time_limit`.
    pub async fn discard_until_close(&mut self, time_limit: Duration) -> bool {
        let ending = async {
            loop {
                self.buffer.clear();
                if !matches!(self.fill().await, Ok(1..)) {
                    return;
                }
            }
        };
        timeout(time_limit, ending).await.is_ok()
    }

    async fn read_head<T>(
        &mut self,
        bytes_max: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Error>,
    ) -> Result<T, Error> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, length)) = parse(&self.buffer)?
            {
                if length > bytes_max {
                    return Err(Error::HeadTooLarge);
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > bytes_max {
                return Err(Error::HeadTooLarge);
            }
            self.read_more().await?;
        }
    }

    async fn read_sized(&mut self, length: u64, limits: Limits) -> Result<Bytes, Error> {
        if length > limits.body_bytes {
            return Err(Error::BodyTooLarge);
        }
        let length = usize::try_from(length).map_err(|_| Error::BodyTooLarge)?;
        if length > self.buffer.len() {
            // Growing step by step would reserve up to twice the length.
            let missing = length - self.buffer.len();
            self.buffer.reserve(missing + READ_BYTES);
        }
        while self.buffer.len() < length {
            self.read_more_timed(limits).await?;
        }
        let body = self.buffer.split_to(length).freeze();
        if length > READ_BYTES && self.buffer.is_empty() {
            // The empty buffer would keep the memory of the body.
            self.buffer = BytesMut::new();
        }
        Ok(body)
    }

    async fn read_chunked(
        &mut self,
        limits: Limits,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        loop {
            let size = self.read_chunk_size(limits).await?;
            if size == 0 {
                self.discard_trailers(limits).await?;
                return Ok(body.freeze());
            }
            let body_bytes = size.saturating_add(body.len() as u64);
            if body_bytes > limits.body_bytes {
                return Err(Error::BodyTooLarge);
            }
            if !reserve(body_bytes).await {
                return Err(Error::NoRoom);
            }
            let mut missing = usize::try_from(size).map_err(|_| Error::BodyTooLarge)?;
            while missing > 0 {
                if self.buffer.is_empty() {
                    self.buffer.reserve(missing.min(CHUNK_READ_BYTES));
                    self.read_more_timed(limits).await?;
                }
                let part = missing.min(self.buffer.len());
                body.extend_from_slice(&self.buffer[..part]);
                self.buffer.advance(part);
                missing -= part;
            }
            while self.buffer.len() < 2 {
                self.read_more_timed(limits).await?;
            }
            if &self.buffer[..2] != b"\r\n" {
                return Err(Error::Malformed("end of a chunk"));
            }
            self.buffer.advance(2);
        }
    }

    async fn read_chunk_size(&mut self, limits: Limits) -> Result<u64, Error> {
        loop {
            // The parser takes a line without digits for the last chunk.
            if self
                .buffer
                .first()
                .is_some_and(|byte| !byte.is_ascii_hexdigit())
            {
                return Err(Error::Malformed("size of a chunk"));
            }
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= CHUNK_LINE_BYTES_MAX => {
                    self.read_more_timed(limits).await?;
                }
                _ => return Err(Error::Malformed("size of a chunk")),
            }
        }
    }

    /// Reads and discards the trailers, as no message of the platform's services has any that matter.
    async fn discard_trailers(&mut self, limits: Limits) -> Result<(), Error> {
        let mut discarded = 0;
        loop {
            let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
                if discarded + self.buffer.len() > limits.head_bytes {
                    return Err(Error::HeadTooLarge);
                }
                self.read_more_timed(limits).await?;
                continue;
            };
            self.buffer.advance(end + 2);
            discarded += end + 2;
            if end == 0 {
                return Ok(());
            }
        }
    }

    async fn read_until_close(
        &mut self,
        limits: Limits,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Bytes, Error> {
        loop {
            let body_bytes = self.buffer.len() as u64;
            if body_bytes > limits.body_bytes {
                return Err(Error::BodyTooLarge);
            }
            if !reserve(body_bytes).await {
                return Err(Error::NoRoom);
            }
            if self.fill().await? == 0 {
                return Ok(std::mem::take(&mut self.buffer).freeze());
            }
        }
    }

    async fn read_more_timed(&mut self, limits: Limits) -> Result<(), Error> {
        let reading = self.read_more();
        timeout(limits.read_timeout, reading)
            .await
            .map_err(|_| Error::Timeout)?
    }

    async fn read_more(&mut self) -> Result<(), Error> {
        match self.fill().await? {
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.io.read_buf(&mut self.buffer).await?)
    }
}

//! Reading of messages from one connection, with limits on size and time.

use {
    super::{
        Body, Error, Limits, Request, Response,
        body::{Builder, Layout},
        parse::{self, Framing, RequestHead},
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
/// Maximum length of the line with a chunk's size, in bytes; chunk extensions are rare and short.
const CHUNK_LINE_BYTES_MAX: usize = 256;
/// Maximum number of responses read, including interim ones, until the final one.
const RESPONSES_MAX: usize = 8;

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
        let head = self.read_request_head(limits, async |_| true).await?;
        let reserve = async |_| true;
        let body = self
            .read_request_body(&head, limits, reserve, send_continue)
            .await?;
        Ok(head.into_request(body))
    }

    /// Reads the head of a request. `reserve` is called with the size of the head as far as it has arrived, in bytes,
    /// before more of a long one is read, and returns whether there is room for it.
    ///
    /// # Errors
    /// Returns an error if the head is truncated or malformed or exceeds a limit, if there is no room for it, or if the
    /// connection fails.
    pub async fn read_request_head(
        &mut self,
        limits: Limits,
        reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<RequestHead, Error> {
        let reading = self.read_head(limits.head_bytes, parse::parse_request, reserve);
        timeout(limits.read_timeout, reading)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Reads the body of the request whose head was read last. `reserve` is called with the size of the body in memory, in
    /// bytes, before that much of it is read, and returns whether there is room for it. It is not asked for what is only
    /// announced. `send_continue` is called once if the peer waits for `100 Continue` before it sends the body.
    ///
    /// # Errors
    /// Returns [`Error::NoRoom`] if there is no room for the body, and otherwise an error if it is truncated or malformed
    /// or exceeds a limit, or if the connection fails.
    pub async fn read_request_body(
        &mut self,
        head: &RequestHead,
        limits: Limits,
        reserve: impl AsyncFnMut(u64) -> bool,
        send_continue: impl AsyncFnOnce() -> std::io::Result<()>,
    ) -> Result<Body, Error> {
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes
        {
            return Err(Error::BodyTooLarge);
        }
        if super::has_token(&head.fields, "expect", "100-continue") && !self.has_buffered() {
            send_continue().await?;
        }
        match head.framing {
            Framing::Length(length) => {
                self.read_sized(length, limits, Layout::Segmented, reserve)
                    .await
            }
            Framing::Chunked => self.read_chunked(limits, Layout::Segmented, reserve).await,
            // A request never ends with its connection.
            Framing::UntilClose => Ok(Body::default()),
        }
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
        reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Response, Error> {
        for _ in 0..RESPONSES_MAX {
            let head = self
                .read_head(
                    limits.head_bytes,
                    |bytes| parse::parse_response(bytes, is_head_request),
                    async |_| true,
                )
                .await?;
            if (100..200).contains(&head.status) {
                continue;
            }
            let layout = Layout::Contiguous;
            let body = match head.framing {
                Framing::Length(length) if length > limits.body_bytes => {
                    return Err(Error::BodyTooLarge);
                }
                Framing::Length(length) => self.read_sized(length, limits, layout, reserve).await?,
                Framing::Chunked => self.read_chunked(limits, layout, reserve).await?,
                Framing::UntilClose => self.read_until_close(limits, reserve).await?.into(),
            };
            return Ok(Response {
                body: body.to_bytes(),
                close: head.close,
                fields: head.fields,
                status: head.status,
            });
        }
        Err(Error::Malformed("too many interim responses"))
    }

    /// Discards what arrives until the connection ends or fails, and gives back the memory of what was received. Returns
    /// whether the connection ended within `time_limit` and before more than `bytes_max` had been discarded: a peer that
    /// sends on would otherwise take processor time for as long as it likes.
    pub async fn discard_until_close(&mut self, time_limit: Duration, bytes_max: usize) -> bool {
        self.buffer = BytesMut::new();
        let ending = async {
            let mut discarded = 0;
            while discarded <= bytes_max {
                self.buffer.clear();
                match self.fill().await {
                    Ok(bytes @ 1..) => discarded += bytes,
                    _ => return true,
                }
            }
            false
        };
        timeout(time_limit, ending).await.unwrap_or(false)
    }

    async fn read_head<T>(
        &mut self,
        bytes_max: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Error>,
        mut reserve: impl AsyncFnMut(u64) -> bool,
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
            let head_bytes = self.buffer.len() as u64;
            if head_bytes > READ_BYTES as u64 && !reserve(head_bytes).await {
                return Err(Error::NoRoom(head_bytes));
            }
            self.read_more().await?;
        }
    }

    async fn read_sized(
        &mut self,
        length: u64,
        limits: Limits,
        layout: Layout,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Body, Error> {
        let length = usize::try_from(length).map_err(|_| Error::BodyTooLarge)?;
        if length <= self.buffer.len() {
            if !reserve(length as u64).await {
                return Err(Error::NoRoom(length as u64));
            }
            return Ok(self.buffer.split_to(length).freeze().into());
        }
        let mut body = Builder::new(layout);
        self.receive(&mut body, length, limits, &mut reserve)
            .await?;
        Ok(body.finish())
    }

    /// Receives the next `missing` bytes of a body. The first ones may be in the buffer; the others are read to their place
    /// in the body.
    async fn receive(
        &mut self,
        body: &mut Builder,
        mut missing: usize,
        limits: Limits,
        reserve: &mut impl AsyncFnMut(u64) -> bool,
    ) -> Result<(), Error> {
        while missing > 0 {
            if let Some(capacity) = body.next_capacity(missing) {
                if !reserve(capacity as u64).await {
                    return Err(Error::NoRoom(capacity as u64));
                }
                body.grow(missing);
            }
            let received = if !self.buffer.is_empty() {
                let taken = body.put(&self.buffer[..missing.min(self.buffer.len())]);
                self.buffer.advance(taken);
                taken
            } else if missing < READ_BYTES {
                // What follows is read by the same call.
                self.read_more_timed(limits).await?;
                0
            } else {
                let mut space = body.space(missing);
                let reading = self.io.read_buf(&mut space);
                let read = timeout(limits.read_timeout, reading).await;
                match read.map_err(|_| Error::Timeout)?? {
                    0 => return Err(Error::Truncated),
                    received => received,
                }
            };
            missing -= received;
        }
        Ok(())
    }

    async fn read_chunked(
        &mut self,
        limits: Limits,
        layout: Layout,
        mut reserve: impl AsyncFnMut(u64) -> bool,
    ) -> Result<Body, Error> {
        let mut body = Builder::new(layout);
        loop {
            let size = self.read_chunk_size(limits).await?;
            if size == 0 {
                self.discard_trailers(limits).await?;
                return Ok(body.finish());
            }
            if size.saturating_add(body.len() as u64) > limits.body_bytes {
                return Err(Error::BodyTooLarge);
            }
            let size = usize::try_from(size).map_err(|_| Error::BodyTooLarge)?;
            self.receive(&mut body, size, limits, &mut reserve).await?;
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
                return Err(Error::NoRoom(body_bytes));
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

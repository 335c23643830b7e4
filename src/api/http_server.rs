//! An HTTP server on one port, and the replies and bodies that the APIs on it share.

use {
    crate::{
        error::{Error, Result},
        validate::Fault,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    socket2::SockRef,
    std::{
        io::{Cursor, Read},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
    tiny_http::{Header, Request, Response, Server},
};

/// Maximum length of a request body, in bytes.
pub const BODY_BYTES_MAX: u64 = 1024 * 1024;
const THREAD_COUNT: usize = 4;

/// An HTTP response whose body is in memory.
pub(crate) type Reply = Response<Cursor<Vec<u8>>>;

/// A running HTTP server.
pub struct HttpServer {
    /// Address on which requests are accepted.
    pub address: SocketAddr,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
}

impl HttpServer {
    /// Binds `address` and answers each request with the reply that `serve` returns.
    pub(crate) fn serve(
        address: SocketAddr,
        serve: impl Fn(&mut Request) -> Reply + Clone + Send + 'static,
    ) -> Result<Self> {
        Self::spawn(address, Arc::default(), move |mut request| {
            let reply = serve(&mut request);
            // An error means that the client has disconnected, so there is nobody to answer.
            let _ = request.respond(reply);
        })
    }

    /// Binds `address` and passes each request to `handle` on one of the server's threads.
    /// `stopping` is set when the server stops, which ends the watches that it serves.
    pub(super) fn spawn(
        address: SocketAddr,
        stopping: Arc<AtomicBool>,
        handle: impl Fn(Request) + Clone + Send + 'static,
    ) -> Result<Self> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).map_err(bind_error)?;
        SockRef::from(&listener)
            .set_tcp_nodelay(true)
            .map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| bind_error(std::io::Error::other(error)))?;
        let server = Arc::new(server);
        for _ in 0..THREAD_COUNT {
            let server = server.clone();
            let handle = handle.clone();
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    handle(request);
                }
            });
        }
        Ok(Self {
            address,
            server,
            stopping,
        })
    }

    /// Stops accepting requests and ends the watches.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        for _ in 0..THREAD_COUNT {
            self.server.unblock();
        }
    }
}

pub(crate) fn reply(status: u16, body: &Value) -> Reply {
    let content_type = if status < 400 {
        "application/json"
    } else {
        "application/problem+json"
    };
    let reply = Response::from_string(format!("{body}\n")).with_status_code(status);
    match Header::from_bytes("content-type", content_type) {
        Ok(header) => reply.with_header(header),
        Err(()) => reply,
    }
}

pub(crate) fn problem(status: u16, title: &str, faults: &[Fault]) -> Reply {
    reply(
        status,
        &json!({ "status": status, "title": title, "faults": faults }),
    )
}

/// Returns the body of a request as text.
///
/// # Errors
/// Returns 413 if the body is longer than [`BODY_BYTES_MAX`], and 400 if it is truncated or not UTF-8.
pub(super) fn body_text(request: &mut Request) -> Result<String, Reply> {
    let too_large = || {
        problem(
            413,
            &format!("the body is longer than {BODY_BYTES_MAX} bytes"),
            &[],
        )
    };
    let content_length = request.body_length().unwrap_or_default();
    if content_length as u64 > BODY_BYTES_MAX {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    request
        .as_reader()
        .take(BODY_BYTES_MAX + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| problem(400, &format!("the body could not be read: {error}"), &[]))?;
    if bytes.len() as u64 > BODY_BYTES_MAX {
        return Err(too_large());
    }
    if bytes.len() < content_length {
        return Err(problem(
            400,
            "the body is shorter than its content-length",
            &[],
        ));
    }
    String::from_utf8(bytes).map_err(|_| problem(400, "the body is not UTF-8", &[]))
}

pub(crate) fn parse_body<T: for<'de> Deserialize<'de>>(request: &mut Request) -> Result<T, Reply> {
    serde_json::from_str(&body_text(request)?)
        .map_err(|error| problem(400, &format!("the body is malformed: {error}"), &[]))
}

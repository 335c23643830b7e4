//! HTTP/1.1 server for the callers on this host.
//!
//! Pipelined requests run concurrently and are answered in the order in which they were sent. When a caller closes
//! its connection, its unanswered requests are aborted.

mod handler;

use {
    super::{authentication::Origin, body_budget::Reservation, document::Limits, node::Core},
    crate::http1::{self, Error, Reader, Request},
    bytes::Bytes,
    handler::{error_response, handle},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
};

/// Maximum number of requests in flight on one connection.
const PIPELINE_MAX: usize = 16;

/// Time for which the rest of a rejected request is discarded, so that its caller can read the response.
const REJECTED_LINGER: Duration = Duration::from_secs(2);

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

struct Connection {
    /// Whether the caller is on the same host, as the calls of this host's upstream are.
    from_own_host: bool,
    /// Whether a response that closes the connection is being written; requests read after that are ignored.
    closing: Cell<bool>,
    /// Number of requests that were read.
    request_count: Cell<u64>,
}

impl Connection {
    /// Returns who may have sent a request that was just read.
    fn origin(&self, core: &Core) -> Origin {
        if self.from_own_host && core.local_upstream.runs_request() {
            Origin::RunningUpstream
        } else {
            Origin::Caller
        }
    }
}

/// Output to a caller, queued in the order of writing.
enum Item {
    /// The response to a request, as soon as it is available.
    Response(oneshot::Receiver<EncodedResponse>, RequestGuard),
    /// An interim response that asks the caller to send the body.
    Continue,
}

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

struct EncodedResponse {
    bytes: Bytes,
    close: bool,
}

/// Guard that counts a request as in flight at this node until it is dropped.
struct RequestGuard(Rc<Core>);

impl RequestGuard {
    fn new(core: &Rc<Core>) -> Self {
        core.active_requests.set(core.active_requests.get() + 1);
        Self(core.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Accepts connections from callers and serves each in a task of its own. Never returns.
pub(super) async fn accept_connections(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if stream.set_nodelay(true).is_ok() => {
                tokio::task::spawn_local(serve_connection(core.clone(), stream));
            }
            Ok(_) => {}
            Err(error) => {
                let now = core.now();
                core.log.record(
                    now,
                    "accept",
                    format_args!("outcome=failed edge=callers cause=\"{error}\""),
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(core: Rc<Core>, stream: TcpStream) {
    let from_own_host = is_from_own_host(&core, &stream);
    let (reader, writer) = stream.into_split();
    let connection = Rc::new(Connection {
        closing: Cell::new(false),
        from_own_host,
        request_count: Cell::new(0),
    });
    let (responses, items) = mpsc::channel(PIPELINE_MAX);
    let writing = tokio::task::spawn_local(write_responses(
        core.clone(),
        connection.clone(),
        writer,
        items,
    ));
    let mut running = JoinSet::new();
    let reading = read_requests(
        &core,
        &connection,
        Reader::new(reader),
        &responses,
        &mut running,
    );
    let caller_gone = reading.await;
    if caller_gone {
        // The caller no longer waits for any response.
        running.abort_all();
        writing.abort();
        return;
    }
    drop(responses);
    // Running requests finish on their own; the writer ends after the last response.
    running.detach_all();
    let _ = writing.await;
}

/// Returns whether a connection comes from the host of this node: from a loopback address, from the address at which it
/// was accepted, or from that of the upstream.
fn is_from_own_host(core: &Core, stream: &TcpStream) -> bool {
    let Ok(peer) = stream.peer_addr() else {
        return false;
    };
    let peer = peer.ip().to_canonical();
    let accepted_at = stream.local_addr().map(|local| local.ip().to_canonical());
    let upstream = core.settings.borrow().upstream.ip().to_canonical();
    peer.is_loopback() || accepted_at.is_ok_and(|local| local == peer) || upstream == peer
}

/// Reads and starts requests until no more are to be read. Returns whether the caller has closed the connection, so
/// that its unanswered requests can be aborted.
async fn read_requests(
    core: &Rc<Core>,
    connection: &Rc<Connection>,
    mut reader: Reader<OwnedReadHalf>,
    responses: &mpsc::Sender<Item>,
    running: &mut JoinSet<()>,
) -> bool {
    loop {
        let limits = core.document.borrow().limits;
        let begun = tokio::time::timeout(limits.idle_timeout, reader.wait_message()).await;
        match begun {
            Ok(Ok(true)) => {}
            Ok(_) => return true,
            Err(_) if core.active_requests.get() > 0 => continue,
            Err(_) => return false,
        }
        while running.try_join_next().is_some() {}
        let arrived = core.now();
        let mut room = core.body_budget.open();
        let read = read_request(&mut reader, limits, &mut room, responses).await;
        if connection.closing.get() {
            // The connection closes with an earlier response, so this request is ignored.
            return reader.discard_until_close(limits.idle_timeout).await;
        }
        let guard = RequestGuard::new(core);
        connection
            .request_count
            .set(connection.request_count.get() + 1);
        let (sender, response) = oneshot::channel();
        if responses
            .send(Item::Response(response, guard))
            .await
            .is_err()
        {
            return true;
        }
        match read {
            Ok(request) => {
                let last = request.close;
                let origin = connection.origin(core);
                let core = core.clone();
                running.spawn_local(async move {
                    let encoded = handle(&core, request, arrived, origin).await;
                    drop(room);
                    // The writer has ended if the caller has gone.
                    let _ = sender.send(encoded);
                });
                if last {
                    return reader.discard_until_close(limits.idle_timeout).await;
                }
            }
            Err(error) => {
                let Some(encoded) = error_response(core, &error) else {
                    return true;
                };
                // The writer has ended if the caller has gone.
                let _ = sender.send(encoded);
                // A connection that is closed with unread bytes is reset, and the response with it.
                return reader.discard_until_close(REJECTED_LINGER).await;
            }
        }
    }
}

async fn read_request(
    reader: &mut Reader<OwnedReadHalf>,
    limits: Limits,
    room: &mut Reservation,
    responses: &mpsc::Sender<Item>,
) -> Result<Request, Error> {
    let limits = http1::Limits {
        body_bytes: limits.body_bytes,
        head_bytes: limits.head_bytes as usize,
        read_timeout: limits.head_timeout,
    };
    let send_continue = async || {
        let broken_pipe = |_| std::io::ErrorKind::BrokenPipe.into();
        responses.send(Item::Continue).await.map_err(broken_pipe)
    };
    let reserve = |body_bytes| room.try_grow(body_bytes);
    reader
        .read_request_within(limits, reserve, send_continue)
        .await
}

async fn write_responses(
    core: Rc<Core>,
    connection: Rc<Connection>,
    mut writer: OwnedWriteHalf,
    mut items: mpsc::Receiver<Item>,
) {
    let mut response_count = 0;
    while let Some(item) = items.recv().await {
        let Item::Response(response, guard) = item else {
            if writer.write_all(CONTINUE_RESPONSE).await.is_err() {
                return;
            }
            continue;
        };
        let Ok(encoded) = response.await else {
            return;
        };
        response_count += 1;
        let last = connection.request_count.get() == response_count;
        let stopping = core.stopping.get().is_some();
        let mut bytes = encoded.bytes;
        let close = encoded.close || (stopping && last);
        if close {
            connection.closing.set(true);
            bytes = with_connection_close(&bytes);
        }
        let written = writer.write_all(&bytes).await;
        drop(guard);
        if written.is_err() || close {
            // The connection ends even if the shutdown fails.
            let _ = writer.shutdown().await;
            return;
        }
    }
}

/// Returns an encoded response with a `Connection: close` header added.
fn with_connection_close(bytes: &[u8]) -> Bytes {
    let head = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let Some(head) = head else {
        return Bytes::copy_from_slice(bytes);
    };
    let mut changed = Vec::with_capacity(bytes.len() + 32);
    changed.extend_from_slice(&bytes[..head]);
    changed.extend_from_slice(b"\r\nConnection: close");
    changed.extend_from_slice(&bytes[head..]);
    changed.into()
}

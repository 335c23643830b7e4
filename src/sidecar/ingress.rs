//! HTTP/1.1 server for the callers on this host.
//!
//! The number of connections is bounded, and a connection is closed when it has been idle for too long, when its caller
//! reads too slowly, or when its memory or its place is needed (see [`connections`](super::connections)).
//!
//! Pipelined requests run concurrently and are answered in the order in which they were sent. When a caller closes
//! its connection, its unanswered requests are aborted.

mod handler;
mod reading;
mod writer;

use {
    super::{
        answer_budget::Share, answer_room, authentication::Origin, connection_set::OpenConnection,
        connections::CloseReason, node::Core,
    },
    crate::{http1::Reader, types::Moment},
    bytes::Bytes,
    handler::{error_response, handle},
    reading::Reading,
    socket2::SockRef,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
};

/// Maximum number of requests in flight on one connection.
const PIPELINE_MAX: usize = 16;

/// Time for which the rest of a rejected request is discarded, so that its caller can read the response.
const REJECTED_LINGER: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are discarded then, or behind a request that is the last one of its connection: what a
/// caller may have sent before it reads the response. One that sends more does not read it, and is reset.
const DISCARDED_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that the system buffers of an answer to a caller; it doubles the number for its own use. On loopback it would
/// buffer about 2.5 MB for each caller that does not read, and its memory is the host's as well.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

struct Connection {
    /// Whether the caller is on the same host, as the calls of this host's upstream are.
    from_own_host: bool,
    open: OpenConnection,
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

/// Response to a caller. The body counts as held until it is dropped, and `_share` counts the head.
struct EncodedResponse {
    body: Bytes,
    close: bool,
    head: Bytes,
    _share: Share,
}

/// Guard that counts a request as in flight at this node, and on its connection, until it is dropped.
struct RequestGuard {
    connection: Rc<Connection>,
    core: Rc<Core>,
}

impl RequestGuard {
    fn new(core: &Rc<Core>, connection: &Rc<Connection>) -> Self {
        core.active_requests.set(core.active_requests.get() + 1);
        connection.open.begin();
        Self {
            connection: connection.clone(),
            core: core.clone(),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let active = &self.core.active_requests;
        active.set(active.get() - 1);
        self.connection.open.finish(self.core.now());
    }
}

/// Accepts connections from callers and serves each in a task of its own. Never returns.
pub(super) async fn accept_connections(core: Rc<Core>, listener: TcpListener) {
    // Connections inherit the size. What the system has received and the node has not read is the host's memory as well.
    let receive_buffer_bytes = core.settings.borrow().receive_buffer_bytes();
    let _ = SockRef::from(&listener).set_recv_buffer_size(receive_buffer_bytes);
    loop {
        match listener.accept().await {
            Ok((stream, _)) if stream.set_nodelay(true).is_ok() => {
                // With a larger buffer, slow readers are noticed later.
                let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
                let receive_timeout = core.document.borrow().limits.head_timeout;
                let (open, reason) = core.callers.admit(core.now(), receive_timeout);
                if let Some(open) = open {
                    tokio::task::spawn_local(serve_connection(core.clone(), stream, open));
                }
                if let Some(reason) = reason {
                    core.record_closed("callers", reason, 1);
                    // Connections are closed by their own tasks.
                    tokio::task::yield_now().await;
                }
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

/// Closes the connections of callers that read too slowly, and updates the gauges.
pub(super) fn tick(core: &Core, now: Moment) {
    for reason in core.callers.tick(now) {
        core.record_closed("callers", reason, 1);
    }
    core.update_held_metrics();
}

async fn serve_connection(core: Rc<Core>, stream: TcpStream, open: OpenConnection) {
    let from_own_host = is_from_own_host(&core, &stream);
    let (reader, writer) = stream.into_split();
    let connection = Rc::new(Connection {
        open,
        closing: Cell::new(false),
        from_own_host,
        request_count: Cell::new(0),
    });
    let (responses, items) = mpsc::channel(PIPELINE_MAX);
    let writing =
        tokio::task::spawn_local(writer::run(core.clone(), connection.clone(), writer, items));
    let mut running = JoinSet::new();
    let reading = read_requests(
        &core,
        &connection,
        Reader::new(reader),
        &responses,
        &mut running,
    );
    let ended = tokio::select! {
        biased;
        () = connection.open.closed() => None,
        caller_gone = reading => Some(caller_gone),
    };
    match ended {
        Some(false) => {}
        Some(true) => {
            // The caller no longer waits for any response.
            running.abort_all();
            writing.abort();
            return;
        }
        None => {
            // The writer resets the connection.
            running.abort_all();
            return;
        }
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
        let idle_left = connection.open.idle_left(core.now(), limits.idle_timeout);
        let begun = tokio::time::timeout(idle_left, reader.wait_message()).await;
        match begun {
            Ok(Ok(true)) => {}
            Ok(_) => return true,
            Err(_) => {
                let idle_left = connection.open.idle_left(core.now(), limits.idle_timeout);
                if !idle_left.is_zero() {
                    continue;
                }
                core.record_closed("callers", CloseReason::Idle, 1);
                return false;
            }
        }
        while running.try_join_next().is_some() {}
        let arrived = core.now();
        connection.open.receive(arrived);
        let mut room = core.body_budget.open();
        let read = Reading {
            arrived,
            connection,
            core,
            limits,
            responses,
            room: &mut room,
        }
        .read(&mut reader)
        .await;
        if connection.closing.get() {
            // The connection closes with an earlier response, so this request is ignored.
            drop((read, room));
            return reader
                .discard_until_close(limits.idle_timeout, DISCARDED_BYTES_MAX)
                .await;
        }
        let guard = RequestGuard::new(core, connection);
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
            Ok(mut request) => {
                let last = request.close;
                request.body = room.attach(request.body);
                let origin = connection.origin(core);
                let (core, connection) = (core.clone(), connection.clone());
                running.spawn_local(async move {
                    let encoded = handle(&core, request, arrived, origin).await;
                    connection
                        .open
                        .hold(encoded.head.len() + encoded.body.len());
                    answer_room::relieve_excess(&core);
                    // The writer has ended if the caller has gone.
                    let _ = sender.send(encoded);
                });
                if last {
                    return reader
                        .discard_until_close(limits.idle_timeout, DISCARDED_BYTES_MAX)
                        .await;
                }
            }
            Err(error) => {
                let Some(encoded) = error_response(core, &error) else {
                    return true;
                };
                // The writer has ended if the caller has gone.
                let _ = sender.send(encoded);
                drop(room);
                // A connection that is closed with unread bytes is reset, and the response with it.
                return reader
                    .discard_until_close(REJECTED_LINGER, DISCARDED_BYTES_MAX)
                    .await;
            }
        }
    }
}

//! Where the requests of this host's callers come in. Requests that were sent behind each other run at the
//! same time and are answered in their order. A connection that its caller closes takes all of its unanswered
//! requests with it.

mod answer;

use {
    super::{document::Limits, node::Core},
    crate::http1::{self, Fault, Reader, Request},
    answer::{rejection, take},
    bytes::Bytes,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
};

/// How many requests of one connection may be under way.
const PIPELINE_MAX: usize = 16;

/// How long to wait after the port could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

struct Connection {
    /// The answer to the last request that is taken closes the connection.
    closing: Cell<bool>,
    /// How many requests were taken.
    taken: Cell<u64>,
}

/// What is written to a caller, in order.
enum Item {
    /// The answer to a request, once it is there.
    Answer(oneshot::Receiver<Encoded>, Seat),
    /// Leave to send a body.
    Continue,
}

const PROCEED: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

struct Encoded {
    bytes: Bytes,
    close: bool,
}

/// A request on its way through the node.
struct Seat(Rc<Core>);

impl Seat {
    fn take(core: &Rc<Core>) -> Self {
        core.active_requests.set(core.active_requests.get() + 1);
        Self(core.clone())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Takes callers' connections.
pub(super) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if stream.set_nodelay(true).is_ok() => {
                tokio::task::spawn_local(serve(core.clone(), stream));
            }
            Ok(_) => {}
            Err(error) => {
                let now = core.now();
                core.log.line(
                    now,
                    "accept",
                    format_args!("outcome=failed edge=callers cause=\"{error}\""),
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(core: Rc<Core>, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let connection = Rc::new(Connection {
        closing: Cell::new(false),
        taken: Cell::new(0),
    });
    let (answers, queue) = mpsc::channel(PIPELINE_MAX);
    let writing = tokio::task::spawn_local(write(core.clone(), connection.clone(), writer, queue));
    let mut running = JoinSet::new();
    let reading = read(
        &core,
        &connection,
        Reader::new(reader),
        &answers,
        &mut running,
    );
    let gone = reading.await;
    if gone {
        // The caller waits for nothing any more.
        running.abort_all();
        writing.abort();
        return;
    }
    drop(answers);
    // Requests that run end by themselves; the writer ends after the last answer.
    running.detach_all();
    let _ = writing.await;
}

/// Reads requests until the connection ends; tells whether the caller has gone.
async fn read(
    core: &Rc<Core>,
    connection: &Rc<Connection>,
    mut reader: Reader<OwnedReadHalf>,
    answers: &mpsc::Sender<Item>,
    running: &mut JoinSet<()>,
) -> bool {
    loop {
        let limits = core.document.borrow().limits;
        let begun = tokio::time::timeout(limits.idle_timeout, reader.begun()).await;
        match begun {
            Ok(Ok(true)) => {}
            Ok(_) => return true,
            Err(_) if core.active_requests.get() > 0 => continue,
            Err(_) => return false,
        }
        while running.try_join_next().is_some() {}
        let arrived = core.now();
        let read = request(&mut reader, limits, answers).await;
        if connection.closing.get() {
            // It was sent behind an answer that closes the connection, and counts as not read.
            return reader.ended(limits.idle_timeout).await;
        }
        let seat = Seat::take(core);
        connection.taken.set(connection.taken.get() + 1);
        let (done, answer) = oneshot::channel();
        if answers.send(Item::Answer(answer, seat)).await.is_err() {
            return true;
        }
        match read {
            Ok(request) => {
                let last = request.close;
                let core = core.clone();
                running.spawn_local(async move {
                    let encoded = take(&core, request, arrived).await;
                    // The writer is gone if the caller is.
                    let _ = done.send(encoded);
                });
                if last {
                    return reader.ended(limits.idle_timeout).await;
                }
            }
            Err(fault) => {
                let Some(encoded) = rejection(core, &fault) else {
                    return true;
                };
                // The writer is gone if the caller is.
                let _ = done.send(encoded);
                return false;
            }
        }
    }
}

async fn request(
    reader: &mut Reader<OwnedReadHalf>,
    limits: Limits,
    answers: &mpsc::Sender<Item>,
) -> Result<Request, Fault> {
    let limits = http1::Limits {
        body_bytes: limits.body_bytes,
        head_bytes: limits.head_bytes as usize,
        patience: limits.head_timeout,
    };
    let proceed = async || {
        let gone = |_| std::io::ErrorKind::BrokenPipe.into();
        answers.send(Item::Continue).await.map_err(gone)
    };
    reader.request(limits, proceed).await
}

async fn write(
    core: Rc<Core>,
    connection: Rc<Connection>,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Item>,
) {
    let mut answered = 0;
    while let Some(item) = queue.recv().await {
        let Item::Answer(answer, seat) = item else {
            if writer.write_all(PROCEED).await.is_err() {
                return;
            }
            continue;
        };
        let Ok(encoded) = answer.await else {
            return;
        };
        answered += 1;
        let last = connection.taken.get() == answered;
        let stopping = core.stopping.get().is_some();
        let mut bytes = encoded.bytes;
        let close = encoded.close || (stopping && last);
        if close {
            connection.closing.set(true);
            bytes = closing(&bytes);
        }
        let written = writer.write_all(&bytes).await;
        drop(seat);
        if written.is_err() || close {
            // The connection ends either way.
            let _ = writer.shutdown().await;
            return;
        }
    }
}

/// Adds to an encoded answer that it closes the connection.
fn closing(bytes: &[u8]) -> Bytes {
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

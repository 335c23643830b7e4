//! Where the requests of this host's callers come in. Requests that were sent behind each other run at the
//! same time and are answered in their order. A connection that its caller closes takes all of its unanswered
//! requests with it.

use {
    super::{
        document::Limits,
        forward::{self, Call, Reply, Trail},
        node::Core,
    },
    crate::{
        http1::{self, Fault, Field, Reader, Request},
        refusal::Reason,
        traffic::quarantine::Fingerprint,
        world::Moment,
    },
    bytes::Bytes,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How many requests of one connection may be under way.
const PIPELINE_MAX: usize = 16;
/// How long to wait after the port could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The time that a request may take if neither its sender nor its route says so.
const TIMEOUT: Duration = Duration::from_secs(30);
/// When a caller without a configuration here may come back.
const CONFIGURED_IN: Duration = Duration::from_millis(500);

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
        core.callers.set(core.callers.get() + 1);
        Self(core.clone())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
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
            Err(_) if core.callers.get() > 0 => continue,
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

fn rejection(core: &Core, fault: &Fault) -> Option<Encoded> {
    let status = match fault {
        Fault::Cut | Fault::Io(_) => return None,
        Fault::Malformed(_) => 400,
        Fault::Slow => 408,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    };
    let now = core.now();
    core.log.line(
        now,
        "reject",
        format_args!("status={status} cause=\"{fault}\""),
    );
    core.metrics
        .outcome("", "rejected", &status.to_string(), Duration::ZERO);
    Some(Encoded {
        bytes: http1::response(status, &[], b"", false),
        close: true,
    })
}

async fn take(core: &Rc<Core>, request: Request, arrived: Moment) -> Encoded {
    let close = request.close;
    let id = http1::text(&request.fields, core.words.id).map(String::from);
    let mut trail = Trail::default();
    let admitted = admit(core, request, arrived);
    let told = match &admitted {
        Ok(call) => {
            let reply = forward::send(core, call, &mut trail).await;
            if let Reply::Refused(_, after) = reply {
                let mut returns = core.returns.borrow_mut();
                returns.refuse(core.now(), call.fingerprint, call.waits_until, after);
            }
            told(reply)
        }
        Err(rejected) => rejected.told(),
    };
    let took = core.now().since(arrived);
    let call = admitted.as_ref().ok();
    let route = call.map_or("", |call| call.route.name.as_str());
    core.metrics
        .outcome(route, told.outcome, &told.reason, took);
    core.log.line(
        core.now(),
        "request",
        format_args!(
            "id={} {} service={} outcome={} reason={} status={} took_ms={} document={} sent={} declines={} hosts={}",
            id.as_deref().unwrap_or("-"),
            Ask { arrived, call },
            trail.service.as_ref().map_or("-", |service| service.as_str()),
            told.outcome,
            told.reason,
            told.status,
            took.as_millis(),
            core.number(),
            trail.sent,
            trail.declines,
            Hosts(&trail),
        ),
    );
    let mut fields = told.fields;
    if let Some(id) = id
        && http1::text(&fields, core.words.id).is_none()
    {
        fields.push(Field::new(core.words.id, id));
    }
    Encoded {
        bytes: http1::response(told.status, &fields, &told.body, false),
        close,
    }
}

/// What a caller is told, and why.
struct Told {
    body: Bytes,
    fields: Vec<Field>,
    outcome: &'static str,
    reason: String,
    status: u16,
}

fn told(reply: Reply) -> Told {
    let empty = |status, outcome, reason: Reason, fields| Told {
        body: Bytes::new(),
        fields,
        outcome,
        reason: reason.to_string(),
        status,
    };
    match reply {
        Reply::Answer(answer) => Told {
            body: answer.body,
            fields: answer.fields,
            outcome: "answered",
            reason: answer.status.to_string(),
            status: answer.status,
        },
        Reply::Refused(reason, after) => empty(503, "refused", reason, vec![retry_after(after)]),
        Reply::Unknown(Reason::Deadline) => empty(504, "unknown", Reason::Deadline, Vec::new()),
        Reply::Unknown(reason) => empty(502, "unknown", reason, Vec::new()),
    }
}

/// What a request asked for, for the log.
struct Ask<'a> {
    arrived: Moment,
    call: Option<&'a Call>,
}

impl std::fmt::Display for Ask<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Some(call) = self.call else {
            return f.write_str("route=-");
        };
        write!(
            f,
            "route={} class={:?} priority={} left_ms={} worth_for_ms={} returned={}",
            call.route.name,
            call.route.class,
            call.route.priority,
            call.deadline.since(self.arrived).as_millis(),
            call.valued.since(self.arrived).as_millis(),
            call.returned
        )
    }
}

struct Hosts<'a>(&'a Trail);

impl std::fmt::Display for Hosts<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (place, host) in self.0.hosts.iter().enumerate() {
            let comma = if place > 0 { "," } else { "" };
            write!(f, "{comma}{host}")?;
        }
        Ok(())
    }
}

fn retry_after(after: Duration) -> Field {
    Field::new("Retry-After", format!("{:.2}", after.as_secs_f64()))
}

/// A request that never set out.
struct Rejected {
    reason: Reason,
    status: u16,
}

impl Rejected {
    fn told(&self) -> Told {
        let fields = match self.status {
            503 => vec![retry_after(CONFIGURED_IN)],
            _ => Vec::new(),
        };
        Told {
            body: Bytes::new(),
            fields,
            outcome: "rejected",
            reason: self.reason.to_string(),
            status: self.status,
        }
    }
}

/// Finds the route of a request and what it states about itself.
fn admit(core: &Core, request: Request, arrived: Moment) -> Result<Call, Rejected> {
    let rejected = |reason, status| Err(Rejected { reason, status });
    if !core.configured() {
        return rejected(Reason::NoRoute, 503);
    }
    if core.is_closing() {
        return rejected(Reason::Leaving, 503);
    }
    let words = core.words;
    let Some(id) = http1::text(&request.fields, words.id).map(String::from) else {
        return rejected(Reason::BadRequest, 400);
    };
    let Some(hostname) = http1::text(&request.fields, "host") else {
        return rejected(Reason::BadRequest, 400);
    };
    let hostname = hostname.split(':').next().unwrap_or_default();
    let path = request.target.split('?').next().unwrap_or_default();
    let found = core
        .index
        .borrow()
        .find(&hostname.to_ascii_lowercase(), path)
        .cloned();
    let Some(route) = found else {
        return rejected(Reason::NoRoute, 404);
    };
    let route_id = xxh3_64(route.name.as_bytes());
    let stated: Option<u64> =
        http1::text(&request.fields, words.time_left).and_then(|text| text.trim().parse().ok());
    let stated = stated.map_or(TIMEOUT, Duration::from_millis);
    let waits_until = arrived + stated;
    let fingerprint =
        Fingerprint::new(&route.name, &request.method, &request.target, &request.body);
    let refused = core
        .returns
        .borrow()
        .returned(arrived, fingerprint, waits_until);
    let mut fields = request.fields;
    http1::strip_hop_by_hop(&mut fields);
    let own = [words.caller, words.expected, words.time_left];
    fields.retain(|field| !own.iter().any(|name| field.is(name)));
    Ok(Call {
        body: request.body,
        deadline: arrived + stated.min(route.timeout),
        fields,
        fingerprint,
        id,
        method: request.method,
        returned: refused.is_some(),
        route_id,
        target: request.target,
        valued: refused.unwrap_or(arrived) + route.target,
        waits_until,
        route,
    })
}

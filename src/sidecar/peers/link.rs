//! One connection to a node, from its greeting until it closes.

use {
    super::{CONNECT_TIMEOUT, receive},
    crate::{
        refusal::Reason,
        sidecar::{
            frame::{self, Contact, Frame, Outcome, Request, Status, Stream},
            node::Core,
            placement::Load,
            spread::Scope,
        },
        spread::Backoff,
        world::{Host, Moment},
    },
    bytes::{Bytes, BytesMut},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Maximum number of bytes queued for writing to one connection; frames beyond it are not sent.
const WAITING_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of frames written with one call.
const WRITE_FRAMES: usize = 64;

pub(super) struct Outgoing {
    pub(super) bytes: Bytes,
    pub(super) stream: Option<Stream>,
}

pub(super) struct Pending {
    pub(super) repeatable: bool,
    pub(super) sent: bool,
    pub(super) done: oneshot::Sender<(Outcome, Option<Load>)>,
}

/// Connection to a node.
pub(super) struct Link {
    pub(super) contact: Contact,
    pub(super) heard: Cell<Moment>,
    pub(super) next: Cell<u64>,
    pub(super) outgoing: mpsc::UnboundedSender<Outgoing>,
    pub(super) pending: RefCell<HashMap<Stream, Pending>>,
    pub(super) pinged: Cell<Option<Moment>>,
    pub(super) serving: RefCell<HashMap<Stream, oneshot::Sender<()>>>,
    pub(super) closing: tokio::sync::Notify,
    pub(super) status: RefCell<Status>,
    pub(super) suspect: Cell<bool>,
    pub(super) waiting: Cell<usize>,
}

impl Link {
    pub(super) fn send(&self, frame: &Frame, stream: Option<Stream>) -> bool {
        let Ok(bytes) = frame::encode(frame) else {
            return false;
        };
        if self.waiting.get() + bytes.len() > WAITING_BYTES {
            return false;
        }
        self.waiting.set(self.waiting.get() + bytes.len());
        self.outgoing.send(Outgoing { bytes, stream }).is_ok()
    }
}

/// Sends a request to a node and returns its outcome, with the load of the upstream if the node reported it. Dropping
/// the future cancels the request at the node.
pub(in crate::sidecar) async fn request(
    core: &Rc<Core>,
    host: &Host,
    request: Request,
) -> (Outcome, Option<Load>) {
    let unreachable = Outcome::Declined(Reason::Unreachable, Duration::ZERO);
    let Some(link) = core.peers.links.borrow().get(host).cloned() else {
        return (unreachable, None);
    };
    let stream = Stream(link.next.get());
    link.next.set(stream.0 + 1);
    let (done, outcome) = oneshot::channel();
    let pending = Pending {
        repeatable: request.repeatable,
        sent: false,
        done,
    };
    link.pending.borrow_mut().insert(stream, pending);
    let mut waiting = Waiting {
        link: link.clone(),
        over: false,
        stream,
    };
    if !link.send(&Frame::Request(stream, Box::new(request)), Some(stream)) {
        waiting.over = true;
        link.pending.borrow_mut().remove(&stream);
        return (unreachable, None);
    }
    let ended = outcome.await;
    waiting.over = true;
    ended.unwrap_or((Outcome::Unknown(Reason::Lost), None))
}

struct Waiting {
    link: Rc<Link>,
    over: bool,
    stream: Stream,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.over {
            self.link.pending.borrow_mut().remove(&self.stream);
            self.link.send(&Frame::Cancel(self.stream), None);
        }
    }
}

/// Runs a connection to another node until it closes. `dialed` is the node expected at the address, if this node
/// opened the connection.
pub(super) async fn run(core: Rc<Core>, stream: TcpStream, dialed: Option<Host>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut reader, mut writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    let greeting = async {
        let hello = frame::encode(&Frame::Hello(core.contact.clone())).ok()?;
        writer.write_all(&hello).await.ok()?;
        match frame::read(&mut reader, &mut buffer).await {
            Ok(Some(Frame::Hello(contact))) if contact.host != core.contact.host => Some(contact),
            _ => None,
        }
    };
    let Ok(Some(contact)) = timeout(CONNECT_TIMEOUT, greeting).await else {
        return;
    };
    if let Some(dialed) = dialed.filter(|dialed| *dialed != contact.host) {
        core.log.line(
            core.now(),
            "peer",
            format_args!("outcome=replaced peer={dialed} by={}", contact.host),
        );
        core.peers.replaced(&dialed);
    }
    let (outgoing, queue) = mpsc::unbounded_channel();
    let link = Rc::new(Link {
        contact: contact.clone(),
        heard: Cell::new(core.now()),
        next: Cell::new(0),
        outgoing,
        pending: RefCell::default(),
        pinged: Cell::default(),
        serving: RefCell::default(),
        closing: tokio::sync::Notify::new(),
        status: RefCell::default(),
        suspect: Cell::new(false),
        waiting: Cell::new(0),
    });
    adopt(&core, &link);
    tokio::select! {
        () = write(&link, writer, queue) => {}
        () = read(&core, &link, reader, buffer) => {}
        () = link.closing.notified() => {}
    }
    abandon(&core, &link);
}

fn adopt(core: &Rc<Core>, link: &Rc<Link>) {
    let host = link.contact.host.clone();
    core.peers.learn(vec![link.contact.clone()]);
    if let Some(held) = core.peers.known.borrow_mut().get_mut(&host) {
        held.lost = None;
        held.backoff = Backoff::default();
    }
    let before = core
        .peers
        .links
        .borrow_mut()
        .insert(host.clone(), link.clone());
    if let Some(before) = before {
        // The last status stays valid until the node sends another one on the new connection.
        *link.status.borrow_mut() = before.status.borrow().clone();
    }
    core.log.line(
        core.now(),
        "peer",
        format_args!(
            "outcome=connected peer={host} incarnation={}",
            link.contact.incarnation
        ),
    );
    link.send(&Frame::Status(core.status()), None);
    for ramp in core.ramps.borrow().values() {
        link.send(&Frame::Ramp(Scope::Host, ramp.clone()), None);
    }
    let strikes = core.egress.strikes();
    if !strikes.is_empty() {
        link.send(&Frame::Strikes(strikes), None);
    }
}

fn abandon(core: &Core, link: &Rc<Link>) {
    let host = &link.contact.host;
    let current = core
        .peers
        .links
        .borrow()
        .get(host)
        .is_some_and(|held| Rc::ptr_eq(held, link));
    if current {
        core.peers.links.borrow_mut().remove(host);
        let (now, tier) = (core.now(), core.tier(&link.contact));
        core.placement.borrow_mut().offer(now, host, tier, None);
        core.log
            .line(now, "peer", format_args!("outcome=lost peer={host}"));
    }
    // Dropping the senders cancels the requests that run here on behalf of that node.
    link.serving.borrow_mut().clear();
    for (_, pending) in link.pending.borrow_mut().drain() {
        let outcome = if pending.sent {
            Outcome::Unknown(Reason::Lost)
        } else {
            Outcome::Declined(Reason::Unreachable, Duration::ZERO)
        };
        // Sending fails only if the caller has gone and nobody waits for the outcome.
        let _ = pending.done.send((outcome, None));
    }
}

async fn write(
    link: &Link,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
) {
    let mut batch = Vec::new();
    let mut bytes = BytesMut::new();
    loop {
        if queue.recv_many(&mut batch, WRITE_FRAMES).await == 0 {
            return;
        }
        bytes.clear();
        for outgoing in batch.drain(..) {
            link.waiting
                .set(link.waiting.get().saturating_sub(outgoing.bytes.len()));
            if let Some(stream) = outgoing.stream {
                match link.pending.borrow_mut().get_mut(&stream) {
                    Some(pending) => pending.sent = true,
                    // The request was cancelled before any byte of it was written.
                    None => continue,
                }
            }
            bytes.extend_from_slice(&outgoing.bytes);
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn read(core: &Rc<Core>, link: &Rc<Link>, mut reader: OwnedReadHalf, mut buffer: BytesMut) {
    loop {
        match frame::read(&mut reader, &mut buffer).await {
            Ok(Some(frame)) => receive::receive(core, link, frame),
            Ok(None) => return,
            Err(error) => {
                let peer = &link.contact.host;
                let now = core.now();
                core.log.line(
                    now,
                    "peer",
                    format_args!("outcome=failed peer={peer} cause=\"{error}\""),
                );
                return;
            }
        }
    }
}

//! One connection to a node, from its greeting until it closes.

mod writer;

use {
    super::{
        CONNECT_TIMEOUT, first_document,
        recall::End,
        receive,
        transfer::{self, DIRECT_BYTES_MAX, Transfers},
    },
    crate::{
        refusal::Reason,
        sidecar::{
            answer_room::{self, LINK_WAIT},
            dissemination::Scope,
            frame::{self, Contact, Frame, Outcome, Request, Status, StreamId, Transfer},
            load_balancer::Load,
            node::Core,
            store_readers::Candidate,
        },
        spread::Backoff,
        types::{Host, Moment},
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
        net::{TcpStream, tcp::OwnedReadHalf},
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Maximum number of bytes queued for writing to one connection; frames beyond it are not sent.
const QUEUED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Additional room in the queue for small frames that must not be lost, in bytes.
const SMALL_BYTES_MAX: usize = 256 * 1024;

/// Encoded frame waiting to be written. `stream` is set for a request, which is skipped if it is cancelled before.
pub(super) struct Outgoing {
    pub(super) bytes: Bytes,
    pub(super) stream: Option<StreamId>,
}

/// Request sent to the node and not answered yet. `sent` is set just before its first byte is written: only a request
/// that was not sent is certain not to have run.
pub(super) struct Pending {
    /// Receives the numbers of parts of the body that the node has granted.
    grants: mpsc::UnboundedSender<u32>,
    pub(super) repeatable: bool,
    pub(super) sent: bool,
    pub(super) outcome_sender: oneshot::Sender<(Outcome, Option<Load>)>,
}

/// Connection to a node.
pub(super) struct Link {
    pub(super) contact: Contact,
    pub(super) received_at: Cell<Moment>,
    /// Time at which a node that had not responded was last heard again.
    pub(super) heard_again_at: Cell<Option<Moment>>,
    pub(super) next_stream: Cell<u64>,
    pub(super) outgoing: mpsc::UnboundedSender<Outgoing>,
    pub(super) pending: RefCell<HashMap<StreamId, Pending>>,
    /// Time at which the ping was sent that has no answer yet.
    pub(super) ping_sent_at: Cell<Option<Moment>>,
    /// Number of pings that were sent.
    pub(super) pings_sent: Cell<u64>,
    /// Number of pings that the node has answered.
    pub(super) pongs_received: Cell<u64>,
    /// Number of answered pings with which the node confirms all frames sent before [`Link::request_confirmation`].
    pub(super) confirmed_at_pong: Cell<u64>,
    pub(super) serving: RefCell<HashMap<StreamId, oneshot::Sender<()>>>,
    pub(super) closing: tokio::sync::Notify,
    pub(super) status: RefCell<Status>,
    pub(super) suspect: Cell<bool>,
    pub(super) queued_bytes: Cell<usize>,
    /// Notified when bytes of the queue were written.
    pub(super) dequeued: tokio::sync::Notify,
    pub(super) transfers: RefCell<Transfers>,
}

impl Link {
    /// Returns the node as a candidate for reading the store.
    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            reach: self.status.borrow().reach,
            host: self.contact.host.clone(),
        }
    }

    pub(super) fn send(&self, frame: &Frame, stream: Option<StreamId>) -> bool {
        frame::encode(frame).is_ok_and(|bytes| self.send_encoded(bytes, stream))
    }

    /// Sends an encoded frame. Returns whether it was queued.
    pub(super) fn send_encoded(&self, bytes: Bytes, stream: Option<StreamId>) -> bool {
        let queued = self.queued_bytes.get();
        // An outcome that is larger than the queue is sent alone.
        let fits_alone = queued == 0 && stream.is_none();
        if !fits_alone && queued + bytes.len() > QUEUED_BYTES_MAX {
            return false;
        }
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        self.outgoing.send(Outgoing { bytes, stream }).is_ok()
    }

    /// Sends a small frame that must not be lost, for which the queue has additional room. Returns whether it was queued.
    pub(super) fn send_small(&self, frame: &Frame) -> bool {
        let Ok(bytes) = frame::encode(frame) else {
            return false;
        };
        let queued = self.queued_bytes.get();
        if queued + bytes.len() > QUEUED_BYTES_MAX + SMALL_BYTES_MAX {
            return false;
        }
        self.queued_bytes.set(queued + bytes.len());
        let stream = None;
        self.outgoing.send(Outgoing { bytes, stream }).is_ok()
    }

    /// Passes on that the node has room for further parts of the body of a request.
    pub(super) fn grant(&self, stream: StreamId, parts: u32) {
        if let Some(pending) = self.pending.borrow().get(&stream) {
            // The receiver is dropped once all parts are queued.
            let _ = pending.grants.send(parts);
        }
    }

    /// Sends a ping. The time that the node has to answer counts from the first ping without an answer.
    pub(super) fn ping(&self, core: &Core, now: Moment) {
        if self.ping_sent_at.get().is_none() {
            self.ping_sent_at.set(Some(now));
        }
        if self.send(&Frame::Ping(core.number()), None) {
            self.pings_sent.set(self.pings_sent.get() + 1);
        }
    }

    /// Asks the node to confirm the frames sent so far. As frames keep their order, all that the node had sent before it
    /// handled them have arrived with the confirmation.
    pub(super) fn request_confirmation(&self, core: &Core, now: Moment) {
        self.ping(core, now);
        self.confirmed_at_pong.set(self.pings_sent.get());
    }

    /// Returns whether a requested confirmation is outstanding, or frames have not been written yet.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.pongs_received.get() < self.confirmed_at_pong.get() || self.queued_bytes.get() > 0
    }
}

/// Sends a request to a node and returns its outcome, with the load of the upstream if the node reported it. Dropping
/// the future cancels the request at the node.
pub(in crate::sidecar) async fn send_request(
    core: &Rc<Core>,
    host: &Host,
    mut request: Request,
) -> (Outcome, Option<Load>) {
    let unreachable = Outcome::Declined(Reason::Unreachable, Duration::ZERO);
    let Some(link) = core.peers.links.borrow().get(host).cloned() else {
        return (unreachable, None);
    };
    let stream = StreamId(link.next_stream.get());
    link.next_stream.set(stream.0 + 1);
    let (outcome_sender, mut outcome) = oneshot::channel();
    let (grants, granted) = mpsc::unbounded_channel();
    let pending = Pending {
        grants,
        repeatable: request.repeatable,
        sent: false,
        outcome_sender,
    };
    link.pending.borrow_mut().insert(stream, pending);
    let mut guard = CancelOnDrop {
        link: link.clone(),
        finished: false,
        stream,
    };
    let lost = (Outcome::Unknown(Reason::Lost), None);
    let frame = if request.body.len() <= DIRECT_BYTES_MAX {
        Frame::Request(stream, Box::new(request))
    } else {
        let began = core.now();
        let body = std::mem::take(&mut request.body);
        let queued = tokio::select! {
            biased;
            // The node keeps what it has received of the body until the request is cancelled.
            ended = &mut outcome => return ended.unwrap_or(lost),
            queued = transfer::send(&link, stream, &body, granted) => queued,
        };
        if !queued {
            return (unreachable, None);
        }
        let took = core.now().since(began);
        request.time_left = request.time_left.saturating_sub(took);
        request.worth_for = request.worth_for.saturating_sub(took);
        Frame::Transfer(stream, Transfer::Request(Box::new(request)))
    };
    if !link.send(&frame, Some(stream)) {
        return (unreachable, None);
    }
    let ended = outcome.await;
    guard.finished = true;
    ended.unwrap_or(lost)
}

/// Cancels a request at the node if its future is dropped before the outcome has arrived.
struct CancelOnDrop {
    link: Rc<Link>,
    finished: bool,
    stream: StreamId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.finished {
            self.link.pending.borrow_mut().remove(&self.stream);
            self.link.send_small(&Frame::Cancel(self.stream));
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
        core.log.record(
            core.now(),
            "peer",
            format_args!("outcome=replaced peer={dialed} by={}", contact.host),
        );
        core.peers.forget_replaced(&dialed);
    }
    let (outgoing, queue) = mpsc::unbounded_channel();
    let link = Rc::new(Link {
        contact: contact.clone(),
        received_at: Cell::new(core.now()),
        heard_again_at: Cell::default(),
        next_stream: Cell::new(0),
        outgoing,
        pending: RefCell::default(),
        ping_sent_at: Cell::default(),
        pings_sent: Cell::default(),
        pongs_received: Cell::default(),
        confirmed_at_pong: Cell::default(),
        serving: RefCell::default(),
        closing: tokio::sync::Notify::new(),
        status: RefCell::default(),
        suspect: Cell::new(false),
        queued_bytes: Cell::new(0),
        dequeued: tokio::sync::Notify::new(),
        transfers: RefCell::default(),
    });
    register(&core, &link);
    let end = tokio::select! {
        () = writer::run(&link, writer, queue) => End::Broken,
        end = read(&core, &link, reader, buffer) => end,
        () = link.closing.notified() => End::Broken,
    };
    unregister(&core, &link, end);
}

/// Makes a connection the current one to its node, and sends the state that a new connection needs.
fn register(core: &Rc<Core>, link: &Rc<Link>) {
    let host = link.contact.host.clone();
    core.peers.merge_contacts(vec![link.contact.clone()]);
    if let Some(peer) = core.peers.known.borrow_mut().get_mut(&host) {
        peer.lost_since = None;
        peer.backoff = Backoff::default();
    }
    core.peers.open_links.borrow_mut().push(link.clone());
    let previous = core
        .peers
        .links
        .borrow_mut()
        .insert(host.clone(), link.clone());
    if let Some(previous) = previous {
        // The last status stays valid until the node sends another one on the new connection.
        *link.status.borrow_mut() = previous.status.borrow().clone();
    }
    core.log.record(
        core.now(),
        "peer",
        format_args!(
            "outcome=connected peer={host} incarnation={}",
            link.contact.incarnation
        ),
    );
    core.permits.reconnect(&host);
    if let Some(recall) = core.peers.recall_for(core.now(), link) {
        link.send(&recall, None);
    }
    if link.contact.region == core.contact.region
        && let Some(announcement) = core.local_upstream.last_announcement()
    {
        link.send(&Frame::Registration(announcement), None);
    }
    link.send(&Frame::Status(core.status()), None);
    for state in core.rollout_states.borrow().values() {
        link.send(&Frame::Ramp(Scope::Host, state.clone()), None);
    }
    let strikes = core.local_upstream.strikes();
    if !strikes.is_empty() {
        link.send(&Frame::Strikes(strikes), None);
    }
}

/// Removes a closed connection, and ends the requests in progress on it in both directions.
fn unregister(core: &Core, link: &Rc<Link>, end: End) {
    let host = &link.contact.host;
    core.peers
        .open_links
        .borrow_mut()
        .retain(|open| !Rc::ptr_eq(open, link));
    core.peers.record_end(core.now(), link, end);
    let current = core
        .peers
        .links
        .borrow()
        .get(host)
        .is_some_and(|held| Rc::ptr_eq(held, link));
    if current {
        core.peers.links.borrow_mut().remove(host);
        let now = core.now();
        core.load_balancer.borrow_mut().remove(host);
        core.log
            .record(now, "peer", format_args!("outcome=lost peer={host}"));
        core.peers.candidates_changed.notify_waiters();
    }
    first_document::forget(core, link);
    // Dropping the senders cancels the requests that run here on behalf of that node.
    link.serving.borrow_mut().clear();
    link.transfers.borrow_mut().clear();
    for (_, pending) in link.pending.borrow_mut().drain() {
        let outcome = if pending.sent {
            Outcome::Unknown(Reason::Lost)
        } else {
            Outcome::Declined(Reason::Unreachable, Duration::ZERO)
        };
        // Sending fails only if the caller has gone and nobody waits for the outcome.
        let _ = pending.outcome_sender.send((outcome, None));
    }
}

async fn read(
    core: &Rc<Core>,
    link: &Rc<Link>,
    mut reader: OwnedReadHalf,
    mut buffer: BytesMut,
) -> End {
    loop {
        // An answer is counted twice for a moment, as it is copied out of its frame.
        let mut share = core.answer_budget.open();
        let reserve = async |bytes| {
            if !answer_room::reserve(core, &mut share, bytes, LINK_WAIT).await {
                share.grow(bytes);
            }
        };
        match frame::read_within(&mut reader, &mut buffer, reserve).await {
            Ok(Some(frame)) => receive::receive(core, link, frame),
            Ok(None) => return End::Closed,
            Err(error) => {
                let peer = &link.contact.host;
                let now = core.now();
                core.log.record(
                    now,
                    "peer",
                    format_args!("outcome=failed peer={peer} cause=\"{error}\""),
                );
                return End::Broken;
            }
        }
    }
}

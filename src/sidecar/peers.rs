//! Kept TCP connections to the other nodes. One carries requests in both directions, many at a time, beside
//! the control traffic. The newest connection to a node is used; older ones only finish what they carry.

mod spreading;

pub(super) use spreading::{introduce, push, ramp as spread_ramp};

use {
    super::{
        document::{Difference, Number},
        duty::Candidate,
        egress,
        frame::{self, Contact, Frame, Outcome, Request, Status, Stream},
        metrics::Metrics,
        node::Core,
        placement::{End, Load},
        spread::Scope,
    },
    crate::{
        refusal::Reason,
        spread::Backoff,
        traffic::spill::Tier,
        world::{Host, Moment},
    },
    bytes::{Bytes, BytesMut},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// How long connecting to a node may take, its greeting included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a connection with requests under way may be silent before a sign of life is asked for.
const QUIET: Duration = Duration::from_millis(300);
/// The same for a connection without requests to a node of the same failure domain.
const IDLE_QUIET: Duration = Duration::from_secs(2);
/// The same for one to another domain: signs of life cross domains and are paid for.
const FAR_IDLE_QUIET: Duration = Duration::from_secs(8);
/// How long a sign of life may take before no new requests are sent there: several round trips between
/// regions at a host that is short of processor time.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);
/// How long it may take before the connection is given up.
const DEAD_AFTER: Duration = Duration::from_secs(4);
/// A longer pause of this node's own timer means that it was itself held up, and others are not to blame.
const HELD_UP: Duration = Duration::from_millis(700);
/// The bytes that may wait to be written to one node.
const WAITING_BYTES: usize = 8 * 1024 * 1024;
/// How many frames are written at once.
const WRITE_FRAMES: usize = 64;
/// How long a node that can't be reached is remembered: longer than a restart of its host takes.
const FORGET_AFTER: Duration = Duration::from_secs(600);

struct Outgoing {
    bytes: Bytes,
    stream: Option<Stream>,
}

struct Pending {
    repeatable: bool,
    sent: bool,
    done: oneshot::Sender<(Outcome, Option<Load>)>,
}

/// A connection to a node.
pub(super) struct Link {
    contact: Contact,
    heard: Cell<Moment>,
    next: Cell<u64>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    pending: RefCell<HashMap<Stream, Pending>>,
    pinged: Cell<Option<Moment>>,
    serving: RefCell<HashMap<Stream, oneshot::Sender<()>>>,
    closing: tokio::sync::Notify,
    status: RefCell<Status>,
    suspect: Cell<bool>,
    waiting: Cell<usize>,
}

impl Link {
    fn send(&self, frame: &Frame, stream: Option<Stream>) -> bool {
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

struct Known {
    backoff: Backoff,
    contact: Contact,
    dialing: bool,
    lost: Option<Moment>,
}

/// The other nodes.
pub(super) struct Peers {
    contact: Contact,
    forgotten: RefCell<Vec<Host>>,
    known: RefCell<BTreeMap<Host, Known>>,
    links: RefCell<HashMap<Host, Rc<Link>>>,
    rng: RefCell<StdRng>,
    spreading: spreading::State,
    ticked: Cell<Moment>,
}

impl Peers {
    pub fn new(contact: Contact) -> Self {
        Self {
            contact,
            forgotten: RefCell::default(),
            known: RefCell::default(),
            links: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(rand::random())),
            spreading: spreading::State::default(),
            ticked: Cell::default(),
        }
    }

    /// How many nodes there are, as far as is known here, this one included.
    pub fn nodes(&self) -> usize {
        self.links.borrow().len() + 1
    }

    pub fn measure(&self, metrics: &Metrics) {
        let peers = self.links.borrow().len();
        metrics.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
    }

    /// Lists the connected nodes by how they stand to the store.
    pub fn candidates(&self) -> Vec<Candidate> {
        let links = self.links.borrow();
        let sound = links.iter().filter(|(_, link)| !link.suspect.get());
        sound
            .map(|(host, link)| Candidate {
                reach: link.status.borrow().reach,
                host: host.clone(),
            })
            .collect()
    }

    /// Tells whether the node that hands documents out was seen to run one.
    pub fn is_ahead(&self, core: &Core, number: Number) -> bool {
        let first = core.conducting();
        let links = self.links.borrow();
        let first = first.and_then(|host| links.get(&host));
        first.is_some_and(|link| link.status.borrow().document >= number)
    }

    /// Lists the connected nodes that answer, those with the lower names first.
    fn sound(&self) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let sound = links.values().filter(|link| !link.suspect.get());
        let mut sound: Vec<Rc<Link>> = sound.cloned().collect();
        sound.sort_by(|a, b| a.contact.host.cmp(&b.contact.host));
        sound
    }

    /// Takes out the nodes that were lost for so long that they are gone for good.
    pub fn take_forgotten(&self) -> Vec<Host> {
        std::mem::take(&mut self.forgotten.borrow_mut())
    }

    /// Sends a frame to every connected node.
    pub fn broadcast(&self, frame: &Frame) {
        for link in self.links.borrow().values() {
            link.send(frame, None);
        }
    }

    /// Sends a frame to a node, if it is connected.
    pub fn send(&self, host: &Host, frame: &Frame) {
        if let Some(link) = self.links.borrow().get(host) {
            link.send(frame, None);
        }
    }

    /// Takes in where other nodes are.
    pub fn learn(&self, contacts: Vec<Contact>) {
        let mut known = self.known.borrow_mut();
        for contact in contacts {
            if contact.host == self.contact.host {
                continue;
            }
            match known.get_mut(&contact.host) {
                Some(held) if held.contact.incarnation >= contact.incarnation => {}
                Some(held) => {
                    held.contact = contact;
                    held.backoff = Backoff::default();
                    held.lost = None;
                }
                None => {
                    let host = contact.host.clone();
                    let entry = Known {
                        backoff: Backoff::default(),
                        contact,
                        dialing: false,
                        lost: None,
                    };
                    known.insert(host, entry);
                }
            }
        }
    }

    fn contacts(&self) -> Vec<Contact> {
        let known = self.known.borrow();
        let alive = known.values().filter(|held| held.lost.is_none());
        alive.map(|held| held.contact.clone()).collect()
    }
}

/// Sends a request to a node and waits for how it ended. One that gives up waiting has to be dropped; the
/// node is told then.
pub(super) async fn request(
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

/// Takes connections of other nodes.
pub(super) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(run(core.clone(), stream));
            }
            Err(error) => {
                let now = core.now();
                core.log.line(
                    now,
                    "accept",
                    format_args!("outcome=failed edge=link cause=\"{error}\""),
                );
                tokio::time::sleep(QUIET).await;
            }
        }
    }
}

/// Connects to nodes that are known and not connected.
pub(super) fn dial(core: &Rc<Core>, now: Moment) {
    let mut known = core.peers.known.borrow_mut();
    known.retain(|host, held| {
        let gone = held
            .lost
            .is_some_and(|lost| now.since(lost) >= FORGET_AFTER);
        if gone {
            core.peers.forgotten.borrow_mut().push(host.clone());
        }
        !gone
    });
    for (host, held) in known.iter_mut() {
        if held.dialing || core.peers.links.borrow().contains_key(host) {
            continue;
        }
        if !held.backoff.due(now, &mut core.peers.rng.borrow_mut()) {
            continue;
        }
        held.dialing = true;
        let (core, host, address) = (core.clone(), host.clone(), held.contact.address);
        tokio::task::spawn_local(async move {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Some(held) = core.peers.known.borrow_mut().get_mut(&host) {
                held.dialing = false;
                if matches!(connected, Ok(Ok(_))) {
                    held.lost = None;
                } else {
                    held.lost.get_or_insert(core.now());
                }
            }
            if let Ok(Ok(stream)) = connected {
                run(core, stream).await;
            }
        });
    }
}

/// Asks silent nodes for a sign of life, and gives up those that give none.
pub(super) fn tick(core: &Rc<Core>, now: Moment) {
    let held_up = now.since(core.peers.ticked.replace(now)) > HELD_UP;
    let links: Vec<Rc<Link>> = core.peers.links.borrow().values().cloned().collect();
    for link in links {
        if held_up {
            link.pinged.set(None);
            continue;
        }
        if let Some(pinged) = link.pinged.get() {
            let silent = now.since(pinged);
            if silent >= DEAD_AFTER {
                link.closing.notify_one();
            } else if silent >= SUSPECT_AFTER && !link.suspect.replace(true) {
                suspect(core, &link);
            }
            continue;
        }
        let busy = !link.pending.borrow().is_empty();
        let quiet = match core.tier(&link.contact) {
            _ if busy => QUIET,
            Tier::Own => IDLE_QUIET,
            Tier::Region | Tier::Remote => FAR_IDLE_QUIET,
        };
        if now.since(link.heard.get()) >= quiet {
            link.pinged.set(Some(now));
            link.send(&Frame::Ping(core.number()), None);
        }
    }
    dial(core, now);
    spreading::tick(core, now);
}

/// Sends nothing new to a silent node, and tries elsewhere what may run twice.
fn suspect(core: &Core, link: &Link) {
    let now = core.now();
    let host = &link.contact.host;
    core.log
        .line(now, "peer", format_args!("outcome=suspect peer={host}"));
    let tier = core.tier(&link.contact);
    core.placement.borrow_mut().offer(now, host, tier, None);
    let mut pending = link.pending.borrow_mut();
    let repeatable: Vec<Stream> = pending
        .iter()
        .filter(|(_, pending)| pending.repeatable)
        .map(|(stream, _)| *stream)
        .collect();
    for stream in repeatable {
        if let Some(pending) = pending.remove(&stream) {
            // Nobody waits any more if the caller has gone.
            let _ = pending.done.send((Outcome::Unknown(Reason::Lost), None));
        }
        link.send(&Frame::Cancel(stream), None);
    }
}

async fn run(core: Rc<Core>, stream: TcpStream) {
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
        // What is known of the node stays known until it says otherwise on the new connection.
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
    // Dropping the senders tells those who run requests of this node that nobody waits.
    link.serving.borrow_mut().clear();
    for (_, pending) in link.pending.borrow_mut().drain() {
        let outcome = if pending.sent {
            Outcome::Unknown(Reason::Lost)
        } else {
            Outcome::Declined(Reason::Unreachable, Duration::ZERO)
        };
        // Nobody waits any more if the caller has gone.
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
                    // Its caller has gone before a byte of it was written.
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
            Ok(Some(frame)) => receive(core, link, frame),
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

fn receive(core: &Rc<Core>, link: &Rc<Link>, frame: Frame) {
    let now = core.now();
    link.heard.set(now);
    link.pinged.set(None);
    let host = &link.contact.host;
    // Two nodes that connect to each other at the same moment may each use another one of both connections:
    // what a node says holds for it, on whichever of them it comes.
    let current = core.peers.links.borrow().get(host).cloned();
    let current = current.unwrap_or_else(|| link.clone());
    if link.suspect.replace(false) {
        core.log
            .line(now, "peer", format_args!("outcome=heard peer={host}"));
        offer(core, &current, now);
    }
    match frame {
        Frame::Hello(_) => {}
        Frame::Ping(number) => {
            link.send(&Frame::Pong(core.number()), None);
            runs(core, &current, number);
        }
        Frame::Pong(number) => runs(core, &current, number),
        Frame::Status(status) => {
            let number = status.document;
            *current.status.borrow_mut() = status;
            offer(core, &current, now);
            runs(core, &current, number);
        }
        Frame::Introduce => {
            link.send(&Frame::Contacts(core.peers.contacts()), None);
        }
        Frame::Contacts(contacts) => {
            core.peers.learn(contacts);
            dial(core, now);
        }
        Frame::Fetch(from) => {
            for frame in core.news(from, Scope::Host) {
                link.send(&frame, None);
            }
        }
        Frame::Document(scope, document) => {
            current.status.borrow_mut().document = document.number;
            if core.install(Arc::unwrap_or_clone(document), host.as_str()) {
                spreading::hand_on(core, link, scope);
            }
        }
        Frame::Difference(scope, difference) => step(core, &current, scope, &difference),
        Frame::Evidence(evidence) => core.conductor.borrow_mut().add(&evidence),
        Frame::Ramp(scope, ramp) => {
            if core.follow(ramp.clone()) {
                spreading::ramp(core, scope, &ramp);
            }
        }
        Frame::Strikes(strikes) => core.egress.learn(now, strikes),
        Frame::Request(stream, request) => serve(core, link, stream, *request),
        Frame::Cancel(stream) => {
            link.serving.borrow_mut().remove(&stream);
        }
        Frame::Outcome(stream, outcome, load) => {
            if let Some(pending) = link.pending.borrow_mut().remove(&stream) {
                // Nobody waits any more if the caller has gone.
                let _ = pending.done.send((outcome, Some(load)));
            }
        }
    }
}

/// Notes which document a node runs, and asks a near one at once for what is missing here.
fn runs(core: &Core, link: &Link, number: Number) {
    let mut status = link.status.borrow_mut();
    status.document = status.document.max(number);
    if number > core.number() && core.tier(&link.contact) == Tier::Own {
        spreading::fetch(core, link);
    }
}

fn offer(core: &Core, link: &Link, now: Moment) {
    let offer = link.status.borrow().offer.clone();
    let tier = core.tier(&link.contact);
    core.placement
        .borrow_mut()
        .offer(now, &link.contact.host, tier, offer);
}

fn step(core: &Rc<Core>, link: &Rc<Link>, scope: Scope, difference: &Difference) {
    let host = &link.contact.host;
    {
        let mut status = link.status.borrow_mut();
        status.document = status.document.max(difference.to);
    }
    if difference.to <= core.number() {
        return;
    }
    let held = core.document.borrow().clone();
    match held.apply(difference) {
        Ok(document) => {
            if core.install(document, host.as_str()) {
                spreading::hand_on(core, link, scope);
            }
        }
        Err(fault) => {
            let now = core.now();
            core.log.line(
                now,
                "document",
                format_args!(
                    "outcome=fetch number={} source={host} cause=\"{fault}\"",
                    difference.to
                ),
            );
            spreading::fetch(core, link);
        }
    }
}

fn serve(core: &Rc<Core>, link: &Rc<Link>, stream: Stream, request: Request) {
    let (cancel, cancelled) = oneshot::channel();
    link.serving.borrow_mut().insert(stream, cancel);
    let (core, link) = (core.clone(), link.clone());
    tokio::task::spawn_local(async move {
        let outcome = egress::serve(&core, request, cancelled).await;
        link.serving.borrow_mut().remove(&stream);
        let load = core.egress.load();
        link.send(&Frame::Outcome(stream, outcome, load), None);
    });
}

/// Gives what an outcome tells of the upstream.
pub(super) fn end(outcome: &Outcome) -> End {
    match outcome {
        Outcome::Answered(answer) if answer.status >= 500 || answer.not_run => End::Failed,
        Outcome::Answered(_) => End::Answered,
        Outcome::Declined(Reason::Overloaded | Reason::Deadline, _) => End::Silent,
        Outcome::Declined(..) | Outcome::Unknown(_) => End::Failed,
    }
}

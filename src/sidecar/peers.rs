//! Persistent TCP connections to the other nodes. Each multiplexes requests in both directions with the control
//! traffic. The newest connection to a node is used; older ones only finish the requests that they carry.

mod link;
mod receive;
mod spreading;

pub(super) use link::request;
pub(super) use receive::end;
pub(super) use spreading::{introduce, push, ramp as spread_ramp};

use {
    super::{
        document::Number,
        duty::Candidate,
        frame::{Contact, Frame, Outcome, Stream},
        metrics::Metrics,
        neighbours::{self, Neighbour, REMOTE_MAX},
        node::Core,
        ramp::Leader,
    },
    crate::{
        refusal::Reason,
        spread::Backoff,
        traffic::spill::Tier,
        world::{Host, Moment},
    },
    link::{Link, run},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Timeout for connecting to a node, and for its greeting on the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence on a connection with requests in progress after which a ping is sent.
const QUIET: Duration = Duration::from_millis(300);

/// Silence after which a ping is sent on an idle connection to a node of the same failure domain.
const IDLE_QUIET: Duration = Duration::from_secs(2);

/// Silence after which a ping is sent on an idle connection to another failure domain, where traffic is billed.
const FAR_IDLE_QUIET: Duration = Duration::from_secs(8);

/// Time without an answer to a ping after which no new requests are sent to a node: several round trips between
/// regions, with a host that is short of processor time.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// Time without an answer to a ping after which the connection is closed.
const DEAD_AFTER: Duration = Duration::from_secs(4);

/// Pause of this node's own timer beyond which the node itself was stalled, so that unanswered pings say nothing about
/// its peers.
const HELD_UP: Duration = Duration::from_millis(700);

/// Time for which an unreachable node is remembered: longer than a restart of its host takes.
const FORGET_AFTER: Duration = Duration::from_secs(600);

struct Known {
    backoff: Backoff,
    contact: Contact,
    dialing: bool,
    lost: Option<Moment>,
}

/// The other nodes that are known, and the connections to them.
pub(super) struct Peers {
    /// Number of known nodes that this one does not connect to and that are not lost.
    apart: Cell<usize>,
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
            apart: Cell::default(),
            contact,
            forgotten: RefCell::default(),
            known: RefCell::default(),
            links: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(rand::random())),
            spreading: spreading::State::default(),
            ticked: Cell::default(),
        }
    }

    /// Returns the number of nodes known to run, including this one. Nodes that this one does not connect to count
    /// unless they were seen to be lost.
    pub fn nodes(&self) -> usize {
        self.links.borrow().len() + self.apart.get() + 1
    }

    /// Returns whether the region is so large that nodes of other regions may be connected to only some of its nodes,
    /// and not to this one.
    pub fn is_apart(&self) -> bool {
        let known = self.known.borrow();
        let mates = known
            .values()
            .filter(|held| held.contact.region == self.contact.region);
        mates.count() + 1 > REMOTE_MAX
    }

    /// Returns the nodes to connect to, and updates the number of nodes that stay unconnected.
    fn missing(&self, known: &BTreeMap<Host, Known>) -> Vec<Host> {
        let neighbours: Vec<Neighbour> = known
            .values()
            .map(|held| Neighbour {
                contact: &held.contact,
                lost: held.lost.is_some(),
            })
            .collect();
        let chosen = neighbours::choose(&self.contact, &neighbours);
        let links = self.links.borrow();
        let (missing, apart): (Vec<_>, Vec<_>) = known
            .iter()
            .filter(|(host, _)| !links.contains_key(*host))
            .partition(|(host, _)| chosen.contains(host));
        let alive = apart.iter().filter(|(_, held)| held.lost.is_none());
        self.apart.set(alive.count());
        missing.into_iter().map(|(host, _)| host.clone()).collect()
    }

    pub fn update_metrics(&self, metrics: &Metrics) {
        let peers = self.links.borrow().len();
        metrics.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
    }

    /// Returns the connected nodes that respond, as candidates for reading the store.
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

    /// Returns whether the leader of a rollout is connected, responds, and has not restarted since it took the lead.
    pub fn is_leader_responsive(&self, leader: &Leader) -> bool {
        let links = self.links.borrow();
        let link = links.get(&leader.host);
        link.is_some_and(|link| {
            !link.suspect.get() && link.contact.incarnation == leader.incarnation
        })
    }

    /// Returns whether the first reader of the store is another node that is known to have this document or a newer one.
    pub fn first_reader_has(&self, core: &Core, number: Number) -> bool {
        let first = core.first_reader();
        let links = self.links.borrow();
        let first = first.and_then(|host| links.get(&host));
        first.is_some_and(|link| link.status.borrow().document >= number)
    }

    /// Returns the connections to nodes that respond, sorted by host name.
    fn sound(&self) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let sound = links.values().filter(|link| !link.suspect.get());
        let mut sound: Vec<Rc<Link>> = sound.cloned().collect();
        sound.sort_by(|a, b| a.contact.host.cmp(&b.contact.host));
        sound
    }

    /// Returns the nodes forgotten since the last call: replaced, or lost for so long that they are gone for good.
    pub fn take_forgotten(&self) -> Vec<Host> {
        std::mem::take(&mut self.forgotten.borrow_mut())
    }

    /// Sends a frame to every connected node.
    pub fn broadcast(&self, frame: &Frame) {
        for link in self.links.borrow().values() {
            link.send(frame, None);
        }
    }

    /// Relays a frame from another region to the nodes of this region, as not all of them are connected to its sender.
    fn pass_on(&self, from: &Contact, frame: &Frame) {
        if from.region == self.contact.region || !self.is_apart() {
            return;
        }
        let links = self.links.borrow();
        let mates = links
            .values()
            .filter(|link| link.contact.region == self.contact.region);
        for link in mates {
            link.send(frame, None);
        }
    }

    /// Sends a frame to a node, if it is connected.
    pub fn send(&self, host: &Host, frame: &Frame) {
        if let Some(link) = self.links.borrow().get(host) {
            link.send(frame, None);
        }
    }

    /// Records the contacts of other nodes. A later incarnation replaces what was known of a node.
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

    /// Forgets a node whose address another node has taken over: it is gone for good.
    fn replaced(&self, host: &Host) {
        if self.known.borrow_mut().remove(host).is_some() {
            self.forgotten.borrow_mut().push(host.clone());
        }
    }

    fn contacts(&self) -> Vec<Contact> {
        let known = self.known.borrow();
        let alive = known.values().filter(|held| held.lost.is_none());
        alive.map(|held| held.contact.clone()).collect()
    }
}

/// Accepts connections of other nodes.
pub(super) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(run(core.clone(), stream, None));
            }
            Err(error) => {
                let now = core.now();
                core.log.line(
                    now,
                    "accept",
                    format_args!("outcome=failed edge=link cause=\"{error}\""),
                );
                // Keeps a lasting error from causing a busy loop.
                tokio::time::sleep(QUIET).await;
            }
        }
    }
}

/// Connects to the chosen nodes that are not connected, and forgets those lost for too long.
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
    for host in core.peers.missing(&known) {
        let Some(held) = known.get_mut(&host).filter(|held| !held.dialing) else {
            continue;
        };
        if !held.backoff.due(now, &mut core.peers.rng.borrow_mut()) {
            continue;
        }
        held.dialing = true;
        let (core, address) = (core.clone(), held.contact.address);
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
                run(core, stream, Some(host)).await;
            }
        });
    }
}

/// Pings silent nodes, and closes the connections to those that do not answer.
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

/// Stops sending new requests to a silent node, and ends the repeatable ones in progress there, so that they are
/// retried elsewhere.
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
            // Sending fails only if the caller has gone and nobody waits for the outcome.
            let _ = pending.done.send((Outcome::Unknown(Reason::Lost), None));
        }
        link.send(&Frame::Cancel(stream), None);
    }
}

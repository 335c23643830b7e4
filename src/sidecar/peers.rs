//! Persistent TCP connections to the other nodes. Each multiplexes requests in both directions with the control
//! traffic. The newest connection to a node is used; older ones only finish the requests that they carry.

mod broadcast;
mod confirmation;
mod evacuations;
mod first_document;
mod link;
mod outcome;
mod recall;
mod receive;
mod region;
mod transfer;

pub(super) use broadcast::{push_confirmation, push_document, push_state, request_contacts};
pub(super) use evacuations::push as push_evacuations;
pub(super) use link::send_request;
pub(super) use receive::attempt_result;

use {
    super::{
        document::Number,
        frame::{Contact, Frame, Outcome, StreamId},
        metrics::Metrics,
        neighbours::{self, KnownNode, NODES_PER_REMOTE_REGION},
        node::Core,
        rollout::Leader,
        store_readers::Candidate,
    },
    crate::{
        refusal::Reason,
        spread::Backoff,
        traffic::spill::Tier,
        types::{Host, Moment},
    },
    link::{Link, run},
    rand::{SeedableRng, rngs::StdRng},
    recall::Kept,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::timeout,
    },
};

/// Timeout for connecting to a node, and for its greeting on the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence on a connection with requests in progress after which a ping is sent.
const BUSY_PING_AFTER: Duration = Duration::from_millis(300);

/// Silence after which a ping is sent on an idle connection to a node of the same failure domain.
const IDLE_PING_AFTER: Duration = Duration::from_secs(2);

/// Silence after which a ping is sent on an idle connection to another failure domain, where traffic is billed.
const CROSS_DOMAIN_IDLE_PING_AFTER: Duration = Duration::from_secs(8);

/// Time without an answer to a ping after which no new requests are sent to a node: several round trips between
/// regions, with a host that is short of processor time.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// Time since the last frame of a node within which it is relied on to read the store: several round trips between
/// regions. Shorter than the silence that is noticed by pings, as a node that is cut off has to notice it before a change
/// of the configuration is due.
const HEARD_WITHIN: Duration = Duration::from_millis(500);

/// Time without an answer to a ping after which the connection is closed.
const DEAD_AFTER: Duration = Duration::from_secs(4);

/// Pause of this node's own timer beyond which the node itself was stalled, so that unanswered pings say nothing about
/// its peers.
const STALLED_AFTER: Duration = Duration::from_millis(700);

/// Time for which an unreachable node is remembered: longer than a restart of its host takes.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Known node. `lost_since` is the time of the first of the failed attempts to connect since the last success.
/// `registration` is the last announcement of its upstream, kept for its restart.
struct KnownPeer {
    backoff: Backoff,
    contact: Contact,
    dialing: bool,
    lost_since: Option<Moment>,
    registration: Option<Kept>,
}

/// The other nodes that are known, and the connections to them.
pub(super) struct Peers {
    /// Number of known nodes that this one does not connect to and that are not lost.
    unconnected: Cell<usize>,
    contact: Contact,
    forgotten: RefCell<Vec<Host>>,
    known: RefCell<BTreeMap<Host, KnownPeer>>,
    /// Connection in use to each node.
    links: RefCell<HashMap<Host, Rc<Link>>>,
    /// All open connections, also those that only finish the requests that they carry.
    open_links: RefCell<Vec<Rc<Link>>>,
    rng: RefCell<StdRng>,
    first_documents: first_document::State,
    spreading: broadcast::State,
    last_tick: Cell<Moment>,
    /// Notified when a node no longer responds or has sent a status, so that the ranks of readers may have changed.
    pub candidates_changed: Notify,
}

impl Peers {
    pub fn new(contact: Contact) -> Self {
        Self {
            unconnected: Cell::default(),
            contact,
            forgotten: RefCell::default(),
            known: RefCell::default(),
            links: RefCell::default(),
            open_links: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(rand::random())),
            first_documents: first_document::State::default(),
            spreading: broadcast::State::default(),
            last_tick: Cell::default(),
            candidates_changed: Notify::new(),
        }
    }

    /// Returns the number of nodes known to run, including this one. Nodes that this one does not connect to count
    /// unless they were seen to be lost.
    pub fn node_count(&self) -> usize {
        self.links.borrow().len() + self.unconnected.get() + 1
    }

    /// Returns the number of other nodes that are known, whether they run or not.
    pub fn known_count(&self) -> usize {
        self.known.borrow().len()
    }

    /// Returns whether the region is so large that nodes of other regions may be connected to only some of its nodes,
    /// and not to this one.
    pub fn needs_regional_relay(&self) -> bool {
        let known = self.known.borrow();
        let region_peers = known
            .values()
            .filter(|peer| peer.contact.region == self.contact.region);
        region_peers.count() + 1 > NODES_PER_REMOTE_REGION
    }

    /// Returns the nodes to connect to, and updates the number of nodes that stay unconnected.
    fn nodes_to_dial(&self, known: &BTreeMap<Host, KnownPeer>) -> Vec<Host> {
        let neighbours: Vec<KnownNode> = known
            .values()
            .map(|peer| KnownNode {
                contact: &peer.contact,
                lost: peer.lost_since.is_some(),
            })
            .collect();
        let chosen = neighbours::choose(&self.contact, &neighbours);
        let links = self.links.borrow();
        let (to_dial, unconnected): (Vec<_>, Vec<_>) = known
            .iter()
            .filter(|(host, _)| !links.contains_key(*host))
            .partition(|(host, _)| chosen.contains(host));
        let alive = unconnected
            .iter()
            .filter(|(_, peer)| peer.lost_since.is_none());
        self.unconnected.set(alive.count());
        to_dial.into_iter().map(|(host, _)| host.clone()).collect()
    }

    pub fn update_metrics(&self, metrics: &Metrics) {
        let peers = self.links.borrow().len();
        metrics.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
    }

    /// Returns the connected nodes that respond, as candidates for reading the store.
    pub fn reader_candidates(&self) -> Vec<Candidate> {
        let links = self.links.borrow();
        let responsive = links.values().filter(|link| !link.suspect.get());
        responsive.map(|link| link.candidate()).collect()
    }

    /// Returns the connected nodes of which something was heard just now, as candidates for reading the store, and
    /// whether each is of the own failure domain.
    pub fn heard_candidates(&self, now: Moment) -> Vec<(Candidate, bool)> {
        let links = self.links.borrow();
        let heard = links
            .values()
            .filter(|link| now.since(link.received_at.get()) < HEARD_WITHIN);
        heard
            .map(|link| (link.candidate(), link.contact.domain == self.contact.domain))
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

    /// Returns whether the first reader of the store is another node that is seen to have this document or a newer one.
    pub fn first_reader_has(&self, core: &Core, number: Number) -> bool {
        let first = core.remote_first_reader();
        let links = self.links.borrow();
        let first = first.and_then(|host| links.get(&host));
        first.is_some_and(|link| link.status.borrow().document >= number)
    }

    /// Returns the connections to nodes that respond, sorted by host name.
    fn responsive_links(&self) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let responsive = links.values().filter(|link| !link.suspect.get());
        let mut responsive: Vec<Rc<Link>> = responsive.cloned().collect();
        responsive.sort_by(|a, b| a.contact.host.cmp(&b.contact.host));
        responsive
    }

    /// Returns the nodes forgotten since the last call: replaced, or lost for so long that they are gone for good.
    pub fn take_forgotten(&self) -> Vec<Host> {
        std::mem::take(&mut self.forgotten.borrow_mut())
    }

    /// Sends a frame to every connected node.
    pub fn broadcast(&self, frame: &Frame) {
        broadcast::send_to_all(self.links.borrow().values(), frame);
    }

    /// Sends a frame to a node, if it is connected.
    pub fn send(&self, host: &Host, frame: &Frame) {
        if let Some(link) = self.links.borrow().get(host) {
            link.send(frame, None);
        }
    }

    /// Records the contacts of other nodes. A later incarnation replaces what was known of a node.
    pub fn merge_contacts(&self, contacts: Vec<Contact>) {
        let mut known = self.known.borrow_mut();
        for contact in contacts {
            if contact.host == self.contact.host {
                continue;
            }
            match known.get_mut(&contact.host) {
                Some(peer) if peer.contact.incarnation >= contact.incarnation => {}
                Some(peer) => {
                    peer.contact = contact;
                    peer.backoff = Backoff::default();
                    peer.lost_since = None;
                }
                None => {
                    let host = contact.host.clone();
                    let entry = KnownPeer {
                        backoff: Backoff::default(),
                        contact,
                        dialing: false,
                        lost_since: None,
                        registration: None,
                    };
                    known.insert(host, entry);
                }
            }
        }
    }

    /// Forgets a node whose address another node has taken over: it is gone for good.
    fn forget_replaced(&self, host: &Host) {
        if self.known.borrow_mut().remove(host).is_some() {
            self.forgotten.borrow_mut().push(host.clone());
        }
    }

    fn contacts(&self) -> Vec<Contact> {
        let known = self.known.borrow();
        let alive = known.values().filter(|peer| peer.lost_since.is_none());
        alive.map(|peer| peer.contact.clone()).collect()
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
                core.log.record(
                    now,
                    "accept",
                    format_args!("outcome=failed edge=link cause=\"{error}\""),
                );
                // Keeps a lasting error from causing a busy loop.
                tokio::time::sleep(BUSY_PING_AFTER).await;
            }
        }
    }
}

/// Connects to the chosen nodes that are not connected, and forgets those lost for too long.
pub(super) fn dial(core: &Rc<Core>, now: Moment) {
    let mut known = core.peers.known.borrow_mut();
    known.retain(|host, peer| {
        let gone = peer
            .lost_since
            .is_some_and(|lost_since| now.since(lost_since) >= FORGET_AFTER);
        if gone {
            core.peers.forgotten.borrow_mut().push(host.clone());
        }
        !gone
    });
    for host in core.peers.nodes_to_dial(&known) {
        let Some(peer) = known.get_mut(&host).filter(|peer| !peer.dialing) else {
            continue;
        };
        if !peer
            .backoff
            .try_attempt(now, &mut core.peers.rng.borrow_mut())
        {
            continue;
        }
        peer.dialing = true;
        let (core, address) = (core.clone(), peer.contact.address);
        tokio::task::spawn_local(async move {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Some(peer) = core.peers.known.borrow_mut().get_mut(&host) {
                peer.dialing = false;
                if matches!(connected, Ok(Ok(_))) {
                    peer.lost_since = None;
                } else {
                    peer.lost_since.get_or_insert(core.now());
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
    let stalled = now.since(core.peers.last_tick.replace(now)) > STALLED_AFTER;
    let links: Vec<Rc<Link>> = core.peers.links.borrow().values().cloned().collect();
    for link in links {
        if stalled {
            link.ping_sent_at.set(None);
            continue;
        }
        if let Some(ping_sent_at) = link.ping_sent_at.get() {
            let unanswered_for = now.since(ping_sent_at);
            if unanswered_for >= DEAD_AFTER {
                link.closing.notify_one();
            } else if unanswered_for >= SUSPECT_AFTER && !link.suspect.replace(true) {
                mark_suspect(core, &link);
            }
            continue;
        }
        let busy = !link.pending.borrow().is_empty();
        let ping_after = match core.tier_of(&link.contact) {
            _ if busy => BUSY_PING_AFTER,
            Tier::Own => IDLE_PING_AFTER,
            Tier::Region | Tier::Remote => CROSS_DOMAIN_IDLE_PING_AFTER,
        };
        if now.since(link.received_at.get()) >= ping_after {
            link.ping(core, now);
        }
    }
    dial(core, now);
    broadcast::tick(core, now);
}

/// Stops sending new requests to a silent node, and ends the repeatable ones in progress there, so that they are
/// retried elsewhere.
fn mark_suspect(core: &Core, link: &Link) {
    let now = core.now();
    let host = &link.contact.host;
    core.log
        .record(now, "peer", format_args!("outcome=suspect peer={host}"));
    core.load_balancer.borrow_mut().remove(host);
    core.peers.candidates_changed.notify_waiters();
    let mut pending = link.pending.borrow_mut();
    let repeatable: Vec<StreamId> = pending
        .iter()
        .filter(|(_, pending)| pending.repeatable)
        .map(|(stream, _)| *stream)
        .collect();
    for stream in repeatable {
        if let Some(pending) = pending.remove(&stream) {
            // Sending fails only if the caller has gone and nobody waits for the outcome.
            let _ = pending
                .outcome_sender
                .send((Outcome::Unknown(Reason::Lost), None));
        }
        link.send(&Frame::Cancel(stream), None);
    }
}

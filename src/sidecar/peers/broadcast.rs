//! Relays documents and rollout states to the other nodes, and fetches documents that were missed.
//!
//! Designed for relays that are lost before they have passed a document on: each has to acknowledge it, and another
//! node of the same place is used if it does not. A node that was missed nevertheless sees from the status of its
//! peers that it is behind, and fetches the document from the nearest of them.

use {
    super::{Link, Peers, first_document},
    crate::{
        sidecar::{
            dissemination::{self, Scope},
            document::Number,
            frame::{self, Confirmation, Contact, Frame},
            node::Core,
            rollout::{Phase, RolloutState},
        },
        traffic::spill::Tier,
        types::{Host, Moment},
    },
    bytes::Bytes,
    rand::{Rng, seq::SliceRandom},
    std::{cell::RefCell, rc::Rc, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time within which a relay has to acknowledge a document: a round trip between regions, and the processing time of a
/// busy host.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of nodes of one failure domain or region that are tried as the relay of a document.
const RELAYS_MAX: usize = 3;
/// Time for which a node that is behind waits before it fetches from another failure domain of its region.
const REGION_FETCH_DELAY: Duration = Duration::from_millis(400);
/// Time for which it waits before it fetches from another region.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(900);
/// Time after which a fetch is considered lost and another one may be sent.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Document that was sent to a relay and is not acknowledged yet.
struct PendingAck {
    tried: Vec<Host>,
    sent_at: Moment,
    number: Number,
    scope: Scope,
}

/// Frames that bring nodes to the document in force, encoded once for all that have the same document. To compress a large
/// change for each node of a domain takes a small host longer than to send it.
#[derive(Default)]
struct EncodedUpdates(Vec<(Number, Scope, Vec<Bytes>)>);

impl EncodedUpdates {
    /// Returns the frames for nodes that have the document `from` and relay the one in force to `scope`.
    fn frames(&mut self, core: &Core, from: Number, scope: Scope) -> &[Bytes] {
        let known = self
            .0
            .iter()
            .position(|(known_from, known_scope, _)| (*known_from, *known_scope) == (from, scope));
        let index = known.unwrap_or_else(|| {
            let frames = core.frames_since(from, scope);
            let encoded = frames.iter().filter_map(|frame| frame::encode(frame).ok());
            self.0.push((from, scope, encoded.collect()));
            self.0.len() - 1
        });
        &self.0[index].2
    }
}

/// Confirmation of a document that this node does not have yet, to be relayed once it does.
struct PendingConfirmation {
    age: Duration,
    number: Number,
    received_at: Moment,
    scope: Scope,
}

/// State of relaying and fetching documents.
#[derive(Default)]
pub(super) struct State {
    pending_acks: RefCell<Vec<PendingAck>>,
    pending_confirmation: RefCell<Option<PendingConfirmation>>,
    behind_since: RefCell<Option<Moment>>,
    /// The node that was asked last for its document, and when.
    fetch: RefCell<Option<(Host, Moment)>>,
}

impl Peers {
    pub(super) fn contacts_of(links: &[Rc<Link>]) -> Vec<Contact> {
        links.iter().map(|link| link.contact.clone()).collect()
    }

    /// Relays a frame from another region to the nodes of this region, as not all of them are connected to its sender.
    pub(super) fn relay_within_region(&self, from: &Contact, frame: &Frame) {
        if from.region != self.contact.region && self.needs_regional_relay() {
            self.broadcast_within_region(frame);
        }
    }

    /// Sends a frame to every connected node of this region.
    pub(super) fn broadcast_within_region(&self, frame: &Frame) {
        let links = self.links.borrow();
        let region_peers = links
            .values()
            .filter(|link| link.contact.region == self.contact.region);
        send_to_all(region_peers, frame);
    }
}

/// Sends a frame on several connections. It is encoded once.
pub(super) fn send_to_all<'a>(links: impl Iterator<Item = &'a Rc<Link>>, frame: &Frame) {
    let Ok(bytes) = frame::encode(frame) else {
        return;
    };
    for link in links {
        link.send_encoded(bytes.clone(), None);
    }
}

/// Sends the document in force to all nodes of a scope that are not known to have it, through relays where possible.
pub(in crate::sidecar) fn push_document(core: &Core, scope: Scope) {
    let number = core.number();
    let mut links = core.peers.responsive_links();
    links.retain(|link| link.status.borrow().document < number);
    let mut relays = Vec::new();
    let mut updates = EncodedUpdates::default();
    for hop in dissemination::next_hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        let link = links.iter().find(|link| link.contact.host == hop.host);
        if let Some(link) = link {
            send_document(core, link, hop.scope, &[], &mut updates);
        }
        if hop.scope != Scope::Host {
            relays.push(hop.host.to_string());
        }
    }
    let now = core.now();
    core.log.record(
        now,
        "spread",
        format_args!(
            "number={number} scope={scope:?} nodes={} relays={}",
            links.len(),
            relays.join(",")
        ),
    );
    first_document::send_to_waiting(core);
}

/// Sends the document in force to one node, which relays it to `scope`. `tried` are the nodes that were tried as the
/// relay before.
fn send_document(
    core: &Core,
    link: &Link,
    scope: Scope,
    tried: &[Host],
    updates: &mut EncodedUpdates,
) {
    let current = link.status.borrow().document;
    if current == Number::default() && scope == Scope::Host {
        first_document::send_or_refer(core, link);
        return;
    }
    let is_relay = matches!(scope, Scope::Domain | Scope::Region);
    if is_relay && is_awaited(core, link) {
        return;
    }
    for bytes in updates.frames(core, current, scope) {
        link.send_encoded(bytes.clone(), None);
    }
    if is_relay {
        let host = link.contact.host.clone();
        core.peers
            .spreading
            .pending_acks
            .borrow_mut()
            .push(PendingAck {
                tried: tried.iter().cloned().chain([host]).collect(),
                sent_at: core.now(),
                number: core.number(),
                scope,
            });
    } else {
        let mut status = link.status.borrow_mut();
        status.document = status.document.max(core.number());
    }
}

/// Acknowledges a document to the node that sent it, and relays it to `scope`.
pub(super) fn acknowledge_and_relay(core: &Core, link: &Link, scope: Scope) {
    if scope == Scope::Host {
        return;
    }
    link.send(&Frame::Status(core.status()), None);
    push_document(core, scope);
}

/// Tells all nodes of a scope that the document in force was the newest one in the store `age` ago. The relays are drawn
/// at random each time, so that a node that is stalled does not hide every confirmation from those behind it.
pub(in crate::sidecar) fn push_confirmation(core: &Core, scope: Scope, age: Duration) {
    let mut links = core.peers.responsive_links();
    links.shuffle(&mut *core.peers.rng.borrow_mut());
    let confirmation = Confirmation {
        age,
        epoch: core.epoch.get(),
        evacuations: core.evacuations.borrow().clone(),
        number: core.number(),
    };
    for hop in dissemination::next_hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        let frame = Frame::Confirmation(hop.scope, confirmation.clone());
        core.peers.send(&hop.host, &frame);
    }
}

/// Handles a confirmation of another node: relays it if its document is the one in force, and keeps it until then if this
/// node is behind. The nodes that would hear of it from this one have probably missed the same change.
pub(super) fn receive_confirmation(
    core: &Core,
    from: &Host,
    scope: Scope,
    confirmation: &Confirmation,
) {
    let now = core.now();
    let (age, number) = (confirmation.age, confirmation.number);
    if number == core.number() {
        confirm_and_relay(core, from, scope, age);
    } else if number > core.number() {
        core.peers
            .spreading
            .behind_since
            .borrow_mut()
            .get_or_insert(now);
        *core.peers.spreading.pending_confirmation.borrow_mut() = Some(PendingConfirmation {
            age,
            number,
            received_at: now,
            scope,
        });
    }
}

fn confirm_and_relay(core: &Core, from: &Host, scope: Scope, age: Duration) {
    core.freshness.borrow_mut().confirm_by_peer(core.now(), age);
    *core.confirmed_by.borrow_mut() = Some(from.clone());
    push_confirmation(core, scope, age);
}

/// Relays the confirmation that made this node fetch the document from `host`, once that is in force. A document that was
/// relayed to this node as usual is relayed further as usual as well.
pub(super) fn relay_pending_confirmation(core: &Core, host: &Host) {
    let spreading = &core.peers.spreading;
    let is_in_force = |pending: &mut PendingConfirmation| pending.number <= core.number();
    let pending = spreading
        .pending_confirmation
        .borrow_mut()
        .take_if(is_in_force);
    let Some(pending) = pending else {
        return;
    };
    let fetched = matches!(spreading.fetch.take(), Some((asked, _)) if asked == *host);
    if fetched && pending.number == core.number() {
        let age = pending.age + core.now().since(pending.received_at);
        confirm_and_relay(core, host, pending.scope, age);
    }
}

/// Sends the state of a rollout to all nodes of a scope. The end of a rollout is sent to every connected node directly,
/// as it must not be delayed by a relay.
pub(in crate::sidecar) fn push_state(core: &Core, scope: Scope, state: &RolloutState) {
    if state.phase != Phase::Running && scope == Scope::Mesh {
        core.peers
            .broadcast(&Frame::Ramp(Scope::Host, state.clone()));
        return;
    }
    // Other relays each time: a running rollout's state is sent again, and nobody acknowledges it.
    let mut links = core.peers.responsive_links();
    links.shuffle(&mut *core.peers.rng.borrow_mut());
    for hop in dissemination::next_hops(&core.contact, scope, &Peers::contacts_of(&links)) {
        core.peers
            .send(&hop.host, &Frame::Ramp(hop.scope, state.clone()));
    }
}

/// Requests the newer document of a node, unless another fetch is in progress.
pub(super) fn fetch(core: &Core, link: &Link) {
    if fetch_in_progress(core).is_none() {
        send_fetch(core, link);
    }
}

/// Requests the newer document of a node.
pub(super) fn send_fetch(core: &Core, link: &Link) {
    let (now, host) = (core.now(), link.contact.host.clone());
    core.log.record(
        now,
        "document",
        format_args!("outcome=asked peer={host} number={}", core.number()),
    );
    *core.peers.spreading.fetch.borrow_mut() = Some((host, now));
    link.send(&Frame::Fetch(core.number()), None);
}

/// Returns the node that was asked for its document, unless that was too long ago.
fn fetch_in_progress(core: &Core) -> Option<Host> {
    let now = core.now();
    let fetch = core.peers.spreading.fetch.borrow();
    let (host, _) = fetch
        .as_ref()
        .filter(|(_, at)| now.since(*at) < FETCH_TIMEOUT)?;
    Some(host.clone())
}

/// Returns whether a fetch from another node than this one is in progress.
pub(super) fn awaits_other_than(core: &Core, host: &Host) -> bool {
    fetch_in_progress(core).is_some_and(|asked| asked != *host)
}

/// Ends the fetch in progress if this node was asked, so that another one can be.
pub(super) fn forget_fetch_from(core: &Core, host: &Host) {
    let mut fetch = core.peers.spreading.fetch.borrow_mut();
    if fetch.as_ref().is_some_and(|(asked, _)| asked == host) {
        *fetch = None;
    }
}

/// Requests the contacts known to the nearest node. Used while the store does not answer.
pub(in crate::sidecar) fn request_contacts(core: &Core) {
    let links = core.peers.responsive_links();
    let nearest = links
        .iter()
        .min_by_key(|link| core.tier_of(&link.contact) as usize);
    if let Some(link) = nearest {
        link.send(&Frame::Introduce, None);
    }
}

/// Tries the next relay for each document that was not acknowledged in time, and fetches documents that were missed.
pub(super) fn tick(core: &Core, now: Moment) {
    let mut unacknowledged = Vec::new();
    core.peers
        .spreading
        .pending_acks
        .borrow_mut()
        .retain(|pending| {
            let overdue = now.since(pending.sent_at) >= ACK_TIMEOUT;
            if overdue && !is_acknowledged(core, pending) {
                unacknowledged.push((pending.scope, pending.tried.clone()));
            }
            !overdue
        });
    for (scope, tried) in unacknowledged {
        try_next_relay(core, scope, &tried);
    }
    catch_up(core, now);
}

/// Fetches a newer document from the nearest node that has it. A fetch from far away is delayed, as a copy may already
/// be on its way to a nearby node.
fn catch_up(core: &Core, now: Moment) {
    let own = core.number();
    let links = core.peers.responsive_links();
    let ahead = links
        .iter()
        .filter(|link| link.status.borrow().document > own);
    // One of the nearest at random: many nodes may be behind at the same moment.
    let order: u64 = core.peers.rng.borrow_mut().random();
    let nearest = ahead.min_by_key(|link| {
        let host = xxh3_64_with_seed(link.contact.host.as_str().as_bytes(), order);
        (core.tier_of(&link.contact) as usize, host)
    });
    let mut behind_since = core.peers.spreading.behind_since.borrow_mut();
    let Some(nearest) = nearest else {
        *behind_since = None;
        return;
    };
    let since = *behind_since.get_or_insert(now);
    let delay = match core.tier_of(&nearest.contact) {
        Tier::Own => Duration::ZERO,
        // Without a document nothing can be served.
        Tier::Region if !core.has_document() => Duration::ZERO,
        Tier::Remote if !core.has_document() => REGION_FETCH_DELAY,
        Tier::Region => REGION_FETCH_DELAY,
        Tier::Remote => REMOTE_FETCH_DELAY,
    };
    if now.since(since) >= delay {
        fetch(core, nearest);
    }
}

/// Returns whether the document in force is on its way to a relay that has not acknowledged it yet.
fn is_awaited(core: &Core, link: &Link) -> bool {
    let (host, number) = (&link.contact.host, core.number());
    let pending_acks = core.peers.spreading.pending_acks.borrow();
    let mut awaited = pending_acks.iter();
    awaited.any(|pending| pending.number == number && pending.tried.last() == Some(host))
}

/// Returns whether the relay tried last is known to have the document. A closed connection counts as not acknowledged.
fn is_acknowledged(core: &Core, pending: &PendingAck) -> bool {
    let links = core.peers.links.borrow();
    let last = pending.tried.last().and_then(|host| links.get(host));
    last.is_some_and(|link| link.status.borrow().document >= pending.number)
}

/// Sends the document to another node of the failed relay's failure domain or region, unless too many were tried.
fn try_next_relay(core: &Core, scope: Scope, tried: &[Host]) {
    let Some(last) = tried.last() else { return };
    if tried.len() >= RELAYS_MAX {
        return;
    }
    let failed = {
        let known = core.peers.known.borrow();
        known.get(last).map(|known| known.contact.clone())
    };
    let Some(failed) = failed else { return };
    let links = core.peers.responsive_links();
    let next = links.iter().find(|link| {
        let same = match scope {
            Scope::Region => link.contact.region == failed.region,
            Scope::Host | Scope::Domain | Scope::Mesh => link.contact.domain == failed.domain,
        };
        same && !tried.contains(&link.contact.host)
    });
    if let Some(link) = next {
        core.log.record(
            core.now(),
            "spread",
            format_args!("outcome=unconfirmed peer={last} next={}", link.contact.host),
        );
        send_document(core, link, scope, tried, &mut EncodedUpdates::default());
    }
}

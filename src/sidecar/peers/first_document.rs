//! Sends the document to nodes that have none, as [`uploads`](crate::sidecar::uploads) decides.

use {
    super::{Link, broadcast},
    crate::{
        sidecar::{
            dissemination::Scope,
            document::Number,
            frame::{self, Frame},
            node::Core,
            uploads::{Decision, Uploads},
        },
        types::Host,
    },
    bytes::Bytes,
    std::{cell::RefCell, rc::Rc},
};

/// State of sending first documents.
#[derive(Default)]
pub(super) struct State {
    /// The document with this number as an encoded frame: to compress a large document for each receiver takes longer than
    /// a small host can afford.
    encoded: RefCell<Option<(Number, Bytes)>>,
    uploads: RefCell<Uploads>,
    /// Nodes that have asked this one before it had a document itself.
    waiting: RefCell<Vec<Host>>,
}

/// Sends the document to a node that has none, or refers it to another node.
pub(super) fn send_or_refer(core: &Core, link: &Link) {
    let host = &link.contact.host;
    let state = &core.peers.first_documents;
    if !core.has_document() {
        let mut waiting = state.waiting.borrow_mut();
        if !waiting.contains(host) {
            waiting.push(host.clone());
        }
        return;
    }
    let now = core.now();
    let region = &link.contact.region;
    let decision = state.uploads.borrow_mut().request(now, host, region);
    match decision {
        Decision::Refer(to) => {
            core.log.record(
                now,
                "spread",
                format_args!("outcome=referred peer={host} to={to}"),
            );
            link.send(&Frame::Referral(to), None);
        }
        Decision::Send => {
            core.log.record(
                now,
                "spread",
                format_args!("outcome=sent peer={host} number={}", core.number()),
            );
            send_whole(core, link);
        }
        Decision::Wait => {}
    }
}

/// Asks the node to which another one has referred this node, unless this node waits for a third one.
pub(super) fn follow_referral(core: &Core, from: &Host, to: &Host) {
    if core.has_document() || broadcast::awaits_other_than(core, from) {
        return;
    }
    let link = core.peers.links.borrow().get(to).cloned();
    match link {
        Some(link) => broadcast::send_fetch(core, &link),
        // The connection is not open yet; another node is asked at the next tick.
        None => broadcast::forget_fetch_from(core, from),
    }
}

/// Sends the document to the nodes that have asked for it before this node had it.
pub(super) fn send_to_waiting(core: &Core) {
    let waiting = core.peers.first_documents.waiting.take();
    for host in waiting {
        let link = core.peers.links.borrow().get(&host).cloned();
        if let Some(link) = link {
            send_or_refer(core, &link);
        }
    }
}

/// Records that a node has a document.
pub(super) fn confirm(core: &Core, host: &Host) {
    let state = &core.peers.first_documents;
    state.uploads.borrow_mut().confirm(host);
}

/// Forgets a node whose connection has closed, on both sides of a transfer.
pub(super) fn forget(core: &Core, link: &Rc<Link>) {
    let host = &link.contact.host;
    let state = &core.peers.first_documents;
    state.uploads.borrow_mut().remove(host);
    state.waiting.borrow_mut().retain(|waiting| waiting != host);
    broadcast::forget_fetch_from(core, host);
}

/// Sends the states of rollouts and then the document, as the node routes requests as soon as it has a document.
fn send_whole(core: &Core, link: &Link) {
    for frame in core.frames_since(Number::default(), Scope::Host) {
        if !matches!(frame, Frame::Document(..)) {
            link.send(&frame, None);
        } else if let Some(bytes) = encoded_document(core, &frame) {
            link.send_encoded(bytes, None);
        }
    }
}

fn encoded_document(core: &Core, document: &Frame) -> Option<Bytes> {
    let number = core.number();
    let mut encoded = core.peers.first_documents.encoded.borrow_mut();
    if encoded.as_ref().is_none_or(|(held, _)| *held != number) {
        *encoded = Some((number, frame::encode(document).ok()?));
    }
    encoded.as_ref().map(|(_, bytes)| bytes.clone())
}

//! Sends the large bodies of requests to other nodes in parts, each time as much as the receiver has room for.
//!
//! Load pattern: several nodes send bodies that are each within the limits of the document to the node beside the same
//! upstream. In one frame each, they would be in its memory before it could reject them, and would hold up the answers and
//! signs of life behind them. Here a body is announced, and the receiver grants it room, or declines the request, before any
//! of it is sent. The request itself follows the last part, so until then it has certainly not run.

use {
    super::{link::Link, outcome},
    crate::{
        http1::Body,
        refusal::Reason,
        sidecar::{
            body_budget::{OVERHEAD_BYTES, Reservation},
            body_room,
            frame::{Frame, Outcome, Request, StreamId, Transfer},
            node::Core,
        },
        types::Moment,
    },
    bytes::Bytes,
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Maximum length in bytes of a body that is sent in the frame of its request.
pub(super) const DIRECT_BYTES_MAX: usize = 60 * 1024;

/// Number of parts that may be on their way at a time, each a segment of a body. They delay the frames behind them.
const WINDOW_PARTS: u32 = 8;

/// Why a request was not taken, and after which time it may return.
#[derive(Debug)]
pub(super) struct Declined {
    reason: Reason,
    retry_after: Duration,
}

/// Body that a node has announced.
struct Incoming {
    body: Body,
    /// Bytes that have not arrived.
    missing: u64,
    /// Parts that have arrived since the last grant.
    received_parts: u32,
    /// `None` while the body waits for room.
    room: Option<Reservation>,
}

/// Bodies that a node has announced on one connection.
#[derive(Default)]
pub(super) struct Transfers {
    incoming: HashMap<StreamId, Incoming>,
}

impl Transfers {
    /// Forgets a body whose request was cancelled.
    pub(super) fn cancel(&mut self, stream: StreamId) {
        self.incoming.remove(&stream);
    }

    /// Forgets all bodies.
    pub(super) fn clear(&mut self) {
        self.incoming.clear();
    }

    /// Removes and returns a body that has arrived, `None` if a part of it is missing.
    fn take_complete(&mut self, stream: StreamId) -> Option<(Body, Reservation)> {
        let incoming = self.incoming.remove(&stream)?;
        let room = incoming.room.filter(|_| incoming.missing == 0)?;
        Some((incoming.body, room))
    }
}

/// Sends a body in parts, as the receiver grants them. Returns whether all of them were queued.
pub(super) async fn send(
    link: &Link,
    stream: StreamId,
    body: &Body,
    mut grants: mpsc::UnboundedReceiver<u32>,
) -> bool {
    if !link.send(
        &Frame::Transfer(stream, Transfer::Announce(body.len() as u64)),
        None,
    ) {
        return false;
    }
    let mut granted = 0;
    for part in body.segments() {
        if granted == 0 {
            match grants.recv().await {
                Some(parts) => granted += parts,
                None => return false,
            }
        }
        granted = granted.saturating_sub(1);
        let frame = Frame::Transfer(stream, Transfer::Part(part.clone()));
        loop {
            let dequeued = link.dequeued.notified();
            if link.send(&frame, None) {
                break;
            }
            // Frames of other requests fill the queue.
            dequeued.await;
        }
    }
    true
}

/// Grants a body room, or declines its request if there is none.
pub(super) fn announced(core: &Rc<Core>, link: &Rc<Link>, stream: StreamId, body_bytes: u64) {
    let incoming = Incoming {
        body: Body::default(),
        missing: body_bytes,
        received_parts: 0,
        room: None,
    };
    link.transfers
        .borrow_mut()
        .incoming
        .insert(stream, incoming);
    let (core, link) = (core.clone(), link.clone());
    tokio::task::spawn_local(async move {
        let arrived = core.now();
        let mut room = core.body_budget.open();
        let bytes = body_bytes.saturating_add(OVERHEAD_BYTES);
        if body_room::reserve(&core, &mut room, bytes).await {
            let mut transfers = link.transfers.borrow_mut();
            // The request may have been cancelled.
            if let Some(incoming) = transfers.incoming.get_mut(&stream) {
                incoming.room = Some(room);
                link.send_small(&Frame::Transfer(stream, Transfer::Grant(WINDOW_PARTS)));
            }
        } else {
            link.transfers.borrow_mut().cancel(stream);
            let declined = Declined {
                reason: Reason::Overloaded,
                retry_after: body_room::reject(&core, body_bytes),
            };
            decline(&core, &link, stream, declined, arrived).await;
        }
    });
}

/// Tells a node that its request was not taken.
pub(super) async fn decline(
    core: &Rc<Core>,
    link: &Rc<Link>,
    stream: StreamId,
    declined: Declined,
    arrived: Moment,
) {
    let Declined {
        reason,
        retry_after,
    } = declined;
    core.log.record(
        core.now(),
        "decline",
        format_args!(
            "peer={} stream={} reason={reason} request_bytes={}",
            link.contact.host,
            stream.0,
            core.body_budget.held_bytes()
        ),
    );
    let outcome = Outcome::Declined(reason, retry_after);
    outcome::send(core, link, stream, outcome, arrived).await;
}

/// Takes a part of a body, and grants further ones. Parts of a body that was not granted are ignored.
pub(super) fn receive(link: &Link, stream: StreamId, part: Bytes) {
    let mut transfers = link.transfers.borrow_mut();
    let Some(incoming) = transfers.incoming.get_mut(&stream) else {
        return;
    };
    let Some(missing) = incoming.missing.checked_sub(part.len() as u64) else {
        transfers.cancel(stream);
        return;
    };
    if incoming.room.is_none() {
        return;
    }
    incoming.missing = missing;
    incoming.body.push(part);
    incoming.received_parts += 1;
    if incoming.received_parts >= WINDOW_PARTS / 2 && missing > 0 {
        let parts = std::mem::take(&mut incoming.received_parts);
        link.send_small(&Frame::Transfer(stream, Transfer::Grant(parts)));
    }
}

/// Returns a request with its body, which has arrived in parts.
///
/// # Errors
/// Returns an error if a part is missing, so that the request can't be run.
pub(super) fn complete(
    link: &Link,
    stream: StreamId,
    mut request: Request,
) -> Result<Request, Declined> {
    let arrived = link.transfers.borrow_mut().take_complete(stream);
    let (body, room) = arrived.ok_or(Declined {
        reason: Reason::Unreachable,
        retry_after: Duration::ZERO,
    })?;
    request.body = room.attach(body);
    Ok(request)
}

/// Returns a request whose body came in its frame, with the room for it.
///
/// # Errors
/// Returns an error if there is no room.
pub(super) fn admit(core: &Core, mut request: Request) -> Result<Request, Declined> {
    let mut room = core.body_budget.open();
    let bytes = OVERHEAD_BYTES + request.body.len() as u64;
    if !room.try_grow(bytes) {
        return Err(Declined {
            reason: Reason::Overloaded,
            retry_after: body_room::reject(core, bytes),
        });
    }
    request.body = room.attach(std::mem::take(&mut request.body));
    Ok(request)
}

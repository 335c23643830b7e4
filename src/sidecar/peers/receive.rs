//! Handles the frames received from other nodes.

use {
    super::{
        Link, broadcast, dial, evacuations, first_document, outcome,
        transfer::{self, Declined},
    },
    crate::{
        refusal::Reason,
        sidecar::{
            dissemination::Scope,
            document::{Delta, Document, Number},
            evidence::Report,
            frame::{Frame, Outcome, Request, StreamId, Transfer},
            load_balancer::AttemptResult,
            local_upstream,
            node::Core,
            permits,
            rollout::{Phase, RolloutState},
        },
        traffic::spill::Tier,
        types::Moment,
    },
    std::{rc::Rc, sync::Arc},
    tokio::sync::oneshot,
};

/// Number of nodes that pass evidence on. Two nodes may each take the other for the leader.
const EVIDENCE_HOPS_MAX: u8 = 2;

/// Handles one frame. Any frame counts as a sign that the node responds.
pub(super) fn receive(core: &Rc<Core>, link: &Rc<Link>, frame: Frame) {
    let now = core.now();
    link.received_at.set(now);
    link.ping_sent_at.set(None);
    let host = &link.contact.host;
    // If two nodes connect to each other at the same time, each may use a different one of the two connections. A
    // node's status thus applies to the connection in use here, whichever of them it arrived on.
    let current = core.peers.links.borrow().get(host).cloned();
    let current = current.unwrap_or_else(|| link.clone());
    if link.suspect.replace(false) {
        link.heard_again_at.set(Some(now));
        core.log
            .record(now, "peer", format_args!("outcome=heard peer={host}"));
        update_offer(core, &current, now);
    }
    match frame {
        Frame::Hello(_) => {}
        Frame::Ping(number) => {
            link.send(&Frame::Pong(core.number()), None);
            record_document(core, &current, number);
        }
        Frame::Pong(number) => {
            link.pongs_received.set(link.pongs_received.get() + 1);
            record_document(core, &current, number);
        }
        Frame::Status(status) => {
            let number = status.document;
            *current.status.borrow_mut() = status;
            update_offer(core, &current, now);
            core.peers.candidates_changed.notify_waiters();
            record_document(core, &current, number);
        }
        Frame::Registration(announcement) => {
            core.peers.keep_registration(&link.contact, announcement);
        }
        Frame::Recall(announcement, coverage) => {
            if core
                .local_upstream
                .recall(core, announcement, coverage, host)
            {
                core.broadcast_status();
            }
        }
        Frame::Introduce => {
            link.send(&Frame::Contacts(core.peers.contacts()), None);
        }
        Frame::Contacts(contacts) => {
            core.peers.merge_contacts(contacts);
            dial(core, now);
        }
        Frame::Fetch(from) if from == Number::default() => {
            first_document::send_or_refer(core, link);
        }
        Frame::Referral(to) => first_document::follow_referral(core, host, &to),
        Frame::Fetch(from) => {
            for frame in core.frames_since(from, Scope::Host) {
                link.send(&frame, None);
            }
        }
        Frame::Document(scope, document) => {
            install(core, link, &current, scope, Arc::unwrap_or_clone(document));
        }
        Frame::Difference(scope, difference) => apply_delta(core, &current, scope, &difference),
        Frame::Confirmation(scope, confirmation) => {
            core.note_epoch(confirmation.epoch, host.as_str());
            record_document(core, &current, confirmation.number);
            core.adopt_evacuations(&confirmation.evacuations, host.as_str());
            broadcast::receive_confirmation(core, host, scope, &confirmation);
        }
        Frame::Evacuations(scope, known) => {
            evacuations::receive(core, host.as_str(), scope, &known);
        }
        Frame::Evidence(evidence, hops) => record_evidence(core, link, evidence, hops),
        Frame::Ramp(scope, state) => receive_state(core, link, scope, state),
        Frame::Strikes(strikes) => {
            let new_strikes = core.local_upstream.merge_strikes(now, strikes);
            if !new_strikes.is_empty() {
                core.peers
                    .relay_within_region(&link.contact, &Frame::Strikes(new_strikes));
            }
        }
        Frame::Lease(lease) => permits::receive_lease(core, &link.contact, lease),
        Frame::PermitQuery(id, account, wanted) => {
            link.send(&permits::answer_query(core, id, account, wanted), None);
        }
        Frame::PermitAnswer(id, account, answer) => {
            permits::receive_answer(core, id, &account, answer);
        }
        Frame::Request(stream, request) => {
            let admitted = transfer::admit(core, *request);
            serve(core, link, stream, admitted);
        }
        Frame::Cancel(stream) => {
            link.serving.borrow_mut().remove(&stream);
            link.transfers.borrow_mut().cancel(stream);
        }
        Frame::Transfer(stream, step) => receive_transfer(core, link, stream, step),
        Frame::Outcome(stream, outcome, load) => {
            outcome::receive(core, link, stream, outcome, load);
        }
    }
}

/// Records evidence, or passes it on to the leader of the rollout: its sender may not be connected to that node, or may have
/// missed which one it is. A sender of this region is told then.
fn record_evidence(core: &Core, link: &Link, evidence: Report, hops: u8) {
    let leader = core
        .remote_leader_of(&evidence.service)
        .filter(|_| hops < EVIDENCE_HOPS_MAX);
    let Some(leader) = leader else {
        core.rollouts.borrow_mut().record(&evidence);
        return;
    };
    if hops == 0 && core.tier_of(&link.contact) != Tier::Remote {
        let states = core.rollout_states.borrow();
        if let Some(state) = states.get(&evidence.service) {
            link.send(&Frame::Ramp(Scope::Host, state.clone()), None);
        }
    }
    core.peers
        .send(&leader, &Frame::Evidence(evidence, hops + 1));
}

/// Records which document a node has in force, and fetches it at once from a nearby node if it is newer.
fn record_document(core: &Core, link: &Link, number: Number) {
    let mut status = link.status.borrow_mut();
    status.document = status.document.max(number);
    if number > Number::default() {
        first_document::confirm(core, &link.contact.host);
    }
    let near = match core.tier_of(&link.contact) {
        Tier::Own => true,
        // Without a document nothing can be served, so it is fetched at once. Otherwise a copy is already on its way
        // to this domain.
        Tier::Region => !core.has_document(),
        Tier::Remote => false,
    };
    if near && number > core.number() {
        broadcast::fetch(core, link);
    }
}

/// Updates the load balancer with the node's last offer.
pub(super) fn update_offer(core: &Core, link: &Link, now: Moment) {
    let offer = link.status.borrow().offer.clone();
    let location = core.location_of(&link.contact);
    core.load_balancer
        .borrow_mut()
        .update_offer(now, &link.contact.host, location, offer);
}

/// Puts a whole document in force if it is newer than the current one, and relays it.
fn install(core: &Rc<Core>, link: &Rc<Link>, current: &Link, scope: Scope, document: Document) {
    let (host, number) = (&link.contact.host, document.number);
    current.status.borrow_mut().document = number;
    let is_first = !core.has_document();
    if core.install_document(document, host.as_str()) {
        broadcast::acknowledge_and_relay(core, link, scope);
        broadcast::relay_pending_confirmation(core, host);
        if is_first && scope == Scope::Host {
            // The sender counts its uploads in progress.
            link.send(&Frame::Status(core.status()), None);
            first_document::send_to_waiting(core);
        }
    } else if number <= core.number() {
        broadcast::acknowledge_and_relay(core, link, scope);
    }
}

/// Applies a difference to the document in force and relays it, or fetches what is missing if it does not apply.
fn apply_delta(core: &Rc<Core>, link: &Rc<Link>, scope: Scope, difference: &Delta) {
    let host = &link.contact.host;
    {
        let mut status = link.status.borrow_mut();
        status.document = status.document.max(difference.to);
    }
    if difference.to <= core.number() {
        // The nodes that depend on this relay may not have it yet.
        broadcast::acknowledge_and_relay(core, link, scope);
        return;
    }
    let current = core.document.borrow().clone();
    match current.apply(difference) {
        Ok(document) => {
            if core.install_document(document, host.as_str()) {
                broadcast::acknowledge_and_relay(core, link, scope);
                broadcast::relay_pending_confirmation(core, host);
            }
        }
        Err(fault) => {
            let now = core.now();
            core.log.record(
                now,
                "document",
                format_args!(
                    "outcome=fetch number={} source={host} cause=\"{fault}\"",
                    difference.to
                ),
            );
            broadcast::fetch(core, link);
        }
    }
}

/// Handles the state of a rollout, which the nodes that depend on this one may need.
fn receive_state(core: &Rc<Core>, link: &Link, scope: Scope, state: RolloutState) {
    let is_new = core.install_state(state.clone());
    let is_held = core.rollout_states.borrow().get(&state.order.service) == Some(&state);
    if is_held {
        // The nodes that depend on this relay may not have it yet.
        broadcast::push_state(core, scope, &state);
    }
    if is_new && state.phase != Phase::Running {
        let ended = Frame::Ramp(Scope::Host, state);
        core.peers.relay_within_region(&link.contact, &ended);
    }
}

/// Handles a step of a request whose body is sent in parts.
fn receive_transfer(core: &Rc<Core>, link: &Rc<Link>, stream: StreamId, step: Transfer) {
    match step {
        Transfer::Announce(body_bytes) => transfer::announced(core, link, stream, body_bytes),
        Transfer::Grant(parts) => link.grant(stream, parts),
        Transfer::Part(part) => transfer::receive(link, stream, part),
        Transfer::Request(request) => {
            let completed = transfer::complete(link, stream, *request);
            serve(core, link, stream, completed);
        }
    }
}

/// Runs a request at the upstream on this host and sends its outcome back, or declines it for a reason.
fn serve(core: &Rc<Core>, link: &Rc<Link>, stream: StreamId, admitted: Result<Request, Declined>) {
    let arrived = core.now();
    let (core, link) = (core.clone(), link.clone());
    let request = match admitted {
        Ok(request) => request,
        Err(declined) => {
            tokio::task::spawn_local(async move {
                transfer::decline(&core, &link, stream, declined, arrived).await;
            });
            return;
        }
    };
    let (cancel, cancelled) = oneshot::channel();
    link.serving.borrow_mut().insert(stream, cancel);
    tokio::task::spawn_local(async move {
        let outcome = local_upstream::serve(&core, request, cancelled).await;
        link.serving.borrow_mut().remove(&stream);
        outcome::send(&core, &link, stream, outcome, arrived).await;
    });
}

/// Returns the result of an attempt for the load balancer. Refusals for lack of time or slots, or because of the region, do
/// not count against the upstream.
pub(in crate::sidecar) fn attempt_result(outcome: &Outcome) -> AttemptResult {
    match outcome {
        Outcome::Answered(answer) if answer.status >= 500 || answer.not_run => {
            AttemptResult::Failed
        }
        Outcome::Answered(_) => AttemptResult::Answered,
        // Also if a node had no room for the answer, which says nothing about the upstream.
        Outcome::Declined(Reason::Overloaded | Reason::Deadline | Reason::Region, _)
        | Outcome::Unknown(Reason::TooLarge) => AttemptResult::Inconclusive,
        Outcome::Declined(..) | Outcome::Unknown(_) => AttemptResult::Failed,
    }
}

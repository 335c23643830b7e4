//! Handles the frames received from other nodes.

use {
    super::{Link, dial, spreading},
    crate::{
        refusal::Reason,
        sidecar::{
            document::{Difference, Number},
            egress,
            evidence::Evidence,
            frame::{Frame, Outcome, Request, Stream},
            node::Core,
            placement::End,
            ramp::Phase,
            spread::Scope,
        },
        traffic::spill::Tier,
        world::Moment,
    },
    std::{rc::Rc, sync::Arc},
    tokio::sync::oneshot,
};

pub(super) fn receive(core: &Rc<Core>, link: &Rc<Link>, frame: Frame) {
    let now = core.now();
    link.heard.set(now);
    link.pinged.set(None);
    let host = &link.contact.host;
    // If two nodes connect to each other at the same time, each may use a different one of the two connections. A
    // node's status thus applies to the connection in use here, whichever of them it arrived on.
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
            for frame in core.frames_since(from, Scope::Host) {
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
        Frame::Evidence(evidence) => judge(core, link, evidence),
        Frame::Ramp(scope, ramp) => {
            if core.follow(ramp.clone()) {
                spreading::ramp(core, scope, &ramp);
                if ramp.phase != Phase::Running {
                    let ended = Frame::Ramp(Scope::Host, ramp);
                    core.peers.pass_on(&link.contact, &ended);
                }
            }
        }
        Frame::Strikes(strikes) => {
            let news = core.egress.learn(now, strikes);
            if !news.is_empty() {
                core.peers.pass_on(&link.contact, &Frame::Strikes(news));
            }
        }
        Frame::Request(stream, request) => serve(core, link, stream, *request),
        Frame::Cancel(stream) => {
            link.serving.borrow_mut().remove(&stream);
        }
        Frame::Outcome(stream, outcome, load) => {
            if let Some(pending) = link.pending.borrow_mut().remove(&stream) {
                // Sending fails only if the caller has gone and nobody waits for the outcome.
                let _ = pending.done.send((outcome, Some(load)));
            }
        }
    }
}

/// Records evidence, or forwards it to the leader of the rollout if it came from another region: its sender may not be
/// connected to that node.
fn judge(core: &Core, link: &Link, evidence: Evidence) {
    let conductor = if core.tier(&link.contact) == Tier::Remote {
        core.judge_of(&evidence.service)
    } else {
        None
    };
    match conductor {
        Some(host) => core.peers.send(&host, &Frame::Evidence(evidence)),
        None => core.conductor.borrow_mut().add(&evidence),
    }
}

/// Records which document a node has in force, and fetches it at once from a nearby node if it is newer.
fn runs(core: &Core, link: &Link, number: Number) {
    let mut status = link.status.borrow_mut();
    status.document = status.document.max(number);
    let near = match core.tier(&link.contact) {
        Tier::Own => true,
        // Without a document nothing can be served, so it is fetched at once. Otherwise a copy is already on its way
        // to this domain.
        Tier::Region => !core.configured(),
        Tier::Remote => false,
    };
    if near && number > core.number() {
        spreading::fetch(core, link);
    }
}

pub(super) fn offer(core: &Core, link: &Link, now: Moment) {
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

/// Returns the result of an attempt for the load balancer. Refusals for lack of time or slots do not count against the
/// upstream.
pub(in crate::sidecar) fn end(outcome: &Outcome) -> End {
    match outcome {
        Outcome::Answered(answer) if answer.status >= 500 || answer.not_run => End::Failed,
        Outcome::Answered(_) => End::Answered,
        Outcome::Declined(Reason::Overloaded | Reason::Deadline, _) => End::Silent,
        Outcome::Declined(..) | Outcome::Unknown(_) => End::Failed,
    }
}

//! Returns the outcomes of requests to the nodes that sent them.

use {
    super::link::Link,
    crate::{
        refusal::Reason,
        sidecar::{
            answer_room,
            frame::{self, Frame, Outcome, StreamId},
            load_balancer::Load,
            node::Core,
        },
        types::Moment,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time for which an outcome waits for room in the queue of its connection, whose node reads slowly.
const QUEUE_WAIT: Duration = Duration::from_secs(1);

/// Ends a request with the outcome that a node has sent. An answer counts as held from now on.
pub(super) fn receive(core: &Core, link: &Link, stream: StreamId, outcome: Outcome, load: Load) {
    let Some(pending) = link.pending.borrow_mut().remove(&stream) else {
        return;
    };
    let outcome = match outcome {
        Outcome::Answered(answer) => Outcome::Answered(answer_room::hold(core, answer)),
        other => other,
    };
    // Sending fails only if the caller has gone and nobody waits for the outcome.
    let _ = pending.outcome_sender.send((outcome, Some(load)));
}

/// Sends the outcome of a request. It counts as held until it is written. If it has no room in the queue for too long, the
/// sender of the request is told that there is no answer, and if even that has no room, the connection is closed, which
/// tells it the same: it would otherwise wait until the deadline.
pub(super) async fn send(
    core: &Rc<Core>,
    link: &Rc<Link>,
    stream: StreamId,
    outcome: Outcome,
    arrived: Moment,
) {
    let load = core.local_upstream.load_after(core.now(), arrived);
    let frame = Frame::Outcome(stream, outcome, load);
    let Ok(bytes) = frame::encode(&frame) else {
        link.closing.notify_one();
        return;
    };
    let Frame::Outcome(_, outcome, load) = frame else {
        return;
    };
    let is_answer = matches!(outcome, Outcome::Answered(_));
    drop(outcome);
    let bytes = core.answer_budget.hold(bytes.len() as u64).attach(bytes);
    if link.outgoing.is_closed() {
        // The sender of the request has noticed the end of the connection as well.
        return;
    }
    let queueing = async {
        loop {
            let dequeued = link.dequeued.notified();
            if link.send_encoded(bytes.clone(), None) {
                return;
            }
            dequeued.await;
        }
    };
    if timeout(QUEUE_WAIT, queueing).await.is_ok() {
        return;
    }
    let host = &link.contact.host;
    core.log.record(
        core.now(),
        "peer",
        format_args!(
            "outcome=unread peer={host} stream={} bytes={}",
            stream.0,
            bytes.len()
        ),
    );
    let lost = Frame::Outcome(stream, Outcome::Unknown(Reason::TooLarge), load);
    if !is_answer || !link.send_small(&lost) {
        link.closing.notify_one();
    }
}

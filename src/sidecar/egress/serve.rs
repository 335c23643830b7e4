//! One request beside the upstream: checked, queued, run, and its place given back whatever becomes of it.

use {
    super::Running,
    crate::{
        http1::{self, Field},
        refusal::Reason,
        sidecar::{
            frame::{Answer, Frame, Outcome, Request},
            node::Core,
            upstream::{Failure, Outgoing},
        },
        traffic::{admission::Ticket, quarantine::Fingerprint},
        world::Moment,
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// How long the upstream may take after the deadline that it was given to say what became of a request.
const DEADLINE_GRACE: Duration = Duration::from_millis(80);

/// How often a waiting request has the queue looked through.
const QUEUE_PERIOD: Duration = Duration::from_millis(50);

/// A request's place at the upstream, given back when it is dropped.
struct Slot<'a> {
    answered: bool,
    core: &'a Core,
    route: u64,
    ticket: Ticket,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let state = &self.core.egress;
        let now = self.core.now();
        state.waiting.borrow_mut().remove(&self.ticket);
        state.running.borrow_mut().remove(&self.ticket);
        let strike = state
            .quarantine
            .borrow_mut()
            .finish(now, self.ticket, self.answered);
        if let Some(strike) = strike {
            self.core.peers.broadcast(&Frame::Strikes(vec![strike]));
        }
        let mut queue = state.queue.borrow_mut();
        queue.cancel(self.ticket);
        let actions = queue.finish(now, self.ticket, self.route, self.answered);
        drop(queue);
        state.act(actions);
    }
}

/// Has a request run by the upstream on this host. `cancelled` ends with its sender's interest in it: the
/// request then runs no further if it may run again or has not begun.
pub(in crate::sidecar) async fn serve(
    core: &Rc<Core>,
    request: Request,
    mut cancelled: oneshot::Receiver<()>,
) -> Outcome {
    let state = &core.egress;
    let arrived = core.now();
    let demand = request.demand(arrived);
    let fingerprint = Fingerprint::new(
        request.service.as_str(),
        &request.method,
        &request.target,
        &request.body,
    );
    let instance = match state.check(arrived, &request) {
        Ok(instance) => instance,
        Err(reason) => return decline(core, &request, arrived, reason, Duration::ZERO),
    };
    if state.quarantine.borrow_mut().check(arrived, fingerprint) {
        return decline(core, &request, arrived, Reason::Quarantined, Duration::ZERO);
    }
    let ticket = Ticket(state.tickets.get());
    state.tickets.set(ticket.0 + 1);
    let (sender, mut granted) = oneshot::channel();
    state.waiting.borrow_mut().insert(ticket, sender);
    let mut slot = Slot {
        answered: false,
        core,
        route: request.route,
        ticket,
    };
    let actions = state.queue.borrow_mut().arrive(arrived, ticket, demand);
    state.act(actions);
    let decided = loop {
        tokio::select! {
            biased;
            decided = &mut granted => break decided,
            _ = &mut cancelled => return Outcome::Declined(Reason::Cut, Duration::ZERO),
            () = tokio::time::sleep(QUEUE_PERIOD) => {
                let actions = state.queue.borrow_mut().tick(core.now());
                state.act(actions);
            }
        }
    };
    if let Err((reason, room_in)) = decided.unwrap_or(Err((Reason::Leaving, Duration::ZERO))) {
        return decline(core, &request, arrived, reason, room_in);
    }
    let began = core.now();
    core.metrics.stage("waiting", began.since(arrived));
    state.running.borrow_mut().insert(
        ticket,
        Running {
            began,
            late: false,
            route: request.route,
        },
    );
    state.quarantine.borrow_mut().begin(ticket, fingerprint);
    let left = demand.deadline.since(began);
    let running = run(core, &request, &instance, left);
    let ended = if request.repeatable {
        tokio::select! {
            biased;
            _ = &mut cancelled => return Outcome::Unknown(Reason::Cut),
            ended = running => ended,
        }
    } else {
        running.await
    };
    let now = core.now();
    core.metrics.stage("running", now.since(began));
    slot.answered = matches!(&ended, Outcome::Answered(answer) if !answer.not_run);
    state.count(now, ticket, has_failed(&ended));
    learn(core, ticket, &ended).await;
    core.log.line(
        now,
        "run",
        format_args!(
            "id={} instance={instance} waited_ms={} took_ms={} {}",
            request.id,
            began.since(arrived).as_millis(),
            now.since(began).as_millis(),
            Summary(&ended)
        ),
    );
    ended
}

/// Tells whether an end of a run speaks against the upstream's version.
fn has_failed(ended: &Outcome) -> bool {
    match ended {
        Outcome::Answered(answer) => answer.status >= 500 && !answer.not_run,
        Outcome::Unknown(_) => true,
        Outcome::Declined(..) => false,
    }
}

/// Takes in what an end of a run tells of the upstream, and of requests that crash it.
async fn learn(core: &Core, ticket: Ticket, ended: &Outcome) {
    let withdraw = || core.egress.quarantine.borrow_mut().remove(ticket);
    match ended {
        Outcome::Answered(answer) if answer.not_run => withdraw(),
        Outcome::Declined(reason, _) => {
            withdraw();
            unreachable(core, *reason).await;
        }
        Outcome::Unknown(Reason::Lost) => crashed(core, ticket).await,
        Outcome::Answered(_) | Outcome::Unknown(_) => {}
    }
}

struct Summary<'a>(&'a Outcome);

fn decline(
    core: &Core,
    request: &Request,
    arrived: Moment,
    reason: Reason,
    room_in: Duration,
) -> Outcome {
    let load = core.egress.load();
    core.log.line(
        core.now(),
        "decline",
        format_args!(
            "id={} reason={reason} waited_ms={} left_ms={} running={} queued={} slots={} run_ms={} room_in_ms={}",
            request.id,
            core.now().since(arrived).as_millis(),
            request.time_left.as_millis(),
            load.running,
            load.queued,
            load.slots,
            load.run_time.as_millis(),
            room_in.as_millis()
        ),
    );
    Outcome::Declined(reason, room_in)
}

async fn run(core: &Rc<Core>, request: &Request, instance: &str, left: Duration) -> Outcome {
    let words = core.header_names;
    let mut fields = request.fields.clone();
    fields.push(Field::new(words.caller, request.caller.as_str()));
    fields.push(Field::new(words.expected, instance));
    fields.push(Field::new(words.time_left, left.as_millis().to_string()));
    let outgoing = Outgoing {
        bytes: http1::request(&request.method, &request.target, &fields, &request.body),
        id: &request.id,
        patience: left + DEADLINE_GRACE,
        repeatable: request.repeatable,
        to_head: request.method == "HEAD",
    };
    match core.egress.upstream.send(&outgoing).await {
        Ok(response) => {
            let not_run = http1::text(&response.fields, words.not_run).is_some();
            let elsewhere = response.status == MISDIRECTED;
            if elsewhere {
                core.egress.down(core, Reason::WrongVersion);
            }
            let mut fields = response.fields;
            http1::strip_hop_by_hop(&mut fields);
            Outcome::Answered(Answer {
                body: response.body,
                fields,
                not_run: not_run || elsewhere,
                status: response.status,
            })
        }
        Err(Failure::Unsent(reason)) => Outcome::Declined(reason, Duration::ZERO),
        Err(Failure::Sent(reason)) => Outcome::Unknown(reason),
    }
}

/// The status by which an upstream says that a request is for another start.
const MISDIRECTED: u16 = 421;

/// Takes in that the upstream could not be sent a request: it may have died of what ran there before.
async fn unreachable(core: &Core, reason: Reason) {
    if !core.egress.upstream.takes_connections().await {
        core.egress.blame(core);
    }
    core.egress.down(core, reason);
}

/// Finds out whether the upstream has died of what ran there, and tells the other nodes if so. A connection
/// that broke while the upstream takes new ones proves nothing against a request.
async fn crashed(core: &Core, ticket: Ticket) {
    if core.egress.upstream.takes_connections().await {
        return;
    }
    let state = &core.egress;
    let blamed = state.quarantine.borrow().is_blamed(ticket);
    if !blamed {
        state.blame(core);
    }
    state.down(core, Reason::Crashed);
}

impl std::fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.0 {
            Outcome::Answered(answer) => write!(
                f,
                "outcome=answered status={} not_run={}",
                answer.status, answer.not_run
            ),
            Outcome::Declined(reason, _) => write!(f, "outcome=declined reason={reason}"),
            Outcome::Unknown(reason) => write!(f, "outcome=unknown reason={reason}"),
        }
    }
}

//! Serving of one request by the upstream on this host: it is checked, queued and run.
//!
//! A [`Slot`] guard returns the request's place in the queue however it ends, also if its caller goes away. A
//! connection failure during a run may be a crash of the upstream: if the upstream then refuses connections, the
//! requests that ran there receive strikes.

use {
    super::{Running, trial, warm_up::check_if_due},
    crate::{
        http1::{self, Field},
        refusal::Reason,
        sidecar::{
            answer_budget::OVERHEAD_BYTES,
            answer_room::{self, UPSTREAM_WAIT},
            document::AccountField,
            frame::{Answer, Frame, Outcome, Request},
            node::Core,
            pace::Pace,
            upstream_pool::{Failure, Outgoing},
        },
        traffic::{admission::Ticket, quarantine::Fingerprint},
        types::Moment,
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::oneshot::{self, error::TryRecvError},
};

/// Time that the upstream has after the deadline that it was given to report the outcome of a request.
const DEADLINE_GRACE: Duration = Duration::from_millis(80);

/// Size in bytes that is divided by the slots of the upstream for the maximum size of one answer, so that a few answers that
/// do not end cannot use up the budget for all of them.
const BODY_BYTES_TOTAL_MAX: u64 = 32 * 1024 * 1024;

/// Maximum size of one answer in bytes at an upstream with many slots. The budget bounds all of them together.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Interval at which a waiting request has the queue apply decisions that are due.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Guard of a request's place in the queue and at the upstream, which are released when it is dropped.
struct Slot<'a> {
    answered: bool,
    core: &'a Core,
    route: u64,
    ticket: Ticket,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let state = &self.core.local_upstream;
        let now = self.core.now();
        state.waiting.borrow_mut().remove(&self.ticket);
        state.running.borrow_mut().remove(&self.ticket);
        let strike = state
            .quarantine
            .borrow_mut()
            .finish(now, self.ticket, self.answered);
        if let Some(strike) = strike {
            self.core.log.record(
                now,
                "quarantine",
                format_args!("outcome=cleared request={}", strike.fingerprint),
            );
            self.core.peers.broadcast(&Frame::Strikes(vec![strike]));
        }
        let mut queue = state.queue.borrow_mut();
        queue.cancel(self.ticket);
        let actions = queue.finish(now, self.ticket, self.route, self.answered);
        drop(queue);
        state.apply_actions(actions);
    }
}

/// Queues a request, runs it at the upstream on this host and returns its outcome. `cancelled` completes when the
/// sender has lost interest in the outcome: the request is then aborted, unless it has started and must not run
/// again.
pub(in crate::sidecar) async fn serve(
    core: &Rc<Core>,
    request: Request,
    mut cancelled: oneshot::Receiver<()>,
) -> Outcome {
    let state = &core.local_upstream;
    let arrived = core.now();
    // A node that was paused reads requests and their cancellations from its connections at the same moment.
    if cancelled.try_recv() != Err(TryRecvError::Empty) {
        return decline(core, &request, arrived, Reason::Cut, Duration::ZERO);
    }
    if !core.permits_here(&request) {
        return decline(core, &request, arrived, Reason::Region, Duration::ZERO);
    }
    if !core.admits_requests() {
        return decline(core, &request, arrived, Reason::Leaving, Duration::ZERO);
    }
    let demand = request.demand(arrived);
    let fingerprint = Fingerprint::of_segments(
        request.service.as_str(),
        &request.method,
        &request.target,
        request.body.segments(),
    );
    let instance = match state.accepting_instance(arrived, &request) {
        Ok(instance) => instance,
        Err(reason) => return decline(core, &request, arrived, reason, Duration::ZERO),
    };
    let ticket = Ticket(state.next_ticket.get());
    state.next_ticket.set(ticket.0 + 1);
    if let Err(after) = trial::admit(core, &request, fingerprint, ticket) {
        return decline(core, &request, arrived, Reason::Quarantined, after);
    }
    let (sender, mut decision) = oneshot::channel();
    state.waiting.borrow_mut().insert(ticket, sender);
    let mut slot = Slot {
        answered: false,
        core,
        route: request.route,
        ticket,
    };
    state.update_cold_limits(core);
    let actions = state.queue.borrow_mut().arrive(arrived, ticket, demand);
    state.apply_actions(actions);
    check_if_due(core);
    let decided = loop {
        tokio::select! {
            biased;
            decided = &mut decision => break decided,
            _ = &mut cancelled => return Outcome::Declined(Reason::Cut, Duration::ZERO),
            () = tokio::time::sleep(QUEUE_CHECK_INTERVAL) => {
                let actions = state.queue.borrow_mut().tick(core.now());
                state.apply_actions(actions);
                check_if_due(core);
            }
        }
    };
    if let Err((reason, retry_after)) = decided.unwrap_or(Err((Reason::Leaving, Duration::ZERO))) {
        return decline(core, &request, arrived, reason, retry_after);
    }
    // The document may have changed while the request waited.
    if !core.permits_here(&request) {
        return decline(core, &request, arrived, Reason::Region, Duration::ZERO);
    }
    // So may the strikes: the same request may have crashed another upstream.
    if state.quarantined_while_waiting(core.now(), ticket, fingerprint) {
        return decline(core, &request, arrived, Reason::Quarantined, Duration::ZERO);
    }
    let started = begin_run(core, &request, ticket, fingerprint, arrived);
    let left = demand.deadline.since(started);
    let running = run(core, &request, &instance, left);
    let outcome = if request.repeatable {
        tokio::select! {
            biased;
            _ = &mut cancelled => return Outcome::Unknown(Reason::Cut),
            outcome = running => outcome,
        }
    } else {
        running.await
    };
    let now = core.now();
    core.metrics.record_stage("running", now.since(started));
    slot.answered = matches!(&outcome, Outcome::Answered(answer) if !answer.not_run);
    state.record_result(now, ticket, has_failed(&outcome));
    handle_outcome(core, ticket, &outcome).await;
    let pace = state.load(now).pace.unwrap_or(Pace::USUAL);
    core.log.record(
        now,
        "run",
        format_args!(
            "id={}{} instance={instance} waited_ms={} took_ms={} pace={} {}",
            request.id,
            AccountField(request.account.as_ref()),
            started.since(arrived).as_millis(),
            now.since(started).as_millis(),
            pace.percent(),
            Summary(&outcome)
        ),
    );
    outcome
}

/// Records that a request begins to run, and returns the time.
fn begin_run(
    core: &Core,
    request: &Request,
    ticket: Ticket,
    fingerprint: Fingerprint,
    arrived: Moment,
) -> Moment {
    let state = &core.local_upstream;
    let started = core.now();
    core.metrics.record_stage("waiting", started.since(arrived));
    state.running.borrow_mut().insert(
        ticket,
        Running {
            started,
            late: false,
            route: request.route,
        },
    );
    state.quarantine.borrow_mut().begin(ticket, fingerprint);
    started
}

/// Returns whether an outcome counts as a failure of the upstream's version.
fn has_failed(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(answer) => answer.status >= 500 && !answer.not_run,
        // The node had no room for the answer, which says nothing about the upstream.
        Outcome::Unknown(Reason::TooLarge) | Outcome::Declined(..) => false,
        Outcome::Unknown(_) => true,
    }
}

/// Updates the state of the upstream and the quarantine by the outcome of a request.
async fn handle_outcome(core: &Core, ticket: Ticket, outcome: &Outcome) {
    let withdraw = || core.local_upstream.quarantine.borrow_mut().remove(ticket);
    match outcome {
        Outcome::Answered(answer) if answer.not_run => withdraw(),
        Outcome::Declined(reason, _) => {
            withdraw();
            handle_unreachable(core, *reason).await;
        }
        Outcome::Unknown(Reason::Lost) => handle_lost_connection(core, ticket).await,
        Outcome::Answered(_) | Outcome::Unknown(_) => {}
    }
}

struct Summary<'a>(&'a Outcome);

fn decline(
    core: &Core,
    request: &Request,
    arrived: Moment,
    reason: Reason,
    retry_after: Duration,
) -> Outcome {
    let now = core.now();
    let load = core.local_upstream.load(now);
    core.log.record(
        now,
        "decline",
        format_args!(
            "id={}{} reason={reason} waited_ms={} left_ms={} running={} queued={} slots={} run_ms={} pace={} room_in_ms={}",
            request.id,
            AccountField(request.account.as_ref()),
            now.since(arrived).as_millis(),
            request.time_left.as_millis(),
            load.running,
            load.queued,
            load.slots,
            load.run_time.as_millis(),
            load.pace.unwrap_or(Pace::USUAL).percent(),
            retry_after.as_millis()
        ),
    );
    Outcome::Declined(reason, retry_after)
}

async fn run(core: &Rc<Core>, request: &Request, instance: &str, left: Duration) -> Outcome {
    let header_names = core.header_names;
    let mut fields = request.fields.clone();
    if let Some(account) = &request.account {
        fields.push(Field::new(header_names.account, account.as_str()));
    }
    fields.push(Field::new(
        header_names.caller_service,
        request.caller.as_str(),
    ));
    fields.push(Field::new(header_names.expected_instance, instance));
    fields.push(Field::new(
        header_names.time_left,
        left.as_millis().to_string(),
    ));
    let outgoing = Outgoing {
        body: &request.body,
        head: http1::encode_request_head(
            &request.method,
            &request.target,
            &fields,
            request.body.len(),
        ),
        id: &request.id,
        timeout: left + DEADLINE_GRACE,
        body_bytes_max: BODY_BYTES_MAX.max(
            BODY_BYTES_TOTAL_MAX / u64::from(core.local_upstream.load(core.now()).slots.max(1)),
        ),
        repeatable: request.repeatable,
        is_head_request: request.method == "HEAD",
    };
    let mut share = core.answer_budget.open();
    let reserve = async |body_bytes: u64| {
        let bytes = body_bytes + OVERHEAD_BYTES;
        answer_room::reserve(core, &mut share, bytes, UPSTREAM_WAIT).await
    };
    match core.local_upstream.pool.send(&outgoing, reserve).await {
        Ok(response) => {
            // Failures report the pace too.
            let load = http1::field_text(&response.fields, header_names.load);
            if let Some(pace) = load.and_then(Pace::parse) {
                core.local_upstream.record_pace(core.now(), pace);
            }
            let not_run = http1::field_text(&response.fields, header_names.not_run).is_some();
            let misdirected = response.status == MISDIRECTED;
            if misdirected {
                core.local_upstream.mark_down(core, Reason::WrongVersion);
            }
            let mut fields = response.fields;
            http1::strip_hop_by_hop(&mut fields);
            Outcome::Answered(Answer {
                body: share.attach(response.body),
                fields,
                not_run: not_run || misdirected,
                status: response.status,
            })
        }
        Err(Failure::Unsent(reason)) => Outcome::Declined(reason, Duration::ZERO),
        Err(Failure::Sent(reason)) => Outcome::Unknown(reason),
    }
}

/// Status code by which an upstream rejects a request that was meant for another instance.
pub(super) const MISDIRECTED: u16 = 421;

/// Marks the upstream as down after a request could not be sent to it. If it refuses connections, an earlier request
/// may have crashed it, so those that ran there receive strikes.
async fn handle_unreachable(core: &Core, reason: Reason) {
    if !core.local_upstream.pool.accepts_connections().await {
        core.local_upstream.record_crash(core);
    }
    core.local_upstream.mark_down(core, reason);
}

/// Checks after a lost connection whether the upstream has crashed; if so, records strikes against the requests that
/// ran there and marks it as down. While the upstream accepts new connections, a lost one is no evidence against a
/// request.
async fn handle_lost_connection(core: &Core, ticket: Ticket) {
    if core.local_upstream.pool.accepts_connections().await {
        return;
    }
    let state = &core.local_upstream;
    let attributed = state.quarantine.borrow().is_blamed(ticket);
    if !attributed {
        state.record_crash(core);
    }
    state.mark_down(core, Reason::Crashed);
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

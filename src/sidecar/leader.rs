//! Leads rollouts from one version of a service to another. Both nodes that read the store know the orders. The first
//! of them judges the evidence, sets the shares, and records the start and the end in the store, where an end is
//! final. All nodes keep the published state of each rollout, so that another one can continue it when the leader is
//! lost, even without the store.

use {
    super::{
        dissemination::Scope,
        evidence::{Report, Summary},
        frame::Frame,
        history::{Epoch, Position},
        node::{Core, STORE_SOURCE},
        peers,
        rollout::{Orders, Phase, Rollout, RolloutState},
        store::{RolloutRecord, Store},
    },
    crate::types::{Moment, Service},
    std::{collections::HashMap, rc::Rc, time::Duration},
};

/// How often the state of a running rollout is sent again, so that another node can continue from it.
const RESEND_PERIOD: Duration = Duration::from_secs(2);
/// The delay before the store is tried again after a rollout could not be recorded.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What the store is known to hold of a rollout.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Recorded {
    /// The epoch of the store in which it was read or written.
    epoch: Option<Epoch>,
    /// The order's mark.
    mark: Position,
    phase: Phase,
}

/// The rollouts that this node knows of, whether it leads them or not.
#[derive(Default)]
pub(super) struct Rollouts {
    pub by_service: HashMap<Service, Rollout>,
    /// Which orders are to be carried out.
    pub orders: Orders,
    /// What the store is known to hold.
    recorded: HashMap<Service, Recorded>,
    /// Whether a record is being written; only one is at a time.
    recording: bool,
    /// The state that was last sent to the other nodes, and when.
    sent: HashMap<Service, (Moment, RolloutState)>,
}

impl Rollouts {
    /// Applies the store's record of a rollout, which stands in the given epoch. An end in the store replaces the phase that
    /// is held.
    pub fn apply_record(&mut self, now: Moment, record: &RolloutRecord, epoch: Option<Epoch>) {
        let recorded = Recorded {
            epoch,
            mark: record.mark,
            phase: record.phase,
        };
        self.recorded.insert(record.service.clone(), recorded);
        let Some(rollout) = self.by_service.get_mut(&record.service) else {
            return;
        };
        if rollout.order().mark != record.mark {
            return;
        }
        if record.phase == Phase::Running {
            rollout.backdate(now, record.elapsed);
        } else {
            rollout.set_phase(record.phase);
        }
    }

    /// Adds an upstream's report to the service's rollout; without a rollout, it is ignored.
    pub fn record(&mut self, evidence: &Report) {
        if let Some(rollout) = self.by_service.get_mut(&evidence.service) {
            rollout.record(evidence);
        }
    }
}

/// Reports the evidence of this node's upstream, and advances and records the rollouts that this node leads.
pub(super) fn tick<S: Store>(core: &Rc<Core>, store: &Rc<S>, now: Moment) {
    report_evidence(core);
    follow_leaders(core, now);
    for state in step(core, now) {
        peers::push_state(core, Scope::Mesh, &state);
        core.install_state(state);
    }
    if core.remote_first_reader().is_none() {
        record_next(core, store);
    }
}

/// Sends the upstream's evidence to the leader, which may be this node.
fn report_evidence(core: &Core) {
    let Some(evidence) = core.local_upstream.take_report() else {
        return;
    };
    match core.remote_leader_of(&evidence.service) {
        Some(host) => core.peers.send(&host, &Frame::Evidence(evidence, 0)),
        None => core.rollouts.borrow_mut().record(&evidence),
    }
}

/// Advances the rollouts that this node leads, and returns the states to send to the other nodes.
fn step(core: &Core, now: Moment) -> Vec<RolloutState> {
    let mut updates = Vec::new();
    let mut rollouts = core.rollouts.borrow_mut();
    let Rollouts {
        by_service,
        recorded,
        sent,
        ..
    } = &mut *rollouts;
    let leader = core.own_leader_id();
    // A stopping node hands its rollouts over to the next reader, with what it has observed.
    let is_handing_over = core.stopping.get().is_some() && core.remote_first_reader().is_some();
    for (service, rollout) in by_service.iter_mut() {
        if core.remote_leader(service, rollout.order().mark).is_some() {
            continue;
        }
        let mark = Some(rollout.order().mark);
        let known = recorded.get(service).map(|recorded| recorded.mark) == mark;
        let published_phase = published_phase(core, rollout);
        // A rollout of which no state has reached this node may have ended already; only the store knows.
        let unknown = !known && published_phase.is_none();
        // Nodes that connect later learn of an end from any peer that knows it.
        let ended = rollout.phase() != Phase::Running && published_phase == Some(rollout.phase());
        if unknown || ended {
            continue;
        }
        let serving = core
            .load_balancer
            .borrow()
            .has_version(service, &rollout.order().to);
        if is_handing_over && rollout.phase() == Phase::Running {
            updates.push(rollout.hand_over(now, serving));
            continue;
        }
        // Read before the step, which resets the count when it changes the share.
        let step_runs = rollout.step_runs();
        let state = rollout.step(now, &leader, serving);
        let last_sent = sent.get(service);
        if last_sent.is_none_or(|(_, before)| before.routing_key() != state.routing_key()) {
            core.log.record(
                now,
                "judge",
                format_args!(
                    "service={service} to={} share={} phase={:?} elapsed_ms={} serving={serving} {}",
                    state.order.to,
                    state.share,
                    state.phase,
                    state.elapsed.as_millis(),
                    Summary { step_runs, ..rollout.summary() }
                ),
            );
        }
        if last_sent.is_none_or(|(at, before)| needs_sending(before, &state, now.since(*at))) {
            sent.insert(service.clone(), (now, state.clone()));
            updates.push(state);
        }
    }
    updates
}

/// Returns the phase by which this node routes; `None` if it knows no state of this order.
fn published_phase(core: &Core, rollout: &Rollout) -> Option<Phase> {
    let states = core.rollout_states.borrow();
    let state = states.get(&rollout.order().service);
    let state = state.filter(|state| state.order.mark == rollout.order().mark)?;
    Some(state.phase)
}

/// Returns whether a state must be sent to the other nodes: at once if the phase or the share has changed, less often
/// if only the limits for late requests have, and periodically while the rollout runs.
fn needs_sending(before: &RolloutState, state: &RolloutState, since_sent: Duration) -> bool {
    let limits_changed = before.baseline != state.baseline && since_sent >= RESEND_PERIOD / 4;
    let due = state.phase == Phase::Running && since_sent >= RESEND_PERIOD;
    before.routing_key() != state.routing_key() || limits_changed || due
}

/// Copies the state of rollouts that other nodes lead, so that this node can continue them even without the store.
fn follow_leaders(core: &Core, now: Moment) {
    let states = core.rollout_states.borrow();
    let mut rollouts = core.rollouts.borrow_mut();
    let Rollouts {
        by_service,
        orders,
        sent,
        ..
    } = &mut *rollouts;
    for (service, state) in states.iter() {
        let order = |rollout: &Rollout| rollout.order().mark;
        let is_led = state.leader.is_some();
        match by_service.get_mut(service) {
            Some(rollout) if is_led && orders.recognise_repeated(rollout.order(), &state.order) => {
                *rollout = Rollout::from_state(now, state);
            }
            Some(rollout) if order(rollout) > state.order.mark => (),
            Some(rollout) if order(rollout) == state.order.mark => {
                if state.leader.as_ref() != Some(&core.own_leader_id()) {
                    rollout.merge_state(now, state);
                    sent.remove(service);
                }
            }
            _ => {
                let rollout = Rollout::from_state(now, state);
                if let Some(replaced) = by_service.insert(service.clone(), rollout) {
                    orders.replace(replaced.order().clone());
                }
            }
        }
    }
}

/// Starts to record one rollout whose phase the store does not hold yet, unless a record is being written.
fn record_next<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    let due = {
        let rollouts = core.rollouts.borrow();
        if rollouts.recording {
            return;
        }
        rollouts.by_service.values().find_map(|rollout| {
            let order = rollout.order();
            // What was recorded in an earlier epoch may be lost, and nobody else writes it again.
            let known = rollouts
                .recorded
                .get(&order.service)
                .is_some_and(|recorded| {
                    (recorded.mark, recorded.phase) == (order.mark, rollout.phase())
                        && recorded.epoch >= core.epoch.get()
                });
            (!known).then(|| RolloutRecord {
                elapsed: rollout.elapsed(core.now()),
                mark: order.mark,
                phase: rollout.phase(),
                service: order.service.clone(),
                to: order.to.clone(),
            })
        })
    };
    let Some(record) = due else {
        return;
    };
    core.rollouts.borrow_mut().recording = true;
    let (core, store) = (core.clone(), store.clone());
    tokio::task::spawn_local(async move {
        match store.write_record(&record).await {
            Ok(stored) => {
                core.note_epoch(store.epoch(), STORE_SOURCE);
                apply_record(&core, &stored, store.epoch());
            }
            Err(fault) => {
                core.log.record(
                    core.now(),
                    "record",
                    format_args!(
                        "outcome=failed service={} phase={:?} cause=\"{fault}\"",
                        record.service, record.phase
                    ),
                );
                tokio::time::sleep(RECORD_RETRY_DELAY).await;
            }
        }
        core.rollouts.borrow_mut().recording = false;
    });
}

/// Applies what the store holds after a write: an end that was recorded earlier overrides later observations.
fn apply_record(core: &Core, stored: &RolloutRecord, epoch: Option<Epoch>) {
    core.log.record(
        core.now(),
        "record",
        format_args!(
            "outcome=stands service={} to={} phase={:?} order={}",
            stored.service, stored.to, stored.phase, stored.mark
        ),
    );
    core.rollouts
        .borrow_mut()
        .apply_record(core.now(), stored, epoch);
}

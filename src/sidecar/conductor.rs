//! Leads rollouts from one version of a service to another. Both nodes that read the store know the orders. The first
//! of them judges the evidence, sets the shares, and records the start and the end in the store, where an end is
//! final. All nodes keep the published state of each rollout, so that another one can continue it when the leader is
//! lost, even without the store.

use {
    super::{
        evidence::{Evidence, Grounds},
        frame::Frame,
        node::Core,
        peers,
        ramp::{Move, Phase, Ramp},
        spread::Scope,
        store::{Record, Store},
    },
    crate::world::{Moment, Service},
    std::{collections::HashMap, rc::Rc, time::Duration},
};

/// How often the state of a running rollout is sent again, so that another node can continue from it.
const REPEAT: Duration = Duration::from_secs(2);
/// The delay before the store is tried again after a rollout could not be recorded.
const PAUSE: Duration = Duration::from_millis(300);

/// The rollouts that this node knows of, whether it leads them or not.
#[derive(Default)]
pub(super) struct Conductor {
    pub moves: HashMap<Service, Move>,
    /// The order's mark and the phase that the store is known to hold.
    recorded: HashMap<Service, (u64, Phase)>,
    /// Whether a record is being written; only one is at a time.
    recording: bool,
    /// The state that was last sent to the other nodes, and when.
    sent: HashMap<Service, (Moment, Ramp)>,
}

impl Conductor {
    /// Applies the store's record of a rollout. An end in the store replaces the phase that is held.
    pub fn recall(&mut self, now: Moment, record: &Record) {
        let state = (record.mark, record.phase);
        self.recorded.insert(record.service.clone(), state);
        let Some(held) = self.moves.get_mut(&record.service) else {
            return;
        };
        if held.order().mark != record.mark {
            return;
        }
        if record.phase == Phase::Running {
            held.backdate(now, record.elapsed);
        } else {
            held.settle(record.phase);
        }
    }

    /// Adds an upstream's report to the service's rollout; without a rollout, it is ignored.
    pub fn add(&mut self, evidence: &Evidence) {
        if let Some(held) = self.moves.get_mut(&evidence.service) {
            held.add(evidence);
        }
    }
}

/// Reports the evidence of this node's upstream, and advances and records the rollouts that this node leads.
pub(super) fn tick<S: Store>(core: &Rc<Core>, store: &Rc<S>, now: Moment) {
    report(core);
    adopt(core, now);
    for ramp in step(core, now) {
        peers::spread_ramp(core, Scope::Mesh, &ramp);
        core.follow(ramp);
    }
    if core.first_reader().is_none() {
        record(core, store);
    }
}

/// Sends the upstream's evidence to the leader, which may be this node.
fn report(core: &Core) {
    let Some(evidence) = core.egress.evidence() else {
        return;
    };
    match core.judge_of(&evidence.service) {
        Some(host) => core.peers.send(&host, &Frame::Evidence(evidence)),
        None => core.conductor.borrow_mut().add(&evidence),
    }
}

/// Advances the rollouts that this node leads, and returns the states to send to the other nodes.
fn step(core: &Core, now: Moment) -> Vec<Ramp> {
    let mut news = Vec::new();
    let mut conductor = core.conductor.borrow_mut();
    let Conductor {
        moves,
        recorded,
        sent,
        ..
    } = &mut *conductor;
    let leader = core.leader();
    // A stopping node hands its rollouts over to the next reader, with what it has observed.
    let leaves = core.stopping.get().is_some() && core.first_reader().is_some();
    for (service, held) in moves.iter_mut() {
        if core.conducting(service, held.order().mark).is_some() {
            continue;
        }
        let mark = Some(held.order().mark);
        let known = recorded.get(service).map(|(mark, _)| *mark) == mark;
        let in_force = in_force(core, held);
        // A rollout of which no state has reached this node may have ended already; only the store knows.
        let unknown = !known && in_force.is_none();
        // Nodes that connect later learn of an end from any peer that knows it.
        let over = held.phase() != Phase::Running && in_force == Some(held.phase());
        if unknown || over {
            continue;
        }
        let serving = core.placement.borrow().has(service, &held.order().to);
        if leaves && held.phase() == Phase::Running {
            news.push(held.hand_over(now, serving));
            continue;
        }
        // Read before the step, which resets the count when it changes the share.
        let step_runs = held.step_runs();
        let ramp = held.step(now, &leader, serving);
        let told = sent.get(service);
        if told.is_none_or(|(_, before)| before.state() != ramp.state()) {
            core.log.line(
                now,
                "judge",
                format_args!(
                    "service={service} to={} share={} phase={:?} elapsed_ms={} serving={serving} {}",
                    ramp.order.to,
                    ramp.share,
                    ramp.phase,
                    ramp.elapsed.as_millis(),
                    Grounds { step_runs, ..held.grounds() }
                ),
            );
        }
        if told.is_none_or(|(at, before)| is_news(before, &ramp, now.since(*at))) {
            sent.insert(service.clone(), (now, ramp.clone()));
            news.push(ramp);
        }
    }
    news
}

/// Returns the phase by which this node routes; `None` if it knows no state of this order.
fn in_force(core: &Core, held: &Move) -> Option<Phase> {
    let ramps = core.ramps.borrow();
    let ramp = ramps.get(&held.order().service);
    let ramp = ramp.filter(|ramp| ramp.order.mark == held.order().mark)?;
    Some(ramp.phase)
}

/// Returns whether a state must be sent to the other nodes: at once if the phase or the share has changed, less often
/// if only the limits for late requests have, and periodically while the rollout runs.
fn is_news(before: &Ramp, ramp: &Ramp, told: Duration) -> bool {
    let bounds_moved = before.baseline != ramp.baseline && told >= REPEAT / 4;
    let due = ramp.phase == Phase::Running && told >= REPEAT;
    before.state() != ramp.state() || bounds_moved || due
}

/// Copies the state of rollouts that other nodes lead, so that this node can continue them even without the store.
fn adopt(core: &Core, now: Moment) {
    let ramps = core.ramps.borrow();
    let mut conductor = core.conductor.borrow_mut();
    let Conductor { moves, sent, .. } = &mut *conductor;
    for (service, ramp) in ramps.iter() {
        let order = |held: &Move| held.order().mark;
        match moves.get_mut(service) {
            Some(held) if order(held) > ramp.order.mark => (),
            Some(held) if order(held) == ramp.order.mark => {
                if ramp.leader.as_ref() != Some(&core.leader()) {
                    held.follow(now, ramp);
                    sent.remove(service);
                }
            }
            _ => {
                moves.insert(service.clone(), Move::adopt(now, ramp));
            }
        }
    }
}

/// Starts to record one rollout whose phase the store does not hold yet, unless a record is being written.
fn record<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    let due = {
        let conductor = core.conductor.borrow();
        if conductor.recording {
            return;
        }
        conductor.moves.values().find_map(|held| {
            let order = held.order();
            let state = (order.mark, held.phase());
            let known = conductor.recorded.get(&order.service) == Some(&state);
            (!known).then(|| Record {
                elapsed: held.elapsed(core.now()),
                mark: order.mark,
                phase: held.phase(),
                service: order.service.clone(),
                to: order.to.clone(),
            })
        })
    };
    let Some(record) = due else {
        return;
    };
    core.conductor.borrow_mut().recording = true;
    let (core, store) = (core.clone(), store.clone());
    tokio::task::spawn_local(async move {
        match store.record(&record).await {
            Ok(standing) => settle(&core, &standing),
            Err(fault) => {
                core.log.line(
                    core.now(),
                    "record",
                    format_args!(
                        "outcome=failed service={} phase={:?} cause=\"{fault}\"",
                        record.service, record.phase
                    ),
                );
                tokio::time::sleep(PAUSE).await;
            }
        }
        core.conductor.borrow_mut().recording = false;
    });
}

/// Applies what the store holds after a write: an end that was recorded earlier overrides later observations.
fn settle(core: &Core, standing: &Record) {
    core.log.line(
        core.now(),
        "record",
        format_args!(
            "outcome=stands service={} to={} phase={:?} order={}",
            standing.service, standing.to, standing.phase, standing.mark
        ),
    );
    core.conductor.borrow_mut().recall(core.now(), standing);
}

//! Conducts moves between versions. Both readers know the orders; the first of them judges and paces, and
//! records the beginning and the end in the store, where an end stands for good.

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

/// How often what is in force is repeated, so that another node can go on from there.
const REPEAT: Duration = Duration::from_secs(2);
/// The pause after a failed record.
const PAUSE: Duration = Duration::from_millis(300);

/// The moves that this node knows of.
#[derive(Default)]
pub(super) struct Conductor {
    pub moves: HashMap<Service, Move>,
    recorded: HashMap<Service, (u64, Phase)>,
    recording: bool,
    sent: HashMap<Service, (Moment, Ramp)>,
}

impl Conductor {
    /// Takes over how far a move had come by what the store has of it.
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

    /// Takes in what an upstream's runs came to.
    pub fn add(&mut self, evidence: &Evidence) {
        if let Some(held) = self.moves.get_mut(&evidence.service) {
            held.add(evidence);
        }
    }
}

/// Hands evidence in, and paces the moves if that is this node's duty.
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

/// Sends what the upstream's runs came to to the node that judges them.
fn report(core: &Core) {
    let Some(evidence) = core.egress.evidence() else {
        return;
    };
    match core.judge_of(&evidence.service) {
        Some(host) => core.peers.send(&host, &Frame::Evidence(evidence)),
        None => core.conductor.borrow_mut().add(&evidence),
    }
}

/// Takes the moves that this node conducts a step further, and gives what the other nodes have to know of it.
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
    // A node that stops leaves its moves to the next one, with what it has seen.
    let leaves = core.stopping.get().is_some() && core.first_reader().is_some();
    for (service, held) in moves.iter_mut() {
        if core.conducting(service, held.order().mark).is_some() {
            continue;
        }
        let mark = Some(held.order().mark);
        let known = recorded.get(service).map(|(mark, _)| *mark) == mark;
        let in_force = in_force(core, held);
        // A move that nobody here has seen may have ended before; only the store knows.
        let unknown = !known && in_force.is_none();
        // Nodes that connect are told of an end by those that know it.
        let over = held.phase() != Phase::Running && in_force == Some(held.phase());
        if unknown || over {
            continue;
        }
        let serving = core.placement.borrow().has(service, &held.order().to);
        if leaves && held.phase() == Phase::Running {
            news.push(held.hand_over(now, serving));
            continue;
        }
        // A step that ends begins to count anew.
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

/// Gives how far a move has come by what this node routes by; nothing if that is of another order.
fn in_force(core: &Core, held: &Move) -> Option<Phase> {
    let ramps = core.ramps.borrow();
    let ramp = ramps.get(&held.order().service);
    let ramp = ramp.filter(|ramp| ramp.order.mark == held.order().mark)?;
    Some(ramp.phase)
}

/// Tells whether the other nodes have to hear of what is in force: at once if it changed, less often if only the
/// bounds of late runs did, and now and then in any case.
fn is_news(before: &Ramp, ramp: &Ramp, told: Duration) -> bool {
    let bounds_moved = before.baseline != ramp.baseline && told >= REPEAT / 4;
    let due = ramp.phase == Phase::Running && told >= REPEAT;
    before.state() != ramp.state() || bounds_moved || due
}

/// Takes over what other nodes conduct, so that this one can go on from there, also without the store.
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

/// Records what is not recorded yet, one at a time.
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

/// Takes over what stands in the store: an end that was recorded before holds whatever was seen since.
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

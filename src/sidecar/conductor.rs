//! Conducts moves between versions. Both readers know the orders; the first of them judges and paces, and
//! records the beginning and the end in the store, where an end stands for good.

use {
    super::{
        frame::Frame,
        node::Core,
        peers,
        ramp::{Evidence, Move, Phase, Ramp},
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
    /// Takes in what an upstream's runs came to.
    pub fn add(&mut self, evidence: &Evidence) {
        if let Some(held) = self.moves.get_mut(&evidence.service) {
            held.add(evidence);
        }
    }
}

/// Hands evidence in, and paces the moves if that is this node's duty.
pub(super) fn tick<S: Store>(core: &Rc<Core>, store: &Rc<S>, now: Moment) {
    let first = core.conducting();
    if let Some(evidence) = core.egress.evidence() {
        match &first {
            Some(host) => core.peers.send(host, &Frame::Evidence(evidence)),
            None => core.conductor.borrow_mut().add(&evidence),
        }
    }
    if first.is_some() {
        adopt(core, now);
        return;
    }
    for ramp in step(core, now) {
        peers::spread_ramp(core, Scope::Mesh, &ramp);
        core.follow(ramp);
    }
    record(core, store);
}

/// Takes the moves a step further, and gives what the other nodes have to know of it.
fn step(core: &Core, now: Moment) -> Vec<Ramp> {
    let mut news = Vec::new();
    let mut conductor = core.conductor.borrow_mut();
    let Conductor {
        moves,
        recorded,
        sent,
        ..
    } = &mut *conductor;
    for (service, held) in moves.iter_mut() {
        let mark = Some(held.order().mark);
        let known = recorded.get(service).map(|(mark, _)| *mark) == mark;
        let in_force = core.ramps.borrow().get(service).map(|ramp| ramp.mark) == mark;
        // A move that nobody here has seen may have ended before; only the store knows.
        if !known && !in_force {
            continue;
        }
        let serving = core.placement.borrow().has(service, &held.order().to);
        let ramp = held.step(now, serving);
        let told = sent.get(service);
        if told.is_none_or(|(at, before)| is_news(before, &ramp, now.since(*at))) {
            sent.insert(service.clone(), (now, ramp.clone()));
            news.push(ramp);
        }
    }
    news
}

/// Tells whether the other nodes have to hear of what is in force: at once if it changed, less often if only the
/// bounds of late runs did, and now and then in any case.
fn is_news(before: &Ramp, ramp: &Ramp, told: Duration) -> bool {
    let state = |ramp: &Ramp| (ramp.mark, ramp.phase, ramp.share);
    let bounds_moved = before.late_after != ramp.late_after && told >= REPEAT / 4;
    let due = ramp.phase == Phase::Running && told >= REPEAT;
    state(before) != state(ramp) || bounds_moved || due
}

/// Takes over what another conductor has in force, so that this one can go on from there.
fn adopt(core: &Core, now: Moment) {
    let ramps = core.ramps.borrow();
    let mut conductor = core.conductor.borrow_mut();
    for (service, held) in &mut conductor.moves {
        let ramp = ramps.get(service);
        if let Some(ramp) = ramp.filter(|ramp| ramp.mark == held.order().mark) {
            held.follow(now, ramp);
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
            Ok(standing) => settle(&core, &record, &standing),
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
fn settle(core: &Core, record: &Record, standing: &Record) {
    core.log.line(
        core.now(),
        "record",
        format_args!(
            "outcome=stands service={} to={} phase={:?} order={}",
            standing.service, standing.to, standing.phase, standing.mark
        ),
    );
    let mut conductor = core.conductor.borrow_mut();
    let state = (standing.mark, standing.phase);
    conductor.recorded.insert(record.service.clone(), state);
    let Some(held) = conductor.moves.get_mut(&record.service) else {
        return;
    };
    if held.order().mark != standing.mark {
        return;
    }
    if standing.phase == Phase::Running {
        held.backdate(core.now(), standing.elapsed);
    } else {
        held.settle(standing.phase);
    }
}

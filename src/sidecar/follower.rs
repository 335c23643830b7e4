//! Follows the store: two nodes read what operators write and hand it on, the others hear of it from them.

use {
    super::{
        document::Order,
        duty::{READERS, Reach},
        node::Core,
        peers,
        ramp::{Move, Phase, Ramp},
        spread::Scope,
        store::{Contacts, Fault, Orders, Record, Store},
    },
    std::{rc::Rc, time::Duration},
};

/// How long a read waits for news: also how long a silent store stays unnoticed.
const WAIT: Duration = Duration::from_secs(2);
/// How long one that does not read looks whether it should.
const IDLE: Duration = Duration::from_millis(250);
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);
/// The pause after a failed registration: the other nodes are asked meanwhile.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// How long a node without a document waits for one from the others before it reads the store itself.
const SUPPLIED_IN: Duration = Duration::from_millis(1500);
/// How often a node that does not reach the store tries to, if it is not its duty.
const PROBE: Duration = Duration::from_secs(2);
/// How long the second reader leaves it to the first one to hand a document on.
const SECOND_READER: Duration = Duration::from_millis(250);
/// How often the first document of a cold start is handed on again, to nodes that have connected since.
const COLD_PUSHES: usize = 3;
/// How long one waits in between: two round trips between regions, which a connection and its greeting take.
const COLD_PERIOD: Duration = Duration::from_millis(80);
/// The longest answer time of a store in the same region, processing included.
const NEAR: Duration = Duration::from_millis(14);

/// Registers this node, finds the others, and follows the store while that is its duty.
pub(super) async fn run<S: Store>(core: Rc<Core>, store: Rc<S>) {
    register(&core, &*store).await;
    let began = core.now();
    let mut mark = None;
    loop {
        let duty = core.rank() < READERS;
        let alone = !core.configured() && core.now().since(began) > SUPPLIED_IN;
        let reads =
            duty && (core.reach.get() != Reach::Far || core.now().since(began) > SUPPLIED_IN);
        if !reads && !alone {
            mark = None;
            probe(&core, &store).await;
            continue;
        }
        let read = match mark {
            Some(mark) => store.orders_after(mark, WAIT).await,
            None => store.orders().await,
        };
        match read {
            Ok(orders) => {
                reached(&core, &store);
                let whole = mark.replace(orders.mark).is_none();
                take(&core, orders, whole);
                clear(&core, &*store).await;
            }
            Err(Fault::HistoryGone) => {
                mark = None;
                note(&core, "reading-anew", &Fault::HistoryGone);
            }
            Err(fault) => {
                lost(&core, &fault);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn register<S: Store>(core: &Rc<Core>, store: &S) {
    let mut fastest = Duration::MAX;
    loop {
        let began = core.now();
        let registered = store.register(&core.contact).await;
        fastest = fastest.min(core.now().since(began));
        let began = core.now();
        let contacts = match registered {
            Ok(()) => store.contacts().await,
            Err(fault) => Err(fault),
        };
        match contacts {
            Ok(contacts) => {
                fastest = fastest.min(core.now().since(began));
                let near = fastest <= NEAR;
                core.reach.set(if near { Reach::Near } else { Reach::Far });
                core.log.line(
                    core.now(),
                    "store",
                    format_args!(
                        "outcome=registered nodes={} answer_ms={} near={near}",
                        contacts.found.len(),
                        fastest.as_millis()
                    ),
                );
                learn(core, contacts);
                peers::dial(core, core.now());
                core.announce();
                return;
            }
            Err(fault) => {
                note(core, "unregistered", &fault);
                peers::introduce(core);
                tokio::time::sleep(REGISTER_PAUSE).await;
            }
        }
    }
}

/// Waits a while; a node that does not reach the store looks whether it does again.
async fn probe<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    if core.reach.get() != Reach::Unknown {
        tokio::time::sleep(IDLE).await;
        return;
    }
    tokio::time::sleep(PROBE).await;
    if let Ok(contacts) = store.contacts().await {
        learn(core, contacts);
        reached(core, store);
    }
}

fn learn(core: &Core, contacts: Contacts) {
    for fault in &contacts.faults {
        note(core, "left-out", fault);
    }
    core.peers.learn(contacts.found);
}

/// Notes that the store answers. After a loss this node writes its row anew: it may have been removed.
fn reached<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    if core.reach.get() != Reach::Unknown {
        return;
    }
    core.reach.set(Reach::Far);
    core.log
        .line(core.now(), "store", format_args!("outcome=regained"));
    core.announce();
    let (core, store) = (core.clone(), store.clone());
    tokio::task::spawn_local(async move {
        if let Err(fault) = store.register(&core.contact).await {
            note(&core, "unregistered", &fault);
        }
    });
}

/// Removes the rows of nodes that are gone for good, if that is this node's duty.
async fn clear<S: Store>(core: &Core, store: &S) {
    for host in core.peers.take_forgotten() {
        if core.rank() > 0 {
            continue;
        }
        match store.remove(&host).await {
            Ok(()) => core.log.line(
                core.now(),
                "store",
                format_args!("outcome=removed peer={host}"),
            ),
            Err(fault) => note(core, "not-removed", &fault),
        }
    }
}

fn lost(core: &Core, fault: &Fault) {
    note(core, "failed", fault);
    if core.reach.replace(Reach::Unknown) != Reach::Unknown {
        core.log
            .line(core.now(), "store", format_args!("outcome=lost"));
        core.announce();
    }
}

fn note(core: &Core, outcome: &str, fault: &Fault) {
    core.log.line(
        core.now(),
        "store",
        format_args!("outcome={outcome} cause=\"{fault}\""),
    );
}

fn take(core: &Rc<Core>, orders: Orders, whole: bool) {
    for fault in &orders.faults {
        note(core, "left-out", fault);
    }
    for order in orders.moves {
        if take_move(core, &order) && whole {
            recall(core, order, &orders.records);
        }
    }
    let Some(document) = orders.document else {
        return;
    };
    // Nodes that start together have nothing to serve by until the first of them hands it on.
    let cold = !core.configured();
    if !core.install(document, "store") {
        return;
    }
    let first = core.rank() == 0;
    if cold || first {
        peers::push(core, Scope::Mesh);
    }
    if first && !cold {
        return;
    }
    let (core, number) = (core.clone(), core.number());
    tokio::task::spawn_local(async move {
        if cold {
            // Most nodes were not connected yet, and the first reader may be one of them.
            for _ in 0..COLD_PUSHES {
                tokio::time::sleep(COLD_PERIOD).await;
                peers::push(&core, Scope::Mesh);
            }
            return;
        }
        tokio::time::sleep(SECOND_READER).await;
        if !core.peers.is_ahead(&core, number) {
            peers::push(&core, Scope::Mesh);
        }
    });
}

/// Takes an order in, and tells whether it is news.
fn take_move(core: &Core, order: &Order) -> bool {
    let mut conductor = core.conductor.borrow_mut();
    let known = conductor
        .moves
        .get(&order.service)
        .is_some_and(|held| held.order().mark >= order.mark);
    if known {
        return false;
    }
    let now = core.now();
    core.log.line(
        now,
        "order",
        format_args!(
            "service={} to={} duration_ms={} order={}",
            order.service,
            order.to,
            order.duration.as_millis(),
            order.mark
        ),
    );
    let ramps = core.ramps.borrow();
    let service = order.service.clone();
    let begun = match ramps.get(&service) {
        Some(ramp) if ramp.order.mark == order.mark => Move::adopt(now, ramp),
        _ => Move::new(now, order.clone()),
    };
    conductor.moves.insert(service, begun);
    true
}

/// Takes over how far a move had come when everything was read from the store, so that no request is routed by the
/// document alone.
fn recall(core: &Core, order: Order, records: &[Record]) {
    let recorded = |record: &&Record| record.service == order.service && record.mark == order.mark;
    let record = records.iter().find(recorded);
    if let Some(record) = record {
        core.conductor.borrow_mut().recall(core.now(), record);
    }
    let phase = record.map_or(Phase::Running, |record| record.phase);
    core.follow(Ramp::unconducted(order, phase));
}

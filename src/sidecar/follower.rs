//! Follows the store. Two nodes read the operator's documents and orders from it and relay them; all other nodes
//! receive them from these two.

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

/// Time for which a read waits for changes. A silent store stays unnoticed for as long.
const WAIT: Duration = Duration::from_secs(2);
/// Interval at which a node that does not read the store checks whether it should.
const IDLE: Duration = Duration::from_millis(250);
/// Delay after a failed read.
const PAUSE: Duration = Duration::from_millis(250);
/// Delay after a failed registration. Meanwhile the other nodes are asked for contacts.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a node without a document waits for one from its peers before it reads the store itself.
const SUPPLIED_IN: Duration = Duration::from_millis(1500);
/// Interval at which a node that does not reach the store and is not a reader tries to reach it again.
const PROBE: Duration = Duration::from_secs(2);
/// Time for which the second reader waits for the first one to relay a document before it relays the document itself.
const SECOND_READER: Duration = Duration::from_millis(250);
/// Number of times that the first document of a cold start is sent again, to nodes that have connected since.
const COLD_PUSHES: usize = 3;
/// Interval between these: two round trips between regions, which a connection and its greeting take.
const COLD_PERIOD: Duration = Duration::from_millis(80);
/// Maximum answer time of a store in the same region, including processing.
const NEAR: Duration = Duration::from_millis(14);

/// Registers this node, finds the others, and follows the store while this node is one of its readers.
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

/// Waits before the next check of the readers. A node that does not reach the store also tries to reach it again.
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

/// Records that the store answers. If it did not before, this node registers again, as its row may have been removed
/// meanwhile.
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

/// Removes the rows of forgotten nodes from the store, if this node is the first reader.
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
    // Nodes that start together cannot serve until the first one that has read the document relays it.
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
        if !core.peers.first_reader_has(&core, number) {
            peers::push(&core, Scope::Mesh);
        }
    });
}

/// Records an order. Returns `true` if it is newer than the known order for its service.
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

/// Restores the state of a rollout from its record after a full read of the store, so that no request is routed by the
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

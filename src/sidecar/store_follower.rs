//! Follows the store. Two nodes read the operator's documents and orders from it and relay them; all other nodes
//! receive them from these two.

mod orders;
mod registration;

use {
    super::{
        dissemination::Scope,
        evacuation::Evacuations,
        node::{Core, STORE_SOURCE},
        peers,
        store::{Changes, Fault, Store},
        store_readers::{self, READERS_MAX, StoreAccess},
    },
    rand::Rng,
    registration::{merge_contacts, remove_forgotten},
    std::{rc::Rc, time::Duration},
};

/// Time for which a read waits for changes. Each answer confirms the document in force, which the other nodes expect twice
/// a second ([`freshness`](super::freshness)).
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for the second reader, whose answers are announced only if those of the first one stay away.
const SECOND_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a node that does not read the store checks whether it should.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time for which a node without a document waits for one from its peers before it reads the store itself.
const FIRST_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a node that does not reach the store and is not a reader tries to reach it again.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the second reader waits for the first one to relay a document before it relays the document itself.
const SECOND_READER_DELAY: Duration = Duration::from_millis(250);
/// Number of times that the first document of a cold start is sent again, to nodes that have connected since.
const COLD_START_PUSHES: usize = 3;
/// Interval between these: two round trips between regions, which a connection and its greeting take.
const COLD_START_PUSH_INTERVAL: Duration = Duration::from_millis(80);
/// Registers this node, finds the others, and follows the store while this node is one of its readers.
pub(super) async fn run<S: Store>(core: Rc<Core>, store: Rc<S>) {
    let registered_in = registration::register(&core, &*store).await;
    let keeping = registration::keep_registered(core.clone(), store.clone(), registered_in);
    tokio::task::spawn_local(keeping);
    let began = core.now();
    let mut mark = None;
    let mut checks = 0;
    let mut logged_rank = None;
    loop {
        let rank = core.rank();
        let is_reader = rank < READERS_MAX;
        log_rank(&core, &mut logged_rank, rank);
        let lacks_document =
            !core.has_document() && reads_first_document(&core, core.now().since(began), checks);
        checks += 1;
        let should_read = is_reader
            && (core.store_access.get() != StoreAccess::Far
                || core.now().since(began) > FIRST_DOCUMENT_TIMEOUT);
        let replaces_readers = core.has_document()
            && core
                .freshness
                .borrow()
                .replaces_readers(core.now(), || core.replacement_rank());
        if !should_read && !lacks_document && !replaces_readers {
            mark = None;
            probe(&core, &store).await;
            continue;
        }
        if replaces_readers {
            core.record_freshness();
        }
        let read_began = core.now();
        let poll_timeout = if core.rank() == 0 || replaces_readers {
            POLL_TIMEOUT
        } else {
            SECOND_POLL_TIMEOUT
        };
        let reading = async {
            match mark {
                Some(mark) => store.read_changes_after(mark, poll_timeout).await,
                None => store.read_changes().await,
            }
        };
        let read = tokio::select! {
            read = reading => read,
            () = becomes_first_reader(&core), if mark.is_some() && rank > 0 => {
                announce(&core);
                continue;
            }
        };
        core.note_epoch(store.epoch(), STORE_SOURCE);
        match read {
            Ok(changes) => {
                mark_reachable(&core, &store);
                let full_read = mark.replace(changes.mark).is_none();
                if full_read {
                    log_full_read(&core, &changes);
                }
                let is_empty = changes.document.is_none()
                    && changes.orders.is_empty()
                    && changes.evacuations.is_empty();
                apply_orders(&core, changes, full_read, replaces_readers);
                // The store answers a read without changes only once it has waited for them.
                let waited = if full_read || !is_empty {
                    Duration::ZERO
                } else {
                    poll_timeout
                };
                confirm_document(&core, core.now().since(read_began).saturating_sub(waited));
                remove_forgotten(&core, &*store).await;
            }
            Err(Fault::HistoryGone) => {
                log_fault(&core, "reading-anew", &Fault::HistoryGone);
                if mark.take().is_none() {
                    // The store came back from a copy while everything was being read.
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
            Err(fault) if !should_read && !lacks_document => {
                mark = None;
                log_fault(&core, "failed", &fault);
                core.freshness.borrow_mut().record_failure(core.now());
            }
            Err(fault) => {
                mark_unreachable(&core, &fault);
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Records that the document in force was the newest one in the store `age` ago, and announces it to the other nodes if
/// they expect that of this one.
fn confirm_document(core: &Core, age: Duration) {
    if !core.has_document() {
        return;
    }
    *core.confirmed_by.borrow_mut() = None;
    core.freshness
        .borrow_mut()
        .confirm_by_store(core.now(), age);
    announce(core);
}

/// Announces how long ago the document in force was the newest one in the store, if the other nodes expect that of this one.
fn announce(core: &Core) {
    let (now, is_first_reader) = (core.now(), core.rank() == 0);
    let (age, announces) = {
        let mut freshness = core.freshness.borrow_mut();
        let announces = !freshness.is_stale(now) && freshness.try_announce(now, is_first_reader);
        (freshness.age(now), announces)
    };
    if announces {
        peers::push_confirmation(core, Scope::Mesh, age);
    }
}

/// Waits until this node ranks first as a reader of the store. Its predecessor may have been lost while it handed a change
/// on, so the nodes that have missed it are to hear of it now, and not when a read without changes ends.
async fn becomes_first_reader(core: &Core) {
    while core.rank() > 0 {
        core.peers.candidates_changed.notified().await;
    }
}

/// Returns whether this node reads the document, which it lacks, without waiting for a reader of the store any longer.
fn reads_first_document(core: &Core, waited: Duration, checks: u32) -> bool {
    let probability = store_readers::first_read_probability(core.peers.known_count() + 1, checks);
    waited > FIRST_DOCUMENT_TIMEOUT || rand::rng().random_bool(probability)
}

/// Waits before the next check of the readers. A node that does not reach the store also tries to reach it again.
async fn probe<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    if core.store_access.get() != StoreAccess::Unknown {
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
        return;
    }
    tokio::time::sleep(PROBE_INTERVAL).await;
    if let Ok(contacts) = store.read_contacts().await {
        core.note_epoch(store.epoch(), STORE_SOURCE);
        merge_contacts(core, contacts);
        mark_reachable(core, store);
    }
}

/// Records that the store answers. If it did not before, this node registers again, as its row may have been removed
/// meanwhile.
fn mark_reachable<S: Store>(core: &Rc<Core>, store: &Rc<S>) {
    if core.store_access.get() != StoreAccess::Unknown {
        return;
    }
    core.store_access.set(StoreAccess::Far);
    core.log
        .record(core.now(), "store", format_args!("outcome=regained"));
    core.broadcast_status();
    let (core, store) = (core.clone(), store.clone());
    tokio::task::spawn_local(async move {
        if let Err(fault) = store.write_contact(&core.contact).await {
            log_fault(&core, "unregistered", &fault);
        }
    });
}

fn mark_unreachable(core: &Core, fault: &Fault) {
    log_fault(core, "failed", fault);
    if core.store_access.replace(StoreAccess::Unknown) != StoreAccess::Unknown {
        core.log
            .record(core.now(), "store", format_args!("outcome=lost"));
        core.broadcast_status();
    }
}

/// Logs a change of this node's rank as a reader of the store. `logged` is the last one, `None` for any that does not read.
fn log_rank(core: &Core, logged: &mut Option<usize>, rank: usize) {
    let rank = Some(rank).filter(|rank| *rank < READERS_MAX);
    if std::mem::replace(logged, rank) == rank {
        return;
    }
    let rank = rank.map_or_else(|| String::from("none"), |rank| rank.to_string());
    core.log.record(
        core.now(),
        "store",
        format_args!("outcome=ranked reader={rank}"),
    );
}

fn log_full_read(core: &Core, changes: &Changes) {
    let document = changes.document.as_ref();
    core.log.record(
        core.now(),
        "store",
        format_args!(
            "outcome=read position={} document={} orders={}",
            changes.mark,
            document.map_or_else(
                || String::from("none"),
                |document| document.number.to_string()
            ),
            changes.orders.len()
        ),
    );
}

fn log_fault(core: &Core, outcome: &str, fault: &Fault) {
    core.log.record(
        core.now(),
        "store",
        format_args!("outcome={outcome} cause=\"{fault}\""),
    );
}

/// Puts the evacuated domains in force as of a read, and announces them to all nodes if they have changed. A read of
/// everything replaces the known ones.
fn adopt_evacuations(core: &Core, changes: &Changes, full_read: bool) {
    let read = if full_read {
        Evacuations::read(changes.mark, &changes.evacuations)
    } else {
        let known = core.evacuations.borrow();
        known.with(changes.mark, &changes.evacuations)
    };
    if core.adopt_evacuations(&read, STORE_SOURCE) {
        peers::push_evacuations(core, Scope::Mesh);
    }
}

/// Puts what was read from the store in force and relays it. `replaces_readers` states that this node has read it because
/// the readers don't confirm the document any more, so that it does not wait for one of them to relay it.
fn apply_orders(core: &Rc<Core>, changes: Changes, full_read: bool, replaces_readers: bool) {
    for fault in &changes.faults {
        log_fault(core, "left-out", fault);
    }
    adopt_evacuations(core, &changes, full_read);
    for order in changes.orders {
        let taken = orders::take(core, order, &changes.records);
        if let Some(order) = taken.filter(|_| full_read) {
            orders::restore_rollout(core, order, &changes.records, changes.mark.epoch);
        }
    }
    let Some(mut document) = changes.document else {
        return;
    };
    core.mark_reissued(&mut document);
    // Nodes that start together cannot serve until the first one that has read the document relays it.
    let is_cold_start = !core.has_document();
    if !core.install_document(document, STORE_SOURCE) {
        return;
    }
    let is_first_reader = core.rank() == 0;
    let relays_at_once = is_first_reader || replaces_readers;
    if is_cold_start || relays_at_once {
        peers::push_document(core, Scope::Mesh);
    }
    if relays_at_once && !is_cold_start {
        return;
    }
    let (core, number) = (core.clone(), core.number());
    tokio::task::spawn_local(async move {
        if is_cold_start {
            // Most nodes were not connected yet, and the first reader may be one of them.
            for _ in 0..COLD_START_PUSHES {
                tokio::time::sleep(COLD_START_PUSH_INTERVAL).await;
                peers::push_document(&core, Scope::Mesh);
            }
            return;
        }
        tokio::time::sleep(SECOND_READER_DELAY).await;
        if !core.peers.first_reader_has(&core, number) {
            peers::push_document(&core, Scope::Mesh);
        }
    });
}

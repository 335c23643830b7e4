//! The rows of the nodes in the store, by which nodes that start find the others.

use {
    super::log_fault,
    crate::sidecar::{
        history::Epoch,
        node::{Core, STORE_SOURCE},
        peers,
        store::{Contacts, Store},
        store_readers::StoreAccess,
    },
    rand::Rng,
    std::{rc::Rc, time::Duration},
};

/// Delay after a failed registration. Meanwhile the other nodes are asked for contacts.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum answer time of a store in the same region, including processing.
const NEAR_LATENCY_MAX: Duration = Duration::from_millis(14);
/// Mean interval between the nodes that write their rows again after the store has lost them: the store is as busy with
/// them then as with a fleet that starts.
const REWRITE_INTERVAL: Duration = Duration::from_millis(5);

/// Writes this node's row and reads those of the others, until both have succeeded. Returns the epoch in which the row
/// was written.
pub(super) async fn register<S: Store>(core: &Rc<Core>, store: &S) -> Option<Epoch> {
    let mut fastest = Duration::MAX;
    loop {
        let began = core.now();
        let registered = store.write_contact(&core.contact).await;
        let registered_in = store.epoch();
        fastest = fastest.min(core.now().since(began));
        let began = core.now();
        let contacts = match registered {
            Ok(()) => store.read_contacts().await,
            Err(fault) => Err(fault),
        };
        match contacts {
            Ok(contacts) => {
                core.note_epoch(store.epoch(), STORE_SOURCE);
                fastest = fastest.min(core.now().since(began));
                let near = fastest <= NEAR_LATENCY_MAX;
                core.store_access.set(if near {
                    StoreAccess::Near
                } else {
                    StoreAccess::Far
                });
                core.log.record(
                    core.now(),
                    "store",
                    format_args!(
                        "outcome=registered nodes={} answer_ms={} near={near}",
                        contacts.nodes.len(),
                        fastest.as_millis()
                    ),
                );
                merge_contacts(core, contacts);
                peers::dial(core, core.now());
                core.broadcast_status();
                return registered_in;
            }
            Err(fault) => {
                log_fault(core, "unregistered", &fault);
                peers::request_contacts(core);
                tokio::time::sleep(REGISTER_RETRY_DELAY).await;
            }
        }
    }
}

/// Writes this node's row again each time that the store has come back from a copy, which may be older than the row. Nobody
/// else knows that it is missing. `written_in` is the epoch in which it was written. Never returns.
pub(super) async fn keep_registered<S: Store>(
    core: Rc<Core>,
    store: Rc<S>,
    mut written_in: Option<Epoch>,
) {
    loop {
        if core.epoch.get() <= written_in {
            core.epoch_changed.notified().await;
            continue;
        }
        let count = u32::try_from(core.peers.known_count() + 1).unwrap_or(u32::MAX);
        let delay = REWRITE_INTERVAL.saturating_mul(count);
        tokio::time::sleep(delay.mul_f64(rand::rng().random())).await;
        match store.write_contact(&core.contact).await {
            Ok(()) => {
                written_in = store.epoch();
                core.note_epoch(written_in, STORE_SOURCE);
                core.log.record(
                    core.now(),
                    "store",
                    format_args!("outcome=registered-again"),
                );
            }
            Err(fault) => log_fault(&core, "unregistered", &fault),
        }
        if core.epoch.get() > written_in {
            tokio::time::sleep(REGISTER_RETRY_DELAY).await;
        }
    }
}

pub(super) fn merge_contacts(core: &Core, contacts: Contacts) {
    for fault in &contacts.faults {
        log_fault(core, "left-out", fault);
    }
    core.peers.merge_contacts(contacts.nodes);
}

/// Removes the rows of forgotten nodes from the store, if this node is the first reader.
pub(super) async fn remove_forgotten<S: Store>(core: &Core, store: &S) {
    for host in core.peers.take_forgotten() {
        if core.rank() > 0 {
            continue;
        }
        match store.remove_contact(&host).await {
            Ok(()) => core.log.record(
                core.now(),
                "store",
                format_args!("outcome=removed peer={host}"),
            ),
            Err(fault) => log_fault(core, "not-removed", &fault),
        }
    }
}

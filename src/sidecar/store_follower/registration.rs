//! The rows of the nodes in the store, by which nodes that start find the others.

use {
    super::log_fault,
    crate::sidecar::{
        node::{Core, STORE_SOURCE},
        peers,
        store::{Contacts, Store},
        store_readers::StoreAccess,
    },
    std::{rc::Rc, time::Duration},
};

/// Delay after a failed registration. Meanwhile the other nodes are asked for contacts.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum answer time of a store in the same region, including processing.
const NEAR_LATENCY_MAX: Duration = Duration::from_millis(14);
/// Writes this node's row and reads those of the others, until both have succeeded.
pub(super) async fn register<S: Store>(core: &Rc<Core>, store: &S) {
    let mut fastest = Duration::MAX;
    loop {
        let began = core.now();
        let registered = store.write_contact(&core.contact).await;
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
                return;
            }
            Err(fault) => {
                log_fault(core, "unregistered", &fault);
                peers::request_contacts(core);
                tokio::time::sleep(REGISTER_RETRY_DELAY).await;
            }
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

//! Calls the platform from dedicated threads, so that a slow answer never blocks the event loop. Reads,
//! transactions and snapshot writes have a thread each, so that they do not delay each other.

use {
    crate::{
        control,
        platform::Platform,
        snapshot::Snapshot,
        source::{self, TransactionOutcome},
    },
    std::{
        sync::{Arc, mpsc},
        thread,
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Starts the threads and returns the channel by which they get their work. Results are sent to `events`.
pub(super) fn spawn(
    base: &str,
    events: &UnboundedSender<control::Event>,
) -> mpsc::Sender<source::Action> {
    let (read_sender, read_receiver) = mpsc::channel::<source::Query>();
    let (write_sender, write_receiver) = mpsc::channel::<source::Entry>();
    let (sender, receiver) = mpsc::channel();
    let platform = Platform::new(base);
    let (read_platform, result_events) = (platform.clone(), events.clone());
    thread::spawn(move || {
        while let Ok(query) = read_receiver.recv() {
            let _ = result_events.send(control::Event::ReadFinished(read_platform.read(&query)));
        }
    });
    let (store_sender, store_receiver) = mpsc::channel::<(Arc<Snapshot>, source::SnapshotRef)>();
    let store_platform = platform.clone();
    thread::spawn(move || {
        while let Ok((snapshot, base)) = store_receiver.recv() {
            // A failed write is not retried, because a later snapshot replaces it.
            let _: TransactionOutcome =
                store_platform.store_snapshot(&snapshot, base, source::RETAINED_REVISIONS);
        }
    });
    let result_events = events.clone();
    thread::spawn(move || {
        while let Ok(entry) = write_receiver.recv() {
            let outcome: TransactionOutcome = platform.transact(&entry);
            let _ = result_events.send(control::Event::Transacted(entry.revision, outcome));
        }
    });
    thread::spawn(move || {
        while let Ok(action) = receiver.recv() {
            // Sending cannot fail, because the other threads end only after this one.
            match action {
                source::Action::Read(query) => drop(read_sender.send(query)),
                source::Action::Store(snapshot, base) => drop(store_sender.send((snapshot, base))),
                source::Action::Transact(entry) => drop(write_sender.send(entry)),
                source::Action::Append(..) | source::Action::Reply(..) => {}
            }
        }
    });
    sender
}

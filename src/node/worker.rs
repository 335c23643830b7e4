//! Calls the platform from threads of its own, so that a slow answer holds up nothing else.

use {
    crate::{
        control,
        platform::Platform,
        snapshot::Snapshot,
        source::{self, Outcome},
    },
    std::{
        sync::{Arc, mpsc},
        thread,
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Starts the threads, and gives what they are told by.
pub(super) fn spawn(
    base: &str,
    events: &UnboundedSender<control::Event>,
) -> mpsc::Sender<source::Action> {
    let (reads, to_read) = mpsc::channel::<source::Query>();
    let (writes, to_write) = mpsc::channel::<source::Entry>();
    let (sender, receiver) = mpsc::channel();
    let platform = Platform::open(base);
    let (reader, reported) = (platform.clone(), events.clone());
    thread::spawn(move || {
        while let Ok(query) = to_read.recv() {
            let _ = reported.send(control::Event::Read(reader.read(&query)));
        }
    });
    let (stores, to_store) = mpsc::channel::<(Arc<Snapshot>, source::Base)>();
    let objects = platform.clone();
    thread::spawn(move || {
        while let Ok((snapshot, base)) = to_store.recv() {
            // A snapshot that was not stored is made up for by a later one.
            let _: Outcome = objects.store(&snapshot, base, source::RETAINED);
        }
    });
    let reported = events.clone();
    thread::spawn(move || {
        while let Ok(entry) = to_write.recv() {
            let outcome: Outcome = platform.transact(&entry);
            let _ = reported.send(control::Event::Transacted(entry.revision, outcome));
        }
    });
    thread::spawn(move || {
        while let Ok(action) = receiver.recv() {
            // The workers end only after this thread does.
            match action {
                source::Action::Read(query) => drop(reads.send(query)),
                source::Action::Store(snapshot, base) => drop(stores.send((snapshot, base))),
                source::Action::Transact(entry) => drop(writes.send(entry)),
                source::Action::Append(..) | source::Action::Reply(..) => {}
            }
        }
    });
    sender
}

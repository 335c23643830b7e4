//! Calls the platform from threads of its own, so that a slow answer holds up nothing else.

use {
    crate::{
        control,
        platform::Platform,
        source::{self, Outcome},
        world::Revision,
    },
    std::{sync::mpsc, thread},
    tokio::sync::mpsc::UnboundedSender,
};

/// Starts the threads, and gives what they are told by.
pub(super) fn spawn(
    base: &str,
    events: &UnboundedSender<control::Event>,
) -> mpsc::Sender<source::Action> {
    let (reads, to_read) = mpsc::channel::<Revision>();
    let (writes, to_write) = mpsc::channel::<source::Entry>();
    let (sender, receiver) = mpsc::channel();
    let platform = Platform::open(base);
    let (reader, reported) = (platform.clone(), events.clone());
    thread::spawn(move || {
        while let Ok(after) = to_read.recv() {
            let _ = reported.send(control::Event::Read(reader.read(after)));
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
                source::Action::Read(after) => drop(reads.send(after)),
                source::Action::Transact(entry) => drop(writes.send(entry)),
                source::Action::Reply(..) => {}
            }
        }
    });
    sender
}

//! What a node knows of the histories of the store.

use {
    super::Core,
    crate::sidecar::{document::Document, history::Epoch},
};

impl Core {
    /// Records the epoch of the store. `source` is logged: the host that stated it, or the store.
    pub fn note_epoch(&self, epoch: Option<Epoch>, source: &str) {
        let before = self.epoch.get();
        let Some(stated) = epoch.filter(|_| epoch > before) else {
            return;
        };
        self.epoch.set(epoch);
        self.epoch_changed.notify_waiters();
        self.metrics
            .store_epoch
            .set(i64::try_from(stated.0).unwrap_or(i64::MAX));
        let before = before.map_or_else(|| String::from("none"), |before| before.to_string());
        self.log.record(
            self.now(),
            "store",
            format_args!("outcome=epoch epoch={stated} before={before} source={source}"),
        );
    }

    /// Marks a document that was read from the store as reissued if its number is the one in force, but not its contents,
    /// and the store has come back from a copy since that was put in force.
    pub fn mark_reissued(&self, document: &mut Document) {
        let current = self.document.borrow();
        let is_reissued = document.number.value == current.number.value
            && self.epoch.get() > self.document_epoch.get()
            && !document.has_contents_of(&current);
        if is_reissued {
            document.number.reissued_in = self.epoch.get();
        }
    }
}

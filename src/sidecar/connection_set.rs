//! Open connections of one port. Applies the decisions of [`connections`](super::connections) to the tasks that serve
//! them.

use {
    super::connections::{CloseReason, ConnectionId, Connections, Limits, Memory},
    crate::types::Moment,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

#[derive(Default)]
struct Closing {
    notify: Notify,
    requested: Cell<bool>,
}

/// Open connections of one port.
pub struct ConnectionSet {
    closing: RefCell<HashMap<ConnectionId, Rc<Closing>>>,
    table: RefCell<Connections>,
}

/// Guard of one connection, which leaves the set when it is dropped.
pub struct OpenConnection {
    closing: Rc<Closing>,
    id: ConnectionId,
    set: Rc<ConnectionSet>,
}

impl ConnectionSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            closing: RefCell::default(),
            table: RefCell::new(Connections::new(limits)),
        })
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.table.borrow().count()
    }

    /// Adds a new connection, and closes an unused one if there are too many. The reason tells which connection was closed
    /// for that: [`CloseReason::Excess`] means that it is the new one, and then there is no guard.
    pub fn admit(
        self: &Rc<Self>,
        now: Moment,
        receive_timeout: Duration,
    ) -> (Option<OpenConnection>, Option<CloseReason>) {
        let admission = self.table.borrow_mut().admit(now, receive_timeout);
        let Some(admission) = admission else {
            return (None, Some(CloseReason::Excess));
        };
        let closing = Rc::new(Closing::default());
        self.closing
            .borrow_mut()
            .insert(admission.id, closing.clone());
        if let Some(replaced) = admission.replaced {
            self.close(replaced);
        }
        let open = OpenConnection {
            closing,
            id: admission.id,
            set: self.clone(),
        };
        (Some(open), admission.replaced.map(|_| CloseReason::Idle))
    }

    /// Closes connections that hold memory and have stalled for at least `stalled_for`, until `missing_bytes` are released.
    /// Returns the number of closed ones.
    pub fn relieve(
        &self,
        now: Moment,
        memory: Memory,
        missing_bytes: u64,
        stalled_for: Duration,
    ) -> usize {
        let mut table = self.table.borrow_mut();
        let closed = table.relieve(now, memory, missing_bytes, stalled_for);
        drop(table);
        for id in &closed {
            self.close(*id);
        }
        closed.len()
    }

    /// Returns the number of bytes that [`relieve`](Self::relieve) can release at most.
    #[must_use]
    pub fn relievable_bytes(&self, now: Moment, memory: Memory, stalled_for: Duration) -> u64 {
        let table = self.table.borrow();
        table.relievable_bytes(now, memory, stalled_for)
    }

    /// Closes the connections whose callers read too slowly. Returns the reason for each.
    pub fn tick(&self, now: Moment) -> Vec<CloseReason> {
        let closed = self.table.borrow_mut().tick(now);
        for (id, _) in &closed {
            self.close(*id);
        }
        closed.into_iter().map(|(_, reason)| reason).collect()
    }

    fn close(&self, id: ConnectionId) {
        if let Some(closing) = self.closing.borrow().get(&id) {
            closing.requested.set(true);
            closing.notify.notify_waiters();
        }
    }
}

impl OpenConnection {
    /// Completes when the connection has to be closed.
    pub async fn closed(&self) {
        while !self.closing.requested.get() {
            self.closing.notify.notified().await;
        }
    }

    /// Returns the time for which the connection may go on without a request: the rest of its idle timeout, or all of it
    /// while a request is in progress.
    #[must_use]
    pub fn idle_left(&self, now: Moment, idle_timeout: Duration) -> Duration {
        let idle_since = self.set.table.borrow().idle_since(self.id);
        idle_since.map_or(idle_timeout, |since| {
            idle_timeout.saturating_sub(now.since(since))
        })
    }

    /// Records that the first byte of a request has arrived.
    pub fn receive(&self, now: Moment) {
        self.set.table.borrow_mut().receive(self.id, now);
    }

    /// Records that the request that is being received is about to take this much memory, in bytes.
    pub fn grow_request(&self, now: Moment, held_bytes: u64) {
        let mut table = self.set.table.borrow_mut();
        table.grow_request(self.id, now, held_bytes);
    }

    /// Records that a request will be answered.
    pub fn begin(&self) {
        self.set.table.borrow_mut().begin(self.id);
    }

    /// Records that an answer of the given size, in bytes, waits to be written.
    pub fn hold(&self, bytes: usize) {
        self.set.table.borrow_mut().hold(self.id, bytes as u64);
    }

    /// Records that the writing of an answer begins.
    pub fn begin_writing(&self, now: Moment) {
        self.set.table.borrow_mut().begin_writing(self.id, now);
    }

    /// Records that bytes of an answer were written.
    pub fn record_written(&self, now: Moment, bytes: usize) {
        let mut table = self.set.table.borrow_mut();
        table.record_written(self.id, now, bytes as u64);
    }

    /// Records that an answer was written or given up.
    pub fn finish(&self, now: Moment) {
        self.set.table.borrow_mut().finish(self.id, now);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.set.table.borrow_mut().remove(self.id);
        self.set.closing.borrow_mut().remove(&self.id);
    }
}

//! Decides which connections are closed so that a node keeps within its memory and its descriptors.
//!
//! Load pattern: callers open more connections than the process may have descriptors, leave them open with or without a
//! part of a request, or read their answers slowly or not at all. Idle connections make room for new ones. While memory
//! is short, the connections whose callers have read nothing for longest are closed.

use {
    crate::types::Moment,
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Identifier of a connection, unique in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Reason for closing a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// There are as many connections as allowed, and none of them can be closed instead.
    Excess,
    /// No request was in progress for the idle timeout, or for longest when another connection needed the place.
    Idle,
    /// The memory for answers is exhausted, and the caller of this connection has read nothing for longest.
    Memory,
    /// The caller has read less than the minimum rate.
    Slow,
    /// The caller has read nothing for the stall limit.
    Stalled,
}

impl Display for CloseReason {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Excess => "excess",
            Self::Idle => "idle",
            Self::Memory => "memory",
            Self::Slow => "slow",
            Self::Stalled => "stalled",
        })
    }
}

/// Limits on connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of connections.
    pub connections_max: usize,
    /// The minimum rate at which answers are read, in bytes per second, on average over the stall limit.
    pub rate_min: u64,
    /// The maximum time in which a caller may read nothing of an answer.
    pub stall: Duration,
}

/// Progress of writing answers. `measured_since` begins the period over which the rate is measured.
struct Writing {
    progress_at: Moment,
    measured_since: Moment,
    measured_bytes: u64,
}

struct Connection {
    closing: bool,
    /// Size of the answers that wait to be written, in bytes.
    held_bytes: u64,
    /// Time since when no request is in progress, if none is.
    idle_since: Moment,
    /// Time at which the first byte of a request arrived whose rest is missing.
    receiving_since: Option<Moment>,
    /// Number of requests whose answers are not completely written.
    requests: usize,
    writing: Option<Writing>,
}

/// Connections and their limits.
pub struct Connections {
    by_id: BTreeMap<ConnectionId, Connection>,
    /// Number of connections that are being closed.
    closing: usize,
    limits: Limits,
    next: u64,
}

/// Admission of a new connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection that is closed in its place, if any.
    pub replaced: Option<ConnectionId>,
}

impl Connections {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            by_id: BTreeMap::new(),
            closing: 0,
            limits,
            next: 0,
        }
    }

    /// Returns the number of connections, without those that are being closed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_id.len() - self.closing
    }

    /// Adds a new connection. If there are as many as allowed, it takes the place of the one that has been idle for
    /// longest, or else of the one that has been sending a request for longest, if that takes it more than
    /// `receive_timeout`. Returns `None` if there is no such connection, so that the new one has to be closed.
    pub fn admit(&mut self, now: Moment, receive_timeout: Duration) -> Option<Admission> {
        let replaced = if self.count() < self.limits.connections_max {
            None
        } else {
            let replaced = self.replaceable(now, receive_timeout)?;
            self.mark_closing(replaced);
            Some(replaced)
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            closing: false,
            held_bytes: 0,
            idle_since: now,
            receiving_since: None,
            requests: 0,
            writing: None,
        };
        self.by_id.insert(id, connection);
        Some(Admission { id, replaced })
    }

    fn replaceable(&self, now: Moment, receive_timeout: Duration) -> Option<ConnectionId> {
        let unused = self
            .by_id
            .iter()
            .filter(|(_, open)| !open.closing && open.requests == 0);
        let candidates = unused.filter_map(|(id, open)| match open.receiving_since {
            None => Some((false, open.idle_since, *id)),
            Some(since) if now.since(since) > receive_timeout => Some((true, since, *id)),
            Some(_) => None,
        });
        candidates.min().map(|(_, _, id)| id)
    }

    /// Records that the first byte of a request has arrived.
    pub fn receive(&mut self, id: ConnectionId, now: Moment) {
        self.update(id, |open| open.receiving_since = Some(now));
    }

    /// Records that a request is complete, or was rejected before, and will be answered.
    pub fn begin(&mut self, id: ConnectionId) {
        self.update(id, |open| {
            open.receiving_since = None;
            open.requests += 1;
        });
    }

    /// Records that an answer of the given size, in bytes, waits to be written.
    pub fn hold(&mut self, id: ConnectionId, bytes: u64) {
        self.update(id, |open| open.held_bytes += bytes);
    }

    /// Records that the writing of an answer begins.
    pub fn begin_writing(&mut self, id: ConnectionId, now: Moment) {
        self.update(id, |open| {
            open.writing = Some(Writing {
                progress_at: now,
                measured_since: now,
                measured_bytes: 0,
            });
        });
    }

    /// Records that bytes of an answer were written.
    pub fn record_written(&mut self, id: ConnectionId, now: Moment, bytes: u64) {
        self.update(id, |open| {
            open.held_bytes = open.held_bytes.saturating_sub(bytes);
            if let Some(writing) = &mut open.writing {
                writing.progress_at = now;
                writing.measured_bytes += bytes;
            }
        });
    }

    /// Records that an answer was written or given up.
    pub fn finish(&mut self, id: ConnectionId, now: Moment) {
        self.update(id, |open| {
            open.requests = open.requests.saturating_sub(1);
            open.writing = None;
            if open.requests == 0 {
                open.idle_since = now;
            }
        });
    }

    /// Returns the time since when no request is in progress on a connection, `None` if one is.
    #[must_use]
    pub fn idle_since(&self, id: ConnectionId) -> Option<Moment> {
        let open = self.by_id.get(&id)?;
        (open.requests == 0).then_some(open.idle_since)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let removed = self.by_id.remove(&id);
        self.closing -= usize::from(removed.is_some_and(|removed| removed.closing));
    }

    /// Returns the connections to close so that `missing_bytes` are released: those whose callers have read nothing for
    /// longest, and for at least `stalled_for`. Connections that are being closed already count.
    pub fn relieve(
        &mut self,
        now: Moment,
        missing_bytes: u64,
        stalled_for: Duration,
    ) -> Vec<ConnectionId> {
        let releasing = self.by_id.values().filter(|open| open.closing);
        let mut released: u64 = releasing.map(|open| open.held_bytes).sum();
        let writing = self.by_id.iter().filter_map(|(id, open)| {
            let writing = open.writing.as_ref().filter(|_| !open.closing)?;
            let stalled = now.since(writing.progress_at);
            (stalled >= stalled_for && open.held_bytes > 0).then_some((stalled, open, *id))
        });
        let mut candidates: Vec<_> = writing
            .map(|(stalled, open, id)| (Reverse(stalled), id, open.held_bytes))
            .collect();
        candidates.sort_unstable();
        let mut closed = Vec::new();
        for (_, id, held_bytes) in candidates {
            if released >= missing_bytes {
                break;
            }
            released += held_bytes;
            closed.push(id);
        }
        for id in &closed {
            self.mark_closing(*id);
        }
        closed
    }

    /// Returns the connections to close because their callers have read nothing for the stall limit, or less than the
    /// minimum rate.
    pub fn tick(&mut self, now: Moment) -> Vec<(ConnectionId, CloseReason)> {
        let Limits {
            rate_min, stall, ..
        } = self.limits;
        let mut closed = Vec::new();
        for (id, open) in &mut self.by_id {
            let Some(writing) = open.writing.as_mut().filter(|_| !open.closing) else {
                continue;
            };
            let measured = now.since(writing.measured_since);
            if now.since(writing.progress_at) >= stall {
                closed.push((*id, CloseReason::Stalled));
            } else if measured >= stall {
                let due = u128::from(rate_min) * measured.as_millis() / 1000;
                if u128::from(writing.measured_bytes) < due {
                    closed.push((*id, CloseReason::Slow));
                }
                writing.measured_since = now;
                writing.measured_bytes = 0;
            }
        }
        for (id, _) in &closed {
            self.mark_closing(*id);
        }
        closed
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(open) = self.by_id.get_mut(&id) {
            self.closing += usize::from(!open.closing);
            open.closing = true;
        }
    }

    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(open) = self.by_id.get_mut(&id) {
            change(open);
        }
    }
}

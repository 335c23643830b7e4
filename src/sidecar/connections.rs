//! Decides which connections are closed so that a node keeps within its memory and its descriptors.
//!
//! Load pattern: callers open more connections than the process may have descriptors, leave them open with or without a
//! part of a request, or read their answers slowly or not at all. Idle connections make room for new ones. While memory
//! is short, the connections are closed that hold some of it and whose callers have read or sent nothing for longest.

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
    /// The memory for answers or for requests is exhausted, and the caller of this connection has read or sent nothing for
    /// longest.
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

/// A request of which a part has arrived. A caller that sends less than a segment of a body counts as one that sends nothing.
struct Receiving {
    held_bytes: u64,
    progress_at: Moment,
    since: Moment,
}

/// Memory that connections hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Memory {
    /// Answers that wait to be written.
    Answers,
    /// Requests that have arrived in part.
    Requests,
}

struct Connection {
    closing: bool,
    /// Size of the answers that wait to be written, in bytes.
    held_bytes: u64,
    /// Time since when no request is in progress, if none is.
    idle_since: Moment,
    /// The request whose rest is missing.
    receiving: Option<Receiving>,
    /// Number of requests whose answers are not completely written.
    requests: usize,
    writing: Option<Writing>,
}

impl Connection {
    /// Returns how much memory the connection holds, in bytes, and when its caller last read or sent some of that, `None` if
    /// it does neither.
    fn held(&self, memory: Memory) -> (u64, Option<Moment>) {
        match memory {
            Memory::Answers => {
                let writing = self.writing.as_ref();
                let progress_at = writing.map(|writing| writing.progress_at);
                (self.held_bytes, progress_at)
            }
            Memory::Requests => self.receiving.as_ref().map_or((0, None), |receiving| {
                (receiving.held_bytes, Some(receiving.progress_at))
            }),
        }
    }
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
            receiving: None,
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
        let candidates = unused.filter_map(|(id, open)| match &open.receiving {
            None => Some((false, open.idle_since, *id)),
            Some(receiving) if now.since(receiving.since) > receive_timeout => {
                Some((true, receiving.since, *id))
            }
            Some(_) => None,
        });
        candidates.min().map(|(_, _, id)| id)
    }

    /// Records that the first byte of a request has arrived.
    pub fn receive(&mut self, id: ConnectionId, now: Moment) {
        self.update(id, |open| {
            open.receiving = Some(Receiving {
                held_bytes: 0,
                progress_at: now,
                since: now,
            });
        });
    }

    /// Records that the request that is being received is about to take this much memory, in bytes, as another segment of it
    /// arrives.
    pub fn grow_request(&mut self, id: ConnectionId, now: Moment, held_bytes: u64) {
        self.update(id, |open| {
            if let Some(receiving) = &mut open.receiving {
                receiving.held_bytes = held_bytes;
                receiving.progress_at = now;
            }
        });
    }

    /// Records that a request is complete, or was rejected before, and will be answered.
    pub fn begin(&mut self, id: ConnectionId) {
        self.update(id, |open| {
            open.receiving = None;
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

    /// Returns the connections to close so that `missing_bytes` are released: those whose callers have read nothing, or sent
    /// nothing, for longest, and for at least `stalled_for`. Connections that are being closed already count.
    pub fn relieve(
        &mut self,
        now: Moment,
        memory: Memory,
        missing_bytes: u64,
        stalled_for: Duration,
    ) -> Vec<ConnectionId> {
        let mut released = self.releasing_bytes(memory);
        let mut closed = Vec::new();
        for (id, held_bytes) in self.stalled(now, memory, stalled_for) {
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

    /// Returns the number of bytes that [`relieve`](Self::relieve) can release at most.
    #[must_use]
    pub fn relievable_bytes(&self, now: Moment, memory: Memory, stalled_for: Duration) -> u64 {
        let stalled = self.stalled(now, memory, stalled_for);
        let stalled: u64 = stalled.iter().map(|(_, held_bytes)| held_bytes).sum();
        self.releasing_bytes(memory) + stalled
    }

    fn releasing_bytes(&self, memory: Memory) -> u64 {
        let releasing = self.by_id.values().filter(|open| open.closing);
        releasing.map(|open| open.held(memory).0).sum()
    }

    /// Returns the connections that hold memory without progress and the bytes that they hold, longest without first.
    fn stalled(
        &self,
        now: Moment,
        memory: Memory,
        stalled_for: Duration,
    ) -> Vec<(ConnectionId, u64)> {
        let open = self.by_id.iter().filter(|(_, open)| !open.closing);
        let mut stalled: Vec<_> = open
            .filter_map(|(id, open)| {
                let (held_bytes, progress_at) = open.held(memory);
                let stalled = now.since(progress_at?);
                (stalled >= stalled_for && held_bytes > 0).then_some((
                    Reverse(stalled),
                    *id,
                    held_bytes,
                ))
            })
            .collect();
        stalled.sort_unstable();
        let stalled = stalled.into_iter();
        stalled
            .map(|(_, id, held_bytes)| (id, held_bytes))
            .collect()
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

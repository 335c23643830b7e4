//! The departure of the upstream on this host, which outlasts a restart of all nodes.
//!
//! A node that acknowledges a departure promises that the upstream gets no more requests. Peers keep that for a restart of
//! the node, but lose it if they restart as well. So it is recorded in the store, and read from there once a restarted node
//! hears of an upstream that had started before it. See docs/design/platform.md.

use {
    super::{
        handle::Announcement,
        history::Epoch,
        node::{Core, STORE_SOURCE},
        renewal::ANNOUNCEMENT_DELAY_MAX,
        store::Store,
    },
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time for which the acknowledgement of a departure waits for its record. The sender takes an acknowledgement that
/// arrives after a second for a failure, and leaves in any case, so it is not withheld while the store is away. One that is
/// sent without a record binds a restarted node all the same, see [`renewal`](super::renewal).
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum time by which the start of an upstream may seem to lie in the future: the time of day of a host may jump by
/// seconds.
const CLOCK_JUMP_MAX: Duration = Duration::from_secs(600);

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Departure of an instance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Time at which its node learned of it.
    pub at: Moment,
    /// Start of the instance; `None` if the node had only just started and did not know the instance.
    pub incarnation: Option<u64>,
    /// Name of the instance.
    pub instance: String,
}

impl Departure {
    /// Returns whether an announcement was made before the instance left, and arrives late.
    ///
    /// One of a start in the future covers none. No node has recorded it, as none takes an announcement of such a start, and
    /// it would keep out every later start under this name.
    #[must_use]
    pub fn covers(&self, now: Moment, announcement: &Announcement) -> bool {
        self.instance == announcement.instance
            && match self.incarnation {
                Some(incarnation) => {
                    announcement.incarnation <= incarnation && !is_in_future(now, incarnation)
                }
                None => {
                    announcement.incarnation <= unix_ms(self.at)
                        && now.since(self.at) < ANNOUNCEMENT_DELAY_MAX
                }
            }
    }
}

/// Returns the time in the unit of incarnations, which are Unix times of starts in milliseconds, by the clock of this
/// host.
pub(super) fn unix_ms(time: Moment) -> u64 {
    time.0 / 1000
}

/// Returns whether an upstream claims to have been started in the future. If it were accepted, the announcements of the
/// actual upstream would all be older.
pub(super) fn is_in_future(now: Moment, incarnation: u64) -> bool {
    incarnation > unix_ms(now + CLOCK_JUMP_MAX)
}

/// Record of the departure in the store.
#[derive(Default)]
pub(super) struct Record {
    changed: Notify,
    /// Epoch of the store in which the departure was written or read.
    held_in: Cell<Option<Epoch>>,
    /// Whether the departure that an earlier process of this node has recorded, if any, was read.
    known: Cell<bool>,
    /// Whether it is to be read. An upstream that has started with its node can't have left before.
    requested: Cell<bool>,
    unwritten: RefCell<Option<Departure>>,
    settled: Notify,
}

impl Record {
    /// Returns whether it is known what an earlier process of this node has acknowledged.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Has the departure read that an earlier process of this node may have recorded.
    pub fn request(&self) {
        if !self.requested.replace(true) {
            self.changed.notify_one();
        }
    }

    /// Has a departure written to the store, in place of an earlier one.
    pub fn submit(&self, departure: Departure) {
        *self.unwritten.borrow_mut() = Some(departure);
        self.changed.notify_one();
    }

    fn is_settled(&self) -> bool {
        let is_read = self.known.get() || !self.requested.get();
        is_read && self.unwritten.borrow().is_none()
    }

    /// Waits until what is requested is read and what is submitted is written, at most for the time that an
    /// acknowledgement may take. Returns whether that is done.
    pub async fn wait_settled(&self) -> bool {
        let settling = async {
            loop {
                let settled = self.settled.notified();
                if self.is_settled() {
                    return;
                }
                settled.await;
            }
        };
        // While the store is away, what was announced is acknowledged nevertheless.
        timeout(RECORD_TIMEOUT, settling).await.is_ok()
    }
}

/// Reads what an earlier process has recorded if that is requested, and writes departures for as long as the node runs, again if
/// the store has come back from a copy that may not hold them. Never returns.
pub(super) async fn run<S: Store>(core: Rc<Core>, store: Rc<S>) {
    let record = &core.local_upstream.departure_record;
    loop {
        if core.epoch.get() > record.held_in.get() && record.unwritten.borrow().is_none() {
            *record.unwritten.borrow_mut() = core.local_upstream.departure();
        }
        let unwritten = record.unwritten.borrow().clone();
        let done = match unwritten {
            Some(departure) => write(&core, &*store, departure).await,
            None if record.requested.get() && !record.is_known() => read(&core, &*store).await,
            None => {
                tokio::select! {
                    () = record.changed.notified() => {}
                    () = core.epoch_changed.notified() => {}
                }
                continue;
            }
        };
        if !done {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn write<S: Store>(core: &Core, store: &S, departure: Departure) -> bool {
    let written = store.write_departure(core.host(), &departure).await;
    let outcome = if written.is_ok() {
        "recorded"
    } else {
        "failed"
    };
    let cause = written.as_ref().err().map(ToString::to_string);
    core.log.record(
        core.now(),
        "departure",
        format_args!(
            "outcome={outcome} instance={} cause=\"{}\"",
            departure.instance,
            cause.as_deref().unwrap_or_default()
        ),
    );
    let record = &core.local_upstream.departure_record;
    if written.is_ok() {
        record.held_in.set(store.epoch());
        core.note_epoch(store.epoch(), STORE_SOURCE);
        // A departure that was submitted meanwhile is written next.
        record
            .unwritten
            .borrow_mut()
            .take_if(|unwritten| *unwritten == departure);
        record.settled.notify_waiters();
    }
    // An answer from before a restore that this node has heard of says nothing about the copy.
    written.is_ok() && store.epoch() >= core.epoch.get()
}

async fn read<S: Store>(core: &Core, store: &S) -> bool {
    let departure = match store.read_departure(core.host()).await {
        Ok(departure) => departure,
        Err(fault) => {
            core.log.record(
                core.now(),
                "departure",
                format_args!("outcome=unread cause=\"{fault}\""),
            );
            return false;
        }
    };
    core.log.record(
        core.now(),
        "departure",
        format_args!(
            "outcome=read instance={}",
            departure
                .as_ref()
                .map_or("none", |departure| &departure.instance)
        ),
    );
    let record = &core.local_upstream.departure_record;
    record.known.set(true);
    record.held_in.set(store.epoch());
    core.note_epoch(store.epoch(), STORE_SOURCE);
    if core.local_upstream.restore_departure(core, departure) {
        core.broadcast_status();
    }
    record.settled.notify_waiters();
    true
}

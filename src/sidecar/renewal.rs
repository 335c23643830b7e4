//! Tells announcements that were made after the start of this process from older ones that arrive late.
//!
//! Designed for the loss of all processes of a region while the store is away: then nothing is left of a departure that was
//! acknowledged, and an announcement from before it, which the platform delivers seconds late, looks like that of an upstream
//! that runs. Neither its contents nor further ones tell them apart, as a whole backlog may be late. An announcement that
//! arrives at an address that did not exist before this start was made after it. The node opens such an address, names it in
//! its responses, and uses the upstream once it announces itself there. See docs/design/departures.md.

use {
    super::handle::Announcement,
    crate::types::Moment,
    serde::Deserialize,
    std::{cell::Cell, net::SocketAddr, time::Duration},
};

/// Maximum delay of an announcement; the platform may deliver it seconds late.
pub const ANNOUNCEMENT_DELAY_MAX: Duration = Duration::from_secs(15);

/// Time by which an upstream may have started before its node without that node having run before.
const START_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Ports from which the address for renewals is taken; both are included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ports {
    /// The first port; 0, with a last one of 0, for any free port.
    pub first: u16,
    /// The last port, not below the first one.
    pub last: u16,
}

impl Ports {
    /// Returns the port for a process that starts at this time, without those that are taken by other listeners; `None` if
    /// all are. Successive starts get different ports, so that a late announcement to the address of an earlier process
    /// does not arrive at that of the present one. An upstream follows an address with its next announcement at the
    /// earliest, so a process that has run for less than a heartbeat was announced to at none.
    #[must_use]
    pub fn choose(self, started_at: Moment, heartbeat: Duration, taken: &[u16]) -> Option<u16> {
        let free: Vec<u16> = (self.first..=self.last)
            .filter(|port| *port == 0 || !taken.contains(port))
            .collect();
        let heartbeats = u128::from(started_at.0) / heartbeat.as_micros().max(1);
        let count = u128::try_from(free.len()).ok().filter(|count| *count > 0)?;
        free.get(usize::try_from(heartbeats % count).ok()?).copied()
    }
}

/// Address at which an announcement has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The control address, which was the same before this process started.
    Control,
    /// The address for renewals, which no earlier process has named.
    Renewal,
}

/// Address at which the upstream should announce itself next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The control address again.
    Control,
    /// The address for renewals.
    Renewal(SocketAddr),
    /// The one that it uses.
    Unchanged,
}

/// What a process knows of whether its upstream has left before the process started.
#[derive(Debug)]
pub struct Renewal {
    address: Cell<Option<SocketAddr>>,
    started_at: Moment,
    /// Whether an announcement from after the start, or a peer, has told.
    is_settled: Cell<bool>,
}

impl Renewal {
    /// Creates the state of a process that starts at this time. Nothing is known yet.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self {
            address: Cell::default(),
            started_at,
            is_settled: Cell::default(),
        }
    }

    /// Returns whether an announcement may have been made before the start of this process, by an upstream whose departure
    /// an earlier process has acknowledged. One that says that the upstream leaves holds in any case.
    #[must_use]
    pub fn may_be_outdated(
        &self,
        now: Moment,
        announcement: &Announcement,
        arrival: Arrival,
    ) -> bool {
        let age_at_start = Duration::from_micros(self.started_at.0)
            .saturating_sub(announcement.start_since_epoch());
        arrival == Arrival::Control
            && !announcement.draining
            && !self.is_settled.get()
            && !self.is_over(now)
            && age_at_start > START_INTERVAL_MAX
    }

    /// Records that it is known whether the upstream has left. Later announcements are told apart by their order.
    pub fn settle(&self) {
        self.is_settled.set(true);
    }

    /// Returns whether no announcement from before the start can arrive any more.
    #[must_use]
    pub fn is_over(&self, now: Moment) -> bool {
        now.since(self.started_at) >= ANNOUNCEMENT_DELAY_MAX
    }

    /// Sets the address for renewals, `None` once nothing listens there any more.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// Returns the address for renewals, if something listens there.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Returns where the upstream should announce itself next, after an announcement that was kept or not.
    #[must_use]
    pub fn next(&self, arrival: Arrival, is_kept: bool) -> Next {
        match (arrival, self.address.get()) {
            (Arrival::Renewal, _) => Next::Control,
            (Arrival::Control, Some(address)) if is_kept => Next::Renewal(address),
            (Arrival::Control, _) => Next::Unchanged,
        }
    }
}

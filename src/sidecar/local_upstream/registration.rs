//! What is known of the upstream on this host from its announcements, and which of them are too old or too new to be
//! true.

use {
    super::LocalUpstream,
    crate::{
        sidecar::{handle::Announcement, node::Core},
        types::{Host, Moment},
    },
    std::time::Duration,
};

/// Maximum delay of an announcement; the platform may deliver it seconds late.
const ANNOUNCEMENT_DELAY_MAX: Duration = Duration::from_secs(15);
/// Maximum time by which the start of an upstream may seem to lie in the future: the time of day of a host may jump by
/// seconds.
const CLOCK_JUMP_MAX: Duration = Duration::from_secs(600);

/// Registration of the upstream on this host, from its last announcement.
pub(super) struct Registration {
    pub last_announcement: Announcement,
    pub cold_until: Moment,
    pub down_until: Moment,
    pub announced_at: Moment,
}

impl Registration {
    /// Returns whether the upstream is about to stop, by its own announcement or by an order to remove it.
    pub fn is_draining(&self) -> bool {
        self.last_announcement.draining
    }
}

/// Departure of an upstream instance that was not registered here, as this node had only just started.
pub(super) struct Departure {
    at: Moment,
    instance: String,
}

/// Returns the time in the unit of incarnations, which are Unix times of starts in milliseconds, by the clock of this
/// host.
fn unix_ms(time: Moment) -> u64 {
    time.0 / 1000
}

/// Returns whether an upstream claims to have been started in the future. If it were accepted, the announcements of the
/// actual upstream would all be older.
fn is_in_future(now: Moment, incarnation: u64) -> bool {
    incarnation > unix_ms(now + CLOCK_JUMP_MAX)
}

impl Departure {
    /// Returns whether an announcement was made before the instance left, and arrived late.
    fn precedes(&self, now: Moment, announcement: &Announcement) -> bool {
        let unix_ms = unix_ms(self.at);
        self.instance == announcement.instance
            && announcement.incarnation <= unix_ms
            && now.since(self.at) < ANNOUNCEMENT_DELAY_MAX
    }
}

impl LocalUpstream {
    /// Registers the upstream by its announcement, or updates the registration. Returns whether the offer to new
    /// requests has changed. Announcements that arrive late or out of order are ignored.
    pub fn announce(&self, core: &Core, mut announcement: Announcement) -> bool {
        let now = core.now();
        let late = |departure: &Departure| departure.precedes(now, &announcement);
        if self.unknown_departure.borrow().as_ref().is_some_and(late) {
            core.log
                .record(now, "upstream", format_args!("outcome=announced-late"));
            return false;
        }
        if is_in_future(now, announcement.incarnation) {
            core.log.record(
                now,
                "upstream",
                format_args!(
                    "outcome=announced-ahead incarnation={}",
                    announcement.incarnation
                ),
            );
            return false;
        }
        let offer_before = self.offer(now);
        let mut cold_until = now + announcement.offer.cold;
        {
            let mut registration = self.registration.borrow_mut();
            if let Some(current) = registration.as_ref() {
                let order = |current: &Announcement| (current.incarnation, current.sequence);
                let same_incarnation =
                    current.last_announcement.incarnation == announcement.incarnation;
                let stale = order(&announcement) <= order(&current.last_announcement);
                if stale || (same_incarnation && current.is_draining() && !announcement.draining) {
                    return false;
                }
                if same_incarnation {
                    // The remaining warm-up time of a start shrinks by itself, which is no change of the offer.
                    announcement.offer.cold = current.last_announcement.offer.cold;
                    cold_until = current.cold_until;
                }
            }
            let restarted = registration.as_ref().is_none_or(|current| {
                current.last_announcement.incarnation != announcement.incarnation
            });
            // An upstream that starts again without having left before has crashed.
            let was_active = registration
                .as_ref()
                .is_some_and(|current| !current.is_draining());
            if restarted && was_active {
                self.record_crash(core);
            }
            if restarted {
                self.pool.close_idle();
                self.counts.borrow_mut().clear();
                core.log.record(
                    now,
                    "upstream",
                    format_args!(
                        "outcome=announced instance={} service={} version={} slots={} incarnation={}",
                        announcement.instance,
                        announcement.offer.service,
                        announcement.offer.version,
                        announcement.offer.slots,
                        announcement.incarnation
                    ),
                );
            }
            self.queue.borrow_mut().set_slots(announcement.offer.slots);
            let changed = restarted
                || registration
                    .as_ref()
                    .is_some_and(|current| current.is_draining() != announcement.draining);
            if changed {
                core.peers.share_registration(&announcement);
            }
            *registration = Some(Registration {
                cold_until,
                down_until: Moment::default(),
                announced_at: now,
                last_announcement: announcement,
            });
        }
        let offer_after = self.offer(now);
        if offer_before.is_some() && offer_after.is_none() {
            self.decline_waiting(core, format_args!("draining"));
        }
        offer_before != offer_after
    }

    /// Records that an upstream is about to stop, and declines the waiting requests. Returns whether the offer to new
    /// requests has changed.
    pub fn unregister(&self, core: &Core, instance: &str) -> bool {
        {
            let mut registration = self.registration.borrow_mut();
            match registration.as_mut() {
                Some(current) if current.last_announcement.instance == instance => {
                    let last = &mut current.last_announcement;
                    if std::mem::replace(&mut last.draining, true) {
                        return false;
                    }
                    // Supersedes the announcements that were made before it.
                    last.sequence = last.sequence.saturating_add(1);
                    core.peers.share_registration(last);
                }
                _ => {
                    self.remember_departure(core, instance);
                    return false;
                }
            }
        }
        self.decline_waiting(core, format_args!("leaving"));
        true
    }

    /// Registers the upstream by the announcement that a peer kept from before this node restarted, unless a newer one
    /// is known. The upstream itself has usually gone on running, and one that was about to stop stays withdrawn.
    /// Returns whether the offer to new requests has changed.
    pub fn recall(&self, core: &Core, mut announcement: Announcement, peer: &Host) -> bool {
        announcement.offer.cold = Duration::ZERO;
        let (instance, draining) = (announcement.instance.clone(), announcement.draining);
        let changed = self.announce(core, announcement);
        if changed {
            core.log.record(
                core.now(),
                "upstream",
                format_args!(
                    "outcome=recalled instance={instance} draining={draining} peer={peer}"
                ),
            );
        }
        changed
    }

    /// Returns the last announcement of the upstream, to be kept by other nodes.
    pub fn last_announcement(&self) -> Option<Announcement> {
        let registration = self.registration.borrow();
        let current = registration.as_ref()?;
        Some(current.last_announcement.clone())
    }

    /// Remembers an instance that left unregistered, so that its late announcement is ignored.
    fn remember_departure(&self, core: &Core, instance: &str) {
        let at = core.now();
        core.log.record(
            at,
            "upstream",
            format_args!("outcome=left-unknown instance={instance}"),
        );
        *self.unknown_departure.borrow_mut() = Some(Departure {
            at,
            instance: instance.into(),
        });
    }
}

//! What is known of the upstream on this host from its announcements, and which of them are too old or too new to be
//! true.

use {
    super::LocalUpstream,
    crate::{
        sidecar::{
            departure::{Departure, is_in_future},
            frame::Coverage,
            handle::{Announcement, Refusal},
            node::Core,
            renewal::Arrival,
        },
        types::{Host, Moment, Service},
    },
    std::time::Duration,
};

/// Registration of the upstream on this host, from its last announcement.
pub(super) struct Registration {
    pub last_announcement: Announcement,
    pub cold_until: Moment,
    pub down_until: Moment,
    pub announced_at: Moment,
}

/// Source of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// A peer that has kept it since before this node restarted, and what it covers.
    Peer(Coverage),
    /// The upstream itself.
    Upstream,
}

impl Registration {
    /// Returns whether the upstream is about to stop, by its own announcement or by an order to remove it.
    pub fn is_draining(&self) -> bool {
        self.last_announcement.draining
    }
}

/// Logs that a start of the upstream has announced itself for the first time.
fn log_start(core: &Core, announcement: &Announcement) {
    core.log.record(
        core.now(),
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

/// Logs that an announcement changes nothing, as a later one is known.
fn log_passed_over(core: &Core, announcement: &Announcement, last: &Announcement) {
    core.log.record(
        core.now(),
        "upstream",
        format_args!(
            "outcome=passed-over instance={} incarnation={} sequence={} last={} last_incarnation={} last_sequence={}",
            announcement.instance,
            announcement.incarnation,
            announcement.sequence,
            last.instance,
            last.incarnation,
            last.sequence
        ),
    );
}

impl LocalUpstream {
    /// Checks that an announcement is of the service of this host's upstream. The settings name it when a start of the
    /// upstream first announces itself; that start keeps it then, also when the settings change.
    ///
    /// # Errors
    /// Returns the refusal of an announcement of another service, or of a start in the future, which comes from another
    /// writer.
    pub fn check_claim(&self, core: &Core, announcement: &Announcement) -> Result<(), Refusal> {
        if is_in_future(core.now(), announcement.incarnation) {
            return Err(Refusal::Start(announcement.incarnation));
        }
        let claimed = &announcement.offer.service;
        let expected = self
            .service_of_start(announcement)
            .unwrap_or_else(|| core.settings.borrow().service.clone());
        if *claimed == expected {
            return Ok(());
        }
        Err(Refusal::Service {
            claimed: claimed.clone(),
            expected,
        })
    }

    /// Returns the service that the same start of the upstream has named before, `None` if it has not announced itself.
    fn service_of_start(&self, announcement: &Announcement) -> Option<Service> {
        let registration = self.registration.borrow();
        let registered = registration
            .as_ref()
            .map(|current| &current.last_announcement);
        let early = self.early_announcement.borrow();
        let mut known = registered.into_iter().chain(early.as_ref());
        let same = known.find(|known| known.is_same_start(announcement))?;
        Some(same.offer.service.clone())
    }

    /// Registers the upstream by its announcement, or updates the registration. Returns whether the offer to new
    /// requests has changed. Announcements that arrive late or out of order are ignored, and so is one that may have been
    /// made before this process started, until the upstream announces itself again.
    pub fn announce(&self, core: &Core, announcement: Announcement, arrival: Arrival) -> bool {
        let (now, instance) = (core.now(), &announcement.instance);
        let sequence = announcement.sequence;
        if self.renewal.may_be_outdated(now, &announcement, arrival) {
            self.departure_record.request();
            core.log.record(
                now,
                "upstream",
                format_args!("outcome=announced-early instance={instance} sequence={sequence}"),
            );
            *self.early_announcement.borrow_mut() = Some(announcement);
            return false;
        }
        if self.early_announcement.take().is_some() {
            core.log.record(
                now,
                "upstream",
                format_args!(
                    "outcome=renewed instance={instance} sequence={sequence} at={arrival:?}"
                ),
            );
        }
        self.register(core, announcement, Origin::Upstream)
    }

    /// Returns whether the last announcement may have been made before this process started.
    pub fn is_announcement_kept(&self) -> bool {
        self.early_announcement.borrow().is_some()
    }

    /// Puts the departure in force that an earlier process of this node has recorded. Returns whether the offer to new
    /// requests has changed.
    pub fn restore_departure(&self, core: &Core, departure: Option<Departure>) -> bool {
        let Some(departure) = departure else {
            return false;
        };
        let late = |current: &Registration| {
            !current.is_draining() && departure.covers(core.now(), &current.last_announcement)
        };
        let is_late = self.registration.borrow().as_ref().is_some_and(late);
        let changed = is_late && self.unregister(core, &departure.instance);
        self.departure.borrow_mut().get_or_insert(departure);
        changed
    }

    fn register(&self, core: &Core, mut announcement: Announcement, origin: Origin) -> bool {
        let now = core.now();
        let late =
            |departure: &Departure| !announcement.draining && departure.covers(now, &announcement);
        if self.departure.borrow().as_ref().is_some_and(late) {
            core.log
                .record(now, "upstream", format_args!("outcome=announced-late"));
            return false;
        }
        let offer_before = self.offer(now);
        let announced_cold = announcement.offer.cold;
        let mut cold_until = now + announced_cold;
        {
            let mut registration = self.registration.borrow_mut();
            if let Some(current) = registration.as_mut() {
                let order = |current: &Announcement| (current.incarnation, current.sequence);
                let same_incarnation =
                    current.last_announcement.incarnation == announcement.incarnation;
                let same_start = announcement.is_same_start(&current.last_announcement);
                let stale = order(&announcement) <= order(&current.last_announcement);
                // A start that leaves never comes back, whatever else it has announced and in which order that arrives.
                let is_leaving = announcement.draining && same_start;
                let has_left = same_incarnation && current.is_draining();
                if (stale && !is_leaving) || (has_left && !announcement.draining) {
                    log_passed_over(core, &announcement, &current.last_announcement);
                    if same_start && !has_left {
                        // It tells that the start runs, as any other one does that may be seconds late.
                        current.announced_at = now;
                    }
                    drop(registration);
                    return offer_before != self.offer(now);
                }
                if is_leaving {
                    let last_sequence = current.last_announcement.sequence;
                    announcement.sequence = announcement.sequence.max(last_sequence);
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
            let active = registration
                .as_ref()
                .filter(|current| !current.is_draining());
            if let Some(active) = active.filter(|_| restarted) {
                self.record_crash_of(core, &active.last_announcement.offer);
            }
            if restarted {
                self.forget_warm_up();
                self.pool.close_idle();
                self.counts.borrow_mut().clear();
                log_start(core, &announcement);
            }
            {
                let mut queue = self.queue.borrow_mut();
                queue.set_slots(announcement.offer.slots);
                // What a peer has kept says nothing of the present.
                if origin == Origin::Upstream {
                    queue.gate_mut().announce(now, announced_cold);
                }
            }
            let was_draining = registration.as_ref().is_some_and(|current| {
                current.last_announcement.incarnation == announcement.incarnation
                    && current.is_draining()
            });
            let is_settled = match origin {
                Origin::Peer(coverage) => coverage == Coverage::Complete,
                Origin::Upstream => !announcement.draining,
            };
            if is_settled {
                self.renewal.settle();
            }
            if announcement.draining && !was_draining {
                self.record_departure(core, &announcement.instance, Some(announcement.incarnation));
            }
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
                    self.record_departure(core, instance, Some(last.incarnation));
                }
                _ => {
                    let early = self.early_announcement.take();
                    let early = early.filter(|early| early.instance == instance);
                    let incarnation = early.map(|early| early.incarnation);
                    self.record_departure(core, instance, incarnation);
                    return false;
                }
            }
        }
        self.decline_waiting(core, format_args!("leaving"));
        true
    }

    /// Registers the upstream by the announcement that a peer kept from before this node restarted, unless a newer one
    /// is known, or the node has come back as that of another service. The upstream itself has usually gone on running, and one that was about to stop stays withdrawn. If the
    /// peer may have missed a departure, the upstream is not used before it announces itself. Returns whether the offer to
    /// new requests has changed.
    pub fn recall(
        &self,
        core: &Core,
        mut announcement: Announcement,
        coverage: Coverage,
        peer: &Host,
    ) -> bool {
        announcement.offer.cold = Duration::ZERO;
        let (instance, draining) = (announcement.instance.clone(), announcement.draining);
        let now = core.now();
        if let Err(refusal) = self.check_claim(core, &announcement) {
            core.log.record(
                now,
                "upstream",
                format_args!(
                    "outcome=recall-refused instance={instance} peer={peer} cause=\"{refusal}\""
                ),
            );
            return false;
        }
        if self
            .renewal
            .may_be_outdated(now, &announcement, Arrival::Control)
        {
            // A departure may be recorded just now, which is put in force once it is read.
            self.departure_record.request();
            if coverage == Coverage::Partial {
                core.log.record(
                    now,
                    "upstream",
                    format_args!("outcome=recalled-partially instance={instance} peer={peer}"),
                );
                return false;
            }
        }
        let changed = self.register(core, announcement, Origin::Peer(coverage));
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

    /// Remembers that an instance has left, so that its late announcements are ignored, also after a restart.
    fn record_departure(&self, core: &Core, instance: &str, incarnation: Option<u64>) {
        let departure = Departure {
            at: core.now(),
            incarnation,
            instance: instance.into(),
        };
        let outcome = match incarnation {
            Some(_) => "left",
            None => "left-unknown",
        };
        core.log.record(
            departure.at,
            "upstream",
            format_args!("outcome={outcome} instance={instance}"),
        );
        self.departure_record.submit(departure.clone());
        *self.departure.borrow_mut() = Some(departure);
    }
}

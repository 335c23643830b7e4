//! Trials of quarantined requests.
//!
//! Designed for upstreams that crash together for a reason of their own: what ran on them is quarantined everywhere, and only
//! running it again tells that it was not the cause. At most one node of a region runs a trial of a request, the one whose host
//! ranks highest among those of its service, and the regions begin in an order that depends on the request as well. See
//! docs/design/requests.md.

use {
    crate::{
        sidecar::{frame::Request, node::Core, regions::Restriction},
        traffic::{
            admission::Ticket,
            quarantine::{Fingerprint, Verdict},
        },
        types::{Host, Region, Service},
    },
    std::time::Duration,
};

/// Time between the first trials in two regions: several round trips between them, so that the second one knows how the
/// first one has ended.
const REGION_STAGGER: Duration = Duration::from_secs(1);

/// Returns whether a request to a service may run as far as this node knows, and, if it is quarantined, the host whose upstream
/// runs its next trial.
pub(in crate::sidecar) fn judge(
    core: &Core,
    service: &Service,
    fingerprint: Fingerprint,
    regions: &Restriction,
) -> (Verdict, Option<Host>) {
    let mut quarantine = core.local_upstream.quarantine.borrow_mut();
    if !quarantine.check(core.now(), fingerprint) {
        return (Verdict::Allowed, None);
    }
    let load_balancer = core.load_balancer.borrow();
    let Some((host, region)) = load_balancer.trial_host(service, fingerprint, regions) else {
        return (Verdict::Quarantined(None), None);
    };
    let stagger = stagger(core, region, fingerprint);
    let verdict = quarantine.judge(core.now(), fingerprint, stagger);
    (verdict, Some(host.clone()))
}

/// Admits a request to the upstream on this host, as a trial if it is quarantined and the next trial is due here. Otherwise
/// returns the time after which it may be sent again, which is zero if there is no reason to.
pub(super) fn admit(
    core: &Core,
    request: &Request,
    fingerprint: Fingerprint,
    ticket: Ticket,
) -> Result<(), Duration> {
    let (verdict, host) = judge(core, &request.service, fingerprint, &request.regions);
    match verdict {
        Verdict::Allowed => return Ok(()),
        Verdict::Quarantined(after) => return Err(after.unwrap_or_default()),
        Verdict::Trial => {}
    }
    let now = core.now();
    let mut quarantine = core.local_upstream.quarantine.borrow_mut();
    if host.as_ref() != Some(core.host()) || !quarantine.try_begin_trial(now, ticket) {
        return Err(Duration::ZERO);
    }
    core.log.record(
        now,
        "quarantine",
        format_args!("outcome=trial id={} request={fingerprint}", request.id),
    );
    Ok(())
}

/// Returns the time by which trials in a region begin later than in the first one.
fn stagger(core: &Core, region: &Region, fingerprint: Fingerprint) -> Duration {
    let settings = core.settings.borrow();
    let rank = fingerprint.rank(region.as_str());
    let earlier = settings
        .regions
        .iter()
        .filter(|other| fingerprint.rank(other.as_str()) > rank)
        .count();
    REGION_STAGGER * u32::try_from(earlier).unwrap_or(u32::MAX)
}

//! Warm-up of the upstream on this host: keeps the limits of its gate ([`cold_start`](crate::sidecar::cold_start)) as the
//! document and the settings have them, and asks its health path whether it is cold.

use {
    super::{LocalUpstream, serve::MISDIRECTED},
    crate::{
        http1::{self, Field},
        refusal::Reason,
        sidecar::{
            cold_start::{Limits, WarmUp},
            node::Core,
            upstream_pool::Failure,
        },
        types::Moment,
    },
    std::{rc::Rc, time::Duration},
};

/// Time within which the upstream has to answer a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum remaining warm-up that is believed; a longer one is a mistake, and would withhold the upstream.
const WARM_UP_MAX: Duration = Duration::from_secs(600);

impl LocalUpstream {
    /// Returns the remaining warm-up that an upstream of a limited rate states to other nodes.
    pub(super) fn warm_up(&self, now: Moment) -> Option<WarmUp> {
        self.queue.borrow().gate().warm_up(now)
    }

    /// Forgets what is known of the upstream's warm-up, so that it counts as cold until it says otherwise.
    pub fn forget_warm_up(&self) {
        self.queue.borrow_mut().gate_mut().reset();
    }

    /// Puts the limits of the upstream's service in force.
    pub fn update_cold_limits(&self, core: &Core) {
        let limits = self.cold_limits(core);
        self.queue.borrow_mut().gate_mut().set_limits(limits);
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn cold_limits(&self, core: &Core) -> Option<Limits> {
        let settings = core.settings.borrow().cold_start?;
        let registration = self.registration.borrow();
        let service = &registration.as_ref()?.last_announcement.offer.service;
        let document = core.document.borrow();
        let spec = document.services.get(service)?;
        let tolerance = f64::from(spec.cold_rate) * settings.over + settings.slack;
        (spec.cold_rate > 0).then_some(Limits {
            has_check: spec.health_path.is_some(),
            rate: spec.cold_rate,
            tolerance: tolerance as u32,
        })
    }
}

/// Checks whether the upstream is cold, in a task of its own, if that is due.
pub(super) fn check_if_due(core: &Rc<Core>) {
    let state = &core.local_upstream;
    let now = core.now();
    let running = state.load(core.now()).running as usize;
    {
        let mut queue = state.queue.borrow_mut();
        if !queue.gate_mut().is_check_due(now) {
            return;
        }
        queue.gate_mut().begin_check(now, running);
    }
    core.metrics.checks.inc();
    let core = core.clone();
    tokio::task::spawn_local(async move {
        let left = check(&core).await;
        let state = &core.local_upstream;
        let before = state.warm_up(core.now());
        let actions = {
            let mut queue = state.queue.borrow_mut();
            queue.gate_mut().end_check(core.now(), now, left);
            queue.tick(core.now())
        };
        state.apply_actions(actions);
        let after = state.warm_up(core.now());
        if after != before {
            let left = after.unwrap_or_default().left;
            core.log.record(
                core.now(),
                "upstream",
                format_args!("outcome=checked cold_ms={}", left.as_millis()),
            );
            core.broadcast_status();
        }
    });
}

/// Asks the upstream for its remaining warm-up. Returns `None` if it has not answered.
async fn check(core: &Core) -> Option<Duration> {
    let state = &core.local_upstream;
    let (path, instance) = {
        let registration = state.registration.borrow();
        let announcement = &registration.as_ref()?.last_announcement;
        let document = core.document.borrow();
        let spec = document.services.get(&announcement.offer.service)?;
        (spec.health_path.clone()?, announcement.instance.clone())
    };
    let fields = [
        Field::new("Host", core.settings.borrow().upstream.to_string()),
        Field::new(core.header_names.expected_instance, instance),
        Field::new("Connection", "close"),
    ];
    let request = http1::encode_request("GET", &path, &fields, b"");
    let response = match state.pool.check(&request, CHECK_TIMEOUT).await {
        Ok(response) => response,
        Err(Failure::Unsent(_)) => {
            state.forget_warm_up();
            return None;
        }
        Err(Failure::Sent(_)) => return None,
    };
    match response.status {
        200..300 => {}
        MISDIRECTED => {
            state.mark_down(core, Reason::WrongVersion);
            return None;
        }
        _ => return None,
    }
    // An upstream that states nothing is warm, as one that is cold says so.
    let Some(text) = http1::field_text(&response.fields, core.header_names.cold) else {
        return Some(Duration::ZERO);
    };
    let left = Duration::from_millis(text.trim().parse().ok()?);
    Some(left.min(WARM_UP_MAX))
}

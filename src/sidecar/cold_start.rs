//! How many requests an upstream may get while it is cold or may be cold.
//!
//! Designed for upstreams that crash under more than a fraction of their usual load while they are cold: after a start, and
//! at any moment later without an announcement. The gate counts the requests of a sliding window of a second. Up to the rate
//! that a cold upstream bears, requests may start whatever is known. Beyond that rate they start only while the upstream is
//! known to be warm, and no more of them after the last check that found it so than the tolerance allows, as it may have
//! become cold since.

use {
    crate::types::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Length of the sliding window in which requests are counted: a second, and the time by which requests may be closer
/// together when they reach the upstream.
const WINDOW: Duration = Duration::from_millis(1100);
/// Time within which a request that has started reaches the upstream, on a host that is short of processor time.
const ARRIVAL_TIME_MAX: Duration = Duration::from_millis(50);
/// Minimum interval between two checks, as they have a price.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Maximum interval between two checks under more load than a cold upstream bears.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Remaining warm-up that is stated to other nodes while it is not known.
const UNKNOWN_WARM_UP: Duration = Duration::from_secs(5);
/// Minimum time after which the caller of a declined request is asked to return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Limits of a service's upstreams while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The requests per second that an upstream bears; above 0.
    pub rate: u32,
    /// The requests that it may get in any one second; at least the rate. The difference is for requests that were sent
    /// before the node knew that the upstream is cold.
    pub tolerance: u32,
    /// Whether the upstream can be asked whether it is cold. If not, only its announcements tell.
    pub has_check: bool,
}

/// What is known of the upstream's warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// Nothing is known, so it counts as cold.
    #[default]
    Unknown,
    /// It is cold until a time. The duration is what was left when that became known.
    Cold(Moment, Duration),
    /// It was said to be warm.
    Warm,
}

/// Check of the upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Check {
    started_at: Moment,
    /// Requests that had started shortly before, and may reach the upstream after its answer.
    on_way: usize,
}

/// Warm-up of the upstream as it is stated to other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmUp {
    /// What was left of it when that became known; zero if the upstream is warm.
    pub left: Duration,
    /// The requests per second that the upstream gets meanwhile; 0 for no limit.
    pub rate: u32,
}

/// Gate in front of every start of a request at an upstream. Without limits it is open.
#[derive(Debug, Default)]
pub struct Gate {
    /// The last check that has found the upstream warm.
    confirmed: Option<Check>,
    /// The check in progress, or the last one.
    checked: Option<Check>,
    is_checking: bool,
    limits: Option<Limits>,
    /// Whether a request was declined since the last check.
    has_declined: bool,
    /// Times of the starts in the last window, the oldest first.
    starts: VecDeque<Moment>,
    state: State,
}

impl Gate {
    /// Sets the limits; `None` opens the gate.
    pub fn set_limits(&mut self, limits: Option<Limits>) {
        self.limits = limits;
        if limits.is_none() {
            self.starts.clear();
        }
    }

    /// Returns how many requests may start now.
    pub fn room(&mut self, now: Moment) -> usize {
        let Some(limits) = self.limits else {
            return usize::MAX;
        };
        self.update(now);
        let free = (limits.rate as usize).saturating_sub(self.starts.len());
        match self.state {
            State::Unknown | State::Cold(..) => free,
            State::Warm if !limits.has_check => usize::MAX,
            State::Warm => {
                let unconfirmed = self.count_since(now, self.confirmed);
                free.max((limits.tolerance as usize).saturating_sub(unconfirmed))
            }
        }
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Moment) {
        if self.limits.is_some() {
            self.starts.push_back(now);
        }
    }

    /// Records that a request is declined because there is no room. Returns the time until there is some.
    pub fn record_decline(&mut self, now: Moment) -> Duration {
        self.has_declined = true;
        let oldest = self.starts.front();
        let until = oldest.map_or(Duration::ZERO, |oldest| (*oldest + WINDOW).since(now));
        until.max(RETRY_AFTER_MIN)
    }

    /// Returns whether to check now whether the upstream is cold.
    pub fn is_check_due(&mut self, now: Moment) -> bool {
        let Some(limits) = self.limits.filter(|limits| limits.has_check) else {
            return false;
        };
        self.update(now);
        let elapsed = self.checked.map(|check| now.since(check.started_at));
        if self.is_checking || elapsed.is_some_and(|elapsed| elapsed < CHECK_INTERVAL_MIN) {
            return false;
        }
        match self.state {
            State::Cold(..) => false,
            State::Unknown => self.has_declined || self.starts.len() >= limits.rate as usize,
            State::Warm => {
                let is_loaded = self.starts.len() > limits.rate as usize;
                let sent = self.count_since(now, self.checked);
                let is_overdue = elapsed.is_none_or(|elapsed| elapsed >= CHECK_INTERVAL_MAX);
                is_loaded
                    && (is_overdue || self.has_declined || sent >= limits.tolerance as usize / 2)
            }
        }
    }

    /// Records the start of a check, which counts as a request, and the number of requests that run at that moment.
    pub fn begin_check(&mut self, now: Moment, running: usize) {
        let recent = self.starts.iter().rev();
        let recent = recent.take_while(|start| now.since(**start) < ARRIVAL_TIME_MAX);
        self.is_checking = true;
        self.has_declined = false;
        self.checked = Some(Check {
            started_at: now,
            on_way: recent.count().min(running),
        });
        self.record_start(now);
    }

    /// Records the end of the check that has begun at `started_at`. `left` is the remaining warm-up that the upstream has stated; `None` if it
    /// has not answered.
    pub fn end_check(&mut self, now: Moment, started_at: Moment, left: Option<Duration>) {
        let is_last = self
            .checked
            .is_some_and(|check| check.started_at == started_at);
        if !is_last || !std::mem::take(&mut self.is_checking) {
            // What is known was reset meanwhile.
            return;
        }
        match left {
            Some(Duration::ZERO) => {
                self.state = State::Warm;
                self.confirmed = self.checked;
            }
            Some(left) => self.set_cold(now, left),
            None => {}
        }
    }

    /// Records the remaining warm-up that the upstream has announced. An announcement may be late, so one that states a
    /// warm upstream does not take back what is known of a cold one.
    pub fn announce(&mut self, now: Moment, left: Duration) {
        self.update(now);
        match self.state {
            State::Unknown if left.is_zero() => self.state = State::Warm,
            State::Unknown | State::Warm if !left.is_zero() => self.set_cold(now, left),
            State::Unknown | State::Cold(..) | State::Warm => {}
        }
    }

    fn set_cold(&mut self, now: Moment, left: Duration) {
        self.confirmed = None;
        self.state = State::Cold(now + left, left);
    }

    /// Forgets what is known, as the upstream was unreachable, has restarted, or got no requests for a time.
    pub fn reset(&mut self) {
        self.confirmed = None;
        self.is_checking = false;
        self.state = State::Unknown;
    }

    /// Returns the warm-up as it is stated to other nodes; `None` without limits.
    #[must_use]
    pub fn warm_up(&self, now: Moment) -> Option<WarmUp> {
        let limits = self.limits?;
        let left = match self.state {
            State::Unknown => UNKNOWN_WARM_UP,
            State::Cold(until, left) if now < until => left,
            State::Cold(..) | State::Warm => return Some(WarmUp::default()),
        };
        Some(WarmUp {
            left,
            rate: limits.rate,
        })
    }

    /// Forgets starts before the window, and a warm-up that is over.
    fn update(&mut self, now: Moment) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= WINDOW)
        {
            self.starts.pop_front();
        }
        if matches!(self.state, State::Cold(until, _) if now >= until) {
            self.state = State::Warm;
        }
    }

    /// Returns the number of requests in the window that may have reached the upstream after the answer to a check.
    fn count_since(&self, now: Moment, check: Option<Check>) -> usize {
        let Some(check) = check.filter(|check| now.since(check.started_at) < WINDOW) else {
            return self.starts.len();
        };
        let before = self
            .starts
            .partition_point(|start| *start < check.started_at);
        (self.starts.len() - before + check.on_way).min(self.starts.len())
    }
}

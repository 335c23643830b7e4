//! Pace of an upstream: how long work takes on its host at present, compared with what is usual there.
//!
//! Designed for upstreams that share their hosts with other work, so that runs take up to several times as long for about
//! half a second at a time. An average of run times follows such a change too late, and then keeps it for too long. The
//! pace is reported with each response, so it is known at once; without new reports it soon counts as usual again.

use {
    crate::types::Moment,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Highest pace in percent that counts as valid.
const PERCENT_MAX: u16 = 10_000;
/// Position of the pace in the list of figures that an upstream reports.
const POSITION: usize = 3;
/// Time after which a pace that is not reported again counts as usual: about as long as other work on a host lasts.
const FADE_TIME: Duration = Duration::from_millis(600);

/// Time that work takes, in percent of the usual time; 250 is 2.5 times as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(u16);

impl Pace {
    /// Pace of an upstream that takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Reads the pace from the load that an upstream reports: `running,waiting,slots,pace`. `None` if it is absent or
    /// not a number from 1 to 10,000.
    #[must_use]
    pub fn parse(load: &str) -> Option<Self> {
        let text = load.split(',').nth(POSITION)?.trim();
        // The number parser would accept a sign.
        let has_digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
        let percent: u16 = text.parse().ok().filter(|_| has_digits_only)?;
        (1..=PERCENT_MAX)
            .contains(&percent)
            .then_some(Self(percent))
    }

    /// Returns the pace in percent of the usual time.
    #[must_use]
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

/// Last pace that was reported, which fades linearly to the usual one: other work of a fixed length that was seen at a
/// random moment continues with a probability that falls linearly to zero.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    reported: Option<(Moment, Pace)>,
}

impl Estimate {
    /// Replaces the estimate by a report.
    pub fn record(&mut self, now: Moment, pace: Pace) {
        self.reported = Some((now, pace));
    }

    /// Returns the pace expected at `now`, or `None` if none was ever reported.
    #[must_use]
    pub fn at(&self, now: Moment) -> Option<Pace> {
        let (reported_at, pace) = self.reported?;
        let age = now.since(reported_at).as_secs_f64() / FADE_TIME.as_secs_f64();
        let (usual, reported) = (f64::from(Pace::USUAL.0), f64::from(pace.0));
        let faded = usual + (reported - usual) * (1.0 - age).max(0.0);
        // The value lies between two valid paces.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = faded.round() as u16;
        Some(Pace(percent))
    }

    /// Returns the factor by which work is expected to take longer at `now` than usual; 1 if no pace was ever reported.
    #[must_use]
    pub fn factor(&self, now: Moment) -> f64 {
        self.at(now).unwrap_or(Pace::USUAL).factor()
    }
}

//! How much of a version's traffic leaves the own failure domain for the region, and the region for
//! the slow link. The share moves in small steps, with a band in which it stays, so that it neither
//! swings nor throws everything over at once when a place heals. See docs/design/requests.md.

use {crate::world::Moment, std::time::Duration};

/// How often a share moves by one step.
pub const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// The utilisation above which more traffic leaves.
const HIGH: f64 = 0.9;
/// The utilisation below which traffic comes back.
const LOW: f64 = 0.8;
/// The step for each unit of utilisation beyond the band.
const GAIN: f64 = 0.3;
const STEP_OUT_MAX: f64 = 0.1;
const STEP_BACK_MAX: f64 = 0.02;
/// The weight of a new utilisation in the average.
const SMOOTHING: f64 = 0.3;

/// Where endpoints are, seen from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// In the own failure domain.
    Own,
    /// In another failure domain of the own region.
    Region,
    /// Across the slow link.
    Remote,
}

impl Tier {
    /// Every tier, nearest first.
    pub const ALL: [Self; 3] = [Self::Own, Self::Region, Self::Remote];
}

/// The utilisation of one tier; nothing if it has no usable endpoint.
pub type Utilisation = Option<f64>;

/// The shares that leave, for one version.
#[derive(Debug, Default)]
pub struct Spill {
    begun: bool,
    leaving: [f64; 2],
    smoothed: [Utilisation; 3],
    stepped_at: Moment,
}

impl Spill {
    /// Says whether it is time to look at the utilisation again.
    #[must_use]
    pub fn due(&self, now: Moment) -> bool {
        !self.begun || now.since(self.stepped_at) >= STEP_INTERVAL
    }

    /// Moves the shares by one step, from the utilisation of the tiers, nearest first.
    pub fn step(&mut self, now: Moment, tiers: [Utilisation; 3]) {
        self.stepped_at = now;
        for (smoothed, new) in self.smoothed.iter_mut().zip(tiers) {
            *smoothed = match (*smoothed, new) {
                (Some(held), Some(new)) => Some(held + SMOOTHING * (new - held)),
                (_, new) => new,
            };
        }
        let [_, region, remote] = self.smoothed;
        let farther = [region.or(remote), remote];
        for (index, leaving) in self.leaving.iter_mut().enumerate() {
            *leaving = match (self.smoothed[index], farther[index]) {
                (None, _) => 1.0,
                (Some(_), None) => 0.0,
                (Some(_), _) if !self.begun => 0.0,
                (Some(near), Some(far)) if near > HIGH && far < near => {
                    *leaving + (GAIN * (near - HIGH)).min(STEP_OUT_MAX)
                }
                (Some(near), Some(_)) if near < LOW => {
                    *leaving - (GAIN * (LOW - near)).min(STEP_BACK_MAX)
                }
                (Some(_), Some(_)) => *leaving,
            }
            .clamp(0.0, 1.0);
        }
        self.begun = true;
    }

    /// Chooses a tier by a point drawn evenly from 0 to 1.
    #[must_use]
    pub fn tier(&self, point: f64) -> Tier {
        let [own, region] = self.leaving;
        if point >= own {
            return Tier::Own;
        }
        if point >= own * region {
            return Tier::Region;
        }
        Tier::Remote
    }

    /// The share of the traffic that crosses the slow link.
    #[must_use]
    pub fn remote(&self) -> f64 {
        self.leaving[0] * self.leaving[1]
    }
}

//! Spillover of a version's traffic: from the node's own failure domain to the region, and from the
//! region across the slow link. The shares change in small steps and stay unchanged within a band
//! of utilisation, so that they neither oscillate nor move all traffic back at once when a failure
//! domain recovers. See docs/design/requests.md.

use {crate::types::Moment, std::time::Duration};

/// The interval between two steps of the shares.
pub const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// The utilisation above which more traffic spills over.
const UTILISATION_HIGH: f64 = 0.9;
/// The utilisation below which traffic returns.
const UTILISATION_LOW: f64 = 0.8;
/// The change of a share per step, for each unit of utilisation outside the band.
const GAIN: f64 = 0.3;
/// The largest increase of a share in one step.
const STEP_OUT_MAX: f64 = 0.1;
/// The largest decrease of a share in one step. It is smaller, so that traffic returns gradually.
const STEP_BACK_MAX: f64 = 0.02;
/// The weight of a new utilisation in the moving average.
const EWMA_WEIGHT: f64 = 0.3;

/// The distance of an endpoint from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// In the node's own failure domain.
    Own,
    /// In another failure domain of the node's region.
    Region,
    /// In another region, across the slow link.
    Remote,
}

impl Tier {
    /// All tiers, nearest first.
    pub const ALL: [Self; 3] = [Self::Own, Self::Region, Self::Remote];
}

/// The estimated requests at the usable endpoints of a tier, divided by their slots. `None` if the
/// tier has no usable endpoint.
pub type Utilisation = Option<f64>;

/// The shares of one version's traffic that spill over to the next tier.
#[derive(Debug, Default)]
pub struct Spill {
    started: bool,
    spilled: [f64; 2],
    smoothed: [Utilisation; 3],
    stepped_at: Moment,
}

impl Spill {
    /// Returns whether the next step is due.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        !self.started || now.since(self.stepped_at) >= STEP_INTERVAL
    }

    /// Moves the shares by one step. `tiers` holds the utilisation of each tier, nearest first.
    pub fn step(&mut self, now: Moment, tiers: [Utilisation; 3]) {
        self.stepped_at = now;
        for (smoothed, new) in self.smoothed.iter_mut().zip(tiers) {
            *smoothed = match (*smoothed, new) {
                (Some(old), Some(new)) => Some(old + EWMA_WEIGHT * (new - old)),
                (_, new) => new,
            };
        }
        let [_, region, remote] = self.smoothed;
        let farther = [region.or(remote), remote];
        for (index, spilled) in self.spilled.iter_mut().enumerate() {
            *spilled = match (self.smoothed[index], farther[index]) {
                (None, _) => 1.0,
                (Some(_), None) => 0.0,
                (Some(_), _) if !self.started => 0.0,
                (Some(near), Some(far)) if near > UTILISATION_HIGH && far < near => {
                    *spilled + (GAIN * (near - UTILISATION_HIGH)).min(STEP_OUT_MAX)
                }
                (Some(near), Some(_)) if near < UTILISATION_LOW => {
                    *spilled - (GAIN * (UTILISATION_LOW - near)).min(STEP_BACK_MAX)
                }
                (Some(_), Some(_)) => *spilled,
            }
            .clamp(0.0, 1.0);
        }
        self.started = true;
    }

    /// Returns the tier for a point that is drawn uniformly from 0 to 1.
    #[must_use]
    pub fn choose_tier(&self, point: f64) -> Tier {
        let [own, region] = self.spilled;
        if point >= own {
            return Tier::Own;
        }
        if point >= own * region {
            return Tier::Region;
        }
        Tier::Remote
    }

    /// Returns the share of the traffic that crosses the slow link, from 0 to 1.
    #[must_use]
    pub fn remote_share(&self) -> f64 {
        self.spilled[0] * self.spilled[1]
    }
}

//! The state of a rollout that all nodes share and route by.

use {
    crate::{
        sidecar::{document::Order, evidence::Totals, history::Position},
        types::{Host, Permille},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The multiple of the old version's mean run time beyond which a request counts as late. It exceeds the
/// differences between upstreams of one version.
const LATE_FACTOR: u32 = 4;
/// The minimum number of the old version's requests on a route before late requests are counted there.
const LATE_RUNS_MIN: u32 = 8;

/// The phase of a rollout. The order of the variants counts: of two states of one order, the later phase wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The rollout has not ended.
    Running,
    /// The new version receives all traffic; final.
    Succeeded,
    /// The new version is bad and receives no traffic; final.
    RolledBack,
}

/// The node that leads a rollout: it receives the evidence, judges it and sets the new version's share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The node's host.
    pub host: Host,
    /// The node's incarnation, which changes at each start: a restarted node has lost its evidence.
    pub incarnation: u64,
}

/// The state of a rollout by which every node routes the service's requests. It includes all that another node
/// needs to continue the rollout, as the store may be unavailable when the leader is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The old version's requests, by route.
    pub baseline: BTreeMap<u64, Totals>,
    /// The time since the rollout started.
    pub elapsed: Duration,
    /// The leader; `None` after a hand-over, or if the rollout is known from the store only.
    pub leader: Option<Leader>,
    /// The operator's order.
    pub order: Order,
    /// The phase, from which `share` follows.
    pub phase: Phase,
    /// The new version's share in the current step, whether or not it has upstreams.
    #[serde(rename = "reached")]
    pub step_share: Permille,
    /// The share of requests that the new version receives now: `step_share`, or 0 while it has no upstreams or after a
    /// rollback, or all after success.
    pub share: Permille,
    /// What the leader has observed at this share, if it has handed the rollout over; zero otherwise.
    #[serde(rename = "shown")]
    pub observed: Observation,
}

/// How long and in how many requests the new version has been observed at the current share, with no evidence
/// against it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The time since the current step began.
    pub lasted: Duration,
    /// The number of requests that the new version has run.
    pub runs: u32,
}

impl RolloutState {
    /// Creates the state of a rollout that is known from the store only. A version that is not known to be good
    /// receives no traffic until a leader publishes its state; any state from a leader replaces this one.
    #[must_use]
    pub fn without_leader(order: Order, phase: Phase) -> Self {
        Self {
            baseline: BTreeMap::new(),
            elapsed: Duration::ZERO,
            leader: None,
            order,
            phase,
            step_share: Permille(0),
            share: match phase {
                Phase::Running | Phase::RolledBack => Permille(0),
                Phase::Succeeded => Permille::WHOLE,
            },
            observed: Observation::default(),
        }
    }

    /// Returns whether this state replaces `held`: it is of a later order, or of a later phase or time of the same. If both may
    /// be of one order that nodes know from different epochs, a state that a leader has published replaces one that is known
    /// from the store only.
    #[must_use]
    pub fn is_newer_than(&self, held: &Self) -> bool {
        if self.order.may_repeat(&held.order) && self.is_unled() != held.is_unled() {
            return held.is_unled();
        }
        let progress = |state: &Self| (state.order.mark, state.phase, state.elapsed);
        progress(self) > progress(held)
    }

    fn is_unled(&self) -> bool {
        self.leader.is_none() && self.phase == Phase::Running
    }

    /// Returns the order's mark, the phase and the share. A change of any of them is sent to all nodes at once.
    #[must_use]
    pub fn routing_key(&self) -> (Position, Phase, Permille) {
        (self.order.mark, self.phase, self.share)
    }

    /// Returns the run time beyond which a request counts as late, by route. Routes on which the old version has run
    /// too few requests are left out.
    #[must_use]
    pub fn late_limits(&self) -> BTreeMap<u64, Duration> {
        let measured = self
            .baseline
            .iter()
            .filter(|(_, sums)| sums.done >= LATE_RUNS_MIN);
        measured
            .map(|(route, sums)| (*route, sums.run_time / sums.done * LATE_FACTOR))
            .collect()
    }
}

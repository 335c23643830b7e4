//! Computes the bandwidth of 100 rollouts at the design size from the sizes of encoded messages.

use {
    mulberryshelf::{
        rollout::{
            Tag,
            evidence::{Row, Side, Sums},
            judge::Weight,
            message::{Batch, Message, Origin, Progress, Stage},
            outcome::Tally,
        },
        types::{Moment, Permille},
        wire,
    },
    std::fmt::{self, Display, Formatter},
};

const ROLLOUTS: u32 = 100;
const NODES: f64 = 14_000.0;
const SERVICES: f64 = 1_000.0;
const DOMAINS: u32 = 14;
const REGIONS: u32 = 5;
/// Endpoints of a service. The new version has as many hosts as the old one.
const HOSTS_PER_SERVICE: u32 = 14;
/// Services that the upstream of a node calls.
const SERVICES_CALLED: f64 = 10.0;
/// Evidence messages per second from a node to its parent.
const FLUSHES_PER_S: f64 = 1.0;
/// Seconds between messages that pool evidence at another root.
const POOL_INTERVAL_S: f64 = 1.0;
/// Seconds between repeated stage and progress messages.
const REPEAT_INTERVAL_S: f64 = 5.0;
/// Rollouts that a node with 32 descendants sees, one for each of them.
const ROLLOUTS_PER_SUBTREE: u32 = 32;
/// Children of an inner node or of a root in a failure domain's tree.
const FANOUT: f64 = 32.0;

/// Bandwidth, in bytes per second.
pub struct Cost {
    /// Sent by the average node.
    pub node: f64,
    /// Received by the root of a failure domain's tree from 32 children with 32 descendants each.
    pub received: f64,
    /// Sent to other roots by the root that exchanges messages with the other regions.
    pub root: f64,
    /// Sent out of a region of three failure domains.
    pub link: f64,
    /// Sent out of a region in a second in which the progress of every rollout changes in every domain.
    pub burst: f64,
}

impl Display for Cost {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "{ROLLOUTS} rollouts at the design size, B/s: mean node {:.0}, root received {:.0}, root sent {:.0}, out of a region {:.0} (burst {:.0})",
            self.node, self.received, self.root, self.link, self.burst
        )
    }
}

fn bytes(message: &Message) -> f64 {
    f64::from(u32::try_from(wire::encode(message).unwrap().len()).unwrap())
}

fn tag(index: u32) -> Tag {
    Tag::of(&format!("name-{index}"))
}

fn rows(hosts: u32) -> Vec<Row> {
    let sums = Sums {
        busy_ms: 20_000,
        crashed: 1,
        done: 1000,
        failed: 10,
        late: 50,
    };
    let row = |side, index| Row {
        place: tag(index),
        side,
        sums,
    };
    (0..hosts)
        .map(|host| row(Side::Candidate, host))
        .chain([row(Side::Baseline, 0)])
        .collect()
}

fn evidence(rollouts: u32, hosts: u32) -> f64 {
    let batch = |index| Batch {
        attempt: tag(index),
        rows: rows(hosts),
        share: Permille(800),
    };
    bytes(&Message::Evidence((0..rollouts).map(batch).collect()))
}

fn stages() -> f64 {
    let stage = |index| Stage {
        at: Moment(1_764_840_000_000_000),
        attempt: tag(index),
        share: Permille(800),
    };
    bytes(&Message::Stages((0..ROLLOUTS).map(stage).collect()))
}

fn progress() -> f64 {
    let weight = Weight {
        all: 500,
        robust: 300,
        worst: tag(1),
    };
    let progress = |index| Progress {
        attempt: tag(index),
        candidate: Tally {
            done: 1_000_000,
            failed: 1000,
            late: 50_000,
        },
        done: true,
        share: Permille(800),
        weights: [weight; 2],
    };
    let origin = Origin {
        domain: "visayas-a".parse().unwrap(),
        host: "visayas-a-0001".parse().unwrap(),
        region: "visayas".parse().unwrap(),
    };
    bytes(&Message::Progress(
        origin,
        (0..ROLLOUTS).map(progress).collect(),
    ))
}

/// Computes the cost with one host of the new version in each failure domain.
pub fn measure() -> Cost {
    let rollouts_seen = f64::from(ROLLOUTS) * SERVICES_CALLED / SERVICES;
    let evidence_sent = evidence(1, 1) * rollouts_seen * FLUSHES_PER_S;
    let stages_sent = stages() / REPEAT_INTERVAL_S;
    let hosts = HOSTS_PER_SERVICE.div_ceil(DOMAINS);
    let roots = f64::from(DOMAINS);
    let per_region = (f64::from(DOMAINS) / f64::from(REGIONS)).ceil();
    let sent_in_domain = evidence_sent + stages_sent * (NODES - roots) / NODES;
    let progress_rate = progress() / REPEAT_INTERVAL_S;
    let regions = f64::from(REGIONS);
    let pooled = evidence(ROLLOUTS, hosts * 3) / POOL_INTERVAL_S;
    // A gateway forwards the progress of other regions to its own region and that of its own to others.
    let root = progress_rate * (roots - per_region) * (per_region - 1.0)
        + progress_rate * per_region * (regions - 1.0)
        + progress_rate * (per_region - 1.0)
        + pooled;
    Cost {
        node: sent_in_domain + root * roots / NODES,
        received: evidence(ROLLOUTS_PER_SUBTREE, hosts) * FLUSHES_PER_S * FANOUT,
        root,
        link: progress_rate * per_region * (regions - 1.0) + pooled,
        burst: progress() * per_region * (regions - 1.0) + pooled,
    }
}

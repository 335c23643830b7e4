//! What a hundred rollouts cost at the design size, from messages encoded as they are sent.

use {
    mulberryshelf::{
        rollout::{
            Tag,
            evidence::{Row, Side, Sums},
            judge::Weight,
            message::{Batch, Message, Progress, Stage},
            outcome::Tally,
        },
        wire,
        world::{Moment, Permille},
    },
    std::fmt::{self, Display, Formatter},
};

const ROLLOUTS: u32 = 100;
const NODES: f64 = 14_000.0;
const SERVICES: f64 = 1_000.0;
const DOMAINS: u32 = 14;
const REGIONS: u32 = 5;
/// Endpoints of a service, all of which have a host of the new version as well.
const HOSTS: u32 = 14;
/// The services that a node's upstream calls.
const CALLED: f64 = 10.0;
/// Flushes a second, up a tree.
const FLUSHES: f64 = 1.0;
/// Seconds between loans of evidence.
const LEND: f64 = 2.0;
/// Seconds between repeated stages.
const REPEAT: f64 = 5.0;
/// The rollouts that a node with 32 below it sees, at one each.
const SEEN_BELOW: u32 = 32;
/// Children of an inner node or of a root.
const FANOUT: f64 = 32.0;

/// Bytes a second.
pub struct Cost {
    /// Of the mean node, sent.
    pub node: f64,
    /// Of the root of a failure domain's tree, received from 32 nodes with 32 below each.
    pub received: f64,
    /// Of such a root, sent to other roots.
    pub root: f64,
    /// Out of a region, of three failure domains.
    pub link: f64,
    /// The same in a second in which every rollout's progress changes in every domain.
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
    let domain = "visayas-a".parse().unwrap();
    bytes(&Message::Progress(
        domain,
        (0..ROLLOUTS).map(progress).collect(),
    ))
}

/// Works the cost out, with one host of the new version in each failure domain.
pub fn measure() -> Cost {
    let seen = f64::from(ROLLOUTS) * CALLED / SERVICES;
    let up = evidence(1, 1) * seen * FLUSHES;
    let down = stages() / REPEAT;
    let hosts = HOSTS.div_ceil(DOMAINS);
    let lent = evidence(ROLLOUTS, hosts) / LEND;
    let roots = f64::from(DOMAINS);
    let per_region = (f64::from(DOMAINS) / f64::from(REGIONS)).ceil();
    let inside = up + down * (NODES - roots) / NODES;
    let told = progress() / REPEAT;
    let root = told * (roots - 1.0) + lent;
    Cost {
        node: inside + root * roots / NODES,
        received: evidence(SEEN_BELOW, hosts) * FLUSHES * FANOUT,
        root,
        link: per_region * (told * (roots - per_region) + lent),
        burst: per_region * (progress() * (roots - per_region) + lent),
    }
}

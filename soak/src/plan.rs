//! What is done to the fleet, and when: a seed gives the same plan each time.

use {
    mulberryshelf_standin::{Behaviour, Mode},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{fmt, time::Duration},
};

/// The longest time between two faults; several overlap then.
const GAP_MS: u64 = 1800;
/// The longest time that a fault lasts.
const FAULT_MS: u64 = 4000;
/// The longest time between two nodes that are stopped one after the other.
const TURN_MS: u64 = 900;
/// How many times a fault of a series comes.
const SERIES: u32 = 3;
/// The time between the faults of a series.
const SERIES_GAP: Duration = Duration::from_millis(300);
/// Every so many seeds, a plan has planned work only: nothing may be lost then.
const PLANNED_EVERY: u64 = 3;

/// What happens to the bytes between a node and those that connect to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weather {
    /// They arrive at once.
    Clear,
    /// They arrive later.
    Delay(Duration),
    /// What the node sends does not arrive, without a word.
    SilentOut,
    /// What is sent to the node does not arrive, without a word.
    SilentIn,
}

/// What is done; the number is a machine's place in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The operator states a new configuration.
    Configure,
    /// The endpoint dies, and comes back after a time.
    Crash(usize, Duration),
    /// The endpoint leaves as planned, and another one takes its place.
    Drain(usize),
    /// The node dies, and is started again after a time.
    Kill(usize, Duration),
    /// All nodes die, and are started again after a time.
    KillAll(Duration),
    /// The bytes of a node's links are disturbed for a time.
    Link(usize, Weather, Duration),
    /// The endpoint misbehaves for a time.
    Misbehave(usize, Behaviour, Duration),
    /// The operator moves a service to a version that is good or not.
    Move {
        /// Whether the version is good.
        good: bool,
    },
    /// The node stands still for a time.
    Pause(usize, Duration),
    /// The node reads its settings again.
    Reload(usize),
    /// The connections to the node's link port are reset.
    Reset(usize),
    /// The node is asked to stop, and is started again when it has.
    Restart(usize),
    /// All nodes are asked to stop, one after the other, and are started again when they have.
    RestartAll(Duration),
    /// The endpoint takes longer for a time.
    Slow(usize, Duration),
    /// The store misbehaves for a time.
    Store(Mode, Duration),
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// A fault at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The time since the begin of the run.
    pub at: Duration,
    /// What is done.
    pub fault: Fault,
}

/// The faults of a run, in their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Whether all of it is planned work, which may cost no caller an answer.
    pub planned: bool,
    /// What is done.
    pub steps: Vec<Step>,
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Step { at, fault } in &self.steps {
            writeln!(formatter, "{:8.3} {fault}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

impl Plan {
    /// Draws the faults of a run of this length on so many machines.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, machines: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let planned = seed.is_multiple_of(PLANNED_EVERY);
        let mut steps = vec![Step {
            at: length.mul_f64(random.random_range(0.05..0.3)),
            fault: Fault::Move {
                good: planned || random.random(),
            },
        }];
        let mut at = Duration::ZERO;
        while at < length {
            let fault = if planned {
                planned_fault(&mut random, machines)
            } else {
                any_fault(&mut random, machines)
            };
            let times = if random.random_ratio(1, 5) { SERIES } else { 1 };
            steps.extend((0..times).map(|time| Step {
                at: at + SERIES_GAP * time,
                fault,
            }));
            at += Duration::from_millis(random.random_range(50..GAP_MS));
        }
        steps.sort_by_key(|step| step.at);
        Self { planned, steps }
    }
}

fn planned_fault(random: &mut StdRng, machines: usize) -> Fault {
    let machine = random.random_range(0..machines);
    match random.random_range(0..17) {
        0..=5 => Fault::Restart(machine),
        6 => Fault::RestartAll(Duration::from_millis(random.random_range(0..TURN_MS))),
        7..=10 => Fault::Drain(machine),
        11 | 12 => Fault::Reload(machine),
        _ => Fault::Configure,
    }
}

fn any_fault(random: &mut StdRng, machines: usize) -> Fault {
    let machine = random.random_range(0..machines);
    let time = Duration::from_millis(random.random_range(100..FAULT_MS));
    match random.random_range(0..25) {
        0 => Fault::KillAll(time),
        1 | 2 => Fault::Crash(machine, time),
        3 | 4 => Fault::Kill(machine, time),
        5 | 6 => Fault::Pause(machine, time),
        7..=10 => Fault::Link(machine, weather(random), time),
        11 | 12 => Fault::Reset(machine),
        13 | 14 => Fault::Store(mode(random), time),
        15 | 16 => Fault::Misbehave(machine, behaviour(random), time),
        17 | 18 => Fault::Slow(machine, time),
        _ => planned_fault(random, machines),
    }
}

fn weather(random: &mut StdRng) -> Weather {
    match random.random_range(0..3) {
        0 => Weather::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => Weather::SilentIn,
        _ => Weather::SilentOut,
    }
}

fn mode(random: &mut StdRng) -> Mode {
    [
        Mode::Refuses,
        Mode::Silent,
        Mode::LosesAnswers,
        Mode::Forgets,
    ][random.random_range(0..4)]
}

fn behaviour(random: &mut StdRng) -> Behaviour {
    [
        Behaviour::Cuts,
        Behaviour::Fails,
        Behaviour::Extra,
        Behaviour::Loses,
        Behaviour::Sheds,
        Behaviour::Unframed,
    ][random.random_range(0..6)]
}

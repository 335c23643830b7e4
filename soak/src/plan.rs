//! Plan of the faults of a run and their times. The same seed always gives the same plan.

use {
    mulberryshelf_standin::{Behaviour, Mode},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{fmt, time::Duration},
};

/// Upper bound of the time between two faults. It is below [`FAULT_MS_MAX`], so that several faults overlap.
const GAP_MS_MAX: u64 = 1800;
/// Upper bound of the duration of a fault.
const FAULT_MS_MAX: u64 = 4000;
/// Upper bound of the time between two nodes when all are restarted one after the other.
const RESTART_GAP_MS_MAX: u64 = 900;
/// Number of times that a repeated fault occurs.
const REPEATED_FAULTS: u32 = 3;
/// Time between the occurrences of a repeated fault.
const REPEATED_FAULT_GAP: Duration = Duration::from_millis(300);
/// Of this many seeds, two have restores of the store in their plan unless it has planned work only.
const RESTORES_OF: u64 = 4;
/// Upper bound of the age of the copy that the store comes back from.
const BACKUP_AGE_MS_MAX: u64 = 4000;
/// Upper bound of the time for which the store is away before it comes back from a copy.
const ABSENCE_MS_MAX: u64 = 1500;
/// Upper bound of the time after which the operator writes again what was lost.
const REWRITE_DELAY_MS_MAX: u64 = 500;
/// Upper bound of the number of rows that others write then.
const OTHER_ROWS_MAX: u64 = 30;
/// Upper bound of the time for which the endpoints of a failure domain are down together, or an endpoint serves on after
/// it has left.
const TOGETHER_MS_MAX: u64 = 6000;
/// Time that nodes which are asked to stop at one moment take to stop and start.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time in which nodes read the store after a start, or write again what it has lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the time between two copies.
const BACKUP_GAP_MS_MAX: u64 = 5000;
/// Upper bound of the time between two crowds of callers that keep their bodies back.
const HOARD_GAP_MS_MAX: u64 = 6000;
/// Upper bound of the time between two announcements of another writer.
const MISREPORT_GAP_MS_MAX: u64 = 2500;
/// One in this many seeds gives a plan with planned work only, in which no request may be lost.
const PLANNED_ONE_IN: u64 = 3;

/// State of the network between a node and those that connect to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weather {
    /// Bytes arrive at once.
    Clear,
    /// Bytes arrive after a delay.
    Delay(Duration),
    /// Bytes that the node sends are withheld, and connections stay open.
    SilentOut,
    /// Bytes sent to the node are withheld, and connections stay open.
    SilentIn,
}

/// What makes an announcement of another writer one that no node may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Oddity {
    /// It is of a start in the future.
    Future,
    /// It lacks a field.
    Incomplete,
    /// It names another service.
    OtherService,
    /// It names another service, and says that the endpoint leaves.
    OtherServiceLeaves,
}

/// Fault or planned work. The `usize` is the index of the machine, and the `Duration` is how long the fault lasts,
/// unless a variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store is copied.
    BackUp,
    /// The operator writes a new configuration.
    Configure,
    /// The endpoint is killed, and restarted after this time.
    Crash(usize, Duration),
    /// All endpoints of the machine's failure domain are killed at the same moment, and restarted after this time.
    CrashDomain(usize, Duration),
    /// The endpoint drains and is replaced by another one.
    Drain(usize),
    /// Callers send large bodies to the node, stop just short of their ends and keep their connections open.
    Hoard(usize, Duration),
    /// The node is killed, and restarted after this time.
    Kill(usize, Duration),
    /// All nodes are killed, and restarted after this time.
    KillAll(Duration),
    /// The endpoint leaves while the store is away and serves on for this time. All nodes are killed once that is
    /// acknowledged, and announcements from before arrive late.
    Leave(usize, Duration),
    /// The links to the node are delayed or silenced.
    Link(usize, Weather, Duration),
    /// The endpoint misbehaves.
    Misbehave(usize, Behaviour, Duration),
    /// Another writer sends an announcement under the name of the endpoint. It may not cost any caller a response.
    Misreport(usize, Oddity),
    /// The operator orders the rollout of a version.
    Move {
        /// Whether the version is good; a bad one fails all requests.
        good: bool,
    },
    /// The process of the node is suspended.
    Pause(usize, Duration),
    /// The node reloads its settings.
    Reload(usize),
    /// The connections to the node's link port are reset.
    Reset(usize),
    /// The node is stopped gracefully, and restarted once it has ended.
    Restart(usize),
    /// All nodes are stopped gracefully, this time apart, and each is restarted once it has ended.
    RestartAll(Duration),
    /// The store is away, and comes back from the last copy.
    Restore {
        /// How it is away.
        absence: Mode,
        /// For how long it is away.
        time: Duration,
        /// Time after which the operator writes again what was lost, and the next configuration; zero if the store answers
        /// again only then.
        delay: Duration,
        /// Number of rows that others write at the same time.
        others: u64,
    },
    /// The endpoint takes longer to run requests.
    Slow(usize, Duration),
    /// The store misbehaves.
    Store(Mode, Duration),
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Whether all steps are planned work, which must not cost any caller a response.
    pub planned: bool,
    /// Steps, sorted by time.
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
    /// Draws the faults of a run of this length on this many machines.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, machines: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let planned = seed.is_multiple_of(PLANNED_ONE_IN);
        let mut steps = vec![Step {
            at: length.mul_f64(random.random_range(0.05..0.3)),
            fault: Fault::Move {
                good: planned || random.random(),
            },
        }];
        let mut at = Duration::ZERO;
        while at < length {
            let fault = if planned {
                random_planned_fault(&mut random, machines)
            } else {
                random_fault(&mut random, machines)
            };
            let count = if random.random_ratio(1, 5) {
                REPEATED_FAULTS
            } else {
                1
            };
            steps.extend((0..count).map(|occurrence| Step {
                at: at + REPEATED_FAULT_GAP * occurrence,
                fault,
            }));
            at += Duration::from_millis(random.random_range(50..GAP_MS_MAX));
        }
        if !planned && matches!(seed % RESTORES_OF, 1 | 2) {
            add_restores(&mut steps, seed, length);
        }
        if !planned {
            add_hoards(&mut steps, seed, length, machines);
            add_losses(&mut steps, seed, length, machines);
        }
        add_misreports(&mut steps, seed, length, machines);
        steps.sort_by_key(|step| step.at);
        Self { planned, steps }
    }
}

/// Adds copies of the store, from each of which it comes back later.
fn add_restores(steps: &mut Vec<Step>, seed: u64, length: Duration) {
    // Of its own, so that the other steps of a seed stay as they are.
    let mut random = StdRng::seed_from_u64(!seed);
    let millis = |random: &mut StdRng, max| Duration::from_millis(random.random_range(20..max));
    let mut at = millis(&mut random, BACKUP_GAP_MS_MAX);
    while at < length {
        // Otherwise the store comes back from the copy before that, the first of which is empty.
        if random.random_ratio(2, 3) {
            steps.push(Step {
                at,
                fault: Fault::BackUp,
            });
        }
        let restored_at = at + millis(&mut random, BACKUP_AGE_MS_MAX);
        let absence = if random.random_ratio(1, 3) {
            Mode::Closes
        } else {
            Mode::Silent
        };
        let time = millis(&mut random, ABSENCE_MS_MAX);
        let delay = if random.random() {
            Duration::ZERO
        } else {
            millis(&mut random, REWRITE_DELAY_MS_MAX)
        };
        let others = random.random_range(0..OTHER_ROWS_MAX);
        if !all_nodes_restart(steps, restored_at, restored_at + time + delay) {
            steps.push(Step {
                at: restored_at,
                fault: Fault::Restore {
                    absence,
                    time,
                    delay,
                    others,
                },
            });
        }
        at += millis(&mut random, BACKUP_GAP_MS_MAX);
    }
}

/// Adds callers that keep their bodies back.
fn add_hoards(steps: &mut Vec<Step>, seed: u64, length: Duration, machines: usize) {
    // Of its own, so that the other steps of a seed stay as they are.
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(0..HOARD_GAP_MS_MAX));
        if at >= length {
            return;
        }
        let machine = random.random_range(0..machines);
        let time = Duration::from_millis(random.random_range(100..FAULT_MS_MAX));
        let fault = Fault::Hoard(machine, time);
        steps.push(Step { at, fault });
    }
}

/// Adds announcements of another writer.
fn add_misreports(steps: &mut Vec<Step>, seed: u64, length: Duration, machines: usize) {
    // Of its own, so that the other steps of a seed stay as they are.
    let mut random = StdRng::seed_from_u64(seed.rotate_left(48));
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(0..MISREPORT_GAP_MS_MAX));
        if at >= length {
            return;
        }
        let machine = random.random_range(0..machines);
        let oddity = [
            Oddity::Future,
            Oddity::Incomplete,
            Oddity::OtherService,
            Oddity::OtherServiceLeaves,
        ][random.random_range(0..4)];
        let fault = Fault::Misreport(machine, oddity);
        steps.push(Step { at, fault });
    }
}

/// Adds endpoints that crash together, and at times one that leaves right before all nodes are killed.
fn add_losses(steps: &mut Vec<Step>, seed: u64, length: Duration, machines: usize) {
    // Of its own, so that the other steps of a seed stay as they are.
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16) ^ u64::MAX);
    let has_restores = steps
        .iter()
        .any(|step| matches!(step.fault, Fault::Restore { .. }));
    for _ in 0..random.random_range(0..3) {
        let machine = random.random_range(0..machines);
        let time = Duration::from_millis(random.random_range(500..TOGETHER_MS_MAX));
        let at = length.mul_f64(random.random_range(0.1..0.9));
        // Nobody can know what the store has lost and no node remembers.
        let fault = if random.random() || has_restores {
            Fault::CrashDomain(machine, time)
        } else {
            Fault::Leave(machine, time)
        };
        steps.push(Step { at, fault });
    }
}

/// Returns whether all nodes are down or restart so near this time that some knowledge may be neither in the store nor with
/// any node: what both have lost, such as the end of a rollout, nobody can know.
fn all_nodes_restart(steps: &[Step], from: Duration, until: Duration) -> bool {
    let mut downs = steps.iter().filter_map(|step| match step.fault {
        Fault::KillAll(time) => Some((step.at, step.at + time)),
        Fault::RestartAll(_) => Some((step.at, step.at + RESTART_TIME)),
        _ => None,
    });
    downs.any(|(down, up)| down < until + CATCH_UP_TIME && up + CATCH_UP_TIME > from)
}

fn random_planned_fault(random: &mut StdRng, machines: usize) -> Fault {
    let machine = random.random_range(0..machines);
    match random.random_range(0..17) {
        0..=5 => Fault::Restart(machine),
        6 => Fault::RestartAll(Duration::from_millis(
            random.random_range(0..RESTART_GAP_MS_MAX),
        )),
        7..=10 => Fault::Drain(machine),
        11 | 12 => Fault::Reload(machine),
        _ => Fault::Configure,
    }
}

fn random_fault(random: &mut StdRng, machines: usize) -> Fault {
    let machine = random.random_range(0..machines);
    let time = Duration::from_millis(random.random_range(100..FAULT_MS_MAX));
    match random.random_range(0..25) {
        0 => Fault::KillAll(time),
        1 | 2 => Fault::Crash(machine, time),
        3 | 4 => Fault::Kill(machine, time),
        5 | 6 => Fault::Pause(machine, time),
        7..=10 => Fault::Link(machine, random_weather(random), time),
        11 | 12 => Fault::Reset(machine),
        13 | 14 => Fault::Store(random_mode(random), time),
        15 | 16 => Fault::Misbehave(machine, random_behaviour(random), time),
        17 | 18 => Fault::Slow(machine, time),
        _ => random_planned_fault(random, machines),
    }
}

fn random_weather(random: &mut StdRng) -> Weather {
    match random.random_range(0..3) {
        0 => Weather::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => Weather::SilentIn,
        _ => Weather::SilentOut,
    }
}

fn random_mode(random: &mut StdRng) -> Mode {
    [
        Mode::Refuses,
        Mode::Silent,
        Mode::LosesAnswers,
        Mode::Forgets,
    ][random.random_range(0..4)]
}

fn random_behaviour(random: &mut StdRng) -> Behaviour {
    [
        Behaviour::Cuts,
        Behaviour::Fails,
        Behaviour::Extra,
        Behaviour::Loses,
        Behaviour::Sheds,
        Behaviour::Unframed,
    ][random.random_range(0..6)]
}

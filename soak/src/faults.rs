//! Injects the faults of a plan into the fleet, and records the times in which they excuse a missing response or forbid
//! runs.

use {
    crate::{
        fleet::{DESK, GRACE, MEMORY_MB, Machine},
        hoarders,
        ledger::{BadMove, Closed, Disturbance},
        misreports,
        plan::{Fault, Plan, Weather},
        run::Soak,
    },
    mulberryshelf_standin::{Behaviour, Mode, Presence},
    rustix::process::Signal,
    std::{
        io,
        ops::Range,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Longest time for which nodes may still send requests to an endpoint after its node has acknowledged that it drains.
/// The platform sets this limit.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time that a draining endpoint serves beyond [`DRAIN_TIME`], so that the last requests sent to it can finish.
const DRAIN_SLACK: Duration = Duration::from_millis(700);
/// Time between the end of an endpoint and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);
/// Run time of a request.
const RUN_TIME: Duration = Duration::from_millis(5);
/// Run time of a request on a slow endpoint.
const SLOW_RUN_TIME: Duration = Duration::from_millis(250);
/// Duration that a rollout is ordered with.
const ROLLOUT_DURATION: Duration = Duration::from_secs(6);
/// Longest time beyond [`ROLLOUT_DURATION`] until the outcome of a rollout is in the store. The platform sets
/// this limit.
const ROLLOUT_SLACK: Duration = Duration::from_secs(5);
/// The same while faults may separate nodes from each other and from the store.
const ROLLOUT_SLACK_WITH_FAULTS: Duration = Duration::from_secs(20);
/// States of a rollout in the store.
const RUNNING: &str = "running";
const SUCCEEDED: &str = "succeeded";
const ROLLED_BACK: &str = "rolled_back";
/// Longest time for which a bad version may still get requests after the outcome is in the store. The platform
/// sets this limit.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Versions of the service that has rollouts.
const OLD_VERSION: &str = "v1";
const NEW_VERSION: &str = "v2";
/// Number of machines that run the new version during a rollout.
const NEW_VERSION_MACHINES: usize = 2;
/// Time from the acknowledgement of a departure until all nodes are killed, and until they start again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of announcements that arrive after the departure that they precede, and the time between them.
const LATE_ANNOUNCEMENTS: u32 = 8;
const LATE_GAP: Duration = Duration::from_millis(150);
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a machine counts as disturbed after a fault has ended, since the updates that it missed have to reach
/// it first. The platform sets this limit.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);

/// Injects each fault of a plan at its time, and waits until the last one has ended.
///
/// # Errors
/// Returns an error if a process can't be signalled or started.
pub async fn inject(soak: &Rc<Soak>, plan: &Plan) -> io::Result<()> {
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for step in &plan.steps {
        tokio::time::sleep(step.at.saturating_sub(begin.elapsed())).await;
        tasks.push(tokio::task::spawn_local(apply(soak.clone(), step.fault)));
    }
    join_all(tasks).await
}

async fn join_all(tasks: Vec<JoinHandle<io::Result<()>>>) -> io::Result<()> {
    for task in tasks {
        task.await.map_err(io::Error::other)??;
    }
    Ok(())
}

async fn apply(soak: Rc<Soak>, fault: Fault) -> io::Result<()> {
    let from = Instant::now();
    inject_one(&soak, fault).await?;
    let until = Instant::now() + CATCH_UP_TIME;
    let machines = machines_out_of_touch(fault, soak.fleet.machines.len());
    let periods = machines.map(|machine| Disturbance {
        from,
        machine,
        until,
    });
    soak.ledger.borrow_mut().out_of_touch.extend(periods);
    Ok(())
}

/// Returns the machines that a fault may keep from learning of a configuration in time.
fn machines_out_of_touch(fault: Fault, count: usize) -> Range<usize> {
    match fault {
        Fault::Kill(index, _)
        | Fault::Link(index, ..)
        | Fault::Pause(index, _)
        | Fault::Reset(index)
        | Fault::Restart(index) => index..index + 1,
        Fault::KillAll(_)
        | Fault::Leave(..)
        | Fault::Restore { .. }
        | Fault::RestartAll(_)
        | Fault::Store(..) => 0..count,
        Fault::BackUp
        | Fault::Configure
        | Fault::Crash(..)
        | Fault::CrashDomain(..)
        | Fault::Drain(_)
        | Fault::Hoard(..)
        | Fault::Misbehave(..)
        | Fault::Misreport(..)
        | Fault::Move { .. }
        | Fault::Reload(_)
        | Fault::Slow(..) => 0..0,
    }
}

async fn inject_one(soak: &Rc<Soak>, fault: Fault) -> io::Result<()> {
    let machines = &soak.fleet.machines;
    match fault {
        Fault::BackUp => *soak.backup.borrow_mut() = soak.fleet.store.back_up(),
        Fault::Configure => soak.configure(),
        Fault::Crash(index, time) => crash(&machines[index], time).await,
        Fault::CrashDomain(index, time) => {
            let domain = machines[index].endpoint.identity().domain;
            let mut crashes = Vec::new();
            for (index, machine) in machines.iter().enumerate() {
                if machine.endpoint.identity().domain == domain {
                    let soak = soak.clone();
                    crashes.push(tokio::task::spawn_local(async move {
                        crash(&soak.fleet.machines[index], time).await;
                        Ok(())
                    }));
                }
            }
            join_all(crashes).await?;
        }
        Fault::Drain(index) => drain_and_replace(soak, index).await,
        Fault::Hoard(index, time) => hoard(soak, index, time).await,
        Fault::Kill(index, time) => kill(soak, index, time).await?,
        Fault::KillAll(time) => kill_all(soak, time).await?,
        Fault::Leave(index, time) => leave(soak, index, time).await?,
        Fault::Link(index, weather, time) => {
            machines[index].links.set(weather);
            tokio::time::sleep(time).await;
            machines[index].links.set(Weather::Clear);
        }
        Fault::Misbehave(index, behaviour, time) => {
            machines[index].endpoint.behave(behaviour);
            tokio::time::sleep(time).await;
            machines[index].endpoint.behave(Behaviour::Answers);
        }
        Fault::Misreport(index, oddity) => misreports::send(soak, index, oddity).await,
        Fault::Move { good } => roll_out(soak, good).await,
        Fault::Pause(index, time) => pause(soak, index, time).await?,
        Fault::Reload(index) => machines[index].signal(Signal::HUP)?,
        Fault::Reset(index) => machines[index].links.reset(),
        Fault::Restart(index) => restart(soak, index).await?,
        Fault::RestartAll(gap) => {
            let mut all = Vec::new();
            for index in 0..machines.len() {
                let soak = soak.clone();
                all.push(tokio::task::spawn_local(async move {
                    restart(&soak, index).await
                }));
                tokio::time::sleep(gap).await;
            }
            join_all(all).await?;
        }
        Fault::Restore {
            absence,
            time,
            delay,
            others,
        } => {
            let store = &soak.fleet.store;
            store.behave(absence);
            tokio::time::sleep(time).await;
            store.restore(&soak.backup.borrow());
            if !delay.is_zero() {
                store.behave(Mode::Serves);
                tokio::time::sleep(delay).await;
            }
            store.write_again();
            soak.configure();
            for _ in 0..others {
                store.operator("op/other", &serde_json::json!({}));
            }
            store.behave(Mode::Serves);
        }
        Fault::Slow(index, time) => {
            machines[index].endpoint.take(SLOW_RUN_TIME);
            tokio::time::sleep(time).await;
            machines[index].endpoint.take(RUN_TIME);
        }
        Fault::Store(mode, time) => {
            soak.fleet.store.behave(mode);
            tokio::time::sleep(time).await;
            soak.fleet.store.behave(Mode::Serves);
        }
    }
    Ok(())
}

/// Records that a machine was disturbed from this time until now, with [`CATCH_UP_TIME`] added.
fn record_disturbance(soak: &Soak, machine: usize, from: Instant) {
    let until = Instant::now() + CATCH_UP_TIME;
    let disturbance = Disturbance {
        from,
        machine,
        until,
    };
    soak.ledger.borrow_mut().disturbances.push(disturbance);
}

async fn crash(machine: &Machine, time: Duration) {
    if !try_claim(machine) {
        return;
    }
    machine.endpoint.kill();
    tokio::time::sleep(time).await;
    machine.endpoint.revive().await;
    machine.changing.set(false);
    // The node may be down or unreachable: the next heartbeat registers the endpoint.
    let _ = machine.announce().await;
}

/// Has callers keep their bodies back, and checks the memory of the node afterwards.
async fn hoard(soak: &Soak, index: usize, time: Duration) {
    let machine = &soak.fleet.machines[index];
    hoarders::hold(machine.callers, time).await;
    // A node that is down uses none.
    let Some(peak_kb) = machine.memory_peak_kb() else {
        return;
    };
    if peak_kb > MEMORY_MB * 1024 {
        let name = &machine.name;
        soak.broken(format!(
            "{name} used {peak_kb} KiB of memory, of {MEMORY_MB} MiB"
        ));
    }
}

async fn kill(soak: &Soak, index: usize, time: Duration) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[index], Instant::now());
    machine.signal(Signal::KILL)?;
    tokio::time::sleep(time).await;
    machine.spawn()?;
    record_disturbance(soak, index, from);
    Ok(())
}

async fn kill_all(soak: &Rc<Soak>, time: Duration) -> io::Result<()> {
    let all = (0..soak.fleet.machines.len()).map(|index| {
        let soak = soak.clone();
        tokio::task::spawn_local(async move { kill(&soak, index, time).await })
    });
    join_all(all.collect()).await
}

/// Has the endpoint of a machine leave while the store is away, and kills all nodes. Announcements from before its departure
/// arrive while the store is away, and after it is back. The endpoint serves on for this time, and is replaced.
async fn leave(soak: &Rc<Soak>, index: usize, time: Duration) -> io::Result<()> {
    let machine = &soak.fleet.machines[index];
    if !try_claim(machine) {
        return Ok(());
    }
    let version = machine.endpoint.identity().version;
    soak.fleet.store.behave(Mode::Refuses);
    machine.presence.set(None);
    let acknowledged = machine.endpoint.leave(machine.control).await == Some(200);
    let from = Instant::now() + DRAIN_TIME;
    tokio::time::sleep(RESTART_DELAY).await;
    kill_all(soak, RESTART_DELAY).await?;
    for number in 0..LATE_ANNOUNCEMENTS {
        tokio::time::sleep(LATE_GAP).await;
        // The node may not listen yet.
        let _ = machine
            .endpoint
            .announce_at(machine.control, Presence::Ready)
            .await;
        if number == LATE_ANNOUNCEMENTS / 2 {
            soak.fleet.store.behave(Mode::Serves);
        }
    }
    tokio::time::sleep(DRAIN_TIME + time).await;
    machine.endpoint.kill();
    if acknowledged {
        record_closed(soak, index, from);
    }
    tokio::time::sleep(REPLACEMENT_DELAY).await;
    machine.replace_endpoint(&version).await;
    machine.changing.set(false);
    Ok(())
}

async fn pause(soak: &Soak, index: usize, time: Duration) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[index], Instant::now());
    machine.signal(Signal::STOP)?;
    tokio::time::sleep(time).await;
    machine.signal(Signal::CONT)?;
    record_disturbance(soak, index, from);
    Ok(())
}

/// Stops a node with SIGTERM, and starts it again once it has ended. A node that takes longer than [`GRACE`] is killed.
async fn restart(soak: &Soak, index: usize) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[index], Instant::now());
    let lifetime = machine.lifetime.get();
    machine.signal(Signal::TERM)?;
    while machine.runs()? && machine.lifetime.get() == lifetime {
        if from.elapsed() > GRACE {
            if soak.ledger.borrow().planned {
                soak.broken(format!(
                    "{} did not stop within {GRACE:?} of SIGTERM",
                    machine.name
                ));
            }
            machine.signal(Signal::KILL)?;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    machine.spawn()
}

/// Marks the endpoint of a machine as being changed. Returns `false` if another task is changing it already.
fn try_claim(machine: &Machine) -> bool {
    !machine.changing.replace(true)
}

/// Drains and stops the endpoint of a machine, and replaces it by one of the same version.
async fn drain_and_replace(soak: &Soak, index: usize) {
    let machine = &soak.fleet.machines[index];
    if !try_claim(machine) {
        return;
    }
    let version = machine.endpoint.identity().version;
    drain(soak, index).await;
    machine.replace_endpoint(&version).await;
    machine.changing.set(false);
}

/// Drains the endpoint of a machine, unregisters and stops it.
async fn drain(soak: &Soak, index: usize) {
    let machine = &soak.fleet.machines[index];
    machine.presence.set(Some(Presence::Draining));
    let acknowledged = machine.announce().await == Some(200);
    let from = Instant::now() + DRAIN_TIME;
    tokio::time::sleep(DRAIN_TIME + DRAIN_SLACK).await;
    machine.presence.set(None);
    // A node that is down can't send requests to the endpoint either.
    let _ = machine.endpoint.leave(machine.control).await;
    machine.endpoint.kill();
    if acknowledged {
        record_closed(soak, index, from);
    }
    tokio::time::sleep(REPLACEMENT_DELAY).await;
}

/// Records that the endpoint of a machine should have got no requests from this time until now.
fn record_closed(soak: &Soak, index: usize, from: Instant) {
    let closed = Closed {
        from,
        instance: soak.fleet.machines[index].endpoint.identity().instance,
        until: Instant::now(),
    };
    soak.ledger.borrow_mut().closed.push(closed);
}

/// Rolls out a version: [`NEW_VERSION_MACHINES`] machines run it first, and the others follow if the rollout succeeds.
/// If it is rolled back, the first ones return to the old version.
async fn roll_out(soak: &Rc<Soak>, good: bool) {
    let indices = soak.fleet.places(DESK);
    let (old, new) = indices.split_at(indices.len() - NEW_VERSION_MACHINES);
    let machine = |index: &usize| &soak.fleet.machines[*index];
    for index in &indices {
        while !try_claim(machine(index)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    for index in new {
        drain(soak, *index).await;
    }
    let ordered = Instant::now();
    soak.fleet.store.order(DESK, NEW_VERSION, ROLLOUT_DURATION);
    for index in new {
        if !good {
            machine(index).endpoint.behave(Behaviour::Fails);
        }
        machine(index).replace_endpoint(NEW_VERSION).await;
    }
    let state = wait_outcome(soak, ordered, new).await;
    let ended = Instant::now();
    if !good {
        record_bad_move(soak, ordered, &indices, new);
    }
    if soak.ledger.borrow().planned && state == ROLLED_BACK {
        soak.broken("a good version was rolled back during planned work".into());
    }
    match state.as_str() {
        SUCCEEDED => {
            for index in old {
                machine(index).endpoint.kill();
                tokio::time::sleep(REPLACEMENT_DELAY).await;
                machine(index).replace_endpoint(NEW_VERSION).await;
            }
        }
        ROLLED_BACK => {
            tokio::time::sleep(ROLLBACK_TIME + REPLACEMENT_DELAY).await;
            for index in new {
                record_closed(soak, *index, ended + ROLLBACK_TIME);
                drain(soak, *index).await;
                machine(index).endpoint.behave(Behaviour::Answers);
                machine(index).replace_endpoint(OLD_VERSION).await;
            }
        }
        _ => {}
    }
    for index in &indices {
        machine(index).changing.set(false);
    }
}

/// Waits until the outcome of a rollout is in the store, and returns its state. Returns [`RUNNING`] after recording a
/// violation if the outcome does not arrive in time.
async fn wait_outcome(soak: &Soak, ordered: Instant, new: &[usize]) -> String {
    let planned = soak.ledger.borrow().planned;
    let slack = if planned {
        ROLLOUT_SLACK
    } else {
        ROLLOUT_SLACK_WITH_FAULTS
    };
    let mut due = ordered + ROLLOUT_DURATION + slack;
    loop {
        let progress = soak.fleet.store.progress(DESK);
        let state = progress.map_or_else(|| RUNNING.into(), |progress| progress.state);
        let now = Instant::now();
        if state != RUNNING {
            return state;
        }
        if now > due {
            let elapsed = now - ordered;
            soak.broken(format!(
                "rollout is still {state} {elapsed:?} after it was ordered"
            ));
            return state;
        }
        let mut serving = false;
        for index in new {
            serving |= soak.fleet.machines[*index].ready().await;
        }
        if !serving {
            // The rollout can't end while no endpoint of the new version is reachable.
            due = due.max(now + slack);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn record_bad_move(soak: &Soak, from: Instant, service: &[usize], new: &[usize]) {
    let names = |indices: &[usize]| {
        let machines = indices.iter().map(|index| &soak.fleet.machines[*index]);
        machines
            .map(|machine| machine.endpoint.identity().instance)
            .collect()
    };
    let bad = BadMove {
        from,
        instances: names(new),
        service: names(service),
        until: Instant::now() + ROLLBACK_TIME,
    };
    soak.ledger.borrow_mut().bad_moves.push(bad);
}

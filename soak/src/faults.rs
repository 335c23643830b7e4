//! Does to the fleet what a plan says.

use {
    crate::{
        fleet::{DESK, GRACE, Machine},
        ledger::{BadMove, Closed, Disturbance},
        plan::{Fault, Plan, Weather},
        run::Soak,
    },
    mulberryshelf_standin::{Behaviour, Mode, Presence},
    rustix::process::Signal,
    std::{
        io,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// How long after it acknowledged a leaving a node may still send work. The platform's bound.
const DRAIN: Duration = Duration::from_secs(2);
/// How long an endpoint that leaves serves beyond that, for what was sent last.
const DRAIN_SLACK: Duration = Duration::from_millis(700);
/// How long the place of an endpoint stays empty.
const EMPTY: Duration = Duration::from_millis(300);
/// How long a run takes, and how long a slow one does.
const RUN: Duration = Duration::from_millis(5);
const SLOW_RUN: Duration = Duration::from_millis(250);
/// How long a move is ordered to take.
const MOVE: Duration = Duration::from_secs(6);
/// How much longer it may take until its end stands in the store. The platform's bound.
const MOVE_STRETCH: Duration = Duration::from_secs(5);
/// The same while faults may keep nodes from each other and from the store.
const MOVE_SLACK: Duration = Duration::from_secs(20);
/// How moves stand.
const RUNNING: &str = "running";
const SUCCEEDED: &str = "succeeded";
const ROLLED_BACK: &str = "rolled_back";
/// How long after its end stood in the store a bad version may still get work. The platform's bound.
const ROLLBACK: Duration = Duration::from_secs(5);
/// The versions of the service that is moved.
const OLD: &str = "v1";
const NEW: &str = "v2";
/// How many machines get the new version first.
const MOVED: usize = 2;
/// How often a wait looks again.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// How long a machine counts as disturbed after a fault has ended: what it missed has to reach it. The platform's
/// bound.
const CONTACT: Duration = Duration::from_secs(3);

/// Does all of it, and waits until the last fault has ended.
///
/// # Errors
/// Fails if a process can't be signalled or started.
pub async fn inject(soak: &Rc<Soak>, plan: &Plan) -> io::Result<()> {
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for step in &plan.steps {
        tokio::time::sleep(step.at.saturating_sub(begin.elapsed())).await;
        tasks.push(tokio::task::spawn_local(apply(soak.clone(), step.fault)));
    }
    finish(tasks).await
}

async fn finish(tasks: Vec<JoinHandle<io::Result<()>>>) -> io::Result<()> {
    for task in tasks {
        task.await.map_err(io::Error::other)??;
    }
    Ok(())
}

async fn apply(soak: Rc<Soak>, fault: Fault) -> io::Result<()> {
    let machines = &soak.fleet.machines;
    match fault {
        Fault::Configure => soak.configure(),
        Fault::Crash(place, time) => crash(&machines[place], time).await,
        Fault::Drain(place) => exchange(&soak, place).await,
        Fault::Kill(place, time) => kill(&soak, place, time).await?,
        Fault::KillAll(time) => {
            let all = (0..machines.len()).map(|place| {
                let soak = soak.clone();
                tokio::task::spawn_local(async move { kill(&soak, place, time).await })
            });
            finish(all.collect()).await?;
        }
        Fault::Link(place, weather, time) => {
            machines[place].links.set(weather);
            tokio::time::sleep(time).await;
            machines[place].links.set(Weather::Clear);
        }
        Fault::Misbehave(place, behaviour, time) => {
            machines[place].endpoint.behave(behaviour);
            tokio::time::sleep(time).await;
            machines[place].endpoint.behave(Behaviour::Answers);
        }
        Fault::Move { good } => change_version(&soak, good).await,
        Fault::Pause(place, time) => pause(&soak, place, time).await?,
        Fault::Reload(place) => machines[place].signal(Signal::HUP)?,
        Fault::Reset(place) => machines[place].links.reset(),
        Fault::Restart(place) => restart(&soak, place).await?,
        Fault::RestartAll(gap) => {
            let mut all = Vec::new();
            for place in 0..machines.len() {
                let soak = soak.clone();
                all.push(tokio::task::spawn_local(async move {
                    restart(&soak, place).await
                }));
                tokio::time::sleep(gap).await;
            }
            finish(all).await?;
        }
        Fault::Slow(place, time) => {
            machines[place].endpoint.take(SLOW_RUN);
            tokio::time::sleep(time).await;
            machines[place].endpoint.take(RUN);
        }
        Fault::Store(mode, time) => {
            soak.fleet.store.behave(mode);
            tokio::time::sleep(time).await;
            soak.fleet.store.behave(Mode::Serves);
        }
    }
    Ok(())
}

fn disturbed(soak: &Soak, machine: usize, from: Instant) {
    let until = Instant::now() + CONTACT;
    let disturbance = Disturbance {
        from,
        machine,
        until,
    };
    soak.ledger.borrow_mut().disturbances.push(disturbance);
}

async fn crash(machine: &Machine, time: Duration) {
    if !claim(machine) {
        return;
    }
    machine.endpoint.kill();
    tokio::time::sleep(time).await;
    machine.endpoint.revive().await;
    machine.changing.set(false);
    // The node may be away: the next heartbeat tells it.
    let _ = machine.announce().await;
}

async fn kill(soak: &Soak, place: usize, time: Duration) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[place], Instant::now());
    machine.signal(Signal::KILL)?;
    tokio::time::sleep(time).await;
    machine.spawn()?;
    disturbed(soak, place, from);
    Ok(())
}

async fn pause(soak: &Soak, place: usize, time: Duration) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[place], Instant::now());
    machine.signal(Signal::STOP)?;
    tokio::time::sleep(time).await;
    machine.signal(Signal::CONT)?;
    disturbed(soak, place, from);
    Ok(())
}

/// Asks a node to stop, and starts it again when it has; one that takes longer than it may is killed.
async fn restart(soak: &Soak, place: usize) -> io::Result<()> {
    let (machine, from) = (&soak.fleet.machines[place], Instant::now());
    let lifetime = machine.lifetime.get();
    machine.signal(Signal::TERM)?;
    while machine.runs()? && machine.lifetime.get() == lifetime {
        if from.elapsed() > GRACE {
            if soak.ledger.borrow().planned {
                soak.broken(format!("{} did not stop within {GRACE:?}", machine.name));
            }
            machine.signal(Signal::KILL)?;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    machine.spawn()
}

/// Claims the endpoint of a machine for an exchange, if nothing else is done to it.
fn claim(machine: &Machine) -> bool {
    !machine.changing.replace(true)
}

/// Has the endpoint of a machine leave as planned, and another one of its version take its place.
async fn exchange(soak: &Soak, place: usize) {
    let machine = &soak.fleet.machines[place];
    if !claim(machine) {
        return;
    }
    let version = machine.endpoint.identity().version;
    leave(soak, place).await;
    machine.replace_endpoint(&version).await;
    machine.changing.set(false);
}

/// Has the endpoint of a machine leave as planned.
async fn leave(soak: &Soak, place: usize) {
    let machine = &soak.fleet.machines[place];
    machine.presence.set(Some(Presence::Draining));
    let acknowledged = machine.announce().await == Some(200);
    let from = Instant::now() + DRAIN;
    tokio::time::sleep(DRAIN + DRAIN_SLACK).await;
    machine.presence.set(None);
    // A node that is away can't send anything here either.
    let _ = machine.endpoint.leave(machine.control).await;
    machine.endpoint.kill();
    if acknowledged {
        close(soak, place, from);
    }
    tokio::time::sleep(EMPTY).await;
}

/// Notes that the endpoint of a machine should have got nothing since then.
fn close(soak: &Soak, place: usize, from: Instant) {
    let closed = Closed {
        from,
        instance: soak.fleet.machines[place].endpoint.identity().instance,
        until: Instant::now(),
    };
    soak.ledger.borrow_mut().closed.push(closed);
}

/// Moves a service to another version: two machines begin, and the others follow if it went well.
async fn change_version(soak: &Rc<Soak>, good: bool) {
    let places = soak.fleet.places(DESK);
    let (old, new) = places.split_at(places.len() - MOVED);
    let machine = |place: &usize| &soak.fleet.machines[*place];
    for place in &places {
        while !claim(machine(place)) {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
    for place in new {
        leave(soak, *place).await;
    }
    let ordered = Instant::now();
    soak.fleet.store.order(DESK, NEW, MOVE);
    for place in new {
        if !good {
            machine(place).endpoint.behave(Behaviour::Fails);
        }
        machine(place).replace_endpoint(NEW).await;
    }
    let state = end(soak, ordered, new).await;
    let ended = Instant::now();
    if !good {
        note_bad(soak, ordered, &places, new);
    }
    if soak.ledger.borrow().planned && state == ROLLED_BACK {
        soak.broken("a good version was taken back in planned work".into());
    }
    match state.as_str() {
        SUCCEEDED => {
            for place in old {
                machine(place).endpoint.kill();
                tokio::time::sleep(EMPTY).await;
                machine(place).replace_endpoint(NEW).await;
            }
        }
        ROLLED_BACK => {
            tokio::time::sleep(ROLLBACK + EMPTY).await;
            for place in new {
                close(soak, *place, ended + ROLLBACK);
                leave(soak, *place).await;
                machine(place).endpoint.behave(Behaviour::Answers);
                machine(place).replace_endpoint(OLD).await;
            }
        }
        _ => {}
    }
    for place in &places {
        machine(place).changing.set(false);
    }
}

/// Waits until the end of a move stands in the store, and gives its state.
async fn end(soak: &Soak, ordered: Instant, new: &[usize]) -> String {
    let planned = soak.ledger.borrow().planned;
    let slack = if planned { MOVE_STRETCH } else { MOVE_SLACK };
    let mut due = ordered + MOVE + slack;
    loop {
        let progress = soak.fleet.store.progress(DESK);
        let state = progress.map_or_else(|| RUNNING.into(), |progress| progress.state);
        let now = Instant::now();
        if state != RUNNING {
            return state;
        }
        if now > due {
            let after = now - ordered;
            soak.broken(format!("a move is {state} {after:?} after its order"));
            return state;
        }
        let mut serving = false;
        for place in new {
            serving |= soak.fleet.machines[*place].ready().await;
        }
        if !serving {
            // It can't end while no upstream of the new version is reached.
            due = due.max(now + slack);
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

fn note_bad(soak: &Soak, from: Instant, service: &[usize], new: &[usize]) {
    let names = |places: &[usize]| {
        let machines = places.iter().map(|place| &soak.fleet.machines[*place]);
        machines
            .map(|machine| machine.endpoint.identity().instance)
            .collect()
    };
    let bad = BadMove {
        from,
        instances: names(new),
        service: names(service),
        until: Instant::now() + ROLLBACK,
    };
    soak.ledger.borrow_mut().bad_moves.push(bad);
}

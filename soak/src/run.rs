//! One run: the fleet starts, callers send, faults come and go, all is well again, and what was seen is judged.

use {
    crate::{
        callers::{self, request, route},
        faults,
        fleet::{DESK, Fleet, Ground, HEARTBEAT},
        ledger::{Kind, Ledger, Violation},
        plan::Plan,
    },
    mulberryshelf_standin::{Caller, Mode, configuration},
    std::{
        cell::{Cell, RefCell},
        io,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// How many callers send at a time.
const CALLERS: usize = 12;
/// How long all nodes may take to serve again after the last fault. The platform's bound.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long callers go on afterwards; everything has to be answered then.
const CALM: Duration = Duration::from_secs(2);
/// How often the run looks whether all is well again.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// The number of the first configuration, and how far apart the next ones are.
const FIRST: u64 = 7;
const STRIDE: u64 = 3;

/// A run that is going on.
pub struct Soak {
    /// The machines.
    pub fleet: Fleet,
    /// What was seen.
    pub ledger: RefCell<Ledger>,
    configuration: Cell<u32>,
    ended: Cell<bool>,
}

/// How a run ended.
#[derive(Debug)]
pub struct Report {
    /// The callers' requests.
    pub calls: usize,
    /// How many of them were answered by an endpoint.
    pub served: usize,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

impl Soak {
    /// Says whether callers are to stop.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// Gives the number of the newest configuration.
    pub fn configuration(&self) -> u32 {
        self.configuration.get()
    }

    /// States a configuration with one route more than the last one.
    pub fn configure(&self) {
        let number = self.configuration.get() + 1;
        self.configuration.set(number);
        let names: Vec<String> = (1..=number).map(route).collect();
        let routes: Vec<_> = names.iter().map(|name| (name.as_str(), DESK)).collect();
        let document = configuration(FIRST + STRIDE * u64::from(number), &routes);
        self.fleet.store.configure(&document);
    }

    /// Notes that a promise was broken.
    pub fn broken(&self, text: String) {
        self.ledger.borrow_mut().found.push(Violation(text));
    }
}

/// Runs a plan on machines of its own.
///
/// # Errors
/// Fails if the machines can't be started or signalled.
pub async fn run(ground: &Ground, machines: usize, seed: u64, plan: &Plan) -> io::Result<Report> {
    let soak = Rc::new(Soak {
        configuration: Cell::new(0),
        ended: Cell::new(false),
        fleet: Fleet::start(ground, machines).await?,
        ledger: RefCell::new(Ledger {
            planned: plan.planned,
            ..Ledger::default()
        }),
    });
    soak.configure();
    for place in 0..machines {
        tokio::task::spawn_local(announce(soak.clone(), place));
    }
    recovered(&soak, "after the start").await;
    let sending: Vec<_> = (0..CALLERS)
        .map(|name| {
            let seed = seed.wrapping_add(name as u64);
            tokio::task::spawn_local(callers::call(soak.clone(), name, seed))
        })
        .collect();
    faults::inject(&soak, plan).await?;
    soak.fleet.store.behave(Mode::Serves);
    recovered(&soak, "after the last fault").await;
    let calm = Instant::now();
    tokio::time::sleep(CALM).await;
    soak.ended.set(true);
    for caller in sending {
        caller.await.map_err(io::Error::other)?;
    }
    Ok(judge(&soak, calm))
}

fn judge(soak: &Soak, calm: Instant) -> Report {
    let mut ledger = soak.ledger.borrow_mut();
    let machines = soak.fleet.machines.iter();
    ledger.runs = machines
        .flat_map(|machine| machine.endpoint.runs())
        .collect();
    let unserved: Vec<_> = ledger
        .calls
        .iter()
        .filter(|call| call.sent > calm)
        .filter_map(|call| {
            let status = call.reply.as_ref()?.status;
            (status != 200).then(|| Violation(format!("{}: status={status} in a calm", call.id)))
        })
        .collect();
    ledger.found.extend(unserved);
    let served = |status| status == Some(200);
    Report {
        calls: ledger.calls.len(),
        served: ledger
            .calls
            .iter()
            .filter(|call| served(call.reply.as_ref().map(|reply| reply.status)))
            .count(),
        violations: ledger.violations(),
    }
}

/// Has an endpoint say what it is until the run ends.
async fn announce(soak: Rc<Soak>, place: usize) {
    while !soak.ended() {
        // A node that is away is told by the next one.
        let _ = soak.fleet.machines[place].announce().await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Waits until every node serves by the newest configuration.
async fn recovered(soak: &Soak, when: &str) {
    let since = Instant::now();
    let mut left: Vec<usize> = (0..soak.fleet.machines.len()).collect();
    let mut number = 0;
    while !left.is_empty() && since.elapsed() < RECOVERY {
        number += 1;
        let mut missing = Vec::new();
        for place in left {
            if !serves(soak, place, number).await {
                missing.push(place);
            }
        }
        left = missing;
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    for place in left {
        let name = &soak.fleet.machines[place].name;
        soak.broken(format!("{name} does not serve {RECOVERY:?} {when}"));
    }
}

async fn serves(soak: &Soak, place: usize, number: u32) -> bool {
    let machine = &soak.fleet.machines[place];
    if !machine.ready().await {
        return false;
    }
    let Ok(mut caller) = Caller::open(machine.callers).await else {
        return false;
    };
    let probe = Kind::Probe(soak.configuration());
    let id = format!("recovery-{place}-{number}");
    let request = request(&id, probe, "");
    let reply = tokio::time::timeout(RECOVERY, caller.call(&request)).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

//! Sequence of a run: start the fleet, let callers send requests, inject the faults, wait for recovery, and check the
//! ledger.

use {
    crate::{
        callers::{self, request, route},
        faults,
        fleet::{DESK, Fleet, Ground, HEARTBEAT},
        ledger::{Kind, Ledger, Violation},
        plan::Plan,
    },
    mulberryshelf_standin::{Backup, Caller, Mode, configuration},
    std::{
        cell::{Cell, RefCell},
        io,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 12;
/// Longest time that all nodes may take to serve requests after the last fault. The platform sets this limit; the start
/// has the same one.
const RECOVERY_TIME_MAX: Duration = Duration::from_secs(15);
/// Time that callers go on sending after the recovery, in which every response must have status 200.
const CALM_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which the run checks whether all nodes have recovered.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Offset of the configuration numbers in the store, and the difference between two successive ones.
const CONFIGURATION_OFFSET: u64 = 7;
const CONFIGURATION_STEP: u64 = 3;

/// Run in progress.
pub struct Soak {
    /// Last copy of the store.
    pub backup: RefCell<Backup>,
    /// Machines and the store of the run.
    pub fleet: Fleet,
    /// Observations so far.
    pub ledger: RefCell<Ledger>,
    configuration: Cell<u32>,
    ended: Cell<bool>,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests that callers sent.
    pub calls: usize,
    /// Number of responses with status 200.
    pub served: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

impl Soak {
    /// Returns whether the run has ended and callers have to stop.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// Returns the number of the newest configuration.
    pub fn configuration(&self) -> u32 {
        self.configuration.get()
    }

    /// Writes a configuration that adds a route to the last one.
    pub fn configure(&self) {
        let number = self.configuration.get() + 1;
        self.configuration.set(number);
        let names: Vec<String> = (1..=number).map(route).collect();
        let routes: Vec<_> = names.iter().map(|name| (name.as_str(), DESK)).collect();
        let document = configuration(
            CONFIGURATION_OFFSET + CONFIGURATION_STEP * u64::from(number),
            &routes,
        );
        self.fleet.store.configure(&document);
        self.ledger
            .borrow_mut()
            .accepted
            .insert(number, Instant::now());
    }

    /// Records a violation.
    pub fn broken(&self, text: String) {
        self.ledger.borrow_mut().found.push(Violation(text));
    }
}

/// Starts a fleet, runs a plan on it and checks the ledger.
///
/// # Errors
/// Returns an error if the machines can't be started or signalled.
pub async fn run(ground: &Ground, machines: usize, seed: u64, plan: &Plan) -> io::Result<Report> {
    let fleet = Fleet::start(ground, machines).await?;
    let soak = Rc::new(Soak {
        // Of the empty store: the nodes have not run yet.
        backup: RefCell::new(fleet.store.back_up()),
        configuration: Cell::new(0),
        ended: Cell::new(false),
        fleet,
        ledger: RefCell::new(Ledger {
            planned: plan.planned,
            ..Ledger::default()
        }),
    });
    soak.configure();
    for index in 0..machines {
        tokio::task::spawn_local(send_heartbeats(soak.clone(), index));
    }
    wait_recovered(&soak, "after the start").await;
    let sending: Vec<_> = (0..CALLER_COUNT)
        .map(|name| {
            let seed = seed.wrapping_add(name as u64);
            tokio::task::spawn_local(callers::call(soak.clone(), name, seed))
        })
        .collect();
    faults::inject(&soak, plan).await?;
    soak.fleet.store.behave(Mode::Serves);
    wait_recovered(&soak, "after the last fault").await;
    let calm_since = Instant::now();
    tokio::time::sleep(CALM_PERIOD).await;
    soak.ended.set(true);
    check_rows(&soak);
    for caller in sending {
        caller.await.map_err(io::Error::other)?;
    }
    Ok(build_report(&soak, calm_since))
}

/// Records a violation for each node whose row the store does not have.
fn check_rows(soak: &Soak) {
    let rows = soak.fleet.store.keys("nodes");
    for machine in &soak.fleet.machines {
        if !rows.contains(&machine.name) {
            soak.broken(format!("the store has no row of {}", machine.name));
        }
    }
}

/// Completes the ledger with the runs of the endpoints, and checks it. Every response to a request that was sent after
/// `calm_since` must have status 200.
fn build_report(soak: &Soak, calm_since: Instant) -> Report {
    let mut ledger = soak.ledger.borrow_mut();
    let machines = soak.fleet.machines.iter();
    ledger.runs = machines
        .flat_map(|machine| machine.endpoint.runs())
        .collect();
    let unserved: Vec<_> = ledger
        .calls
        .iter()
        .filter(|call| call.sent > calm_since)
        .filter_map(|call| {
            let status = call.reply.as_ref()?.status;
            (status != 200).then(|| {
                Violation(format!(
                    "{}: status={status} after all faults had ended",
                    call.id
                ))
            })
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

/// Registers the endpoint of a machine once per heartbeat until the run ends.
async fn send_heartbeats(soak: Rc<Soak>, index: usize) {
    while !soak.ended() {
        // The node may be down: the next heartbeat registers the endpoint.
        let _ = soak.fleet.machines[index].announce().await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Waits until every node serves the newest configuration. Records a violation for each that does not in time.
async fn wait_recovered(soak: &Soak, when: &str) {
    let started = Instant::now();
    let mut pending: Vec<usize> = (0..soak.fleet.machines.len()).collect();
    let mut number = 0;
    while !pending.is_empty() && started.elapsed() < RECOVERY_TIME_MAX {
        number += 1;
        let mut missing = Vec::new();
        for index in pending {
            if !is_serving(soak, index, number).await {
                missing.push(index);
            }
        }
        pending = missing;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for index in pending {
        let name = &soak.fleet.machines[index].name;
        soak.broken(format!(
            "{name} does not serve requests {RECOVERY_TIME_MAX:?} {when}"
        ));
    }
}

/// Returns whether a node is ready and serves the route of the newest configuration.
async fn is_serving(soak: &Soak, index: usize, number: u32) -> bool {
    let machine = &soak.fleet.machines[index];
    if !machine.ready().await {
        return false;
    }
    let Ok(mut caller) = Caller::open(machine.callers).await else {
        return false;
    };
    let probe = Kind::Probe(soak.configuration());
    let id = format!("recovery-{index}-{number}");
    let request = request(&id, probe, "");
    let reply = tokio::time::timeout(RECOVERY_TIME_MAX, caller.call(&request)).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

//! An endpoint leaves and its node acknowledges that. All processes are killed, and a liveness report from before the
//! leaving arrives late at the restarted node, which uses the endpoint again.

#[path = "../standin/lib.rs"]
mod standin;

use standin::*;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const DESK: &str = "desk";
const HUB: &str = "hub";
/// `drain_timeout_s` and `contact_window_s` of the settings.
const DRAIN_TIMEOUT_S: f64 = 2.0;
const CONTACT_WINDOW_S: f64 = 3.0;
/// The endpoint goes on serving for this long after the ack of its leaving.
const STAYS_S: f64 = 8.0;

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[DESK, HUB], &[
        ("/status/", "safe", DESK, 1.2, 0.6),
        ("/dispatch/", "unsafe", HUB, 1.0, 0.5),
    ]));
    let runs = Arc::new(Runs::default());
    let machines: Vec<Arc<Machine>> = [
        ("node-a", "zone-1", DESK),
        ("node-b", "zone-2", DESK),
        ("node-c", "zone-1", HUB),
        ("node-d", "zone-2", HUB),
    ]
    .iter()
    .map(|(name, zone, service)| Machine::new(name, zone, "region-1", service, &store))
    .collect();
    let leaving = Arc::new(AtomicBool::new(false));
    let last_sequence = Arc::new(AtomicU64::new(0));
    let gone = Arc::new(AtomicBool::new(false));
    let mut identities = Vec::new();
    for (place, machine) in machines.iter().enumerate() {
        let identity = Identity { id: format!("i-{place}"), version: "v1".into(), slots: 12, born: unix_ms() };
        let (runs, own, log) = (runs.clone(), identity.clone(), record.clone());
        let ended = if place == 2 { gone.clone() } else { Arc::new(AtomicBool::new(false)) };
        listen(machine.app, move |mut connection| {
            while let Ok(request) = connection.read(Duration::from_secs(10)) {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                if !is_expected(&mut connection, &request, &own) {
                    continue;
                }
                let id = request.header("x-request-id").unwrap_or_default().to_string();
                log.line(format!("endpoint {} runs {id}", own.id));
                runs.0.lock().unwrap().push(Run {
                    endpoint: own.id.clone(),
                    id,
                    target: request.target().into(),
                    at: Instant::now(),
                });
                sleep_ms(100);
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                if connection.write(&signed(&request, &own.id)).is_err() {
                    return;
                }
            }
        });
        machine.start();
        if place == 2 {
            // The endpoint that leaves; its reports are sent below.
            let (own, machine, leaving, last) =
                (identity.clone(), machine.clone(), leaving.clone(), last_sequence.clone());
            thread::spawn(move || {
                for sequence in 1.. {
                    if leaving.load(Ordering::Relaxed) {
                        return;
                    }
                    last.store(sequence, Ordering::Relaxed);
                    call_control(&machine, "PUT", &own.id, &report(&machine, &own, "ready", sequence));
                    sleep_ms(1500);
                }
            });
        } else {
            beat(machine.clone(), identity.clone(), || false);
        }
        identities.push(identity);
    }
    if !machines.iter().all(|machine| machine.wait_ready(15)) {
        kill_all(&machines);
        finish(&record, 2, "a node did not become ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0));
    let failed = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = [0, 0, 0, 0, 1, 1, 1, 1, 3, 3]
        .iter()
        .map(|place| {
            let (machine, stop, served, failed, record) =
                (machines[*place].clone(), stop.clone(), served.clone(), failed.clone(), record.clone());
            thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let Some(mut connection) = kept.take().or_else(|| Connection::open(machine.outbound).ok()) else {
                        sleep_ms(50);
                        continue;
                    };
                    let id = new_id("u");
                    let answer = ask(&mut connection, &format!("PUT /dispatch/{id}"), "desk.example", &id, 2000, b"crew");
                    record.line(format!("client at {} sent {id}, got {}", machine.name, answer.status));
                    if answer.status != 0 {
                        kept = Some(connection);
                    }
                    *served.lock().unwrap() += u32::from(answer.status == 200);
                    if answer.status == 502 {
                        failed.lock().unwrap().push(id);
                    }
                    sleep_ms(50);
                }
            })
        })
        .collect();
    sleep_ms(6000);
    let (machine, own) = (machines[2].clone(), identities[2].clone());
    leaving.store(true, Ordering::Relaxed);
    // A report that is still on its way when the endpoint leaves.
    let late_report = report(&machine, &own, "ready", last_sequence.load(Ordering::Relaxed) + 1);
    sleep_ms(200);
    let acked = call_control(&machine, "DELETE", &own.id, &format!("{{\"born\":{}}}", own.born));
    let acked_at = record.seconds();
    record.line(format!("{} leaves {}: {acked}", own.id, machine.name));
    if acked != 200 {
        kill_all(&machines);
        finish(&record, 2, "the leaving was not acknowledged");
    }
    sleep_ms(300);
    if trouble() {
        record.line("all processes are killed");
        kill_all(&machines);
        sleep_ms(1000);
        for machine in &machines {
            machine.start();
        }
        record.line("all processes are started again");
    }
    let started_at = record.seconds();
    let mut reported = false;
    while record.seconds() < acked_at + STAYS_S {
        if !reported && record.seconds() >= acked_at + 2.5 {
            reported = true;
            let status = call_control(&machine, "PUT", &own.id, &late_report);
            record.line(format!("a report from before the leaving arrives at {}: {status}", machine.name));
        }
        sleep_ms(50);
    }
    let ended = Instant::now();
    gone.store(true, Ordering::Relaxed);
    record.line(format!("{} ends", own.id));
    sleep_ms(1500);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    kill_all(&machines);
    let runs = runs.0.lock().unwrap().clone();
    let now = record.seconds();
    let since = |run: &Run| now - run.at.elapsed().as_secs_f64();
    let from = (acked_at + DRAIN_TIMEOUT_S).max(started_at + CONTACT_WINDOW_S);
    let broken: Vec<_> = runs.iter().filter(|run| run.endpoint == own.id && run.at < ended && since(run) > from).collect();
    for run in broken.iter().take(50) {
        record.line(format!("DRAIN: {} reached {} {:.2} s after the ack", run.id, own.id, since(run) - acked_at));
    }
    let last = |run: &Run| run.endpoint == own.id && since(run) > from;
    let failed = failed.lock().unwrap().clone();
    let cut: Vec<_> = runs.iter().filter(|run| last(run) && failed.contains(&run.id)).map(|run| &run.id).collect();
    record.line(format!("unsafe requests at work at {} when it ended, answered 502: {cut:?}", own.id));
    if *served.lock().unwrap() < 200 {
        finish(&record, 2, "the clients were not served");
    }
    let text = format!(
        "{} requests reached the endpoint that had left, by machines in touch, too late; {} were cut by its end",
        broken.len(),
        cut.len()
    );
    finish(&record, i32::from(!broken.is_empty()), &text);
}

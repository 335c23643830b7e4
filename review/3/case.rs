//! Three clients of a machine send bodies within the operator's limit, and the node's memory exceeds its machine's.

#[path = "../standin/lib.rs"]
mod standin;

use standin::*;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const SERVICE: &str = "desk";
const HUB: &str = "hub";
/// `limits.memory_mb` of the settings.
const MEMORY_KB: u64 = 260 * 1024;
/// `max_body_bytes` of the operator's limits is 67,108,864; the body stays below it.
const BODY_BYTES: usize = 60 * 1024 * 1024;

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[SERVICE, HUB], &[
        ("/reserve/", "unsafe", SERVICE, 5.0, 2.0),
        ("/board/", "safe", HUB, 5.0, 2.0),
    ]));
    let runs = Arc::new(Runs::default());
    let machines: Vec<Arc<Machine>> = [("node-a", SERVICE), ("node-b", SERVICE), ("node-c", HUB), ("node-d", HUB)]
        .iter()
        .map(|(name, service)| Machine::new(name, "zone-1", "region-1", service, &store))
        .collect();
    for (place, machine) in machines.iter().enumerate() {
        let identity = Identity { id: format!("i-{place}"), version: "v1".into(), slots: 12, born: unix_ms() };
        let (runs, record, own) = (runs.clone(), record.clone(), identity.clone());
        listen(machine.app, move |mut connection| {
            while let Ok(request) = connection.read(Duration::from_secs(30)) {
                if !is_expected(&mut connection, &request, &own) {
                    continue;
                }
                let id = request.header("x-request-id").unwrap_or_default().to_string();
                record.line(format!("endpoint {} runs {id}, body of {} bytes", own.id, request.body.len()));
                runs.0.lock().unwrap().push(Run {
                    endpoint: own.id.clone(),
                    id,
                    target: request.target().into(),
                    at: std::time::Instant::now(),
                });
                sleep_ms(100);
                if connection.write(&signed(&request, &own.id)).is_err() {
                    return;
                }
            }
        });
        machine.start();
        beat(machine.clone(), identity, || false);
    }
    if !machines.iter().all(|machine| machine.wait_ready(15)) {
        kill_all(&machines);
        finish(&record, 2, "a node did not become ready");
    }
    sleep_ms(4000);
    // The platform kills a process whose memory exceeds its limit, and starts it again.
    let front = machines[2].clone();
    let stop = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new(Vec::new()));
    let (machine, stopped, times, log) = (front.clone(), stop.clone(), kills.clone(), record.clone());
    let watcher = thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let peak = machine.peak_memory_kb();
            if peak > MEMORY_KB {
                log.line(format!("{} has used {peak} KiB, over its limit of {MEMORY_KB} KiB: killed", machine.name));
                machine.kill();
                times.lock().unwrap().push(log.seconds());
                sleep_ms(500);
                machine.start();
            }
            sleep_ms(5);
        }
    });
    // Ordinary clients, each with a kept connection. A connection that was closed without an answer is counted if the
    // request had been passed on to an endpoint.
    let lost = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    for _ in 0..12 {
        let (front, stop, lost, served, runs, record) =
            (front.clone(), stop.clone(), lost.clone(), served.clone(), runs.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let mut kept: Option<Connection> = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(mut connection) = kept.take().or_else(|| Connection::open(front.outbound).ok()) else {
                    sleep_ms(100);
                    continue;
                };
                let id = new_id("u");
                let answer = ask(&mut connection, &format!("POST /reserve/{id}"), "desk.example", &id, 5000, b"reserve");
                record.line(format!("client sent {id}, got {}", answer.status));
                match answer.status {
                    0 if runs.count(&id) > 0 => lost.lock().unwrap().push(id),
                    0 => {}
                    status => {
                        *served.lock().unwrap() += u32::from(status == 200);
                        kept = Some(connection);
                    }
                }
            }
        }));
    }
    for round in 0..2 {
        front.wait_ready(10);
        // Longer than `contact_window_s` after the last start.
        sleep_ms(5000);
        let large: Vec<_> = (0..3)
            .map(|_| {
                let (front, record) = (front.clone(), record.clone());
                thread::spawn(move || {
                    let id = new_id("b");
                    let body = vec![b'x'; if trouble() { BODY_BYTES } else { 24 * 1024 }];
                    record.line(format!("round {round}: a client sends {id} with a body of {} bytes", body.len()));
                    let answer =
                        ask_once(front.outbound, &format!("POST /reserve/{id}"), "desk.example", &id, 5000, &body);
                    record.line(format!("the client of {id} got {}", answer.status));
                })
            })
            .collect();
        for client in large {
            let _ = client.join();
        }
    }
    sleep_ms(1500);
    let peak = front.peak_memory_kb();
    stop.store(true, Ordering::Relaxed);
    let _ = watcher.join();
    for client in clients {
        let _ = client.join();
    }
    kill_all(&machines);
    let (lost, kills, served) = (lost.lock().unwrap().clone(), kills.lock().unwrap().clone(), *served.lock().unwrap());
    record.line(format!("{} has used {peak} KiB at most since its last start", front.name));
    record.line(format!("closed without an answer, though passed on: {lost:?}"));
    let text = format!(
        "{} ended {} times over its memory limit; {} requests that ran had their kept connection closed without an answer; {served} others served",
        front.name,
        kills.len(),
        lost.len()
    );
    if served < 100 {
        finish(&record, 2, &text);
    }
    finish(&record, i32::from(!kills.is_empty() && lost.len() > 3), &text);
}

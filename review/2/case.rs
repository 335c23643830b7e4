//! A machine freezes for four seconds, the configuration changes meanwhile, and the machine goes on with the old one.

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

const DESK: &str = "desk";
const HUB: &str = "hub";
/// Less than the 4 s of a `node_freeze` of the site.
const FREEZE: Duration = Duration::from_millis(3950);
/// `config_apply_s` and `contact_window_s` of the settings.
const CONFIG_APPLY_S: f64 = 2.0;
const CONTACT_WINDOW_S: f64 = 3.0;

fn main() {
    let record = Record::create();
    let store = Store::start();
    let routes = [("/status/", "safe", DESK, 1.2, 0.6), ("/board/", "safe", HUB, 1.2, 0.3)];
    store.put("op", "config", &configuration(1, &[DESK, HUB], &routes));
    let runs = Arc::new(Runs::default());
    let machines: Vec<Arc<Machine>> =
        [("node-a", "zone-1", DESK), ("node-b", "zone-1", DESK), ("node-c", "zone-2", HUB)]
            .iter()
            .map(|(name, zone, service)| Machine::new(name, zone, "region-1", service, &store))
            .collect();
    for (place, machine) in machines.iter().enumerate() {
        let identity = Identity { id: format!("i-{place}"), version: "v1".into(), slots: 12, born: unix_ms() };
        let (runs, own) = (runs.clone(), identity.clone());
        listen(machine.app, move |mut connection| {
            while let Ok(request) = connection.read(Duration::from_secs(10)) {
                if !is_expected(&mut connection, &request, &own) {
                    continue;
                }
                runs.0.lock().unwrap().push(Run {
                    endpoint: own.id.clone(),
                    id: request.header("x-request-id").unwrap_or_default().to_string(),
                    target: request.target().into(),
                    at: std::time::Instant::now(),
                });
                sleep_ms(55);
                if connection.write(&signed(&request, &own.id)).is_err() {
                    return;
                }
            }
        });
        if place == 2 {
            // Machines start within 0.3 s of each other, in any order. The last one dials the others, which didn't know of
            // it, so that each pair of nodes has one connection.
            sleep_ms(250);
        }
        machine.start();
        beat(machine.clone(), identity, || false);
    }
    if !machines.iter().all(|machine| machine.wait_ready(15)) {
        kill_all(&machines);
        finish(&record, 2, "a node did not become ready");
    }
    // Clients at the other two machines, each with a request to the hub every 100 ms.
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0));
    let clients: Vec<_> = [0, 0, 1, 1]
        .iter()
        .map(|place| {
            let (machine, stop, served, record) =
                (machines[*place].clone(), stop.clone(), served.clone(), record.clone());
            thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let Some(mut connection) = kept.take().or_else(|| Connection::open(machine.outbound).ok()) else {
                        continue;
                    };
                    let id = new_id("s");
                    let answer = ask(&mut connection, &format!("GET /board/{id}"), "desk.example", &id, 1200, b"");
                    record.line(format!("client at {} sent {id}, got {}", machine.name, answer.status));
                    if answer.status != 0 {
                        kept = Some(connection);
                    }
                    *served.lock().unwrap() += u32::from(answer.status == 200);
                    sleep_ms(100);
                }
            })
        })
        .collect();
    sleep_ms(9300);
    let frozen = machines[2].clone();
    if trouble() {
        record.line(format!("{} freezes", frozen.name));
        frozen.signal("STOP");
    }
    let woken_at = record.seconds() + FREEZE.as_secs_f64();
    sleep_ms(2000);
    let mut changed = routes.to_vec();
    changed.push(("/added/", "safe", HUB, 1.2, 0.3));
    store.put("op", "config", &configuration(2, &[DESK, HUB], &changed));
    let acked_at = record.seconds();
    record.line("the operator's version 2 with the route /added/ was acked");
    thread::sleep(Duration::from_secs_f64((woken_at - record.seconds()).max(0.0)));
    if trouble() {
        frozen.signal("CONT");
        record.line(format!("{} wakes", frozen.name));
    }
    let mut broken = Vec::new();
    let mut in_force_at = vec![None; machines.len()];
    while record.seconds() < woken_at + 30.0 {
        for (place, machine) in machines.iter().enumerate() {
            let sent_at = record.seconds();
            let id = new_id("p");
            let answer = ask_once(machine.outbound, &format!("GET /added/{id}"), "desk.example", &id, 1200, b"");
            record.line(format!("a request for /added/ at {}: {id}, got {}", machine.name, answer.status));
            if answer.status == 200 && in_force_at[place].is_none() {
                in_force_at[place] = Some(sent_at - acked_at);
            }
            let in_touch = sent_at > woken_at + CONTACT_WINDOW_S;
            if answer.status == 404 && in_touch && sent_at > acked_at + CONFIG_APPLY_S {
                broken.push(format!("{id} at {}, {:.2} s after the ack", machine.name, sent_at - acked_at));
            }
        }
        sleep_ms(200);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    kill_all(&machines);
    for (machine, at) in machines.iter().zip(&in_force_at) {
        record.line(format!("{}: version 2 was seen in force {at:.1?} s after its ack", machine.name));
    }
    for line in &broken {
        record.line(format!("CONFIG: 404 as by version 1: {line}"));
    }
    if *served.lock().unwrap() < 200 {
        finish(&record, 2, "the clients were not served");
    }
    finish(&record, i32::from(!broken.is_empty()), &format!("{} requests got 404 in touch, too late", broken.len()));
}

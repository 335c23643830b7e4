//! A liveness report of another writer names a service that isn't the one of this machine, and lacks fields. No request of
//! that service may run at the machine's endpoint.

mod common;

use {
    common::*,
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Time for which clients go on after the report.
const GOES_ON: Duration = Duration::from_secs(8);

fn main() {
    let code = run();
    std::process::exit(code);
}

fn run() -> i32 {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: foreign_report RECORD");
        return 2;
    };
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::start();
    let routes = [
        Route("status", "safe", "desk", 1.5),
        Route("board", "safe", "hub", 1.5),
        Route("crew", "unsafe", "hub", 1.5),
    ];
    store.put("op", "config", &configuration(1, &routes));
    let machines: Vec<Machine> = [(1, "desk"), (2, "desk"), (3, "hub"), (4, "hub")]
        .into_iter()
        .map(|(number, service)| {
            let endpoint = Endpoint::start(
                &record,
                machine_ip(number),
                service,
                &format!("i-{number}"),
                "v1",
            );
            let (name, zone) = (format!("sidecar-{number}"), format!("z{}", number % 2));
            Machine::start(&folder.0, &store, &name, &zone, "ra", endpoint, None)
        })
        .collect();
    if !wait_until(Duration::from_secs(10), || {
        machines.iter().all(Machine::is_ready)
    }) {
        eprintln!("the nodes did not become ready");
        return 2;
    }
    for machine in &machines {
        machine.endpoint.keep_reporting(machine.control);
    }
    thread::sleep(Duration::from_secs(3));
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (record, ended) = (record.clone(), ended.clone());
            let node = machines[number % 4].callers;
            thread::spawn(move || {
                let mut replies = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("c{number}-{}", replies.len());
                    let (method, target) = match replies.len() % 3 {
                        0 => ("POST", "/crew/x"),
                        1 => ("GET", "/board/x"),
                        _ => ("GET", "/status/x"),
                    };
                    replies.push((target, request(&record, node, method, target, &id)));
                    thread::sleep(Duration::from_millis(40));
                }
                replies
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let machine = &machines[0];
    let endpoint = &machine.endpoint;
    if trouble() {
        let body = format!(
            "{{\"service\":\"hub\",\"address\":\"{}\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"sequence\":1,\"born\":{}}}",
            endpoint.address,
            unix_ms()
        );
        let answer = put_report(machine.control, &endpoint.instance, &body);
        let status = answer.map(|answer| answer.status());
        record.note(format!(
            "odd      report of another writer at the node beside {}; answer {status:?}: {body}",
            endpoint.instance
        ));
    }
    thread::sleep(GOES_ON);
    ended.store(true, Ordering::SeqCst);
    let replies: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();

    let services = |target: &str| {
        if target.starts_with("/status/") {
            "desk"
        } else {
            "hub"
        }
    };
    let (mut own, mut foreign, mut unsafe_ones) = (0, 0, 0);
    for machine in &machines {
        for run in machine.endpoint.runs.lock().unwrap().iter() {
            let is_own = services(&run.target) == machine.endpoint.service;
            own += usize::from(is_own);
            foreign += usize::from(!is_own);
            unsafe_ones += usize::from(!is_own && run.target.starts_with("/crew/"));
        }
    }
    let is_foreign = |(target, reply): &&(&str, Reply)| {
        reply.status == 200 && !reply.body.starts_with(services(target))
    };
    let answers = replies.iter().filter(is_foreign).count();
    let result = format!(
        "{} requests; {own} ran at their service, {foreign} at another one, {unsafe_ones} of them unsafe; {answers} callers got the answer of another service",
        replies.len()
    );
    record.note(format!("result   {result}"));
    record.write(Path::new(&path));
    println!("{result}");
    if own == 0 {
        return 2;
    }
    i32::from(foreign > 0)
}

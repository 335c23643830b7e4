//! An endpoint says that it leaves, and its node acknowledges that. The endpoint must not be used again, whatever odd
//! liveness report of another writer arrives: `missing`, after the acknowledgement, one in which fields are missing, or
//! `large`, before it, one with a number that is too large.

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

/// `bounds.drain_timeout_s` of the small deployments.
const DRAIN_TIMEOUT_S: f64 = 2.0;
/// Time for which the endpoint goes on serving after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(9);

fn main() {
    let code = run();
    std::process::exit(code);
}

fn run() -> i32 {
    let mut arguments = std::env::args().skip(1);
    let (Some(kind), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: odd_report missing|large RECORD");
        return 2;
    };
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::start();
    let routes = [
        Route("status", "safe", "desk", 1.5),
        Route("reserve", "unsafe", "desk", 1.5),
    ];
    store.put("op", "config", &configuration(1, &routes));
    let machines: Vec<Machine> = (1..=3)
        .map(|number| {
            let endpoint = Endpoint::start(
                &record,
                machine_ip(number),
                "desk",
                &format!("i-{number}"),
                "v1",
            );
            let (name, zone) = (format!("sidecar-{number}"), format!("z{number}"));
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
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let (record, ended) = (record.clone(), ended.clone());
            let node = machines[number % 3].callers;
            thread::spawn(move || {
                let mut replies = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("c{number}-{}", replies.len());
                    let (method, target) = if replies.len() % 3 == 0 {
                        ("POST", "/reserve/x")
                    } else {
                        ("GET", "/status/x")
                    };
                    replies.push(request(&record, node, method, target, &id));
                    thread::sleep(Duration::from_millis(40));
                }
                replies
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    let leaving = &machines[0];
    let endpoint = &leaving.endpoint;
    let odd = |what: &str, body: String| {
        let answer = put_report(leaving.control, &endpoint.instance, &body);
        let status = answer.map(|answer| answer.status());
        record.note(format!(
            "odd      report of another writer {what}; answer {status:?}: {body}"
        ));
    };
    let (address, born) = (endpoint.address, endpoint.born);
    if trouble() && kind == "large" {
        odd(
            "with a sequence that is too large",
            format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":12,\
                 \"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":18446744073709551615,\"born\":{born}}}"
            ),
        );
    }
    thread::sleep(Duration::from_secs(1));
    endpoint.draining.store(true, Ordering::SeqCst);
    endpoint.reporting.store(kind == "large", Ordering::SeqCst);
    let status = endpoint.report(leaving.control);
    let acknowledged = record.now();
    record.note(format!(
        "leaving  {} says that it leaves; answer {status:?}",
        endpoint.instance
    ));
    if status != Some(200) {
        eprintln!("the departure was not acknowledged");
        return 2;
    }
    thread::sleep(Duration::from_millis(500));
    if trouble() && kind == "missing" {
        odd(
            "without zone and cold_remaining_s",
            format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\
                 \"sequence\":1,\"born\":{}}}",
                unix_ms()
            ),
        );
    }
    thread::sleep(SERVES_ON);
    record.note(format!("end      {} exits", endpoint.instance));
    endpoint.end();
    thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    let replies: Vec<Reply> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();

    let runs = endpoint.runs.lock().unwrap().clone();
    let before = runs.iter().filter(|run| run.at < acknowledged).count();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN_TIMEOUT_S)
        .collect();
    let lost = replies
        .iter()
        .filter(|reply| !matches!(reply.status, 200 | 503))
        .count();
    record.note(format!(
        "result   {} requests, {before} ran at {} before the acknowledgement and {} later than {DRAIN_TIMEOUT_S} s after it; {lost} have no answer of an endpoint",
        replies.len(),
        endpoint.instance,
        late.len()
    ));
    record.write(Path::new(&path));
    println!(
        "ran later than {DRAIN_TIMEOUT_S} s after the acknowledgement: {} (before it: {before}); no answer: {lost}",
        late.len()
    );
    if before == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}

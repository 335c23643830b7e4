//! How fast the configuration is in force everywhere, and what that costs, for the chosen tree and its
//! rivals: every node polls, and flat push from the relays. Virtual time and fixed seeds; the bounds are
//! the targets of docs/developers.md. See docs/design/spread.md.

#[allow(dead_code)]
#[path = "../tests/simulated_mesh.rs"]
mod simulated_mesh;

use {
    mulberryshelf::{
        control::{Event, Spread},
        source::{CallId, Operation},
        world::Revision,
    },
    simulated_mesh::{Mesh, route},
    std::{
        collections::BTreeMap,
        process::ExitCode,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

const SECOND: Duration = Duration::from_secs(1);
/// How soon an accepted configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);
/// What control may cost a node, in bytes a second, sent and received.
const CONTROL_BYTES: u64 = 21_000;
/// What the platform bears for each of 14 failure domains, in reads and writes a second.
const READS: u64 = 2000 / 14;
const WRITES: u64 = 300 / 14;
/// 76,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_micros(1_136_842);
/// 4,400 restarts a day.
const RESTART_INTERVAL: Duration = Duration::from_millis(19_636);
const SPAN: Duration = Duration::from_secs(12);
const SERVICES: usize = 100;

/// Scenarios that run side by side; the figures do not depend on it.
const THREADS: usize = 8;

/// What a scenario prints, and which bounds it is over.
type Found = (String, Bounds);
type Fault = fn(&mut Mesh);
type Scenario = Box<dyn Fn() -> Found + Send + Sync>;

#[derive(Default)]
struct Bounds(Vec<String>);

impl Bounds {
    fn check(&mut self, what: &str, found: u64, limit: u64) {
        if found > limit {
            self.0.push(format!("{what}: {found} is over {limit}"));
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn change(mesh: &mut Mesh, number: usize) {
    let service = format!("service-{}", number % SERVICES);
    let operation = Operation {
        changes: route(&service, &format!("{service}-{}", number / SERVICES))
            .into_iter()
            .map(|change| (change, None))
            .collect(),
        id: format!("change-{number}"),
    };
    let at = number % mesh.nodes.len();
    mesh.handle_event(at, Event::Submitted(CallId(number as u64), operation));
}

/// One failure domain of `hosts`, and three more in two regions: as large up to 100, or else of 10.
fn start(hosts: usize, spread: Spread) -> Mesh {
    let others = if hosts > 100 { 10 } else { hosts };
    let mut mesh = Mesh::new(hosts as u64)
        .spread(spread)
        .domain("luzon", "luzon-a", hosts, "desk")
        .domain("luzon", "luzon-b", others, "hub")
        .domain("visayas", "visayas-a", others, "desk")
        .domain("visayas", "visayas-b", others, "hub");
    mesh.start_all();
    mesh.run(10 * SECOND);
    let changes = (0..SERVICES)
        .flat_map(|number| {
            let service = format!("service-{number}");
            route(&service, &format!("{service}-0"))
        })
        .collect();
    mesh.apply(0, changes);
    mesh.run(2 * SECOND);
    mesh
}

fn reset(mesh: &mut Mesh) {
    for node in &mut mesh.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
        node.received_frames = 0;
    }
    mesh.cross_region_bytes = 0;
    mesh.platform.reads = 0;
    mesh.platform.writes = 0;
    mesh.platform.reads_by_second.clear();
    mesh.platform.writes_by_second.clear();
}

/// Runs changes and restarts at the rates of the design.
fn load(mesh: &mut Mesh) {
    let end = mesh.now + SPAN;
    let mut restart_at = mesh.now + RESTART_INTERVAL / 8;
    let mut number = SERVICES;
    while mesh.now < end {
        change(mesh, number);
        number += 1;
        if mesh.now >= restart_at {
            restart_at = restart_at + RESTART_INTERVAL;
            let index = number * 7 % mesh.nodes.len();
            mesh.stop(index);
            mesh.start(index);
        }
        mesh.run(CHANGE_INTERVAL);
    }
    mesh.run(IN_FORCE);
}

/// Gives how long each change took to each node that ran all the while.
fn delays(mesh: &Mesh, first: usize) -> Vec<u64> {
    let mut delays = Vec::new();
    for (index, accepted) in mesh.platform.accepted.iter().enumerate().skip(first) {
        let revision = Revision(index as u64 + 1);
        for node in mesh.nodes.iter().filter(|node| node.alive) {
            if node.started_at > *accepted {
                continue;
            }
            let in_force = node.installed.range(revision..).next();
            delays.push(in_force.map_or(u64::MAX, |(_, at)| millis(at.since(*accepted))));
        }
    }
    delays.sort_unstable();
    delays
}

fn percentile(sorted: &[u64], permille: usize) -> u64 {
    sorted[(sorted.len() - 1) * permille / 1000]
}

fn steady(name: &str, hosts: usize, spread: Spread, bounded: bool) -> Found {
    let mut mesh = start(hosts, spread);
    let first = mesh.platform.log.len();
    let before = mesh.now;
    reset(&mut mesh);
    load(&mut mesh);
    let seconds = mesh.now.since(before).as_secs();
    let delays = delays(&mesh, first);
    let bytes = |node: &simulated_mesh::Node| (node.sent_bytes + node.received_bytes) / seconds;
    let most = mesh.nodes.iter().map(bytes).max().unwrap_or(0);
    let mean = mesh.nodes.iter().map(bytes).sum::<u64>() / mesh.nodes.len() as u64;
    let children = mesh
        .nodes
        .iter()
        .map(|node| node.control.role().children.len());
    let frames = mesh.nodes.iter().map(|node| node.received_frames / seconds);
    let reads = mesh
        .platform
        .reads_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    let writes = mesh
        .platform
        .writes_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    let worst = percentile(&delays, 1000);
    let line = format!(
        "{name:<18} {hosts:>5} {:>6} {:>6} {:>6} {mean:>8} {most:>8} {:>8} {reads:>6} {writes:>6} {:>8} {:>8}",
        percentile(&delays, 500),
        percentile(&delays, 990),
        if worst == u64::MAX {
            "never".into()
        } else {
            worst.to_string()
        },
        mesh.cross_region_bytes / seconds,
        children.max().unwrap_or(0),
        frames.max().unwrap_or(0),
    );
    let mut bounds = Bounds::default();
    if bounded {
        let name = format!("{name}, {hosts} hosts");
        bounds.check(&format!("{name}: convergence, ms"), worst, millis(IN_FORCE));
        bounds.check(&format!("{name}: bytes/s of a node"), most, CONTROL_BYTES);
        bounds.check(&format!("{name}: reads/s"), reads, READS * 4);
        bounds.check(&format!("{name}: writes/s"), writes, WRITES * 4);
    }
    (line, bounds)
}

/// Runs a fault, and prints how long until every live node runs the configuration of before, and what
/// it cost.
fn herd(name: &str, hosts: usize, mesh: &mut Mesh, fault: impl Fn(&mut Mesh)) -> Found {
    fault(mesh);
    reset(mesh);
    let lost: Vec<usize> = (0..mesh.nodes.len())
        .filter(|index| !mesh.nodes[*index].alive)
        .collect();
    for index in lost {
        mesh.start(index);
    }
    mesh.heal();
    let number = SERVICES + mesh.platform.log.len();
    change(mesh, number);
    let revision = Revision(mesh.platform.log.len() as u64);
    let all = mesh.all();
    let took = mesh.run_until(60 * SECOND, |mesh| mesh.all_run(&all, revision));
    mesh.run(2 * SECOND);
    let reads = mesh
        .platform
        .reads_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    let writes = mesh
        .platform
        .writes_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    let most = mesh
        .nodes
        .iter()
        .map(|node| node.sent_bytes + node.received_bytes)
        .max()
        .unwrap_or(0);
    let line = format!(
        "{name:<26} {hosts:>5} {:>8} {reads:>6} {writes:>6} {most:>10} {:>10}",
        millis(took),
        mesh.cross_region_bytes,
    );
    let mut bounds = Bounds::default();
    let name = format!("{name}, {hosts} hosts");
    bounds.check(
        &format!("{name}: back after, ms"),
        millis(took),
        millis(IN_FORCE),
    );
    bounds.check(&format!("{name}: reads/s"), reads, READS * 4);
    bounds.check(&format!("{name}: writes/s"), writes, WRITES * 4);
    (line, bounds)
}

fn kill(mesh: &mut Mesh, lost: impl IntoIterator<Item = usize>) {
    for index in lost {
        mesh.kill(index);
    }
}

fn half(mesh: &mut Mesh) {
    let half: Vec<usize> = mesh.nodes_of("luzon-a").into_iter().step_by(2).collect();
    kill(mesh, half);
    mesh.run(2 * SECOND);
}

fn cold(mesh: &mut Mesh) {
    let all = mesh.nodes_of("luzon-a");
    kill(mesh, all);
    mesh.run(20 * SECOND);
}

fn relays(mesh: &mut Mesh) {
    let relays = mesh.relays("luzon-a");
    kill(mesh, relays);
}

fn regions(mesh: &mut Mesh) {
    let far = &mesh.nodes_of("visayas-a") | &mesh.nodes_of("visayas-b");
    let near = &mesh.all() - &far;
    mesh.platform.cut_off.extend(&far);
    mesh.partition(near, far);
    mesh.run(60 * SECOND);
}

fn outage(mesh: &mut Mesh) {
    mesh.platform.is_down = true;
    mesh.run(30 * SECOND);
    mesh.platform.is_down = false;
}

fn ways() -> Vec<Scenario> {
    let mut ways: Vec<Scenario> = Vec::new();
    let tree = |fanout| Spread {
        fanout,
        ..Spread::default()
    };
    let poll = Spread {
        poll_all: true,
        ..Spread::default()
    };
    for hosts in [1000, 100, 10] {
        ways.push(Box::new(move || {
            steady("tree", hosts, Spread::default(), true)
        }));
        ways.push(Box::new(move || {
            steady("every node polls", hosts, poll, false)
        }));
        ways.push(Box::new(move || {
            steady("flat push", hosts, tree(usize::MAX), false)
        }));
    }
    ways.push(Box::new(move || {
        steady("tree of 32", 1000, tree(32), false)
    }));
    ways
}

/// Runs faults one after the other.
fn faults(hosts: usize, faults: &[(&str, Fault)]) -> Found {
    let mut mesh = start(hosts, Spread::default());
    let mut lines = Vec::new();
    let mut over = Vec::new();
    for (name, fault) in faults {
        let (line, bounds) = herd(name, hosts, &mut mesh, fault);
        lines.push(line);
        over.extend(bounds.0);
    }
    (lines.join("\n"), Bounds(over))
}

fn herds() -> Vec<Scenario> {
    let lost: [(&str, Fault); 2] = [("half a domain, at once", half), ("a domain, cold", cold)];
    let cut: [(&str, Fault); 3] = [
        ("both relays, at once", relays),
        ("regions cut for a minute", regions),
        ("platform down for 30 s", outage),
    ];
    let mut scenarios: Vec<Scenario> = Vec::new();
    for hosts in [1000, 100, 10] {
        for fault in lost {
            scenarios.push(Box::new(move || faults(hosts, &[fault])));
        }
    }
    for hosts in [100, 10] {
        scenarios.push(Box::new(move || faults(hosts, &cut)));
    }
    scenarios
}

/// Runs scenarios side by side, and gives what they found in their order.
fn run(scenarios: &[Scenario]) -> Vec<Found> {
    let next = AtomicUsize::new(0);
    let found = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(index) else {
                        return;
                    };
                    let result = scenario();
                    found.lock().unwrap().insert(index, result);
                }
            });
        }
    });
    found.into_inner().unwrap().into_values().collect()
}

fn main() -> ExitCode {
    let ways = ways();
    let split = ways.len();
    let scenarios: Vec<Scenario> = herds().into_iter().chain(ways).collect();
    let herds = scenarios.len() - split;
    let found = run(&scenarios);
    println!("76,000 changes and 4,400 restarts a day; one failure domain of `hosts`, three more");
    println!(
        "{:<18} {:>5} {:>6} {:>6} {:>6} {:>8} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8}",
        "way",
        "hosts",
        "p50ms",
        "p99ms",
        "maxms",
        "mean B/s",
        "max B/s",
        "link B/s",
        "reads",
        "writes",
        "children",
        "frames/s"
    );
    for (line, _) in &found[herds..] {
        println!("{line}");
    }
    println!(
        "\n{:<26} {:>5} {:>8} {:>6} {:>6} {:>10} {:>10}",
        "fault", "hosts", "back ms", "reads", "writes", "max bytes", "link bytes"
    );
    for (line, _) in &found[..herds] {
        println!("{line}");
    }
    let over: Vec<&String> = found.iter().flat_map(|(_, bounds)| &bounds.0).collect();
    for bound in &over {
        println!("over the bound: {bound}");
    }
    if over.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

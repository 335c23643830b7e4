//! Measures the time and cost of distributing changes to every node by the tree, by polling from every
//! node and by flat push from the relays, in virtual time with fixed seeds. The bounds are the targets
//! of docs/developers.md. See docs/design/spread.md.

#[allow(dead_code)]
#[path = "../tests/simulated_mesh.rs"]
mod simulated_mesh;

use {
    mulberryshelf::{
        control::{Event, Spread},
        source::{CallId, Operation},
        types::Revision,
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
/// The time within which an accepted configuration has to be in force on every node.
const DEADLINE: Duration = Duration::from_secs(6);
/// The most control traffic of a node, sent and received, in bytes per second.
const BYTES_PER_S_MAX: u64 = 21_000;
/// The platform's capacity for each of 14 failure domains, in reads and writes per second.
const READS_PER_S_MAX: u64 = 2000 / 14;
const WRITES_PER_S_MAX: u64 = 300 / 14;
/// The interval between changes, at 76,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_micros(1_136_842);
/// The interval between node restarts, at 4,400 a day.
const RESTART_INTERVAL: Duration = Duration::from_millis(19_636);
const LOAD_TIME: Duration = Duration::from_secs(12);
const SERVICES: usize = 100;
/// The scenarios that run in parallel; the figures do not depend on it.
const THREADS: usize = 8;

/// The output of a scenario, and the bounds that it exceeds.
type Outcome = (String, Bounds);
type Fault = fn(&mut Mesh);
type Scenario = Box<dyn Fn() -> Outcome + Send + Sync>;

#[derive(Default)]
struct Bounds(Vec<String>);

impl Bounds {
    fn check(&mut self, what: &str, value: u64, limit: u64) {
        if value > limit {
            self.0.push(format!("{what}: {value} is over {limit}"));
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn submit_change(mesh: &mut Mesh, number: usize) {
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

/// Starts four domains of `hosts` nodes in two regions; above 100, the last three have only 10.
fn start_mesh(hosts: usize, spread: Spread) -> Mesh {
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

fn reset_counters(mesh: &mut Mesh) {
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

/// Submits changes and restarts nodes at the rates that the mesh is designed for.
fn run_load(mesh: &mut Mesh) {
    let end = mesh.now + LOAD_TIME;
    let mut restart_at = mesh.now + RESTART_INTERVAL / 8;
    let mut number = SERVICES;
    while mesh.now < end {
        submit_change(mesh, number);
        number += 1;
        if mesh.now >= restart_at {
            restart_at = restart_at + RESTART_INTERVAL;
            let index = number * 7 % mesh.nodes.len();
            mesh.stop(index);
            mesh.start(index);
        }
        mesh.run(CHANGE_INTERVAL);
    }
    mesh.run(DEADLINE);
}

/// Returns the sorted delays of the changes to each node that ran all the time, in milliseconds.
fn sorted_delays(mesh: &Mesh, first: usize) -> Vec<u64> {
    let mut delays = Vec::new();
    for (index, accepted) in mesh.platform.accepted.iter().enumerate().skip(first) {
        let revision = Revision(index as u64 + 1);
        for node in mesh.nodes.iter().filter(|node| node.alive) {
            if node.started_at > *accepted {
                continue;
            }
            let installed = node.installed.range(revision..).next();
            delays.push(installed.map_or(u64::MAX, |(_, at)| millis(at.since(*accepted))));
        }
    }
    delays.sort_unstable();
    delays
}

fn percentile(sorted: &[u64], permille: usize) -> u64 {
    sorted[(sorted.len() - 1) * permille / 1000]
}

fn measure_load(name: &str, hosts: usize, spread: Spread, bounded: bool) -> Outcome {
    let mut mesh = start_mesh(hosts, spread);
    let first = mesh.platform.log.len();
    let before = mesh.now;
    reset_counters(&mut mesh);
    run_load(&mut mesh);
    let seconds = mesh.now.since(before).as_secs();
    let delays = sorted_delays(&mesh, first);
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
        bounds.check(&format!("{name}: convergence, ms"), worst, millis(DEADLINE));
        bounds.check(&format!("{name}: bytes/s of a node"), most, BYTES_PER_S_MAX);
        bounds.check(&format!("{name}: reads/s"), reads, READS_PER_S_MAX * 4);
        bounds.check(&format!("{name}: writes/s"), writes, WRITES_PER_S_MAX * 4);
    }
    (line, bounds)
}

/// Injects and ends a fault, and measures the time and cost of getting a new change to every node.
fn measure_fault(name: &str, hosts: usize, mesh: &mut Mesh, fault: impl Fn(&mut Mesh)) -> Outcome {
    fault(mesh);
    reset_counters(mesh);
    let lost: Vec<usize> = (0..mesh.nodes.len())
        .filter(|index| !mesh.nodes[*index].alive)
        .collect();
    for index in lost {
        mesh.start(index);
    }
    mesh.heal();
    let number = SERVICES + mesh.platform.log.len();
    submit_change(mesh, number);
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
        millis(DEADLINE),
    );
    bounds.check(&format!("{name}: reads/s"), reads, READS_PER_S_MAX * 4);
    bounds.check(&format!("{name}: writes/s"), writes, WRITES_PER_S_MAX * 4);
    (line, bounds)
}

fn kill_all(mesh: &mut Mesh, indices: impl IntoIterator<Item = usize>) {
    for index in indices {
        mesh.kill(index);
    }
}

fn kill_half(mesh: &mut Mesh) {
    let half: Vec<usize> = mesh.nodes_of("luzon-a").into_iter().step_by(2).collect();
    kill_all(mesh, half);
    mesh.run(2 * SECOND);
}

fn kill_domain(mesh: &mut Mesh) {
    let all = mesh.nodes_of("luzon-a");
    kill_all(mesh, all);
    mesh.run(20 * SECOND);
}

fn kill_relays(mesh: &mut Mesh) {
    let relays = mesh.relays("luzon-a");
    kill_all(mesh, relays);
}

fn partition_regions(mesh: &mut Mesh) {
    let far = &mesh.nodes_of("visayas-a") | &mesh.nodes_of("visayas-b");
    let near = &mesh.all() - &far;
    mesh.platform.cut_off.extend(&far);
    mesh.partition(near, far);
    mesh.run(60 * SECOND);
}

fn interrupt_platform(mesh: &mut Mesh) {
    mesh.platform.is_down = true;
    mesh.run(30 * SECOND);
    mesh.platform.is_down = false;
}

fn steady_scenarios() -> Vec<Scenario> {
    let mut scenarios: Vec<Scenario> = Vec::new();
    let tree = |fanout| Spread {
        fanout,
        ..Spread::default()
    };
    let polling = Spread {
        poll_all: true,
        ..Spread::default()
    };
    for hosts in [1000, 100, 10] {
        scenarios.push(Box::new(move || {
            measure_load("tree", hosts, Spread::default(), true)
        }));
        scenarios.push(Box::new(move || {
            measure_load("every node polls", hosts, polling, false)
        }));
        scenarios.push(Box::new(move || {
            measure_load("flat push", hosts, tree(usize::MAX), false)
        }));
    }
    scenarios.push(Box::new(move || {
        measure_load("tree of 32", 1000, tree(32), false)
    }));
    scenarios
}

fn measure_faults(hosts: usize, faults: &[(&str, Fault)]) -> Outcome {
    let mut mesh = start_mesh(hosts, Spread::default());
    let mut lines = Vec::new();
    let mut over = Vec::new();
    for (name, fault) in faults {
        let (line, bounds) = measure_fault(name, hosts, &mut mesh, fault);
        lines.push(line);
        over.extend(bounds.0);
    }
    (lines.join("\n"), Bounds(over))
}

fn fault_scenarios() -> Vec<Scenario> {
    let lost: [(&str, Fault); 2] = [
        ("half a domain, at once", kill_half),
        ("a domain, cold", kill_domain),
    ];
    let cut: [(&str, Fault); 3] = [
        ("both relays, at once", kill_relays),
        ("regions cut for a minute", partition_regions),
        ("platform down for 30 s", interrupt_platform),
    ];
    let mut scenarios: Vec<Scenario> = Vec::new();
    for hosts in [1000, 100, 10] {
        for fault in lost {
            scenarios.push(Box::new(move || measure_faults(hosts, &[fault])));
        }
    }
    for hosts in [100, 10] {
        scenarios.push(Box::new(move || measure_faults(hosts, &cut)));
    }
    scenarios
}

/// Runs scenarios in parallel, and returns their results in the order of the scenarios.
fn run(scenarios: &[Scenario]) -> Vec<Outcome> {
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
    let steady = steady_scenarios();
    let steady_count = steady.len();
    let scenarios: Vec<Scenario> = fault_scenarios().into_iter().chain(steady).collect();
    let fault_count = scenarios.len() - steady_count;
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
    for (line, _) in &found[fault_count..] {
        println!("{line}");
    }
    println!(
        "\n{:<26} {:>5} {:>8} {:>6} {:>6} {:>10} {:>10}",
        "fault", "hosts", "back ms", "reads", "writes", "max bytes", "link bytes"
    );
    for (line, _) in &found[..fault_count] {
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

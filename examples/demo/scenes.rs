//! The steps of the demo, which run one after the other.

use {
    crate::{
        callers::{Callers, Seen},
        mesh::Mesh,
        promises::Promises,
        standin::upstream::Faults,
    },
    mulberryshelf::types::Moment,
    serde_json::{Value, json},
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The time within which an accepted configuration has to be in force on every node.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// The time from a rollout's creation to its deadline.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(14);
/// The most requests that a bad version may receive; see docs/design/rollouts.md.
const BAD_REQUESTS_MAX: u64 = 200;
/// The time after the end of a rollout in which requests in flight may still reach a bad version.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The time from the start of a drain after which an upstream must not receive new requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Runs every step, and records the checks.
pub async fn play(mesh: &mut Mesh, promises: &mut Promises) {
    println!(
        "1. {} nodes start, and routes are accepted",
        mesh.hosts.len()
    );
    apply_routes(mesh, promises).await;
    println!("2. callers send requests that must run at most once");
    serve_requests(mesh, promises).await;
    println!("3. hub-2, a good version, is to take dispatch-hub over");
    roll_out(mesh, promises, "good", ("hub-1", "hub-2"), "completed").await;
    println!("4. hub-3, of which half of the answers are bad, is to follow");
    for host in mesh.hosts.iter().filter(|host| host.version == "hub-3") {
        host.upstream.fail(Faults {
            bad_permille: 500,
            ..Faults::default()
        });
    }
    roll_out(mesh, promises, "bad", ("hub-2", "hub-3"), "rolled-back").await;
    println!("5. an upstream drains and its node stops while requests run");
    stop_node(mesh, promises).await;
    let reverted = mesh.reverted();
    promises.check(
        "no node ever ran an older revision than before",
        reverted == 0,
        &format!("{reverted} times"),
    );
}

async fn apply(mesh: &Mesh, promises: &mut Promises, resources: Value) {
    let revision = match mesh.operator.apply(resources).await {
        Ok(revision) => revision,
        Err(answer) => return promises.check("the change is accepted", false, &answer.to_string()),
    };
    let elapsed = mesh.converged(revision, CONVERGENCE_TIMEOUT).await;
    let seen = elapsed.map_or("not yet".into(), |elapsed| {
        format!("{} ms", elapsed.as_millis())
    });
    let promise = format!("revision {revision} is in force everywhere within 6 s");
    promises.check(&promise, elapsed.is_some(), &seen);
}

async fn apply_routes(mesh: &Mesh, promises: &mut Promises) {
    let version = |name: &str, service: &str| json!({ "kind": "version", "metadata": { "name": name }, "spec": { "service": service } });
    let route = |service: &str, version: &str| {
        json!({
            "kind": "route",
            "metadata": { "name": service },
            "spec": { "service": service, "shares": { version: 1000 } },
        })
    };
    let resources = json!([
        version("desk-1", "resident-desk"),
        version("hub-1", "dispatch-hub"),
        version("hub-2", "dispatch-hub"),
        version("hub-3", "dispatch-hub"),
        route("resident-desk", "desk-1"),
        route("dispatch-hub", "hub-1"),
    ]);
    apply(mesh, promises, resources).await;
    let shown = mesh.operator.get("route", "dispatch-hub").await;
    promises.check(
        "the API shows the route as it was accepted",
        shown["spec"]["shares"] == json!({ "hub-1": 1000 }),
        &shown["spec"]["shares"].to_string(),
    );
    // The upstreams' announcements need this time to reach every node.
    tokio::time::sleep(Duration::from_secs(2)).await;
}

fn check_answers(mesh: &Mesh, promises: &mut Promises, seen: &Seen) {
    let upstreams: Vec<_> = mesh.hosts.iter().map(|host| &host.upstream).collect();
    let (twice, not_run) = seen.misrun(&upstreams);
    let sent = seen.sent.len();
    promises.check(
        "each caller has the whole answer to its own request, or a stated failure",
        seen.cut == 0,
        &format!("{} of {sent} cut or crossed", seen.cut),
    );
    promises.check(
        "no request runs twice",
        twice == 0,
        &format!("{twice} of {sent}"),
    );
    promises.check(
        "what is refused as not run has not run",
        not_run == 0,
        &format!("{not_run} of {} refusals", seen.refusals()),
    );
}

async fn serve_requests(mesh: &Mesh, promises: &mut Promises) {
    let ingresses = mesh.ingresses("desk-1");
    for service in ["dispatch-hub", "resident-desk"] {
        let callers = Callers::spawn(&ingresses, service);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let seen = callers.stop().await;
        check_answers(mesh, promises, &seen);
        promises.check(
            &format!("{service} answers"),
            seen.answered > 0 && seen.answered == seen.sent.len() as u64,
            &format!("{} of {} answered", seen.answered, seen.sent.len()),
        );
    }
}

/// Creates a rollout, sends requests until it ends, and checks how it ended.
async fn roll_out(
    mesh: &Mesh,
    promises: &mut Promises,
    name: &str,
    (from, to): (&str, &str),
    expected: &str,
) {
    let deadline = SystemTime::now() + ROLLOUT_TIMEOUT;
    let since = deadline.duration_since(UNIX_EPOCH).unwrap_or_default();
    let rollout = json!([{
        "kind": "rollout",
        "metadata": { "name": name },
        "spec": {
            "deadline": (Moment::default() + since).to_string(),
            "from": from,
            "route": "dispatch-hub",
            "to": to,
        },
    }]);
    apply(mesh, promises, rollout).await;
    let before = mesh.runs(to);
    let callers = Callers::spawn(&mesh.ingresses("desk-1"), "dispatch-hub");
    let end = wait_for_end(mesh, name).await;
    let ended_at = SystemTime::now();
    let run = mesh.runs(to) - before;
    tokio::time::sleep(SETTLE_TIME).await;
    let settled = mesh.runs(to);
    tokio::time::sleep(SETTLE_TIME).await;
    let late = mesh.runs(to) - settled;
    let seen = callers.stop().await;
    let permille = 1000 * run / seen.sent.len().max(1) as u64;
    let remaining = deadline.duration_since(ended_at).ok();
    let time = remaining.map_or("after the deadline".into(), |remaining| {
        format!("{:.1} s before the deadline", remaining.as_secs_f64())
    });
    println!(
        "  {to} ran {run} requests until the end, {permille}‰ of all; {} answers were bad",
        seen.bad
    );
    let promise = format!("the rollout to {to} ends as {expected} by its deadline");
    promises.check(
        &promise,
        end == expected && remaining.is_some(),
        &format!("{end}, {time}"),
    );
    check_answers(mesh, promises, &seen);
    if expected == "rolled-back" {
        promises.check(
            "a bad version gets a small share of the requests",
            (1..=BAD_REQUESTS_MAX).contains(&run),
            &format!("{run}, at most {BAD_REQUESTS_MAX}"),
        );
        promises.check(
            "and none soon after its end",
            late == 0,
            &format!("{late} from {} s after", SETTLE_TIME.as_secs()),
        );
    }
}

/// Waits until the end of a rollout is recorded and returns it. Returns `open` if none is recorded
/// within `ROLLOUT_TIMEOUT` and `SETTLE_TIME`.
async fn wait_for_end(mesh: &Mesh, name: &str) -> String {
    let started = Instant::now();
    while started.elapsed() < ROLLOUT_TIMEOUT + SETTLE_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let shown = mesh.operator.get("rollout", name).await;
        let end = shown
            .pointer("/status/outcome/end")
            .or(shown.pointer("/spec/outcome/end"));
        if let Some(end) = end.and_then(Value::as_str) {
            return end.into();
        }
    }
    "open".into()
}

/// Drains one of four upstreams of a version, then stops its node while callers send requests.
async fn stop_node(mesh: &mut Mesh, promises: &mut Promises) {
    let callers = Callers::spawn(&mesh.ingresses("desk-1"), "dispatch-hub");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let leaving = mesh
        .hosts
        .iter_mut()
        .find(|host| host.version == "hub-2")
        .expect("no host runs hub-2");
    leaving.handle.drain();
    tokio::time::sleep(DRAIN_TIME).await;
    let before = leaving.upstream.total();
    let sent = callers.sent();
    if let Some(node) = leaving.node.take() {
        node.stop().await;
    }
    let late = leaving.upstream.total() - before;
    let name = leaving.name.clone();
    let seen = callers.stop().await;
    println!(
        "  {name} has left; {} requests were sent after its 2 s",
        seen.sent.len() - sent
    );
    promises.check(
        "a leaving upstream gets no new work after 2 s",
        late == 0,
        &format!("{late} requests"),
    );
    check_answers(mesh, promises, &seen);
    promises.check(
        "a planned stop cuts and refuses nothing",
        seen.answered == seen.sent.len() as u64,
        &format!("{} of {} answered", seen.answered, seen.sent.len()),
    );
}

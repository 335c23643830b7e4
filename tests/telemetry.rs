//! The catalogue lists every counter, log lines are written for changes of state only, and the admin
//! port shows the state of a node.

use {
    crate::test_mesh::{TestMesh, eventually, route_to},
    mulberryshelf::{
        control::Event,
        event_log::StateChange,
        reachability::Reachability,
        rollout::outcome::End,
        source::TransactionOutcome,
        telemetry::{
            Telemetry,
            catalogue::{COUNTERS, is_known},
        },
        types::Revision,
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::{SocketAddr, UdpSocket},
        path::Path,
    },
};

const PAGE: &str = include_str!("../docs/metrics.md");

/// Returns all string literals of the sources except those of the catalogue.
fn string_literals(directory: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(string_literals(&path));
        } else if !path.ends_with("catalogue.rs") {
            let text = fs::read_to_string(&path).unwrap();
            let lines = text.lines();
            found.extend(
                lines.flat_map(|line| line.split('"').skip(1).step_by(2).map(String::from)),
            );
        }
    }
    found
}

/// Returns the literals that name counters, which begin with the same part as one of the catalogue.
fn counter_literals() -> Vec<String> {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut names = string_literals(&sources);
    names.retain(|name| {
        let is_name_byte = |byte: u8| byte.is_ascii_lowercase() || b".-{}()".contains(&byte);
        let group = name.split_once('.').map(|(group, _)| format!("{group}."));
        name.bytes().all(is_name_byte)
            && group.is_some_and(|group| {
                COUNTERS
                    .iter()
                    .any(|counter| counter.name.starts_with(&group))
            })
    });
    names
}

/// Returns whether a name in the code, in which braces stand for any text, can produce a listed name.
fn can_produce(pattern: &str, name: &str) -> bool {
    let Some((prefix, rest)) = pattern.split_once('{') else {
        return pattern == name;
    };
    let suffix = rest.split_once('}').map_or("", |(_, suffix)| suffix);
    let Some(rest) = name.strip_prefix(prefix) else {
        return false;
    };
    (0..=rest.len())
        .filter(|index| rest.is_char_boundary(*index))
        .any(|index| index > 0 && can_produce(suffix, &rest[index..]))
}

#[test]
fn page_lists_every_counter() {
    let rows: Vec<&str> = PAGE
        .lines()
        .skip_while(|line| !line.starts_with("| `"))
        .take_while(|line| !line.is_empty())
        .collect();
    let counters: Vec<String> = COUNTERS.iter().map(ToString::to_string).collect();
    assert_eq!(rows, counters);
}

#[test]
fn every_counter_in_the_code_is_listed() {
    let unlisted: Vec<String> = counter_literals()
        .into_iter()
        .filter(|name| {
            !COUNTERS
                .iter()
                .any(|counter| can_produce(name, counter.name))
        })
        .collect();
    assert!(unlisted.is_empty(), "{unlisted:?}");
}

#[test]
fn every_listed_counter_is_in_the_code() {
    let names = counter_literals();
    let unused: Vec<&str> = COUNTERS
        .iter()
        .map(|counter| counter.name)
        .filter(|listed| !names.iter().any(|name| can_produce(name, listed)))
        .collect();
    assert!(unused.is_empty(), "{unused:?}");
}

#[test]
fn unlisted_names_are_unknown() {
    for known in [
        "link.sent.bytes",
        "retry.leaving",
        "refused.not-run.no-route",
    ] {
        assert!(is_known(known), "{known}");
    }
    for unknown in ["", "link", "link.sent", "link.sent.bytes.more", "retry."] {
        assert!(!is_known(unknown), "{unknown}");
    }
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "is not in the catalogue")]
fn counting_an_unlisted_counter_panics() {
    Telemetry::open(None).unwrap().count("link.no-such");
}

#[test]
fn counters_are_sent_to_statsd_and_kept_in_totals() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let telemetry = Telemetry::open(Some(server.local_addr().unwrap())).unwrap();
    telemetry.count("stop.timeout");
    telemetry.add("link.sent.bytes", 7);
    let mut buffer = [0; 512];
    let length = server.recv(&mut buffer).unwrap();
    assert_eq!(&buffer[..length], b"mulberryshelf.stop.timeout:1|c");
    assert_eq!(telemetry.totals()["link.sent.bytes"], 7);
}

#[test]
fn platform_loss_and_recovery_are_reported_once_each() {
    let mut reach = Reachability::default();
    let mut learn = |event| reach.update(&event);
    let transacted = |outcome| Event::Transacted(Revision(1), outcome);
    assert_eq!(learn(transacted(TransactionOutcome::Committed)), None);
    assert_eq!(
        learn(Event::ReadFinished(None)),
        Some(StateChange::PlatformLost)
    );
    assert_eq!(learn(Event::ReadFinished(None)), None);
    assert_eq!(learn(transacted(TransactionOutcome::Unknown)), None);
    assert_eq!(learn(Event::Tick), None);
    let back = learn(transacted(TransactionOutcome::Conflict));
    assert_eq!(back, Some(StateChange::PlatformBack));
    assert_eq!(learn(transacted(TransactionOutcome::Committed)), None);
}

#[test]
fn lines_name_the_step_and_the_peer() {
    let host = || "b1".parse().unwrap();
    let changes = [
        StateChange::Announced("dispatch-hub".parse().unwrap(), "hub-1".parse().unwrap()),
        StateChange::Connected(host()),
        StateChange::Aborted(2),
        StateChange::Disconnected(host()),
        StateChange::InForce(Revision(7)),
        StateChange::LeaseExpired,
        StateChange::Leaving,
        StateChange::PlatformBack,
        StateChange::PlatformLost,
        StateChange::RolloutEnded("hub".parse().unwrap(), End::RolledBack),
        StateChange::Started,
        StateChange::Stopped,
        StateChange::Stopping,
    ];
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

async fn get(admin: SocketAddr, path: &str) -> Value {
    let url = format!("http://{admin}/{path}");
    tokio::task::spawn_blocking(move || {
        let mut response = ureq::get(url).call().unwrap();
        serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
    })
    .await
    .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_counters_show_the_state_of_the_node() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let admin = test.hosts[0].node.admin_address();
    assert_eq!(get(admin, "health").await["state"], "starting");
    test.apply(0, route_to("resident-desk", "desk-1")).await;
    let handle = test.hosts[0].node.handle().clone();
    eventually(|| {
        handle.reachability() == Reachability::Reached && handle.snapshot().revision == Revision(1)
    })
    .await;
    let health = get(admin, "health").await;
    assert_eq!(health["state"], "serving");
    assert_eq!(health["platform"], "reached");
    assert_eq!(health["resourceVersion"], 1);
    assert_eq!(health["upstream"], "ready");
    assert_eq!(get(admin, "counters").await["source.committed"], json!(1));
    test.platform.fail(crate::standin::platform::Faults {
        down: true,
        ..Default::default()
    });
    eventually(|| handle.reachability() == Reachability::Lost).await;
    assert_eq!(get(admin, "health").await["state"], "degraded");
    test.platform
        .fail(crate::standin::platform::Faults::default());
    eventually(|| handle.reachability() == Reachability::Reached).await;
}

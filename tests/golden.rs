//! Golden files of whole sessions, replayed against a node and compared byte for byte.

use {
    crate::test::{Test, eventually},
    std::{fmt::Write, net::SocketAddr},
};

const SESSION: &str = include_str!("golden/api.txt");
const PAGE: &str = include_str!("../docs/api.md");

/// Sends a request, and gives the status and the body as it is.
fn send(address: SocketAddr, request: &str) -> (u16, String) {
    let (line, body) = request.split_once('\n').unwrap_or((request, ""));
    let (method, path) = line.split_once(' ').unwrap();
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", "Bearer write")
        .body(body.to_string())
        .unwrap();
    let mut answer = agent.run(request).unwrap();
    let text = answer.body_mut().read_to_string().unwrap();
    (answer.status().as_u16(), text)
}

/// Gives the requests of a session, without the answers.
fn requests() -> Vec<String> {
    let parts = SESSION.split("\n\n").filter(|part| !part.trim().is_empty());
    let request = |part: &str| {
        let lines = part.lines().filter_map(|line| line.strip_prefix("> "));
        lines.collect::<Vec<_>>().join("\n")
    };
    parts.map(request).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn session_of_the_api_is_as_recorded() {
    let test = Test::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let address = test.hosts[0].node.api();
    let mut played = String::new();
    for request in requests() {
        let handle = test.hosts[0].node.handle();
        eventually(|| {
            let revision = handle.snapshot().revision;
            let coverage = handle.coverage();
            !coverage.is_empty() && coverage.values().all(|held| held.revision == revision)
        })
        .await;
        let sent = request.clone();
        let (status, body) = tokio::task::spawn_blocking(move || send(address, &sent))
            .await
            .unwrap();
        for line in request.lines() {
            writeln!(played, "> {line}").unwrap();
        }
        writeln!(played, "< {status}").unwrap();
        for line in body.lines() {
            writeln!(played, "< {line}").unwrap();
        }
        played.push('\n');
    }
    // What was played is kept, for whoever has to look at a difference.
    let path = format!("{}/api.txt", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(path, &played).unwrap();
    assert_eq!(played, SESSION);
}

#[test]
fn page_of_the_api_shows_the_recorded_session() {
    assert!(PAGE.contains(SESSION.trim()), "docs/api.md is out of date");
}

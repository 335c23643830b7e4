//! Replays the recorded API session against a node and compares every answer byte for byte.

use {
    crate::test_mesh::{TestMesh, eventually},
    std::{fmt::Write, net::SocketAddr},
};

const SESSION: &str = include_str!("golden/api.txt");
const API_PAGE: &str = include_str!("../docs/api.md");

/// Sends a request, and returns the status and the unparsed body.
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

/// Returns the requests of the recorded session without the answers.
fn session_requests() -> Vec<String> {
    let parts = SESSION.split("\n\n").filter(|part| !part.trim().is_empty());
    let request = |part: &str| {
        let lines = part.lines().filter_map(|line| line.strip_prefix("> "));
        lines.collect::<Vec<_>>().join("\n")
    };
    parts.map(request).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn api_session_matches_the_recording() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let address = test.hosts[0].node.api_address();
    let mut replayed = String::new();
    for request in session_requests() {
        let handle = test.hosts[0].node.handle();
        eventually(|| {
            let revision = handle.snapshot().revision;
            let coverage = handle.coverage();
            !coverage.is_empty() && coverage.values().all(|domain| domain.revision == revision)
        })
        .await;
        let sent = request.clone();
        let (status, body) = tokio::task::spawn_blocking(move || send(address, &sent))
            .await
            .unwrap();
        for line in request.lines() {
            writeln!(replayed, "> {line}").unwrap();
        }
        writeln!(replayed, "< {status}").unwrap();
        for line in body.lines() {
            writeln!(replayed, "< {line}").unwrap();
        }
        replayed.push('\n');
    }
    // Keep the replayed session, so that it can be compared with the recording if they differ.
    let path = format!("{}/api.txt", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(path, &replayed).unwrap();
    assert_eq!(replayed, SESSION);
}

#[test]
fn api_page_contains_the_recorded_session() {
    assert!(
        API_PAGE.contains(SESSION.trim()),
        "docs/api.md is out of date"
    );
}

//! Tests of the resource API: changes, refusals that name every fault, watches and reported status.

use {
    crate::{
        standin::platform::Faults,
        test_mesh::{TestMesh, eventually, route_to, wait_reported},
    },
    insta::assert_snapshot,
    mulberryshelf::api::{Apply, BODY_BYTES_MAX, Target},
    proptest::prelude::*,
    serde_json::{Value, json},
    std::{
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Sends a request, and returns the status and the body, which is a string if it is not JSON.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: impl ToString,
) -> (u16, Value) {
    let (method, path) = (method.to_string(), path.to_string());
    let (token, body) = (token.to_string(), body.to_string());
    tokio::task::spawn_blocking(move || {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .build();
        let agent: ureq::Agent = config.into();
        let request = ureq::http::Request::builder()
            .method(method.as_str())
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {token}"))
            .body(body)
            .unwrap();
        let mut response = agent.run(request).unwrap();
        let text = response.body_mut().read_to_string().unwrap();
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        (response.status().as_u16(), value)
    })
    .await
    .unwrap()
}

async fn one_host() -> (TestMesh, SocketAddr) {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let address = test.hosts[0].node.api_address();
    (test, address)
}

fn version(name: &str) -> Value {
    json!({ "kind": "version", "metadata": { "name": name }, "spec": { "service": "desk" } })
}

fn faults(body: &Value) -> String {
    let lines = body["faults"].as_array().unwrap().iter().map(|fault| {
        let part = |name: &str| fault[name].as_str().unwrap();
        format!(
            "{} {}: {}",
            part("resource"),
            part("field"),
            part("message")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn one_answer_names_every_fault() {
    let (_test, address) = one_host().await;
    let body = r#"{
      "operation": "a b",
      "resorces": [],
      "resources": [
        { "kind": "version", "metadata": { "name": "desk-1" }, "spec": { "service": "desk" } },
        { "kind": "version", "metadata": { "name": "hub-1" }, "spec": { "service": "hub" } },
        { "kind": "version", "metadata": { "name": "bad" }, "spec": { "service": 7 } },
        {
          "kind": "route",
          "metadata": { "name": "one", "resourceVersion": -1 },
          "spec": { "service": "desk", "path": "x", "shares": { "desk-1": "half", "A": 70000 } }
        },
        {
          "kind": "route",
          "metadata": { "name": "two" },
          "spec": { "service": "desk", "shares": { "desk-1": 600, "hub-1": 300, "gone": 50, "bad": 1 } }
        },
        {
          "kind": "route",
          "metadata": { "name": "three" },
          "spec": { "service": "desk", "shares": { "desk-1": 1000 } }
        },
        {
          "kind": "rollout",
          "metadata": { "name": "late" },
          "spec": {
            "route": "three", "from": "desk-1", "to": "desk-1", "deadline": "2001-01-01T00:00:00Z"
          }
        },
        {
          "kind": "rollout",
          "metadata": { "name": "odd" },
          "spec": { "route": "three", "from": "desk-1", "deadline": "soon", "preference": "fast" }
        },
        { "kind": "limits", "metadata": { "name": "nobody" }, "spec": { "timeout_ms": 0, "queu": 1 } },
        { "kind": "limits", "metadata": { "name": "unheard" }, "spec": { "timeout_ms": 0 } },
        { "kind": "roote", "metadata": { "name": "Big" }, "spec": {} },
        { "kind": "version", "kind": "version", "metadata": { "name": "desk-1" }, "spec": { "service": "desk" } },
        7
      ],
      "delete": [{ "kind": "route", "name": "absent" }, { "kind": "route" }]
    }"#;
    let (status, answer) = send(address, "POST", "/v1/apply", "write", body).await;
    assert_eq!(status, 422, "{answer}");
    assert_snapshot!(faults(&answer), @r"
     resorces: is no field here: did you mean `resources`?
     operation: must be 1 to 64 of A-Z, a-z, 0-9, `-`, `_`, `.`
    version/bad spec.service: must be a string, not a number
    route/one metadata.resourceVersion: must be a whole number, not a negative or fractional number
    route/one spec.path: does not begin with `/`
    route/one spec.shares.desk-1: must be a whole number, not a string
    route/one spec.shares.A: 70000 is too large
    route/one spec.shares.A: `A` is not a name: 1 to 63 of a-z, 0-9 and `-`, beginning and ending with a letter or digit
    rollout/odd spec.deadline: must be a time such as `2026-05-01T12:00:00Z`
    rollout/odd spec.preference: must be `completion` or `rollback`
    rollout/odd spec.to: is missing
    limits/nobody spec.queu: is no field here: did you mean `queue`?
     resources[10].kind: unknown kind `roote`: one of limits, rollout, route, version
     resources[10].metadata.name: `Big` is not a name: 1 to 63 of a-z, 0-9 and `-`, beginning and ending with a letter or digit
    version/desk-1 kind: is given more than once
     resources[12]: must be an object, not a number
     delete[1].name: is missing
    limits/nobody spec.timeout_ms: must be at least 1
    limits/unheard spec.timeout_ms: must be at least 1
    rollout/late spec.deadline: 2001-01-01T00:00:00Z has passed
    rollout/late spec.to: is the version that it moves from
    route/absent metadata.resourceVersion: does not exist
    route/three spec.path: `/` is the path of route/two already
    route/two spec.path: `/` is the path of route/three already
    route/two spec.shares: add up to 951, not 1000
    route/two spec.shares.gone: refers to version/gone, which does not exist
    route/two spec.shares.hub-1: refers to version/hub-1, which is of service hub, not desk
    version/desk-1 metadata.name: is given twice
    ");
    let (_, list) = send(address, "GET", "/v1/version", "read", "").await;
    assert_eq!(list["items"], json!([]), "nothing was applied");
}

#[tokio::test(flavor = "multi_thread")]
async fn resource_is_created_replaced_and_deleted_under_preconditions() {
    let (_test, address) = one_host().await;
    let (status, created) = send(address, "POST", "/v1/version", "write", version("v1")).await;
    assert_eq!((status, &created["resourceVersion"]), (201, &json!(1)));
    let (status, again) = send(address, "POST", "/v1/version", "write", version("v1")).await;
    assert_eq!(status, 409, "{again}");
    let mut next = version("v1");
    next["spec"]["service"] = json!("hub");
    next["metadata"]["resourceVersion"] = json!(7);
    let (status, answer) = send(address, "PUT", "/v1/version/v1", "write", &next).await;
    assert_eq!(status, 409);
    assert_eq!(
        faults(&answer),
        "version/v1 metadata.resourceVersion: is at 1, not 7"
    );
    next["metadata"]["resourceVersion"] = json!(1);
    let (status, _) = send(address, "PUT", "/v1/version/v1", "write", &next).await;
    assert_eq!(status, 200);
    let (_, held) = send(address, "GET", "/v1/version/v1", "read", "").await;
    assert_eq!(held["spec"]["service"], "hub");
    let stale = "/v1/version/v1?resourceVersion=1";
    let (status, _) = send(address, "DELETE", stale, "write", "").await;
    assert_eq!(status, 409);
    let fresh = "/v1/version/v%31?resourceVersion=2&operation=bye";
    let (status, gone) = send(address, "DELETE", fresh, "write", "").await;
    assert_eq!((status, &gone["resourceVersion"]), (200, &json!(3)));
    let (status, _) = send(address, "GET", "/v1/version/v1", "read", "").await;
    assert_eq!(status, 404);
    let (status, again) = send(address, "DELETE", fresh, "write", "").await;
    assert_eq!(
        (status, again),
        (200, gone),
        "a repeated operation returns the same revision"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn read_token_cannot_write() {
    let (_test, address) = one_host().await;
    for (token, method, path, expected) in [
        ("none", "GET", "/v1/version", 401),
        ("", "GET", "/v1/version", 401),
        ("read", "GET", "/v1/version", 200),
        ("write", "GET", "/v1/version", 200),
        ("read", "POST", "/v1/version", 403),
        ("read", "DELETE", "/v1/version/v1", 403),
        ("read", "POST", "/v1/drain", 403),
        ("read", "POST", "/v1/apply", 403),
    ] {
        let (status, answer) = send(address, method, path, token, version("v1")).await;
        assert_eq!(status, expected, "{token} {method} {path}: {answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_with_the_reason() {
    let (test, address) = one_host().await;
    let long = " ".repeat(usize::try_from(BODY_BYTES_MAX).unwrap() + 1);
    for (method, path, body, expected, title) in [
        ("POST", "/v1/apply", "{", 400, "the body is not JSON"),
        ("POST", "/v1/apply", "{} {}", 400, "the body is not JSON"),
        (
            "POST",
            "/v1/apply",
            &long,
            413,
            "the body is longer than 1048576 bytes",
        ),
        (
            "GET",
            "/v1/route?wach=true",
            "",
            400,
            "the query is malformed",
        ),
        (
            "GET",
            "/v1/route?watch=true&watch=true",
            "",
            400,
            "the parameter `watch`",
        ),
        (
            "GET",
            "/v1/route?watch&resourceVersion=x",
            "",
            400,
            "the query is malformed",
        ),
        ("GET", "/v1/%ff", "", 400, "the path or query is not UTF-8"),
        ("GET", "/v1/rute", "", 404, "unknown kind `rute`"),
        ("PATCH", "/v1/route/r", "", 405, "the method is not allowed"),
        ("GET", "/v2", "", 404, "there is nothing here"),
    ] {
        let (status, answer) = send(address, method, path, "write", body).await;
        let found = answer["title"].as_str().unwrap_or_default();
        assert_eq!(status, expected, "{method} {path}: {answer}");
        assert!(found.starts_with(title), "{method} {path}: {found}");
    }
    let counters = test.hosts[0].node.handle().telemetry().totals();
    assert_eq!(counters["api.refused.413"], 1);
}

/// A watch that reads its response line by line.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn open(address: SocketAddr, path: &str) -> Self {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer read\r\n\r\n"
        )
        .unwrap();
        Self(BufReader::new(stream))
    }

    /// Returns the next line that is JSON, or `None` at the end of the stream.
    fn next(&mut self) -> Option<Value> {
        loop {
            let mut line = String::new();
            let count = self.0.read_line(&mut line).unwrap();
            if count == 0 || line == "0\r\n" {
                return None;
            }
            if line.starts_with('{') {
                return Some(serde_json::from_str(&line).unwrap());
            }
        }
    }

    /// Returns a summary of the next line, or `end` at the end of the stream.
    fn next_summary(&mut self) -> String {
        let Some(line) = self.next() else {
            return "end".into();
        };
        let metadata = &line["object"]["metadata"];
        match line["type"].as_str().unwrap() {
            "BOOKMARK" => format!("BOOKMARK {}", line["resourceVersion"]),
            kind => format!(
                "{kind} {} {}",
                metadata["name"], metadata["resourceVersion"]
            ),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_streams_changes_and_can_be_resumed() {
    let (test, address) = one_host().await;
    test.apply(0, json!([version("v1"), version("v2")])).await;
    let mut watch = Watch::open(address, "/v1/version?watch=true");
    assert_eq!(watch.next_summary(), r#"PUT "v1" 1"#);
    assert_eq!(watch.next_summary(), r#"PUT "v2" 1"#);
    assert_eq!(watch.next_summary(), "BOOKMARK 1");
    test.apply(0, json!([version("v3")])).await;
    assert_eq!(watch.next_summary(), r#"PUT "v3" 2"#);
    assert_eq!(watch.next_summary(), "BOOKMARK 2");
    drop(watch);
    send(address, "DELETE", "/v1/version/v1", "write", "").await;
    test.apply(0, json!([version("v4")])).await;
    let path = "/v1/version?watch=true&resourceVersion=2&timeoutSeconds=1";
    let mut watch = Watch::open(address, path);
    let mut lines = Vec::new();
    loop {
        match watch.next_summary().as_str() {
            "end" => break,
            line if line.starts_with("BOOKMARK") => {}
            line => lines.push(line.to_string()),
        }
    }
    assert_eq!(lines, [r#"DELETE "v1" 3"#, r#"PUT "v4" 4"#]);
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_from_a_revision_that_is_too_old_gets_the_oldest_one() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    for name in ["v1", "v2", "v3"] {
        test.apply(0, json!([version(name)])).await;
    }
    // With the platform down, the second node gets a snapshot from the first one, without deletions.
    test.platform.fail(Faults {
        down: true,
        ..Faults::default()
    });
    let test = test.host("a2", "luzon-a", "resident-desk", "desk-1").await;
    eventually(|| test.hosts[1].node.handle().snapshot().revision.0 == 3).await;
    let address = test.hosts[1].node.api_address();
    let path = "/v1/version?watch=true&resourceVersion=1&timeoutSeconds=3";
    let (status, answer) = send(address, "GET", path, "read", "").await;
    assert_eq!(status, 410);
    assert_eq!(answer["oldestResourceVersion"], 3);
    let mut watch = Watch::open(address, "/v1/version?watch=true&resourceVersion=3");
    assert_eq!(watch.next_summary(), "BOOKMARK 3");
}

#[tokio::test(flavor = "multi_thread")]
async fn quiet_watch_gets_heartbeats() {
    let (_test, address) = one_host().await;
    let mut watch = Watch::open(address, "/v1/route?watch=true&timeoutSeconds=8");
    assert_eq!(watch.next_summary(), "BOOKMARK 0");
    assert_eq!(watch.next_summary(), "BOOKMARK 0", "a heartbeat");
    assert_eq!(watch.next_summary(), "end");
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_ends_its_watches() {
    let (mut test, address) = one_host().await;
    let mut watch = Watch::open(address, "/v1/route?watch=true");
    assert_eq!(watch.next_summary(), "BOOKMARK 0");
    let host = test.hosts.remove(0);
    host.node.stop().await;
    assert_eq!(watch.next_summary(), "end");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_each_domain_and_names_those_out_of_reach() {
    let mut test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("b1", "luzon-b", "dispatch-hub", "hub-1")
        .await;
    let address = test.hosts[0].node.api_address();
    let handle = test.hosts[0].node.handle().clone();
    test.apply(0, route_to("dispatch-hub", "hub-1")).await;
    let all = |reached: bool, revision: u64| {
        let coverage = handle.coverage();
        coverage.len() == 2
            && coverage.values().any(|held| held.reached == reached)
            && coverage.values().any(|held| held.revision.0 >= revision)
            && (!reached || coverage.values().all(|held| held.revision.0 >= revision))
    };
    eventually(|| all(true, 1)).await;
    let host = test.hosts.remove(1);
    host.node.stop().await;
    eventually(|| all(false, 1)).await;
    test.apply(0, json!([version("v2")])).await;
    wait_reported(&handle, "luzon-a", 2).await;
    let (_, old) = send(address, "GET", "/v1/route/dispatch-hub", "read", "").await;
    let (_, new) = send(address, "GET", "/v1/version/v2", "read", "").await;
    let conditions = |document: &Value| {
        let list = document["status"]["conditions"].as_array().unwrap();
        let part =
            |condition: &Value, name: &str| condition[name].as_str().unwrap_or("-").to_string();
        let lines = list.iter().map(|condition| {
            let names = ["type", "domain", "status", "reason"];
            names.map(|name| part(condition, name)).join(" ")
        });
        lines.collect::<Vec<_>>()
    };
    assert_eq!(
        conditions(&old),
        [
            "Accepted - True InTable",
            "InForce luzon-a True Reported",
            "InForce luzon-b True OutOfReach"
        ]
    );
    assert_eq!(
        conditions(&new),
        [
            "Accepted - True InTable",
            "InForce luzon-a True Reported",
            "InForce luzon-b Unknown OutOfReach"
        ]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_lost_answer_is_reported_and_can_be_looked_up() {
    let (test, address) = one_host().await;
    test.platform.fail(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let body = json!({ "operation": "op-1", "resources": [version("v1")] });
    let (status, answer) = send(address, "POST", "/v1/apply", "write", &body).await;
    assert_eq!(
        (status, &answer["outcome"]),
        (200, &json!("accepted")),
        "{answer}"
    );
    let (status, found) = send(address, "GET", "/v1/operations/op-1", "read", "").await;
    assert_eq!(
        (status, &found["resourceVersion"]),
        (200, &answer["resourceVersion"])
    );
    let (status, _) = send(address, "GET", "/v1/operations/op-2", "read", "").await;
    assert_eq!(status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn operation_fails_while_the_platform_is_down_and_succeeds_afterwards() {
    let (test, address) = one_host().await;
    test.platform.fail(Faults {
        down: true,
        ..Faults::default()
    });
    let counters = || test.hosts[0].node.handle().telemetry().totals();
    eventually(|| counters().contains_key("source.read.failed")).await;
    let body = json!({ "operation": "op-1", "resources": [version("v1")] });
    let (status, answer) = send(address, "POST", "/v1/apply", "write", &body).await;
    assert_eq!(status, 503, "{answer}");
    test.platform.fail(Faults::default());
    let (status, answer) = send(address, "POST", "/v1/apply", "write", &body).await;
    assert_eq!((status, &answer["resourceVersion"]), (200, &json!(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn same_operation_at_two_nodes_gets_one_revision() {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await
        .host("b1", "luzon-b", "dispatch-hub", "hub-1")
        .await;
    let body = json!({ "operation": "op-1", "resources": [version("v1")] });
    let (first, second) = tokio::join!(
        send(
            test.hosts[0].node.api_address(),
            "POST",
            "/v1/apply",
            "write",
            &body
        ),
        send(
            test.hosts[1].node.api_address(),
            "POST",
            "/v1/apply",
            "write",
            &body
        ),
    );
    assert_eq!(first.0, 200);
    assert_eq!(first, second);
    let reused = json!({ "operation": "op-1", "resources": [version("v2")] });
    let (status, answer) = send(
        test.hosts[1].node.api_address(),
        "POST",
        "/v1/apply",
        "write",
        &reused,
    )
    .await;
    assert_eq!(status, 422, "{answer}");
    assert_eq!(answer["faults"][0]["field"], "operation");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_rollout_operation_has_the_same_result() {
    let (test, address) = one_host().await;
    let mut resources = route_to("desk", "v1");
    let list = resources.as_array_mut().unwrap();
    list.push(version("v2"));
    test.apply(0, resources).await;
    let rollout = json!({
        "kind": "rollout",
        "metadata": { "name": "move" },
        "spec": { "route": "desk", "from": "v1", "to": "v2", "deadline": "2100-01-01T00:00:00Z" },
    });
    let body = json!({ "operation": "op-1", "resources": [rollout] });
    let first = send(address, "POST", "/v1/apply", "write", &body).await;
    assert_eq!(first.0, 200, "{}", first.1);
    let (_, shown) = send(address, "GET", "/v1/rollout/move", "read", "").await;
    assert_eq!(shown["status"]["phase"], "Progressing", "{shown}");
    // A node that applied the operation again after the deletion would fill in another start time.
    let (status, answer) = send(address, "DELETE", "/v1/rollout/move", "write", "").await;
    assert_eq!(status, 200, "{answer}");
    let again = send(address, "POST", "/v1/apply", "write", &body).await;
    assert_eq!(first, again);
}

fn arbitrary_json() -> impl Strategy<Value = Value> {
    let words = prop_oneof![
        Just("kind"),
        Just("metadata"),
        Just("name"),
        Just("spec"),
        Just("shares"),
        Just("resources"),
        Just("delete"),
        Just("operation"),
        Just("resourceVersion"),
        Just("service"),
        Just("path"),
        Just("route"),
        Just("version"),
        Just("rollout"),
        Just("limits"),
        Just("deadline"),
        Just("from"),
        Just("to"),
        Just("queue"),
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        words.clone().prop_map(Value::from),
    ];
    leaf.prop_recursive(6, 64, 6, move |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            proptest::collection::btree_map(words.clone().prop_map(String::from), inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn any_body_is_read_or_refused(json in arbitrary_json(), cut in 0_usize..400) {
        let text = json.to_string();
        if let Ok(apply) = Apply::parse(&text) {
            prop_assert!(!apply.faults.is_empty() || apply.changes.len() <= 64);
        }
        let _ = Apply::parse_single_change(&text);
        let cut = text.floor_char_boundary(cut.min(text.len()));
        let _ = Apply::parse(&text[..cut]);
    }

    #[test]
    fn any_text_is_read_or_refused(text in ".{0,200}") {
        let _ = Apply::parse(&text);
        let _ = Target::parse(&text);
    }
}

#[test]
fn nested_and_numerous_values_are_refused() {
    let deep = "[".repeat(100_000);
    assert!(Apply::parse(&deep).is_err());
    let many = format!("[{}0]", "0,".repeat(400_000));
    let error = Apply::parse(&many).unwrap_err().to_string();
    assert!(
        error.starts_with("it holds more than 100000 values"),
        "{error}"
    );
}

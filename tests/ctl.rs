//! Tests of `mulberryctl`: its output and its exit codes.

use {
    crate::{
        standin::platform::Faults,
        test_mesh::{TestMesh, route_to, wait_reported},
    },
    mulberryshelf::{
        ctl,
        resource::{Change, Key, Kind, Route, Spec},
        rollout::outcome::{End, Outcome},
        source::{Operation, OperationStatus},
        types::Permille,
    },
    serde_json::{Value, json},
    std::net::SocketAddr,
    tempfile::TempDir,
};

/// A command's exit code, output and error report.
type CommandResult = (u8, String, String);

/// Runs commands against nodes, with a directory for the commands' files.
struct Client {
    directory: TempDir,
    nodes: Vec<SocketAddr>,
}

impl Client {
    fn new(nodes: Vec<SocketAddr>) -> Self {
        let directory = TempDir::new().unwrap();
        std::fs::write(directory.path().join("token"), "write\n").unwrap();
        Self { directory, nodes }
    }

    fn file(&self, name: &str, value: &Value) -> String {
        let path = self.directory.path().join(name);
        std::fs::write(&path, value.to_string()).unwrap();
        path.display().to_string()
    }

    async fn run(&self, arguments: &[&str]) -> CommandResult {
        let nodes: Vec<String> = self.nodes.iter().map(ToString::to_string).collect();
        let token = self.directory.path().join("token").display().to_string();
        let own = ["--node", &nodes.join(","), "--token-file", &token].map(String::from);
        let arguments = arguments.iter().map(ToString::to_string).chain(own);
        execute(arguments.collect()).await
    }
}

async fn execute(arguments: Vec<String>) -> CommandResult {
    tokio::task::spawn_blocking(move || {
        let (mut out, mut report) = (Vec::new(), Vec::new());
        let code = ctl::execute(&arguments, &mut out, &mut report);
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (code, text(out), text(report))
    })
    .await
    .unwrap()
}

async fn one_host() -> (TestMesh, Client) {
    let test = TestMesh::new()
        .host("a1", "luzon-a", "resident-desk", "desk-1")
        .await;
    let client = Client::new(vec![test.hosts[0].node.api_address()]);
    (test, client)
}

fn version(name: &str) -> Value {
    json!({ "kind": "version", "metadata": { "name": name }, "spec": { "service": "desk" } })
}

#[tokio::test(flavor = "multi_thread")]
async fn resources_are_applied_shown_and_deleted() {
    let (test, client) = one_host().await;
    let file = client.file("all.json", &route_to("desk", "v1"));
    let (code, out, report) = client.run(&["apply", "-f", &file]).await;
    assert_eq!(
        (code, out.as_str()),
        (ctl::DONE, "accepted as 1\n"),
        "{report}"
    );
    wait_reported(test.hosts[0].node.handle(), "luzon-a", 1).await;
    let (code, out, _) = client.run(&["list", "route"]).await;
    assert_eq!(code, ctl::DONE);
    insta::assert_snapshot!(out, @r#"
    KIND   NAME  VERSION  IN FORCE  SPEC
    route  desk  1        1/1       {"path":"/","service":"desk","shares":{"v1":1000}}
    "#);
    let (code, out, _) = client
        .run(&["get", "version", "v1", "--output", "json"])
        .await;
    let document: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &document["metadata"]["name"]),
        (ctl::DONE, &json!("v1"))
    );
    let (code, _, report) = client.run(&["delete", "version", "v1"]).await;
    assert_eq!(code, ctl::REFUSED);
    assert!(
        report.contains("is referred to by spec.shares.v1 of route/desk"),
        "{report}"
    );
    let (code, _, _) = client
        .run(&["delete", "route", "desk", "--resource-version", "9"])
        .await;
    assert_eq!(code, ctl::REFUSED);
    let (code, out, _) = client
        .run(&["delete", "route", "desk", "--resource-version", "1"])
        .await;
    assert_eq!((code, out.as_str()), (ctl::DONE, "deleted as 2\n"));
    let (code, out, _) = client.run(&["status"]).await;
    assert_eq!(code, ctl::DONE);
    assert!(out.contains("luzon-a"), "{out}");
    let (code, out, _) = client.run(&["drain"]).await;
    assert_eq!((code, out.as_str()), (ctl::DONE, "draining\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_names_every_fault() {
    let (_test, client) = one_host().await;
    let mut route = route_to("desk", "v1");
    route[1]["spec"]["shares"] = json!({ "v1": 1, "v2": 2 });
    let file = client.file("bad.json", &route);
    let (code, _, report) = client.run(&["apply", "-f", &file]).await;
    assert_eq!(code, ctl::REFUSED);
    for fault in [
        "spec.shares: add up to 3",
        "spec.shares.v2: refers to version/v2",
    ] {
        assert!(report.contains(fault), "{report}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_command_lines_exit_with_usage() {
    let (_test, client) = one_host().await;
    for arguments in [
        &["aply"][..],
        &["apply"],
        &["get", "version"],
        &["list"],
        &["list", "version", "--output", "xml"],
        &["watch"],
        &["status", "more"],
        &["delete", "version"],
        &["get", "version", "v1", "--no-such"],
    ] {
        let (code, out, _) = client.run(arguments).await;
        assert_eq!((code, out.as_str()), (ctl::USAGE, ""), "{arguments:?}");
    }
    assert_eq!(execute(Vec::new()).await.0, ctl::USAGE);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_command_has_help() {
    let (code, out, _) = execute(vec!["--help".into()]).await;
    assert_eq!(code, ctl::DONE);
    assert!(out.contains("0 done, 1 refused or failed, 2 usage, 3 outcome unknown"));
    for command in [
        "apply",
        "authority",
        "delete",
        "drain",
        "get",
        "list",
        "status",
        "watch",
    ] {
        let (code, help, _) = execute(vec![command.into(), "--help".into()]).await;
        assert_eq!(code, ctl::DONE);
        assert!(
            help.starts_with(&format!("Usage: mulberryctl {command}")),
            "{help}"
        );
        assert!(out.contains(&format!("\n  {command} ")), "{out}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_node_is_skipped() {
    let (_test, mut client) = one_host().await;
    let file = client.file("v1.json", &version("v1"));
    client.nodes.insert(0, "127.0.0.1:1".parse().unwrap());
    let (code, out, report) = client.run(&["apply", "-f", &file]).await;
    assert_eq!(
        (code, out.as_str()),
        (ctl::DONE, "accepted as 1\n"),
        "{report}"
    );
    let (code, _, _) = client.run(&["list", "version"]).await;
    assert_eq!(code, ctl::DONE);
    client.nodes.truncate(1);
    let (code, _, report) = client.run(&["apply", "-f", &file]).await;
    assert_eq!(code, ctl::REFUSED, "nothing was sent: {report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_is_retried_until_it_is_known() {
    let (test, client) = one_host().await;
    let file = client.file("v1.json", &version("v1"));
    test.platform.fail(Faults {
        down_after_loss: true,
        lose_answers: 1,
        ..Faults::default()
    });
    let platform = test.platform.clone();
    let recovery = tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_secs(8)).await;
        platform.fail(Faults::default());
    });
    let (code, out, report) = client
        .run(&["apply", "-f", &file, "--operation", "op-1"])
        .await;
    assert_eq!(
        (code, out.as_str()),
        (ctl::DONE, "accepted as 1\n"),
        "{report}"
    );
    recovery.await.unwrap();
    let (code, out, _) = client
        .run(&["apply", "-f", &file, "--operation", "op-1"])
        .await;
    assert_eq!((code, out.as_str()), (ctl::DONE, "accepted as 1\n"));
}

/// Starts a server that closes the first 20 connections without an answer, and returns its address.
fn spawn_silent_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind(crate::test_mesh::ANY_PORT).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(20) {
            let mut bytes = [0; 1024];
            let _ = std::io::Read::read(&mut stream.unwrap(), &mut bytes);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_that_stays_unknown_has_its_own_exit_code_and_names_the_operation() {
    let client = Client::new(vec![spawn_silent_server()]);
    let file = client.file("v1.json", &version("v1"));
    let (code, _, report) = client
        .run(&[
            "apply",
            "-f",
            &file,
            "--operation",
            "op-1",
            "--patience",
            "2",
        ])
        .await;
    assert_eq!(code, ctl::UNKNOWN, "{report}");
    assert!(report.contains("--operation op-1"), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_shows_changes() {
    let (test, client) = one_host().await;
    test.apply(0, json!([version("v1")])).await;
    wait_reported(test.hosts[0].node.handle(), "luzon-a", 1).await;
    let (code, out, report) = client.run(&["watch", "version", "--timeout", "1"]).await;
    assert_eq!(code, ctl::DONE, "{report}");
    assert_eq!(out, "PUT     version  v1  1  1/1  {\"service\":\"desk\"}\n");
}

/// Records the end of the rollout `move`, as the nodes do.
fn record_end(test: &TestMesh, end: End) {
    let handle = test.hosts[0].node.handle();
    let snapshot = handle.snapshot();
    let (kind, name) = (Kind::Rollout, "move".parse().unwrap());
    let Spec::Rollout(mut rollout) = snapshot.get(kind, &name).unwrap().spec.clone() else {
        panic!("`move` is not a rollout");
    };
    rollout.outcome = Some(Box::new(Outcome {
        at: rollout.started,
        domains: Vec::new(),
        end,
        finding: None,
    }));
    let whole = match end {
        End::Completed => rollout.to.clone(),
        End::RolledBack => rollout.from.clone(),
    };
    let route = Route {
        path: "/".into(),
        service: "desk".parse().unwrap(),
        shares: [(whole, Permille::WHOLE)].into(),
    };
    let key = |kind, name: &str| Key {
        kind,
        name: name.parse().unwrap(),
    };
    let changes = vec![
        (Change::Put(key(kind, "move"), Spec::Rollout(rollout)), None),
        (
            Change::Put(key(Kind::Route, "desk"), Spec::Route(route)),
            None,
        ),
    ];
    let id = "end".into();
    let operation_status = handle.submit(Operation { changes, id });
    assert!(
        matches!(operation_status, OperationStatus::Accepted(_)),
        "{operation_status:?}"
    );
}

async fn watch_rollout(end: End) -> CommandResult {
    let (test, client) = one_host().await;
    let mut resources = route_to("desk", "v1");
    let list = resources.as_array_mut().unwrap();
    list.push(version("v2"));
    test.apply(0, resources).await;
    let rollout = json!({
        "kind": "rollout",
        "metadata": { "name": "move" },
        "spec": { "route": "desk", "from": "v1", "to": "v2", "deadline": "2100-01-01T00:00:00Z" },
    });
    test.apply(0, json!([rollout])).await;
    let later = async {
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        tokio::task::block_in_place(|| record_end(&test, end));
    };
    tokio::join!(client.run(&["watch", "rollout", "move"]), later).0
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_of_a_rollout_ends_with_it() {
    let (code, out, report) = watch_rollout(End::Completed).await;
    assert_eq!(code, ctl::DONE, "{report}");
    assert!(out.lines().next().unwrap().contains("Progressing"), "{out}");
    assert!(out.lines().last().unwrap().contains("Completed"), "{out}");
    let (code, out, report) = watch_rollout(End::RolledBack).await;
    assert_eq!(code, ctl::REFUSED, "{out}");
    assert!(report.contains("the rollout was rolled back"), "{report}");
}

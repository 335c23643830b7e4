//! The admin port, over HTTP: an upstream announces itself to the node on its host and drains, and an
//! operator looks at one node.

use {
    crate::{
        api::{Port, Reply, body, problem, reply},
        error::Result,
        node::Handle,
        presence::{self, Announcement},
        reach::Reach,
        world::Revision,
    },
    serde::Serialize,
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr},
    tiny_http::{Method, Request},
};

/// Binds the port and starts to serve.
///
/// # Errors
/// Fails if the port is taken.
pub fn bind(address: SocketAddr, handle: Handle) -> Result<Port> {
    Port::bind(address, move |request| serve(&handle, request))
}

fn serve(handle: &Handle, request: &mut Request) -> Reply {
    let url = request.url().to_string();
    match (request.method(), url.as_str()) {
        (Method::Get, "/health") => reply(200, &json!(Health::read(handle))),
        (Method::Get, "/counters") => reply(200, &json!(handle.telemetry().totals())),
        (Method::Get, "/upstream") => upstream(handle),
        (Method::Put, "/upstream") => announce(handle, request),
        (Method::Post, "/drain") => {
            handle.drain();
            upstream(handle)
        }
        (Method::Delete, "/drain") => {
            handle.resume();
            upstream(handle)
        }
        _ => problem(404, "there is nothing here", &[]),
    }
}

fn upstream(handle: &Handle) -> Reply {
    let body = json!({ "running": handle.running(), "state": handle.upstream() });
    reply(200, &body)
}

fn announce(handle: &Handle, request: &mut Request) -> Reply {
    let announcement: Announcement = match body(request) {
        Ok(announcement) => announcement,
        Err(reply) => return reply,
    };
    match handle.admit(announcement) {
        Ok(()) => upstream(handle),
        Err(refusal) => problem(409, &refusal.to_string(), &[]),
    }
}

/// What an operator sees of one node.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Health {
    coverage: BTreeMap<String, Domain>,
    platform: Reach,
    resource_version: Revision,
    running: usize,
    state: State,
    upstream: presence::State,
}

/// How far a failure domain has come.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Domain {
    reached: bool,
    resource_version: Revision,
}

/// Whether the node serves callers.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves, and its configuration may be out of date as the platform does not answer.
    Degraded,
    /// It stops.
    Stopping,
}

impl Health {
    fn read(handle: &Handle) -> Self {
        let resource_version = handle.snapshot().revision;
        let platform = handle.reach();
        let coverage = handle.coverage();
        let domains = coverage.iter().map(|(name, coverage)| {
            let domain = Domain {
                reached: coverage.reached,
                resource_version: coverage.revision,
            };
            (name.to_string(), domain)
        });
        Self {
            coverage: domains.collect(),
            platform,
            resource_version,
            running: handle.running(),
            state: match (handle.stopping(), resource_version, platform) {
                (true, _, _) => State::Stopping,
                (false, Revision(0), _) => State::Starting,
                (false, _, Reach::Lost) => State::Degraded,
                _ => State::Serving,
            },
            upstream: handle.upstream(),
        }
    }
}

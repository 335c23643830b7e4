//! The HTTP admin port. The upstream on the host announces itself and drains here, and an operator
//! reads the state and counters of this node.

use {
    crate::{
        api::{HttpServer, Reply, parse_body, problem, reply},
        error::Result,
        node::Handle,
        reachability::Reachability,
        registration::{self, Announcement},
        types::Revision,
    },
    serde::Serialize,
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr},
    tiny_http::{Method, Request},
};

/// Binds the admin port and starts to serve it.
///
/// # Errors
/// Fails if the port cannot be bound.
pub fn bind(address: SocketAddr, handle: Handle) -> Result<HttpServer> {
    HttpServer::serve(address, move |request| serve(&handle, request))
}

fn serve(handle: &Handle, request: &mut Request) -> Reply {
    let url = request.url().to_string();
    match (request.method(), url.as_str()) {
        (Method::Get, "/health") => reply(200, &json!(Health::collect(handle))),
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
    let body = json!({ "running": handle.running_requests(), "state": handle.upstream() });
    reply(200, &body)
}

fn announce(handle: &Handle, request: &mut Request) -> Reply {
    let announcement: Announcement = match parse_body(request) {
        Ok(announcement) => announcement,
        Err(reply) => return reply,
    };
    match handle.register(announcement) {
        Ok(()) => upstream(handle),
        Err(refusal) => problem(409, &refusal.to_string(), &[]),
    }
}

/// The state of one node as operators see it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Health {
    coverage: BTreeMap<String, Domain>,
    platform: Reachability,
    resource_version: Revision,
    running: usize,
    state: State,
    upstream: registration::State,
}

/// The configuration of a failure domain, as far as this node knows.
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
    /// The node has no configuration yet.
    Starting,
    /// The node serves callers.
    Serving,
    /// The node serves callers, but the platform is unreachable, so its configuration may be stale.
    Degraded,
    /// The node is stopping.
    Stopping,
}

impl Health {
    fn collect(handle: &Handle) -> Self {
        let resource_version = handle.snapshot().revision;
        let platform = handle.reachability();
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
            running: handle.running_requests(),
            state: match (handle.is_stopping(), resource_version, platform) {
                (true, _, _) => State::Stopping,
                (false, Revision(0), _) => State::Starting,
                (false, _, Reachability::Lost) => State::Degraded,
                _ => State::Serving,
            },
            upstream: handle.upstream(),
        }
    }
}

//! The admin port, over HTTP: an upstream announces itself to the node on its host and drains, and an
//! operator looks at one node.

use {
    crate::{
        api::{Port, Reply, body, problem, reply},
        error::Result,
        node::Handle,
        presence::{self, Announcement},
        world::Revision,
    },
    serde::Serialize,
    serde_json::json,
    std::net::SocketAddr,
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

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Health {
    resource_version: Revision,
    running: usize,
    upstream: presence::State,
}

impl Health {
    fn read(handle: &Handle) -> Self {
        Self {
            resource_version: handle.snapshot().revision,
            running: handle.running(),
            upstream: handle.upstream(),
        }
    }
}

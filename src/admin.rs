//! The admin port, over HTTP: an upstream announces itself to the node on its host and drains, and an
//! operator looks at one node.

use {
    crate::{
        api::{Port, Reply, body, problem, reply},
        error::Result,
        member::Offer,
        node::Handle,
    },
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
        (Method::Get, "/health") => reply(
            200,
            &json!({ "resourceVersion": handle.snapshot().revision }),
        ),
        (Method::Get, "/counters") => reply(200, &json!(handle.telemetry().totals())),
        (Method::Put, "/upstream") => match body::<Offer>(request) {
            Ok(offer) => {
                handle.announce(offer);
                reply(200, &json!({}))
            }
            Err(reply) => reply,
        },
        (Method::Post, "/drain") => {
            handle.drain();
            reply(200, &json!({}))
        }
        _ => problem(404, "there is nothing here", &[]),
    }
}

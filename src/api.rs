//! The resource API, over HTTP. See docs/api.md.

use {
    crate::{
        error::{Error, Result},
        node::Handle,
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        settings::{Right, Tokens},
        source::{Operation, Verdict},
        validate::Fault,
        world::{Name, Revision},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    socket2::SockRef,
    std::{
        io::Cursor,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
    },
    tiny_http::{Method, Request, Response, Server},
};

const BODY_MAX: u64 = 1024 * 1024;
const THREADS: usize = 4;

/// A running HTTP port.
pub struct Port {
    /// Where it takes requests.
    pub address: SocketAddr,
    server: Arc<Server>,
}

/// A resource as operators write and read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The kind.
    pub kind: Kind,
    /// The name and, if one is stated, the resource version.
    pub metadata: Metadata,
    /// What is declared.
    pub spec: Value,
    /// What the mesh reports; ignored in writes.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// What identifies a resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: Name,
    /// The revision that last changed it; in writes the one that is replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<Revision>,
}

/// A set of resources to accept together.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// What to delete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delete: Vec<Key>,
    /// Chosen by the client, so that asking again never applies twice.
    pub operation: String,
    /// What to create or replace.
    #[serde(default)]
    pub resources: Vec<Document>,
}

pub(crate) type Reply = Response<Cursor<Vec<u8>>>;

impl Document {
    /// Shows an accepted resource.
    #[must_use]
    pub fn show(resource: &Resource) -> Self {
        let shown = match &resource.spec {
            Spec::Limits(spec) => serde_json::to_value(spec),
            Spec::Rollout(spec) => serde_json::to_value(spec),
            Spec::Route(spec) => serde_json::to_value(spec),
            Spec::Version(spec) => serde_json::to_value(spec),
        };
        let mut spec = shown.unwrap_or_default();
        let mut status = Value::Null;
        for recorded in ["outcome", "started"] {
            if let Some(value) = spec.as_object_mut().and_then(|spec| spec.remove(recorded)) {
                status[recorded] = value;
            }
        }
        Self {
            kind: resource.key.kind,
            metadata: Metadata {
                name: resource.key.name.clone(),
                resource_version: Some(resource.revision),
            },
            spec,
            status,
        }
    }

    /// Reads the change that this document declares.
    ///
    /// # Errors
    /// Names the field that can't be read.
    pub fn change(&self) -> Result<Change, Fault> {
        let spec = self.spec.clone();
        let spec = match self.kind {
            Kind::Limits => serde_json::from_value(spec).map(Spec::Limits),
            Kind::Rollout => serde_json::from_value(spec)
                .map(Rollout::declared)
                .map(Spec::Rollout),
            Kind::Route => serde_json::from_value(spec).map(Spec::Route),
            Kind::Version => serde_json::from_value(spec).map(Spec::Version),
        };
        let key = Key {
            kind: self.kind,
            name: self.metadata.name.clone(),
        };
        match spec {
            Ok(spec) => Ok(Change::Put(key, spec)),
            Err(error) => Err(Fault::new(key.to_string(), "spec", error.to_string())),
        }
    }
}

impl Port {
    /// Serves the resource API.
    ///
    /// # Errors
    /// Fails if the port is taken.
    pub fn api(address: SocketAddr, tokens: Tokens, handle: Handle) -> Result<Self> {
        Self::bind(address, move |request| api(&tokens, &handle, request))
    }

    pub(crate) fn bind(
        address: SocketAddr,
        serve: impl Fn(&mut Request) -> Reply + Clone + Send + 'static,
    ) -> Result<Self> {
        let fail = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).map_err(fail)?;
        SockRef::from(&listener)
            .set_tcp_nodelay(true)
            .map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| fail(std::io::Error::other(error)))?;
        let server = Arc::new(server);
        for _ in 0..THREADS {
            let server = server.clone();
            let serve = serve.clone();
            thread::spawn(move || {
                while let Ok(mut request) = server.recv() {
                    let reply = serve(&mut request);
                    // A client that has gone needs no answer.
                    let _ = request.respond(reply);
                }
            });
        }
        Ok(Self { address, server })
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        for _ in 0..THREADS {
            self.server.unblock();
        }
    }
}

pub(crate) fn reply(status: u16, body: &Value) -> Reply {
    let text = format!("{body}\n");
    let reply = Response::from_string(text).with_status_code(status);
    match tiny_http::Header::from_bytes("content-type", "application/json") {
        Ok(header) => reply.with_header(header),
        Err(()) => reply,
    }
}

pub(crate) fn problem(status: u16, title: &str, faults: &[Fault]) -> Reply {
    reply(
        status,
        &json!({ "status": status, "title": title, "faults": faults }),
    )
}

pub(crate) fn body<T: for<'de> Deserialize<'de>>(request: &mut Request) -> Result<T, Reply> {
    let mut text = String::new();
    let mut reader = std::io::Read::take(request.as_reader(), BODY_MAX);
    std::io::Read::read_to_string(&mut reader, &mut text)
        .map_err(|error| problem(400, &format!("the body can't be read: {error}"), &[]))?;
    serde_json::from_str(&text)
        .map_err(|error| problem(400, &format!("the body is malformed: {error}"), &[]))
}

fn bearer(request: &Request) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv("authorization"))
        .and_then(|header| header.value.as_str().strip_prefix("Bearer "))
        .map(String::from)
}

fn api(tokens: &Tokens, handle: &Handle, request: &mut Request) -> Reply {
    let Some(right) = bearer(request).and_then(|token| tokens.right(&token)) else {
        return problem(401, "a bearer token is needed", &[]);
    };
    let writes = right == Right::Write;
    let url = request.url().to_string();
    let path: Vec<&str> = url.trim_start_matches('/').split('/').collect();
    match (request.method(), path.as_slice()) {
        (Method::Get, ["v1", kind]) => list(handle, kind),
        (Method::Get, ["v1", kind, name]) => get(handle, kind, name),
        (Method::Post, ["v1", "apply"]) if writes => apply(handle, request),
        (Method::Post, ["v1", "apply"]) => problem(403, "the token may only read", &[]),
        _ => problem(404, "there is nothing here", &[]),
    }
}

/// Adds how far a rollout is, as far as this node knows.
fn progress(handle: &Handle, mut document: Document) -> Document {
    let statuses = handle.rollouts();
    let mut found = statuses
        .iter()
        .filter(|status| document.kind == Kind::Rollout && status.name == document.metadata.name);
    if let Some(status) = found.next() {
        document.status["progress"] = json!(status);
    }
    document
}

fn list(handle: &Handle, kind: &str) -> Reply {
    let Ok(kind) = kind.parse::<Kind>() else {
        return problem(404, "there is no such kind", &[]);
    };
    let snapshot = handle.snapshot();
    let items: Vec<Document> = snapshot
        .resources
        .values()
        .filter(|resource| resource.key.kind == kind)
        .map(|resource| progress(handle, Document::show(resource)))
        .collect();
    reply(
        200,
        &json!({ "items": items, "resourceVersion": snapshot.revision }),
    )
}

fn get(handle: &Handle, kind: &str, name: &str) -> Reply {
    let (Ok(kind), Ok(name)) = (kind.parse::<Kind>(), name.parse::<Name>()) else {
        return problem(404, "there is no such kind or name", &[]);
    };
    match handle.snapshot().get(kind, &name) {
        Some(resource) => reply(200, &json!(progress(handle, Document::show(resource)))),
        None => problem(404, &format!("there is no {kind}/{name}"), &[]),
    }
}

fn apply(handle: &Handle, request: &mut Request) -> Reply {
    let apply: Apply = match body(request) {
        Ok(apply) => apply,
        Err(reply) => return reply,
    };
    let mut changes = Vec::new();
    let mut faults = Vec::new();
    for document in &apply.resources {
        match document.change() {
            Ok(change) => changes.push((change, document.metadata.resource_version)),
            Err(fault) => faults.push(fault),
        }
    }
    if !faults.is_empty() {
        return problem(422, "refused", &faults);
    }
    changes.extend(
        apply
            .delete
            .into_iter()
            .map(|key| (Change::Delete(key), None)),
    );
    let id = apply.operation;
    let operation = Operation {
        changes,
        id: id.clone(),
    };
    match handle.submit(operation) {
        Verdict::Accepted(revision) => reply(
            200,
            &json!({ "operation": id, "outcome": "accepted", "resourceVersion": revision }),
        ),
        Verdict::Refused(faults) => problem(422, "refused", &faults),
        Verdict::Unavailable => problem(503, "not accepted: the platform can't be reached", &[]),
        Verdict::Busy => problem(503, "not accepted: too many operations wait here", &[]),
        Verdict::Absent | Verdict::Unknown => {
            reply(504, &json!({ "operation": id, "outcome": "unknown" }))
        }
    }
}
